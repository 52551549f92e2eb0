// Package logging sets up the structured logs of all programs.
package logging

import (
	"io"
	"log/slog"
)

// New returns a logger that writes to w, as JSON or as text.
func New(w io.Writer, level slog.Level, json bool) *slog.Logger {
	opts := &slog.HandlerOptions{Level: level}
	if json {
		return slog.New(slog.NewJSONHandler(w, opts))
	}
	return slog.New(slog.NewTextHandler(w, opts))
}

// Component returns a logger that adds the name of a component of the program,
// such as "lead" or "entry", to each line.
func Component(l *slog.Logger, name string) *slog.Logger {
	return l.With(slog.String("part", name))
}

// Nop returns a logger that discards everything.
func Nop() *slog.Logger { return slog.New(slog.DiscardHandler) }
