package placement

import "github.com/marlwood/marlwood/internal/peers/peerspb"

// openJobLog is the list of open jobs as a log of changes, so that each controller is sent only the changes that it
// does not have. A controller decides by the list whether it may extend the lease of a machine with tasks.
type openJobLog struct {
	number  uint64 // number of the list; it grows when the log is rewritten
	changes []openJobChange
	open    map[string]bool
}

// openJobChange is one change of the list: a job was opened or closed.
type openJobChange struct {
	job    string
	closed bool
}

// maxClosedChanges is how many changes the log may hold beyond those that list the open jobs, as a multiple of the
// open jobs plus minLogChanges. Rewriting the log makes every controller read the whole list.
const (
	maxClosedChanges = 4
	minLogChanges    = 4096
)

func newOpenJobLog() *openJobLog { return &openJobLog{number: 1, open: map[string]bool{}} }

func (l *openJobLog) opened(job string) {
	if !l.open[job] {
		l.open[job] = true
		l.append(openJobChange{job: job})
	}
}

func (l *openJobLog) closed(job string) {
	if l.open[job] {
		delete(l.open, job)
		l.append(openJobChange{job: job, closed: true})
	}
}

func (l *openJobLog) append(change openJobChange) {
	l.changes = append(l.changes, change)
	if len(l.changes) > minLogChanges+maxClosedChanges*len(l.open) {
		l.rewrite()
	}
}

// rewrite begins a new list that contains only the open jobs, in the order in which they were opened.
func (l *openJobLog) rewrite() {
	l.number++
	kept := make([]openJobChange, 0, len(l.open))
	for _, change := range l.changes {
		if !change.closed && l.open[change.job] {
			kept = append(kept, change)
		}
	}
	l.changes = kept
}

// since returns the jobs in at most limit changes of the list after those that a controller has, each with its
// latest state. A controller that has another list than the present one, or none, gets the present one from its
// beginning.
func (l *openJobLog) since(list, from uint64, limit int) *peerspb.OpenJobs {
	if list != l.number {
		from = 0
	}
	to := min(from+uint64(limit), uint64(len(l.changes)))
	message := &peerspb.OpenJobs{List: l.number, From: from, To: to, Complete: to == uint64(len(l.changes))}
	for _, change := range l.changes[from:to] {
		switch {
		case change.closed && !l.open[change.job]:
			message.Closed = append(message.Closed, change.job)
		case !change.closed && l.open[change.job]:
			message.Opened = append(message.Opened, change.job)
		}
	}
	return message
}

// OpenJobsSince returns at most limit changes of the list of open jobs, after the first changes of a list that a
// controller already has.
func (cs *ClusterState) OpenJobsSince(list, from uint64, limit int) *peerspb.OpenJobs {
	return cs.openJobs.since(list, from, limit)
}
