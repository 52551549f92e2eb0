package spread

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
	// leadWait is how long a poll between leads waits for news.
	leadWait = 700 * time.Millisecond
	// entryWait is shorter: an entry follows one process alone and has to
	// notice its loss.
	entryWait = time.Second
	// answerMargin is the time on top of the wait.
	answerMargin = 400 * time.Millisecond
	fetchTimeout = 2 * time.Second
	// otherFetch is how long a document is left to another follower that gets
	// it already: the link of the process that it asks may be full.
	otherFetch = 250 * time.Millisecond
	// pollInterval is the least time between two polls of one process.
	pollInterval = 20 * time.Millisecond
	// spareInterval is the same for a process that says what another one says
	// too: so old is the news where that one has just failed.
	spareInterval = 500 * time.Millisecond
	// spareNews is how many polls of it in a row bring news if the other one
	// has gone silent; one may be first by chance.
	spareNews      = 2
	firstRetryWait = 50 * time.Millisecond
	maxRetryWait   = time.Second
)

// follower hears documents from one process.
type follower struct {
	node     *Node
	addr     netip.AddrPort
	board    instance
	cursor   cursor
	failures int
	// spare tells that another process says the same, and news how many polls
	// in a row brought something all the same.
	spare bool
	news  int
}

// pause returns the least time between two polls.
func (f *follower) pause() time.Duration {
	if f.spare && f.news < spareNews {
		return spareInterval
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
			f.node.failed(sent, f.addr)
			f.node.log.Debug("Poll failed.", slog.String("addr", f.addr.String()), slog.Any("error", err))
			sleep(ctx, retryWait(f.failures))
			f.failures++
			continue
		}
		f.failures = 0
		f.node.succeeded(f.addr)
		sleep(ctx, f.pause()-time.Since(sent))
	}
}

// retryWait returns the time before the next attempt at a process.
func retryWait(failures int) time.Duration {
	const maxDoublings = 8
	full := min(firstRetryWait<<min(failures, maxDoublings), maxRetryWait)
	return full/2 + rand.N(full/2)
}

func (f *follower) wait() time.Duration {
	if f.node.cfg.Self.Role == peer.RoleEntry {
		return entryWait
	}
	return leadWait
}

// step polls once and takes what is newer. The cursor moves only once all of
// it has arrived.
func (f *follower) step(ctx context.Context) error {
	answer, err := f.poll(ctx)
	if err != nil {
		return err
	}
	before := f.node.board.now()
	for _, p := range answer.small {
		err := f.node.take(p)
		switch {
		case errors.Is(err, errBase): // a newer version came from elsewhere meanwhile
			answer.newer = append(answer.newer, header{name: p.name, version: p.version})
		case err != nil:
			return err
		}
	}
	complete, err := f.fetch(ctx, answer.newer)
	if err != nil || !complete {
		return err
	}
	f.board, f.cursor = answer.board, answer.cursor
	if f.news++; f.node.board.now() == before {
		f.news = 0
	}
	return nil
}

func (f *follower) poll(ctx context.Context) (pollAnswer, error) {
	q := poll{board: f.board, cursor: f.cursor, wait: f.wait()}
	if known := f.node.known(); f.board == 0 || len(known) <= fewDocuments {
		q.known = known
	}
	body, err := f.node.call(ctx, f.addr, q, q.wait+answerMargin)
	if err != nil {
		return pollAnswer{}, err
	}
	return decodePollAnswer(body)
}

// fewDocuments is how many documents a poll names always, so that the answer
// can bring their changes at once: they take some 30 bytes each.
const fewDocuments = 16

// known returns the headers of all that the board has.
func (n *Node) known() []header {
	docs := n.board.List("")
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
		if !f.node.board.version(h.name).Less(h.version) {
			continue
		}
		other, started := f.node.fetching.start(h)
		if started {
			mine = append(mine, h)
			continue
		}
		others, running = append(others, h), append(running, other)
	}
	complete, err := f.fetchMine(ctx, mine)
	f.node.fetching.end(mine)
	if err != nil || len(others) == 0 {
		return complete, err
	}
	if err := await(ctx, running, otherFetch); err != nil {
		return false, err
	}
	late := slices.DeleteFunc(others, func(h header) bool { return !f.node.board.version(h.name).Less(h.version) })
	came, err := f.fetchMine(ctx, late)
	return complete && came, err
}

// await waits until all channels are closed, at most for d.
func await(ctx context.Context, closed []<-chan struct{}, d time.Duration) error {
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

func (f *follower) fetchMine(ctx context.Context, headers []header) (bool, error) {
	if len(headers) == 0 {
		return true, nil
	}
	var q fetch
	for _, h := range headers {
		q.wanted = append(q.wanted, header{name: h.name, version: f.node.board.version(h.name)})
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
	answer, err := decodeParcelAnswer(body)
	if err != nil {
		return 0, again, err
	}
	came := 0
	for _, p := range answer.parcels {
		err := f.node.take(p)
		switch {
		case errors.Is(err, errBase):
			again.wanted = append(again.wanted, header{name: p.name})
		case err != nil:
			return came, again, err
		default:
			came++
		}
	}
	return came, again, nil
}

// take opens a parcel and offers its document to the board.
func (n *Node) take(p parcel) error {
	if !n.board.version(p.name).Less(p.version) {
		return nil
	}
	doc, err := n.board.open(p)
	if err != nil {
		return err
	}
	n.board.offer(doc, originPeer)
	return nil
}

func (n *Node) call(ctx context.Context, to netip.AddrPort, q question, timeout time.Duration) ([]byte, error) {
	body, err := encodeQuestion(q)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return n.link.Call(ctx, to, peer.KindSpread, body)
}

// flight holds the documents that are being fetched now, so that two
// followers of one node don't both fetch the same version.
type flight struct {
	mu      sync.Mutex
	running map[header]chan struct{}
}

// start enters a fetch; where one runs already it returns its end.
func (f *flight) start(h header) (<-chan struct{}, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if running, ok := f.running[h]; ok {
		return running, false
	}
	f.running[h] = make(chan struct{})
	return nil, true
}

func (f *flight) end(headers []header) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range headers {
		close(f.running[h])
		delete(f.running, h)
	}
}
