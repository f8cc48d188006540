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
	AgentRestart    Anomaly = "worker_restart"   // the agent restarted; see recordRestart
	SameIncarnation Anomaly = "same_incarnation" // the response to a probe shows the token: the agent did not restart
)

// LogValue returns the version by the names of its fields on the wire.
func (v heartbeatVersion) LogValue() slog.Value {
	return slog.GroupValue(slog.Uint64("baton", v.token), slog.Uint64("shift", v.epoch), slog.Uint64("tally", v.seq))
}

// recordAnomaly logs a message that does not fit the machine's known state, and counts it.
func (reg *Registry) recordAnomaly(kind Anomaly, machine *machineState, heartbeat *model.Heartbeat) {
	if reg.options.OnAnomaly != nil {
		reg.options.OnAnomaly(kind)
	}
	if reg.options.Log == nil {
		return
	}
	reg.options.Log.Info("unexpected report", "kind", string(kind), "machine", machine.name, "known", machine.newest,
		"known_tasks", len(machine.tasks), "got", versionOf(heartbeat), "got_tasks", len(heartbeat.Tasks))
}

// missingTasks returns the number of live tasks of the machine that a heartbeat does not contain.
func (m *machineState) missingTasks(heartbeat *model.Heartbeat) int {
	missing := 0
	for _, task := range m.tasks {
		if task.State == string(model.TaskExited) {
			continue
		}
		if !containsAttempt(heartbeat, task.Job, int(task.Index), task.Attempt) {
			missing++
		}
	}
	return missing
}

// containsAttempt reports whether a heartbeat contains an attempt of a task, in any state.
func containsAttempt(heartbeat *model.Heartbeat, job string, index int, attempt uint64) bool {
	name := model.TaskName(job, index)
	for _, task := range heartbeat.Tasks {
		if task.Attempt == attempt && task.Task == name {
			return true
		}
	}
	return false
}
