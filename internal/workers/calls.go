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
	madeUnder uint64           // the registry's token when the call was created
	inspects  bool             // made because a heartbeat did not fit; see noToken
}

// noToken is the token of calls that only inspect a worker. One that has seen a token refuses it, and one that
// has not adopts nothing. Both respond with their state.
const noToken = 0

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
	inFlight         uint64 // id of the call in flight, or 0
	startInFlight    bool   // whether that call carries a start
	failed           bool   // the last call failed: no further call before the next heartbeat
	tokenSent        bool   // a heartbeat that did not carry our token was answered with our token
	inspectionFailed bool   // the last call that only inspected the worker brought no heartbeat
	unanswered       bool   // a call went unanswered since the machine last sent our token
}

// tokenUndelivered reports whether an answer with our token and a direct call have both had no visible effect.
func (d *directCallState) tokenUndelivered() bool { return d.tokenSent && d.unanswered }

// resetTokenDelivery forgets earlier attempts to bring our token to the machine.
func (d *directCallState) resetTokenDelivery() {
	d.tokenSent, d.unanswered, d.inspectionFailed = false, false, false
}

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
		Token:     reg.messageToken(machine),
		Epoch:     machine.newest.epoch,
		Commands:  []model.Command{},
		Deadline:  reg.leaseUntil,
		lastKnown: machine.newest,
		madeUnder: reg.token,
	}
	isDue = machine.needsProbe()
	if machine.agent.unexpectedEpoch > 0 {
		call.inspects, call.Token = true, noToken
		isDue, call.Epoch, machine.agent.unexpectedEpoch = true, machine.agent.unexpectedEpoch, 0
	}
	if machine.acceptsStarts() && !call.inspects {
		isDue = machine.addCommands(&call) || isDue
	}
	if !isDue {
		return Call{}, false
	}
	reg.lastCallID++
	call.id, machine.directCall.inFlight = reg.lastCallID, reg.lastCallID
	machine.directCall.startInFlight = call.carriesStart()
	reg.callsInFlight++
	return call, true
}

// addCommands adds the queued orders to a call and reports whether one of them makes the call due.
func (m *machineState) addCommands(call *Call) (isDue bool) {
	for _, order := range m.pendingOrders {
		if order.state != queued || len(call.Commands) >= maxOrders || m.mustKeepAttempt(order, call.Token) {
			continue
		}
		switch {
		case order.isStart():
			isDue, order.state = true, callInFlight
			m.recordSentStart(order.key(), call.Token)
		case order.isStop() && !order.delivered && m.reportedTask(order) != nil:
			isDue = true
		}
		call.Commands = append(call.Commands, order.command())
	}
	return isDue
}
