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
		ends  []forward.Result
		after time.Duration
		want  time.Duration
	}{
		"nothing known":            {want: 0},
		"new connection broke":     {ends: []forward.Result{cut(0)}, want: 0},
		"broke during its request": {ends: []forward.Result{cut(100 * time.Millisecond)}, want: 0},
		"idle connection broke":    {ends: []forward.Result{cut(3 * time.Second)}, want: 1500 * time.Millisecond},
		"shorter limit wins":       {ends: []forward.Result{cut(2 * time.Second), cut(4 * time.Second)}, want: time.Second},
		"timeout is not a reset":   {ends: []forward.Result{forward.Uncertain{Reason: outcome.AnswerLate, Idle: time.Second}}, want: 0},
		"completed request":        {ends: []forward.Result{forward.Completed{}}, want: 0},
		"limit expires":            {ends: []forward.Result{cut(3 * time.Second)}, after: idleLimitTTL, want: 0},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			trust := newIdleLimits()
			for _, end := range test.ends {
				trust.observe(now, "s", end)
			}
			assert.Equal(t, trust.limit(now.Add(test.after), "s"), test.want)
			assert.Equal(t, trust.limit(now, "other"), time.Duration(0))
		})
	}
}
