package placement

import (
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

// UpcomingJob is a job that is released as soon as some open jobs are done.
type UpcomingJob struct {
	Spec      *model.Job
	DependsOn []string
}

// dependencyEnd is the question whether a job is done within a duration.
type dependencyEnd struct {
	job    string
	within time.Duration
}

// SetUpcomingJobs replaces the jobs that are about to be released. Machines are requested and kept for the jobs whose
// release is expected within the boot time of a machine. These jobs are not in the queue.
func (cs *ClusterState) SetUpcomingJobs(upcoming []UpcomingJob, now time.Time) {
	cs.upcoming = cs.upcoming[:0]
	ends := map[dependencyEnd]bool{} // many jobs may depend on one with many tasks
	for _, expected := range upcoming {
		job := &Job{
			Spec:        expected.Spec,
			Accepted:    now,
			usage:       cs.usageOf(expected.Spec.Team),
			finished:    model.NewTaskSet(0),
			queueState:  queueState{effectivePriority: expected.Spec.Priority.Rank()},
			searchState: searchState{lastRoundConsidered: cs.roundNumber},
		}
		bootTime := cs.maxBootTime(job)
		soon := true
		for _, id := range expected.DependsOn {
			end := dependencyEnd{id, bootTime}
			if _, known := ends[end]; !known {
				ends[end] = cs.endsWithin(cs.jobs.At(id), bootTime, now)
			}
			soon = soon && ends[end]
		}
		if soon {
			cs.upcoming = append(cs.upcoming, job)
		}
	}
}

// endsWithin reports whether a job is estimated to be done within a duration.
func (cs *ClusterState) endsWithin(job *Job, within time.Duration, now time.Time) bool {
	if job == nil || job.Unplaced() > 0 {
		return false
	}
	for _, task := range job.bound.All() {
		if task.remaining(now) > within {
			return false
		}
	}
	return true
}
