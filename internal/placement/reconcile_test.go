package placement

import (
	"testing"
	"time"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/peers/peerspb"
)

// Only a report that was made after the outcome of a start order was decided shows whether the start took place. Until
// then, the task stays bound. Otherwise it could be started a second time.
func TestStartOutcome(t *testing.T) {
	run := func(b bench) (id, attempt uint64) {
		b.machine("m", "small", "a")
		b.job("x", nil)
		if b.round(1) != 1 {
			b.Fatal("not placed")
		}
		x := b.jobs.At("x").bound.At(0)
		return x.orderID, x.attempt
	}
	for _, c := range []struct {
		name  string
		do    func(b bench, id, attempt uint64)
		bound bool
	}{
		{"a report before the order was applied", func(b bench, id, _ uint64) { b.report(2, "m", "current", id-1) }, true},
		{"a report after the order was applied, without the task", func(b bench, id, _ uint64) { b.report(2, "m", "current", id) }, false},
		{"its owner reports the order as undecided", func(b bench, id, _ uint64) {
			b.UpdateMachine(at(2), "n0", &peerspb.Machine{Name: "m", Kind: &peerspb.Kind{Type: "small", Zone: "a"}, Phase: "current", NoticeMs: -1,
				Undecided: []uint64{id}}, id+5, false)
		}, true},
		{"a report with the task", func(b bench, id, a uint64) { b.report(2, "m", "current", id, task("x", 0, a, model.TaskFetching, "")) }, true},
		{"refused", func(b bench, id, a uint64) {
			b.report(2, "m", "current", id, task("x", 0, a, model.TaskExited, model.CauseNoCapacity))
		}, false},
		{"lease expired", func(b bench, id, _ uint64) { b.report(2, "m", "expired", id); b.ConfirmExpiries(at(2.5), at(3)) }, false},
		// The machine may have moved to the next leader. Missing heartbeats alone prove nothing, and neither does a read
		// of the leader key from before the expiry was reported.
		{"lease expired, the leader key not read since", func(b bench, id, _ uint64) {
			b.report(2, "m", "expired", id)
			b.ConfirmExpiries(at(1.9), at(3))
		}, true},
		{"expired, then reported again", func(b bench, id, a uint64) {
			b.report(2, "m", "expired", id)
			b.report(3, "m", "current", id, task("x", 0, a, model.TaskRunning, ""))
			b.ConfirmExpiries(at(3.5), at(4))
		}, true},
		{"no complete report under a fresh token yet", func(b bench, _, _ uint64) { b.TokenRenewed(6, at(1.5)); b.report(2, "m", "joining", 0) }, true},
		// An expiry is not trusted for a machine that may have got responses from another owner under the previous token.
		{"untrusted expiry under a fresh token", func(b bench, _, _ uint64) {
			b.TokenRenewed(6, at(1.5))
			b.report(2, "m", "expired", 0)
			b.ConfirmExpiries(at(3), at(3))
		}, true},
		{"a complete report under a fresh token", func(b bench, _, _ uint64) { b.TokenRenewed(6, at(1.5)); b.report(2, "m", "current", 0) }, false},
		{"a report by a member that does not own the pool", func(b bench, _, _ uint64) {
			b.UpdateMachine(at(2), "n9", &peerspb.Machine{Name: "m", Kind: &peerspb.Kind{Type: "small", Zone: "a"}, Phase: "expired"}, 9, true)
			b.ConfirmExpiries(at(3), at(3))
		}, true},
		{"machine terminated", func(b bench, _, _ uint64) { b.MachineTerminated("m", at(2)) }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t)
			id, attempt := run(b)
			c.do(b, id, attempt)
			if got := b.machineOf("x", 0) != ""; got != c.bound {
				t.Errorf("task is bound: %v", got)
			}
			if !c.bound && b.jobs.At("x").Unplaced() != 1 {
				t.Error("the released task is not queued again")
			}
		})
	}
}

// A machine is ordered to forget a finished task only after the task is stored as finished, and a job ends only when all
// of its tasks are finished. Otherwise the result of a task would be lost with the leader.
func TestForgetAfterStore(t *testing.T) {
	b := newBench(t)
	b.machine("m", "small", "a")
	b.job("x", func(j *model.Job) { j.Tasks = 2 })
	b.round(1)
	attempts := []uint64{b.jobs.At("x").bound.At(0).attempt, b.jobs.At("x").bound.At(1).attempt}
	first := task("x", 0, attempts[0], model.TaskExited, model.CauseDone)
	b.report(2, "m", "current", 2, first, task("x", 1, attempts[1], model.TaskRunning, ""))
	if b.orders(peerspb.Op_OP_FORGET) != 0 {
		t.Fatal("task is forgotten before it is stored as finished")
	}
	writes := b.DueWrites(at(3), time.Second, 4)
	if len(writes) != 1 || writes[0].Over != nil || writes[0].Record.Count != 1 {
		t.Fatalf("writes: %+v", writes)
	}
	b.WriteDone(writes[0], false, 0)
	if b.orders(peerspb.Op_OP_FORGET) != 0 {
		t.Fatal("task is forgotten although the write failed")
	}
	writes = b.DueWrites(at(5), time.Second, 4)
	b.WriteDone(writes[0], true, 11)
	if b.orders(peerspb.Op_OP_FORGET) != 1 {
		t.Fatal("task is not forgotten after the write")
	}
	b.report(6, "m", "current", 2, task("x", 1, attempts[1], model.TaskExited, model.CauseDone))
	writes = b.DueWrites(at(6), time.Second, 4)
	if len(writes) != 1 || writes[0].Over == nil || writes[0].Stamp != 11 {
		t.Fatalf("writes: %+v", writes)
	}
	b.WriteDone(writes[0], true, 12)
	if b.jobs.Len() != 0 || b.orders(peerspb.Op_OP_FORGET) != 2 {
		t.Error("the job has not ended")
	}
}

// The watch may report that a finished job's record was deleted before the response to the final write arrives. The
// job's exited tasks must be forgotten in this case too, or their machines would never be idle.
func TestFinishedJobDeletedBeforeWriteResponse(t *testing.T) {
	b := newBench(t)
	b.machine("m", "small", "a")
	b.job("x", nil)
	b.round(1)
	b.report(2, "m", "current", 9, task("x", 0, b.jobs.At("x").bound.At(0).attempt, model.TaskExited, model.CauseDone))
	writes := b.DueWrites(at(2), time.Second, 4)
	b.Cancel("x")
	b.WriteDone(writes[0], true, 12)
	if b.orders(peerspb.Op_OP_FORGET) != 1 || b.jobs.At("x") != nil {
		t.Error("the exited task is not forgotten")
	}
}

// A cancelled job's tasks are stopped immediately, count against the team's limit until they have ended, and are not
// started again.
func TestCancel(t *testing.T) {
	b := newBench(t)
	b.machine("m", "small", "a")
	b.job("x", func(j *model.Job) { j.Team = "tight"; j.Tasks = 3 })
	b.job("y", func(j *model.Job) { j.Team = "tight" })
	b.round(1)
	attempt := b.jobs.At("x").bound.At(0).attempt
	b.Cancel("x")
	if b.orders(peerspb.Op_OP_STOP) != 2 {
		t.Error("the cancelled job's tasks are not stopped")
	}
	if b.round(2) != 0 {
		t.Error("tasks that are stopping do not count against the team's limit")
	}
	// A start that was in flight is reported later, under a fresh token. The task is then stopped again.
	b.TokenRenewed(6, at(1.5))
	b.report(3, "m", "current", 9, task("x", 0, attempt, model.TaskRunning, ""))
	if b.orders(peerspb.Op_OP_STOP) != 1 {
		t.Error("a task of a cancelled job is not stopped again under a fresh token")
	}
	b.report(4, "m", "current", 9)
	if b.jobs.At("x") != nil || b.round(5) != 1 || b.machineOf("y", 0) != "m" {
		t.Error("the cancelled job's capacity is not free")
	}
}

// A gang is restarted as a whole, and only after all tasks of its previous attempt have exited: until then these keep
// their capacity.
func TestGangRestart(t *testing.T) {
	b := newBench(t)
	b.machine("m1", "small", "a")
	b.machine("m2", "small", "b")
	b.job("g", func(j *model.Job) { j.Tasks, j.Shape, j.Size = 2, model.Gang, model.Size{CPUs: 4} })
	if b.round(1) != 2 {
		t.Fatal("the gang is not started")
	}
	attempt := b.jobs.At("g").bound.At(0).attempt
	if b.jobs.At("g").bound.At(1).attempt != attempt {
		t.Error("the gang's tasks have different attempts")
	}
	other := map[string]string{"m1": "m2", "m2": "m1"}[b.machineOf("g", 0)]
	b.report(2, other, "current", 9, task("g", 1, attempt, model.TaskRunning, ""))
	b.MachineTerminated(b.machineOf("g", 0), at(3))
	b.machine("m3", "small", "a")
	if b.round(4) != 0 {
		t.Error("the gang is restarted while a task of the old attempt runs")
	}
	b.ReconcileGangs(at(4))
	if b.orders(peerspb.Op_OP_STOP) != 1 {
		t.Error("the remaining task is not stopped")
	}
	b.report(5, other, "current", 9, task("g", 1, attempt, model.TaskExited, model.CausePeers))
	if b.round(6) != 2 || b.jobs.At("g").bound.At(0).attempt == attempt {
		t.Error("the gang is not restarted as a whole in a new attempt")
	}
	// When one member is done, all members are finished.
	b.report(7, b.machineOf("g", 0), "current", 99, task("g", 0, b.jobs.At("g").bound.At(0).attempt, model.TaskExited, model.CauseDone))
	if b.jobs.At("g").Finished() != 2 {
		t.Error("the other member is not finished when one is done")
	}
}
