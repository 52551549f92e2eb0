package logging_test

import (
	"bytes"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/logging"
)

// blockedWriter is a writer whose Write never returns.
type blockedWriter struct{}

func (s *blockedWriter) Write([]byte) (int, error) { select {} }

// TestBlockedOutput: logging doesn't block while nobody reads the output, and
// the dropped lines are counted.
func TestBlockedOutput(t *testing.T) {
	handler := logging.NewBoundedHandler(&blockedWriter{}, slog.LevelInfo)
	log := slog.New(handler)
	start := time.Now()
	for i := range 20000 {
		// Different messages, so that none reaches its rate limit.
		log.Info("line " + strings.Repeat("x", i%100))
	}
	assert.Assert(t, time.Since(start) < 2*time.Second)
	assert.Assert(t, handler.Dropped() > 10000, "%d dropped", handler.Dropped())
}

// TestRateLimit: a message that is logged too often is limited to its rate, and
// other messages aren't.
func TestRateLimit(t *testing.T) {
	var out bytes.Buffer
	handler := logging.NewBoundedHandler(&out, slog.LevelInfo)
	log := slog.New(handler)
	for range 50000 {
		log.Info("often")
	}
	log.With(slog.String("part", "x")).Info("seldom")
	log.Debug("hidden")
	handler.Close(time.Second)
	often := strings.Count(out.String(), `"often"`)
	assert.Assert(t, often >= 600 && often < 2000, "%d lines", often)
	assert.Equal(t, strings.Count(out.String(), `"seldom"`), 1)
	assert.Equal(t, strings.Count(out.String(), `"hidden"`), 0)
}

// TestAfterClose: a line that is logged after Close is discarded.
func TestAfterClose(t *testing.T) {
	handler := logging.NewBoundedHandler(io.Discard, slog.LevelInfo)
	handler.Close(time.Second)
	slog.New(handler).Info("late")
}
