// Package machinerecords maintains the durable registrations of the machines on which tasks may run.
//
// A new leader starts no task before it knows all of these machines, so a machine's record is stored
// before its first task starts and removed only when it can have no tasks. One record holds many
// machines, so that the number of writes depends on the limits of the key-value store and not on the size
// of the cluster.
//
// Ledger is pure: it takes registrations and outcomes and returns transactions, one at a time. It does no
// input or output and is not safe for concurrent use.
//
// Invariant: every change expects the last known revision of its record. A transaction with unknown outcome
// that is executed late, after a later change of the same record, therefore fails.
package machinerecords

import (
	"maps"
	"slices"

	"github.com/marlwood/marlwood/internal/model"
)

// Phase is the state of the ledger's exchange with the store.
type Phase int

// The phases of a ledger.
const (
	Idle      Phase = iota // no transaction is in flight
	Writing                // a transaction is in flight
	Ambiguous              // a precondition failed or the outcome is unknown: the records must be read
)

// Options bound the records and transactions.
type Options struct {
	MaxOps        int // changes in one transaction
	MaxValueBytes int // size of the value of one group record
	MaxTxnBytes   int // total size of the values of one transaction
}

// minValueBytes is the smallest value to which Ledger reduces Options.MaxValueBytes.
const minValueBytes = 256

// Ledger holds the records of the machines as known in one leader's term.
type Ledger struct {
	options       Options
	token         uint64
	groupsCreated uint64 // group records created in this term
	phase         Phase
	opsPerTxn     int // limit on changes in the next transaction; lowered when a transaction is rejected
	maxOps        int // highest number of changes per transaction that the store is believed to accept

	records       *model.Table[string, *record]      // by key
	keysByMachine map[string][]string                // keys of the records that contain a machine
	toRegister    *model.Table[string, Registration] // by machine: requests to store its record
	toUnregister  *model.Table[string, bool]         // by machine: requests to remove its record
	drafts        *model.Table[string, *draft]       // by key: changes of the current transaction
	draftBytes    int                                // size of the values of all drafts
}

// New returns an empty ledger for a term. The term's fencing token makes the keys of its group records unique.
func New(options Options, token uint64) *Ledger {
	return &Ledger{
		options:       options,
		token:         token,
		opsPerTxn:     options.MaxOps,
		maxOps:        options.MaxOps,
		records:       model.NewTable[string, *record](),
		keysByMachine: map[string][]string{},
		toRegister:    model.NewTable[string, Registration](),
		toUnregister:  model.NewTable[string, bool](),
	}
}

// Phase returns the current phase.
func (l *Ledger) Phase() Phase { return l.phase }

// setPhase is the only place where the phase changes.
func (l *Ledger) setPhase(phase Phase) { l.phase = phase }

// Load adds stored records. It returns an error if a record cannot be decoded, because its machines are then
// unknown and no task may be started.
func (l *Ledger) Load(items []Item) error {
	for _, item := range items {
		loaded, err := decodeRecord(item)
		if err != nil {
			return err
		}
		l.setRecord(item.Key, loaded)
	}
	return nil
}

// setRecord sets the record under a key, or removes it if updated is nil. It is the only place where records
// are added or removed.
func (l *Ledger) setRecord(key string, updated *record) {
	if old := l.records.At(key); old != nil {
		for name := range old.machines {
			l.removeKey(name, key)
		}
	}
	if updated == nil {
		l.records.Delete(key)
		return
	}
	l.records.Put(key, updated)
	for name := range updated.machines {
		l.keysByMachine[name] = append(l.keysByMachine[name], key)
	}
}

// removeKey removes a record's key from the index entry of a machine.
func (l *Ledger) removeKey(name, key string) {
	keys := slices.DeleteFunc(l.keysByMachine[name], func(other string) bool { return other == key })
	if len(keys) == 0 {
		delete(l.keysByMachine, name)
		return
	}
	l.keysByMachine[name] = keys
}

// Machines returns all machines that have a record. A machine in several records is returned once.
func (l *Ledger) Machines() (machines []Machine) {
	seen := map[string]bool{}
	for _, stored := range l.records.All() {
		for _, name := range slices.Sorted(maps.Keys(stored.machines)) {
			if seen[name] {
				continue
			}
			seen[name] = true
			machines = append(machines, Machine{
				Name:         name,
				Registration: stored.registration(name),
				Revision:     stored.revision,
			})
		}
	}
	return machines
}

// Len returns the number of records.
func (l *Ledger) Len() int { return l.records.Len() }

// Register requests that a machine's record is stored. It returns the revision of the record if the machine
// already has one that no transaction in flight removes; else it returns 0 and a later transaction stores it.
func (l *Ledger) Register(name string, registration Registration) (revision uint64) {
	l.toUnregister.Delete(name)
	if revision := l.Revision(name); revision != 0 && l.phase == Idle {
		l.toRegister.Delete(name)
		return revision
	}
	l.toRegister.Put(name, registration)
	return 0
}

// Unregister requests the removal of a machine's record. The caller must have terminated the machine, or must
// assign it no tasks before another Register is confirmed.
func (l *Ledger) Unregister(name string) {
	l.toRegister.Delete(name)
	if len(l.keysByMachine[name]) > 0 || l.phase != Idle {
		l.toUnregister.Put(name, true)
	}
}

// Revision returns the revision of a record of the machine that is not ambiguous, or 0 if there is none.
func (l *Ledger) Revision(name string) uint64 {
	for _, key := range l.keysByMachine[name] {
		if stored := l.records.At(key); !stored.ambiguous {
			return stored.revision
		}
	}
	return 0
}
