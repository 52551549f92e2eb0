package budget

import "time"

const (
	// confirmTimeout is how long after a confirmation a host uses its share of the slack.
	confirmTimeout = 10 * time.Second
	// MaxListAge is how old the list of a registrar may be that confirms a host.
	MaxListAge = 3 * time.Second
	// transitTime is how long lists and confirmations are on their way at most.
	transitTime = 2 * time.Second
	// joinTime is how long a host is listed before it uses its share. By then each host
	// that still uses one has a list with it.
	joinTime = confirmTimeout + MaxListAge + transitTime
	// hostCountTTL is how long a larger number of hosts counts. A host that has left the
	// list uses its share until its last confirmation expires.
	hostCountTTL = joinTime + transitTime
)

// share is this host's share of the slack: 1 by the number of hosts, while this host is
// listed and confirmed. Hosts that can't know the same list then use no more than the slack
// together, since those that are not confirmed use nothing, and the others wait for that.
type share struct {
	// counts are the recent numbers of listed hosts, each lower than the one before.
	counts []hostCount
	// listedAt is since when this host is listed, zero if it is not. confirmedAt is when a
	// registrar last confirmed it.
	listedAt, confirmedAt time.Time
}

// hostCount is a number of hosts, and when a list last had as many.
type hostCount struct {
	hosts int
	at    time.Time
}

// observe records the number of hosts in a list, and whether this one is among them.
func (s *share) observe(now time.Time, hosts int, listed bool) {
	s.count(now, hosts)
	switch {
	case !listed:
		s.listedAt = time.Time{}
	case s.listedAt.IsZero():
		s.listedAt = now
	}
}

// confirm records that a registrar whose list has so many hosts confirms this one.
func (s *share) confirm(now time.Time, hosts int) {
	s.count(now, hosts)
	s.confirmedAt = now
}

func (s *share) count(now time.Time, hosts int) {
	for len(s.counts) > 0 && s.counts[len(s.counts)-1].hosts <= hosts {
		s.counts = s.counts[:len(s.counts)-1]
	}
	s.counts = append(s.counts, hostCount{hosts, now})
	for len(s.counts) > 1 && now.Sub(s.counts[0].at) > hostCountTTL {
		s.counts = s.counts[1:]
	}
}

// hosts returns the number of hosts by which the slack is divided, zero if no list is
// known.
func (s *share) hosts() int {
	if len(s.counts) == 0 {
		return 0
	}
	return s.counts[0].hosts
}

// size returns the share that this host may use now.
func (s *share) size(now time.Time) float64 {
	if s.usableTime(now, now.Add(1)) == 0 {
		return 0
	}
	return 1 / float64(s.hosts())
}

// usableTime returns the part of a span of time in which this host may use its share.
func (s *share) usableTime(from, to time.Time) time.Duration {
	if s.listedAt.IsZero() || s.confirmedAt.IsZero() || s.hosts() == 0 {
		return 0
	}
	if start := s.listedAt.Add(joinTime); start.After(from) {
		from = start
	}
	if end := s.confirmedAt.Add(confirmTimeout); end.Before(to) {
		to = end
	}
	return max(to.Sub(from), 0)
}
