package placement

import (
	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/reservation"
)

// JobRecord is the stored form of an open job, under job/<id>. Finished holds the first part of the completion
// bitmap; further parts have keys of their own.
type JobRecord struct {
	Job        *model.Job `json:"job"`
	AcceptedMS int64      `json:"accepted_ms"`
	Started    bool       `json:"started,omitempty"`
	Finished   string     `json:"finished,omitempty"`
	Count      int        `json:"count,omitempty"`   // number of finished tasks
	Running    int        `json:"running,omitempty"` // running tasks at the time of the write, for display

	// Claim is the claim of a gang whose members are not all running yet. Versions before 0.5 ignore it.
	Claim *reservation.Record `json:"claim,omitempty"`
}

// FinalJobRecord is the stored form of a job that is finished or cancelled, under done/<id>.
type FinalJobRecord struct {
	Stage model.Stage `json:"stage"`
	Tasks int         `json:"tasks"`
	Count int         `json:"count"`
}

// Prefixes of the keys in the state service. A job that waits for its dependencies is stored under WaitPrefix:
// versions that do not support dependencies never read that prefix, so they cannot start the job too early.
// OpenPrefix is the common prefix of the keys of waiting and of other open jobs.
const (
	OpenPrefix = "job"
	WaitPrefix = "job-waiting/"
	JobPrefix  = "job/"
	DonePrefix = "done/"
	PartPrefix = "part/"
)

// Records returns the current records of the open jobs, each with its whole completion bitmap.
func (cs *ClusterState) Records() (out []JobRecord) {
	for _, job := range cs.jobs.All() {
		if !job.Cancelled {
			out = append(out, JobRecord{Job: job.Spec, AcceptedMS: job.Accepted.UnixMilli(), Started: job.Started,
				Finished: job.finished.Encode(0, job.Spec.Tasks), Count: job.finished.Len()})
		}
	}
	return out
}
