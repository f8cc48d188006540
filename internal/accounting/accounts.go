package accounting

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Item is a stored value with its key and revision.
type Item struct {
	Key      string
	Value    json.RawMessage
	Revision uint64
}

// Change is one write of a transaction: the key must have the revision (0: it must be absent), and is set
// to Value, or deleted if Value is nil.
type Change struct {
	Key      string
	Revision uint64
	Value    json.RawMessage
}

// Phase is the state of the exchange with the store.
type Phase int

// The phases of Accounts.
const (
	Loading Phase = iota // everything stored must be read and passed to Load
	Idle                 // Next may begin a transaction
	Writing              // a transaction is under way
)

// Accounts are all stored usage and the ledger of the present term. The term's records are named by the
// fencing token that it began with; renewing the token changes nothing.
type Accounts struct {
	Own          *Ledger // usage of the present term
	token        uint64
	phase        Phase
	stored       map[string]Item // by key, as last known
	total        map[int][]Row   // by part
	earlierTerms map[uint64]bool // by token: not merged into the total yet
	loaded       bool            // what is stored has been read once
	inFlight     transaction
}

// transaction is the changes under way and what they contain.
type transaction struct {
	changes map[string]Change // by key
	rows    map[string][]Row  // by key
	parts   []int             // of the present term's rows
}

// writeLimits bound a transaction.
type writeLimits struct {
	maxOps        int
	maxValueBytes int
}

// NewAccounts returns the accounts of a term. What is stored must be loaded first.
func NewAccounts(token uint64, own *Ledger) *Accounts {
	return &Accounts{
		Own:          own,
		token:        token,
		stored:       map[string]Item{},
		total:        map[int][]Row{},
		earlierTerms: map[uint64]bool{},
	}
}

// setPhase is the only place where the phase changes.
func (a *Accounts) setPhase(phase Phase) { a.phase = phase }

// Phase returns the present phase.
func (a *Accounts) Phase() Phase { return a.phase }

// HasBacklog reports whether there was more to write than the last transaction had capacity for.
func (a *Accounts) HasBacklog() bool {
	return len(a.earlierTerms) > 0 || len(a.inFlight.parts) > 0 && len(a.Own.dirtyParts) > 0
}

// Load replaces what is known of the store by everything that is stored under Prefix. No transaction may
// be under way. On an error nothing changes.
func (a *Accounts) Load(items []Item) error {
	stored, total, earlierTerms := map[string]Item{}, map[int][]Row{}, map[uint64]bool{}
	for _, item := range items {
		token, part, err := parseKey(item.Key)
		if err != nil {
			return err
		}
		rows, err := Decode(item.Value)
		if err != nil {
			return fmt.Errorf("%s: %w", item.Key, err)
		}
		stored[item.Key] = item
		switch {
		case token == 0:
			total[part] = rows
		case token != a.token:
			earlierTerms[token] = true
		}
	}
	a.stored, a.total, a.earlierTerms, a.loaded = stored, total, earlierTerms, true
	a.setPhase(Idle)
	return nil
}

// Next begins the transaction that is due, if any, and returns its changes, at most maxOps: the merge of an
// earlier term, or else the changed parts of the present one. Values above maxValueBytes are left out and
// reported by an error, which doesn't keep the others from being written: an earlier term that cannot be
// merged counts in Rows all the same.
func (a *Accounts) Next(maxOps, maxValueBytes int) ([]Change, error) {
	if a.phase != Idle {
		return nil, nil
	}
	a.inFlight = transaction{changes: map[string]Change{}, rows: map[string][]Row{}}
	limits := writeLimits{maxOps: maxOps, maxValueBytes: maxValueBytes}
	err := a.mergeEarlierTerm(limits)
	if len(a.inFlight.changes) == 0 {
		err = errors.Join(err, a.writeOwnParts(limits))
	}
	if len(a.inFlight.changes) == 0 {
		return nil, err
	}
	a.setPhase(Writing)
	changes := slices.SortedFunc(maps.Values(a.inFlight.changes), func(x, y Change) int {
		return strings.Compare(x.Key, y.Key)
	})
	return changes, err
}

// mergeEarlierTerm adds the merge of one earlier term to the transaction. Two terms would change the same
// total.
func (a *Accounts) mergeEarlierTerm(limits writeLimits) (failed error) {
	for token := range a.earlierTerms {
		for part := range partCount {
			failed = errors.Join(failed, a.mergePart(token, part, limits))
		}
		if len(a.inFlight.changes) > 0 {
			return failed
		}
		delete(a.earlierTerms, token)
	}
	return failed
}

// mergePart adds the merge of one part of an earlier term, if there is such a part and capacity for the two
// changes that it takes.
func (a *Accounts) mergePart(token uint64, part int, limits writeLimits) error {
	item, ok := a.stored[rowKey(token, part)]
	if !ok || len(a.inFlight.changes)+2 > limits.maxOps {
		return nil
	}
	rows, err := Decode(item.Value)
	if err != nil {
		return err
	}
	if err := a.put(totalKey(part), mergeRows(a.total[part], rows), limits); err != nil {
		return err
	}
	a.inFlight.changes[item.Key] = Change{Key: item.Key, Revision: item.Revision}
	return nil
}

// writeOwnParts adds the changed parts of the present term to the transaction, as far as it has capacity.
func (a *Accounts) writeOwnParts(limits writeLimits) (failed error) {
	for part := range a.Own.dirtyParts {
		if len(a.inFlight.parts) == limits.maxOps {
			break
		}
		delete(a.Own.dirtyParts, part)
		rows := a.Own.sortedRows(func(account Account) bool { return partOf(account) == part })
		if err := a.put(rowKey(a.token, part), rows, limits); err != nil {
			failed = errors.Join(failed, err)
			continue
		}
		a.inFlight.parts = append(a.inFlight.parts, part)
	}
	return failed
}

// put adds a change that sets a key to rows.
func (a *Accounts) put(key string, rows []Row, limits writeLimits) error {
	value, err := Encode(rows)
	if err != nil {
		return err
	}
	if len(value) > limits.maxValueBytes {
		return fmt.Errorf("%s: %d rows take %d bytes, more than the state service holds", key, len(rows), len(value))
	}
	a.inFlight.changes[key] = Change{Key: key, Revision: a.stored[key].Revision, Value: value}
	a.inFlight.rows[key] = rows
	return nil
}

// TxnCommitted reports that the transaction was executed, at a revision.
func (a *Accounts) TxnCommitted(revision uint64) {
	for key, change := range a.inFlight.changes {
		if change.Value == nil {
			delete(a.stored, key)
			continue
		}
		a.stored[key] = Item{Key: key, Value: change.Value, Revision: revision}
		if token, part, err := parseKey(key); err == nil && token == 0 {
			a.total[part] = a.inFlight.rows[key]
		}
	}
	a.inFlight.changes = nil // its parts are kept for HasBacklog
	a.setPhase(Idle)
}

// TxnFailed reports that the transaction was refused or that its outcome is unknown: it may be executed
// late. Everything is read again before the next one. A late execution then either was read, or fails
// because of the revisions that it expects.
func (a *Accounts) TxnFailed() {
	for _, part := range a.inFlight.parts {
		a.Own.dirtyParts[part] = true
	}
	a.inFlight = transaction{}
	a.setPhase(Loading)
}

// Rows returns all known usage: the total, the earlier terms that are not merged yet, and the present term
// as of now.
func (a *Accounts) Rows() []Row {
	merged := mergeRows(a.Own.sortedRows(all), a.totalRows())
	return a.addStored(merged, func(token uint64) bool { return token != a.token })
}

// StoredRows returns all usage that is certainly stored: the total, the earlier terms that are not merged yet, and the
// present term as last written. known is false until what is stored has been read.
//
// Guard: the rows of the present term as of now may be lost with this process, and what the earlier terms stored is
// missing until it was read. Told to users, either went back with the next leader (simtest, TestUsageNeverGoesBack).
func (a *Accounts) StoredRows() (rows []Row, known bool) {
	if !a.loaded {
		return nil, false
	}
	return a.addStored(a.totalRows(), func(uint64) bool { return true }), true
}

// totalRows returns the rows of the total.
func (a *Accounts) totalRows() (merged []Row) {
	for _, rows := range a.total {
		merged = mergeRows(merged, rows)
	}
	return merged
}

// addStored adds the stored rows of the terms that a condition holds for.
func (a *Accounts) addStored(merged []Row, ofTerm func(token uint64) bool) []Row {
	for key, item := range a.stored {
		token, _, err := parseKey(key)
		if err != nil || token == 0 || !ofTerm(token) {
			continue
		}
		if rows, err := Decode(item.Value); err == nil {
			merged = mergeRows(merged, rows)
		}
	}
	return merged
}
