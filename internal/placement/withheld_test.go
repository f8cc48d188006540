package placement

import (
	"testing"

	"github.com/marlwood/marlwood/internal/model"
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
