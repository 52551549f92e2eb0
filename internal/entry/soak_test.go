package entry_test

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/certs"
	"citrontray.example/citrontray/internal/docsync"
	"citrontray.example/citrontray/internal/entry"
	"citrontray.example/citrontray/internal/fake"
	"citrontray.example/citrontray/internal/grant"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/logging"
	"citrontray.example/citrontray/internal/metric"
	"citrontray.example/citrontray/internal/outcome"
	"citrontray.example/citrontray/internal/peer"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/platform"
	"citrontray.example/citrontray/internal/queue"
	"citrontray.example/citrontray/internal/table"
	"citrontray.example/citrontray/internal/target"
)

var (
	soakRequests = flag.Int("soak.requests", 20_000, "number of requests")
	soakSeed     = flag.Uint64("soak.seed", 1, "seed of the random operations and faults")
	soakCallers  = flag.Int("soak.callers", 48, "number of concurrent callers")
)

const (
	soakEntries = 3
	soakTargets = 4
	soakShards  = 16
	soakGrant   = time.Minute
)

// soak sends many requests while targets are restarted, frozen and given faults and
// shards move, and compares the results with the runs of each operation that the targets
// counted.
type soak struct {
	*testing.T
	rand         *rand.Rand // used only by loopFaults
	replica      *fakeReplica
	targets      *fake.TargetSet
	control      *target.HTTPControl
	rows         map[key.Service][]table.Row
	incarnations map[place.Target]place.Incarnation
	servers      []*httptest.Server
	client       *http.Client

	sent           atomic.Int64
	results        []callResult
	wrongResponses atomic.Int64
	deduplicated   atomic.Int64
}

// callResult is the result of one operation for its caller.
type callResult uint8

const (
	resultGone callResult = iota // the caller disconnected
	resultDone
	resultNotRun
	resultUnknown
	resultNone // a response without an outcome
)

// TestSoak tests under random faults that no registration runs more than once, no lookup
// more than twice, and that no outcome contradicts the number of runs.
func TestSoak(t *testing.T) {
	s := newSoak(t)
	ctx, cancel := context.WithCancel(context.Background())
	var faults, callers sync.WaitGroup
	faults.Go(func() { s.loopFaults(ctx) })
	for i := range *soakCallers {
		callers.Go(func() { s.loopCall(rand.New(rand.NewPCG(*soakSeed, uint64(i)))) })
	}
	callers.Wait()
	cancel()
	faults.Wait()
	s.check()
}

func newSoak(t *testing.T) *soak {
	s := &soak{
		T: t, rand: rand.New(rand.NewPCG(*soakSeed, 1<<32)), replica: newFakeReplica(),
		control: target.NewControl(time.Second),
		rows:    map[key.Service][]table.Row{}, incarnations: map[place.Target]place.Incarnation{},
		results: make([]callResult, *soakRequests),
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: *soakCallers, DisableCompression: true,
		}},
	}
	names := []key.Service{balance, plan}
	groups := make([]fake.TargetGroup, 0, len(names))
	for _, name := range names {
		groups = append(groups, fake.TargetGroup{Count: soakTargets, TargetConfig: fake.TargetConfig{
			Service: name, Slots: 3, Connections: 110, MeanWork: 500 * time.Microsecond, ChecksTerms: true,
		}})
	}
	s.targets = fake.NewTargetSet(groups, []place.Zone{"zone-a"})
	assert.NilError(t, s.targets.Start())
	t.Cleanup(func() { s.targets.Stop(context.Background()) })
	cfg := testSettings()
	for i := range cfg.Services {
		cfg.Services[i].Shards = soakShards
	}
	s.replica.putSettings(cfg)
	for _, name := range []key.Service{balance, plan} {
		for shard := range key.Shard(soakShards) {
			s.rows[name] = append(s.rows[name], table.Row{Shard: shard, Epoch: 1, Owner: table.TargetIndex(shard % soakTargets)})
		}
		s.grantAll(name)
		s.publish(name)
	}
	s.startEntries()
	return s
}

// startEntries starts the entry hosts. The transports between them lose messages and
// responses.
func (s *soak) startEntries() {
	dir := s.TempDir()
	assert.NilError(s, certs.CreateAuthority(time.Now(), dir))
	peers := make([]*peer.Peer, soakEntries)
	fleet := platform.Fleet{}
	for i := range peers {
		peers[i] = newPeer(s, dir, hostName(i))
		fleet.Hosts = append(fleet.Hosts, place.HostRow{Host: hostName(i), Zone: "zone-a", EntryAddr: peers[i].Addr()})
	}
	list, err := docsync.EncodeFleet(fleet)
	assert.NilError(s, err)
	s.replica.Publish(docsync.Document{Name: docsync.Fleet, Version: docsync.Version{Major: 1}, Body: list})
	for i := range peers {
		s.startEntry(hostName(i), &lossyTransport{Transport: peers[i], rand: rand.New(rand.NewPCG(*soakSeed, uint64(1<<33+i)))})
	}
}

// lossyTransport loses one in lossOdds messages, and one in lossOdds responses after the
// other host has handled the message.
type lossyTransport struct {
	peer.Transport
	mu   sync.Mutex
	rand *rand.Rand
}

const lossOdds = 200

func (l *lossyTransport) Call(ctx context.Context, to netip.AddrPort, kind peer.Kind, body []byte) ([]byte, error) {
	l.mu.Lock()
	draw := l.rand.IntN(lossOdds)
	l.mu.Unlock()
	if draw == 0 {
		return nil, peer.ErrUnreachable
	}
	response, err := l.Transport.Call(ctx, to, kind, body)
	if draw == 1 {
		return nil, peer.ErrNoResponse
	}
	return response, err
}

func (s *soak) startEntry(host place.Host, transport peer.Transport) {
	e := entry.New(entry.Config{
		Replica: s.replica, DecodeSettings: s.replica.decodeSettings, DecodeTable: s.replica.decodeTable,
		Log: logging.Nop(), Registry: metric.New("test"), Host: host, Transport: transport, Sharing: entry.ShareAdaptive, Hosts: soakEntries, Queue: queue.DefaultConfig(),
		ParkTimeout: time.Second, MaxParked: 1000, BodyMemory: 16 << 20, TickInterval: 5 * time.Millisecond,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = e.Run(ctx)
	}()
	server := httptest.NewServer(e)
	s.servers = append(s.servers, server)
	s.Cleanup(func() {
		server.Close()
		cancel()
		<-done
		e.Close()
	})
}

// targetOf returns a target by its index in a service's tables.
func (s *soak) targetOf(name key.Service, i table.TargetIndex) *fake.Target {
	t, _ := s.targets.Target(place.Target(fmt.Sprintf("%s-%d", name, i+1)))
	return t
}

// order sends an order whose anchor is the clock in the target's newest response.
func (s *soak) order(name key.Service, addr netip.AddrPort, o grant.Order) (grant.Response, error) {
	o.Service, o.Zone, o.Term, o.Duration = name, "zone-a", 1, soakGrant
	first, err := s.control.Order(context.Background(), addr, grant.Order{Service: name, Zone: "zone-a", Term: 1})
	if err != nil {
		return first, err
	}
	o.Incarnation, o.Anchor = first.Incarnation, first.Clock
	return s.control.Order(context.Background(), addr, o)
}

// grantAll grants each target its shards of the rows. A target in a new incarnation gets
// them with higher epochs.
func (s *soak) grantAll(name key.Service) {
	for i := range table.TargetIndex(soakTargets) {
		t := s.targetOf(name, i)
		probe, err := s.control.Order(context.Background(), t.Addr(), grant.Order{Service: name, Zone: "zone-a", Term: 1})
		if err != nil {
			continue
		}
		restarted := s.incarnations[t.Name()] != probe.Incarnation
		var items []grant.Item
		for r := range s.rows[name] {
			row := &s.rows[name][r]
			if row.Owner != i {
				continue
			}
			if restarted {
				row.Epoch++
			}
			items = append(items, grant.Item{Shard: row.Shard, Epoch: row.Epoch, Kind: grant.Grant})
		}
		if _, err := s.order(name, t.Addr(), grant.Order{Items: items}); err == nil {
			s.incarnations[t.Name()] = probe.Incarnation
		}
	}
}

// publish publishes the routing table of a service.
func (s *soak) publish(name key.Service) {
	t := &table.Table{Service: name, Zone: "zone-a", Shards: soakShards}
	for i := range table.TargetIndex(soakTargets) {
		ft := s.targetOf(name, i)
		t.Targets = append(t.Targets, table.Target{Name: ft.Name(), Addr: ft.Addr()})
	}
	t.Rows = append(t.Rows, s.rows[name]...)
	s.replica.putTable(t)
}

// loopFaults restarts and freezes targets, sets their faults and moves shards, until ctx
// ends.
func (s *soak) loopFaults(ctx context.Context) {
	for ctx.Err() == nil {
		name := []key.Service{balance, plan}[s.rand.IntN(2)]
		switch s.rand.IntN(10) {
		case 0:
			s.restart(name)
		case 1:
			s.freeze(name)
		case 2, 3, 4:
			s.setFaults(name)
		default:
			s.moveShard(name)
		}
		s.grantAll(name)
		s.publish(name)
		time.Sleep(20 * time.Millisecond)
	}
	for _, t := range s.targets.Targets() {
		t.Thaw()
	}
}

func (s *soak) randomTarget(name key.Service) *fake.Target {
	return s.targetOf(name, table.TargetIndex(s.rand.IntN(soakTargets)))
}

func (s *soak) restart(name key.Service) {
	t := s.randomTarget(name)
	t.Kill()
	time.Sleep(time.Duration(s.rand.IntN(50)) * time.Millisecond)
	assert.NilError(s, t.Start())
}

func (s *soak) freeze(name key.Service) {
	t := s.randomTarget(name)
	t.Freeze()
	time.Sleep(time.Duration(s.rand.IntN(300)) * time.Millisecond)
	t.Thaw()
}

func (s *soak) setFaults(name key.Service) {
	s.randomTarget(name).SetFaults(fake.TargetFaults{
		Reset: s.randomFaultRate(), Truncated: s.randomFaultRate(), SwapResponse: s.randomFaultRate(), Oversized: s.randomFaultRate() / 10,
		Shed: s.randomFaultRate(), DelayResponse: s.randomFaultRate() / 100,
	})
}

// randomFaultRate returns zero half of the time, and otherwise up to 5%.
func (s *soak) randomFaultRate() float64 { return max(s.rand.Float64()*0.1-0.05, 0) }

// moveShard has the owner release a shard and assigns the shard to a random target.
func (s *soak) moveShard(name key.Service) {
	row := &s.rows[name][s.rand.IntN(soakShards)]
	old := s.targetOf(name, row.Owner)
	for range 100 {
		a, err := s.order(name, old.Addr(), grant.Order{Release: []grant.ShardEpoch{{Shard: row.Shard, Epoch: row.Epoch}}})
		if err == nil && !holds(a, row.Shard) {
			row.Owner = table.TargetIndex(s.rand.IntN(soakTargets))
			row.Epoch++
			return
		}
		time.Sleep(time.Millisecond)
	}
}

func holds(a grant.Response, shard key.Shard) bool {
	for _, h := range a.Held {
		if h.Shard == shard {
			return true
		}
	}
	return false
}

// loopCall runs operations until all have been sent.
func (s *soak) loopCall(r *rand.Rand) {
	for {
		n := int(s.sent.Add(1)) - 1
		if n >= len(s.results) {
			return
		}
		s.results[n] = s.runOperation(r, n)
	}
}

// runOperation sends one operation. Some are sent twice concurrently with an idempotency
// key, some have short deadlines, and some callers disconnect.
func (s *soak) runOperation(r *rand.Rand, n int) callResult {
	server := s.servers[r.IntN(len(s.servers))]
	ctx := context.Background()
	if r.IntN(50) == 0 {
		short, cancel := context.WithTimeout(ctx, time.Duration(r.IntN(5000))*time.Microsecond)
		defer cancel()
		ctx = short
	}
	header := http.Header{}
	if r.IntN(10) == 0 {
		header.Set(target.HeaderDeadline, fmt.Sprint(1+r.IntN(20)))
	}
	if n%2 == 1 && r.IntN(10) == 0 {
		header.Set(target.HeaderIdempotency, operationID(n))
		second := make(chan callResult, 1)
		other := s.servers[r.IntN(len(s.servers))]
		go func() { second <- s.call(ctx, other.URL, n, header) }()
		first := s.call(ctx, server.URL, n, header)
		return s.mergeResults(first, <-second)
	}
	return s.call(ctx, server.URL, n, header)
}

// mergeResults combines the results of two requests for the same operation. One of them
// may arrive after the other ended as not run, and run then.
func (s *soak) mergeResults(a, b callResult) callResult {
	if a == resultDone && b == resultDone {
		s.deduplicated.Add(1)
	}
	if a == resultNotRun {
		return b
	}
	if b == resultNotRun {
		return a
	}
	if a == resultDone || b == resultDone {
		return resultDone
	}
	return resultUnknown
}

func operationID(n int) string { return fmt.Sprintf("op-%d", n) }

// call sends one request. Even operations are lookups, odd ones registrations.
func (s *soak) call(ctx context.Context, base string, n int, header http.Header) callResult {
	method, uri, payload := http.MethodGet, fmt.Sprintf("/balance/k%d?operation=%s", n%997, operationID(n)), ""
	if n%2 == 1 {
		method, uri, payload = http.MethodPost, fmt.Sprintf("/plan/k%d?operation=%s", n%997, operationID(n)), operationID(n)
	}
	req, err := http.NewRequestWithContext(ctx, method, base+uri, strings.NewReader(payload))
	if err != nil {
		s.Error(err)
		return resultNone
	}
	req.Header = header.Clone()
	req.Header.Set("Authorization", "Bearer "+clerkCredential)
	resp, err := s.client.Do(req)
	if err != nil {
		return resultGone
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return resultGone
	}
	switch outcome.Outcome(resp.Header.Get(outcome.Header)) {
	case outcome.Done:
		if !fake.CheckResponse(body, uri, []byte(payload)) {
			s.wrongResponses.Add(1)
			s.Logf("wrong response to %s: status %d, %d bytes", uri, resp.StatusCode, len(body))
		}
		return resultDone
	case outcome.NotRun:
		return resultNotRun
	case outcome.Unknown:
		return resultUnknown
	}
	return resultNone
}

// check compares the results with the runs at the targets.
func (s *soak) check() {
	operations := make([]string, len(s.results))
	for n := range operations {
		operations[n] = operationID(n)
	}
	counts := map[string]int{}
	for n, runs := range s.targets.Ledger.RunsOf(operations) {
		result := s.results[n]
		counts[fmt.Sprintf("%s %s", []string{"look-ups", "registrations"}[n%2], [...]string{"gone", "done", "not-run", "unknown", "none"}[result])]++
		switch {
		case n%2 == 1 && runs > 1:
			counts["BROKEN duplicate run"]++
		case result == resultNotRun && runs > 0:
			counts["BROKEN false not-run"]++
		case result == resultDone && runs == 0:
			counts["BROKEN done without a run"]++
		case result == resultNone:
			counts["BROKEN response without an outcome"]++
		case runs > 2:
			counts["BROKEN look-up ran more than twice"]++
		}
	}
	l := s.targets.Ledger.Counts()
	s.Logf("requests %d, runs %d, moves %d, refused busy %d, misrouted %d, deduplicated %d", len(s.results), l.Runs, l.Moves, l.Sheds, l.Misrouted, s.deduplicated.Load())
	for name, n := range counts {
		s.Logf("%s: %d", name, n)
		assert.Check(s, !strings.HasPrefix(name, "BROKEN"), name)
	}
	assert.Equal(s, s.wrongResponses.Load(), int64(0), "wrong responses")
	assert.Equal(s, l.DuplicateRuns, uint64(0))
	assert.Equal(s, l.DuplicateOwners, uint64(0))
	assert.Equal(s, l.RefusedConns, uint64(0), "connections refused over the limit")
}
