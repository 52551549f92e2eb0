package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// maxSharedHold is how long two servers may hold the same keys.
const maxSharedHold = 500 * time.Millisecond

// foreignEntry plays entries of another writer, whose service the configuration does not
// name, with the addresses of servers that are up.
func foreignEntry(d *deployment, trouble bool) (bool, error) {
	c := newClients(d)
	if err := startKeyed(d, c); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	for range 6 {
		c.work.Add(1)
		go c.runLoad(ctx, http.MethodGet, "/keys/", true, 20*time.Millisecond)
	}
	time.Sleep(5 * time.Second)
	if trouble {
		for i, at := range d.servers {
			d.record.add("another writer writes an entry with the address of %s", at.id)
			d.writeEntry(fmt.Sprintf("meter-%d", i), map[string]any{
				"address": at.addr, "born": time.Now().UnixMilli(),
				"info":   map[string]any{"service": "metering", "version": "v1", "zone": at.zone, "slots": 1},
				"status": map[string]any{"state": "ready", "sequence": 1, "warmup_left_ms": 0},
			})
		}
	}
	time.Sleep(12 * time.Second)
	cancel()
	c.work.Wait()
	d.record.add("answers: %s", c.summary())
	return sharedHolds(d), nil
}

// startKeyed starts a deployment with a service that is divided by key.
func startKeyed(d *deployment, c *clients) error {
	d.publish(3, []route{{"look-up", "/keys/", "safe", "span", 1000, 2}}, [][]any{{"span", "/healthz", 130, true, 2}})
	if err := d.addServers("span", 6, true); err != nil {
		return err
	}
	if err := d.startHosts(); err != nil {
		return err
	}
	return c.awaitServing("/keys/")
}

// sharedHolds reports whether two servers that are up held the same keys for longer than
// maxSharedHold.
func sharedHolds(d *deployment) bool {
	now, broken := time.Now(), false
	for i, a := range d.servers {
		for _, b := range d.servers[i+1:] {
			for _, x := range a.holdings(now) {
				for _, y := range b.holdings(now) {
					broken = d.reportShared(a, b, x, y) || broken
				}
			}
		}
	}
	return broken
}

// reportShared records two holdings of the same keys that overlap for too long.
func (d *deployment) reportShared(a, b *server, x, y holding) bool {
	from, to := max(x.from, y.from), min(x.to, y.to)
	start, end := x.start, x.end
	if y.start.After(start) {
		start = y.start
	}
	if y.end.Before(end) {
		end = y.end
	}
	if from > to || end.Sub(start) <= maxSharedHold {
		return false
	}
	d.record.add("BROKEN: %s and %s held %d-%d from %.3f to %.3f", a.id, b.id, from, to, d.record.at(start), d.record.at(end))
	return true
}
