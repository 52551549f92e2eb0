package host

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"citrontray.example/citrontray/internal/outcome"
	"citrontray.example/citrontray/internal/transfer"
)

// maxRoomShare is the share of the time to its soft deadline for which a request waits for room
// for its large response. The rest is for the slot, the work and the transfer: the known
// downloads take 0.2 to 1.4 s of their objective of 3 s.
const maxRoomShare = 0.5

// transfers gives large responses their room on this host. Safe for concurrent use.
type transfers struct {
	mu    sync.Mutex
	queue *transfer.Queue
	last  transfer.ID
	// admitted holds the channels of the waiting requests, which are closed once they may be
	// sent.
	admitted map[transfer.ID]chan struct{}
}

func newTransfers(limits transfer.Limits) *transfers {
	return &transfers{queue: transfer.New(limits), admitted: make(map[transfer.ID]chan struct{})}
}

// transferLimits returns the limits of large responses on this host, and logs a rate of the
// link that can't be one.
func (h *Host) transferLimits() transfer.Limits {
	limits, ok := transfer.LimitsOf(h.site.LinkRate, bodyMemoryOf(&h.site))
	if !ok {
		h.log.Warn("Rate of the link in the settings not usable, large responses not bounded by it.", slog.Float64("rate", float64(h.site.LinkRate)))
	}
	return limits
}

// runLarge processes a request for a large response. Its room is kept until the response was
// written, see releaseMemory.
func (j *job) runLarge(ctx, wait context.Context) outcome.Result {
	if refusal := j.acquireRoom(wait); refusal != nil {
		return refusal
	}
	result := j.runAttempts(ctx, wait)
	j.host.transfers.complete(time.Now(), j, result)
	return result
}

// acquireRoom waits for room. It returns a result if the request ends here.
func (j *job) acquireRoom(wait context.Context) outcome.Result {
	t, now := j.host.transfers, time.Now()
	end := j.deadline
	if j.route.LatencyObjective > 0 && j.softDeadline.Before(end) {
		end = j.softDeadline
	}
	until := now.Add(time.Duration(maxRoomShare * float64(end.Sub(now))))
	defer func() { j.roomWait = time.Since(now) }()
	decision, admitted := t.ask(now, j, until)
	if _, queued := decision.(transfer.Queued); queued {
		decision = t.await(wait, j.roomID, until, admitted)
	}
	switch d := decision.(type) {
	case transfer.Refused:
		j.host.metrics.countTransferRefusal(j.service.Name)
		return outcome.NotRunFailure{Reason: outcome.Overload, RetryAfter: d.RetryAfter}
	case transfer.Queued:
		return j.cutShort(wait).result
	case transfer.Admitted:
	}
	return nil
}

// ask asks for the room of a job. If that is queued, the channel is closed once it is admitted.
func (t *transfers) ask(now time.Time, j *job, until time.Time) (transfer.Decision, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.last++
	j.roomID = t.last
	decision := t.queue.Ask(now, transfer.Request{ID: j.roomID, Route: j.route.Name, Until: until})
	if _, queued := decision.(transfer.Queued); !queued {
		return decision, nil
	}
	admitted := make(chan struct{})
	t.admitted[j.roomID] = admitted
	return decision, admitted
}

// await waits until a queued request is admitted or refused. It returns Queued if ctx ends
// before.
func (t *transfers) await(ctx context.Context, id transfer.ID, until time.Time, admitted <-chan struct{}) transfer.Decision {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-admitted:
			return transfer.Admitted{}
		case <-ctx.Done():
			t.release(time.Now(), id)
			return transfer.Queued{}
		case now := <-timer.C:
			next, refused := t.check(now, id, until)
			if refused != nil {
				return *refused
			}
			timer.Reset(next.Sub(now))
		}
	}
}

// check admits requests that may be sent since responses have stalled. It returns when to check
// again, or the refusal of the request if it has waited until its time.
func (t *transfers) check(now time.Time, id transfer.ID, until time.Time) (time.Time, *transfer.Refused) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.admit(now)
	if t.admitted[id] == nil {
		return until, nil // the channel is closed
	}
	if !now.Before(until) {
		delete(t.admitted, id)
		refused := t.queue.Expire(now, id)
		return until, &refused
	}
	if next := t.queue.NextChange(now); !next.IsZero() && next.Before(until) {
		return next, nil
	}
	return until, nil
}

// admit notifies the requests that may be sent now. The caller holds mu.
func (t *transfers) admit(now time.Time) {
	for _, id := range t.queue.Admit(now) {
		close(t.admitted[id])
		delete(t.admitted, id)
	}
}

// grow records that memory was reserved for a response, and reports whether that is within the
// limit of large responses.
func (t *transfers) grow(now time.Time, id transfer.ID, bytes int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.queue.Grow(now, id, transfer.Bytes(bytes))
}

// complete records the end of a job's attempts.
func (t *transfers) complete(now time.Time, j *job, result outcome.Result) {
	response, ok := result.(outcome.Response)
	if !ok {
		t.release(now, j.roomID)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	const firstError = 300
	t.queue.Complete(now, j.roomID, transfer.Bytes(len(response.Body)), response.Status < firstError)
	t.admit(now)
}

// release returns the room of a request, or removes it from the queue.
func (t *transfers) release(now time.Time, id transfer.ID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.admitted, id)
	t.queue.Release(id)
	t.admit(now)
}

// load returns the bytes in flight that use the link and memory, and the number of waiting requests.
func (t *transfers) load(now time.Time) (link, memory transfer.Bytes, waiting int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.queue.Load(now)
}
