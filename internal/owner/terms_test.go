package owner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/target"
)

// fencedDriver is a driver whose targets refuse tokens below the highest one that they have seen.
type fencedDriver struct {
	*driver

	highest map[place.Target]target.FencingToken
	// refused counts the refused tokens. outside is a token that was not of its leader's term.
	refused int
	outside target.FencingToken
}

// newFencedDriver returns a driver with few tokens a term, whose leader has a document.
func newFencedDriver(targets int, perTerm uint64, doc *Doc) *fencedDriver {
	d := &fencedDriver{driver: newDriver(targets), highest: make(map[place.Target]target.FencingToken)}
	d.cfg.FencesPerTerm = perTerm
	if doc != nil {
		d.reset()
		doc.Term++
		d.BeginTerm(d.now, *doc, d.revision, d.now.Add(d.cfg.LeaseTTL), PriorEnded)
		d.SetTargets(d.now, testTargets(targets))
	}
	return d
}

// run is driver.run with targets that refuse tokens.
func (d *fencedDriver) run(span time.Duration) {
	for end := d.now.Add(span); d.now.Before(end); d.now = d.now.Add(20 * time.Millisecond) {
		d.ExtendLease(d.now.Add(d.cfg.LeaseTTL))
		for _, e := range d.Tick(d.now) {
			if g, ok := e.(SendGrants); ok {
				d.grantTo(g)
				continue
			}
			d.do(e)
		}
	}
}

func (d *fencedDriver) grantTo(e SendGrants) {
	results := make([]error, len(e.Grants))
	highest := d.highest[e.Target]
	for i, g := range e.Grants {
		if g.FencingToken > highest && Term(uint64(g.FencingToken)/d.cfg.FencesPerTerm) != d.Term() {
			d.outside = g.FencingToken
		}
		switch {
		case g.FencingToken < d.highest[e.Target] && g.FencingToken < highest:
			results[i] = target.ErrFenced
			d.refused++
		case e.Target == d.unresponsiveTarget:
			results[i] = target.ErrUnanswered
		default:
			d.highest[e.Target] = max(d.highest[e.Target], g.FencingToken)
		}
	}
	d.Granted(d.now, e, results)
}

// unowned returns how many spans of the newest table have no owner.
func (d *fencedDriver) unowned() int {
	n := 0
	for _, s := range d.tables[len(d.tables)-1].Spans {
		if s.Target == "" {
			n++
		}
	}
	return n
}

// TestTermRunsOut: a leader takes its next term before the tokens of a term run out, without a gap
// in ownership, and never grants with one of another term. Its tokens ran into those of the next
// terms, below which its successor's lay.
func TestTermRunsOut(t *testing.T) {
	d := newFencedDriver(3, 16, nil)
	d.run(3 * time.Second)
	assert.Equal(t, d.unowned(), 0)
	first := d.Term()
	for range 40 {
		d.unresponsiveTarget = "t0" // the next grant to it needs another token
		d.run(1100 * time.Millisecond)
		d.unresponsiveTarget = ""
		d.run(1200 * time.Millisecond)
		assert.Equal(t, d.unowned(), 0, "in term %d", d.Term())
	}
	assert.Assert(t, d.Term() > first+2, "term %d", d.Term())
	assert.Equal(t, d.outside, target.FencingToken(0), "in term %d", d.Term())
	assert.Equal(t, d.refused, 0)
}

// TestTermWithoutTokens: while the store is down a leader without tokens renews what its targets
// hold, and grants nothing that needs another token.
func TestTermWithoutTokens(t *testing.T) {
	d := newFencedDriver(3, 16, nil)
	d.run(3 * time.Second)
	d.refuseWrites = true
	for range 20 {
		d.unresponsiveTarget = "t0"
		d.run(1100 * time.Millisecond)
		d.unresponsiveTarget = ""
		d.run(time.Second)
	}
	assert.Equal(t, d.outside, target.FencingToken(0))
	assert.Assert(t, d.unowned() <= 1, "the ranges of the other targets are renewed")
	d.refuseWrites = false
	d.run(2 * time.Second)
	assert.Equal(t, d.unowned(), 0)
	assert.Equal(t, d.outside, target.FencingToken(0))
}

// TestTokensOfLaterTerms: a leader whose targets have seen tokens of later terms, from a leader that
// exceeded its own, takes a term above them: the targets keep their ranges.
func TestTokensOfLaterTerms(t *testing.T) {
	for name, above := range map[string]Term{"the same term": 0, "next term": 1, "five terms on": 5, "300 terms on": 300} {
		t.Run(name, func(t *testing.T) {
			before := newFencedDriver(3, 1<<10, nil)
			before.run(3 * time.Second)
			doc := before.Doc(before.now)
			owners := make(map[place.Target]int)
			for _, r := range doc.Rows {
				owners[r.Target]++
			}
			d := newFencedDriver(3, 1<<10, &doc)
			seen := target.FencingToken(uint64(d.Term()+above)<<10 + 500)
			for name := range owners {
				d.highest[name] = seen
			}
			const recovery = 15 * time.Second
			d.run(recovery)
			assert.Equal(t, d.unowned(), 0)
			for name := range owners {
				assert.Assert(t, d.highest[name] > seen, "%s has %d", name, d.highest[name])
			}
			assert.Equal(t, d.outside, target.FencingToken(0))
			assert.Assert(t, d.refused <= maxOutranked*len(owners)*(maxTermSteps+1), "%d tokens refused", d.refused)
			after := make(map[place.Target]int)
			for _, r := range d.Doc(d.now).Rows {
				after[r.Target]++
			}
			assert.DeepEqual(t, after, owners)
		})
	}
}
