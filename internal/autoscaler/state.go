package autoscaler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

// State is a copy of everything in an autoscaler that its later decisions depend on. It
// and the types in it are stored in recordings under the Go names of their fields.
type State struct {
	Token    uint64
	Named    int // number of launch requests made in the term
	Charters []LaunchRequestState
	Booting  []BootingState
	Leaving  []string             // machines that are being terminated
	Gone     map[string]time.Time // terminated machines
	Held     []HeldState
	Refused  []RefusalState
	Zones    map[string]int       // number of machines held, by zone
	Dark     map[string]time.Time // silent zones, with the last time found silent or of the last launch request
	Heard    []string             // zones in which a machine sent a heartbeat
}

// MarketState is the stored form of a Market.
type MarketState struct {
	Kind model.Pool
	Spot bool
}

// LaunchRequestState is a launch request and its state.
type LaunchRequestState struct {
	Charter LaunchRequest
	State   LaunchState
	Since   time.Time
}

// BootingState is the stored form of a booting machine.
type BootingState struct {
	Name   string
	Source MarketState
	Since  time.Time
	Listed bool
}

// HeldState is the number of machines held in a market.
type HeldState struct {
	Source MarketState
	Count  int
}

// RefusalState is the stored form of a market's last refusal, which revealed its capacity.
type RefusalState struct {
	Source MarketState
	At     time.Time
	Held   int
}

func (m Market) export() MarketState { return MarketState{Kind: m.Pool, Spot: m.Spot} }

func (m MarketState) restore() Market { return Market{Pool: m.Kind, Spot: m.Spot} }

// compareMarkets orders markets by type, then by zone, then on-demand before spot.
func compareMarkets(x, y Market) int {
	spot := func(m Market) int {
		if m.Spot {
			return 1
		}
		return 0
	}
	return cmp.Or(
		cmp.Compare(x.Pool.Type, y.Pool.Type),
		cmp.Compare(x.Pool.Zone, y.Pool.Zone),
		cmp.Compare(spot(x), spot(y)),
	)
}

// Export returns the autoscaler's state. The maps in it are shared with the autoscaler.
func (a *Autoscaler) Export() *State {
	state := &State{
		Token:   a.token,
		Named:   a.requestCount,
		Leaving: slices.Sorted(maps.Keys(a.terminating)),
		Gone:    a.terminated,
		Zones:   a.capacity.heldByZone,
		Dark:    a.capacity.silentZones,
		Heard:   slices.Sorted(maps.Keys(a.capacity.zonesSeenUp)),
	}
	for _, request := range a.requests.All() {
		state.Charters = append(state.Charters, LaunchRequestState{
			Charter: *request,
			State:   request.state,
			Since:   request.since,
		})
	}
	for name, machine := range a.booting.All() {
		state.Booting = append(state.Booting, BootingState{
			Name:   name,
			Source: machine.market.export(),
			Since:  machine.since,
			Listed: machine.listed,
		})
	}
	for _, market := range slices.SortedFunc(maps.Keys(a.capacity.held), compareMarkets) {
		state.Held = append(state.Held, HeldState{Source: market.export(), Count: a.capacity.held[market]})
	}
	for _, market := range slices.SortedFunc(maps.Keys(a.capacity.refused), compareMarkets) {
		refused := a.capacity.refused[market]
		state.Refused = append(state.Refused, RefusalState{Source: market.export(), At: refused.at, Held: refused.held})
	}
	return state
}

// Import returns an autoscaler that makes the same decisions as the one whose state was
// exported.
func Import(options Options, state *State) *Autoscaler {
	a := New(options, state.Token)
	a.requestCount = state.Named
	for _, stored := range state.Charters {
		request := stored.Charter
		request.state, request.since = stored.State, stored.Since
		a.requests.Put(request.Name, &request)
	}
	for _, stored := range state.Booting {
		a.booting.Put(stored.Name, &bootingMachine{
			market: stored.Source.restore(),
			since:  stored.Since,
			listed: stored.Listed,
		})
	}
	for _, name := range state.Leaving {
		a.terminating[name] = true
	}
	maps.Copy(a.terminated, state.Gone)
	a.capacity.restore(state)
	return a
}

func (c *capacityModel) restore(state *State) {
	maps.Copy(c.heldByZone, state.Zones)
	maps.Copy(c.silentZones, state.Dark)
	for _, zone := range state.Heard {
		c.zonesSeenUp[zone] = true
	}
	for _, stored := range state.Held {
		c.held[stored.Source.restore()] = stored.Count
	}
	for _, stored := range state.Refused {
		c.refused[stored.Source.restore()] = refusal{at: stored.At, held: stored.Held}
	}
}
