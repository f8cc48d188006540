package placement

import (
	"fmt"
	"testing"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/peers/peerspb"
)

// Only tasks of strictly lower priority are preempted, those that lose least first, and the capacity is reserved
// for the job that they are preempted for.
func TestPreemptsOnlyLowerPriority(t *testing.T) {
	for _, c := range []struct {
		name  string
		prio  model.Priority
		stops int
	}{{"higher", model.High, 1}, {"equal", model.Normal, 0}, {"lower", model.Low, 0}} {
		b := newBench(t)
		b.machine("m", "small", "a")
		b.job("x", func(j *model.Job) { j.Tasks = 2 })
		b.round(1)
		b.report(2, "m", "current", 9, task("x", 0, b.jobs.At("x").bound.At(0).attempt, model.TaskRunning, ""))
		b.report(9, "m", "current", 9, task("x", 0, b.jobs.At("x").bound.At(0).attempt, model.TaskRunning, ""))
		b.round(9) // starts the other task again
		x1 := b.jobs.At("x").bound.At(1)
		b.report(10, "m", "current", 99, task("x", 0, b.jobs.At("x").bound.At(0).attempt, model.TaskRunning, ""),
			task("x", 1, x1.attempt, model.TaskRunning, ""))
		b.job("y", func(j *model.Job) { j.Priority = c.prio })
		for i := range 4 {
			b.round(11 + float64(i))
		}
		b.Preempt(at(20))
		b.Preempt(at(20.1))
		if got := b.orders(peerspb.Op_OP_STOP); got != c.stops {
			t.Errorf("%s: %d tasks stopped", c.name, got)
		}
		if c.stops == 1 {
			if !x1.stopping {
				t.Errorf("%s: the longer-running task was stopped", c.name)
			}
			b.report(21, "m", "current", 99, task("x", 0, b.jobs.At("x").bound.At(0).attempt, model.TaskRunning, ""),
				task("x", 1, x1.attempt, model.TaskExited, model.CauseStopped))
			b.round(22)
			if b.machineOf("y", 0) != "m" || b.machineOf("x", 1) != "" {
				t.Errorf("%s: the capacity went to another job", c.name)
			}
		}
	}
}

// Capacity for a gang is preempted where the whole gang fits, and where least is lost: free capacity and machines
// with the gang's image are taken into account. No task is stopped if the gang can't start whole.
func TestPreemptForGang(t *testing.T) {
	for _, c := range []struct {
		name  string
		job   func(j *model.Job)
		stops map[string]int // by machine
	}{
		{"all members in one zone", func(j *model.Job) { j.Tasks, j.OneZone = 2, true }, map[string]int{"a1": 1}},
		{"members in any zone", func(j *model.Job) { j.Tasks = 2 }, map[string]int{"b1": 1}},
		{"a machine with the image", func(j *model.Job) { j.Tasks, j.Zone, j.Image, j.ImageGB = 1, "b", "i", 9 }, map[string]int{"b2": 1}},
		{"not enough capacity for the whole gang", func(j *model.Job) { j.Tasks, j.OneZone = 4, true }, map[string]int{}},
	} {
		b := newBench(t)
		b.types["small"] = model.MachineType{Name: "small", Size: model.Size{CPUs: 4, MemoryGB: 16}, Zones: []string{"a", "b"}, FetchGBPerS: 0.5}
		for i, name := range []string{"a1", "b1", "b2"} {
			id := fmt.Sprintf("low%d", i)
			b.job(id, func(j *model.Job) { j.Priority, j.Size, j.Image = model.Low, model.Size{CPUs: 4}, "k"+name })
			if name == "b2" {
				b.jobs.At(id).Spec.Image = "i"
			}
			// The task on b1 loses least, then that on a1, then that on b2.
			b.machine(name, "small", name[:1], task(id, 0, 1, model.TaskRunning, ""))
			b.jobs.At(id).bound.At(0).stateSince = at([]float64{5, 8, 2}[i])
		}
		b.machine("a2", "small", "a")
		b.job("g", func(j *model.Job) {
			j.Shape, j.Priority, j.Size, j.Image = model.Gang, model.High, model.Size{CPUs: 4}, "new"
			c.job(j)
		})
		b.jobs.At("g").roundsWithoutCapacity, b.jobs.At("g").unplacedSince = 3, at(5)
		b.TryCompleteTakeover()
		b.Preempt(at(10))
		b.Preempt(at(10.5))
		got := map[string]int{}
		for _, o := range b.Orders("n0") {
			if o.Op == peerspb.Op_OP_STOP {
				got[o.Machine]++
			}
		}
		if fmt.Sprint(got) != fmt.Sprint(c.stops) {
			t.Errorf("%s: stopped on %v, want %v", c.name, got, c.stops)
		}
	}
}

// A gang for which there is free capacity preempts a task on a machine that has its image instead, if that loses
// less than the fetch. It waits for preempted capacity only once.
func TestGangPreemptsToAvoidFetch(t *testing.T) {
	for _, c := range []struct {
		name  string
		ran   float64 // seconds for which the other task has run
		want  string
		stops int
	}{
		{"the other task loses little", 2, "", 1},
		{"the other task loses much", 30, "free", 0},
	} {
		b := newBench(t)
		b.types["small"] = model.MachineType{Name: "small", Size: model.Size{CPUs: 4, MemoryGB: 16}, Zones: []string{"a"}, FetchGBPerS: 0.2}
		b.job("low", func(j *model.Job) { j.Priority, j.Size = model.Low, model.Size{CPUs: 4} })
		b.machine("has", "small", "a", task("low", 0, 1, model.TaskRunning, ""))
		b.machine("free", "small", "a")
		b.jobs.At("low").bound.At(0).stateSince = at(40 - c.ran)
		b.job("g", func(j *model.Job) {
			j.Shape, j.Priority, j.Size, j.ImageGB = model.Gang, model.High, model.Size{CPUs: 4}, 4
		})
		if b.round(40); b.machineOf("g", 0) != c.want || b.orders(peerspb.Op_OP_STOP) != c.stops {
			t.Errorf("%s: the gang is placed on %q, %d tasks stopped", c.name, b.machineOf("g", 0), b.orders(peerspb.Op_OP_STOP))
		}
		if b.round(42); b.machineOf("g", 0) != "free" {
			t.Errorf("%s: the gang still waits for the preempted capacity", c.name)
		}
	}
}

// Tasks of equal priority are preempted only to give another team its guarantee, and only if little work is lost.
func TestPreemptForGuarantee(t *testing.T) {
	replica := func(j *model.Job) { j.Shape, j.CheckpointEvery, j.Estimate = model.Service, 0, 0 }
	for _, c := range []struct {
		name   string
		team   string // of the waiting job
		victim func(j *model.Job)
		waited float64 // seconds for which the job has found no capacity
		stops  int
	}{
		{"the job is within its team's guarantee", "sure", nil, 5, 1},
		{"the victim is within its own team's guarantee", "sure", func(j *model.Job) { j.Team = "owner" }, 5, 0},
		{"the victim writes no checkpoints", "sure", func(j *model.Job) { j.CheckpointEvery = 0 }, 5, 0},
		{"the victim is a replica, the job has waited for long enough", "sure", replica, 41, 1},
		{"the victim is a replica, the job has not waited for long enough", "sure", replica, 39, 0},
		{"the job's team has no guarantee", "free", nil, 5, 0},
		{"the job doesn't fit into its team's guarantee", "small", nil, 5, 0},
	} {
		b := spotBench(t)
		b.teams["sure"] = model.Team{Name: "sure", Guarantee: model.Size{CPUs: 8}}
		b.teams["owner"] = model.Team{Name: "owner", Guarantee: model.Size{CPUs: 4}}
		b.teams["small"] = model.Team{Name: "small", Guarantee: model.Size{CPUs: 1}}
		b.job("x", func(j *model.Job) {
			longCheckpointedTasks(j)
			j.Size.CPUs = 4
			if c.victim != nil {
				c.victim(j)
			}
		})
		b.machine("m", "small", "a", task("x", 0, 1, model.TaskRunning, ""))
		b.job("y", func(j *model.Job) { j.Team, j.Priority = c.team, model.Low })
		b.TryCompleteTakeover()
		b.jobs.At("y").roundsWithoutCapacity, b.jobs.At("y").unplacedSince = 3, at(10-c.waited)
		b.Preempt(at(10))
		if got := b.orders(peerspb.Op_OP_STOP); got != c.stops {
			t.Errorf("%s: %d tasks stopped", c.name, got)
		}
	}
}

// For a job that must be spread over zones, no capacity is preempted or reserved in a zone that may run no more of
// its tasks. It guards against capacity that is reserved again and again although the job could never use it.
func TestPreemptForSpread(t *testing.T) {
	for _, c := range []struct {
		name     string
		shape    model.Shape
		bound    []string // machines that run tasks of the job
		reserved float64  // CPUs reserved for the job
	}{
		{"a gang for which only one zone has capacity", model.Gang, nil, 0},
		{"a service, up to the zone's cap", model.Service, nil, 4},
		{"a service that is at the zone's cap", model.Service, []string{"a0", "a1"}, 0},
	} {
		b := newBench(t)
		b.job("x", func(j *model.Job) {
			j.Shape, j.Priority, j.Tasks, j.Spread, j.Size = c.shape, model.High, 4, true, model.Size{CPUs: 2, MemoryGB: 2}
		})
		b.job("low", func(j *model.Job) { j.Priority, j.Tasks, j.Size = model.Low, 2, model.Size{CPUs: 2, MemoryGB: 2} })
		for i, name := range []string{"a0", "a1"} {
			tasks := []*peerspb.Task{task("low", i, 1, model.TaskRunning, "")}
			for _, on := range c.bound {
				if on == name {
					tasks = append(tasks, task("x", i, 1, model.TaskRunning, ""))
				}
			}
			b.machine(name, "small", "a", tasks...)
		}
		b.TryCompleteTakeover()
		b.jobs.At("x").roundsWithoutCapacity, b.jobs.At("x").unplacedSince = 3, at(0)
		b.Preempt(at(10))
		reserved := 0.0
		for _, m := range b.machines.All() {
			reserved += m.reserved.At("x").size.CPUs
		}
		if reserved != c.reserved {
			t.Errorf("%s: %v CPUs are reserved, want %v", c.name, reserved, c.reserved)
		}
	}
}
