package simtest

import (
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

// Times of gangs, shorter than those of the deployments so that schedules are short.
const (
	gangWait = 8 * time.Second
	gangPeer = 2 * time.Second
)

// taskAttempt is one attempt of a task on a machine.
type taskAttempt struct {
	job     *job
	index   int
	attempt uint64
	state   model.TaskState
	cause   model.Cause
	ranAt   time.Duration // when it began to run; 0: it is not running
	on      bool          // whether it counts as on its machine: it has its image and has not ended
	from    time.Duration // progress at its start
	reached time.Duration // progress when it began to save; 0: it has not
	stored  bool          // whether it has saved and waits for its gang
	saved   bool          // whether it ended with its progress saved
	caught  bool          // whether it was saving when the cancellation of its job was confirmed
}

func (m *worker) find(job string, index int) (at *taskAttempt, same func(attempt uint64) *taskAttempt) {
	for _, t := range m.tasks {
		if t.job.id == job && t.index == index && t.state != model.TaskExited {
			at = t
		}
	}
	return at, func(attempt uint64) *taskAttempt {
		for _, t := range m.tasks {
			if t.job.id == job && t.index == index && t.attempt == attempt {
				return t
			}
		}
		return nil
	}
}

func (m *worker) execute(commands []model.Command) {
	for _, c := range commands {
		id, index, _ := model.SplitTask(c.Task)
		live, same := m.find(id, index)
		t := same(c.Attempt)
		switch c.Op {
		case "start":
			if t != nil {
				continue
			}
			t = &taskAttempt{job: m.cluster.jobs[id], index: index, attempt: c.Attempt, state: model.TaskFetching}
			if t.job == nil {
				m.cluster.sim.breaks("invented", "%s is told to start %s, which nobody submitted", m.name, c.Task)
				return
			}
			m.tasks = append(m.tasks, t)
			delete(m.forgotten, attemptKey{c.Task, c.Attempt})
			m.cluster.startedOn(m, c.Task, c.Attempt)
			m.cluster.sim.logf("%s is told to start %s, attempt %x", m.name, c.Task, c.Attempt)
			switch {
			case live != nil:
				m.exit(t, model.CauseBusy)
			case !t.job.spec.Size.WithoutReport().Fits(m.freeExcept(t)):
				m.exit(t, model.CauseNoCapacity)
			default:
				m.cluster.sim.After(m.cluster.sim.Between(50*time.Millisecond, time.Second), func() { m.enter(func() { m.fetched(t) }) })
			}
		case "stop":
			if t != nil && t.state != model.TaskExited {
				m.stop(t, model.Seconds(*c.GraceS))
			}
		case "forget":
			for i, x := range m.tasks {
				if x == t && t.state == model.TaskExited {
					m.tasks = append(m.tasks[:i:i], m.tasks[i+1:]...)
					m.forgotten[attemptKey{c.Task, c.Attempt}] = true
					break
				}
			}
		}
	}
}

// freeExcept returns the free capacity of the machine, not counting the given task, which is already on its list.
func (m *worker) freeExcept(but *taskAttempt) model.Size {
	room := machineType.Size
	for _, t := range m.tasks {
		if t != but && t.state != model.TaskExited {
			room = room.Sub(t.job.spec.Size)
		}
	}
	return room
}

func (m *worker) has(t *taskAttempt) bool {
	for _, x := range m.tasks {
		if x == t {
			return !m.terminated && t.state != model.TaskExited
		}
	}
	return false
}

// fetched handles the end of a task's image fetch: the task is on its machine from then on.
func (m *worker) fetched(t *taskAttempt) {
	if !m.has(t) {
		return
	}
	w := m.cluster
	t.state, t.on = model.TaskWaitingForGang, true
	w.began(m, t)
	if t.job.finished[t.index] {
		m.exit(t, model.CauseDone)
		return
	}
	m.kick()
	if t.job.spec.Shape != model.Gang {
		m.run(t)
		return
	}
	if g := w.gang(t); len(g) == t.job.spec.Tasks {
		for _, x := range g {
			x.m.enter(func() { x.m.run(x.t) })
		}
		return
	}
	w.sim.After(gangWait, func() {
		m.enter(func() {
			if m.has(t) && t.state == model.TaskWaitingForGang {
				if m.cluster.plan.calm() {
					m.cluster.sim.breaks("half_gang", "%s waits alone for %v, though nothing but controllers failed", model.TaskName(t.job.id, t.index), gangWait)
				}
				m.exit(t, model.CauseIsolated)
			}
		})
	})
}

func (m *worker) run(t *taskAttempt) {
	t.state, t.ranAt, t.from = model.TaskRunning, m.cluster.sim.Now(), t.job.kept[t.progressKey()]
	m.cluster.attempts[t.job.spec.Team]++
	m.kick()
	m.failTask(t)
	if t.job.spec.Shape == model.Service {
		return
	}
	m.cluster.sim.After(max(0, t.job.takes-t.from), func() {
		m.enter(func() {
			if !m.has(t) || t.state != model.TaskRunning || t.job.halts[t.attempt] != nil {
				return
			}
			if t.job.spec.Shape != model.Gang {
				m.done(t)
				return
			}
			g := m.cluster.gang(t)
			whole := len(g) == t.job.spec.Tasks
			for _, x := range g {
				whole = whole && !x.m.hung
			}
			if !whole {
				m.exit(t, model.CausePeers)
				return
			}
			for _, x := range g {
				x.m.done(x.t)
			}
		})
	})
}

func (m *worker) done(t *taskAttempt) {
	t.job.finished[t.index] = true
	m.cluster.sim.logf("%s is done on %s", model.TaskName(t.job.id, t.index), m.name)
	m.exit(t, model.CauseDone)
	m.cluster.lastTaskDone(t.job)
}

func (m *worker) exit(t *taskAttempt, why model.Cause) {
	if t.state == model.TaskExited {
		return
	}
	t.state, t.cause = model.TaskExited, why
	m.off(t)
	m.kick()
}

// off removes a task from its machine. The other tasks of a running gang exit when they notice that.
func (m *worker) off(t *taskAttempt) {
	if !t.on {
		return
	}
	t.on = false
	w := m.cluster
	w.recordTaskLoss(t)
	if t.ranAt > 0 {
		w.used[t.job.spec.Team] += time.Duration(float64(w.sim.Now()-t.ranAt) * t.job.spec.Size.CPUs)
		t.ranAt = 0
	}
	w.removePlaced(m, t)
	if t.job.spec.Shape != model.Gang || t.cause == model.CauseDone {
		return
	}
	for _, x := range w.gang(t) {
		w.sim.After(w.sim.Between(0, gangPeer), func() {
			x.m.enter(func() {
				if x.m.has(x.t) && x.t.state == model.TaskRunning {
					x.m.exit(x.t, model.CausePeers)
				}
			})
		})
	}
}
