package placement

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/peers/peerspb"
)

// A new leader starts no task until each machine with a stored record has reported all its tasks under the leader's
// token, is terminated, or has an expired lease. Otherwise it could start a task that is still running.
func TestTakeover(t *testing.T) {
	for _, c := range []struct {
		name   string
		do     func(b bench)
		placed int
	}{
		{"a machine that has not reported", func(bench) {}, 0},
		{"a joining machine", func(b bench) { b.report(1, "old", "joining", 0) }, 0},
		{"an untrusted expiry", func(b bench) { b.report(1, "old", "expired", 0); b.ConfirmExpiries(at(1.5), at(1.5)) }, 0},
		{"a current machine that runs the task", func(b bench) { b.report(1, "old", "current", 0, task("x", 0, 77, model.TaskRunning, "")) }, 0},
		{"a current machine without the task", func(b bench) { b.report(1, "old", "current", 0) }, 1},
		{"a confirmed expiry", func(b bench) { b.ReportUnseenExpired("n0", at(1)); b.ConfirmExpiries(at(1.5), at(1.5)) }, 1},
		{"an expiry, the leader key not read since", func(b bench) { b.ReportUnseenExpired("n0", at(1)); b.ConfirmExpiries(at(1), at(1.5)) }, 0},
		// The owner reported the expiry too early to be trusted, and does not report it again.
		{"a machine that joined, then missed its heartbeats", func(b bench) {
			b.report(1, "old", "joining", 0)
			b.report(1, "old", "expired", 0)
			b.ReportUnseenExpired("n0", at(1.5))
			b.ConfirmExpiries(at(1.8), at(1.8))
		}, 1},
		{"a terminated machine", func(b bench) { b.MachineTerminated("old", at(1)) }, 1},
		{"a current machine that reports the task as done", func(b bench) { b.report(1, "old", "current", 0, task("x", 0, 77, model.TaskExited, model.CauseDone)) }, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t)
			b.AddMachine(MachineRecord{Name: "old", Addr: "x:1", Pool: model.Pool{Type: "small", Zone: "a"}, Revision: 4}, at(0))
			b.machine("new", "small", "b")
			b.job("x", nil)
			c.do(b)
			if got := b.round(2); got != c.placed {
				t.Errorf("placed %d, want %d", got, c.placed)
			}
		})
	}
}

// An expired machine's record is deleted, so that the next leader does not wait for the machine. A machine that comes
// back gets no task before it has a fresh record.
func TestExpiredMachineRecords(t *testing.T) {
	b := newBench(t)
	b.AddMachine(MachineRecord{Name: "old", Addr: "x:1", Pool: model.Pool{Type: "small", Zone: "a"}, Revision: 4}, at(0))
	b.job("x", nil)
	if got := b.ExpiredMachineRecords(9); len(got) != 0 {
		t.Errorf("records of unseen machines are to be deleted: %v", got)
	}
	b.ReportUnseenExpired("n0", at(1))
	b.ConfirmExpiries(at(1.5), at(1.5))
	if got := b.ExpiredMachineRecords(9); len(got) != 1 || got["old"] != 4 {
		t.Errorf("records of expired machines to be deleted: %v", got)
	}
	if got := b.ExpiredMachineRecords(9); len(got) != 0 {
		t.Errorf("records to be deleted are returned twice: %v", got)
	}
	b.report(3, "old", "current", 0)
	if got := b.round(4); got != 0 {
		t.Error("a task is started on a machine without a record")
	}
	b.MachineRecorded("old", 8)
	b.MachineRecordDeleted("old", 4) // the deletion that was requested before the fresh record was stored
	if got := b.round(6); got != 1 || b.machines.At("old").Revision != 8 {
		t.Errorf("with a fresh record: %d placed, revision %d", got, b.machines.At("old").Revision)
	}
}

// A start whose outcome is unknown causes only one request for a fresh token. The fresh token invalidates the start,
// also on a machine from which no heartbeat arrives any more.
func TestFreshTokenEndsUnknownStartOutcome(t *testing.T) {
	b := newBench(t)
	b.UpdateMachine(at(0), "n0", &peerspb.Machine{Name: "m", Kind: &peerspb.Kind{Type: "small", Zone: "a"}, Phase: "current", NoticeMs: -1, Unsure: true}, 0, false)
	if !b.machines.At("m").StartOutcomeUnknown {
		t.Fatal("the start outcome does not count as unknown")
	}
	b.TokenRenewed(6, at(1))
	if b.machines.At("m").StartOutcomeUnknown {
		t.Error("the start outcome still counts as unknown under a fresh token")
	}
}

// A machine that expired while its record was being written gets no tasks before another record is stored, because the
// first one is about to be deleted. A machine that was back before the first record was stored does get tasks.
func TestMachineExpiresWhileRecordIsWritten(t *testing.T) {
	for _, c := range []struct {
		name   string
		back   float64 // when it reports again; 0: not before the record is stored
		placed int
	}{{"still expired", 0, 0}, {"back meanwhile", 2, 1}} {
		b := newBench(t)
		b.machine("m", "small", "a")
		b.machines.At("m").Recorded = false // its record is being written
		b.job("x", nil)
		b.report(1, "m", "expired", 0)
		b.ConfirmExpiries(at(1.5), at(1.5))
		if c.back > 0 {
			b.report(c.back, "m", "current", 0)
		}
		b.MachineRecorded("m", 9)
		dropped := b.ExpiredMachineRecords(9)
		b.report(3, "m", "current", 0)
		if got := b.round(4); got != c.placed {
			t.Errorf("%s: %d placed, records being deleted %v", c.name, got, dropped)
		}
	}
}

// hugeArrayTasks is the number of tasks of the array in TestTakeoverInHugeArray.
const hugeArrayTasks = 25000

// hugeArray changes a job into an array of very many small tasks.
func hugeArray(j *model.Job) {
	j.Tasks, j.Size, j.Estimate = hugeArrayTasks, model.Size{CPUs: 0.25}, 4*time.Second
}

// storeHugeArray finishes tasks of a huge array under an earlier leader, and returns the one write that stores them.
func storeHugeArray(t *testing.T, partTasks int, done []int) *JobWrite {
	t.Helper()
	old := newBench(t)
	old.opt.PartTasks = partTasks
	old.job("x", hugeArray)
	j := old.jobs.At("x")
	for _, i := range done {
		old.markFinished(j, i)
	}
	writes := old.DueWrites(at(2), time.Second, 16)
	if len(writes) != 1 || writes[0].Over != nil {
		t.Fatalf("%d writes", len(writes))
	}
	return writes[0]
}

// finishStarts finishes the tasks of job x whose starts are ordered, and adds them to started. It fails the test if a
// task is started a second time.
func (b bench) finishStarts(s float64, started map[int]bool) {
	b.Helper()
	for _, o := range b.Orders("n0") {
		if o.Op != peerspb.Op_OP_START {
			continue
		}
		i := int(o.Index)
		if started[i] {
			b.Fatalf("task %d is started a second time", i)
		}
		started[i] = true
		b.taskExited(at(s), b.jobs.At("x").bound.At(i), task("x", i, o.Attempt, model.TaskExited, model.CauseDone))
	}
	b.outbox = map[string][]*peerspb.Order{}
}

// A takeover in the middle of a huge array neither loses nor repeats tasks: tasks that were stored or are reported as
// done stay finished, running tasks keep running, and each other task is started once. The array's record fits the
// size limit of a value, whatever the order in which tasks finish.
func TestTakeoverInHugeArray(t *testing.T) {
	const valueBytes = 8192
	order := rand.New(rand.NewPCG(1, 2)).Perm(hugeArrayTasks)
	done, unstored, running := order[:12000], order[12000:12040], order[12040:12100]

	partTasks := model.PartTasks(valueBytes - 2048)
	write := storeHugeArray(t, partTasks, done)
	record, err := json.Marshal(write.Record)
	if err != nil || len(record) > valueBytes {
		t.Fatalf("record has %d bytes, error %v", len(record), err)
	}

	b := newBench(t)
	b.opt.PartTasks = partTasks
	if err := b.AddJob(at(3), "x", record, 20, write.Parts); err != nil {
		t.Fatal(err)
	}
	var reported []*peerspb.Task
	for _, i := range unstored {
		reported = append(reported, task("x", i, 3, model.TaskExited, model.CauseDone))
	}
	for _, i := range running {
		reported = append(reported, task("x", i, 3, model.TaskRunning, ""))
	}
	b.machine("m0", "big", "a", reported...)
	for i := 1; i < 100; i++ {
		b.machine(fmt.Sprintf("m%d", i), "big", "a")
	}
	if got := b.jobs.At("x").Finished(); got != len(done)+len(unstored) {
		t.Errorf("%d tasks are finished after the takeover, want %d", got, len(done)+len(unstored))
	}
	started := map[int]bool{} // by either leader
	for _, i := range order[:12100] {
		started[i] = true
	}
	for s := 4.0; s < 4000 && len(started) < hugeArrayTasks; s++ {
		b.round(s)
		b.finishStarts(s, started)
	}
	if len(started) != hugeArrayTasks {
		t.Errorf("%d tasks started, want %d", len(started)-12100, hugeArrayTasks-12100)
	}
}
