package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/peers/peerspb"
)

// The rule of the paper that this scheduler follows: the machine with the lowest used share of its capacity is
// chosen, not the one with most free capacity. Ties go to the larger type.
func TestLowestUsedShareWins(t *testing.T) {
	for _, c := range []struct {
		name       string
		small, big int // number of tasks of two CPUs on each machine
		want       string
	}{
		{"a tie goes to the larger type", 0, 0, "big"},
		{"the lower used share wins", 0, 1, "small"},
		{"the used share decides, not the free capacity", 1, 7, "big"},
		{"a full machine is not chosen", 2, 15, "big"},
	} {
		b := newBench(t)
		b.job("load", func(j *model.Job) { j.Tasks, j.Image = 20, "other" })
		var s, g []*peerspb.Task
		for i := range c.small {
			s = append(s, task("load", i, 1, model.TaskRunning, ""))
		}
		for i := range c.big {
			g = append(g, task("load", 5+i, 1, model.TaskRunning, ""))
		}
		b.machine("small", "small", "a", s...)
		b.machine("big", "big", "a", g...)
		b.jobs.Delete("x")
		b.jobs.At("load").retryAt = at(100)
		b.job("x", nil)
		if b.round(1); b.machineOf("x", 0) != c.want {
			t.Errorf("%s: placed on %q", c.name, b.machineOf("x", 0))
		}
	}
}

// Of the sampled machines, those that have the image are preferred. Machines that have the image are also sampled
// as from a pool of their own, for as long as they have it.
func TestMachinesWithImageArePreferred(t *testing.T) {
	for _, c := range []struct {
		name    string
		prepare func(b bench)
		want    string
	}{
		{"the machine with the image, though its used share is higher", func(bench) {}, "b"},
		{"not a machine that is still fetching it", func(b bench) { b.dropImages(b.machines.At("b")) }, "a"},
		{"not a full machine", func(b bench) { b.machines.At("b").load = model.Size{CPUs: 3} }, "a"},
		{"not a machine whose cache was filled by other images", func(b bench) {
			for i := range 3 {
				b.addCachedImage(b.machines.At("b"), &model.Job{Image: fmt.Sprint(i), ImageGB: 2})
			}
		}, "a"},
		{"not a terminated machine", func(b bench) { b.MachineTerminated("b", at(1)) }, "a"},
	} {
		b := newBench(t)
		small := b.types["small"]
		small.CacheGB = 5
		b.types["small"] = small
		b.job("load", func(j *model.Job) { j.ImageGB, j.Size = 2, model.Size{CPUs: 1} })
		b.machine("a", "small", "a")
		b.machine("b", "small", "b", task("load", 0, 1, model.TaskRunning, ""))
		b.job("x", func(j *model.Job) { j.ImageGB = 2 })
		c.prepare(b)
		if b.round(2); b.machineOf("x", 0) != c.want {
			t.Errorf("%s: placed on %q, want %q", c.name, b.machineOf("x", 0), c.want)
		}
	}
}

// A task with an objective for its start goes to a sampled machine where it can start in time, a long task to the
// cheapest one, and a short task to the one with the lowest used share.
func TestChoiceByObjectiveAndPrice(t *testing.T) {
	for _, c := range []struct {
		name string
		job  func(j *model.Job)
		want string
	}{
		{"a short task: the lowest used share", func(j *model.Job) { j.Spot, j.Estimate = true, 20*time.Second }, "empty"},
		{"a long task: the cheapest machine", func(j *model.Job) { j.Spot, j.Estimate = true, 3*time.Minute }, "spot"},
		{"a long task that may not run on spot machines", func(j *model.Job) { j.Estimate = 3 * time.Minute }, "empty"},
		{"an urgent task: a machine that fetches the image in time", func(j *model.Job) {
			j.Class, j.Spot, j.Estimate, j.ImageGB = "urgent", true, 3*time.Minute, 4
		}, "fast"},
	} {
		b := newBench(t)
		b.opt.Aims = map[string]model.Objective{"urgent": {Wait: 6 * time.Second}}
		for name, mt := range b.types {
			mt.Price, mt.SpotPrice, mt.FetchGBPerS = mt.Size.CPUs, mt.Size.CPUs/4, map[string]float64{"small": 0.2, "big": 1}[name]
			b.types[name] = mt
		}
		b.job("load", func(j *model.Job) { j.Tasks, j.Size, j.Image = 3, model.Size{CPUs: 1}, "other" })
		b.machine("empty", "small", "a")
		b.machine("spot", "small", "b", task("load", 0, 1, model.TaskRunning, ""))
		b.machines.At("spot").Spot = true
		b.machine("fast", "big", "b", task("load", 1, 1, model.TaskRunning, ""))
		b.machines.At("fast").load = model.Size{CPUs: 20}
		b.jobs.At("load").retryAt = at(100)
		b.job("x", c.job)
		if b.round(1); b.machineOf("x", 0) != c.want {
			t.Errorf("%s: placed on %q, want %q", c.name, b.machineOf("x", 0), c.want)
		}
	}
}

// onAllMachines returns a function that applies a change to all machines of a bench.
func onAllMachines(change func(b bench, m *Machine)) func(b bench) {
	return func(b bench) {
		for _, m := range b.machines.All() {
			change(b, m)
		}
	}
}

// Each rule that restricts where, or how many, tasks of a job may be placed.
func TestPlacementRules(t *testing.T) {
	for _, c := range []struct {
		name    string
		job     func(j *model.Job)
		prepare func(b bench)
		placed  int
	}{
		{"array starts in part", func(j *model.Job) { j.Tasks = 9 }, nil, 8},
		{"gang starts whole", func(j *model.Job) { j.Tasks, j.Shape = 8, model.Gang }, nil, 8},
		{"gang does not start in part", func(j *model.Job) { j.Tasks, j.Shape = 9, model.Gang }, nil, 0},
		{"gang in one zone", func(j *model.Job) { j.Tasks, j.Shape, j.OneZone = 4, model.Gang, true }, nil, 4},
		{"gang too large for one zone", func(j *model.Job) { j.Tasks, j.Shape, j.OneZone = 5, model.Gang, true }, nil, 0},
		{"array in one zone", func(j *model.Job) { j.Tasks, j.OneZone = 8, true }, nil, 4},
		{"at most half of a spread job in a zone", func(j *model.Job) { j.Tasks, j.Spread, j.Zone = 7, true, "a" }, nil, 4},
		{"allowed zone", func(j *model.Job) { j.Tasks, j.Zone = 8, "b" }, nil, 4},
		{"allowed type", func(j *model.Job) { j.Types = []string{"big"} }, nil, 0},
		{"team limit", func(j *model.Job) { j.Tasks, j.Team = 8, "tight" }, nil, 2},
		{"gang over the limit waits", func(j *model.Job) { j.Tasks, j.Team, j.Shape = 3, "tight", model.Gang }, nil, 0},
		{"spot not allowed", nil, onAllMachines(func(_ bench, m *Machine) { m.Spot = true }), 0},
		{"spot allowed", func(j *model.Job) { j.Spot = true }, onAllMachines(func(_ bench, m *Machine) { m.Spot = true }), 1},
		{"no host record yet", nil, onAllMachines(func(_ bench, m *Machine) { m.Recorded = false }), 0},
		{"cordoned", nil, onAllMachines(func(b bench, m *Machine) { b.Cordon(m) }), 0},
		{"recall announced", nil, onAllMachines(func(_ bench, m *Machine) { m.TerminationNotice = time.Second }), 0},
		{"one machine is in phase joining", func(j *model.Job) { j.Tasks = 8 }, func(b bench) { b.report(0.5, "a0", "joining", 0) }, 6},
		// The team and the size of a task of an unknown job are not known.
		{"tasks of unknown jobs run", func(j *model.Job) { j.Tasks = 8 }, func(b bench) {
			b.report(0.5, "a0", "current", 0, task("gone", 0, 1, model.TaskRunning, ""))
		}, 0},
		{"cancelled", nil, func(b bench) { b.Cancel("x") }, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t)
			for i := range 2 {
				b.machine(fmt.Sprintf("a%d", i), "small", "a")
				b.machine(fmt.Sprintf("b%d", i), "small", "b")
			}
			b.TryCompleteTakeover()
			b.job("x", c.job)
			if c.prepare != nil {
				c.prepare(b)
			}
			if got := b.round(1); got != c.placed {
				t.Errorf("placed %d, want %d", got, c.placed)
			}
		})
	}
}
