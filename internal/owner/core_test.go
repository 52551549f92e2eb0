package owner

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/partition"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/platform"
	"citrontray.example/citrontray/internal/target"
)

func testConfig() Config {
	return Config{
		Service: "s", Host: "h", Incarnation: 1, GrantDuration: 4 * time.Second, RenewInterval: time.Second, OrderTimeout: 600 * time.Millisecond,
		MaxOrderTransit: 30 * time.Second,
		RenewGrace:      8 * time.Second, LeaseTTL: 1800 * time.Millisecond, PlanInterval: 200 * time.Millisecond, FirstGrantTimeout: 800 * time.Millisecond,
		Plan: partition.Config{MaxMoves: 12, MaxSpans: 6, MaxImbalance: 0.25, MinGap: 0.15}, SettleTime: time.Second,
		LeaseFreshness: 900 * time.Millisecond, ConfirmTimeout: 300 * time.Millisecond, ReclaimTimeout: 400 * time.Millisecond,
	}
}

func testTargets(n int) map[place.Target]place.TargetRow {
	out := make(map[place.Target]place.TargetRow)
	for i := range n {
		name := place.Target(fmt.Sprintf("t%d", i))
		out[name] = place.TargetRow{
			Target: name, Service: "s", Zone: "z", Incarnation: 1, Slots: 3,
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
		}
	}
	return out
}

func TestFirstOwners(t *testing.T) {
	c := New(testConfig())
	now := time.Unix(1000, 0)
	doc := EmptyDoc("s")
	doc.Term, doc.Leader, doc.LeaderIncarnation = 1, "h", 1
	c.BeginTerm(now, doc, 5, now.Add(c.cfg.LeaseTTL), PriorEnded)
	c.SetTargets(now, testTargets(3))
	c.Tick(now)
	now = now.Add(1100 * time.Millisecond)
	c.ExtendLease(now.Add(c.cfg.LeaseTTL))
	var write WriteDoc
	for _, e := range c.Tick(now) {
		if w, ok := e.(WriteDoc); ok {
			write = w
		}
	}
	assert.Equal(t, len(write.Doc.Rows), 3)
}

// driver runs a core and carries out its effects immediately.
type driver struct {
	*Core

	now      time.Time
	revision platform.Revision
	// refuseWrites makes the store refuse writes; refusedWrites counts them.
	refuseWrites  bool
	refusedWrites int
	// conn is the connection of the last grants to each target.
	conn map[place.Target]uint64
	// storeDown stops renewals of the lease and makes writes fail, writesHang holds
	// writes back, and releasesHang holds releases back, as running work does.
	storeDown, writesHang, releasesHang bool
	heldBack                            []Effect
	// grantsHang holds grants back.
	grantsHang bool
	// unresponsiveTarget does not respond to orders.
	unresponsiveTarget place.Target
	tables             []*Table
	notes              []Note
}

func newDriver(targets int) *driver {
	d := &driver{Core: New(testConfig()), now: time.Unix(1000, 0), revision: 5, conn: make(map[place.Target]uint64)}
	doc := EmptyDoc("s")
	doc.Term, doc.Leader, doc.LeaderIncarnation = 1, "h", 1
	d.BeginTerm(d.now, doc, d.revision, d.now.Add(d.cfg.LeaseTTL), PriorEnded)
	d.SetTargets(d.now, testTargets(targets))
	return d
}

// run advances time in steps of 20 ms, with the lease renewed at each.
func (d *driver) run(span time.Duration) {
	for end := d.now.Add(span); d.now.Before(end); d.now = d.now.Add(20 * time.Millisecond) {
		if !d.storeDown {
			d.ExtendLease(d.now.Add(d.cfg.LeaseTTL))
		}
		for _, e := range d.Tick(d.now) {
			d.do(e)
		}
	}
}

// answerHeldBack carries out all effects that were held back.
func (d *driver) answerHeldBack() {
	held := d.heldBack
	d.releasesHang, d.writesHang, d.heldBack = false, false, nil
	for _, e := range held {
		d.do(e)
	}
}

func (d *driver) do(e Effect) {
	switch e := e.(type) {
	case SendGrants:
		if d.grantsHang {
			d.heldBack = append(d.heldBack, e)
			return
		}
		d.conn[e.Target] = e.Conn
		results := make([]error, len(e.Grants))
		if e.Target == d.unresponsiveTarget {
			for i := range results {
				results[i] = target.ErrUnanswered
			}
		}
		d.Granted(d.now, e, results)
	case SendRelease:
		if d.releasesHang {
			d.heldBack = append(d.heldBack, e)
			return
		}
		d.Released(d.now, e, "token", nil)
	case WriteDoc:
		if d.writesHang {
			d.heldBack = append(d.heldBack, e)
			return
		}
		if d.refuseWrites || d.storeDown {
			d.refusedWrites++
			d.NotWritten(d.now, e)
			return
		}
		d.revision++
		d.Written(d.now, e, d.revision)
	case Publish:
		d.tables = append(d.tables, e.Table)
	case Note:
		d.notes = append(d.notes, e)
	}
}

// TestStoreRefusesOwner: a range whose new owner can't be recorded returns to the old
// one and is served there.
func TestStoreRefusesOwner(t *testing.T) {
	d := newDriver(2)
	d.run(3 * time.Second)
	first := d.tables[len(d.tables)-1].Spans[0]
	var meter partition.Meter
	for p := range first.Range.Last {
		meter.Add(d.now, p, 1)
	}
	meter.Decay(d.now)
	var load partition.Load
	meter.Load(d.now, &load, 20*time.Microsecond)
	d.SetLoad(&load, nil, nil) // the first target has far more load than the second
	d.refuseWrites = true
	d.run(2 * time.Second)
	assert.Assert(t, d.refusedWrites > 0, "no write was attempted")
	// Reclaimed after 0.4 s, planned again after 2 s: each call is billed.
	assert.Assert(t, d.refusedWrites <= 5, "%d writes to a store that refuses all", d.refusedWrites)
	last := d.tables[len(d.tables)-1]
	for _, s := range last.Spans {
		assert.Assert(t, s.Target != "", "%v has no owner", s.Range)
		assert.Equal(t, s.Target == first.Target, s.Range.Last <= first.Range.Last, "%v moved", s.Range)
	}
}

// TestMoveDuringStoreOutage: a range that moves to rebalance load when a store outage
// begins is soon served by the owner named in the document, and remains so until the
// renewal grace ends.
func TestMoveDuringStoreOutage(t *testing.T) {
	const maxGap = 900 * time.Millisecond // ReleaseNotice, ConfirmTimeout or ReclaimTimeout, and tables
	for name, test := range map[string]struct {
		// until advances time to the point of the move at which the outage begins.
		until func(d *driver)
	}{
		"before the plan": {func(*driver) {}},
		"between plan and release": {func(d *driver) {
			d.runUntil(func() bool { return d.countState(releasePending) > 0 })
		}},
		"between release and record": {func(d *driver) {
			d.releasesHang = true
			d.runUntil(func() bool { return d.countState(releasing) > 0 })
		}},
		"after a release without a response": {func(d *driver) {
			d.releasesHang = true
			d.runUntil(func() bool { return d.countState(releasing) > 0 })
			for _, e := range d.heldBack {
				if e, ok := e.(SendRelease); ok {
					d.Released(d.now, e, "", target.ErrUnanswered)
				}
			}
			d.heldBack = nil
		}},
		"late in the lease": {func(d *driver) {
			d.releasesHang = true
			d.runUntil(func() bool { return d.countState(releasing) > 0 })
			d.storeDown = true
			d.run(d.cfg.LeaseTTL - 150*time.Millisecond)
		}},
		"while the write is in flight": {func(d *driver) {
			d.writesHang = true
			d.runUntil(func() bool { return d.countState(writing) > 0 })
		}},
		"between record and grant": {func(d *driver) {
			d.runUntil(func() bool { return d.countNotes("New owner recorded.") > 2 })
		}},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDriver(2)
			d.cfg.ReleaseNotice, d.cfg.MaxPublishInterval = 80*time.Millisecond, time.Second
			d.run(3 * time.Second)
			d.skewLoad()
			test.until(d)
			d.storeDown = true
			d.answerHeldBack()
			served := d.now
			for end := d.now.Add(d.cfg.RenewGrace); d.now.Before(end); {
				d.run(20 * time.Millisecond)
				if d.allRoutable() {
					served = d.now
				}
				assert.Assert(t, d.now.Sub(served) < maxGap, "a range had no owner for %v", d.now.Sub(served))
			}
		})
	}
}

// TestAvailableInAfterRecord: a range whose new owner has just been recorded is
// announced as available within the time of a move. With a longer time, hosts refuse
// requests for it, although its grant is acknowledged within moments;
// TestLeaderStopsWithoutStore of internal/host failed because of that.
func TestAvailableInAfterRecord(t *testing.T) {
	d := newDriver(2)
	d.run(3 * time.Second)
	d.skewLoad()
	d.grantsHang = true
	recorded := func() *row {
		for _, r := range d.rows {
			if r.state == held && !r.routable {
				return r
			}
		}
		return nil
	}
	d.runUntil(func() bool { return recorded() != nil })
	assert.Assert(t, d.availableIn(d.now, recorded()) <= typicalMoveTime)
}

// skewLoad gives the first range far more load than all others.
func (d *driver) skewLoad() {
	var meter partition.Meter
	for p := range d.tables[len(d.tables)-1].Spans[0].Range.Last {
		meter.Add(d.now, p, 1)
	}
	meter.Decay(d.now)
	var load partition.Load
	meter.Load(d.now, &load, 20*time.Microsecond)
	d.SetLoad(&load, nil, nil)
}

// runUntil advances time until a condition holds.
func (d *driver) runUntil(happened func() bool) {
	for range 200 {
		if happened() {
			return
		}
		d.run(20 * time.Millisecond)
	}
	panic("condition not met within 4 s")
}

// countState returns how many ranges are in a state.
func (d *driver) countState(s state) (out int) {
	for _, r := range d.rows {
		if r.state == s {
			out++
		}
	}
	return out
}

func (d *driver) countNotes(text string) (out int) {
	for _, n := range d.notes {
		if n.Text == text {
			out++
		}
	}
	return out
}

// allRoutable reports whether all ranges have an owner in the last table.
func (d *driver) allRoutable() bool {
	return !slices.ContainsFunc(d.tables[len(d.tables)-1].Spans, func(s Span) bool { return s.Target == "" })
}

// TestReleaseAfterTable: a range is released only after a table without its owner has
// been published, at least ReleaseNotice earlier, so that hosts stop sending requests.
func TestReleaseAfterTable(t *testing.T) {
	d := newDriver(2)
	d.cfg.ReleaseNotice = 100 * time.Millisecond
	d.run(3 * time.Second)
	owners := func(table *Table) (out int) {
		for _, s := range table.Spans {
			if s.Target != "" {
				out++
			}
		}
		return out
	}
	assert.Equal(t, owners(d.tables[len(d.tables)-1]), 2)
	targets := testTargets(2)
	leaving := targets["t0"]
	leaving.State = place.Leaving
	targets["t0"] = leaving
	d.SetTargets(d.now, targets)
	var unroutableAt time.Time
	for end := d.now.Add(3 * time.Second); d.now.Before(end); d.now = d.now.Add(20 * time.Millisecond) {
		d.ExtendLease(d.now.Add(d.cfg.LeaseTTL))
		for _, e := range d.Tick(d.now) {
			switch e := e.(type) {
			case Publish:
				for _, s := range e.Table.Spans {
					if s.Target == "" && unroutableAt.IsZero() {
						unroutableAt = d.now
					}
				}
			case SendRelease:
				assert.Assert(t, !unroutableAt.IsZero(), "released before a table announced it")
				assert.Assert(t, d.now.Sub(unroutableAt) >= d.cfg.ReleaseNotice, "released after %v", d.now.Sub(unroutableAt))
				return
			}
			d.do(e)
		}
	}
	t.Fatal("no release was sent")
}

// TestUnresponsiveTarget: a range whose grant expired because its owner stopped responding
// goes to another target at once. It returns to the unresponsive one only if there is
// no other.
func TestUnresponsiveTarget(t *testing.T) {
	tests := map[string]struct {
		targets int
		back    bool
	}{
		"among others": {4, false},
		"alone":        {1, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := newDriver(test.targets)
			d.run(3 * time.Second)
			d.unresponsiveTarget, d.notes = "t1", nil
			if test.targets == 1 {
				d.unresponsiveTarget = "t0"
			}
			hasExpired := func() bool {
				return slices.ContainsFunc(d.notes, func(n Note) bool { return n.Text == "Grant has lapsed." })
			}
			for !hasExpired() {
				d.run(20 * time.Millisecond)
			}
			d.run(failureCooldown / 2)
			recorded := 0
			for _, n := range d.notes {
				if n.Text == "New owner recorded." {
					recorded++
					assert.Equal(t, n.To == d.unresponsiveTarget, test.back, "%v went to %s", n.Range, n.To)
				}
			}
			assert.Assert(t, recorded > 0)
		})
	}
}

// TestColdSpans: tables mark the keys that are slow because their owner took them
// without a handover, with the time for which they stay slow.
func TestColdSpans(t *testing.T) {
	d := newDriver(4)
	d.SetWarmup(2 * time.Second)
	cold := func() (out int) {
		for _, s := range d.tables[len(d.tables)-1].Spans {
			if s.ColdFor > 0 {
				assert.Assert(t, s.Target != "" && s.ColdFor <= 2*time.Second, "%+v", s)
				out++
			}
		}
		return out
	}
	d.run(3 * time.Second)
	assert.Equal(t, cold(), 0, "first owners")
	targets := testTargets(4)
	leaving := targets["t0"]
	leaving.State = place.Leaving
	targets["t0"] = leaving
	d.SetTargets(d.now, targets)
	d.run(time.Second)
	assert.Equal(t, cold(), 0, "handed over")
	d.unresponsiveTarget, d.notes = "t1", nil
	for !slices.ContainsFunc(d.notes, func(n Note) bool { return n.Text == "Grant has lapsed." }) {
		d.run(20 * time.Millisecond)
	}
	d.run(time.Second)
	assert.Assert(t, cold() > 0, "not handed over")
	body, err := d.tables[len(d.tables)-1].Encode()
	assert.NilError(t, err)
	table, err := DecodeTable(body)
	assert.NilError(t, err)
	for i, s := range d.tables[len(d.tables)-1].Spans {
		assert.Equal(t, table.Spans[i].ColdFor, s.ColdFor.Truncate(time.Millisecond))
	}
	d.run(2 * time.Second)
	assert.Equal(t, cold(), 0, "warm again")
}

// TestRenewalAfterLeaseEnd: a leader whose lease has ended renews ranges that their
// owners certainly hold, and sends no grant to a target that may have restarted.
func TestRenewalAfterLeaseEnd(t *testing.T) {
	tests := map[string]struct {
		breaks bool // whether the connections to a target break once
		want   int  // ranges with an owner at the end
	}{
		"connections hold":      {false, 2},
		"one connection breaks": {true, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := newDriver(2)
			d.run(3 * time.Second)
			ended := d.leaseEnd
			for end := ended.Add(6 * time.Second); d.now.Before(end); d.now = d.now.Add(20 * time.Millisecond) {
				for _, e := range d.Tick(d.now) {
					g, ok := e.(SendGrants)
					switch {
					case ok && test.breaks && g.Target == "t0" && d.now.After(ended):
						test.breaks = false
						d.Granted(d.now, g, []error{target.ErrUnanswered})
					default:
						assert.Assert(t, !ok || !d.now.After(ended) || g.Conn == d.conn[g.Target], "grant to %s on a new connection", g.Target)
						d.do(e)
					}
				}
			}
			owned := 0
			for _, s := range d.tables[len(d.tables)-1].Spans {
				if s.Target != "" {
					owned++
				}
			}
			assert.Equal(t, owned, test.want)
		})
	}
}

// TestPriorMayRenew: the document records whether prior leaders may still renew. Without
// that, a leader that takes over soon would count their grants as expired; seed 60496 of
// the random runs found that.
func TestPriorMayRenew(t *testing.T) {
	tests := map[string]struct {
		prior Prior
		ended bool // PriorEnded is called after BeginTerm
		after time.Duration
		want  bool
	}{
		"all have ended":             {PriorEnded, false, 0, false},
		"unknown":                    {PriorUnknown, false, 0, true},
		"found to have ended":        {PriorUnknown, true, 0, false},
		"still within renewal grace": {PriorUnknown, false, 9 * time.Second, true},
		"after the renewal grace":    {PriorUnknown, false, 10 * time.Second, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c, now := New(testConfig()), time.Unix(1000, 0)
			doc := EmptyDoc("s")
			doc.Term, doc.PriorMayRenew = 2, test.prior == PriorUnknown
			c.BeginTerm(now, doc, 5, now.Add(c.cfg.LeaseTTL), test.prior)
			if test.ended {
				c.PriorEnded(now)
			}
			now = now.Add(test.after)
			c.ExtendLease(now.Add(c.cfg.LeaseTTL))
			got := c.Doc(now)
			body, err := got.Encode()
			assert.NilError(t, err)
			got, err = DecodeDoc(body)
			assert.NilError(t, err)
			assert.Equal(t, got.PriorMayRenew, test.want)
			// A flag that no longer holds is cleared by one write.
			writes := 0
			for _, e := range append(c.Tick(now), c.Tick(now)...) {
				if w, ok := e.(WriteDoc); ok {
					writes++
					assert.Assert(t, !w.Doc.PriorMayRenew)
				}
			}
			assert.Equal(t, writes == 1, doc.PriorMayRenew && !test.want)
		})
	}
}

// TestDuplicateResponse: after a duplicate response to an order, no range that was
// granted on that connection is released until its owner has acknowledged a higher
// fencing token. A grant that seemed to be acknowledged may still arrive.
func TestDuplicateResponse(t *testing.T) {
	d := newDriver(3)
	d.run(3 * time.Second)
	first := d.rows[0]
	beside := d.split(key.Range{First: first.Range.First + 1, Last: first.Range.Last})
	beside.Handover = "token" // keeps the two rows from being merged
	name, before := first.Target, beside.fence
	granted := false
	for end := d.now.Add(2 * time.Second); !granted && d.now.Before(end); d.now = d.now.Add(20 * time.Millisecond) {
		d.ExtendLease(d.now.Add(d.cfg.LeaseTTL))
		for _, e := range d.Tick(d.now) {
			g, ok := e.(SendGrants)
			if !ok || g.Target != name {
				d.do(e)
				continue
			}
			results := make([]error, len(g.Grants))
			for i := range results {
				results[i] = target.ErrNotSent
			}
			results[0] = target.ErrDuplicateResponse
			d.Granted(d.now, g, results)
			granted = true
		}
	}
	assert.Assert(t, granted)
	for _, r := range d.rows {
		assert.Assert(t, r.Target != name || !d.releasable(r), "range %s", r.Range)
	}
	d.startMove(d.now, beside, "", "test")
	d.run(100 * time.Millisecond) // the next grants are sent after 200 ms
	assert.Equal(t, beside.state, releasePending)
	assert.Equal(t, beside.fence, before)
	d.run(time.Second)
	assert.Assert(t, beside.state != releasePending)
}

// TestBusyRangeMovesInParts: when a range moves while requests run on it, the new owner
// serves the keys without running requests within moments, and the others once their
// requests have ended.
func TestBusyRangeMovesInParts(t *testing.T) {
	d := newDriver(2)
	var meter partition.Meter
	for now := d.now.Add(-10 * time.Second); now.Before(d.now); now = now.Add(100 * time.Millisecond) {
		meter.Decay(now)
		for p := key.Point(0); p < key.Points; p += 512 {
			meter.Add(now, p, 1)
		}
	}
	var load partition.Load
	meter.Load(d.now, &load, 4*time.Millisecond) // about five concurrent requests
	d.SetLoad(&load, nil, nil)
	d.run(3 * time.Second)
	r := d.rows[0]
	moved, busy := r.Range, r.Range.First+100
	other := d.rows[len(d.rows)-1].Target
	d.startMove(d.now, r, other, "test")
	waits := 0
	for end := d.now.Add(2 * time.Second); d.now.Before(end); d.now = d.now.Add(20 * time.Millisecond) {
		d.ExtendLease(d.now.Add(d.cfg.LeaseTTL))
		for _, e := range d.Tick(d.now) {
			if s, ok := e.(SendRelease); ok && s.Release.Range.Contains(busy) {
				waits++
				continue // not answered during the test
			}
			d.do(e)
		}
	}
	assert.Equal(t, waits, 1)
	keys, back := 0, 0
	for _, s := range d.tables[len(d.tables)-1].Spans {
		if !s.Range.Overlaps(moved) {
			continue
		}
		first, last := max(s.Range.First, moved.First), min(s.Range.Last, moved.Last)
		keys += int(last - first + 1)
		if s.Target == other {
			back += int(last - first + 1)
		}
	}
	assert.Assert(t, float64(back) > 0.8*float64(keys), "%d of %d keys have an owner again", back, keys)
	assert.Assert(t, back < keys)
}

// TestOrdersInTransit: a range whose owner does not respond is free only once no order of an
// ended leader can reach that owner any more, also for the leaders after the next one.
func TestOrdersInTransit(t *testing.T) {
	const (
		silent    = iota // the owner does not respond
		responds         // it acknowledges the first grant, and none after it
		ended            // its process is found to have ended
		elsewhere        // it is listed at another address, with a later incarnation
		cut              // it leaves the first order unanswered, and its process has ended then
	)
	tests := map[string]struct {
		prior Prior
		owner int
		// foundAfter is when PriorInTransit is called, if not zero.
		foundAfter time.Duration
		// The range is free between these times after the start.
		earliest, latest time.Duration
		// flagged is whether the document tells the next leader, 20 s after the start.
		flagged bool
	}{
		"all have stopped":                {prior: PriorEnded, earliest: 4 * time.Second, latest: 6 * time.Second},
		"unknown":                         {prior: PriorUnknown, earliest: 14 * time.Second, latest: 16 * time.Second},
		"crashed":                         {prior: PriorInTransit, earliest: 34 * time.Second, latest: 36 * time.Second, flagged: true},
		"crashed, owner responds":         {prior: PriorInTransit, owner: responds, earliest: 4 * time.Second, latest: 6 * time.Second},
		"crashed, owner has ended":        {prior: PriorInTransit, owner: ended, earliest: 4 * time.Second, latest: 6 * time.Second},
		"crashed, owner restarted":        {prior: PriorInTransit, owner: elsewhere, earliest: 4 * time.Second, latest: 6 * time.Second},
		"crashed, owner ended later":      {prior: PriorInTransit, owner: cut, earliest: 4 * time.Second, latest: 9 * time.Second},
		"found to have crashed":           {prior: PriorUnknown, foundAfter: 5 * time.Second, earliest: 39 * time.Second, latest: 41 * time.Second, flagged: true},
		"found to have crashed, responds": {prior: PriorUnknown, owner: responds, foundAfter: 2 * time.Second, earliest: 4 * time.Second, latest: 6 * time.Second},
		"found to have crashed, ended":    {prior: PriorUnknown, owner: ended, foundAfter: 5 * time.Second, earliest: 9 * time.Second, latest: 11 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			c, now := New(testConfig()), start
			owner := place.TargetRow{Target: "t", Service: "s", Slots: 3, Incarnation: 1, Addr: netip.MustParseAddrPort("10.0.0.1:80")}
			doc := EmptyDoc("s")
			doc.Term, doc.PriorInTransit = 2, test.prior == PriorInTransit
			doc.Rows[0].Target, doc.Rows[0].Addr, doc.Rows[0].Incarnation = owner.Target, owner.Addr, owner.Incarnation
			c.BeginTerm(now, doc, 5, now.Add(c.cfg.LeaseTTL), test.prior)
			acked, freeAt := false, time.Duration(0)
			for ; freeAt == 0 && now.Sub(start) < 60*time.Second; now = now.Add(50 * time.Millisecond) {
				age := now.Sub(start)
				if test.foundAfter > 0 && age == test.foundAfter {
					c.PriorInTransit(now, false)
				}
				if age == 20*time.Second {
					got := c.Doc(now)
					body, err := got.Encode()
					assert.NilError(t, err)
					got, err = DecodeDoc(body)
					assert.NilError(t, err)
					assert.Equal(t, got.PriorInTransit, test.flagged)
				}
				c.ExtendLease(now.Add(c.cfg.LeaseTTL))
				listed := owner
				if test.owner == elsewhere {
					listed.Incarnation, listed.Addr = 2, netip.MustParseAddrPort("10.0.0.2:80")
				}
				c.SetTargets(now, map[place.Target]place.TargetRow{"t": listed})
				for _, e := range c.Tick(now) {
					if g, ok := e.(SendGrants); ok {
						results := make([]error, len(g.Grants))
						for i := range results {
							switch {
							case !acked && test.owner == cut:
								results[i] = target.ErrUnanswered
							case acked || test.owner != responds:
								results[i] = target.ErrNotSent
							}
						}
						first := !acked
						acked = true
						c.Granted(now, g, results)
						if g.Probe && (test.owner == ended || test.owner == cut && !first) {
							c.TargetEnded(now, g.Target, g.Addr)
						}
					}
				}
				if c.rows[0].state == free {
					freeAt = age
				}
			}
			assert.Assert(t, freeAt >= test.earliest && freeAt <= test.latest, "free after %v", freeAt)
		})
	}
}

// TestEntryAtOwnersAddress guards against entries of another writer that take ranges from a
// target which holds them: only a response from the address ends its ownership.
func TestEntryAtOwnersAddress(t *testing.T) {
	owner := place.TargetRow{Target: "t", Service: "s", Slots: 3, Incarnation: 1, Addr: netip.MustParseAddrPort("10.0.0.1:80")}
	entry := owner
	entry.Target, entry.Service, entry.Incarnation = "x", "other", 2
	for name, test := range map[string]struct {
		response error
		free     bool
	}{
		"owner responds":            {nil, false},
		"no response":               {target.ErrUnanswered, false},
		"another target responds":   {target.ErrMisdirected, true},
		"address takes no orders":   {target.ErrRejected, false},
		"address can't be reached":  {target.ErrNotSent, false},
		"owner has seen a new term": {target.ErrFenced, false},
	} {
		t.Run(name, func(t *testing.T) {
			c, now := New(testConfig()), time.Unix(1000, 0)
			doc := EmptyDoc("s")
			doc.Term, doc.Rows[0].Target, doc.Rows[0].Addr, doc.Rows[0].Incarnation = 2, owner.Target, owner.Addr, owner.Incarnation
			c.BeginTerm(now, doc, 5, now.Add(c.cfg.LeaseTTL), PriorEnded)
			grant := func(response error) (sent bool) {
				for _, e := range c.Tick(now) {
					if g, ok := e.(SendGrants); ok {
						c.Granted(now, g, []error{response})
						sent = true
					}
				}
				return sent
			}
			targets := map[place.Target]place.TargetRow{"t": owner}
			c.SetTargets(now, targets)
			assert.Assert(t, grant(nil))
			now = now.Add(100 * time.Millisecond)
			assert.Assert(t, !grant(nil), "the next grant is not due yet")
			targets["x"] = entry
			c.SetTargets(now, targets)
			assert.Equal(t, c.rows[0].state, held)
			assert.Assert(t, grant(test.response), "a grant asks the address at once")
			assert.Equal(t, c.rows[0].state == free, test.free)
			now = now.Add(100 * time.Millisecond)
			c.SetTargets(now, targets)
			assert.Assert(t, test.response != nil || !grant(nil), "an entry that stays causes no further grants")
		})
	}
}
