package main

import (
	"context"
	"syscall"
	"time"
)

const (
	// orderTimeout and orderAim are the timeout and the objective of the only route,
	// orderWork is how long a server works on a request.
	orderTimeout = 10 * time.Second
	orderAim     = 8 * time.Second
	orderWork    = 600 * time.Millisecond
	// lossSlack is the bound loss_slack_ms, lastSent how long after a SIGTERM a request may be
	// sent that is excused if its server is still at work in the last sixth of the grace.
	lossSlack = 200 * time.Millisecond
	lastSent  = 3 * time.Second
)

// plannedStop plays a planned stop of one host while requests wait for a slot, with every
// server sound and no other disturbance.
func plannedStop(d *deployment, trouble bool) (bool, error) {
	const (
		servers = 3
		callers = 75
		warmUp  = 14 * time.Second
	)
	d.publish(route{kind: "unsafe", service: "orders", timeout: orderTimeout, aim: orderAim})
	if err := d.addServers("orders", servers, orderWork); err != nil {
		return false, err
	}
	if err := d.startHosts(); err != nil {
		return false, err
	}
	if err := d.awaitReady(); err != nil {
		return false, err
	}
	c := newClients(d, orderTimeout)
	ctx, cancel := context.WithCancel(context.Background())
	c.start(ctx, callers)
	time.Sleep(warmUp)
	stopped := d.hosts[0]
	stopAt := time.Now()
	if trouble {
		stopped.signal(syscall.SIGTERM)
	}
	time.Sleep(grace)
	if trouble {
		stopped.signal(syscall.SIGKILL)
	}
	cancel()
	c.work.Wait()
	d.record.add("answers by status, 0 for none: %v", c.statuses)
	broken := false
	for _, a := range c.attempts {
		broken = d.checkLost(a, stopped, stopAt) || broken
	}
	return broken, nil
}

// checkLost reports whether a request was lost around the stop of a host, by the rule LOST: it
// was sent whole, later than lossSlack after that its connection ended without a complete
// answer, neither its deadline nor the route's timeout was reached, and, if it was sent no later
// than lastSent after the SIGTERM, its server was not at work on it in the last sixth of the
// grace.
func (d *deployment) checkLost(a attempt, stopped *hostProcess, stopAt time.Time) bool {
	if a.status != 0 || a.sentAt.IsZero() || a.endedAt.Sub(a.sentAt) <= lossSlack {
		return false
	}
	if a.endedAt.Sub(a.sentAt) >= orderTimeout-lossSlack {
		return false
	}
	const lastSixth = grace * 5 / 6
	if a.host == stopped && a.sentAt.Before(stopAt.Add(lastSent)) && a.endedAt.After(stopAt.Add(lastSixth)) && d.runs.workedAt(a.id, a.endedAt) {
		d.record.add("excused: %s, its server was at work", a.id)
		return false
	}
	d.record.add("BROKEN: %s was sent to %s %.3f s after the SIGTERM, its connection ended without an answer at %.3f s",
		a.id, a.host.name, a.sentAt.Sub(stopAt).Seconds(), a.endedAt.Sub(stopAt).Seconds())
	return true
}
