package placement

import (
	"github.com/marlwood/marlwood/internal/peers/peerspb"
)

// Cordon keeps new tasks off a machine.
func (cs *ClusterState) Cordon(machine *Machine) {
	if !machine.Cordoned {
		machine.Cordoned = true
		cs.sendOrder(machine, &peerspb.Order{Op: peerspb.Op_OP_CORDON})
	}
}

// Quarantine keeps new tasks off a machine on which tasks failed, until the machine is scaled in, or uncordoned for a
// job for which no other machine has capacity.
func (cs *ClusterState) Quarantine(machine *Machine) {
	machine.quarantined = true
	cs.Cordon(machine)
}

// setScaleIn sets whether a machine is a scale-in candidate, which gets no new tasks.
func (cs *ClusterState) setScaleIn(machine *Machine, candidate bool) {
	if machine.ScaleIn == candidate {
		return
	}
	machine.ScaleIn = candidate
	if machine.Cordoned || machine.drain != nil {
		return
	}
	cs.sendCordonState(machine)
}

// sendCordonState orders a machine's owner to cordon or uncordon the machine. A cordoned machine is not sampled for
// new tasks.
func (cs *ClusterState) sendCordonState(machine *Machine) {
	if machine.Cordoned || machine.ScaleIn || machine.drain != nil {
		cs.sendOrder(machine, &peerspb.Order{Op: peerspb.Op_OP_CORDON})
		return
	}
	cs.sendOrder(machine, &peerspb.Order{Op: peerspb.Op_OP_UNCORDON})
	cs.capacityEvents++
}

// resendCordon repeats the order that cordons a machine, because a fresh token invalidated the earlier one.
func (cs *ClusterState) resendCordon(machine *Machine) {
	if machine.Cordoned || machine.drain != nil {
		cs.sendOrder(machine, &peerspb.Order{Op: peerspb.Op_OP_CORDON})
	}
}
