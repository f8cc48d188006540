package placement

import (
	"slices"
	"testing"
	"time"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/peers/peerspb"
)

// stops returns the grace in seconds of each task that was ordered to stop.
func (b bench) stops() map[string]float64 {
	out := map[string]float64{}
	for _, o := range b.Orders("n0") {
		if o.Op == peerspb.Op_OP_STOP {
			out[model.TaskName(o.Job, int(o.Index))] = float64(o.GraceMs) / 1000
		}
	}
	return out
}

// equalStops reports whether two sets of stops are equal.
func equalStops(x map[string]float64, y map[string]float64) bool {
	if len(x) != len(y) {
		return false
	}
	for k, v := range x {
		if w, ok := y[k]; !ok || w != v {
			return false
		}
	}
	return true
}

// nodeDrain returns a drain of one machine; with deadline 0 it has no deadline.
func nodeDrain(name string, deadline float64) *Drain {
	d := &Drain{Scope: NodeScope, Name: name, Since: at(1)}
	if deadline > 0 {
		d.Deadline = at(deadline)
	}
	return d
}

// gangOfFour changes a job to a gang of four members that checkpoints.
func gangOfFour(j *model.Job) {
	j.Shape, j.Tasks, j.CheckpointEvery, j.SaveTime, j.Estimate = model.Gang, 4, time.Second, 2*time.Second, time.Minute
}

// The tasks on a drained machine are stopped, or go on, by their shape, their state and the drain's deadline.
func TestDrainStopsTasksByShapeAndState(t *testing.T) {
	for _, c := range []struct {
		name      string
		job       func(j *model.Job)
		state     model.TaskState // of every task; two on the drained machine, two on the other
		drain     *Drain
		at        float64
		elsewhere float64 // CPUs that are free on the other machine
		want      map[string]float64
	}{
		{"an array without checkpoints runs on", func(j *model.Job) { j.Tasks, j.Estimate = 4, time.Minute },
			model.TaskRunning, nodeDrain("old", 0), 500, 8, nil},
		{"an array without checkpoints is stopped at the deadline", func(j *model.Job) { j.Tasks, j.Estimate = 4, time.Minute },
			model.TaskRunning, nodeDrain("old", 5), 6, 8, map[string]float64{"x/0": 0, "x/1": 0}},
		{"an array with checkpoints is stopped at once", func(j *model.Job) { j.Tasks, j.CheckpointEvery, j.SaveTime = 4, time.Second, time.Second },
			model.TaskRunning, nodeDrain("old", 0), 2, 0, map[string]float64{"x/0": 2, "x/1": 2}},
		{"an array that has not started is stopped at once", func(j *model.Job) { j.Tasks = 4 },
			model.TaskFetching, nodeDrain("old", 0), 2, 0, map[string]float64{"x/0": 0, "x/1": 0}},
		{"replicas are stopped if there is capacity elsewhere", func(j *model.Job) { j.Tasks, j.Shape = 4, model.Service },
			model.TaskRunning, nodeDrain("old", 0), 2, 8, map[string]float64{"x/0": 0, "x/1": 0}},
		{"as many replicas are stopped as fit elsewhere", func(j *model.Job) { j.Tasks, j.Shape = 4, model.Service },
			model.TaskRunning, nodeDrain("old", 0), 2, 2, map[string]float64{"x/0": 0}},
		{"replicas run on if there is no capacity elsewhere", func(j *model.Job) { j.Tasks, j.Shape = 4, model.Service },
			model.TaskRunning, nodeDrain("old", 0), 2, 1, nil},
		{"replicas are stopped at the deadline without capacity elsewhere", func(j *model.Job) { j.Tasks, j.Shape = 4, model.Service },
			model.TaskRunning, nodeDrain("old", 3), 4, 1, map[string]float64{"x/0": 0, "x/1": 0}},
		{"a gang runs on without a deadline", gangOfFour, model.TaskRunning, nodeDrain("old", 0), 500, 8, nil},
		{"a gang runs on before the deadline", gangOfFour, model.TaskRunning, nodeDrain("old", 5), 4, 8, nil},
		{"a gang is stopped as a whole after the deadline", gangOfFour,
			model.TaskRunning, nodeDrain("old", 5), 6, 4, map[string]float64{"x/0": 3, "x/1": 3, "x/2": 3, "x/3": 3}},
		{"a gang runs on after the deadline if there is no capacity for all members", gangOfFour,
			model.TaskRunning, nodeDrain("old", 5), 6, 3, nil},
		{"a gang without capacity elsewhere is stopped after the deadline of a forced drain", gangOfFour,
			model.TaskRunning, &Drain{Scope: ZoneScope, Name: "a", Deadline: at(5), Force: true}, 6, 3, map[string]float64{"x/0": 3, "x/1": 3, "x/2": 3, "x/3": 3}},
		{"an array that an earlier leader stopped goes on checkpointing", func(j *model.Job) { j.Tasks, j.CheckpointEvery, j.SaveTime = 4, time.Second, time.Second },
			model.TaskSaving, nodeDrain("old", 0), 2, 8, nil},
		{"a gang that an earlier leader stopped goes on checkpointing", gangOfFour,
			model.TaskSaving, nodeDrain("old", 1), 2, 8, nil},
		{"a gang whose members wait for each other is stopped as a whole at once", gangOfFour,
			model.TaskWaitingForGang, nodeDrain("old", 0), 2, 0, map[string]float64{"x/0": 0, "x/1": 0, "x/2": 0, "x/3": 0}},
		{"a drain of a machine type", func(j *model.Job) { j.Tasks = 4 },
			model.TaskFetching, &Drain{Scope: TypeScope, Name: "small"}, 2, 0, map[string]float64{"x/0": 0, "x/1": 0}},
	} {
		b := newBench(t)
		b.job("x", c.job)
		b.machine("old", "small", "a", task("x", 0, 7, c.state, ""), task("x", 1, 7, c.state, ""))
		b.machine("new", "big", "b", task("x", 2, 7, c.state, ""), task("x", 3, 7, c.state, ""))
		b.machines.At("new").load.CPUs = 32 - c.elsewhere
		b.takeoverComplete = true
		b.SetDrains([]*Drain{c.drain}, at(1))
		b.StopTasksOnLeavingMachines(at(c.at))
		if got := b.stops(); !equalStops(got, c.want) {
			t.Errorf("%s: stopped %v, want %v", c.name, got, c.want)
		}
		if b.machines.At("old").usable() || !b.machines.At("new").usable() {
			t.Errorf("%s: usable: drained machine %v, other machine %v",
				c.name, b.machines.At("old").usable(), b.machines.At("new").usable())
		}
		if row := b.DrainRow(c.drain.Target(), at(c.at)); row.Machines != 1 || row.Tasks != 2 || row.State != "draining" {
			t.Errorf("%s: row of the drain: %v", c.name, row)
		}
	}
}

// When a job is cancelled, a task that is writing its checkpoint is stopped again without grace, whichever leader
// stopped it first with grace. The stop is sent again under every new token until the task has exited.
func TestCancelStopsCheckpointingTaskWithoutGrace(t *testing.T) {
	for _, c := range []struct {
		name    string
		open    bool // the first leader that gets the task's report still knows the job
		stopped bool // that leader stopped the task with grace for a checkpoint
		before  bool // the job is cancelled before the task is reported as checkpointing
	}{
		{"stopped by this leader", true, true, false},
		{"stopped by an earlier leader", true, false, false},
		{"cancelled before the report that it checkpoints", true, false, true},
		{"a task of a job that ended before this leader took over", false, false, false},
	} {
		b := newBench(t)
		b.takeoverComplete = true
		b.machine("m", "small", "a")
		if c.open {
			b.job("x", func(j *model.Job) { j.CheckpointEvery, j.SaveTime = time.Second, 30*time.Second })
		}
		if c.stopped {
			b.report(1, "m", "current", 9, task("x", 0, 7, model.TaskRunning, ""))
			b.SetDrains([]*Drain{nodeDrain("m", 0)}, at(1))
			b.StopTasksOnLeavingMachines(at(1))
			if got := b.stops(); got["x/0"] != 31 {
				t.Errorf("%s: stopped %v, want x/0 with 31 s of grace", c.name, got)
			}
		}
		if c.before {
			b.TokenRenewed(6, at(1))
			b.report(1, "m", "current", 9, task("x", 0, 7, model.TaskRunning, ""))
			b.Cancel("x")
			b.Orders("n0")
			b.TokenRenewed(7, at(1.2))
		}
		b.report(1.5, "m", "current", 9, task("x", 0, 7, model.TaskSaving, ""))
		if c.open && !c.before {
			b.Cancel("x")
		}
		if got := b.stops(); !equalStops(got, map[string]float64{"x/0": 0}) {
			t.Errorf("%s: stopped %v, want x/0 without grace", c.name, got)
		}
		b.TokenRenewed(8, at(2))
		b.StopTasksOnLeavingMachines(at(2))
		b.report(2, "m", "current", 9, task("x", 0, 7, model.TaskSaving, ""))
		if got := b.stops(); !equalStops(got, map[string]float64{"x/0": 0}) {
			t.Errorf("%s, under a new token: stopped %v, want x/0 without grace", c.name, got)
		}
	}
}

// A stop that was ordered before the machine reported under the new token is ordered again once the machine reports.
// The machine's owner drops its undelivered orders when the machine expires, so the first order may be lost.
func TestStopIsRepeatedAfterMachineReturns(t *testing.T) {
	for _, phases := range [][]string{{"joining"}, {"expired"}, {"joining", "expired"}, {"expired", "joining"}} {
		b := newBench(t)
		b.machine("m", "small", "a")
		b.job("x", nil)
		b.round(1)
		attempt := b.jobs.At("x").bound.At(0).attempt
		b.report(1, "m", "current", 9, task("x", 0, attempt, model.TaskRunning, ""))
		b.TokenRenewed(6, at(2))
		b.Cancel("x")
		if got := b.stops(); len(got) != 1 {
			t.Fatalf("cancelled job: stopped %v, want one task", got)
		}
		for _, phase := range phases {
			b.report(3, "m", phase, 9)
		}
		b.OrdersAcknowledged("n0", 1<<40)
		b.report(4, "m", "current", 9, task("x", 0, attempt, model.TaskRunning, ""))
		if got := b.stops(); !equalStops(got, map[string]float64{"x/0": 0}) {
			t.Errorf("after %v: stopped %v, want the stop of x/0 repeated", phases, got)
		}
		b.OrdersAcknowledged("n0", 1<<40)
		b.report(5, "m", "current", 9, task("x", 0, attempt, model.TaskRunning, ""))
		if got := b.stops(); len(got) != 0 {
			t.Errorf("after %v: stopped %v, want no further stop", phases, got)
		}
	}
}

// No task starts on a drained machine, even if the round sampled it before the drain was set. Drained zones are not
// sampled, and no machines are requested in them. After the undrain the machine is usable again.
func TestNoStartOnDrainedMachine(t *testing.T) {
	b := newBench(t)
	b.machine("old", "small", "a")
	b.machine("new", "small", "b")
	b.takeoverComplete = true
	b.job("x", func(j *model.Job) { j.Tasks = 4 })
	wants := b.SampleRequests(at(1))
	if len(wants) != 1 {
		t.Fatalf("sample requests: %v, want one", wants)
	}
	b.SetDrains([]*Drain{{Scope: ZoneScope, Name: "a"}}, at(1)) // after the round began
	b.Place(at(1), []*peerspb.Sample{{Want: 1, Kind: wants[0].Kinds[0], Machines: []string{"old", "old", "old", "old", "old", "old", "old", "old"}}})
	if n := b.machines.At("old").tasks.Len(); n != 0 {
		t.Errorf("%d tasks started on the drained machine", n)
	}
	for _, w := range b.SampleRequests(at(2)) {
		for _, k := range w.Kinds {
			if k.Zone == "a" {
				t.Error("a drained zone is sampled")
			}
		}
	}
	for _, n := range b.UnmetDemands(at(2)) {
		if slices.ContainsFunc(n.Pools, func(k model.Pool) bool { return k.Zone == "a" }) {
			t.Error("machines are requested in a drained zone")
		}
	}
	b.SetDrains(nil, at(3))
	if !b.machines.At("old").usable() || b.orders(peerspb.Op_OP_UNCORDON) != 1 || b.orders(peerspb.Op_OP_CORDON) != 1 {
		t.Errorf("after the undrain: usable %v, %d uncordon orders", b.machines.At("old").usable(), b.orders(peerspb.Op_OP_UNCORDON))
	}
}

// A drain survives a new token: the token invalidates the cordon order, so the owner gets it again after the
// machine's first report. The drain also covers machines that are added later, and is part of an exported state.
func TestDrainSurvivesNewTokenAndExport(t *testing.T) {
	b := newBench(t)
	b.machine("old", "small", "a")
	b.SetDrains([]*Drain{{Scope: ZoneScope, Name: "a", Keep: true}}, at(1))
	b.TokenRenewed(6, at(2))
	b.SetOwners(b.Owners())
	b.report(3, "old", "current", 0)
	b.machine("later", "small", "a")
	cordoned := map[string]bool{}
	for _, o := range b.Orders("n0") {
		cordoned[o.Machine] = cordoned[o.Machine] || o.Op == peerspb.Op_OP_CORDON
	}
	if !cordoned["old"] || !cordoned["later"] || !b.machines.At("later").KeptByDrain() {
		t.Errorf("cordoned %v, later kept %v", cordoned, b.machines.At("later").KeptByDrain())
	}
	s, err := b.Export()
	if err != nil {
		t.Fatal(err)
	}
	again, err := Import(b.opt, b.teams, s)
	if err != nil || !again.machines.At("old").KeptByDrain() || again.drains.Len() != 1 || again.orderID != b.orderID {
		t.Errorf("imported state: error %v, %d drains", err, again.drains.Len())
	}
}

// If several drains cover a machine, the soonest deadline applies, and the machine is kept if any drain has Keep set.
func TestOverlappingDrainsMerge(t *testing.T) {
	b := newBench(t)
	b.machine("old", "small", "a")
	b.SetDrains([]*Drain{nodeDrain("old", 90), {Scope: ZoneScope, Name: "a", Deadline: at(50), Keep: true}, {Scope: TypeScope, Name: "small"}}, at(1))
	if d := b.machines.At("old").drain; !d.Deadline.Equal(at(50)) || !d.Keep {
		t.Errorf("%+v", d)
	}
	b.SetDrains([]*Drain{nodeDrain("old", 90)}, at(2))
	if d := b.machines.At("old").drain; !d.Deadline.Equal(at(90)) || d.Keep {
		t.Errorf("%+v", d)
	}
}

// A drain check lists, before the drain is set, the jobs whose tasks would find no capacity.
func TestDrainCheckListsJobsWithoutCapacity(t *testing.T) {
	for _, c := range []struct {
		name   string
		job    func(j *model.Job)
		launch bool // machines can be launched
		want   int  // unplaceable jobs
	}{
		{"capacity elsewhere", func(j *model.Job) { j.Tasks = 2 }, false, 0},
		{"too little capacity, but machines can be launched", func(j *model.Job) { j.Tasks, j.Size.CPUs = 1, 4 }, true, 0},
		{"too little capacity, and no machines can be launched", func(j *model.Job) { j.Tasks, j.Size.CPUs = 1, 4 }, false, 1},
		{"the job is allowed in no other zone", func(j *model.Job) { j.Zone = "a" }, true, 1},
	} {
		b := newBench(t)
		b.job("x", c.job)
		b.machine("old", "small", "a", task("x", 0, 7, model.TaskRunning, ""))
		b.machine("new", "small", "b")
		b.machines.At("new").load.CPUs = 1
		covered, out := b.DrainCheck(&Drain{Scope: ZoneScope, Name: "a"}, at(1), func(model.Pool, bool) bool { return c.launch })
		if covered != 1 || len(out) != c.want {
			t.Errorf("%s: covers %d machines, jobs without capacity %v", c.name, covered, out)
		}
	}
}

// UnresolvedStarts counts starts whose outcome is unknown, and machines that may still obey an earlier leader because
// they have not reported under this leader's token. A drain request is not answered while there are any.
func TestUnresolvedStartsAndMachinesOfDrain(t *testing.T) {
	b := newBench(t)
	b.machine("m", "small", "a")
	b.takeoverComplete = true
	b.SetDrains([]*Drain{{Scope: ZoneScope, Name: "a"}}, at(1))
	check := func(when string, starts, machines int) {
		t.Helper()
		if s, m := b.UnresolvedStarts("zone/a"); s != starts || m != machines {
			t.Errorf("%s: %d starts, %d machines undecided", when, s, m)
		}
	}
	check("every machine has reported", 0, 0)
	b.AddMachine(MachineRecord{Name: "unseen", Addr: "", Pool: model.Pool{Type: "small", Zone: "a"}, Revision: 1}, at(1))
	b.AddMachine(MachineRecord{Name: "elsewhere", Addr: "", Pool: model.Pool{Type: "small", Zone: "b"}, Revision: 1}, at(1))
	check("a recorded machine has not reported", 0, 1)
	b.report(2, "unseen", "joining", 0)
	check("it has joined, but not reported under the token", 0, 1)
	b.report(3, "unseen", "current", 0)
	check("it has reported under the token", 0, 0)
	b.SetDrains(nil, at(4))
	b.job("x", nil)
	b.startTask(at(4), b.jobs.At("x"), 0, b.machines.At("m"), 7)
	b.SetDrains([]*Drain{{Scope: ZoneScope, Name: "a"}}, at(4))
	check("a start was ordered", 1, 0)
	b.TokenRenewed(6, at(5))
	check("a new token", 1, 2)
}
