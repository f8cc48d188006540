// Package workers is an owner's desk: it takes in the reports of the machines
// whose kinds this node owns, answers them under the leader's grant, and
// hands orders over in the answers. The desk is pure: time comes in as an
// argument and nothing here touches the network.
package workers

import (
	"container/list"
	"errors"
	"math"
	"math/rand/v2"
	"time"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/peers/peerspb"
)

// Phase is where a machine stands at its owner's desk.
type Phase string

// The phases.
const (
	Joining Phase = "joining" // heard from, but it has not yet shown our token
	Current Phase = "current" // its last report shows our token: the report is complete
	Expired Phase = "expired" // silent for longer than a lease: it has no tasks left
)

type machine struct {
	name          string
	addr          string
	kind          model.Kind
	spot          bool
	phase         Phase
	shown         uint64 // the highest token that its newest report showed
	session       uint64
	seq           uint64
	checked       uint64        // number of the last report in this session that it sent by itself
	ended         uint64        // the session that the leader was told is over, or 0
	notice        time.Duration // -1: none
	tasks         []*peerspb.Task
	pending       []*order
	cordon        bool
	quiet         bool      // no report for longer than they are apart
	reach         reach     // whether what we say reaches it
	asked         bool      // a report that did not show our token was answered with it
	lost          bool      // and a call went unanswered, since it last showed our token
	unexpected    uint64    // session of a report that came late or from a worker that began anew; 0: none did
	restarted     bool      // its worker began anew under this token; see Called
	listed        uint64    // change by which the leader is told of its tasks; see awaitsLeader
	awaited       time.Time // since when its tasks wait for the acknowledgement under this token; zero: they do not
	awaitedRounds uint64    // messages of the leader until then
	covered       time.Time // until then it is answered though its tasks are not acknowledged; see cover
	vetted        bool      // the leader has acknowledged a complete list of its tasks under this token
	waiting       uint64    // number of the report whose answer waits for that; 0: none does
	call          uint64    // number of the direct call under way, or 0
	failed        bool      // the last direct call failed: the next report is awaited

	// Attempts whose start may be carried out late in this session. A worker
	// ignores a start of an attempt that it knows, so these are not forgotten
	// until the session or the token has moved on; true: the leader wanted it.
	kept map[key]bool

	// The last moment at which a lease of this machine may have been extended, by
	// us or, before it had shown our token, by anybody else.
	answered time.Time
	change   uint64

	changed *list.Element // in the order of changes
	silence *list.Element // in the order of answered; nil: its silence has been told of
	due     *list.Element // among those that a call may be worth; nil: it is not there
	used    model.Size    // see occupancy
	known   bool          // all sizes were known then
	counted bool          // used is up to date
}

// Options are the desk's bounds.
type Options struct {
	Member string
	Report time.Duration // between a worker's reports
	Lease  time.Duration
	Margin time.Duration
	Cover  time.Duration // after a cancellation a task may be kept alive for so long by answers
	Calls  int           // most direct calls at once
}

// Desk is one node's desk.
type Desk struct {
	opt          Options
	boot         string
	types        map[string]model.MachineType
	token        uint64
	leader       string
	grant        time.Time
	owners       map[model.Kind]string
	silent       map[model.Kind][]string // kinds that their owner hears nothing from, and where to send them instead
	machines     *model.Table[string, *machine]
	changed      *list.List // of machines, the last changed one last
	silence      *list.List // of machines, the one heard of longest ago first
	due          *list.List // of machines that a direct call may be worth
	sizes        map[string]model.Size
	change       uint64
	applied      uint64
	rounds       uint64    // messages of this token's leader that brought a grant
	viewed       time.Time // all that was cancelled before is in the orders of this token's leader
	acknowledged uint64    // the last change that the leader has taken in under this token
	calls        uint64
	calling      int // direct calls under way
	storeOK      time.Time
	knocks       map[string]time.Time // machines of other owners' kinds that reported here
	start        time.Time
	draw         *rand.Rand
}

// NewDesk makes an empty desk. boot names this process, and start is the
// zero of the clock that grants are given in.
func NewDesk(opt Options, boot string, start time.Time, draw *rand.Rand) *Desk {
	return &Desk{opt: opt, boot: boot, start: start, owners: map[model.Kind]string{},
		machines: model.NewTable[string, *machine](), changed: list.New(), silence: list.New(), due: list.New(), sizes: map[string]model.Size{}, knocks: map[string]time.Time{}, draw: draw}
}

// SetTypes tells the desk what machines hold.
func (d *Desk) SetTypes(types map[string]model.MachineType) { d.types = types }

// Granted tells whether the desk may answer workers now.
func (d *Desk) Granted(now time.Time) bool { return now.Before(d.grant) }

// Leader names the node whose grant was seen last, and its token.
func (d *Desk) Leader() (string, uint64) { return d.leader, d.token }

// StoreSeen is when the leader last said that it reaches the state service.
func (d *Desk) StoreSeen() time.Time { return d.storeOK }

// Verdict is what a worker's report is answered with.
type Verdict struct {
	Status   int // 200, 421 or 503
	Foreman  string
	Token    uint64
	Commands []model.Command
	Changed  bool // the leader should hear of this soon
	Wait     bool // only a message of the leader is missing
	// Unacknowledged tells that this is the acknowledgement of the machine's tasks, not a grant.
	Unacknowledged bool
}

// CheckReport tells what is wrong with a report.
func CheckReport(r *model.Report) error {
	switch {
	case r.Machine == "" || len(r.Machine) > 150:
		return errors.New("field berth: missing or too long")
	case r.Type == "":
		return errors.New("field hull: missing")
	case r.Zone == "":
		return errors.New("field yard: missing")
	case r.Session == 0:
		return errors.New("field shift: missing")
	case r.NoticeS != nil && (math.IsNaN(*r.NoticeS) || *r.NoticeS < 0 || *r.NoticeS > 1e6):
		return errors.New("field recallS: out of range")
	}
	for _, t := range r.Tasks {
		if _, _, ok := model.SplitTask(t.Task); !ok {
			return errors.New("field pieces: not a task: " + t.Task)
		}
		switch t.State {
		case model.TaskFetching, model.TaskWaiting, model.TaskRunning, model.TaskSaving, model.TaskExited:
		default:
			return errors.New("field pieces: unknown stage")
		}
	}
	return nil
}

// setPhase is the one place where a machine's phase changes.
func (d *Desk) setPhase(m *machine, p Phase) {
	if p == Expired {
		// Its lease has run out: nothing runs there, what was not yet handed
		// over never will be, and the worker's next session refuses late calls.
		m.pending, m.tasks, m.kept = nil, nil, nil
		m.ended = m.session
	}
	if p == Joining || p == Current {
		m.asked, m.lost = false, false
	}
	m.phase = p
	d.mayCall(m)
	d.touch(m)
}

// mayCall has a machine looked at when calls are made. Whatever can make a call worth
// while, or possible, calls it.
func (d *Desk) mayCall(m *machine) {
	if m.due == nil && m.urgent() {
		m.due = d.due.PushBack(m)
	}
}

func (d *Desk) touch(m *machine) {
	d.change++
	m.change, m.counted = d.change, false
	if m.changed == nil {
		m.changed = d.changed.PushBack(m)
	} else {
		d.changed.MoveToBack(m.changed)
	}
}

// heard notes that a lease of a machine may have been extended now.
func (d *Desk) heard(now time.Time, m *machine) {
	m.answered = now
	if m.quiet {
		m.quiet = false
		d.touch(m)
	}
	if m.silence == nil {
		m.silence = d.silence.PushBack(m)
	} else {
		d.silence.MoveToBack(m.silence)
	}
}

// add takes in a machine that was not known.
func (d *Desk) add(m *machine) *machine {
	d.machines.Put(m.name, m)
	d.mayCall(m)
	return m
}

// drop forgets a machine.
func (d *Desk) drop(m *machine) {
	d.machines.Drop(m.name)
	if m.due != nil {
		d.due.Remove(m.due)
	}
	if m.changed != nil {
		d.changed.Remove(m.changed)
	}
	if m.silence != nil {
		d.silence.Remove(m.silence)
	}
	m.changed, m.silence, m.due = nil, nil, nil
}

// CheckIn takes in one report.
func (d *Desk) CheckIn(now time.Time, r *model.Report) Verdict {
	// Guard: without a valid grant this node is not entitled to act, however
	// lately it was.
	if !d.Granted(now) || r.Token > d.token {
		return Verdict{Status: 503, Wait: r.Token <= d.token}
	}
	kind := model.Kind{Type: r.Type, Zone: r.Zone}
	switch owner := d.owners[kind]; owner {
	case d.opt.Member:
	case "":
		return Verdict{Status: 503, Wait: len(d.owners) == 0} // the leader has not said yet who owns what
	default:
		d.knock(now, r.Machine)
		return d.pointTo(owner, kind)
	}
	m := d.machines.At(r.Machine)
	if m == nil {
		m = d.add(&machine{name: r.Machine, kind: kind, notice: -1})
	} else if m.ended > 0 && r.Session <= m.ended {
		// Guard: the leader was told that this session is over. An answer must
		// not bring it back to life.
		d.ask(m, r)
		return Verdict{Status: 503}
	} else if m.restarted {
		d.heard(now, m) // what it says counts from the fresh token on
		return Verdict{Status: 200, Token: d.token, Commands: m.stops()}
	} else if m.waiting != 0 && m.waiting == r.Seq && m.session == r.Session {
		return d.answer(now, m, r) // it was taken in when it came
	} else if !m.older(r) {
		return d.late(now, m, r)
	} else if d.refuses(m, r) {
		return Verdict{Status: 503}
	}
	before := d.change
	d.heard(now, m) // a lease may run from its sending, whether it is answered or not
	m.failed = false
	// A worker has one report in flight, so this report shows the effect of
	// every answer before it. A direct call's body does not: an answer may
	// still be on its way then.
	open := len(m.undecided())
	d.judge(now, m, r)
	m.settle(func(o *order) bool { return o.state == handed })
	if len(m.undecided()) != open {
		// Guard: of a start whose answer was lost nothing else tells. Untold, its
		// task stayed bound to an idle machine for good.
		d.touch(m)
	}
	d.takeReport(now, m, r)
	v := d.answer(now, m, r)
	v.Changed = d.change != before
	return v
}

// answer answers a report that was taken in, as soon as the leader has acknowledged the machine's
// tasks.
func (d *Desk) answer(now time.Time, m *machine, r *model.Report) Verdict {
	if d.awaitsLeader(now, m) {
		m.waiting = r.Seq
		return Verdict{Status: 503, Wait: true, Unacknowledged: true}
	}
	m.waiting = 0
	d.heard(now, m)
	m.checked = r.Seq
	if r.Token != d.token {
		m.asked = true
		return Verdict{Status: 200, Token: d.token, Commands: m.stops()}
	}
	if r.Seq != m.seq { // a direct call has overtaken it while it waited
		return Verdict{Status: 200, Token: d.token, Commands: m.stops()}
	}
	return Verdict{Status: 200, Token: d.token, Commands: d.handOver(m)}
}

// takeReport takes in the newest report of a machine, from whichever way.
func (d *Desk) takeReport(now time.Time, m *machine, r *model.Report) {
	moved := m.session != r.Session
	m.addr, m.spot, m.shown, m.session, m.seq = r.Addr, r.Spot, r.Token, r.Session, r.Seq
	notice := time.Duration(-1)
	if r.NoticeS != nil {
		notice = model.Seconds(*r.NoticeS)
	}
	if (notice >= 0) != (m.notice >= 0) {
		d.touch(m)
	}
	m.notice = notice
	open := len(m.undecided())
	if moved { // late direct calls are refused from here on
		m.checked, m.reach.since, m.reach.misses = 0, now, 0
		// Guard: a session's lease runs from its beginning, which is not later
		// than now; counted from the last report, it was over too early where
		// only direct calls came through.
		d.heard(now, m)
		m.kept = nil
		// Guard: a start that a report has shown is decided for the leader, which lets
		// go of its task with the session and starts it elsewhere. A call that carried
		// it may still be under way then; unanswered, it brought the start back, into
		// the new session.
		m.settle(func(o *order) bool { return o.state == unsure || o.shown })
	}
	if d.setTasks(m, r.Tasks) {
		d.touch(m)
		d.noteListed(m)
	}
	m.vetted = m.vetted || r.Token == d.token && !m.hasLiveTasks()
	for _, o := range m.pending {
		o.shown = o.shown || o.start() && m.find(o) != nil
	}
	m.settle(func(o *order) bool { // what shows is decided
		return o.start() && (o.state == unsure || o.state == queued) && m.find(o) != nil
	})
	if len(m.undecided()) != open {
		d.touch(m)
	}
	phase := Joining
	if r.Token == d.token {
		phase = Current
	}
	// Until the worker has shown our token, orders of an earlier one may still
	// be on their way to it.
	if m.phase != phase {
		if phase == Current {
			m.kept = nil
			// Guard: until the worker took our token in, another owner may have
			// answered it, for all that this desk knows; from then on nobody else
			// can. Without this, a desk that had owned the machine before counted
			// the lease from its own last answer of then, and the word that it had
			// run out was believed, for the machine had shown our token.
			d.heard(now, m)
		}
		d.setPhase(m, phase)
	}
	d.mayCall(m)
}

// setTasks replaces the machine's tasks and tells whether anything differs.
func (d *Desk) setTasks(m *machine, tasks []model.WireTask) bool {
	same := len(tasks) == len(m.tasks)
	next := make([]*peerspb.Task, 0, len(tasks))
	for i, t := range tasks {
		job, index, _ := model.SplitTask(t.Task)
		next = append(next, &peerspb.Task{Job: job, Index: uint32(index), Attempt: t.Attempt,
			State: string(t.State), Cause: string(t.Cause), Saved: t.Saved})
		if same {
			o := m.tasks[i]
			same = o.Job == job && o.Index == uint32(index) && o.Attempt == t.Attempt &&
				o.State == string(t.State) && o.Cause == string(t.Cause)
		}
	}
	m.tasks = next
	return !same
}

// expire marks machines whose lease has surely run out: a worker kills its
// tasks one lease after it sent the last answered report, and its clock may
// run slower than ours. Only those that have been silent for some time are looked at.
func (d *Desk) expire(now time.Time) {
	limit, late := d.opt.Lease+d.opt.Lease/500+d.opt.Margin, 2*d.opt.Report+time.Second
	for e := d.silence.Front(); e != nil; {
		m, _ := e.Value.(*machine)
		silent := now.Sub(m.answered)
		if silent <= min(limit, late) {
			break
		}
		e = e.Next()
		if m.phase != Expired && silent > limit {
			d.setPhase(m, Expired)
		}
		if quiet := silent > late; quiet != m.quiet {
			m.quiet = quiet
			d.touch(m)
		}
		if m.quiet && m.phase == Expired {
			d.silence.Remove(m.silence)
			m.silence = nil
		}
	}
}
