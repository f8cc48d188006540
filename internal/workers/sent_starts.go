package workers

import "github.com/marlwood/marlwood/internal/peers/peerspb"

// A worker executes a direct call whenever it arrives, as long as the call's token is not lower than the worker's and
// the epoch matches: late, and once more after the call was executed and answered. A start does nothing while the
// worker knows the attempt, so only a forget lets a copy of the call start the task again.
//
// Invariant: a message that forgets an attempt carries a higher token than every message with a start of the attempt
// that the worker may still receive in this epoch. The worker that has executed the forget refuses all of these.

// sentStart is what is known of the messages that carried the start of an attempt in the machine's present epoch.
type sentStart struct {
	token    uint64 // highest token of these messages
	repeated bool   // its outcome was unknown, so it was sent more than once; see endsRepeatedStart
	forget   bool   // the leader asked to forget the attempt, and no token allows that yet
}

// sentStarts holds the attempts whose start was sent in a direct call, or more than once.
type sentStarts map[attemptKey]*sentStart

// maxWaitingForgets is the number of attempts of one machine that may wait to be forgotten under a leader that sends
// no token limit. A heartbeat of up to 64 KiB lists them all, in some 100 bytes each.
const maxWaitingForgets = 100

// ForgetBasis is why an order to forget an attempt may be sent, or may not yet.
type ForgetBasis string

// The bases. The values are labels of a metric.
const (
	ForgetNeverCalled ForgetBasis = "never_called" // no message with a start of the attempt can still arrive
	ForgetFenced      ForgetBasis = "fenced"       // the token limit is higher than the token of every such message
	ForgetDeferred    ForgetBasis = "deferred"     // it waits for a higher token limit
)

// recordSentStart records that a message with the given token carries a start.
func (m *machineState) recordSentStart(key attemptKey, token uint64) *sentStart {
	sent := m.sentStarts[key]
	if sent == nil {
		if m.sentStarts == nil {
			m.sentStarts = sentStarts{}
		}
		sent = &sentStart{}
		m.sentStarts[key] = sent
	}
	sent.token = max(sent.token, token)
	return sent
}

// recordRepeatedStart records that an answer with the given token may carry a start that an earlier message carried.
func (m *machineState) recordRepeatedStart(key attemptKey, token uint64) {
	if sent := m.sentStarts[key]; sent != nil {
		sent.token = max(sent.token, token)
	}
}

// dropRefusedStart drops a start that was sent only in a call that its worker refused, or that was never sent: a copy of
// the call is refused as well.
func (m *machineState) dropRefusedStart(key attemptKey, token uint64) {
	if sent := m.sentStarts[key]; sent != nil && !sent.repeated && sent.token == token {
		delete(m.sentStarts, key)
	}
}

// mayForget reports whether a message with the given token may forget an attempt.
func (m *machineState) mayForget(key attemptKey, token uint64) bool {
	sent := m.sentStarts[key]
	return sent == nil || sent.token < token
}

// forgetBasis returns the basis of an order to forget an attempt.
func (reg *Registry) forgetBasis(machine *machineState, key attemptKey) ForgetBasis {
	switch {
	case machine.sentStarts[key] == nil:
		return ForgetNeverCalled
	case machine.mayForget(key, reg.tokenLimit):
		return ForgetFenced
	}
	return ForgetDeferred
}

// deferForget has a forget wait for a higher token limit, and hides the attempt from the leader meanwhile. It reports
// whether the forget has to wait.
func (reg *Registry) deferForget(machine *machineState, order *pendingOrder) bool {
	if !order.isForget() || reg.forgetBasis(machine, order.key()) != ForgetDeferred {
		return false
	}
	sent := machine.sentStarts[order.key()]
	reg.limitWanted = max(reg.limitWanted, sent.token+1)
	if !sent.forget {
		sent.forget = true
		machine.forgetsOverdue = !reg.limitKnown && machine.waitingForgets() > maxWaitingForgets
		reg.markChanged(machine)
	}
	return true
}

// waitingForgets returns the number of attempts that wait to be forgotten.
func (m *machineState) waitingForgets() (waiting int) {
	for _, sent := range m.sentStarts {
		if sent.forget {
			waiting++
		}
	}
	return waiting
}

// resumeForgets makes the forgets pending that the token limit allows now.
func (reg *Registry) resumeForgets(machine *machineState) {
	if machine.waitingForgets() == 0 {
		return
	}
	for _, task := range machine.tasks {
		key := keyOf(task)
		if sent := machine.sentStarts[key]; sent == nil || !sent.forget || !machine.mayForget(key, reg.tokenLimit) {
			continue
		}
		machine.sentStarts[key].forget = false
		order := &pendingOrder{op: peerspb.Op_OP_FORGET, job: key.job, index: key.index, attempt: key.attempt}
		if !reg.mergeOrder(machine, order) {
			machine.pendingOrders = append(machine.pendingOrders, order)
		}
	}
}

// recordForget counts an order to forget an attempt, and logs what allows it.
func (reg *Registry) recordForget(machine *machineState, order *pendingOrder) {
	basis := reg.forgetBasis(machine, order.key())
	if reg.options.OnForget != nil {
		reg.options.OnForget(basis)
	}
	if reg.options.Log == nil {
		return
	}
	started := uint64(0)
	if sent := machine.sentStarts[order.key()]; sent != nil {
		started = sent.token
	}
	reg.options.Log.Debug("forget ordered", "machine", machine.name, "task", order.command().Task, "attempt", order.attempt, "basis", string(basis),
		"started_under", started, "token", reg.messageToken(machine), "limit", reg.tokenLimit)
}
