package host

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/docsync"
	"citrontray.example/citrontray/internal/fleet"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/logging"
	"citrontray.example/citrontray/internal/owner"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/platform"
)

// TestChooseTable: a lead's table is used while it is fresh, and after that
// only until the store has newer owners.
func TestChooseTable(t *testing.T) {
	doc := owner.EmptyDoc("s")
	doc.Rows[0].Target = "t"
	body, err := doc.Encode()
	assert.NilError(t, err)
	table := func(based platform.Revision) *owner.Table { return owner.TableFromDoc(&doc, based) }
	const fresh, old = time.Second, 2 * maxTableAge
	tests := map[string]struct {
		heard, stored platform.Revision // revisions that they rest on, 0 for none
		age           time.Duration
		wantStored    bool
	}{
		"nothing":                      {0, 0, fresh, false},
		"stored alone":                 {0, 5, fresh, true},
		"heard alone":                  {5, 0, old, false},
		"heard is fresh":               {5, 6, fresh, false},
		"heard is old, store is newer": {5, 6, old, true},
		"heard is old, store is equal": {5, 5, old, false},
		"heard is old, store is older": {5, 4, old, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			v := newViewBuilder(docsync.New(), logging.Nop(), nil)
			if test.heard > 0 {
				v.published[key.Service("s")] = publishedTable{table(test.heard), now.Add(-test.age)}
			}
			if test.stored > 0 {
				v.stored["s"] = &storedOwners{Document: docsync.Document{Version: docsync.Version{Major: uint64(test.stored)}, Body: body}}
			}
			got, _ := v.chooseTable(now, "s")
			assert.Equal(t, test.stored > 0 && got == v.stored["s"].table && got != nil, test.wantStored)
		})
	}
}

// TestIsLeaving: a target that was seen to leave or go counts as leaving until it
// is listed again; one that was never listed may be new.
func TestIsLeaving(t *testing.T) {
	live := place.TargetRow{Target: "t", Incarnation: 1, State: place.Live}
	leaving := live
	leaving.State = place.Leaving
	tests := map[string]struct {
		lists [][]place.TargetRow // a second apart
		want  bool
	}{
		"never listed":  {[][]place.TargetRow{{}}, false},
		"live":          {[][]place.TargetRow{{live}}, false},
		"leaving":       {[][]place.TargetRow{{live}, {leaving}}, true},
		"gone":          {[][]place.TargetRow{{live}, {}, {}}, true},
		"there again":   {[][]place.TargetRow{{live}, {}, {}, {live}}, false},
		"gone long ago": {append([][]place.TargetRow{{live}, {}}, make([][]place.TargetRow, 25)...), false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			board := docsync.New()
			v := newViewBuilder(board, logging.Nop(), nil)
			for i, rows := range test.lists {
				// Lists differ, or they are not read again.
				other := place.TargetRow{Target: place.Target(fmt.Sprint("other-", i)), Incarnation: 1}
				doc := fleet.List{Targets: append([]place.TargetRow{other}, rows...)}
				body, err := doc.Encode()
				assert.NilError(t, err)
				board.PublishFromStore(docsync.Document{Name: docTargets, Version: docsync.Version{Major: uint64(i + 1)}, Body: body})
				v.refresh(now)
				now = now.Add(time.Second)
			}
			assert.Equal(t, v.view().isLeaving("t"), test.want)
		})
	}
}

// TestRemovedTargetExpiresInTime: a target whose entry is gone is in no view once its grace has
// passed, however long that is before the next look at what has expired. Found by
// hunt-1288-7 of serantau-dq, where a host used one for 2.2 s.
func TestRemovedTargetExpiresInTime(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1, 1, 2)
	d.awaitServed()
	h := d.hosts[0]
	const slack = 100 * time.Millisecond // of a machine that is busy
	for i := range 4 {
		name := place.Target(fmt.Sprintf("desk-%d", 2+i))
		r := d.addTarget(name, "desk")
		d.eventually("the target is there", 5*time.Second, func() bool { _, ok := h.views.view().targets[name]; return ok })
		time.Sleep(time.Duration(i) * maxExpiryCheckInterval / 4) // at another moment between two looks
		d.store.Remove(platform.PathTargets + platform.Path(r.Name))
		gone := func() bool { _, ok := h.views.view().targets[name]; return !ok }
		noticed := func() bool {
			doc, ok := h.replica.Get(docTargets)
			list, err := fleet.Decode(doc.Body)
			return ok && err == nil && !slices.ContainsFunc(list.Targets, func(row place.TargetRow) bool { return row.Target == name })
		}
		for !noticed() {
			time.Sleep(time.Millisecond)
		}
		read := time.Now()
		for !gone() {
			time.Sleep(time.Millisecond)
		}
		assert.Assert(t, time.Since(read) < 200*time.Millisecond+slack, "used for %v more", time.Since(read))
	}
}
