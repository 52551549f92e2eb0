// Package finding collects problems in user input with their locations, so that all of
// them are reported together and in order.
package finding

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Finding is a problem in user input.
type Finding struct {
	// Location is a flag, a settings path or a file:line:column.
	Location string
	// Text describes the problem, Hint how to fix it.
	Text string
	Hint string
}

// String formats the finding as one line.
func (f Finding) String() string {
	if f.Hint == "" {
		return f.Location + ": " + f.Text
	}
	return f.Location + ": " + f.Text + " (" + f.Hint + ")"
}

// List collects findings. The zero value is ready for use.
type List struct{ all []Finding }

// Add records a problem; hint may be empty.
func (l *List) Add(location, text, hint string) {
	l.all = append(l.all, Finding{Location: location, Text: text, Hint: hint})
}

// Addf records a problem with a formatted text and no hint.
func (l *List) Addf(location, format string, args ...any) {
	l.Add(location, fmt.Sprintf(format, args...), "")
}

// Empty reports whether nothing was found.
func (l *List) Empty() bool { return len(l.all) == 0 }

// Sorted returns the findings sorted by location. Findings at one location keep their
// order.
func (l *List) Sorted() []Finding {
	out := slices.Clone(l.all)
	slices.SortStableFunc(out, func(a, b Finding) int { return cmp.Compare(a.Location, b.Location) })
	return out
}

// Err returns an *Error with all findings, or nil if there are none.
func (l *List) Err() error {
	if l.Empty() {
		return nil
	}
	return &Error{Findings: l.Sorted()}
}

// Error is the error for one or more findings.
type Error struct{ Findings []Finding }

// Error implements error. Each finding is one line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
