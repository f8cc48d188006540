package controller

import (
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/marlwood/marlwood/internal/placement"
	"github.com/marlwood/marlwood/internal/store"
)

// whenDrainsKnown calls do when it is certain which drains are stored: at once, or after settling the changes whose
// outcome is unknown. If that isn't to be found out now, the operator's request is refused.
//
// Guard: told by what was read before such a change, an operator heard that a zone was not drained; the change had been
// executed, and the zone stayed drained for good (TestUndrainAfterALostAnswer).
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

// settleDrains voids the changes of drains whose outcome is unknown, by a change of the fence alone, and reads which
// drains are stored. It calls done on the loop, with the error that an operator sees.
func (t *leaderTerm) settleDrains(done func(error)) {
	if !t.drains.fence.run(func() { t.runSettling(done) }) {
		done(tooManyDrainChanges())
	}
}

// runSettling executes settleDrains when it is its turn.
func (t *leaderTerm) runSettling(done func(error)) {
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
				done(status.Errorf(codes.Unavailable, "a change of drains got no answer, and the state service does not tell now what became of it: %v", err))
				return
			}
			t.drains.unsettled = false
			t.replaceOperatorRecords(items)
			done(nil)
		})
	})
}

// commitFence commits a transaction that writes nothing but the fence, whatever the fence's revision is by now, and
// returns the next one, 0 if that is unknown. It runs outside the loop.
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
