package logging

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// linesPerSecond bounds the lines of one text, lineBurst what may come at
	// once: a request's line at the rate that one host can serve.
	linesPerSecond = 300
	lineBurst      = 600
	// maxQueuedLines is how many lines wait for a slow reader before more are
	// dropped.
	maxQueuedLines = 4096
	// summaryInterval is the time between two lines that count what was left
	// out.
	summaryInterval = 5 * time.Second
)

// BoundedHandler is a handler that never blocks and whose volume is bounded: each text
// has a rate of its own, and lines that the reader of the output does not take
// are dropped. What is left out is counted, and the counts are logged.
type BoundedHandler struct {
	slog.Handler

	writer *asyncWriter
}

// asyncWriter is what a handler and those derived from it share.
type asyncWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64

	mu      sync.Mutex
	buckets map[string]*tokenBucket
	closed  bool
	done    chan struct{}
}

// tokenBucket is the rate of one text.
type tokenBucket struct {
	tokens     float64
	refilled   time.Time
	suppressed uint64 // lines left out since the last summary
}

// NewBoundedHandler returns a handler that writes JSON lines to out from a goroutine
// of its own. Close writes what waits.
func NewBoundedHandler(out io.Writer, level slog.Level) *BoundedHandler {
	b := &asyncWriter{
		out: out, lines: make(chan []byte, maxQueuedLines), buckets: make(map[string]*tokenBucket), done: make(chan struct{}),
	}
	h := &BoundedHandler{Handler: slog.NewJSONHandler(b, &slog.HandlerOptions{Level: level}), writer: b}
	go b.run()
	return h
}

// Write takes one line from the handler below; it never blocks.
func (b *asyncWriter) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return len(line), nil
	}
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// run writes the lines until Close.
func (b *asyncWriter) run() {
	defer close(b.done)
	for line := range b.lines {
		if _, err := b.out.Write(line); err != nil {
			b.dropped.Add(1)
		}
	}
}

// Handle implements slog.Handler.
func (h *BoundedHandler) Handle(ctx context.Context, r slog.Record) error {
	if !h.writer.allow(r.Time, r.Message) {
		return nil
	}
	return h.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h *BoundedHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &BoundedHandler{Handler: h.Handler.WithAttrs(attrs), writer: h.writer}
}

// WithGroup implements slog.Handler.
func (h *BoundedHandler) WithGroup(name string) slog.Handler {
	return &BoundedHandler{Handler: h.Handler.WithGroup(name), writer: h.writer}
}

// allow takes one line of a text from its allowance.
func (b *asyncWriter) allow(now time.Time, text string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.buckets[text]
	if a == nil {
		a = &tokenBucket{tokens: lineBurst, refilled: now}
		b.buckets[text] = a
	}
	a.tokens = min(a.tokens+max(now.Sub(a.refilled).Seconds(), 0)*linesPerSecond, lineBurst)
	a.refilled = now
	if a.tokens < 1 {
		a.suppressed++
		return false
	}
	a.tokens--
	return true
}

// Dropped returns how many lines the reader of the output did not take.
func (h *BoundedHandler) Dropped() uint64 { return h.writer.dropped.Load() }

// Run logs what was left out, until ctx ends.
func (h *BoundedHandler) Run(ctx context.Context) error {
	ticker := time.NewTicker(summaryInterval)
	defer ticker.Stop()
	dropped := uint64(0)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			dropped = h.logSuppressed(dropped)
		}
	}
}

// logSuppressed logs what was left out since the last time.
func (h *BoundedHandler) logSuppressed(before uint64) uint64 {
	log := slog.New(h)
	for text, left := range h.writer.takeSuppressed() {
		log.Warn("Lines left out, too many of one text.", slog.String("text", text), slog.Uint64("lines", left))
	}
	dropped := h.Dropped()
	if dropped > before {
		log.Warn("Lines dropped, the output is not read.", slog.Uint64("lines", dropped-before))
	}
	return dropped
}

func (b *asyncWriter) takeSuppressed() map[string]uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]uint64)
	for text, a := range b.buckets {
		if a.suppressed > 0 {
			out[text], a.suppressed = a.suppressed, 0
		}
	}
	return out
}

// Close writes the lines that wait, for at most the given time.
func (h *BoundedHandler) Close(within time.Duration) {
	b := h.writer
	b.mu.Lock()
	if !b.closed {
		b.closed = true
		close(b.lines)
	}
	b.mu.Unlock()
	select {
	case <-b.done:
	case <-time.After(within):
	}
}
