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

// blockedWriter is a writer that nobody reads.
type blockedWriter struct{}

func (s *blockedWriter) Write([]byte) (int, error) { select {} }

// TestBlockedOutput: an output that is not read stops nothing, and what is lost
// is counted.
func TestBlockedOutput(t *testing.T) {
	h := logging.NewBoundedHandler(&blockedWriter{}, slog.LevelInfo)
	log := slog.New(h)
	start := time.Now()
	for i := range 20000 {
		// Texts of their own, so that no text reaches its rate.
		log.Info("line " + strings.Repeat("x", i%100))
	}
	assert.Assert(t, time.Since(start) < 2*time.Second)
	assert.Assert(t, h.Dropped() > 10000, "%d dropped", h.Dropped())
}

// TestRateLimit: of one text that comes too often only so many lines are written.
func TestRateLimit(t *testing.T) {
	var out bytes.Buffer
	h := logging.NewBoundedHandler(&out, slog.LevelInfo)
	log := slog.New(h)
	for range 50000 {
		log.Info("often")
	}
	log.With(slog.String("part", "x")).Info("seldom")
	log.Debug("hidden")
	h.Close(time.Second)
	often := strings.Count(out.String(), `"often"`)
	assert.Assert(t, often >= 600 && often < 2000, "%d lines", often)
	assert.Equal(t, strings.Count(out.String(), `"seldom"`), 1)
	assert.Equal(t, strings.Count(out.String(), `"hidden"`), 0)
}

// TestAfterClose: a line after the end is dropped.
func TestAfterClose(t *testing.T) {
	h := logging.NewBoundedHandler(io.Discard, slog.LevelInfo)
	h.Close(time.Second)
	slog.New(h).Info("late")
}
