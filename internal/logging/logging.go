// Package logging makes the structured logs of all programs: short sentences,
// a fixed prefix for each part.
package logging

import (
	"io"
	"log/slog"
)

// New returns a logger that writes lines of text to w, or JSON.
func New(w io.Writer, level slog.Level, json bool) *slog.Logger {
	opts := &slog.HandlerOptions{Level: level}
	if json {
		return slog.New(slog.NewJSONHandler(w, opts))
	}
	return slog.New(slog.NewTextHandler(w, opts))
}

// Component returns a logger whose lines carry the fixed prefix of one part of the
// program, such as "lead" or "entry".
func Component(l *slog.Logger, name string) *slog.Logger {
	return l.With(slog.String("part", name))
}

// Nop returns a logger that drops everything.
func Nop() *slog.Logger { return slog.New(slog.DiscardHandler) }
