package autoscaler

import (
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

// Booting returns the number of launched machines that have not sent a heartbeat yet.
func (a *Autoscaler) Booting() int { return a.booting.Len() }

// BootingIn returns the number of booting machines of a pool, and when the first of them
// should be up according to its usual boot time.
func (a *Autoscaler) BootingIn(pool model.Pool, types map[string]model.MachineType) (n int, due time.Time) {
	for _, machine := range a.booting.All() {
		if machine.market.Pool != pool {
			continue
		}
		n++
		if at := machine.since.Add(types[pool.Type].Boot); due.IsZero() || at.Before(due) {
			due = at
		}
	}
	return n, due
}

// CanLaunch reports whether more machines of a market may be requested according to the
// capacity estimate.
func (a *Autoscaler) CanLaunch(pool model.Pool, spot bool, now time.Time) bool {
	market := Market{Pool: pool, Spot: spot}
	return a.capacity.available(market, a.requestedMachines(market), now) > 0
}

// RefusedUntil returns the time until which no more machines of a market are requested
// because the cloud launched fewer than requested or the zone is silent.
func (a *Autoscaler) RefusedUntil(pool model.Pool, spot bool, now time.Time) (until time.Time, refused bool) {
	at := a.capacity.refused[Market{Pool: pool, Spot: spot}].at
	if lastSilent, ok := a.capacity.silentZones[pool.Zone]; ok && lastSilent.After(at) {
		at = lastSilent
	}
	until = at.Add(a.options.RefusedWait)
	return until, !at.IsZero() && now.Before(until) && !a.CanLaunch(pool, spot, now)
}

// Thrash returns the counts since the term began.
func (a *Autoscaler) Thrash() Thrash { return a.thrash.count }
