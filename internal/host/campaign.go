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
	// candidateDelay is the campaign delay of each candidate after the previous one.
	candidateDelay = 200 * time.Millisecond
	// restoredDelay is the additional delay of all hosts but the last leader after the
	// store was restored from an older snapshot. With any other leader all keys are
	// unavailable until the grants of leaders lost in the restore must have expired.
	restoredDelay = 2 * time.Second
	// incumbentDelay is the additional delay in favor of a running leader that lost its
	// entry.
	incumbentDelay = 700 * time.Millisecond
	// cutOffDelay is the additional delay of a host that has no path to the targets: others
	// may have one.
	cutOffDelay = 1500 * time.Millisecond
	// leaderListLag is how long the list of hosts may lack a new leader.
	leaderListLag = 2 * time.Second
	// campaignBackoff is the mean wait after a campaign that failed because of the
	// store. Each call is billed, and all candidates retry.
	campaignBackoff = 900 * time.Millisecond
	campaignTimeout = 1200 * time.Millisecond
)

// campaignIfDue starts a campaign if campaignDue, unless one is running, the last one
// failed a moment ago, or this host is stopping.
func (c *controller) campaignIfDue(ctx context.Context, now time.Time, v *view) {
	if c.campaigning || c.host.stopping.Load() || now.Before(c.pausedUntil) || !c.campaignDue(now, v) {
		return
	}
	c.campaigning, c.campaignedAt = true, now
	attempt := &campaign{controller: c, lease: c.newLease(), members: v.members, noLeaderKnown: c.host.site.FirstStart && v.tables[c.service] == nil}
	if c.core.Leading() {
		doc := c.core.Doc(now)
		attempt.localDoc, attempt.noLeaderKnown = &doc, false
	}
	c.tasks.Add(1)
	go attempt.run(ctx)
}

// campaignDue reports whether this host should campaign now.
func (c *controller) campaignDue(now time.Time, v *view) bool {
	if c.core.TermLost() {
		return now.Sub(c.campaignedAt) > candidateDelay
	}
	leader, ok := v.members.Leader(c.service)
	ok = ok && !leader.Restored()
	if c.core.Leading() {
		// The entry expired with its session. Right after a won campaign the list does
		// not contain the new entry yet.
		return !ok && now.Sub(c.wonAt) > leaderListLag && now.Sub(c.noLeaderSince) > candidateDelay
	}
	rank := slices.Index(v.candidates(c.service), c.host.site.Host)
	if ok && !v.members.Ended(leader) {
		// This host's own entry is of a term that it gave up and can be replaced at
		// once. Another host's entry may be gone from the store before the list shows
		// that, so after a time without notices the campaign reads the store.
		own := leader.Host == c.host.site.Host && now.Sub(c.campaignedAt) > candidateDelay
		// Without any notice the time counts from the start of this process: if many
		// processes started together, the list may name a leader that ended with them.
		since := c.startedAt
		if c.leaderNoticeAt.After(since) {
			since = c.leaderNoticeAt
		}
		silent := now.Sub(since) > leaderNoticeTimeout+time.Duration(rank)*candidateDelay+c.cutOffWait(v)
		return own || silent && rank >= 0 && rank < candidateCount && now.Sub(c.campaignedAt) > candidateDelay
	}
	if c.noLeaderSince.IsZero() || rank < 0 {
		return false
	}
	wait := time.Duration(rank)*candidateDelay + c.cutOffWait(v)
	if c.storeRestored(v) {
		// Only the last leader knows the owners, so others wait longer.
		if now.Sub(c.leaderNoticeAt) < leaderNoticeTimeout {
			return false
		}
		wait += restoredDelay
	}
	if c.incumbentAlive(now, v, rank) {
		wait += incumbentDelay
	}
	return now.Sub(c.noLeaderSince) >= wait
}

// cutOffWait returns the additional delay of this host's campaigns.
func (c *controller) cutOffWait(v *view) time.Duration {
	if c.host.paths.serviceLost(v, c.service) {
		return cutOffDelay
	}
	return 0
}

// storeRestored reports whether the store's era is later than that of the last routing
// table.
func (c *controller) storeRestored(v *view) bool {
	table := v.tables[c.service]
	_, era := c.host.store.eras()
	return table != nil && table.Version.Term.Era() < max(era, v.era)
}

// incumbentAlive reports whether the last leader probably still runs and only lost its
// entry in a store outage. It campaigns first then, because a new leader has to contact
// every owner again. Candidates receive the notices of a running leader; other hosts
// rely on the list.
func (c *controller) incumbentAlive(now time.Time, v *view, rank int) bool {
	table := v.tables[c.service]
	if table == nil || rank < candidateCount && now.Sub(c.leaderNoticeAt) > leaderNoticeTimeout {
		return false
	}
	h, listed := v.members.Host(table.Leader)
	return listed && h.Incarnation == table.LeaderIncarnation
}

// campaign is one attempt to become the leader.
type campaign struct {
	*controller

	lease   *lease
	members member.List
	// localDoc is the ownership document in this host's core, nil if it does not lead.
	localDoc *owner.Doc
	// noLeaderKnown is set if the whole deployment starts for the first time and this
	// host knows of no earlier leader.
	noLeaderKnown bool
}

// run runs the campaign and posts its outcome.
func (c *campaign) run(ctx context.Context) {
	defer c.tasks.Done()
	ctx, cancel := context.WithTimeout(ctx, campaignTimeout)
	defer cancel()
	won, err := c.campaign(ctx)
	c.post(func(now time.Time) bool {
		c.campaigning = false
		if errors.Is(err, errLeaderExists) {
			return false
		}
		if err != nil {
			c.log.Info("Election campaign failed.", slog.Any("error", err))
			c.pausedUntil = now.Add(rand.N(candidateDelay))
			if !errors.Is(err, errWriteConflict) && !errors.Is(err, platform.ErrRestored) {
				c.pausedUntil = now.Add(campaignBackoff/2 + rand.N(campaignBackoff))
			}
			return false
		}
		c.leaderRevision = won.revision
		c.noLeaderSince, c.wonAt = time.Time{}, now
		c.predecessor = won.predecessor
		c.log.Info("Leading.", slog.Uint64("term", uint64(won.doc.Term)), slog.Uint64("revision", uint64(won.revision)),
			slog.String("before", string(won.predecessor.host)), slog.Bool("ended", won.predecessor.ended),
			slog.Bool("stragglers", won.predecessor.priorMayRenew), slog.Bool("in_transit", won.predecessor.prior() == owner.PriorInTransit))
		c.controller.lease.abandon()
		c.controller.lease = c.lease
		c.tasks.Add(1)
		go c.lease.run()
		c.core.BeginTerm(now, won.doc, won.revision, c.lease.current().end, won.predecessor.prior())
		c.knownFleet = 0
		return true
	})
}

// lease is the session that a leader's entry is bound to.
type lease struct {
	sessionKeeper

	tasks  *sync.WaitGroup
	ctx    context.Context
	cancel context.CancelFunc
}

const (
	// leaseTTL is the TTL of a leader's session. It allows for two lost renewals, but a
	// lost leader is replaced before its grants expire.
	leaseTTL = 1800 * time.Millisecond
	// leaseRenewInterval is the time between two renewals, leaseRenewRetryDelay the
	// delay after a failed one.
	leaseRenewInterval   = 550 * time.Millisecond
	leaseRenewRetryDelay = 300 * time.Millisecond
)

func (c *controller) newLease() *lease {
	l := &lease{tasks: &c.tasks, sessionKeeper: sessionKeeper{
		store: c.host.env.Store, log: c.log.With(slog.String("entry", "lead")),
		ttl: max(leaseTTL, c.host.site.Bounds.MinSessionTTL), interval: leaseRenewInterval, retryDelay: leaseRenewRetryDelay, urgent: make(chan struct{}, 1),
	}}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	return l
}

// run renews the lease until it ends or is abandoned.
func (l *lease) run() {
	defer l.tasks.Done()
	l.sessionKeeper.run(l.ctx)
}

// abandon stops the renewals, so that the session expires.
func (l *lease) abandon() { l.cancel() }

// electionWin is the outcome of a won campaign.
type electionWin struct {
	doc         owner.Doc
	revision    platform.Revision
	predecessor predecessor
}

// errLeaderExists is returned if the store names another leader.
var errLeaderExists = errors.New("host: another host is the leader")

func (c *campaign) campaign(ctx context.Context) (electionWin, error) {
	store := c.host.env.Store
	entryRevision, err := c.replaceableEntry(ctx)
	if err != nil {
		return electionWin{}, err
	}
	old, err := store.Get(ctx, rangesPath(c.service))
	doc := owner.EmptyDoc(c.service)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		old.Revision = 0
	case err != nil:
		return electionWin{}, err
	default:
		if doc, err = owner.DecodeDoc(old.Value); err != nil {
			return electionWin{}, err
		}
	}
	if err := c.lease.open(ctx); err != nil {
		return electionWin{}, err
	}
	session := c.lease.current().id
	won := electionWin{predecessor: c.predecessorOf(&doc, old.Revision, session.Era)}
	doc.Term = doc.Term.Next(session.Era)
	if won.predecessor.restored && c.localDoc != nil {
		// This host's document is newer than the restored one.
		doc.Rows, doc.Term = c.localDoc.Rows, max(doc.Term, c.localDoc.Term.Next(session.Era))
	}
	prior := won.predecessor.prior()
	doc.PriorMayRenew = won.predecessor.mayRenew() || prior == owner.PriorLost
	doc.PriorInTransit, doc.AfterRestore = prior == owner.PriorInTransit, won.predecessor.restored
	doc.Leader, doc.LeaderIncarnation, doc.WriteID = c.host.site.Host, c.host.incarnation, rand.Uint64()
	value, err := doc.Encode()
	if err != nil {
		return electionWin{}, err
	}
	entry, err := member.EncodeLeader(member.Leader{Host: c.host.site.Host, Incarnation: c.host.incarnation, Era: session.Era})
	if err != nil {
		return electionWin{}, err
	}
	leaderPath := member.LeaderPath(c.service)
	txn := platform.Txn{
		If: []platform.Condition{{Path: leaderPath, Revision: entryRevision}, {Path: rangesPath(c.service), Revision: old.Revision}},
		Put: []platform.Put{
			{Path: leaderPath, Value: entry, Session: session},
			{Path: rangesPath(c.service), Value: value},
		},
	}
	won.doc = doc
	won.revision, err = commitUntilKnown(ctx, c.log, store, txn, rangesPath(c.service), doc.WriteID)
	if err == nil && won.revision.Era() != session.Era {
		err = platform.ErrRestored // the campaign was won in a store state that is gone
	}
	return won, err
}

// replaceableEntry returns the revision of the leader entry that this campaign may
// replace, zero if there is none. It returns errLeaderExists if another host leads.
func (c *campaign) replaceableEntry(ctx context.Context) (platform.Revision, error) {
	replaceable := func(l member.Leader) bool {
		return l.Host == c.host.site.Host || c.members.Ended(l) || l.Restored()
	}
	leader, listed := c.members.Leader(c.service)
	_, era := c.host.store.eras()
	sameEra := leader.Revision.Era() == era
	if listed && sameEra && replaceable(leader) {
		return leader.Revision, nil // entry of an ended incarnation
	}
	if !listed && c.localDoc == nil && !c.controller.storeRestored(c.host.views.view()) {
		return 0, nil
	}
	entry, err := c.host.env.Store.Get(ctx, member.LeaderPath(c.service))
	if errors.Is(err, platform.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	if leader, err = member.DecodeLeader(entry); err != nil {
		return 0, err
	}
	if !replaceable(leader) {
		return 0, errLeaderExists
	}
	return leader.Revision, nil
}

// predecessorOf returns what is known of the leader that wrote the document, given the
// store's era.
func (c *campaign) predecessorOf(doc *owner.Doc, revision platform.Revision, era platform.Era) predecessor {
	first, _ := c.host.store.eras()
	self := doc.Leader == c.host.site.Host
	crashed := self && doc.LeaderIncarnation != c.host.incarnation || c.members.Replaced(doc.Leader, doc.LeaderIncarnation, revision)
	return predecessor{
		host: doc.Leader, incarnation: doc.LeaderIncarnation, revision: revision,
		priorMayRenew: doc.PriorMayRenew, priorInTransit: doc.PriorInTransit,
		ended: doc.Leader == "" || self || crashed, crashed: crashed,
		restored: doc.HistoryLost(era, c.noLeaderKnown && first == era),
	}
}

// errWriteConflict is returned if another host's write came first.
var errWriteConflict = errors.New("host: leader entry or document changed by another write")

// commitUntilKnown repeats a transaction until it is certain whether it was committed.
// It recognizes its own write by the write ID of the document at path. If ctx ends
// first, it returns errOutcomeUnknown.
func commitUntilKnown(ctx context.Context, log *slog.Logger, store platform.SessionStore, txn platform.Txn, path platform.Path, write uint64) (platform.Revision, error) {
	const minPause, maxPause = 100 * time.Millisecond, 500 * time.Millisecond
	unknown := false
	for pause := minPause; ; pause = min(2*pause, maxPause) {
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
			return 0, errWriteConflict
		case errors.Is(err, platform.ErrOutcomeUnknown):
			if !unknown {
				log.Warn("Write outcome unknown, retrying until it is known.", slog.Uint64("write", write), slog.Any("error", err))
			}
			unknown = true
		case errors.Is(err, platform.ErrUnavailable) && !unknown, errors.Is(err, platform.ErrSessionEnded), errors.Is(err, platform.ErrRestored):
			return 0, err
		}
		sleep(ctx, pause)
		if ctx.Err() != nil {
			return 0, errOutcomeUnknown
		}
	}
}

// errOutcomeUnknown is returned if a write may have been committed or may still be.
var errOutcomeUnknown = errors.New("host: write outcome unknown")
