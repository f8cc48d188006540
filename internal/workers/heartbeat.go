package workers

import (
	"fmt"
	"math"
	"net/http"
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

// Bounds of the fields of a heartbeat.
const (
	maxMachineNameLen     = 150
	maxTerminationNoticeS = 1e6
)

// HeartbeatError reports which field of a heartbeat is invalid, by its name on the wire, and why.
type HeartbeatError struct {
	Field   string
	Problem string
}

// Error returns the field and its problem.
func (e *HeartbeatError) Error() string { return fmt.Sprintf("field %s: %s", e.Field, e.Problem) }

// HeartbeatResult is the answer to a worker's heartbeat.
type HeartbeatResult struct {
	Status       int    // 200, 421 or 503
	Redirect     string // with 421: the controller to send heartbeats to
	Token        uint64
	Commands     []model.Command
	NotifyLeader bool // a change should be reported to the leader soon
	AwaitsLeader bool // the answer only waits for a message from the leader
	// AwaitsAcknowledgement reports whether that message is the list of open jobs or the acknowledgement of the
	// machine's tasks, and not a lease.
	AwaitsAcknowledgement bool
}

// refused is the answer of a controller that may not answer a worker now.
func refused() HeartbeatResult { return HeartbeatResult{Status: http.StatusServiceUnavailable} }

// unacknowledged is the answer while it is not known which of a machine's tasks are wanted.
func unacknowledged() HeartbeatResult {
	return HeartbeatResult{Status: http.StatusServiceUnavailable, AwaitsLeader: true, AwaitsAcknowledgement: true}
}

// accepted is an answer that extends a worker's lease.
func (reg *Registry) accepted(machine *machineState, commands []model.Command) HeartbeatResult {
	return HeartbeatResult{Status: http.StatusOK, Token: reg.messageToken(machine), Commands: commands}
}

// ValidateHeartbeat checks a heartbeat's fields; the error is a HeartbeatError.
func ValidateHeartbeat(heartbeat *model.Heartbeat) error {
	switch {
	case heartbeat.Machine == "" || len(heartbeat.Machine) > maxMachineNameLen:
		return &HeartbeatError{Field: "berth", Problem: "missing or too long"}
	case heartbeat.Type == "":
		return &HeartbeatError{Field: "hull", Problem: "missing"}
	case heartbeat.Zone == "":
		return &HeartbeatError{Field: "yard", Problem: "missing"}
	case heartbeat.Session == 0:
		return &HeartbeatError{Field: "shift", Problem: "missing"}
	case heartbeat.NoticeS != nil && !validTerminationNotice(*heartbeat.NoticeS):
		return &HeartbeatError{Field: "recallS", Problem: "out of range"}
	}
	for _, task := range heartbeat.Tasks {
		if _, _, ok := model.SplitTask(task.Task); !ok {
			return &HeartbeatError{Field: "pieces", Problem: "not a task: " + task.Task}
		}
		switch task.State {
		case model.TaskFetching, model.TaskWaitingForGang, model.TaskRunning, model.TaskSaving, model.TaskExited:
		default:
			return &HeartbeatError{Field: "pieces", Problem: "unknown stage"}
		}
	}
	return nil
}

func validTerminationNotice(seconds float64) bool {
	return !math.IsNaN(seconds) && seconds >= 0 && seconds <= maxTerminationNoticeS
}

// HandleHeartbeat handles one heartbeat of a worker and returns the answer to send.
func (reg *Registry) HandleHeartbeat(now time.Time, heartbeat *model.Heartbeat) HeartbeatResult {
	shown := heartbeat.Token
	heartbeat = reg.normalize(heartbeat)
	// Guard: without a valid lease this controller must not act, even if its lease ended only
	// a moment ago.
	if !reg.HoldsLease(now) || heartbeat.Token > reg.token {
		result := refused()
		result.AwaitsLeader = heartbeat.Token <= reg.token || reg.leader == "" // the token limit may be higher
		return result
	}
	pool := model.Pool{Type: heartbeat.Type, Zone: heartbeat.Zone}
	switch owner := reg.owners[pool]; owner {
	case reg.options.Member:
	case "":
		result := refused()
		result.AwaitsLeader = len(reg.owners) == 0 // the leader has not sent the pools' owners yet
		return result
	default:
		reg.recordMisdirected(now, heartbeat.Machine)
		return reg.redirectTo(owner, pool)
	}
	machine := reg.machines.At(heartbeat.Machine)
	if machine == nil {
		machine = reg.add(&machineState{name: heartbeat.Machine, pool: pool, terminationNotice: noTermination})
	}
	reg.observeToken(machine, shown)
	if result, done := reg.answerWithoutApplying(now, machine, heartbeat); done {
		return result
	}
	return reg.acceptHeartbeat(now, machine, heartbeat)
}

// answerWithoutApplying answers a heartbeat of a known machine if the heartbeat must not be applied.
// Otherwise done is false.
func (reg *Registry) answerWithoutApplying(now time.Time, machine *machineState, heartbeat *model.Heartbeat) (result HeartbeatResult, done bool) {
	switch {
	case machine.agent.endedEpoch > 0 && heartbeat.Session <= machine.agent.endedEpoch:
		// Guard: the end of this epoch was reported to the leader. An answer would extend the
		// epoch's lease again.
		reg.scheduleProbe(machine, heartbeat)
		return refused(), true
	case machine.agent.restarted: // the heartbeat's content is ignored until the next token
		return reg.acceptStops(now, machine, heartbeat), true
	case machine.acknowledgement.isWaiting(machine.newest, heartbeat):
		return reg.respond(now, machine, heartbeat), true // it was applied when it arrived
	case !machine.precedes(heartbeat):
		return reg.handleStale(now, machine, heartbeat), true
	case reg.withholdsAnswer(machine, heartbeat):
		return refused(), true
	case machine.contradicts(heartbeat):
		return reg.answerContradiction(now, machine, heartbeat), true
	case machine.needsConfirmation(heartbeat):
		return reg.answerUnconfirmed(now, machine, heartbeat), true
	}
	return HeartbeatResult{}, false
}

// acceptHeartbeat applies the newest heartbeat of a machine and answers it.
func (reg *Registry) acceptHeartbeat(now time.Time, machine *machineState, heartbeat *model.Heartbeat) HeartbeatResult {
	changeBefore := reg.lastChange
	reg.recordContact(now, machine) // the worker's lease may start when it sent this heartbeat, even if it gets no answer
	machine.directCall.failed = false
	// A worker has only one heartbeat in flight, so this one shows the effect of every earlier answer if it
	// comes from the agent's present incarnation. A direct call's response does not show the effect, because
	// an answer may still be on its way to the worker.
	undecidedBefore := len(machine.undecidedStarts())
	reg.updateReachability(now, machine, heartbeat)
	machine.settleSentStarts(heartbeat)
	if len(machine.undecidedStarts()) != undecidedBefore {
		reg.markChanged(machine)
	}
	reg.applyHeartbeat(now, machine, heartbeat)
	result := reg.respond(now, machine, heartbeat)
	result.NotifyLeader = reg.lastChange != changeBefore
	return result
}

// respond answers a heartbeat that was applied, or returns a pending result if it is not known which of the machine's
// tasks are wanted.
func (reg *Registry) respond(now time.Time, machine *machineState, heartbeat *model.Heartbeat) HeartbeatResult {
	stops, mayAnswer := reg.checkTasks(now, machine, heartbeat)
	if !mayAnswer {
		machine.acknowledgement.waitingSeq = heartbeat.Seq
		return unacknowledged()
	}
	machine.acknowledgement.waitingSeq = 0
	reg.recordContact(now, machine)
	machine.agent.answeredSeq = heartbeat.Seq
	if heartbeat.Token != reg.token {
		machine.directCall.tokenSent = true
		return reg.accepted(machine, machine.stopCommands(stops))
	}
	if heartbeat.Seq != machine.newest.seq { // a direct call has overtaken it while it waited
		return reg.accepted(machine, machine.stopCommands(stops))
	}
	return reg.accepted(machine, reg.takeCommands(machine, stops))
}

// acceptStops answers a heartbeat that was not applied: the answer carries stops only. The result is pending if it is
// not known which of the machine's tasks are wanted.
func (reg *Registry) acceptStops(now time.Time, machine *machineState, heartbeat *model.Heartbeat) HeartbeatResult {
	stops, mayAnswer := reg.checkTasks(now, machine, heartbeat)
	if !mayAnswer {
		return unacknowledged()
	}
	reg.recordContact(now, machine)
	return reg.accepted(machine, machine.stopCommands(stops))
}

// applyHeartbeat updates a machine's state from its newest heartbeat, which the worker sent either by
// itself or in response to a direct call.
func (reg *Registry) applyHeartbeat(now time.Time, machine *machineState, heartbeat *model.Heartbeat) {
	epochChanged := machine.newest.epoch != heartbeat.Session
	machine.addr, machine.spot = heartbeat.Addr, heartbeat.Spot
	machine.newest = versionOf(heartbeat)
	machine.agent.unconfirmed = false
	reg.updateTerminationNotice(machine, heartbeat)
	undecidedBefore := len(machine.undecidedStarts())
	if epochChanged {
		reg.resetForEpoch(now, machine)
	}
	if machine.setTasks(heartbeat.Tasks) {
		reg.markChanged(machine)
		reg.recordListChange(machine)
	}
	if heartbeat.Token == reg.token && !machine.hasLiveTasks() && reg.acknowledgedChange > 0 {
		machine.acknowledgement.complete = true // from now on only the leader adds tasks
	}
	machine.resolveReportedStarts()
	if len(machine.undecidedStarts()) != undecidedBefore {
		reg.markChanged(machine)
	}
	reg.updatePhase(now, machine, heartbeat)
	reg.enqueueCall(machine)
}

func (reg *Registry) updateTerminationNotice(machine *machineState, heartbeat *model.Heartbeat) {
	hadNotice := machine.hasTerminationNotice()
	machine.terminationNotice = noTermination
	if heartbeat.NoticeS != nil {
		machine.terminationNotice = model.Seconds(*heartbeat.NoticeS)
	}
	if machine.hasTerminationNotice() != hadNotice {
		reg.markChanged(machine)
	}
}

// updatePhase sets the machine's phase according to the token in the newest heartbeat.
func (reg *Registry) updatePhase(now time.Time, machine *machineState, heartbeat *model.Heartbeat) {
	// Until the worker has shown our token, orders of an earlier token may still be on their way to it.
	phase := Joining
	if heartbeat.Token == reg.token {
		phase = Current
	}
	if machine.phase == phase {
		return
	}
	if phase == Current {
		machine.sentStarts = nil
		// Guard: until the worker adopted our token, another owner may have answered it without this
		// registry knowing; from then on no other owner can. Without this line, a registry that had
		// owned the machine earlier counted the lease from its own last answer of that time. It
		// reported the lease as over, and the leader believed it because the machine had shown our token.
		reg.recordContact(now, machine)
	}
	reg.setPhase(machine, phase)
}
