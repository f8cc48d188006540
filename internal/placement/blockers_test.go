package placement

import (
	"testing"

	"github.com/marlwood/marlwood/internal/model"
)

// Blockers lists the tasks that hold the missing capacity, and whether the rules allow preempting them. Those that may
// be preempted come first.
func TestBlockersListsTasksThatHoldCapacity(t *testing.T) {
	b := newBench(t)
	for id, p := range map[string]model.Priority{"low": model.Low, "same": model.High, "above": model.Critical} {
		b.job(id, func(j *model.Job) { j.Priority, j.Size.CPUs = p, 4 })
		b.machine("m-"+id, "small", "a", task(id, 0, 1, model.TaskRunning, ""))
	}
	b.machine("free", "small", "a")
	b.job("x", func(j *model.Job) { j.Tasks, j.Shape, j.Size.CPUs, j.Priority = 2, model.Gang, 4, model.High })
	b.takeoverComplete = true
	out := b.Blockers("x", at(2))
	if out.Pieces != 2 || out.Placed != 1 || len(out.Holders) != 3 {
		t.Fatalf("got %v, want 2 members, 1 placeable, 3 blocking tasks", out)
	}
	for _, h := range out.Holders {
		if may := h.Task == "low/0"; h.MayStop != may || h.Why == "" {
			t.Errorf("only low/0 may be preempted, and each row needs a reason: got %v", h)
		}
	}
	if out.Holders[0].Task != "low/0" {
		t.Errorf("the first row is %v, want low/0", out.Holders[0])
	}
}
