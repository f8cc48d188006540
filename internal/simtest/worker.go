package simtest

import (
	"time"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/simulation"
	"github.com/marlwood/marlwood/internal/workers"
)

// reportEvery is the shortest interval between the heartbeats of a worker that draws use, so that schedules are short.
const reportEvery = time.Second

// worker is a simulated machine with a worker that follows the protocol exactly.
type worker struct {
	cluster    *cluster
	place      *place
	name       string
	pool       model.Pool
	spot       bool
	rented     time.Duration
	ended      time.Duration
	listed     time.Duration // how long the cloud still lists it after its end
	up         bool
	upAt       time.Duration
	terminated bool
	down       bool // ended, and restarts soon
	life       int  // number of restarts of the machine and its worker
	hung       bool
	hungAt     time.Duration // when the current hang began
	stood      time.Duration // total time that it hung
	queue      []func()      // events that arrived while it hung
	drift      float64

	session, seq, token uint64
	leased              time.Duration // when the last answered heartbeat was sent, or the session began
	tasks               []*taskAttempt
	reportTo            int
	sent                uint64 // number of the heartbeat that awaits an answer, 0: none
	reports             uint64
	due                 time.Duration               // when the next heartbeat is due
	mute                time.Duration               // until then it reaches no controller, but direct calls reach it
	resets              time.Duration               // until then its connections to controllers are reset after it sent a heartbeat
	shown               lifeProgress                // what controllers have received of its present life
	connected           map[*simulation.Process]int // life of the worker that a controller's process called last
	reported            time.Duration               // when the last heartbeat was sent
	faulty              time.Duration               // until then its tasks fail
	forgotten           map[attemptKey]bool         // attempts that it was told to forget in its session
}

func newWorker(w *cluster, name string, pool model.Pool, spot bool) *worker {
	return &worker{cluster: w, place: &place{name: name, zone: pool.Zone, role: workerRole}, name: name, pool: pool, spot: spot,
		connected: map[*simulation.Process]int{}, rented: w.sim.Now(), drift: (w.sim.Rand.Float64()*2 - 1) * 0.0005, reportTo: w.sim.Rand.IntN(len(w.nodes))}
}

// enter runs do on the machine now, or when the machine no longer hangs. A machine that has ended drops it.
func (m *worker) enter(do func()) {
	switch {
	case m.terminated, m.down:
	case m.hung:
		m.queue = append(m.queue, do)
	default:
		do()
	}
}

func (m *worker) begin() {
	if m.terminated {
		return
	}
	m.up, m.upAt = true, m.cluster.sim.Now()
	m.cluster.sim.logf("%s is up in zone %s, spot %v", m.name, m.pool.Zone, m.spot)
	m.newSession()
	m.report()
	m.beginFaults()
}

func (m *worker) leaseEnds() time.Duration {
	return m.leased + time.Duration(float64(m.cluster.plan.Lease)*(1+m.drift))
}

func (m *worker) newSession() {
	if len(m.tasks) > 0 {
		m.cluster.sim.logf("%s kills its tasks: its lease is over", m.name)
	}
	for _, t := range m.tasks {
		if t.on && !t.job.cancelRequested {
			m.cluster.leaseKilled++
		}
		m.off(t)
	}
	m.tasks, m.forgotten = nil, map[attemptKey]bool{}
	m.session++
	m.seq, m.leased, m.sent = 0, m.cluster.sim.Now(), 0
	m.watchLease(m.session)
	m.kick()
}

// watchLease ends the session when its lease expires, also while the machine hangs: no machine resumes its tasks
// after that.
func (m *worker) watchLease(session uint64) {
	m.cluster.sim.At(m.leaseEnds(), func() {
		switch {
		case m.terminated || m.down || m.session != session:
		case m.cluster.sim.Now() < m.leaseEnds():
			m.watchLease(session)
		default:
			m.newSession()
		}
	})
}

// end removes the machine and all its tasks.
func (m *worker) end(why string) {
	if m.terminated {
		return
	}
	m.cluster.sim.logf("%s is %s", m.name, why)
	for _, t := range m.tasks {
		if why == "stopped" && t.on && t.job.spec.Zone != "" {
			m.cluster.met[MetZoneLoses]++
		}
		m.off(t)
	}
	m.tasks, m.terminated, m.ended = nil, true, m.cluster.sim.Now()
	if why == "stopped" {
		m.listed = 30 * time.Second
	}
}

// restart ends the machine and all its tasks. After the given time its worker restarts under the same name and address
// with empty state.
func (m *worker) restart(after time.Duration) {
	if m.down {
		return
	}
	m.cluster.sim.logf("%s is gone, for %v", m.name, after)
	for _, t := range m.tasks {
		m.off(t)
	}
	m.tasks, m.queue, m.down, m.hung = nil, nil, true, false
	m.life++
	m.shown = lifeProgress{}
	m.cluster.sim.After(after, func() {
		if m.terminated {
			return
		}
		m.down, m.session, m.token, m.due, m.reported = false, 0, 0, 0, 0
		m.cluster.sim.logf("%s is back", m.name)
		m.newSession()
	})
}

func (m *worker) hang(d time.Duration) {
	if !m.hung {
		m.hung, m.hungAt = true, m.cluster.sim.Now()
	}
	m.cluster.sim.After(d, func() {
		if m.hung {
			m.stood += m.cluster.sim.Now() - m.hungAt
		}
		m.hung = false
		work := m.queue
		m.queue = nil
		for _, do := range work {
			m.enter(do)
		}
	})
}

// message returns the machine's current heartbeat.
func (m *worker) message() *model.Heartbeat {
	m.seq++
	r := &model.Heartbeat{Machine: m.name, Addr: m.name, Type: m.pool.Type, Zone: m.pool.Zone, Spot: m.spot,
		Session: m.session, Seq: m.seq, Token: m.token}
	for _, t := range m.tasks {
		r.Tasks = append(r.Tasks, model.TaskStatus{Task: model.TaskName(t.job.id, t.index), Attempt: t.attempt, State: t.state, Cause: t.cause, Saved: t.saved})
	}
	return r
}

// kick schedules the next heartbeat soon, because something changed.
func (m *worker) kick() { m.schedule(max(m.cluster.sim.Now(), m.reported+500*time.Millisecond)) }

func (m *worker) schedule(at time.Duration) {
	if m.due > m.cluster.sim.Now() && m.due <= at {
		return
	}
	m.due = at
	m.cluster.sim.At(at, func() {
		if m.due == at {
			m.enter(m.report)
		}
	})
}

// report sends a heartbeat, unless one still awaits its answer.
func (m *worker) report() {
	s := m.cluster.sim
	if m.sent != 0 || !m.up || m.down {
		return
	}
	m.reports++
	id, session, sent := m.reports, m.session, s.Now()
	m.sent, m.reported, m.due = id, s.Now(), 0
	n := m.cluster.nodes[m.reportTo]
	r := m.message()
	if s.Now() < m.mute { // no connection can be opened
		s.After(5*time.Millisecond, func() { m.enter(func() { m.next(id) }) })
		return
	}
	report := m.sentReport(r)
	if s.Now() < m.resets { // the connection is reset, yet the network may deliver a copy later
		m.deliverLateCopy(n, report, 1, m.cluster.plan.Lease)
		s.After(5*time.Millisecond, func() { m.enter(func() { m.next(id) }) })
		return
	}
	m.cluster.keep(report)
	m.cluster.net.send(m.place, n.place, func() {
		n.process.Enter(func() {
			report.arrived()
			if model.Oversized(r, len(r.Tasks)) { // answered 400 by a controller's HTTP server
				m.cluster.net.send(n.place, m.place, func() { m.enter(func() { m.next(id) }) }, nil)
				return
			}
			n.node.HandleHeartbeat(n.Now(), r, func(v workers.HeartbeatResult) {
				if model.Oversized(model.HeartbeatResponse{Token: v.Token, Commands: v.Commands}, len(v.Commands)) {
					m.cluster.sim.breaks("oversized", "the answer to %s has %d commands", m.name, len(v.Commands))
				}
				m.cluster.net.send(n.place, m.place, func() { m.enter(func() { m.answered(id, session, sent, v) }) }, nil)
			})
		})
	}, nil)
	m.deliverLateCopy(n, report, 3, 3*m.cluster.plan.Lease)
	s.After(4*time.Second, func() {
		if m.sent == id {
			m.enter(func() { m.next(id) })
		}
	})
	if n.process.Dead() {
		s.After(5*time.Millisecond, func() { m.enter(func() { m.next(id) }) })
	}
}

// next switches to the next controller and sends the next heartbeat after a pause.
func (m *worker) next(id uint64) {
	const pause = time.Second
	if m.sent != id {
		return
	}
	m.sent = 0
	m.reportTo = (m.reportTo + 1) % len(m.cluster.nodes)
	m.schedule(m.cluster.sim.Now() + pause)
}

func (m *worker) answered(id, session uint64, sent time.Duration, v workers.HeartbeatResult) {
	s := m.cluster.sim
	if m.sent != id || session != m.session || s.Now() > sent+4*time.Second {
		return
	}
	if v.Status == 421 {
		for i, n := range m.cluster.nodes {
			if n.place.name == v.Redirect && i != m.reportTo {
				m.sent, m.reportTo = 0, i
				m.schedule(s.Now() + s.Between(0, 500*time.Millisecond))
				return
			}
		}
	}
	if v.Status != 200 {
		m.next(id)
		return
	}
	m.sent = 0
	m.schedule(sent + s.Between(m.cluster.plan.report()*3/4, m.cluster.plan.report()*5/4))
	if v.Token < m.token {
		return // an answer with an older token is dropped: it neither carries out commands nor renews the lease
	}
	m.leased = max(m.leased, sent)
	m.observeToken(v.Token)
	m.execute(v.Commands)
}

func (m *worker) observeToken(token uint64) {
	if token > m.token {
		m.token = token
		m.kick()
	}
}

// handleDirectCall handles a direct call with commands.
func (m *worker) handleDirectCall(o model.DirectCommands) (int, *model.Heartbeat) {
	if model.Oversized(o, len(o.Commands)) {
		m.cluster.sim.breaks("oversized", "a call to %s has %d commands", m.name, len(o.Commands))
	}
	if o.Token < m.token || o.Session != m.session {
		return 409, m.message()
	}
	if m.cluster.sim.Now() < m.mute {
		m.cluster.met[MetCallToMute]++
	}
	m.observeToken(o.Token)
	m.execute(o.Commands)
	return 200, m.message()
}
