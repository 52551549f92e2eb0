package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/compat/compattest"
	"citrontray.example/citrontray/internal/place"
)

const (
	testHold        = time.Minute
	testFingerprint = Fingerprint(7)
)

// TestVerdict plays what happens to one request on one host.
func TestVerdict(t *testing.T) {
	type step func(now *time.Time, table *Table)
	end := func(now *time.Time, table *Table) {
		table.Ended(*now, testFingerprint, table.Suspicion(testFingerprint), "s", End{})
	}
	served := func(now *time.Time, table *Table) { table.Served(*now, testFingerprint) }
	lift := func(now *time.Time, table *Table) { table.Lift(*now, testFingerprint) }
	forbid := func(now *time.Time, table *Table) { table.Forbid(*now, testFingerprint) }
	// Attempts that began at the same time: none knew of the ends of the others.
	together := func(now *time.Time, table *Table) {
		known := table.Suspicion(testFingerprint)
		for i := range 5 {
			table.Ended(*now, testFingerprint, known, "s", End{Target: place.Target(fmt.Sprint(i))})
		}
	}
	hold := func(now *time.Time, _ *Table) { *now = now.Add(testHold) }
	for name, test := range map[string]struct {
		steps []step
		want  Verdict
	}{
		"nothing":                       {nil, Free{}},
		"one end":                       {[]step{end}, Watched{}},
		"several at once":               {[]step{together}, Watched{}},
		"two":                           {[]step{end, end}, Watched{Alone: true}},
		"three":                         {[]step{end, end, end}, Refused{testHold}},
		"served in between":             {[]step{end, end, served, end}, Watched{}},
		"three after it was served":     {[]step{served, end, end, end}, Watched{Alone: true}},
		"five after it was served":      {[]step{served, end, end, end, end, end}, Refused{testHold}},
		"served long ago":               {[]step{served, hold, hold, end, end, end}, Refused{testHold}},
		"on trial after the hold":       {[]step{end, end, end, hold}, Watched{Alone: true}},
		"a trial that failed":           {[]step{end, end, end, hold, end}, Refused{2 * testHold}},
		"a trial that was served":       {[]step{end, end, end, hold, served}, Free{}},
		"all trials failed":             {[]step{end, end, end, end, end, end}, Refused{}},
		"lifted":                        {[]step{end, end, end, lift}, Free{}},
		"forbidden":                     {[]step{forbid}, Refused{}},
		"forbidden, served by then":     {[]step{forbid, served}, Refused{}},
		"forbidden, then lifted":        {[]step{forbid, lift}, Free{}},
		"forbidden after it was lifted": {[]step{end, lift, forbid, end}, Refused{}},
	} {
		t.Run(name, func(t *testing.T) {
			table, now := New(testHold), time.Unix(1000, 0)
			for _, play := range test.steps {
				play(&now, table)
			}
			assert.DeepEqual(t, table.Verdict(now, testFingerprint), test.want)
		})
	}
}

// TestMergeInAnyOrder checks that tables that get the same records in different orders agree.
func TestMergeInAnyOrder(t *testing.T) {
	for seed := range uint64(500) {
		rng := rand.New(rand.NewPCG(seed, 0))
		now := time.Unix(1000, 0)
		hosts := []*Table{New(testHold), New(testHold), New(testHold)}
		sent := make([]Record, 0, 64)
		for range 40 {
			h := hosts[rng.IntN(len(hosts))]
			switch f := Fingerprint(1 + rng.IntN(3)); rng.IntN(6) {
			case 0:
				h.Served(now, f)
			case 1:
				h.Lift(now, f)
			default:
				h.Ended(now, f, h.Suspicion(f), "s", End{})
			}
			sent = append(sent, h.Own(now, maxRecords)...)
			if len(sent) > 0 && rng.IntN(2) == 0 {
				hosts[rng.IntN(len(hosts))].Merge(now, sent[rng.IntN(len(sent))])
			}
		}
		for _, h := range hosts {
			for _, i := range rng.Perm(len(sent)) {
				h.Merge(now, sent[i])
			}
		}
		for f := range Fingerprint(4) {
			for _, h := range hosts {
				assert.Equal(t, h.Suspicion(f), hosts[0].Suspicion(f), "seed %d", seed)
			}
		}
	}
}

// TestTableIsBounded checks that many requests that end targets can't displace those that are
// refused, nor fill the memory.
func TestTableIsBounded(t *testing.T) {
	table, now := New(testHold), time.Unix(1000, 0)
	for range refusedEnds {
		table.Ended(now, testFingerprint, table.Suspicion(testFingerprint), "s", End{})
	}
	for i := range 2 * maxRecords {
		table.Ended(now, Fingerprint(1000+i), Suspicion{}, "s", End{})
	}
	assert.Assert(t, table.Len() <= maxRecords, "%d records", table.Len())
	assert.DeepEqual(t, table.Verdict(now, testFingerprint), Refused{testHold})
	now = now.Add(watchTTL + time.Second)
	table.Expire(now)
	assert.Equal(t, table.Len(), 1)
}

// TestReleaseOfBystander checks that a request is released if each target that ended under it
// ran another one that is refused, and that two requests don't release each other.
func TestReleaseOfBystander(t *testing.T) {
	end := func(name place.Target) End { return End{Target: name} }
	for name, test := range map[string]struct {
		ends map[Fingerprint][]place.Target
		want map[Fingerprint]bool // refused
	}{
		"beside three others": {
			map[Fingerprint][]place.Target{1: {"a", "d", "e"}, 2: {"b", "f", "g"}, 3: {"c", "h", "i"}, 9: {"a", "b", "c"}},
			map[Fingerprint]bool{1: true, 2: true, 3: true, 9: false},
		},
		"one end has no other explanation": {
			map[Fingerprint][]place.Target{1: {"a", "d", "e"}, 2: {"b", "f", "g"}, 9: {"a", "b", "c"}},
			map[Fingerprint]bool{1: true, 2: true, 9: true},
		},
		"the same ends": {
			map[Fingerprint][]place.Target{1: {"a", "b", "c"}, 2: {"a", "b", "c"}},
			map[Fingerprint]bool{1: true, 2: true},
		},
	} {
		t.Run(name, func(t *testing.T) {
			for _, order := range [][]Fingerprint{{1, 2, 3, 9}, {9, 3, 2, 1}, {2, 9, 1, 3}} {
				table, now := New(testHold), time.Unix(1000, 0)
				for _, f := range order {
					for _, target := range test.ends[f] {
						table.Ended(now, f, table.Suspicion(f), "s", end(target))
					}
				}
				for f, refused := range test.want {
					assert.Equal(t, table.Suspicion(f).IsRefused(), refused, "%d", f)
				}
			}
		})
	}
}

// TestCodec checks that records survive encoding, and that impossible ones are left out.
func TestCodec(t *testing.T) {
	in := []Record{
		{Fingerprint: 1 << 63, Suspicion: Suspicion{Generation: 3, Ends: 2}, Service: "s", Last: []End{{"a", 1}, {"b", 2}}, Age: 1500 * time.Millisecond},
		{Fingerprint: 5, Suspicion: Suspicion{Ends: Forbidden}},
	}
	body, err := Encode(append(slices.Clone(in), Record{}, Record{Fingerprint: 6, Age: -time.Hour}))
	assert.NilError(t, err)
	out, err := Decode(body)
	assert.NilError(t, err)
	assert.DeepEqual(t, out, append(slices.Clone(in), Record{Fingerprint: 6}))
}

// FuzzDecode: no document makes the decoder panic, and what it returns is within bounds.
func FuzzDecode(f *testing.F) {
	compattest.AddSeeds(f)
	body, err := Encode([]Record{{Fingerprint: 1, Suspicion: Suspicion{Ends: 3}, Service: "s", Last: []End{{Target: "a"}}}})
	assert.NilError(f, err)
	f.Add(body)
	f.Add(body[:len(body)/2])
	f.Fuzz(func(t *testing.T, body []byte) {
		records, err := Decode(body)
		if err != nil {
			return
		}
		table := New(testHold)
		for _, r := range records {
			assert.Assert(t, r.Fingerprint != 0 && r.Age >= 0 && len(r.Last) <= maxNamedEnds)
			table.Merge(time.Unix(1000, 0), r)
		}
		assert.Assert(t, table.Len() <= maxRecords)
	})
}
