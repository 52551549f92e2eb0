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
	// linesPerSecond and lineBurst are the rate limit of each message. They
	// allow one line per request at the rate that one host can serve.
	linesPerSecond = 300
	lineBurst      = 600
	// maxQueuedLines is how many lines wait for a slow reader of the output
	// before further ones are dropped.
	maxQueuedLines = 4096
	// summaryInterval is the time between two summaries of suppressed and
	// dropped lines.
	summaryInterval = 5 * time.Second
)

// BoundedHandler is a slog.Handler that never blocks and whose output is
// bounded: each message has a rate limit of its own, and lines that the reader
// of the output doesn't take in time are dropped. Suppressed and dropped lines
// are counted, and Run logs the counts.
type BoundedHandler struct {
	slog.Handler

	writer *asyncWriter
}

// asyncWriter queues lines and writes them from one goroutine. A handler and
// those derived from it share one.
type asyncWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64

	mu      sync.Mutex
	buckets map[string]*tokenBucket // by message
	closed  bool
	done    chan struct{}
}

// tokenBucket is the rate limit of one message.
type tokenBucket struct {
	tokens     float64
	refilled   time.Time
	suppressed uint64 // since the last summary
}

// NewBoundedHandler returns a handler that writes JSON lines to out from a
// goroutine of its own. Close writes the queued lines.
func NewBoundedHandler(out io.Writer, level slog.Level) *BoundedHandler {
	w := &asyncWriter{
		out: out, lines: make(chan []byte, maxQueuedLines), buckets: make(map[string]*tokenBucket), done: make(chan struct{}),
	}
	h := &BoundedHandler{Handler: slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level}), writer: w}
	go w.run()
	return h
}

// Write queues one line of the JSON handler; it never blocks.
func (w *asyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// run writes queued lines until Close.
func (w *asyncWriter) run() {
	defer close(w.done)
	for line := range w.lines {
		if _, err := w.out.Write(line); err != nil {
			w.dropped.Add(1)
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

// allow takes a token for one line of a message and reports whether there was
// one.
func (w *asyncWriter) allow(now time.Time, message string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	bucket := w.buckets[message]
	if bucket == nil {
		bucket = &tokenBucket{tokens: lineBurst, refilled: now}
		w.buckets[message] = bucket
	}
	bucket.tokens = min(bucket.tokens+max(now.Sub(bucket.refilled).Seconds(), 0)*linesPerSecond, lineBurst)
	bucket.refilled = now
	if bucket.tokens < 1 {
		bucket.suppressed++
		return false
	}
	bucket.tokens--
	return true
}

// Dropped returns how many lines were dropped because the reader of the output
// was too slow or a write failed.
func (h *BoundedHandler) Dropped() uint64 { return h.writer.dropped.Load() }

// Run logs the counts of suppressed and dropped lines at each summaryInterval
// until ctx ends.
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

// logSuppressed logs which lines were suppressed and dropped since the last
// call. It takes the drop count of that call and returns the present one.
func (h *BoundedHandler) logSuppressed(before uint64) uint64 {
	log := slog.New(h)
	for message, suppressed := range h.writer.takeSuppressed() {
		log.Warn("Log lines suppressed by the rate limit.", slog.String("text", message), slog.Uint64("lines", suppressed))
	}
	dropped := h.Dropped()
	if dropped > before {
		log.Warn("Log lines dropped, the output is not read in time.", slog.Uint64("lines", dropped-before))
	}
	return dropped
}

func (w *asyncWriter) takeSuppressed() map[string]uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make(map[string]uint64)
	for message, bucket := range w.buckets {
		if bucket.suppressed > 0 {
			out[message], bucket.suppressed = bucket.suppressed, 0
		}
	}
	return out
}

// Close stops taking lines and waits until the queued ones are written, at most
// for the given time.
func (h *BoundedHandler) Close(timeout time.Duration) {
	w := h.writer
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}
