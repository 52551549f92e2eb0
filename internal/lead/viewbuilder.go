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

// viewBuilder builds views from the documents of the replica. It decodes each version of
// a document once, not for each use. It is safe for concurrent use.
type viewBuilder struct {
	replica docsync.Replica
	log     *slog.Logger

	mu           sync.Mutex
	view         *view
	readVersions map[docsync.Name]docsync.Version
	changes      uint64
}

func newViewBuilder(replica docsync.Replica, log *slog.Logger) *viewBuilder {
	return &viewBuilder{
		replica:      replica,
		log:          log,
		view:         &view{custody: make(map[key.Service]custodyDoc)},
		readVersions: make(map[docsync.Name]docsync.Version),
	}
}

// latest returns the latest view and the number of changes so far. The view is immutable.
func (b *viewBuilder) latest() (*view, uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, doc := range b.newDocs() {
		b.readVersions[doc.Name] = doc.Version
		next, err := b.view.withDoc(time.Now(), doc)
		if err != nil {
			// The cells go on with the last version that could be decoded.
			b.log.Error("Document not decodable, keeping the last one.", slog.String("name", string(doc.Name)), slog.Any("error", err))
			continue
		}
		b.view = next
		b.changes++
	}
	return b.view, b.changes
}

// newDocs returns the documents whose newest version has not been read yet.
func (b *viewBuilder) newDocs() []docsync.Document {
	docs := b.replica.List(docsync.CustodyPrefix)
	for _, name := range []docsync.Name{docsync.Settings, docsync.Fleet} {
		if doc, ok := b.replica.Get(name); ok {
			docs = append(docs, doc)
		}
	}
	out := docs[:0]
	for _, doc := range docs {
		if read, ok := b.readVersions[doc.Name]; !ok || read.Less(doc.Version) {
			out = append(out, doc)
		}
	}
	return out
}

// withDoc returns a copy of the view with the document decoded into it. It returns an
// error for a document that cannot be decoded.
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
