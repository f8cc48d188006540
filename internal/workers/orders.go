package workers

import (
	"slices"
	"time"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/peers/peerspb"
)

// maxOrders bounds the orders of one answer, far below the line limit. Only the stops that an answer must carry may be more.
const maxOrders = 200

// maxStopBytes bounds the stops of one answer, below the protocol's limit on lines of 64 KiB.
const maxStopBytes = 62 << 10

// longestStop is a stop without the name of its task.
const longestStop = `{"verb":"stop","piece":"","try":18446744073709551615,"windDownS":0},`

// deliveryState is the progress of an order's delivery to its machine.
type deliveryState int

// The states of an order.
const (
	queued         deliveryState = iota // waits for the machine's next heartbeat or a direct call
	sentInAnswer                        // sent in the answer to a heartbeat; the next heartbeat shows its effect
	callInFlight                        // a direct call that carries it is in flight
	outcomeUnknown                      // a direct call went unanswered: the worker may execute it later
)

// pendingOrder is an order from the leader for a machine.
type pendingOrder struct {
	id          uint64
	op          peerspb.Op
	job         string
	index       int
	attempt     uint64
	gracePeriod time.Duration // time that a stop leaves for a checkpoint
	state       deliveryState
	superseded  bool // a start that is no longer wanted
	delivered   bool // a stop that a direct call has delivered
	reported    bool // a start whose task was in a heartbeat
	inAnswer    bool // a start that the last answer carried
}

func newPendingOrder(order *peerspb.Order) *pendingOrder {
	return &pendingOrder{
		id:          order.Id,
		op:          order.Op,
		job:         order.Job,
		index:       int(order.Index),
		attempt:     order.Attempt,
		gracePeriod: time.Duration(order.GraceMs) * time.Millisecond,
	}
}

func (o *pendingOrder) isStart() bool { return o.op == peerspb.Op_OP_START }

func (o *pendingOrder) isStop() bool { return o.op == peerspb.Op_OP_STOP }

func (o *pendingOrder) isForget() bool { return o.op == peerspb.Op_OP_FORGET }

// attemptKey identifies one attempt of a task.
type attemptKey struct {
	job     string
	index   int
	attempt uint64
}

func keyOf(task *peerspb.Task) attemptKey { return attemptKey{task.Job, int(task.Index), task.Attempt} }

func (o *pendingOrder) key() attemptKey { return attemptKey{o.job, o.index, o.attempt} }

// command returns the order as the command that is sent to the worker.
func (o *pendingOrder) command() model.Command {
	command := model.Command{Task: model.TaskName(o.job, o.index), Attempt: o.attempt}
	switch o.op {
	case peerspb.Op_OP_START:
		command.Op = "start"
	case peerspb.Op_OP_STOP:
		grace := o.gracePeriod.Seconds()
		command.Op, command.GraceS = "stop", &grace
	case peerspb.Op_OP_FORGET:
		command.Op = "forget"
	}
	return command
}

// resolveOrders removes the pending orders for which done returns true.
func (m *machineState) resolveOrders(done func(order *pendingOrder) bool) {
	m.occupancy.valid = false
	rest := m.pendingOrders[:0]
	for _, order := range m.pendingOrders {
		if !done(order) {
			rest = append(rest, order)
		}
	}
	m.pendingOrders = rest
}

// resolveReportedStarts removes the starts whose task is in the newest heartbeat, because their outcome
// is known. Starts in a call that is still in flight stay until the call ends.
func (m *machineState) resolveReportedStarts() {
	for _, order := range m.pendingOrders {
		order.reported = order.reported || order.isStart() && m.reportedTask(order) != nil
	}
	m.resolveOrders(func(order *pendingOrder) bool {
		return order.isStart() && (order.state == outcomeUnknown || order.state == queued) && m.reportedTask(order) != nil
	})
}

// undecidedStarts returns the ids of the starts whose outcome is not known yet.
func (m *machineState) undecidedStarts() []uint64 {
	var ids []uint64
	for _, order := range m.pendingOrders {
		if order.isStart() {
			ids = append(ids, order.id)
		}
	}
	return ids
}

// undecidedStart returns the pending start of an attempt, or nil.
func (m *machineState) undecidedStart(key attemptKey) *pendingOrder {
	for _, order := range m.pendingOrders {
		if order.isStart() && order.key() == key {
			return order
		}
	}
	return nil
}

// takeCommands returns the commands for one answer, which begins with some stops. Every command is repeated until a heartbeat shows its
// effect: a worker that has executed a start ignores it the next time, and one that has not may still
// execute it from an earlier message, so its task must appear in a heartbeat.
func (reg *Registry) takeCommands(machine *machineState, commands []model.Command) []model.Command {
	reg.resumeForgets(machine)
	if len(machine.pendingOrders) == 0 {
		return commands
	}
	machine.resolveOrders(machine.dropIfRedundant)
	raisable := reg.raisableToken(machine)
	for _, order := range machine.pendingOrders {
		if len(commands) >= maxOrders || !machine.isDeliverable(order, raisable) || order.isStopIn(commands) {
			continue
		}
		if order.isStart() && order.state == queued {
			order.state = sentInAnswer
		}
		if order.isStart() {
			machine.recordRepeatedStart(order.key(), raisable)
		}
		if order.isForget() && !machine.mayForget(order.key(), reg.messageToken(machine)) {
			machine.token = raisable
		}
		order.inAnswer = true
		commands = append(commands, order.command())
	}
	return commands
}

// dropIfRedundant reports whether an order has already taken effect. Of an attempt that the worker has forgotten, it
// drops the sent start as well.
func (m *machineState) dropIfRedundant(order *pendingOrder) bool {
	redundant := m.isRedundant(order)
	if redundant && order.isForget() {
		delete(m.sentStarts, order.key())
	}
	return redundant
}

// isDeliverable reports whether an order may go into the answer to a heartbeat whose token is raised to the given one
// if needed.
func (m *machineState) isDeliverable(order *pendingOrder, raisable uint64) bool {
	if order.state == callInFlight || (order.state == outcomeUnknown && order.superseded) {
		return false
	}
	return !m.mustKeepAttempt(order, raisable)
}

// stopCommands returns some stops and the pending ones, for an answer that must carry no starts. A stop names
// its attempt, so it cannot stop anything else when it arrives late.
func (m *machineState) stopCommands(commands []model.Command) []model.Command {
	for _, order := range m.pendingOrders {
		if order.isStop() && len(commands) < maxOrders && !m.isRedundant(order) && !order.isStopIn(commands) {
			commands = append(commands, order.command())
		}
	}
	return commands
}

// isStopIn reports whether the order is a stop of an attempt that one of the commands stops.
func (o *pendingOrder) isStopIn(commands []model.Command) bool {
	return o.isStop() && slices.ContainsFunc(commands, func(command model.Command) bool {
		return command.Op == "stop" && command.Attempt == o.attempt && o.key().isNamed(command.Task)
	})
}

// isRedundant reports whether a stop or a forget has already taken effect.
func (m *machineState) isRedundant(order *pendingOrder) bool {
	task := m.reportedTask(order)
	switch order.op {
	case peerspb.Op_OP_STOP:
		if task == nil { // no effect left, unless the worker may still execute its start
			return m.undecidedStart(order.key()) == nil
		}
		return task.State == string(model.TaskExited)
	case peerspb.Op_OP_FORGET:
		return task == nil
	}
	return false
}

// mustKeepAttempt reports whether an order is a forget of an attempt that the worker may still start, or could start
// again after a message with the given token.
func (m *machineState) mustKeepAttempt(order *pendingOrder, token uint64) bool {
	if !order.isForget() {
		return false
	}
	return !m.mayForget(order.key(), token) || m.undecidedStart(order.key()) != nil
}

// applyOrder applies one order from the leader.
func (reg *Registry) applyOrder(now time.Time, order *peerspb.Order) {
	machine := reg.machines.At(order.Machine)
	if machine == nil {
		machine = reg.addForOrder(now, order)
	}
	if machine == nil {
		return
	}
	switch order.Op {
	case peerspb.Op_OP_GREET: // its only effect is to add the machine
	case peerspb.Op_OP_CORDON:
		machine.cordoned = true
	case peerspb.Op_OP_UNCORDON:
		machine.cordoned = false
	case peerspb.Op_OP_DROP:
		reg.remove(machine)
	default:
		reg.applyTaskOrder(machine, newPendingOrder(order))
	}
}

// addForOrder adds the machine that an order names if the order needs it, and returns nil otherwise.
func (reg *Registry) addForOrder(now time.Time, order *peerspb.Order) *machineState {
	switch order.Op {
	case peerspb.Op_OP_GREET:
		machine := reg.add(&machineState{
			name:              order.Machine,
			addr:              order.Addr,
			pool:              model.Pool{Type: order.Kind.GetType(), Zone: order.Kind.GetZone()},
			phase:             Joining,
			terminationNotice: noTermination,
		})
		reg.recordContact(now, machine) // another owner may have extended its lease until now
		return machine
	case peerspb.Op_OP_START:
		// The machine is unknown here: the start is not accepted, which is reported to the leader.
		return reg.add(&machineState{name: order.Machine, phase: Expired, terminationNotice: noTermination})
	}
	return nil
}

// applyTaskOrder applies a start, stop or forget for a machine.
func (reg *Registry) applyTaskOrder(machine *machineState, order *pendingOrder) {
	machine.occupancy.valid = false
	defer reg.enqueueCall(machine)
	if order.isStart() && !machine.acceptsStarts() {
		reg.markChanged(machine) // not accepted, so its outcome is known: report it
		return
	}
	if order.isForget() {
		reg.recordForget(machine, order)
	}
	// Guard: a worker that forgot the attempt could start it again from a copy of the call that started it, which runs
	// the task twice (TestLateCopyOfAnsweredCall).
	if reg.deferForget(machine, order) {
		return
	}
	if !reg.mergeOrder(machine, order) {
		machine.pendingOrders = append(machine.pendingOrders, order)
	}
}

// mergeOrder merges an order with an earlier one for the same attempt and reports whether the new order
// need not be added: a stop cancels a start that is still queued, and a second order of the same kind
// replaces the first.
func (reg *Registry) mergeOrder(machine *machineState, order *pendingOrder) (merged bool) {
	for i, earlier := range machine.pendingOrders {
		if earlier.key() != order.key() {
			continue
		}
		if earlier.isStart() && order.isStop() {
			if earlier.state == queued {
				machine.resolveOrders(func(other *pendingOrder) bool { return other == earlier })
				reg.markChanged(machine)
				return true
			}
			earlier.superseded = true
			reg.markChanged(machine)
			return false // the start was already sent, so the stop may be needed
		}
		if earlier.op == order.op {
			machine.pendingOrders[i] = order
			return true
		}
	}
	return false
}
