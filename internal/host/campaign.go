package host

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"citrontray.example/citrontray/internal/member"
	"citrontray.example/citrontray/internal/owner"
	"citrontray.example/citrontray/internal/platform"
)

const (
	// campaignStep is the head start of each host over the next one in the
	// order of candidates.
	campaignStep = 200 * time.Millisecond
	// restoredStep is that of the last lead where the store has come back from an older
	// copy: another one lets all keys wait.
	restoredStep = 2 * time.Second
	// incumbentStep is the head start of a lead that lost its entry.
	incumbentStep = 700 * time.Millisecond
	// victoryLag is how long the list of members may lack a new lead.
	victoryLag = 2 * time.Second
	// campaignAgain is about how long a host waits after a campaign that the
	// store did not answer: each call is billed, and all candidates try.
	campaignAgain = 900 * time.Millisecond
	// campaignTimeout bounds the calls of one campaign.
	campaignTimeout = 1200 * time.Millisecond
)

// campaignIfDue tries to become the lead where there is none.
func (r *runner) campaignIfDue(ctx context.Context, now time.Time, v *view) {
	if r.campaigning || r.host.stopping.Load() || now.Before(r.pausedUntil) || !r.due(now, v) {
		return
	}
	r.campaigning, r.lookedAt = true, now
	c := &campaign{runner: r, lease: r.newLease(), members: v.members, first: r.host.site.First && v.tables[r.service] == nil}
	if r.core.Leading() {
		doc := r.core.Doc(now)
		c.led, c.first = &doc, false
	}
	r.work.Add(1)
	go c.run(ctx)
}

// due reports whether this host should campaign now.
func (r *runner) due(now time.Time, v *view) bool {
	if r.core.TermLost() {
		return now.Sub(r.lookedAt) > campaignStep
	}
	lead, ok := v.members.Leader(r.service)
	ok = ok && !lead.Restored()
	if r.core.Leading() {
		// Its entry went with its session. Right after a victory, the list of
		// members does not have it yet.
		return !ok && now.Sub(r.wonAt) > victoryLag && now.Sub(r.vacantSince) > campaignStep
	}
	place := slices.Index(v.candidates(r.service), r.host.site.Host)
	if ok && !v.members.Ended(lead) {
		// An entry of this host's own, of a term that it gave up, needs no
		// waiting for. Of another's, the store knows sooner than the list that
		// it is gone.
		mine := lead.Host == r.host.site.Host && now.Sub(r.lookedAt) > campaignStep
		// A process that has just started may be one of many: the list may have a
		// lead that ended with the others.
		since := r.started
		if r.heard.After(since) {
			since = r.heard
		}
		quiet := now.Sub(since) > silence+time.Duration(place)*campaignStep
		return mine || quiet && place >= 0 && place < candidates && now.Sub(r.lookedAt) > campaignStep
	}
	if r.vacantSince.IsZero() || place < 0 {
		return false
	}
	wait := time.Duration(place) * campaignStep
	if r.restored(v) {
		// The last lead knows who holds what; another one has to wait.
		if now.Sub(r.heard) < silence {
			return false
		}
		wait += restoredStep
	}
	if r.incumbent(now, v, place) {
		wait += incumbentStep
	}
	return now.Sub(r.vacantSince) >= wait
}

// restored reports whether the store is of a later era than the lead's last table.
func (r *runner) restored(v *view) bool {
	table := v.tables[r.service]
	_, era := r.host.store.eras()
	return table != nil && table.Version.Term.Era() < max(era, v.era)
}

// incumbent reports whether the last lead probably runs and only lost its entry
// with the store's outage. It goes first then: a change of lead asks every owner
// anew. Candidates hear a lead that runs; all others go by the list.
func (r *runner) incumbent(now time.Time, v *view, place int) bool {
	table := v.tables[r.service]
	if table == nil || place < candidates && now.Sub(r.heard) > silence {
		return false
	}
	h, there := v.members.Host(table.Leader)
	return there && h.Incarnation == table.LeaderIncarnation
}

// campaign is one try to become the lead.
type campaign struct {
	*runner

	lease   *lease
	members member.List
	// led is the document by what this host knows as the lead, nil where it does not
	// lead.
	led *owner.Doc
	// first tells that this host knows of no lead before.
	first bool
}

// run carries the campaign out and posts its outcome.
func (c *campaign) run(ctx context.Context) {
	defer c.work.Done()
	ctx, cancel := context.WithTimeout(ctx, campaignTimeout)
	defer cancel()
	won, err := c.campaign(ctx)
	c.post(func(now time.Time) bool {
		c.campaigning = false
		if errors.Is(err, errLed) {
			return false
		}
		if err != nil {
			c.log.Info("Campaign for the lead failed.", slog.Any("error", err))
			c.pausedUntil = now.Add(rand.N(campaignStep))
			if !errors.Is(err, errLost) && !errors.Is(err, platform.ErrRestored) {
				c.pausedUntil = now.Add(campaignAgain/2 + rand.N(campaignAgain))
			}
			return false
		}
		c.leadRevision = won.revision
		c.vacantSince, c.wonAt = time.Time{}, now
		c.before = won.before
		c.log.Info("Leading.", slog.Uint64("term", uint64(won.doc.Term)), slog.Uint64("revision", uint64(won.revision)),
			slog.String("before", string(won.before.host)), slog.Bool("ended", won.before.ended),
			slog.Bool("stragglers", won.before.stragglers))
		c.runner.lease.drop()
		c.runner.lease = c.lease
		c.work.Add(1)
		go c.lease.run()
		c.core.BeginTerm(now, won.doc, won.revision, c.lease.current().end, won.before.prior())
		c.known = 0
		return true
	})
}

// lease is the session that the entry of a lead goes with.
type lease struct {
	keeper

	work   *sync.WaitGroup
	ctx    context.Context
	cancel context.CancelFunc
}

const (
	// leaseTTL is the length of a lead's session: long enough for two lost
	// renewals, short enough that a lead that is lost is replaced before the
	// grants that it gave run out.
	leaseTTL = 1800 * time.Millisecond
	// leaseKeep is the time between two renewals of it, leaseAgain the pause
	// after one that failed.
	leaseKeep  = 550 * time.Millisecond
	leaseAgain = 300 * time.Millisecond
)

func (r *runner) newLease() *lease {
	l := &lease{work: &r.work, keeper: keeper{
		store: r.host.env.Store, log: r.log.With(slog.String("entry", "lead")),
		ttl: max(leaseTTL, r.host.site.Bounds.SessionMin), every: leaseKeep, again: leaseAgain, due: make(chan struct{}, 1),
	}}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	return l
}

// run renews the lease until it has ended or is dropped.
func (l *lease) run() {
	defer l.work.Done()
	l.keeper.run(l.ctx)
}

// drop ends the renewing; the session lapses.
func (l *lease) drop() { l.cancel() }

// victory is a campaign that was won.
type victory struct {
	doc      owner.Doc
	revision platform.Revision
	before   predecessor
}

// errLed is returned where the store names a lead.
var errLed = errors.New("host: another host leads")

func (c *campaign) campaign(ctx context.Context) (victory, error) {
	store := c.host.env.Store
	held, err := c.vacant(ctx)
	if err != nil {
		return victory{}, err
	}
	old, err := store.Get(ctx, rangesPath(c.service))
	doc := owner.EmptyDoc(c.service)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		old.Revision = 0
	case err != nil:
		return victory{}, err
	default:
		if doc, err = owner.DecodeDoc(old.Value); err != nil {
			return victory{}, err
		}
	}
	if err := c.lease.open(ctx); err != nil {
		return victory{}, err
	}
	session := c.lease.current().id
	won := victory{before: c.predecessorOf(&doc, old.Revision, session.Era)}
	doc.Term = doc.Term.Next(session.Era)
	if won.before.forgotten && c.led != nil {
		// What this host knows is newer than what the store has come back with.
		doc.Rows, doc.Term = c.led.Rows, max(doc.Term, c.led.Term.Next(session.Era))
	}
	doc.PriorMayRenew, doc.AfterRestore = won.before.prior() != owner.PriorEnded, won.before.forgotten
	doc.Leader, doc.LeaderIncarnation, doc.WriteID = c.host.site.Host, c.host.life, rand.Uint64()
	value, err := doc.Encode()
	if err != nil {
		return victory{}, err
	}
	entry, err := member.EncodeLeader(member.Leader{Host: c.host.site.Host, Incarnation: c.host.life, Era: session.Era})
	if err != nil {
		return victory{}, err
	}
	leadPath := member.LeaderPath(c.service)
	txn := platform.Txn{
		If: []platform.Condition{{Path: leadPath, Revision: held}, {Path: rangesPath(c.service), Revision: old.Revision}},
		Put: []platform.Put{
			{Path: leadPath, Value: entry, Session: session},
			{Path: rangesPath(c.service), Value: value},
		},
	}
	won.doc = doc
	won.revision, err = commitSurely(ctx, c.log, store, txn, rangesPath(c.service), doc.WriteID)
	if err == nil && won.revision.Era() != session.Era {
		err = platform.ErrRestored // what was won is of a copy that is gone
	}
	return won, err
}

// vacant returns the revision of the entry that a new lead replaces, zero where there
// is none, or errLed where another host leads.
func (c *campaign) vacant(ctx context.Context) (platform.Revision, error) {
	replaceable := func(l member.Leader) bool {
		return l.Host == c.host.site.Host || c.members.Ended(l) || l.Restored()
	}
	lead, listed := c.members.Leader(c.service)
	_, era := c.host.store.eras()
	current := lead.Revision.Era() == era
	if listed && current && replaceable(lead) {
		return lead.Revision, nil // the entry of a life that has ended
	}
	if !listed && c.led == nil && !c.runner.restored(c.host.viewer.view()) {
		return 0, nil
	}
	entry, err := c.host.env.Store.Get(ctx, member.LeaderPath(c.service))
	if errors.Is(err, platform.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	if lead, err = member.DecodeLeader(entry); err != nil {
		return 0, err
	}
	if !replaceable(lead) {
		return 0, errLed
	}
	return lead.Revision, nil
}

// predecessorOf tells what is known of the lead that wrote the document, in a store of
// an era.
func (c *campaign) predecessorOf(doc *owner.Doc, revision platform.Revision, era platform.Era) predecessor {
	first, _ := c.host.store.eras()
	return predecessor{
		host: doc.Leader, life: doc.LeaderIncarnation, revision: revision, stragglers: doc.PriorMayRenew,
		ended:     doc.Leader == "" || doc.Leader == c.host.site.Host || c.members.Replaced(doc.Leader, doc.LeaderIncarnation, revision),
		forgotten: doc.HistoryLost(era, c.first && first == era),
	}
}

// errLost is returned where another host's write came first.
var errLost = errors.New("host: another write came first")

// commitSurely repeats a transaction until it is certain whether it has been
// carried out. The document at path tells by its write id.
func commitSurely(ctx context.Context, log *slog.Logger, store platform.SessionStore, txn platform.Txn, path platform.Path, write uint64) (platform.Revision, error) {
	const firstPause, mostPause = 100 * time.Millisecond, 500 * time.Millisecond
	unknown := false
	for pause := firstPause; ; pause = min(2*pause, mostPause) {
		revision, err := store.Commit(ctx, txn)
		var conflict *platform.TxnConflictError
		switch {
		case err == nil:
			return revision, nil
		case errors.As(err, &conflict):
			for _, e := range conflict.Current {
				if e.Path != path {
					continue
				}
				if doc, err := owner.DecodeDoc(e.Value); err == nil && doc.WriteID == write {
					return e.Revision, nil
				}
			}
			return 0, errLost
		case errors.Is(err, platform.ErrUnknown):
			if !unknown {
				log.Warn("Write not answered, asking until its outcome is known.", slog.Uint64("write", write), slog.Any("error", err))
			}
			unknown = true
		case errors.Is(err, platform.ErrUnavailable) && !unknown, errors.Is(err, platform.ErrSessionEnded), errors.Is(err, platform.ErrRestored):
			return 0, err
		}
		sleep(ctx, pause)
		if ctx.Err() != nil {
			return 0, errUnsure
		}
	}
}

// errUnsure is returned where a write may have taken effect, or may yet.
var errUnsure = errors.New("host: outcome of the write is not known")
