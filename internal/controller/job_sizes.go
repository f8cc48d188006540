package controller

import (
	"slices"

	"github.com/marlwood/marlwood/internal/peers/peerspb"
	"github.com/marlwood/marlwood/internal/placement"
)

// sentSizes records the jobs whose task sizes a peer may hold. A peer needs the size of each job that has
// tasks on its machines to compute the free capacity that it offers.
type sentSizes struct {
	jobs      map[string]bool // true: the size was sent; false: the message with it went unanswered
	bindCount uint64          // how many tasks had been bound when jobs was last brought up to date
}

// reset clears the sent jobs and keeps the bind count.
func (s *sentSizes) reset() { s.jobs = map[string]bool{} }

// forget records that a message went unanswered, so that its sizes are sent again.
//
// Guard: a size that was sent only once, in a message that was lost, stayed unknown to the owner until
// a new fencing token, and machines that ran tasks of its job were not sampled
// (TestUnansweredSizesAreResent).
func (s *sentSizes) forget(sizes []*peerspb.JobSize) {
	for _, size := range sizes {
		s.jobs[size.Job] = false
		s.bindCount = 0
	}
}

// unsentSizes returns the sizes of jobs that have not been sent to an owner yet, and entries without a
// size for jobs that have ended, which the owner then removes. An owner of an earlier version keeps
// those jobs with no size, which has no effect because none of their tasks is bound.
func (t *leaderTerm) unsentSizes(peer *peerProgress, orders []*peerspb.Order) []*peerspb.JobSize {
	var sizes []*peerspb.JobSize
	sent := &peer.sizes
	add := func(id string) {
		job := t.scheduler.Jobs().At(id)
		if job == nil || sent.jobs[id] {
			return
		}
		sent.jobs[id] = true
		sizes = append(sizes, &peerspb.JobSize{Job: id, Size: placement.SizeMessage(job.Spec.Size)})
	}
	for _, order := range orders {
		add(order.Job)
	}
	if binds := t.scheduler.BindCount(); sent.bindCount != binds || len(sent.jobs) == 0 {
		for id, job := range t.scheduler.Jobs().All() {
			if !sent.jobs[id] && job.Bound() > 0 {
				add(id)
			}
		}
		sent.bindCount = binds
	}
	return append(sizes, t.removeClosedJobs(sent)...)
}

// removeClosedJobs removes jobs that have ended from the sent sizes and returns the messages that make
// the owner remove them, sorted by job name.
//
// Guard: sizes of jobs that had ended stayed here and at the owner until a new fencing token: with four
// small jobs a second, 14,400 more every hour (TestSizesOfEndedJobsAreRemoved).
func (t *leaderTerm) removeClosedJobs(sent *sentSizes) []*peerspb.JobSize {
	if len(sent.jobs) <= t.scheduler.Jobs().Len() {
		return nil
	}
	var closed []string
	for id := range sent.jobs {
		if t.scheduler.Jobs().At(id) == nil {
			closed = append(closed, id)
		}
	}
	slices.Sort(closed)
	var removals []*peerspb.JobSize
	for _, id := range closed {
		delete(sent.jobs, id)
		removals = append(removals, &peerspb.JobSize{Job: id})
	}
	return removals
}
