package placement

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/peers/peerspb"
)

// Tasks count as unmet demand if the present machines can't run them now, or one after the other within the horizon,
// whether or not the last round placed some tasks of the job.
func TestUnmetDemandOfOneJob(t *testing.T) {
	for _, c := range []struct {
		name    string
		job     func(j *model.Job)
		prepare func(b bench)
		want    int // tasks of unmet demand
	}{
		{"capacity for all tasks", func(j *model.Job) { j.Tasks = 4 }, nil, 0},
		{"capacity for some tasks", func(j *model.Job) { j.Tasks = 7 }, nil, 3},
		{"capacity for some tasks, which were placed", func(j *model.Job) { j.Tasks = 7 }, func(b bench) { b.round(1) }, 3},
		{"tasks run one after the other", func(j *model.Job) { j.Tasks, j.Estimate = 8, 10*time.Second },
			func(b bench) { b.round(1) }, 0},
		{"tasks run one after the other within the horizon", func(j *model.Job) { j.Tasks, j.Estimate = 20, 10*time.Second },
			func(b bench) { b.round(1) }, 2},
		{"a gang's members don't run one after the other",
			func(j *model.Job) { j.Tasks, j.Shape, j.Estimate = 6, model.Gang, 10*time.Second }, nil, 2},
		{"a gang in one zone", func(j *model.Job) { j.Tasks, j.Shape, j.OneZone = 4, model.Gang, true }, nil, 2},
		{"machines that have not reported under a new token count", func(j *model.Job) { j.Tasks = 4 },
			func(b bench) { b.TokenRenewed(6, at(1)) }, 0},
		{"expired machines don't count", func(j *model.Job) { j.Tasks = 4 }, func(b bench) { b.report(1, "m1", "expired", 0) }, 2},
	} {
		b := newBench(t)
		b.opt.Horizon = 45 * time.Second
		b.machine("m1", "small", "a")
		b.machine("m2", "small", "b")
		b.TryCompleteTakeover()
		b.job("x", c.job)
		if c.prepare != nil {
			c.prepare(b)
		}
		got := 0
		for _, n := range b.UnmetDemands(at(2)) {
			got += n.Tasks
		}
		if got != c.want {
			t.Errorf("%s: unmet demand of %d tasks, want %d", c.name, got, c.want)
		}
	}
}

// Free capacity in a zone that already has as many of a spread service's tasks as it may have doesn't count: machines
// for the other tasks are requested in other zones.
func TestUnmetDemandOfSpreadService(t *testing.T) {
	for _, c := range []struct {
		name  string
		tasks int
		bound []string // zones of the running tasks
		want  map[string]int
	}{
		{"one of two tasks runs", 2, []string{"a"}, map[string]int{"b": 1}},
		{"none of two tasks runs, one fits", 2, nil, map[string]int{"b": 1}},
		{"three of five tasks fit", 5, nil, map[string]int{"b": 2}},
		{"more tasks than there is capacity for", 20, nil, map[string]int{"a": 2, "b": 10}},
	} {
		b := newBench(t)
		b.job("x", func(j *model.Job) { j.Tasks, j.Shape, j.Spread = c.tasks, model.Service, true })
		var on []*peerspb.Task
		for i := range c.bound {
			on = append(on, task("x", i, 1, model.TaskRunning, ""))
		}
		b.machine("here", "big", "a", on...)
		b.machines.At("here").load = b.machines.At("here").load.Add(model.Size{CPUs: 16}) // eight fit
		b.takeoverComplete = true
		got := map[string]int{}
		for _, n := range b.UnmetDemands(at(1)) {
			for _, k := range n.Pools {
				if k.Type == "big" {
					got[k.Zone] += n.Tasks
				}
			}
		}
		if !maps.Equal(got, c.want) {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// An array that has more than twice the usual horizon left gets half of that time as horizon, unless its team has a
// limit.
func TestHorizonOfArray(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(j *model.Job)
		now    float64
		want   time.Duration
	}{
		{"no objective", nil, 1, 45 * time.Second},
		{"less than twice the usual horizon left", func(j *model.Job) { j.Deadline = 80 * time.Second }, 0, 45 * time.Second},
		{"much more time left", func(j *model.Job) { j.Class = "soon" }, 0, 160 * time.Second},
		{"half of the time left", func(j *model.Job) { j.Class = "soon" }, 100, 110 * time.Second},
		{"less than the usual horizon left", func(j *model.Job) { j.Deadline = 40 * time.Second }, 0, 36 * time.Second},
		{"past the deadline", func(j *model.Job) { j.Deadline = 40 * time.Second }, 50, 45 * time.Second},
		{"a team with a limit", func(j *model.Job) { j.Class, j.Team = "soon", "tight" }, 0, 45 * time.Second},
	} {
		b := spotBench(t)
		b.opt.Horizon = 45 * time.Second
		b.job("x", func(j *model.Job) {
			j.Tasks, j.Estimate = 1000, 4*time.Second
			if c.change != nil {
				c.change(j)
			}
		})
		b.TryCompleteTakeover()
		if demands := b.UnmetDemands(at(c.now)); len(demands) != 1 || demands[0].Horizon != c.want {
			t.Errorf("%s: want one demand with the horizon of this case, got %+v", c.name, demands)
		}
	}
}

// The demand of a team's earlier jobs is subtracted from the team's limit, not from the tasks of its later jobs.
func TestUnmetDemandOfManyJobsOfTeam(t *testing.T) {
	for _, c := range []struct {
		name string
		team string
		jobs int
		want int
	}{
		{"no limit", "free", 20, 200}, {"far from the limit", "wide", 20, 200}, {"up to the limit", "wide", 70, 500},
		{"far above a tight limit", "tight", 9, 2},
	} {
		b := newBench(t)
		b.teams["wide"] = model.Team{Name: "wide", Limit: model.Size{CPUs: 1000}}
		for i := range c.jobs {
			b.job(fmt.Sprintf("x%02d", i), func(j *model.Job) { j.Team, j.Tasks, j.Estimate = c.team, 10, time.Hour })
		}
		b.TryCompleteTakeover()
		got := 0
		for _, demand := range b.UnmetDemands(at(1)) {
			got += demand.Tasks
		}
		if got != c.want {
			t.Errorf("%s: unmet demand of %d tasks, want %d", c.name, got, c.want)
		}
	}
}

// Machines with capacity for a part of a gang are held while the other machines are requested, until the time within
// which the gang should start has passed. Guard: simulation of regions, seed 1806.
func TestHoldForGang(t *testing.T) {
	for _, c := range []struct {
		name  string
		shape model.Shape
		tasks int
		at    float64
		held  bool
	}{
		{"a gang without enough capacity", model.Gang, 7, 2, true},
		{"a gang with enough capacity", model.Gang, 3, 2, false},
		{"an array", model.Array, 7, 2, false},
		{"a gang that should have started long ago", model.Gang, 7, 1000, false},
	} {
		b := newBench(t)
		b.opt.BeginWithin = 4 * time.Minute
		for _, name := range []string{"m1", "m2"} {
			b.machine(name, "small", "a") // capacity for two tasks each
		}
		b.TryCompleteTakeover()
		b.job("x", func(j *model.Job) { j.Shape, j.Tasks = c.shape, c.tasks })
		b.UnmetDemands(at(c.at))
		if got := b.machines.At("m1").HeldForPendingGang(at(c.at)); got != c.held {
			t.Errorf("%s: machine held for the gang: %v", c.name, got)
		}
		if b.machines.At("m1").HeldForPendingGang(at(c.at + 1)) {
			t.Errorf("%s: machine held for the gang at a later time as well", c.name)
		}
	}
}
