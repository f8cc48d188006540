package workers

import (
	"math"
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

// After a token change an owner does not know whether the tasks that a machine reports are still wanted:
// the leader may know that some of them were cancelled long ago. An answer to a heartbeat extends the
// lease of all of them, so the owner delays the answer until the leader has acknowledged the machine's
// list of tasks. The answer then carries the stops that came with the acknowledgement.

// AllChangesSeen is sent by a leader as the last change it has seen when it has no stop for any task on
// the owner's machines.
const AllChangesSeen = math.MaxUint64

// slowLeaderWait is how long an answer to a machine waits for the acknowledgement of a leader that
// keeps sending rounds.
const slowLeaderWait = 1500 * time.Millisecond

// taskAcknowledgement is the state of the leader's acknowledgement of a machine's tasks under the
// current token.
type taskAcknowledgement struct {
	complete     bool        // the leader has acknowledged a complete list of the tasks
	listedChange uint64      // the registry's change that reports them to the leader; see awaitsAcknowledgement
	waitSince    time.Time   // start of the wait for the acknowledgement; zero: not waiting
	waitRounds   uint64      // the registry's leaseRounds at waitSince
	graceUntil   time.Time   // heartbeats before this time need no acknowledgement; see extendGrace
	basis        AnswerBasis // of the last answer to live tasks under the current token
	waitingSeq   uint64      // sequence number of the heartbeat whose answer waits for the acknowledgement; 0: none
}

// reset discards the acknowledgement of an earlier token. It keeps graceUntil, which outlasts a token.
func (a *taskAcknowledgement) reset() {
	a.complete, a.waitingSeq, a.waitSince, a.basis = false, 0, time.Time{}, noAnswerRecorded
}

// isWaiting reports whether a heartbeat is the one whose answer waits for the acknowledgement.
func (a *taskAcknowledgement) isWaiting(newest heartbeatVersion, heartbeat *model.Heartbeat) bool {
	return a.waitingSeq != 0 && a.waitingSeq == heartbeat.Seq && newest.epoch == heartbeat.Session
}

// acknowledge records the last change of this registry that the leader has seen.
func (reg *Registry) acknowledge(change uint64) {
	reg.acknowledgedChange = max(reg.acknowledgedChange, change)
}

// recordListChange records which change reports a machine's tasks to the leader. It does nothing once a
// complete list is acknowledged, because from then on only the leader itself adds tasks to it.
func (reg *Registry) recordListChange(machine *machineState) {
	if !machine.acknowledgement.complete {
		machine.acknowledgement.listedChange = reg.lastChange
	}
}

// awaitsAcknowledgement reports whether an answer to the machine's heartbeat must wait because the
// machine has tasks that the leader has not acknowledged under this token.
//
// Guard: a leader that knew of a cancellation was refused by the key-value store before its failover
// was complete. The machine's owner still held a lease and answered the machine, which came back from a
// partition and ran a task of the cancelled job. The task kept running for longer than cancel_s
// (simtest, seed 7100019330).
func (reg *Registry) awaitsAcknowledgement(now time.Time, machine *machineState) bool {
	if !machine.hasLiveTasks() {
		machine.acknowledgement.complete = machine.acknowledgement.complete || machine.phase == Current
		return false
	}
	basis := reg.answerBasis(now, machine)
	reg.recordBasis(machine, basis)
	if basis != Acknowledged && basis != NoStopsForOwner {
		return basis == AwaitingAnswer
	}
	// Until the worker reports our token, a start from an earlier leader may still reach it.
	machine.acknowledgement.complete = machine.acknowledgement.complete || machine.phase == Current
	return false
}

// answerBasis returns why a machine with live tasks may be answered.
func (reg *Registry) answerBasis(now time.Time, machine *machineState) AnswerBasis {
	wait := &machine.acknowledgement
	switch {
	case wait.complete:
		return Acknowledged
	case reg.acknowledgedChange == AllChangesSeen:
		return NoStopsForOwner
	case reg.acknowledgedChange >= wait.listedChange:
		return Acknowledged
	case now.Before(wait.graceUntil):
		return WithinGrace
	case reg.leaderIsSlow(now, machine):
		return SlowLeader
	}
	return AwaitingAnswer
}

// leaderIsSlow reports whether the leader has sent further rounds since the wait began, but has not
// acknowledged the machine's tasks within slowLeaderWait.
//
// Guard: a leader short of processor time takes many seconds to process thousands of task lists.
// Meanwhile the leases of machines whose pool had a new owner ran out, and all of their tasks were lost.
// This is an exception to the second invariant of docs/safety.md: if such a leader loses its lease before
// it has processed the list, a cancelled task may stay alive for one lease from here.
func (reg *Registry) leaderIsSlow(now time.Time, machine *machineState) bool {
	wait := &machine.acknowledgement
	if wait.waitSince.IsZero() {
		wait.waitSince, wait.waitRounds = now, reg.leaseRounds
	}
	return now.Sub(wait.waitSince) >= slowLeaderWait && reg.leaseRounds > wait.waitRounds
}

// extendGrace is called when a new token is adopted. It sets the time until which a machine may be answered
// before the next leader has acknowledged its tasks. Tasks cancelled before the last leader read the jobs
// have already been stopped on the machine, and tasks cancelled after that read may run for CancelGrace
// from then on.
//
// Guard: a new leader with little processor time takes seconds to acknowledge the tasks of thousands of
// machines. Their heartbeats were not answered meanwhile, so their leases ran out and all of their tasks
// were lost.
func (reg *Registry) extendGrace(machine *machineState) {
	switch {
	case machine.agent.restarted || machine.agent.unexpectedEpoch != 0 || len(machine.stopCommands()) > 0:
		machine.acknowledgement.graceUntil = time.Time{} // a stop not yet executed is discarded with the old token
	case machine.acknowledgement.complete && !reg.cancellationsSeenUntil.IsZero():
		machine.acknowledgement.graceUntil = reg.cancellationsSeenUntil.Add(reg.options.CancelGrace)
	}
}
