package spread

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
	told     map[Name]Version
	failures int
}

// loop pushes at each change until ctx ends.
func (p *pusher) loop(ctx context.Context) {
	for ctx.Err() == nil {
		changed := p.node.board.change()
		sent := time.Now()
		if err := p.step(ctx); err != nil {
			if ctx.Err() != nil {
				return
			}
			p.node.failed(sent, p.addr)
			p.node.log.Debug("Push failed.", slog.String("addr", p.addr.String()), slog.Any("error", err))
			sleep(ctx, retryWait(p.failures))
			p.failures++
			continue
		}
		p.failures = 0
		sleep(ctx, pushInterval-time.Since(sent))
		if p.behind() {
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
	var whole []parcel
	for _, name := range again {
		if w, ok := p.node.board.pack(name, Version{}); ok {
			whole = append(whole, w)
		}
	}
	_, err = p.send(ctx, whole)
	return err
}

// behind reports whether more is left to push, such as what went past the
// bound of one message.
func (p *pusher) behind() bool {
	for _, doc := range p.node.board.local() {
		if p.told[doc.Name].Less(doc.Version) {
			return true
		}
	}
	return false
}

func (p *pusher) pending() []parcel {
	var out []parcel
	size := 0
	for _, doc := range p.node.board.local() {
		if !p.told[doc.Name].Less(doc.Version) {
			continue
		}
		next, ok := p.node.board.pack(doc.Name, p.told[doc.Name])
		if !ok {
			continue
		}
		if size += len(next.payload) + len(next.name); size > answerBytes && len(out) > 0 {
			break
		}
		out = append(out, next)
	}
	return out
}

// send returns the documents that have to go again, whole.
func (p *pusher) send(ctx context.Context, parcels []parcel) ([]Name, error) {
	body, err := p.node.call(ctx, p.addr, push{parcels: parcels}, pushTimeout)
	if err != nil {
		return nil, err
	}
	answer, err := decodePushAnswer(body)
	if err != nil {
		return nil, err
	}
	for _, sent := range parcels {
		if !slices.Contains(answer.again, sent.name) {
			p.told[sent.name] = sent.version
		}
	}
	return answer.again, nil
}
