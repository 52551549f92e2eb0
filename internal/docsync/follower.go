package docsync

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"citrontray.example/citrontray/internal/peer"
)

const (
	// leadPollWait is how long a poll of a lead process waits for a change.
	leadPollWait = 700 * time.Millisecond
	// entryPollWait is the same for an entry process. An entry process follows
	// one process alone, so the wait bounds the time until it notices that this
	// one has failed.
	entryPollWait = time.Second
	// responseMargin is how much longer than its wait a poll may take.
	responseMargin = 400 * time.Millisecond
	fetchTimeout   = 2 * time.Second
	// sharedFetchWait is how long a follower waits for a document that another
	// one is fetching already. After that it fetches the document too: the link
	// to the other's source may be congested.
	sharedFetchWait = 250 * time.Millisecond
	// pollInterval is the shortest time between two polls of one process.
	pollInterval = 20 * time.Millisecond
	// standbyPollInterval is the same for a standby, whose documents another
	// process has too. Where that one has just failed, a change is noticed with
	// this delay.
	standbyPollInterval = 500 * time.Millisecond
	// standbyPromoteAfter is the number of polls in a row with new documents
	// after which a standby is polled at pollInterval: the preferred process no
	// longer responds in time. In a single poll, the standby may be the first
	// with a new document by chance.
	standbyPromoteAfter = 2
	minRetryBackoff     = 50 * time.Millisecond
	maxRetryBackoff     = time.Second
)

// follower receives documents from one process by polling it.
type follower struct {
	node     *Node
	addr     netip.AddrPort
	replica  instanceID
	cursor   cursor
	failures int
	// standby is set where another process has the same documents. freshPolls
	// counts the polls in a row with new documents.
	standby    bool
	freshPolls int
}

// interval returns the shortest time between the starts of two polls.
func (f *follower) interval() time.Duration {
	if f.standby && f.freshPolls < standbyPromoteAfter {
		return standbyPollInterval
	}
	return pollInterval
}

// loop polls until ctx ends.
func (f *follower) loop(ctx context.Context) {
	for ctx.Err() == nil {
		sent := time.Now()
		if err := f.step(ctx); err != nil {
			if ctx.Err() != nil {
				return
			}
			f.node.markFailed(sent, f.addr)
			f.logFailed(err)
			sleep(ctx, retryBackoff(f.failures))
			f.failures++
			continue
		}
		f.failures = 0
		f.node.markHealthy(f.addr)
		sleep(ctx, f.interval()-time.Since(sent))
	}
}

// logFailed logs a failed poll. A process that can't be reached is nothing unusual, one whose
// response can't be decoded may run another build.
func (f *follower) logFailed(err error) {
	addr, cause := slog.String("addr", f.addr.String()), slog.Any("error", err)
	if errors.Is(err, ErrMalformed) || errors.Is(err, errMalformedDoc) {
		f.node.log.Warn("Response of another process not decodable.", addr, cause)
		return
	}
	f.node.log.Debug("Poll failed.", addr, cause)
}

// retryBackoff returns the time before the next attempt to reach a process:
// exponential with jitter.
func retryBackoff(failures int) time.Duration {
	const maxDoublings = 8
	full := min(minRetryBackoff<<min(failures, maxDoublings), maxRetryBackoff)
	return full/2 + rand.N(full/2)
}

func (f *follower) pollWait() time.Duration {
	if f.node.cfg.Self.Role == peer.RoleEntry {
		return entryPollWait
	}
	return leadPollWait
}

// step polls once and applies the newer documents. The cursor advances only
// once all of them have arrived.
func (f *follower) step(ctx context.Context) error {
	resp, err := f.poll(ctx)
	if err != nil {
		return err
	}
	before := f.node.replica.currentCursor()
	var malformed error
	for _, doc := range resp.inline {
		err := f.node.apply(doc)
		switch {
		case errors.Is(err, errUnknownBase): // the base was replaced by a newer version meanwhile
			resp.newer = append(resp.newer, header{name: doc.name, version: doc.version})
		case err != nil: // the others are still applied
			malformed = fmt.Errorf("%s: %w", doc.name, err)
		}
	}
	complete, err := f.fetch(ctx, resp.newer)
	if err = cmp.Or(err, malformed); err != nil || !complete {
		return err
	}
	f.replica, f.cursor = resp.replica, resp.cursor
	if f.freshPolls++; f.node.replica.currentCursor() == before {
		f.freshPolls = 0
	}
	return nil
}

func (f *follower) poll(ctx context.Context) (pollResponse, error) {
	req := poll{replica: f.replica, cursor: f.cursor, wait: f.pollWait()}
	if known := f.node.known(); f.replica == 0 || len(known) <= maxAlwaysKnown {
		req.known = known
	}
	body, err := f.node.call(ctx, f.addr, req, req.wait+responseMargin)
	if err != nil {
		return pollResponse{}, err
	}
	return decodePollResponse(body)
}

// maxAlwaysKnown is the number of documents up to which each poll lists their
// known versions, so that the response can contain deltas. They take about 30
// bytes each.
const maxAlwaysKnown = 16

// known returns the headers of all documents in the replica.
func (n *Node) known() []header {
	docs := n.replica.List("")
	out := make([]header, len(docs))
	for i, doc := range docs {
		out[i] = header{name: doc.Name, version: doc.Version}
	}
	return out
}

// fetch fetches the documents that are newer than the replica's. It waits at
// most sharedFetchWait for those that another follower of this node is
// fetching. It reports whether all of them arrived.
func (f *follower) fetch(ctx context.Context, newer []header) (bool, error) {
	var own, others []header
	var running []<-chan struct{}
	for _, h := range newer {
		if !f.node.replica.version(h.name).Less(h.version) {
			continue
		}
		done, started := f.node.fetching.begin(h)
		if started {
			own = append(own, h)
			continue
		}
		others, running = append(others, h), append(running, done)
	}
	complete, err := f.fetchDocs(ctx, own)
	f.node.fetching.end(own)
	if err != nil || len(others) == 0 {
		return complete, err
	}
	if err := waitAll(ctx, running, sharedFetchWait); err != nil {
		return false, err
	}
	missing := slices.DeleteFunc(others, func(h header) bool { return !f.node.replica.version(h.name).Less(h.version) })
	received, err := f.fetchDocs(ctx, missing)
	return complete && received, err
}

// waitAll waits until all channels are closed, for at most d.
func waitAll(ctx context.Context, channels []<-chan struct{}, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for _, c := range channels {
		select {
		case <-c:
		case <-timer.C:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

func (f *follower) fetchDocs(ctx context.Context, headers []header) (bool, error) {
	if len(headers) == 0 {
		return true, nil
	}
	var req fetch
	for _, h := range headers {
		req.wanted = append(req.wanted, header{name: h.name, version: f.node.replica.version(h.name)})
	}
	received, resend, err := f.fetchOnce(ctx, req)
	if err != nil || len(resend.wanted) == 0 {
		return received == len(headers), err
	}
	receivedFull, _, err := f.fetchOnce(ctx, resend)
	return received+receivedFull == len(headers), err
}

// fetchOnce sends one fetch. It returns how many documents arrived and which
// ones have to be fetched again in full.
func (f *follower) fetchOnce(ctx context.Context, req fetch) (int, fetch, error) {
	var resend fetch
	body, err := f.node.call(ctx, f.addr, req, fetchTimeout)
	if err != nil {
		return 0, resend, err
	}
	resp, err := decodeFetchResponse(body)
	if err != nil {
		return 0, resend, err
	}
	received := 0
	var malformed error
	for _, doc := range resp.docs {
		err := f.node.apply(doc)
		switch {
		case errors.Is(err, errUnknownBase):
			resend.wanted = append(resend.wanted, header{name: doc.name})
		case err != nil: // the others are still applied
			malformed = fmt.Errorf("%s: %w", doc.name, err)
		default:
			received++
		}
	}
	return received, resend, malformed
}

// apply decodes a document and offers it to the replica.
func (n *Node) apply(e encodedDoc) error {
	if !n.replica.version(e.name).Less(e.version) {
		return nil
	}
	doc, err := n.replica.decode(e)
	if err != nil {
		return err
	}
	n.replica.offer(doc, originPeer)
	return nil
}

func (n *Node) call(ctx context.Context, to netip.AddrPort, req request, timeout time.Duration) ([]byte, error) {
	body, err := encodeRequest(req)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return n.transport.Call(ctx, to, peer.KindSync, body)
}

// fetchGroup tracks the fetches in flight, so that two followers of one node
// don't fetch the same version at the same time.
type fetchGroup struct {
	mu      sync.Mutex
	running map[header]chan struct{}
}

// begin registers a fetch and returns true. Where one is in flight already, it
// returns the channel that is closed at its end, and false.
func (g *fetchGroup) begin(h header) (<-chan struct{}, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if running, ok := g.running[h]; ok {
		return running, false
	}
	g.running[h] = make(chan struct{})
	return nil, true
}

func (g *fetchGroup) end(headers []header) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, h := range headers {
		close(g.running[h])
		delete(g.running, h)
	}
}
