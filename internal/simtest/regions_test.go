package simtest

import (
	"sync"
	"testing"
)

// Drawn schedules of three regions break no rule. One rule is that all regions together neither allocate, have in
// transfer, nor use more than a team's limit.
func TestRegions(t *testing.T) {
	var group sync.WaitGroup
	var lock sync.Mutex
	starts := 0
	for seed := uint64(1); seed <= 200; seed++ {
		group.Go(func() {
			broken, n := RunRegions(DrawRegions(seed), nil)
			lock.Lock()
			defer lock.Unlock()
			starts += n
			if broken != "" {
				t.Errorf("seed %d breaks %s", seed, broken)
			}
		})
	}
	group.Wait()
	if starts < 2000 {
		t.Errorf("%d starts: it shows nothing", starts)
	}
}

// A gang of seven tasks needs machines that come up one after the other. Guard: the first machines were returned as
// idle before the last one was up, over and over.
func TestGangGathersMachines(t *testing.T) {
	for _, seed := range []uint64{1806, 2242} {
		if broken, _ := RunRegions(DrawRegions(seed), nil); broken != "" {
			t.Errorf("seed %d, found before, breaks %s", seed, broken)
		}
	}
}
