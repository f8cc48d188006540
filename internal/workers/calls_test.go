package workers

import (
	"fmt"
	"testing"
	"time"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/peers/peerspb"
)

// Under a new token, and for a machine that the leader asks to probe, the owner calls the worker without
// commands, so that the worker reports its tasks under the token at once.
func TestProbes(t *testing.T) {
	for _, test := range []struct {
		name  string
		steps func(t *testing.T, registry *Registry) // lead to a known machine that has not shown token 6
	}{
		{name: "known machine", steps: func(_ *testing.T, registry *Registry) {
			registry.HandleHeartbeat(at(1), newHeartbeat(1, 1, 5))
			registry.HandleRound(at(2), newRound(6, 10))
		}},
		{name: "machine to probe, epoch unknown", steps: func(t *testing.T, registry *Registry) {
			t.Helper()
			registry.HandleRound(at(2), newRound(6, 10, newProbe(1, "m1")))
			call := onlyCall(t, registry, 2)
			if len(call.Commands) != 0 || call.Addr != "x:1" {
				t.Fatalf("call: %v", call)
			}
			registry.CallDone(at(2.1), call, Refused, newHeartbeat(1, 2, 5)) // the response reports its epoch
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			registry := newTestRegistry()
			test.steps(t, registry)
			response := registry.HandleRound(at(2.2), newRound(6, 10))
			if len(response.Machines) != 1 || response.Machines[0].Phase != string(Joining) {
				t.Fatalf("reported to the leader: %v", response.Machines)
			}
			call := onlyCall(t, registry, 2.3)
			if call.Token != 6 || call.Epoch != 1 {
				t.Fatalf("call: %v", call)
			}
			registry.CallDone(at(2.4), call, Executed, newHeartbeat(1, 3, 6, running("j/1")))
			if machine := registry.HandleRound(at(2.5), newRound(6, 10)).Machines[0]; machine.Phase != string(Current) || len(machine.Tasks) != 1 {
				t.Errorf("reported to the leader: %v", machine)
			}
		})
	}
}

// No call is made without a lease. The outcome of a call changes nothing if the call was made under an
// earlier token or its machine was removed meanwhile.
func TestOutdatedCallsHaveNoEffect(t *testing.T) {
	registry := newTestRegistry()
	registry.HandleHeartbeat(at(1), newHeartbeat(1, 1, 5))
	registry.HandleRound(at(2), newRound(5, 10, newOrder(1, peerspb.Op_OP_START, 1)))
	if len(registry.DueCalls(at(11))) != 0 {
		t.Error("a call is made without a lease")
	}
	call := registry.DueCalls(at(3))[0]
	registry.HandleRound(at(4), newRound(6, 10))
	registry.CallDone(at(5), call, Unanswered, nil)
	registry.HandleHeartbeat(at(6), newHeartbeat(1, 2, 6))
	response := registry.HandleRound(at(7), newRound(6, 10))
	if machine := response.Machines[0]; machine.Phase != string(Current) || len(machine.Undecided) != 0 || machine.Unsure {
		t.Errorf("starts are still undecided after a new token: %v", machine)
	}
	registry.HandleRound(at(8), newRound(6, 10, newOrder(1, peerspb.Op_OP_DROP, 0)))
	registry.CallDone(at(9), call, Executed, newHeartbeat(1, 3, 6))
	if registry.machines.Len() != 0 {
		t.Error("the outcome of a call adds a removed machine again")
	}
}

// A stop is sent in one direct call, because another task may wait for the capacity. A second stop is
// sent in another call. A stop for a task that the machine does not have waits for the next heartbeat.
func TestStopsAreSentInCalls(t *testing.T) {
	for _, test := range []struct {
		name   string
		tasks  []model.TaskStatus
		orders []*peerspb.Order
		calls  int
	}{
		{
			name:   "the task runs",
			tasks:  []model.TaskStatus{running("j/1")},
			orders: []*peerspb.Order{newOrder(1, peerspb.Op_OP_STOP, 1)},
			calls:  1,
		},
		{
			name:   "a second stop ends the checkpoint",
			tasks:  []model.TaskStatus{running("j/1")},
			orders: []*peerspb.Order{newOrder(1, peerspb.Op_OP_STOP, 1), newOrder(2, peerspb.Op_OP_STOP, 1)},
			calls:  2,
		},
		{
			name:   "the machine does not have the task",
			orders: []*peerspb.Order{newOrder(1, peerspb.Op_OP_STOP, 1)},
			calls:  0,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			registry := newTestRegistry()
			registry.HandleHeartbeat(at(1), newHeartbeat(1, 1, 5, test.tasks...))
			calls, seq := 0, uint64(2)
			for _, order := range test.orders {
				registry.HandleRound(at(2), newRound(5, 10, order))
				for range 3 {
					for _, call := range registry.DueCalls(at(2)) {
						calls++
						registry.CallDone(at(2.1), call, Executed, newHeartbeat(1, seq, 5, inState("j/1", model.TaskSaving)))
						seq++
					}
				}
			}
			if calls != test.calls {
				t.Errorf("%d calls, want %d", calls, test.calls)
			}
		})
	}
}

// A second stop with less time for a checkpoint, ordered while a call carries the first stop, is sent in a
// call of its own: the first call's response does not show that the second stop was delivered.
func TestSecondStopDuringCall(t *testing.T) {
	saving := inState("j/1", model.TaskSaving)
	for _, graceMs := range []int64{0, 2000} {
		t.Run(fmt.Sprintf("second stop with %d ms", graceMs), func(t *testing.T) {
			registry := newTestRegistry()
			registry.HandleHeartbeat(at(1), newHeartbeat(1, 1, 5, running("j/1")))
			first, second := newOrder(1, peerspb.Op_OP_STOP, 1), newOrder(2, peerspb.Op_OP_STOP, 1)
			first.GraceMs, second.GraceMs = 10_000, graceMs
			registry.HandleRound(at(2), newRound(5, 10, first))
			call := onlyCall(t, registry, 2)
			registry.HandleRound(at(2.1), newRound(5, 10, second)) // while it is in flight
			registry.CallDone(at(2.2), call, Executed, newHeartbeat(1, 2, 5, saving))
			call = onlyCall(t, registry, 2.2)
			if len(call.Commands) != 1 || *call.Commands[0].GraceS != float64(graceMs)/1000 {
				t.Fatalf("the second stop is not sent in a call: %+v", call)
			}
			registry.CallDone(at(2.3), call, Executed, newHeartbeat(1, 3, 5, saving))
			if calls := registry.DueCalls(at(2.4)); len(calls) != 0 {
				t.Errorf("the delivered stop is sent again: %+v", calls)
			}
		})
	}
}

// A new leader has every machine called, at most MaxCalls at a time. The other machines wait for a call
// to end, or are reached by the answers to their own heartbeats.
func TestMaxCalls(t *testing.T) {
	registry := newTestRegistry()
	registry.options.MaxCalls = 3
	var probes []*peerspb.Order
	for i := range 10 {
		probes = append(probes, newProbe(uint64(i+1), fmt.Sprint("m", i)))
	}
	registry.HandleRound(at(1), newRound(5, 10, probes...))
	calls := registry.DueCalls(at(1))
	if len(calls) != 3 || len(registry.DueCalls(at(1))) != 0 {
		t.Fatalf("%d calls at once, want 3 until one ends", len(calls))
	}
	reached := map[string]bool{}
	for len(calls) > 0 {
		call := calls[0]
		reached[call.Machine] = true
		response := newHeartbeat(1, 1, 5)
		response.Machine = call.Machine
		registry.CallDone(at(2), call, Executed, response)
		calls = append(calls[1:], registry.DueCalls(at(2))...)
		if len(calls) > 3 {
			t.Fatalf("%d calls at once", len(calls))
		}
	}
	if len(reached) != 10 {
		t.Errorf("%d of 10 machines were called", len(reached))
	}
}

// A machine that does not answer a new leader's probe is not reported as joining, only later as silent.
func TestUnansweredProbe(t *testing.T) {
	registry := newTestRegistry()
	registry.options.HeartbeatInterval = 4 * time.Second
	seen := registry.HandleRound(at(1), newRound(5, 10, newProbe(1, "m9"))).Change
	registry.CallDone(at(2.5), onlyCall(t, registry, 1), Unanswered, nil)
	round := newRound(5, 10)
	round.Seen = seen
	if response := registry.HandleRound(at(3), round); len(response.Machines) > 0 {
		t.Errorf("reported to the leader: %v", response.Machines)
	}
	round = newRound(5, 20)
	round.Seen = seen
	if response := registry.HandleRound(at(10.5), round); len(response.Machines) != 1 || !response.Machines[0].Quiet {
		t.Errorf("reported to the leader after long silence: %v", response.Machines)
	}
}
