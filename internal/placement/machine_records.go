package placement

import (
	"slices"

	"github.com/marlwood/marlwood/internal/model"
)

// MachineRecord is a machine's stored record.
type MachineRecord struct {
	Name     string
	Addr     string
	Pool     model.Pool
	Spot     bool
	Revision uint64
}

// recordState represents what is known about a machine's stored record.
type recordState struct {
	Recorded       bool   // the record is stored, and tasks may be started on the machine
	Revision       uint64 // of the record; 0: no record is known
	deletingRecord bool   // the deletion of the record with this revision was requested
}

// MachineRecorded records that a machine's record was stored at a revision.
//
// Guard: if a machine expired while its record was being written, the record is about to be deleted. If the machine
// counted as recorded nevertheless, it could come back and get tasks while the deletion is in flight, and the next
// leader would not wait for it.
func (cs *ClusterState) MachineRecorded(name string, revision uint64) {
	if machine := cs.machines.At(name); machine != nil {
		machine.Recorded, machine.Revision, machine.deletingRecord = machine.Phase != Expired, revision, false
		cs.updateUnreconciled(machine)
		cs.capacityEvents++
	}
}

// ExpiredMachineRecords returns the names of at most that many machines whose leases expired and whose records are to
// be deleted, with the records' revisions. Each record is returned once.
//
// Guard: the next leader waits for every machine with a record. Without the deletion, it waited again for machines that
// this leader knows to have no tasks: for as long as any earlier leader may act, plus the duration of a lease. The
// deletion must have the revision as its precondition, because the machine may be back and have a fresh record by the
// time the deletion is executed.
func (cs *ClusterState) ExpiredMachineRecords(most int) map[string]uint64 {
	var names []string
	for name, machine := range cs.unreconciled {
		if machine.Phase == Expired && machine.Revision != 0 && !machine.deletingRecord {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	records := map[string]uint64{}
	for _, name := range names[:min(most, len(names))] {
		machine := cs.machines.At(name)
		machine.deletingRecord = true
		records[name] = machine.Revision
	}
	return records
}

// MachineRecordDeleted records that the machine record with the given revision was deleted.
func (cs *ClusterState) MachineRecordDeleted(name string, revision uint64) {
	if machine := cs.machines.At(name); machine != nil && machine.Revision == revision {
		machine.Revision = 0
	}
}
