package workers

import (
	"math"
	"strings"
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

// An answer to a heartbeat extends the lease of all tasks that the heartbeat shows, so it must stop each of them whose
// job was cancelled before the leader's last view of the jobs. The leader knows the jobs, and the owner knows what runs
// on its machines. So the leader hands its list of open jobs to each owner, and the owner decides for each heartbeat:
// it answers, and stops the tasks of all jobs that are not on the list. What the leader knows of the machine does not
// matter, nor what this process has forgotten.
//
// A leader of an earlier version does not send the list. Then the answer waits until that leader has acknowledged the
// machine's tasks, and carries the stops that came with the acknowledgement.

// NoChangesWanted is sent by a leader as the last change it has seen when it ignores the owner's machines. It
// acknowledges nothing.
const NoChangesWanted = math.MaxUint64

// AnswerBasis is why an answer may extend the lease of a machine that reports live tasks.
type AnswerBasis string

// The bases. The values are labels of a metric.
const (
	NoTasks        AnswerBasis = "no_tasks"     // the heartbeat shows no live tasks; not counted
	JobsOpen       AnswerBasis = "open_jobs"    // the jobs of all tasks are open
	StopsCancelled AnswerBasis = "stops"        // the jobs of some tasks are not open; the answer stops these tasks
	Acknowledged   AnswerBasis = "acknowledged" // the leader has acknowledged the machine's tasks
	AwaitsLeader   AnswerBasis = "waits"        // it may not yet: the answer waits for the leader
)

// taskAcknowledgement is the state of the leader's acknowledgement of a machine's tasks under the current token.
type taskAcknowledgement struct {
	complete     bool        // the leader has acknowledged a complete list of the tasks
	listedChange uint64      // the registry's change that reports them to the leader; see isAcknowledged
	basis        AnswerBasis // of the last answer
	waitingSeq   uint64      // sequence number of the heartbeat whose answer waits for the leader; 0: none
}

// isWaiting reports whether a heartbeat is the one whose answer waits for the leader.
func (a *taskAcknowledgement) isWaiting(newest heartbeatVersion, heartbeat *model.Heartbeat) bool {
	return a.waitingSeq != 0 && a.waitingSeq == heartbeat.Seq && newest.epoch == heartbeat.Session
}

// acknowledge records the last change of this registry that the leader has seen.
//
// Guard: a leader of an earlier version sends NoChangesWanted to a restarted owner, together with a lease, although it
// may not know what runs on the owner's machines (TestAwaitsAcknowledgement).
func (reg *Registry) acknowledge(change uint64) {
	if change <= reg.lastChange {
		reg.acknowledgedChange = max(reg.acknowledgedChange, change)
	}
}

// recordListChange records which change reports a machine's tasks to the leader. It does nothing once a
// complete list is acknowledged, because from then on only the leader itself adds tasks to it.
func (reg *Registry) recordListChange(machine *machineState) {
	if !machine.acknowledgement.complete {
		machine.acknowledgement.listedChange = reg.lastChange
	}
}

// checkTasks decides whether an answer to a heartbeat may extend the lease of the tasks that the heartbeat shows. It
// returns the stops that the answer must carry besides the leader's orders. If mayAnswer is false, the answer must
// wait for a message of the leader.
func (reg *Registry) checkTasks(now time.Time, machine *machineState, heartbeat *model.Heartbeat) (stops []model.Command, mayAnswer bool) {
	basis := NoTasks
	switch {
	case !hasLiveTask(heartbeat):
	case reg.openJobs.validAt(now, reg.options.CancelGrace):
		stops = reg.stopsOfClosedJobs(heartbeat)
		basis = basisOfStops(stops)
	case reg.isAcknowledged(machine, heartbeat):
		basis = Acknowledged
	default:
		basis = AwaitsLeader
	}
	reg.recordBasis(machine, basis)
	return stops, basis != AwaitsLeader
}

// basisOfStops returns the basis of an answer by the list of open jobs that must carry the given stops.
//
// Guard: an answer extends the lease of every task that the heartbeat shows. One that left out some of the stops would
// keep cancelled tasks alive (TestAwaitsAcknowledgement). Direct calls stop tasks meanwhile.
//
// Guard: a machine may hold some hundred small tasks of a cancelled job. When their stops were too many for an answer,
// although a line holds them all, the machine was not answered, and tasks of other jobs on it ended with its lease
// (TestAwaitsAcknowledgement).
func basisOfStops(stops []model.Command) AnswerBasis {
	bytes := 0
	for i := range stops {
		bytes += len(longestStop) + len(stops[i].Task)
	}
	switch {
	case len(stops) == 0:
		return JobsOpen
	case bytes <= maxStopBytes:
		return StopsCancelled
	}
	return AwaitsLeader
}

// hasLiveTask reports whether a heartbeat shows a task that has not exited.
func hasLiveTask(heartbeat *model.Heartbeat) bool {
	for i := range heartbeat.Tasks {
		if heartbeat.Tasks[i].State != model.TaskExited {
			return true
		}
	}
	return false
}

// stopsOfClosedJobs returns a stop for each live task in a heartbeat whose job is not open.
//
// Guard: a leader did not know yet what ran on a machine, and had the restarted owner of the machine keep it alive. A
// task of a cancelled job ran for longer than cancel_s (TestRestartedOwnerStopsCancelledTasks). Other leaders knew the
// cancellation as well, but lost their right to act before they had acknowledged the machine's tasks (simtest, seed
// 7100019330).
func (reg *Registry) stopsOfClosedJobs(heartbeat *model.Heartbeat) (stops []model.Command) {
	for i := range heartbeat.Tasks {
		task := &heartbeat.Tasks[i]
		job, _, _ := strings.Cut(task.Task, "/")
		if task.State == model.TaskExited || reg.openJobs.contains(job) {
			continue
		}
		noGrace := 0.0
		stops = append(stops, model.Command{Op: "stop", Task: task.Task, Attempt: task.Attempt, GraceS: &noGrace})
	}
	return stops
}

// isAcknowledged reports whether the leader has acknowledged all live tasks in a heartbeat under this token.
func (reg *Registry) isAcknowledged(machine *machineState, heartbeat *model.Heartbeat) bool {
	state := &machine.acknowledgement
	if !state.complete && reg.acknowledgedChange < state.listedChange {
		return false
	}
	// Until the worker reports our token, a start from an earlier leader may still reach it.
	state.complete = state.complete || machine.phase == Current
	return machine.knowsLiveTasks(heartbeat)
}

// knowsLiveTasks reports whether all live tasks in a heartbeat are known. A heartbeat that was not applied may show
// others.
func (m *machineState) knowsLiveTasks(heartbeat *model.Heartbeat) bool {
	for i := range heartbeat.Tasks {
		task := &heartbeat.Tasks[i]
		if task.State != model.TaskExited && !m.knows(task, i) {
			return false
		}
	}
	return true
}

// knows reports whether a task in a heartbeat is known. It is found at once if it stands at the expected index, as in
// a heartbeat that was applied.
func (m *machineState) knows(task *model.TaskStatus, expected int) bool {
	for i := range m.tasks {
		known := m.tasks[(expected+i)%len(m.tasks)]
		if known.Attempt == task.Attempt && keyOf(known).isNamed(task.Task) {
			return true
		}
	}
	return false
}

// recordBasis counts an answer to a machine with live tasks, and logs it if the last one under this token had
// another basis.
func (reg *Registry) recordBasis(machine *machineState, basis AnswerBasis) {
	if basis == NoTasks {
		return
	}
	if reg.options.OnAnswer != nil {
		reg.options.OnAnswer(basis)
	}
	if machine.acknowledgement.basis == basis {
		return
	}
	machine.acknowledgement.basis = basis
	if reg.options.Log != nil {
		reg.options.Log.Debug("report with tasks", "basis", string(basis), "machine", machine.name, "phase", string(machine.phase), "token", reg.token,
			"open_jobs", len(reg.openJobs.jobs), "listed", machine.acknowledgement.listedChange, "acknowledged", reg.acknowledgedChange)
	}
}
