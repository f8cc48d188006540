package api

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/placement"
	"github.com/marlwood/marlwood/internal/store"
)

// cancelAttempts is the number of attempts to cancel a job while its record changes or the
// outcome of the transaction is unknown.
const cancelAttempts = 4

// jobStatus is the status of a job as read from the store. The zero value is an unknown job.
type jobStatus struct {
	known    bool
	waiting  bool     // the job waits for its dependencies
	needs    []string // the job's dependencies while it waits for them
	revision uint64   // revision of the open or waiting record; 0 in a final stage
	stage    model.Stage
	record   placement.JobRecord
	final    placement.FinalJobRecord
}

// finalStatus returns the status of a job in a final stage.
func finalStatus(final placement.FinalJobRecord) jobStatus {
	return jobStatus{known: true, stage: final.Stage, final: final}
}

// find reads a job from the store. It reads the open record before the final one: a job moves
// from waiting to open and from open to final in one transaction each, so these reads can't miss
// it on its way from open to final. A job that isn't found may have left the waiting stage in the
// meantime, so the open and the final record are then read once more.
func (s *Server) find(ctx context.Context, id string) (jobStatus, error) {
	if final, ok := s.finals.Get(id); ok {
		return finalStatus(final), nil
	}
	return firstKnown(ctx, id, s.findOpen, s.findFinal, s.findWaiting, s.findOpen, s.findFinal)
}

// firstKnown calls the reads in order and returns the first status of a known job.
func firstKnown(ctx context.Context, id string, reads ...func(context.Context, string) (jobStatus, error)) (jobStatus, error) {
	for _, read := range reads {
		if current, err := read(ctx, id); err != nil || current.known {
			return current, err
		}
	}
	return jobStatus{}, nil
}

// findOpen reads a job that waits for no dependency and is not in a final stage.
func (s *Server) findOpen(ctx context.Context, id string) (jobStatus, error) {
	current, err := s.findRecord(ctx, placement.JobPrefix+id)
	if current.record.Started {
		current.stage = model.Running
	}
	return current, err
}

// findWaiting reads a job that waits for its dependencies.
func (s *Server) findWaiting(ctx context.Context, id string) (jobStatus, error) {
	current, err := s.findRecord(ctx, placement.WaitPrefix+id)
	if current.known {
		current.waiting, current.needs = true, current.record.Job.Needs
	}
	return current, err
}

// findRecord reads the open or waiting record of a job under key.
func (s *Server) findRecord(ctx context.Context, key string) (jobStatus, error) {
	item, err := s.store.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		return jobStatus{}, nil
	}
	if err != nil {
		return jobStatus{}, fmt.Errorf("%w: %w", errStoreUnavailable, err)
	}
	current := jobStatus{known: true, revision: item.Revision, stage: model.Queued}
	if err := json.Unmarshal(item.Value, &current.record); err != nil {
		return jobStatus{}, fmt.Errorf("%w: %w", errStoreUnavailable, err)
	}
	if current.record.Job == nil {
		return jobStatus{}, errStoreUnavailable
	}
	return current, nil
}

// findFinal reads the final record of a job and caches it.
func (s *Server) findFinal(ctx context.Context, id string) (jobStatus, error) {
	item, err := s.store.Get(ctx, placement.DonePrefix+id)
	if errors.Is(err, store.ErrNotFound) {
		return jobStatus{}, nil
	}
	if err != nil {
		return jobStatus{}, fmt.Errorf("%w: %w", errStoreUnavailable, err)
	}
	current := jobStatus{known: true}
	if err := json.Unmarshal(item.Value, &current.final); err != nil || !current.final.Stage.Final() {
		return jobStatus{}, errStoreUnavailable
	}
	current.stage = current.final.Stage
	s.finals.Add(id, current.final)
	return current, nil
}

// currentStatus returns a job's status as of some time after the call began.
func (s *Server) currentStatus(ctx context.Context, id string) (jobStatus, error) {
	if final, ok := s.finals.Get(id); ok {
		return finalStatus(final), nil
	}
	if err := s.statuses.refresh(ctx); err != nil {
		return jobStatus{}, err
	}
	return s.cachedStatus(ctx, id)
}

// cachedStatus returns a job's status as of the last refresh. A job that is not in the cache is
// read from the store: a cache miss is not enough to report a job as unknown.
func (s *Server) cachedStatus(ctx context.Context, id string) (jobStatus, error) {
	if final, ok := s.finals.Get(id); ok {
		return finalStatus(final), nil
	}
	cached, ok := s.statuses.lookup(id)
	switch {
	case !ok:
		return firstKnown(ctx, id, s.findFinal, s.findOpen, s.findWaiting)
	case cached.unreadable:
		return jobStatus{}, errStoreUnavailable
	}
	current := jobStatus{known: true, stage: model.Queued, waiting: cached.waiting, needs: cached.Job.Needs}
	current.record.Count, current.record.Running = cached.Count, cached.Running
	if cached.Started {
		current.stage = model.Running
	}
	return current, nil
}

// cancelJob cancels a job unless it is in a final stage, and returns its final status. If the
// record changes or the outcome of the transaction is unknown, it reads the job again and retries.
func (s *Server) cancelJob(ctx context.Context, id string) (jobStatus, error) {
	for range cancelAttempts {
		current, err := s.find(ctx, id)
		if err != nil || !current.known || current.stage.Final() {
			return current, err
		}
		key := placement.JobPrefix + id
		if current.waiting {
			key = placement.WaitPrefix + id
		}
		final := placement.FinalJobRecord{
			Stage: model.Cancelled,
			Tasks: current.record.Job.Tasks,
			Count: current.record.Count,
		}
		result, err := s.store.Commit(ctx, store.Txn{
			Preconditions: []store.Precondition{{Key: key, Revision: current.revision}, {Key: placement.DonePrefix + id}},
			Writes:        []store.Write{store.Delete(key), store.Put(placement.DonePrefix+id, final)},
		})
		if err == nil && result.Succeeded() {
			s.finals.Add(id, final)
			return finalStatus(final), nil
		}
		if err != nil && !errors.Is(err, store.ErrUnknown) {
			return jobStatus{}, fmt.Errorf("%w: %w", errStoreUnavailable, err)
		}
	}
	return jobStatus{}, errStoreUnavailable
}
