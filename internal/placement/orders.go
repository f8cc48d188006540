package placement

import (
	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/peers/peerspb"
)

// Orders returns the orders for a controller, given by its member name, that it has not acknowledged.
func (cs *ClusterState) Orders(member string) []*peerspb.Order { return cs.outbox[member] }

// OrdersAcknowledged deletes the orders for a controller up to the last one that it has applied.
func (cs *ClusterState) OrdersAcknowledged(member string, applied uint64) {
	queue := cs.outbox[member]
	acknowledged := 0
	for acknowledged < len(queue) && queue[acknowledged].Id <= applied {
		acknowledged++
	}
	cs.outbox[member] = queue[acknowledged:]
}

// sendOrder queues an order for the owner of a machine's pool and returns the order's number, or 0 if the pool
// has no owner.
func (cs *ClusterState) sendOrder(machine *Machine, order *peerspb.Order) uint64 {
	owner := cs.owners[machine.Pool]
	if owner == "" {
		return 0
	}
	cs.orderID++
	order.Id, order.Machine = cs.orderID, machine.Name
	cs.outbox[owner] = append(cs.outbox[owner], order)
	if cs.opt.OnOrder != nil {
		cs.opt.OnOrder(order)
	}
	return order.Id
}

// sendStop orders a machine to stop a bound task.
func (cs *ClusterState) sendStop(task *Task) {
	task.stopToken = cs.token
	cs.sendOrder(task.machine, &peerspb.Order{
		Op:      peerspb.Op_OP_STOP,
		Job:     task.job.Spec.ID,
		Index:   uint32(task.index),
		Attempt: task.attempt,
		GraceMs: task.grace.Milliseconds(),
	})
}

// sendStopReported orders a machine to stop a reported task at once, without time to write a checkpoint.
func (cs *ClusterState) sendStopReported(machine *Machine, reported *peerspb.Task) {
	cs.sendOrder(machine, &peerspb.Order{Op: peerspb.Op_OP_STOP, Job: reported.Job, Index: reported.Index, Attempt: reported.Attempt})
}

// sendForget orders a machine to forget a task that exited.
func (cs *ClusterState) sendForget(machine *Machine, reported *peerspb.Task) {
	cs.sendOrder(machine, &peerspb.Order{Op: peerspb.Op_OP_FORGET, Job: reported.Job, Index: reported.Index, Attempt: reported.Attempt})
}

// sendForgetIfStored orders a machine to forget a task that exited, unless the machine's report of the task is
// still needed. The report of a finished task is needed until the stored completion bitmap contains the task.
func (cs *ClusterState) sendForgetIfStored(machine *Machine, job *Job, reported *peerspb.Task) {
	if model.Cause(reported.Cause) == model.CauseDone && !job.storedFinished.Has(int(reported.Index)) {
		return
	}
	cs.sendForget(machine, reported)
}

// ProbeUnseen orders the pool owners to probe the machines from which no heartbeat was reported under the
// leader's token, so that the leader need not wait for their next heartbeats.
func (cs *ClusterState) ProbeUnseen() {
	for _, machine := range cs.machines.All() {
		if machine.Phase == Unseen && machine.Addr != "" {
			cs.sendOrder(machine, &peerspb.Order{
				Op:   peerspb.Op_OP_GREET,
				Addr: machine.Addr,
				Kind: &peerspb.Kind{Type: machine.Pool.Type, Zone: machine.Pool.Zone},
			})
		}
	}
}
