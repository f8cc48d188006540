package placement

import (
	"sort"
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

// misdirectedHeartbeats is what a machine's heartbeats to controllers that don't own its pool show.
type misdirectedHeartbeats struct {
	misdirectedAt     time.Time // the last one
	misdirectedTo     string    // the controller that got it
	cyclesControllers bool      // it tries one controller after the other, as a machine does that gets no responses
	followsRedirects  bool      // the last ones show that it goes where responses redirect it
}

// recordMisdirected records a heartbeat to a controller. It reports whether the machine now counts as cycling
// through the controllers.
func (h *misdirectedHeartbeats) recordMisdirected(member string, now time.Time) (cycling bool) {
	gap := now.Sub(h.misdirectedAt)
	sameController := member == h.misdirectedTo
	h.followsRedirects = sameController && gap > minReturnGap && gap < maxReturnGap || !sameController && gap <= minCycleGap
	if gap < maxCycleGap {
		h.cyclesControllers = !sameController && gap > minCycleGap
		cycling = h.cyclesControllers
	}
	h.misdirectedAt, h.misdirectedTo = now, member
	return cycling
}

// A machine that gets no responses comes to the next controller this long after the last, give
// or take what a heartbeat takes to be reported; a longer gap says nothing. One that is redirected to an owner
// which it cannot reach is back at the same controller after four seconds there and one more; when
// its agent epoch ends it reports to the same again at once, whether it gets responses or not.
const (
	minCycleGap  = 3500 * time.Millisecond
	maxCycleGap  = 12 * time.Second
	minReturnGap = 4500 * time.Millisecond
	maxReturnGap = 8 * time.Second
)

// misdirectedWindow is how long a misdirected heartbeat counts.
const misdirectedWindow = 4 * time.Second

// MisdirectedHeartbeat records that a machine sent a heartbeat to a controller that does not own its pool.
//
// Guard: an agent waits four seconds for a response, and goes on to the next controller a second
// later. One that no response reaches comes to each in turn: its owner, too, gets its heartbeat only now and
// then, and was taken for an owner that gets none, over and over, whichever controller was the next owner.
// An agent that gets a response comes back to the same controller, or follows the redirect at once.
func (cs *ClusterState) MisdirectedHeartbeat(name, member string, now time.Time) {
	machine := cs.machines.At(name)
	if machine == nil || cs.owners[machine.Pool] == member {
		return
	}
	if machine.recordMisdirected(member, now) {
		cs.misdirected[name] = machine
	}
}

// expireMisdirected forgets the machines that have sent no misdirected heartbeat for so long that they stay
// with their owner again.
func (cs *ClusterState) expireMisdirected(now time.Time) {
	for name, machine := range cs.misdirected {
		if now.Sub(machine.misdirectedAt) > maxCycleGap {
			machine.cyclesControllers = false
			cs.capacityEvents++
		}
		if !machine.cyclesControllers || cs.machines.At(name) != machine {
			delete(cs.misdirected, name)
		}
	}
}

// silentSince reports whether a machine's owner has got no heartbeat of it since a time.
func (m *Machine) silentSince(since time.Time) bool {
	return m.MissedHeartbeats || m.Phase == ExpiryReported || m.Phase == Expired ||
		(m.Phase == Unseen || m.Phase == Joining) && m.PhaseSince.Before(since)
}

// SilentPools reports, for each pool with a silent machine, whether its owner has got no heartbeat for longer
// than late from at least half of the machines that may be alive.
func (cs *ClusterState) SilentPools(now time.Time, late time.Duration) map[model.Pool]bool {
	silent, ended := map[model.Pool]int{}, map[model.Pool]int{}
	for _, machine := range cs.unreconciled {
		switch {
		case machine.hasEnded(now):
			ended[machine.Pool]++
		case machine.silentSince(now.Add(-late)):
			silent[machine.Pool]++
		}
	}
	out := map[model.Pool]bool{}
	for pool, n := range silent {
		out[pool] = 2*n >= cs.machinesInPool[pool]-ended[pool]
	}
	return out
}

// hasEnded tells that a machine's lease has expired, as far as its owner knows, and that it reports to no other
// controller either: it is no sign against its owner.
func (m *Machine) hasEnded(now time.Time) bool {
	return (m.Phase == ExpiryReported || m.Phase == Expired) && now.Sub(m.misdirectedAt) >= misdirectedWindow
}

// UnreachablePools lists the pools of which the owner has got no heartbeats for longer than late from a third
// of the machines, while these report to other controllers: they work, and cannot reach it.
func (cs *ClusterState) UnreachablePools(now time.Time, late time.Duration) (out []model.Pool) {
	misdirected := map[model.Pool]int{}
	for _, machine := range cs.unreconciled {
		// Guard: a machine that gets no responses does not show a fresh token, whoever owns it.
		// Without this its pool went from one owner to the next, each under another token,
		// and no lease had ever surely expired under a token that young (simtest, seed 210000006).
		reachable := machine.currentToken == cs.token || machine.followsRedirects
		if machine.silentSince(now.Add(-late)) && !machine.cyclesControllers && reachable && now.Sub(machine.misdirectedAt) < misdirectedWindow {
			misdirected[machine.Pool]++
		}
	}
	for pool, n := range misdirected {
		if 3*n >= cs.machinesInPool[pool] {
			out = append(out, pool)
		}
	}
	sort.Slice(out, func(i, pool int) bool {
		return out[i].Zone < out[pool].Zone || (out[i].Zone == out[pool].Zone && out[i].Type < out[pool].Type)
	})
	return out
}
