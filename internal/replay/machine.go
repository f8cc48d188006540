package replay

import (
	"net/http"
	"slices"
	"time"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/workers"
)

// Times that a recording does not show.
const (
	gangPeerDelay     = 2 * time.Second // within which the other tasks of a gang notice that one has exited
	defaultGangWait   = time.Minute     // how long a gang's task waits for the others, if that was never observed
	minReportInterval = 500 * time.Millisecond
	messageDelay      = 5 * time.Millisecond
)

// machine simulates a rented machine and its worker.
type machine struct {
	w              *environment
	name           string
	pool           model.Pool
	spot           bool
	rented         time.Duration
	up, terminated bool
	dead           bool          // never comes up
	leaving        time.Duration // when it is removed, if it has no tasks by then; -1: not removed
	failed         bool          // the cloud lists it as failed
	notice         time.Duration // announced time of its preemption; -1: none

	seq, token   uint64
	tasks        []*attempt
	cache        []*fetch // images, the most recently used one last
	fetches      []*fetch
	fetchedAt    time.Duration // time up to which the progress of the fetches is computed
	fetchVersion int
	speed        float64 // fetch rate in GB per second
	sending      bool
	reported     time.Duration
	due          time.Duration // of the next report
}

// attempt is a task on a machine.
type attempt struct {
	m            *machine
	job          *simJob
	index        int
	number       uint64
	state        model.TaskState
	cause        model.Cause
	saved        bool
	began        time.Duration // when it started to run; -1: its progress is already counted
	stateVersion int           // number of state changes; a timer set before a change does nothing
}

func (t *attempt) live() bool { return t.state != model.TaskExited && !t.m.terminated }

// simJob is a job in the simulation.
type simJob struct {
	spec     *model.Job
	seen     *JobSeen
	takes    map[int]time.Duration // run times of its tasks, drawn when first needed
	progress map[int]time.Duration // saved in checkpoints
	done     map[int]bool
	running  map[uint64][]*attempt // of a gang, by attempt: those that have not exited
}

func (m *machine) begin() {
	if m.terminated || m.dead {
		return
	}
	m.up = true
	m.report()
}

// changed schedules a report as soon as the least interval between reports allows.
func (m *machine) changed() { m.schedule(max(m.w.sim.Now(), m.reported+minReportInterval)) }

func (m *machine) schedule(at time.Duration) {
	if !m.up || m.terminated || m.due > m.w.sim.Now() && m.due <= at {
		return
	}
	m.due = at
	m.w.sim.At(at, func() {
		if m.due == at && !m.terminated {
			m.due = -1
			m.report()
		}
	})
}

func (m *machine) heartbeat() *model.Heartbeat {
	m.seq++
	r := &model.Heartbeat{Machine: m.name, Addr: m.name, Type: m.pool.Type, Zone: m.pool.Zone, Spot: m.spot, Session: 1, Seq: m.seq,
		Token: m.token, Tasks: make([]model.TaskStatus, 0, len(m.tasks))}
	if m.notice >= 0 {
		left := max(0, m.notice-m.w.sim.Now()).Seconds()
		r.NoticeS = &left
	}
	for _, t := range m.tasks {
		r.Tasks = append(r.Tasks, model.TaskStatus{Task: model.TaskName(t.job.spec.ID, t.index), Attempt: t.number, State: t.state,
			Cause: t.cause, Saved: t.saved})
	}
	return r
}

func (m *machine) report() {
	if m.sending {
		return
	}
	s := m.w.sim
	m.sending, m.reported = true, s.Now()
	r := m.heartbeat()
	if model.Oversized(r, len(r.Tasks)) { // refused
		s.After(2*messageDelay, func() { m.answered(workers.HeartbeatResult{Status: http.StatusBadRequest}) })
		return
	}
	s.After(messageDelay, func() {
		m.w.node.HandleHeartbeat(m.w.Now(), r, func(v workers.HeartbeatResult) {
			s.After(messageDelay, func() { m.answered(v) })
		})
	})
}

func (m *machine) answered(v workers.HeartbeatResult) {
	if m.terminated {
		return
	}
	m.sending = false
	every := m.w.cfg.ReportEvery
	if v.Status != 200 {
		m.schedule(m.w.sim.Now() + time.Second)
		return
	}
	m.schedule(m.reported + m.w.sim.Between(every*3/4, every*5/4))
	m.observeToken(v.Token)
	m.execute(v.Commands)
}

func (m *machine) observeToken(token uint64) {
	if token > m.token {
		m.token = token
		m.changed()
	}
}

// orders handles a direct call with commands and returns the HTTP status and a heartbeat.
func (m *machine) orders(o model.DirectCommands) (int, *model.Heartbeat) {
	if model.Oversized(o, len(o.Commands)) {
		return http.StatusBadRequest, m.heartbeat()
	}
	if o.Token < m.token || o.Session != 1 {
		return 409, m.heartbeat()
	}
	m.observeToken(o.Token)
	m.execute(o.Commands)
	return 200, m.heartbeat()
}

func (m *machine) execute(commands []model.Command) {
	for _, c := range commands {
		id, index, _ := model.SplitTask(c.Task)
		i := slices.IndexFunc(m.tasks, func(t *attempt) bool {
			return t.job.spec.ID == id && t.index == index && t.number == c.Attempt
		})
		switch {
		case c.Op == "start" && i < 0:
			m.start(id, index, c.Attempt)
		case c.Op == "stop" && i >= 0:
			grace := time.Duration(0)
			if c.GraceS != nil {
				grace = model.Seconds(*c.GraceS)
			}
			m.stop(m.tasks[i], grace)
		case c.Op == "forget" && i >= 0 && m.tasks[i].state == model.TaskExited:
			m.tasks = slices.Delete(m.tasks, i, i+1)
			if m.leaving >= 0 {
				m.leave(m.leaving)
			}
		}
	}
}

// to changes the attempt's state; every change of state goes through it, except at the end of a machine.
func (t *attempt) to(s model.TaskState) {
	t.state = s
	t.stateVersion++
	t.m.changed()
}

// later calls do after d, unless the attempt changes its state or the machine ends before.
func (t *attempt) later(d time.Duration, do func()) {
	stateVersion := t.stateVersion
	t.m.w.sim.After(d, func() {
		if t.stateVersion == stateVersion && !t.m.terminated {
			do()
		}
	})
}

func (m *machine) start(id string, index int, number uint64) {
	j := m.w.jobs[id]
	if j == nil {
		return
	}
	t := &attempt{m: m, job: j, index: index, number: number, state: model.TaskFetching}
	room, busy := m.w.types[m.pool.Type].Size, false
	for _, o := range m.tasks {
		if o.live() {
			room = room.Sub(o.job.spec.Size)
			busy = busy || o.job == j && o.index == index
		}
	}
	m.tasks = append(m.tasks, t)
	m.changed()
	switch {
	case busy:
		t.exit(model.CauseBusy, false)
	case !j.spec.Size.WithoutReport().Fits(room):
		t.exit(model.CauseNoCapacity, false)
	default:
		m.waitForImage(t)
	}
}

// fetch is the download of an image.
type fetch struct {
	image string
	size  float64 // GB
	left  float64
}

// waitForImage makes the attempt ready when its image is cached, and fetches the image if needed.
func (m *machine) waitForImage(t *attempt) {
	image := t.job.spec.Image
	if i := slices.IndexFunc(m.cache, func(f *fetch) bool { return f.image == image }); i >= 0 {
		f := m.cache[i]
		m.cache = append(slices.Delete(m.cache, i, i+1), f)
		t.later(0, t.ready)
		return
	}
	if !slices.ContainsFunc(m.fetches, func(f *fetch) bool { return f.image == image }) {
		m.advance()
		m.fetches = append(m.fetches, &fetch{image, t.job.spec.ImageGB, t.job.spec.ImageGB})
		m.nextFetch()
	}
}

// rate returns the rate of each fetch in GB per second.
func (m *machine) rate() float64 {
	if m.w.supply.Shared {
		return m.speed / float64(len(m.fetches))
	}
	return m.speed
}

// advance updates the remaining size of the fetches to the current time.
func (m *machine) advance() {
	now := m.w.sim.Now()
	for _, f := range m.fetches {
		f.left -= m.rate() * (now - m.fetchedAt).Seconds()
	}
	m.fetchedAt = now
}

// leastLeft is the remaining size, in GB, below which a fetch counts as complete, to allow for rounding.
const leastLeft = 1e-6

// nextFetch sets a timer for the fetch that ends first.
func (m *machine) nextFetch() {
	m.fetchVersion++
	if len(m.fetches) == 0 {
		return
	}
	least := m.fetches[0].left
	for _, f := range m.fetches {
		least = min(least, f.left)
	}
	version, in := m.fetchVersion, time.Duration(0)
	if m.speed > 0 {
		in = model.Seconds(max(0, least)/m.rate()) + time.Microsecond
	}
	m.w.sim.After(in, func() {
		if m.fetchVersion == version && !m.terminated {
			m.fetched()
		}
	})
}

// fetched completes the finished fetches and continues the attempts that waited for them.
func (m *machine) fetched() {
	m.advance()
	var ready []*attempt
	m.fetches = slices.DeleteFunc(m.fetches, func(f *fetch) bool {
		if f.left > leastLeft && m.speed > 0 {
			return false
		}
		m.cache = append(m.cache, f)
		for _, t := range m.tasks {
			if t.state == model.TaskFetching && t.job.spec.Image == f.image {
				ready = append(ready, t)
			}
		}
		return true
	})
	total := 0.0
	for _, f := range m.cache {
		total += f.size
	}
	for total > m.w.types[m.pool.Type].CacheGB && len(m.cache) > 1 {
		total -= m.cache[0].size
		m.cache = m.cache[1:]
	}
	m.nextFetch()
	for _, t := range ready {
		t.ready()
	}
}

// cancelUnusedFetch cancels the fetch of an image if no attempt waits for it any more.
func (m *machine) cancelUnusedFetch(image string) {
	for _, t := range m.tasks {
		if t.state == model.TaskFetching && t.job.spec.Image == image {
			return
		}
	}
	m.advance()
	m.fetches = slices.DeleteFunc(m.fetches, func(f *fetch) bool { return f.image == image })
	m.nextFetch()
}

// ready continues an attempt whose image is available.
func (t *attempt) ready() {
	j := t.job
	if j.done[t.index] {
		t.exit(model.CauseDone, false)
		return
	}
	if j.spec.Shape != model.Gang {
		t.run()
		return
	}
	t.to(model.TaskWaitingForGang)
	gang := append(j.running[t.number], t)
	j.running[t.number] = gang
	if len(gang) == j.spec.Tasks {
		for _, o := range gang {
			o.run()
		}
		return
	}
	wait := model.Seconds(t.m.w.supply.GangWaits.draw(t.m.w.sim.Rand, defaultGangWait.Seconds()))
	t.later(wait, func() { t.exit(model.CauseIsolated, false) })
}

func (t *attempt) run() {
	t.began = t.m.w.sim.Now()
	t.to(model.TaskRunning)
	j := t.job
	if f := t.m.w.supply.Fails[j.spec.ID]; len(f) > 0 {
		t.later(model.Seconds(f.draw(t.m.w.sim.Rand, 0)), func() { t.exit(model.CauseError, false) })
		return
	}
	if j.spec.Shape == model.Service {
		return
	}
	t.later(max(0, t.m.w.takes(j, t.key())-j.progress[t.key()]), t.done)
}

// key returns the index under which run time and progress are kept. All tasks of a gang share one.
func (t *attempt) key() int {
	if t.job.spec.Shape == model.Gang {
		return 0
	}
	return t.index
}

func (t *attempt) done() {
	j := t.job
	if j.spec.Shape != model.Gang {
		j.done[t.index] = true
		t.exit(model.CauseDone, false)
		return
	}
	for i := range j.spec.Tasks {
		j.done[i] = true
	}
	for _, o := range slices.Clone(j.running[t.number]) {
		o.exit(model.CauseDone, false)
	}
}

// stop ends an attempt, which first saves a checkpoint if it supports that and grace is long enough.
func (m *machine) stop(t *attempt, grace time.Duration) {
	j := t.job.spec
	switch {
	case t.state == model.TaskExited, t.state == model.TaskSaving && grace > 0:
	case t.state == model.TaskRunning && j.CheckpointEvery > 0 && grace >= j.SaveTime:
		ran := m.w.sim.Now() - t.began
		t.to(model.TaskSaving)
		t.later(j.SaveTime, func() {
			if t.began >= 0 && t.gangCheckpointed() {
				t.job.progress[t.key()] += ran
				t.counted()
			}
			t.exit(model.CauseStopped, t.began < 0)
		})
	default:
		t.exit(model.CauseStopped, false)
	}
}

// counted marks the progress of an attempt, and of its whole gang, as already counted.
func (t *attempt) counted() {
	t.began = -1
	if t.job.spec.Shape == model.Gang {
		for _, o := range t.job.running[t.number] {
			o.began = -1
		}
	}
}

// gangCheckpointed reports whether all tasks of a gang are saving. It is true for tasks of other jobs.
func (t *attempt) gangCheckpointed() bool {
	if t.job.spec.Shape != model.Gang {
		return true
	}
	for _, o := range t.job.running[t.number] {
		if o.state != model.TaskSaving {
			return false
		}
	}
	return true
}

// exit ends an attempt. Progress since its last checkpoint is lost unless it was saved. The other
// tasks of a running gang exit shortly after.
func (t *attempt) exit(why model.Cause, saved bool) {
	if t.state == model.TaskExited {
		return
	}
	t.discardUnsaved()
	fetching := t.state == model.TaskFetching
	t.cause, t.saved = why, saved
	t.to(model.TaskExited)
	if fetching {
		t.m.cancelUnusedFetch(t.job.spec.Image)
	}
	t.leaveGang(why)
}

// discardUnsaved drops the progress since the last periodic checkpoint.
func (t *attempt) discardUnsaved() {
	every := t.job.spec.CheckpointEvery
	if t.state != model.TaskRunning && t.state != model.TaskSaving || every == 0 || t.began < 0 || t.job.done[t.index] {
		return
	}
	key := t.key()
	at := t.job.progress[key] + t.m.w.sim.Now() - t.began
	t.job.progress[key] = max(t.job.progress[key], at.Truncate(every))
	t.counted()
}

// leaveGang removes an attempt from its gang and makes the running rest exit.
func (t *attempt) leaveGang(why model.Cause) {
	j := t.job
	if j.spec.Shape != model.Gang {
		return
	}
	ran := t.began != 0
	rest := slices.DeleteFunc(j.running[t.number], func(o *attempt) bool { return o == t })
	j.running[t.number] = rest
	if len(rest) == 0 {
		delete(j.running, t.number)
		return
	}
	if why == model.CauseDone || !ran {
		return
	}
	for _, o := range rest {
		if o.state == model.TaskRunning {
			o.later(t.m.w.sim.Between(0, gangPeerDelay), func() { o.exit(model.CausePeers, false) })
		}
	}
}

// end terminates the machine and all its tasks.
func (m *machine) end() {
	if m.terminated {
		return
	}
	for _, t := range m.tasks {
		if t.live() {
			t.discardUnsaved()
			t.stateVersion++
			t.state, t.cause = model.TaskExited, model.CausePeers
			t.leaveGang(model.CausePeers)
		}
	}
	m.terminated, m.tasks = true, nil
}

// leave removes a machine at the time at which it was returned in the recording. There it got no more
// tasks before that. In the simulation it may still have some; then it is removed when they have ended.
func (m *machine) leave(at time.Duration) {
	m.leaving = at
	if len(m.tasks) > 0 || m.terminated {
		return
	}
	m.notice = max(at, m.w.sim.Now()) // so that no task is started on it
	m.changed()
	m.w.sim.At(at, func() {
		if len(m.tasks) == 0 {
			m.failed = true
			m.end()
		}
	})
}
