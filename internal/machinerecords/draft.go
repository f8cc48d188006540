package machinerecords

import (
	"fmt"
	"maps"
	"slices"

	"github.com/marlwood/marlwood/internal/model"
)

// draft is the change of one record in the transaction that is being built or in flight.
type draft struct {
	revision uint64 // revision that the stored record must have
	next     *record
	bytes    int // size of the stored value
}

// Next begins a transaction and returns its changes, or nil if there is nothing to do or a transaction is in
// flight. Registrations come first, because starts of tasks wait for them. groups is true if every
// controller can read group records.
func (l *Ledger) Next(groups bool) []Change {
	if l.phase != Idle {
		return nil
	}
	l.drafts, l.draftBytes = model.NewTable[string, *draft](), 0
	if l.splitOversized(groups) {
		return l.beginTxn()
	}
	l.draftRegistrations(groups)
	l.draftRemovals()
	if !groups {
		l.dissolveGroups()
	}
	return l.beginTxn()
}

// splitOversized drafts the move of the machines of one oversized record to other records and reports whether
// there is such a record. The move is a transaction of its own, because the remainder after a partial move may
// still be too large.
func (l *Ledger) splitOversized(groups bool) bool {
	for key, stored := range l.records.All() {
		if stored.oversized {
			l.opsPerTxn = l.options.MaxOps
			l.moveMachines(key, stored, groups)
			return true
		}
	}
	return false
}

// draftRegistrations drafts the requested records, as far as the transaction has capacity. If a machine already
// has a record, possibly with an ambiguous change, that record is written again, so that a late execution of
// that change fails.
func (l *Ledger) draftRegistrations(groups bool) {
	for name, registration := range l.toRegister.All() {
		if keys := l.keysByMachine[name]; len(keys) > 0 {
			l.draftFor(keys[0], l.records.At(keys[0]))
		} else if !l.addMachine(name, registration, groups) {
			return
		}
	}
}

// draftRemovals drafts the requested removals, as far as the transaction has capacity.
func (l *Ledger) draftRemovals() {
	for name := range l.toUnregister.All() {
		if len(l.keysByMachine[name]) == 0 {
			l.toUnregister.Delete(name)
			continue
		}
		for _, key := range l.keysByMachine[name] {
			if drafted := l.draftFor(key, l.records.At(key)); drafted != nil {
				delete(drafted.next.machines, name)
			}
		}
	}
}

// dissolveGroups moves the machines of group records to records of their own.
func (l *Ledger) dissolveGroups() {
	for key, stored := range l.records.All() {
		if !stored.single {
			l.moveMachines(key, stored, false)
		}
	}
}

// moveMachines moves a record's machines to other records, as far as the transaction has capacity.
func (l *Ledger) moveMachines(key string, from *record, groups bool) {
	drafted := l.draftFor(key, from)
	if drafted == nil {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(drafted.next.machines)) {
		if l.toUnregister.At(name) || l.addMachine(name, from.registration(name), groups) {
			delete(drafted.next.machines, name)
		}
	}
}

// addMachine adds a machine to the draft of a record. It returns false if the transaction is full.
func (l *Ledger) addMachine(name string, registration Registration, groups bool) bool {
	bytes := machineBytes(name, registration.Addr)
	var drafted *draft
	if groups {
		drafted = l.groupWithCapacity(registration.poolKey(), bytes)
	} else {
		drafted = l.singleRecord(name, registration)
	}
	if drafted == nil {
		return false
	}
	if _, has := drafted.next.machines[name]; !has {
		if l.draftBytes+bytes > l.options.MaxTxnBytes {
			return false
		}
		drafted.bytes += bytes
		l.draftBytes += bytes
	}
	drafted.next.machines[name] = registration.Addr
	return true
}

// singleRecord returns the draft of a machine's own record, or nil if the transaction is full.
func (l *Ledger) singleRecord(name string, registration Registration) *draft {
	key := SingleRecordPrefix + name
	from := l.records.At(key)
	if from == nil {
		from = &record{single: true, poolKey: registration.poolKey(), machines: map[string]string{}}
	}
	return l.draftFor(key, from)
}

// groupWithCapacity returns the draft of a group record of the pool that has capacity for the given number of
// bytes. It prefers a group that is already drafted, then a stored one, then a new one, and returns nil if the
// transaction is full.
func (l *Ledger) groupWithCapacity(pool poolKey, bytes int) *draft {
	for _, drafted := range l.drafts.All() {
		if drafted.next.accepts(pool) && drafted.bytes+bytes <= l.options.MaxValueBytes {
			return drafted
		}
	}
	for key, stored := range l.records.All() {
		if stored.accepts(pool) && l.drafts.At(key) == nil && stored.encodedBytes()+bytes <= l.options.MaxValueBytes {
			return l.draftFor(key, stored)
		}
	}
	l.groupsCreated++
	key := fmt.Sprintf("%s%016x-%06d", GroupRecordPrefix, l.token, l.groupsCreated)
	return l.draftFor(key, &record{poolKey: pool, machines: map[string]string{}})
}

// accepts reports whether the record is a group to which more machines of a pool may be added.
func (r *record) accepts(pool poolKey) bool {
	return !r.single && !r.oversized && r.poolKey == pool
}

// draftFor returns the draft of a record and creates it if there is none. It returns nil if the transaction has
// no capacity for another change.
func (l *Ledger) draftFor(key string, from *record) *draft {
	if drafted := l.drafts.At(key); drafted != nil {
		return drafted
	}
	bytes := from.encodedBytes()
	if l.drafts.Len() >= l.opsPerTxn || l.draftBytes+bytes > l.options.MaxTxnBytes {
		return nil
	}
	l.draftBytes += bytes
	drafted := &draft{revision: from.revision, next: from.clone(), bytes: bytes}
	l.drafts.Put(key, drafted)
	return drafted
}

// beginTxn begins the transaction that consists of the drafts, if there are any, and returns its changes.
func (l *Ledger) beginTxn() (changes []Change) {
	for key, drafted := range l.drafts.All() {
		if len(drafted.next.machines) == 0 && drafted.revision == 0 {
			l.drafts.Delete(key) // a new record for which the transaction had no capacity left
			continue
		}
		changes = append(changes, Change{Key: key, Revision: drafted.revision, Value: drafted.next.value(key)})
	}
	if len(changes) > 0 {
		l.setPhase(Writing)
	}
	return changes
}
