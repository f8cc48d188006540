package placement

import "github.com/marlwood/marlwood/internal/peers/peerspb"

// openJobLog is the list of open jobs as a log of the jobs that were opened or closed, so that each controller is sent
// only the changes that it does not have. A controller decides by the list whether it may extend the lease of a machine
// with tasks. A job has the state that it has when a message is made, however often it changed before.
type openJobLog struct {
	list    uint64 // number of the list; it grows when the log is rewritten
	changes []string
}

// The log is rewritten when it holds more than minLoggedChanges and changesPerJob for each job. Every controller reads
// the whole list then.
const (
	minLoggedChanges = 4096
	changesPerJob    = 4
)

// IsOpen reports whether a job is known and has neither ended nor been cancelled.
func (cs *ClusterState) IsOpen(id string) bool {
	job := cs.jobs.At(id)
	return job != nil && !job.Cancelled
}

// logOpenChange records that a job was opened or closed.
func (cs *ClusterState) logOpenChange(id string) {
	log := &cs.openJobs
	log.changes = append(log.changes, id)
	if len(log.changes) <= minLoggedChanges+changesPerJob*cs.jobs.Len() {
		return
	}
	log.list++
	log.changes = nil
	for job := range cs.jobs.All() {
		if cs.IsOpen(job) {
			log.changes = append(log.changes, job)
		}
	}
}

// OpenJobsSince returns the jobs in at most limit changes of the list of open jobs, after the first changes of a list
// that a controller already has. If that is not the present list, it begins with the first change of the present one.
func (cs *ClusterState) OpenJobsSince(list, from uint64, limit int) *peerspb.OpenJobs {
	log := &cs.openJobs
	if list != log.list {
		from = 0
	}
	end := uint64(len(log.changes))
	message := &peerspb.OpenJobs{List: log.list, From: from, To: min(from+uint64(limit), end)}
	message.Complete = message.To == end
	for _, job := range log.changes[from:message.To] {
		if cs.IsOpen(job) {
			message.Opened = append(message.Opened, job)
		} else {
			message.Closed = append(message.Closed, job)
		}
	}
	return message
}
