package workers

import (
	"fmt"
	"testing"

	"github.com/marlwood/marlwood/internal/model"
)

// The size of a round's response depends on the number of changed machines, not on the total number: a
// heartbeat without changes causes no work for the leader.
func TestRoundReportsOnlyChangedMachines(t *testing.T) {
	for _, test := range []struct {
		machines, same, changed int
	}{
		{machines: 10, same: 10, changed: 0},
		{machines: 10, same: 7, changed: 3},
		{machines: 300, same: 300, changed: 0},
		{machines: 300, same: 297, changed: 3},
	} {
		t.Run(fmt.Sprintf("%d machines, %d changed", test.machines, test.changed), func(t *testing.T) {
			registry := newTestRegistry()
			send := func(i int, seq uint64, tasks ...model.TaskStatus) {
				heartbeat := newHeartbeat(1, seq, 5, tasks...)
				heartbeat.Machine = fmt.Sprintf("m%d", i)
				registry.HandleHeartbeat(at(1), heartbeat)
			}
			for i := range test.machines {
				send(i, 1)
			}
			seen := registry.HandleRound(at(1), newRound(5, 10)).Change
			for i := range test.same {
				send(i, 2)
			}
			for i := range test.changed {
				send(i, 3, running("j/1"))
			}
			round := newRound(5, 10)
			round.Seen = seen
			if got := len(registry.HandleRound(at(2), round).Machines); got != test.changed {
				t.Errorf("%d machines reported", got)
			}
		})
	}
}
