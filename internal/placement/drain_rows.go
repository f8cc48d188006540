package placement

import (
	"slices"
	"time"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/operators/operatorspb"
)

// DrainRows returns the progress of all drains for operators.
func (cs *ClusterState) DrainRows(now time.Time) (rows []*operatorspb.Drain) {
	cs.withReadOnly(func() {
		for _, d := range cs.drains.All() {
			rows = append(rows, cs.drainRow(d, now))
		}
	})
	return rows
}

// DrainRow returns the progress of one drain for operators; nil if there is none.
func (cs *ClusterState) DrainRow(target string, now time.Time) (row *operatorspb.Drain) {
	if d := cs.drains.At(target); d != nil {
		cs.withReadOnly(func() { row = cs.drainRow(d, now) })
	}
	return row
}

// drainProgress accumulates the data from which a drain's row is computed.
type drainProgress struct {
	drain            *Drain
	row              *operatorspb.Drain
	gangs            []*Job        // gangs with members on drained machines
	longestRemaining time.Duration // estimated time until the last task has ended
	predictable      bool          // the time until the last task has ended can be estimated
}

func (cs *ClusterState) drainRow(drain *Drain, now time.Time) *operatorspb.Drain {
	progress := &drainProgress{drain: drain, predictable: true, row: &operatorspb.Drain{
		Target:         drain.Target(),
		Who:            drain.Who,
		Reason:         drain.Reason,
		SinceUnixMs:    unixMS(drain.Since),
		DeadlineUnixMs: unixMS(drain.Deadline),
		Keep:           drain.Keep,
		Force:          drain.Force,
		State:          "draining",
	}}
	for _, machine := range cs.machines.All() {
		if drain.covers(machine.Name, machine.Pool) {
			progress.addMachine(machine, now)
		}
	}
	slices.SortFunc(progress.gangs, compareJobIDs)
	for _, job := range progress.gangs {
		progress.addGang(job, cs.planGangMove(job, now))
	}
	row := progress.row
	switch {
	case !cs.takeoverComplete: // some machines may not have reported yet
	case row.Machines == 0 && drain.Scope == NodeScope:
		row.State = "gone"
	case row.Empty == row.Machines:
		row.State = "empty"
	case progress.predictable:
		row.EmptyUnixMs = unixMS(now.Add(progress.longestRemaining))
	}
	return row
}

// addMachine counts a drained machine and its tasks.
func (p *drainProgress) addMachine(machine *Machine, now time.Time) {
	p.row.Machines++
	if !machine.Busy() && machine.Phase == Current {
		p.row.Empty++
	}
	p.row.Tasks += uint32(machine.tasks.Len())
	for _, task := range machine.tasks.All() {
		p.addTask(task, now)
	}
	if machine.Phase != Current && machine.Phase != Expired {
		p.predictable = false
	}
}

// addTask adds a task that must end before the drain is done.
func (p *drainProgress) addTask(task *Task, now time.Time) {
	switch {
	case task.job.Spec.Shape == model.Gang && !slices.Contains(p.gangs, task.job):
		p.gangs = append(p.gangs, task.job)
	case task.job.Spec.Shape == model.Service && p.drain.Deadline.IsZero():
		p.predictable = p.predictable && task.stopping // a replica never ends by itself
	}
	remaining := task.remaining(now)
	if task.stopping {
		remaining = max(0, task.grace-now.Sub(task.stateSince))
	} else if !p.drain.Deadline.IsZero() {
		remaining = min(remaining, max(0, p.drain.Deadline.Sub(now))+graceFor(task.job.Spec))
	}
	p.longestRemaining = max(p.longestRemaining, remaining)
}

// addGang adds the row of a gang with members on drained machines.
func (p *drainProgress) addGang(job *Job, move gangMove) {
	p.row.Gangs = append(p.row.Gangs, &operatorspb.Gang{
		Job:    job.Spec.ID,
		Here:   uint32(move.onDrained),
		Pieces: uint32(job.Spec.Tasks),
		Text:   move.text(job),
	})
	p.predictable = p.predictable && move.step != gangAwaitCapacity
}

// text describes to operators what happens to a gang that has members on drained machines.
func (s gangMove) text(j *Job) string {
	switch s.step {
	case gangStopping:
		return "is being stopped, to start as a whole elsewhere"
	case gangStopUnstarted:
		return "has not begun: is stopped now, to start as a whole elsewhere"
	case gangRunToDeadline:
		return "runs until it ends or the deadline; " + s.capacityText(j)
	case gangAwaitCapacity:
		return "the deadline is over; " + s.capacityText(j)
	case gangStopAndMove:
		return "the deadline is over: is stopped now, as a whole"
	}
	return "runs to its end"
}

// capacityText describes to operators for how many of a gang's members other machines have capacity.
func (s gangMove) capacityText(j *Job) string {
	if n := j.bound.Len(); s.placeable < n {
		return countOf(s.placeable, n) + " pieces have room elsewhere: it goes on until all have"
	}
	return "all of its pieces have room elsewhere"
}
