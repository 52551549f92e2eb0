// Package finding collects problems with their place, so that all of them are
// reported together, sorted, in place of the first one alone.
package finding

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Finding is one problem in something that a person wrote.
type Finding struct {
	// Location is a flag, a settings path or a file:line:column.
	Location string
	// Text says what is wrong, Mend how to put it right.
	Text string
	Hint string
}

// String returns the finding as one line.
func (f Finding) String() string {
	if f.Hint == "" {
		return f.Location + ": " + f.Text
	}
	return f.Location + ": " + f.Text + " (" + f.Hint + ")"
}

// List collects findings. The zero value is ready for use.
type List struct{ all []Finding }

// Add records a problem; mend may be empty.
func (l *List) Add(place, text, mend string) {
	l.all = append(l.all, Finding{Location: place, Text: text, Hint: mend})
}

// Addf records a problem with a formatted text and no mend.
func (l *List) Addf(place, format string, args ...any) {
	l.Add(place, fmt.Sprintf(format, args...), "")
}

// Empty reports whether nothing was found.
func (l *List) Empty() bool { return len(l.all) == 0 }

// Sorted returns the findings in the order of their places. Findings of one
// place keep the order in which they were added.
func (l *List) Sorted() []Finding {
	out := slices.Clone(l.all)
	slices.SortStableFunc(out, func(a, b Finding) int { return cmp.Compare(a.Location, b.Location) })
	return out
}

// Err returns nil or an *Error with all findings.
func (l *List) Err() error {
	if l.Empty() {
		return nil
	}
	return &Error{Findings: l.Sorted()}
}

// Error is a list of findings as an error.
type Error struct{ Findings []Finding }

// Error implements error, one finding a line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
