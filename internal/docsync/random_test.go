package docsync_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/docsync"
	"citrontray.example/citrontray/internal/place"
)

// injector injects faults into a deployment: partitions, outages of the store,
// restarts.
type injector struct {
	*deployment

	random  *rand.Rand
	version uint64
	// seen holds the newest version of each document that each replica has had.
	seen map[*docsync.MemoryReplica]map[docsync.Name]docsync.Version
}

func (c *injector) step(t *testing.T) {
	t.Helper()
	row := c.hosts[c.random.IntN(len(c.hosts))]
	switch c.random.IntN(6) {
	case 0:
		c.stop(row)
		time.Sleep(time.Duration(c.random.IntN(3000)) * time.Millisecond)
		c.start(row)
	case 1:
		c.partitionZones(byte(c.random.IntN(3)), byte(c.random.IntN(3)))
	case 2:
		c.isolateHost(row)
	case 3:
		c.setPartition(nil)
	case 4:
		c.store.setDown(c.random.IntN(2) == 0)
	case 5:
		c.publish(row)
	}
	time.Sleep(time.Duration(c.random.IntN(1500)) * time.Millisecond)
	c.checkMonotonic(t)
}

func (c *injector) setPartition(drops func(from, to netip.AddrPort) bool) {
	if drops == nil {
		drops = func(_, _ netip.AddrPort) bool { return false }
	}
	c.net.setPartition(drops)
}

func (c *injector) partitionZones(a, b byte) {
	c.setPartition(func(from, to netip.AddrPort) bool {
		x, y := from.Addr().As4()[1], to.Addr().As4()[1]
		return x != y && (x == a && y == b || x == b && y == a)
	})
}

func (c *injector) isolateHost(row place.HostRow) {
	c.setPartition(func(from, to netip.AddrPort) bool {
		return (from.Addr() == row.LeadAddr.Addr()) != (to.Addr() == row.LeadAddr.Addr())
	})
}

func (c *injector) publish(row place.HostRow) {
	c.version++
	c.store.set(fmt.Sprint(c.version))
	c.leads[row.Host].Publish(c.table())
}

func (c *injector) table() docsync.Document {
	body := fmt.Appendf(nil, "%01000d %d", 7, c.version)
	return docsync.Document{Name: "table/s/zone-a", Version: docsync.Version{Major: c.version}, Body: body}
}

func (c *injector) checkMonotonic(t *testing.T) {
	t.Helper()
	for _, replicas := range []map[place.Host]*docsync.MemoryReplica{c.leads, c.entries} {
		for host, replica := range replicas {
			if c.seen[replica] == nil {
				c.seen[replica] = make(map[docsync.Name]docsync.Version)
			}
			for _, doc := range replica.List("") {
				assert.Assert(t, !doc.Version.Less(c.seen[replica][doc.Name]), "version of %s went back on %s", doc.Name, host)
				c.seen[replica][doc.Name] = doc.Version
			}
		}
	}
}

// TestRandomFaults injects random faults: no replica returns to an older
// version of a document, and after the faults all processes get the newest
// documents.
func TestRandomFaults(t *testing.T) {
	const steps = 40
	seeds := uint64(12)
	if testing.Short() {
		seeds = 2
	}
	for seed := range seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			runDeployment(t, 9, 3, func(t *testing.T, d *deployment) {
				c := &injector{deployment: d, random: rand.New(rand.NewPCG(seed, 0)), seen: make(map[*docsync.MemoryReplica]map[docsync.Name]docsync.Version)}
				d.startAll()
				for range steps {
					c.step(t)
				}
				c.setPartition(nil)
				d.store.setDown(false)
				time.Sleep(settingsBound)
				c.publish(d.hosts[c.random.IntN(len(d.hosts))])
				time.Sleep(settingsBound)
				assert.DeepEqual(t, d.outdated(docsync.Settings, fmt.Sprint(c.version)), []string(nil))
				assert.DeepEqual(t, d.outdated("table/s/zone-a", string(c.table().Body)), []string(nil))
			})
		})
	}
}

// TestStaleValueFromStore makes the store respond with an older revision than
// the one in force: no process returns to it.
func TestStaleValueFromStore(t *testing.T) {
	runDeployment(t, 3, 3, func(t *testing.T, d *deployment) {
		d.store.set("one")
		d.store.set("two")
		d.startAll()
		time.Sleep(settingsBound)
		d.store.rollBack("one")
		for _, row := range d.hosts {
			d.stop(row)
			d.start(row)
			time.Sleep(settingsBound)
		}
		for i, row := range d.hosts {
			doc, _ := d.leads[row.Host].Get(docsync.Settings)
			assert.Equal(t, string(doc.Body), "two", "host %d", i)
		}
	})
}
