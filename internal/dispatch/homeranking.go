package dispatch

import "citrontray.example/citrontray/internal/place"

// SettleTime is how long after its start other hosts may still take a host for stopped
// and use the next home in its place.
const SettleTime = leaveExpiry

// HomeRanking is what a host knows of the homes of a pool.
type HomeRanking struct {
	// Ranked is the ranking of homes, with Self as its last resort.
	Ranked []place.Host
	Self   place.Host
	// Hosts is the number of all hosts.
	Hosts int
	// Stopped reports whether a host is stopping.
	Stopped func(place.Host) bool
	// Settling is set until other hosts know the present incarnation of Self, at most
	// until SettleTime after its start.
	Settling bool
}

// LimitShare returns the share of a target's rate limit that this host may use as the
// home of its pool. Some hosts may use the first home while others take it for lost or
// stopped, so the homes that follow it get small shares: those of all homes together stay
// at one and a half. A host that is no candidate serves only itself, and others may do
// the same.
func (r *HomeRanking) LimitShare() float64 {
	shares := [...]float64{1, 0.25, 0.125}
	last := len(shares) - 1
	rank := 0
	for _, host := range r.Ranked[:len(r.Ranked)-1] {
		switch {
		case host == r.Self && r.Stopped(host):
			return shares[last]
		case host == r.Self && r.Settling:
			return shares[min(rank+1, last)]
		case host == r.Self:
			return shares[min(rank, last)]
		case !r.Stopped(host):
			rank++
		}
	}
	return 1 / float64(max(r.Hosts, 1))
}
