package host

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/fake"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/traffic"
)

// watchSingleOwner fails the test if two targets hold a key at the same time. It checks
// until the test ends.
func (d *deployment) watchSingleOwner(points ...key.Point) {
	stop, done := make(chan struct{}), make(chan struct{})
	d.t.Cleanup(func() { close(stop); <-done })
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			case <-time.After(2 * time.Millisecond):
			}
			now := time.Now()
			for _, p := range points {
				holders := 0
				for _, r := range d.targets {
					if r.Holds(now, p) {
						holders++
					}
				}
				if holders > 1 {
					d.t.Errorf("%d targets hold %d", holders, p)
					return
				}
			}
		}
	}()
}

// TestStoreRestored: the store is restored from an older snapshot. Keys stay available
// with a single owner each, and the configuration in force stays, also on a host that
// starts after the restore. Hosts and leader are listed again within seconds, and a
// target that left is not used again.
func TestStoreRestored(t *testing.T) {
	t.Parallel()
	points := []key.Point{0, 9000, 20000, 30000, 41000, 52000, key.Points - 1}
	for name, test := range map[string]struct {
		age time.Duration
		// outage is how long the store is unavailable before the restore. With twice, a
		// second restore follows soon.
		outage time.Duration
		twice  bool
	}{
		"one second old":         {age: time.Second},
		"some seconds old":       {age: 4 * time.Second, outage: 500 * time.Millisecond},
		"before the first write": {age: time.Hour},
		"twice in a row":         {age: 3 * time.Second, outage: 200 * time.Millisecond, twice: true},
		"after a long outage":    {age: 2 * time.Second, outage: 4 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := deploy(t, 3, 3, 2)
			d.store.StartSnapshots()
			d.awaitServed()
			d.watchSingleOwner(points...)
			leavingTarget := d.targets["desk-1"]
			d.listTarget(leavingTarget, "desk", place.Leaving)
			time.Sleep(1500 * time.Millisecond)
			next := testConfig(9)
			next.Routes[1].Prefix = "/new/"
			d.putConfig(next)
			d.eventually("the new configuration is in force", 3*time.Second, func() bool {
				for _, h := range d.hosts {
					if d.send(h, "POST", "/new/x", 0).status != http.StatusOK {
						return false
					}
				}
				return true
			})
			time.Sleep(500 * time.Millisecond)
			if test.outage > 0 {
				d.store.SetFaults(fake.SessionFaults{Down: true})
				time.Sleep(test.outage)
			}
			d.store.RollBack(test.age)
			d.store.SetFaults(fake.SessionFaults{})
			if test.twice {
				time.Sleep(300 * time.Millisecond)
				d.store.RollBack(test.age)
			}
			served, refused := 0, 0
			late := d.addHost(7)
			for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				for _, h := range d.hosts[:3] {
					for _, p := range points {
						if d.send(h, "GET", "/keys/x", p).status == http.StatusOK {
							served++
						} else {
							refused++
						}
					}
					d.expectStatus(h, "POST", "/new/x", 0, http.StatusOK)
				}
				assert.Equal(t, traffic.Version(9), d.hosts[0].views.view().routes.Config().Version)
			}
			t.Logf("%d served, %d refused", served, refused)
			assert.Assert(t, refused*20 < served, "%d refused, %d served", refused, served)
			assert.Equal(t, d.send(late, "POST", "/new/x", 0).status, http.StatusOK)
			d.eventually("all hosts and the leader are listed", 5*time.Second, func() bool {
				v := d.hosts[0].views.view()
				leader, ok := v.members.Leader("span")
				return len(v.members.Hosts) == 4 && ok && !leader.Restored()
			})
			before := leavingTarget.Arrived()
			d.sendFor(200*time.Millisecond, "POST", "/new/x", 0)
			assert.Equal(t, leavingTarget.Arrived(), before, "requests reached a target that left")
			logged := 0
			for _, h := range d.hosts[:3] {
				logged += strings.Count(h.logs.String(), `"msg":"Store was restored from an older snapshot."`)
			}
			assert.Assert(t, logged > 0)
		})
	}
}
