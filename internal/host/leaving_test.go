package host

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/fake"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/target"
)

// freezeLeader stops the leader of the ranged service, which keeps its lease, until the test
// ends.
func (d *deployment) freezeLeader() {
	frozen := make(chan struct{})
	d.leader().controllers["span"].post(func(time.Time) bool { <-frozen; return false })
	d.t.Cleanup(func() { close(frozen) })
}

// TestLeavingOwnerWithoutLeader guards against requests for keys that reach an owner after its
// drain time, while the leader that should move its ranges holds its lease and does nothing.
func TestLeavingOwnerWithoutLeader(t *testing.T) {
	t.Parallel()
	const points = 16
	for name, leave := range map[string]func(d *deployment, r *fake.RangeTarget){
		"leaving": func(d *deployment, r *fake.RangeTarget) { d.listTarget(r, "span", place.Leaving) },
		"removed": func(d *deployment, r *fake.RangeTarget) { d.unlistTarget(r) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := deploy(t, 3, 2, 1)
			d.awaitServed()
			d.freezeLeader()
			owner := d.targets["span-0"]
			conn, err := d.orders.Dial(t.Context(), owner.Addr, owner.Name)
			assert.NilError(t, err)
			// The owner holds its ranges for longer than it may get requests.
			hold := func(ctx context.Context) {
				for p := range points {
					at := key.Point(p * key.Points / points)
					if owner.Holds(time.Now(), at) {
						assert.NilError(t, conn.Grant(ctx, target.Grant{Range: key.Range{First: at, Last: at}, FencingToken: 1 << 60, Duration: 10 * time.Second}))
					}
				}
			}
			hold(t.Context())
			drain := d.hosts[0].bounds.Load().Drain
			leave(d, owner)
			left := time.Now()
			served := 0
			for time.Since(left) < drain {
				for p := range points {
					if d.send(d.hosts[p%len(d.hosts)], "GET", "/keys/x", key.Point(p*key.Points/points)).status == http.StatusOK {
						served++
					}
				}
			}
			n := arrivalsDuring(owner, func() {
				for time.Since(left) < drain+time.Second {
					for p := range points {
						d.send(d.hosts[p%len(d.hosts)], "GET", "/keys/x", key.Point(p*key.Points/points))
					}
				}
			})
			assert.Assert(t, served > 0)
			assert.Equal(t, n, 0, "requests that reached the target after its drain time")
		})
	}
}

// TestSendUntil: until when requests for keys are sent to a target, by what this host has read
// of it and what it signaled.
func TestSendUntil(t *testing.T) {
	t.Parallel()
	const drain = 2 * time.Second
	now := time.Unix(1000, 0)
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	d := deploy(t, 1, 1, 0)
	h := d.hosts[0].Host
	for name, test := range map[string]struct {
		leaving, departed, signaled time.Time
		want                        time.Time
	}{
		"live":                      {},
		"leaving":                   {leaving: ago(100 * time.Millisecond), want: now.Add(400 * time.Millisecond)},
		"removed":                   {departed: ago(time.Second), want: ago(time.Second)},
		"signaled":                  {signaled: ago(time.Second), want: now.Add(700 * time.Millisecond)},
		"signaled first, then read": {leaving: now, signaled: ago(time.Second), want: now.Add(500 * time.Millisecond)},
		"signaled long before":      {leaving: now, signaled: ago(1500 * time.Millisecond), want: now.Add(200 * time.Millisecond)},
	} {
		row := place.TargetRow{Target: place.Target("t-" + name), Incarnation: 1}
		v := &view{
			targets: map[place.Target]place.TargetRow{row.Target: row}, leaving: map[place.Target]time.Time{}, departed: map[place.Target]departedTarget{},
		}
		if !test.leaving.IsZero() {
			v.leaving[row.Target] = test.leaving
		}
		if !test.departed.IsZero() {
			v.departed[row.Target] = departedTarget{row, test.departed}
		}
		if !test.signaled.IsZero() {
			h.dispatcher.backoffs.Record(test.signaled, row.Target, row.Incarnation, target.Signal{Leaving: true})
		}
		j := &job{host: h}
		assert.Equal(t, h.bounds.Load().Drain, drain)
		assert.Assert(t, j.sendUntil(now, v, row.Target).Equal(test.want), name)
	}
}
