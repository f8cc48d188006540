package controller

import (
	"cmp"
	"errors"
	"maps"
	"slices"
	"strings"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/marlwood/marlwood/internal/leadership"
	"github.com/marlwood/marlwood/internal/operators/operatorspb"
	"github.com/marlwood/marlwood/internal/placement"
	"github.com/marlwood/marlwood/internal/store"
)

// drainRecords is a leader's copy of the stored drains, with the state of their changes. It is only used on the loop.
type drainRecords struct {
	records      map[string]store.Item // last known stored records, by key
	fence        fence                 // orders the changes of drains
	history      changeHistory         // by key of the drain
	pending      []pendingDrain        // recorded drains whose requests are not answered yet
	announcing   []announcedReply      // replies that wait until the other controllers know of a change
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

// changeDrains decides on a request when all changes before it are done and it is certain which drains are stored.
// decide replies, or writes a change with writeDrain or confirmNotDrained, and reports whether it writes.
//
// Guard: a change before it may be the one that overtakes the request. When the request was compared with the records
// on its arrival, a drain that waited for its own undrain to be written drained again after that was answered.
func (t *leaderTerm) changeDrains(reply operatorReply, decide func() (writes bool)) {
	turn := func() {
		if t.drains.unsettled {
			t.whenDrainsKnown(reply, func() { t.changeDrains(reply, decide) })
			return
		}
		if !decide() {
			t.drains.fence.next()
		}
	}
	if !t.drains.fence.run(turn) {
		reply(nil, tooManyDrainChanges())
	}
}

// tooManyDrainChanges returns the error for a change of drains that is refused because the queue is full.
func tooManyDrainChanges() error {
	return status.Errorf(codes.ResourceExhausted, "%d changes of drains are under way: try again", maxQueuedChanges)
}

// writeDrain commits txn, whose first write sets or deletes a drain's record, as the change that the fence runs. It calls
// done on the loop with the stored record, or with the error that the operator sees.
//
// Guard: a transaction without an answer may be executed, at once or much later. The key is read back, and all
// records are listed again for some time, because every stored drain must be in force.
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
			if write.outcome == writeCommitted {
				t.drains.history.changed(cmp.Or(txn.Writes[0].Set, txn.Writes[0].Delete), revision)
			} else {
				t.drains.history.forget(revision)
			}
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

// removeDrain deletes a drain's record, as the change that the fence runs, and calls done on the loop with the revision
// of the change.
func (t *leaderTerm) removeDrain(recorded store.Item, done func(uint64, error)) {
	txn := t.newTxn(store.Delete(recorded.Key))
	txn.Preconditions = append(txn.Preconditions, store.Precondition{Key: recorded.Key, Revision: recorded.Revision})
	t.writeDrain(txn, func(item store.Item, err error) {
		if err == nil {
			delete(t.drains.records, recorded.Key)
			t.publishDrains()
			t.startRoundSoon()
		}
		done(item.Revision, err)
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
			t.removeStaleDrain(recorded)
		}
	}
}

// removeStaleDrain removes a drain unless it was changed in the meantime.
func (t *leaderTerm) removeStaleDrain(stale store.Item) {
	t.changeDrains(func(*operatorspb.Reply, error) {}, func() (writes bool) {
		recorded, ok := t.drains.records[stale.Key]
		if !ok || recorded.Revision != stale.Revision {
			return false
		}
		t.removeDrain(recorded, func(uint64, error) {})
		return true
	})
}
