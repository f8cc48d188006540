package placement

import (
	"sort"
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

// misdirectedHeartbeats represents what a machine's heartbeats to controllers that do not own its pool show.
type misdirectedHeartbeats struct {
	misdirectedAt     time.Time // when the last one was reported
	misdirectedTo     string    // the controller that received the last one
	cyclesControllers bool      // it tries one controller after the other, like a machine that gets no responses
	followsRedirects  bool      // the last ones show that it follows redirects in responses
}

// recordMisdirected records a heartbeat to a controller that does not own the machine's pool. It reports whether the
// heartbeat shows that the machine cycles through the controllers.
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

// Gaps between two misdirected heartbeats of a machine. A machine that gets no responses sends its next heartbeat to
// another controller after minCycleGap to maxCycleGap, which allows for the time until a heartbeat is reported; a longer
// gap shows nothing. A machine that is redirected to an owner which it cannot reach waits four seconds for the owner and
// one more, and then returns to the same controller, after minReturnGap to maxReturnGap. When its agent epoch ends, a
// machine reports to the same controller again immediately, whether it gets responses or not.
const (
	minCycleGap  = 3500 * time.Millisecond
	maxCycleGap  = 12 * time.Second
	minReturnGap = 4500 * time.Millisecond
	maxReturnGap = 8 * time.Second
)

// misdirectedWindow is how long a misdirected heartbeat counts as evidence.
const misdirectedWindow = 4 * time.Second

// MisdirectedHeartbeat records that a machine sent a heartbeat to a controller that does not own its pool.
//
// Guard: an agent waits four seconds for a response, and tries the next controller a second later. An agent that gets
// no responses tries all controllers in turn, so its owner also gets its heartbeat only now and then. That owner
// counted as one that gets no heartbeats, again and again, whichever controller became the next owner. An agent that
// gets a response returns to the same controller, or follows the redirect immediately.
func (cs *ClusterState) MisdirectedHeartbeat(name, member string, now time.Time) {
	machine := cs.machines.At(name)
	if machine == nil || cs.owners[machine.Pool] == member {
		return
	}
	if machine.recordMisdirected(member, now) {
		cs.misdirected[name] = machine
	}
}

// expireMisdirected stops counting machines as cycling through the controllers once they have sent no misdirected
// heartbeat for longer than maxCycleGap.
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

// silentSince reports whether a machine's owner has received no heartbeat from it since a time.
func (m *Machine) silentSince(since time.Time) bool {
	return m.MissedHeartbeats || m.Phase == ExpiryReported || m.Phase == Expired ||
		(m.Phase == Unseen || m.Phase == Joining) && m.PhaseSince.Before(since)
}

// SilentPools reports, for each pool with a silent machine, whether its owner has received no heartbeat for longer than
// late from at least half of the pool's machines that may be alive.
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

// hasEnded reports whether a machine's lease has expired according to its owner, and the machine sends no heartbeats to
// other controllers either. Such a machine is no evidence against its owner.
func (m *Machine) hasEnded(now time.Time) bool {
	return (m.Phase == ExpiryReported || m.Phase == Expired) && now.Sub(m.misdirectedAt) >= misdirectedWindow
}

// UnreachablePools returns the pools whose owner has received no heartbeats for longer than late from at least a third
// of the machines, while these machines send heartbeats to other controllers: they are alive but cannot reach the owner.
func (cs *ClusterState) UnreachablePools(now time.Time, late time.Duration) (out []model.Pool) {
	misdirected := map[model.Pool]int{}
	for _, machine := range cs.unreconciled {
		// Guard: a machine that gets no responses does not show a fresh token, whichever controller owns its pool. Without
		// this condition, its pool went from one owner to the next, each time under another token, and under a token that
		// young no lease can be known to have expired (simtest, seed 210000006).
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
	sort.Slice(out, func(i, k int) bool {
		return out[i].Zone < out[k].Zone || (out[i].Zone == out[k].Zone && out[i].Type < out[k].Type)
	})
	return out
}
