package autoscaler

import (
	"time"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/placement"
)

// minSilentMachines is the minimum number of known machines that a zone needs to be found silent. It also limits
// launches in a zone in which no machine is known to be up.
const minSilentMachines = 3

// capacityModel estimates the cloud's capacity, which the cloud does not publish. A refusal
// reveals the capacity of a market; terminated machines become available again.
type capacityModel struct {
	retryWait   time.Duration // wait before a single machine is requested beyond the estimate
	held        map[Market]int
	heldByZone  map[string]int
	refused     map[Market]refusal
	silentZones map[string]time.Time // when the zone was last found silent, or when a launch was last requested there
	zonesSeenUp map[string]bool      // zones in which a machine was up in this term
}

// refusal describes the last time that a market launched fewer machines than requested.
type refusal struct {
	at   time.Time
	held int // machines held in the market at that time: its capacity
}

func newCapacityModel(retryWait time.Duration) capacityModel {
	return capacityModel{
		retryWait:   retryWait,
		held:        map[Market]int{},
		heldByZone:  map[string]int{},
		refused:     map[Market]refusal{},
		silentZones: map[string]time.Time{},
		zonesSeenUp: map[string]bool{},
	}
}

// update counts the existing machines and detects silent zones. A zone is silent if most
// of its machines send no heartbeats, so it is partitioned or down.
//
// Guard: without the detection, replacements for the machines lost with a zone were
// launched in the same zone. They stayed booting forever, which prevented launches in other
// zones (TestSilentZoneDetection).
//
// Guard: a machine that sends no heartbeats and that the cloud has never listed is not
// counted. Heartbeats delayed by a partition make terminated machines known again. Three
// of them made a zone appear silent for more than a minute, during which nothing was
// launched there (seed 31030852; TestSilentZoneDetection).
func (c *capacityModel) update(
	machines *model.Table[string, *placement.Machine],
	booting *model.Table[string, *bootingMachine],
	now time.Time,
) {
	clear(c.held)
	knownByZone, upByZone := map[string]int{}, map[string]int{}
	for _, machine := range machines.All() {
		isUp := machine.Phase == placement.Current && !machine.MissedHeartbeats
		if !isUp && !machine.Listed {
			continue
		}
		c.held[Market{Pool: machine.Pool, Spot: machine.Spot}]++
		knownByZone[machine.Pool.Zone]++
		if isUp {
			upByZone[machine.Pool.Zone]++
		}
	}
	for name, machine := range booting.All() {
		if machines.At(name) == nil {
			c.held[machine.market]++
		}
	}
	clear(c.heldByZone)
	for market, n := range c.held {
		c.heldByZone[market.Pool.Zone] += n
	}
	c.updateSilentZones(knownByZone, upByZone, now)
}

// updateSilentZones updates the silent zones from the number of known machines and of
// machines that are up in each zone. A zone without known machines keeps its state.
func (c *capacityModel) updateSilentZones(known, up map[string]int, now time.Time) {
	for zone, n := range known {
		switch {
		case n >= minSilentMachines && 2*up[zone] < n:
			c.silentZones[zone] = now
		case up[zone] > 0:
			delete(c.silentZones, zone)
			c.zonesSeenUp[zone] = true
		}
	}
}

// zoneSilent reports whether most machines of a zone were found silent and the zone has not
// recovered since.
func (c *capacityModel) zoneSilent(zone string) bool {
	_, silent := c.silentZones[zone]
	return silent
}

// launched records how many machines a launch request was granted.
func (c *capacityModel) launched(market Market, granted, requested int, now time.Time) {
	c.held[market] += granted
	if refused, ok := c.refused[market]; granted < requested {
		c.refused[market] = refusal{at: now, held: c.held[market]}
	} else if ok && c.held[market] > refused.held {
		delete(c.refused, market) // the capacity is higher than estimated
	}
}

// available returns how many more machines of a market may be requested while inFlight
// machines are requested already. If the estimate allows none, it returns 1 once retryWait
// has passed and nothing is in flight, as a probe. In a zone for which zoneNeverUp is true,
// it returns 0 once the machines held there and inFlight add up to minSilentMachines.
func (c *capacityModel) available(market Market, inFlight int, now time.Time) int {
	probe := 0
	if inFlight == 0 {
		probe = 1
	}
	if lastSilent, silent := c.silentZones[market.Pool.Zone]; silent {
		if now.Sub(lastSilent) < c.retryWait {
			return 0
		}
		return probe
	}
	neverUp := c.zoneNeverUp(market.Pool.Zone)
	if neverUp && c.heldByZone[market.Pool.Zone]+inFlight >= minSilentMachines {
		return 0
	}
	refused, ok := c.refused[market]
	if !ok {
		if neverUp {
			return minSilentMachines - inFlight
		}
		return MaxLaunchCount - inFlight
	}
	if n := refused.held - c.held[market] - inFlight; n > 0 {
		return min(n, MaxLaunchCount)
	}
	if now.Sub(refused.at) < c.retryWait {
		return 0
	}
	return probe
}

// zoneNeverUp reports whether no machine of a zone was up in this term, although machines
// of other zones were.
//
// Guard: a new leader that finds no machines in a zone does not know whether the zone is
// partitioned. Without this check, a leader launched dozens of machines there. They stayed
// booting forever, and no machines were launched in other zones. Only a few are launched
// first, unless no zone has had a machine that was up (TestScaleOut).
func (c *capacityModel) zoneNeverUp(zone string) bool {
	return len(c.zonesSeenUp) > 0 && !c.zonesSeenUp[zone]
}

// requested records a launch request. In a silent zone the request is a probe, and
// retryWait starts again.
func (c *capacityModel) requested(market Market, now time.Time) {
	if c.zoneSilent(market.Pool.Zone) {
		c.silentZones[market.Pool.Zone] = now
	}
}
