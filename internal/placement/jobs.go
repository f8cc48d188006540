package placement

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

// errWrongJob is returned for a record whose job is missing or has an ID that differs from the record's key.
var errWrongJob = errors.New("job in the record is missing or does not match its key")

// AddJob adds a job from its record as stored at a revision. parts are the parts of its completion bitmap that
// are stored beside the record, by name. If the job is known already, only its revision is updated.
func (cs *ClusterState) AddJob(now time.Time, id string, value json.RawMessage, revision uint64, parts map[string]string) error {
	if job := cs.jobs.At(id); job != nil {
		job.Revision = max(job.Revision, revision)
		return nil
	}
	var record JobRecord
	if err := json.Unmarshal(value, &record); err != nil {
		return fmt.Errorf("record of job %s: %w", id, err)
	}
	if record.Job == nil || record.Job.ID != id {
		return fmt.Errorf("record of job %s: %w", id, errWrongJob)
	}
	job := cs.newJob(&record, revision, now)
	if err := cs.mergeFinished(job, record.Finished, parts); err != nil {
		return fmt.Errorf("record of job %s: %w", id, err)
	}
	cs.restoreClaim(job, &record, now)
	job.applyInheritedPriority(cs.inherited[id])
	job.dirty = job.allTasksFinished()
	if cs.splitParts {
		cs.splitJobParts(job)
	}
	cs.jobs.Put(id, job)
	cs.logOpenChange(id)
	cs.recordArrival(job)
	cs.logJob(job)
	cs.capacityEvents++
	return nil
}

// newJob returns a job made from its record, with none of its tasks marked as finished.
func (cs *ClusterState) newJob(record *JobRecord, revision uint64, now time.Time) *Job {
	spec := record.Job
	return &Job{
		Spec:        spec,
		Accepted:    time.UnixMilli(record.AcceptedMS),
		Revision:    revision,
		Started:     record.Started,
		firstSeen:   now,
		usage:       cs.usageOf(spec.Team),
		finished:    model.NewTaskSet(spec.Tasks),
		bound:       cs.newJobTasks(),
		searchState: searchState{lastRoundConsidered: cs.roundNumber},
		writeState:  writeState{storedFinished: model.NewTaskSet(spec.Tasks), tasksPerPart: cs.opt.SplitTasks},
	}
}

// mergeFinished adds the stored completion bitmap to a job: the part in its record, and the parts beside the record.
func (cs *ClusterState) mergeFinished(job *Job, finished string, parts map[string]string) error {
	for _, set := range []*model.TaskSet{job.finished, job.storedFinished} {
		if err := set.Merge(0, finished); err != nil {
			return err
		}
		for part, text := range parts {
			if err := set.Merge(cs.firstTaskOfPart(part), text); err != nil {
				return err
			}
		}
	}
	return nil
}

// restoreClaim restores a gang's claim from the job's record, unless the gang has started. A gang whose claim cannot
// be restored is placed like any other gang.
func (cs *ClusterState) restoreClaim(job *Job, record *JobRecord, now time.Time) {
	if record.Claim == nil || record.Started {
		return
	}
	claim, err := record.Claim.Restore(now)
	if err != nil {
		cs.opt.Log.Error("claim cannot be restored", "job", job.Spec.ID, "err", err)
	} else if len(claim.Machines) == job.Spec.Tasks {
		job.claim = claim
	}
}

func (cs *ClusterState) logJob(job *Job) {
	spec := job.Spec
	cs.opt.Log.Debug("job added", "job", spec.ID, "class", spec.Class, "team", spec.Team, "shape", spec.Shape, "priority", spec.Priority,
		"tasks", spec.Tasks, "cpus", spec.Size.CPUs, "estimate", spec.Estimate, "checkpoint", spec.CheckpointEvery,
		"deadline", spec.Deadline, "spot", spec.Spot, "gb", spec.ImageGB, "aim", cs.opt.Aims[spec.Class])
}

// Cancel records that a job's open record was deleted: its tasks are stopped immediately, and no more are started.
// The record is also deleted when the job finishes, and the watch may report that before the response to the final
// write arrives.
func (cs *ClusterState) Cancel(id string) {
	if cs.IsOpen(id) {
		cs.endJob(cs.jobs.At(id))
	}
}

// JobFinished records that a job's final record is stored.
func (cs *ClusterState) JobFinished(id string) {
	if job := cs.jobs.At(id); job != nil {
		cs.endJob(job)
	}
}

// endJob ends a job: tasks that are still running are stopped, and machines may forget its exited tasks, because
// their reports are no longer needed. The job is deleted once none of its tasks is bound.
func (cs *ClusterState) endJob(job *Job) {
	job.Cancelled = true
	cs.logOpenChange(job.Spec.ID)
	cs.releaseClaim(job, job.firstSeen)
	cs.clearFailures(job)
	for _, task := range job.bound.All() {
		cs.stopMember(task, 0)
	}
	for i := range job.Spec.Tasks {
		job.storedFinished.Add(i)
	}
	if job.bound.Len() == 0 {
		cs.jobs.Delete(job.Spec.ID)
	}
	cs.forgetExitedTasks(job.Spec.ID)
}

// JobCounts holds the numbers of a job's finished and running tasks, for display.
type JobCounts struct {
	Done    int
	Running int
}

// JobCounts returns the task counts of the open jobs, by job ID.
func (cs *ClusterState) JobCounts() map[string]JobCounts {
	out := make(map[string]JobCounts, cs.jobs.Len())
	for id, job := range cs.jobs.All() {
		out[id] = JobCounts{Done: job.finished.Len(), Running: job.running}
	}
	return out
}
