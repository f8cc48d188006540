package controller

import (
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/marlwood/marlwood/internal/placement"
	"github.com/marlwood/marlwood/internal/store"
)

// whenDrainsKnown calls do once it is certain which drains are stored: immediately, or after settleDrains if the
// outcome of a change is unknown. If settleDrains fails, the operator's request is refused.
//
// Guard: without this, an undrain request was answered from the drains that were read before the change of unknown
// outcome. The operator received the answer that a zone was not drained, although the change had been executed, and
// the zone stayed drained for good (TestUndrainAfterALostAnswer).
func (t *leaderTerm) whenDrainsKnown(reply operatorReply, do func()) {
	if !t.drains.unsettled {
		do()
		return
	}
	t.settleDrains(func(err error) {
		if err != nil {
			reply(nil, err)
			return
		}
		do()
	})
}

// settleDrains resolves the changes of drains whose outcome is unknown: it commits a change of the fence only, so that
// such a change fails if it is not executed yet, and then lists the stored drains. It calls done on the loop, with the
// error that an operator sees.
func (t *leaderTerm) settleDrains(done func(error)) {
	settle := func() {
		t.commitFenceOnly(func(revision uint64, err error) {
			t.drains.history.forget(revision)
			done(err)
		})
	}
	if !t.drains.fence.run(settle) {
		done(tooManyDrainChanges())
	}
}

// confirmNotDrained makes the answer that a target is not drained a change like others, as the change that the fence
// runs. It calls done on the loop with the revision of the answer.
//
// Guard: an earlier drain of the target may be held on its way. Its sender, who was told that the target is not drained,
// does not expect it any more (TestSeed51507100300).
func (t *leaderTerm) confirmNotDrained(key string, done func(revision uint64, err error)) {
	t.commitFenceOnly(func(revision uint64, err error) {
		if _, drained := t.drains.records[key]; err == nil && drained {
			err = status.Error(codes.Aborted, "drains have been changed just now: look at marlwood drains")
		}
		if err == nil {
			t.drains.history.changed(key, revision)
		}
		done(revision, err)
	})
}

// commitFenceOnly commits a change of the fence only, as the change that the fence runs, and lists the stored drains. It
// calls done on the loop, with the revision of the change, if it is known, and with the error that an operator sees.
func (t *leaderTerm) commitFenceOnly(done func(revision uint64, err error)) {
	txn := t.drains.fence.guard(t.newTxn())
	t.ctrl.env.Go(func() {
		revision, err := t.commitFence(txn)
		var items []store.Item
		if err == nil {
			items, _, err = t.ctrl.store.List(t.ctx, placement.OpsPrefix)
		}
		t.ctrl.post(func() {
			defer t.drains.fence.finish(revision, revision != 0)
			if err == nil {
				err = t.ctx.Err()
			}
			if err != nil {
				done(revision, status.Errorf(codes.Unavailable, "a change of drains got no answer, and the state service does not tell now what became of it: %v", err))
				return
			}
			t.drains.unsettled = false
			t.replaceOperatorRecords(items)
			done(revision, nil)
		})
	})
}

// commitFence commits a transaction that only writes the fence, on condition of the fence's present revision, which it
// reads first. It returns the new revision, or 0 if that is unknown. It runs outside the loop.
func (t *leaderTerm) commitFence(txn store.Txn) (revision uint64, err error) {
	known, err := t.readFence(drainsFence)
	if err != nil {
		return 0, err
	}
	txn.Preconditions[len(txn.Preconditions)-1].Revision = known
	result, err := t.commit(txn)
	if err == nil && !result.Succeeded() {
		err = status.Error(codes.Aborted, "drains have been changed just now")
	}
	if err != nil {
		return 0, err
	}
	return result.Revision, nil
}
