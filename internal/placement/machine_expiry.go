package placement

import (
	"slices"
	"time"
)

// ReportUnseenExpired records that the leases of all machines that are still unseen in a member's pools have certainly
// expired, whichever controller extended them last.
func (cs *ClusterState) ReportUnseenExpired(member string, now time.Time) {
	for _, machine := range cs.unreconciled {
		if machine.Phase == Unseen && cs.owners[machine.Pool] == member {
			cs.setPhase(machine, ExpiryReported, now)
		}
	}
}

// ConfirmExpiries confirms the expiries that were reported before checked, which is the time when the last read that
// returned the leader key as ours was sent. It releases the tasks of the machines and returns the machines' names.
//
// Guard: a leader that was deposed without knowing it may still act. To the owners under it, a machine that moved to
// an owner under the next leader looks like one whose lease expired, while its tasks keep running. Only a read of the
// key that was sent after the expiry was reported shows that no other controller can have extended the lease.
func (cs *ClusterState) ConfirmExpiries(checked, now time.Time) (names []string) {
	for name, machine := range cs.unreconciled {
		if machine.Phase == ExpiryReported && machine.PhaseSince.Before(checked) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		machine := cs.machines.At(name)
		cs.releaseAll(machine, now)
		machine.Recorded = false // its record is to be deleted; a new one is stored before tasks are started on it again
		cs.setPhase(machine, Expired, now)
	}
	return names
}

// MissingMachines returns the names of the machines that the provider listed before and no longer lists, and from
// which no heartbeat has arrived since noHeartbeatSince. The provider's list lags, so this does not prove that they
// were terminated; terminating them makes sure.
//
// Guard: an owner that knew a machine before reports it as joining. When such a machine counted as missing only after
// it had missed its heartbeats, one that had been terminated meanwhile delayed the takeover.
func (cs *ClusterState) MissingMachines(listed map[string]bool, noHeartbeatSince time.Time) []string {
	var missing []string
	for name, machine := range cs.machines.All() {
		if listed[name] {
			machine.Listed = true
		} else if machine.Listed && machine.silentSince(noHeartbeatSince) {
			missing = append(missing, name)
		}
	}
	return missing
}
