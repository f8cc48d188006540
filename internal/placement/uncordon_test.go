package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

// longSpotTask changes a job into one long task with checkpoints, for which only spot machines are launched.
func longSpotTask(j *model.Job) {
	longCheckpointedTasks(j)
	j.Tasks, j.Size = 1, model.Size{CPUs: 2, MemoryGB: 2}
}

// oneZoneGang changes a job into a gang that must stay in one zone.
func oneZoneGang(j *model.Job) { j.Shape, j.Tasks, j.OneZone = model.Gang, 4, true }

// uncordonCases are cases in which all small machines, a0, a1 and b0, are withheld from job x.
var uncordonCases = []struct {
	name       string
	job        func(j *model.Job)
	withhold   func(b bench)
	uncordoned string // the machines that are uncordoned 46 s later
}{
	{"only spot machines are launched for the job", longSpotTask, func(b bench) { b.scaleInAll("a0", "a1", "b0") }, "[a0]"},
	{"the job failed on two other machines", nil, func(b bench) {
		b.scaleInAll("a0", "a1", "b0")
		b.jobs.At("x").failedOn = map[string]bool{"gone": true, "too": true}
	}, "[a0]"},
	{"all machines are quarantined, and run replicas", nil, func(b bench) { b.quarantineAll("a0", "a1", "b0") }, "[a0]"},
	{"a machine that scales in is preferred to a quarantined one", longSpotTask, func(b bench) { b.quarantineAll("a0", "a1"); b.scaleInAll("b0") }, "[b0]"},
	{"a quarantined machine on which the job itself failed stays cordoned", nil, func(b bench) {
		b.quarantineAll("a0", "a1", "b0")
		b.jobs.At("x").failedOn = map[string]bool{"a0": true}
	}, "[a1]"},
	{"a machine that is being returned stays cordoned", nil, func(b bench) {
		for _, m := range b.machines.Values() {
			b.Cordon(m)
		}
	}, "[]"},
	{"a quarantined machine without tasks is returned", nil, func(b bench) {
		b.quarantineAll("a0", "a1", "b0")
		b.jobs.At("stays").retryAt = at(1000)
		b.report(1, "a0", "current", 99)
	}, "[a1]"},
	{"a gang that must stay in one zone gets all machines that it needs there", oneZoneGang, func(b bench) { b.quarantineAll("a0", "a1", "b0") }, "[a0 a1]"},
	{"a gang for which there is too little capacity", func(j *model.Job) { oneZoneGang(j); j.Tasks = 5 }, func(b bench) { b.quarantineAll("a0", "a1", "b0") }, "[]"},
	{"a job that names its zone", func(j *model.Job) { j.Zone = "b" }, func(b bench) { b.quarantineAll("a0", "a1", "b0") }, "[b0]"},
}

// A machine that scales in or is quarantined is uncordoned for a job that has found no capacity for too long,
// whatever kind of job it is. The machine is then protected from scale-in for a while.
func TestUncordon(t *testing.T) {
	for _, c := range uncordonCases {
		b := spotBench(t)
		b.types["small"] = model.MachineType{Name: "small", Size: model.Size{CPUs: 6, MemoryGB: 16}, Zones: []string{"a", "b"}, Price: 1, SpotPrice: 0.3}
		b.job("stays", func(j *model.Job) { j.Shape, j.Tasks = model.Service, 3 })
		for i, name := range []string{"a0", "a1", "b0"} {
			b.machine(name, "small", name[:1], task("stays", i, 1, model.TaskRunning, ""))
		}
		b.machine("unused", "big", "a")
		b.job("x", func(j *model.Job) {
			if j.Types = []string{"small"}; c.job != nil {
				c.job(j)
			}
		})
		b.TryCompleteTakeover()
		c.withhold(b)
		now := 0.0
		for ; now < 100 && b.jobs.At("x").bound.Len() < b.jobs.At("x").Spec.Tasks; now++ {
			b.round(now)
			b.Consolidate(at(now))
		}
		uncordoned := b.usableExcept("unused")
		if fmt.Sprint(uncordoned) != c.uncordoned || len(uncordoned) > 0 && now > uncordonAfter.Seconds()+4 {
			t.Errorf("%s: uncordoned %v after %v s, want %s", c.name, uncordoned, now, c.uncordoned)
		}
		for s := 1.0; s < 40; s++ {
			if b.Consolidate(at(now + s)); len(uncordoned) > 0 && !b.machines.At(uncordoned[0]).usable() {
				t.Errorf("%s: machine is withheld again %v s later", c.name, s)
				break
			}
		}
	}
	if uncordonAfter > 45*time.Second {
		t.Errorf("capacity is withheld for %v: users accept 90 s in total", uncordonAfter)
	}
}

// usableExcept returns the names of the usable machines, except one.
func (b bench) usableExcept(name string) []string {
	usable := []string{}
	for other, m := range b.machines.All() {
		if m.usable() && other != name {
			usable = append(usable, other)
		}
	}
	return usable
}

// scaleInAll makes machines scale-in candidates.
func (b bench) scaleInAll(names ...string) {
	for _, name := range names {
		b.setScaleIn(b.machines.At(name), true)
	}
}

// quarantineAll quarantines machines.
func (b bench) quarantineAll(names ...string) {
	for _, name := range names {
		b.Quarantine(b.machines.At(name))
	}
}
