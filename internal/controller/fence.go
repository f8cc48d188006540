package controller

import (
	"errors"

	"github.com/marlwood/marlwood/internal/placement"
	"github.com/marlwood/marlwood/internal/store"
)

// fence orders the changes of a kind of records: each change writes the fence's own key, on condition of
// the revision that the change before gave it. So a transaction that is executed late, after a newer
// change, fails, whatever keys it names.
//
// Guard: a record's own revision does not void a late transaction that creates it. A drain went
// unanswered, was repeated, stored, and removed; executed then, the first one had the machine drained
// again, after an operator was told that it was not (TestLateDrainIsVoid).
//
// A version that doesn't know the fence neither reads nor changes it; its own changes are as safe as
// they were. Late ones of an earlier leader fail by their fencing token. It is not safe for concurrent use.
type fence struct {
	key      string
	state    fenceState
	revision uint64 // of the key as last known; 0: it doesn't exist
	queue    []func()
}

// fenceState reports whether the next change may be sent.
type fenceState int

// The states of a fence.
const (
	fenceIdle     fenceState = iota // the revision is known
	fenceChanging                   // a change is under way
	fenceUnknown                    // the outcome of one is unknown: the revision is read before the next
)

func (f *fence) setState(s fenceState) { f.state = s }

// maxQueuedChanges bounds how many changes wait for their turn.
const maxQueuedChanges = 64

// run executes a change when it is its turn; false: too many wait.
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

// guard adds the fence to a change that is about to be sent, whose turn it is.
func (f *fence) guard(txn store.Txn) store.Txn {
	f.setState(fenceChanging)
	txn.Preconditions = append(txn.Preconditions, store.Precondition{Key: f.key, Revision: f.revision})
	txn.Writes = append(txn.Writes, store.Put(f.key, struct{}{}))
	return txn
}

// finish records the revision after a change, if it is known, and runs the next change.
func (f *fence) finish(revision uint64, known bool) {
	f.setState(fenceUnknown)
	if known {
		f.revision = revision
		f.setState(fenceIdle)
	}
	if len(f.queue) > 0 {
		change := f.queue[0]
		f.queue = f.queue[1:]
		change()
	}
}

// drainsFence is the key of the fence of drains.
const drainsFence = placement.OpsPrefix + "drains-fence"

// readFence reads the revision of a fence. It runs outside the loop.
func (t *leaderTerm) readFence(key string) (revision uint64, err error) {
	item, err := t.ctrl.store.Get(t.ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		return 0, nil
	}
	return item.Revision, err
}
