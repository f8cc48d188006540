package placement

import (
	"time"

	"github.com/marlwood/marlwood/internal/deadline"
	"github.com/marlwood/marlwood/internal/model"
)

// startMargin is the time that the deadline boost adds for queueing, for starts, and for the user's attempts to
// submit the job before it was accepted.
const startMargin = 30 * time.Second

// deadlineRule returns the rule for the time within which jobs are to start.
func (cs *ClusterState) deadlineRule() deadline.Rule {
	return deadline.Rule{BeginWithin: cs.opt.BeginWithin, Margin: startMargin}
}

// deadlineFacts returns the facts on which a job's deadline boost depends.
func (cs *ClusterState) deadlineFacts(job *Job) deadline.JobFacts {
	facts := deadline.JobFacts{
		Accepted:              job.Accepted,
		TasksToStart:          cs.tasksToStart(job),
		TaskCPUs:              job.Spec.Size.CPUs,
		TaskRuntime:           job.Spec.Estimate,
		CapacityCPUs:          cs.usableCPUs,
		LongWaitingGatherTime: cs.longWaitingGatherTime,
	}
	if limit := cs.configuredLimit(job).CPUs; limit > 0 && limit < facts.CapacityCPUs {
		facts.CapacityCPUs = limit
	}
	for _, pool := range cs.poolsFor(job) {
		if speed := cs.types[pool.Type].FetchGBPerS; speed > 0 {
			facts.ImageFetch = max(facts.ImageFetch, model.Seconds(job.Spec.ImageGB/speed))
		}
	}
	return facts
}

// boostDeadlines computes which pending jobs have a deadline boost (package deadline). The cluster counts as
// overloaded while the jobs that have waited for long need more than a quarter of Rule.BeginWithin to gather
// their capacity. Jobs that are boosted during an overload may use warm headroom, aren't preempted for jobs
// without a boost, and are ordered by the time that each still needs to gather its capacity. At a lower load
// nearly all jobs start in time without these measures.
//
// Guard: queries of operators compute the queue as well. Without readOnly, a query while jobs were boosted
// changed later decisions, and a replay of the recording, which contains no queries, decided differently.
func (cs *ClusterState) boostDeadlines(pending []*Job, now time.Time) {
	rule, others := cs.deadlineRule(), time.Duration(0)
	overloaded := cs.longWaitingGatherTime > rule.BeginWithin/4
	for _, job := range pending {
		job.queueKey.boostedSince = time.Time{}
		if now.Sub(job.Accepted) < rule.BeginWithin/4 || job.SuspectedPoison() {
			continue // this holds for most jobs, and is cheap to check
		}
		facts := cs.deadlineFacts(job)
		if rule.IsLongWaiting(facts, now) {
			// Guard: the share of its team's limit that a job uses doesn't measure what it takes from
			// other jobs. When the limit was used in place of the cluster's capacity, limits of a tenth
			// of the cluster made every day look overloaded.
			clusterFacts := facts
			clusterFacts.CapacityCPUs = cs.usableCPUs
			others = min(others+clusterFacts.GatherTime(), deadline.MaxGatherTime)
		}
		if since, boosted := rule.Boost(facts, now); boosted {
			job.queueKey.boostedSince = since
			if !cs.readOnly {
				job.boostedInOverload = job.boostedInOverload || overloaded
			}
			if overloaded {
				// Guard: when boosted jobs were ordered by age, all of them started a little too late.
				// The job that has least left to start goes first, so that most jobs start in time.
				job.queueKey.boostedSince = now.Add(facts.GatherTime())
			}
		}
	}
	if !cs.readOnly {
		cs.longWaitingGatherTime = others
	}
}

// tasksToStart returns the number of tasks that must still start until a job counts as started. An array counts
// as started with as many tasks as its team's limit allows at once, any other job with all its tasks.
func (cs *ClusterState) tasksToStart(job *Job) int {
	tasks := job.Spec.Tasks
	if job.Spec.Shape == model.Array {
		tasks = tasksWithin(cs.configuredLimit(job), model.Size{}, job.Spec.Size, tasks)
	}
	return max(0, tasks-job.finished.Len()-job.bound.Len())
}

// compareBoosts orders boosted jobs before the others, and boosted jobs by the time of the boost, the earliest
// first.
func compareBoosts(x, y time.Time) int {
	switch {
	case x.IsZero() && y.IsZero():
		return 0
	case x.IsZero():
		return 1
	case y.IsZero():
		return -1
	}
	return x.Compare(y)
}
