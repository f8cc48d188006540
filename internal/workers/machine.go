package workers

import (
	"container/list"
	"time"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/peers/peerspb"
)

// Phase is the state of a machine under the owner's current token.
type Phase string

// The phases.
const (
	Joining Phase = "joining" // it has not yet shown our token
	Current Phase = "current" // its newest heartbeat shows our token: its list of tasks is complete
	Expired Phase = "expired" // silent for longer than its lease: it has no tasks left
)

// noTermination is the termination notice of a machine that has none.
const noTermination time.Duration = -1

// machineState is the registry's state of one machine and of the agent that runs on it.
type machineState struct {
	name              string
	addr              string
	pool              model.Pool
	spot              bool
	phase             Phase
	terminationNotice time.Duration // time until the provider ends the machine; noTermination: not announced
	cordoned          bool
	tasks             []*peerspb.Task
	taskIndex         map[attemptKey]*peerspb.Task // of many tasks; nil: not built since they were replaced

	newest          heartbeatVersion
	agent           agentState
	acknowledgement taskAcknowledgement
	contact         contactState
	reachability    reachability

	pendingOrders []*pendingOrder
	sentStarts    sentStarts
	directCall    directCallState

	token          uint64 // of the messages to the worker; see messageToken
	forgetsOverdue bool   // too many attempts wait to be forgotten; see maxWaitingForgets

	change    uint64 // number of the registry's last change to this machine
	occupancy occupancyCache
	entries   listEntries
}

// listEntries are a machine's entries in the registry's lists; nil: it is not in that list.
type listEntries struct {
	change  *list.Element
	contact *list.Element // nil: no contact yet, or reported as silent and expired
	call    *list.Element
}

// setPhase is the one place where a machine's phase changes.
func (reg *Registry) setPhase(machine *machineState, phase Phase) {
	if phase == Expired {
		// Its lease has run out: no task runs there, queued orders are never delivered, and the worker's
		// next epoch refuses late calls.
		machine.pendingOrders, machine.sentStarts = nil, nil
		machine.replaceTasks(nil)
		machine.agent.endedEpoch = machine.newest.epoch
	}
	if phase == Joining || phase == Current {
		machine.directCall.resetTokenDelivery()
	}
	machine.phase = phase
	reg.enqueueCall(machine)
	reg.markChanged(machine)
}

// markChanged includes a machine in the response to the leader's next round.
func (reg *Registry) markChanged(machine *machineState) {
	reg.lastChange++
	machine.change, machine.occupancy.valid = reg.lastChange, false
	if machine.entries.change == nil {
		machine.entries.change = reg.changeList.PushBack(machine)
	} else {
		reg.changeList.MoveToBack(machine.entries.change)
	}
}

// add registers a new machine.
func (reg *Registry) add(machine *machineState) *machineState {
	machine.token = reg.token
	reg.machines.Put(machine.name, machine)
	reg.enqueueCall(machine)
	return machine
}

// remove removes a machine from the registry and from its lists.
func (reg *Registry) remove(machine *machineState) {
	reg.machines.Delete(machine.name)
	if machine.entries.call != nil {
		reg.callQueue.Remove(machine.entries.call)
	}
	if machine.entries.change != nil {
		reg.changeList.Remove(machine.entries.change)
	}
	if machine.entries.contact != nil {
		reg.contactList.Remove(machine.entries.contact)
	}
	machine.entries = listEntries{}
}

// acceptsStarts reports whether starts for the machine are accepted from the leader.
func (m *machineState) acceptsStarts() bool {
	return m.phase == Current && !m.agent.restarted && !m.reachability.unreachable
}

// hasLiveTasks reports whether any task of the machine has not exited.
func (m *machineState) hasLiveTasks() bool {
	for _, task := range m.tasks {
		if task.State != string(model.TaskExited) {
			return true
		}
	}
	return false
}

// reportedTask returns the task attempt of an order if the machine reported it, or nil.
func (m *machineState) reportedTask(order *pendingOrder) *peerspb.Task { return m.taskOf(order.key()) }

// minIndexedTasks is the fewest tasks for which an index is built. Most machines have a few tasks, which are found sooner
// without one.
const minIndexedTasks = 32

// taskOf returns the task of an attempt if the machine reported it, or nil.
//
// Guard: a machine may have some hundred small tasks, and each order for them looks for its task in each heartbeat.
func (m *machineState) taskOf(key attemptKey) *peerspb.Task {
	if len(m.tasks) >= minIndexedTasks {
		if m.taskIndex == nil {
			m.indexTasks()
		}
		return m.taskIndex[key]
	}
	for _, task := range m.tasks {
		if keyOf(task) == key {
			return task
		}
	}
	return nil
}

// indexTasks builds the index of the machine's tasks. The first of equal ones counts.
func (m *machineState) indexTasks() {
	m.taskIndex = make(map[attemptKey]*peerspb.Task, len(m.tasks))
	for i := len(m.tasks) - 1; i >= 0; i-- {
		m.taskIndex[keyOf(m.tasks[i])] = m.tasks[i]
	}
}

// replaceTasks replaces the machine's tasks.
func (m *machineState) replaceTasks(tasks []*peerspb.Task) { m.tasks, m.taskIndex = tasks, nil }

// setTasks replaces the machine's tasks and reports whether anything that the leader acts on has changed.
func (m *machineState) setTasks(statuses []model.TaskStatus) bool {
	same := len(statuses) == len(m.tasks)
	tasks := make([]*peerspb.Task, 0, len(statuses))
	for i, status := range statuses {
		job, index, _ := model.SplitTask(status.Task)
		task := &peerspb.Task{
			Job:     job,
			Index:   uint32(index),
			Attempt: status.Attempt,
			State:   string(status.State),
			Cause:   string(status.Cause),
			Saved:   status.Saved,
		}
		tasks = append(tasks, task)
		same = same && sameTask(m.tasks[i], task)
	}
	m.replaceTasks(tasks)
	return !same
}

// sameTask reports whether two statuses of a task are equal, ignoring the checkpoint.
func sameTask(before, after *peerspb.Task) bool {
	return before.Job == after.Job && before.Index == after.Index && before.Attempt == after.Attempt &&
		before.State == after.State && before.Cause == after.Cause
}

// tasksForLeader returns the machine's tasks without those that the leader asked to forget but that the
// worker still keeps; see deferForget.
func (m *machineState) tasksForLeader() []*peerspb.Task {
	if m.waitingForgets() == 0 {
		return m.tasks
	}
	var tasks []*peerspb.Task
	for _, task := range m.tasks {
		if sent := m.sentStarts[keyOf(task)]; sent == nil || !sent.forget {
			tasks = append(tasks, task)
		}
	}
	return tasks
}

// isUncertain reports whether the leader can't rely on the machine's list of tasks under this token
// because its agent restarted or because the worker may still execute a start that is no longer wanted, or needs a
// fresh token because it could not be told to forget its attempts.
func (m *machineState) isUncertain() bool {
	uncertain := m.agent.restarted || m.forgetsOverdue
	for _, order := range m.pendingOrders {
		uncertain = uncertain || (order.state == outcomeUnknown && order.superseded)
	}
	return uncertain
}

// toWire returns the machine's state in the form that is sent to the leader.
func (m *machineState) toWire() *peerspb.Machine {
	noticeMs := int64(-1)
	if m.hasTerminationNotice() {
		noticeMs = m.terminationNotice.Milliseconds()
	}
	return &peerspb.Machine{
		Name:      m.name,
		Addr:      m.addr,
		Kind:      &peerspb.Kind{Type: m.pool.Type, Zone: m.pool.Zone},
		Spot:      m.spot,
		Phase:     string(m.phase),
		Session:   m.newest.epoch,
		Seq:       m.newest.seq,
		Undecided: m.undecidedStarts(),
		Unsure:    m.isUncertain(),
		Quiet:     m.contact.missedHeartbeats,
		Unreached: m.reachability.unreachable,
		NoticeMs:  noticeMs,
		Tasks:     m.tasksForLeader(),
	}
}

// hasTerminationNotice reports whether the provider has announced the machine's end.
func (m *machineState) hasTerminationNotice() bool { return m.terminationNotice >= 0 }
