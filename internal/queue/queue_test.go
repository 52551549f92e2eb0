package queue_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"citrontray.example/citrontray/internal/queue"
	"citrontray.example/citrontray/internal/settings"
)

var start = time.Unix(1000, 0)

func newItem(caller settings.Caller, class settings.Class, value int) queue.Item[int] {
	return queue.Item[int]{Caller: caller, Class: class, Deadline: start.Add(time.Minute), Value: value}
}

func push(t testing.TB, q *queue.Queue[int], item queue.Item[int]) queue.Handle {
	t.Helper()
	handle, result, _, _ := q.Push(start, item, 0)
	assert.Equal(t, result, queue.Queued)
	return handle
}

func TestOrder(t *testing.T) {
	tests := map[string]struct {
		items []queue.Item[int]
		want  []int
	}{
		"one caller is served in order": {
			[]queue.Item[int]{newItem("a", settings.Bulk, 1), newItem("a", settings.Bulk, 2)},
			[]int{1, 2},
		},
		"callers are served round robin": {
			[]queue.Item[int]{
				newItem("a", settings.Bulk, 1), newItem("a", settings.Bulk, 2), newItem("a", settings.Bulk, 3),
				newItem("b", settings.Bulk, 4), newItem("b", settings.Bulk, 5),
			},
			[]int{1, 4, 2, 5, 3},
		},
		"interactive is served before bulk": {
			[]queue.Item[int]{
				newItem("a", settings.Bulk, 1), newItem("a", settings.Bulk, 2), newItem("a", settings.Bulk, 3),
				newItem("b", settings.Interactive, 4), newItem("b", settings.Interactive, 5),
			},
			[]int{1, 4, 5, 2, 3},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			q := queue.New[int](queue.DefaultConfig())
			for _, item := range test.items {
				push(t, q, item)
			}
			var got []int
			for item, ok := q.Pop(start, ""); ok; item, ok = q.Pop(start, "") {
				got = append(got, item.Value)
			}
			assert.DeepEqual(t, got, test.want)
		})
	}
}

func TestPopExcept(t *testing.T) {
	q := queue.New[int](queue.DefaultConfig())
	push(t, q, newItem("a", settings.Bulk, 1))
	_, ok := q.Pop(start, settings.Bulk)
	assert.Assert(t, !ok)
	push(t, q, newItem("a", settings.Interactive, 2))
	item, ok := q.Pop(start, settings.Bulk)
	assert.Assert(t, ok)
	assert.Equal(t, item.Value, 2)
	assert.Equal(t, q.Len(), 1)
}

// TestClassShares tests that three classes that always have queued items are served in
// the ratio of their weights.
func TestClassShares(t *testing.T) {
	q := queue.New[int](queue.Config{MaxLen: 10_000, Weights: queue.DefaultConfig().Weights})
	served := map[settings.Class]int{}
	for i := range 3000 {
		push(t, q, newItem("a", settings.Bulk, i))
		push(t, q, newItem("b", settings.Registering, i))
		push(t, q, newItem("c", settings.Interactive, i))
	}
	for range 2500 {
		item, ok := q.Pop(start, "")
		assert.Assert(t, ok)
		served[item.Class]++
	}
	assert.DeepEqual(t, served, map[settings.Class]int{settings.Bulk: 100, settings.Registering: 800, settings.Interactive: 1600})
}

func TestMaxLen(t *testing.T) {
	q := queue.New[int](queue.Config{MaxLen: 4})
	for i := range 4 {
		push(t, q, newItem("a", settings.Bulk, i))
	}
	_, result, _, hasEvicted := q.Push(start, newItem("a", settings.Bulk, 4), 0)
	assert.Equal(t, result, queue.Full)
	assert.Assert(t, !hasEvicted)
	_, result, evicted, hasEvicted := q.Push(start, newItem("b", settings.Bulk, 5), 0)
	assert.Equal(t, result, queue.Queued)
	assert.Assert(t, hasEvicted)
	assert.Equal(t, evicted, 3) // the newest item of the longest flow
	assert.Equal(t, q.Len(), 4)
}

func TestPushLate(t *testing.T) {
	q := queue.New[int](queue.DefaultConfig())
	push(t, q, newItem("a", settings.Bulk, 1))
	item := newItem("a", settings.Bulk, 2)
	item.Deadline = start.Add(5 * time.Millisecond)
	_, result, _, hasEvicted := q.Push(start, item, 10*time.Millisecond)
	assert.Assert(t, !hasEvicted)
	assert.Equal(t, result, queue.Late)
}

func TestExpire(t *testing.T) {
	q := queue.New[int](queue.DefaultConfig())
	item := newItem("a", settings.Bulk, 1)
	item.Deadline = start.Add(time.Second)
	push(t, q, item)
	push(t, q, newItem("a", settings.Bulk, 2))
	now := start.Add(time.Second)
	got, ok := q.Pop(now, "")
	assert.Assert(t, ok)
	assert.Equal(t, got.Value, 2)
	assert.DeepEqual(t, q.Expire(now), []int{1})
	assert.Equal(t, q.Len(), 0)
}

func TestRequeueGoesFirst(t *testing.T) {
	q := queue.New[int](queue.DefaultConfig())
	push(t, q, newItem("a", settings.Bulk, 1))
	push(t, q, newItem("a", settings.Bulk, 2))
	item, _ := q.Pop(start, "")
	handle := q.Requeue(item)
	assert.Assert(t, q.Remove(handle))
	assert.Assert(t, !q.Remove(handle))
	q.Requeue(item)
	item, _ = q.Pop(start, "")
	assert.Equal(t, item.Value, 1)
}

// model applies random operations to a queue and tests that each item leaves exactly
// once, that none is served past its deadline, and that the queue stays within MaxLen.
type model struct {
	queue     *queue.Queue[int]
	now       time.Time
	nextValue int
	queued    map[int]time.Time // deadlines by value
	handles   map[int]queue.Handle
}

const modelMaxLen = 12

// left records that an item left the queue and returns its deadline.
func (m *model) left(t *rapid.T, value int) time.Time {
	deadline, ok := m.queued[value]
	if !ok {
		t.Fatalf("item %d left the queue twice", value)
	}
	delete(m.queued, value)
	return deadline
}

func (m *model) push(t *rapid.T) {
	item := queue.Item[int]{
		Caller:   settings.Caller(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "caller"))),
		Class:    rapid.SampledFrom([]settings.Class{settings.Interactive, settings.Registering, settings.Bulk, "other"}).Draw(t, "class"),
		Deadline: m.now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "left"))),
		Value:    m.nextValue,
	}
	m.nextValue++
	handle, result, evicted, hasEvicted := m.queue.Push(m.now, item, 1)
	if hasEvicted {
		m.left(t, evicted)
	}
	if result == queue.Queued {
		m.queued[item.Value], m.handles[item.Value] = item.Deadline, handle
	}
}

func (m *model) pop(t *rapid.T) {
	item, ok := m.queue.Pop(m.now, "")
	if !ok {
		for value, deadline := range m.queued {
			if deadline.After(m.now) {
				t.Fatalf("item %d is within its deadline but not served", value)
			}
		}
		return
	}
	if !m.left(t, item.Value).After(m.now) {
		t.Fatalf("item %d was served past its deadline", item.Value)
	}
}

func (m *model) remove(t *rapid.T) {
	if m.nextValue == 0 {
		return
	}
	value := rapid.IntRange(0, m.nextValue-1).Draw(t, "value")
	_, inQueue := m.queued[value]
	if handle, known := m.handles[value]; known && m.queue.Remove(handle) != inQueue {
		t.Fatalf("item %d: in the queue %v", value, inQueue)
	}
	delete(m.queued, value)
}

func (m *model) expire(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 10).Draw(t, "step")))
	for _, value := range m.queue.Expire(m.now) {
		if m.left(t, value).After(m.now) {
			t.Fatalf("item %d expired before its deadline", value)
		}
	}
}

func TestRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			queue: queue.New[int](queue.Config{MaxLen: modelMaxLen, Weights: queue.DefaultConfig().Weights}),
			now:   start, queued: map[int]time.Time{}, handles: map[int]queue.Handle{},
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": m.push, "pop": m.pop, "remove": m.remove, "expire": m.expire,
			"": func(t *rapid.T) {
				if m.queue.Len() != len(m.queued) || m.queue.Len() > modelMaxLen {
					t.Fatalf("length %d, want %d", m.queue.Len(), len(m.queued))
				}
			},
		})
	})
}

func BenchmarkPushPop(b *testing.B) {
	for _, callers := range []int{1, 100} {
		b.Run(fmt.Sprint(callers), func(b *testing.B) {
			q := queue.New[int](queue.Config{MaxLen: 1000})
			names := make([]settings.Caller, callers)
			for i := range names {
				names[i] = settings.Caller(fmt.Sprint(i))
			}
			b.ReportAllocs()
			for i := range b.N {
				q.Push(start, newItem(names[i%callers], settings.Bulk, i), 0)
				q.Pop(start, "")
			}
		})
	}
}

// TestMain sets a fixed seed unless a flag sets one, so that CI runs are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}
