package host

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/member"
	"citrontray.example/citrontray/internal/owner"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/platform"
	"citrontray.example/citrontray/internal/site"
)

// TestIncumbentAlive checks that candidates wait for a leader that lost its entry only
// while they receive its notices. After a power failure the list still has entries of
// hosts that are gone.
func TestIncumbentAlive(t *testing.T) {
	tests := map[string]struct {
		incarnation place.Incarnation // of the leader's host in the list
		lastNotice  time.Duration     // ago
		place       int
		want        bool
	}{
		"recent notice":                            {1, 100 * time.Millisecond, 0, true},
		"no recent notice":                         {1, 2 * time.Second, 0, false},
		"no notice ever":                           {1, time.Hour, 2, false},
		"leader's host restarted":                  {2, 100 * time.Millisecond, 0, false},
		"not a candidate":                          {1, time.Hour, candidateCount, true},
		"not a candidate, leader's host restarted": {2, time.Hour, candidateCount, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			c := &controller{service: "s", leaderNoticeAt: now.Add(-test.lastNotice)}
			v := &view{
				members: member.List{Hosts: []member.Host{{Name: "lead", Incarnation: test.incarnation}}},
				tables:  map[key.Service]*owner.Table{"s": {Leader: "lead", LeaderIncarnation: 1}},
			}
			assert.Equal(t, c.incumbentAlive(now, v, test.place), test.want)
		})
	}
}

// TestPredecessor checks that the end of the predecessor does not count as the end of
// the leaders before it, if it recorded that they may still renew grants, nor the end of a
// process as that of the orders that it sent.
func TestPredecessor(t *testing.T) {
	members := member.List{Hosts: []member.Host{{Name: "again", Incarnation: 2, Revision: 9}, {Name: "on", Incarnation: 1, Revision: 1}}}
	tests := map[string]struct {
		doc  owner.Doc
		want owner.Prior
	}{
		"before a restore":                                 {owner.Doc{Term: owner.Term(0).Next(1)}, owner.PriorLost},
		"just after a restore":                             {owner.Doc{Term: owner.Term(0).Next(2), AfterRestore: true}, owner.PriorLost},
		"after the last restore":                           {owner.Doc{Term: owner.Term(0).Next(2)}, owner.PriorEnded},
		"handed over":                                      {owner.Doc{}, owner.PriorEnded},
		"handed over, earlier one may renew":               {owner.Doc{PriorMayRenew: true}, owner.PriorUnknown},
		"handed over, orders of an earlier one in transit": {owner.Doc{PriorInTransit: true, PriorMayRenew: true}, owner.PriorInTransit},
		"this process":                                     {owner.Doc{Leader: "self", LeaderIncarnation: 5}, owner.PriorEnded},
		"this process, earlier one may renew":              {owner.Doc{Leader: "self", LeaderIncarnation: 5, PriorMayRenew: true}, owner.PriorUnknown},
		"earlier process here":                             {owner.Doc{Leader: "self", LeaderIncarnation: 1}, owner.PriorInTransit},
		"host restarted":                                   {owner.Doc{Leader: "again", LeaderIncarnation: 1}, owner.PriorInTransit},
		"host restarted, earlier one may renew":            {owner.Doc{Leader: "again", LeaderIncarnation: 1, PriorMayRenew: true}, owner.PriorInTransit},
		"may still run":                                    {owner.Doc{Leader: "on", LeaderIncarnation: 1}, owner.PriorUnknown},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := &controller{host: &Host{site: site.Site{Host: "self"}, incarnation: 5, store: &instrumentedStore{}}}
			attempt := &campaign{controller: c, members: members}
			era := platform.Era(0)
			if test.doc.Term > 0 {
				era = 2
			}
			before := attempt.predecessorOf(&test.doc, 5, era)
			assert.Equal(t, before.prior(), test.want)
		})
	}
}

// TestLeaderAfterPowerCut: all hosts lose power, and the leader's session expires
// before they are back. A host must lead again as soon as the configuration is known,
// without another waiting period.
func TestLeaderAfterPowerCut(t *testing.T) {
	t.Parallel()
	d := deploy(t, 3, 3, 1)
	d.awaitServed()
	for _, h := range d.hosts {
		h.shutdown()
	}
	d.hosts = nil
	time.Sleep(leaseTTL)
	for i := range 3 {
		d.addHost(i)
	}
	configured := func(h *testHost) bool { return h.views.view().routes != nil }
	d.eventually("a host has the configuration", 15*time.Second, func() bool { return slices.ContainsFunc(d.hosts, configured) })
	leads := func(h *testHost) bool { return h.leadsAnyService() }
	d.eventually("a host leads", 900*time.Millisecond, func() bool { return slices.ContainsFunc(d.hosts, leads) })
}

// TestCampaignWithoutNotice: a host that has received no notice of the listed
// leader since its start campaigns as long after the start as otherwise after the last
// notice.
func TestCampaignWithoutNotice(t *testing.T) {
	tests := map[string]struct {
		started, lastNotice time.Duration // ago
		want                bool
	}{
		"just started":            {100 * time.Millisecond, time.Hour, false},
		"started, no notice ever": {leaderNoticeTimeout + candidateDelay, time.Hour, true},
		"started, recent notice":  {time.Hour, 100 * time.Millisecond, false},
		"silent":                  {time.Hour, leaderNoticeTimeout + candidateDelay, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			c := &controller{
				host: &Host{site: site.Site{Host: "self"}, paths: newPathMonitor(nil)}, service: "s", core: owner.New(owner.Config{}),
				startedAt: now.Add(-test.started), leaderNoticeAt: now.Add(-test.lastNotice),
			}
			v := &view{rankCache: newRankCache(), members: member.List{
				Hosts:   []member.Host{{Name: "lead", Incarnation: 1}, {Name: "self", Incarnation: 1}},
				Leaders: []member.Leader{{Service: "s", Host: "lead", Incarnation: 1, Revision: 9}},
			}}
			v.rankCache.leaders["s"] = []place.Host{"self", "lead"}
			assert.Equal(t, c.campaignDue(now, v), test.want)
		})
	}
}
