package main

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

// cutReports is how many reports of a machine's new life are lost at first.
const cutReports = 6

// cutFor is how long reports of its earlier life are lost before one is held up.
const cutFor = 13 * time.Second

// heldReport is a report that is held up on its way to a controller.
type heldReport struct {
	body   []byte
	target *node
	seq    uint64
}

// newMachine is the next machine that comes up. It can be cut off from the controllers: its connections are reset.
type newMachine struct {
	w      *world
	known  []string // machines of before
	mu     sync.Mutex
	name   string
	report model.Heartbeat // its last report
	showed bool            // an answered report showed a token
	cutAt  time.Time       // zero: it is not cut off
	held   *heldReport
	anew   *reborn
	task   bool // an answered report of the new life showed a running task
	newest uint64
}

func watchNewMachine(w *world) *newMachine {
	m := &newMachine{w: w, known: w.cloud.Machines()}
	for _, n := range w.nodes {
		n.reports.set(func(r *relay) {
			r.take, r.seen = func(body []byte) fate { return m.take(body, n) }, m.seen
		})
	}
	return m
}

// take decides on a report before it is forwarded.
func (m *newMachine) take(body []byte, target *node) fate {
	var report model.Heartbeat
	if json.Unmarshal(body, &report) != nil || slices.Contains(m.known, report.Machine) {
		return forwarded
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.name == "" {
		m.name = report.Machine
	}
	switch {
	case report.Machine != m.name:
		return forwarded
	case m.anew != nil: // the earlier life is over
		return refused
	case m.cutAt.IsZero():
		m.report = report
		return forwarded
	case time.Since(m.cutAt) < cutFor || m.held != nil || target != m.w.nodeIn(report.Zone):
		m.w.note("report %d of %s to %s is lost, its connection is reset", report.Seq, m.name, target.name)
		return refused
	}
	m.w.note("report %d of %s (token %d, tasks %v) to %s is held up", report.Seq, m.name, report.Token, report.Tasks, target.name)
	m.held = &heldReport{body, target, report.Seq}
	return heldUp
}

// seen sees the answer to a report.
func (m *newMachine) seen(body []byte, status int) {
	var report model.Heartbeat
	if json.Unmarshal(body, &report) != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if report.Machine == m.name && status == http.StatusOK {
		m.w.note("report %d of %s (token %d, tasks %v): 200", report.Seq, m.name, report.Token, report.Tasks)
		m.showed = m.showed || report.Token > 0
	}
}

// showedToken reports whether an answered report of the machine has shown a token.
func (m *newMachine) showedToken() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.showed
}

func (m *newMachine) cutOff() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cutAt = time.Now()
	name := m.name
	m.w.losesCommands(func(machine string) bool { return machine == name })
	m.w.note("machine %s loses the network: connections to all controllers are reset", m.name)
}

func (m *newMachine) reportHeldUp() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.held != nil
}

// beginAnew ends the machine's worker, which has no tasks, and begins a new one under the same name and address.
func (m *newMachine) beginAnew() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.w.note("machine %s begins anew; its first %d reports are lost as well", m.name, cutReports)
	m.anew = &reborn{w: m.w, name: m.name, addr: m.report.Addr, hull: m.report.Type, zone: m.report.Zone, session: 1, leaseStart: time.Now(),
		cut: cutReports, changed: make(chan struct{}, 1), answered: m.newLife}
	m.w.beginAnew(m.anew)
	go m.anew.run()
}

// newLife sees an answered report of the new life.
func (m *newMachine) newLife(report model.Heartbeat) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.newest = report.Seq
	for _, task := range report.Tasks {
		m.task = m.task || task.State == model.TaskRunning
	}
}

// heardAgain reports whether a report of the new life that showed a token was answered.
func (m *newMachine) heardAgain() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.newest > cutReports+1
}

// showedTask reports whether a report of the new life that showed a running task was answered.
func (m *newMachine) showedTask() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.task
}

// reports returns the number of the last answered report of the new life.
func (m *newMachine) reports() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.newest
}

// deliver delivers the report that was held up to the controller that it was sent to.
func (m *newMachine) deliver() {
	m.mu.Lock()
	late, newest := m.held, m.newest
	m.mu.Unlock()
	status, answer := forward(context.Background(), &http.Client{Timeout: 4 * time.Second}, "http://"+late.target.listen+"/checkin", late.body)
	m.w.note("late report %d of the earlier life arrives at %s: %d %s; the last of the new life was %d", late.seq, late.target.name, status, answer, newest)
}
