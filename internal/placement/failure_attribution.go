package placement

import (
	"sort"
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

// retryState is a job's failure history.
type retryState struct {
	retryAt               time.Time       // no task is started before this time
	failures              int             // since the history was last cleared; tasks that failed together count once
	failedOn              map[string]bool // machines on which its tasks failed
	roundsWithoutCapacity int             // consecutive rounds in which it found no capacity
}

// clearFailureHistory clears the failures of a job after one of its tasks finished or ran for long enough.
func (r *retryState) clearFailureHistory() { r.failures, r.failedOn = 0, nil }

// failureRecord counts the failures of one job's tasks on one machine, as evidence against the machine.
type failureRecord struct {
	failures int
	waves    int       // groups of failures: the failure of a task that was bound after last starts a new one
	last     time.Time // when the last wave started
}

// poisonMachineThreshold is the number of machines on which a job fails before the failures are attributed to the job.
// It applies as long as none of its tasks has finished.
const poisonMachineThreshold = 2

// proven reports whether a job is known to be able to succeed, because one of its tasks has finished.
func (j *Job) proven() bool { return j.finished.Len() > 0 }

// SuspectedPoison reports whether a job was probably submitted with a mistake: it failed on several machines, and none
// of its tasks has finished. It is retried with one task at a time, after growing pauses, and nothing is preempted or
// reserved for it. Machines are launched for one such job at a time, see longestUntried.
//
// Guard: such jobs stay until their users cancel them. Without these limits, a job with high priority preempted others
// every few seconds, and all tasks of an array of some hundred failed each time.
func (j *Job) SuspectedPoison() bool { return !j.proven() && len(j.failedOn) >= poisonMachineThreshold }

// trialInterval is how long after the last failure of a suspected job a machine is launched for its next try. With a
// machine's boot, the try comes within the 90 s for which users let a job wait.
const trialInterval = 45 * time.Second

// longestUntried returns the suspected job for whose next try machines are to be launched; nil if there is none: of those
// that failed trialInterval ago or longer, the one whose failure is the longest ago.
//
// Guard: without such a try, a job that had failed on two faulty machines waited for ever once no machine was left
// (TestJobThatFailedOnTwoMachines). With one for each job, jobs with mistakes would rent a machine each.
func longestUntried(queue []*Job, now time.Time) (longest *Job) {
	for _, job := range queue {
		if !job.SuspectedPoison() || job.retryAt.IsZero() || now.Sub(job.lastFailureAt()) < trialInterval {
			continue
		}
		if longest == nil || job.lastFailureAt().Before(longest.lastFailureAt()) {
			longest = job
		}
	}
	return longest
}

// lastFailureAt returns when a job that is not proven last failed.
func (j *Job) lastFailureAt() time.Time { return j.retryAt.Add(-j.retryPause(j.failures - 1)) }

// clearSuspicion clears a job's failure history once one of its tasks has run for uncordonAfter, the time for which a
// quarantined machine is withheld. The job still counts as proven only when a task finishes.
//
// Guard: no task of a service ever finishes. A service whose replicas had failed on two faulty machines was suspected
// permanently: while one replica ran, no other was started. An array of long tasks was held back until its first task
// finished.
func (j *Job) clearSuspicion(now time.Time) {
	if len(j.failedOn) == 0 {
		return
	}
	for _, task := range j.bound.All() {
		if task.state == model.TaskRunning && !task.stopping && now.Sub(task.stateSince) >= uncordonAfter {
			j.clearFailureHistory()
			return
		}
	}
}

// Limits of the pause after a failure. The pause doubles with each failure of a job that is not proven.
const (
	minRetryPause     = time.Second
	maxRetryPause     = time.Minute
	maxRetryDoublings = 6
)

// retryPause returns the pause after a failure of a job that is not proven and has failed so often before.
//
// Guard: a suspected gang always pauses for the longest time. Each of its tries takes the room of all its tasks from others.
func (j *Job) retryPause(failures int) time.Duration {
	if j.Spec.Shape == model.Gang && j.SuspectedPoison() {
		return maxRetryPause
	}
	return min(maxRetryPause, minRetryPause<<min(max(0, failures), maxRetryDoublings))
}

// taskFailed attributes a failure to the machine and to the job, and sets when the job is retried.
func (cs *ClusterState) taskFailed(now time.Time, task *Task) {
	job, machine := task.job, task.machine
	if job.failedOn == nil {
		job.failedOn = map[string]bool{}
	}
	job.failedOn[machine.Name] = true
	if machine.failures == nil {
		machine.failures = map[string]failureRecord{}
	}
	record := machine.failures[job.Spec.ID]
	record.failures++
	if task.boundAt.After(record.last) {
		record.waves, record.last = record.waves+1, now
	}
	machine.failures[job.Spec.ID] = record
	// Tasks that were started together often fail together, which counts as one failure.
	if now.Before(job.retryAt) {
		return
	}
	pause := minRetryPause
	if !job.proven() {
		pause = job.retryPause(job.failures)
	}
	job.failures++
	job.retryAt = now.Add(pause)
}

// clearFailures removes a job's failures from the machines' records, if the job ends before any of its tasks finished.
func (cs *ClusterState) clearFailures(job *Job) {
	if job.proven() {
		return
	}
	for name := range job.failedOn {
		if machine := cs.machines.At(name); machine != nil {
			delete(machine.failures, job.Spec.ID)
		}
	}
}

// FaultyMachines returns the current, uncordoned machines to which at least threshold failures are attributed. Every
// failure of a proven or ended job counts, and each wave of failures of another job that is not itself suspected.
func (cs *ClusterState) FaultyMachines(threshold int) (faulty []*Machine) {
	for _, machine := range cs.machines.All() {
		if cs.attributedFailures(machine) >= threshold && machine.Phase == Current && !machine.Cordoned {
			faulty = append(faulty, machine)
		}
	}
	sort.Slice(faulty, func(i, k int) bool { return faulty[i].Name < faulty[k].Name })
	return faulty
}

// attributedFailures returns the number of failures that are attributed to a machine.
func (cs *ClusterState) attributedFailures(machine *Machine) int {
	n := 0
	for id, record := range machine.failures {
		switch job := cs.jobs.At(id); {
		case job == nil || job.proven():
			n += record.failures
		case !job.SuspectedPoison():
			n += record.waves
		}
	}
	return n
}
