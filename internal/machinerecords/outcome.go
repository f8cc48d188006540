package machinerecords

import "slices"

// TxnCommitted reports that the transaction in flight was executed, at a revision. It returns the machines
// whose requested records are now stored, and those whose records are now removed.
func (l *Ledger) TxnCommitted(revision uint64) (stored, removed []string) {
	for key, drafted := range l.drafts.All() {
		if len(drafted.next.machines) == 0 {
			l.setRecord(key, nil)
			continue
		}
		drafted.next.revision, drafted.next.ambiguous = revision, false
		l.setRecord(key, drafted.next)
	}
	l.opsPerTxn = min(l.maxOps, l.opsPerTxn+1)
	return l.finishTxn()
}

// TxnRejected reports that the transaction in flight was not and will not be executed. tooLarge is true if
// it exceeded the store's limits, which may be lower than the configured ones. It returns the same lists of
// machines as TxnCommitted.
//
// Guard: the limit that was lowered may be the one on the number of changes. When only the records were made
// smaller, five changes were sent repeatedly to a store that accepts four: no more machines were registered,
// and all machines stayed empty (simulation test, seed 1100001427). Therefore the number of changes is reduced
// first; if a single change or the split of an oversized record is rejected, its records are too large.
// TestLoweredLimitOnChanges shows it.
func (l *Ledger) TxnRejected(tooLarge bool) (stored, removed []string) {
	changes, splitting := l.drafts.Len(), false
	for _, drafted := range l.drafts.All() {
		splitting = splitting || drafted.next.oversized
	}
	switch {
	case !tooLarge:
		l.opsPerTxn = max(1, l.opsPerTxn/2)
	case changes > 1 && !splitting:
		l.opsPerTxn, l.maxOps = changes/2, changes-1
	default:
		l.reduceRecordSize()
	}
	return l.finishTxn()
}

// reduceRecordSize halves the size limit of group records and marks the records that exceed it as oversized.
func (l *Ledger) reduceRecordSize() {
	l.maxOps = l.options.MaxOps
	l.options.MaxValueBytes = max(minValueBytes, l.options.MaxValueBytes/2)
	for _, stored := range l.records.All() {
		if !stored.single && stored.encodedBytes() > l.options.MaxValueBytes {
			stored.oversized = true
		}
	}
}

// TxnAmbiguous reports that a precondition of the transaction failed, or that its outcome is unknown. It
// returns the keys of the records that the caller must read and pass to Reread before it writes anything else.
func (l *Ledger) TxnAmbiguous() (keys []string) {
	for key := range l.drafts.All() {
		keys = append(keys, key)
	}
	l.setPhase(Ambiguous)
	return keys
}

// Reread replaces the records whose keys TxnAmbiguous returned by the items that were read; keys without an item
// were absent from the store. It returns the same lists of machines as TxnCommitted.
//
// Guard: the transaction may be executed even after the read, and remove a machine's record that was read. A
// record whose revision the transaction expects is therefore ambiguous, and doesn't count for its machines,
// until it has been written again: of the two writes, the one that is executed second fails its precondition. A
// group record that is created late only contains more machines than needed. TestStoredMachinesKeepTheirRecords
// shows it, with -rapid.checks=3000.
func (l *Ledger) Reread(items []Item) (stored, removed []string, err error) {
	drafts := l.drafts
	for key := range drafts.All() {
		if !slices.ContainsFunc(items, func(item Item) bool { return item.Key == key }) {
			l.setRecord(key, nil)
		}
	}
	if err := l.Load(items); err != nil {
		return nil, nil, err
	}
	for key, drafted := range drafts.All() {
		if reread := l.records.At(key); reread != nil {
			reread.ambiguous = reread.revision == drafted.revision
		}
	}
	stored, removed = l.finishTxn()
	return stored, removed, nil
}

// finishTxn sets the phase to Idle and returns the machines whose requests are fulfilled: those whose records
// are stored, and those whose records are removed.
func (l *Ledger) finishTxn() (stored, removed []string) {
	l.setPhase(Idle)
	for name := range l.toRegister.All() {
		if l.Revision(name) != 0 {
			l.toRegister.Delete(name)
			stored = append(stored, name)
		}
	}
	for name := range l.toUnregister.All() {
		if len(l.keysByMachine[name]) == 0 {
			l.toUnregister.Delete(name)
			removed = append(removed, name)
		}
	}
	return stored, removed
}
