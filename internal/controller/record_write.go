package controller

import (
	"cmp"
	"encoding/json"
	"errors"
	"reflect"

	"github.com/marlwood/marlwood/internal/store"
)

// writeOutcome is the outcome of a transaction that writes or removes an operator record.
type writeOutcome int

const (
	// writeCommitted means that the transaction was executed.
	writeCommitted writeOutcome = iota
	// writeConfirmed means that the transaction went unanswered, but a later read found its result.
	writeConfirmed
	// writeConflict means that a precondition failed.
	writeConflict
	// writeUnknown means that the transaction went unanswered and a later read failed or did not find its
	// result. The transaction may still be executed.
	writeUnknown
	// writeFailed means that the transaction failed for another reason, usually before it was sent.
	writeFailed
)

// recordWrite is the result of a transaction that writes or removes an operator record.
type recordWrite struct {
	outcome writeOutcome
	record  store.Item // the stored record, if committed or confirmed; it has no value if it was removed
	failed  []string   // for a conflict, the keys whose preconditions failed
	err     error      // for a write that failed or whose outcome is unknown
}

// resolveWrite returns the result of a transaction whose main write is given. If the transaction went
// unanswered, it reads the record back. It runs outside the event loop.
func (t *leaderTerm) resolveWrite(write store.Write, result store.TxnResult, err error) recordWrite {
	record := store.Item{Key: cmp.Or(write.Set, write.Delete), Value: write.Value, Revision: result.Revision}
	switch {
	case errors.Is(err, store.ErrUnknown):
		return t.readBack(record, err)
	case err != nil:
		return recordWrite{outcome: writeFailed, err: err}
	case !result.Succeeded():
		return recordWrite{outcome: writeConflict, failed: result.Failed}
	}
	return recordWrite{outcome: writeCommitted, record: record}
}

// readBack reads a record whose write went unanswered, and compares it with the record that was written.
func (t *leaderTerm) readBack(want store.Item, unanswered error) recordWrite {
	removal := want.Value == nil
	stored, err := t.ctrl.store.Get(t.ctx, want.Key)
	switch {
	case err == nil && !removal && sameJSON(stored.Value, want.Value):
		return recordWrite{outcome: writeConfirmed, record: stored}
	case errors.Is(err, store.ErrNotFound) && removal:
		return recordWrite{outcome: writeConfirmed, record: want}
	}
	return recordWrite{outcome: writeUnknown, err: unanswered}
}

// sameJSON reports whether two JSON texts have the same value.
func sameJSON(x, y []byte) bool {
	var a, b any
	return json.Unmarshal(x, &a) == nil && json.Unmarshal(y, &b) == nil && reflect.DeepEqual(a, b)
}
