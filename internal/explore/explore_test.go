package explore

import (
	"testing"
)

// The same schedule leads to the same events.
func TestRepeats(t *testing.T) {
	for seed := 1; seed <= 20; seed++ {
		p := Plans.Example(seed)
		if x, y := Run(p, nil, 0), Run(p, nil, 0); x != y {
			t.Errorf("seed %d: %+v and %+v", seed, x, y)
		}
	}
}
