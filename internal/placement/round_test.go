package placement

import (
	"testing"

	"github.com/marlwood/marlwood/internal/model"
)

// In a cluster without any other event, a job finds capacity that becomes free without a capacity event. It guards
// against a job that waits forever beside such capacity.
func TestRescanWithoutEvent(t *testing.T) {
	for _, c := range []struct {
		name     string
		withhold func(m *Machine, on bool)
	}{
		{"warm headroom is released", func(m *Machine, on bool) {
			m.reserved.Delete("class")
			if on {
				m.reserve("class", reservedCapacity{size: model.Size{CPUs: 4}, class: "class", rank: 3, until: at(1000)})
			}
		}},
		{"a recall notice is withdrawn", func(m *Machine, on bool) {
			m.TerminationNotice = -1
			if on {
				m.TerminationNotice = 5
			}
		}},
		{"the orphaned tasks of a machine are gone", func(m *Machine, on bool) {
			m.orphans = 0
			if on {
				m.orphans = 1
			}
		}},
	} {
		b := newBench(t)
		b.machine("m", "small", "a")
		c.withhold(b.machines.At("m"), true)
		b.job("x", nil)
		for s := range 6 {
			if b.round(float64(s)); b.machineOf("x", 0) != "" {
				t.Fatalf("%s: the job started while the capacity was withheld", c.name)
			}
		}
		c.withhold(b.machines.At("m"), false)
		until := 6.0
		for ; b.machineOf("x", 0) == "" && until < 90; until++ {
			b.round(until)
		}
		if until > 6+rescanAfter.Seconds()+1 {
			t.Errorf("%s: the job waited for %v s beside an empty machine", c.name, until-6)
		}
	}
}

// A job finds the capacity of a reservation that has expired. It guards against a job that waits forever beside
// such capacity, because the end of a reservation, or a preemption plan without victims, is no event by itself.
func TestCapacityOfExpiredReservationIsUsed(t *testing.T) {
	for _, p := range []model.Priority{model.Low, model.High} {
		b := newBench(t)
		b.job("other", func(j *model.Job) { j.Tasks, j.Zone, j.Priority = 9, "b", model.Critical })
		b.job("x", func(j *model.Job) { j.Class, j.Zone, j.Priority = "c", "a", p })
		b.machine("m", "small", "a")
		b.takeoverComplete = true
		b.machines.At("m").reserve("other", reservedCapacity{size: model.Size{CPUs: 4}, rank: 3, until: at(10)})
		for s := 1.0; s < 9; s++ {
			if b.round(s); b.machineOf("x", 0) != "" {
				t.Fatalf("%s: started on reserved capacity", p)
			}
		}
		for s := 11.0; s < 30; s++ {
			b.round(s)
			b.Preempt(at(s))
			b.UnmetDemands(at(s))
		}
		if b.machineOf("x", 0) != "m" {
			t.Errorf("%s: the job is pending beside free capacity", p)
		}
	}
}
