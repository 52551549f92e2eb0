package docsync

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
)

const (
	// MaxDocumentBytes bounds the body of one document.
	MaxDocumentBytes = 4 << 20
	// MaxDocuments bounds the documents of one replica.
	MaxDocuments = 4096
	// maxReplicaBytes bounds all bodies of one replica together, older versions
	// included.
	maxReplicaBytes = 64 << 20
	// maxOlderVersions is how many older bodies of a document are kept as bases
	// of deltas.
	maxOlderVersions = 3
)

// origin is where a document came from.
type origin uint8

const (
	originLocal origin = iota // published by this process
	originStore               // read from the store
	originPeer                // received from another process
)

// instanceID identifies one instance of a replica: it differs after a restart.
type instanceID uint64

// cursor counts the changes of one replica.
type cursor uint64

// MemoryReplica is a Replica in memory. It also keeps a cursor and older
// versions, by which its Node sends other processes only the changes.
type MemoryReplica struct {
	id instanceID

	mu            sync.Mutex
	docs          map[Name]*docState
	bytes         int
	cursor        cursor
	changed       chan struct{} // closed at the next change
	subscriptions []subscription
}

var _ Replica = (*MemoryReplica)(nil)

// docState holds the newest version of one document and a few older ones.
type docState struct {
	Document

	origin origin
	// cursor is the replica's cursor after the change to this version.
	cursor cursor
	// older holds the versions before this one, newest first.
	older []Document
	// encodings caches this version as encoded for transfer, by the base of the
	// delta. The zero version is the key of the full encoding.
	encodings map[Version]encodedDoc
}

type subscription struct {
	prefix Name
	tokens chan struct{}
}

// New returns an empty replica.
func New() *MemoryReplica {
	return &MemoryReplica{
		id:      instanceID(rand.Uint64()),
		docs:    make(map[Name]*docState),
		changed: make(chan struct{}),
	}
}

// Publish implements Replica. It refuses a document beyond the size limits.
func (m *MemoryReplica) Publish(doc Document) bool { return m.offer(doc, originLocal) }

// PublishFromStore is Publish for a document that was read from the store. It
// is not pushed to other processes: the watchers read it from the store
// themselves.
func (m *MemoryReplica) PublishFromStore(doc Document) bool { return m.offer(doc, originStore) }

func (m *MemoryReplica) offer(doc Document, from origin) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.docs[doc.Name]
	if r != nil && !r.Version.Less(doc.Version) {
		return false
	}
	if !m.makeRoom(r, doc) {
		return false
	}
	if r == nil {
		r = &docState{}
		m.docs[doc.Name] = r
	}
	m.bytes += len(doc.Body)
	m.retainOlder(r)
	m.cursor++
	r.Document, r.origin, r.cursor, r.encodings = doc, from, m.cursor, nil
	m.notify(doc.Name)
	return true
}

// makeRoom reports whether a document fits into the replica, after dropping all
// older versions where there is too little space.
func (m *MemoryReplica) makeRoom(r *docState, doc Document) bool {
	if r == nil && len(m.docs) >= MaxDocuments || len(doc.Body) > MaxDocumentBytes {
		return false
	}
	if m.bytes+len(doc.Body) > maxReplicaBytes {
		m.dropOlder()
	}
	replaced := 0
	if r != nil {
		replaced = len(r.Body)
	}
	return m.bytes-replaced+len(doc.Body) <= maxReplicaBytes
}

func (m *MemoryReplica) dropOlder() {
	for _, r := range m.docs {
		for _, older := range r.older {
			m.bytes -= len(older.Body)
		}
		r.older, r.encodings = nil, nil
	}
}

// retainOlder moves the present body to the older versions, where it is large
// enough for deltas.
func (m *MemoryReplica) retainOlder(r *docState) {
	if len(r.Body) >= minDeltaBytes && m.bytes <= maxReplicaBytes {
		r.older = slices.Insert(r.older, 0, r.Document)
	} else {
		m.bytes -= len(r.Body)
	}
	for len(r.older) > maxOlderVersions {
		last := len(r.older) - 1
		m.bytes -= len(r.older[last].Body)
		r.older = slices.Delete(r.older, last, last+1)
	}
}

func (m *MemoryReplica) notify(name Name) {
	close(m.changed)
	m.changed = make(chan struct{})
	for _, s := range m.subscriptions {
		if !strings.HasPrefix(string(name), string(s.prefix)) {
			continue
		}
		select {
		case s.tokens <- struct{}{}:
		default: // a token is already pending
		}
	}
}

// Get implements Replica.
func (m *MemoryReplica) Get(name Name) (Document, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.docs[name]
	if r == nil {
		return Document{}, false
	}
	return r.Document, true
}

// Subscribe implements Replica.
func (m *MemoryReplica) Subscribe(prefix Name) <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	tokens := make(chan struct{}, 1)
	m.subscriptions = append(m.subscriptions, subscription{prefix: prefix, tokens: tokens})
	return tokens
}

// List implements Replica.
func (m *MemoryReplica) List(prefix Name) []Document {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]Document, 0, len(m.docs))
	for name, r := range m.docs {
		if strings.HasPrefix(string(name), string(prefix)) {
			out = append(out, r.Document)
		}
	}
	slices.SortFunc(out, func(a, b Document) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// changesSince returns the documents that changed after the cursor, the cursor
// to continue from and a channel that is closed at the next change.
func (m *MemoryReplica) changesSince(from cursor) ([]Document, cursor, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if from >= m.cursor {
		return nil, m.cursor, m.changed
	}
	var out []Document
	for _, r := range m.docs {
		if r.cursor > from {
			out = append(out, r.Document)
		}
	}
	slices.SortFunc(out, func(a, b Document) int { return cmp.Compare(a.Name, b.Name) })
	return out, m.cursor, m.changed
}

// localDocs returns the documents that this process published itself.
func (m *MemoryReplica) localDocs() []Document {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Document
	for _, r := range m.docs {
		if r.origin == originLocal {
			out = append(out, r.Document)
		}
	}
	slices.SortFunc(out, func(a, b Document) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// nextChange returns a channel that is closed at the next change.
func (m *MemoryReplica) nextChange() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// currentCursor returns the cursor after the last change.
func (m *MemoryReplica) currentCursor() cursor {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cursor
}

// version returns the newest known version of a document, the zero version for
// none.
func (m *MemoryReplica) version(name Name) Version {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r := m.docs[name]; r != nil {
		return r.Version
	}
	return Version{}
}
