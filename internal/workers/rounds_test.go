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

// A round that was answered and arrives once more, also after the orders of later ones, repeats no order, extends no grant
// and lowers no limit.
func TestAnsweredRoundArrivesAgain(t *testing.T) {
	registry, agent := startedByCall(t)
	first := roundWithLimit(6, newOrder(2, stop, 1))
	first.GrantUntilNs = int64(20e9)
	registry.HandleRound(at(2), first)
	agent.report(registry, 2.1)
	agent.tasks[0].State = model.TaskExited
	agent.report(registry, 2.6)
	registry.HandleRound(at(3), roundWithLimit(9, newOrder(3, forget, 1)))
	if result := agent.report(registry, 3.1); len(result.Commands) != 1 || result.Token != 9 {
		t.Fatalf("answered %+v", result)
	}
	agent.tasks = nil
	agent.report(registry, 3.6)
	registry.HandleRound(at(4), first)
	if result := agent.report(registry, 4.1); len(result.Commands) != 0 || result.Token != 9 || registry.tokenLimit != 9 {
		t.Errorf("after the copy answered %+v, limit %d", result, registry.tokenLimit)
	}
	if calls := registry.DueCalls(at(4.2)); len(calls) != 0 {
		t.Errorf("after the copy calls %+v", calls)
	}
}
