package placement

import (
	"time"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/peers/peerspb"
)

// reconciliation compares one machine's complete report with the tasks that are bound to the machine.
type reconciliation struct {
	cs      *ClusterState
	now     time.Time
	machine *Machine
	orphans int // running tasks that are not wanted on this machine
}

// confirmedTasks is the set of bound tasks that a report contains. It is passed as an argument rather than kept in the
// reconciliation, so that it does not have to be allocated for each report.
type confirmedTasks map[taskKey]bool

// reconcile updates the bound tasks of a machine to match its last report, which is complete. decided reports whether
// the outcome of an order was known when the report was made.
func (cs *ClusterState) reconcile(now time.Time, machine *Machine, decided func(order uint64) bool) {
	r := &reconciliation{cs: cs, now: now, machine: machine}
	confirmed := make(confirmedTasks, len(machine.reported))
	for _, reported := range machine.reported {
		r.compare(reported, confirmed)
	}
	machine.orphans = r.orphans
	cs.updateUnreconciled(machine)
	r.releaseUnconfirmed(confirmed, decided)
}

// compare handles one reported task.
func (r *reconciliation) compare(reported *peerspb.Task, confirmed confirmedTasks) {
	key := taskKey{reported.Job, int(reported.Index)}
	state := model.TaskState(reported.State)
	job := r.cs.jobs.At(reported.Job)
	if job == nil || int(reported.Index) >= job.Spec.Tasks {
		r.unknownJob(reported, state)
		return
	}
	task := job.bound.At(key.index)
	boundHere := task != nil && task.machine == r.machine && task.attempt == reported.Attempt
	switch {
	case boundHere:
		confirmed[key] = true
		r.boundTask(task, reported, state)
	case state == model.TaskExited:
		r.unboundExit(job, reported)
	case task == nil && !job.finished.Has(key.index):
		confirmed[key] = true
		r.adopt(key.index, job, reported.Attempt, state)
	default:
		// A second copy of a bound task, or a copy of a finished one: it only uses up capacity.
		r.orphan(reported, machineOf(task))
	}
}

// machineOf returns the machine of a bound task, or nil if the task is not bound.
func machineOf(task *Task) *Machine {
	if task == nil {
		return nil
	}
	return task.machine
}

// unknownJob handles a task of a job that is not open: it is finished, cancelled or unknown.
func (r *reconciliation) unknownJob(reported *peerspb.Task, state model.TaskState) {
	if state == model.TaskExited {
		r.cs.sendForget(r.machine, reported)
		return
	}
	r.orphan(reported, nil)
}

// orphan stops a reported task that is not wanted. boundTo is the machine to which the task is bound; nil: none.
func (r *reconciliation) orphan(reported *peerspb.Task, boundTo *Machine) {
	r.orphans++
	if r.orphans > r.machine.orphans { // otherwise it was logged at an earlier report
		r.logOrphan(reported, boundTo)
	}
	r.cs.sendStopReported(r.machine, reported)
}

// logOrphan logs a reported task that is not wanted, and where the task is wanted instead.
func (r *reconciliation) logOrphan(reported *peerspb.Task, boundTo *Machine) {
	bound := ""
	if boundTo != nil {
		bound = boundTo.Name
	}
	r.cs.opt.Log.Info("unwanted task reported", "machine", r.machine.Name, "task", model.TaskName(reported.Job, int(reported.Index)),
		"attempt", reported.Attempt, "state", reported.State, "bound", bound, "token", r.cs.token)
}

// boundTask handles a task that is bound to this machine.
func (r *reconciliation) boundTask(task *Task, reported *peerspb.Task, state model.TaskState) {
	if state == model.TaskExited {
		r.cs.taskExited(r.now, task, reported)
	} else {
		r.cs.updateTask(r.now, task, state)
	}
}

// unboundExit handles the exit of a task that is not bound to this machine, or is bound to it in another attempt.
func (r *reconciliation) unboundExit(job *Job, reported *peerspb.Task) {
	if job.claim != nil && job.claim.Attempt == reported.Attempt {
		r.cs.releaseClaim(job, r.now) // the claim of an attempt that an earlier leader started
	}
	if model.Cause(reported.Cause) == model.CauseDone {
		r.cs.markFinished(job, int(reported.Index))
	}
	r.cs.sendForgetIfStored(r.machine, job, reported)
}

// adopt binds a task that an earlier leader started.
func (r *reconciliation) adopt(index int, job *Job, attempt uint64, state model.TaskState) {
	task := &Task{
		job:        job,
		index:      index,
		attempt:    attempt,
		machine:    r.machine,
		state:      state,
		orderToken: r.cs.token,
		stateSince: r.now,
	}
	r.cs.bind(task)
	r.cs.accountAdopted(task, r.now)
	r.cs.updateTask(r.now, task, state)
}

// releaseUnconfirmed releases the bound tasks that the report does not contain.
func (r *reconciliation) releaseUnconfirmed(confirmed confirmedTasks, decided func(order uint64) bool) {
	for key, task := range r.machine.tasks.All() {
		if confirmed[key] {
			continue
		}
		// Guard: a start whose outcome was not decided when the report was made stays bound: the order may
		// still be executed.
		undecided := task.orderToken == r.cs.token && task.state == model.TaskOrdered && !decided(task.orderID)
		if task.heldByClaim || undecided {
			continue
		}
		r.cs.release(task, r.now)
	}
}
