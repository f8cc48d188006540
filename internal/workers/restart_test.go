package workers

import (
	"reflect"
	"testing"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/peers/peerspb"
)

// The heartbeats of a restarted agent have low sequence numbers and no token. Its machine is probed and
// reported to the leader as uncertain, and nothing is started there. From the next token on, heartbeats
// that show that token are applied, and late ones of the agent's earlier incarnation are ignored.
func TestRestartedAgent(t *testing.T) {
	for _, test := range []struct {
		name      string
		first     *model.Heartbeat // first heartbeat of the new incarnation
		response  *model.Heartbeat // heartbeat in the call's response
		restarted bool
		epoch     uint64 // epoch that the call must name
	}{
		{
			name:      "restarted with a lower epoch",
			first:     newHeartbeat(1, 1, 0),
			response:  newHeartbeat(1, 2, 5),
			restarted: true,
			epoch:     1,
		},
		{
			name:      "restarted with the same epoch",
			first:     newHeartbeat(3, 1, 0),
			response:  newHeartbeat(3, 2, 5),
			restarted: true,
			epoch:     3,
		},
		{
			name:      "not restarted: a duplicate arrived",
			first:     newHeartbeat(1, 1, 0),
			response:  newHeartbeat(3, 8, 5, running("j/1")),
			restarted: false,
			epoch:     1,
		},
		{
			name:      "restarted with a higher sequence number, without the token",
			first:     newHeartbeat(3, 9, 0),
			response:  newHeartbeat(3, 7, 5),
			restarted: true,
			epoch:     3,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			registry := newTestRegistry()
			registry.HandleHeartbeat(at(0), newHeartbeat(3, 6, 0, running("j/1")))
			acknowledgeAll(registry, 0, 5, 10)
			registry.HandleHeartbeat(at(0.1), newHeartbeat(3, 7, 5, running("j/1")))
			if result := registry.HandleHeartbeat(at(1), test.first); len(result.Commands) > 0 {
				t.Errorf("its heartbeat is answered with %v", result.Commands)
			}
			call := onlyCall(t, registry, 1)
			if call.Epoch != test.epoch || len(call.Commands) > 0 {
				t.Fatalf("call %+v", call)
			}
			registry.CallDone(at(1.1), call, Refused, test.response)
			registry.HandleRound(at(1.2), newRound(5, 10, newOrder(1, peerspb.Op_OP_START, 2)))
			if machine := reportedMachine(registry, 1.3); machine.Unsure != test.restarted || len(machine.Tasks) != 1 || (len(machine.Undecided) == 0) != test.restarted {
				t.Errorf("reported to the leader: %v", machine)
			}
			if test.restarted {
				checkRestartedUntilNextToken(t, registry)
			}
		})
	}
}

// checkRestartedUntilNextToken checks a machine whose agent restarted under token 5 before and after the
// change to token 6.
func checkRestartedUntilNextToken(t *testing.T, registry *Registry) {
	t.Helper()
	if len(registry.freeMachines()) > 0 {
		t.Error("a machine with a restarted agent may be sampled")
	}
	registry.HandleRound(at(2), newRound(6, 12))
	registry.HandleHeartbeat(at(2.1), newHeartbeat(3, 50, 5, running("j/1"))) // of its earlier incarnation
	if machine := reportedMachine(registry, 2.2); machine.Phase != "joining" || machine.Unsure {
		t.Errorf("after a late heartbeat of its earlier incarnation under the next token: %v", machine)
	}
	registry.HandleHeartbeat(at(2.3), newHeartbeat(1, 4, 6))
	if machine := reportedMachine(registry, 2.4); machine.Phase != "current" || len(machine.Tasks) > 0 || machine.Session != 1 {
		t.Errorf("after showing the next token: %v", machine)
	}
	registry.HandleHeartbeat(at(2.5), newHeartbeat(3, 51, 5, running("j/1")))
	if machine := reportedMachine(registry, 2.6); machine.Phase != "current" || len(machine.Tasks) > 0 {
		t.Errorf("after a second late heartbeat of its earlier incarnation: %v", machine)
	}
}

// A start in a call to an agent that has restarted stays undecided, because the call's response is
// ignored.
func TestStartInCallToRestartedAgentStaysUndecided(t *testing.T) {
	registry := newTestRegistry()
	registry.HandleHeartbeat(at(0), newHeartbeat(1, 1, 0))
	registry.HandleHeartbeat(at(0.1), newHeartbeat(1, 4, 5))
	registry.HandleRound(at(0.2), newRound(5, 10, newOrder(1, peerspb.Op_OP_START, 1)))
	call := onlyCall(t, registry, 0.2)
	if len(call.Commands) != 1 {
		t.Fatalf("call %+v", call)
	}
	registry.CallDone(at(0.3), call, Executed, newHeartbeat(1, 3, 5, inState("j/1", model.TaskFetching)))
	registry.HandleHeartbeat(at(0.5), newHeartbeat(1, 9, 5))
	if machine := reportedMachine(registry, 0.6); !machine.Unsure || !reflect.DeepEqual(machine.Undecided, []uint64{1}) {
		t.Errorf("reported to the leader: %v", machine)
	}
}
