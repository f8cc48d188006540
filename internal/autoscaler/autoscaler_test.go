package autoscaler

import (
	"reflect"
	"testing"
	"time"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/placement"
)

var (
	t0           = time.Unix(1000, 0)
	small        = model.Pool{Type: "small", Zone: "a"}
	large        = model.Pool{Type: "large", Zone: "a"}
	machineTypes = map[string]model.MachineType{
		"small": {Name: "small", Size: model.Size{CPUs: 4}, Price: 1, SpotPrice: 0.3, Boot: 10 * time.Second, Zones: []string{"a"}},
		"large": {Name: "large", Size: model.Size{CPUs: 16}, Price: 3, SpotPrice: 1, Boot: 10 * time.Second, Zones: []string{"a"}},
	}
)

func at(s float64) time.Time { return t0.Add(time.Duration(s * float64(time.Second))) }

func newAutoscaler() *Autoscaler {
	return New(Options{Idle: 30 * time.Second, Keep: 20 * time.Second, RefusedWait: 20 * time.Second, BootFactor: 4,
		SilentWait: 20 * time.Second}, 5)
}

func demandFor(tasks int, spot bool, estimate time.Duration) placement.UnmetDemand {
	return placement.UnmetDemand{Job: "x", Size: model.Size{CPUs: 2}, Tasks: tasks, Pools: []model.Pool{large, small},
		Spot: spot, Estimate: estimate, Horizon: 55 * time.Second}
}

// launches returns the machines that a tick requests, by market.
func launches(a *Autoscaler, s float64, demands ...placement.UnmetDemand) map[Market]int {
	got := map[Market]int{}
	for _, action := range a.Tick(at(s), demands, nil, machineTypes, true) {
		if action.Record != nil {
			got[Market{action.Record.Pool, action.Record.Spot}] += action.Record.Count
		}
	}
	return got
}

func TestScaleOut(t *testing.T) {
	for _, c := range []struct {
		name   string
		setup  func(a *Autoscaler)
		demand placement.UnmetDemand
		want   map[Market]int
	}{
		{"no demand", nil, demandFor(0, false, 0), map[Market]int{}},
		{"the cheaper per task", nil, demandFor(8, false, 0), map[Market]int{{large, false}: 1}},
		{"counting only tasks that there are", nil, demandFor(1, false, 0), map[Market]int{{small, false}: 1}},
		{"spot where allowed", nil, demandFor(2, true, 0), map[Market]int{{small, true}: 1}},
		{"only spot instances for a demand that takes nothing else", func(a *Autoscaler) { a.capacity.refused[Market{small, true}] = refusal{at: at(0)} },
			placement.UnmetDemand{Job: "x", Size: model.Size{CPUs: 2}, Tasks: 2, Pools: []model.Pool{small}, Spot: true, SpotOnly: true},
			map[Market]int{}},
		{"short tasks take turns", nil, demandFor(16, false, 15*time.Second), map[Market]int{{large, false}: 1}},
		{"long ones do not", nil, demandFor(16, false, time.Minute), map[Market]int{{large, false}: 2}},
		{"a refused market is avoided", func(a *Autoscaler) { a.capacity.refused[Market{large, false}] = refusal{at: at(0)} }, demandFor(4, false, 0),
			map[Market]int{{small, false}: 2}},
		{"after a while it is probed", func(a *Autoscaler) { a.capacity.refused[Market{large, false}] = refusal{at: at(-20)} }, demandFor(24, false, 0),
			map[Market]int{{large, false}: 1, {small, false}: 8}},
		{"machines that were terminated are available again", func(a *Autoscaler) { a.capacity.refused[Market{large, false}] = refusal{at: at(0), held: 2} },
			demandFor(24, false, 0),
			map[Market]int{{large, false}: 2, {small, false}: 4}},
		{"a silent zone is avoided", func(a *Autoscaler) { a.capacity.silentZones["a"] = at(0) }, demandFor(8, false, 0), map[Market]int{}},
		{"until it is probed", func(a *Autoscaler) { a.capacity.silentZones["a"] = at(-20) }, demandFor(64, false, 0),
			map[Market]int{{large, false}: 1, {small, false}: 1}},
		{"a few in a zone without a machine that was up", func(a *Autoscaler) { a.capacity.zonesSeenUp["b"] = true }, demandFor(64, false, 0),
			map[Market]int{{large, false}: 3, {small, false}: 3}},
		{"no more while these boot", func(a *Autoscaler) {
			a.capacity.zonesSeenUp["b"] = true
			for _, name := range []string{"m1", "m2", "m3"} {
				a.booting.Put(name, &bootingMachine{market: Market{small, false}, since: at(0)})
			}
		}, demandFor(64, false, 0), map[Market]int{}},
		{"a machine that boots in a silent zone does not count", func(a *Autoscaler) {
			a.booting.Put("m", &bootingMachine{market: Market{model.Pool{Type: "large", Zone: "b"}, false}, since: at(0)})
			a.capacity.silentZones["b"] = at(0)
		}, placement.UnmetDemand{Job: "x", Size: model.Size{CPUs: 2}, Tasks: 8, Pools: []model.Pool{{Type: "large", Zone: "b"}, large}},
			map[Market]int{{large, false}: 1}},
		{"one zone for a job that must stay in one", nil,
			placement.UnmetDemand{Job: "x", Size: model.Size{CPUs: 16}, Tasks: 60, AllAtOnce: true, OneZone: true,
				Pools: []model.Pool{large, {Type: "large", Zone: "b"}}}, map[Market]int{{large, false}: 50}},
		{"a booting machine counts", func(a *Autoscaler) { a.booting.Put("m", &bootingMachine{market: Market{large, false}, since: at(0)}) }, demandFor(8, false, 0),
			map[Market]int{}},
		{"a booting spot instance is of no use to demand for others", func(a *Autoscaler) { a.booting.Put("m", &bootingMachine{market: Market{large, true}, since: at(0)}) },
			demandFor(8, false, 0), map[Market]int{{large, false}: 1}},
	} {
		a := newAutoscaler()
		if c.setup != nil {
			c.setup(a)
		}
		if got := launches(a, 1, c.demand); !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

func drop(machines *model.Table[string, *placement.Machine], names ...string) {
	for _, name := range names {
		machines.Delete(name)
	}
}

// A zone most of whose machines fell silent stays silent until one is up.
func TestSilentZone(t *testing.T) {
	capacity := newCapacityModel(20 * time.Second)
	machines := model.NewTable[string, *placement.Machine]()
	for _, n := range []string{"m1", "m2", "m3"} {
		machines.Put(n, &placement.Machine{Name: n, Pool: small, Phase: placement.Current, Listed: n != "m3"})
	}
	for _, c := range []struct {
		name   string
		change func()
		silent bool
	}{
		{"all are up", func() {}, false},
		{"one misses heartbeats", func() { machines.At("m1").MissedHeartbeats = true }, false},
		{"most are silent", func() { machines.At("m2").Phase = placement.Expired }, true},
		{"they are terminated", func() { drop(machines, "m1", "m2", "m3") }, true},
		{"a new one is up", func() { machines.Put("m4", &placement.Machine{Name: "m4", Pool: small, Phase: placement.Current}) }, false},
		{"delayed heartbeats bring back terminated ones", func() {
			for _, n := range []string{"m5", "m6", "m7"} {
				machines.Put(n, &placement.Machine{Name: n, Pool: small, Phase: placement.ExpiryReported})
			}
			machines.At("m4").MissedHeartbeats = true
		}, false},
	} {
		c.change()
		capacity.update(machines, model.NewTable[string, *bootingMachine](), at(1))
		if capacity.zoneSilent("a") != c.silent {
			t.Errorf("%s: silent is %v", c.name, capacity.zoneSilent("a"))
		}
	}
}

// sentRequest returns the name of the launch request that a tick sends, or none.
func sentRequest(a *Autoscaler, s float64) string {
	for _, action := range a.Tick(at(s), nil, nil, machineTypes, true) {
		if action.Launch != nil {
			return action.Launch.Name
		}
	}
	return ""
}

// startRequest makes an autoscaler whose first tick asked for machines, and returns the
// name of its launch request.
func startRequest() (a *Autoscaler, name string) {
	a = newAutoscaler()
	for _, action := range a.Tick(at(0), []placement.UnmetDemand{demandFor(8, false, 0)}, nil, machineTypes, true) {
		return a, action.Record.Name
	}
	return a, ""
}

// A launch request is recorded, then sent, and sent again under its name until it is
// resolved.
func TestRequestLifecycle(t *testing.T) {
	a, name := startRequest()
	if name != "c-5-1" || sentRequest(a, 5) != "" {
		t.Fatalf("%q was sent before it was recorded", name)
	}
	a.RequestRecorded(name, true, at(5))
	if sentRequest(a, 6) != name || sentRequest(a, 8) != "" {
		t.Fatal("not sent once")
	}
	if a.LaunchDone(name, Unknown, nil, at(9)) || sentRequest(a, 10) != name {
		t.Error("a request without an answer is not sent again")
	}
	if !a.LaunchDone(name, Granted, []string{"m1"}, at(11)) || a.Booting() != 1 || sentRequest(a, 20) != "" {
		t.Error("not resolved")
	}
}

func TestRequestNotRecorded(t *testing.T) {
	a, name := startRequest()
	a.RequestRecorded(name, false, at(1))
	if sentRequest(a, 10) != "" {
		t.Error("sent although its record is not stored")
	}
}

// An earlier leader's launch requests are resolved too, and their refusals remembered.
func TestRestoredRequest(t *testing.T) {
	a := newAutoscaler()
	a.RestoreRequest(LaunchRequest{Name: "c-3-9", Pool: small, Count: 1}, at(0))
	if sentRequest(a, 2) != "c-3-9" {
		t.Error("an earlier leader's request is not sent")
	}
	if !a.LaunchDone("c-3-9", Refused, nil, at(3)) || len(launches(a, 4, demandFor(1, false, 0))) == 0 ||
		launches(a, 4, demandFor(1, false, 0))[Market{small, false}] != 0 {
		t.Error("a refusal is not remembered")
	}
}

func TestScaleIn(t *testing.T) {
	a := newAutoscaler()
	machines := model.NewTable[string, *placement.Machine]()
	for name, m := range map[string]*placement.Machine{
		"idle":     {Phase: placement.Current, IdleSince: at(0)},
		"fresh":    {Phase: placement.Current, IdleSince: at(80)},
		"young":    {Phase: placement.Current, IdleSince: at(60), FirstSeen: at(90)},
		"cordoned": {Phase: placement.Current, IdleSince: at(99), Cordoned: true},
		"silent":   {Phase: placement.Expired, FirstExpired: at(70)},
		"quiet":    {Phase: placement.Expired, FirstExpired: at(90)},
		"unseen":   {Phase: placement.Unseen, IdleSince: at(0)},
	} {
		machines.Put(name, m)
	}
	// Unexpected machines are in the list only; one of them never boots.
	a.ReconcileList([]CloudMachine{{Name: "dead", Pool: small, Booting: true, Age: 30 * time.Second},
		{Name: "new", Pool: small, Booting: true, Age: time.Second},
		{Name: "idle", Pool: small}}, machines, at(60))
	for _, c := range []struct {
		takeoverComplete bool
		want             []string
	}{{false, []string{"dead", "silent"}}, {true, []string{"cordoned", "idle"}}} {
		var got []string
		for _, action := range a.Tick(at(100), nil, machines, machineTypes, c.takeoverComplete) {
			got = append(got, action.Terminate...)
		}
		if !reflect.DeepEqual(got, c.want) {
			t.Errorf("takeover complete %v: %v, want %v", c.takeoverComplete, got, c.want)
		}
	}
	a.TerminateDone([]string{"idle"}, false, at(100))
	if got := a.Tick(at(101), nil, machines, machineTypes, true); len(got) != 1 || !reflect.DeepEqual(got[0].Terminate, []string{"idle"}) {
		t.Errorf("a termination without an answer is not repeated: %+v", got)
	}
	if failed := a.ReconcileList([]CloudMachine{{Name: "broken", Failed: true}}, machines, at(102)); !reflect.DeepEqual(failed, []string{"broken"}) {
		t.Errorf("failed: %v", failed)
	}
	// A list that lags still shows terminated machines: they do not count as booting.
	a.TerminateDone([]string{"idle", "cordoned"}, true, at(103))
	booting := a.Booting()
	a.ReconcileList([]CloudMachine{{Name: "idle", Pool: small}, {Name: "cordoned", Pool: small}}, nil, at(104))
	if a.Booting() != booting {
		t.Errorf("%d machines booting, want %d", a.Booting(), booting)
	}
}

// Machines that are terminated without ever having a task are counted, and launching
// such machines again is a loop.
func TestThrash(t *testing.T) {
	for _, c := range []struct {
		name   string
		unused int
		again  float64 // when more are launched
		want   Thrash
	}{
		{"a few", minLoopReturns - 1, 60, Thrash{Unused: minLoopReturns - 1}},
		{"many, and not again", minLoopReturns, 0, Thrash{Unused: minLoopReturns}},
		{"many, and again", minLoopReturns, 60, Thrash{Unused: minLoopReturns, Loops: 1}},
		{"again much later", minLoopReturns, 50 + loopWindow.Seconds() + 1, Thrash{Unused: minLoopReturns}},
	} {
		a, machines := newAutoscaler(), model.NewTable[string, *placement.Machine]()
		for i := range c.unused + 1 {
			name := string(rune('a' + i))
			machines.Put(name, &placement.Machine{Name: name, Pool: large, Phase: placement.Current, TerminationNotice: -1, FirstSeen: at(0), IdleSince: at(0),
				EverUsed: i == c.unused}) // one had a task
		}
		a.Tick(at(50), nil, machines, machineTypes, true)
		if c.again > 0 {
			a.Tick(at(c.again), []placement.UnmetDemand{demandFor(8, false, 0)}, model.NewTable[string, *placement.Machine](), machineTypes, true)
			a.Tick(at(c.again), []placement.UnmetDemand{demandFor(80, false, 0)}, model.NewTable[string, *placement.Machine](), machineTypes, true)
		}
		if got := a.Thrash(); got != c.want {
			t.Errorf("%s: %+v, not %+v", c.name, got, c.want)
		}
	}
}
