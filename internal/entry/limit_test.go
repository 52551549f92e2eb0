package entry

import (
	"testing"
	"time"

	"golang.org/x/time/rate"
	"gotest.tools/v3/assert"
)

func TestConcurrencyLimit(t *testing.T) {
	since := time.Unix(1000, 0)
	tests := map[string]struct {
		limit  float64
		age    time.Duration
		warmUp time.Duration
		want   int
	}{
		"warm":                        {3, time.Hour, time.Minute, 3},
		"just started":                {3, 0, time.Minute, 1},
		"half warmed up":              {3, 30 * time.Second, time.Minute, 2},
		"warm-up start in the future": {3, -time.Second, time.Minute, 1},
		"no warm-up":                  {3, 0, 0, 3},
		"lowered":                     {1, time.Hour, time.Minute, 1},
		"lowered and warming up":      {1, 30 * time.Second, time.Minute, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := concurrencyLimit{slots: 3, limit: test.limit}
			assert.Equal(t, l.current(since.Add(test.age), since, test.warmUp), test.want)
		})
	}
}

func TestRetryBudgetRatio(t *testing.T) {
	b := newRetryBudget()
	for range retryBudgetBurst {
		assert.Assert(t, b.withdraw())
	}
	assert.Assert(t, !b.withdraw())
	spent := 0
	for range 1000 {
		b.countRequest()
		if b.withdraw() {
			spent++
		}
	}
	assert.Assert(t, spent >= 99 && spent <= 100, spent)
}

func TestCallerLimit(t *testing.T) {
	now := time.Unix(1000, 0)
	l := callerLimit{rate: rate.NewLimiter(2, 2), maxConcurrent: 3}
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
	assert.Assert(t, !ok) // three requests are in flight
}

func TestServiceTime(t *testing.T) {
	s := serviceTime{mean: initialServiceTime}
	for range 100 {
		s.add(20 * time.Millisecond)
	}
	assert.Assert(t, s.mean > 19*time.Millisecond && s.mean <= 20*time.Millisecond, s.mean)
	assert.Assert(t, s.upper() < 25*time.Millisecond, s.upper())
}
