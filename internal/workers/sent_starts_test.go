package workers

import (
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/peers/peerspb"
)

// roundWithLimit returns a round under token 5 with a token limit.
func roundWithLimit(limit uint64, orders ...*peerspb.Order) *peerspb.RoundRequest {
	round := newRound(5, 100, orders...)
	round.TokenLimit = limit
	return round
}

// startedByCall returns a registry under token 5 whose machine has executed a call with a start, and the machine's agent.
func startedByCall(t *testing.T) (*Registry, *testAgent) {
	t.Helper()
	registry, agent := newTestRegistry(), &testAgent{epoch: 1}
	registry.HandleRound(at(0), roundWithLimit(5))
	agent.report(registry, 0.1)
	agent.report(registry, 0.6)
	startTask(registry, 1, agent)
	if agent.report(registry, 1.5); len(agent.tasks) != 1 {
		t.Fatal("the task was not started by a call")
	}
	return registry, agent
}

// A worker whose token was raised counts as one that shows the leader's token, and gets no message with a lower one; a
// token above the limit belongs to another leader.
func TestRaisedTokenIsTheLeadersToken(t *testing.T) {
	registry, agent := startedByCall(t)
	agent.tasks[0].State = model.TaskExited
	agent.report(registry, 2)
	registry.HandleRound(at(2.1), roundWithLimit(8, newOrder(2, forget, 1)))
	if result := agent.report(registry, 2.5); result.Token != 8 || len(result.Commands) != 1 {
		t.Fatalf("answered %+v", result)
	}
	agent.tasks = nil
	registry.HandleRound(at(2.6), roundWithLimit(6)) // late: the limit does not fall
	if result := agent.report(registry, 3); result.Status != http.StatusOK || result.Token != 8 {
		t.Errorf("answered %+v", result)
	}
	registry.HandleRound(at(3.1), roundWithLimit(8, newOrder(3, start, 2)))
	if call := onlyCall(t, registry, 3.2); call.Token != 8 {
		t.Errorf("a call with token %d", call.Token)
	}
	if machine := reportedMachine(registry, 3.3); machine.Phase != string(Current) || machine.Unsure {
		t.Errorf("the owner reports %v", machine)
	}
	agent.token = 9
	if result := agent.report(registry, 4); result.Status != http.StatusServiceUnavailable {
		t.Errorf("a token above the limit: answered %+v", result)
	}
}

// A forget that waits is hidden from the leader, which learns which limit it needs.
func TestDeferredForgetAsksForLimit(t *testing.T) {
	registry, agent := startedByCall(t)
	agent.tasks[0].State = model.TaskExited
	agent.report(registry, 2)
	response := registry.HandleRound(at(2.1), roundWithLimit(5, newOrder(2, forget, 1)))
	if response.TokenLimitWanted != 6 || len(response.Machines) != 1 || len(response.Machines[0].Tasks) != 0 {
		t.Errorf("reported to the leader: %v", response)
	}
	if response = registry.HandleRound(at(2.2), roundWithLimit(6)); response.TokenLimitWanted != 0 {
		t.Errorf("limit %d is wanted though it is there", response.TokenLimitWanted)
	}
}

// Under a leader that sends no limit a machine asks for a fresh token before its heartbeats grow too long.
func TestForgetsUnderEarlierLeader(t *testing.T) {
	registry, agent := startedByCall(t)
	agent.tasks = nil
	for i := range uint32(maxWaitingForgets + 1) {
		status := inState(model.TaskName("j", int(i)), model.TaskExited)
		agent.tasks = append(agent.tasks, status)
		registry.machines.At("m1").recordSentStart(attemptKey{"j", int(i), 9}, 5)
	}
	agent.report(registry, 2)
	for i := range uint32(maxWaitingForgets + 1) {
		if machine := registry.machines.At("m1"); machine.isUncertain() {
			t.Fatalf("a fresh token is wanted for %d attempts", i)
		}
		registry.HandleRound(at(2.1), newRound(5, 100, newOrder(uint64(i+2), forget, i)))
	}
	if machine := registry.machines.At("m1"); !machine.isUncertain() {
		t.Error("no fresh token is wanted")
	}
	registry.HandleRound(at(3), newRound(6, 100))
	if machine := registry.machines.At("m1"); machine.isUncertain() {
		t.Error("a fresh token is wanted under the fresh token")
	}
}

// A restarted owner answers a worker whose token its earlier process had raised, and not with a lower token.
func TestRestartedOwnerOfRaisedToken(t *testing.T) {
	options := newTestRegistry().options
	registry := NewRegistry(options, "boot", testStart, rand.New(rand.NewPCG(1, 2)))
	registry.RejectTokensBelow(5) // as the leader key shows
	agent := &testAgent{epoch: 1, seq: 20, token: 7, tasks: []model.TaskStatus{running("j/1")}}
	if result := agent.report(registry, 1); !result.AwaitsLeader {
		t.Errorf("before the first round answered %+v", result)
	}
	round := roundWithLimit(8)
	round.OpenJobs = &peerspb.OpenJobs{List: 1, To: 1, Opened: []string{"j"}, Complete: true, ViewedNs: int64(1e9)}
	registry.options.CancelGrace = time.Minute
	registry.HandleRound(at(1.1), round)
	if result := agent.report(registry, 1.2); result.Status != http.StatusOK || result.Token != 7 {
		t.Errorf("answered %+v", result)
	}
}
