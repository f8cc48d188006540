package standin

import (
	"slices"
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

// machine is a rented machine with its worker, as the protocol has them. It is changed
// under the cloud's lock only: time and commands go in, reports come out.
type machine struct {
	cloud  *Cloud
	name   string
	typ    *Type
	zone   string
	spot   bool
	rented time.Time
	upAt   time.Time
	hung   time.Time // until then nothing happens
	recall time.Time // when the cloud takes it; zero: not announced

	session, seq, token uint64
	leased              time.Time // when the last answered report was sent, or the session began
	tasks               []*attempt
	images              []string      // the last used one last
	wake                chan struct{} // a report is due soon
	timer               *time.Timer   // when something is due
	failed              bool          // it stopped, and is listed for a while longer
	stop                func()
	traffic             Traffic
}

// change has the next report come soon.
func (m *machine) change() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// arm sets the timer to what is due first.
func (m *machine) arm() {
	at := m.leased.Add(m.cloud.opt.Lease + time.Millisecond)
	for _, t := range m.tasks {
		if !t.next.IsZero() && t.next.Before(at) {
			at = t.next
		}
	}
	if at.Before(m.hung) {
		at = m.hung
	}
	if !m.recall.IsZero() && m.recall.Before(at) {
		at = m.recall
	}
	if at.Before(m.upAt) {
		at = m.upAt
	}
	m.timer.Reset(time.Until(at))
}

// due does what is due, when the timer fires.
func (m *machine) due() {
	c := m.cloud
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.machines[m.name] != m || m.failed {
		return
	}
	c.now = time.Now()
	if !m.recall.IsZero() && !c.now.Before(m.recall) {
		c.remove(m)
		return
	}
	m.advance(c.now)
	m.arm()
}

// halt ends the machine's worker.
func (m *machine) halt() {
	m.timer.Stop()
	m.stop()
}

// attempt is a task on a machine.
type attempt struct {
	m       *machine
	job     *model.Job // nil: it was refused
	name    string
	index   int
	number  uint64
	state   model.TaskState
	cause   model.Cause
	saved   bool
	next    time.Time // when its state ends by itself; zero: never
	began   time.Time // running since
	doomed  bool      // a piece of its gang is gone: it exits when next comes
	already time.Duration
}

// on tells whether a task is on its machine in the rules' sense.
func (t *attempt) on() bool {
	return t.state != model.TaskFetching && t.state != model.TaskExited
}

// to is the one place where an attempt's state changes.
func (t *attempt) to(s model.TaskState, next time.Time) {
	was := t.on()
	t.state, t.next = s, next
	t.m.change()
	t.m.arm()
	switch is := t.on(); {
	case is && !was:
		t.m.cloud.began(t)
	case was && !is:
		t.m.cloud.left(t)
	}
}

func (t *attempt) exit(cause model.Cause, saved bool) {
	if t.state == model.TaskExited {
		return
	}
	ran := t.state == model.TaskRunning || t.state == model.TaskSaving
	if ran && cause != model.CauseDone && !saved && t.job.Shape != model.Service {
		t.m.cloud.wastedCPUTime += time.Duration(float64(t.m.cloud.now.Sub(t.began)) * t.job.Size.CPUs)
	}
	t.cause, t.saved = cause, saved
	t.to(model.TaskExited, time.Time{})
	if t.job != nil && t.job.Shape == model.Gang && ran && cause != model.CauseDone {
		for _, o := range t.m.cloud.gang(t) {
			if !o.doomed && o.state == model.TaskRunning {
				o.doomed, o.next = true, t.m.cloud.now.Add(gangPeer)
				o.m.arm()
			}
		}
	}
}

// Times of the protocol that the stand-in fixes.
const (
	gangPeer = time.Second
	gangWait = 30 * time.Second
)

// advance does what is due by now.
func (m *machine) advance(now time.Time) {
	if now.Sub(m.leased) > m.cloud.opt.Lease { // hung or not: none resumes its tasks after that
		m.endSession(now)
	}
	if now.Before(m.hung) {
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
			if t.doomed {
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

// endSession kills and forgets all tasks.
func (m *machine) endSession(now time.Time) {
	for _, t := range m.tasks {
		if t.state != model.TaskExited {
			m.cloud.killed++
		}
		t.exit(model.CauseStopped, false)
	}
	m.tasks = nil
	m.session++
	m.seq, m.leased = 0, now
	m.change()
	m.arm()
}

func (m *machine) fetched(t *attempt, now time.Time) {
	image := t.job.Image
	m.images = append(slices.DeleteFunc(m.images, func(i string) bool { return i == image }), image)
	if m.cloud.finished[t.name] {
		t.to(model.TaskWaitingForGang, time.Time{})
		t.exit(model.CauseDone, false)
		return
	}
	if t.job.Shape != model.Gang {
		t.run(now)
		return
	}
	t.to(model.TaskWaitingForGang, now.Add(gangWait))
	gang := m.cloud.gang(t)
	if len(gang) == t.job.Tasks {
		for _, o := range gang {
			o.run(now)
		}
	}
}

func (t *attempt) run(now time.Time) {
	t.began = now
	next := time.Time{}
	if t.job.Shape != model.Service {
		t.already = t.m.cloud.progress[t.key()]
		next = now.Add(max(0, t.m.cloud.opt.Takes(t.job, t.index)-t.already))
	}
	t.to(model.TaskRunning, next)
}

// key is whose progress counts: a gang has one for all of its tasks.
func (t *attempt) key() string {
	if t.job.Shape == model.Gang {
		return t.job.ID
	}
	return t.name
}

// finishCheckpoint ends a task that was told to stop and has saved. A gang's progress counts if all
// of it save.
func (t *attempt) finishCheckpoint(now time.Time) {
	c := t.m.cloud
	whole := true
	if t.job.Shape == model.Gang {
		for _, o := range c.gang(t) {
			whole = whole && o.state == model.TaskSaving
		}
		whole = whole && len(c.gang(t)) == t.job.Tasks
	}
	if whole || c.stored[t.job.ID] == t.number {
		if t.job.Shape == model.Gang {
			c.stored[t.job.ID] = t.number
		}
		c.progress[t.key()] = max(c.progress[t.key()], t.already+now.Sub(t.began)-c.opt.scaled(t.job.SaveTime))
		t.exit(model.CauseStopped, true)
		return
	}
	t.exit(model.CausePeers, false)
}

// report writes the next report.
func (m *machine) report(addr string) model.Heartbeat {
	m.seq++
	select {
	case <-m.wake: // what changed is told now
	default:
	}
	r := model.Heartbeat{Machine: m.name, Addr: addr, Type: m.typ.Name, Zone: m.zone, Spot: m.spot, Session: m.session, Seq: m.seq,
		Token: m.token, Tasks: []model.TaskStatus{}}
	if !m.recall.IsZero() {
		left := max(0, m.recall.Sub(m.cloud.now).Seconds())
		r.NoticeS = &left
	}
	for _, t := range m.tasks {
		r.Tasks = append(r.Tasks, model.TaskStatus{Task: t.name, Attempt: t.number, State: t.state, Cause: t.cause, Saved: t.saved})
	}
	return r
}

func (m *machine) sees(token uint64) {
	if token > m.token {
		m.token = token
		m.change()
	}
}

func (m *machine) obey(commands []model.Command, now time.Time) {
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
	room, busy := m.typ.Size, false
	for _, o := range m.tasks {
		if o.state != model.TaskExited {
			room = room.Sub(o.job.Size)
			busy = busy || o.name == t.name
		}
	}
	m.tasks = append(m.tasks, t)
	m.change()
	switch {
	case t.job == nil || index >= t.job.Tasks:
		t.exit(model.CauseUnknown, false)
	case busy:
		t.exit(model.CauseBusy, false)
	case !t.job.Size.Fits(room):
		t.exit(model.CauseNoCapacity, false)
	default:
		fetch := time.Duration(0)
		if !slices.Contains(m.images, t.job.Image) && m.typ.FetchGBPerS > 0 {
			fetch = m.cloud.opt.scaled(model.Seconds(t.job.ImageGB / m.typ.FetchGBPerS))
		}
		t.next = now.Add(fetch)
		m.arm()
	}
}

// stopTask ends a task, which saves first if it can and has the time.
func (m *machine) stopTask(t *attempt, grace time.Duration, now time.Time) {
	switch {
	case t.state == model.TaskExited, t.state == model.TaskSaving && grace > 0:
	case t.state == model.TaskRunning && t.job.CheckpointEvery > 0 && grace >= t.job.SaveTime:
		t.to(model.TaskSaving, now.Add(m.cloud.opt.scaled(t.job.SaveTime)))
	default:
		t.exit(model.CauseStopped, false)
	}
}

// end takes the machine away with all that is on it.
func (m *machine) end() {
	for _, t := range m.tasks {
		t.exit(model.CauseStopped, false)
	}
	m.tasks = nil
	m.halt()
}
