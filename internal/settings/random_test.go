package settings

import (
	"context"
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"citrontray.example/citrontray/internal/platform"
)

// randomPaths is the number of paths that the operators write, randomFaults bounds the
// store faults and canceled backoffs of a run.
const (
	randomPaths  = 4
	randomFaults = 14
)

// randomOp is one commit by an operator.
type randomOp struct {
	paths  []int
	value  int
	expect bool // expect the newest number that the operator has seen
}

// randomResult is what Commit returned to an operator.
type randomResult struct {
	expect, number, winner uint64
	path                   int
	err                    error
}

// storeCall is a call that waits for the driver.
type storeCall struct {
	operator int
	write    bool
	backoff  bool
	value    []byte
	expect   platform.Revision
	arrived  int64
	response chan storeResponse
}

type storeResponse struct {
	entry platform.Entry
	err   error
	// arrived and served are the driver's steps at which the call came and was served.
	arrived, served int64
}

// scheduledStore passes each call to the driver, which draws the order and the
// faults of all calls.
type scheduledStore struct {
	platform.Store
	operator int
	calls    chan storeCall
}

func (s *scheduledStore) call(c storeCall) storeResponse {
	c.operator, c.response = s.operator, make(chan storeResponse)
	s.calls <- c
	return <-c.response
}

func (s *scheduledStore) Get(context.Context, platform.Path) (platform.Entry, error) {
	a := s.call(storeCall{})
	return a.entry, a.err
}

func (s *scheduledStore) Write(_ context.Context, _ platform.Path, value []byte, expect platform.Revision) (platform.Revision, error) {
	a := s.call(storeCall{write: true, value: value, expect: expect})
	return a.entry.Revision, a.err
}

// driver schedules the calls of operators and hosts to the store at random.
type driver struct {
	t       *rapid.T
	calls   chan storeCall
	done    chan int
	pending []storeCall
	entries []platform.Entry // all revisions
	delayed []storeCall      // writes that may still take effect
	hosts   []*Applied
	faults  int
	step    int64
	history []porcupine.Operation
}

func (d *driver) newest() platform.Entry {
	if len(d.entries) == 0 {
		return platform.Entry{}
	}
	return d.entries[len(d.entries)-1]
}

// apply performs the store's compare-and-swap.
func (d *driver) apply(c storeCall) storeResponse {
	if now := d.newest().Revision; now != c.expect {
		return storeResponse{err: &platform.ConflictError{Path: StorePath, Current: now}}
	}
	e := platform.Entry{Path: StorePath, Value: c.value, Revision: c.expect + 1}
	d.entries = append(d.entries, e)
	return storeResponse{entry: e}
}

// drawFault draws whether to inject a fault. The number of faults per run is bounded.
func (d *driver) drawFault() bool {
	if d.faults == 0 || rapid.IntRange(0, 2).Draw(d.t, "fault") > 0 {
		return false
	}
	d.faults--
	return true
}

// respondRead responds to a read, possibly with an error or a stale value.
func (d *driver) respondRead() storeResponse {
	at := len(d.entries)
	if d.drawFault() {
		if rapid.Bool().Draw(d.t, "refuse") {
			return storeResponse{err: platform.ErrUnavailable}
		}
		at = rapid.IntRange(0, len(d.entries)).Draw(d.t, "old")
	}
	if at == 0 {
		return storeResponse{err: platform.ErrNotFound}
	}
	return storeResponse{entry: d.entries[at-1]}
}

// respondWrite responds to a write; a fault may lose the response or delay the write.
func (d *driver) respondWrite(c storeCall) storeResponse {
	if !d.drawFault() {
		return d.apply(c)
	}
	switch rapid.SampledFrom([]string{"refused", "lost", "late", "never"}).Draw(d.t, "write") {
	case "refused":
		return storeResponse{err: platform.ErrUnavailable}
	case "lost":
		d.apply(c)
	case "late":
		d.delayed = append(d.delayed, c)
	}
	return storeResponse{err: platform.ErrOutcomeUnknown}
}

// serve serves one of the pending calls.
func (d *driver) serve() {
	i := rapid.IntRange(0, len(d.pending)-1).Draw(d.t, "call")
	c := d.pending[i]
	d.pending = slices.Delete(d.pending, i, i+1)
	var a storeResponse
	switch {
	case c.backoff:
		if d.drawFault() {
			a.err = context.Canceled // the operator gives up
		}
	case c.write:
		a = d.respondWrite(c)
	default:
		a = d.respondRead()
	}
	a.arrived, a.served = c.arrived, d.step
	c.response <- a
}

// applyDelayed applies a delayed write at random, if its revision still matches.
func (d *driver) applyDelayed() {
	if len(d.delayed) == 0 || rapid.IntRange(0, 3).Draw(d.t, "arrive") > 0 {
		return
	}
	d.apply(d.delayed[0])
	d.delayed = d.delayed[1:]
}

// applyOnHost applies a random past revision on a host, as a lagging watch or another
// host's replica would. The revision in force must never decrease.
func (d *driver) applyOnHost() {
	if len(d.entries) == 0 {
		return
	}
	host := rapid.SampledFrom(d.hosts).Draw(d.t, "host")
	e := rapid.SampledFrom(d.entries).Draw(d.t, "revision")
	before, number, _ := host.InForce()
	_, err := host.ApplyDocument(time.Unix(d.step, 0), e.Revision, e.Value)
	assert.NilError(d.t, err)
	after, next, _ := host.InForce()
	if after < before || next < number || after != max(before, e.Revision) {
		d.t.Fatalf("host went from revision %d (%d) to %d (%d) on applying %d", before, number, after, next, e.Revision)
	}
}

// run serves calls until all operators are done.
func (d *driver) run(operators int) {
	for active := operators; active > 0; d.step++ {
		for len(d.pending) < active {
			select {
			case c := <-d.calls:
				c.arrived = d.step
				d.pending = append(d.pending, c)
			case <-d.done:
				active--
			}
		}
		if active == 0 {
			return
		}
		slices.SortFunc(d.pending, func(a, b storeCall) int { return a.operator - b.operator })
		d.applyDelayed()
		d.applyOnHost()
		d.serve()
	}
}

func randomPath(i int) Path { return Path(fmt.Sprintf("teams/t/callers/c%d", i)) }

// runOperator passes the commits of one operator to record, which runs them.
func runOperator(store *scheduledStore, ops []randomOp, record func(i int, op randomOp, run func() randomResult)) {
	c := NewCommitter(store)
	seen := uint64(0)
	for i, op := range ops {
		record(i, op, func() randomResult {
			req := Request{ID: fmt.Sprintf("%d.%d", store.operator, i), By: fmt.Sprint(store.operator)}
			for _, p := range op.paths {
				hash := FormatHash(HashCredential(fmt.Sprint(p)))
				req.Changes = append(req.Changes, Change{Item: Item{Path: randomPath(p), Fields: []Field{
					{Name: "credential", Values: []string{hash}},
					{Name: "tenant", Values: []string{fmt.Sprintf("v%d", op.value)}},
				}}})
			}
			if op.expect {
				req.Expect = seen
			}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			c.backoff = func(context.Context) {
				if store.call(storeCall{backoff: true}).err != nil {
					cancel()
				}
			}
			done, err := c.Commit(ctx, time.Unix(0, 0), req)
			out := randomResult{expect: req.Expect, number: done.Write.Number, err: err}
			var conflict *ConflictError
			if errors.As(err, &conflict) {
				out.winner = conflict.Winner.Number
				out.path = int(conflict.Path[len(conflict.Path)-1] - '0')
				seen = max(seen, out.winner)
			}
			seen = max(seen, out.number)
			return out
		})
	}
}

// modelState is the state of the sequential model: the number, the value of each path
// and the number that last changed it.
type modelState struct {
	number  uint64
	values  [randomPaths]int
	changed [randomPaths]uint64
}

// modelWrite returns the state after op, if op can be accepted.
func modelWrite(s modelState, op randomOp, r randomResult) (modelState, bool) {
	next := s
	next.number++
	for _, p := range op.paths {
		if r.expect > 0 && s.changed[p] > r.expect {
			return s, false
		}
		if s.values[p] != op.value {
			next.values[p], next.changed[p] = op.value, next.number
		}
	}
	return next, true
}

// modelStep is the sequential specification of Commit.
func modelStep(state, input, output any) []any {
	s, op, r := state.(modelState), input.(randomOp), output.(randomResult)
	next, may := modelWrite(s, op, r)
	switch {
	case r.err == nil:
		if may && next.number == r.number {
			return []any{next}
		}
		return nil
	case errors.Is(r.err, ErrUnresolved):
		if may {
			return []any{s, next}
		}
		return []any{s}
	case r.winner > 0:
		if s.changed[r.path] >= r.winner && r.winner > r.expect {
			return []any{s}
		}
		return nil
	case errors.Is(r.err, ErrNotAccepted):
		return []any{s}
	}
	return nil
}

// checkHistory compares the results of all commits with the final document.
func (d *driver) checkHistory(final *Settings) {
	written := make(map[string]uint64)
	for i, w := range final.History {
		if w.Number != uint64(i+1) {
			d.t.Fatalf("write %s has number %d at position %d", w.ID, w.Number, i+1)
		}
		if _, twice := written[w.ID]; twice {
			d.t.Fatalf("write %s was applied twice", w.ID)
		}
		written[w.ID] = w.Number
	}
	for _, op := range d.history {
		id, r := op.Metadata.(string), op.Output.(randomResult)
		number, ok := written[id]
		switch {
		case r.err == nil && number != r.number:
			d.t.Fatalf("write %s was accepted as %d but recorded as %d", id, r.number, number)
		case r.err != nil && ok && !errors.Is(r.err, ErrUnresolved):
			d.t.Fatalf("write %s failed (%v) but was recorded as %d", id, r.err, number)
		}
	}
}

func drawOps(t *rapid.T) []randomOp {
	op := rapid.Custom(func(t *rapid.T) randomOp {
		paths := rapid.SliceOfNDistinct(rapid.IntRange(0, randomPaths-1), 1, 3, rapid.ID[int]).Draw(t, "paths")
		return randomOp{paths: paths, value: rapid.IntRange(1, 9).Draw(t, "value"), expect: rapid.Bool().Draw(t, "expect")}
	})
	return rapid.SliceOfN(op, 1, 4).Draw(t, "ops")
}

// TestRandomOperators interleaves operators, hosts and store faults at random and
// checks that the accepted writes are linearizable and never revert.
func TestRandomOperators(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &driver{t: t, calls: make(chan storeCall), done: make(chan int), faults: randomFaults}
		for range 3 {
			d.hosts = append(d.hosts, &Applied{})
		}
		operators := rapid.IntRange(1, 5).Draw(t, "operators")
		results := make([][]porcupine.Operation, operators)
		for o := range operators {
			ops := drawOps(t)
			store := &scheduledStore{operator: o, calls: d.calls}
			go func() {
				runOperator(store, ops, func(i int, op randomOp, run func() randomResult) {
					begun := store.call(storeCall{backoff: true}).served
					out := run()
					ended := store.call(storeCall{backoff: true}).arrived
					if errors.Is(out.err, ErrUnresolved) {
						ended = math.MaxInt64
					}
					results[o] = append(results[o], porcupine.Operation{
						ClientId: o, Input: op, Output: out, Call: begun, Return: ended,
						Metadata: fmt.Sprintf("%d.%d", o, i),
					})
				})
				d.done <- o
			}()
		}
		d.run(operators)
		d.history = slices.Concat(results...)
		final := &Settings{}
		if e := d.newest(); e.Revision > 0 {
			var err error
			final, err = decodeEntry(e)
			assert.NilError(t, err)
		}
		d.checkHistory(final)
		model := porcupine.NondeterministicModel{
			Init: func() []any { return []any{modelState{}} },
			Step: modelStep,
		}
		if !porcupine.CheckOperations(model.ToModel(), d.history) {
			t.Fatalf("not linearizable:\n%s", formatHistory(d.history))
		}
	})
}

func formatHistory(history []porcupine.Operation) string {
	lines := make([]string, 0, len(history))
	for _, op := range history {
		lines = append(lines, fmt.Sprintf("%v [%d,%d] %+v -> %+v", op.Metadata, op.Call, op.Return, op.Input, op.Output))
	}
	return strings.Join(lines, "\n")
}
