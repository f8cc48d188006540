package workers

import (
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

// maxLostAnswers is the number of consecutive lost answers with starts after which a machine counts as
// unreachable.
const maxLostAnswers = 2

// reachability records whether our answers reach a machine, judged by its heartbeats. A machine whose
// heartbeats arrive while our answers are lost is behind a one-way partition.
type reachability struct {
	unreachable  bool
	epochSince   time.Time // arrival of the first heartbeat of its epoch
	lastAnswered time.Time // when a heartbeat of its epoch was last answered
	lostAnswers  int       // consecutive answers with a start whose task was not in the next heartbeat
}

// confirm records that one of our answers or calls has reached the machine.
func (r *reachability) confirm() { r.unreachable, r.lostAnswers = false, 0 }

// updateReachability decides from a heartbeat, before it is applied, whether our answers reach the
// machine. They do not if an epoch ended within a lease of an answered heartbeat, or if answers with
// starts have no effect. They do if the machine shows a new token for the first time, if it shows a
// started task, or if its epoch lasts longer than a lease.
func (reg *Registry) updateReachability(now time.Time, machine *machineState, heartbeat *model.Heartbeat) {
	reachability, wasUnreachable := &machine.reachability, machine.reachability.unreachable
	switch {
	case heartbeat.Session != machine.newest.epoch:
		endedThoughAnswered := machine.newest.epoch > 0 && now.Sub(reachability.lastAnswered) < reg.options.Lease
		reachability.unreachable = reachability.unreachable || endedThoughAnswered
	case heartbeat.Token > machine.newest.token, now.Sub(reachability.epochSince) > reg.options.Lease+reg.options.Margin:
		reachability.confirm()
	default:
		machine.checkSentStarts(heartbeat)
	}
	reachability.lastAnswered = now
	if reachability.unreachable && !wasUnreachable {
		// Starts not sent yet are dropped, so that the leader can place their tasks elsewhere at once.
		machine.resolveOrders(func(order *pendingOrder) bool { return order.isStart() && order.state == queued })
	}
	if reachability.unreachable != wasUnreachable {
		reg.markChanged(machine)
		reg.enqueueCall(machine)
	}
}

// checkSentStarts decides whether the last answer reached the machine, judged by the starts it carried.
func (m *machineState) checkSentStarts(heartbeat *model.Heartbeat) {
	missing, shown := false, false
	search := taskSearch{heartbeat: heartbeat}
	for _, order := range m.pendingOrders {
		if order.isStart() && order.inAnswer {
			order.inAnswer = false
			reported := search.contains(order)
			missing, shown = missing || !reported, shown || reported
		}
	}
	switch {
	case shown:
		m.reachability.confirm()
	case missing:
		m.reachability.lostAnswers++
		m.reachability.unreachable = m.reachability.unreachable || m.reachability.lostAnswers >= maxLostAnswers
	}
}

// taskSearch searches a heartbeat for the attempts of several starts. It continues behind the last one that it found,
// because a worker lists the tasks of an answer in the order of their starts.
type taskSearch struct {
	heartbeat *model.Heartbeat
	next      int
}

// contains reports whether the heartbeat contains the task attempt of a start.
func (s *taskSearch) contains(order *pendingOrder) bool {
	index := indexOfAttempt(s.heartbeat.Tasks, order.key(), s.next)
	if index >= 0 {
		s.next = index + 1
	}
	return index >= 0
}

// withholdsAnswer reports whether a machine's heartbeat must not be answered: an earlier heartbeat was
// answered with our token and a call went unanswered, but this heartbeat still does not show the token.
//
// Guard: a machine that our answers do not reach can't show our token. While its heartbeats were
// answered, it counted as alive, its lease never ended, and a failover waited for it for as long as the
// partition lasted. Without answers its lease runs out, whatever the machine receives. Direct calls to
// the machine continue meanwhile.
func (reg *Registry) withholdsAnswer(machine *machineState, heartbeat *model.Heartbeat) bool {
	if machine.phase != Joining || !machine.directCall.tokenUndelivered() || heartbeat.Token == reg.token {
		return false
	}
	machine.directCall.failed = false
	reg.enqueueCall(machine)
	return true
}
