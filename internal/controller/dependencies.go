package controller

import (
	"encoding/json"
	"errors"
	"time"

	"github.com/marlwood/marlwood/internal/dag"
	"github.com/marlwood/marlwood/internal/placement"
	"github.com/marlwood/marlwood/internal/store"
)

// dependencyCheckInterval is how often the outcomes of jobs that others depend on are checked. A change of
// any job triggers a check at once.
const dependencyCheckInterval = time.Second

// resolveDependencies releases or cancels jobs whose dependencies have ended. The scheduler also raises
// the priority of jobs that others wait for.
func (t *leaderTerm) resolveDependencies(now time.Time) {
	check := !now.Before(t.nextDependencyCheck)
	if check {
		t.nextDependencyCheck = now.Add(dependencyCheckInterval)
	}
	for _, action := range t.scheduler.ResolveDependencies(now, check) {
		if action.Op == dag.CheckOutcome {
			t.ctrl.env.Go(func() { t.checkOutcome(action.ID) })
		} else {
			t.ctrl.env.Go(func() { t.moveJob(action) })
		}
	}
}

// checkOutcome reads how a job ended. It runs outside the event loop.
func (t *leaderTerm) checkOutcome(id string) {
	var final placement.FinalJobRecord
	item, err := t.ctrl.store.Get(t.ctx, placement.DonePrefix+id)
	if err == nil {
		err = json.Unmarshal(item.Value, &final)
	}
	t.ctrl.post(func() {
		if t.ctx.Err() == nil {
			t.scheduler.DependencyOutcomeRead(t.ctrl.env.Now(), id, err == nil, final.Stage)
		}
	})
}

// moveJob releases or cancels a waiting job. It runs outside the event loop. The scheduler receives a
// released job through the watch, like every other job.
func (t *leaderTerm) moveJob(action dag.Action) {
	result, err := t.commit(t.moveTxn(action))
	ok := err == nil && result.Succeeded()
	var revision uint64
	gone := false
	if !ok && (err == nil || errors.Is(err, store.ErrUnknown)) { // only a read shows whether the job still waits
		item, readErr := t.ctrl.store.Get(t.ctx, placement.WaitPrefix+action.ID)
		gone = errors.Is(readErr, store.ErrNotFound)
		revision = item.Revision
	}
	t.ctrl.post(func() {
		if t.ctx.Err() != nil {
			return
		}
		t.scheduler.DependencyActionDone(t.ctrl.env.Now(), action, ok, revision, gone)
		if gone {
			t.nextDependencyCheck = time.Time{}
		}
	})
}

// moveTxn returns the transaction that moves a waiting job to the open jobs or to the ended jobs.
func (t *leaderTerm) moveTxn(action dag.Action) store.Txn {
	txn := t.newTxn(store.Delete(placement.WaitPrefix + action.ID))
	txn.Preconditions = append(txn.Preconditions, store.Precondition{Key: placement.WaitPrefix + action.ID, Revision: action.Revision})
	if action.Op == dag.Release {
		txn.Writes = append(txn.Writes, store.Put(placement.JobPrefix+action.ID, action.Record))
	} else {
		txn.Writes = append(txn.Writes, store.Put(placement.DonePrefix+action.ID, action.Final))
	}
	return txn
}
