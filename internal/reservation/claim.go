// Package reservation maintains the claims of gang scheduling. A claim assigns a machine to each member of a
// gang's placement attempt.
//
// A claim is stored as a part of its job's record before the start of its first member is ordered. After a
// failover, the next leader can therefore continue the same attempt: it either starts the missing members, for
// which the started members wait, or releases all members. Claim is a state machine whose input is events and
// whose output is its state and the record to store. It does no input or output and is not safe for concurrent
// use.
//
// Invariant: the start of a member is ordered only after the machine that it is ordered on has been stored.
package reservation

import (
	"slices"
	"time"
)

// State is the state of a claim.
type State int

// The states of a claim. Their order matters: Active is true for the states before Running, which hold machines.
const (
	Requested State = iota // the machines are chosen and held; the claim must be stored
	Claimed                // the claim is stored; no member has been ordered to start
	Starting               // at least one member has been ordered to start
	Repairing              // a member failed before all members ran; another machine is sought for it
	Running                // all members run; the claim is no longer needed
	Released               // the claim was given up
)

// String returns the state's name for logs.
func (s State) String() string {
	return [...]string{"asked", "claimed", "starting", "repairing", "running", "released"}[s]
}

// Claim is the assignment of machines to the members of one placement attempt. A nil Claim is not active.
type Claim struct {
	Attempt  uint64
	Machines []string // machine names by member; "" for a member without a machine
	State    State
	Since    time.Time // when the attempt was first claimed or restored, by this leader's clock
	Version  int       // counts the choices of machines; Stored ignores a version that is not the latest
}

// New returns a claim of an attempt. machines holds the name of each member's machine.
func New(attempt uint64, machines []string, now time.Time) *Claim {
	return &Claim{Attempt: attempt, Machines: slices.Clone(machines), Since: now, Version: 1}
}

// setState changes the claim's state if the present state is one of from. Otherwise it does nothing and returns
// false. No other function may change the state.
func (c *Claim) setState(state State, from ...State) bool {
	if !slices.Contains(from, c.State) {
		return false
	}
	c.State = state
	return true
}

// Stored records that a version of the claim has been stored. It reports whether members may be ordered as a result.
func (c *Claim) Stored(version int) bool {
	return version == c.Version && c.setState(Claimed, Requested)
}

// MembersOrdered records that the start of at least one member was ordered.
func (c *Claim) MembersOrdered() { c.setState(Starting, Claimed) }

// MemberFailed records that a member is no longer bound to its machine.
func (c *Claim) MemberFailed(member int) {
	if c.Active() && member < len(c.Machines) {
		c.Machines[member] = ""
		c.setState(Repairing, Requested, Claimed, Starting)
	}
}

// Replace assigns another machine to a failed member. Once every member has a machine, the claim must be stored
// again.
func (c *Claim) Replace(member int, machine string) {
	if c.State != Repairing || member >= len(c.Machines) {
		return
	}
	c.Machines[member] = machine
	if !slices.Contains(c.Machines, "") {
		c.Version++
		c.setState(Requested, Repairing)
	}
}

// MembersRunning records that all members run.
func (c *Claim) MembersRunning() { c.setState(Running, Requested, Claimed, Starting, Repairing) }

// Release gives up the claim. It has no effect if all members run.
func (c *Claim) Release() { c.setState(Released, Requested, Claimed, Starting, Repairing) }

// Active reports whether the claim still holds machines, because not all members run and it was not given up.
func (c *Claim) Active() bool { return c != nil && c.State < Running }

// defaultGangWait is how long a member waits for the other members if the settings do not specify it.
const defaultGangWait = 30 * time.Second

// MayRepair reports whether failed members may still be replaced. A member that waits for the other members
// gives up after gangWait, and this wait may have begun as early as the claim. Members are replaced only in the
// first two thirds of gangWait, so that time remains to fetch an image.
func (c *Claim) MayRepair(now time.Time, gangWait time.Duration) bool {
	if gangWait == 0 {
		gangWait = defaultGangWait
	}
	return c.Active() && now.Sub(c.Since) < gangWait*2/3
}
