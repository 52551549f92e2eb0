package docsync

import (
	"context"
	"errors"
	"fmt"
	"time"

	"citrontray.example/citrontray/internal/peer"
)

// maxPollWait bounds the wait of a poll, whatever its sender asks for.
const maxPollWait = 30 * time.Second

// maxResponseBytes bounds the documents of one response or push, so that the
// message stays below peer.MaxMessage.
const maxResponseBytes = peer.MaxMessage - MaxDocumentBytes/2

// serve implements peer.Handler for KindSync.
func (n *Node) serve(ctx context.Context, from peer.Identity, body []byte) ([]byte, error) {
	req, err := decodeRequest(body)
	if err != nil {
		return nil, err
	}
	switch req := req.(type) {
	case poll:
		return encodePollResponse(n.servePoll(ctx, req))
	case fetch:
		return encodeFetchResponse(n.serveFetch(req))
	case push:
		if from.Role != peer.RoleLead {
			return nil, peer.ErrRefused
		}
		resp, err := n.servePush(req)
		if err != nil {
			return nil, err
		}
		return encodePushResponse(resp)
	}
	return nil, ErrMalformed
}

// servePoll responds at once where the follower lacks a version or polls this
// instance for the first time, otherwise at the next change or the end of the
// wait.
func (n *Node) servePoll(ctx context.Context, req poll) pollResponse {
	ctx, cancel := context.WithTimeout(ctx, min(req.wait, maxPollWait))
	defer cancel()
	if req.replica != n.replica.id {
		req.cursor = 0
	}
	known := versionsOf(req.known)
	for {
		docs, cursor, changed := n.replica.changesSince(req.cursor)
		resp := pollResponse{replica: n.replica.id, cursor: cursor}
		resp.add(n.replica, docs, known)
		if len(resp.newer)+len(resp.inline) > 0 || req.replica != n.replica.id {
			return resp
		}
		req.cursor = cursor
		select {
		case <-changed:
		case <-ctx.Done():
			return resp
		}
	}
}

func versionsOf(headers []header) map[Name]Version {
	out := make(map[Name]Version, len(headers))
	for _, h := range headers {
		out[h.name] = h.version
	}
	return out
}

// add adds documents to the response. Small documents, and small deltas against
// versions that the other process has, are included; of the others only the
// headers are.
func (r *pollResponse) add(replica *MemoryReplica, docs []Document, known map[Name]Version) {
	for _, doc := range docs {
		base, haveBase := known[doc.Name]
		switch {
		case !base.Less(doc.Version):
			continue
		case len(doc.Body) < minCompressBytes:
			r.inline = append(r.inline, encodeFull(doc))
			continue
		case haveBase:
			if encoded, ok := replica.encode(doc.Name, base); ok && len(encoded.payload) < maxInlineBytes {
				r.inline = append(r.inline, encoded)
				continue
			}
		}
		r.newer = append(r.newer, header{name: doc.Name, version: doc.Version})
	}
}

// maxInlineBytes is the encoded size from which a poll's response contains only
// the header of a changed document. The follower fetches it from one process,
// while two that it follows would both include it.
const maxInlineBytes = 1 << 10

// serveFetch encodes the requested documents. Those that don't fit into one
// response are left out; the response to the follower's next poll lists them
// again.
func (n *Node) serveFetch(req fetch) fetchResponse {
	var resp fetchResponse
	size := 0
	for _, h := range req.wanted {
		doc, ok := n.replica.encode(h.name, h.version)
		if !ok {
			continue
		}
		if size += len(doc.payload) + len(doc.name); size > maxResponseBytes && len(resp.docs) > 0 {
			break
		}
		resp.docs = append(resp.docs, doc)
	}
	return resp
}

func (n *Node) servePush(req push) (pushResponse, error) {
	var resp pushResponse
	var malformed error
	for _, doc := range req.docs {
		err := n.apply(doc)
		switch {
		case errors.Is(err, errUnknownBase):
			resp.resend = append(resp.resend, doc.name)
		case err != nil: // the others are still applied
			malformed = fmt.Errorf("%s: %w", doc.name, err)
		}
	}
	return resp, malformed
}
