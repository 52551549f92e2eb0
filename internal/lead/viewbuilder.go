package lead

import (
	"log/slog"
	"sync"
	"time"

	"citrontray.example/citrontray/internal/custody"
	"citrontray.example/citrontray/internal/docsync"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/platform"
	"citrontray.example/citrontray/internal/settings"
)

// viewBuilder keeps the decoded documents of the board, so that a document is
// decoded once a version and not once a look. Safe for concurrent use.
type viewBuilder struct {
	replica docsync.Replica
	log     *slog.Logger

	mu           sync.Mutex
	view         *view
	readVersions map[docsync.Name]docsync.Version
	changes      uint64
}

func newViewBuilder(board docsync.Replica, log *slog.Logger) *viewBuilder {
	return &viewBuilder{
		replica:      board,
		log:          log,
		view:         &view{custody: make(map[key.Service]custodyDoc)},
		readVersions: make(map[docsync.Name]docsync.Version),
	}
}

// latest returns the newest view and the number of changes so far. The view is
// not changed afterwards.
func (l *viewBuilder) latest() (*view, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, doc := range l.newDocs() {
		l.readVersions[doc.Name] = doc.Version
		next, err := l.view.withDoc(time.Now(), doc)
		if err != nil {
			// The cells keep what they were last told.
			l.log.Error("Document not readable.", slog.String("name", string(doc.Name)), slog.Any("error", err))
			continue
		}
		l.view = next
		l.changes++
	}
	return l.view, l.changes
}

// newDocs returns the documents that the view does not reflect yet.
func (l *viewBuilder) newDocs() []docsync.Document {
	docs := l.replica.List(docsync.CustodyPrefix)
	for _, name := range []docsync.Name{docsync.Settings, docsync.Fleet} {
		if doc, ok := l.replica.Get(name); ok {
			docs = append(docs, doc)
		}
	}
	out := docs[:0]
	for _, doc := range docs {
		if seen, ok := l.readVersions[doc.Name]; !ok || seen.Less(doc.Version) {
			out = append(out, doc)
		}
	}
	return out
}

// withDoc returns a copy of the view that reflects the document as well.
func (v *view) withDoc(now time.Time, doc docsync.Document) (*view, error) {
	next := *v
	switch doc.Name {
	case docsync.Settings:
		decoded, err := settings.Decode(doc.Body)
		if err != nil {
			return nil, err
		}
		decoded.Revision = platform.Revision(doc.Version.Major)
		next.settings = decoded
		next.settingsSince = now
	case docsync.Fleet:
		fleet, err := docsync.DecodeFleet(doc.Body)
		if err != nil {
			return nil, err
		}
		next.fleet = fleet
	default:
		decoded, err := custody.Decode(doc.Body)
		if err != nil {
			return nil, err
		}
		next.custody = make(map[key.Service]custodyDoc, len(v.custody)+1)
		for service, old := range v.custody {
			next.custody[service] = old
		}
		next.custody[decoded.Service] = custodyDoc{Doc: decoded, revision: platform.Revision(doc.Version.Major)}
	}
	return &next, nil
}
