package placement

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/peers/peerspb"
	"github.com/marlwood/marlwood/internal/reservation"
)

// gangBench returns a bench with a gang of two members that is placed on two of three machines, and the write that
// stores its claim.
func gangBench(t testing.TB) (bench, *JobWrite) {
	b := newBench(t)
	b.opt.ClaimPieces, b.opt.GangWait = 100, 30*time.Second
	b.job("g", func(j *model.Job) { j.Shape, j.Tasks, j.Size = model.Gang, 2, model.Size{CPUs: 3, MemoryGB: 2} })
	for _, name := range []string{"m0", "m1", "m2"} {
		b.machine(name, "small", "a")
	}
	if n := b.round(1); n != 2 || b.orders(peerspb.Op_OP_START) != 0 {
		t.Fatalf("%d members placed, %d ordered before the claim is stored", n, b.orders(peerspb.Op_OP_START))
	}
	writes := b.DueWrites(at(1), time.Second, 8)
	if len(writes) != 1 || writes[0].Record.Claim == nil {
		t.Fatalf("want one write with a claim, got %+v", writes)
	}
	return b, writes[0]
}

// nextLeader returns the cluster state of the next leader. It reads the record as a write stored it, and receives
// reports from the machines that are up, with the tasks that run there.
func (b bench) nextLeader(t testing.TB, write *JobWrite, running map[string]*peerspb.Task, up ...string) bench {
	n := newBench(t)
	n.token, n.opt.ClaimPieces, n.opt.GangWait = 6, 100, 30*time.Second
	v, err := json.Marshal(write.Record)
	if err != nil {
		t.Fatal(err)
	}
	if err := n.AddJob(at(10), "g", v, 20, nil); err != nil {
		t.Fatal(err)
	}
	for _, name := range up {
		var tasks []*peerspb.Task
		if running[name] != nil {
			tasks = append(tasks, running[name])
		}
		n.machine(name, "small", "a", tasks...)
	}
	return n
}

// The members of a gang keep their machines from the moment these are chosen, and are ordered when the claim is
// stored. The write that records that the gang runs omits the claim.
func TestMembersOrderedAfterClaimIsStored(t *testing.T) {
	b, write := gangBench(t)
	g := b.jobs.At("g")
	b.job("other", func(j *model.Job) { j.Tasks, j.Size = 9, model.Size{CPUs: 3, MemoryGB: 2} })
	b.round(1.1)
	if b.jobs.At("other").bound.Len() != 1 {
		t.Errorf("%d other tasks are bound to machines of claimed members", b.jobs.At("other").bound.Len()-1)
	}
	b.report(1.2, b.machineOf("g", 0), "current", 99) // a report without the member must not unbind it: it was not ordered
	b.WriteDone(write, false, 0)
	if b.orders(peerspb.Op_OP_START) > 1 || g.bound.Len() != 2 {
		t.Errorf("after the write of the claim failed: %d tasks ordered, %d members bound", b.orders(peerspb.Op_OP_START), g.bound.Len())
	}
	write = b.DueWrites(at(1.3), time.Second, 8)[0]
	b.WriteDone(write, true, 30)
	if b.orders(peerspb.Op_OP_START) != 3 || g.claim.State != reservation.Starting {
		t.Errorf("after the claim was stored: %d tasks ordered, claim %v", b.orders(peerspb.Op_OP_START), g.claim.State)
	}
	for i := range 2 {
		b.report(2, b.machineOf("g", i), "current", 999, task("g", i, g.attempt, model.TaskRunning, ""))
	}
	if write = b.DueWrites(at(9), time.Second, 8)[0]; write.Record.Claim != nil || !write.Record.Started {
		t.Errorf("the running gang is stored as %+v", write.Record)
	}
}

// After a failover, whatever has happened to the members, the next leader continues the same attempt or releases
// all members.
func TestNextLeaderResumesClaim(t *testing.T) {
	b, write := gangBench(t)
	first, second, attempt := b.machineOf("g", 0), b.machineOf("g", 1), b.jobs.At("g").attempt
	spare := map[string]string{"m0m1": "m2", "m1m0": "m2", "m0m2": "m1", "m2m0": "m1", "m1m2": "m0", "m2m1": "m0"}[first+second]
	waiting := map[string]*peerspb.Task{first: task("g", 0, attempt, model.TaskWaitingForGang, "")}
	for _, c := range []struct {
		name    string
		running map[string]*peerspb.Task // by machine
		up      []string                 // machines
		late    float64                  // seconds until gangs are reconciled; 0: they aren't
		where   string                   // machine of the second member
		stops   int
	}{
		{"nothing was ordered", nil, []string{first, second, spare}, 0, second, 0},
		{"one member waits", waiting, []string{first, second, spare}, 0, second, 0},
		{"the other member's machine is terminated", waiting, []string{first, spare}, 1, spare, 0},
		{"the other member finds no machine in time", waiting, []string{first}, 25, "", 1},
		{"a machine reports a later attempt", map[string]*peerspb.Task{first: task("g", 0, 999, model.TaskWaitingForGang, "")}, []string{first, second}, 1, "", 1},
		{"a member gave up waiting", map[string]*peerspb.Task{first: task("g", 0, attempt, model.TaskExited, model.CauseIsolated)}, []string{first, second}, 1, "", 0},
	} {
		n := b.nextLeader(t, write, c.running, c.up...)
		n.TryCompleteTakeover()
		n.Place(at(10), nil)
		g := n.jobs.At("g")
		if c.late > 0 {
			n.ReconcileGangs(at(10 + c.late))
			for _, due := range n.DueWrites(at(10+c.late), time.Second, 8) {
				n.WriteDone(due, true, 31)
			}
		}
		if got := n.machineOf("g", 1); got != c.where || c.where != "" && (g.bound.At(1).attempt != attempt || g.bound.At(1).heldByClaim) || n.orders(peerspb.Op_OP_STOP) != c.stops {
			t.Errorf("%s: the second member is on %q, %d tasks stopped, claim %v", c.name, got, n.orders(peerspb.Op_OP_STOP), g.claim.State)
		}
	}
}

// A gang that is cancelled, or whose claim is too large to be stored, releases its machines at once. In the second
// case the gang then starts without a claim.
func TestUnneededClaimIsReleased(t *testing.T) {
	b, _ := gangBench(t)
	b.Cancel("g")
	if b.jobs.At("g") != nil || b.machines.At("m0").load.CPUs+b.machines.At("m1").load.CPUs+b.machines.At("m2").load.CPUs != 0 {
		t.Error("a cancelled gang keeps its machines")
	}
	b, write := gangBench(t)
	b.WriteTooLarge(write)
	if g := b.jobs.At("g"); g.bound.Len() != 0 {
		t.Error("a claim that can't be stored keeps its machines")
	}
	if b.round(3); b.orders(peerspb.Op_OP_START) != 2 {
		t.Error("a gang whose claim can't be stored is not started")
	}
}
