package docsync

import (
	"context"
	"log/slog"
	"net/netip"
	"slices"
	"time"
)

const (
	pushTimeout = 2 * time.Second
	// pushInterval is the shortest time between two pushes to one process.
	pushInterval = 20 * time.Millisecond
)

// pusher pushes the documents that this process published itself, to one other
// process.
type pusher struct {
	node     *Node
	addr     netip.AddrPort
	acked    map[Name]Version
	failures int
}

// loop pushes after each change until ctx ends.
func (p *pusher) loop(ctx context.Context) {
	for ctx.Err() == nil {
		changed := p.node.replica.nextChange()
		sent := time.Now()
		if err := p.step(ctx); err != nil {
			if ctx.Err() != nil {
				return
			}
			p.node.markFailed(sent, p.addr)
			p.node.log.Debug("Push failed.", slog.String("addr", p.addr.String()), slog.Any("error", err))
			sleep(ctx, retryBackoff(p.failures))
			p.failures++
			continue
		}
		p.failures = 0
		sleep(ctx, pushInterval-time.Since(sent))
		if p.hasPending() {
			continue
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// step pushes the versions that the other process hasn't acknowledged yet.
func (p *pusher) step(ctx context.Context) error {
	docs := p.pending()
	if len(docs) == 0 {
		return nil
	}
	resend, err := p.send(ctx, docs)
	if err != nil {
		return err
	}
	if len(resend) == 0 {
		return nil
	}
	var full []encodedDoc
	for _, name := range resend {
		if doc, ok := p.node.replica.encode(name, Version{}); ok {
			full = append(full, doc)
		}
	}
	_, err = p.send(ctx, full)
	return err
}

// hasPending reports whether there is more to push, such as documents that
// didn't fit into one message.
func (p *pusher) hasPending() bool {
	for _, doc := range p.node.replica.localDocs() {
		if p.acked[doc.Name].Less(doc.Version) {
			return true
		}
	}
	return false
}

func (p *pusher) pending() []encodedDoc {
	var out []encodedDoc
	size := 0
	for _, doc := range p.node.replica.localDocs() {
		if !p.acked[doc.Name].Less(doc.Version) {
			continue
		}
		encoded, ok := p.node.replica.encode(doc.Name, p.acked[doc.Name])
		if !ok {
			continue
		}
		if size += len(encoded.payload) + len(encoded.name); size > maxResponseBytes && len(out) > 0 {
			break
		}
		out = append(out, encoded)
	}
	return out
}

// send pushes a batch and returns the documents that have to be sent again in
// full.
func (p *pusher) send(ctx context.Context, batch []encodedDoc) ([]Name, error) {
	body, err := p.node.call(ctx, p.addr, push{docs: batch}, pushTimeout)
	if err != nil {
		return nil, err
	}
	resp, err := decodePushResponse(body)
	if err != nil {
		return nil, err
	}
	for _, sent := range batch {
		if !slices.Contains(resp.resend, sent.name) {
			p.acked[sent.name] = sent.version
		}
	}
	return resp.resend, nil
}
