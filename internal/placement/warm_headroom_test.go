package placement

import (
	"testing"
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

// Capacity is reserved for a class whose tasks must start sooner than a machine boots. Jobs that don't have a higher
// priority can't use it, machines that hold it don't scale in, and once used it is demanded again. The reservation ends
// when no jobs of the class arrive any more.
func TestWarmHeadroomIsReservedAndRestored(t *testing.T) {
	b := newBench(t)
	b.opt.Aims = map[string]model.Objective{"urgent": {Wait: 4 * time.Second}}
	b.opt.Standing, b.opt.Spare = 1, 0.2
	for name, mt := range b.types {
		mt.Boot = 30 * time.Second
		b.types[name] = mt
	}
	b.machine("m1", "small", "a")
	b.machine("m2", "small", "a")
	urgent := func(j *model.Job) { j.Class, j.Size, j.Priority = "urgent", model.Size{CPUs: 3}, model.High }
	b.job("u0", urgent)
	b.Cancel("u0")
	b.TryCompleteTakeover()
	b.MaintainHeadroom(at(1))
	b.job("x", func(j *model.Job) { j.Tasks = 4 })
	if got := b.round(1); got != 2 {
		t.Errorf("%d tasks placed, want 2: the other capacity is warm headroom", got)
	}
	for i := range 4 {
		b.MaintainHeadroom(at(float64(2 + i)))
		b.Consolidate(at(float64(2 + i)))
	}
	b.job("u1", urgent)
	if b.round(8) < 1 || b.machineOf("u1", 0) == "" {
		t.Error("no task of the class was placed on the warm headroom")
	}
	b.MaintainHeadroom(at(9))
	short := 0
	for _, n := range b.UnmetDemands(at(9)) {
		if n.Job == "urgent" {
			short += n.Tasks
		}
	}
	if short != 2 {
		t.Errorf("unmet demand of %d slots to restore the headroom, want 2", short)
	}
	b.MaintainHeadroom(at(500))
	if b.classes.At("urgent").missingSlots != 0 || b.machines.At("m1").HoldsHeadroom() || b.machines.At("m2").HoldsHeadroom() {
		t.Error("headroom is reserved although no jobs arrive any more")
	}
}
