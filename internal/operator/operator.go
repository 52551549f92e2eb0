// Package operator implements the server and the client of the operators' API: reading
// settings and their history, and writing the subtrees that a credential covers.
package operator

import (
	"context"
	"fmt"
	"time"

	"citrontray.example/citrontray/internal/platform"
	"citrontray.example/citrontray/internal/settings"
)

// View is the part of the accepted settings that an operator may see.
type View struct {
	// Local is set if the store was unavailable: the view then shows the settings in
	// the documents of one host, which may be older.
	Local    bool
	Revision platform.Revision
	Number   uint64
	Items    []settings.Item
	History  []settings.Write
}

// WriteRequest is a write to the settings as an operator requests it.
type WriteRequest struct {
	// ID identifies the write; a repeated ID is applied once.
	ID string
	// File holds the changes in the file format.
	File []byte
	// Rollback, if not zero, replaces File by a rollback to that number.
	Rollback uint64
	// Below limits a rollback to a path and the paths below it.
	Below settings.Path
	// Expect is the number that the operator has seen; zero skips the check.
	Expect uint64
	Reason string
	DryRun bool
}

// WriteResult is the result of an accepted write or of a dry run.
type WriteResult struct {
	Revision    platform.Revision
	Number      uint64
	Differences []settings.Difference
}

// API reads and writes settings. Client and Direct implement it.
type API interface {
	// Read returns the settings and the history that the operator may see. Errors:
	// DeniedError, platform.ErrUnavailable.
	Read(ctx context.Context) (View, error)
	// Write performs a write. Errors: *finding.Error, *settings.ConflictError,
	// DeniedError, settings.ErrNotAccepted, settings.ErrUnresolved.
	Write(ctx context.Context, request WriteRequest) (WriteResult, error)
}

// DeniedError is returned if a credential does not permit a request.
type DeniedError struct{ Text string }

// Error implements error.
func (e *DeniedError) Error() string { return "operator: denied: " + e.Text }

// principal is the authenticated operator with its subtrees.
type principal struct {
	name  string
	below []settings.Path
}

// allows reports whether the principal may write path.
func (w principal) allows(path settings.Path) bool {
	d := settings.Delegation{Below: w.below}
	return d.Allows(path)
}

// authorize checks the changes against the principal's subtrees. A delegation may only
// cover what the principal itself may write.
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

// Direct implements API on the platform's service. It checks no credentials: whoever
// reaches the service may write.
type Direct struct {
	committer *settings.Committer
	by        string
}

// NewDirect returns an API on store that records its writes under the name by.
func NewDirect(store platform.Store, by string) *Direct {
	return &Direct{committer: settings.NewCommitter(store), by: by}
}

// Read implements API.
func (d *Direct) Read(ctx context.Context) (View, error) {
	s, err := d.committer.Load(ctx)
	if err != nil {
		return View{}, err
	}
	return fullView(s), nil
}

// Write implements API.
func (d *Direct) Write(ctx context.Context, request WriteRequest) (WriteResult, error) {
	return commit(ctx, d.committer, request, func(*settings.Settings) (principal, error) {
		return principal{name: d.by, below: []settings.Path{""}}, nil
	})
}

// fullView returns a view of all settings.
func fullView(s *settings.Settings) View {
	return View{Revision: s.Revision, Number: s.Number, Items: s.Items(), History: s.History}
}

// commit parses and commits a request. On each attempt authenticate determines the
// principal from the current settings.
func commit(ctx context.Context, c *settings.Committer, request WriteRequest, authenticate func(*settings.Settings) (principal, error)) (WriteResult, error) {
	changes, err := settings.Parse(request.File)
	if err != nil {
		return WriteResult{}, err
	}
	req := settings.Request{
		ID: request.ID, Changes: changes, Rollback: request.Rollback, Below: request.Below,
		Expect: request.Expect, Reason: request.Reason, DryRun: request.DryRun,
	}
	req.Permit = func(current *settings.Settings, changes []settings.Change) (string, error) {
		writer, err := authenticate(current)
		if err != nil {
			return "", err
		}
		return writer.name, writer.authorize(changes)
	}
	done, err := c.Commit(ctx, time.Now(), req)
	if err != nil {
		return WriteResult{}, err
	}
	return WriteResult{Revision: done.Settings.Revision, Number: done.Write.Number, Differences: done.Differences}, nil
}
