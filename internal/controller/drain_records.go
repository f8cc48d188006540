package controller

import (
	"errors"
	"maps"
	"slices"
	"strings"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/marlwood/marlwood/internal/leadership"
	"github.com/marlwood/marlwood/internal/placement"
	"github.com/marlwood/marlwood/internal/store"
)

// drainRecords is what a leader keeps of the stored drains. Only the loop uses it.
type drainRecords struct {
	records      map[string]store.Item // as stored, by key
	fence        fence                 // orders their changes
	pending      []pendingDrain        // requests that wait for their answer
	nextSweep    time.Time             // when drains of nodes that are gone are looked for
	unknownSince map[string]time.Time  // by key: since when the drained node is not known
	// unsettled tells that a change has an unknown outcome: what is stored, now or later, may differ from records.
	unsettled bool
}

func newDrainRecords() drainRecords {
	return drainRecords{
		records:      map[string]store.Item{},
		fence:        fence{key: drainsFence},
		unknownSince: map[string]time.Time{},
	}
}

// sorted returns the records in the order of their keys.
func (d *drainRecords) sorted() []store.Item {
	items := make([]store.Item, 0, len(d.records))
	for _, item := range d.records {
		items = append(items, item)
	}
	slices.SortFunc(items, func(x, y store.Item) int { return strings.Compare(x.Key, y.Key) })
	return items
}

// replace makes listed the records, and reports whether that changed anything.
func (d *drainRecords) replace(listed map[string]store.Item) (changed bool) {
	sameRevision := func(x, y store.Item) bool { return x.Revision == y.Revision }
	if maps.EqualFunc(d.records, listed, sameRevision) {
		return false
	}
	d.records = listed
	return true
}

// nodeUnknown records that the node of a drain is not known, and reports whether that has lasted so long
// that the drain is to be removed. It says so once in unknownNodeWait.
func (d *drainRecords) nodeUnknown(key string, now time.Time) (remove bool) {
	since, seen := d.unknownSince[key]
	if !seen {
		d.unknownSince[key] = now
		return false
	}
	if now.Sub(since) < unknownNodeWait {
		return false
	}
	d.unknownSince[key] = now
	return true
}

// recordDrain writes a drain's record or removes it, as the first write of txn says, and tells what
// became of it on the loop: the stored record, or the error that the operator sees.
//
// Guard: a transaction without an answer may be executed, at once or much later. The key is read back,
// and all records are read again for a while: what is stored must be in force.
func (t *leaderTerm) recordDrain(txn store.Txn, done func(store.Item, error)) {
	if !t.drains.fence.run(func() { t.writeDrain(txn, done) }) {
		done(store.Item{}, tooManyDrainChanges())
	}
}

// tooManyDrainChanges refuses a change of drains for which there is no room in the queue.
func tooManyDrainChanges() error {
	return status.Errorf(codes.ResourceExhausted, "%d changes of drains are under way: try again", maxQueuedChanges)
}

// writeDrain executes recordDrain when it is its turn.
func (t *leaderTerm) writeDrain(txn store.Txn, done func(store.Item, error)) {
	readFirst := t.drains.fence.state == fenceUnknown
	txn = t.drains.fence.guard(txn)
	t.ctrl.env.Go(func() {
		if readFirst {
			revision, err := t.readFence(drainsFence)
			if err != nil {
				t.ctrl.post(func() {
					t.drains.fence.finish(0, false)
					done(store.Item{}, status.Error(codes.Unavailable, "nothing was recorded: the state service does not answer"))
				})
				return
			}
			txn.Preconditions[len(txn.Preconditions)-1].Revision = revision
		}
		result, err := t.commit(txn)
		write := t.resolveWrite(txn.Writes[0], result, err)
		revision, known := write.record.Revision, write.outcome == writeCommitted
		if !known {
			revision, err = t.readFence(drainsFence)
			known = err == nil
		}
		t.ctrl.post(func() {
			defer t.drains.fence.finish(revision, known)
			t.drainWritten(write, done)
		})
	})
}

// drainWritten takes the result of writing or removing a drain's record, on the loop.
func (t *leaderTerm) drainWritten(write recordWrite, done func(store.Item, error)) {
	err := t.drainWriteError(write)
	if t.ctx.Err() != nil && err == nil {
		err = status.Error(codes.Unknown, "recorded, but the leader has changed since: the next one goes on with it")
	}
	if recordsOutdated(write) {
		t.drains.unsettled = true
		t.operatorRelist.extend(t.ctrl.env.Now())
	}
	done(write.record, err)
}

// recordsOutdated reports whether the stored drains may differ, now or later, from those that this leader
// knows.
func recordsOutdated(write recordWrite) bool {
	switch write.outcome {
	case writeConfirmed, writeUnknown:
		return true
	case writeConflict:
		return !leadershipConflict(write)
	}
	return false
}

// leadershipConflict reports whether a write failed because another controller is the leader.
func leadershipConflict(write recordWrite) bool { return slices.Contains(write.failed, leadership.Key) }

// drainWriteError is what an operator is told of a write; nil: it was made.
func (t *leaderTerm) drainWriteError(write recordWrite) error {
	switch {
	case write.outcome == writeCommitted, write.outcome == writeConfirmed:
		return nil
	case write.outcome == writeUnknown:
		return status.Error(codes.Unknown, "the state service gave no answer, so the change may or may not have been made: look at marlwood drains")
	case leadershipConflict(write):
		return status.Errorf(codes.Unavailable, "%s leads no more; nothing was recorded", t.ctrl.cfg.Member)
	case write.outcome == writeConflict:
		return status.Error(codes.Aborted, "drains have been changed just now: look at marlwood drains")
	case errors.Is(write.err, store.ErrRefused), errors.Is(write.err, store.ErrTooLarge):
		return status.Errorf(codes.Unavailable, "nothing was recorded: %v", write.err)
	}
	return write.err
}

// removeDrain removes a drain's record, and calls done on the loop.
func (t *leaderTerm) removeDrain(recorded store.Item, done func(error)) {
	txn := t.newTxn(store.Delete(recorded.Key))
	txn.Preconditions = append(txn.Preconditions, store.Precondition{Key: recorded.Key, Revision: recorded.Revision})
	t.recordDrain(txn, func(_ store.Item, err error) {
		if err == nil {
			delete(t.drains.records, recorded.Key)
			t.publishDrains()
			t.startRoundSoon()
		}
		done(err)
	})
}

// publishDrains gives the scheduler the drains that are recorded.
func (t *leaderTerm) publishDrains() {
	items := t.drains.sorted()
	t.scheduler.SetDrains(t.ctrl.env.Now(), items)
}

// How long a node must be unknown before its drain's record is removed, and how often that is checked.
const (
	unknownNodeWait = time.Minute
	sweepInterval   = 10 * time.Second
)

// removeStaleDrains removes the records of drains whose node is gone: names are never used again.
//
// Guard: a new leader may not have had a heartbeat of the node yet.
func (t *leaderTerm) removeStaleDrains(now time.Time) {
	if now.Before(t.drains.nextSweep) || !t.scheduler.Complete() || len(t.drains.records) == 0 {
		return
	}
	t.drains.nextSweep = now.Add(sweepInterval)
	for key, recorded := range t.drains.records {
		node, ok := strings.CutPrefix(key, placement.DrainPrefix+string(placement.NodeScope)+"/")
		if !ok || t.scheduler.Machines().At(node) != nil {
			delete(t.drains.unknownSince, key)
			continue
		}
		if t.drains.nodeUnknown(key, now) {
			t.ctrl.log.Info("drained node is gone, its drain ends", "node", node)
			t.removeDrain(recorded, func(error) {})
		}
	}
}
