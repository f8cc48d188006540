package controller

import (
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

// reachabilityState is what the leader holds about whether the machines of a pool can reach a controller.
type reachabilityState int

const (
	// ownerReached: nothing speaks against the controller.
	ownerReached reachabilityState = iota
	// ownerSuspected: it owns the pool and hears nothing from most of the pool's machines. For as long as it takes
	// to find out more, a machine that reports elsewhere is kept from losing its time at the owner.
	ownerSuspected
	// ownerUnconfirmed: too few machines that live have reported elsewhere meanwhile, so the owner is not the cause
	// of the silence. Machines are redirected to it again.
	ownerUnconfirmed
	// ownerUnreachable: machines that live reported elsewhere instead. The pool moves, and the controller is not
	// given it again for a while.
	ownerUnreachable
)

// A worker waits so long for the response to a heartbeat, and so long again before it tries the next controller.
const (
	heartbeatTimeout  = 4 * time.Second
	heartbeatTryPause = time.Second
)

// suspicionSpan is how long an owner is suspected: what a machine loses that is sent to an owner which it cannot
// reach.
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

// ownerReachability is the one place that holds which pools' machines cannot reach which controllers: those whose
// state is not ownerReached. It belongs to the loop.
type ownerReachability map[poolMember]poolReachability

// setState is the only place where a state changes.
func (r ownerReachability) setState(at poolMember, state reachabilityState, now time.Time) {
	switch {
	case r[at].state == state:
	case state == ownerReached:
		delete(r, at)
	default:
		r[at] = poolReachability{state: state, since: now}
	}
}

// observe takes in which owners hear nothing from most of a pool's machines, and ends what has lasted long enough.
// unreachableSpan is how long a controller that was unreachable for a pool is not given it again.
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
			// Guard: machines that have ended are silent too. As long as the owner was suspected, its other machines
			// were redirected past it: one that missed a single answer lost its lease (TestSurvivorOfHalfAPool).
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

// markUnreachable records that the machines of a pool cannot reach its owner, nor then, probably, those of its other
// pools that are silent.
func (r ownerReachability) markUnreachable(now time.Time, owner string, pool model.Pool) {
	r.setState(poolMember{owner, pool}, ownerUnreachable, now)
	for at := range r {
		if at.member == owner {
			r.setState(at, ownerUnreachable, now)
		}
	}
}

// tokenRenewed forgets the suspicions under an earlier token: they say nothing of the next owner.
func (r ownerReachability) tokenRenewed(now time.Time) {
	for at, reachability := range r {
		if reachability.state != ownerUnreachable {
			r.setState(at, ownerReached, now)
		}
	}
}

// suspects tells whether a pool's machines need not try its owner for now.
func (r ownerReachability) suspects(owner string, pool model.Pool) bool {
	return r[poolMember{owner, pool}].state == ownerSuspected
}

// mayOwn tells whether a controller may be given a pool.
func (r ownerReachability) mayOwn(member string, pool model.Pool) bool {
	return r[poolMember{member, pool}].state != ownerUnreachable
}

// isUnreachable tells whether a controller was out of the reach of some pool's machines lately.
func (r ownerReachability) isUnreachable(member string) bool {
	for at, reachability := range r {
		if at.member == member && reachability.state == ownerUnreachable {
			return true
		}
	}
	return false
}
