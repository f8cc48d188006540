package workers

import (
	"log/slog"

	"github.com/marlwood/marlwood/internal/model"
)

// Anomaly is a kind of message that does not follow from the messages of the same machine that came before.
// One incarnation of an agent on a network that loses and delays nothing causes none of them.
type Anomaly string

// The anomalies. The values are labels of a metric.
const (
	StaleHeartbeat  Anomaly = "stale_report"     // a heartbeat is no newer than the newest known one
	MissingTasks    Anomaly = "missing_tasks"    // live tasks are missing in a newer message of the same epoch
	Unconfirmed     Anomaly = "unconfirmed"      // a heartbeat would release a task; see needsConfirmation
	AgentRestart    Anomaly = "worker_restart"   // the agent restarted; see recordRestart
	SameIncarnation Anomaly = "same_incarnation" // the response to a probe shows the token: the agent did not restart
)

// LogValue returns the version by the names of its fields on the wire.
func (v heartbeatVersion) LogValue() slog.Value {
	return slog.GroupValue(slog.Uint64("baton", v.token), slog.Uint64("shift", v.epoch), slog.Uint64("tally", v.seq))
}

// recordAnomaly logs a message that does not fit the machine's known state, and counts it. heartbeat is nil if the
// machine could not be asked.
func (reg *Registry) recordAnomaly(kind Anomaly, machine *machineState, heartbeat *model.Heartbeat) {
	if reg.options.OnAnomaly != nil {
		reg.options.OnAnomaly(kind)
	}
	if reg.options.Log == nil {
		return
	}
	log := reg.options.Log.With("kind", string(kind), "machine", machine.name, "known", machine.newest, "known_tasks", len(machine.tasks))
	if heartbeat == nil {
		log.Info("no report")
		return
	}
	log.Info("unexpected report", "got", versionOf(heartbeat), "got_tasks", len(heartbeat.Tasks))
}
