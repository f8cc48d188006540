package workers

import (
	"cmp"
	"net/http"
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

// Heartbeats may arrive late, twice, or from an agent that restarted under the same name and address,
// whose token, epoch and sequence number start low again. Within one incarnation of an agent the triple
// (token, epoch, sequence number), compared in this order, only increases, so the heartbeat with the
// larger triple was made later. A heartbeat alone does not show which incarnation sent it. The response
// to a direct call does, because it was made after the call.

// heartbeatVersion orders the heartbeats of one incarnation of an agent.
type heartbeatVersion struct {
	token uint64
	epoch uint64
	seq   uint64
}

func versionOf(heartbeat *model.Heartbeat) heartbeatVersion {
	return heartbeatVersion{token: heartbeat.Token, epoch: heartbeat.Session, seq: heartbeat.Seq}
}

// precedes reports whether a heartbeat was made before another one of the same incarnation.
//
// Guard: the token is compared first. A late heartbeat of an agent's earlier incarnation has a larger
// sequence number than the present ones; a heartbeat that shows a token issued later was nevertheless
// made later.
func (v heartbeatVersion) precedes(other heartbeatVersion) bool {
	return cmp.Or(cmp.Compare(v.token, other.token), cmp.Compare(v.epoch, other.epoch), cmp.Compare(v.seq, other.seq)) < 0
}

// precedes reports whether the machine's newest heartbeat was made before another one, provided that its
// agent has not restarted between them.
func (m *machineState) precedes(heartbeat *model.Heartbeat) bool {
	return m.newest.precedes(versionOf(heartbeat))
}

// handleStale answers a heartbeat that is no newer than the newest known one: a late heartbeat, a
// duplicate, or one of an agent that restarted. Its list of tasks is ignored.
func (reg *Registry) handleStale(now time.Time, machine *machineState, heartbeat *model.Heartbeat) HeartbeatResult {
	// Guard: the response to a direct call may have overtaken the heartbeat. The worker still waits for
	// this answer, which extends its lease; when the lease was counted from the previous heartbeat, it was
	// reported as over too early. The worker no longer waits if this heartbeat or a later one was already
	// answered. When such duplicates extended the lease, machines that no longer existed were not
	// reported as expired.
	overtaken := heartbeat.Session == machine.newest.epoch && heartbeat.Seq > machine.agent.answeredSeq && heartbeat.Seq < machine.newest.seq
	if !overtaken {
		return reg.handleUnexpected(machine, heartbeat)
	}
	result := reg.acceptStops(now, machine, heartbeat)
	if result.Status == http.StatusOK {
		machine.agent.answeredSeq = heartbeat.Seq
		reg.scheduleProbe(machine, heartbeat)
	}
	return result
}

// handleUnexpected refuses a heartbeat that is late, or of another incarnation of the agent, and has the machine
// called. If a call has brought nothing and the heartbeat shows a lower token than the known one, the agent may
// have restarted, and only a new token can tell.
//
// Guard: another incarnation may wait for this answer. An answer with our token would extend its lease, which
// is not counted here, and hide that it never had the token. The machine was reported as expired while the next
// incarnation ran a task.
func (reg *Registry) handleUnexpected(machine *machineState, heartbeat *model.Heartbeat) HeartbeatResult {
	reg.recordAnomaly(StaleHeartbeat, machine, heartbeat)
	reg.scheduleProbe(machine, heartbeat)
	if heartbeat.Token < machine.newest.token && machine.directCall.inspectionFailed {
		reg.recordRestart(machine, heartbeat)
	}
	return refused()
}

// scheduleProbe schedules a direct call to a machine whose heartbeat does not fit the known state. The call
// hands over nothing, not even our token, so that the response shows the token that the worker had.
//
// Guard: the sequence numbers of a restarted agent start low again. Its heartbeats were taken for late
// ones and ignored until their numbers reached the earlier ones or the agent's lease had run out.
func (reg *Registry) scheduleProbe(machine *machineState, heartbeat *model.Heartbeat) {
	machine.agent.unexpectedEpoch, machine.directCall.failed = heartbeat.Session, false
	if machine.addr == "" {
		machine.addr = heartbeat.Addr
	}
	reg.enqueueCall(machine)
}
