package workers

import (
	"net/http"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/peers/peerspb"
)

// takeOverAfterJobRead has a leader that read the jobs at 1 s acknowledge a task and, if stopped is true,
// order its stop. Then the next leader takes over at 2 s.
func takeOverAfterJobRead(registry *Registry, stopped bool) {
	registry.HandleHeartbeat(at(1), newHeartbeat(1, 1, 5, running("j/1")))
	acknowledgeAll(registry, 1.1, 5, 20)
	registry.HandleHeartbeat(at(1.2), newHeartbeat(1, 1, 5, running("j/1")))
	round := newRound(5, 20)
	round.ViewedNs = at(1).Sub(testStart).Nanoseconds()
	if stopped {
		round.Orders = []*peerspb.Order{newOrder(1, peerspb.Op_OP_STOP, 1)}
	}
	registry.HandleRound(at(1.5), round)
	registry.HandleRound(at(2), newRound(6, 20))
	registry.HandleRound(at(2), newRound(6, 20))
}

// acknowledgementTest has steps that end with a heartbeat. pending is whether the heartbeat's answer waits
// for the leader.
type acknowledgementTest struct {
	name    string
	steps   func(registry *Registry) HeartbeatResult
	pending bool
	answer  []string
}

// underOneToken holds the tests under the token of one leader.
var underOneToken = []acknowledgementTest{
	{name: "no tasks", steps: func(registry *Registry) HeartbeatResult {
		return registry.HandleHeartbeat(at(1), newHeartbeat(1, 1, 0))
	}},
	{name: "a task that has ended", steps: func(registry *Registry) HeartbeatResult {
		return registry.HandleHeartbeat(at(1), newHeartbeat(1, 1, 5, inState("j/1", model.TaskExited)))
	}},
	{name: "a task, before it is reported to the leader", pending: true, steps: func(registry *Registry) HeartbeatResult {
		return registry.HandleHeartbeat(at(1), newHeartbeat(1, 1, 0, running("j/1")))
	}},
	{name: "the same, and the heartbeat shows our token", pending: true, steps: func(registry *Registry) HeartbeatResult {
		return registry.HandleHeartbeat(at(1), newHeartbeat(1, 1, 5, running("j/1")))
	}},
	{name: "a round that acknowledges nothing", pending: true, steps: func(registry *Registry) HeartbeatResult {
		registry.HandleHeartbeat(at(1), newHeartbeat(1, 1, 0, running("j/1")))
		registry.HandleRound(at(1.1), newRound(5, 10))
		return registry.HandleHeartbeat(at(1.2), newHeartbeat(1, 1, 0, running("j/1")))
	}},
	{name: "acknowledged, with a stop ordered", answer: []string{"stop j/1"}, steps: func(registry *Registry) HeartbeatResult {
		registry.HandleHeartbeat(at(1), newHeartbeat(1, 1, 0, running("j/1")))
		acknowledgeAll(registry, 1.1, 5, 10, newOrder(1, peerspb.Op_OP_STOP, 1))
		return registry.HandleHeartbeat(at(1.2), newHeartbeat(1, 1, 0, running("j/1")))
	}},
	{name: "the response to a call has overtaken the heartbeat", answer: []string{"stop j/1"}, steps: func(registry *Registry) HeartbeatResult {
		registry.HandleHeartbeat(at(1), newHeartbeat(1, 1, 0, running("j/1")))
		completeCalls(registry, 1, 1.1, Executed, newHeartbeat(1, 3, 5, running("j/1")))
		acknowledgeAll(registry, 1.2, 5, 10, newOrder(1, peerspb.Op_OP_STOP, 1))
		return registry.HandleHeartbeat(at(1.3), newHeartbeat(1, 1, 0, running("j/1")))
	}},
	{name: "an earlier leader started another task before the worker adopted our token", pending: true, steps: func(registry *Registry) HeartbeatResult {
		registry.HandleHeartbeat(at(1), newHeartbeat(1, 1, 0, running("j/1")))
		acknowledgeAll(registry, 1.1, 5, 10)
		registry.HandleHeartbeat(at(1.2), newHeartbeat(1, 1, 0, running("j/1")))
		return registry.HandleHeartbeat(at(1.7), newHeartbeat(1, 2, 5, running("j/1"), running("j/2")))
	}},
	{name: "a complete list was acknowledged, so only the leader adds tasks", steps: func(registry *Registry) HeartbeatResult {
		registry.HandleHeartbeat(at(1), newHeartbeat(1, 1, 5, running("j/1")))
		acknowledgeAll(registry, 1.1, 5, 10)
		registry.HandleHeartbeat(at(1.2), newHeartbeat(1, 1, 5, running("j/1")))
		return registry.HandleHeartbeat(at(1.7), newHeartbeat(1, 2, 5, running("j/1"), running("j/2")))
	}},
	{name: "the leader has sent a round, but has gone too long without acknowledging the tasks", steps: func(registry *Registry) HeartbeatResult {
		registry.HandleHeartbeat(at(1), newHeartbeat(1, 1, 0, running("j/1")))
		registry.HandleRound(at(2.4), newRound(5, 10))
		return registry.HandleHeartbeat(at(2.6), newHeartbeat(1, 1, 0, running("j/1")))
	}},
	{name: "the leader has sent no round since", pending: true, steps: func(registry *Registry) HeartbeatResult {
		registry.HandleHeartbeat(at(1), newHeartbeat(1, 1, 0, running("j/1")))
		return registry.HandleHeartbeat(at(3.9), newHeartbeat(1, 1, 0, running("j/1")))
	}},
	{name: "the leader has no stops for the owner", steps: func(registry *Registry) HeartbeatResult {
		round := newRound(5, 10)
		round.Seen = AllChangesSeen
		registry.HandleRound(at(0.5), round)
		return registry.HandleHeartbeat(at(1), newHeartbeat(1, 1, 5, running("j/1")))
	}},
}

// underNewToken holds the tests in which the next leader takes over.
var underNewToken = []acknowledgementTest{
	{name: "a new token", pending: true, steps: func(registry *Registry) HeartbeatResult {
		registry.HandleHeartbeat(at(1), newHeartbeat(1, 1, 5, running("j/1")))
		acknowledgeAll(registry, 1.1, 5, 10)
		registry.HandleRound(at(1.2), newRound(6, 10))
		registry.HandleRound(at(1.2), newRound(6, 10))
		return registry.HandleHeartbeat(at(1.3), newHeartbeat(1, 2, 5, running("j/1")))
	}},
	{name: "a new token, within the grace period after the previous leader's last read of the jobs", steps: func(registry *Registry) HeartbeatResult {
		takeOverAfterJobRead(registry, false)
		return registry.HandleHeartbeat(at(15.9), newHeartbeat(1, 2, 5, running("j/1")))
	}},
	{name: "a new token, after the grace period", pending: true, steps: func(registry *Registry) HeartbeatResult {
		takeOverAfterJobRead(registry, false)
		return registry.HandleHeartbeat(at(16.1), newHeartbeat(1, 2, 5, running("j/1")))
	}},
	{name: "a new token, and a stop sent by the previous leader has not been executed", pending: true, steps: func(registry *Registry) HeartbeatResult {
		takeOverAfterJobRead(registry, true)
		return registry.HandleHeartbeat(at(15.9), newHeartbeat(1, 2, 5, running("j/1")))
	}},
}

// Under a new token, the heartbeat of a machine with tasks is answered only after the leader has
// acknowledged the tasks, and the answer carries the stops that came with the acknowledgement.
// Guard: simtest, seed 7100019330.
func TestAwaitsAcknowledgement(t *testing.T) {
	for _, test := range slices.Concat(underOneToken, underNewToken) {
		t.Run(test.name, func(t *testing.T) {
			registry := newTestRegistry()
			registry.options.Lease, registry.options.CancelGrace = time.Minute, 15*time.Second
			result := test.steps(registry)
			status := http.StatusOK
			if test.pending {
				status = http.StatusServiceUnavailable
			}
			if got := commandTexts(result.Commands); result.Status != status || result.AwaitsLeader != test.pending || !reflect.DeepEqual(got, test.answer) {
				t.Errorf("answered %+v", result)
			}
		})
	}
}
