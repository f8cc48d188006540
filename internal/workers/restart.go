package workers

import (
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

// agentState is what the registry knows about a machine's agent besides its newest heartbeat.
type agentState struct {
	answeredSeq     uint64 // sequence number of this epoch's last answered heartbeat, not counting call responses
	endedEpoch      uint64 // the epoch whose end was reported to the leader, or 0
	unexpectedEpoch uint64 // epoch of a heartbeat that did not fit the known state, until the machine is called; 0: none
	restarted       bool   // two incarnations of the agent have shown this token, or may have; see recordRestart
	unconfirmed     bool   // a heartbeat was not applied; see needsConfirmation
}

// recordRestart records that a machine's agent restarted: it responded to a call with a heartbeat no
// newer than the newest one that was known when the call was made, or two messages cannot come from the
// same incarnation, or a heartbeat that would release a task could not be confirmed. heartbeat is nil if
// the machine did not respond.
//
// Guard: heartbeats of the agent's earlier incarnation may still arrive and look newer. Only a new token
// distinguishes the incarnations, because no heartbeat sent before the token shows it. Until then the
// machine's task list stays unchanged, nothing is started there, and the machine is reported to the
// leader as uncertain.
func (reg *Registry) recordRestart(machine *machineState, heartbeat *model.Heartbeat) {
	if !machine.agent.restarted {
		reg.recordAnomaly(AgentRestart, machine, heartbeat)
		machine.agent.restarted = true
		reg.markChanged(machine)
	}
}

// forgetIncarnation discards the state from before an agent's restart. It is called when a new token is
// adopted, because only the agent's present incarnation can show that token.
func (m *machineState) forgetIncarnation() {
	m.agent.restarted, m.agent.answeredSeq = false, 0
	m.newest = heartbeatVersion{}
	m.replaceTasks(nil)
}

// resetForEpoch discards the state of the agent's previous epoch. The worker refuses direct calls of that
// epoch from now on.
func (reg *Registry) resetForEpoch(now time.Time, machine *machineState) {
	machine.agent.answeredSeq = 0
	machine.reachability.epochSince, machine.reachability.lostAnswers = now, 0
	// Guard: an epoch's lease runs from its beginning, which is not later than now. When the lease was
	// counted from the last heartbeat, it ended too early on machines that only direct calls reached.
	reg.recordContact(now, machine)
	machine.sentStarts = nil
	// Guard: once a heartbeat has shown a start's task, the leader considers the start decided. It
	// releases the task when the epoch ends and starts it elsewhere. A call that carried the start may
	// still be in flight then; when that call went unanswered, the start was queued again and delivered
	// in the new epoch.
	//
	// A start from the answer to a heartbeat of the previous epoch is decided as well, because a worker drops
	// such an answer in the next epoch.
	machine.resolveOrders(func(order *pendingOrder) bool {
		return order.state == outcomeUnknown || order.state == sentInAnswer || order.reported
	})
}
