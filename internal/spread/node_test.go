package spread_test

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/spread"
)

// inForce is the users' bound for a change of settings, in all places.
const inForce = 4 * time.Second

func run(t *testing.T, hosts, zones int, body func(t *testing.T, d *deployment)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(time.Minute) // all calls of the nodes end
		}()
		body(t, newDeployment(ctx, hosts, zones))
	})
}

func TestSettingsReachAllProcesses(t *testing.T) {
	run(t, 12, 3, func(t *testing.T, d *deployment) {
		d.store.set("one")
		d.startAll()
		time.Sleep(inForce)
		assert.DeepEqual(t, d.behind(spread.Settings, "one"), []string(nil))
		d.store.set("two")
		time.Sleep(100 * time.Millisecond)
		assert.DeepEqual(t, d.behind(spread.Settings, "two"), []string(nil))
	})
}

func TestTableOfAnyLeadReachesAllProcesses(t *testing.T) {
	run(t, 12, 3, func(t *testing.T, d *deployment) {
		d.startAll()
		time.Sleep(inForce)
		for _, row := range d.hosts {
			name := spread.TablePrefix + spread.Name(row.Host)
			for version := range uint64(3) {
				body := strings.Repeat(string(row.Host), 1000) + string(rune('a'+version))
				doc := spread.Document{Name: name, Version: spread.Version{Major: 1, Minor: version + 1}, Body: []byte(body)}
				d.leads[row.Host].Publish(doc)
				time.Sleep(200 * time.Millisecond)
				assert.DeepEqual(t, d.behind(name, body), []string(nil))
			}
		}
	})
}

// TestRestartAgainstDeadStore replaces hosts while the store is down: they
// take the newest settings from their peers.
func TestRestartAgainstDeadStore(t *testing.T) {
	run(t, 6, 3, func(t *testing.T, d *deployment) {
		d.store.set("one")
		d.startAll()
		time.Sleep(inForce)
		d.store.setDown(true)
		for _, row := range d.hosts {
			d.stop(row)
			time.Sleep(time.Second)
			d.start(row)
			time.Sleep(inForce)
			assert.DeepEqual(t, d.behind(spread.Settings, "one"), []string(nil))
		}
	})
}

// TestWatchersOfZoneLost takes both watchers of a zone away at once while the
// fleet list goes on naming them: others stand in.
func TestWatchersOfZoneLost(t *testing.T) {
	run(t, 12, 3, func(t *testing.T, d *deployment) {
		d.store.set("one")
		d.startAll()
		time.Sleep(inForce)
		lost := spread.Watchers("zone-a", d.hosts)
		for _, row := range d.hosts {
			if row.Host == lost[0].Host || row.Host == lost[1].Host {
				d.stop(row)
			}
		}
		d.store.set("two")
		time.Sleep(3 * inForce)
		assert.DeepEqual(t, d.behind(spread.Settings, "two"), []string(nil))
		d.store.set("three")
		time.Sleep(inForce)
		assert.DeepEqual(t, d.behind(spread.Settings, "three"), []string(nil))
	})
}

// TestZoneCutFromZone relays through the third zone.
func TestZoneCutFromZone(t *testing.T) {
	run(t, 9, 3, func(t *testing.T, d *deployment) {
		d.startAll()
		time.Sleep(inForce)
		d.net.setCut(func(from, to netip.AddrPort) bool {
			a, b := from.Addr().As4()[1], to.Addr().As4()[1]
			return a+b == 1 // zone-a and zone-b
		})
		time.Sleep(3 * inForce)
		doc := spread.Document{Name: "table/s/zone-a", Version: spread.Version{Major: 1}, Body: []byte("x")}
		d.leads[d.hosts[0].Host].Publish(doc)
		time.Sleep(inForce)
		assert.DeepEqual(t, d.behind(doc.Name, "x"), []string(nil))
	})
}

// TestZoneCutFromStore takes the store away from one zone alone: its hosts
// learn of changes from the other zones.
func TestZoneCutFromStore(t *testing.T) {
	run(t, 9, 3, func(t *testing.T, d *deployment) {
		d.store.set("one")
		d.startAll()
		time.Sleep(inForce)
		d.store.trouble("zone-a", 0)
		const longerThanWatch = 40 * time.Second
		time.Sleep(longerThanWatch)
		d.store.set("two")
		time.Sleep(inForce)
		assert.DeepEqual(t, d.behind(spread.Settings, "two"), []string(nil))
	})
}

// TestSlowStore lets each call take 8 s: a change arrives after one, and the
// settings in force stay where they are meanwhile.
func TestSlowStore(t *testing.T) {
	const delay = 8 * time.Second
	run(t, 6, 3, func(t *testing.T, d *deployment) {
		d.store.set("one")
		d.startAll()
		time.Sleep(inForce)
		d.store.trouble("", delay)
		time.Sleep(time.Minute)
		assert.DeepEqual(t, d.behind(spread.Settings, "one"), []string(nil))
		d.store.set("two")
		time.Sleep(delay + inForce)
		assert.DeepEqual(t, d.behind(spread.Settings, "two"), []string(nil))
	})
}

// TestEntryWithoutItsLead ends all lead processes of a zone but its watchers:
// the entries of their hosts hear from the watchers.
func TestEntryWithoutItsLead(t *testing.T) {
	run(t, 12, 3, func(t *testing.T, d *deployment) {
		d.store.set("one")
		d.startAll()
		time.Sleep(inForce)
		watchers := spread.Watchers("zone-a", d.hosts)
		lost := make(map[netip.AddrPort]bool)
		for _, row := range d.hosts {
			if row.Zone == "zone-a" && row.Host != watchers[0].Host && row.Host != watchers[1].Host {
				lost[row.LeadAddr] = true
				delete(d.leads, row.Host)
			}
		}
		d.net.setCut(func(from, to netip.AddrPort) bool { return lost[from] || lost[to] })
		time.Sleep(inForce)
		d.store.set("two")
		time.Sleep(inForce)
		assert.DeepEqual(t, d.behind(spread.Settings, "two"), []string(nil))
	})
}

// TestWatchersDark: both watchers of a zone lose power right after a change was
// accepted, at any moment of the polls of others. These notice their silence and
// have the change from the store within 1.6 s: settings are in force within 2 s.
func TestWatchersDark(t *testing.T) {
	for name, moment := range map[string]time.Duration{
		"early": 0, "sooner": time.Second, "later": 2 * time.Second, "late": 3 * time.Second, "last": 3800 * time.Millisecond,
	} {
		t.Run(name, func(t *testing.T) {
			run(t, 12, 3, func(t *testing.T, d *deployment) {
				d.store.set("one")
				d.startAll()
				time.Sleep(inForce + moment)
				watchers := spread.Watchers("zone-a", d.hosts)
				dark := func(a netip.AddrPort) bool {
					return a.Addr() == watchers[0].LeadAddr.Addr() || a.Addr() == watchers[1].LeadAddr.Addr()
				}
				d.net.setCut(func(from, to netip.AddrPort) bool { return dark(from) || dark(to) })
				for _, w := range watchers {
					d.stops[w.Host]()
					delete(d.leads, w.Host)
				}
				d.store.set("two")
				time.Sleep(1600 * time.Millisecond)
				for _, row := range d.hosts {
					if board := d.leads[row.Host]; board != nil && row.Zone == "zone-a" {
						doc, _ := board.Get(spread.Settings)
						assert.Equal(t, string(doc.Body), "two", "%s", row.Host)
					}
				}
			})
		})
	}
}

// TestChokedWatcher: a watcher whose link is full names a large document and
// never gets it across. Its followers have it from the zone's other watcher in
// time, whichever they ask first.
func TestChokedWatcher(t *testing.T) {
	for name, choked := range map[string]int{"first": 0, "second": 1} {
		t.Run(name, func(t *testing.T) {
			run(t, 12, 3, func(t *testing.T, d *deployment) {
				d.store.set("one")
				d.startAll()
				time.Sleep(inForce)
				watchers := spread.Watchers("zone-a", d.hosts)
				d.net.choke(watchers[choked].LeadAddr)
				delete(d.leads, watchers[choked].Host)
				d.entry = nil
				large := make([]byte, 16<<10)
				rng := rand.New(rand.NewPCG(1, 2)) // nothing that could be compressed
				for i := range large {
					large[i] = byte(rng.Uint32())
				}
				d.store.set(string(large))
				time.Sleep(1200 * time.Millisecond)
				assert.Equal(t, len(d.behind(spread.Settings, string(large))), 0)
			})
		})
	}
}

// TestStoreCallsStayFlat counts calls of the store over a minute as hosts are
// added in three zones: past two hosts in each zone no more come.
func TestStoreCallsStayFlat(t *testing.T) {
	const window = time.Minute
	calls := make(map[int]int)
	for _, hosts := range []int{3, 6, 12, 48} {
		run(t, hosts, 3, func(t *testing.T, d *deployment) {
			d.store.set("one")
			d.startAll()
			time.Sleep(2 * inForce)
			before := d.store.count()
			time.Sleep(window)
			calls[hosts] = d.store.count() - before
			assert.DeepEqual(t, d.behind(spread.Settings, "one"), []string(nil))
		})
	}
	t.Logf("store calls a minute by hosts: %v", calls)
	for _, hosts := range []int{12, 48} {
		assert.Assert(t, calls[hosts] <= calls[6]*12/10, "%d calls with %d hosts, %d with 6", calls[hosts], hosts, calls[6])
	}
}

// TestTablesBesideSilentWatcher: a watcher falls silent without an error while
// all polls to it have seconds to go. What the zone's other one says comes late
// at first and then at once.
func TestTablesBesideSilentWatcher(t *testing.T) {
	run(t, 30, 3, func(t *testing.T, d *deployment) {
		d.startAll()
		time.Sleep(inForce)
		const zone = place.Zone("zone-a")
		watchers := spread.Watchers(zone, d.hosts)
		var silent netip.Addr
		var lead *spread.Memory
		for _, row := range d.hosts {
			switch {
			case row.Host == watchers[0].Host:
				silent = row.LeadAddr.Addr()
			case row.Zone == zone && row.Host != watchers[1].Host:
				lead = d.leads[row.Host]
			}
		}
		published := uint64(0)
		publish := func(within time.Duration) {
			published++
			doc := spread.Document{Name: "table/s/zone-a", Version: spread.Version{Major: 1, Minor: published}, Body: []byte{byte(published)}}
			lead.Publish(doc)
			time.Sleep(within)
			assert.DeepEqual(t, d.behind(doc.Name, string(doc.Body)), []string(nil))
		}
		publish(600 * time.Millisecond) // all polls are new after it
		publish(600 * time.Millisecond)
		d.net.setCut(func(from, to netip.AddrPort) bool { return (from.Addr() == silent) != (to.Addr() == silent) })
		delete(d.leads, watchers[0].Host)
		delete(d.entry, watchers[0].Host)
		for range 3 {
			publish(510 * time.Millisecond)
		}
		for range 5 {
			publish(100 * time.Millisecond)
		}
	})
}
