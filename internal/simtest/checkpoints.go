package simtest

import (
	"time"

	"pgregory.net/rapid"

	"github.com/marlwood/marlwood/internal/model"
)

// Preempting draws schedules that extend those of OverlappingFaults: jobs have different priorities, one team has a
// guarantee, and tasks save when they are stopped. Two jobs compete for one zone, and the preempted one may be
// cancelled while it saves.
var Preempting = rapid.Custom(func(t *rapid.T) Plan {
	p := OverlappingFaults.Draw(t, "plan")
	p.preempt(t)
	return p
})

// preempt adds priorities, a guarantee, checkpoints and the pair of competing jobs to a schedule.
func (p *Plan) preempt(t *rapid.T) {
	p.Guarantee = true
	for i := range p.Jobs {
		j := &p.Jobs[i]
		j.Priority = rapid.SampledFrom([]model.Priority{model.Low, model.Normal, model.High, model.Critical}).Draw(t, "priority")
		if j.Team == 0 && rapid.IntRange(0, 2).Draw(t, "guaranteed") == 2 {
			j.Team = 2
		}
		if j.Shape != model.Service && rapid.IntRange(0, 2).Draw(t, "saves") > 0 {
			j.Every, j.Cost = seconds(t, "every", 1, 10), seconds(t, "cost", 1, 25)
		}
	}
	if rapid.IntRange(0, 2).Draw(t, "scarce") > 0 {
		p.Machines = 1
	}
	zone := rapid.SampledFrom(zones).Draw(t, "contested")
	gives := Submission{At: seconds(t, "gives at", 0, 5), Shape: rapid.SampledFrom([]model.Shape{model.Array, model.Gang}).Draw(t, "gives shape"),
		Tasks: 2, OneZone: true, Zone: zone, Takes: seconds(t, "gives takes", 20, 60), Priority: model.Low,
		Every: seconds(t, "gives every", 1, 10), Cost: seconds(t, "gives cost", 3, 25)}
	takes := Submission{At: seconds(t, "takes at", 9, 30), Shape: model.Array, Tasks: rapid.IntRange(1, 2).Draw(t, "takes tasks"), Zone: zone,
		Takes: seconds(t, "takes", 3, 20), Priority: model.Normal}
	if rapid.Bool().Draw(t, "by guarantee") { // not by priority
		gives.Priority, takes.Team = model.Normal, 2
	}
	if rapid.IntRange(0, 2).Draw(t, "cancelled saving") > 0 {
		gives.Cancel = takes.At + seconds(t, "saving for", 0, 8) - gives.At
	}
	p.Jobs = append(p.Jobs, gives, takes)
}

// checkpointTimes returns the time that jobs which save may take in addition to their run time. It allows for three
// saves per job, because each may be preempted a few times.
func (p Plan) checkpointTimes() (out time.Duration) {
	for _, j := range p.Jobs {
		out += 3 * j.Cost
	}
	return out
}

var (
	teamNames       = []string{"free", "tight", "owed"}
	guaranteedTeams = map[string]model.Team{"free": teams["free"], "tight": teams["tight"], "owed": {Name: "owed", Guarantee: model.Size{CPUs: 4}}}
)

// teams returns the teams of a schedule.
func (p Plan) teams() map[string]model.Team {
	switch {
	case p.shared != nil:
		return p.shared
	case p.Limits:
		return limitedTeams
	case p.Guarantee:
		return guaranteedTeams
	}
	return teams
}

// limitedTeams have a limit of two concurrent tasks each.
var limitedTeams = map[string]model.Team{"free": {Name: "free", Limit: model.Size{CPUs: 4}}, "tight": teams["tight"], "owed": {Name: "owed", Guarantee: model.Size{CPUs: 4}, Limit: model.Size{CPUs: 4}}}

// halt is the coordinated stop of a gang's attempt, in which its tasks save.
type halt struct {
	at      time.Duration // the first stop: progress ends
	reached time.Duration // progress until then
	failed  bool          // a task disappeared or got no stop in time, before any had exited with its progress saved
	safe    bool          // a task has exited with its progress saved
}

// stop carries out a stop command. While the task saves, a stop without grace time ends the save, and any other stop
// is a repetition and is ignored.
func (m *worker) stop(t *taskAttempt, windDown time.Duration) {
	spec := t.job.spec
	switch {
	case t.state == model.TaskSaving && windDown > 0:
	case t.state == model.TaskRunning && spec.CheckpointEvery > 0 && windDown >= spec.SaveTime:
		m.startCheckpoint(t)
	default:
		m.exit(t, model.CauseStopped)
	}
}

// startCheckpoint begins to save a running task's progress.
func (m *worker) startCheckpoint(t *taskAttempt) {
	w := m.cluster
	t.state, t.reached = model.TaskSaving, t.progress(w.sim.Now())
	w.checkpoints++
	w.sim.logf("%s saves on %s for %v", model.TaskName(t.job.id, t.index), m.name, t.job.spec.SaveTime)
	if t.job.spec.Shape == model.Gang {
		w.halt(t)
	}
	m.kick()
	m.write(t, m.stood, t.job.spec.SaveTime)
}

// write ends a save when its time is over. While the machine hangs, the save makes no progress.
func (m *worker) write(t *taskAttempt, stood, left time.Duration) {
	m.cluster.sim.After(left, func() {
		m.enter(func() {
			switch more := m.stood - stood; {
			case !m.has(t) || t.state != model.TaskSaving:
			case more > 0:
				m.write(t, m.stood, more)
			case t.job.spec.Shape == model.Gang:
				t.stored = true
				m.cluster.gather(t)
			default:
				t.job.keep(t.index, t.reached)
				t.saved = true
				m.exit(t, model.CauseStopped)
			}
		})
	})
}

// halt begins the coordinated stop of a task's gang, if it has not begun.
func (w *cluster) halt(t *taskAttempt) {
	j := t.job
	if j.halts[t.attempt] != nil {
		return
	}
	if j.halts == nil {
		j.halts = map[uint64]*halt{}
	}
	h := &halt{at: w.sim.Now(), reached: t.reached, failed: len(w.gang(t)) < j.spec.Tasks}
	j.halts[t.attempt] = h
	w.sim.After(gangPeer, func() {
		if j.halts[t.attempt] != h {
			return // all have exited
		}
		for _, x := range w.gang(t) {
			if x.t.state != model.TaskRunning {
				continue
			}
			h.failed = h.failed || !h.safe
			x.m.enter(func() {
				if x.m.has(x.t) && x.t.state == model.TaskRunning {
					x.m.exit(x.t, model.CausePeers)
				}
			})
		}
		w.gather(t)
	})
}

// gather ends the tasks of a gang that have saved, once all have saved or the time to wait for the others is over.
func (w *cluster) gather(t *taskAttempt) {
	h, g := t.job.halts[t.attempt], w.gang(t)
	if h == nil {
		return
	}
	all := true
	for _, x := range g {
		all = all && x.t.stored
	}
	if !all && w.sim.Now() < h.at+gangPeer {
		return
	}
	for _, x := range g {
		x.m.enter(func() {
			if !x.m.has(x.t) || x.t.state != model.TaskSaving || !x.t.stored {
				return
			}
			if h.safe = !h.failed; h.safe {
				x.t.job.keep(0, h.reached)
			}
			x.t.saved = h.safe
			x.m.exit(x.t, model.CauseStopped)
		})
	}
}

// progress returns how much of its job's duration a task has completed.
func (t *taskAttempt) progress(now time.Duration) time.Duration {
	switch {
	case t.reached > 0:
		return t.reached
	case t.ranAt > 0:
		return t.from + now - t.ranAt
	}
	return 0
}

// progressKey returns the index under which progress is kept: that of the task, or 0 for a gang as a whole.
func (t *taskAttempt) progressKey() int {
	if t.job.spec.Shape == model.Gang {
		return 0
	}
	return t.index
}

// keep stores saved progress; the next start resumes from it.
func (j *job) keep(part int, progress time.Duration) {
	if j.kept == nil {
		j.kept = map[int]time.Duration{}
	}
	j.kept[part] = max(j.kept[part], progress)
}

// recordTaskLoss handles a task that leaves its machine: its periodic checkpoints are kept, and a gang that was saving
// loses later progress unless that is already safe.
func (w *cluster) recordTaskLoss(t *taskAttempt) {
	if every := t.job.spec.CheckpointEvery; every > 0 {
		t.job.keep(t.progressKey(), t.progress(w.sim.Now())/every*every)
	}
	if h := t.job.halts[t.attempt]; h != nil {
		h.failed = h.failed || !t.saved && !h.safe
		// Guard: the next leader may resume a stored claim under the same attempt once all its tasks are gone. Without
		// this line the gang was treated as still stopping and never ended (explorer, 1700007894).
		if len(w.gang(t)) == 0 {
			delete(t.job.halts, t.attempt)
		}
	}
	if t.caught {
		w.caughtStopTime = max(w.caughtStopTime, w.sim.Now()-t.job.cancelled)
	}
}

// markCaughtSaving marks the tasks that are saving at the moment when their job's cancellation is confirmed to the
// user.
func (w *cluster) markCaughtSaving(j *job) {
	for _, m := range w.cloud.machines {
		for _, t := range m.tasks {
			if t.job == j && t.on && t.state == model.TaskSaving {
				t.caught = true
				w.caught++
				w.sim.logf("%s was saving on %s when it was cancelled", model.TaskName(j.id, t.index), m.name)
			}
		}
	}
}
