package workers

import "time"

// clockDriftDivisor bounds clock drift: a worker's clock may run slower than ours by 1/500.
const clockDriftDivisor = 500

// contactState records when a machine's lease may last have been extended and whether it missed heartbeats.
type contactState struct {
	// The last time at which this machine's lease may have been extended, either by this controller or,
	// before the machine had shown our token, by another one.
	last             time.Time
	startedFrom      time.Time // a later time from which the lease of an incarnation that executed a start may run
	missedHeartbeats bool      // no contact for more than two heartbeat intervals plus a second
}

// recordContact records that a machine's lease may have been extended now.
func (reg *Registry) recordContact(now time.Time, machine *machineState) {
	machine.contact.last = now
	if machine.contact.missedHeartbeats {
		machine.contact.missedHeartbeats = false
		reg.markChanged(machine)
	}
	if machine.entries.contact == nil {
		machine.entries.contact = reg.contactList.PushBack(machine)
	} else {
		reg.contactList.MoveToBack(machine.entries.contact)
	}
}

// leaseFrom returns the time from which the machine's lease may run.
func (c *contactState) leaseFrom() time.Time {
	if c.startedFrom.After(c.last) {
		return c.startedFrom
	}
	return c.last
}

// expire marks machines that missed heartbeats, and those whose lease has certainly run out: a worker
// ends its tasks one lease after it sent the last answered heartbeat, and its clock may run slower
// than ours. contactList is ordered by last contact, so expire visits only the machines that have been
// silent longest.
func (reg *Registry) expire(now time.Time) {
	leaseOver := reg.options.Lease + reg.options.Lease/clockDriftDivisor + reg.options.Margin
	missedAfter := 2*reg.options.HeartbeatInterval + time.Second
	for entry := reg.contactList.Front(); entry != nil; {
		machine, _ := entry.Value.(*machineState)
		silent := now.Sub(machine.contact.last)
		if silent <= min(leaseOver, missedAfter) {
			break
		}
		entry = entry.Next()
		mayStart := machine.directCall.startInFlight // see applyCallOutcome
		if machine.phase != Expired && !mayStart && now.Sub(machine.contact.leaseFrom()) > leaseOver {
			reg.setPhase(machine, Expired)
		}
		if missed := silent > missedAfter; missed != machine.contact.missedHeartbeats {
			machine.contact.missedHeartbeats = missed
			reg.markChanged(machine)
		}
		if machine.contact.missedHeartbeats && machine.phase == Expired {
			reg.contactList.Remove(machine.entries.contact)
			machine.entries.contact = nil
		}
	}
}
