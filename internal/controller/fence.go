package controller

import (
	"errors"

	"github.com/marlwood/marlwood/internal/placement"
	"github.com/marlwood/marlwood/internal/store"
)

// fence serializes the changes of one kind of records. Each change also writes the fence's own key, with
// the precondition that the key still has the revision that the previous change gave it. A transaction that
// is executed late, after a newer change, therefore fails, whatever keys it writes.
//
// Guard: a precondition on a record's own revision does not stop a late transaction that creates the record.
// A drain got no answer, was repeated and stored, and the drain was then removed. When the first transaction
// was executed after that, the machine was drained again, although an operator had been told that it was not
// drained (TestLateDrainFails).
//
// A version that does not know the fence neither reads nor writes it; its changes are as safe
// as they were before the fence existed. Late changes of an earlier leader fail because of their fencing token. A fence is not safe
// for concurrent use.
type fence struct {
	key      string
	state    fenceState
	revision uint64 // last known revision of the key; 0 if the key does not exist
	queue    []func()
}

// fenceState determines whether the next change may be sent.
type fenceState int

// The states of a fence.
const (
	fenceIdle     fenceState = iota // the revision is known
	fenceChanging                   // a change is in flight
	fenceUnknown                    // the outcome of a change is unknown: the revision is read before the next change
)

func (f *fence) setState(s fenceState) { f.state = s }

// maxQueuedChanges is the maximum number of changes that wait in a fence's queue.
const maxQueuedChanges = 64

// run executes a change, at once or when the changes before it have finished. It returns false if the queue is full.
func (f *fence) run(change func()) bool {
	switch {
	case f.state != fenceChanging:
		change()
	case len(f.queue) >= maxQueuedChanges:
		return false
	default:
		f.queue = append(f.queue, change)
	}
	return true
}

// guard adds the fence's precondition and write to a change that is about to be sent.
func (f *fence) guard(txn store.Txn) store.Txn {
	f.setState(fenceChanging)
	txn.Preconditions = append(txn.Preconditions, store.Precondition{Key: f.key, Revision: f.revision})
	txn.Writes = append(txn.Writes, store.Put(f.key, struct{}{}))
	return txn
}

// finish records the revision after a change, if it is known, and runs the next queued change.
func (f *fence) finish(revision uint64, known bool) {
	f.setState(fenceUnknown)
	if known {
		f.revision = revision
		f.setState(fenceIdle)
	}
	f.next()
}

// next runs the next queued change. A change that has nothing to write calls it instead of guard.
func (f *fence) next() {
	if len(f.queue) > 0 {
		change := f.queue[0]
		f.queue = f.queue[1:]
		change()
	}
}

// drainsFence is the key of the fence for drain records.
const drainsFence = placement.OpsPrefix + "drains-fence"

// readFence reads the revision of a fence's key; it returns 0 if the key does not exist. It runs outside the loop.
func (t *leaderTerm) readFence(key string) (revision uint64, err error) {
	item, err := t.ctrl.store.Get(t.ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		return 0, nil
	}
	return item.Revision, err
}
