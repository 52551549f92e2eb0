package docsync_test

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/docsync"
	"citrontray.example/citrontray/internal/place"
)

// settingsBound is the time within which a change of the settings has to be in
// force on all hosts.
const settingsBound = 4 * time.Second

func runDeployment(t *testing.T, hosts, zones int, body func(t *testing.T, d *deployment)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(time.Minute) // until all calls of the nodes have ended
		}()
		body(t, newDeployment(ctx, hosts, zones))
	})
}

func TestSettingsReachAllProcesses(t *testing.T) {
	runDeployment(t, 12, 3, func(t *testing.T, d *deployment) {
		d.store.set("one")
		d.startAll()
		time.Sleep(settingsBound)
		assert.DeepEqual(t, d.outdated(docsync.Settings, "one"), []string(nil))
		d.store.set("two")
		time.Sleep(100 * time.Millisecond)
		assert.DeepEqual(t, d.outdated(docsync.Settings, "two"), []string(nil))
	})
}

func TestTableOfAnyLeadReachesAllProcesses(t *testing.T) {
	runDeployment(t, 12, 3, func(t *testing.T, d *deployment) {
		d.startAll()
		time.Sleep(settingsBound)
		for _, row := range d.hosts {
			name := docsync.TablePrefix + docsync.Name(row.Host)
			for version := range uint64(3) {
				body := strings.Repeat(string(row.Host), 1000) + string(rune('a'+version))
				doc := docsync.Document{Name: name, Version: docsync.Version{Major: 1, Minor: version + 1}, Body: []byte(body)}
				d.leads[row.Host].Publish(doc)
				time.Sleep(200 * time.Millisecond)
				assert.DeepEqual(t, d.outdated(name, body), []string(nil))
			}
		}
	})
}

// TestRestartWhileStoreDown replaces hosts while the store is down: they get
// the newest settings from their peers.
func TestRestartWhileStoreDown(t *testing.T) {
	runDeployment(t, 6, 3, func(t *testing.T, d *deployment) {
		d.store.set("one")
		d.startAll()
		time.Sleep(settingsBound)
		d.store.setDown(true)
		for _, row := range d.hosts {
			d.stop(row)
			time.Sleep(time.Second)
			d.start(row)
			time.Sleep(settingsBound)
			assert.DeepEqual(t, d.outdated(docsync.Settings, "one"), []string(nil))
		}
	})
}

// TestWatchersOfZoneLost stops both watchers of a zone at once while the fleet
// list still contains them: other hosts take over.
func TestWatchersOfZoneLost(t *testing.T) {
	runDeployment(t, 12, 3, func(t *testing.T, d *deployment) {
		d.store.set("one")
		d.startAll()
		time.Sleep(settingsBound)
		lost := docsync.Watchers("zone-a", d.hosts)
		for _, row := range d.hosts {
			if row.Host == lost[0].Host || row.Host == lost[1].Host {
				d.stop(row)
			}
		}
		d.store.set("two")
		time.Sleep(3 * settingsBound)
		assert.DeepEqual(t, d.outdated(docsync.Settings, "two"), []string(nil))
		d.store.set("three")
		time.Sleep(settingsBound)
		assert.DeepEqual(t, d.outdated(docsync.Settings, "three"), []string(nil))
	})
}

// TestZonePartitionedFromZone: documents get from one zone to another through
// the third.
func TestZonePartitionedFromZone(t *testing.T) {
	runDeployment(t, 9, 3, func(t *testing.T, d *deployment) {
		d.startAll()
		time.Sleep(settingsBound)
		d.net.setPartition(func(from, to netip.AddrPort) bool {
			a, b := from.Addr().As4()[1], to.Addr().As4()[1]
			return a+b == 1 // zone-a and zone-b
		})
		time.Sleep(3 * settingsBound)
		doc := docsync.Document{Name: "table/s/zone-a", Version: docsync.Version{Major: 1}, Body: []byte("x")}
		d.leads[d.hosts[0].Host].Publish(doc)
		time.Sleep(settingsBound)
		assert.DeepEqual(t, d.outdated(doc.Name, "x"), []string(nil))
	})
}

// TestZonePartitionedFromStore partitions one zone from the store: its hosts
// get changes from the other zones.
func TestZonePartitionedFromStore(t *testing.T) {
	runDeployment(t, 9, 3, func(t *testing.T, d *deployment) {
		d.store.set("one")
		d.startAll()
		time.Sleep(settingsBound)
		d.store.injectFault("zone-a", 0)
		const longerThanWatch = 40 * time.Second
		time.Sleep(longerThanWatch)
		d.store.set("two")
		time.Sleep(settingsBound)
		assert.DeepEqual(t, d.outdated(docsync.Settings, "two"), []string(nil))
	})
}

// TestSlowStore delays each call of the store by 8 s: a change arrives after
// that delay, and until then the old settings stay in force.
func TestSlowStore(t *testing.T) {
	const delay = 8 * time.Second
	runDeployment(t, 6, 3, func(t *testing.T, d *deployment) {
		d.store.set("one")
		d.startAll()
		time.Sleep(settingsBound)
		d.store.injectFault("", delay)
		time.Sleep(time.Minute)
		assert.DeepEqual(t, d.outdated(docsync.Settings, "one"), []string(nil))
		d.store.set("two")
		time.Sleep(delay + settingsBound)
		assert.DeepEqual(t, d.outdated(docsync.Settings, "two"), []string(nil))
	})
}

// TestEntryFallsBackToWatchers isolates all lead processes of a zone but its
// watchers: the entry processes of their hosts get documents from the watchers.
func TestEntryFallsBackToWatchers(t *testing.T) {
	runDeployment(t, 12, 3, func(t *testing.T, d *deployment) {
		d.store.set("one")
		d.startAll()
		time.Sleep(settingsBound)
		watchers := docsync.Watchers("zone-a", d.hosts)
		lost := make(map[netip.AddrPort]bool)
		for _, row := range d.hosts {
			if row.Zone == "zone-a" && row.Host != watchers[0].Host && row.Host != watchers[1].Host {
				lost[row.LeadAddr] = true
				delete(d.leads, row.Host)
			}
		}
		d.net.setPartition(func(from, to netip.AddrPort) bool { return lost[from] || lost[to] })
		time.Sleep(settingsBound)
		d.store.set("two")
		time.Sleep(settingsBound)
		assert.DeepEqual(t, d.outdated(docsync.Settings, "two"), []string(nil))
	})
}

// TestWatchersLosePower: both watchers of a zone lose power right after a
// change of the settings, at different moments of the others' polls. The other
// hosts notice that the watchers are unresponsive and have the change from the
// store within 1.6 s, so that settings are in force within 2 s.
func TestWatchersLosePower(t *testing.T) {
	for name, moment := range map[string]time.Duration{
		"early": 0, "sooner": time.Second, "later": 2 * time.Second, "late": 3 * time.Second, "last": 3800 * time.Millisecond,
	} {
		t.Run(name, func(t *testing.T) {
			runDeployment(t, 12, 3, func(t *testing.T, d *deployment) {
				d.store.set("one")
				d.startAll()
				time.Sleep(settingsBound + moment)
				watchers := docsync.Watchers("zone-a", d.hosts)
				hasFailed := func(a netip.AddrPort) bool {
					return a.Addr() == watchers[0].LeadAddr.Addr() || a.Addr() == watchers[1].LeadAddr.Addr()
				}
				d.net.setPartition(func(from, to netip.AddrPort) bool { return hasFailed(from) || hasFailed(to) })
				for _, w := range watchers {
					d.stops[w.Host]()
					delete(d.leads, w.Host)
				}
				d.store.set("two")
				time.Sleep(1600 * time.Millisecond)
				for _, row := range d.hosts {
					if replica := d.leads[row.Host]; replica != nil && row.Zone == "zone-a" {
						doc, _ := replica.Get(docsync.Settings)
						assert.Equal(t, string(doc.Body), "two", "%s", row.Host)
					}
				}
			})
		})
	}
}

// TestCongestedWatcher: a watcher with a congested link announces a large
// document but can't transfer it. Its followers fetch it in time from the
// zone's other watcher, whichever of the two they ask first.
func TestCongestedWatcher(t *testing.T) {
	for name, congested := range map[string]int{"first": 0, "second": 1} {
		t.Run(name, func(t *testing.T) {
			runDeployment(t, 12, 3, func(t *testing.T, d *deployment) {
				d.store.set("one")
				d.startAll()
				time.Sleep(settingsBound)
				watchers := docsync.Watchers("zone-a", d.hosts)
				d.net.dropLargeResponses(watchers[congested].LeadAddr)
				delete(d.leads, watchers[congested].Host)
				d.entries = nil
				large := make([]byte, 16<<10)
				rng := rand.New(rand.NewPCG(1, 2)) // random bytes, which don't compress
				for i := range large {
					large[i] = byte(rng.Uint32())
				}
				d.store.set(string(large))
				time.Sleep(1200 * time.Millisecond)
				assert.Equal(t, len(d.outdated(docsync.Settings, string(large))), 0)
			})
		})
	}
}

// TestStoreCallsIndependentOfHostCount counts the calls of the store in a
// minute for different numbers of hosts in three zones: beyond two hosts in
// each zone, they don't increase.
func TestStoreCallsIndependentOfHostCount(t *testing.T) {
	const window = time.Minute
	calls := make(map[int]int)
	for _, hosts := range []int{3, 6, 12, 48} {
		runDeployment(t, hosts, 3, func(t *testing.T, d *deployment) {
			d.store.set("one")
			d.startAll()
			time.Sleep(2 * settingsBound)
			before := d.store.count()
			time.Sleep(window)
			calls[hosts] = d.store.count() - before
			assert.DeepEqual(t, d.outdated(docsync.Settings, "one"), []string(nil))
		})
	}
	t.Logf("store calls a minute by hosts: %v", calls)
	for _, hosts := range []int{12, 48} {
		assert.Assert(t, calls[hosts] <= calls[6]*12/10, "%d calls with %d hosts, %d with 6", calls[hosts], hosts, calls[6])
	}
}

// TestTablesWithUnresponsiveWatcher: a watcher becomes unresponsive without an
// error while all polls to it still wait. Documents then arrive from the zone's
// other watcher: the first ones delayed by standbyPollInterval, later ones at
// once.
func TestTablesWithUnresponsiveWatcher(t *testing.T) {
	runDeployment(t, 30, 3, func(t *testing.T, d *deployment) {
		d.startAll()
		time.Sleep(settingsBound)
		const zone = place.Zone("zone-a")
		watchers := docsync.Watchers(zone, d.hosts)
		var unresponsive netip.Addr
		var publisher *docsync.MemoryReplica
		for _, row := range d.hosts {
			switch {
			case row.Host == watchers[0].Host:
				unresponsive = row.LeadAddr.Addr()
			case row.Zone == zone && row.Host != watchers[1].Host:
				publisher = d.leads[row.Host]
			}
		}
		published := uint64(0)
		publish := func(within time.Duration) {
			published++
			doc := docsync.Document{Name: "table/s/zone-a", Version: docsync.Version{Major: 1, Minor: published}, Body: []byte{byte(published)}}
			publisher.Publish(doc)
			time.Sleep(within)
			assert.DeepEqual(t, d.outdated(doc.Name, string(doc.Body)), []string(nil))
		}
		publish(600 * time.Millisecond) // after it, all polls have just begun
		publish(600 * time.Millisecond)
		d.net.setPartition(func(from, to netip.AddrPort) bool {
			return (from.Addr() == unresponsive) != (to.Addr() == unresponsive)
		})
		delete(d.leads, watchers[0].Host)
		delete(d.entries, watchers[0].Host)
		for range 3 {
			publish(510 * time.Millisecond)
		}
		for range 5 {
			publish(100 * time.Millisecond)
		}
	})
}
