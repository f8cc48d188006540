package explore

import (
	"testing"
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

// The protocol on stops of tasks with checkpoints, of which each saves for four seconds.
func TestStops(t *testing.T) {
	type at struct {
		w *world
		m []*worker
		t []*copyOf
	}
	pass := func(c at, d time.Duration) {
		done := false
		c.w.sim.After(d, func() { done = true })
		for !done {
			c.w.sim.Step()
		}
	}
	stop := func(c at, i int, windDown float64) {
		x := c.t[i]
		c.m[i].enter(func() {
			c.m[i].obey([]model.Command{{Op: "stop", Task: model.TaskName(x.job.id, x.index), Attempt: x.attempt, GraceS: &windDown}})
		})
	}
	saving, running := model.TaskSaving, model.TaskRunning
	type end struct {
		state model.TaskState
		cause model.Cause
		saved bool
	}
	stopped, stored, peers := end{model.TaskExited, model.CauseStopped, false}, end{model.TaskExited, model.CauseStopped, true}, end{model.TaskExited, model.CausePeers, false}
	for _, c := range []struct {
		name  string
		shape model.Shape
		every time.Duration
		do    func(c at)
		want  [2]end
		kept  time.Duration // of the first task, or of the gang
	}{
		{"time enough", model.Array, 10 * sec, func(c at) { stop(c, 0, 4); pass(c, 3900*time.Millisecond) }, [2]end{{saving, "", false}, {running, "", false}}, 0},
		{"and over", model.Array, 10 * sec, func(c at) { stop(c, 0, 4); pass(c, 4100*time.Millisecond) }, [2]end{stored, {running, "", false}}, 15 * sec},
		{"repeated", model.Array, 10 * sec, func(c at) { stop(c, 0, 4); pass(c, 3*sec); stop(c, 0, 4); pass(c, 1100*time.Millisecond) }, [2]end{stored, {running, "", false}}, 15 * sec},
		{"too little time", model.Array, 10 * sec, func(c at) { stop(c, 0, 3.9) }, [2]end{stopped, {running, "", false}}, 10 * sec},
		{"no checkpoints", model.Array, 0, func(c at) { stop(c, 0, 60) }, [2]end{stopped, {running, "", false}}, 0},
		{"a second stop without time", model.Array, 10 * sec, func(c at) { stop(c, 0, 4); pass(c, sec); stop(c, 0, 0) }, [2]end{stopped, {running, "", false}}, 10 * sec},
		{"hangs meanwhile", model.Array, 10 * sec, func(c at) { stop(c, 0, 4); pass(c, sec); c.m[0].hang(2 * sec); pass(c, 4500*time.Millisecond) },
			[2]end{{saving, "", false}, {running, "", false}}, 0},
		{"saved after it hung", model.Array, 10 * sec, func(c at) { stop(c, 0, 4); pass(c, sec); c.m[0].hang(2 * sec); pass(c, 5500*time.Millisecond) },
			[2]end{stored, {running, "", false}}, 15 * sec},
		{"a gang in order", model.Gang, 10 * sec, func(c at) {
			stop(c, 0, 5)
			pass(c, 1500*time.Millisecond)
			stop(c, 1, 5)
			pass(c, 4100*time.Millisecond)
		}, [2]end{stored, stored}, 15 * sec},
		{"a gang, one not told in time", model.Gang, 10 * sec, func(c at) { stop(c, 0, 5); pass(c, 4100*time.Millisecond) }, [2]end{stopped, peers}, 10 * sec},
		{"a gang, one with too little time", model.Gang, 10 * sec, func(c at) { stop(c, 0, 5); pass(c, sec); stop(c, 1, 1); pass(c, 4*sec) }, [2]end{stopped, stopped}, 10 * sec},
		{"a gang, one machine ends", model.Gang, 10 * sec, func(c at) { stop(c, 0, 5); stop(c, 1, 5); pass(c, sec); c.m[1].end("stopped"); pass(c, 4*sec) },
			[2]end{stopped, {saving, "", false}}, 10 * sec},
	} {
		w, err := newWorld(Plan{Seed: 1, Machines: 1, Lease: 100 * sec, Cancel: 200 * sec}, nil, 0, nil)
		if err != nil {
			t.Fatal(err)
		}
		j := &job{id: "req-1", spec: &model.Job{ID: "req-1", Team: "free", Shape: c.shape, Tasks: 2, Size: model.Size{CPUs: 2}, CheckpointEvery: c.every, SaveTime: 4 * sec},
			takes: 60 * sec, finished: make([]bool, 2), on: map[int]*worker{}, cancelled: -1}
		w.jobs[j.id] = j
		x := at{w: w}
		pass(x, sec)
		for _, n := range w.nodes { // they would return machines that they did not rent
			n.crash(time.Hour)
		}
		for i := range 2 {
			m := newWorker(w, string(rune('1'+i)), model.Kind{Type: wireType.Name, Zone: "a"}, false)
			m.newSession()
			task := &copyOf{job: j, index: i, attempt: 1, state: model.TaskWaiting, on: true}
			m.tasks = []*copyOf{task}
			w.cloud.machines = append(w.cloud.machines, m)
			w.began(m, task)
			x.m, x.t = append(x.m, m), append(x.t, task)
		}
		for i := range 2 {
			x.m[i].run(x.t[i])
		}
		pass(x, 15*sec)
		c.do(x)
		for i := range 2 {
			if got := (end{x.t[i].state, x.t[i].cause, x.t[i].saved}); got != c.want[i] {
				t.Errorf("%s: task %d: %+v, want %+v", c.name, i, got, c.want[i])
			}
		}
		if got := j.kept[0].Round(time.Millisecond); got != c.kept {
			t.Errorf("%s: progress of %v is kept, want %v", c.name, got, c.kept)
		}
		w.end()
	}
}

// What was drawn before schedules had priorities and saves stays as it was; those on top of it
// break no rule, and tasks of cancelled jobs save in them.
func TestPreempting(t *testing.T) {
	saves, caught := 0, 0
	for seed := 1; seed <= 240; seed++ {
		p, before := Preempting.Example(seed), Meetings.Example(seed)
		if p.Seed != before.Seed || len(p.Jobs) != len(before.Jobs)+2 || len(p.Faults) != len(before.Faults) {
			t.Errorf("seed %d: drawn before the meetings", seed)
		}
		out := Run(p, nil, 0)
		if out.Broken != "" {
			t.Errorf("seed %d, with priorities, breaks %s", seed, out.Broken)
		}
		saves, caught = saves+out.Saves, caught+out.Caught
	}
	if saves < 60 || caught < 15 {
		t.Errorf("%d tasks saved, %d of cancelled jobs: the schedules show nothing", saves, caught)
	}
}
