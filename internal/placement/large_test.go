package placement

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

// The finished tasks of a large array are stored in several parts, only a few of them in one write, and are restored from
// these parts.
func TestFinishedTasksOfLargeArrayAreStoredInParts(t *testing.T) {
	b := newBench(t)
	b.job("x", func(j *model.Job) { j.Tasks = 300 })
	j := b.jobs.At("x")
	for i := 0; i < 300; i += 2 {
		b.markFinished(j, i)
	}
	parts := map[string]string{}
	var rec *JobRecord
	for i := range 3 {
		for _, s := range b.DueWrites(at(float64(10*i)), time.Second, 2) {
			if len(s.Parts) > 2 {
				t.Errorf("%d parts in one write, want at most 2", len(s.Parts))
			}
			rec = s.Record
			for p, text := range s.Parts {
				parts[p] = text
			}
			b.WriteDone(s, true, uint64(20+i))
		}
	}
	v, err := json.Marshal(rec)
	if err != nil {
		t.Fatal(err)
	}
	again := newBench(t)
	if err := again.AddJob(at(0), "x", v, 30, parts); err != nil {
		t.Fatal(err)
	}
	if got := again.jobs.At("x"); got.Finished() != 150 || !got.finished.Has(298) || got.finished.Has(299) {
		t.Errorf("%d finished tasks restored, want 150, with task 298 and without task 299", got.Finished())
	}
}

// A leader's work per round doesn't grow with the pending tasks of a job, and grows little with the number of pending
// jobs.
func TestRoundCostWithManyPendingTasks(t *testing.T) {
	full := func(jobs, tasks int) bench {
		b := newBench(t)
		b.opt.Horizon = 45 * time.Second
		b.job("load", func(j *model.Job) { j.Tasks, j.Size, j.Estimate = 100, model.Size{CPUs: 4}, 10*time.Minute })
		for i := range 100 {
			b.machine(fmt.Sprintf("m%02d", i), "small", "a", task("load", i, 1, model.TaskRunning, ""))
		}
		for i := range jobs {
			b.job(fmt.Sprintf("w%03d", i), func(j *model.Job) { j.Tasks, j.Estimate = tasks, 10*time.Minute })
		}
		b.TryCompleteTakeover()
		return b
	}
	work := func(b bench) float64 {
		now := at(2)
		return testing.AllocsPerRun(5, func() {
			now = now.Add(time.Second)
			b.UnmetDemands(now)
			b.SampleRequests(now)
		})
	}
	one, huge := work(full(1, 100)), work(full(1, 25000))
	if huge > one+10 {
		t.Errorf("25000 pending tasks cost %v allocations per round, 100 cost %v", huge, one)
	}
	if many := work(full(400, 1)); many > one+400*4 {
		t.Errorf("400 pending jobs cost %v allocations per round, one costs %v", many, one)
	}
}
