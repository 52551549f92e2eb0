package docsync

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"citrontray.example/citrontray/internal/peer"
)

const (
	// leadPollWait is how long a poll between leads waits for news.
	leadPollWait = 700 * time.Millisecond
	// entryPollWait is shorter: an entry follows one process alone and has to
	// notice its loss.
	entryPollWait = time.Second
	// responseMargin is the time on top of the wait.
	responseMargin = 400 * time.Millisecond
	fetchTimeout   = 2 * time.Second
	// sharedFetchWait is how long a document is left to another follower that gets
	// it already: the link of the process that it asks may be full.
	sharedFetchWait = 250 * time.Millisecond
	// pollInterval is the least time between two polls of one process.
	pollInterval = 20 * time.Millisecond
	// standbyPollInterval is the same for a process that says what another one says
	// too: so old is the news where that one has just failed.
	standbyPollInterval = 500 * time.Millisecond
	// standbyPromoteAfter is how many polls of it in a row bring news if the other one
	// has gone silent; one may be first by chance.
	standbyPromoteAfter = 2
	minRetryBackoff     = 50 * time.Millisecond
	maxRetryBackoff     = time.Second
)

// follower hears documents from one process.
type follower struct {
	node     *Node
	addr     netip.AddrPort
	replica  instanceID
	cursor   cursor
	failures int
	// standby tells that another process says the same, and news how many polls
	// in a row brought something all the same.
	standby    bool
	freshPolls int
}

// interval returns the least time between two polls.
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
			f.node.log.Debug("Poll failed.", slog.String("addr", f.addr.String()), slog.Any("error", err))
			sleep(ctx, retryBackoff(f.failures))
			f.failures++
			continue
		}
		f.failures = 0
		f.node.markHealthy(f.addr)
		sleep(ctx, f.interval()-time.Since(sent))
	}
}

// retryBackoff returns the time before the next attempt at a process.
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

// step polls once and takes what is newer. The cursor moves only once all of
// it has arrived.
func (f *follower) step(ctx context.Context) error {
	answer, err := f.poll(ctx)
	if err != nil {
		return err
	}
	before := f.node.replica.currentCursor()
	for _, p := range answer.inline {
		err := f.node.apply(p)
		switch {
		case errors.Is(err, errUnknownBase): // a newer version came from elsewhere meanwhile
			answer.newer = append(answer.newer, header{name: p.name, version: p.version})
		case err != nil:
			return err
		}
	}
	complete, err := f.fetch(ctx, answer.newer)
	if err != nil || !complete {
		return err
	}
	f.replica, f.cursor = answer.replica, answer.cursor
	if f.freshPolls++; f.node.replica.currentCursor() == before {
		f.freshPolls = 0
	}
	return nil
}

func (f *follower) poll(ctx context.Context) (pollResponse, error) {
	q := poll{replica: f.replica, cursor: f.cursor, wait: f.pollWait()}
	if known := f.node.known(); f.replica == 0 || len(known) <= maxAlwaysKnown {
		q.known = known
	}
	body, err := f.node.call(ctx, f.addr, q, q.wait+responseMargin)
	if err != nil {
		return pollResponse{}, err
	}
	return decodePollResponse(body)
}

// maxAlwaysKnown is how many documents a poll names always, so that the answer
// can bring their changes at once: they take some 30 bytes each.
const maxAlwaysKnown = 16

// known returns the headers of all that the board has.
func (n *Node) known() []header {
	docs := n.replica.List("")
	out := make([]header, len(docs))
	for i, doc := range docs {
		out[i] = header{name: doc.Name, version: doc.Version}
	}
	return out
}

// fetch gets the documents that are newer than the board's. Those that another
// follower of this node gets already it leaves to that one for a while. It
// reports whether all of them came.
func (f *follower) fetch(ctx context.Context, newer []header) (bool, error) {
	var mine, others []header
	var running []<-chan struct{}
	for _, h := range newer {
		if !f.node.replica.version(h.name).Less(h.version) {
			continue
		}
		other, started := f.node.fetching.begin(h)
		if started {
			mine = append(mine, h)
			continue
		}
		others, running = append(others, h), append(running, other)
	}
	complete, err := f.fetchDocs(ctx, mine)
	f.node.fetching.end(mine)
	if err != nil || len(others) == 0 {
		return complete, err
	}
	if err := waitAll(ctx, running, sharedFetchWait); err != nil {
		return false, err
	}
	late := slices.DeleteFunc(others, func(h header) bool { return !f.node.replica.version(h.name).Less(h.version) })
	came, err := f.fetchDocs(ctx, late)
	return complete && came, err
}

// waitAll waits until all channels are closed, at most for d.
func waitAll(ctx context.Context, closed []<-chan struct{}, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for _, c := range closed {
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
	var q fetch
	for _, h := range headers {
		q.wanted = append(q.wanted, header{name: h.name, version: f.node.replica.version(h.name)})
	}
	came, again, err := f.fetchOnce(ctx, q)
	if err != nil || len(again.wanted) == 0 {
		return came == len(headers), err
	}
	cameWhole, _, err := f.fetchOnce(ctx, again)
	return came+cameWhole == len(headers), err
}

// fetchOnce returns how many documents came and what has to come again, whole.
func (f *follower) fetchOnce(ctx context.Context, q fetch) (int, fetch, error) {
	var again fetch
	body, err := f.node.call(ctx, f.addr, q, fetchTimeout)
	if err != nil {
		return 0, again, err
	}
	answer, err := decodeFetchResponse(body)
	if err != nil {
		return 0, again, err
	}
	came := 0
	for _, p := range answer.docs {
		err := f.node.apply(p)
		switch {
		case errors.Is(err, errUnknownBase):
			again.wanted = append(again.wanted, header{name: p.name})
		case err != nil:
			return came, again, err
		default:
			came++
		}
	}
	return came, again, nil
}

// apply opens a parcel and offers its document to the board.
func (n *Node) apply(p encodedDoc) error {
	if !n.replica.version(p.name).Less(p.version) {
		return nil
	}
	doc, err := n.replica.decode(p)
	if err != nil {
		return err
	}
	n.replica.offer(doc, originPeer)
	return nil
}

func (n *Node) call(ctx context.Context, to netip.AddrPort, q request, timeout time.Duration) ([]byte, error) {
	body, err := encodeRequest(q)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return n.link.Call(ctx, to, peer.KindSync, body)
}

// fetchGroup holds the documents that are being fetched now, so that two
// followers of one node don't both fetch the same version.
type fetchGroup struct {
	mu      sync.Mutex
	running map[header]chan struct{}
}

// begin enters a fetch; where one runs already it returns its end.
func (f *fetchGroup) begin(h header) (<-chan struct{}, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if running, ok := f.running[h]; ok {
		return running, false
	}
	f.running[h] = make(chan struct{})
	return nil, true
}

func (f *fetchGroup) end(headers []header) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range headers {
		close(f.running[h])
		delete(f.running, h)
	}
}
