// Package docsync replicates versioned documents between processes. The newest
// version of a document wins; no process returns to an older one.
package docsync

// Name names a document, such as "settings" or "table/balance/zone-a".
type Name string

// The names and prefixes of documents.
const (
	Settings    Name = "settings"
	Fleet       Name = "fleet"
	TablePrefix Name = "table/"
	// CustodyPrefix is followed by a service's name.
	CustodyPrefix Name = "custody/"
)

// Version orders the versions of one document.
type Version struct {
	Major uint64 // a revision of the store, or a cell's term
	Minor uint64 // a sequence number within Major
}

// Less reports whether v is older than w.
func (v Version) Less(w Version) bool {
	if v.Major != w.Major {
		return v.Major < w.Major
	}
	return v.Minor < w.Minor
}

// Document is one version of a document. The body must not be changed after
// Publish.
type Document struct {
	Name    Name
	Version Version
	Body    []byte
}

// Replica holds the newest version of each document that this process knows and
// notifies subscribers of newer ones. It is safe for concurrent use.
type Replica interface {
	// Publish offers a version and reports whether it was newer and was taken.
	Publish(doc Document) bool
	// Get returns the newest known version of a document.
	Get(name Name) (Document, bool)
	// Subscribe returns a channel that gets a token after a change of a
	// document with the prefix. The channel has a buffer of one and is never
	// closed.
	Subscribe(prefix Name) <-chan struct{}
	// List returns the newest versions of the documents with the prefix, sorted
	// by name.
	List(prefix Name) []Document
}
