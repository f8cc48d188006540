package main

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/standin"
)

// fetchTime is how long the worker of a machine that began anew fetches an image.
const fetchTime = 300 * time.Millisecond

// reborn is the worker of a machine that has begun anew under its name and address: no tasks, first session, no
// message counted, no token seen.
type reborn struct {
	w              *world
	name, addr     string
	hull, zone     string
	answered       func(report model.Heartbeat) // called after each report that got 200
	mu             sync.Mutex
	session, tally uint64
	baton          uint64
	leaseStart     time.Time
	tasks          []*rebornTask
	cut            int // reports that are lost at first
	stopped        bool
	changed        chan struct{}
}

type rebornTask struct {
	status model.TaskStatus
	job    *model.Job
	active bool
}

func (m *reborn) note() {
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

func (m *reborn) report() model.Heartbeat {
	m.tally++
	r := model.Heartbeat{Machine: m.name, Addr: m.addr, Type: m.hull, Zone: m.zone, Session: m.session, Seq: m.tally, Token: m.baton, Tasks: []model.TaskStatus{}}
	for _, t := range m.tasks {
		r.Tasks = append(r.Tasks, t.status)
	}
	return r
}

// expire ends the session if its lease is over.
func (m *reborn) expire(now time.Time) {
	if now.Sub(m.leaseStart) <= leaseTime {
		return
	}
	for _, t := range m.tasks {
		m.end(t, model.CauseStopped)
	}
	m.tasks, m.session, m.tally, m.leaseStart = nil, m.session+1, 0, now
	m.w.note("worker of %s: its lease is over, session %d begins", m.name, m.session)
}

func (m *reborn) setActive(t *rebornTask, on bool) {
	if t.active == on {
		return
	}
	t.active = on
	m.w.rules.observe(standin.Event{At: time.Now(), On: on, Job: t.job, Task: t.status.Task, Machine: m.name, Type: m.hull, Zone: m.zone})
}

func (m *reborn) end(t *rebornTask, cause model.Cause) {
	if t.status.State == model.TaskExited {
		return
	}
	t.status.State, t.status.Cause = model.TaskExited, cause
	m.setActive(t, false)
	m.note()
}

func (m *reborn) execute(commands []model.Command) {
	for _, c := range commands {
		i := slices.IndexFunc(m.tasks, func(t *rebornTask) bool { return t.status.Task == c.Task && t.status.Attempt == c.Attempt })
		switch {
		case c.Op == "start" && i < 0:
			id, _, _ := model.SplitTask(c.Task)
			t := &rebornTask{status: model.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: model.TaskFetching}, job: m.w.rules.job(id)}
			busy := slices.ContainsFunc(m.tasks, func(o *rebornTask) bool {
				return o.status.Task == c.Task && o.status.State != model.TaskExited
			})
			m.tasks = append(m.tasks, t)
			m.note()
			switch {
			case t.job == nil:
				t.status.State, t.status.Cause = model.TaskExited, model.CauseUnknown
			case busy:
				t.status.State, t.status.Cause = model.TaskExited, model.CauseBusy
			default:
				time.AfterFunc(fetchTime, func() {
					m.mu.Lock()
					defer m.mu.Unlock()
					if t.status.State == model.TaskFetching {
						t.status.State = model.TaskRunning
						m.setActive(t, true)
						m.note()
					}
				})
			}
		case c.Op == "stop" && i >= 0:
			m.end(m.tasks[i], model.CauseStopped)
		case c.Op == "forget" && i >= 0 && m.tasks[i].status.State == model.TaskExited:
			m.tasks = slices.Delete(m.tasks, i, i+1)
		}
	}
}

// serveOrders carries out a direct command.
func (m *reborn) serveOrders(body []byte) (int, []byte) {
	var q struct {
		Token    *uint64         `json:"baton"`
		Session  *uint64         `json:"shift"`
		Commands []model.Command `json:"orders"`
	}
	if json.Unmarshal(body, &q) != nil || q.Token == nil || q.Session == nil {
		return http.StatusBadRequest, []byte(`{"error":"malformed"}`)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire(time.Now())
	status := http.StatusConflict
	if *q.Token >= m.baton && *q.Session == m.session {
		status = http.StatusOK
		if *q.Token > m.baton {
			m.baton = *q.Token
			m.note()
		}
		m.execute(q.Commands)
	}
	text, _ := json.Marshal(m.report())
	return status, text
}

// run sends reports, to the first controller at first.
func (m *reborn) run() {
	client := &http.Client{Timeout: 4 * time.Second}
	to := 0
	for {
		m.mu.Lock()
		if m.stopped {
			m.mu.Unlock()
			return
		}
		m.expire(time.Now())
		select {
		case <-m.changed:
		default:
		}
		sent, session, report := time.Now(), m.session, m.report()
		n := m.w.nodes[to]
		addr := n.listen
		if m.cut > 0 { // the report is sent, and its connection is reset
			m.cut--
			addr = n.reports.addr()
		} else {
			m.w.losesCommands(nil)
		}
		m.mu.Unlock()
		body, _ := json.Marshal(report)
		status, answer := forward(context.Background(), client, "http://"+addr+"/checkin", body)
		m.w.note("report %d of %s (token %d, tasks %v) to %s: %d %s", report.Seq, m.name, report.Token, report.Tasks, n.name, status, answer)
		wait := m.handle(status, answer, sent, session, &to)
		if status == http.StatusOK {
			m.answered(report)
		}
		m.pause(wait)
	}
}

// handle applies an answer and returns the pause until the next report.
func (m *reborn) handle(status int, answer []byte, sent time.Time, session uint64, to *int) time.Duration {
	var a struct {
		Token    uint64          `json:"baton"`
		Commands []model.Command `json:"orders"`
		Foreman  string          `json:"foreman"`
	}
	_ = json.Unmarshal(answer, &a)
	if status != http.StatusOK {
		i := slices.IndexFunc(m.w.nodes, func(n *node) bool { return n.name == a.Foreman })
		if status == http.StatusMisdirectedRequest && i >= 0 && i != *to {
			*to = i
			return 0
		}
		*to = (*to + 1) % len(m.w.nodes)
		return time.Second
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire(time.Now())
	if a.Token >= m.baton && session == m.session && time.Since(sent) < 4*time.Second {
		m.leaseStart = sent
		if a.Token > m.baton {
			m.baton = a.Token
			m.note()
		}
		m.execute(a.Commands)
	}
	return reportEvery
}

// pause waits for d, or until half a second after something changed.
func (m *reborn) pause(d time.Duration) {
	if d < 500*time.Millisecond {
		time.Sleep(d)
		return
	}
	end := time.After(d)
	time.Sleep(500 * time.Millisecond)
	select {
	case <-end:
	case <-m.changed:
	}
}

// stop ends the machine with all that is on it.
func (m *reborn) stop() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopped = true
	for _, t := range m.tasks {
		m.end(t, model.CauseStopped)
	}
}
