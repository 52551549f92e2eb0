package host

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/forward"
	"citrontray.example/citrontray/internal/outcome"
)

func TestIdleLimits(t *testing.T) {
	cut := func(idle time.Duration) forward.Result {
		return forward.Uncertain{Reason: outcome.AnswerCut, Idle: idle}
	}
	for name, test := range map[string]struct {
		results []forward.Result
		after   time.Duration
		want    time.Duration
	}{
		"nothing known":            {want: 0},
		"new connection broke":     {results: []forward.Result{cut(0)}, want: 0},
		"broke during its request": {results: []forward.Result{cut(100 * time.Millisecond)}, want: 0},
		"idle connection broke":    {results: []forward.Result{cut(3 * time.Second)}, want: 1500 * time.Millisecond},
		"shorter limit wins":       {results: []forward.Result{cut(2 * time.Second), cut(4 * time.Second)}, want: time.Second},
		"timeout is not a reset":   {results: []forward.Result{forward.Uncertain{Reason: outcome.AnswerLate, Idle: time.Second}}, want: 0},
		"completed request":        {results: []forward.Result{forward.Completed{}}, want: 0},
		"limit expires":            {results: []forward.Result{cut(3 * time.Second)}, after: idleLimitTTL, want: 0},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			limits := newIdleLimits()
			for _, result := range test.results {
				limits.observe(now, "s", result)
			}
			assert.Equal(t, limits.limit(now.Add(test.after), "s"), test.want)
			assert.Equal(t, limits.limit(now, "other"), time.Duration(0))
		})
	}
}
