package dispatch

import (
	"math"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/target"
)

// TestLimitedLoads plays loads on targets that advertise a rate limit, and checks what the
// targets see and what callers get.
func TestLimitedLoads(t *testing.T) {
	tests := map[string]struct {
		hosts, targets int
		workloads      []workload
		orders         target.Rate
		// limits are set at their times, in seconds, on the first targets.
		limits  map[int]string
		limited int
		// minServed is the least number of requests served per second while the last
		// limit holds, minUrgent the least share of "plan" requests served on time.
		// allServed is set if none may be refused.
		minServed, minUrgent float64
		allServed            bool
	}{
		"a third of the demand":           {hosts: 12, targets: 1, workloads: []workload{lookups.withRate(30)}, limits: map[int]string{5: "10"}, limited: 1, minServed: 8},
		"with orders":                     {hosts: 12, targets: 1, workloads: []workload{lookups.withRate(30)}, orders: 5, limits: map[int]string{5: "10"}, limited: 1, minServed: 8},
		"below the number of hosts":       {hosts: 40, targets: 1, workloads: []workload{lookups.withRate(20)}, limits: map[int]string{5: "2.5"}, limited: 1, minServed: 2},
		"below one a second":              {hosts: 12, targets: 1, workloads: []workload{lookups.withRate(20)}, limits: map[int]string{5: "0.4"}, limited: 1, minServed: 0.3},
		"zero":                            {hosts: 12, targets: 1, workloads: []workload{lookups.withRate(20)}, limits: map[int]string{5: "0"}, limited: 1},
		"above the demand":                {hosts: 12, targets: 1, workloads: []workload{lookups.withRate(20)}, limits: map[int]string{5: "60"}, limited: 1, allServed: true},
		"urgent beside others":            {hosts: 12, targets: 1, workloads: []workload{lookups.withRate(30), plans.withRate(4)}, limits: map[int]string{5: "10"}, limited: 1, minServed: 8, minUrgent: 0.9},
		"more urgent ones than the limit": {hosts: 12, targets: 1, workloads: []workload{lookups.withRate(20), plans.withRate(20)}, limits: map[int]string{5: "5"}, limited: 1, minServed: 4},
		"falls":                           {hosts: 12, targets: 1, workloads: []workload{lookups.withRate(30)}, limits: map[int]string{5: "20", 12: "4"}, limited: 1, minServed: 3},
		"rises":                           {hosts: 12, targets: 1, workloads: []workload{lookups.withRate(30)}, limits: map[int]string{5: "4", 12: "20"}, limited: 1, minServed: 16},
		"malformed":                       {hosts: 12, targets: 1, workloads: []workload{lookups.withRate(20)}, limits: map[int]string{5: "soon"}, limited: 1, allServed: true},
		"ends":                            {hosts: 12, targets: 1, workloads: []workload{lookups.withRate(20)}, limits: map[int]string{5: "2", 12: ""}, limited: 1, minServed: 19},
		"low one ends":                    {hosts: 12, targets: 1, workloads: []workload{lookups.withRate(20)}, limits: map[int]string{5: "0.2", 12: ""}, limited: 1, minServed: 19},
		"two of six targets":              {hosts: 12, targets: 6, workloads: []workload{notices.withRate(60)}, limits: map[int]string{5: "2"}, limited: 2, allServed: true},
		"all of six targets":              {hosts: 12, targets: 6, workloads: []workload{notices.withRate(60)}, limits: map[int]string{5: "3"}, limited: 6, minServed: 15},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			const duration, settle = 40 * time.Second, 12 * time.Second
			c := newCluster(3, test.hosts, test.targets, 60*time.Millisecond)
			c.orders = test.orders
			end := c.start.Add(duration)
			for _, w := range test.workloads {
				c.load(w, end)
			}
			c.sendOrders(end)
			last := 0
			for at, value := range test.limits {
				last = max(last, at)
				c.after(time.Duration(at)*time.Second, func(time.Time) {
					for _, limited := range c.targets[:test.limited] {
						limited.setLimit(value)
					}
				})
			}
			c.run(time.Duration(last)*time.Second + settle)
			before := c.served()
			c.run(duration - time.Duration(last)*time.Second - settle)
			result := c.check()
			perSecond := float64(c.served()-before) / (duration - time.Duration(last)*time.Second - settle).Seconds()
			t.Logf("highest ratio %.2f of %d windows, %.2f served per second", result.Highest, result.Windows, perSecond)
			slices.Sort(c.heldFor)
			if n := len(c.heldFor); n > 0 {
				t.Logf("refused after %v (median), %v (nine in ten), %v (longest)", c.heldFor[n/2], c.heldFor[n*9/10], c.heldFor[n-1])
				// Most are refused at once, none is held past its latency objective.
				assert.Assert(t, c.heldFor[n*9/10] <= 100*time.Millisecond)
				assert.Assert(t, c.heldFor[n-1] <= test.workloads[0].objective)
			}
			for class, r := range c.results {
				t.Logf("%s: sent %d, on time %d, late %d, refused %d, failed %d", class, r.sent, r.onTime, r.late, r.refused, r.failed)
				assert.Assert(t, !test.allServed || r.refused+r.failed == 0)
			}
			assert.Assert(t, len(result.Violations) == 0, "%s", strings.Join(result.Violations, "\n"))
			assert.Assert(t, perSecond >= test.minServed)
			if plan := c.results["plan"]; test.minUrgent > 0 {
				assert.Assert(t, float64(plan.onTime) >= test.minUrgent*float64(plan.sent))
			}
		})
	}
}

// served returns the number of requests served so far.
func (c *cluster) served() int {
	n := 0
	for _, r := range c.results {
		n += r.onTime + r.late
	}
	return n
}

// TestLimitOfNewIncarnation checks that a limit that was advertised just before a new
// incarnation of its target was listed is kept until a response shows that there is none,
// and that an older one is not.
func TestLimitOfNewIncarnation(t *testing.T) {
	start := time.Unix(1000, 0)
	for name, test := range map[string]struct {
		listedAfter time.Duration
		limit       target.Limit // in the response of the new incarnation
		after       bool         // whether the limit is in force then
	}{
		"advertised by the new one":  {time.Second, target.RateLimit{Rate: 0.2}, true},
		"advertised by the last one": {time.Second, target.NoLimit{}, false},
		"advertised long before":     {maxListLag + time.Second, nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			now, catalog := start, &oneRow{row: place.TargetRow{Target: "t", Slots: 3, Incarnation: 1, State: place.Live}}
			h, pool, id := NewHome(catalog), PoolID{Service: "s", Target: "t"}, TicketID(0)
			// request reports whether a request is sent to the target.
			request := func(limit target.Limit) bool {
				id++
				for _, m := range h.Handle(now, Peer{Host: "h", Incarnation: 1}, Acquire{ID: id, Pool: pool, Timeout: time.Second, SoftTimeout: time.Second}) {
					if _, ok := m.Message.(Assigned); ok {
						now = now.Add(10 * time.Millisecond)
						h.Handle(now, Peer{Host: "h", Incarnation: 1}, Done{ID: id, Pool: pool, Target: "t", Result: ResultServed, Limit: limit})
						return true
					}
				}
				return false
			}
			assert.Assert(t, request(target.RateLimit{Rate: 0.2}))
			assert.Assert(t, !request(nil), "the bucket is empty")
			now = now.Add(test.listedAfter)
			catalog.row.Incarnation = 2
			h.Refresh(now)
			assert.Assert(t, request(test.limit), "a response has to show whether the limit is in force")
			assert.Equal(t, !request(nil), test.after)
		})
	}
}

// oneRow is a Catalog with one target.
type oneRow struct {
	onlyHome

	row place.TargetRow
}

func (o *oneRow) Members(PoolID) []place.TargetRow { return []place.TargetRow{o.row} }

// TestFirstToken checks that a home that learns of a limit has no token if a response
// confirmed it just now, and one if that is long ago: only a response shows that the limit
// has ended.
func TestFirstToken(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, test := range map[string]struct {
		rate      target.Rate
		confirmed time.Duration // before
		want      float64
	}{
		"just now":                   {5, 0, 0},
		"half of the interval ago":   {5, 100 * time.Millisecond, 0.5},
		"long ago":                   {5, 20 * time.Second, 1},
		"low rate, a second ago":     {0.3, time.Second, 0.3},
		"low rate, long ago":         {0.3, 20 * time.Second, 1},
		"zero, ten seconds ago":      {minLimitRate, 10 * time.Second, 1},
		"clock of another host late": {5, -time.Second, 0},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLimiter(now, now.Add(-test.confirmed), PoolID{}, 1, test.rate, "h")
			l.refill(now, test.rate)
			assert.Assert(t, math.Abs(l.tokens-test.want) < 1e-9, "%v", l.tokens)
			l.refill(now, test.rate)
			assert.Assert(t, math.Abs(l.tokens-test.want) < 1e-9, "a second call adds nothing")
		})
	}
}

// TestStatedLimits checks which of the statements of other hosts and of responses put a
// limit in force at a home, in whatever order they arrive.
func TestStatedLimits(t *testing.T) {
	start := time.Unix(1000, 0)
	limited, none := target.RateLimit{Rate: 5}, target.NoLimit{}
	lower := target.RateLimit{Rate: 3}
	type statement struct {
		at, age time.Duration // in seconds
		inc     place.Incarnation
		limit   target.Limit
	}
	for name, test := range map[string]struct {
		statements []statement
		listed     place.Incarnation
		want       target.Rate // zero for none
	}{
		"one host":                         {[]statement{{1, 0, 1, limited}}, 1, 5},
		"the latest counts":                {[]statement{{1, 0, 1, limited}, {2, 0, 1, lower}}, 1, 3},
		"an earlier one comes late":        {[]statement{{2, 0, 1, lower}, {3, 2, 1, limited}}, 1, 3},
		"ended":                            {[]statement{{1, 0, 1, limited}, {2, 0, 1, none}}, 1, 0},
		"an earlier one after the end":     {[]statement{{1, 0, 1, limited}, {2, 0, 1, none}, {3, 2, 1, limited}}, 1, 0},
		"advertised again after the end":   {[]statement{{1, 0, 1, limited}, {2, 0, 1, none}, {4, 1, 1, limited}}, 1, 5},
		"an earlier end comes late":        {[]statement{{3, 0, 1, limited}, {4, 2, 1, none}}, 1, 5},
		"of an earlier incarnation":        {[]statement{{9, 8, 1, limited}}, 2, 0},
		"later one after an earlier one":   {[]statement{{9, 8, 1, limited}, {10, 1, 2, lower}}, 2, 3},
		"earlier one after a later one":    {[]statement{{9, 1, 2, lower}, {10, 0, 1, limited}}, 2, 3},
		"end of an earlier incarnation":    {[]statement{{9, 1, 2, lower}, {10, 0, 1, none}}, 2, 3},
		"of an incarnation not yet listed": {[]statement{{1, 0, 2, limited}}, 1, 5},
	} {
		t.Run(name, func(t *testing.T) {
			l, now := newLimiters(), start
			row := place.TargetRow{Target: "t", Incarnation: test.listed}
			for _, s := range test.statements {
				now = start.Add(s.at * time.Second)
				l.learn(now, "h", Limited{Target: "t", Incarnation: s.inc, Limit: s.limit, Age: s.age * time.Second})
				l.of(now, row)
			}
			got := target.Rate(0)
			if limiter := l.of(now, row); limiter != nil {
				got = limiter.rate
			}
			assert.Equal(t, got, test.want)
		})
	}
}

// TestRefusedAgain checks that a home counts a request twice that is refused because of a
// limit, if the client sent it again before the reply, and that the client tells of that.
func TestRefusedAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	pool, self := PoolID{Service: "s", Target: "t"}, Peer{Host: "self", Incarnation: 1}
	home, client := NewHome(oneTarget{}), NewClient(oneTarget{}, 1)
	home.Handle(now, self, Limited{Pool: pool, Target: "t", Limit: target.RateLimit{Rate: 0}})
	client.Acquire(now, Acquire{Pool: pool, Timeout: 100 * time.Millisecond, SoftTimeout: 100 * time.Millisecond})
	sent, _ := client.Flush()
	assert.Equal(t, len(client.Resent()), 0)
	now = now.Add(resendInterval)
	client.Tick(now)
	again, _ := client.Flush()
	assert.DeepEqual(t, client.Resent(), []key.Service{"s"})
	assert.Equal(t, len(client.Resent()), 0)
	for _, m := range append(sent, again...) {
		for _, reply := range home.Handle(now, self, m.Message) {
			client.Receive(now, "self", reply.Message)
		}
	}
	_, replies := client.Flush()
	assert.Equal(t, len(replies), 1)
	assert.Equal(t, replies[0].Message.(Refused).Reason, ReasonLimit)
	assert.Equal(t, home.Pools(now)[0].Limits[0].Refused, 2)
}

// TestLimitShare checks that the shares of all hosts that may be the home of a pool stay
// at one and a half together, and that a host that stops leaves its rank to the next.
func TestLimitShare(t *testing.T) {
	ranked := []place.Host{"a", "b", "c", "d"}
	share := func(self place.Host, settling bool, stopped ...place.Host) float64 {
		r := HomeRanking{
			Ranked: append(slices.Clone(ranked), self), Self: self, Hosts: 10, Settling: settling,
			Stopped: func(host place.Host) bool { return slices.Contains(stopped, host) },
		}
		return r.LimitShare()
	}
	for name, test := range map[string]struct {
		self     place.Host
		settling bool
		stopped  []place.Host
		want     float64
	}{
		"first":                               {"a", false, nil, 1},
		"second":                              {"b", false, nil, 0.25},
		"third":                               {"c", false, nil, 0.125},
		"fourth":                              {"d", false, nil, 0.125},
		"no candidate":                        {"x", false, nil, 0.1},
		"first, just started":                 {"a", true, nil, 0.25},
		"second, just started":                {"b", true, nil, 0.125},
		"fourth, just started":                {"d", true, nil, 0.125},
		"stopping itself":                     {"a", false, []place.Host{"a"}, 0.125},
		"second after a stop":                 {"b", false, []place.Host{"a"}, 1},
		"fourth after two stops":              {"d", false, []place.Host{"a", "b"}, 0.25},
		"first while a later one is stopping": {"a", false, []place.Host{"b"}, 1},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, share(test.self, test.settling, test.stopped...), test.want) })
	}
	assert.Equal(t, share("a", false)+share("b", false)+share("c", false)+share("d", false), limitRatio)
	// The first one restarts after a stop of which only the others know.
	assert.Assert(t, share("a", true)+share("b", false, "a")+share("c", false, "a") <= limitRatio)
}

// limitRatio is by how much the rule allows a limit to be exceeded.
const limitRatio = 1.5

// TestEndOfLimit checks that the end of a limit is noticed with the first request that the
// limit allows, without more requests than that.
func TestEndOfLimit(t *testing.T) {
	const demand = 20.0
	for name, rate := range map[string]string{"five a second": "5", "one a second": "1", "one in four seconds": "0.25"} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(4, 12, 1, 60*time.Millisecond)
			c.load(lookups.withRate(demand), c.start.Add(40*time.Second))
			c.run(3 * time.Second)
			c.targets[0].setLimit(rate)
			c.run(10 * time.Second)
			c.targets[0].setLimit("")
			perSecond, err := strconv.ParseFloat(rate, 64)
			assert.NilError(t, err)
			ended := c.now
			for before := c.served(); c.served()-before <= 1; {
				c.run(10 * time.Millisecond)
			}
			noticed := c.now.Sub(ended)
			before := c.served()
			c.run(2 * time.Second)
			t.Logf("noticed after %v, then %d requests in 2 s", noticed, c.served()-before)
			// The first response that shows the end, and one more request.
			assert.Assert(t, noticed.Seconds() <= 1/perSecond+0.5)
			assert.Assert(t, float64(c.served()-before) >= 0.8*2*demand)
		})
	}
}

// TestRetryAfterOfLimit checks that refused requests are told to return one after the
// other, at the rate of the limit if new requests leave it unused, and that those that
// can't return in time are told to stay away, spread over some time.
func TestRetryAfterOfLimit(t *testing.T) {
	const rate, refused, left = 10, 60, 1200 * time.Millisecond
	now := time.Unix(1000, 0)
	for name, test := range map[string]struct {
		use  float64 // tokens taken per second
		soon int     // requests that may return in time
	}{
		"nothing used":    {0, 4},
		"half used":       {5, 2},
		"everything used": {10, 0},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLimiter(now, now, PoolID{}, 1, rate, "h")
			l.use = test.use
			spacing := time.Duration(float64(time.Second) / max(rate-test.use, minReturnShare*rate))
			latest := time.Duration(maxReturnWait * float64(left))
			soon, last := 0, time.Duration(0)
			var later []time.Duration
			for range refused {
				delay := l.retryAfter(now, minRetryAfter, left, rate)
				if delay > latest {
					later = append(later, delay)
					continue
				}
				assert.Assert(t, soon == 0 || delay-last >= spacing-time.Millisecond, "%v after %v", delay, last)
				soon, last = soon+1, delay
			}
			assert.Equal(t, soon, test.soon)
			slices.Sort(later)
			span := later[len(later)-1] - later[0]
			assert.Assert(t, span >= later[0]/2, "from %v to %v", later[0], later[len(later)-1])
			for i := range later[10:] {
				assert.Assert(t, later[i+10]-later[i] >= span/20, "ten returns within %v", later[i+10]-later[i])
			}
			assert.Equal(t, l.refused, refused)
		})
	}
}
