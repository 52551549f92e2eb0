// Package operator serves the operators' API and reaches it: reading settings,
// writing them below the subtrees that a credential covers, and the history.
package operator

import (
	"context"
	"fmt"
	"time"

	"citrontray.example/citrontray/internal/platform"
	"citrontray.example/citrontray/internal/settings"
)

// View is what an operator sees of the settings in force.
type View struct {
	// Local tells that the store did not answer: the view is what one host
	// has in force.
	Local    bool
	Revision platform.Revision
	Number   uint64
	Items    []settings.Item
	History  []settings.Write
}

// WriteRequest is one write as an operator asks for it.
type WriteRequest struct {
	// ID tells the write from all others; a repeated ID is applied once.
	ID string
	// File holds the changes in the file format.
	File []byte
	// Rollback, where above zero, asks for the values of that number instead.
	Rollback uint64
	// Below limits a rollback to a path and those below it.
	Below settings.Path
	// Expect is the number that the operator saw; zero for any.
	Expect uint64
	Reason string
	DryRun bool
}

// WriteResult is an accepted write, or what a dry run would change.
type WriteResult struct {
	Revision    platform.Revision
	Number      uint64
	Differences []settings.Difference
}

// API is where operators read and write settings: Direct or Client.
type API interface {
	// Read returns what the operator may see. Errors: DeniedError,
	// platform.ErrUnavailable.
	Read(ctx context.Context) (View, error)
	// Write asks for a write. Errors: *finding.Error, *settings.ConflictError,
	// DeniedError, settings.ErrNotAccepted, settings.ErrUnresolved.
	Write(ctx context.Context, order WriteRequest) (WriteResult, error)
}

// DeniedError is returned where a credential does not allow something.
type DeniedError struct{ Text string }

// Error implements error.
func (e *DeniedError) Error() string { return "operator: denied: " + e.Text }

// principal is who writes, as the settings in force know it.
type principal struct {
	name  string
	below []settings.Path
}

// allows reports whether the writer may write path.
func (w principal) allows(path settings.Path) bool {
	d := settings.Delegation{Below: w.below}
	return d.Allows(path)
}

// authorize checks each change against the writer's subtrees. A delegation may
// hand on only what its writer has.
func (w principal) authorize(changes []settings.Change) error {
	for _, c := range changes {
		if !w.allows(c.Path) {
			return &DeniedError{Text: fmt.Sprintf("%s may not write %s", w.name, c.Path)}
		}
		for _, f := range c.Fields {
			if f.Name != "below" {
				continue
			}
			for _, below := range f.Values {
				if !w.allows(settings.Path(below)) {
					return &DeniedError{Text: fmt.Sprintf("%s may not delegate %s", w.name, below)}
				}
			}
		}
	}
	return nil
}

// Direct is a desk on the platform's service itself. It knows no credentials:
// whoever reaches the service may write.
type Direct struct {
	committer *settings.Committer
	by        string
}

// NewDirect returns a desk on store; writes are recorded as by.
func NewDirect(store platform.Store, by string) *Direct {
	return &Direct{committer: settings.NewCommitter(store), by: by}
}

// Read implements Desk.
func (d *Direct) Read(ctx context.Context) (View, error) {
	s, err := d.committer.Load(ctx)
	if err != nil {
		return View{}, err
	}
	return fullView(s), nil
}

// Write implements Desk.
func (d *Direct) Write(ctx context.Context, order WriteRequest) (WriteResult, error) {
	return commit(ctx, d.committer, order, func(*settings.Settings) (principal, error) {
		return principal{name: d.by, below: []settings.Path{""}}, nil
	})
}

// fullView returns all of s.
func fullView(s *settings.Settings) View {
	return View{Revision: s.Revision, Number: s.Number, Items: s.Items(), History: s.History}
}

// commit parses the order and makes it accepted in the name of whom identify
// finds in the settings in force, asked anew on each attempt.
func commit(ctx context.Context, c *settings.Committer, order WriteRequest, identify func(*settings.Settings) (principal, error)) (WriteResult, error) {
	changes, err := settings.Parse(order.File)
	if err != nil {
		return WriteResult{}, err
	}
	req := settings.Request{
		ID: order.ID, Changes: changes, Rollback: order.Rollback, Below: order.Below,
		Expect: order.Expect, Reason: order.Reason, DryRun: order.DryRun,
	}
	req.Permit = func(current *settings.Settings, changes []settings.Change) (string, error) {
		who, err := identify(current)
		if err != nil {
			return "", err
		}
		return who.name, who.authorize(changes)
	}
	done, err := c.Commit(ctx, time.Now(), req)
	if err != nil {
		return WriteResult{}, err
	}
	return WriteResult{Revision: done.Settings.Revision, Number: done.Write.Number, Differences: done.Differences}, nil
}
