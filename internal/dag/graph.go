// Package dag tracks the jobs that wait for other jobs: the unfinished dependencies of each
// waiting job, the dependents of each dependency, and the jobs to release or cancel when a
// job ends.
//
// The graph does no input or output and reads no clock: its input is events and the current
// time, its output is actions, and the caller reports the outcome of each action. It holds
// only waiting jobs; open jobs are in the leader's cluster state and cost nothing here.
//
// A waiting job leaves the state Waiting exactly once. It leaves the graph when the write
// that releases or cancels it has succeeded:
//
//	          all dependencies done
//	Waiting ─────────────────────────▶ Releasing ──▶ (open job)
//	   │
//	   │      a dependency was cancelled
//	   └─────────────────────────────▶ Cancelling ──▶ (cancelled job)
//
// One cancelled dependency cancels the job even if its other dependencies have not ended.
// The cancelled job's dependents are then cancelled as well.
package dag

import (
	"log/slog"
	"slices"
	"time"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/placement"
)

// State is the state of a waiting job. Its numeric values are stored in recordings.
type State int

// The states of a waiting job.
const (
	// Waiting means that at least one dependency is not known to be done.
	Waiting State = iota
	// Releasing means that all dependencies are done and that the waiting record must be
	// replaced by the record of an open job.
	Releasing
	// Cancelling means that a dependency was cancelled and that the waiting record must be
	// replaced by the record of a cancelled job.
	Cancelling
)

// String returns the state's name for logs.
func (s State) String() string {
	switch s {
	case Waiting:
		return "waiting"
	case Releasing:
		return "releasing"
	case Cancelling:
		return "cancelling"
	}
	return "unknown"
}

// waitingJob is a job that waits for other jobs.
type waitingJob struct {
	record        placement.JobRecord
	revision      uint64 // of the record
	state         State
	unmet         map[string]bool // dependencies that are not known to be done
	writeInFlight bool            // the release or cancellation is being written
	retryAt       time.Time       // earliest time of the next write
}

// dependency is a job that other jobs wait for. It may be waiting itself, be open, or have ended.
type dependency struct {
	dependents     map[string]*waitingJob
	outcomeUnknown bool      // the job has no known open record, so its stored outcome must be read
	checkInFlight  bool      // the outcome is being read
	nextCheck      time.Time // earliest time of the next read
}

// Graph holds the waiting jobs and their dependencies. It is not safe for concurrent
// use.
type Graph struct {
	log             *slog.Logger
	jobs            map[string]*waitingJob
	dependencies    map[string]*dependency
	inFlight        int                  // number of actions whose outcome has not been reported
	active          bool                 // actions may be due; if false, Actions returns at once
	prioritiesStale bool                 // inherited priorities may have changed since they were last returned
	latenessByClass map[string]*lateness // has an entry for each class that has ever had a waiting job
}

// New returns an empty graph.
func New(log *slog.Logger) *Graph {
	return &Graph{
		log:             log,
		jobs:            map[string]*waitingJob{},
		dependencies:    map[string]*dependency{},
		latenessByClass: map[string]*lateness{},
	}
}

// Len returns the number of waiting jobs.
func (g *Graph) Len() int { return len(g.jobs) }

// Has reports whether the job is waiting.
func (g *Graph) Has(id string) bool { return g.jobs[id] != nil }

// IDs returns the sorted IDs of the waiting jobs.
func (g *Graph) IDs() []string { return sortedKeys(g.jobs) }

// WaitingJob returns a waiting job's record and the sorted IDs of the dependencies that are
// not known to be done. ok is false if the job is not waiting.
func (g *Graph) WaitingJob(id string) (record placement.JobRecord, unmet []string, ok bool) {
	job := g.jobs[id]
	if job == nil {
		return record, nil, false
	}
	return job.record, sortedKeys(job.unmet), true
}

// setState changes a waiting job's state. No other function may change it.
func (g *Graph) setState(job *waitingJob, state State) {
	if job.state == state {
		return
	}
	g.log.Debug("waiting job changes state", "job", job.record.Job.ID, "from", job.state.String(), "to", state.String())
	job.state, g.active = state, true
}

// Put adds a waiting job from its stored record. If the graph already has the job, Put only
// updates the revision of its record.
func (g *Graph) Put(record placement.JobRecord, revision uint64) {
	id := record.Job.ID
	if job := g.jobs[id]; job != nil {
		job.revision = max(job.revision, revision)
		return
	}
	job := &waitingJob{record: record, revision: revision, unmet: map[string]bool{}}
	g.jobs[id], g.prioritiesStale = job, true
	if g.latenessByClass[record.Job.Class] == nil {
		g.latenessByClass[record.Job.Class] = &lateness{}
	}
	for _, needed := range record.Job.Needs {
		job.unmet[needed] = true
		g.addDependent(needed, id, job)
	}
	if len(job.unmet) == 0 {
		g.setState(job, Releasing)
	}
	g.log.Debug("job waits", "job", id, "class", record.Job.Class, "needs", len(job.unmet))
}

// Remove removes a job whose waiting record no longer exists because the job was released or
// has ended.
func (g *Graph) Remove(id string) {
	job := g.jobs[id]
	if job == nil {
		return
	}
	delete(g.jobs, id)
	g.prioritiesStale = true
	for needed := range job.unmet {
		g.removeDependent(needed, id)
	}
}

func (g *Graph) addDependent(dependencyID, dependentID string, dependent *waitingJob) {
	if g.dependencies[dependencyID] == nil {
		g.dependencies[dependencyID] = &dependency{dependents: map[string]*waitingJob{}}
	}
	g.dependencies[dependencyID].dependents[dependentID] = dependent
}

// removeDependent removes a dependent of a dependency, and also removes the dependency if that
// was its last dependent.
func (g *Graph) removeDependent(dependencyID, dependentID string) {
	dep := g.dependencies[dependencyID]
	if dep == nil {
		return
	}
	delete(dep.dependents, dependentID)
	if len(dep.dependents) == 0 {
		delete(g.dependencies, dependencyID)
	}
}

// JobEnded records that a job has ended, so that its dependents are released or cancelled. The
// caller may report only an outcome that is stored, because a new leader must be able to see
// the outcome that justified a release.
func (g *Graph) JobEnded(id string, stage model.Stage) {
	ended := g.dependencies[id]
	if ended == nil || !stage.Final() {
		return
	}
	delete(g.dependencies, id)
	g.prioritiesStale = true
	for _, name := range sortedKeys(ended.dependents) {
		dependent := ended.dependents[name]
		delete(dependent.unmet, id)
		switch {
		case stage == model.Cancelled:
			g.cancelWithDependents(name, dependent)
		case len(dependent.unmet) == 0 && dependent.state == Waiting:
			g.setState(dependent, Releasing)
		}
	}
}

// cancelWithDependents cancels a waiting job and, transitively, its dependents. The
// cancellations may be written in any order: the record of each job lists its dependencies until
// the job has ended, so after a failover the next leader derives the missing cancellations again.
func (g *Graph) cancelWithDependents(id string, job *waitingJob) {
	if job.state == Cancelling {
		return
	}
	g.setState(job, Cancelling)
	dep := g.dependencies[id]
	if dep == nil {
		return
	}
	for _, name := range sortedKeys(dep.dependents) {
		g.cancelWithDependents(name, dep.dependents[name])
	}
}

// sortedKeys returns the sorted keys of a map. It never returns nil, because nil and an empty
// list are stored as different values.
func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
