package fake_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/fake"
	"citrontray.example/citrontray/internal/grant"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/platform"
	"citrontray.example/citrontray/internal/target"
)

func asConflict(err error, conflict **platform.ConflictError) bool {
	return errors.As(err, conflict)
}

// newTargetSet returns two started targets of one service.
func newTargetSet(t *testing.T) *fake.TargetSet {
	t.Helper()
	set := fake.NewTargetSet([]fake.TargetGroup{{
		Count: 2,
		TargetConfig: fake.TargetConfig{
			Service: "balance", Slots: 2, Connections: 10, ChecksTerms: true,
		},
	}}, []place.Zone{"zone-a"})
	assert.NilError(t, set.Start())
	t.Cleanup(func() {
		for _, member := range set.Targets() {
			member.Kill()
		}
	})
	return set
}

// grantShard grants shard 1 at the epoch to a target for one hour.
func grantShard(t *testing.T, to *fake.Target, epoch grant.Epoch) {
	t.Helper()
	control := target.NewControl(5 * time.Second)
	defer control.Close()
	ctx := context.Background()
	resp, err := control.Order(ctx, to.Addr(), grant.Order{Service: "balance", Term: 1})
	assert.NilError(t, err)
	resp, err = control.Order(ctx, to.Addr(), grant.Order{
		Service: "balance", Term: 1, Incarnation: resp.Incarnation,
		Anchor: resp.Clock, Duration: time.Hour, Inventory: true,
		Items: []grant.Item{{Shard: 1, Epoch: epoch, Kind: grant.Grant}},
	})
	assert.NilError(t, err)
	assert.Equal(t, len(resp.Held), 1)
}

// sendRequest sends one request for shard 1.
func sendRequest(t *testing.T, to *fake.Target, epoch, uri, body string) (http.Header, []byte, error) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+to.Addr().String()+uri, strings.NewReader(body))
	assert.NilError(t, err)
	request.Header.Set(target.HeaderShard, "1")
	request.Header.Set(target.HeaderEpoch, epoch)
	request.Header.Set(target.HeaderRequest, "r1")
	request.Header.Set(target.HeaderIdempotency, "once")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, nil, err
	}
	defer response.Body.Close()
	got, err := io.ReadAll(response.Body)
	return response.Header, got, err
}

func TestTargetRunsOwnedShards(t *testing.T) {
	set := newTargetSet(t)
	member := set.Targets()[0]
	grantShard(t, member, 3)
	const uri = "/balance/k?operation=op1"
	header, body, err := sendRequest(t, member, "3", uri, "hello")
	assert.NilError(t, err)
	assert.Equal(t, header.Get(target.HeaderRequest), "r1")
	assert.Assert(t, fake.CheckResponse(body, uri, []byte("hello")))
	assert.Assert(t, !fake.CheckResponse(body, uri, []byte("other")))
	assert.Assert(t, !fake.CheckResponse(body[:len(body)-1], uri, []byte("hello")))

	header, _, err = sendRequest(t, member, "2", uri, "hello")
	assert.NilError(t, err)
	assert.Equal(t, header.Get(target.HeaderNotRun), string(target.RefusalOwner))
	assert.DeepEqual(t, set.Ledger.RunsOf([]string{"op1", "op2"}), []uint32{1, 0})
}

func TestLedgerDetectsDuplicateOwner(t *testing.T) {
	set := newTargetSet(t)
	grantShard(t, set.Targets()[0], 3)
	assert.Equal(t, set.Ledger.Counts().DuplicateOwners, uint64(0))
	grantShard(t, set.Targets()[1], 4)
	assert.Equal(t, set.Ledger.Counts().DuplicateOwners, uint64(1))
}

func TestLedgerNoDuplicateOwnerAfterKill(t *testing.T) {
	set := newTargetSet(t)
	grantShard(t, set.Targets()[0], 3)
	set.Targets()[0].Kill()
	grantShard(t, set.Targets()[1], 4)
	counts := set.Ledger.Counts()
	assert.Equal(t, counts.DuplicateOwners, uint64(0))
	assert.Equal(t, counts.Moves, uint64(1))
}

func TestLedgerDetectsDuplicateRun(t *testing.T) {
	set := newTargetSet(t)
	grantShard(t, set.Targets()[0], 3)
	for range 2 {
		_, _, err := sendRequest(t, set.Targets()[0], "3", "/plans/k?operation=op1", "")
		assert.NilError(t, err)
	}
	assert.Equal(t, set.Ledger.Counts().DuplicateRuns, uint64(1))
}

func TestTargetFaults(t *testing.T) {
	tests := map[string]struct {
		faults fake.TargetFaults
		check  func(t *testing.T, header http.Header, body []byte, err error)
	}{
		"cut": {fake.TargetFaults{Reset: 1}, func(t *testing.T, _ http.Header, _ []byte, err error) {
			assert.Assert(t, err != nil)
		}},
		"truncated": {fake.TargetFaults{Truncated: 1}, func(t *testing.T, _ http.Header, _ []byte, err error) {
			assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
		}},
		"shed": {fake.TargetFaults{Shed: 1}, func(t *testing.T, header http.Header, _ []byte, err error) {
			assert.NilError(t, err)
			assert.Equal(t, header.Get(target.HeaderNotRun), string(target.RefusalBusy))
		}},
		"oversized": {fake.TargetFaults{Oversized: 1}, func(t *testing.T, _ http.Header, body []byte, err error) {
			assert.NilError(t, err)
			assert.Assert(t, len(body) > 16<<20)
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			set := newTargetSet(t)
			grantShard(t, set.Targets()[0], 3)
			set.Targets()[0].SetFaults(tt.faults)
			header, body, err := sendRequest(t, set.Targets()[0], "3", "/balance/k?operation=op1", "")
			tt.check(t, header, body, err)
		})
	}
}

func TestFrozenTargetRunsAfterThaw(t *testing.T) {
	set := newTargetSet(t)
	member := set.Targets()[0]
	grantShard(t, member, 3)
	member.Freeze()
	ended := make(chan error, 1)
	go func() {
		_, _, err := sendRequest(t, member, "3", "/balance/k?operation=op1", "")
		ended <- err
	}()
	assert.DeepEqual(t, set.Ledger.RunsOf([]string{"op1"}), []uint32{0})
	member.Thaw()
	assert.NilError(t, <-ended)
	assert.DeepEqual(t, set.Ledger.RunsOf([]string{"op1"}), []uint32{1})
}
