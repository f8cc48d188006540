// Package deadline decides which jobs are boosted to the front of the queue because they must
// begin soon to meet the deadline by which every job must have begun. It does no input or output
// and reads no clock: the facts about a job and the current time are its input.
//
// An array job has begun when as many of its tasks have started as its team's limit allows at
// once; a gang or a service has begun when all of its tasks have started. A job is boosted from
// its lead time before the deadline until it has begun or the deadline has passed. Boosted jobs
// are queued before all other jobs, in the order in which their boosts began. That is the order
// of their age, except that large jobs are boosted sooner because they take longer to gather
// capacity. (While more jobs are boosted than can begin in time, the queue orders them by the
// time that each has left.) No task is preempted because of a boost, and limits still hold. Jobs
// that have begun, that have missed the deadline or that are not boosted yet are ordered by
// priority and guarantee.
package deadline

import "time"

// Rule is the deadline by which every job must have begun, and the margin of its lead time.
type Rule struct {
	BeginWithin time.Duration // time after its submission in which a job must begin; 0 means no deadline
	Margin      time.Duration // part of the lead time for rounds, starts and a user's failed attempts to submit
}

// JobFacts holds the properties of a pending job that its boost depends on.
type JobFacts struct {
	Accepted              time.Time
	TasksToStart          int // tasks that must still start before the job has begun; 0 if it has begun
	TaskCPUs              float64
	TaskRuntime           time.Duration // estimated
	ImageFetch            time.Duration // time to fetch the job's image if no machine has it
	CapacityCPUs          float64       // CPUs that the job could use if no other job used any
	LongWaitingGatherTime time.Duration // sum of the gather times of the jobs for which IsLongWaiting is true
}

// MaxGatherTime is the longest gather time, far longer than any time within which jobs are to start. A job's tasks may need
// more than a duration can hold.
const MaxGatherTime = 10_000 * time.Hour

// GatherTime returns how long the job's tasks take to start if they run one after the other on all
// the capacity that the job could use; they cannot start faster. It returns 0 if the capacity is
// unknown.
func (f JobFacts) GatherTime() time.Duration {
	if f.CapacityCPUs <= 0 {
		return 0
	}
	batches := float64(f.TasksToStart) * f.TaskCPUs / f.CapacityCPUs
	return time.Duration(min(batches*float64(f.TaskRuntime), float64(MaxGatherTime)))
}

// longWait returns the age from which a job's gather time counts in the LongWaitingGatherTime of
// later calls. It is also the LongWaitingGatherTime up to which a job's lead time is not extended.
func (r Rule) longWait() time.Duration { return r.BeginWithin / 4 }

// maxLeadTime returns the upper bound of lead times, which is half of BeginWithin. No job is
// boosted before that age.
func (r Rule) maxLeadTime() time.Duration { return r.BeginWithin / 2 }

// IsLongWaiting reports whether a job has waited for so long that its gather time counts in the
// LongWaitingGatherTime of later calls.
func (r Rule) IsLongWaiting(facts JobFacts, now time.Time) bool {
	age := now.Sub(facts.Accepted)
	return facts.TasksToStart > 0 && age >= r.longWait() && age < r.BeginWithin
}

// LeadTime returns how long before its deadline a job is boosted. It is the sum of the margin, the
// time to fetch the image, twice the gather time and, if LongWaitingGatherTime is more than a
// quarter of BeginWithin, one and a half times the excess. It is at most half of BeginWithin.
func (r Rule) LeadTime(facts JobFacts) time.Duration {
	excess := max(0, facts.LongWaitingGatherTime-r.longWait())
	return min(r.Margin+facts.ImageFetch+2*facts.GatherTime()+excess+excess/2, r.maxLeadTime())
}

// Boost reports whether a job is boosted, and since when. Boosted jobs are ordered by that time.
func (r Rule) Boost(facts JobFacts, now time.Time) (since time.Time, boosted bool) {
	age := now.Sub(facts.Accepted)
	if facts.TasksToStart == 0 || age < r.maxLeadTime() || age >= r.BeginWithin {
		return time.Time{}, false
	}
	since = facts.Accepted.Add(r.BeginWithin - r.LeadTime(facts))
	return since, !now.Before(since)
}
