package store

import (
	"cmp"
	"encoding/json"
	"errors"
	"slices"
)

// The errors that a call can return. They are wrapped together with their cause, so callers distinguish them with
// errors.Is.
var (
	// ErrNotFound reports that the key was absent at the revision that Get returns.
	ErrNotFound = errors.New("store: no such key")
	// ErrRefused reports that the request was certainly not executed: the store answered 429 or 503, or
	// the request was never sent.
	ErrRefused = errors.New("store: refused, not executed")
	// ErrUnknown reports that the request may already have been executed, may be executed later, or may never be:
	// only a read can show which.
	ErrUnknown = errors.New("store: no answer, may be executed")
	// ErrCompacted reports that the store no longer has the changes after the requested revision: the
	// prefix must be listed again.
	ErrCompacted = errors.New("store: revision too old")
	// ErrLeaseNotFound reports that the lease has expired or never existed.
	ErrLeaseNotFound = errors.New("store: no such hold")
	// ErrTooLarge reports that a value or transaction exceeds the store's limits. Retrying it unchanged
	// is pointless.
	ErrTooLarge = errors.New("store: above the limits on values or transactions")
)

// Item is one key with its value.
type Item struct {
	Key      string          `json:"k"`
	Value    json.RawMessage `json:"value"`
	Revision uint64          `json:"stamp"`
}

// Precondition is one condition of a transaction: the key must have this revision. Revision 0 requires
// that the key is absent.
type Precondition struct {
	Key      string `json:"k"`
	Revision uint64 `json:"stamp"`
}

// Write is one change of a transaction: it either sets a key, optionally attached to a lease, or deletes
// one.
type Write struct {
	Set    string          `json:"set,omitempty"`
	Value  json.RawMessage `json:"value,omitempty"`
	Lease  uint64          `json:"permit,omitempty"`
	Delete string          `json:"delete,omitempty"`
}

// Put returns the change that sets a key. It panics on a value that cannot be encoded, which is a
// programming error: values are plain structs.
func Put(key string, value any) Write {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic("store: value of " + key + ": " + err.Error())
	}
	return Write{Set: key, Value: encoded}
}

// Delete returns the change that removes a key.
func Delete(key string) Write { return Write{Delete: key} }

// Txn is an atomic compare-and-swap transaction: all writes are executed if all preconditions hold, else
// none.
type Txn struct {
	Preconditions []Precondition `json:"guards"`
	Writes        []Write        `json:"writes"`
	// LeaderBudget charges the writes to the leader's budget instead of the users'.
	LeaderBudget bool `json:"-"`
	// LowPriority refuses the transaction unless its budget has capacity at once, so that it never
	// delays any other.
	LowPriority bool `json:"-"`
}

// TxnResult is the result of a transaction that the store decided on.
type TxnResult struct {
	Revision uint64   `json:"ledgerRev"`
	Failed   []string `json:"failed"` // keys whose preconditions did not hold
}

// Succeeded reports whether the preconditions held, so that the writes were executed.
func (r TxnResult) Succeeded() bool { return len(r.Failed) == 0 }

// Event is one change that a watch returned.
type Event struct {
	Set      string          `json:"set"`
	Delete   string          `json:"delete"`
	Value    json.RawMessage `json:"value"`
	Revision uint64          `json:"stamp"`
}

// SortByRevision sorts changes into the order in which they were made. Among the changes of one
// transaction deletions come first, so that a record that moves between keys is removed before it is
// added.
func SortByRevision(events []Event) {
	slices.SortStableFunc(events, func(x, y Event) int {
		return cmp.Or(cmp.Compare(x.Revision, y.Revision), cmp.Compare(y.Delete, x.Delete))
	})
}
