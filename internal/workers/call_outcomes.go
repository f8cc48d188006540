package workers

import (
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

// CallDone records the outcome of a direct call. It must be called exactly once for each call that
// DueCalls returned. heartbeat is the heartbeat in the worker's response; nil: there was none.
func (reg *Registry) CallDone(now time.Time, call Call, outcome CallOutcome, heartbeat *model.Heartbeat) {
	reg.callsInFlight--
	machine := reg.machines.At(call.Machine)
	if machine == nil || machine.directCall.inFlight != call.id {
		return
	}
	if heartbeat != nil && heartbeat.Machine == machine.name {
		reg.observeToken(machine, heartbeat.Token)
	}
	heartbeat = reg.normalize(heartbeat)
	defer reg.enqueueCall(machine)
	machine.directCall.recordOutcome(&call, outcome, heartbeat)
	if call.madeUnder != reg.token {
		return // orders of an earlier token are discarded; the next heartbeat decides its starts
	}
	reg.applyCallOutcome(now, machine, &call, outcome, heartbeat)
	if machine.agent.restarted {
		machine.keepCalledStartsUndecided()
		return
	}
	reg.recordCallOutcome(machine, &call, outcome)
	// Guard: a machine that was probed but has sent no heartbeat yet must not be reported to the leader.
	// When it was reported as joining, the leader no longer checked whether the machine still existed,
	// and a failover waited for it until it had also missed heartbeats.
	if machine.newest.epoch != 0 {
		reg.markChanged(machine)
	}
}

// recordOutcome records that the call in flight has ended.
//
// Guard: without the pause after a failed call a worker that cannot be called directly would be called in an
// endless loop. If the response shows an epoch that the call did not name, one more call is made. A refusal is
// the expected response to a call that only inspects.
func (d *directCallState) recordOutcome(call *Call, outcome CallOutcome, heartbeat *model.Heartbeat) {
	d.inFlight, d.startInFlight = 0, false
	d.failed = outcome != Executed && (heartbeat == nil || heartbeat.Session == call.Epoch && !call.inspects)
	d.unanswered = d.unanswered || outcome == Unanswered
	if call.inspects {
		d.inspectionFailed = heartbeat == nil
	}
}

// applyCallOutcome updates what is known of a machine and of its agent's incarnations from a call's outcome.
func (reg *Registry) applyCallOutcome(now time.Time, machine *machineState, call *Call, outcome CallOutcome, heartbeat *model.Heartbeat) {
	// Guard: the call may have delivered a start to an incarnation of the agent that began only after the last
	// contact. A machine whose agent had restarted unnoticed was reported as expired one lease after the earlier
	// incarnation's last heartbeat, while the task that the call had started was running
	// (TestLeaseOfCalledIncarnation).
	if call.carriesStart() && outcome != Refused && !machine.sharesLiveTask(heartbeat) {
		machine.contact.startedFrom = now
	}
	switch {
	case reg.isValidResponse(machine, heartbeat):
		reg.applyCallResponse(now, machine, call, heartbeat)
	case call.inspects && machine.agent.unconfirmed:
		reg.recordRestart(machine, nil)
	}
	if outcome == Executed && machine.lacksExecutedStart(call) {
		reg.recordRestart(machine, heartbeat)
	}
}

// isValidResponse reports whether a call's response contains a valid heartbeat of the called machine,
// with a token no higher than ours.
func (reg *Registry) isValidResponse(machine *machineState, heartbeat *model.Heartbeat) bool {
	return heartbeat != nil && heartbeat.Machine == machine.name && heartbeat.Token <= reg.token && ValidateHeartbeat(heartbeat) == nil
}

// applyCallResponse applies the heartbeat in the response to a call: the machine is reachable, and its
// state is updated unless its agent has restarted or a newer heartbeat is known.
func (reg *Registry) applyCallResponse(now time.Time, machine *machineState, call *Call, heartbeat *model.Heartbeat) {
	if machine.reachability.unreachable {
		reg.markChanged(machine)
	}
	machine.reachability.confirm()
	isNewest := heartbeat.Session > machine.agent.endedEpoch && machine.precedes(heartbeat)
	switch {
	case !call.lastKnown.precedes(versionOf(heartbeat)), isNewest && machine.contradicts(heartbeat):
		reg.recordRestart(machine, heartbeat)
	case call.inspects:
		reg.recordAnomaly(SameIncarnation, machine, heartbeat)
	}
	if isNewest && !machine.agent.restarted {
		reg.applyHeartbeat(now, machine, heartbeat)
	}
}

// keepCalledStartsUndecided marks the outcome of the starts in a call as unknown.
//
// Guard: the restarted agent may have executed the call's starts, but its heartbeats are ignored. When
// the call's response decided these starts, the tasks were started on another machine as well
// (simtest, seed 210009384). They stay undecided until the next token.
func (m *machineState) keepCalledStartsUndecided() {
	for _, order := range m.pendingOrders {
		if order.state == callInFlight {
			order.state = outcomeUnknown
		}
	}
}

// recordCallOutcome updates the orders that a call carried and removes those that its outcome decides.
func (reg *Registry) recordCallOutcome(machine *machineState, call *Call, outcome CallOutcome) {
	for _, order := range machine.pendingOrders {
		order.delivered = order.delivered || (outcome == Executed && order.isStop() && call.includes(order))
		if order.state == callInFlight {
			machine.recordStartOutcome(order, call, outcome)
		}
	}
	machine.resolveOrders(func(order *pendingOrder) bool {
		return machine.isDecidedByCall(order, call, outcome) || reg.deferForget(machine, order)
	})
}

// recordStartOutcome updates a start whose call has ended. If the call went unanswered, the worker may
// still execute the start later.
func (m *machineState) recordStartOutcome(start *pendingOrder, call *Call, outcome CallOutcome) {
	start.state = queued
	if outcome == Refused {
		m.dropRefusedStart(start.key(), call.Token)
	}
	if outcome != Unanswered || call.Epoch != m.newest.epoch {
		return
	}
	m.markOutcomeUnknown(start, call.Token)
	if m.reportedTask(start) != nil {
		start.state = queued
	}
}

// markOutcomeUnknown records that a start was sent with a token, and that the worker may still execute it, or has
// executed it without having shown its task.
func (m *machineState) markOutcomeUnknown(start *pendingOrder, token uint64) {
	start.state = outcomeUnknown
	m.recordSentStart(start.key(), token).repeated = true
}

// carriesStart reports whether the call carries a start.
func (c *Call) carriesStart() bool {
	for _, command := range c.Commands {
		if command.Op == "start" {
			return true
		}
	}
	return false
}

// isDecidedByCall reports whether a start's outcome is known after a call.
func (m *machineState) isDecidedByCall(order *pendingOrder, call *Call, outcome CallOutcome) bool {
	if !order.isStart() || order.state != queued {
		return false
	}
	return outcome == Executed && call.includes(order) || order.superseded || m.reportedTask(order) != nil
}

// includes reports whether the call carried an order, with the same grace period if it is a stop.
//
// Guard: a second stop without time for a checkpoint was ordered while a call carried the first stop, and
// counted as delivered by that call. Tasks of cancelled jobs continued their checkpoints until their
// machine's next heartbeat was answered.
func (c *Call) includes(order *pendingOrder) bool {
	want := order.command()
	for _, command := range c.Commands {
		if command.Op == want.Op && command.Task == want.Task && command.Attempt == want.Attempt && (want.GraceS == nil || *command.GraceS == *want.GraceS) {
			return true
		}
	}
	return false
}
