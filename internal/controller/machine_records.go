package controller

import (
	"errors"
	"time"

	"github.com/marlwood/marlwood/internal/machinerecords"
	"github.com/marlwood/marlwood/internal/peers"
	"github.com/marlwood/marlwood/internal/placement"
	"github.com/marlwood/marlwood/internal/store"
)

const (
	// maxGroupBytes bounds a group record, because adding a machine rewrites the whole record.
	maxGroupBytes = 4 << 10
	// maxExpiredRecords is how many records of expired machines are looked up at once.
	maxExpiredRecords = 64
	// machineWriteRetryWait is the pause after a refused write of machine records.
	machineWriteRetryWait = 300 * time.Millisecond
)

// writeMachineRecords writes the records that must be stored before a machine's first task starts, and
// removes those of machines that were terminated or have expired. One transaction is in flight at a time.
func (t *leaderTerm) writeMachineRecords(now time.Time) {
	t.registerMachines(now)
	if t.machineRecords.Phase() != machinerecords.Idle {
		return
	}
	for name, revision := range t.scheduler.ExpiredMachineRecords(now, maxExpiredRecords) {
		t.expiringRecords[name] = revision
		t.machineRecords.Unregister(name)
	}
	changes := t.machineRecords.Next(t.ctrl.settings.Fleet.HostGroups == "yes" && t.allSupport(peers.MachineGroups))
	if len(changes) == 0 {
		return
	}
	txn := machineRecordsTxn(t.newTxn(), changes)
	t.ctrl.env.Go(func() { t.commitMachineRecords(txn) })
}

// registerMachines registers machines that have no record yet. Machines that already have one in the
// ledger are reported to the scheduler at once.
func (t *leaderTerm) registerMachines(now time.Time) {
	recorded := map[uint64][]string{} // by the record's revision
	for name, machine := range t.scheduler.UnreconciledMachines() {
		if machine.Phase != placement.Current || machine.Recorded {
			continue
		}
		registration := machinerecords.Registration{Pool: machine.Pool, Spot: machine.Spot, Addr: machine.Addr}
		if revision := t.machineRecords.Register(name, registration); revision != 0 {
			recorded[revision] = append(recorded[revision], name)
		}
	}
	t.markRecorded(now, recorded)
}

// markRecorded reports to the scheduler which machines have a record, by the record's revision.
func (t *leaderTerm) markRecorded(now time.Time, recorded map[uint64][]string) {
	for revision, names := range recorded {
		t.scheduler.MachinesRecorded(now, names, revision)
	}
}

// machineRecordsTxn adds changes to a transaction that already has the leader's precondition. Each change
// adds the revision of its record as a precondition.
func machineRecordsTxn(txn store.Txn, changes []machinerecords.Change) store.Txn {
	for _, change := range changes {
		write := store.Delete(change.Key)
		if change.Value != nil {
			write = store.Put(change.Key, change.Value)
		}
		txn.Preconditions = append(txn.Preconditions, store.Precondition{Key: change.Key, Revision: change.Revision})
		txn.Writes = append(txn.Writes, write)
	}
	return txn
}

// commitMachineRecords commits changes of machine records. It runs outside the event loop.
func (t *leaderTerm) commitMachineRecords(txn store.Txn) {
	result, err := t.commit(txn)
	refused := errors.Is(err, store.ErrRefused)
	if refused {
		t.ctrl.env.Sleep(t.ctx, machineWriteRetryWait)
	}
	t.ctrl.post(func() {
		switch {
		case t.ctx.Err() != nil:
		case err == nil && result.Succeeded():
			t.machineRecordsDone(t.machineRecords.TxnCommitted(result.Revision))
		case refused:
			t.machineRecordsDone(t.machineRecords.TxnRejected(errors.Is(err, store.ErrTooLarge)))
		default:
			keys := t.machineRecords.TxnAmbiguous()
			t.ctrl.log.Debug("rereading machine records after a failed or unanswered transaction",
				"keys", keys, "err", err, "failed", result.Failed)
			t.ctrl.env.Go(func() { t.rereadMachineRecords(keys) })
		}
	})
}

// rereadMachineRecords reads the machine records that a transaction may have changed. It runs outside the
// event loop.
func (t *leaderTerm) rereadMachineRecords(keys []string) {
	var items []store.Item
	for i := 0; i < len(keys) && t.ctx.Err() == nil; {
		item, err := t.ctrl.store.Get(t.ctx, keys[i])
		switch {
		case err == nil:
			items = append(items, item)
			i++
		case errors.Is(err, store.ErrNotFound):
			i++
		default:
			t.ctrl.env.Sleep(t.ctx, readRetryWait)
		}
	}
	t.ctrl.post(func() {
		if t.ctx.Err() != nil {
			return
		}
		stored, removed, err := t.machineRecords.Reread(machineRecordItems(items))
		if err != nil { // written by another version, or damaged; no task starts on a machine without a record
			t.ctrl.log.Error("cannot decode machine records", "err", err)
			return
		}
		t.machineRecordsDone(stored, removed)
	})
}

// machineRecordsDone reports to the scheduler which machines now have a record and which no longer do.
func (t *leaderTerm) machineRecordsDone(stored, removed []string) {
	now := t.ctrl.env.Now()
	recorded := map[uint64][]string{}
	for _, name := range stored {
		revision := t.machineRecords.Revision(name)
		recorded[revision] = append(recorded[revision], name)
	}
	t.markRecorded(now, recorded)
	deleted := map[string]uint64{}
	for _, name := range removed {
		if revision, ok := t.expiringRecords[name]; ok {
			deleted[name] = revision
			delete(t.expiringRecords, name)
		}
	}
	if len(deleted) > 0 {
		t.scheduler.MachineRecordsDeleted(now, deleted)
	}
	if len(stored) > 0 {
		t.startRoundSoon()
	}
}

// machineRecordItems converts stored items to the item type of package machinerecords.
func machineRecordItems(items []store.Item) (converted []machinerecords.Item) {
	for _, item := range items {
		converted = append(converted, machinerecords.Item{Key: item.Key, Value: item.Value, Revision: item.Revision})
	}
	return converted
}
