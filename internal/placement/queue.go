package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

// queueKey holds the values by which a pending job is ordered in the queue before its age is compared.
type queueKey struct {
	boostedSince time.Time // orders the jobs with a deadline boost; zero: the job has none
	priority     int
	guaranteed   int // 0: within its team's guarantee, which comes first; 1: not
	served       float64
	due          time.Time
	waitsForSpot bool // only spot machines are requested for the job; not used for ordering
}

// compareQueued defines the order of the queue: jobs with a deadline boost come first, then the order is by
// priority, guarantee, least served team, due time and age. The order is total, because jobs that are otherwise
// equal are ordered by ID.
func compareQueued(x, y *Job) int {
	return cmp.Or(
		compareBoosts(x.queueKey.boostedSince, y.queueKey.boostedSince),
		cmp.Compare(y.queueKey.priority, x.queueKey.priority),
		cmp.Compare(x.queueKey.guaranteed, y.queueKey.guaranteed),
		cmp.Compare(x.queueKey.served, y.queueKey.served),
		x.queueKey.due.Compare(y.queueKey.due),
		x.Accepted.Compare(y.Accepted),
		cmp.Compare(x.Spec.ID, y.Spec.ID),
	)
}

// queue recomputes the queue keys of the pending jobs and returns these jobs in the queue's order.
func (cs *ClusterState) queue(now time.Time) []*Job {
	// Sorting starts from the last queue, because sorting a nearly sorted slice is cheap. The order is total,
	// so the result doesn't depend on the initial order.
	queue := slices.DeleteFunc(cs.lastQueue, func(job *Job) bool { return cs.jobs.At(job.Spec.ID) != job || !job.isPending(now) })
	cs.queueCount++
	for _, job := range queue {
		job.queueNumber = cs.queueCount
	}
	for _, job := range cs.jobs.All() {
		if job.queueNumber != cs.queueCount && job.isPending(now) {
			queue = append(queue, job)
		}
	}
	cs.sumRequested()
	for _, job := range queue {
		job.queueKey = queueKey{
			priority:     job.queuePriority(),
			guaranteed:   sortTrueFirst(job.usage.team.WithinGuarantee(job.usage.size.Add(job.Spec.Size))),
			served:       cs.recentUsagePerGuarantee(job, now),
			due:          cs.dueTime(job, now, !job.usage.team.WithinLimit(job.usage.requested)),
			waitsForSpot: cs.waitsForSpot(job, now),
		}
	}
	cs.boostDeadlines(queue, now)
	slices.SortFunc(queue, compareQueued)
	cs.lastQueue = queue
	return slices.Clone(queue)
}

// isPending reports whether a job has tasks that may be placed now.
func (j *Job) isPending(now time.Time) bool {
	if j.Unplaced() <= 0 || now.Before(j.retryAt) {
		return false
	}
	// A gang, or a suspected poison job, is not pending while any of its tasks is bound: the old tasks of a
	// gang keep their machines until they exit.
	return j.Spec.Shape != model.Gang && !j.SuspectedPoison() || j.bound.Len() == 0
}

// waitsForSpot reports whether only spot machines are requested for a job. This holds for an array of long tasks
// without a start objective: for the time that operators set (Options.Unhurried), but for no more than half of
// the time within which the job is due, less the estimated run time. Meanwhile the job may still run wherever
// there is free capacity.
func (cs *ClusterState) waitsForSpot(job *Job, now time.Time) bool {
	spec, objective := job.Spec, cs.opt.Aims[job.Spec.Class]
	if !spec.Spot || spec.Shape != model.Array || spec.Estimate <= minimumBilledTime || objective.Wait > 0 ||
		!slices.ContainsFunc(cs.poolsFor(job), func(pool model.Pool) bool { return cs.types[pool.Type].SpotPrice > 0 }) {
		return false
	}
	delay := cs.opt.Unhurried
	for _, within := range []time.Duration{job.dueWithin, objective.Finished} {
		if within > 0 {
			delay = min(delay, within/2-spec.Estimate)
		}
	}
	return now.Before(job.Accepted.Add(delay))
}

// allowsMarket reports whether a job's tasks may run on spot machines, or on on-demand machines if spot is false.
func (j *Job) allowsMarket(spot bool) bool { return !spot || j.Spec.Spot }

// defaultDueWithin is the due time of jobs without a deadline. It orders them behind jobs with one.
const defaultDueWithin = 24 * time.Hour

// longestQueueDelay is the longest time by which a job counts as younger for the work that it still has to do.
//
// Guard: the work of an accepted job may be beyond every duration. Its due time was then long past, and the job was ordered
// before all others (TestEndlessWorkDoesNotJumpTheQueue).
const longestQueueDelay = 100 * 365 * 24 * time.Hour

// sumRequested computes the total size that each team's jobs request.
func (cs *ClusterState) sumRequested() {
	for _, usage := range cs.teamUsages {
		usage.requested = model.Size{}
	}
	for _, job := range cs.jobs.All() {
		if !job.Cancelled && !job.SuspectedPoison() {
			job.usage.requested = job.usage.requested.Add(job.Spec.Size.Times(job.Spec.Tasks - job.finished.Len()))
		}
	}
}

// dueTime returns the time by which the queue's order expects a job to be complete: its deadline or, unless its
// team is limited, the objective of its class. A job that can no longer meet these is ordered with the jobs that
// have neither, because placing it sooner would only make others late.
//
// Jobs without a due time are ordered by age. A job counts as younger the more work, relative to its team's
// limit, it still has to do: while a limit holds a team back, short jobs go first, and long jobs don't starve.
func (cs *ClusterState) dueTime(job *Job, now time.Time, limited bool) time.Time {
	within := job.dueWithin
	objective := cs.opt.Aims[job.Spec.Class]
	if limited {
		objective = model.Objective{}
	}
	for _, d := range []time.Duration{objective.Finished, objective.Wait + job.Spec.Estimate} {
		if d > job.Spec.Estimate && (within == 0 || d < within) {
			within = d
		}
	}
	if due := job.Accepted.Add(within); now.Add(job.Spec.Estimate).Before(due) {
		return due
	}
	wait := defaultDueWithin
	if limit := cs.configuredLimit(job).CPUs; limit > 0 && job.Spec.Shape != model.Service {
		work := job.Spec.Size.CPUs * float64(job.Spec.Tasks-job.finished.Len()) * job.Spec.Estimate.Seconds()
		wait += model.Seconds(min(cs.opt.ShortFirst*work/limit, longestQueueDelay.Seconds()))
	}
	return job.Accepted.Add(wait)
}

// sortTrueFirst returns a sort key that orders true before false.
func sortTrueFirst(first bool) int {
	if first {
		return 0
	}
	return 1
}
