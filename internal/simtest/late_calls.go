package simtest

import (
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/marlwood/marlwood/internal/model"
)

// LateCalls draws schedules in which direct calls that were carried out and answered reach their worker once more,
// while tasks end in every way: done, failed on a faulty machine, stopped by a drain or for another job, cancelled. At
// most two faults of Plans are added. Only one machine is faulty, because a job that failed on two may never be tried
// again (TestJobThatFailedOnTwoMachines).
var LateCalls = rapid.Custom(func(t *rapid.T) Plan {
	p := lateCallsOnFaultyMachines.Draw(t, "plan")
	faulty := 0
	p.Faults = slices.DeleteFunc(p.Faults, func(f Fault) bool {
		if f.Kind == "faulty machine" {
			faulty++
		}
		return f.Kind == "faulty machine" && faulty > 1
	})
	return p
})

// lateCallsOnFaultyMachines draws the same schedules with up to two faulty machines.
var lateCallsOnFaultyMachines = rapid.Custom(func(t *rapid.T) Plan {
	p := Plans.Draw(t, "plan")
	if rapid.Bool().Draw(t, "preempting") {
		p.preempt(t)
	}
	p.Faults = p.Faults[:min(len(p.Faults), max(0, rapid.IntRange(-2, 2).Draw(t, "other faults")))]
	p.Faults = append(p.Faults, Fault{Kind: "late calls", At: seconds(t, "late calls at", 1, 10), For: seconds(t, "late calls for", 20, 45)})
	for range rapid.IntRange(0, 2).Draw(t, "faulty machines") {
		p.Faults = append(p.Faults, Fault{Kind: "faulty machine", At: seconds(t, "faulty at", 3, 30), For: seconds(t, "faulty for", 5, 20), A: rapid.IntRange(0, 7).Draw(t, "faulty")})
	}
	p.Drains = append(p.Drains, rapid.SliceOfN(rapid.Custom(drawDraining), 0, 2).Draw(t, "more drains")...)
	for range rapid.IntRange(2, 6).Draw(t, "short jobs") {
		p.Jobs = append(p.Jobs, drawShortJob(t))
	}
	return p
})

// drawShortJob draws a job whose tasks end soon, or are cancelled.
func drawShortJob(t *rapid.T) Submission {
	s := Submission{At: seconds(t, "short at", 2, 40), Shape: rapid.SampledFrom([]model.Shape{model.Array, model.Array, model.Gang, model.Service}).Draw(t, "short shape"),
		Tasks: rapid.IntRange(1, 2).Draw(t, "short tasks"), Takes: seconds(t, "short takes", 1, 15), Spot: rapid.Bool().Draw(t, "short spot")}
	if s.Shape == model.Service || rapid.IntRange(0, 2).Draw(t, "short cancelled") == 2 {
		s.Cancel = seconds(t, "short cancel", 1, 15)
	}
	return s
}

// attemptKey identifies an attempt of a task.
type attemptKey struct {
	task    string
	attempt uint64
}

// deliverLateCalls delivers a direct call that was carried out and answered twice more to the same life of its worker, if
// the fault is active: within half a lease, and within four leases, which is longer than a cancelled job's tasks may
// stay. Nobody waits for the answers.
func (m *worker) deliverLateCalls(call model.DirectCommands) {
	s, life := m.cluster.sim, m.life
	if s.Now() >= m.cluster.lateCalls {
		return
	}
	for _, within := range []time.Duration{m.cluster.plan.Lease / 2, 4 * m.cluster.plan.Lease} {
		s.After(s.Between(100*time.Millisecond, within), func() {
			m.enter(func() {
				if m.life == life {
					m.receiveLateCall(call)
				}
			})
		})
	}
}

// receiveLateCall handles a copy of a direct call that was carried out before.
func (m *worker) receiveLateCall(call model.DirectCommands) {
	met := &m.cluster.met
	met[MetLateCall]++
	forgotten := 0
	for _, command := range call.Commands {
		if command.Op == "start" && m.session == call.Session && m.forgotten[attemptKey{command.Task, command.Attempt}] {
			forgotten++
		}
	}
	met[MetLateCallForgotten] += forgotten
	if status, _ := m.handleDirectCall(call); status == 200 {
		met[MetLateCallStarts] += forgotten
	}
}

// failTask ends a task with an error soon after it began, while its machine is faulty.
func (m *worker) failTask(t *taskAttempt) {
	s := m.cluster.sim
	if s.Now() >= m.faulty {
		return
	}
	s.After(s.Between(100*time.Millisecond, time.Second), func() {
		m.enter(func() {
			if m.has(t) && t.state == model.TaskRunning {
				m.exit(t, model.CauseError)
			}
		})
	})
}
