package owner

import "citrontray.example/citrontray/internal/target"

const (
	// tokenReserve is the share of a term's fencing tokens with which a leader takes its next
	// term. The rest lasts through an outage of the store.
	tokenReserve = 0.25
	// maxOutranked is how many tokens of a term in a row a target may refuse for one range
	// until its leader takes a later term.
	maxOutranked = 2
	// maxTermSteps bounds the steps between the terms that a leader takes since its tokens are
	// refused. The steps double.
	maxTermSteps = 10
)

// fencesPerTerm returns the number of fencing tokens reserved for each term.
func (c *Config) fencesPerTerm() uint64 {
	if c.FencesPerTerm > 0 {
		return c.FencesPerTerm
	}
	return defaultFencesPerTerm
}

// fence returns the n-th fencing token of the term.
func (c *Core) fence(n uint64) target.FencingToken {
	return target.FencingToken(uint64(c.term)*c.cfg.fencesPerTerm() + n)
}

// hasFence reports whether the term has a token left.
func (c *Core) hasFence() bool { return c.lastFence+1 < c.cfg.fencesPerTerm() }

// nextFence takes the next token of the term.
func (c *Core) nextFence() target.FencingToken {
	c.lastFence++
	return c.fence(c.lastFence)
}

// needsTerm reports whether the leader should take a later term, which a write of its document
// makes its own: the tokens of this one run out, or targets refuse them since they have seen
// higher ones, of a leader that exceeded its term.
func (c *Core) needsTerm() bool {
	perTerm := c.cfg.fencesPerTerm()
	low := c.lastFence >= perTerm-max(uint64(tokenReserve*float64(perTerm)), 1)
	return (low || c.outranked) && c.nextTerm().Era() == c.term.Era()
}

// nextTerm returns the term that the leader takes next.
func (c *Core) nextTerm() Term {
	if c.outranked {
		return c.term + 1<<c.termSteps
	}
	return c.term + 1
}

// takeTerm starts a term that the leader has recorded in the store. No other host led in
// between.
func (c *Core) takeTerm(term Term) {
	if c.outranked {
		c.termSteps = min(c.termSteps+1, maxTermSteps)
	}
	c.term, c.lastFence, c.outranked, c.changed = term, 0, false, true
	for _, r := range c.rows {
		r.outranked = 0
	}
	c.emit(Note{Text: "Leader takes its next term."})
}

// noteOutranked records that the owner of a range refused a token since it has seen a higher
// one. A token of the present term in a row means that a leader before exceeded its term: one
// after this would have changed the document.
func (c *Core) noteOutranked(r *row, token target.FencingToken) {
	if token <= c.fence(0) {
		return
	}
	if r.outranked++; r.outranked >= maxOutranked {
		c.outranked = true
	}
}

// noteAccepted records that the owner of a range accepted a token.
func (c *Core) noteAccepted(r *row, token target.FencingToken) {
	if token <= c.fence(0) {
		return
	}
	r.outranked, c.termSteps = 0, 0
}
