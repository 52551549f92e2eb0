package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"time"

	"citrontray.example/citrontray/internal/key"
)

const (
	// movedServers is the number of servers with keys, movedRounds how many of them drain at most,
	// one after the other: a quarter. One is always less than 0.15 of those that are up.
	movedServers = 12
	movedRounds  = 3
	// settleTime is the time before the first round.
	settleTime = 8 * time.Second
	// restartTime is how long a server that has ended takes to start again.
	restartTime = 50 * time.Millisecond
	// The moment of a restart: just after the server has taken a renewal, and shortly before the
	// hosts read the store again. With MOMENT=random it is any moment.
	justRenewed = 60 * time.Millisecond
	readSoon    = 560 * time.Millisecond
	readLatest  = 640 * time.Millisecond
	// reuseAfter is reuse_after_s, and a second.
	reuseAfter = 3 * time.Second
	// minLowest is the least lowest key of the server that restarts.
	minLowest = 30_000
	// quietTime is how long the keys of the server that restarts are not requested before.
	quietTime = 6 * time.Second
	busyTime  = 8 * time.Second
	// betweenRounds is the time in which the load settles.
	betweenRounds = 6 * time.Second
	// ownersTime bounds the wait until the lowest and the highest keys have owners of their own.
	ownersTime = 20 * time.Second
)

// runMoved lets a server end and start again under its id at another address while another one
// drains. Later a server of another service gets the old address, and the keys of the first
// one become busy, so that some of them move.
func runMoved(c *cluster, trouble bool) ([]string, error) {
	for i := range movedServers {
		if _, err := c.addServer(fmt.Sprintf("i-%d", i), rangedService, i, netip.AddrPort{}); err != nil {
			return nil, err
		}
	}
	if _, err := c.addServer("i-desk", plainService, 0, netip.AddrPort{}); err != nil {
		return nil, err
	}
	if err := c.startHosts(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	watched := newHolders(c)
	go watched.run(ctx)
	l := newLoad(c)
	go l.run(ctx, 12, 60*time.Millisecond)
	time.Sleep(settleTime)
	var busy key.Range
	for round := 1; ; round++ {
		keys, again, err := c.restartRound(l, round, trouble)
		if err != nil {
			return nil, err
		}
		busy = keys
		if again || !trouble || round == movedRounds {
			break
		}
		l.keys.Store(&key.Range{Last: key.Points - 1})
		time.Sleep(betweenRounds)
	}
	c.record.printf("only the keys %s are requested, often", busy)
	l.keys.Store(&busy)
	go l.run(ctx, 24, 10*time.Millisecond)
	time.Sleep(busyTime)
	c.record.printf("%d requests sent, %d served", l.sent.Load(), l.served.Load())
	if l.served.Load()*2 < l.sent.Load() {
		return nil, fmt.Errorf("%w: %d of %d requests served", errNotRun, l.served.Load(), l.sent.Load())
	}
	return watched.violations(), nil
}

// restartRound restarts the server of the highest keys while that of the lowest ones drains. It
// returns its keys, and whether its new life got them at once.
func (c *cluster) restartRound(l *load, round int, trouble bool) (busy key.Range, again bool, err error) {
	drained, restarted, top := c.chooseServers()
	for end := time.Now().Add(ownersTime); restarted == nil; drained, restarted, top = c.chooseServers() {
		if time.Now().After(end) {
			return key.Range{}, false, fmt.Errorf("%w: the lowest and the highest keys have no owners of their own", errNotRun)
		}
		time.Sleep(100 * time.Millisecond)
	}
	busy = key.Range{First: restarted.lowestKey(top), Last: top}
	c.record.printf("round %d: %s drains, %s starts again", round, drained, restarted)
	used := key.Range{Last: busy.First - 1}
	c.record.printf("only the keys %s are requested", used)
	l.keys.Store(&used)
	time.Sleep(quietTime)
	if os.Getenv("MOMENT") != "random" {
		restarted.awaitMoment()
	}
	if err := drained.register("draining"); err != nil {
		return busy, false, err
	}
	next, freed := restarted, netip.AddrPort{}
	if trouble {
		restarted.crash()
		time.Sleep(restartTime)
		if next, err = c.addServer(string(restarted.Name), rangedService, round, netip.AddrPort{}); err != nil {
			return busy, false, err
		}
		freed = restarted.addr
	}
	// The grants of the life before end after 2.5 s.
	const beforeEnd = 1500 * time.Millisecond
	time.Sleep(beforeEnd)
	again = next.holdsNow(time.Now(), top)
	time.Sleep(reuseAfter - beforeEnd)
	drained.leave()
	_, err = c.addServer(fmt.Sprintf("i-other-%d", round), plainService, round, freed)
	return busy, again, err
}

// holder returns the server that holds a key, nil if there is none.
func (c *cluster) holder(p key.Point) *server {
	now := time.Now()
	for _, s := range c.ranged() {
		if s.holdsNow(now, p) {
			return s
		}
	}
	return nil
}

// chooseServers returns the server of the lowest keys, and another one of high keys, up to top,
// that holds no lower ones; nil if there are none.
func (c *cluster) chooseServers() (drained, restarted *server, top key.Point) {
	drained = c.holder(0)
	if drained == nil {
		return nil, nil, 0
	}
	for p := key.Point(key.Points - 1); p > minLowest; p -= holdersStep {
		if s := c.holder(p); s != nil && s != drained && s.lowestKey(p) > minLowest && !s.holdsBelow(s.lowestKey(p)) {
			return drained, s, p
		}
	}
	return drained, nil, 0
}

// holdsBelow reports whether the server holds a key below p.
func (s *server) holdsBelow(p key.Point) bool {
	now := time.Now()
	for q := key.Point(0); q < p; q += holdersStep {
		if s.holdsNow(now, q) {
			return true
		}
	}
	return false
}

// lowestKey returns the first key from which on the server holds all up to top.
func (s *server) lowestKey(top key.Point) key.Point {
	now, p := time.Now(), top
	for p > holdersStep && s.holdsNow(now, p-holdersStep) {
		p -= holdersStep
	}
	return p
}

// awaitMoment waits for the moment of the restart.
func (s *server) awaitMoment() {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		read := s.c.sinceListed()
		if time.Since(s.lastGrant()) < justRenewed && read > readSoon && read < readLatest {
			return
		}
	}
}
