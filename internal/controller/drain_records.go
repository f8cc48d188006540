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

// drainRecords is a leader's copy of the stored drains, with the state of their changes. It is only used on the loop.
type drainRecords struct {
	records      map[string]store.Item // last known stored records, by key
	fence        fence                 // orders the changes of drains
	pending      []pendingDrain        // recorded drains whose requests are not answered yet
	nextSweep    time.Time             // when removeStaleDrains runs next
	unknownSince map[string]time.Time  // by key of the drain: since when its node is unknown
	// unsettled is set while the outcome of a change is unknown. The stored drains may then differ from records,
	// now or later.
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

// replace sets the records to those listed, and reports whether that changed anything.
func (d *drainRecords) replace(listed map[string]store.Item) (changed bool) {
	sameRevision := func(x, y store.Item) bool { return x.Revision == y.Revision }
	if maps.EqualFunc(d.records, listed, sameRevision) {
		return false
	}
	d.records = listed
	return true
}

// nodeUnknown records that the node of a drain is not known. It reports whether the node has been unknown for
// so long that the drain is to be removed, at most once per unknownNodeWait.
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

// recordDrain commits txn, whose first write sets or deletes a drain's record. It calls done on the loop with
// the stored record, or with the error that the operator sees.
//
// Guard: a transaction without an answer may be executed, at once or much later. The key is read back, and all
// records are listed again for some time, because every stored drain must be in force.
func (t *leaderTerm) recordDrain(txn store.Txn, done func(store.Item, error)) {
	if !t.drains.fence.run(func() { t.writeDrain(txn, done) }) {
		done(store.Item{}, tooManyDrainChanges())
	}
}

// tooManyDrainChanges returns the error for a change of drains that is refused because the queue is full.
func tooManyDrainChanges() error {
	return status.Errorf(codes.ResourceExhausted, "%d changes of drains are under way: try again", maxQueuedChanges)
}

// writeDrain does the work of recordDrain once the fence runs it as the next change.
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

// drainWritten handles the result of writing or deleting a drain's record, on the loop.
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

// drainWriteError returns the error that an operator receives for a write; nil if the write was made.
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

// removeDrain deletes a drain's record, and calls done on the loop.
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

// publishDrains passes the recorded drains to the scheduler.
func (t *leaderTerm) publishDrains() {
	items := t.drains.sorted()
	t.scheduler.SetDrains(t.ctrl.env.Now(), items)
}

// How long a node must be unknown before its drain's record is removed, and how often that is checked.
const (
	unknownNodeWait = time.Minute
	sweepInterval   = 10 * time.Second
)

// removeStaleDrains removes the drains of nodes that no longer exist. The names of nodes are never reused, so such
// a drain has no use.
//
// Guard: a new leader may not have received a heartbeat from the node yet. Only nodes that stay unknown for
// unknownNodeWait after the takeover is complete count as gone.
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
			t.ctrl.log.Info("drained node no longer exists; removing its drain", "node", node)
			t.removeDrain(recorded, func(error) {})
		}
	}
}
