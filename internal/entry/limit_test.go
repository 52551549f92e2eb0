package entry

import (
	"testing"
	"time"

	"golang.org/x/time/rate"
	"gotest.tools/v3/assert"
)

func TestAllowed(t *testing.T) {
	since := time.Unix(1000, 0)
	tests := map[string]struct {
		limit  float64
		age    time.Duration
		warmUp time.Duration
		want   int
	}{
		"warm":              {3, time.Hour, time.Minute, 3},
		"just started":      {3, 0, time.Minute, 1},
		"half way":          {3, 30 * time.Second, time.Minute, 2},
		"clock behind":      {3, -time.Second, time.Minute, 1},
		"no ramp":           {3, 0, 0, 3},
		"lowered":           {1, time.Hour, time.Minute, 1},
		"lowered and young": {1, 30 * time.Second, time.Minute, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := limiter{slots: 3, limit: test.limit}
			assert.Equal(t, l.allowed(since.Add(test.age), since, test.warmUp), test.want)
		})
	}
}

func TestBudget(t *testing.T) {
	b := newBudget()
	for range budgetBurst {
		assert.Assert(t, b.spend())
	}
	assert.Assert(t, !b.spend())
	spent := 0
	for range 1000 {
		b.earn()
		if b.spend() {
			spent++
		}
	}
	assert.Assert(t, spent >= 99 && spent <= 100, spent)
}

func TestCallerLimit(t *testing.T) {
	now := time.Unix(1000, 0)
	l := callerLimit{rate: rate.NewLimiter(2, 2), concurrent: 3}
	for range 2 {
		ok, _ := l.allow(now)
		assert.Assert(t, ok)
	}
	ok, wait := l.allow(now)
	assert.Assert(t, !ok)
	assert.Equal(t, wait, 500*time.Millisecond)
	ok, _ = l.allow(now.Add(wait))
	assert.Assert(t, ok)
	ok, _ = l.allow(now.Add(time.Hour))
	assert.Assert(t, !ok) // three run at once
}

func TestServiceTime(t *testing.T) {
	s := serviceTime{mean: firstEstimate}
	for range 100 {
		s.add(20 * time.Millisecond)
	}
	assert.Assert(t, s.mean > 19*time.Millisecond && s.mean <= 20*time.Millisecond, s.mean)
	assert.Assert(t, s.most() < 25*time.Millisecond, s.most())
}
