package controller

import (
	"slices"
	"sort"
	"time"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/peers/peerspb"
)

const (
	// recentStart is for how long a process counts as having just started: its peers may have
	// ended with it.
	recentStart = 10 * time.Second
	// peerStartWait is how long a leader that has just started waits for its peers before it
	// assigns owners without them.
	peerStartWait = 2 * time.Second
	// lostOwnerWait is how long after an assignment a lost owner may lead to another one.
	lostOwnerWait = 3 * time.Second
	// assignmentWait is the same for owners that hear nothing from their machines, and for starts
	// whose outcome is unknown.
	assignmentWait = 2 * time.Second
	// renewalInterval is the least time between two requests for a fresh token.
	renewalInterval = time.Second
)

// ownership is how the machine pools are divided among the controllers: each pool is owned by one,
// which receives the heartbeats of the pool's machines and delivers the leader's orders to them. The
// assignment itself is the scheduler's; this is what decides when it is made again.
type ownership struct {
	assignedAt         time.Time         // owners were last assigned; zero: not yet in this term
	assignDeadline     time.Time         // controllers that do not answer are waited for until then
	reachability       ownerReachability // whether the pools' machines reach their owners
	renewalRequestedAt time.Time         // a fresh token was requested; zero: none is awaited
}

// assignInitialOwners assigns the owners of a term for the first time, as soon as every controller
// answers or the deadline has passed.
//
// Guard: after all controllers ended together, the first one back became leader and owned
// every pool, for its peers answered a quarter of a second later, and none is given
// pools back before owner-back. At 2500 machines one controller heard too few of them in
// time: a tenth of the tasks died with their leases (TestOwnersAwaitSiblings).
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

// assignOwners assigns each pool to a live controller: to one in the pool's zone if there is any,
// else to all of them in turn. A controller that cannot reach a pool's machines is passed over while
// there is another.
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
	t.ctrl.log.Info("owners", "kinds", len(pools), "live", len(live))
}

// livePeers lists the controllers that answer, in the order of their names.
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

// allPools lists the pools of the known machine types, by zone and type.
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

// watchOwners requests a fresh token when an owner is lost, restarted or back, or when an order
// must be voided: orders under the old token are then void wherever they travel.
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
			reason = t.lateStart()
		}
	}
	if reason != "" {
		t.requestRenewal(now, reason)
	}
}

// awaitsRenewal tells whether a fresh token was requested a moment ago.
func (t *leaderTerm) awaitsRenewal(now time.Time) bool {
	return !t.renewalRequestedAt.IsZero() && now.Sub(t.renewalRequestedAt) < renewalInterval
}

// changedOwner names the first controller that is an owner and lost or restarted, or no owner
// and back, and says which; empty: there is none.
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

// isDown tells whether a controller answers no more and its lease has expired.
func (t *leaderTerm) isDown(peer *peerProgress, now time.Time) bool {
	return !peer.live(now) && now.After(peer.leaseEnd) && now.Sub(t.assignedAt) > lostOwnerWait
}

// isBack tells whether a controller has answered for long enough to be given pools again.
func (t *leaderTerm) isBack(peer *peerProgress, now time.Time) bool {
	ownerBack := t.ctrl.settings.Placement.OwnerBack
	return peer.live(now) && !t.reachability.isUnreachable(peer.member) && t.scheduler.Complete() &&
		now.Sub(peer.answeringSince) > ownerBack && now.Sub(t.assignedAt) > ownerBack
}

// markUnreachableOwners has owners that do not hear the machines of a pool passed over for it, and
// for their other pools that are silent and would follow soon. It names one such owner; empty: there is none.
//
// Guard: an owner that only the workers cannot reach still answers the
// leader. Its machines' tasks ended with their leases although another
// controller could have kept them alive.
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

// anyMayOwn tells whether there is a controller that a pool can move to. Without one a fresh token would leave it
// where it is, and no machine's lease would ever run out under a token that young.
func (t *leaderTerm) anyMayOwn(pool model.Pool, now time.Time) bool {
	return slices.ContainsFunc(t.livePeers(now), func(peer *peerProgress) bool {
		return t.reachability.mayOwn(peer.member, pool)
	})
}

// unreachableSpan is how long a controller that a pool's machines did not reach is not given the pool again.
//
// Guard: that is never shorter than a machine's lease. Given back sooner, each time under a fresh token, no lease of a
// machine that has ended would ever have run out under a token that young.
func (t *leaderTerm) unreachableSpan() time.Duration {
	return max(t.ctrl.settings.Placement.OwnerBack, withClockDrift(t.ctrl.cfg.Lease)+t.ctrl.timing.Margin)
}

// lateStart names a machine on which a start that is no longer wanted may still be executed;
// empty: there is none. A fresh token voids the start.
func (t *leaderTerm) lateStart() string {
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

// otherMembers names the controllers that answer, besides one.
func (t *leaderTerm) otherMembers(member string, now time.Time) (members []string) {
	for _, peer := range t.ctrl.peers {
		if peer.member != member && peer.live(now) {
			members = append(members, peer.member)
		}
	}
	return members
}
