package dag

import (
	"log/slog"
	"time"

	"github.com/marlwood/marlwood/internal/placement"
)

// GraphState is a copy of all state of a graph that its later decisions depend on. It and
// the types of its fields are stored in recordings under their Go field names.
type GraphState struct {
	Jobs            []WaitingState
	Needs           []NeedState
	UnderWay        int                  // number of actions in flight
	Active, Changed bool                 // actions may be due; inherited priorities are stale
	Late            map[string]LateState // by class
}

// WaitingState is the state of a waiting job.
type WaitingState struct {
	Record  placement.JobRecord
	Stamp   uint64 // revision of the record
	State   State
	Unmet   []string
	Writing bool      // a write is in flight
	RetryAt time.Time // earliest time of the next write
}

// NeedState is the state of a job that other jobs wait for.
type NeedState struct {
	ID              string
	Dependents      []string
	Unsure, Looking bool      // the outcome is unknown; the outcome is being read
	LookAt          time.Time // earliest time of the next read
}

// LateState is how much longer than estimated the jobs of a class take.
type LateState struct {
	Seen bool          // at least one job of the class is done
	Over time.Duration // exponentially weighted average
}

// Export returns a copy of the graph's state.
func (g *Graph) Export() *GraphState {
	state := &GraphState{
		UnderWay: g.inFlight,
		Active:   g.active,
		Changed:  g.prioritiesStale,
		Late:     map[string]LateState{},
	}
	for _, id := range sortedKeys(g.jobs) {
		state.Jobs = append(state.Jobs, g.jobs[id].export())
	}
	for _, id := range sortedKeys(g.dependencies) {
		state.Needs = append(state.Needs, g.dependencies[id].export(id))
	}
	for class, late := range g.latenessByClass {
		state.Late[class] = LateState{Seen: late.observed, Over: late.overrun}
	}
	return state
}

func (j *waitingJob) export() WaitingState {
	return WaitingState{
		Record:  j.record,
		Stamp:   j.revision,
		State:   j.state,
		Unmet:   sortedKeys(j.unmet),
		Writing: j.writeInFlight,
		RetryAt: j.retryAt,
	}
}

func (d *dependency) export(id string) NeedState {
	return NeedState{
		ID:         id,
		Dependents: sortedKeys(d.dependents),
		Unsure:     d.outcomeUnknown,
		Looking:    d.checkInFlight,
		LookAt:     d.nextCheck,
	}
}

// Import returns a graph that makes the same decisions as the graph whose state was exported.
func Import(log *slog.Logger, state *GraphState) *Graph {
	g := New(log)
	g.inFlight, g.active, g.prioritiesStale = state.UnderWay, state.Active, state.Changed
	for _, stored := range state.Jobs {
		g.jobs[stored.Record.Job.ID] = importJob(stored)
	}
	for _, stored := range state.Needs {
		g.dependencies[stored.ID] = g.importDependency(stored)
	}
	for class, late := range state.Late {
		g.latenessByClass[class] = &lateness{observed: late.Seen, overrun: late.Over}
	}
	return g
}

func importJob(stored WaitingState) *waitingJob {
	job := &waitingJob{
		record:        stored.Record,
		revision:      stored.Stamp,
		state:         stored.State,
		unmet:         map[string]bool{},
		writeInFlight: stored.Writing,
		retryAt:       stored.RetryAt,
	}
	for _, id := range stored.Unmet {
		job.unmet[id] = true
	}
	return job
}

// importDependency returns the dependency that was exported. The waiting jobs must be imported
// first, because dependents that are not waiting jobs are left out.
func (g *Graph) importDependency(stored NeedState) *dependency {
	dep := &dependency{
		dependents:     map[string]*waitingJob{},
		outcomeUnknown: stored.Unsure,
		checkInFlight:  stored.Looking,
		nextCheck:      stored.LookAt,
	}
	for _, id := range stored.Dependents {
		if job := g.jobs[id]; job != nil {
			dep.dependents[id] = job
		}
	}
	return dep
}

// Records returns the records of the waiting jobs, sorted by job ID.
func (g *Graph) Records() (records []placement.JobRecord) {
	for _, id := range sortedKeys(g.jobs) {
		records = append(records, g.jobs[id].record)
	}
	return records
}
