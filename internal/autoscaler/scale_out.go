package autoscaler

import (
	"iter"
	"math"
	"time"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/placement"
)

// A booting machine counts as capacity for lateBootFactor times its usual boot time plus
// lateBootGrace.
const (
	lateBootFactor = 2
	lateBootGrace  = 5 * time.Second
)

// scaleOut covers the demands, first with machines that are being launched and then with
// new ones, the cheapest per usable task first. It returns the actions that record the
// launch requests.
func (a *Autoscaler) scaleOut(now time.Time, demands []placement.UnmetDemand, types map[string]model.MachineType) []Action {
	plan := a.newLaunchPlan(now, types)
	a.uncovered = a.uncovered[:0]
	for _, demand := range demands {
		a.cover(demand, plan, now)
	}
	var actions []Action
	for _, market := range plan.markets {
		request := a.newRequest(market, plan.planned[market], now)
		a.capacity.requested(market, now)
		a.thrash.scaledOut(market, now)
		actions = append(actions, Action{Record: request})
	}
	return actions
}

// cover adds machines to the plan until they cover a demand or no market has more available.
func (a *Autoscaler) cover(demand placement.UnmetDemand, plan *launchPlan, now time.Time) {
	available := func(market Market) bool {
		return plan.planned[market] < a.capacity.available(market, plan.requested[market], now)
	}
	wanted := concurrentTasks(demand)
	tasks := plan.assignTasks(demand, wanted)
	zone := ""
	for tasks > 0 {
		market, ok := cheapest(demand, plan.types, zone, available)
		if !ok {
			break
		}
		if demand.OneZone {
			zone = market.Pool.Zone
		}
		tasks -= plan.launch(market).fill(demand.Size, tasks)
	}
	if wanted > 0 && tasks == wanted && !demand.Headroom {
		a.noteUncovered(demand, plan, now)
	}
}

// concurrentTasks returns how many tasks of a demand must run at once. Short tasks of an
// array may run one after another: a machine runs several of them within the demand's
// horizon.
func concurrentTasks(demand placement.UnmetDemand) int {
	if demand.AllAtOnce || demand.Estimate <= 0 || demand.Estimate >= demand.Horizon {
		return demand.Tasks
	}
	return int(math.Ceil(float64(demand.Tasks) * demand.Estimate.Seconds() / demand.Horizon.Seconds()))
}

// launchPlan packs demands into the machines that are being launched: first-fit, in the
// order booting, requested, planned by this plan.
type launchPlan struct {
	types     map[string]model.MachineType
	machines  []*launchingMachine
	requested map[Market]int // machines in unresolved launch requests
	planned   map[Market]int // machines added by this plan
	markets   []Market       // with planned machines, in the order of their first planned machine
}

// launchingMachine is a machine that is being launched, with its remaining capacity.
type launchingMachine struct {
	market Market
	size   model.Size
	free   model.Size
}

// newLaunchPlan returns a plan that contains the booting and the requested machines.
func (a *Autoscaler) newLaunchPlan(now time.Time, types map[string]model.MachineType) *launchPlan {
	plan := &launchPlan{
		types:     types,
		requested: map[Market]int{},
		planned:   map[Market]int{},
	}
	for name, machine := range a.booting.All() {
		if !a.terminating[name] && a.countsAsCapacity(machine, types, now) {
			plan.add(machine.market)
		}
	}
	for _, request := range a.requests.All() {
		plan.requested[request.market()] += request.Count
		for range request.Count {
			plan.add(request.market())
		}
	}
	return plan
}

// countsAsCapacity reports whether a booting machine is likely to come up soon.
//
// Guard: booting machines in a zone that has become silent do not count. They may never
// come up, and must not prevent launches in other zones (TestScaleOut).
func (a *Autoscaler) countsAsCapacity(machine *bootingMachine, types map[string]model.MachineType, now time.Time) bool {
	if a.capacity.zoneSilent(machine.market.Pool.Zone) {
		return false
	}
	usual := types[machine.market.Pool.Type].Boot
	return now.Sub(machine.since) < lateBootFactor*usual+lateBootGrace
}

// add adds an empty machine of a market.
func (p *launchPlan) add(market Market) *launchingMachine {
	size := p.types[market.Pool.Type].Size
	machine := &launchingMachine{market: market, size: size, free: size}
	p.machines = append(p.machines, machine)
	return machine
}

// launch plans one more machine of a market.
func (p *launchPlan) launch(market Market) *launchingMachine {
	if p.planned[market] == 0 {
		p.markets = append(p.markets, market)
	}
	p.planned[market]++
	return p.add(market)
}

// assignTasks assigns a demand's tasks to the machines that may run them, and returns the
// number of tasks left.
func (p *launchPlan) assignTasks(demand placement.UnmetDemand, tasks int) (left int) {
	allowed := map[model.Pool]bool{}
	for _, pool := range demand.Pools {
		allowed[pool] = true
	}
	for _, machine := range p.machines {
		if allowed[machine.market.Pool] && spotAllowed(demand, machine.market.Spot) {
			tasks -= machine.fill(demand.Size, tasks)
		}
	}
	return tasks
}

// spotAllowed reports whether a demand's tasks may run on spot instances, if spot is true,
// or on on-demand machines otherwise.
func spotAllowed(demand placement.UnmetDemand, spot bool) bool {
	if spot {
		return demand.Spot
	}
	return !demand.SpotOnly
}

// fill assigns as many of the tasks of a size as fit, and returns their number.
func (m *launchingMachine) fill(size model.Size, tasks int) int {
	n := min(tasks, size.Slots(size.FreeFor(m.size, m.free)))
	m.free = m.free.Sub(size.Times(n))
	return n
}

// cheapest returns the available market with the lowest price of a machine per task of the
// demand that the machine can run. If zone is not empty, only markets of that zone are
// considered. Capacity beyond the demand's tasks does not count, so a small machine may be
// cheaper for few tasks.
func cheapest(demand placement.UnmetDemand, types map[string]model.MachineType, zone string, available func(Market) bool) (best Market, found bool) {
	bestCost := math.Inf(1)
	for market := range marketsFor(demand, types, zone) {
		if !available(market) {
			continue
		}
		machineType := types[market.Pool.Type]
		price, _ := marketPrice(machineType, market.Spot)
		slots := demand.Size.Slots(demand.Size.FreeFor(machineType.Size, machineType.Size))
		if cost := price / float64(min(slots, demand.Tasks)); cost < bestCost {
			best, bestCost, found = market, cost, true
		}
	}
	return best, found
}

// marketsFor returns the markets whose machines can run a task of a demand. If zone is not
// empty, only markets of that zone are returned.
func marketsFor(demand placement.UnmetDemand, types map[string]model.MachineType, zone string) iter.Seq[Market] {
	return func(yield func(Market) bool) {
		for _, pool := range demand.Pools {
			machineType := types[pool.Type]
			slots := demand.Size.Slots(demand.Size.FreeFor(machineType.Size, machineType.Size))
			if slots == 0 || (zone != "" && pool.Zone != zone) {
				continue
			}
			for _, spot := range []bool{false, true} {
				_, sold := marketPrice(machineType, spot)
				if sold && spotAllowed(demand, spot) && !yield(Market{Pool: pool, Spot: spot}) {
					return
				}
			}
		}
	}
}

// marketPrice returns a machine type's on-demand or spot price. Types without a spot price
// are not sold as spot instances.
func marketPrice(machineType model.MachineType, spot bool) (price float64, sold bool) {
	if spot {
		return machineType.SpotPrice, machineType.SpotPrice > 0
	}
	return machineType.Price, true
}
