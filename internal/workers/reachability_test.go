package workers

import (
	"net/http"
	"reflect"
	"testing"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/peers/peerspb"
)

// A machine whose heartbeats arrive but which our answers do not reach is detected from its heartbeats. It
// gets no tasks until it is reachable again.
func TestUnreachableMachineGetsNoTasks(t *testing.T) {
	start := newOrder(1, peerspb.Op_OP_START, 1)
	restart := newOrder(2, peerspb.Op_OP_START, 1)
	restart.Attempt = 11
	type unreachableStep struct {
		at          float64
		order       *peerspb.Order
		heartbeat   *model.Heartbeat
		unreachable bool
	}
	firstSteps := []unreachableStep{
		{at: 0, heartbeat: newHeartbeat(1, 1, 0)},
		{at: 0.5, heartbeat: newHeartbeat(1, 2, 5)},
	}
	for _, test := range []struct {
		name  string
		steps []unreachableStep
	}{
		{name: "its epoch ends although it was answered", steps: []unreachableStep{
			{at: 8, heartbeat: newHeartbeat(1, 3, 5)},
			{at: 12, heartbeat: newHeartbeat(2, 1, 5), unreachable: true},
			{at: 14, heartbeat: newHeartbeat(2, 2, 5), unreachable: true},
			{at: 23.5, heartbeat: newHeartbeat(2, 3, 5)},
		}},
		{name: "its epoch ends after a long silence", steps: []unreachableStep{
			{at: 12, heartbeat: newHeartbeat(2, 1, 5)},
		}},
		{name: "no heartbeat shows the started tasks", steps: []unreachableStep{
			{at: 1, order: start, heartbeat: newHeartbeat(1, 3, 5)},
			{at: 2, order: restart, heartbeat: newHeartbeat(1, 4, 5)},
			{at: 3, heartbeat: newHeartbeat(1, 5, 5), unreachable: true},
		}},
		{name: "one answer is lost", steps: []unreachableStep{
			{at: 1, order: start, heartbeat: newHeartbeat(1, 3, 5)},
			{at: 2, order: restart, heartbeat: newHeartbeat(1, 4, 5)},
			{at: 3, heartbeat: newHeartbeat(1, 5, 5, model.TaskStatus{Task: "j/1", Attempt: 11, State: model.TaskFetching})},
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			registry := newTestRegistry()
			for _, step := range append(firstSteps, test.steps...) {
				round := newRound(5, step.at+10)
				if step.order != nil {
					round.Orders = []*peerspb.Order{step.order}
				}
				registry.HandleRound(at(step.at), round)
				registry.HandleHeartbeat(at(step.at), step.heartbeat)
				machine := reportedMachine(registry, step.at)
				sampled := len(registry.freeMachines()) > 0
				if machine.Unreached != step.unreachable || step.at > 0 && step.unreachable == sampled {
					t.Errorf("after %v s: %v, may be sampled: %v", step.at, machine, sampled)
				}
			}
		})
	}
	checkCallConfirmsReachability(t)
}

// checkCallConfirmsReachability checks that a machine counts as reachable once it answers a call.
func checkCallConfirmsReachability(t *testing.T) {
	t.Helper()
	registry := newTestRegistry()
	for _, heartbeat := range []*model.Heartbeat{newHeartbeat(1, 1, 0), newHeartbeat(1, 2, 5), newHeartbeat(2, 1, 5)} {
		registry.HandleHeartbeat(at(1), heartbeat)
	}
	registry.CallDone(at(1.1), onlyCall(t, registry, 1), Executed, newHeartbeat(2, 2, 5))
	if machine := reportedMachine(registry, 1.2); machine.Unreached {
		t.Errorf("unreachable although it answered a call: %v", machine)
	}
}

// In a failover a machine that our answers do not reach cannot show the token. It is answered only once,
// so its lease runs out and the failover need not wait for it any longer. A machine that a call reaches in
// time stays current.
func TestUnreachableMachineExpiresDuringFailover(t *testing.T) {
	for _, test := range []struct {
		name   string
		token  uint64 // that its heartbeats show
		called bool   // whether direct calls succeed
		phases []string
	}{
		{name: "calls fail", token: 4, called: false, phases: []string{"joining", "joining", "joining", "expired"}},
		{name: "calls succeed", token: 5, called: true, phases: []string{"current", "current", "current", "current"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			registry := newTestRegistry()
			registry.HandleHeartbeat(at(0), newHeartbeat(1, 1, 4))
			phases := []string{}
			for i, s := range []float64{5, 8, 10.9, 11.2} {
				if calls := registry.DueCalls(at(s)); test.called && len(calls) == 1 {
					registry.CallDone(at(s), calls[0], Executed, newHeartbeat(1, 10, 5))
				} else if len(calls) == 1 {
					registry.CallDone(at(s), calls[0], Unanswered, nil)
				}
				result := registry.HandleHeartbeat(at(s), newHeartbeat(1, 20+uint64(i), test.token))
				if (result.Status == http.StatusOK) != test.called {
					t.Errorf("after %v s: answered %d", s, result.Status)
				}
				phases = append(phases, reportedMachine(registry, s+0.1).Phase)
			}
			if !reflect.DeepEqual(phases, test.phases) {
				t.Errorf("phases %v, want %v", phases, test.phases)
			}
		})
	}
}
