package workers

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/peers/peerspb"
)

// newRegistryWith returns a registry that owns the given number of current machines, a quarter of them
// with a task, the machines' heartbeats, and the registry's last change. The leader has seen all changes.
func newRegistryWith(t testing.TB, machines int) (*Registry, []*model.Heartbeat, uint64) {
	t.Helper()
	options := Options{
		Member:            "n0",
		HeartbeatInterval: 4 * time.Second,
		Lease:             time.Hour,
		Margin:            time.Second,
		MaxCalls:          100,
	}
	registry := NewRegistry(options, "boot", testStart, rand.New(rand.NewPCG(1, 2)))
	registry.SetTypes(map[string]model.MachineType{"big": {Name: "big", Size: model.Size{CPUs: 4, MemoryGB: 16}}})
	registry.HandleRound(at(0), newRound(5, 1e6))
	heartbeats := make([]*model.Heartbeat, machines)
	for i := range heartbeats {
		heartbeat := newHeartbeat(1, 1, 5)
		heartbeat.Machine = fmt.Sprintf("vm-%06d", i)
		if i%4 == 0 {
			heartbeat.Tasks = []model.TaskStatus{running(fmt.Sprintf("j/%d", i))}
		}
		result := registry.HandleHeartbeat(at(1), heartbeat)
		if accepted := result.Status == http.StatusOK; accepted == (len(heartbeat.Tasks) > 0) {
			t.Fatalf("%s is answered %d before the leader has acknowledged its %d tasks", heartbeat.Machine, result.Status, len(heartbeat.Tasks))
		}
		heartbeats[i] = heartbeat
	}
	acknowledgeAll(registry, 1, 5, 1e6)
	for _, heartbeat := range heartbeats {
		if len(heartbeat.Tasks) == 0 {
			heartbeat.Seq++ // the first one was answered
		}
		if result := registry.HandleHeartbeat(at(1), heartbeat); result.Status != http.StatusOK {
			t.Fatalf("%s is answered %d", heartbeat.Machine, result.Status)
		}
	}
	registry.DueCalls(at(1))
	seen := registry.HandleRound(at(1), newRound(5, 1e6)).Change
	return registry, heartbeats, seen
}

// newUnchangedRound returns a round without orders or sizes, from a leader that has seen all changes up to
// the given one.
func newUnchangedRound(seen uint64) *peerspb.RoundRequest {
	round := newRound(5, 1e6)
	round.Seen, round.Sizes = seen, nil
	return round
}

// The allocations of a heartbeat without changes and of a round without orders do not grow with the number
// of machines, and such a heartbeat reports nothing to the leader.
func TestUnchangedHeartbeatCostIsConstant(t *testing.T) {
	cost := map[int]float64{}
	for _, machines := range []int{1000, 16000} {
		registry, heartbeats, seen := newRegistryWith(t, machines)
		i := 0
		cost[machines] = testing.AllocsPerRun(100, func() {
			heartbeat := heartbeats[i%len(heartbeats)]
			heartbeat.Seq++
			if result := registry.HandleHeartbeat(at(2), heartbeat); result.NotifyLeader || len(registry.DueCalls(at(2))) > 0 {
				t.Fatal("a heartbeat without changes notifies the leader or causes a call")
			}
			if response := registry.HandleRound(at(2), newUnchangedRound(seen)); len(response.Machines) > 0 {
				t.Fatalf("%d unchanged machines are reported to the leader", len(response.Machines))
			}
			i++
		})
	}
	t.Logf("%g allocations", cost[1000])
	if cost[1000] > 16 {
		t.Errorf("a heartbeat and a round without changes take %g allocations", cost[1000])
	}
	if cost[16000] >= 2*max(cost[1000], 1) {
		t.Errorf("a heartbeat and a round take %g allocations with 1000 machines, %g with 16000", cost[1000], cost[16000])
	}
}

// Missed heartbeats are detected while other machines keep sending theirs, are reported once, and are
// cleared when the machine sends a heartbeat again.
func TestMissedHeartbeatsAmongMany(t *testing.T) {
	registry, heartbeats, _ := newRegistryWith(t, 50)
	registry.options.Lease = 20 * time.Second
	reported := func(s float64, seen uint64) (uint64, map[string]string) {
		response, machines := registry.HandleRound(at(s), newUnchangedRound(seen)), map[string]string{}
		for _, machine := range response.Machines {
			machines[machine.Name] = fmt.Sprint(machine.Phase, " ", machine.Quiet)
		}
		return response.Change, machines
	}
	seen, _ := reported(2, 0)
	for _, step := range []struct {
		at   float64
		want string
	}{
		{at: 8, want: "map[]"},
		{at: 11, want: "map[vm-000007:current true vm-000030:current true]"},
		{at: 14, want: "map[]"},
		{at: 23, want: "map[vm-000007:expired true vm-000030:expired true]"},
		{at: 26, want: "map[]"},
	} {
		for i, heartbeat := range heartbeats {
			if i != 7 && i != 30 {
				heartbeat.Seq++
				registry.HandleHeartbeat(at(step.at-0.5), heartbeat)
			}
		}
		var machines map[string]string
		if seen, machines = reported(step.at, seen); fmt.Sprint(machines) != step.want {
			t.Errorf("reported to the leader at %v s: %v, want %s", step.at, machines, step.want)
		}
	}
	back := heartbeats[7]
	back.Session++
	registry.HandleHeartbeat(at(27), back)
	if _, machines := reported(28, seen); fmt.Sprint(machines) != "map[vm-000007:current false]" {
		t.Errorf("reported to the leader when a machine sends heartbeats again: %v", machines)
	}
}

func BenchmarkQuietHeartbeat(b *testing.B) {
	for _, machines := range []int{1000, 4000, 16000} {
		b.Run(fmt.Sprintf("machines=%d", machines), func(b *testing.B) {
			registry, heartbeats, _ := newRegistryWith(b, machines)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				heartbeat := heartbeats[i%machines]
				heartbeat.Seq++
				registry.HandleHeartbeat(at(2), heartbeat)
				registry.DueCalls(at(2))
			}
		})
	}
}

func BenchmarkQuietRound(b *testing.B) {
	for _, machines := range []int{1000, 4000, 16000} {
		b.Run(fmt.Sprintf("machines=%d", machines), func(b *testing.B) {
			registry, _, seen := newRegistryWith(b, machines)
			b.ReportAllocs()
			for b.Loop() {
				registry.HandleRound(at(2), newUnchangedRound(seen))
			}
		})
	}
}

// BenchmarkProbeAll measures an owner's restart: every machine is probed, called and responds.
func BenchmarkProbeAll(b *testing.B) {
	for _, machines := range []int{1000, 4000, 16000} {
		b.Run(fmt.Sprintf("machines=%d", machines), func(b *testing.B) {
			for b.Loop() {
				registry := NewRegistry(Options{Member: "n0", Lease: time.Hour, MaxCalls: 100}, "boot", testStart, rand.New(rand.NewPCG(1, 2)))
				round := newRound(5, 1e6)
				for i := range machines {
					round.Orders = append(round.Orders, newProbe(uint64(i+1), fmt.Sprintf("vm-%06d", i)))
				}
				registry.HandleRound(at(1), round)
				for calls := registry.DueCalls(at(1)); len(calls) > 0; calls = append(calls[1:], registry.DueCalls(at(1))...) {
					response := newHeartbeat(1, 1, 5)
					response.Machine = calls[0].Machine
					registry.CallDone(at(1), calls[0], Executed, response)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/float64(machines), "µs/machine")
		})
	}
}

// BenchmarkOpenJobs measures what an owner does with a list of open jobs, and with a heartbeat of 9 tasks under it.
func BenchmarkOpenJobs(b *testing.B) {
	for _, jobs := range []int{1000, 4000, 16000} {
		round, heartbeat := openJobsRound(1), newHeartbeat(1, 1, 5)
		for i := range jobs {
			round.OpenJobs.Opened = append(round.OpenJobs.Opened, fmt.Sprintf("req-%06d", i))
		}
		for i := range 9 {
			heartbeat.Tasks = append(heartbeat.Tasks, running(fmt.Sprintf("req-%06d/%d", i, i)))
		}
		b.Run(fmt.Sprintf("jobs=%d/whole", jobs), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				(&openJobs{}).apply(round.OpenJobs, at(1))
			}
		})
		b.Run(fmt.Sprintf("jobs=%d/heartbeat", jobs), func(b *testing.B) {
			registry := newTestRegistry()
			registry.options.CancelGrace = time.Hour
			registry.HandleRound(at(1), round)
			for b.Loop() {
				registry.checkTasks(at(2), &machineState{}, heartbeat)
			}
		})
	}
}
