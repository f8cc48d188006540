package controller

import (
	"slices"
	"sort"
	"time"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/peers/peerspb"
)

const (
	// recentStart is how long a process counts as having just started. Its peers may have ended together
	// with its previous process.
	recentStart = 10 * time.Second
	// peerStartWait is how long a leader that has just started waits for its peers before it
	// assigns owners without them.
	peerStartWait = 2 * time.Second
	// lostOwnerWait is the minimum time from an assignment to another one that is due to a lost owner.
	lostOwnerWait = 3 * time.Second
	// assignmentWait is the minimum time from an assignment to another one that is due to an owner which
	// receives no heartbeats from its machines, or to a start whose outcome is unknown.
	assignmentWait = 2 * time.Second
	// renewalInterval is the minimum time between two requests for a fresh token.
	renewalInterval = time.Second
)

// ownership decides when the machine pools are assigned to the controllers again. Each pool is owned by one
// controller, which receives the heartbeats of the pool's machines and delivers the leader's orders to them.
// The scheduler holds the assignment itself.
type ownership struct {
	assignedAt         time.Time         // when owners were last assigned; zero if not yet in this term
	assignDeadline     time.Time         // until when the first assignment waits for controllers that do not answer
	reachability       ownerReachability // whether the pools' machines reach their owners
	renewalRequestedAt time.Time         // when a fresh token was requested; zero if none is awaited
}

// assignInitialOwners assigns the pools for the first time in a term, as soon as every controller answers or
// the deadline has passed.
//
// Guard: after all controllers ended together, the first one back became leader and owned every pool, because
// its peers answered a quarter of a second later, and no controller is given pools back before owner-back. At
// 2500 machines the single owner handled too few heartbeats in time, and a tenth of the tasks died with their
// leases (TestInitialOwnersWaitForPeers).
func (t *leaderTerm) assignInitialOwners(now time.Time) {
	allLive := true
	for _, peer := range t.ctrl.peers {
		allLive = allLive && peer.live(now)
	}
	if allLive || !now.Before(t.assignDeadline) {
		t.assignOwners(now)
		t.rounds.next = now
	}
}

// assignOwners assigns each pool to a live controller: to one in the pool's zone if there is any, else to the
// live controllers in turn. A controller that the pool's machines cannot reach is skipped if there is another.
func (t *leaderTerm) assignOwners(now time.Time) {
	live := t.livePeers(now)
	pools := t.allPools()
	var owners []*peerspb.KindOwner
	next := 0
	for _, pool := range pools {
		candidates := slices.DeleteFunc(slices.Clone(live), func(peer *peerProgress) bool {
			return !t.reachability.mayOwn(peer.member, pool)
		})
		if len(candidates) == 0 {
			candidates = live
		}
		i := slices.IndexFunc(candidates, func(peer *peerProgress) bool { return peer.zone == pool.Zone })
		if i < 0 {
			i = next % len(candidates)
			next++
		}
		owners = append(owners, &peerspb.KindOwner{Kind: &peerspb.Kind{Type: pool.Type, Zone: pool.Zone}, Member: candidates[i].member})
	}
	t.scheduler.SetOwners(now, owners)
	t.assignedAt = now
	t.ctrl.log.Info("pool owners assigned", "kinds", len(pools), "live", len(live))
}

// livePeers returns the live controllers, sorted by name.
func (t *leaderTerm) livePeers(now time.Time) []*peerProgress {
	var live []*peerProgress
	for _, peer := range t.ctrl.peers {
		if peer.live(now) {
			live = append(live, peer)
		}
	}
	sort.Slice(live, func(i, k int) bool { return live[i].member < live[k].member })
	return live
}

// allPools returns the pools of the known machine types, sorted by zone and type.
func (t *leaderTerm) allPools() []model.Pool {
	var pools []model.Pool
	for _, machineType := range t.ctrl.knownTypes() {
		for _, zone := range machineType.Zones {
			pools = append(pools, model.Pool{Type: machineType.Name, Zone: zone})
		}
	}
	sort.Slice(pools, func(i, k int) bool {
		return pools[i].Zone < pools[k].Zone || (pools[i].Zone == pools[k].Zone && pools[i].Type < pools[k].Type)
	})
	return pools
}

// watchOwners requests a fresh token when an owner is lost, has restarted, is back or is unreachable, or when an
// order must be invalidated. Orders under the old token are then rejected, even those still on their way.
func (t *leaderTerm) watchOwners(now time.Time) {
	if !t.loaded || t.assignedAt.IsZero() || t.awaitsRenewal(now) {
		return
	}
	reason := t.changedOwner(now)
	late := 2*t.ctrl.cfg.ReportEvery + time.Second
	t.reachability.observe(now, t.scheduler.Owners(), t.scheduler.SilentPools(now, late), t.unreachableSpan())
	if now.Sub(t.assignedAt) > assignmentWait {
		if unreachable := t.markUnreachableOwners(now, late); unreachable != "" {
			reason = unreachable
		}
		if reason == "" {
			reason = t.unwantedStart()
		}
	}
	if reason != "" {
		t.requestRenewal(now, reason)
	}
}

// awaitsRenewal reports whether a fresh token was requested within the last renewalInterval.
func (t *leaderTerm) awaitsRenewal(now time.Time) bool {
	return !t.renewalRequestedAt.IsZero() && now.Sub(t.renewalRequestedAt) < renewalInterval
}

// changedOwner returns the reason for a fresh token that the first changed controller gives: it is an owner that is
// lost or has restarted, or it is no owner and is back. It returns "" if there is no such controller.
func (t *leaderTerm) changedOwner(now time.Time) string {
	owns := map[string]bool{}
	for _, member := range t.scheduler.Owners() {
		owns[member] = true
	}
	for _, peer := range t.ctrl.peers {
		switch {
		case owns[peer.member] && t.isDown(peer, now):
			return "owner lost: " + peer.member
		case owns[peer.member] && peer.restarted:
			return "owner restarted: " + peer.member
		case !owns[peer.member] && t.isBack(peer, now):
			return "owner back: " + peer.member
		}
	}
	return ""
}

// isDown reports whether a controller no longer answers, its delegated lease has expired, and lostOwnerWait has
// passed since the last assignment.
func (t *leaderTerm) isDown(peer *peerProgress, now time.Time) bool {
	return !peer.live(now) && now.After(peer.leaseEnd) && now.Sub(t.assignedAt) > lostOwnerWait
}

// isBack reports whether a controller has answered for long enough to be given pools again.
func (t *leaderTerm) isBack(peer *peerProgress, now time.Time) bool {
	ownerBack := t.ctrl.settings.Placement.OwnerBack
	return peer.live(now) && !t.reachability.isUnreachable(peer.member) && t.scheduler.Complete() &&
		now.Sub(peer.answeringSince) > ownerBack && now.Sub(t.assignedAt) > ownerBack
}

// markUnreachableOwners marks owners that the machines of a pool cannot reach, so that they are skipped for this
// pool and for their other silent pools, which would otherwise follow soon. It returns the reason for a fresh token,
// which names one such owner, or "" if no pool can move.
//
// Guard: an owner that only the workers cannot reach still answers the leader. Without the mark, its machines'
// tasks ended with their leases although another controller could have kept them alive.
func (t *leaderTerm) markUnreachableOwners(now time.Time, late time.Duration) (reason string) {
	for _, pool := range t.scheduler.UnreachablePools(now, late) {
		owner := t.scheduler.Owners()[pool]
		t.reachability.markUnreachable(now, owner, pool)
		if t.anyMayOwn(pool, now) {
			reason = "owner hears nothing from " + pool.Type + " in " + pool.Zone + ": " + owner
		}
	}
	return reason
}

// anyMayOwn reports whether there is a live controller that may own a pool. Without one, a fresh token would leave
// the pool where it is, and repeated fresh tokens would keep every machine's lease from expiring under any of them.
func (t *leaderTerm) anyMayOwn(pool model.Pool, now time.Time) bool {
	return slices.ContainsFunc(t.livePeers(now), func(peer *peerProgress) bool {
		return t.reachability.mayOwn(peer.member, pool)
	})
}

// unreachableSpan returns how long a controller that was unreachable for a pool is not given the pool again.
//
// Guard: the result is never shorter than a machine's lease. If the pool were given back sooner, each time under a
// fresh token, the lease of a machine that has ended would never expire under any of these tokens.
func (t *leaderTerm) unreachableSpan() time.Duration {
	return max(t.ctrl.settings.Placement.OwnerBack, withClockDrift(t.ctrl.cfg.Lease)+t.ctrl.timing.Margin)
}

// unwantedStart returns the reason for a fresh token if a start that is no longer wanted may still be executed on
// a machine, else "". A fresh token invalidates the start.
func (t *leaderTerm) unwantedStart() string {
	for _, machine := range t.scheduler.UnreconciledMachines() {
		if machine.StartOutcomeUnknown {
			return "unwanted start may come late: " + machine.Name
		}
	}
	return ""
}

// requestRenewal requests a fresh token.
func (t *leaderTerm) requestRenewal(now time.Time, reason string) {
	t.renewalRequestedAt = now
	if actions := t.ctrl.elector.RenewToken(now); len(actions) > 0 {
		t.ctrl.log.Info("fresh token wanted", "why", reason)
		t.ctrl.performActions(actions)
	}
}

// otherMembers returns the names of all live controllers except one.
func (t *leaderTerm) otherMembers(member string, now time.Time) (members []string) {
	for _, peer := range t.ctrl.peers {
		if peer.member != member && peer.live(now) {
			members = append(members, peer.member)
		}
	}
	return members
}
