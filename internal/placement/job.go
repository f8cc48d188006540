package placement

import (
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

// Job is a job that is not finished, with everything that the leader knows about it.
//
// Invariants: boundCounts counts exactly the tasks in bound. A task whose index is neither in finished nor in bound is waiting to be placed.
// storedFinished is a subset of finished. The job's usage counts exactly its bound tasks.
type Job struct {
	// From the job's record.
	Spec      *model.Job
	Accepted  time.Time // by the wall clock of the controller that accepted it
	Revision  uint64    // of the stored record
	Started   bool
	Cancelled bool

	firstSeen time.Time  // by this leader
	usage     *teamUsage // of its team

	// Tasks. Placement has not been attempted yet for tasks from nextTask on; retryTasks are to be placed again.
	finished *model.TaskSet
	bound    *model.Table[int, *Task]
	boundCounts
	nextTask   int
	retryTasks []int

	// Pools on which the tasks may run, computed at poolsGeneration; see poolsFor.
	pools           []model.Pool
	poolsGeneration uint64
	poolSet         int        // number of the set of pools
	leastNeed       model.Size // see leastNeedOn

	queueState
	searchState
	retryState
	writeState
	gangState
}

// queueState is a job's position in the queue.
type queueState struct {
	queueKey          queueKey      // sort key in the last computed queue
	queueNumber       uint64        // of the last queue that contained the job
	effectivePriority int           // its own priority, or that of a job which depends on it
	dueWithin         time.Duration // time from Accepted until the job is due; 0: it has no deadline
	boostedInOverload bool          // it got a deadline boost while the cluster was pressed; see boostDeadlines
}

// searchState records the outcome of earlier searches for free capacity for a job, and its reservations.
type searchState struct {
	searchedAtEvent     uint64    // value of capacityEvents at the last search
	lastRoundConsidered uint64    // last round in which it was considered, or was known to find no capacity
	lastEmptyRoundAt    time.Time // when it last found no capacity
	unplacedSince       time.Time // since when it has had tasks without capacity

	lastPreemptSearch uint64    // last round that searched for tasks to preempt for it
	preemptedAt       time.Time // when tasks were last preempted for it
	reservedUntil     time.Time // until when the capacity of the preempted tasks is reserved for it
}

// Finished returns the number of finished tasks.
func (j *Job) Finished() int { return j.finished.Len() }

// Bound returns the number of bound tasks.
func (j *Job) Bound() int { return j.bound.Len() }

// Unplaced returns the number of tasks that are neither finished nor bound; 0 for a cancelled job.
func (j *Job) Unplaced() int {
	if j.Cancelled {
		return 0
	}
	return j.Spec.Tasks - j.finished.Len() - j.bound.Len()
}

// allTasksFinished reports whether all tasks of the job are finished.
func (j *Job) allTasksFinished() bool { return j.finished.Len() == j.Spec.Tasks }
