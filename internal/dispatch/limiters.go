package dispatch

import (
	"maps"
	"slices"
	"time"

	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/target"
)

const (
	// limitNoticeInterval is the time between two notices about a limit. They repair
	// lost datagrams and are the only evidence of a home that gets no requests.
	limitNoticeInterval = 500 * time.Millisecond
	// noticeRetention is how long after the last request for its pool a home still
	// sends notices.
	noticeRetention = 5 * time.Second
)

// limiters holds the rate limits that a host knows as a home or as a possible next
// one, by target.
type limiters struct {
	targets map[place.Target]*limiter
	// ended are the limits that a response ended: hosts may still send older
	// statements.
	ended  map[place.Target]endedLimit
	events []LimitEvent
	// cold are the targets that get fewer requests while they are cold.
	cold      coldTargets
	noticedAt time.Time
	// pendingNotices are due at once.
	pendingNotices []Limited
}

// endedLimit is the end of the limit of one incarnation of a target.
type endedLimit struct {
	incarnation place.Incarnation
	at          time.Time
}

func newLimiters() *limiters {
	return &limiters{
		targets: make(map[place.Target]*limiter), ended: make(map[place.Target]endedLimit), cold: make(coldTargets),
	}
}

// LimitChange is the type of a LimitEvent.
type LimitChange uint8

// The changes of a limit. An expired limit was not stated for limitTTL. LimitCold and
// LimitWarm are the begin and the end of the limit of a cold target.
const (
	LimitAdvertised LimitChange = iota + 1
	LimitChanged
	LimitEnded
	LimitExpired
	LimitCold
	LimitWarm
)

// LimitEvent is a change of a target's rate limit at a home.
type LimitEvent struct {
	LimitState

	Pool   PoolID
	Change LimitChange
}

// LimitState is a target's rate limit as known to a home.
type LimitState struct {
	Target place.Target
	Rate   target.Rate
	// Source is the host that received the response that first advertised the limit.
	Source place.Host
	// Age is the time since then, Confirmed the time since a response last advertised it.
	Age, Confirmed time.Duration
	// Refused is how often this home has refused a request because of it. A request whose
	// Acquire was sent again may count twice.
	Refused int
}

func (l *limiter) state(now time.Time, name place.Target) LimitState {
	return LimitState{
		Target: name, Rate: l.rate, Source: l.source, Age: now.Sub(l.since), Confirmed: now.Sub(l.advertisedAt), Refused: l.refused,
	}
}

// maxListLag is how much later than a response of a new incarnation of a target the list
// with that incarnation may come.
const maxListLag = 3 * time.Second

// of returns the limiter of a target's present incarnation, or nil. A limit that was
// advertised just before a new incarnation was listed may be that of the new one. It is
// kept with a token, so that a response shows whether it is.
func (l *limiters) of(now time.Time, row place.TargetRow) *limiter {
	t := l.targets[row.Target]
	if t == nil || t.incarnation >= row.Incarnation {
		return t
	}
	if now.Sub(t.advertisedAt) > maxListLag {
		l.remove(now, row.Target, LimitEnded)
		return nil
	}
	t.incarnation, t.tokens = row.Incarnation, max(t.tokens, 1)
	return t
}

// refund returns the token of a request that was not sent to the target.
func (l *limiters) refund(now time.Time, row place.TargetRow) {
	if t := l.of(now, row); t != nil {
		t.refund()
	}
}

// observe applies what the response to a request that was sent at sentAt states.
func (l *limiters) observe(now, sentAt time.Time, pool PoolID, row place.TargetRow, host place.Host, limit target.Limit) {
	t := l.of(now, row)
	advertised, ok := limit.(target.RateLimit)
	if t == nil {
		if ok {
			l.add(now, now, pool, row.Target, row.Incarnation, advertised.Rate, host)
		}
		return
	}
	changed, ended := t.observe(now, sentAt, limit)
	switch {
	case ended && !sentAt.IsZero():
		l.end(now, row.Target)
	case changed:
		l.note(now, row.Target, LimitChanged)
	}
}

// learn applies the statement of another host, unless there is later evidence.
func (l *limiters) learn(now time.Time, from place.Host, m Limited) {
	at := now.Add(-m.Age)
	t := l.targets[m.Target]
	if t != nil && t.incarnation != m.Incarnation {
		if t.incarnation > m.Incarnation {
			return
		}
		l.remove(now, m.Target, LimitEnded)
		t = nil
	}
	switch limit := m.Limit.(type) {
	case target.RateLimit:
		switch {
		case t == nil && !l.endedSince(at, m):
			l.add(now, at, m.Pool, m.Target, m.Incarnation, limit.Rate, from)
		case t != nil && at.After(t.advertisedAt):
			changed := t.rate != limit.Rate
			t.rate, t.advertisedAt = limit.Rate, at
			if changed {
				l.note(now, m.Target, LimitChanged)
			}
		}
	case target.NoLimit:
		if t != nil && at.After(t.advertisedAt) {
			l.remove(now, m.Target, LimitEnded)
			l.ended[m.Target] = endedLimit{m.Incarnation, at}
		}
	case target.InvalidLimit:
	}
}

func (l *limiters) add(now, advertisedAt time.Time, pool PoolID, name place.Target, inc place.Incarnation, rate target.Rate, source place.Host) {
	l.targets[name] = newLimiter(now, advertisedAt, pool, inc, rate, source)
	l.note(now, name, LimitAdvertised)
}

// end removes a limit that a response ended, and notifies the other hosts.
func (l *limiters) end(now time.Time, name place.Target) {
	t := l.targets[name]
	l.pendingNotices = append(l.pendingNotices, Limited{Pool: t.pool, Target: name, Incarnation: t.incarnation, Limit: target.NoLimit{}})
	l.ended[name] = endedLimit{t.incarnation, now}
	l.remove(now, name, LimitEnded)
}

// endedSince reports whether a response has ended a limit that was stated at a time.
func (l *limiters) endedSince(at time.Time, m Limited) bool {
	e, ok := l.ended[m.Target]
	return ok && e.incarnation >= m.Incarnation && !at.After(e.at)
}

func (l *limiters) remove(now time.Time, name place.Target, change LimitChange) {
	l.note(now, name, change)
	delete(l.targets, name)
}

// note records a change for the log and for the next notices.
func (l *limiters) note(now time.Time, name place.Target, change LimitChange) {
	t := l.targets[name]
	l.events = append(l.events, LimitEvent{LimitState: t.state(now, name), Pool: t.pool, Change: change})
	l.noticedAt = time.Time{}
}

func (l *limiters) takeEvents() []LimitEvent {
	out := l.events
	l.events = nil
	return out
}

// expire removes limits that were not stated for long.
func (l *limiters) expire(now time.Time) {
	for name, t := range l.targets {
		if now.Sub(t.advertisedAt) > t.ttl() {
			l.remove(now, name, LimitExpired)
		}
	}
	for name, e := range l.ended {
		if now.Sub(e.at) > limitTTL {
			delete(l.ended, name)
		}
	}
}

// notices returns the notices that are due for pools that are in use here.
func (l *limiters) notices(now time.Time, used func(PoolID) bool) []Limited {
	out := l.pendingNotices
	l.pendingNotices = nil
	if len(l.targets) == 0 || now.Sub(l.noticedAt) < limitNoticeInterval {
		return out
	}
	l.noticedAt = now
	for _, name := range slices.Sorted(maps.Keys(l.targets)) {
		t := l.targets[name]
		if used(t.pool) {
			out = append(out, Limited{
				Pool: t.pool, Target: name, Incarnation: t.incarnation, Limit: target.RateLimit{Rate: t.rate}, Age: now.Sub(t.advertisedAt),
			})
		}
	}
	return out
}

// noticeDue returns when the next notices are due, zero for never.
func (l *limiters) noticeDue() time.Time {
	if len(l.targets) == 0 {
		return time.Time{}
	}
	return l.noticedAt.Add(limitNoticeInterval)
}

// observeLimit applies what the response to a request that was sent at sentAt states
// about the rate limit of its target. sentAt is zero if it is not known.
func (h *Home) observeLimit(now, sentAt time.Time, host place.Host, d Done) {
	p := h.pools[d.Pool]
	if p == nil || p.targets[d.Target] == nil {
		return
	}
	h.limits.observe(now, sentAt, d.Pool, p.targets[d.Target].TargetRow, host, d.Limit)
}

// learnLimit applies what another host knows about the rate limit of a target.
func (h *Home) learnLimit(now time.Time, from place.Host, m Limited) {
	h.limits.learn(now, from, m)
	if p := h.pools[m.Pool]; p != nil {
		h.runQueue(now, p)
	}
}

// LimitNotices returns the notices about the limits in force here that are due for the
// hosts that may be the next homes, and for the leaders.
func (h *Home) LimitNotices(now time.Time) []Limited {
	return h.limits.notices(now, func(pool PoolID) bool {
		p := h.pools[pool]
		return p != nil && now.Sub(p.usedAt) < noticeRetention
	})
}

// LimitEvents returns the changes of limits since the last call, for the log.
func (h *Home) LimitEvents() []LimitEvent { return h.limits.takeEvents() }
