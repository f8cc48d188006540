package workers

import (
	"time"

	"github.com/marlwood/marlwood/internal/peers/peerspb"
)

// openJobs is the leader's list of open jobs under the current token, as this controller has it: the first changes of
// one list. The leader repeats the changes of a message that went unanswered, so a message may hold changes that are
// known, and may arrive after a later one.
type openJobs struct {
	list     uint64
	changes  uint64 // number of the list's changes that are applied
	jobs     map[string]struct{}
	complete bool // the leader had no later change when it made the last message
	// viewedAt is the request time of the leader's view of the jobs that the list reflects. Every job that was
	// cancelled before is not on the list.
	viewedAt time.Time
}

// apply applies a message of the leader. viewedAt is the time of its view. A message that is not the next part of the
// known list is ignored.
func (o *openJobs) apply(message *peerspb.OpenJobs, viewedAt time.Time) {
	if message.List > o.list && message.From == 0 {
		*o = openJobs{list: message.List, jobs: make(map[string]struct{}, len(message.Opened))}
	}
	if message.List != o.list || message.From > o.changes || message.To < o.changes {
		return
	}
	for _, job := range message.Opened {
		o.jobs[job] = struct{}{}
	}
	for _, job := range message.Closed {
		delete(o.jobs, job)
	}
	o.changes, o.complete = message.To, message.Complete
	if o.complete && viewedAt.After(o.viewedAt) {
		o.viewedAt = viewedAt
	}
}

// contains reports whether a job is on the list.
func (o *openJobs) contains(job string) bool {
	_, open := o.jobs[job]
	return open
}

// validAt reports whether a task of a job on the list may be kept alive until one lease from now: a cancellation that
// the list does not show was confirmed after viewedAt, and grace is the time that is left for answers from then on.
func (o *openJobs) validAt(now time.Time, grace time.Duration) bool {
	return o.complete && now.Before(o.viewedAt.Add(grace))
}
