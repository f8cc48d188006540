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

// Change is one write of a transaction: it sets Key to Value, or deletes Key if Value is nil. The stored key
// must have the given Revision; 0 means that it must be absent.
type Change struct {
	Key      string
	Revision uint64
	Value    json.RawMessage
}

// Phase is the state of the Accounts' exchange with the store.
type Phase int

// The phases of Accounts.
const (
	Loading Phase = iota // everything stored must be read and passed to Load
	Idle                 // Next may begin a transaction
	Writing              // a transaction is in flight
)

// Accounts holds all stored usage and the ledger of the current term. The keys of the term's records contain
// the fencing token that the term began with; a renewal of the token does not change them.
type Accounts struct {
	CurrentTerm  *Ledger // usage of the current term
	token        uint64
	phase        Phase
	stored       map[string]Item // by key: the last known stored values
	total        map[int][]Row   // by part: rows of the stored total
	earlierTerms map[uint64]bool // by token: terms that are not merged into the total yet
	loaded       bool            // the stored usage has been read at least once
	inFlight     transaction
}

// transaction holds the changes that are being drafted or are in flight, and their contents.
type transaction struct {
	changes map[string]Change // by key
	rows    map[string][]Row  // by key: the rows that a change stores
	parts   []int             // parts of the current term's rows that the transaction writes
}

// writeLimits are the size limits of a transaction.
type writeLimits struct {
	maxOps        int
	maxValueBytes int
}

// NewAccounts returns the accounts of a term, in phase Loading.
func NewAccounts(token uint64, own *Ledger) *Accounts {
	return &Accounts{
		CurrentTerm:  own,
		token:        token,
		stored:       map[string]Item{},
		total:        map[int][]Row{},
		earlierTerms: map[uint64]bool{},
	}
}

// setPhase is the only place where the phase changes.
func (a *Accounts) setPhase(phase Phase) { a.phase = phase }

// Phase returns the current phase.
func (a *Accounts) Phase() Phase { return a.phase }

// HasBacklog reports whether there is more to write than the last transaction had capacity for.
func (a *Accounts) HasBacklog() bool {
	return len(a.earlierTerms) > 0 || len(a.inFlight.parts) > 0 && len(a.CurrentTerm.dirtyParts) > 0
}

// Load replaces the known stored usage by items, which must be everything that is stored under KeyPrefix. It must
// not be called while a transaction is in flight. On an error it changes nothing.
func (a *Accounts) Load(items []Item) error {
	stored, total, earlierTerms := map[string]Item{}, map[int][]Row{}, map[uint64]bool{}
	for _, item := range items {
		token, part, err := parseKey(item.Key)
		if err != nil {
			return err
		}
		rows, err := Decode(item.Value)
		if err != nil {
			return fmt.Errorf("usage record %s: %w", item.Key, err)
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
// earlier term, or else the changed parts of the current term. It leaves out values larger than maxValueBytes
// and returns an error for them together with the other changes, which must be written nevertheless. Rows
// includes earlier terms that cannot be merged.
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

// mergeEarlierTerm adds the merge of one earlier term to the transaction. It merges only one, because two terms
// would change the same records of the total.
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

// mergePart adds the merge of one part of an earlier term to the transaction, if the part exists and the
// transaction has capacity for the two changes that the merge needs.
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

// writeOwnParts adds the changed parts of the current term to the transaction, as far as it has capacity.
func (a *Accounts) writeOwnParts(limits writeLimits) (failed error) {
	for part := range a.CurrentTerm.dirtyParts {
		if len(a.inFlight.parts) == limits.maxOps {
			break
		}
		delete(a.CurrentTerm.dirtyParts, part)
		rows := a.CurrentTerm.sortedRows(func(account Account) bool { return partOf(account) == part })
		if err := a.put(rowKey(a.token, part), rows, limits); err != nil {
			failed = errors.Join(failed, err)
			continue
		}
		a.inFlight.parts = append(a.inFlight.parts, part)
	}
	return failed
}

// put adds a change to the transaction that sets a key to rows. It returns an error if the value is too large.
func (a *Accounts) put(key string, rows []Row, limits writeLimits) error {
	value, err := Encode(rows)
	if err != nil {
		return err
	}
	if len(value) > limits.maxValueBytes {
		return fmt.Errorf("usage record %s: %d rows take %d bytes, above the limit on values", key, len(rows), len(value))
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
	a.inFlight.changes = nil // inFlight.parts is kept for HasBacklog
	a.setPhase(Idle)
}

// TxnFailed reports that the transaction was rejected or that its outcome is unknown, in which case it may be
// executed late. It sets the phase to Loading, so that everything is read again before the next transaction. A
// late execution either comes before that read, or conflicts with a later transaction through the revisions that
// both expect, so that only one of them succeeds.
func (a *Accounts) TxnFailed() {
	for _, part := range a.inFlight.parts {
		a.CurrentTerm.dirtyParts[part] = true
	}
	a.inFlight = transaction{}
	a.setPhase(Loading)
}

// Rows returns all known usage: the total, the earlier terms that are not merged yet, and the current term
// including usage that is not written yet.
func (a *Accounts) Rows() []Row {
	merged := mergeRows(a.CurrentTerm.sortedRows(allAccounts), a.totalRows())
	return a.addStored(merged, func(token uint64) bool { return token != a.token })
}

// StoredRows returns all usage that is certainly stored: the total, the earlier terms that are not merged yet, and
// the current term as last written. known is false until the stored usage has been read.
//
// Guard: usage of the current term that is not written yet may be lost with this process, and the usage stored by
// earlier terms is missing until it has been read. When users were shown sums with the former or without the
// latter, their usage decreased under the next leader (simtest, TestUsageNeverGoesBack).
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

// addStored adds the stored rows of the terms whose token fulfils a condition to merged and returns the sum.
func (a *Accounts) addStored(merged []Row, includeTerm func(token uint64) bool) []Row {
	for key, item := range a.stored {
		token, _, err := parseKey(key)
		if err != nil || token == 0 || !includeTerm(token) {
			continue
		}
		if rows, err := Decode(item.Value); err == nil {
			merged = mergeRows(merged, rows)
		}
	}
	return merged
}
