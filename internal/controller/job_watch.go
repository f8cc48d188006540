package controller

import (
	"errors"
	"strings"
	"time"

	"github.com/marlwood/marlwood/internal/metrics"
	"github.com/marlwood/marlwood/internal/placement"
	"github.com/marlwood/marlwood/internal/store"
)

// watchPause is the pause between two watch requests, so that one response carries several changes.
const watchPause = 60 * time.Millisecond

// watchJobs follows the changes of jobs from a revision on, until the term ends. It runs outside the
// event loop. Each request waits for a change no longer than the interval between two reads of the leader
// key, because the leader lease counts from both the watch and those reads.
func (t *leaderTerm) watchJobs(revision uint64) {
	for t.ctx.Err() == nil {
		sentAt := t.ctrl.env.Now()
		events, next, err := t.ctrl.store.Watch(t.ctx, placement.OpenPrefix, revision, t.ctrl.timing.PollInterval)
		switch {
		case errors.Is(err, store.ErrCompacted):
			jobs, listedAt, listErr := t.ctrl.store.List(t.ctx, placement.OpenPrefix)
			if listErr != nil {
				t.ctrl.env.Sleep(t.ctx, readRetryWait)
				continue
			}
			revision = listedAt
			t.ctrl.post(func() {
				if t.ctx.Err() == nil {
					t.resyncJobs(jobs)
					t.observeJobs(sentAt)
				}
			})
		case err != nil:
			t.ctrl.env.Sleep(t.ctx, readRetryWait)
		default:
			revision = next
			t.ctrl.post(func() {
				if t.ctx.Err() != nil {
					return
				}
				if len(events) > 0 {
					t.applyChanges(events)
				}
				t.observeJobs(sentAt)
			})
			t.ctrl.env.Sleep(t.ctx, watchPause)
		}
	}
}

// observeJobs records that the term knows the state of all jobs as of sentAt, when the request that
// returned it was sent.
func (t *leaderTerm) observeJobs(sentAt time.Time) {
	t.ctrl.elector.ObserveJobsView(sentAt)
	t.ctrl.publishLease()
}

// resyncJobs replaces the scheduler's jobs by a full list after changes were missed.
func (t *leaderTerm) resyncJobs(jobs []store.Item) {
	t.ctrl.timeStep(metrics.JobChanges, func() { t.scheduler.ReplaceJobs(t.ctrl.env.Now(), jobs) })
	t.shardRevisions.retain(t.scheduler.IsOpen)
	t.nextDependencyCheck = time.Time{}
	t.startRoundSoon()
}

// applyChanges applies changes of jobs to the scheduler.
func (t *leaderTerm) applyChanges(events []store.Event) {
	for _, event := range events {
		job, deleted := strings.CutPrefix(event.Delete, placement.JobPrefix)
		if !deleted {
			continue
		}
		if t.scheduler.Jobs().At(job) != nil {
			t.ctrl.log.Debug("job record deleted", "job", job)
		}
		delete(t.shardRevisions, job)
	}
	t.ctrl.timeStep(metrics.JobChanges, func() { t.scheduler.ApplyJobChanges(t.ctrl.env.Now(), events) })
	t.nextDependencyCheck = time.Time{}
	t.startRoundSoon()
}
