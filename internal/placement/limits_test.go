package placement

import (
	"testing"
	"time"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/peers/peerspb"
)

// A replaced limit holds at once and counts the tasks that were bound before. A copy of the state from Export and
// Import has the same limit; other cluster states keep theirs.
func TestSetLimits(t *testing.T) {
	b := newBench(t)
	b.machine("m", "big", "a", &peerspb.Task{Job: "x", Index: 0, Attempt: 1, State: "running"})
	b.job("x", func(j *model.Job) { j.Team, j.Tasks = "tight", 9 })
	b.report(1, "m", "current", 0, &peerspb.Task{Job: "x", Index: 0, Attempt: 1, State: "running"})
	b.TryCompleteTakeover()
	x := b.jobs.At("x")
	for _, c := range []struct{ limit, headroom float64 }{{4, 1}, {2, 0}, {1e-9, 0}, {10, 4}, {100, 8}} {
		b.SetLimits(map[string]model.Size{"tight": {CPUs: c.limit}, "unknown": {CPUs: 1}})
		if got := b.tasksWithinLimit(x); got != int(c.headroom) {
			t.Errorf("with a limit of %g CPUs, %d more tasks are allowed, want %g", c.limit, got, c.headroom)
		}
		s, err := b.Export()
		if err != nil {
			t.Fatal(err)
		}
		again, err := Import(b.opt, b.configuredTeams, s)
		if err != nil || again.tasksWithinLimit(again.jobs.At("x")) != int(c.headroom) {
			t.Errorf("with a limit of %g CPUs, a copy allows a different number of tasks: %v", c.limit, err)
		}
	}
	if other := newBench(t); other.teams["tight"].Limit.CPUs != 4 {
		t.Error("the limit of another cluster state has changed")
	}
}

// TeamDemands returns what each team uses and waits for. The demands are not known while the cluster state is
// incomplete or orphaned tasks run.
func TestTeamDemands(t *testing.T) {
	b := newBench(t)
	b.machine("m", "big", "a")
	b.job("x", func(j *model.Job) { j.Team, j.Tasks, j.Priority = "tight", 3, model.Low })
	b.job("y", func(j *model.Job) { j.Team, j.Tasks, j.Priority = "tight", 2, model.High })
	if _, known := b.TeamDemands(); known {
		t.Error("demands are known before the cluster state is complete")
	}
	b.TryCompleteTakeover()
	b.startTask(at(1), b.jobs.At("x"), 0, b.machines.At("m"), b.nextAttempt())
	d, known := b.TeamDemands()
	x := b.jobs.At("x").Spec.Size
	if got := d["tight"]; !known || got.Used != x || got.Waiting != x.Times(4) || got.Rank != b.jobs.At("y").effectivePriority {
		t.Errorf("demands known: %v, demand of the team: %+v", known, got)
	}
	b.report(2, "m", "current", 100, &peerspb.Task{Job: "nobody", Index: 0, Attempt: 9, State: "running"})
	if _, known := b.TeamDemands(); known {
		t.Error("demands are known while orphaned tasks run")
	}
}

// A job's due time and deadline facts depend on its team's configured limit, not on the part of the limit that the
// region has at the moment. It guards against a job that counts as the most urgent of all while that part is close
// to zero.
func TestQueueOrderUsesConfiguredLimit(t *testing.T) {
	b := newBench(t)
	b.opt.ShortFirst, b.opt.BeginWithin = 10, 4*time.Minute
	b.machine("m", "big", "a")
	b.TryCompleteTakeover()
	b.job("x", func(j *model.Job) { j.Team, j.Tasks, j.Estimate = "tight", 90, time.Minute })
	x := b.jobs.At("x")
	b.usableCPUs = 32
	b.UnmetDemands(at(1))
	due, facts := b.dueTime(x, at(1), true), b.deadlineFacts(x)
	b.SetLimits(map[string]model.Size{"tight": {CPUs: 1e-9}})
	b.UnmetDemands(at(1))
	if got := b.dueTime(x, at(1), true); !got.Equal(due) {
		t.Errorf("due at %v with the configured limit, at %v with a limit close to zero", due, got)
	}
	if got := b.deadlineFacts(x); got != facts {
		t.Errorf("facts %+v with the configured limit, %+v with a limit close to zero", facts, got)
	}
}
