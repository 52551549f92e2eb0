// Package docsync passes documents between hosts: newest version wins, no host
// ever goes back to an older one.
package docsync

// Name names a document, such as "settings" or "table/balance/zone-a".
type Name string

// The names and prefixes of documents.
const (
	Settings    Name = "settings"
	Fleet       Name = "fleet"
	TablePrefix Name = "table/"
	// CustodyPrefix is followed by the service's name.
	CustodyPrefix Name = "custody/"
)

// Version orders the versions of one document.
type Version struct {
	Major uint64 // a store revision, or a cell's term
	Minor uint64 // a sequence within Major
}

// Less reports whether v is older than w.
func (v Version) Less(w Version) bool {
	if v.Major != w.Major {
		return v.Major < w.Major
	}
	return v.Minor < w.Minor
}

// Document is one version of a document. The body is not changed after Publish.
type Document struct {
	Name    Name
	Version Version
	Body    []byte
}

// Replica holds the newest version of each document that this process knows and
// tells subscribers of newer ones. Safe for concurrent use.
type Replica interface {
	// Publish offers a version; it reports whether it was newer.
	Publish(doc Document) bool
	// Get returns the newest known version.
	Get(name Name) (Document, bool)
	// Subscribe returns a channel that gets a token after each change below
	// prefix; the channel has a buffer of one and is never closed.
	Subscribe(prefix Name) <-chan struct{}
	// List returns the newest versions below prefix, sorted by name.
	List(prefix Name) []Document
}
