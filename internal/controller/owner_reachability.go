package controller

import (
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

// reachabilityState is the leader's assessment of whether the machines of a pool can reach a controller.
type reachabilityState int

const (
	// ownerReached means that there is no sign that the pool's machines cannot reach the controller.
	ownerReached reachabilityState = iota
	// ownerSuspected means that the controller owns the pool and receives no heartbeats from most of the pool's
	// machines. Until suspicionSpan has passed, a machine that reports to another controller is not redirected to
	// the owner, where it might lose time.
	ownerSuspected
	// ownerUnconfirmed means that too few live machines reported to other controllers during the suspicion, so the
	// owner is not the cause of the missing heartbeats. Machines are redirected to it again.
	ownerUnconfirmed
	// ownerUnreachable means that live machines reported to other controllers instead. The pool is assigned to
	// another controller and not given back to this one for a while.
	ownerUnreachable
)

const (
	heartbeatTimeout  = 4 * time.Second // how long a worker waits for the response to a heartbeat
	heartbeatTryPause = time.Second     // how long a worker waits before it tries the next controller
)

// suspicionSpan is how long an owner is suspected: the time that a machine loses when it is redirected to an owner
// that it cannot reach.
const suspicionSpan = heartbeatTimeout + heartbeatTryPause

// poolMember is a pool and a controller that owns or owned it.
type poolMember struct {
	member string
	pool   model.Pool
}

// poolReachability is the state of a controller for one pool.
type poolReachability struct {
	state reachabilityState
	since time.Time
}

// ownerReachability holds the pairs of controller and pool whose state is not ownerReached. It is the only record
// of which pools' machines cannot reach which controllers; only the loop uses it.
type ownerReachability map[poolMember]poolReachability

// setState changes the state of a controller for a pool. All changes of a state go through it.
func (r ownerReachability) setState(at poolMember, state reachabilityState, now time.Time) {
	switch {
	case r[at].state == state:
	case state == ownerReached:
		delete(r, at)
	default:
		r[at] = poolReachability{state: state, since: now}
	}
}

// observe updates the states from the pools that are silent, that is, whose owners receive no heartbeats from most
// of the pool's machines, and ends states that have lasted long enough. unreachableSpan is how long a controller
// that was unreachable for a pool is not given the pool again.
func (r ownerReachability) observe(now time.Time, owners map[model.Pool]string, silent map[model.Pool]bool, unreachableSpan time.Duration) {
	for at, reachability := range r {
		age := now.Sub(reachability.since)
		switch {
		case reachability.state == ownerUnreachable:
			if age >= unreachableSpan {
				r.setState(at, ownerReached, now)
			}
		case owners[at.pool] != at.member || !silent[at.pool]:
			r.setState(at, ownerReached, now)
		case reachability.state == ownerSuspected && age >= suspicionSpan:
			// Guard: machines that have ended send no heartbeats either. As long as the owner was suspected, its other
			// machines were redirected to other controllers, and a machine that missed a single answer lost its lease
			// (TestSurvivorOfHalfAPool).
			r.setState(at, ownerUnconfirmed, now)
		}
	}
	for pool, isSilent := range silent {
		at := poolMember{owners[pool], pool}
		if isSilent && r[at].state == ownerReached {
			r.setState(at, ownerSuspected, now)
		}
	}
}

// markUnreachable records that the machines of a pool cannot reach its owner. It records the same for the owner's
// other silent pools, whose machines probably cannot reach it either.
func (r ownerReachability) markUnreachable(now time.Time, owner string, pool model.Pool) {
	r.setState(poolMember{owner, pool}, ownerUnreachable, now)
	for at := range r {
		if at.member == owner {
			r.setState(at, ownerUnreachable, now)
		}
	}
}

// tokenRenewed drops the suspicions made under an earlier token, which do not apply to the next owner.
func (r ownerReachability) tokenRenewed(now time.Time) {
	for at, reachability := range r {
		if reachability.state != ownerUnreachable {
			r.setState(at, ownerReached, now)
		}
	}
}

// suspects reports whether the owner is suspected to be unreachable for a pool's machines.
func (r ownerReachability) suspects(owner string, pool model.Pool) bool {
	return r[poolMember{owner, pool}].state == ownerSuspected
}

// mayOwn reports whether a controller may be given a pool.
func (r ownerReachability) mayOwn(member string, pool model.Pool) bool {
	return r[poolMember{member, pool}].state != ownerUnreachable
}

// isUnreachable reports whether a controller is marked unreachable for any pool.
func (r ownerReachability) isUnreachable(member string) bool {
	for at, reachability := range r {
		if at.member == member && reachability.state == ownerUnreachable {
			return true
		}
	}
	return false
}
