package target

import (
	"cmp"
	"slices"

	"citrontray.example/citrontray/internal/grant"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
)

// Holdings is a target's state of ownership: the shards that it holds, the end of each
// grant by its own clock, and which orders it accepts. It does no I/O and reads no
// clock. It is not safe for concurrent use.
type Holdings struct {
	name        place.Target
	service     key.Service
	incarnation place.Incarnation
	checksTerms bool

	term     grant.Term
	draining bool
	rows     map[key.Shard]*holding
	// floors holds the lowest epoch that is still accepted for a shard.
	floors map[key.Shard]grant.Epoch
	// inFlight counts the work in flight by shard, of all epochs: work that outlives
	// its grant must also end before a later release is confirmed.
	inFlight map[key.Shard]int
}

// holding is the grant of one shard.
type holding struct {
	epoch     grant.Epoch
	end       grant.Stamp
	releasing bool
}

// HoldingsConfig identifies a target and sets how it checks orders.
type HoldingsConfig struct {
	Target      place.Target
	Service     key.Service
	Incarnation place.Incarnation
	// ChecksTerms is set if orders of a lower term are rejected.
	ChecksTerms bool
}

// Holding is one shard that a target holds, as List returns it.
type Holding struct {
	grant.ShardEpoch
	// End is when the grant ends, by the target's clock.
	End grant.Stamp
	// Releasing is set after a release: no new work starts, work in flight continues.
	Releasing bool
}

// NewHoldings returns empty holdings, those of a target that has just started.
func NewHoldings(config HoldingsConfig) *Holdings {
	return &Holdings{
		name:        config.Target,
		service:     config.Service,
		incarnation: config.Incarnation,
		checksTerms: config.ChecksTerms,
		rows:        make(map[key.Shard]*holding),
		floors:      make(map[key.Shard]grant.Epoch),
		inFlight:    make(map[key.Shard]int),
	}
}

// SetDraining sets whether responses announce that the target is leaving.
func (h *Holdings) SetDraining(draining bool) { h.draining = draining }

// Apply applies an order at time now of the target's clock and returns the response.
// An order of another service or for another incarnation changes nothing, nor does one
// of a lower term if terms are checked.
func (h *Holdings) Apply(now grant.Stamp, order grant.Order) grant.Response {
	h.expire(now)
	accepted := h.accepts(order)
	full := order.Inventory || len(order.Release) > 0
	if accepted && h.sameIncarnation(order) {
		h.term = max(h.term, order.Term)
		h.release(order.Release)
		full = !h.extend(now, order) || full
	}
	return h.response(now, accepted, full)
}

// accepts reports whether the order is of this service and, if terms are checked, of
// no lower term.
func (h *Holdings) accepts(order grant.Order) bool {
	if order.Service != h.service {
		return false
	}
	return !h.checksTerms || order.Term >= h.term
}

// sameIncarnation reports whether the order is for this incarnation of the target, or
// for any.
func (h *Holdings) sameIncarnation(order grant.Order) bool {
	return order.Incarnation == 0 || order.Incarnation == h.incarnation
}

// release stops new work on the shards. It raises their floors at once, so that a late
// renewal of the released epoch has no effect.
func (h *Holdings) release(shards []grant.ShardEpoch) {
	for _, r := range shards {
		h.raiseFloor(r.Shard, r.Epoch+1)
		row := h.rows[r.Shard]
		if row == nil || row.epoch > r.Epoch {
			continue
		}
		row.releasing = true
		h.dropIfIdle(r.Shard, row)
	}
}

// extend creates and extends grants. It returns false if the order's digest does not
// match the holdings.
func (h *Holdings) extend(now grant.Stamp, order grant.Order) bool {
	if order.Incarnation == 0 {
		return true
	}
	end := order.Anchor.Add(order.Duration)
	matched := true
	if order.ExtendAll {
		matched = h.extendAll(order.Digest, end)
	}
	for _, item := range order.Items {
		h.apply(now, item, end)
	}
	return matched
}

// extendAll extends every grant if digest matches the holdings, with or without those
// being released. It reports whether it matched.
func (h *Holdings) extendAll(digest uint64, end grant.Stamp) bool {
	if digest != grant.Digest(h.held(true)) && digest != grant.Digest(h.held(false)) {
		return false
	}
	for _, row := range h.rows {
		if !row.releasing {
			row.end = max(row.end, end)
		}
	}
	return true
}

// apply creates or extends one grant to end. An order that is read late may have an
// end that has passed: it then creates no grant.
func (h *Holdings) apply(now grant.Stamp, item grant.Item, end grant.Stamp) {
	if item.Epoch < h.floors[item.Shard] {
		return
	}
	row := h.rows[item.Shard]
	if row != nil && row.epoch == item.Epoch {
		row.end = max(row.end, end)
		return
	}
	if item.Kind == grant.Extend {
		return
	}
	h.raiseFloor(item.Shard, item.Epoch)
	if end <= now {
		return
	}
	h.rows[item.Shard] = &holding{epoch: item.Epoch, end: end}
}

// Owns reports whether new work for the shard may start at that epoch.
func (h *Holdings) Owns(now grant.Stamp, shard key.Shard, epoch grant.Epoch) bool {
	row := h.rows[shard]
	return row != nil && row.epoch == epoch && row.end > now && !row.releasing
}

// Begin records the start of work on a shard if Owns allows it. The caller must call
// End after the work.
func (h *Holdings) Begin(now grant.Stamp, shard key.Shard, epoch grant.Epoch) bool {
	if !h.Owns(now, shard, epoch) {
		return false
	}
	h.inFlight[shard]++
	return true
}

// End records the end of work that Begin allowed.
func (h *Holdings) End(shard key.Shard) {
	if h.inFlight[shard]--; h.inFlight[shard] <= 0 {
		delete(h.inFlight, shard)
	}
	if row := h.rows[shard]; row != nil {
		h.dropIfIdle(shard, row)
	}
}

// List returns the holdings at time now, sorted by shard.
func (h *Holdings) List(now grant.Stamp) []Holding {
	out := make([]Holding, 0, len(h.rows))
	for shard, row := range h.rows {
		if row.end <= now {
			continue
		}
		out = append(out, Holding{
			ShardEpoch: grant.ShardEpoch{Shard: shard, Epoch: row.epoch},
			End:        row.end,
			Releasing:  row.releasing,
		})
	}
	slices.SortFunc(out, func(a, b Holding) int { return cmp.Compare(a.Shard, b.Shard) })
	return out
}

// Term returns the highest accepted term.
func (h *Holdings) Term() grant.Term { return h.term }

// expire removes the grants that have ended. Their floors stay.
func (h *Holdings) expire(now grant.Stamp) {
	for shard, row := range h.rows {
		if row.end <= now {
			delete(h.rows, shard)
		}
	}
}

func (h *Holdings) dropIfIdle(shard key.Shard, row *holding) {
	if row.releasing && h.inFlight[shard] == 0 {
		delete(h.rows, shard)
	}
}

func (h *Holdings) raiseFloor(shard key.Shard, epoch grant.Epoch) {
	h.floors[shard] = max(h.floors[shard], epoch)
}

// held returns the shards held, with or without those being released, sorted by
// shard.
func (h *Holdings) held(releasing bool) []grant.ShardEpoch {
	out := make([]grant.ShardEpoch, 0, len(h.rows))
	for shard, row := range h.rows {
		if releasing || !row.releasing {
			out = append(out, grant.ShardEpoch{Shard: shard, Epoch: row.epoch})
		}
	}
	sortHeld(out)
	return out
}

func (h *Holdings) response(now grant.Stamp, accepted, full bool) grant.Response {
	held := h.held(true)
	response := grant.Response{
		Target:      h.name,
		Incarnation: h.incarnation,
		Clock:       now,
		Term:        h.term,
		Accepted:    accepted,
		Digest:      grant.Digest(held),
		Full:        full,
		Leaving:     h.draining,
	}
	if full {
		response.Held = held
		response.Floors = h.floorList()
	}
	return response
}

func (h *Holdings) floorList() []grant.ShardEpoch {
	out := make([]grant.ShardEpoch, 0, len(h.floors))
	for shard, epoch := range h.floors {
		out = append(out, grant.ShardEpoch{Shard: shard, Epoch: epoch})
	}
	sortHeld(out)
	return out
}

func sortHeld(held []grant.ShardEpoch) {
	slices.SortFunc(held, func(a, b grant.ShardEpoch) int { return cmp.Compare(a.Shard, b.Shard) })
}
