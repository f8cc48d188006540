package placement

import (
	"slices"
	"time"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/peers/peerspb"
)

// Machine phases as owners report them. The values are part of the wire protocol.
const (
	reportedJoining = "joining"
	reportedCurrent = "current"
	reportedExpired = "expired"
)

// UpdateMachine applies a member's report about a machine. If trusted is set, an expiry is accepted even for a machine
// that was not current under our token yet. applied is the ID of the last order that the member has applied. A report
// is ignored unless the member owns the machine's pool.
func (cs *ClusterState) UpdateMachine(now time.Time, member string, status *peerspb.Machine, applied uint64, trusted bool) {
	machine := cs.reportedMachine(now, member, status)
	if machine == nil {
		return
	}
	defer cs.updateUnreconciled(machine)
	if machine.MissedHeartbeats && !status.Quiet || machine.Unreachable && !status.Unreached {
		cs.capacityEvents++ // the machine may be used again
	}
	machine.MissedHeartbeats, machine.Unreachable, machine.StartOutcomeUnknown = status.Quiet, status.Unreached, status.Unsure
	switch status.Phase {
	case reportedJoining:
		cs.machineJoining(now, machine, status)
	case reportedExpired:
		cs.machineExpiryReported(now, machine, trusted)
	case reportedCurrent:
		cs.machineCurrent(now, machine, status, applied)
	}
}

// reportedMachine returns the machine that a report is about, and adds it if it is new. It returns nil if the report
// is to be ignored.
func (cs *ClusterState) reportedMachine(now time.Time, member string, status *peerspb.Machine) *Machine {
	if _, terminated := cs.terminated[status.Name]; terminated {
		return nil
	}
	machine := cs.machines.At(status.Name)
	pool := model.Pool{Type: status.Kind.GetType(), Zone: status.Kind.GetZone()}
	if machine != nil {
		pool = machine.Pool
	}
	// Guard: only reports of the pool's current owner are accepted. A machine that moved to another controller looks
	// expired to its earlier owner, which no longer gets its heartbeats.
	if cs.owners[pool] != member {
		return nil
	}
	if machine == nil {
		if status.Phase == reportedExpired {
			return nil
		}
		machine = &Machine{
			Name:              status.Name,
			Pool:              pool,
			TerminationNotice: -1,
			FirstSeen:         now,
			IdleSince:         now,
			tasks:             cs.newMachineTasks(),
			log:               cs.opt.Log,
		}
		cs.addMachine(machine)
	}
	return machine
}

// machineJoining handles a report of a machine whose list of tasks may be incomplete.
func (cs *ClusterState) machineJoining(now time.Time, machine *Machine, status *peerspb.Machine) {
	machine.Addr = status.Addr
	cs.stopUnwanted(machine, status.Tasks)
	cs.setPhase(machine, Joining, now)
}

// machineExpiryReported handles a report that a machine's lease has expired. The expiry takes effect in
// ConfirmExpiries.
func (cs *ClusterState) machineExpiryReported(now time.Time, machine *Machine, trusted bool) {
	if machine.Phase == Expired {
		return // the expiry was confirmed already, and the machine has no tasks
	}
	if trusted || machine.currentToken == cs.token {
		cs.setPhase(machine, ExpiryReported, now)
		return
	}
	// Guard: the owner reports an expiry only once. The machine counts as unseen again until an expiry can be trusted.
	// If it stayed joining, a takeover would never end.
	cs.setPhase(machine, Unseen, now)
}

// machineCurrent handles a report that lists all tasks of a machine, and reconciles them.
func (cs *ClusterState) machineCurrent(now time.Time, machine *Machine, status *peerspb.Machine, applied uint64) {
	machine.Spot, machine.Addr, machine.session, machine.seq = status.Spot, status.Addr, status.Session, status.Seq
	machine.setNotice(status.NoticeMs, now)
	cs.replaceReport(machine, status.Tasks)
	if machine.currentToken != cs.token {
		machine.currentToken = cs.token
		cs.resendCordon(machine)
	}
	if machine.Phase != Current {
		// Guard: an owner that reports a machine as expired before the machine has shown our token discards its orders,
		// although the machine may still be alive. Stops that were ordered in the meantime did not arrive, so they are
		// sent again.
		for _, task := range machine.tasks.All() {
			task.stopToken = 0
		}
	}
	cs.setPhase(machine, Current, now)
	cs.reconcile(now, machine, func(order uint64) bool { return order <= applied && !slices.Contains(status.Undecided, order) })
}

// setNotice records the termination notice of a spot machine, in milliseconds until its termination. A negative value
// means that there is no notice.
func (m *Machine) setNotice(noticeMs int64, now time.Time) {
	if m.TerminationNotice < 0 && noticeMs >= 0 {
		m.NoticeAt = now
	}
	m.TerminationNotice = time.Duration(noticeMs) * time.Millisecond
	if noticeMs < 0 {
		m.TerminationNotice = -1
	}
}

// stopUnwanted stops tasks whose job is cancelled, finished or unknown, and which a machine reports before its list of
// tasks is complete. The owner sends these stops in its response to the machine's heartbeat.
func (cs *ClusterState) stopUnwanted(machine *Machine, tasks []*peerspb.Task) {
	for _, reported := range tasks {
		wanted := cs.IsOpen(reported.Job) && int(reported.Index) < cs.jobs.At(reported.Job).Spec.Tasks
		if !wanted && reported.State != string(model.TaskExited) {
			cs.sendStopReported(machine, reported)
		}
	}
}

// orphanedTasks returns the number of running tasks that are not wanted on their machines. While there are any, no
// task is started, because the team and size of a task without an open job are not known.
func (cs *ClusterState) orphanedTasks() int {
	n := 0
	for _, m := range cs.unreconciled {
		n += m.orphans
	}
	return n
}
