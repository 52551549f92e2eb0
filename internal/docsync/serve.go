package docsync

import (
	"context"
	"errors"
	"time"

	"citrontray.example/citrontray/internal/peer"
)

// maxPollWait bounds how long a poll may wait here.
const maxPollWait = 30 * time.Second

// maxResponseBytes bounds the documents of one answer, so that it stays below
// peer.MaxMessage.
const maxResponseBytes = peer.MaxMessage - MaxDocumentBytes/2

// serve implements peer.Handler for KindSpread.
func (n *Node) serve(ctx context.Context, from peer.Identity, body []byte) ([]byte, error) {
	q, err := decodeRequest(body)
	if err != nil {
		return nil, err
	}
	switch q := q.(type) {
	case poll:
		return encodePollResponse(n.servePoll(ctx, q))
	case fetch:
		return encodeFetchResponse(n.serveFetch(q))
	case push:
		if from.Role != peer.RoleLead {
			return nil, peer.ErrRefused
		}
		answer, err := n.servePush(q)
		if err != nil {
			return nil, err
		}
		return encodePushResponse(answer)
	}
	return nil, ErrMalformed
}

// servePoll answers at once where there is news, otherwise at the next change
// or the end of the wait.
func (n *Node) servePoll(ctx context.Context, q poll) pollResponse {
	ctx, cancel := context.WithTimeout(ctx, min(q.wait, maxPollWait))
	defer cancel()
	if q.replica != n.replica.id {
		q.cursor = 0
	}
	known := versionsOf(q.known)
	for {
		docs, cursor, changed := n.replica.changesSince(q.cursor)
		answer := pollResponse{replica: n.replica.id, cursor: cursor}
		answer.add(n.replica, docs, known)
		if len(answer.newer)+len(answer.inline) > 0 || q.replica != n.replica.id {
			return answer
		}
		q.cursor = cursor
		select {
		case <-changed:
		case <-ctx.Done():
			return answer
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

// add tells of documents: small ones, and small changes of what the asking
// process has, come along.
func (a *pollResponse) add(board *MemoryReplica, docs []Document, known map[Name]Version) {
	for _, doc := range docs {
		base, has := known[doc.Name]
		switch {
		case !base.Less(doc.Version):
			continue
		case len(doc.Body) < minCompressBytes:
			a.inline = append(a.inline, encodeFull(doc))
			continue
		case has:
			if p, ok := board.encode(doc.Name, base); ok && len(p.payload) < maxInlineBytes {
				a.inline = append(a.inline, p)
				continue
			}
		}
		a.newer = append(a.newer, header{name: doc.Name, version: doc.Version})
	}
}

// maxInlineBytes is the size from which a document is named in an answer rather
// than put into it: two followed processes would both send it.
const maxInlineBytes = 1 << 10

// serveFetch packs the wanted documents. One that goes past the bound of an
// answer is left out; the follower's next poll names it again.
func (n *Node) serveFetch(q fetch) fetchResponse {
	var answer fetchResponse
	size := 0
	for _, h := range q.wanted {
		p, ok := n.replica.encode(h.name, h.version)
		if !ok {
			continue
		}
		if size += len(p.payload) + len(p.name); size > maxResponseBytes && len(answer.docs) > 0 {
			break
		}
		answer.docs = append(answer.docs, p)
	}
	return answer
}

func (n *Node) servePush(q push) (pushResponse, error) {
	var answer pushResponse
	for _, p := range q.docs {
		err := n.apply(p)
		switch {
		case errors.Is(err, errUnknownBase):
			answer.resend = append(answer.resend, p.name)
		case err != nil:
			return answer, err
		}
	}
	return answer, nil
}
