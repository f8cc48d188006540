package placement

import (
	"time"
)

// InheritedPriority is what a job inherits from the jobs that depend on it.
type InheritedPriority struct {
	Rank int       // lower bound of the job's effective priority
	Due  time.Time // when the job should be complete; zero: no due time is inherited
}

// SetInheritedPriorities replaces the priorities and due times that the open jobs inherit from the jobs that
// depend on them.
func (cs *ClusterState) SetInheritedPriorities(inherited map[string]InheritedPriority) {
	cs.inherited = inherited
	for id, job := range cs.jobs.All() {
		job.applyInheritedPriority(inherited[id])
	}
}

// applyInheritedPriority computes a job's effective priority and due time from its own values and the inherited
// ones.
func (j *Job) applyInheritedPriority(inherited InheritedPriority) {
	j.effectivePriority, j.dueWithin = j.Spec.Priority.Rank(), j.Spec.Deadline
	j.effectivePriority = max(j.effectivePriority, inherited.Rank)
	if inherited.Due.IsZero() {
		return
	}
	if within := max(inherited.Due.Sub(j.Accepted), time.Millisecond); j.dueWithin == 0 || within < j.dueWithin {
		j.dueWithin = within
	}
}

// preemptionPriority returns the priority with which a job preempts. An inherited priority counts only once the
// time until the job is due runs out: most jobs are in time without preempting, and most of the work that is
// preempted for them is lost.
func (j *Job) preemptionPriority(now time.Time) int {
	if j.dueWithin > 0 && now.Add(j.Spec.Estimate*3/2).After(j.Accepted.Add(j.dueWithin)) {
		return j.effectivePriority
	}
	return j.Spec.Priority.Rank()
}

// queuePriority returns a job's priority in the queue. A job with an inherited priority is ordered behind the
// jobs that have that priority themselves, whose time doesn't depend on other jobs, and before all jobs of lower
// priority.
func (j *Job) queuePriority() int {
	if own := j.Spec.Priority.Rank(); own >= j.effectivePriority {
		return 2 * own
	}
	return 2*j.effectivePriority - 1
}
