package placement

import (
	"cmp"
	"context"
	"log/slog"
	"time"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/peers/peerspb"
)

// taskKey identifies a task.
type taskKey struct {
	job   string
	index int
}

// newMachineTasks returns an empty table of a machine's tasks, ordered by job and index.
func (cs *ClusterState) newMachineTasks() *model.Table[taskKey, *Task] {
	tasks := model.NewTableBy[taskKey, *Task](func(x, y taskKey) int {
		return cmp.Or(cmp.Compare(x.job, y.job), cmp.Compare(x.index, y.index))
	})
	return tasks.CountVisits(cs.work)
}

// newJobTasks returns an empty table of a job's bound tasks, ordered by index.
func (cs *ClusterState) newJobTasks() *model.Table[int, *Task] {
	return model.NewTable[int, *Task]().CountVisits(cs.work)
}

// Task is a task that is bound to a machine: it is held by a claim, its start is ordered, or it runs or may run there.
type Task struct {
	job     *Job
	index   int
	attempt uint64
	machine *Machine
	boundAt time.Time

	state          model.TaskState
	stateSince     time.Time
	accountedUntil time.Time // until when its usage is counted

	// The order to start the task. The start of a gang member is not ordered while it is held by the gang's claim,
	// that is, until the claim is stored and its machine can take it.
	orderToken  uint64 // fencing token of the order
	orderID     uint64
	heldByClaim bool

	// The order to stop the task.
	stopping  bool
	grace     time.Duration // time to checkpoint
	stopToken uint64        // fencing token under which the stop was last ordered
}

// setState sets a bound task's state. No other function changes it.
func (t *Task) setState(state model.TaskState, now time.Time) {
	if t.state != state {
		if t.machine.log.Enabled(context.Background(), slog.LevelDebug) {
			t.machine.log.Debug("task state changed", "task", model.TaskName(t.job.Spec.ID, t.index), "machine", t.machine.Name,
				"from", t.state, "to", state, "after", now.Sub(t.stateSince))
		}
		t.job.countState(t.state, -1)
		t.job.countState(state, 1)
		t.state, t.stateSince = state, now
	}
}

// bind binds a task to its machine, and adds its size to the machine's load and its team's usage.
func (cs *ClusterState) bind(task *Task) {
	cs.bindCount++
	task.boundAt, task.accountedUntil = task.stateSince, task.stateSince
	task.attach()
	task.machine.load = task.machine.load.Add(task.job.Spec.Size)
	task.job.usage.add(task.job.Spec.Size)
}

// unbind undoes bind.
func (t *Task) unbind() {
	machine := t.machine
	t.detach()
	machine.load = machine.load.Sub(t.job.Spec.Size)
	t.job.usage.remove(t.job.Spec.Size)
	if machine.tasks.Len() == 0 {
		machine.load = model.Size{} // discards accumulated rounding errors
	}
}

// release unbinds a task, and queues it for a retry unless it is finished. A cancelled job is deleted when its last
// bound task is released.
func (cs *ClusterState) release(task *Task, now time.Time) {
	machine, job := task.machine, task.job
	cs.skipSilentTime(task, now)
	cs.countUsage(task, now)
	cs.countWasted(task, now, job.finished.Has(task.index))
	task.unbind()
	cs.capacityEvents++
	job.memberUnbound(task)
	if machine.tasks.Len() == 0 {
		machine.IdleSince = now
	}
	if !job.finished.Has(task.index) {
		job.retryTasks = append(job.retryTasks, task.index)
	}
	if job.Cancelled && job.bound.Len() == 0 {
		cs.jobs.Delete(job.Spec.ID)
	}
}

// updateTask applies a bound task's reported state, and stops the task if it is no longer wanted.
func (cs *ClusterState) updateTask(now time.Time, task *Task, state model.TaskState) {
	job := task.job
	cs.countUsage(task, now)
	task.setState(state, now)
	if state != model.TaskFetching {
		cs.addCachedImage(task.machine, job.Spec)
	}
	if state == model.TaskRunning && !job.Started {
		job.Started, job.dirty = true, true
	}
	if job.Spec.Shape == model.Gang {
		job.attempt = task.attempt
		job.finishClaim()
	}
	if (job.Cancelled || job.finished.Has(task.index)) && !task.stopping {
		task.stopping, task.grace, task.stopToken = true, 0, 0
	}
	if state == model.TaskSaving && !task.stopping {
		// Guard: a task that checkpoints although this leader sent no stop was stopped by an earlier leader. Without
		// this, the leader treated it as a task that has not started, and a drain stopped it without granting the
		// checkpoint time that the earlier leader had granted.
		task.stopping, task.grace, task.stopToken = true, graceFor(job.Spec), cs.token
	}
	if task.stopping && task.stopToken != cs.token {
		cs.sendStop(task)
	}
}

// startRetryWait is how long a job waits after a machine did not execute the start of one of its tasks.
const startRetryWait = time.Second

// taskExited applies a bound task's reported exit, and releases the task.
func (cs *ClusterState) taskExited(now time.Time, task *Task, reported *peerspb.Task) {
	job, machine := task.job, task.machine
	cs.skipSilentTime(task, now)
	cs.countUsage(task, now)
	cs.countWasted(task, now, reported.Saved || model.Cause(reported.Cause) == model.CauseDone)
	task.setState(model.TaskExited, now)
	if job.claim != nil && job.claim.Attempt == task.attempt {
		cs.releaseClaim(job, now)
	}
	switch model.Cause(reported.Cause) {
	case model.CauseDone:
		cs.markFinished(job, task.index)
		machine.failures = nil
		job.clearFailureHistory()
	case model.CauseError:
		cs.taskFailed(now, task)
	case model.CauseNoCapacity, model.CauseBusy, model.CauseUnknown, model.CauseIsolated:
		job.retryAt = now.Add(startRetryWait)
	}
	cs.release(task, now)
	cs.sendForgetIfStored(machine, job, reported)
}

// markFinished records that a task is finished. For a gang it marks all members as finished.
func (cs *ClusterState) markFinished(job *Job, index int) {
	if job.Spec.Shape == model.Gang {
		if job.allTasksFinished() { // another member's exit has marked them
			return
		}
		cs.work.Add(uint64(job.Spec.Tasks))
		for i := range job.Spec.Tasks {
			if job.finished.Add(i) {
				job.dirty = true
			}
		}
		return
	}
	if job.finished.Add(index) {
		job.dirty = true
	}
}

// stopTask stops a bound task. For a gang it stops all bound members.
func (cs *ClusterState) stopTask(task *Task, grace time.Duration) {
	if task.job.Spec.Shape == model.Gang {
		for _, member := range task.job.bound.All() {
			cs.stopMember(member, grace)
		}
		return
	}
	cs.stopMember(task, grace)
}

// stopMember stops one bound task. It sends no second stop under the same token unless that leaves the task less time
// to checkpoint than the first one.
func (cs *ClusterState) stopMember(task *Task, grace time.Duration) {
	if task.heldByClaim {
		cs.releaseClaim(task.job, task.stateSince) // the task's start is not ordered yet
		return
	}
	if task.stopping && task.grace <= grace && task.stopToken == cs.token {
		return
	}
	task.stopping, task.grace = true, grace
	cs.sendStop(task)
}
