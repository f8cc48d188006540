package placement

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/operators/operatorspb"
)

// maxBlockingTasks is the maximum number of tasks that a blockers response lists.
const maxBlockingTasks = 40

// Blockers returns how many of a gang's members would find capacity now and in which zone, and the tasks that hold the
// missing capacity; nil if there is no such job.
func (cs *ClusterState) Blockers(id string, now time.Time) (out *operatorspb.BlockersResponse) {
	if j := cs.jobs.At(id); j != nil {
		cs.withReadOnly(func() { out = cs.blockers(j, now) })
	}
	return out
}

func (cs *ClusterState) blockers(job *Job, now time.Time) *operatorspb.BlockersResponse {
	cs.queue(now) // computes the job's queue key
	response := &operatorspb.BlockersResponse{Job: job.Spec.ID, Pieces: uint32(max(0, job.Unplaced()))}
	assignments, fits := cs.capacityForTasks(job, max(0, job.Unplaced()), nil, now)
	response.Placed = uint32(fits)
	if job.Spec.OneZone && len(assignments) > 0 {
		response.Zone = assignments[0].machine.Pool.Zone
	}
	if fits >= job.Unplaced() {
		return response
	}
	blocking := cs.blockingTasks(job, response.Zone, now)
	slices.SortStableFunc(blocking, blockingTask.compare)
	listed := blocking[:min(len(blocking), maxBlockingTasks)]
	response.More = uint32(len(blocking) - len(listed))
	for _, blocker := range listed {
		row := blockingRow(blocker.Task, now)
		row.MayStop, row.Why = cs.explainPreemption(job, blocker.Task, job.preemptionPriority(now), now)
		response.Holders = append(response.Holders, row)
	}
	return response
}

// blockingTask is a task that holds capacity which a gang lacks.
type blockingTask struct {
	*Task
	mayStop   bool
	remaining time.Duration // until it ends, as estimated, or neverEnds
}

// compare orders tasks that may be preempted before others, and then by the time until they end.
func (b blockingTask) compare(other blockingTask) int {
	return cmp.Or(cmp.Compare(sortTrueFirst(b.mayStop), sortTrueFirst(other.mayStop)), cmp.Compare(b.remaining, other.remaining))
}

// blockingTasks returns the tasks on machines that a job may run on but that have no capacity for it. If zone isn't empty,
// only machines in that zone are considered.
func (cs *ClusterState) blockingTasks(job *Job, zone string, now time.Time) []blockingTask {
	var blocking []blockingTask
	priority, pools := job.preemptionPriority(now), cs.poolsFor(job)
	for _, machine := range cs.machines.All() {
		if !machine.usable() || !job.allowsMachine(machine, pools, zone) || job.Spec.Size.Fits(cs.free(machine, job, now)) {
			continue
		}
		for _, task := range machine.tasks.All() {
			blocking = append(blocking, blockingTask{
				Task:      task,
				mayStop:   task.stopping || cs.mayPreempt(job, task, priority, now),
				remaining: remainingOf(task, now),
			})
		}
	}
	return blocking
}

// neverEnds is the remaining time of a task that never ends by itself.
const neverEnds time.Duration = -time.Second

// remainingOf returns the estimated time until a task ends, or neverEnds for a replica.
func remainingOf(task *Task, now time.Time) time.Duration {
	if task.job.Spec.Shape == model.Service {
		return neverEnds
	}
	return task.remaining(now)
}

// blockingRow returns the row of a task that holds capacity.
func blockingRow(task *Task, now time.Time) *operatorspb.Holder {
	spec := task.job.Spec
	row := &operatorspb.Holder{
		Task:     model.TaskName(spec.ID, task.index),
		Node:     task.machine.Name,
		Team:     spec.Team,
		Priority: string(spec.Priority),
		Cpus:     spec.Size.CPUs,
		Gpus:     spec.Size.GPUs,
		LeftS:    remainingOf(task, now).Seconds(),
	}
	return row
}

// explainPreemption reports whether a task may be preempted for a job, with the reason for operators, or the work that
// would be lost.
func (cs *ClusterState) explainPreemption(job *Job, task *Task, priority int, now time.Time) (bool, string) {
	switch {
	case task.stopping:
		return true, "is being stopped"
	case cs.mayPreempt(job, task, priority, now) && task.job.effectivePriority < priority:
		return true, fmt.Sprintf("lower priority; %v of work would be lost", cs.preemptionLoss(task, now).Round(time.Second))
	case cs.mayPreempt(job, task, priority, now):
		return true, "its team runs it beyond its guarantee"
	case task.state == model.TaskOrdered:
		return false, "its start is under way"
	case task.job.effectivePriority == priority:
		return false, "equal priority"
	}
	return false, "higher priority"
}
