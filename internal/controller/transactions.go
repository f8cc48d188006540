package controller

import (
	"fmt"

	"github.com/marlwood/marlwood/internal/leadership"
	"github.com/marlwood/marlwood/internal/store"
)

// maxTxnBytes bounds the total size of the values in a transaction that writes several of them.
const maxTxnBytes = 48 << 10

// newTxn returns a transaction with the precondition that every write of the leader carries: the revision of
// the leader key still equals the term's fencing token.
func (t *leaderTerm) newTxn(writes ...store.Write) store.Txn {
	return store.Txn{
		Preconditions: []store.Precondition{{Key: leadership.Key, Revision: t.token}},
		Writes:        writes,
		LeaderBudget:  true,
	}
}

// commit runs a transaction of the leader if this controller still holds the leader lease. It runs outside the loop.
func (t *leaderTerm) commit(txn store.Txn) (store.TxnResult, error) {
	if !t.ctrl.holdsLease() {
		return store.TxnResult{}, fmt.Errorf("%w: %w", store.ErrRefused, errLeaseExpired)
	}
	result, err := t.ctrl.store.Commit(t.ctx, txn)
	if err == nil && result.Succeeded() {
		t.limit.observe(txn, result.Revision)
	}
	return result, err
}
