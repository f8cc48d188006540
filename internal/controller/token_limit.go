package controller

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/marlwood/marlwood/internal/leadership"
	"github.com/marlwood/marlwood/internal/store"
)

const (
	// tokenLimitKey is the key that the leader writes to raise its token limit when it has nothing else to write.
	tokenLimitKey = "token-limit"
	// tokenLimitInterval is the minimum time between two such writes.
	tokenLimitInterval = time.Second
)

// tokenLimitRecord is the value of tokenLimitKey. Nobody reads it: only the write's revision matters.
type tokenLimitRecord struct {
	Leader string `json:"leader"`
	Token  uint64 `json:"token"`
}

// tokenLimit is the highest fencing token that the owners may use in this term. Tokens are revisions at which the leader
// key was written. A transaction that succeeded under the precondition that the key still had this term's revision
// shows that every later token is higher than the transaction's revision.
type tokenLimit struct {
	highest   atomic.Uint64
	writing   bool
	writtenAt time.Time
}

// raise raises the limit. It is safe for concurrent use.
func (l *tokenLimit) raise(revision uint64) {
	for {
		highest := l.highest.Load()
		if revision <= highest || l.highest.CompareAndSwap(highest, revision) {
			return
		}
	}
}

// observe raises the limit to the revision of a transaction that succeeded, if the leader key was a precondition.
func (l *tokenLimit) observe(txn store.Txn, revision uint64) {
	guarded := slices.ContainsFunc(txn.Preconditions, func(condition store.Precondition) bool {
		return condition.Key == leadership.Key && condition.Revision != 0
	})
	if guarded {
		l.raise(revision)
	}
}

// limitWanted returns the highest token limit that an owner needs.
func (t *leaderTerm) limitWanted() (wanted uint64) {
	for _, peer := range t.ctrl.peers {
		wanted = max(wanted, peer.limitWanted)
	}
	return wanted
}

// raiseTokenLimit writes a record if an owner needs a higher token limit and no other write has raised it.
func (t *leaderTerm) raiseTokenLimit(now time.Time) {
	if t.limit.writing || t.limitWanted() <= t.limit.highest.Load() || now.Sub(t.limit.writtenAt) < tokenLimitInterval {
		return
	}
	t.limit.writing, t.limit.writtenAt = true, now
	txn := t.newTxn(store.Put(tokenLimitKey, tokenLimitRecord{Leader: t.ctrl.cfg.Member, Token: t.token}))
	txn.LowPriority = true
	t.ctrl.env.Go(func() {
		_, err := t.commit(txn)
		t.ctrl.post(func() {
			t.limit.writing = false
			if err == nil && t.ctx.Err() == nil {
				t.startRoundSoon()
			}
		})
	})
}
