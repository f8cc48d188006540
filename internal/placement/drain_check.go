package placement

import (
	"fmt"
	"slices"
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

// UnplaceableJob is a job whose tasks would not find enough capacity after a drain.
type UnplaceableJob struct {
	Job   string
	Tasks int    // tasks without capacity
	Why   string // the reason, for operators
}

// DrainCheck returns how many machines a drain would cover, and the jobs whose tasks would not find enough capacity
// after it. canLaunch reports whether more machines of a pool can be launched. The cluster state isn't changed.
func (cs *ClusterState) DrainCheck(drain *Drain, now time.Time, canLaunch func(pool model.Pool, spot bool) bool) (covered int, unplaceable []UnplaceableJob) {
	cs.withReadOnly(func() { covered, unplaceable = cs.drainCheck(drain, now, canLaunch) })
	return covered, unplaceable
}

func (cs *ClusterState) drainCheck(drain *Drain, now time.Time, canLaunch func(pool model.Pool, spot bool) bool) (covered int, unplaceable []UnplaceableJob) {
	capacity := cs.newFreeCapacity(now, nil)
	for pool, all := range capacity.byPool {
		capacity.byPool[pool] = slices.DeleteFunc(all, func(on *machineCapacity) bool { return drain.covers(on.machine.Name, on.machine.Pool) })
	}
	for _, machine := range cs.machines.All() {
		if drain.covers(machine.Name, machine.Pool) {
			covered++
		}
	}
	for _, job := range cs.jobs.All() {
		if unplaceableJob, found := cs.unplaceableJobOf(job, drain, capacity, canLaunch); found {
			unplaceable = append(unplaceable, unplaceableJob)
		}
	}
	return covered, unplaceable
}

// unplaceableJobOf checks one job against a drain, and allocates free capacity of the other machines to the tasks that
// the drain would displace.
func (cs *ClusterState) unplaceableJobOf(job *Job, drain *Drain, capacity *freeCapacity, canLaunch func(pool model.Pool, spot bool) bool) (unplaceableJob UnplaceableJob, found bool) {
	displaced := drain.tasksOf(job)
	waiting := job.Unplaced() > 0
	if job.Cancelled || (displaced == 0 && !waiting) {
		return UnplaceableJob{}, false
	}
	remaining := drain.remainingPools(cs.poolsFor(job))
	if len(remaining) == 0 && len(cs.poolsFor(job)) > 0 {
		return UnplaceableJob{Job: job.Spec.ID, Tasks: max(displaced, job.Unplaced()), Why: "it may run nowhere else"}, true
	}
	missing := capacity.allocate(job, "", displaced)
	if missing == 0 {
		return UnplaceableJob{}, false
	}
	for _, pool := range remaining {
		if canLaunch(pool, false) || (job.Spec.Spot && canLaunch(pool, true)) {
			return UnplaceableJob{}, false
		}
	}
	why := fmt.Sprintf("no room for tasks of %g CPUs, and the cloud has no more machines for them", job.Spec.Size.CPUs)
	return UnplaceableJob{Job: job.Spec.ID, Tasks: missing, Why: why}, true
}

// tasksOf returns the number of a job's tasks on machines that the drain covers.
func (d *Drain) tasksOf(job *Job) int {
	n := 0
	for _, task := range job.bound.All() {
		if d.covers(task.machine.Name, task.machine.Pool) {
			n++
		}
	}
	return n
}

// remainingPools returns the pools whose machines are not all covered by the drain.
func (d *Drain) remainingPools(pools []model.Pool) []model.Pool {
	var remaining []model.Pool
	for _, pool := range pools {
		if !d.coversPool(pool) {
			remaining = append(remaining, pool)
		}
	}
	return remaining
}
