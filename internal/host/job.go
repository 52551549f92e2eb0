package host

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"citrontray.example/citrontray/internal/budget"
	"citrontray.example/citrontray/internal/dispatch"
	"citrontray.example/citrontray/internal/forward"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/outcome"
	"citrontray.example/citrontray/internal/owner"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/quarantine"
	"citrontray.example/citrontray/internal/target"
	"citrontray.example/citrontray/internal/traffic"
	"citrontray.example/citrontray/internal/transfer"
)

const (
	// maxParkShare is the share of its timeout for which a request waits for its key to
	// get an owner. A planned move takes as long as the running work, and the remaining
	// time must suffice for the request itself.
	maxParkShare = 0.4
	// misdirectedPause is the wait after a target responded that it does not own the
	// key, unless a newer routing table arrives first. Without one the same target
	// would most likely respond the same.
	misdirectedPause = 150 * time.Millisecond
	// busyPause is the wait after a target refused a request because it had no free
	// slot.
	busyPause = 20 * time.Millisecond
	// isolatedMaxIdle is the longest idle time of a reused connection while no host
	// near the target responds. A request lost in a network partition has an unknown
	// outcome, while a failed dial leaves no doubt.
	isolatedMaxIdle = 100 * time.Millisecond
	// minSendTime is the least remaining time with which a request is still sent. No
	// target responds faster.
	minSendTime = 5 * time.Millisecond
	// defaultRetryAfter is the Retry-After hint where nothing better is known.
	defaultRetryAfter = 300 * time.Millisecond
)

// job is one client request on its way to a target.
type job struct {
	host    *Host
	route   *traffic.Route
	service *traffic.Service
	request forward.Request
	point   key.Point
	// fingerprint identifies the request whatever its ID; zero if it is not known.
	fingerprint quarantine.Fingerprint
	// deadline is when the response must be sent, softDeadline when it should be.
	deadline     time.Time
	softDeadline time.Time
	arrived      time.Time
	// attempts counts the attempts that route.MaxAttempts limits, arrivals all that may
	// have reached a target, refusals those of them that a target refused, so that they did
	// not run.
	attempts int
	arrivals int
	refusals int
	tried    []place.Target
	// serverError is a 5xx response of an earlier attempt.
	serverError outcome.Result
	// unsent counts the attempts that reached no target, misdirected those refused by a
	// target that does not own the key.
	unsent, misdirected int
	// uncertainReason is why an earlier attempt may have run.
	uncertainReason outcome.Reason
	// parkedAt is the time since which the key has no owner, parked the last wait for
	// one, and queued the total wait for slots.
	parkedAt       time.Time
	parked, queued time.Duration
	// home sent the last ticket or refusal, for a slot of the pool. refusal is the reason of
	// the last refusal.
	home     place.Host
	pool     dispatch.PoolID
	ticketID dispatch.TicketID
	refusal  dispatch.Reason
	// denied is the state of the retry budget that denied a retry, nil if none did.
	denied *budget.State
	// proof is the evidence in the last refusal, by a target or by the host that the request
	// was passed to; empty if there was none.
	proof proof
	// lastTarget is the target of the last attempt.
	lastTarget place.Target
	// reservedBytes is the memory reserved for bodies.
	reservedBytes int64
	// config and table are the versions used for the last decision, tableAge is the age
	// of that routing table.
	config   traffic.Version
	table    owner.Version
	tableAge time.Duration
	// cold is set if the key is still slow at its owner according to the table.
	cold bool
	// relayed is set if another host, from, passed the request to this one, relayedTo is the
	// host that this one passed it to.
	relayed   bool
	from      place.Host
	relayedTo place.Host
	// roomID identifies the room of a large response, zero if there is none, and roomWait is
	// how long the request waited for it.
	roomID   transfer.ID
	roomWait time.Duration
	// noPath is set if a home of a keyless service has only targets left to which this host
	// has no path.
	noPath bool
	// shared is set once the request was offered to the host that shares its connections.
	shared bool
}

// step is the next action for a request.
type step interface{ step() }

// finishStep ends the request. retryStep makes another attempt after the pause, or as
// soon as a newer view is in force.
type (
	finishStep struct{ result outcome.Result }
	retryStep  struct{ pause time.Duration }
)

func (finishStep) step() {}
func (retryStep) step()  {}

// run processes the request until it has a result. ctx ends when the client
// disconnects.
func (j *job) run(ctx context.Context) outcome.Result {
	wait, leave := j.host.stops.join(ctx, time.Now(), j)
	defer leave()
	if j.route.Large {
		return j.runLarge(ctx, wait)
	}
	return j.runAttempts(ctx, wait)
}

// runAttempts makes attempts until the request has a result. wait ends with ctx, and when the
// request may no longer be sent; an attempt that is in progress then goes on.
func (j *job) runAttempts(ctx, wait context.Context) outcome.Result {
	for {
		if wait.Err() != nil {
			return j.finalResult(j.cutShort(wait).result)
		}
		now := time.Now()
		if j.deadline.Sub(now) < minSendTime {
			return j.finalResult(j.deadlineExceeded())
		}
		if _, refused := j.host.quarantine.verdict(now, j).(quarantine.Refused); refused {
			return j.finalResult(j.quarantined())
		}
		v := j.host.views.view()
		switch s := j.try(ctx, wait, now, v).(type) {
		case finishStep:
			return j.finalResult(s.result)
		case retryStep:
			if s.pause > 0 {
				j.pause(wait, v, s.pause)
			}
		}
	}
}

// pause waits for a newer view, at most for d or until wait ends.
func (j *job) pause(wait context.Context, v *view, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-wait.Done():
	case <-v.replaced:
	case <-timer.C:
	}
}

// quarantined returns the result of a request under which targets have ended.
func (j *job) quarantined() outcome.Result {
	j.host.metrics.countQuarantineRefusal(j.service.Name)
	return outcome.NotRunFailure{Reason: outcome.Quarantined}
}

// deadlineExceeded returns the result of a request that ran out of time before it was
// sent.
func (j *job) deadlineExceeded() outcome.Result {
	return outcome.NotRunFailure{Reason: outcome.Overload, RetryAfter: defaultRetryAfter}
}

// try makes one attempt.
func (j *job) try(ctx, wait context.Context, now time.Time, v *view) step {
	pool, owner, s := j.resolve(now, v)
	if s != nil {
		return s
	}
	if j.needsRelay(v, owner) {
		return j.relay(ctx, wait, now, owner)
	}
	if s := j.shareConnection(ctx, wait, now, v, owner); s != nil {
		return s
	}
	placed, s := j.acquireTicket(wait, now, v, pool, owner)
	if s != nil {
		return s
	}
	return j.send(ctx, placed)
}

// resolve returns the pool to acquire a ticket from and, for a ranged service, the
// owner of the key.
func (j *job) resolve(now time.Time, v *view) (dispatch.PoolID, place.Target, step) {
	if j.service.KeySpace == traffic.Keyless {
		if v.allEvacuated(j.service.Name) {
			return dispatch.PoolID{}, "", j.refuseEvacuated(v, "")
		}
		return j.resolveKeyless(v)
	}
	span, wait := j.lookupSpan(now, v)
	if span != nil && span.Target != "" {
		if !j.mayReach(v, span.Target) {
			return dispatch.PoolID{}, "", j.outsideRegions(span.Target)
		}
		j.parkedAt = time.Time{}
		j.cold = span.ColdFor > j.tableAge
		if s := j.checkBackoff(now, v, span.Target); s != nil {
			return dispatch.PoolID{}, "", s
		}
		return dispatch.PoolID{Service: j.service.Name, Target: span.Target}, span.Target, nil
	}
	if j.parkedAt.IsZero() {
		j.parkedAt = now
	}
	j.parked = now.Sub(j.parkedAt)
	if j.waitsBeyondStop(now, now.Add(wait)) {
		return dispatch.PoolID{}, "", j.stopped()
	}
	maxPark := time.Duration(maxParkShare * float64(j.deadline.Sub(j.arrived)))
	if j.parked >= maxPark || j.parked+wait > maxPark {
		return dispatch.PoolID{}, "", finishStep{outcome.NotRunFailure{
			Reason: outcome.NoOwner, RetryAfter: max(wait, defaultRetryAfter),
		}}
	}
	return dispatch.PoolID{}, "", retryStep{maxPark - j.parked}
}

// lookupSpan returns the span of the routing table that contains the key. If the key
// has no owner, it also returns the time until it probably has one.
func (j *job) lookupSpan(now time.Time, v *view) (*owner.Span, time.Duration) {
	table := v.tables[j.service.Name]
	if table == nil {
		return nil, defaultRetryAfter
	}
	j.table, j.tableAge = table.Version, now.Sub(v.tableAt[j.service.Name])
	span := table.Find(j.point)
	if span == nil {
		return nil, defaultRetryAfter
	}
	return span, max(span.AvailableIn-now.Sub(v.tableAt[j.service.Name]), 0)
}

// acquireTicket waits for a slot.
func (j *job) acquireTicket(wait context.Context, now time.Time, v *view, pool dispatch.PoolID, owner place.Target) (placed ticket, s step) {
	d := j.host.dispatcher
	j.pool = pool
	tried := j.tried
	if owner == "" {
		tried = append(j.excluded(now, v.remaining[j.service.Name]), tried...)
	}
	timeout, softTimeout := j.host.stops.timeouts(now, j)
	id, reply := d.acquire(now, dispatch.Acquire{
		Pool: pool, Class: j.route.Name, Priority: j.route.Priority,
		Timeout: timeout, SoftTimeout: softTimeout, Excluded: tried, Cold: j.cold,
		Fingerprint: j.fingerprint, Watch: d.Watch(now, j.fingerprint),
	})
	timer := time.NewTimer(j.waitEnd(now, v, owner).Sub(now))
	defer timer.Stop()
	for {
		select {
		case end := <-reply:
			return j.handleReply(now, id, end, owner)
		case <-wait.Done():
			if d.cancel(time.Now(), id) {
				return ticket{}, j.cutShort(wait)
			}
			return j.returnTicket(id, (<-reply).Message), j.cutShort(wait)
		case now := <-timer.C:
			end := step(finishStep{j.deadlineExceeded()})
			if now.Before(j.deadline) {
				end = j.ownerLeaving(v, owner)
			}
			if d.cancel(now, id) {
				return ticket{}, end
			}
			return j.returnTicket(id, (<-reply).Message), end
		case <-v.replaced:
			v = j.host.views.view()
			if owner == "" && !j.poolEvacuated(v) {
				continue
			}
			if owner != "" && j.ownedBy(v, owner) {
				now := time.Now()
				timer.Reset(j.waitEnd(now, v, owner).Sub(now))
				continue
			}
			if d.cancel(time.Now(), id) {
				return ticket{}, retryStep{}
			}
			return j.returnTicket(id, (<-reply).Message), retryStep{}
		}
	}
}

// waitEnd returns until when a request may wait for a slot. owner is empty for a keyless
// service.
func (j *job) waitEnd(now time.Time, v *view, owner place.Target) time.Time {
	if owner == "" {
		return j.deadline
	}
	if until := j.sendUntil(now, v, owner); !until.IsZero() && until.Before(j.deadline) {
		return until
	}
	return j.deadline
}

// ticket is permission to use one slot of a target.
type ticket struct {
	id     dispatch.TicketID
	target place.Target
	dispatch.Assigned
	waited time.Duration
	// isolated is set if this host was its own home because it reached no other
	// candidate.
	isolated bool
}

// handleReply handles the final reply of a home.
func (j *job) handleReply(asked time.Time, id dispatch.TicketID, end ticketReply, owner place.Target) (ticket, step) {
	waited := time.Since(asked)
	j.queued += waited
	j.home, j.ticketID = end.home, id
	switch m := end.Message.(type) {
	case dispatch.Assigned:
		if s := j.checkSlot(m, owner); s != nil {
			// This host may know more recent state than the home.
			j.host.log.Info("Slot not used, target is leaving, paused or not one for the request.", slog.String("request", j.request.ID),
				slog.String("target", string(m.Target)), slog.String("home", string(end.home)), slog.Uint64("ticket", uint64(id)))
			return j.returnTicket(id, m), s
		}
		return ticket{id: id, target: m.Target, Assigned: m, waited: waited, isolated: end.isolated}, nil
	case dispatch.Refused:
		j.refusal = m.Reason
		if m.Reason == dispatch.ReasonLimit {
			j.host.metrics.countLimitRefusal(j.service.Name)
		}
		if m.Reason == dispatch.ReasonQuarantined {
			return ticket{}, finishStep{j.quarantined()}
		}
		if m.Reason == dispatch.ReasonNoTarget && j.poolEvacuated(j.host.views.view()) {
			return ticket{}, retryStep{}
		}
		if m.Reason != dispatch.ReasonNoTarget && j.host.stops.shortens(j) {
			return ticket{}, j.stopped() // another host may wait until the deadline
		}
		reason := outcome.Overload
		if m.Reason == dispatch.ReasonNoTarget {
			reason = outcome.Unreachable
		}
		return ticket{}, finishStep{outcome.NotRunFailure{Reason: reason, RetryAfter: m.RetryAfter}}
	}
	return ticket{}, finishStep{outcome.NotRunFailure{Reason: outcome.Overload, RetryAfter: defaultRetryAfter}}
}

// returnTicket releases a ticket that is not used, if m assigned one. It returns the
// zero ticket.
func (j *job) returnTicket(id dispatch.TicketID, m dispatch.Message) ticket {
	if _, ok := m.(dispatch.Assigned); ok {
		j.host.dispatcher.release(time.Now(), id, dispatch.ResultUnused, 0, target.Signal{})
	}
	return ticket{}
}

// ownedBy reports whether the view's routing table assigns the job's key to the target.
func (j *job) ownedBy(v *view, name place.Target) bool {
	table := v.tables[j.service.Name]
	if table == nil {
		return false
	}
	span := table.Find(j.point)
	return span != nil && span.Target == name
}

// send sends the request with a ticket.
func (j *job) send(ctx context.Context, t ticket) step {
	h := j.host
	retry := j.arrivals > 0
	if retry && !j.withdrawRetry(time.Now()) {
		h.dispatcher.release(time.Now(), t.id, dispatch.ResultUnused, 0, target.Signal{})
		return finishStep{j.retryDenied()}
	}
	if !j.route.Idempotent {
		// Work that is not idempotent must not be aborted when its client disconnects.
		ctx = context.WithoutCancel(ctx)
	}
	start := time.Now()
	j.request.Expect, j.request.MaxIdle = t.target, h.idleLimits.limit(start, j.service.Name)
	if t.isolated {
		j.request.MaxIdle = isolatedMaxIdle
	}
	known := h.quarantine.table.Suspicion(j.fingerprint)
	v := h.views.view()
	row := v.targets[t.target]
	j.request.NotAfter = j.notAfter(start, v, t.target)
	stalled := time.AfterFunc(stallTimeout, func() { h.paths.stalled(time.Now(), start, row) })
	result := h.connPools.get(t.Addr, j.service).Do(ctx, &j.request, start)
	stalled.Stop()
	took := time.Since(start)
	if retry {
		j.recordRetry(time.Now(), result)
	}
	end := endOf(result)
	if ctx.Err() != nil && end != dispatch.ResultTimeout {
		end = dispatch.ResultUnused // the client disconnected
	}
	signal := signalOf(result)
	j.recordLimit(start, t, signal.Limit)
	j.countLoad(row, signal, end)
	h.dispatcher.release(time.Now(), t.id, h.paths.evidence(row, end), took, signal)
	h.dispatcher.recordAttempt(row.Zone, end)
	h.paths.record(time.Now(), start, row, end)
	j.lastTarget = t.target
	if now := time.Now(); h.idleLimits.observe(now, j.service.Name, result) {
		h.log.Info("Idle connection to target was dead, lowering the idle limit.", slog.String("request", j.request.ID),
			slog.String("service", string(j.service.Name)), slog.String("target", string(t.target)),
			millisAttr("idle", h.idleLimits.limit(now, j.service.Name)))
	}
	j.applySignal(t, signal)
	h.metrics.countAttempt(j.service.Name, end, took, t.waited)
	if end != dispatch.ResultServed {
		j.logAttempt(t, end, took, result)
	}
	if isCut(result) {
		j.checkEnd(ctx, &endCheck{job: j, row: rowOf(t, row, j.service.Name), took: took, known: known})
	}
	if _, ok := result.(forward.Completed); ok {
		h.quarantine.served(time.Now(), j)
		h.stops.times.Record(j.route.Name, took)
	}
	return j.handleAttempt(ctx, t, result)
}

// checkEnd finds out whether the target of an attempt that was cut has ended. A request
// that may be sent again waits for the result.
func (j *job) checkEnd(ctx context.Context, c *endCheck) {
	if j.route.Idempotent {
		c.run(ctx)
		return
	}
	go c.run(ctx)
}

// reserveMemory reserves memory for a response until the request ends.
func (j *job) reserveMemory(bytes int64) bool {
	if j.roomID != 0 && !j.host.transfers.grow(time.Now(), j.roomID, bytes) {
		return false
	}
	if !j.host.bodyMemory.TryAcquire(bytes) {
		return false
	}
	j.reservedBytes += bytes
	return true
}

// releaseMemory returns what was reserved, and the room of a large response.
func (j *job) releaseMemory() {
	if j.roomID != 0 {
		j.host.transfers.release(time.Now(), j.roomID)
	}
	j.host.bodyMemory.Release(j.reservedBytes)
	j.reservedBytes = 0
}

// logAttempt logs an attempt that was not served.
func (j *job) logAttempt(t ticket, end dispatch.Result, took time.Duration, result forward.Result) {
	attrs := []any{
		slog.String("request", j.request.ID), slog.String("service", string(j.service.Name)), slog.String("target", string(t.target)),
		slog.String("end", end.String()), millisAttr("took", took), millisAttr("left", time.Until(j.deadline)), slog.Int("sent", j.arrivals+1),
		slog.Uint64("ticket", uint64(t.id)), slog.String("home", string(j.home)),
	}
	switch r := result.(type) {
	case forward.Completed:
		attrs = append(attrs, slog.Int("status", r.Status))
	case forward.Refused:
		attrs = append(attrs, slog.Int("status", r.Status), slog.String("proof", string(proofOf(r))), slog.Bool("named", r.Named), slog.Int("carried", r.Carried))
	case forward.NotSent:
		attrs = append(attrs, slog.Any("error", r.Err))
	case forward.Uncertain:
		attrs = append(attrs, slog.String("reason", string(r.Reason)), slog.Any("error", r.Err))
	}
	j.host.log.Info("Attempt not served.", attrs...)
}

// withdrawRetry takes a retry from the budget and reports whether it may be made.
func (j *job) withdrawRetry(now time.Time) bool {
	state, ok := j.host.retries.Withdraw(now, j.service.Name)
	if !ok {
		j.denied = &state
		j.host.metrics.countRetry(j.service.Name, "denied")
	}
	return ok
}

// recordRetry records the result of a retry that was taken from the budget.
func (j *job) recordRetry(now time.Time, result forward.Result) {
	if _, unsent := result.(forward.NotSent); unsent {
		j.host.retries.Return(now, j.service.Name)
		return
	}
	j.host.metrics.countRetry(j.service.Name, "made")
}

// retryDenied returns the result of a request that the retry budget does not allow to
// be retried.
func (j *job) retryDenied() outcome.Result {
	return outcome.NotRunFailure{Reason: outcome.Refused, RetryAfter: busyRetryAfter}
}

const (
	// maxUnsent limits the attempts that reach no target, maxMisdirected those that
	// reach a target that does not own the key.
	maxUnsent      = 4
	maxMisdirected = 3
)

// handleAttempt returns the step after an attempt.
func (j *job) handleAttempt(ctx context.Context, t ticket, result forward.Result) step {
	if _, unsent := result.(forward.NotSent); !unsent {
		j.arrivals++
	}
	if ctx.Err() != nil {
		return finishStep{outcome.UnknownFailure{Reason: outcome.AnswerCut}}
	}
	switch r := result.(type) {
	case forward.Completed:
		return j.handleResponse(t, r)
	case forward.Refused:
		return j.handleRefusal(t, r)
	case forward.NotSent:
		j.unsent++
		j.tried = append(j.tried, t.target)
		if j.unsent >= maxUnsent {
			return finishStep{outcome.NotRunFailure{Reason: outcome.Unreachable, RetryAfter: defaultRetryAfter}}
		}
		return retryStep{j.retryPause(busyPause)}
	case forward.Uncertain:
		j.uncertainReason = r.Reason
		if !j.route.Idempotent || r.Reason == outcome.AnswerLate || !j.mayRetry(t) {
			return finishStep{outcome.UnknownFailure{Reason: r.Reason}}
		}
		return retryStep{}
	}
	return finishStep{outcome.UnknownFailure{Reason: outcome.AnswerBad}}
}

// retryPause returns the pause before a retry. A keyless service needs none, as it has
// other targets.
func (j *job) retryPause(pause time.Duration) time.Duration {
	if j.service.KeySpace == traffic.Keyless {
		return 0
	}
	return pause
}

// mayRetry counts an attempt, excludes its target from the next one, and reports
// whether the route allows another one.
func (j *job) mayRetry(t ticket) bool {
	j.attempts++
	j.tried = append(j.tried, t.target)
	return j.attempts < j.route.MaxAttempts
}

func (j *job) handleResponse(t ticket, r forward.Completed) step {
	if r.Status < http.StatusInternalServerError || !j.route.Idempotent {
		return finishStep{r.Response}
	}
	j.serverError = r.Response
	if r.Status == http.StatusGatewayTimeout || !j.mayRetry(t) {
		return finishStep{r.Response}
	}
	return retryStep{}
}

func (j *job) handleRefusal(t ticket, r forward.Refused) step {
	j.refusals++
	j.proof = proofOf(r)
	if r.Refusal == target.RefusalOwner {
		j.misdirected++
		if j.misdirected >= maxMisdirected {
			return finishStep{outcome.NotRunFailure{Reason: outcome.NoOwner, RetryAfter: defaultRetryAfter}}
		}
		j.tried = append(j.tried, t.target)
		return retryStep{j.retryPause(misdirectedPause)}
	}
	if !j.mayRetry(t) {
		return finishStep{outcome.NotRunFailure{Reason: outcome.Refused, RetryAfter: busyRetryAfter}}
	}
	return retryStep{j.retryPause(busyPause)}
}

// busyRetryAfter is the Retry-After hint after a target refused a request although its
// home counted a free slot. It is about the transit time of one refusal, as the next
// request may be accepted.
const busyRetryAfter = 25 * time.Millisecond

// endOf converts the result of an attempt to the result reported to the home.
func endOf(result forward.Result) dispatch.Result {
	switch r := result.(type) {
	case forward.Completed:
		if r.Status >= http.StatusInternalServerError {
			return dispatch.ResultFailed
		}
		return dispatch.ResultServed
	case forward.Refused:
		if r.Refusal == target.RefusalOwner {
			return dispatch.ResultMisdirected
		}
		return dispatch.ResultBusy
	case forward.NotSent:
		if errors.Is(r.Err, forward.ErrFull) || errors.Is(r.Err, forward.ErrTooLate) || errors.Is(r.Err, context.Canceled) {
			return dispatch.ResultUnused
		}
		return dispatch.ResultUnreachable
	case forward.Uncertain:
		if r.Reason == outcome.AnswerLate {
			return dispatch.ResultTimeout
		}
		return dispatch.ResultCut
	}
	return dispatch.ResultUnused
}
