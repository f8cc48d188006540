package workers

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/peers/peerspb"
)

// testStart is the zero of the registry's clock.
var testStart = time.Unix(1000, 0)

// testPool is the pool that the registry under test owns.
var testPool = &peerspb.Kind{Type: "big", Zone: "a"}

// at returns the time s seconds after testStart.
func at(s float64) time.Time { return testStart.Add(time.Duration(s * float64(time.Second))) }

// newTestRegistry returns a registry that owns testPool and holds a delegated lease until 10 s under token 5.
func newTestRegistry() *Registry {
	options := Options{Member: "n0", Lease: 10 * time.Second, Margin: time.Second, MaxCalls: 100}
	registry := NewRegistry(options, "boot", testStart, rand.New(rand.NewPCG(1, 2)))
	registry.SetTypes(map[string]model.MachineType{"big": {Name: "big", Size: model.Size{CPUs: 4, MemoryGB: 16}}})
	registry.HandleRound(at(0), newRound(5, 10))
	return registry
}

// newRound returns a leader's round that delegates a lease until the given second.
func newRound(token uint64, until float64, orders ...*peerspb.Order) *peerspb.RoundRequest {
	return &peerspb.RoundRequest{
		Token:        token,
		Leader:       "n1",
		Boot:         "boot",
		GrantUntilNs: int64(until * 1e9),
		Orders:       orders,
		Owners: []*peerspb.KindOwner{
			{Kind: testPool, Member: "n0"},
			{Kind: &peerspb.Kind{Type: "big", Zone: "b"}, Member: "n2"},
		},
		Sizes: []*peerspb.JobSize{{Job: "j", Size: &peerspb.Size{Cpus: 2, MemoryGb: 4}}},
	}
}

// newHeartbeat returns a heartbeat of machine m1.
func newHeartbeat(epoch, seq, token uint64, tasks ...model.TaskStatus) *model.Heartbeat {
	return &model.Heartbeat{
		Machine: "m1",
		Addr:    "x:1",
		Type:    "big",
		Zone:    "a",
		Session: epoch,
		Seq:     seq,
		Token:   token,
		Tasks:   tasks,
	}
}

// newOrder returns an order for machine m1 and attempt 9 of a task of job j.
func newOrder(id uint64, op peerspb.Op, index uint32) *peerspb.Order {
	return &peerspb.Order{Id: id, Machine: "m1", Op: op, Job: "j", Index: index, Attempt: 9}
}

// newProbe returns an order to probe a machine of testPool.
func newProbe(id uint64, machine string) *peerspb.Order {
	return &peerspb.Order{Id: id, Machine: machine, Op: peerspb.Op_OP_GREET, Addr: "x:1", Kind: testPool}
}

// inState returns attempt 9 of a task in the given state.
func inState(task string, state model.TaskState) model.TaskStatus {
	return model.TaskStatus{Task: task, Attempt: 9, State: state}
}

// running returns attempt 9 of a running task.
func running(task string) model.TaskStatus { return inState(task, model.TaskRunning) }

// acknowledgeAll has the leader read and acknowledge all changes of a registry.
func acknowledgeAll(registry *Registry, s float64, token uint64, until float64, orders ...*peerspb.Order) {
	change := registry.HandleRound(at(s), newRound(token, until)).Change
	round := newRound(token, until, orders...)
	round.Seen = change
	registry.HandleRound(at(s), round)
}

// reportedMachine returns the one machine as it is reported to the leader, or nil if none is reported.
func reportedMachine(registry *Registry, s float64) *peerspb.Machine {
	response := registry.HandleRound(at(s), newRound(registry.token, s+10))
	if len(response.Machines) == 0 {
		return nil
	}
	return response.Machines[0]
}

// onlyCall returns the one direct call that is due, and fails the test if there is not exactly one.
func onlyCall(t *testing.T, registry *Registry, s float64) Call {
	t.Helper()
	calls := registry.DueCalls(at(s))
	if len(calls) != 1 {
		t.Fatalf("%d calls are due after %v s, want one: %+v", len(calls), s, calls)
	}
	return calls[0]
}

// commandTexts returns the operation and task of each command.
func commandTexts(commands []model.Command) []string {
	var texts []string
	for _, command := range commands {
		texts = append(texts, command.Op+" "+command.Task)
	}
	return texts
}
