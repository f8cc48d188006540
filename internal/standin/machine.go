package standin

import (
	"slices"
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

// machine is a rented machine with its worker, which behaves as the protocol requires. It is
// changed only under the cloud's lock, by the passing of time and by commands.
type machine struct {
	cloud     *Cloud
	name      string
	typ       *Type
	zone      string
	spot      bool
	rented    time.Time
	bootedAt  time.Time
	hungUntil time.Time // the machine does nothing until then
	recallAt  time.Time // when the cloud takes the machine away; zero: not announced

	session, seq, token uint64
	leaseStart          time.Time // when the last answered heartbeat was sent, or the session began
	tasks               []*attempt
	images              []string      // cached images, the most recently used last
	wake                chan struct{} // signals that a heartbeat is due soon
	timer               *time.Timer   // fires when the next timed change is due
	failed              bool          // the machine stopped, but is still listed
	stop                func()
	traffic             Traffic
}

// reportSoon makes the machine send the next heartbeat soon.
func (m *machine) reportSoon() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// resetTimer sets the timer to the earliest timed change. The lease ends while a machine hangs too.
func (m *machine) resetTimer() {
	at := m.leaseStart.Add(m.cloud.opt.Lease + time.Millisecond)
	for _, t := range m.tasks {
		if t.next.IsZero() {
			continue
		}
		next := t.next
		if next.Before(m.hungUntil) {
			next = m.hungUntil
		}
		if next.Before(at) {
			at = next
		}
	}
	if !m.recallAt.IsZero() && m.recallAt.Before(at) {
		at = m.recallAt
	}
	if at.Before(m.bootedAt) {
		at = m.bootedAt
	}
	m.timer.Reset(time.Until(at))
}

// onTimer makes the changes that are due when the timer fires.
func (m *machine) onTimer() {
	c := m.cloud
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.machines[m.name] != m || m.failed {
		return
	}
	c.now = time.Now()
	if !m.recallAt.IsZero() && !c.now.Before(m.recallAt) {
		c.remove(m)
		return
	}
	m.advance(c.now)
	m.resetTimer()
}

// stopWorker stops the machine's worker.
func (m *machine) stopWorker() {
	m.timer.Stop()
	m.stop()
}

// attempt is an attempt of a task on a machine.
type attempt struct {
	m             *machine
	job           *model.Job // nil: the job is unknown, and the attempt was refused
	name          string
	index         int
	number        uint64
	state         model.TaskState
	cause         model.Cause
	saved         bool
	next          time.Time // when the state ends without a command; zero: never
	runningSince  time.Time
	gangBroken    bool // another task of its gang has ended; this one exits at next
	savedProgress time.Duration
}

// active reports whether the attempt counts as being on its machine: it has fetched its image and
// has not exited.
func (t *attempt) active() bool {
	return t.state != model.TaskFetching && t.state != model.TaskExited
}

// setState changes the attempt's state. All changes of state after the start go through it.
func (t *attempt) setState(s model.TaskState, next time.Time) {
	was := t.active()
	t.state, t.next = s, next
	t.m.reportSoon()
	t.m.resetTimer()
	switch is := t.active(); {
	case is && !was:
		t.m.cloud.recordStart(t)
	case was && !is:
		t.m.cloud.recordEnd(t)
	}
}

func (t *attempt) exit(cause model.Cause, saved bool) {
	if t.state == model.TaskExited {
		return
	}
	ran := t.state == model.TaskRunning || t.state == model.TaskSaving
	if ran && cause != model.CauseDone && !saved && t.job.Shape != model.Service {
		t.m.cloud.wastedCPUTime += time.Duration(float64(t.m.cloud.now.Sub(t.runningSince)) * t.job.Size.CPUs)
	}
	t.cause, t.saved = cause, saved
	t.setState(model.TaskExited, time.Time{})
	if t.job != nil && t.job.Shape == model.Gang && ran && cause != model.CauseDone {
		for _, o := range t.m.cloud.gang(t) {
			if !o.gangBroken && o.state == model.TaskRunning {
				o.gangBroken, o.next = true, t.m.cloud.now.Add(gangPeerDelay)
				o.m.resetTimer()
			}
		}
	}
}

// Durations of the protocol to which the stand-in gives fixed values.
const (
	gangPeerDelay   = time.Second
	gangWaitTimeout = 30 * time.Second
)

// advance makes the changes that are due by now.
func (m *machine) advance(now time.Time) {
	if m.leaseOver(now) { // a hung machine must not resume tasks after its lease either
		m.endSession(now)
	}
	if now.Before(m.hungUntil) {
		return
	}
	for _, t := range slices.Clone(m.tasks) {
		if t.next.IsZero() || now.Before(t.next) {
			continue
		}
		switch t.state {
		case model.TaskFetching:
			m.fetched(t, now)
		case model.TaskWaitingForGang:
			t.exit(model.CauseIsolated, false)
		case model.TaskRunning:
			if t.gangBroken {
				t.exit(model.CausePeers, false)
				continue
			}
			if fails := m.cloud.opt.Fails; fails != nil && fails(t.job) {
				t.exit(model.CauseError, false)
				continue
			}
			m.cloud.done(t)
		case model.TaskSaving:
			t.finishCheckpoint(now)
		}
	}
}

// leaseOver reports whether the machine's lease has ended.
func (m *machine) leaseOver(now time.Time) bool { return now.Sub(m.leaseStart) > m.cloud.opt.Lease }

// endSession ends and forgets all tasks and begins a new session, on a machine that hangs when it resumes.
func (m *machine) endSession(now time.Time) {
	for _, t := range m.tasks {
		if t.state != model.TaskExited {
			m.cloud.killed++
		}
		t.exit(model.CauseStopped, false)
	}
	m.tasks = nil
	m.session++
	m.seq, m.leaseStart = 0, now
	if now.Before(m.hungUntil) {
		m.leaseStart = m.hungUntil
	}
	m.reportSoon()
	m.resetTimer()
}

func (m *machine) fetched(t *attempt, now time.Time) {
	image := t.job.Image
	m.images = append(slices.DeleteFunc(m.images, func(i string) bool { return i == image }), image)
	if m.cloud.finished[t.name] {
		t.setState(model.TaskWaitingForGang, time.Time{})
		t.exit(model.CauseDone, false)
		return
	}
	if t.job.Shape != model.Gang {
		t.run(now)
		return
	}
	t.setState(model.TaskWaitingForGang, now.Add(gangWaitTimeout))
	gang := m.cloud.gang(t)
	if len(gang) == t.job.Tasks {
		for _, o := range gang {
			o.run(now)
		}
	}
}

func (t *attempt) run(now time.Time) {
	t.runningSince = now
	next := time.Time{}
	if t.job.Shape != model.Service {
		t.savedProgress = t.m.cloud.progress[t.key()]
		next = now.Add(max(0, t.m.cloud.opt.Takes(t.job, t.index)-t.savedProgress))
	}
	t.setState(model.TaskRunning, next)
}

// key returns the key under which progress is saved. All tasks of a gang share one.
func (t *attempt) key() string {
	if t.job.Shape == model.Gang {
		return t.job.ID
	}
	return t.name
}

// finishCheckpoint ends a task that received a stop command and has saved its checkpoint. A gang's
// checkpoint counts only if all of its tasks save.
func (t *attempt) finishCheckpoint(now time.Time) {
	c := t.m.cloud
	allSaved := true
	if t.job.Shape == model.Gang {
		for _, o := range c.gang(t) {
			allSaved = allSaved && o.state == model.TaskSaving
		}
		allSaved = allSaved && len(c.gang(t)) == t.job.Tasks
	}
	if allSaved || c.savedAttempt[t.job.ID] == t.number {
		if t.job.Shape == model.Gang {
			c.savedAttempt[t.job.ID] = t.number
		}
		c.progress[t.key()] = max(c.progress[t.key()], t.savedProgress+now.Sub(t.runningSince)-c.opt.scaled(t.job.SaveTime))
		t.exit(model.CauseStopped, true)
		return
	}
	t.exit(model.CausePeers, false)
}

// report returns the next heartbeat.
func (m *machine) report(addr string) model.Heartbeat {
	m.seq++
	select {
	case <-m.wake: // this heartbeat already reports what changed
	default:
	}
	r := model.Heartbeat{Machine: m.name, Addr: addr, Type: m.typ.Name, Zone: m.zone, Spot: m.spot, Session: m.session, Seq: m.seq,
		Token: m.token, Tasks: []model.TaskStatus{}}
	if !m.recallAt.IsZero() {
		left := max(0, m.recallAt.Sub(m.cloud.now).Seconds())
		r.NoticeS = &left
	}
	for _, t := range m.tasks {
		r.Tasks = append(r.Tasks, model.TaskStatus{Task: t.name, Attempt: t.number, State: t.state, Cause: t.cause, Saved: t.saved})
	}
	return r
}

func (m *machine) observeToken(token uint64) {
	if token > m.token {
		m.token = token
		m.reportSoon()
	}
}

func (m *machine) execute(commands []model.Command, now time.Time) {
	for _, c := range commands {
		i := slices.IndexFunc(m.tasks, func(t *attempt) bool { return t.name == c.Task && t.number == c.Attempt })
		switch {
		case c.Op == "start" && i < 0:
			m.start(c, now)
		case c.Op == "stop" && i >= 0:
			grace := time.Duration(0)
			if c.GraceS != nil {
				grace = model.Seconds(*c.GraceS)
			}
			m.stopTask(m.tasks[i], grace, now)
		case c.Op == "forget" && i >= 0 && m.tasks[i].state == model.TaskExited:
			m.tasks = slices.Delete(m.tasks, i, i+1)
		}
	}
}

func (m *machine) start(c model.Command, now time.Time) {
	id, index, _ := model.SplitTask(c.Task)
	t := &attempt{m: m, job: m.cloud.opt.Jobs(id), name: c.Task, index: index, number: c.Attempt, state: model.TaskFetching}
	free, busy := m.typ.Size, false
	for _, o := range m.tasks {
		if o.state != model.TaskExited {
			free = free.Sub(o.job.Size)
			busy = busy || o.name == t.name
		}
	}
	m.tasks = append(m.tasks, t)
	m.reportSoon()
	switch {
	case t.job == nil || index >= t.job.Tasks:
		t.exit(model.CauseUnknown, false)
	case busy:
		t.exit(model.CauseBusy, false)
	case !t.job.Size.WithoutReport().Fits(free):
		t.exit(model.CauseNoCapacity, false)
	default:
		fetch := time.Duration(0)
		if !slices.Contains(m.images, t.job.Image) && m.typ.FetchGBPerS > 0 {
			fetch = m.cloud.opt.scaled(model.Seconds(t.job.ImageGB / m.typ.FetchGBPerS))
		}
		t.next = now.Add(fetch)
		m.resetTimer()
	}
}

// stopTask ends a task. A running task with checkpoints saves first if the grace period suffices.
func (m *machine) stopTask(t *attempt, grace time.Duration, now time.Time) {
	switch {
	case t.state == model.TaskExited, t.state == model.TaskSaving && grace > 0:
	case t.state == model.TaskRunning && t.job.CheckpointEvery > 0 && grace >= t.job.SaveTime:
		t.setState(model.TaskSaving, now.Add(m.cloud.opt.scaled(t.job.SaveTime)))
	default:
		t.exit(model.CauseStopped, false)
	}
}

// terminate ends all tasks of the machine and its worker.
func (m *machine) terminate() {
	for _, t := range m.tasks {
		t.exit(model.CauseStopped, false)
	}
	m.tasks = nil
	m.stopWorker()
}
