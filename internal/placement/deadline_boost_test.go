package placement

import (
	"testing"
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

// A job with a deadline boost is first in the queue whatever its priority, uses warm headroom, and isn't preempted
// for jobs without a boost. It preempts no task that it could not preempt without the boost.
func TestDeadlineBoost(t *testing.T) {
	for _, c := range []struct {
		name    string
		age     float64 // seconds since the low job was accepted
		first   string  // in the queue
		stopped bool    // the low job may be preempted for a high job without a boost
	}{
		{"young", 30, "high", true},
		{"boosted", 225, "low", false},
		{"late", 250, "high", true},
	} {
		b := newBench(t)
		b.opt.BeginWithin, b.usableCPUs, b.longWaitingGatherTime = 4*time.Minute, 4, 61*time.Second
		b.job("low", func(j *model.Job) {
			j.Priority, j.Tasks, j.Size, j.Estimate = model.Low, 2, model.Size{CPUs: 2, MemoryGB: 2}, time.Second
		})
		b.job("high", func(j *model.Job) { j.Priority, j.Size = model.High, model.Size{CPUs: 2, MemoryGB: 2} })
		b.jobs.At("high").Accepted = at(c.age)
		b.machine("m", "small", "a")
		b.machines.At("m").reserve("headroom", reservedCapacity{size: model.Size{CPUs: 2}, class: "headroom", rank: 2, until: at(1000)})
		b.TryCompleteTakeover()
		before, err := b.Export()
		if err != nil {
			t.Fatal(err)
		}
		b.Explain("low", at(c.age))
		b.JobRows("", at(c.age))
		if after, err := b.Export(); err != nil || !sameState(before, after) {
			t.Errorf("%s: a query changed the cluster state: %v", c.name, err)
		}
		if q := b.queue(at(c.age)); q[0].Spec.ID != c.first {
			t.Errorf("%s: %s is first in the queue", c.name, q[0].Spec.ID)
		}
		if got := b.round(c.age); (b.machineOf("low", 1) != "") != (c.first == "low") || got == 0 {
			t.Errorf("%s: %d tasks placed, the second task of low on %q", c.name, got, b.machineOf("low", 1))
		}
		low, high := b.jobs.At("low"), b.jobs.At("high")
		victim := &Task{job: low, state: model.TaskRunning}
		highStopsLow := b.mayPreempt(high, victim, high.effectivePriority, at(c.age))
		lowStopsHigh := b.mayPreempt(low, &Task{job: high, state: model.TaskRunning}, low.effectivePriority, at(c.age))
		if highStopsLow != c.stopped || lowStopsHigh {
			t.Errorf("%s: high may preempt low: %v, low may preempt high: %v", c.name, highStopsLow, lowStopsHigh)
		}
	}
}
