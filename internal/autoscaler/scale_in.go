package autoscaler

import (
	"slices"
	"time"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/placement"
)

const (
	// maxTerminations is the maximum number of machines in one termination.
	maxTerminations = 100
	// bootGrace is added to the time after which a booting machine is terminated.
	bootGrace = 10 * time.Second
	// terminatedRetention is the minimum time that terminated machines are remembered. It
	// is far longer than the lag of the cloud's list.
	terminatedRetention = 2 * time.Minute
)

// CloudMachine is a machine in the cloud's list.
type CloudMachine struct {
	Name            string
	Pool            model.Pool
	Spot            bool
	Booting, Failed bool
	Age             time.Duration
}

// ReconcileList reconciles the booting machines with the cloud's list and returns the
// machines that the cloud lists as failed. Listed machines that were not launched in this
// term also count as booting until they send a heartbeat. A machine that is missing from
// the list may still exist, because the list lags.
//
// Guard: a listed machine may no longer exist either. Machines that were just terminated
// stay listed for a while; when they were counted as booting, they prevented launches of
// other machines (TestScaleIn).
func (a *Autoscaler) ReconcileList(machines []CloudMachine, known *model.Table[string, *placement.Machine], now time.Time) (failed []string) {
	a.forgetTerminated(machines, now)
	for _, machine := range machines {
		if machine.Failed {
			if !a.terminating[machine.Name] {
				failed = append(failed, machine.Name)
			}
			continue
		}
		if known.At(machine.Name) == nil && !a.terminatingOrTerminated(machine.Name) {
			a.markListed(machine, now)
		}
	}
	return failed
}

// markListed marks a booting machine as listed. It adds the machine if it is not known.
func (a *Autoscaler) markListed(machine CloudMachine, now time.Time) {
	booting := a.booting.At(machine.Name)
	if booting == nil {
		booting = &bootingMachine{
			market: Market{Pool: machine.Pool, Spot: machine.Spot},
			since:  now.Add(-machine.Age),
		}
		a.booting.Put(machine.Name, booting)
	}
	booting.listed = true
}

func (a *Autoscaler) terminatingOrTerminated(name string) bool {
	return a.terminating[name] || !a.terminated[name].IsZero()
}

// forgetTerminated forgets the terminated machines that the list no longer shows, after
// terminatedRetention.
func (a *Autoscaler) forgetTerminated(machines []CloudMachine, now time.Time) {
	listed := make(map[string]bool, len(machines))
	for _, machine := range machines {
		listed[machine.Name] = true
	}
	for name, at := range a.terminated {
		if !listed[name] && now.Sub(at) > terminatedRetention {
			delete(a.terminated, name)
		}
	}
}

// MarkTerminating marks machines as terminating, up to maxTerminations, and returns those
// that were not marked before.
func (a *Autoscaler) MarkTerminating(names []string) []string {
	var marked []string
	for _, name := range names {
		marked = a.markTerminating(marked, name)
	}
	return marked
}

// markTerminating marks a machine as terminating and appends it to marked, unless it is
// terminating already or maxTerminations are marked.
func (a *Autoscaler) markTerminating(marked []string, name string) []string {
	if a.terminating[name] || len(marked) >= maxTerminations {
		return marked
	}
	a.terminating[name] = true
	return append(marked, name)
}

// TerminateDone handles the outcome of a termination; ok means that the machines no longer
// exist.
func (a *Autoscaler) TerminateDone(names []string, ok bool, now time.Time) {
	for _, name := range names {
		delete(a.terminating, name)
		if ok {
			a.booting.Delete(name)
			a.terminated[name] = now
		}
	}
}

// scaleIn marks the machines to terminate and returns their names in order: machines that
// did not boot, whose lease expired long ago, that are cordoned or drained and empty, or
// that are idle. The last two kinds are terminated only when the takeover is complete,
// because the takeover may discover tasks on them.
func (a *Autoscaler) scaleIn(
	now time.Time,
	machines *model.Table[string, *placement.Machine],
	types map[string]model.MachineType,
	takeoverComplete bool,
) []string {
	var names []string
	for name, machine := range a.booting.All() {
		if a.bootFailed(machine, types, now) {
			names = a.markTerminating(names, name)
		}
	}
	for name, machine := range machines.All() {
		switch {
		case a.unreachableTooLong(machine, now):
			names = a.markTerminating(names, name)
		case !takeoverComplete || machine.Phase != placement.Current || machine.Busy():
		case machine.KeptByDrain(), machine.HeldForPendingGang(now):
		case machine.Cordoned, machine.Drained():
			names = a.markTerminating(names, name)
		case a.idleTooLong(machine, now):
			if !machine.EverUsed && !a.terminating[name] {
				a.thrash.scaledIn(Market{Pool: machine.Pool, Spot: machine.Spot}, now)
			}
			names = a.markTerminating(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// bootFailed reports whether a machine has been booting for far longer than usual.
func (a *Autoscaler) bootFailed(machine *bootingMachine, types map[string]model.MachineType, now time.Time) bool {
	usual := types[machine.market.Pool.Type].Boot
	return now.Sub(machine.since) > time.Duration(a.options.BootFactor*float64(usual))+bootGrace
}

// unreachableTooLong reports whether a machine whose lease expired, or that never came up,
// has been unreachable for longer than SilentWait.
//
// Guard: the time counts from the first expiry. The lease of a machine that can send
// heartbeats but receives nothing expires again and again. When the time was counted from
// the last expiry, such a machine was kept forever.
func (a *Autoscaler) unreachableTooLong(machine *placement.Machine, now time.Time) bool {
	if machine.FirstExpired.IsZero() || now.Sub(machine.FirstExpired) <= a.options.SilentWait {
		return false
	}
	return machine.Phase == placement.Expired || machine.Phase == placement.Joining && !machine.Recorded
}

// idleTooLong reports whether a machine without tasks is no longer needed.
func (a *Autoscaler) idleTooLong(machine *placement.Machine, now time.Time) bool {
	return !machine.HoldsHeadroom() &&
		now.Sub(machine.IdleSince) > a.options.Idle &&
		now.Sub(machine.FirstSeen) > a.options.Keep
}
