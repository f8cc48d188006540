package placement

import (
	"testing"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/peers/peerspb"
)

// Room that comes back without an event, in a cluster in which nothing else happens, is found.
func TestLookedAtAgain(t *testing.T) {
	for _, c := range []struct {
		name     string
		withheld func(m *Machine, on bool)
	}{
		{"standing room that is let go", func(m *Machine, on bool) {
			m.reserved.Drop("class")
			if on {
				m.reserve("class", reservation{size: model.Size{CPUs: 4}, class: "class", rank: 3, until: at(1000)})
			}
		}},
		{"a notice that is taken back", func(m *Machine, on bool) {
			m.Notice = -1
			if on {
				m.Notice = 5
			}
		}},
		{"strays of a machine that are gone", func(m *Machine, on bool) {
			m.strays = 0
			if on {
				m.strays = 1
			}
		}},
	} {
		b := newBench(t)
		b.machine("m", "small", "a")
		c.withheld(b.machines.At("m"), true)
		b.job("x", nil)
		for s := range 6 {
			if b.round(float64(s)); b.where("x", 0) != "" {
				t.Fatalf("%s: it is not withheld", c.name)
			}
		}
		c.withheld(b.machines.At("m"), false)
		until := 6.0
		for ; b.where("x", 0) == "" && until < 90; until++ {
			b.round(until)
		}
		if until > 6+lookAgain.Seconds()+1 {
			t.Errorf("%s: the job waits for %v s beside an empty machine", c.name, until-6)
		}
	}
}

// Room that is made for a job which must be spread over zones is room that it may use: nothing is
// stopped or kept in a zone that may take no more of it.
func TestRoomMadeForSpread(t *testing.T) {
	for _, c := range []struct {
		name  string
		shape model.Shape
		bound []string // machines that tasks of it are on
		kept  float64  // CPUs
	}{
		{"a gang that only one zone has room for", model.Gang, nil, 0},
		{"a service, as far as the zone takes it", model.Service, nil, 4},
		{"a service half of which is there", model.Service, []string{"a0", "a1"}, 0},
	} {
		b := newBench(t)
		b.job("x", func(j *model.Job) {
			j.Shape, j.Priority, j.Tasks, j.Spread, j.Size = c.shape, model.High, 4, true, model.Size{CPUs: 2, MemoryGB: 2}
		})
		b.job("low", func(j *model.Job) { j.Priority, j.Tasks, j.Size = model.Low, 2, model.Size{CPUs: 2, MemoryGB: 2} })
		for i, name := range []string{"a0", "a1"} {
			tasks := []*peerspb.Task{task("low", i, 1, model.TaskRunning, "")}
			for _, on := range c.bound {
				if on == name {
					tasks = append(tasks, task("x", i, 1, model.TaskRunning, ""))
				}
			}
			b.machine(name, "small", "a", tasks...)
		}
		b.Settle()
		b.jobs.At("x").empty, b.jobs.At("x").waiting = 3, at(0)
		b.Preempt(at(10))
		kept := 0.0
		for _, m := range b.machines.All() {
			kept += m.reserved.At("x").size.CPUs
		}
		if kept != c.kept {
			t.Errorf("%s: %v CPUs are kept, want %v", c.name, kept, c.kept)
		}
	}
}
