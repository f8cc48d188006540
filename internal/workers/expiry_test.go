package workers

import (
	"net/http"
	"testing"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/peers/peerspb"
)

// An expired machine has no tasks left, and starts that were never sent to it count as decided. The lease
// runs from the last answer.
func TestExpiry(t *testing.T) {
	registry := newTestRegistry()
	registry.HandleHeartbeat(at(1), newHeartbeat(1, 1, 5, model.TaskStatus{Task: "j/0", Attempt: 1, State: model.TaskRunning}))
	registry.HandleRound(at(2), newRound(5, 10, newOrder(4, peerspb.Op_OP_START, 3)))
	if response := registry.HandleRound(at(12), newRound(5, 20)); response.Machines[0].Phase != string(Current) {
		t.Fatalf("expired within its lease: %v", response.Machines)
	}
	response := registry.HandleRound(at(12.1), newRound(5, 20))
	if machine := response.Machines[0]; machine.Phase != string(Expired) || len(machine.Undecided) != 0 || len(machine.Tasks) != 0 {
		t.Errorf("got %v", machine)
	}
	if result := registry.HandleHeartbeat(at(13), newHeartbeat(2, 1, 5)); len(result.Commands) > 0 {
		t.Errorf("a start from before the expiry is sent: %v", result.Commands)
	}
}

// Every answer that extends a lease delays the expiry, including the answer to a heartbeat that the
// response to a direct call overtook. An epoch whose end was reported gets no further answer under the
// same token.
func TestAnswersDelayExpiry(t *testing.T) {
	for _, test := range []struct {
		name    string
		steps   func(registry *Registry) HeartbeatResult
		status  int
		expired bool // at 12.5, of a lease of 10 s and a margin of 1 s
	}{
		{name: "an overtaken heartbeat", steps: func(registry *Registry) HeartbeatResult {
			registry.HandleRound(at(1), newRound(5, 20, newOrder(4, peerspb.Op_OP_START, 3)))
			call := registry.DueCalls(at(1))[0]
			registry.CallDone(at(4.9), call, Executed, newHeartbeat(1, 3, 5, running("j/3")))
			return registry.HandleHeartbeat(at(5), newHeartbeat(1, 2, 5))
		}, status: http.StatusOK, expired: false},
		{name: "a heartbeat of an earlier epoch", steps: func(registry *Registry) HeartbeatResult {
			registry.HandleHeartbeat(at(1.2), newHeartbeat(2, 3, 5))
			return registry.HandleHeartbeat(at(5), newHeartbeat(1, 2, 5))
		}, status: http.StatusServiceUnavailable, expired: true},
		{name: "an epoch that only the response to a direct call showed", steps: func(registry *Registry) HeartbeatResult {
			registry.HandleRound(at(1), newRound(5, 20, newOrder(4, peerspb.Op_OP_START, 3)))
			registry.CallDone(at(9), registry.DueCalls(at(1))[0], Refused, newHeartbeat(2, 1, 5))
			return HeartbeatResult{Status: http.StatusOK}
		}, status: http.StatusOK, expired: false},
		{name: "a heartbeat after the end was reported", steps: func(registry *Registry) HeartbeatResult {
			registry.HandleRound(at(12.3), newRound(5, 20))
			return registry.HandleHeartbeat(at(12.4), newHeartbeat(1, 9, 5, running("j/3")))
		}, status: http.StatusServiceUnavailable, expired: true},
		{name: "the next epoch", steps: func(registry *Registry) HeartbeatResult {
			registry.HandleRound(at(12.3), newRound(5, 20))
			return registry.HandleHeartbeat(at(12.4), newHeartbeat(2, 9, 5))
		}, status: http.StatusOK, expired: false},
		{name: "the same epoch under a new token", steps: func(registry *Registry) HeartbeatResult {
			registry.HandleRound(at(12.3), newRound(5, 20))
			registry.HandleRound(at(12.4), newRound(6, 20))
			registry.HandleRound(at(12.4), newRound(6, 20))
			registry.HandleHeartbeat(at(12.4), newHeartbeat(1, 9, 6, running("j/3")))
			acknowledgeAll(registry, 12.4, 6, 20)
			return registry.HandleHeartbeat(at(12.4), newHeartbeat(1, 9, 6, running("j/3")))
		}, status: http.StatusOK, expired: false},
	} {
		t.Run(test.name, func(t *testing.T) {
			registry := newTestRegistry()
			registry.HandleRound(at(0.5), newRound(5, 20))
			registry.HandleHeartbeat(at(1), newHeartbeat(1, 1, 5))
			if result := test.steps(registry); result.Status != test.status {
				t.Errorf("status %d, want %d", result.Status, test.status)
			}
			registry.expire(at(12.5))
			if got := registry.machines.At("m1").phase == Expired; got != test.expired {
				t.Errorf("expired is %v", got)
			}
		})
	}
}

// completeCalls completes all calls that are due at one time at a later time, with the same outcome.
func completeCalls(registry *Registry, sent, ended float64, outcome CallOutcome, response *model.Heartbeat) {
	for _, call := range registry.DueCalls(at(sent)) {
		registry.CallDone(at(ended), call, outcome, response)
	}
}

// Once the pool may have had another owner, this registry's last contact with a machine does not show when
// its lease ends, because the other owner may have answered the machine until it adopted our token. The
// steps lead from an answer at 1 s under token 5 to token 7, under which the registry owns the pool again.
// Under token 6 another controller owned the pool, and the registry received no round of token 6. The
// lease is 10 s, the margin 1 s.
func TestLeaseAfterAnotherOwner(t *testing.T) {
	probe := newProbe(1, "m1")
	for _, test := range []struct {
		name    string
		steps   func(registry *Registry)
		live    float64 // until then another owner's answer may keep its tasks alive
		expired float64 // by then it must be reported as expired
	}{
		{name: "a probe's response shows our token", steps: func(registry *Registry) {
			registry.HandleRound(at(30), newRound(7, 60, probe))
			completeCalls(registry, 30, 31, Executed, newHeartbeat(1, 40, 7, running("j/3")))
		}, live: 41, expired: 42.1},
		{name: "a refused probe, then one that is executed", steps: func(registry *Registry) {
			registry.HandleRound(at(30), newRound(7, 60, probe))
			completeCalls(registry, 30, 31, Refused, newHeartbeat(2, 40, 6, running("j/3")))
			completeCalls(registry, 32, 33, Executed, newHeartbeat(2, 41, 7, running("j/3")))
		}, live: 43, expired: 44.1},
		{name: "a heartbeat before it has seen our token", steps: func(registry *Registry) {
			registry.HandleRound(at(30), newRound(7, 60, probe))
			registry.HandleHeartbeat(at(31), newHeartbeat(1, 40, 6, running("j/3")))
		}, live: 41, expired: 42.1},
		{name: "no heartbeat or response yet", steps: func(registry *Registry) {
			registry.HandleRound(at(30), newRound(7, 60, probe))
		}, live: 40, expired: 41.1},
		{name: "called again under our token, which does not extend the lease", steps: func(registry *Registry) {
			registry.HandleRound(at(30), newRound(7, 60, probe))
			completeCalls(registry, 30, 31, Executed, newHeartbeat(1, 40, 7, running("j/3")))
			registry.HandleRound(at(32), newRound(7, 60, newOrder(2, peerspb.Op_OP_START, 1)))
			completeCalls(registry, 32, 36, Executed, newHeartbeat(1, 41, 7, running("j/3")))
		}, live: 41, expired: 42.1},
		{name: "the end was reported under the old token", steps: func(registry *Registry) {
			registry.HandleRound(at(13), newRound(5, 20))
			registry.HandleRound(at(30), newRound(7, 60, probe))
			registry.HandleHeartbeat(at(31), newHeartbeat(1, 40, 6, running("j/3")))
		}, live: 41, expired: 42.1},
	} {
		t.Run(test.name, func(t *testing.T) {
			registry := newTestRegistry()
			registry.HandleHeartbeat(at(1), newHeartbeat(1, 1, 5, running("j/3")))
			test.steps(registry)
			if machine := registry.HandleRound(at(test.live), newRound(7, 60)).Machines[0]; machine.Phase == string(Expired) {
				t.Error("reported as expired while another owner's answer may keep it alive")
			}
			if machine := registry.HandleRound(at(test.expired), newRound(7, 60)).Machines[0]; machine.Phase != string(Expired) {
				t.Errorf("phase %s when its lease is certainly over", machine.Phase)
			}
		})
	}
}
