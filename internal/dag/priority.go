package dag

import (
	"time"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/placement"
)

// InheritedPriorities returns, by job ID, the priority and due time that jobs which are not
// waiting inherit from their direct and transitive dependents: the highest priority of these
// dependents, and the latest time at which the first of them must start so that the deadlines
// are met. changed is false if nothing changed since the last call; inherited is nil then.
func (g *Graph) InheritedPriorities() (inherited map[string]placement.InheritedPriority, changed bool) {
	if !g.prioritiesStale {
		return nil, false
	}
	g.prioritiesStale = false
	known := map[string]placement.InheritedPriority{}
	inherited = map[string]placement.InheritedPriority{}
	for id := range g.dependencies {
		priority := g.inheritedPriority(id, known)
		if !g.Has(id) {
			inherited[id] = priority
		}
	}
	return inherited, true
}

// inheritedPriority returns the priority and due time that a job inherits from its dependents.
// known caches the results that have already been computed.
func (g *Graph) inheritedPriority(id string, known map[string]placement.InheritedPriority) placement.InheritedPriority {
	if priority, ok := known[id]; ok {
		return priority
	}
	inherited := placement.InheritedPriority{Rank: model.Low.Rank()}
	known[id] = inherited // ends the recursion if stored records form a dependency cycle
	for name, dependent := range g.dependencies[id].dependents {
		if dependent.state == Cancelling {
			continue
		}
		passedOn := g.inheritedFrom(name, dependent, known)
		inherited.Rank = max(inherited.Rank, passedOn.Rank)
		inherited.Due = earlier(inherited.Due, passedOn.Due)
	}
	known[id] = inherited
	return inherited
}

// inheritedFrom returns the priority and due time that a dependent passes on to its dependencies.
// The priority is its own or the one that it inherits, whichever is higher. The due time is the
// latest time by which the dependencies must be done for the dependent to be done in time itself.
func (g *Graph) inheritedFrom(id string, dependent *waitingJob, known map[string]placement.InheritedPriority) placement.InheritedPriority {
	spec := dependent.record.Job
	passedOn := placement.InheritedPriority{Rank: spec.Priority.Rank()}
	if spec.Deadline > 0 {
		passedOn.Due = time.UnixMilli(dependent.record.AcceptedMS).Add(spec.Deadline)
	}
	if g.dependencies[id] != nil {
		inherited := g.inheritedPriority(id, known)
		passedOn.Rank = max(passedOn.Rank, inherited.Rank)
		passedOn.Due = earlier(passedOn.Due, inherited.Due)
	}
	if !passedOn.Due.IsZero() {
		passedOn.Due = passedOn.Due.Add(-spec.Estimate - g.latenessByClass[spec.Class].overrun)
	}
	return passedOn
}

// Upcoming returns the jobs in state Waiting none of whose dependencies is waiting itself, each
// with its unfinished dependencies. Such a job is released as soon as these are done.
func (g *Graph) Upcoming() []placement.UpcomingJob {
	var upcoming []placement.UpcomingJob
	for _, id := range sortedKeys(g.jobs) {
		job := g.jobs[id]
		if job.state == Waiting && !g.anyWaiting(job.unmet) {
			upcoming = append(upcoming, placement.UpcomingJob{Spec: job.record.Job, DependsOn: sortedKeys(job.unmet)})
		}
	}
	return upcoming
}

// anyWaiting reports whether at least one of the jobs is waiting.
func (g *Graph) anyWaiting(ids map[string]bool) bool {
	for id := range ids {
		if g.Has(id) {
			return true
		}
	}
	return false
}

// earlier returns the earlier of two times. The zero time means no time: the other one is then returned.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
