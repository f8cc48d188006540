package api

import (
	"context"
	"fmt"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/placement"
	"github.com/marlwood/marlwood/internal/store"
)

// admissionWrite returns the write that accepts a job: an open record, a waiting record if the
// job has dependencies that are not done, or a final record if one of them is cancelled. If a
// dependency ends between this read and the write, the leader finds out, because it reads the
// final records of the dependencies that are not open.
func (s *Server) admissionWrite(ctx context.Context, job *model.Job) (store.Write, model.Stage, error) {
	needs, stage, err := s.unfinishedDependencies(ctx, job)
	if err != nil {
		return store.Write{}, "", err
	}
	if stage == model.Cancelled {
		return store.Put(placement.DonePrefix+job.ID, placement.FinalJobRecord{Stage: stage, Tasks: job.Tasks}), stage, nil
	}
	record := placement.JobRecord{Job: job, AcceptedMS: s.options.Now().UnixMilli()}
	job.Needs = nil
	open := store.Put(placement.JobPrefix+job.ID, record)
	if len(open.Value) > s.options.RecordBytes {
		return store.Write{}, "", errTooLong
	}
	if len(needs) == 0 {
		return open, stage, nil
	}
	job.Needs = needs
	waiting := store.Put(placement.WaitPrefix+job.ID, record)
	if len(waiting.Value) > s.options.ValueBytes {
		return store.Write{}, "", errTooLong
	}
	return waiting, stage, nil
}

// unfinishedDependencies returns the dependencies of a job that are not done, and the
// job's first stage, which is cancelled if one of them is cancelled. One refresh of the status
// cache serves all of them.
func (s *Server) unfinishedDependencies(ctx context.Context, job *model.Job) (needs []string, stage model.Stage, err error) {
	if len(job.Needs) == 0 {
		return nil, model.Queued, nil
	}
	if err := s.statuses.refresh(ctx); err != nil {
		return nil, "", err
	}
	stage = model.Queued
	for _, id := range job.Needs {
		if !model.ValidID(id) || id == job.ID {
			return nil, "", fmt.Errorf("%w: %q", errUnknownDependency, id)
		}
		current, err := s.cachedStatus(ctx, id)
		switch {
		case err != nil:
			return nil, "", err
		case !current.known:
			return nil, "", fmt.Errorf("%w: %q", errUnknownDependency, id)
		case current.stage == model.Cancelled:
			stage = model.Cancelled
		case current.stage != model.Done:
			needs = append(needs, id)
		}
	}
	return needs, stage, nil
}

// cancelIfDependencyFailed cancels a waiting job if a dependency, direct or transitive,
// is cancelled, and returns the resulting status of the job.
//
// Guard: for as long as a cancellation may take, there may be no leader, or a leader that is
// behind with its writes. No answer may report that a job waits for a dependency that will
// never be done.
func (s *Server) cancelIfDependencyFailed(ctx context.Context, id string, current jobStatus) (jobStatus, error) {
	if !current.waiting {
		return current, nil
	}
	failed, err := s.dependencyFailed(ctx, current.needs, map[string]bool{id: true})
	if err != nil || !failed {
		return current, err
	}
	return s.cancelJob(ctx, id)
}

// dependencyFailed reports whether one of the jobs in needs, or one of their transitive
// dependencies, is cancelled. Jobs in seen are skipped.
func (s *Server) dependencyFailed(ctx context.Context, needs []string, seen map[string]bool) (bool, error) {
	for _, id := range needs {
		if seen[id] {
			continue
		}
		seen[id] = true
		current, err := s.cachedStatus(ctx, id)
		if err != nil || current.stage == model.Cancelled {
			return err == nil, err
		}
		if !current.waiting {
			continue
		}
		if failed, err := s.dependencyFailed(ctx, current.needs, seen); err != nil || failed {
			return failed, err
		}
	}
	return false, nil
}
