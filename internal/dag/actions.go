package dag

import (
	"cmp"
	"slices"
	"time"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/placement"
)

const (
	// maxInFlight is the maximum number of actions in flight.
	maxInFlight = 8
	// retryDelay is the delay before a failed write is retried or an outcome is read again.
	retryDelay = 300 * time.Millisecond
)

// Op is the operation of an action. Its numeric values are stored in recordings.
type Op int

// The operations.
const (
	CheckOutcome Op = iota // read the stored outcome of a job
	Release                // replace a waiting record by the record of an open job
	Cancel                 // replace a waiting record by the record of a cancelled job
)

// Action is an operation that the caller must carry out. The caller reports its outcome with
// OutcomeKnown if Op is CheckOutcome, and with WriteDone otherwise.
type Action struct {
	Op       Op
	ID       string                   // the job
	Revision uint64                   // revision of the waiting record
	Record   placement.JobRecord      // for Release: the record of the open job
	Final    placement.FinalJobRecord // for Cancel: the final record of the job
}

// MarkUnknownOutcomes marks each dependency that is neither waiting nor open as having
// an unknown outcome, so that Actions asks for its stored outcome. isOpen reports whether a job has an open record.
func (g *Graph) MarkUnknownOutcomes(isOpen func(id string) bool) {
	for id, dep := range g.dependencies {
		dep.outcomeUnknown = !g.Has(id) && !isOpen(id)
		g.active = g.active || dep.outcomeUnknown
	}
}

// Actions returns the actions that are due, as many as the limit on actions in flight allows:
// checks first, then releases, then cancellations. Each returned action counts as in flight
// until its outcome is reported.
func (g *Graph) Actions(now time.Time) []Action {
	if !g.active {
		return nil
	}
	g.active = false
	var actions []Action
	for _, id := range sortedKeys(g.dependencies) {
		dep := g.dependencies[id]
		g.active = g.active || dep.outcomeUnknown
		if dep.checkDue(now) && g.addInFlight() {
			dep.checkInFlight = true
			actions = append(actions, Action{Op: CheckOutcome, ID: id})
		}
	}
	for _, job := range g.dueWrites(now) {
		if !g.addInFlight() {
			break
		}
		job.writeInFlight = true
		actions = append(actions, job.writeAction(now))
	}
	return actions
}

// addInFlight counts one more action as in flight. It returns false and does nothing if
// maxInFlight actions are in flight already.
func (g *Graph) addInFlight() bool {
	if g.inFlight >= maxInFlight {
		return false
	}
	g.inFlight++
	return true
}

// checkDue reports whether the outcome must be read now.
func (d *dependency) checkDue(now time.Time) bool {
	return d.outcomeUnknown && !d.checkInFlight && !now.Before(d.nextCheck)
}

// dueWrites returns the jobs whose release or cancellation is due. Releases come first; among
// releases and among cancellations, jobs that were accepted earlier come first.
func (g *Graph) dueWrites(now time.Time) []*waitingJob {
	var due []*waitingJob
	for _, job := range g.jobs {
		g.active = g.active || job.state != Waiting
		if job.state != Waiting && !job.writeInFlight && !now.Before(job.retryAt) {
			due = append(due, job)
		}
	}
	slices.SortFunc(due, func(x, y *waitingJob) int {
		return cmp.Or(
			cmp.Compare(x.state, y.state),
			cmp.Compare(x.record.AcceptedMS, y.record.AcceptedMS),
			cmp.Compare(x.record.Job.ID, y.record.Job.ID),
		)
	})
	return due
}

// writeAction returns the action that releases or cancels the job.
func (j *waitingJob) writeAction(now time.Time) Action {
	spec := j.record.Job
	if j.state == Cancelling {
		return Action{
			Op:       Cancel,
			ID:       spec.ID,
			Revision: j.revision,
			Final:    placement.FinalJobRecord{Stage: model.Cancelled, Tasks: spec.Tasks},
		}
	}
	return Action{
		Op:       Release,
		ID:       spec.ID,
		Revision: j.revision,
		Record:   releasedRecord(j.record, now),
	}
}

// releasedRecord returns the open record of a job whose dependencies are done. The record is
// equal to that of a job without dependencies submitted now, so that every version reads it in
// the same way. Only the deadline still counts from the submission of the waiting job.
func releasedRecord(record placement.JobRecord, now time.Time) placement.JobRecord {
	spec := *record.Job
	spec.Needs = nil
	if spec.Deadline > 0 {
		waited := now.Sub(time.UnixMilli(record.AcceptedMS))
		spec.Deadline = max(spec.Deadline-waited, time.Millisecond)
	}
	return placement.JobRecord{Job: &spec, AcceptedMS: now.UnixMilli()}
}

// OutcomeKnown records the result of a check. If ok is false, or if the job has not ended, the
// outcome is checked again after retryDelay.
func (g *Graph) OutcomeKnown(id string, ok bool, stage model.Stage, now time.Time) {
	g.inFlight--
	if dep := g.dependencies[id]; dep != nil {
		dep.checkInFlight, dep.nextCheck = false, now.Add(retryDelay)
	}
	if ok {
		g.JobEnded(id, stage)
	}
}

// WriteDone records the outcome of a release or a cancellation. A failed write is retried after
// retryDelay. revision is the current revision of the waiting record, or 0 if it is unknown; the
// retry uses it if it is newer than the known one.
func (g *Graph) WriteDone(action Action, ok bool, revision uint64, now time.Time) {
	g.inFlight--
	job := g.jobs[action.ID]
	if job == nil {
		return
	}
	job.writeInFlight = false
	if !ok {
		job.revision, job.retryAt = max(job.revision, revision), now.Add(retryDelay)
		return
	}
	g.Remove(action.ID)
	if action.Op == Cancel {
		g.JobEnded(action.ID, model.Cancelled)
	}
}
