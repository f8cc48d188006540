package placement

import (
	"log/slog"
	"time"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/peers/peerspb"
)

// MachinePhase represents what the leader knows about a machine's lease and tasks.
type MachinePhase int

// The phases of a machine.
const (
	Unseen         MachinePhase = iota // no heartbeat of the machine has been reported under our token
	Joining                            // a heartbeat was reported; its list of tasks may be incomplete
	Current                            // all of its tasks are known
	ExpiryReported                     // its owner reported that its lease expired; not confirmed yet
	Expired                            // its lease expired, so it has no tasks
)

// String returns the name of the phase that is shown to operators.
func (p MachinePhase) String() string {
	return [...]string{"unseen", "joining", "current", "lapsed", "expired"}[p]
}

// Machine is the leader's view of a machine.
//
// Invariants: load is the sum of the sizes of its bound tasks. It is in the cluster state's unreconciled
// machines if and only if isReconciled is false.
type Machine struct {
	Name string
	Addr string
	Pool model.Pool
	Spot bool

	Phase      MachinePhase
	PhaseSince time.Time

	recordState

	// Reasons why it gets no new tasks. If several drains cover the machine, drain combines them.
	Cordoned     bool      // permanently, except for a quarantine
	ScaleIn      bool      // a scale-in candidate, until its capacity is needed again
	quarantined  bool      // cordoned because tasks failed on it; see Quarantine
	uncordonedAt time.Time // when it was last uncordoned; see uncordonForStarvedJobs
	drain        *Drain    // nil: no drain covers it

	// The termination notice of a spot machine: the time from NoticeAt until it is terminated.
	TerminationNotice time.Duration // -1: none
	NoticeAt          time.Time

	// Its owner's reports.
	MissedHeartbeats    bool // no heartbeat for longer than the heartbeat interval
	Unreachable         bool // the owner's messages do not reach it
	StartOutcomeUnknown bool // a start that is no longer wanted may still be executed

	FirstSeen    time.Time // by this leader
	IdleSince    time.Time // since when it has had no tasks
	FirstExpired time.Time // when its lease first expired since it was last current
	Listed       bool      // the provider has listed it
	EverUsed     bool      // a task was reported on it, or may have been before this leader's term

	misdirectedHeartbeats

	// Its last complete report, under our token or an earlier one.
	session      uint64 // the agent's epoch
	seq          uint64 // sequence number of the heartbeat
	currentToken uint64 // token under which it was last current
	reported     []*peerspb.Task
	orphans      int // number of running tasks that are not wanted on it

	exitedReportBytes int // space that exited tasks take up in the report

	// Its tasks, and other uses of its capacity.
	tasks         *model.Table[taskKey, *Task]
	load          model.Size
	images        []cachedImage // the most recently used one last
	reserved      *model.Table[string, reservedCapacity]
	heldForGangAt time.Time // when it was last found to be held for a gang; see HeldForPendingGang

	failures map[string]failureRecord // by job: failures of its tasks here since a task last finished here
	log      *slog.Logger
}

// Busy reports whether any task is bound to the machine or was in its last report, exited or orphaned tasks included.
func (m *Machine) Busy() bool { return m.tasks.Len() > 0 || m.orphans > 0 || len(m.reported) > 0 }

// isReconciled reports whether a machine is current, has a stored record, sends its heartbeats in time, has no start
// of unknown outcome, and runs no orphaned tasks.
func (m *Machine) isReconciled() bool {
	return m.Phase == Current && m.Recorded && !m.MissedHeartbeats && !m.StartOutcomeUnknown && m.orphans == 0
}

// AddMachine adds a machine from its stored record. Tasks may be running on it. A known machine is left unchanged.
func (cs *ClusterState) AddMachine(record MachineRecord, now time.Time) {
	if cs.machines.At(record.Name) != nil {
		return
	}
	cs.addMachine(&Machine{
		Name:              record.Name,
		Addr:              record.Addr,
		Pool:              record.Pool,
		Spot:              record.Spot,
		recordState:       recordState{Recorded: true, Revision: record.Revision},
		TerminationNotice: -1,
		FirstSeen:         now,
		IdleSince:         now,
		PhaseSince:        now,
		Listed:            true,
		EverUsed:          true,
		tasks:             cs.newMachineTasks(),
		log:               cs.opt.Log,
	})
}

// addMachine adds a machine that is not known yet.
func (cs *ClusterState) addMachine(machine *Machine) {
	cs.machines.Put(machine.Name, machine)
	cs.machinesInPool[machine.Pool]++
	cs.updateDrain(machine)
	cs.updateUnreconciled(machine)
}

// dropMachine deletes a machine.
func (cs *ClusterState) dropMachine(machine *Machine) {
	cs.machines.Delete(machine.Name)
	delete(cs.unreconciled, machine.Name)
	if cs.machinesInPool[machine.Pool]--; cs.machinesInPool[machine.Pool] == 0 {
		delete(cs.machinesInPool, machine.Pool)
	}
}

// updateUnreconciled adds a machine to the unreconciled ones, or removes it. Every change that affects the result of
// isReconciled must be followed by a call.
//
// Guard: the searches of every tick and every round used to go through all machines. With some thousands of machines
// they alone took a large part of the leader's CPU time.
func (cs *ClusterState) updateUnreconciled(machine *Machine) {
	if machine.isReconciled() {
		delete(cs.unreconciled, machine.Name)
	} else {
		cs.unreconciled[machine.Name] = machine
	}
}

// setPhase sets a known machine's phase. No other function changes it.
func (cs *ClusterState) setPhase(machine *Machine, phase MachinePhase, now time.Time) {
	if machine.Phase == phase {
		return
	}
	machine.Phase, machine.PhaseSince = phase, now
	cs.updateUnreconciled(machine)
	cs.capacityEvents++
	switch {
	case phase == Current:
		machine.FirstExpired = time.Time{}
	case phase == Expired && machine.FirstExpired.IsZero():
		machine.FirstExpired = now
	}
}

// MachineTerminated records that a machine no longer exists, and releases its tasks.
func (cs *ClusterState) MachineTerminated(name string, now time.Time) {
	machine := cs.machines.At(name)
	if machine == nil {
		return
	}
	cs.releaseAll(machine, now)
	cs.sendOrder(machine, &peerspb.Order{Op: peerspb.Op_OP_DROP})
	cs.dropImages(machine)
	cs.dropMachine(machine)
	cs.terminated[name] = now
}

// releaseAll releases all tasks of a machine, and clears its last report.
func (cs *ClusterState) releaseAll(machine *Machine, now time.Time) {
	for _, task := range machine.tasks.All() {
		cs.release(task, now)
	}
	cs.replaceReport(machine, nil)
	machine.orphans = 0
	cs.updateUnreconciled(machine)
}
