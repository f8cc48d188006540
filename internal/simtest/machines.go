package simtest

import (
	"context"
	"fmt"
	"time"

	"github.com/marlwood/marlwood/internal/autoscaler"
	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/simulation"
	"github.com/marlwood/marlwood/internal/workers"
)

// Durations of the protocol, shortened so that a schedule is short.
const (
	reportEvery = time.Second
	gangWait    = 8 * time.Second
	gangPeer    = 2 * time.Second
	listLag     = 2 * time.Second
)

// cloud is the simulated cloud provider. It runs up to Plan.Machines machines at the same time per pool, ordinary
// and spot machines counted separately.
type cloud struct {
	cluster        *cluster
	place          *place
	machines       []*worker // in the order of their names
	launchRequests map[string][]string
}

func (c *cloud) rent(ch autoscaler.LaunchRequest) (autoscaler.Result, []string) {
	if names, ok := c.launchRequests[ch.Name]; ok {
		return autoscaler.Granted, names
	}
	var names []string
	up := 0
	for _, m := range c.machines {
		if !m.terminated && m.pool == ch.Pool && m.spot == ch.Spot {
			up++
		}
	}
	for ; up < c.cluster.plan.Machines && len(names) < ch.Count; up++ {
		m := newWorker(c.cluster, fmt.Sprintf("vm-%03d", len(c.machines)+1), ch.Pool, ch.Spot)
		c.machines = append(c.machines, m)
		names = append(names, m.name)
		c.cluster.sim.After(c.cluster.sim.Between(100*time.Millisecond, 2*time.Second), m.begin)
	}
	if len(names) == 0 {
		return autoscaler.Refused, nil
	}
	c.launchRequests[ch.Name] = names
	return autoscaler.Granted, names
}

// cloudClient is a controller's client of the cloud.
type cloudClient struct{ n *node }

const cloudTimeout = 3 * time.Second

// Types returns the machine types.
func (c cloudClient) Types(context.Context) (model.Catalogue, error) { return catalogue, nil }

// Launch requests machines.
func (c cloudClient) Launch(_ context.Context, ch autoscaler.LaunchRequest) (autoscaler.Result, []string) {
	type answer struct {
		res   autoscaler.Result
		names []string
	}
	w := c.n.cluster
	a, ok := ask(c.n.process, w.net, c.n.place, w.cloud.place, cloudTimeout, func(reply func(answer)) {
		res, names := w.cloud.rent(ch)
		reply(answer{res, names})
	})
	if !ok {
		return autoscaler.Unknown, nil
	}
	return a.res, a.names
}

// Terminate returns machines.
func (c cloudClient) Terminate(_ context.Context, names []string) error {
	w := c.n.cluster
	_, ok := ask(c.n.process, w.net, c.n.place, w.cloud.place, cloudTimeout, func(reply func(struct{})) {
		for _, m := range w.cloud.machines {
			for _, name := range names {
				if m.name == name {
					m.end("returned")
				}
			}
		}
		reply(struct{}{})
	})
	if !ok {
		return context.DeadlineExceeded
	}
	return nil
}

// List lists the machines that exist.
func (c cloudClient) List(context.Context) ([]autoscaler.CloudMachine, error) {
	w := c.n.cluster
	out, ok := ask(c.n.process, w.net, c.n.place, w.cloud.place, cloudTimeout, func(reply func([]autoscaler.CloudMachine)) {
		as := w.sim.Now() - w.sim.Between(0, listLag)
		var out []autoscaler.CloudMachine
		for _, m := range w.cloud.machines {
			if m.rented <= as && (!m.terminated || as < m.ended+m.listed) {
				out = append(out, autoscaler.CloudMachine{Name: m.name, Pool: m.pool, Spot: m.spot, Booting: !m.up, Age: as - m.rented})
			}
		}
		reply(out)
	})
	if !ok {
		return nil, context.DeadlineExceeded
	}
	return out, nil
}

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

// taskAttempt is one attempt of a task on a machine.
type taskAttempt struct {
	job     *job
	index   int
	attempt uint64
	state   model.TaskState
	cause   model.Cause
	ranAt   time.Duration // when it began to run; 0: it is not running
	on      bool          // whether it counts as on its machine: it has its image and has not ended
	from    time.Duration // progress at its start
	reached time.Duration // progress when it began to save; 0: it has not
	stored  bool          // whether it has saved and waits for its gang
	saved   bool          // whether it ended with its progress saved
	caught  bool          // whether it was saving when the cancellation of its job was confirmed
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
			n.node.HandleHeartbeat(n.Now(), r, func(v workers.HeartbeatResult) {
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

func (m *worker) find(job string, index int) (at *taskAttempt, same func(attempt uint64) *taskAttempt) {
	for _, t := range m.tasks {
		if t.job.id == job && t.index == index && t.state != model.TaskExited {
			at = t
		}
	}
	return at, func(attempt uint64) *taskAttempt {
		for _, t := range m.tasks {
			if t.job.id == job && t.index == index && t.attempt == attempt {
				return t
			}
		}
		return nil
	}
}

func (m *worker) execute(commands []model.Command) {
	for _, c := range commands {
		id, index, _ := model.SplitTask(c.Task)
		live, same := m.find(id, index)
		t := same(c.Attempt)
		switch c.Op {
		case "start":
			if t != nil {
				continue
			}
			t = &taskAttempt{job: m.cluster.jobs[id], index: index, attempt: c.Attempt, state: model.TaskFetching}
			if t.job == nil {
				m.cluster.sim.breaks("invented", "%s is told to start %s, which nobody submitted", m.name, c.Task)
				return
			}
			m.tasks = append(m.tasks, t)
			m.cluster.startedOn(m, c.Task, c.Attempt)
			m.cluster.sim.logf("%s is told to start %s, attempt %x", m.name, c.Task, c.Attempt)
			switch {
			case live != nil:
				m.exit(t, model.CauseBusy)
			case !t.job.spec.Size.Fits(m.freeExcept(t)):
				m.exit(t, model.CauseNoCapacity)
			default:
				m.cluster.sim.After(m.cluster.sim.Between(50*time.Millisecond, time.Second), func() { m.enter(func() { m.fetched(t) }) })
			}
		case "stop":
			if t != nil && t.state != model.TaskExited {
				m.stop(t, model.Seconds(*c.GraceS))
			}
		case "forget":
			for i, x := range m.tasks {
				if x == t && t.state == model.TaskExited {
					m.tasks = append(m.tasks[:i:i], m.tasks[i+1:]...)
					m.forgotten[attemptKey{c.Task, c.Attempt}] = true
					break
				}
			}
		}
	}
}

// freeExcept returns the free capacity of the machine, not counting the given task, which is already on its list.
func (m *worker) freeExcept(but *taskAttempt) model.Size {
	room := machineType.Size
	for _, t := range m.tasks {
		if t != but && t.state != model.TaskExited {
			room = room.Sub(t.job.spec.Size)
		}
	}
	return room
}

func (m *worker) has(t *taskAttempt) bool {
	for _, x := range m.tasks {
		if x == t {
			return !m.terminated && t.state != model.TaskExited
		}
	}
	return false
}

// fetched handles the end of a task's image fetch: the task is on its machine from then on.
func (m *worker) fetched(t *taskAttempt) {
	if !m.has(t) {
		return
	}
	w := m.cluster
	t.state, t.on = model.TaskWaitingForGang, true
	w.began(m, t)
	if t.job.finished[t.index] {
		m.exit(t, model.CauseDone)
		return
	}
	m.kick()
	if t.job.spec.Shape != model.Gang {
		m.run(t)
		return
	}
	if g := w.gang(t); len(g) == t.job.spec.Tasks {
		for _, x := range g {
			x.m.enter(func() { x.m.run(x.t) })
		}
		return
	}
	w.sim.After(gangWait, func() {
		m.enter(func() {
			if m.has(t) && t.state == model.TaskWaitingForGang {
				if m.cluster.plan.calm() {
					m.cluster.sim.breaks("half_gang", "%s waits alone for %v, though nothing but controllers failed", model.TaskName(t.job.id, t.index), gangWait)
				}
				m.exit(t, model.CauseIsolated)
			}
		})
	})
}

func (m *worker) run(t *taskAttempt) {
	t.state, t.ranAt, t.from = model.TaskRunning, m.cluster.sim.Now(), t.job.kept[t.progressKey()]
	m.cluster.attempts[t.job.spec.Team]++
	m.kick()
	m.failTask(t)
	if t.job.spec.Shape == model.Service {
		return
	}
	m.cluster.sim.After(max(0, t.job.takes-t.from), func() {
		m.enter(func() {
			if !m.has(t) || t.state != model.TaskRunning || t.job.halts[t.attempt] != nil {
				return
			}
			if t.job.spec.Shape != model.Gang {
				m.done(t)
				return
			}
			g := m.cluster.gang(t)
			whole := len(g) == t.job.spec.Tasks
			for _, x := range g {
				whole = whole && !x.m.hung
			}
			if !whole {
				m.exit(t, model.CausePeers)
				return
			}
			for _, x := range g {
				x.m.done(x.t)
			}
		})
	})
}

func (m *worker) done(t *taskAttempt) {
	t.job.finished[t.index] = true
	m.cluster.sim.logf("%s is done on %s", model.TaskName(t.job.id, t.index), m.name)
	m.exit(t, model.CauseDone)
	m.cluster.lastTaskDone(t.job)
}

func (m *worker) exit(t *taskAttempt, why model.Cause) {
	if t.state == model.TaskExited {
		return
	}
	t.state, t.cause = model.TaskExited, why
	m.off(t)
	m.kick()
}

// off removes a task from its machine. The other tasks of a running gang exit when they notice that.
func (m *worker) off(t *taskAttempt) {
	if !t.on {
		return
	}
	t.on = false
	w := m.cluster
	w.recordTaskLoss(t)
	if t.ranAt > 0 {
		w.used[t.job.spec.Team] += time.Duration(float64(w.sim.Now()-t.ranAt) * t.job.spec.Size.CPUs)
		t.ranAt = 0
	}
	w.removePlaced(m, t)
	if t.job.spec.Shape != model.Gang || t.cause == model.CauseDone {
		return
	}
	for _, x := range w.gang(t) {
		w.sim.After(w.sim.Between(0, gangPeer), func() {
			x.m.enter(func() {
				if x.m.has(x.t) && x.t.state == model.TaskRunning {
					x.m.exit(x.t, model.CausePeers)
				}
			})
		})
	}
}
