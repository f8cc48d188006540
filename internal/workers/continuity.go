package workers

import (
	"strconv"
	"strings"
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

// Two incarnations of an agent may have adopted the same token: the later one from a direct call, or from the
// answer to a heartbeat of which nothing showed that it was the later one's first. Their epochs and sequence
// numbers do not compare, so a late heartbeat of the earlier one may look like the newest. What a heartbeat
// shows may therefore be false in one way: something may be on the machine that it lacks. The checks in this
// file keep such a heartbeat from releasing anything. A message that shows a higher token than all before
// needs no check, because every earlier incarnation had ended when that token was chosen.

// contradicts reports whether a message cannot come from the incarnation that made the newest known one. A
// worker repeats each task in its heartbeats until the task has exited, or its epoch ends.
func (m *machineState) contradicts(heartbeat *model.Heartbeat) bool {
	return m.phase == Current && heartbeat.Session == m.newest.epoch && m.lacksLiveTask(heartbeat)
}

// needsConfirmation reports whether a heartbeat would release a task or a start that may be on the machine
// if the heartbeat came from an earlier incarnation: it shows another epoch, or the exit of a start that
// was sent more than once and that another incarnation may have executed again. The response to a direct
// call shows what is on the machine now.
func (m *machineState) needsConfirmation(heartbeat *model.Heartbeat) bool {
	if m.phase != Current {
		return false
	}
	if heartbeat.Session != m.newest.epoch {
		return m.hasLiveTasks() || m.hasDeliveredStart()
	}
	return m.endsRepeatedStart(heartbeat)
}

// hasDeliveredStart reports whether a start was sent, or is being sent, whose task no message has shown.
func (m *machineState) hasDeliveredStart() bool {
	for _, order := range m.pendingOrders {
		if order.isStart() && order.state != queued {
			return true
		}
	}
	return false
}

// endsRepeatedStart reports whether a heartbeat shows the exit of an attempt that was sent more than once
// and that is not known to have exited.
func (m *machineState) endsRepeatedStart(heartbeat *model.Heartbeat) bool {
	if len(m.sentStarts) == 0 {
		return false
	}
	for _, status := range heartbeat.Tasks {
		if status.State != model.TaskExited {
			continue
		}
		job, index, _ := model.SplitTask(status.Task)
		key := attemptKey{job, index, status.Attempt}
		if sent := m.sentStarts[key]; sent != nil && sent.repeated && !m.hasExited(key) {
			return true
		}
	}
	return false
}

// hasExited reports whether the newest known message shows an attempt as exited.
func (m *machineState) hasExited(key attemptKey) bool {
	task := m.taskOf(key)
	return task != nil && task.State == string(model.TaskExited)
}

// lacksLiveTask reports whether a message lacks a live task of the machine.
func (m *machineState) lacksLiveTask(heartbeat *model.Heartbeat) bool {
	next := 0
	for _, task := range m.tasks {
		if task.State == string(model.TaskExited) {
			continue
		}
		at := indexOfAttempt(heartbeat.Tasks, keyOf(task), next)
		if at < 0 {
			return true
		}
		next = at + 1
	}
	return false
}

// sharesLiveTask reports whether a message contains a live task that was known before. Then both come from
// the same incarnation. heartbeat may be nil.
func (m *machineState) sharesLiveTask(heartbeat *model.Heartbeat) bool {
	if heartbeat == nil {
		return false
	}
	for _, task := range m.tasks {
		if task.State != string(model.TaskExited) && indexOfAttempt(heartbeat.Tasks, keyOf(task), 0) >= 0 {
			return true
		}
	}
	return false
}

// indexOfAttempt returns the index of an attempt among the tasks of a heartbeat, or -1. It is found at once if
// it stands at the index where the search begins, as in heartbeats whose tasks have not changed.
func indexOfAttempt(tasks []model.TaskStatus, key attemptKey, begin int) int {
	for i := range tasks {
		at := (begin + i) % len(tasks)
		if tasks[at].Attempt == key.attempt && key.isNamed(tasks[at].Task) {
			return at
		}
	}
	return -1
}

// isNamed reports whether a valid name of a task on the wire is that of the attempt's task. It does without the
// checks of model.SplitTask, because it is called for each task of each heartbeat.
func (k attemptKey) isNamed(name string) bool {
	job, index, found := strings.Cut(name, "/")
	if !found || job != k.job {
		return false
	}
	number, err := strconv.Atoi(index)
	return err == nil && number == k.index
}

// answerContradiction answers a heartbeat that another incarnation made than the newest known one. Which of
// them is the present one is not known, so nothing is released until a new token separates them.
//
// Guard: a late heartbeat of an idle machine's earlier incarnation counted as the newest one, because its
// sequence number was larger. It lacked the task that the present incarnation ran, and the task was started
// on another machine as well (TestLateHeartbeatOfEarlierIncarnation).
func (reg *Registry) answerContradiction(now time.Time, machine *machineState, heartbeat *model.Heartbeat) HeartbeatResult {
	reg.recordAnomaly(MissingTasks, machine, heartbeat)
	reg.recordRestart(machine, heartbeat)
	result := reg.acceptStops(now, machine, heartbeat)
	result.NotifyLeader = true
	return result
}

// answerUnconfirmed answers a heartbeat that is not applied until the response to a direct call shows
// whether it is true of the machine's present incarnation.
func (reg *Registry) answerUnconfirmed(now time.Time, machine *machineState, heartbeat *model.Heartbeat) HeartbeatResult {
	reg.recordAnomaly(Unconfirmed, machine, heartbeat)
	machine.agent.unconfirmed = true
	reg.scheduleProbe(machine, heartbeat)
	if machine.hasTerminationNotice() { // it is no longer called
		reg.recordRestart(machine, heartbeat)
	}
	return reg.acceptStops(now, machine, heartbeat)
}

// settleSentStarts decides the starts that the previous answer carried: a heartbeat that shows a start's
// task decides it. A start that it does not show is repeated.
//
// Guard: the heartbeat may come from an earlier incarnation, while the present one executes the answer. When
// a heartbeat without the task decided that the start was lost, the task was started on another machine as
// well (TestStartSentToNextIncarnation).
func (m *machineState) settleSentStarts(heartbeat *model.Heartbeat) {
	search := taskSearch{heartbeat: heartbeat}
	m.resolveOrders(func(order *pendingOrder) bool {
		if order.state != sentInAnswer {
			return false
		}
		if search.contains(order) {
			return true
		}
		m.markOutcomeUnknown(order, m.token)
		return false
	})
}

// lacksExecutedStart reports whether the newest known message lacks a start that the response to a call
// shows as executed. Then they come from two incarnations.
func (m *machineState) lacksExecutedStart(call *Call) bool {
	for _, order := range m.pendingOrders {
		if order.state == callInFlight && call.includes(order) && !order.reported && m.reportedTask(order) == nil {
			return true
		}
	}
	return false
}
