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
	// pushInterval is the least time between two pushes to one process.
	pushInterval = 20 * time.Millisecond
)

// pusher tells one process what this one published itself.
type pusher struct {
	node     *Node
	addr     netip.AddrPort
	acked    map[Name]Version
	failures int
}

// loop pushes at each change until ctx ends.
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

// step pushes what the other side has not confirmed yet.
func (p *pusher) step(ctx context.Context) error {
	parcels := p.pending()
	if len(parcels) == 0 {
		return nil
	}
	again, err := p.send(ctx, parcels)
	if err != nil {
		return err
	}
	if len(again) == 0 {
		return nil
	}
	var whole []encodedDoc
	for _, name := range again {
		if w, ok := p.node.replica.encode(name, Version{}); ok {
			whole = append(whole, w)
		}
	}
	_, err = p.send(ctx, whole)
	return err
}

// hasPending reports whether more is left to push, such as what went past the
// bound of one message.
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
		next, ok := p.node.replica.encode(doc.Name, p.acked[doc.Name])
		if !ok {
			continue
		}
		if size += len(next.payload) + len(next.name); size > maxResponseBytes && len(out) > 0 {
			break
		}
		out = append(out, next)
	}
	return out
}

// send returns the documents that have to go again, whole.
func (p *pusher) send(ctx context.Context, parcels []encodedDoc) ([]Name, error) {
	body, err := p.node.call(ctx, p.addr, push{docs: parcels}, pushTimeout)
	if err != nil {
		return nil, err
	}
	answer, err := decodePushResponse(body)
	if err != nil {
		return nil, err
	}
	for _, sent := range parcels {
		if !slices.Contains(answer.resend, sent.name) {
			p.acked[sent.name] = sent.version
		}
	}
	return answer.resend, nil
}
