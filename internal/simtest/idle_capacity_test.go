package simtest

import (
	"testing"
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

// A task that waits for 90 s while there is free capacity for it breaks idle_room; a task that cannot run yet does not.
// There are three machines in zones a, a and b, the last one a spot machine. Each job has two tasks that need half a
// machine each.
func TestIdleCapacityRule(t *testing.T) {
	type at struct {
		w *cluster
		j *job
		m []*worker
	}
	put := func(c at, m int, j *job, index int) *taskAttempt {
		x := &taskAttempt{job: j, index: index, attempt: 1, on: true, state: model.TaskRunning}
		c.m[m].tasks = append(c.m[m].tasks, x)
		return x
	}
	other := func(_ at, team string) *job {
		return &job{id: "other", accepted: true, spec: &model.Job{ID: "other", Team: team, Shape: model.Array, Tasks: 9, Size: model.Size{CPUs: 2}}, finished: make([]bool, 9)}
	}
	fill := func(c at, tasks ...int) { // places tasks of a job that is not checked
		j, k := other(c, "free"), 0
		for m, n := range tasks {
			for range n {
				put(c, m, j, k)
				k++
			}
		}
	}
	gang := func(c at, oneZone bool) { c.j.spec.Shape, c.j.spec.OneZone = model.Gang, oneZone }
	const breaks, holds = "idle_room", ""
	for _, c := range []struct {
		name, rule string
		do         func(c at)
		then       func(c at, now time.Duration) // called before each check; nil: nothing
	}{
		{"all waits beside empty machines", breaks, func(at) {}, nil},
		{"one of two is on a machine", breaks, func(c at) { put(c, 0, c.j, 0) }, nil},
		{"both are", holds, func(c at) { put(c, 0, c.j, 0); put(c, 1, c.j, 1) }, nil},
		{"one is fetched, one is done", holds, func(c at) { put(c, 0, c.j, 0).state = model.TaskFetching; c.j.finished[1] = true }, nil},
		{"what has ended takes no room", breaks, func(c at) { fill(c, 2, 2, 2); c.m[1].tasks[0].state = model.TaskExited }, nil},
		{"every machine is full", holds, func(c at) { fill(c, 2, 2, 2) }, nil},
		{"only a spot machine has room", holds, func(c at) { fill(c, 2, 2, 0) }, nil},
		{"and may be used", breaks, func(c at) { fill(c, 2, 2, 0); c.j.spec.Spot = true }, nil},
		{"room in another zone only", holds, func(c at) { fill(c, 0, 0, 2); c.j.spec.Zone = "b" }, nil},
		{"not accepted", holds, func(c at) { c.j.accepted = false }, nil},
		{"cancelled", holds, func(c at) { c.j.cancelRequested = true }, nil},
		{"waits for another", holds, func(c at) { c.j.needs = []*job{other(c, "free")} }, nil},
		{"its team is at its limit", holds, func(c at) { c.j.spec.Team = "tight"; o := other(c, "tight"); put(c, 0, o, 0); put(c, 1, o, 1) }, nil},
		{"its team is under its limit", breaks, func(c at) { c.j.spec.Team = "tight"; put(c, 0, other(c, "tight"), 0) }, nil},
		{"a gang of which half has room", holds, func(c at) { gang(c, false); fill(c, 2, 1, 2) }, nil},
		{"a gang over two zones", breaks, func(c at) { gang(c, false); c.j.spec.Spot = true; fill(c, 2, 1, 1) }, nil},
		{"one that must be together", holds, func(c at) { gang(c, true); c.j.spec.Spot = true; fill(c, 2, 1, 1) }, nil},
		{"together on two machines", breaks, func(c at) { gang(c, true); fill(c, 1, 1, 2) }, nil},
		{"a gang beyond its team's limit", holds, func(c at) { gang(c, false); c.j.spec.Team = "tight"; put(c, 0, other(c, "tight"), 0) }, nil},
		{"what is left of a gang leaves its room", breaks, func(c at) { gang(c, false); put(c, 0, c.j, 0); fill(c, 0, 2, 2) }, nil},
		{"room beside another zone's tasks", holds, func(c at) {
			c.j.spec.OneZone, c.j.spec.Spot = true, true
			put(c, 0, c.j, 0)
			fill(c, 1, 2, 0)
		}, nil},
		{"spread, the other zone full", holds, func(c at) { c.j.spec.Spread = true; put(c, 0, c.j, 0); fill(c, 0, 0, 2) }, nil},
		{"spread, the other zone free", breaks, func(c at) { c.j.spec.Spread, c.j.spec.Spot = true, true; put(c, 0, c.j, 0) }, nil},
		{"drained by an operator", holds, func(c at) { c.w.drained["zone a"] = true }, nil},
		{"machines that are away", holds, func(c at) { c.m[0].hung, c.m[1].down = true, true }, nil},
		{"machines that hear nothing or are not heard", holds, func(c at) {
			c.w.net.cut(&cut{until: time.Hour, blocks: func(from, to *place) bool { return to == c.m[0].place || from == c.m[1].place }})
		}, nil},
		{"room that comes and goes", holds, func(at) {}, func(c at, now time.Duration) { c.m[0].hung, c.m[1].hung = now == 50*sec, now == 50*sec }},
	} {
		w, err := newCluster(Plan{Seed: 1, Machines: 1, Lease: 10 * sec, Cancel: 24 * sec}, nil, 0, nil)
		if err != nil {
			t.Fatal(err)
		}
		j := &job{id: "j", accepted: true, spec: &model.Job{ID: "j", Team: "free", Shape: model.Array, Tasks: 2, Size: model.Size{CPUs: 2}}, finished: make([]bool, 2)}
		w.all = []*job{j}
		for i, zone := range []string{"a", "a", "b"} {
			m := newWorker(w, string(rune('1'+i)), model.Pool{Type: wireType.Name, Zone: zone}, i == 2)
			m.up = true
			w.cloud.machines = append(w.cloud.machines, m)
		}
		x := at{w, j, w.cloud.machines}
		c.do(x)
		waits := waitingSince{}
		for now := time.Duration(0); now < idleFor; now += lookEvery {
			if c.then != nil {
				c.then(x, now)
			}
			w.checkIdleCapacity(waits, now)
		}
		if w.sim.broken != "" {
			t.Errorf("%s: %q after less than %v", c.name, w.sim.broken, idleFor)
		}
		w.checkIdleCapacity(waits, idleFor)
		if w.sim.broken != c.rule {
			t.Errorf("%s: %q, want %q", c.name, w.sim.broken, c.rule)
		}
		w.end()
	}
}

// A schedule runs long enough for idle_room to break, however short its jobs are.
func TestScheduleIsLongEnoughForIdleCapacityRule(t *testing.T) {
	for seed := 1; seed <= 200; seed++ {
		if p := OverlappingFaults.Example(seed); p.playedUntil() < p.calmFrom()+idleFor+20*sec || p.playedUntil() < p.bound() {
			t.Errorf("seed %d: played for %v, troubles end after %v", seed, p.playedUntil(), p.ended())
		}
	}
}

// The idle_room rule also works with running controllers. A task was submitted with a restriction to zone a, where
// nothing is free. The rule breaks if the task may in truth run in any zone, as zone b has free capacity, and holds if
// the restriction is true.
func TestIdleCapacityRuleWithRunningControllers(t *testing.T) {
	for _, c := range []struct{ truth, want string }{{"a", ""}, {"", "idle_room"}} {
		p := Plan{Seed: 3, Machines: 1, Lease: 10 * sec, Cancel: 24 * sec}
		for i, zone := range []string{"a", "b", "a"} { // the machine in a is full, that in b half
			p.Jobs = append(p.Jobs, Submission{At: time.Duration(i) * 5 * sec, Shape: model.Service, Tasks: []int{2, 1, 1}[i], Zone: zone, Takes: sec})
		}
		w, err := newCluster(p, nil, 0, nil)
		if err != nil {
			t.Fatal(err)
		}
		for i, s := range p.Jobs {
			w.sim.At(s.At, func() { w.submit(i, s) })
		}
		w.sim.At(12*sec, func() { w.all[2].spec.Zone = c.truth })
		w.watchIdleCapacity(p.ended())
		for w.sim.Now() <= p.playedUntil() && w.sim.broken == "" {
			w.sim.Step()
		}
		if w.sim.broken != c.want || w.starts != 3 {
			t.Errorf("truth %q: %q after %v with %d starts, want %q", c.truth, w.sim.broken, w.sim.Now(), w.starts, c.want)
		}
		w.end()
	}
}
