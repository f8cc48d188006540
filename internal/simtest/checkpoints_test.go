package simtest

import (
	"sync"
	"testing"
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

// Stop commands follow the protocol for tasks with checkpoints. Each task needs four seconds to save.
func TestStopOfCheckpointedTasks(t *testing.T) {
	type at struct {
		w *cluster
		m []*worker
		t []*taskAttempt
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
			c.m[i].execute([]model.Command{{Op: "stop", Task: model.TaskName(x.job.id, x.index), Attempt: x.attempt, GraceS: &windDown}})
		})
	}
	again := func(c at, i int) { // starts the task again under the same attempt
		c.t[i] = &taskAttempt{job: c.t[i].job, index: i, attempt: 1, state: model.TaskWaitingForGang, on: true}
		c.m[i].tasks = []*taskAttempt{c.t[i]}
		c.w.began(c.m[i], c.t[i])
		c.m[i].run(c.t[i])
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
		kept  time.Duration // kept progress of the first task, or of the gang
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
		{"a gang that begins again", model.Gang, 10 * sec, func(c at) {
			stop(c, 0, 5)
			stop(c, 1, 5)
			pass(c, 4100*time.Millisecond)
			again(c, 0)
			again(c, 1)
			pass(c, 45100*time.Millisecond)
		}, [2]end{{model.TaskExited, model.CauseDone, false}, {model.TaskExited, model.CauseDone, false}}, 60 * sec},
		{"a gang, one not told in time", model.Gang, 10 * sec, func(c at) { stop(c, 0, 5); pass(c, 4100*time.Millisecond) }, [2]end{stopped, peers}, 10 * sec},
		{"a gang, one with too little time", model.Gang, 10 * sec, func(c at) { stop(c, 0, 5); pass(c, sec); stop(c, 1, 1); pass(c, 4*sec) }, [2]end{stopped, stopped}, 10 * sec},
		{"a gang, one machine ends", model.Gang, 10 * sec, func(c at) { stop(c, 0, 5); stop(c, 1, 5); pass(c, sec); c.m[1].end("stopped"); pass(c, 4*sec) },
			[2]end{stopped, {saving, "", false}}, 10 * sec},
	} {
		w, err := newCluster(Plan{Seed: 1, Machines: 1, Lease: 100 * sec, Cancel: 200 * sec}, nil, 0, nil)
		if err != nil {
			t.Fatal(err)
		}
		j := &job{id: "req-1", spec: &model.Job{ID: "req-1", Team: "free", Shape: c.shape, Tasks: 2, Size: model.Size{CPUs: 2}, CheckpointEvery: c.every, SaveTime: 4 * sec},
			takes: 60 * sec, finished: make([]bool, 2), on: map[int]*worker{}, cancelled: -1}
		w.jobs[j.id] = j
		x := at{w: w}
		pass(x, sec)
		for _, n := range w.nodes { // running controllers would return machines that they did not launch
			n.crash(time.Hour)
		}
		for i := range 2 {
			m := newWorker(w, string(rune('1'+i)), model.Pool{Type: wireType.Name, Zone: "a"}, false)
			m.newSession()
			task := &taskAttempt{job: j, index: i, attempt: 1, state: model.TaskWaitingForGang, on: true}
			m.tasks = []*taskAttempt{task}
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

// Preempting only adds to the schedules of OverlappingFaults and does not change what they draw. The schedules break
// no rule, and in them tasks of cancelled jobs save.
func TestPreempting(t *testing.T) {
	saves, caught := 0, 0
	for seed := 1; seed <= 240; seed++ {
		p, before := Preempting.Example(seed), OverlappingFaults.Example(seed)
		if p.Seed != before.Seed || len(p.Jobs) != len(before.Jobs)+2 || len(p.Faults) != len(before.Faults) {
			t.Errorf("seed %d: drawn before the meetings", seed)
		}
		out := Run(p, nil, 0)
		if out.Broken != "" {
			t.Errorf("seed %d, with priorities, breaks %s", seed, out.Broken)
		}
		saves, caught = saves+out.Checkpoints, caught+out.Caught
	}
	if saves < 60 || caught < 15 {
		t.Errorf("%d tasks saved, %d of cancelled jobs: the schedules show nothing", saves, caught)
	}
}

// savingPlan returns a schedule in which three jobs need longer than cancel_s to save and are cancelled meanwhile: an
// array and a gang that were preempted by jobs in their zones, and an array whose zone an operator drained.
func savingPlan(d int, seed uint64, cancels [3]time.Duration, faults []Fault) Plan {
	x := deployments[d]
	p := Plan{Seed: seed, Machines: 1, Report: x.report, Lease: x.lease, Cancel: x.cancel, Faults: faults,
		Drains: []Draining{{At: 30 * sec, For: 90 * sec, Zone: "c", Force: true}}}
	for i, shape := range []model.Shape{model.Array, model.Gang, model.Array} {
		p.Jobs = append(p.Jobs, Submission{At: 2 * sec, Shape: shape, Tasks: 2, Zone: zones[i], Takes: 400 * sec, Priority: model.Low,
			Every: 7 * sec, Cost: x.cancel + 20*sec, Beside: true, Cancel: cancels[i] - 2*sec})
	}
	for _, zone := range zones[:2] {
		p.Jobs = append(p.Jobs, Submission{At: 30 * sec, Shape: model.Array, Tasks: 2, Zone: zone, Takes: 5 * sec, Priority: model.High})
	}
	return p
}

// Tasks that are saving when their job is cancelled are gone within cancel_s, like running tasks, whatever faults
// follow. The second stop is derived from the job's state, so that it does not depend on a single message.
func TestSaving(t *testing.T) {
	const (
		saves     = 6 // tasks of the three jobs
		seeds     = 4
		mostPlays = 4 // runs, one of which must have tasks that save when they are cancelled
	)
	f, held := newFault, newHeldFault
	for _, c := range []struct {
		name   string
		within time.Duration // limit until the saving tasks are gone; 0: what the budget allows
		least  time.Duration // in some schedule it takes at least this long; otherwise the fault missed the tasks
		faults []Fault
	}{
		{"nothing else", 2 * sec, 0, nil},
		{"the leader ends before", 0, 2 * sec, []Fault{f("crash", 39.9, 16, 7)}},
		{"the leader ends after", 0, 2 * sec, []Fault{f("crash", 40.03, 16, 7)}},
		{"the leader is back at once", 0, 500 * time.Millisecond, []Fault{f("crash back", 40.03, 0.3, 7)}},
		{"all end", 0, 2 * sec, []Fault{f("crash all", 40.08, 6, 0)}},
		{"the leader ends as they are told to save", 0, 0, []Fault{f("crash", 31, 8, 7)}},
		{"their machines hang", 0, 8 * sec, []Fault{f("hang machine", 39, 12, 0), f("hang machine", 39, 12, 1), f("hang machine", 39, 12, 2)}},
		{"their machines hang, the leader ends", 0, 8 * sec, []Fault{f("hang machine", 39, 12, 0), f("hang machine", 39, 14, 1), f("hang machine", 39, 9, 2), f("crash", 41, 16, 7)}},
		{"their machines hear nothing, and are cut off", 0, 8 * sec, []Fault{f("deafen machine", 38, 60, 0), f("cut machine", 39, 60, 1), held("cut machine", 39, 18, 2)}},
		{"their machines are cut off, the leader ends", 0, 8 * sec, []Fault{f("cut machine", 39, 16, 0), held("cut machine", 39, 16, 1), f("cut machine", 39, 60, 2), f("crash", 40.5, 16, 7)}},
		{"the first stops are held", 0, 0, []Fault{held("deafen zone", 30.2, 3, 0), held("deafen zone", 30.2, 5, 1), held("deafen zone", 30.2, 7, 2)}},
		{"the second stops are held, the leader ends", 0, 8 * sec, []Fault{held("deafen zone", 39.9, 11, 0), held("deafen zone", 39.9, 13, 1), held("deafen zone", 39.9, 20, 2), f("crash", 43, 16, 7)}},
		{"the state service refuses the leader", 0, 5 * sec, []Fault{f("store refuses node", 39.5, 14, 7)}},
		{"refused, then out for all", 0, 20 * sec, []Fault{f("store refuses node", 39.5, 14, 7), f("outage", 41.8, 70, 0)}},
		{"refused, the machines hang, then out for all", 0, 20 * sec, []Fault{f("store refuses node", 39.5, 14, 7), f("hang machine", 40, 12, 0), f("hang machine", 40, 15, 1), f("outage", 41.8, 70, 0)}},
		{"writes late, the leader ends", 0, 2 * sec, []Fault{f("late writes", 39, 20, 0), f("crash", 41, 16, 7)}},
	} {
		var gone time.Duration
		caught := 0
		var group sync.WaitGroup
		var lock sync.Mutex
		for d, x := range deployments {
			for seed := range uint64(seeds) {
				group.Go(func() {
					// If the cancellation is confirmed only after the tasks were stopped, no task was caught
					// saving. Such a run shows nothing and is replaced by another one.
					var out Outcome
					for range mostPlays {
						out = Run(savingPlan(d, seed+1, [3]time.Duration{40 * sec, 40500 * time.Millisecond, 41 * sec}, c.faults), nil, 0)
						if out.Broken != "" || out.Checkpoints >= saves && out.Caught >= saves-2 {
							break
						}
						seed += seeds
					}
					lock.Lock()
					defer lock.Unlock()
					most := x.cancel - margin
					if c.within > 0 {
						most = c.within
					}
					switch {
					case out.Broken != "":
						t.Errorf("%s, %s, seed %d: %s", c.name, x.name, seed+1, out.Broken)
					case out.Checkpoints < saves || out.Caught < saves-2:
						t.Errorf("%s, %s, seed %d: %d tasks saved, %d as their job was cancelled: it shows nothing", c.name, x.name, seed+1, out.Checkpoints, out.Caught)
					case out.CaughtStopTime > most || out.StopTime > x.cancel-margin:
						t.Errorf("%s, %s, seed %d: gone only after %v, %v", c.name, x.name, seed+1, out.CaughtStopTime, out.StopTime)
					}
					gone, caught = max(gone, out.CaughtStopTime), caught+out.Caught
				})
			}
		}
		group.Wait()
		if gone < c.least {
			t.Errorf("%s: gone after %v already: it shows nothing", c.name, gone)
		}
		t.Logf("%-50s %2d saved as they were cancelled, gone after %6.2f s", c.name, caught, gone.Seconds())
	}
}

// A job of higher priority and a job within its team's guarantee do not preempt each other forever.
func TestGuaranteeAgainstPriority(t *testing.T) {
	out := Run(Plan{Seed: 1, Machines: 1, Lease: 10 * sec, Cancel: 24 * sec, Guarantee: true, Jobs: []Submission{
		{At: 2 * sec, Shape: model.Array, Tasks: 2, Zone: "a", Takes: 40 * sec, Priority: model.High, Every: 10 * sec, Cost: 25 * sec},
		{At: 24 * sec, Shape: model.Array, Tasks: 2, Zone: "a", Team: 2, Takes: 4 * sec, Priority: model.Normal}}}, nil, 0)
	if out.Broken != "" || out.Checkpoints == 0 || out.Checkpoints > 4 {
		t.Errorf("%d saves, %q", out.Checkpoints, out.Broken)
	}
}

// Capacity that is freed for a guarantee is reserved until the stopped tasks have saved. The preempted job cannot take
// it back meanwhile, whatever its priority: a gang that waits for it starts after one save of each task.
func TestGuaranteedCapacityIsReserved(t *testing.T) {
	for seed := range uint64(8) {
		out := Run(Plan{Seed: seed + 1, Machines: 1, Lease: 10 * sec, Cancel: 24 * sec, Guarantee: true, Jobs: []Submission{
			{At: 2 * sec, Shape: model.Array, Tasks: 2, Zone: "a", Takes: 36 * sec, Priority: model.Normal, Every: 2600 * time.Millisecond, Cost: 18 * sec},
			{At: 24 * sec, Shape: model.Gang, Tasks: 2, Zone: "a", Team: 2, Takes: 4 * sec, Priority: model.Low}}}, nil, 0)
		if out.Broken != "" || out.Checkpoints == 0 || out.Checkpoints > 2 {
			t.Errorf("seed %d: %d saves, %q", seed+1, out.Checkpoints, out.Broken)
		}
	}
}
