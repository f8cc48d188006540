package api

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/marlwood/marlwood/internal/placement"
	"github.com/marlwood/marlwood/internal/store"
)

// statusCache holds the status of every job that is not in a final stage, from one listing and
// the changes since. It answers queries from memory but never returns a status older than the
// query: queries that arrive during a refresh share the next one (a read of the changes since
// the last refresh) and are answered after it. The load on the store therefore doesn't grow with
// the number of users. A job that is not in the cache is in a final stage, which one read of its
// final record shows, or was never accepted; in the second case its open and waiting records are
// read too.
//
// Guard: with one read for each query, users who sent more queries than usual used up the
// controller's whole share of the store, and submissions queued behind the queries.
//
// Guard: when the cache was filled by reading job by job, a restarted controller took minutes to
// read a thousand jobs that wait for their dependencies; users got no answer for so long that
// their jobs counted as lost.
type statusCache struct {
	store   Store
	options Options

	mu                sync.Mutex
	state             refreshState
	nextBatch         *refreshBatch // the next refresh to send; queries may still join it
	lastRefreshFailed bool
	refreshSentAt     time.Time // start of the refresh in progress; zero if there is none
	jobs              map[string]openJob
	revision          uint64 // revision up to which changes are applied; 0 before the first listing
	refreshedAt       time.Time
}

// refreshState is the state of the refresh loop.
type refreshState int

const (
	refreshIdle    refreshState = iota // the loop is not running because no query waits
	refreshRunning                     // the loop is running until no query waits
)

// refreshBatch is one refresh, shared by the queries that wait for it.
type refreshBatch struct {
	done Latch
	err  error // set before done is opened
}

// openJob is the cached part of the record of a job that is not in a final stage.
type openJob struct {
	waiting bool // the job waits for its dependencies
	Job     struct {
		Needs []string `json:"awaits"`
	} `json:"job"`
	Started    bool `json:"started"`
	Count      int  `json:"count"`
	Running    int  `json:"running"`
	unreadable bool // its record cannot be read
}

func newStatusCache(store Store, options Options) *statusCache {
	return &statusCache{store: store, options: options, jobs: map[string]openJob{}}
}

// refresh waits for a refresh that is sent after the call, for at most the query timeout. While
// refreshes fail or take long, it waits for only a fraction of that timeout. It returns an error
// if the refresh failed or did not end in time.
func (c *statusCache) refresh(ctx context.Context) error {
	c.mu.Lock()
	if c.nextBatch == nil {
		c.nextBatch = &refreshBatch{done: c.options.NewLatch()}
	}
	batch, wait := c.nextBatch, c.options.QueryTimeout
	if c.lastRefreshFailed || !c.refreshSentAt.IsZero() && c.options.Now().Sub(c.refreshSentAt) > wait {
		wait /= degradedWaitDivisor
	}
	if c.state == refreshIdle {
		c.state = refreshRunning
		c.options.Go(c.refreshLoop)
	}
	c.mu.Unlock()
	if batch.done.Wait(ctx, wait) {
		return batch.err
	}
	return errStoreUnavailable
}

// refreshLoop refreshes the cache until no query waits.
func (c *statusCache) refreshLoop() {
	for {
		c.mu.Lock()
		batch, revision := c.nextBatch, c.revision
		c.nextBatch = nil // later queries need a later refresh
		c.refreshSentAt = time.Time{}
		if batch == nil {
			c.state = refreshIdle
			c.mu.Unlock()
			return
		}
		c.refreshSentAt = c.options.Now()
		c.mu.Unlock()
		batch.err = c.applyChanges(revision)
		c.mu.Lock()
		c.lastRefreshFailed = batch.err != nil
		c.mu.Unlock()
		batch.done.Open()
		c.options.Sleep(context.Background(), c.options.RefreshInterval)
	}
}

// applyChanges reads and applies the changes since a revision. If they are no longer
// available, or if a listing costs less, it lists all jobs again.
//
// Guard: a listing may take longer than any query waits; it then continues for later queries.
// When a listing was aborted at the end of its query, each query started a new one, and with a
// slow store no listing was ever completed.
func (c *statusCache) applyChanges(revision uint64) error {
	events, next, err := c.readChanges(revision)
	relisted := errors.Is(err, store.ErrCompacted)
	if relisted {
		events, next, err = c.listJobs()
	}
	if err != nil {
		return fmt.Errorf("%w: %w", errStoreUnavailable, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if relisted {
		clear(c.jobs)
	}
	for _, event := range events {
		c.applyEvent(event)
	}
	c.revision, c.refreshedAt = next, c.options.Now()
	return nil
}

// readChanges returns the changes since a revision, and the revision up to which they are
// complete. It returns store.ErrCompacted if a listing is needed or costs less.
func (c *statusCache) readChanges(revision uint64) ([]store.Event, uint64, error) {
	if revision == 0 || c.options.Now().Sub(c.refreshedAt) >= maxWatchGap {
		return nil, 0, store.ErrCompacted
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.options.QueryTimeout)
	defer cancel()
	return c.store.Watch(ctx, placement.OpenPrefix, revision, 0)
}

// listJobs lists all jobs that are not in a final stage, and returns each as a write event.
func (c *statusCache) listJobs() ([]store.Event, uint64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), listTimeout)
	defer cancel()
	items, revision, err := c.store.List(ctx, placement.OpenPrefix)
	if err != nil {
		return nil, 0, err
	}
	events := make([]store.Event, 0, len(items))
	for _, item := range items {
		events = append(events, store.Event{Set: item.Key, Value: item.Value})
	}
	return events, revision, nil
}

const (
	// listTimeout bounds a listing. It allows for six pages from a store that answers each
	// request up to three seconds late, with most pages requested twice.
	listTimeout = 30 * time.Second
	// maxWatchGap is the time since the last refresh after which a listing costs less than
	// reading the changes.
	maxWatchGap = time.Minute
	// degradedWaitDivisor shortens the wait of queries while refreshes fail or are slow.
	degradedWaitDivisor = 10
)

// applyEvent applies one change of a job's record.
//
// Guard: when a job's dependencies are done, one transaction deletes its waiting record and
// writes an open record, and the two events arrive in any order. If the deletion were treated as
// the end of the job, it would hide that the job runs.
func (c *statusCache) applyEvent(event store.Event) {
	if id, ok := strings.CutPrefix(event.Delete, placement.WaitPrefix); ok {
		if c.jobs[id].waiting {
			delete(c.jobs, id)
		}
		return
	}
	if id, ok := strings.CutPrefix(event.Delete, placement.JobPrefix); ok {
		delete(c.jobs, id)
		return
	}
	id, waiting := strings.CutPrefix(event.Set, placement.WaitPrefix)
	if !waiting {
		var ok bool
		if id, ok = strings.CutPrefix(event.Set, placement.JobPrefix); !ok {
			return
		}
	}
	job := openJob{waiting: waiting}
	job.unreadable = json.Unmarshal(event.Value, &job) != nil
	if !waiting {
		job.Job.Needs = nil
	}
	c.jobs[id] = job
}

// lookup returns the cached record of a job.
func (c *statusCache) lookup(id string) (job openJob, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	job, ok = c.jobs[id]
	return job, ok
}
