package spread_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/spread"
)

// chaos makes trouble for a deployment: cuts, outages, restarts.
type chaos struct {
	*deployment

	random  *rand.Rand
	version uint64
	// seen holds the newest version that each board has shown.
	seen map[*spread.Memory]map[spread.Name]spread.Version
}

func (c *chaos) step(t *testing.T) {
	t.Helper()
	row := c.hosts[c.random.IntN(len(c.hosts))]
	switch c.random.IntN(6) {
	case 0:
		c.stop(row)
		time.Sleep(time.Duration(c.random.IntN(3000)) * time.Millisecond)
		c.start(row)
	case 1:
		c.cutZones(byte(c.random.IntN(3)), byte(c.random.IntN(3)))
	case 2:
		c.cutHost(row)
	case 3:
		c.setCut(nil)
	case 4:
		c.store.setDown(c.random.IntN(2) == 0)
	case 5:
		c.publish(row)
	}
	time.Sleep(time.Duration(c.random.IntN(1500)) * time.Millisecond)
	c.checkNeverFalls(t)
}

func (c *chaos) setCut(cut func(from, to netip.AddrPort) bool) {
	if cut == nil {
		cut = func(_, _ netip.AddrPort) bool { return false }
	}
	c.net.setCut(cut)
}

func (c *chaos) cutZones(a, b byte) {
	c.setCut(func(from, to netip.AddrPort) bool {
		x, y := from.Addr().As4()[1], to.Addr().As4()[1]
		return x != y && (x == a && y == b || x == b && y == a)
	})
}

func (c *chaos) cutHost(row place.HostRow) {
	c.setCut(func(from, to netip.AddrPort) bool {
		return (from.Addr() == row.LeadAddr.Addr()) != (to.Addr() == row.LeadAddr.Addr())
	})
}

func (c *chaos) publish(row place.HostRow) {
	c.version++
	c.store.set(fmt.Sprint(c.version))
	c.leads[row.Host].Publish(c.table())
}

func (c *chaos) table() spread.Document {
	body := fmt.Appendf(nil, "%01000d %d", 7, c.version)
	return spread.Document{Name: "table/s/zone-a", Version: spread.Version{Major: c.version}, Body: body}
}

func (c *chaos) checkNeverFalls(t *testing.T) {
	t.Helper()
	for _, boards := range []map[place.Host]*spread.Memory{c.leads, c.entry} {
		for host, board := range boards {
			if c.seen[board] == nil {
				c.seen[board] = make(map[spread.Name]spread.Version)
			}
			for _, doc := range board.List("") {
				assert.Assert(t, !doc.Version.Less(c.seen[board][doc.Name]), "%s fell on %s", doc.Name, host)
				c.seen[board][doc.Name] = doc.Version
			}
		}
	}
}

// TestRandomTrouble runs random trouble and ends it: all processes then have
// the newest documents.
func TestRandomTrouble(t *testing.T) {
	const steps = 40
	seeds := uint64(12)
	if testing.Short() {
		seeds = 2
	}
	for seed := range seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			run(t, 9, 3, func(t *testing.T, d *deployment) {
				c := &chaos{deployment: d, random: rand.New(rand.NewPCG(seed, 0)), seen: make(map[*spread.Memory]map[spread.Name]spread.Version)}
				d.startAll()
				for range steps {
					c.step(t)
				}
				c.setCut(nil)
				d.store.setDown(false)
				time.Sleep(inForce)
				c.publish(d.hosts[c.random.IntN(len(d.hosts))])
				time.Sleep(inForce)
				assert.DeepEqual(t, d.behind(spread.Settings, fmt.Sprint(c.version)), []string(nil))
				assert.DeepEqual(t, d.behind("table/s/zone-a", string(c.table().Body)), []string(nil))
			})
		})
	}
}

// TestOldValueFromStore lets the store answer with an older revision than the
// one in force: nothing goes back.
func TestOldValueFromStore(t *testing.T) {
	run(t, 3, 3, func(t *testing.T, d *deployment) {
		d.store.set("one")
		d.store.set("two")
		d.startAll()
		time.Sleep(inForce)
		d.store.goBack("one")
		for _, row := range d.hosts {
			d.stop(row)
			d.start(row)
			time.Sleep(inForce)
		}
		for i, row := range d.hosts {
			doc, _ := d.leads[row.Host].Get(spread.Settings)
			assert.Equal(t, string(doc.Body), "two", "host %d", i)
		}
	})
}
