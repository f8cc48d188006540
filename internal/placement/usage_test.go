package placement

import (
	"testing"
	"time"

	"github.com/marlwood/marlwood/internal/accounting"
	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/peers/peerspb"
)

// No usage is counted while a machine reports that the outcome of its starts is unknown: its tasks may have ended when
// its worker restarted. If they turn out to have kept running, all of the time is counted then.
func TestNoUsageWhileStartOutcomeUnknown(t *testing.T) {
	for _, c := range []struct {
		name  string
		runs  bool // the tasks still run once the outcome is known
		least float64
		most  float64 // CPU seconds in the end
	}{{"the tasks had ended", false, 10, 10}, {"they kept running", true, 84, 84}} {
		b := newBench(t)
		b.opt.Accounts, b.opt.Flush = true, 10*time.Second
		b.startAccounting()
		b.job("j", nil)
		run := func() float64 { return b.ledger.Team("free")[accounting.Run].CPUSeconds() }
		reportMachine := func(s float64, unsure bool, tasks ...*peerspb.Task) {
			b.RecordMemberResponse("n0", at(s))
			b.UpdateMachine(at(s), "n0", &peerspb.Machine{Name: "m", Kind: &peerspb.Kind{Type: "small", Zone: "a"}, Phase: "current", NoticeMs: -1,
				Unsure: unsure, Tasks: tasks}, 0, false)
			b.Usage(at(s))
		}
		running := task("j", 0, 5<<20+1, model.TaskRunning, "")
		reportMachine(0, false, running)
		reportMachine(5, false, running)
		if run() != 10 {
			t.Fatalf("%s: %v CPU seconds after 5 s on 2 CPUs, want 10", c.name, run())
		}
		for s := 6.0; s <= 40; s++ {
			reportMachine(s, true, running)
		}
		if run() != 10 {
			t.Errorf("%s: %v CPU seconds counted while the outcome is unknown, want 10", c.name, run())
		}
		b.TokenRenewed(6, at(41))
		if c.runs {
			reportMachine(42, false, running)
		} else {
			reportMachine(42, false)
		}
		if got := run(); got < c.least || got > c.most {
			t.Errorf("%s: %v CPU seconds in the end", c.name, got)
		}
	}
}

// Usage of a task that an earlier leader had ordered before it stored its sums is counted from that watermark on. The
// attempt of a gang may have been ordered by a later leader, so no more than the time between two flushes is counted.
func TestUsageOfTasksStartedByEarlierLeader(t *testing.T) {
	for _, c := range []struct {
		name    string
		shape   model.Shape
		attempt uint64
		want    float64 // CPU seconds at 60 s, with the watermark at 10 s
	}{
		{"ordered before the watermark", model.Array, 4<<20 + 1, 100},
		{"ordered after the watermark", model.Array, 4<<20 + 9, 0},
		{"a gang's member, numbered before the watermark", model.Gang, 4<<20 + 1, 26},
		{"a gang's member, numbered after the watermark", model.Gang, 4<<20 + 9, 0},
	} {
		b := newBench(t)
		b.opt.Accounts, b.opt.Flush = true, 10*time.Second
		b.startAccounting()
		b.usageWatermark = accounting.Watermark{AtMS: at(10).UnixMilli(), Attempt: 4<<20 + 5}
		b.job("j", func(j *model.Job) { j.Shape = c.shape })
		b.RecordMemberResponse("n0", at(60))
		b.UpdateMachine(at(60), "n0", &peerspb.Machine{Name: "m", Kind: &peerspb.Kind{Type: "small", Zone: "a"}, Phase: "current", NoticeMs: -1,
			Tasks: []*peerspb.Task{task("j", 0, c.attempt, model.TaskRunning, "")}}, 0, false)
		b.Usage(at(60))
		if got := b.ledger.Team("free")[accounting.Run].CPUSeconds(); got != c.want {
			t.Errorf("%s: %v CPU seconds, want %v", c.name, got, c.want)
		}
	}
}
