package controller

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/marlwood/marlwood/internal/leadership"
	"github.com/marlwood/marlwood/internal/metrics"
	"github.com/marlwood/marlwood/internal/store"
)

// holdsLease reports whether this controller holds the leader lease now. It is safe for concurrent use.
//
// Guard: a process may be paused between a decision and the message that follows from it, for longer
// than its leader lease lasts. So the lease is checked again right before a message is sent, wherever
// the message waited until then (TestPausedLeaderSendsNothing).
func (c *Controller) holdsLease() bool {
	return int64(c.uptime(c.env.Now())) < c.leaseUntil.Load()
}

// publishLease publishes the expiry of the leader lease for holdsLease.
func (c *Controller) publishLease() {
	until := int64(0)
	if at := c.elector.LeaseExpiry(); !at.IsZero() {
		until = int64(c.uptime(at))
	}
	c.leaseUntil.Store(until)
}

// publishTokens sets the metric of the tokens under which this controller acts.
func (c *Controller) publishTokens() {
	c.metrics.Token(metrics.LeaderRole, c.elector.Token())
	_, token := c.registry.Leader()
	c.metrics.Token(metrics.OwnerRole, token)
}

// followElection starts a term when this controller becomes leader and ends it when leadership is lost.
func (c *Controller) followElection(now time.Time) {
	c.publishLease()
	c.publishTokens()
	state := c.elector.State()
	if state != c.electionState {
		c.log.Info("leadership state changed", "from", c.electionState.String(), "to", state.String(), "token", c.elector.Token())
		c.electionState = state
		c.setBudgets(state == leadership.Leading)
	}
	switch {
	case state != leadership.Leading && c.term != nil:
		c.endTerm()
	case state == leadership.Leading && c.term == nil && c.knownTypes() != nil:
		c.term = newLeaderTerm(c, c.elector.Token(), now)
	case state == leadership.Leading && c.term != nil && c.term.token != c.elector.Token():
		c.term.tokenRenewed(c.elector.Token(), now)
	}
}

// endTerm ends the current term.
func (c *Controller) endTerm() {
	c.term.failPendingRequests()
	c.term.quotas.close()
	c.term.end()
	c.term = nil
	c.jobCounts.Store(nil)
	c.metrics.Usage(nil) // the next leader has newer figures
}

// performActions carries out the elector's actions, each outside the loop.
func (c *Controller) performActions(actions []leadership.Action) {
	for _, action := range actions {
		c.env.Go(func() { c.performAction(action) })
	}
}

// performAction carries out one action of the elector and reports the result to it.
func (c *Controller) performAction(action leadership.Action) {
	sentAt := c.env.Now()
	ctx := store.Urgent(c.ctx)
	switch action.Op {
	case leadership.ReadKey:
		c.readLeaderKey(ctx, sentAt)
	case leadership.GrantLease:
		c.grantKeyLease(ctx)
	case leadership.WriteKey:
		c.writeLeaderKey(ctx, sentAt, action)
	case leadership.KeepAlive:
		err := c.store.KeepAlive(ctx, action.Lease)
		c.post(func() { c.elector.KeepAliveDone(c.env.Now(), errors.Is(err, store.ErrLeaseNotFound)) })
	}
}

func (c *Controller) readLeaderKey(ctx context.Context, sentAt time.Time) {
	item, err := c.store.Get(ctx, leadership.Key)
	var record leadership.LeaderRecord
	if err == nil {
		err = json.Unmarshal(item.Value, &record)
	}
	c.post(func() {
		now := c.env.Now()
		switch {
		case err == nil:
			c.noteStoreContact(now)
			c.logLeaderKey(record, item.Revision, now.Sub(sentAt))
			c.performActions(c.elector.KeyRead(now, sentAt, true, record, item.Revision))
		case errors.Is(err, store.ErrNotFound):
			c.noteStoreContact(now)
			c.performActions(c.elector.KeyRead(now, sentAt, false, record, item.Revision))
		default:
			c.elector.ReadFailed(now)
		}
		c.registry.RejectTokensBelow(c.elector.MinToken())
		c.followElection(now)
	})
}

// logLeaderKey logs who holds the leader key and under which token, whenever a read shows another token than before.
func (c *Controller) logLeaderKey(record leadership.LeaderRecord, token uint64, age time.Duration) {
	if token == c.leaderKeyToken {
		return
	}
	c.log.Info("leader key read", "leader", record.Member, "boot", record.Boot, "token", token, "before", c.leaderKeyToken, "age", age)
	c.leaderKeyToken = token
}

func (c *Controller) grantKeyLease(ctx context.Context) {
	lease, err := c.store.GrantLease(ctx, c.timing.KeyLease)
	c.post(func() {
		if err != nil {
			c.elector.LeaseFailed(c.env.Now())
			return
		}
		c.performActions(c.elector.LeaseGranted(c.env.Now(), lease))
	})
}

func (c *Controller) writeLeaderKey(ctx context.Context, sentAt time.Time, action leadership.Action) {
	write := store.Put(leadership.Key, action.Record)
	write.Lease = action.Lease
	result, err := c.store.Commit(ctx, store.Txn{
		Preconditions: []store.Precondition{{Key: leadership.Key, Revision: action.Revision}},
		Writes:        []store.Write{write},
	})
	c.post(func() {
		now := c.env.Now()
		c.elector.KeyWritten(now, sentAt, err == nil, result.Succeeded(), result.Revision)
		c.followElection(now)
	})
}
