package placement

import (
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

// replicaPreemptAfter is how long a job must have found no capacity before replicas that run beyond their
// team's guarantee are preempted for it.
const replicaPreemptAfter = 40 * time.Second

// minLossCPUs is the smallest number of CPUs by which the lost time of a task is multiplied.
const minLossCPUs = 0.1

// mayPreempt reports whether the rules allow preempting a task for a job that preempts with the given priority.
func (cs *ClusterState) mayPreempt(job *Job, task *Task, priority int, now time.Time) bool {
	return task.state != model.TaskOrdered && cs.mayPreemptJob(job, task.job, priority, now)
}

// mayPreemptJob reports whether the rules allow preempting a victim's started tasks for a job that preempts with the given
// priority. The tasks of a job that needed a deadline boost to start in time aren't preempted for a job without one.
func (cs *ClusterState) mayPreemptJob(job, victim *Job, priority int, now time.Time) bool {
	byPriority := victim.effectivePriority < priority && !cs.wouldBeReclaimed(job, victim)
	if !byPriority && !cs.isBorrowed(job, victim, now) {
		return false
	}
	return !victim.boostedInOverload || !job.queueKey.boostedSince.IsZero()
}

// isBorrowed reports whether a victim's tasks may be preempted to give a job's team its guarantee, because another team
// runs them beyond its own guarantee.
//
// Guard: replicas of one team ran, far beyond its guarantee, on all machines that gangs of five other teams fit
// on. A third of these gangs, each within its own team's guarantee, never started.
//
// Guard: when replicas were preempted as soon as a gang was pending, replicas with images of 30 GB were moved
// back and forth for gangs that would have found capacity within seconds. The replicas ran for 0.42 of their
// time, and for 0.76 without these preemptions.
func (cs *ClusterState) isBorrowed(job, victim *Job, now time.Time) bool {
	spec := victim.Spec
	if spec.Shape == model.Service && (job.unplacedSince.IsZero() || now.Sub(job.unplacedSince) < replicaPreemptAfter) {
		return false
	}
	return job.queueKey.guaranteed == 0 && spec.Team != job.Spec.Team && reclaimable(spec) &&
		!cs.teams[spec.Team].WithinGuarantee(victim.usage.size)
}

// wouldBeReclaimed reports whether a victim's team could take back the capacity that a job gained by preempting the
// victim's tasks: the team runs them within its guarantee, and the job runs beyond its team's guarantee.
//
// Guard: without this rule, a job of higher priority and a job within its team's guarantee preempted each
// other's tasks in turn, forever (simulation seed 1800003201).
func (cs *ClusterState) wouldBeReclaimed(job, victim *Job) bool {
	spec := job.Spec
	return job.queueKey.guaranteed != 0 && spec.Team != victim.Spec.Team && reclaimable(spec) &&
		cs.teams[victim.Spec.Team].WithinGuarantee(victim.usage.size)
}

// reclaimable reports whether a job's tasks may be preempted for a guarantee. Replicas may, because they never
// end by themselves, and so may the tasks of arrays that write checkpoints. Other tasks end soon or would lose
// their work.
func reclaimable(spec *model.Job) bool {
	return spec.Shape != model.Gang && (spec.Shape != model.Array || spec.CheckpointEvery != 0)
}

// preemptionLoss estimates the work lost when a task is preempted, in CPU time. A running replica loses the time
// until it runs again, which is at least the fetch of its image to a machine without it. A replica that is still
// fetching loses the time for which it has fetched.
//
// Guard: a replica that was still fetching used to count as no loss. It was preempted first, for one gang after
// the other, and restarted its minutes of fetching each time.
func (cs *ClusterState) preemptionLoss(task *Task, now time.Time) time.Duration {
	lost := now.Sub(task.stateSince)
	if task.state == model.TaskFetching && task.job.Spec.Shape == model.Service {
		return time.Duration(float64(lost) * max(task.job.Spec.Size.CPUs, minLossCPUs))
	}
	if task.state != model.TaskRunning {
		return 0
	}
	if speed := cs.types[task.machine.Pool.Type].FetchGBPerS; task.job.Spec.Shape == model.Service && speed > 0 {
		lost = model.Seconds(task.job.Spec.ImageGB / speed)
	}
	if interval := task.job.Spec.CheckpointEvery; interval > 0 {
		lost = min(lost, task.job.Spec.SaveTime)
	}
	return time.Duration(float64(lost) * max(task.job.Spec.Size.CPUs, minLossCPUs))
}

// fetchLoss returns the CPU time that a task of a job loses on a machine while the machine fetches its image.
func (cs *ClusterState) fetchLoss(j *Job, m *Machine) time.Duration {
	speed := cs.types[m.Pool.Type].FetchGBPerS
	if speed <= 0 || cs.machineHasImage(m, j.Spec.Image) {
		return 0
	}
	return model.Seconds(j.Spec.ImageGB / speed * j.Spec.Size.CPUs)
}

// graceFor returns the time that a stopped task of a job gets to write its checkpoint.
func graceFor(j *model.Job) time.Duration {
	if j.CheckpointEvery == 0 {
		return 0
	}
	return j.SaveTime + time.Second
}
