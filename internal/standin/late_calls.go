package standin

import (
	"math/rand/v2"
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

// directCall is the body of a direct call.
type directCall struct {
	Token    *uint64         `json:"baton"`
	Session  *uint64         `json:"shift"`
	Commands []model.Command `json:"orders"`
}

// RepeatCalls has each direct call that is executed within the next d arrive at its machine twice more: within half a
// lease, and within four. Nobody waits for the answers.
func (c *Cloud) RepeatCalls(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.repeatCallsUntil = time.Now().Add(d)
}

// RepeatedCalls returns how many direct calls arrived once more, and how many of them were executed again.
func (c *Cloud) RepeatedCalls() (arrived, executed int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.repeatedCalls, c.reexecutedCalls
}

// repeatLater schedules the copies of a direct call that the machine has executed. The cloud's lock is held.
func (m *machine) repeatLater(call directCall) {
	if !m.cloud.now.Before(m.cloud.repeatCallsUntil) {
		return
	}
	for _, within := range []time.Duration{m.cloud.opt.Lease / 2, 4 * m.cloud.opt.Lease} {
		time.AfterFunc(rand.N(within), func() { m.repeat(call) })
	}
}

// repeat handles a copy of a direct call.
func (m *machine) repeat(call directCall) {
	c := m.cloud
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.machines[m.name] != m || m.failed || time.Now().Before(m.hungUntil) {
		return
	}
	c.now = time.Now()
	c.repeatedCalls++
	if m.carryOut(call) {
		c.reexecutedCalls++
	}
}

// carryOut executes a direct call if its token and session match, and reports whether it did.
func (m *machine) carryOut(call directCall) bool {
	if *call.Token < m.token || *call.Session != m.session {
		return false
	}
	m.observeToken(*call.Token)
	m.execute(call.Commands, time.Now())
	return true
}
