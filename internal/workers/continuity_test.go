package workers

import (
	"fmt"
	"net/http"
	"slices"
	"testing"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/peers/peerspb"
)

// testAgent is one incarnation of the agent of machine m1. It follows the protocol.
type testAgent struct {
	epoch, seq, token uint64
	tasks             []model.TaskStatus
}

func (a *testAgent) heartbeat() *model.Heartbeat {
	a.seq++
	return newHeartbeat(a.epoch, a.seq, a.token, slices.Clone(a.tasks)...)
}

// report sends a heartbeat and receives its answer.
func (a *testAgent) report(registry *Registry, s float64) HeartbeatResult {
	result := registry.HandleHeartbeat(at(s), a.heartbeat())
	if result.Status == http.StatusOK && result.Token >= a.token {
		a.execute(result.Token, result.Commands)
	}
	return result
}

// handleCall handles a direct call and returns its outcome and the heartbeat in the response.
func (a *testAgent) handleCall(call Call) (CallOutcome, *model.Heartbeat) {
	if call.Token < a.token || call.Epoch != a.epoch {
		return Refused, a.heartbeat()
	}
	a.execute(call.Token, call.Commands)
	return Executed, a.heartbeat()
}

func (a *testAgent) execute(token uint64, commands []model.Command) {
	a.token = token
	for _, command := range commands {
		known := slices.ContainsFunc(a.tasks, func(task model.TaskStatus) bool {
			return task.Task == command.Task && task.Attempt == command.Attempt
		})
		if command.Op == "start" && !known {
			a.tasks = append(a.tasks, model.TaskStatus{Task: command.Task, Attempt: command.Attempt, State: model.TaskRunning})
		}
	}
}

// answerCalls has an agent answer the direct calls that are due.
func answerCalls(registry *Registry, s float64, agent *testAgent) {
	for _, call := range registry.DueCalls(at(s)) {
		outcome, response := agent.handleCall(call)
		registry.CallDone(at(s), call, outcome, response)
	}
}

// lostHeartbeats is how many heartbeats of a new incarnation are lost at first: more than the owner got of the earlier one.
const lostHeartbeats = 8

// restartedWhileIdle returns a registry that knows a machine without tasks, a heartbeat that is still on its
// way from the machine's earlier incarnation, and the present incarnation, of which nothing has arrived yet.
// Its sequence number is larger than the last known one, and smaller than that of the late heartbeat.
func restartedWhileIdle() (registry *Registry, late *model.Heartbeat, present *testAgent) {
	registry = newTestRegistry()
	registry.HandleRound(at(0), newRound(5, 100))
	earlier := &testAgent{epoch: 1}
	earlier.report(registry, 0)
	answerCalls(registry, 0.1, earlier)
	earlier.report(registry, 1)
	for range 3 * lostHeartbeats {
		late = earlier.heartbeat()
	}
	return registry, late, &testAgent{epoch: 1, seq: lostHeartbeats}
}

// startTask has the leader order j/1 and the owner deliver it in a direct call.
func startTask(registry *Registry, s float64, agent *testAgent) {
	registry.HandleRound(at(s), newRound(5, 100, newOrder(1, start, 1)))
	answerCalls(registry, s, agent)
}

// checkTasksKept checks that the leader releases no task that runs on the machine: each is in the list that
// the owner reports, or its start is undecided.
func checkTasksKept(t *testing.T, registry *Registry, s float64, agent *testAgent) *peerspb.Machine {
	t.Helper()
	machine := registry.HandleRound(at(s), newRound(registry.token, 100)).Machines[0]
	for _, task := range agent.tasks {
		listed := slices.ContainsFunc(machine.Tasks, func(x *peerspb.Task) bool {
			return model.TaskName(x.Job, int(x.Index)) == task.Task && x.State == string(task.State)
		})
		if !listed && len(machine.Undecided) == 0 || machine.Phase == string(Expired) {
			t.Errorf("after %v s %s runs on the machine, and the owner reports %v", s, task.Task, machine)
		}
	}
	return machine
}

// A late heartbeat of a machine's earlier incarnation, which was idle, does not release a task of the present
// one, in whichever way the present one got the token without being noticed (review/1).
func TestLateHeartbeatOfEarlierIncarnation(t *testing.T) {
	for _, test := range []struct {
		name  string
		steps func(registry *Registry, present *testAgent) // lead to a running task
	}{
		{name: "the call after its first heartbeat", steps: func(registry *Registry, present *testAgent) {
			present.report(registry, 2)
			answerCalls(registry, 2, present)
			present.report(registry, 3)
			startTask(registry, 3.5, present)
			present.report(registry, 4)
		}},
		{name: "a heartbeat while calls go unanswered", steps: func(registry *Registry, present *testAgent) {
			for s := 2.0; s <= 4; s++ {
				present.report(registry, s)
				completeCalls(registry, s, s+0.5, Unanswered, nil)
			}
			registry.HandleRound(at(5), newRound(5, 100, newOrder(1, start, 1)))
			present.report(registry, 5)
			present.report(registry, 6)
		}},
		{name: "a call with a start", steps: func(registry *Registry, present *testAgent) {
			startTask(registry, 2, present)
			present.report(registry, 3)
		}},
		{name: "a call with a start whose response is lost", steps: func(registry *Registry, present *testAgent) {
			registry.HandleRound(at(2), newRound(5, 100, newOrder(1, start, 1)))
			for _, call := range registry.DueCalls(at(2)) {
				present.handleCall(call)
				registry.CallDone(at(3.5), call, Unanswered, nil)
			}
			present.report(registry, 4)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			registry, late, present := restartedWhileIdle()
			test.steps(registry, present)
			if len(present.tasks) == 0 && !reportedMachine(registry, 6.5).Unsure {
				t.Error("the present incarnation is neither noticed nor given a task")
			}
			registry.HandleHeartbeat(at(7), late)
			checkTasksKept(t, registry, 7.1, present)
			answerCalls(registry, 7.2, present)
			present.report(registry, 8)
			checkTasksKept(t, registry, 8.1, present)
			registry.HandleRound(at(9), newRound(6, 100)) // the next token ends the doubt
			present.report(registry, 9.1)
			answerCalls(registry, 9.2, present)
			present.report(registry, 10)
			if machine := checkTasksKept(t, registry, 10.1, present); machine.Phase != string(Current) || machine.Unsure || len(machine.Tasks) != len(present.tasks) {
				t.Errorf("under the next token the owner reports %v", machine)
			}
		})
	}
}

// After a takeover both incarnations may have the new token: the earlier one adopted it from a call whose
// response was lost. Its late heartbeat releases nothing either.
func TestLateHeartbeatAfterTakeover(t *testing.T) {
	registry, late, present := restartedWhileIdle()
	registry.HandleRound(at(2), newRound(6, 100))
	answerCalls(registry, 2.1, present) // the probe
	registry.HandleRound(at(2.2), newRound(6, 100, newOrder(1, start, 1)))
	answerCalls(registry, 2.3, present)
	present.report(registry, 3)
	late.Token = 6
	registry.HandleHeartbeat(at(4), late)
	if machine := checkTasksKept(t, registry, 4.1, present); !machine.Unsure || len(machine.Tasks) != 1 {
		t.Errorf("the owner reports %v", machine)
	}
}

// A late heartbeat of an earlier incarnation that arrives between an answer with a start and the next
// heartbeat of the present one does not show that the answer was lost.
func TestStartSentToNextIncarnation(t *testing.T) {
	registry, late, present := restartedWhileIdle()
	startTask(registry, 2, present) // brings the token
	present.report(registry, 2.1)
	registry.HandleRound(at(3), newRound(5, 100, newOrder(2, start, 2)))
	present.report(registry, 3) // the answer brings the second start
	late.Tasks = []model.TaskStatus{running("j/1")}
	registry.HandleHeartbeat(at(3.1), late)
	checkTasksKept(t, registry, 3.2, present)
}

// A response that shows a start as executed and a newer message without its task come from two incarnations:
// the start is not decided.
func TestExecutedStartIsMissingInNewerHeartbeat(t *testing.T) {
	registry, late, present := restartedWhileIdle()
	registry.HandleRound(at(2), newRound(5, 100, newOrder(1, start, 1)))
	call := onlyCall(t, registry, 2)
	outcome, response := present.handleCall(call)
	registry.HandleHeartbeat(at(2.1), late) // overtakes the response
	registry.CallDone(at(2.2), call, outcome, response)
	checkTasksKept(t, registry, 2.3, present)
}

// A late heartbeat of a later epoch of an earlier incarnation does not end the present one's epoch. What a
// call shows is believed; if it goes unanswered, the next token decides.
func TestEpochOfEarlierIncarnation(t *testing.T) {
	for _, test := range []struct {
		name     string
		confirm  func(registry *Registry, present *testAgent)
		unsure   bool
		released bool
	}{
		{name: "the call shows the task", confirm: func(registry *Registry, present *testAgent) {
			answerCalls(registry, 5.1, present)
		}},
		{name: "the call goes unanswered", confirm: func(registry *Registry, _ *testAgent) {
			completeCalls(registry, 5.1, 6.6, Unanswered, nil)
		}, unsure: true},
		{name: "no connection", confirm: func(registry *Registry, _ *testAgent) {
			completeCalls(registry, 5.1, 5.2, Refused, nil)
		}, unsure: true},
		{name: "the call shows that the epoch is over", confirm: func(registry *Registry, present *testAgent) {
			*present = testAgent{epoch: 2, token: 5}
			answerCalls(registry, 5.1, present)
		}, released: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			registry, late, present := restartedWhileIdle()
			startTask(registry, 2, present)
			present.report(registry, 3)
			late.Session, late.Seq = 2, 1
			if result := registry.HandleHeartbeat(at(5), late); result.Status != http.StatusOK || len(result.Commands) > 0 {
				t.Errorf("answered %+v", result)
			}
			checkTasksKept(t, registry, 5, present)
			test.confirm(registry, present)
			machine := checkTasksKept(t, registry, 7, present)
			if machine.Unsure != test.unsure || (len(machine.Tasks) == 0) != test.released {
				t.Errorf("the owner reports %v", machine)
			}
		})
	}
}

// A late heartbeat of a later epoch that arrives while a call is in flight does not show that the call's start can
// no longer be executed: a stop of it is sent.
func TestEpochOfEarlierIncarnationDuringCall(t *testing.T) {
	registry, late, present := restartedWhileIdle()
	registry.HandleRound(at(2), newRound(5, 100, newOrder(1, start, 1)))
	call := onlyCall(t, registry, 2)
	present.handleCall(call) // the response is lost
	late.Session, late.Seq = 2, 1
	registry.HandleHeartbeat(at(3), late)
	registry.CallDone(at(3.5), call, Unanswered, nil)
	registry.HandleRound(at(4), newRound(5, 100, newOrder(2, stop, 1)))
	checkTasksKept(t, registry, 4.1, present)
}

// A start that was sent twice may have ended in an earlier incarnation and run in the present one. Its exit in
// a heartbeat is believed once a call has shown it.
func TestExitOfRepeatedStart(t *testing.T) {
	for _, exited := range []bool{false, true} {
		t.Run(fmt.Sprintf("it has exited: %v", exited), func(t *testing.T) {
			registry, late, present := restartedWhileIdle()
			registry.HandleRound(at(2), newRound(5, 100, newOrder(1, start, 1)))
			completeCalls(registry, 2, 3.5, Unanswered, nil) // the earlier incarnation executed it
			present.token = 5
			present.report(registry, 4) // the answer repeats it
			present.report(registry, 5)
			late.Token, late.Tasks = 5, []model.TaskStatus{inState("j/1", model.TaskExited)}
			if exited {
				present.tasks[0].State = model.TaskExited
			}
			registry.HandleHeartbeat(at(6), late)
			if machine := registry.HandleRound(at(6), newRound(5, 100)).Machines[0]; len(machine.Tasks) != 1 || machine.Tasks[0].State != string(model.TaskRunning) {
				t.Errorf("before the call the owner reports %v", machine)
			}
			answerCalls(registry, 6.1, present)
			checkTasksKept(t, registry, 6.2, present)
		})
	}
}

// The lease of an incarnation that a call with a start reached may run from the call, though the last
// heartbeat came from an earlier incarnation long before.
func TestLeaseOfCalledIncarnation(t *testing.T) {
	registry, _, present := restartedWhileIdle()
	startTask(registry, 9, present)
	for s := 10.0; s < 19; s++ { // nothing reaches the owner; the lease is 10 s
		checkTasksKept(t, registry, s, present)
	}
	if machine := reportedMachine(registry, 21); machine.Phase != string(Expired) {
		t.Errorf("a lease and the margin after the call the owner reports %v", machine)
	}
}

// An agent that restarted on a machine that no call reaches gets the next token, and its earlier incarnation's
// lease is not extended by its heartbeats meanwhile.
func TestRestartedAgentThatNoCallReaches(t *testing.T) {
	registry, _, present := restartedWhileIdle()
	for s := 2.0; s < 4; s++ {
		if result := present.report(registry, s); result.Status == http.StatusOK {
			t.Errorf("after %v s answered %+v", s, result)
		}
		completeCalls(registry, s, s+0.5, Unanswered, nil)
	}
	if machine := reportedMachine(registry, 4); !machine.Unsure || !machine.Quiet {
		t.Errorf("the owner reports %v", machine)
	}
	registry.HandleRound(at(5), newRound(6, 100))
	if present.report(registry, 5); present.token != 6 {
		t.Errorf("the worker has token %d", present.token)
	}
}

// A heartbeat that is no newer than the newest known one gets no answer that extends a lease or shows the
// token, because nothing counts that lease: it may come from another incarnation. A call asks which token the
// worker has, and does not bring ours.
func TestStaleHeartbeatGetsNoToken(t *testing.T) {
	registry, _, present := restartedWhileIdle()
	present.seq = 1
	if result := present.report(registry, 2); result.Status == http.StatusOK || result.Token != 0 {
		t.Errorf("the first heartbeat of the next incarnation is answered with %+v", result)
	}
	present.seq = lostHeartbeats
	answerCalls(registry, 2.1, present)
	if machine := reportedMachine(registry, 2.2); present.token != 0 || !machine.Unsure {
		t.Errorf("the worker has token %d after the call, and the owner reports %v", present.token, machine)
	}
}
