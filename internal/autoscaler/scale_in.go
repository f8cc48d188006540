package autoscaler

import (
	"slices"
	"time"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/placement"
)

const (
	// maxTerminations bounds the machines that are terminated at once.
	maxTerminations = 100
	// bootGrace is added to the time after which a booting machine is given up.
	bootGrace = 10 * time.Second
	// terminatedMemory is how long terminated machines are remembered: far longer than
	// the cloud's list lags.
	terminatedMemory = 2 * time.Minute
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
// machines that the cloud calls failed. Listed machines that were not launched in this
// term are watched like the others until they send a heartbeat. Absence from the list
// proves nothing, for the list lags.
//
// Guard: presence in the list proves nothing either. Machines that were just terminated
// are listed for a while; counted as booting, they kept others from being launched
// (TestScaleIn).
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
			a.bootingListed(machine, now)
		}
	}
	return failed
}

// bootingListed marks a booting machine as listed, and adds one that is not known.
func (a *Autoscaler) bootingListed(machine CloudMachine, now time.Time) {
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

// forgetTerminated forgets the terminated machines that no list can show any more.
func (a *Autoscaler) forgetTerminated(machines []CloudMachine, now time.Time) {
	listed := make(map[string]bool, len(machines))
	for _, machine := range machines {
		listed[machine.Name] = true
	}
	for name, at := range a.terminated {
		if !listed[name] && now.Sub(at) > terminatedMemory {
			delete(a.terminated, name)
		}
	}
}

// MarkTerminating marks machines as terminating and returns those that were not so
// before.
func (a *Autoscaler) MarkTerminating(names []string) []string {
	var marked []string
	for _, name := range names {
		marked = a.markTerminating(marked, name)
	}
	return marked
}

// markTerminating marks a machine as terminating and appends it to marked, unless it is
// terminating already or there are too many at once.
func (a *Autoscaler) markTerminating(marked []string, name string) []string {
	if a.terminating[name] || len(marked) >= maxTerminations {
		return marked
	}
	a.terminating[name] = true
	return append(marked, name)
}

// TerminateDone reports the outcome of a termination; with ok the machines are gone.
func (a *Autoscaler) TerminateDone(names []string, ok bool, now time.Time) {
	for _, name := range names {
		delete(a.terminating, name)
		if ok {
			a.booting.Delete(name)
			a.terminated[name] = now
		}
	}
}

// scaleIn marks the machines to terminate and returns them in order: those that did not
// boot, whose lease expired long ago, that are cordoned or drained and empty, or that
// are idle. The latter two are terminated only when the takeover is complete, for it may
// show tasks on them.
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

// bootFailed tells that a machine has taken far longer to boot than usual.
func (a *Autoscaler) bootFailed(machine *bootingMachine, types map[string]model.MachineType, now time.Time) bool {
	usual := types[machine.market.Pool.Type].Boot
	return now.Sub(machine.since) > time.Duration(a.options.BootFactor*float64(usual))+bootGrace
}

// unreachableTooLong tells that a machine's lease expired, or that it never came up, too long ago.
//
// Guard: the time counts from the first expiry. A machine that can send heartbeats but
// receives nothing has its lease expire over and over: counted from the last expiry, it
// was kept for ever.
func (a *Autoscaler) unreachableTooLong(machine *placement.Machine, now time.Time) bool {
	if machine.FirstExpired.IsZero() || now.Sub(machine.FirstExpired) <= a.options.SilentWait {
		return false
	}
	return machine.Phase == placement.Expired || machine.Phase == placement.Joining && !machine.Recorded
}

// idleTooLong tells that a machine without tasks is not needed any more.
func (a *Autoscaler) idleTooLong(machine *placement.Machine, now time.Time) bool {
	return !machine.HoldsHeadroom() &&
		now.Sub(machine.IdleSince) > a.options.Idle &&
		now.Sub(machine.FirstSeen) > a.options.Keep
}
