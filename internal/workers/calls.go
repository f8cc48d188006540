package workers

import (
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

// Call is a direct call to a worker: it sends commands without waiting for the worker's next heartbeat.
type Call struct {
	Machine   string
	Addr      string
	Token     uint64
	Epoch     uint64
	Commands  []model.Command
	Deadline  time.Time // end of the lease; the call must not be sent after it
	id        uint64
	lastKnown heartbeatVersion // version of the machine's newest heartbeat when the call was created
	suspicion bool             // made because a heartbeat did not fit the known state
}

// CallOutcome is the outcome of a direct call.
type CallOutcome int

// The outcomes.
const (
	Executed   CallOutcome = iota // status 200, with a heartbeat made after the commands
	Refused                       // status 409 or 400, or never sent: nothing was executed
	Unanswered                    // no response: the commands may still be executed later
)

// String returns the outcome's name.
func (o CallOutcome) String() string {
	return [...]string{"executed", "refused", "unanswered"}[o]
}

// directCallState is the state of a machine's direct calls.
type directCallState struct {
	inFlight   uint64 // id of the call in flight, or 0
	failed     bool   // the last call failed: no further call before the next heartbeat
	tokenSent  bool   // a heartbeat that did not carry our token was answered with our token
	unanswered bool   // a call went unanswered since the machine last sent our token
}

// tokenUndelivered reports whether an answer with our token and a direct call have both had no visible effect.
func (d *directCallState) tokenUndelivered() bool { return d.tokenSent && d.unanswered }

// resetTokenDelivery forgets earlier attempts to bring our token to the machine.
func (d *directCallState) resetTokenDelivery() { d.tokenSent, d.unanswered = false, false }

// enqueueCall queues a machine for the next DueCalls if it needs a call. Every change after which a
// call may become useful or possible must call it.
func (reg *Registry) enqueueCall(machine *machineState) {
	if machine.entries.call == nil && machine.needsCall() {
		machine.entries.call = reg.callQueue.PushBack(machine)
	}
}

// needsCall reports whether the machine needs a probe or has orders worth a direct call.
func (m *machineState) needsCall() bool {
	if m.needsProbe() || m.agent.unexpectedEpoch > 0 {
		return true
	}
	for _, order := range m.pendingOrders {
		if order.state == queued && (order.isStart() || order.isStop() && !order.delivered) {
			return true
		}
	}
	return false
}

// needsProbe reports whether a call without commands is useful: to deliver our token, or to check
// whether the machine is reachable again.
func (m *machineState) needsProbe() bool { return m.phase == Joining || m.reachability.unreachable }

// DueCalls returns the direct calls that are due, at most one in flight for each machine. They carry
// queued starts, and stops, because other tasks wait for the capacity that a stop frees. A machine that
// has not shown our token yet is probed: it adopts the token and responds with a heartbeat that shows it.
// Without a valid lease DueCalls returns no calls. At most MaxCalls are in flight, which bounds the
// sockets they use.
//
// Guard: a new leader has every machine called. Thousands of calls at once took all sockets of a
// controller, and while they hung on machines that no longer existed, no connection was accepted.
// Machines that are still queued are reached by the answers to their own heartbeats.
func (reg *Registry) DueCalls(now time.Time) []Call {
	if !reg.HoldsLease(now) {
		return nil
	}
	var due []Call
	for entry := reg.callQueue.Front(); entry != nil && reg.callsInFlight < reg.options.MaxCalls; entry = reg.callQueue.Front() {
		machine, _ := reg.callQueue.Remove(entry).(*machineState)
		machine.entries.call = nil
		if !machine.needsCall() || !reg.mayCall(machine) {
			continue
		}
		if call, isDue := reg.prepareCall(machine); isDue {
			due = append(due, call)
		}
	}
	return due
}

// mayCall reports whether a machine may be called now.
func (reg *Registry) mayCall(machine *machineState) bool {
	if machine.directCall.inFlight != 0 || machine.directCall.failed {
		return false
	}
	if machine.phase == Expired && machine.agent.unexpectedEpoch == 0 {
		return false
	}
	return machine.addr != "" && !machine.hasTerminationNotice() && reg.ownsPool(machine.pool)
}

// prepareCall creates the call to a machine, if one is due, and counts it as in flight.
func (reg *Registry) prepareCall(machine *machineState) (call Call, isDue bool) {
	call = Call{
		Machine:   machine.name,
		Addr:      machine.addr,
		Token:     reg.token,
		Epoch:     machine.newest.epoch,
		Commands:  []model.Command{},
		Deadline:  reg.leaseUntil,
		lastKnown: machine.newest,
	}
	isDue = machine.needsProbe()
	if machine.agent.unexpectedEpoch > 0 {
		call.suspicion = true
		isDue, call.Epoch, machine.agent.unexpectedEpoch = true, machine.agent.unexpectedEpoch, 0
	}
	if machine.acceptsStarts() && call.Epoch == machine.newest.epoch {
		isDue = machine.addCommands(&call) || isDue
	}
	if !isDue {
		return Call{}, false
	}
	reg.lastCallID++
	call.id, machine.directCall.inFlight = reg.lastCallID, reg.lastCallID
	reg.callsInFlight++
	return call, true
}

// addCommands adds the queued orders to a call and reports whether one of them makes the call due.
func (m *machineState) addCommands(call *Call) (isDue bool) {
	for _, order := range m.pendingOrders {
		if order.state != queued || len(call.Commands) >= maxOrders || m.mustKeepAttempt(order) {
			continue
		}
		switch {
		case order.isStart():
			isDue, order.state = true, callInFlight
		case order.isStop() && !order.delivered && m.reportedTask(order) != nil:
			isDue = true
		}
		call.Commands = append(call.Commands, order.command())
	}
	return isDue
}

// CallDone records the outcome of a direct call. It must be called exactly once for each call that
// DueCalls returned. heartbeat is the heartbeat in the worker's response; nil: there was none.
func (reg *Registry) CallDone(now time.Time, call Call, outcome CallOutcome, heartbeat *model.Heartbeat) {
	reg.callsInFlight--
	machine := reg.machines.At(call.Machine)
	if machine == nil || machine.directCall.inFlight != call.id {
		return
	}
	machine.directCall.inFlight = 0
	defer reg.enqueueCall(machine)
	// Guard: without this pause a worker that cannot be called directly would be called in an endless
	// loop. If the response shows an epoch that the call did not name, one more call is made.
	machine.directCall.failed = outcome != Executed && (heartbeat == nil || heartbeat.Session == call.Epoch)
	machine.directCall.unanswered = machine.directCall.unanswered || outcome == Unanswered
	if call.Token != reg.token {
		return // orders of an earlier token are discarded; the next heartbeat decides its starts
	}
	if reg.isValidResponse(machine, heartbeat) {
		reg.applyCallResponse(now, machine, call, heartbeat)
	}
	if machine.agent.restarted {
		machine.keepCalledStartsUndecided()
		return
	}
	machine.recordCallOutcome(&call, outcome)
	// Guard: a machine that was probed but has sent no heartbeat yet must not be reported to the leader.
	// When it was reported as joining, the leader no longer checked whether the machine still existed,
	// and a failover waited for it until it had also missed heartbeats.
	if machine.newest.epoch != 0 {
		reg.markChanged(machine)
	}
}

// isValidResponse reports whether a call's response contains a valid heartbeat of the called machine,
// with a token no higher than ours.
func (reg *Registry) isValidResponse(machine *machineState, heartbeat *model.Heartbeat) bool {
	return heartbeat != nil && heartbeat.Machine == machine.name && heartbeat.Token <= reg.token && ValidateHeartbeat(heartbeat) == nil
}

// applyCallResponse applies the heartbeat in the response to a call: the machine is reachable, and its
// state is updated unless its agent has restarted or a newer heartbeat is known.
func (reg *Registry) applyCallResponse(now time.Time, machine *machineState, call Call, heartbeat *model.Heartbeat) {
	if machine.reachability.unreachable {
		reg.markChanged(machine)
	}
	machine.reachability.confirm()
	switch {
	case !call.lastKnown.precedes(versionOf(heartbeat)):
		reg.recordRestart(machine, heartbeat)
	case call.suspicion:
		reg.recordAnomaly(SameIncarnation, machine, heartbeat)
	}
	if !machine.agent.restarted && heartbeat.Session > machine.agent.endedEpoch && machine.precedes(heartbeat) {
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
func (m *machineState) recordCallOutcome(call *Call, outcome CallOutcome) {
	for _, order := range m.pendingOrders {
		order.delivered = order.delivered || (outcome == Executed && order.isStop() && call.includes(order))
		if order.state == callInFlight {
			m.recordStartOutcome(order, call, outcome)
		}
	}
	m.resolveOrders(func(order *pendingOrder) bool {
		return m.isDecidedByCall(order, call, outcome) || m.deferForget(order)
	})
}

// recordStartOutcome updates a start whose call has ended. If the call went unanswered, the worker may
// still execute the start later.
func (m *machineState) recordStartOutcome(start *pendingOrder, call *Call, outcome CallOutcome) {
	start.state = queued
	if outcome != Unanswered || call.Epoch != m.newest.epoch {
		return
	}
	if m.reportedTask(start) == nil {
		start.state = outcomeUnknown
	}
	if m.lateStarts == nil {
		m.lateStarts = lateStarts{}
	}
	m.lateStarts[start.key()] = false
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
