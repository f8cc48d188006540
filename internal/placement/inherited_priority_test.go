package placement

import (
	"strings"
	"testing"
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

// A job is queued by the priority and the due time that it inherits, for as long as it inherits them.
func TestQueueUsesInheritedPriority(t *testing.T) {
	b := newBench(t)
	b.job("plain", nil)
	b.SetInheritedPriorities(map[string]InheritedPriority{"early": {Rank: model.High.Rank(), Due: at(50)}, "plain": {Rank: model.Low.Rank()}})
	b.job("early", func(j *model.Job) { j.Priority = model.Low })
	b.job("dated", func(j *model.Job) { j.Deadline = time.Minute })
	order := func() string {
		var got []string
		for _, j := range b.queue(at(1)) {
			got = append(got, j.Spec.ID)
		}
		return strings.Join(got, " ")
	}
	if got := order(); got != "early dated plain" {
		t.Errorf("queue with inherited priorities: %s", got)
	}
	if j := b.jobs.At("early"); j.dueWithin != 50*time.Second {
		t.Errorf("job with an inherited due time is due within %v", j.dueWithin)
	}
	if j := b.jobs.At("plain"); j.effectivePriority != model.Normal.Rank() {
		t.Error("an inherited priority lowered a job's own priority")
	}
	b.SetInheritedPriorities(nil)
	if got := order(); got != "dated plain early" {
		t.Errorf("queue without inherited priorities: %s", got)
	}
}

// A job preempts with an inherited priority only once its time is running out. It guards against preemptions before
// that: most of the work that was preempted was lost for nothing.
func TestPreemptionPriority(t *testing.T) {
	b := newBench(t)
	b.job("early", func(j *model.Job) { j.Priority, j.Estimate = model.Low, 20*time.Second })
	b.job("own", func(j *model.Job) { j.Priority = model.High })
	b.SetInheritedPriorities(map[string]InheritedPriority{"early": {Rank: model.High.Rank(), Due: at(50)}})
	for _, c := range []struct {
		id   string
		now  float64
		want model.Priority
	}{{"early", 10, model.Low}, {"early", 25, model.High}, {"early", 60, model.High}, {"own", 1, model.High}} {
		if got := b.jobs.At(c.id).preemptionPriority(at(c.now)); got != c.want.Rank() {
			t.Errorf("job %s at %v s: preemption priority %d", c.id, c.now, got)
		}
	}
	b.SetInheritedPriorities(map[string]InheritedPriority{"early": {Rank: model.High.Rank()}})
	if b.jobs.At("early").preemptionPriority(at(99)) != model.Low.Rank() {
		t.Error("a job that inherits no due time preempts with the inherited priority")
	}
}

// Machines are demanded for a job that is expected to be released within their boot time, but not earlier. Until it
// is released, the job is not in the queue and is not placed.
func TestMachinesDemandedForUpcomingJob(t *testing.T) {
	for _, c := range []struct {
		name     string
		estimate float64 // of the job that it depends on
		started  bool
		gone     bool
		now      float64
		want     int // tasks of the upcoming job for which machines are demanded
	}{
		{"its dependency has not started", 20, false, false, 1, 0},
		{"its dependency ends within a boot", 20, true, false, 1, 6},
		{"its dependency takes longer", 200, true, false, 1, 0},
		{"its long dependency is nearly done", 120, true, false, 100, 6},
		{"its dependency is not known", 20, true, true, 1, 0},
	} {
		b := newBench(t)
		for name, mt := range b.types {
			mt.Boot = 30 * time.Second
			b.types[name] = mt
		}
		b.opt.Horizon = 45 * time.Second
		b.job("first", func(j *model.Job) { j.Estimate, j.Size = model.Seconds(c.estimate), model.Size{CPUs: 4} })
		if c.started {
			b.machine("m", "small", "a", task("first", 0, 1, model.TaskRunning, ""))
		}
		b.TryCompleteTakeover()
		spec := &model.Job{ID: "second", Team: "free", Shape: model.Array, Priority: model.Low, Tasks: 6,
			Size: model.Size{CPUs: 2}, Estimate: time.Minute}
		dependsOn := []string{"first"}
		if c.gone {
			dependsOn = []string{"other"}
		}
		b.SetUpcomingJobs([]UpcomingJob{{Spec: spec, DependsOn: dependsOn}}, at(c.now))
		got := 0
		for _, n := range b.UnmetDemands(at(c.now)) {
			if n.Job == "second" {
				got += n.Tasks
			}
		}
		if got != c.want || b.jobs.At("second") != nil || len(b.queue(at(c.now))) > 1 {
			t.Errorf("%s: machines are demanded for %d tasks, want %d", c.name, got, c.want)
		}
	}
}
