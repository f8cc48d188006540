// Package workers is an owner's desk: it takes in the reports of the machines
// whose kinds this node owns, answers them under the leader's grant, and
// hands orders over in the answers. The desk is pure: time comes in as an
// argument and nothing here touches the network.
package workers

import (
	"errors"
	"math"
	"math/rand/v2"
	"sort"
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

// maxOrders bounds the orders of one answer, far below the line limit.
const maxOrders = 200

// orderState is where an order stands on its way to its machine.
type orderState int

// The states of an order.
const (
	queued  orderState = iota // waits for the machine's next report or a direct call
	handed                    // was in the answer to a report; the next report decides
	calling                   // a direct call that carries it is under way
	unsure                    // a direct call went unanswered: it may be carried out late
)

// order is one command for a machine.
type order struct {
	id      uint64
	op      peerspb.Op
	job     string
	index   int
	attempt uint64
	grace   time.Duration
	state   orderState
	void    bool // a start that is no longer wanted
	told    bool // a stop that a direct call has delivered
}

func (o *order) start() bool { return o.op == peerspb.Op_OP_START }

// key is one attempt of a task.
type key struct {
	job     string
	index   int
	attempt uint64
}

func (o *order) key() key { return key{o.job, o.index, o.attempt} }

type machine struct {
	name    string
	addr    string
	kind    model.Kind
	spot    bool
	phase   Phase
	session uint64
	seq     uint64
	ended   uint64        // the session that the leader was told is over, or 0
	notice  time.Duration // -1: none
	tasks   []*peerspb.Task
	pending []*order
	cordon  bool
	quiet   bool   // no report for longer than they are apart
	call    uint64 // number of the direct call under way, or 0
	failed  bool   // the last direct call failed: the next report is awaited

	// Attempts whose start may be carried out late in this session. A worker
	// ignores a start of an attempt that it knows, so these are not forgotten
	// until the session or the token has moved on; true: the leader wanted it.
	kept map[key]bool

	answered time.Time // last 200: its lease runs from no later than this
	change   uint64
}

// Options are the desk's bounds.
type Options struct {
	Member string
	Report time.Duration // between a worker's reports
	Lease  time.Duration
	Margin time.Duration
}

// Desk is one node's desk.
type Desk struct {
	opt      Options
	boot     string
	types    map[string]model.MachineType
	token    uint64
	leader   string
	grant    time.Time
	owners   map[model.Kind]string
	silent   map[model.Kind][]string // kinds that their owner hears nothing from, and where to send them instead
	machines map[string]*machine
	sizes    map[string]model.Size
	change   uint64
	applied  uint64
	calls    uint64
	storeOK  time.Time
	knocks   map[string]time.Time // machines of other owners' kinds that reported here
	start    time.Time
	draw     *rand.Rand
}

// NewDesk makes an empty desk. boot names this process, and start is the
// zero of the clock that grants are given in.
func NewDesk(opt Options, boot string, start time.Time, draw *rand.Rand) *Desk {
	return &Desk{opt: opt, boot: boot, start: start, owners: map[model.Kind]string{},
		machines: map[string]*machine{}, sizes: map[string]model.Size{}, knocks: map[string]time.Time{}, draw: draw}
}

// Knocks that are older, or more of them, say nothing.
const (
	knockMemory = 5 * time.Second
	maxKnocks   = 1000
)

// knock keeps for the leader that a machine of another owner's kind reported
// here: its owner may be out of its reach.
func (d *Desk) knock(now time.Time, name string) {
	if len(d.knocks) < maxKnocks {
		d.knocks[name] = now
	}
}

// pointTo sends a machine to its kind's owner.
//
// Guard: an owner that hears nothing from the kind is probably out of the
// machines' reach, and a worker waits there for four seconds; its lease would be
// over before the kind has another owner. Until then machines go to and fro
// between the controllers that they reach.
func (d *Desk) pointTo(owner string, kind model.Kind) Verdict {
	elsewhere, silent := d.silent[kind]
	if !silent {
		return Verdict{Status: 421, Foreman: owner}
	}
	for _, member := range elsewhere {
		if member != d.opt.Member {
			return Verdict{Status: 421, Foreman: member}
		}
	}
	return Verdict{Status: 503}
}

// takeKnocks hands over what was kept.
func (d *Desk) takeKnocks(now time.Time) (out []string) {
	for name, at := range d.knocks {
		if now.Sub(at) < knockMemory {
			out = append(out, name)
		}
	}
	clear(d.knocks)
	sort.Strings(out)
	return out
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
	Wait     bool // only a grant is missing
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
	m.phase = p
	d.touch(m)
}

func (d *Desk) touch(m *machine) {
	d.change++
	m.change = d.change
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
		return Verdict{Status: 503}
	default:
		d.knock(now, r.Machine)
		return d.pointTo(owner, kind)
	}
	m := d.machines[r.Machine]
	if m == nil {
		m = &machine{name: r.Machine, kind: kind, notice: -1}
		d.machines[r.Machine] = m
	} else if m.ended > 0 && r.Session <= m.ended {
		// Guard: the leader was told that this session is over. An answer must
		// not bring it back to life.
		return Verdict{Status: 503}
	} else if r.Session < m.session || (r.Session == m.session && r.Seq <= m.seq) {
		// A late or repeated report: its task list is as old as it is.
		//
		// Guard: it may also be one that the answer to a direct call overtook.
		// Its sender still waits, and this answer extends its lease; counted
		// from the report before, the lease was told to be over too early.
		if r.Session == m.session {
			m.answered = now
		}
		return Verdict{Status: 200, Token: d.token}
	}
	before := d.change
	m.answered, m.failed = now, false
	// A worker has one report in flight, so this report shows the effect of
	// every answer before it. A direct call's body does not: an answer may
	// still be on its way then.
	m.settle(func(o *order) bool { return o.state == handed })
	d.takeReport(now, m, r)
	if r.Token != d.token {
		return Verdict{Status: 200, Token: d.token, Changed: d.change != before}
	}
	v := Verdict{Status: 200, Token: d.token, Commands: d.handOver(m), Changed: d.change != before}
	return v
}

// takeReport takes in the newest report of a machine, from whichever way.
func (d *Desk) takeReport(now time.Time, m *machine, r *model.Report) {
	moved := m.session != r.Session
	m.addr, m.spot, m.session, m.seq = r.Addr, r.Spot, r.Session, r.Seq
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
		// Guard: a session's lease runs from its beginning, which is not later
		// than now; counted from the last report, it was over too early where
		// only direct calls came through.
		m.answered = now
		m.kept = nil
		m.settle(func(o *order) bool { return o.state == unsure })
	}
	if d.setTasks(m, r.Tasks) {
		d.touch(m)
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
		}
		d.setPhase(m, phase)
	}
}

// settle drops the orders that done picks.
func (m *machine) settle(done func(o *order) bool) {
	rest := m.pending[:0]
	for _, o := range m.pending {
		if !done(o) {
			rest = append(rest, o)
		}
	}
	m.pending = rest
}

// undecided lists the starts whose outcome is open.
func (m *machine) undecided() []uint64 {
	var out []uint64
	for _, o := range m.pending {
		if o.start() {
			out = append(out, o.id)
		}
	}
	return out
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
			same = o.Job == job && o.Index == uint32(index) && o.Attempt == t.Attempt && o.State == string(t.State) && o.Cause == string(t.Cause)
		}
	}
	m.tasks = next
	return !same
}

// handOver takes the orders for one answer. Starts are handed over once: if
// the answer is lost, the next report lacks the task and the leader decides
// anew. Stops and forgets are repeated until a report shows their effect, and
// so is a start that a direct call may yet carry out: it is to show.
func (d *Desk) handOver(m *machine) []model.Command {
	var out []model.Command
	m.settle(func(o *order) bool { return m.pointless(o) })
	for _, o := range m.pending {
		if len(out) >= maxOrders || o.state == calling || (o.state == unsure && o.void) || m.held(o) {
			continue
		}
		if o.start() && o.state == queued {
			o.state = handed
		}
		out = append(out, o.command())
	}
	return out
}

// pointless tells that a stop or a forget has had its effect.
func (m *machine) pointless(o *order) bool {
	t := m.find(o)
	switch o.op {
	case peerspb.Op_OP_STOP:
		if t == nil { // unless its start may still come to effect
			return m.openStart(o.key()) == nil
		}
		return t.State == string(model.TaskExited)
	case peerspb.Op_OP_FORGET:
		return t == nil
	}
	return false
}

// openStart finds the start of an attempt whose outcome is open.
func (m *machine) openStart(k key) *order {
	for _, o := range m.pending {
		if o.start() && o.key() == k {
			return o
		}
	}
	return nil
}

// held tells that an attempt must not be forgotten: a call may yet start it.
func (m *machine) held(o *order) bool {
	if o.op != peerspb.Op_OP_FORGET {
		return false
	}
	_, kept := m.kept[o.key()]
	return kept || m.openStart(o.key()) != nil
}

func (o *order) command() model.Command {
	c := model.Command{Task: model.TaskName(o.job, o.index), Attempt: o.attempt}
	switch o.op {
	case peerspb.Op_OP_START:
		c.Op = "start"
	case peerspb.Op_OP_STOP:
		grace := o.grace.Seconds()
		c.Op, c.GraceS = "stop", &grace
	case peerspb.Op_OP_FORGET:
		c.Op = "forget"
	}
	return c
}

// Call is a direct call to a worker.
type Call struct {
	Machine  string
	Addr     string
	Token    uint64
	Session  uint64
	Commands []model.Command
	Until    time.Time // not to be sent from then on: the grant is over
	id       uint64
}

// Calls returns the direct calls that are due: one at a time for each machine
// that has starts waiting, or stops, for whose room another task waits, and an empty one for each that has not shown our
// token yet: it takes the token in and answers with a report that does. Nothing
// is called without a valid grant.
func (d *Desk) Calls(now time.Time) []Call {
	if !d.Granted(now) {
		return nil
	}
	var out []Call
	for _, m := range d.machines {
		if m.call != 0 || m.failed || m.phase == Expired || m.addr == "" || m.notice >= 0 || d.owners[m.kind] != d.opt.Member {
			continue
		}
		c := Call{Machine: m.name, Addr: m.addr, Token: d.token, Session: m.session, Commands: []model.Command{}, Until: d.grant}
		due := m.phase == Joining
		for _, o := range m.pending {
			if o.state != queued || len(c.Commands) >= maxOrders || m.held(o) || m.phase != Current {
				continue
			}
			switch {
			case o.start():
				due, o.state = true, calling
			case o.op == peerspb.Op_OP_STOP && !o.told && m.find(o) != nil:
				due = true
			}
			c.Commands = append(c.Commands, o.command())
		}
		if !due {
			continue
		}
		d.calls++
		c.id, m.call = d.calls, d.calls
		out = append(out, c)
	}
	return out
}

// CallOutcome is what became of a direct call.
type CallOutcome int

// The outcomes.
const (
	Executed   CallOutcome = iota // 200, with the report after the commands
	Refused                       // 409, 400 or never sent: nothing was executed
	Unanswered                    // it may be executed late
)

func (o CallOutcome) String() string {
	return [...]string{"executed", "refused", "unanswered"}[o]
}

// Called takes in the outcome of a direct call. r is the worker's report, if
// one came with it.
func (d *Desk) Called(now time.Time, c Call, outcome CallOutcome, r *model.Report) {
	m := d.machines[c.Machine]
	if m == nil || m.call != c.id {
		return
	}
	m.call = 0
	// Guard: without this pause a worker that cannot be called directly would
	// be called again and again without end. A session that we did not know is
	// worth one more try.
	m.failed = outcome != Executed && (r == nil || r.Session == c.Session)
	if c.Token != d.token {
		return // orders of an earlier token are void; the next report decides its starts
	}
	if r != nil && r.Machine == m.name && r.Token <= d.token && CheckReport(r) == nil && r.Session > m.ended &&
		(r.Session > m.session || (r.Session == m.session && r.Seq > m.seq)) {
		d.takeReport(now, m, r)
	}
	for _, o := range m.pending {
		o.told = o.told || (outcome == Executed && o.op == peerspb.Op_OP_STOP && c.has(o))
		if o.state != calling {
			continue
		}
		o.state = queued
		if outcome == Unanswered && c.Session == m.session && m.find(o) == nil {
			o.state = unsure
		}
		if outcome == Unanswered && c.Session == m.session {
			if m.kept == nil {
				m.kept = map[key]bool{}
			}
			m.kept[o.key()] = false
		}
	}
	m.settle(func(o *order) bool {
		if o.start() && o.state == queued && (outcome == Executed && c.has(o) || o.void || m.find(o) != nil) {
			return true
		}
		// What the leader has done with but must not be forgotten yet.
		if _, kept := m.kept[o.key()]; kept && o.op == peerspb.Op_OP_FORGET {
			m.kept[o.key()] = true
			return true
		}
		return false
	})
	d.touch(m)
}

// has tells whether the call carried an order.
func (c *Call) has(o *order) bool {
	want := o.command()
	for _, k := range c.Commands {
		if k.Op == want.Op && k.Task == want.Task && k.Attempt == want.Attempt {
			return true
		}
	}
	return false
}

func (m *machine) find(o *order) *peerspb.Task {
	for _, t := range m.tasks {
		if t.Job == o.job && int(t.Index) == o.index && t.Attempt == o.attempt {
			return t
		}
	}
	return nil
}

// Round takes in one message of a leader: a grant, orders, wishes for
// samples. A message with a lower token than the highest seen is answered
// but has no effect.
func (d *Desk) Round(now time.Time, r *peerspb.RoundRequest) *peerspb.RoundResponse {
	out := &peerspb.RoundResponse{Boot: d.boot, ClockNs: int64(now.Sub(d.start))}
	if r.Token < d.token {
		out.Token = d.token
		return out
	}
	if r.Token > d.token {
		d.newToken(r.Token)
	}
	out.Token, d.leader = d.token, r.Leader
	if r.StoreOk {
		d.storeOK = now
	}
	// The grant is a moment on this process's own clock, so a message that a
	// cut held back brings a grant that is over.
	if r.Boot == d.boot {
		if until := d.start.Add(time.Duration(r.GrantUntilNs)); until.After(d.grant) {
			d.grant = until
		}
		d.take(now, r)
	}
	d.expire(now)
	out.Applied, out.Change = d.applied, d.change
	if r.Boot != d.boot {
		return out
	}
	out.Knocks = d.takeKnocks(now)
	for _, m := range d.machines {
		if m.change > r.Seen {
			out.Machines = append(out.Machines, m.message())
		}
	}
	for _, w := range r.Wants {
		out.Samples = append(out.Samples, d.sample(w)...)
	}
	return out
}

// newToken voids everything that was ordered under the token before.
func (d *Desk) newToken(token uint64) {
	d.token, d.grant, d.applied = token, time.Time{}, 0
	d.owners, d.sizes = map[model.Kind]string{}, map[string]model.Size{}
	for _, m := range d.machines {
		// Another owner may have kept the machine's session alive meanwhile.
		m.pending, m.cordon, m.failed, m.ended = nil, false, false, 0
		if m.phase != Expired {
			d.setPhase(m, Joining)
		} else {
			d.touch(m)
		}
	}
}

func (d *Desk) take(now time.Time, r *peerspb.RoundRequest) {
	if len(r.Owners) > 0 {
		d.owners = make(map[model.Kind]string, len(r.Owners))
		d.silent = map[model.Kind][]string{}
		for _, o := range r.Owners {
			kind := model.Kind{Type: o.Kind.Type, Zone: o.Kind.Zone}
			d.owners[kind] = o.Member
			if len(o.Elsewhere) > 0 {
				d.silent[kind] = o.Elsewhere
			}
		}
		for name, m := range d.machines { // those that went to another owner
			if d.owners[m.kind] != d.opt.Member && m.kind != (model.Kind{}) {
				delete(d.machines, name)
			}
		}
	}
	for _, s := range r.Sizes {
		d.sizes[s.Job] = sizeOf(s.Size)
	}
	for _, o := range r.Orders {
		if o.Id <= d.applied { // a repeat, or a message that came late
			continue
		}
		d.applied = o.Id
		d.apply(now, o)
	}
}

func (d *Desk) apply(now time.Time, o *peerspb.Order) {
	m := d.machines[o.Machine]
	if m == nil {
		if o.Op == peerspb.Op_OP_GREET {
			// Its lease may have been extended until now, for all we know.
			d.machines[o.Machine] = &machine{name: o.Machine, addr: o.Addr, notice: -1, phase: Joining, answered: now,
				kind: model.Kind{Type: o.Kind.GetType(), Zone: o.Kind.GetZone()}}
			return
		}
		if o.Op != peerspb.Op_OP_START {
			return
		}
		// Never heard of here: the start is not taken in, and the leader is told.
		m = &machine{name: o.Machine, phase: Expired, notice: -1}
		d.machines[o.Machine] = m
	}
	switch o.Op {
	case peerspb.Op_OP_GREET:
	case peerspb.Op_OP_CORDON:
		m.cordon = true
	case peerspb.Op_OP_UNCORDON:
		m.cordon = false
	case peerspb.Op_OP_DROP:
		delete(d.machines, o.Machine)
	default:
		next := &order{id: o.Id, op: o.Op, job: o.Job, index: int(o.Index), attempt: o.Attempt,
			grace: time.Duration(o.GraceMs) * time.Millisecond}
		if next.start() && m.phase != Current {
			d.touch(m) // not taken in, hence decided: the leader is told
			return
		}
		if wanted, ok := m.kept[next.key()]; ok && next.op == peerspb.Op_OP_FORGET {
			// Guard: forgotten, the attempt could be started again by a call
			// that is still under way. It only leaves the leader's sight.
			if !wanted {
				m.kept[next.key()] = true
				d.touch(m)
			}
			return
		}
		for i, p := range m.pending {
			if p.key() != next.key() {
				continue
			}
			if p.start() && next.op == peerspb.Op_OP_STOP {
				if p.state == queued {
					m.settle(func(q *order) bool { return q == p })
					d.touch(m)
					return
				}
				p.void = true
				d.touch(m)
				break // handed over, or on its way: the stop may be needed
			}
			if p.op == next.op { // a second stop replaces the first
				m.pending[i] = next
				return
			}
		}
		m.pending = append(m.pending, next)
	}
}

// expire marks machines whose lease has surely run out: a worker kills its
// tasks one lease after it sent the last answered report, and its clock may
// run slower than ours.
func (d *Desk) expire(now time.Time) {
	limit := d.opt.Lease + d.opt.Lease/500 + d.opt.Margin
	for _, m := range d.machines {
		if m.phase != Expired && now.Sub(m.answered) > limit {
			d.setPhase(m, Expired)
		}
		if quiet := now.Sub(m.answered) > 2*d.opt.Report+time.Second; quiet != m.quiet {
			m.quiet = quiet
			d.touch(m)
		}
	}
}

func (m *machine) message() *peerspb.Machine {
	notice := int64(-1)
	if m.notice >= 0 {
		notice = m.notice.Milliseconds()
	}
	tasks := m.tasks
	if len(m.kept) > 0 { // those that the leader has done with
		tasks = nil
		for _, t := range m.tasks {
			if !m.kept[key{t.Job, int(t.Index), t.Attempt}] {
				tasks = append(tasks, t)
			}
		}
	}
	doubt := false
	for _, o := range m.pending {
		doubt = doubt || (o.state == unsure && o.void)
	}
	return &peerspb.Machine{Name: m.name, Addr: m.addr, Kind: &peerspb.Kind{Type: m.kind.Type, Zone: m.kind.Zone},
		Spot: m.spot, Phase: string(m.phase), Session: m.session, Seq: m.seq, Undecided: m.undecided(),
		Unsure: doubt, Quiet: m.quiet, NoticeMs: notice, Tasks: tasks}
}

// used is the machine's occupancy, the starts on their way included. known
// is false while some job's size has not been told.
func (d *Desk) used(m *machine) (used model.Size, known bool) {
	for _, t := range m.tasks {
		if t.State == string(model.TaskExited) {
			continue
		}
		size, ok := d.sizes[t.Job]
		if !ok {
			return used, false
		}
		used = used.Add(size)
	}
	for _, o := range m.pending {
		if o.start() {
			used = used.Add(d.sizes[o.job])
		}
	}
	return used, true
}

// sample draws machines with room, w.Draws of each kind that this desk owns,
// with replacement as in the paper; a scan names every machine with room. Spot
// machines are drawn apart, for they differ from the others of their kind.
func (d *Desk) sample(w *peerspb.Want) []*peerspb.Sample {
	size := sizeOf(w.Size)
	var out []*peerspb.Sample
	for _, k := range w.Kinds {
		kind := model.Kind{Type: k.Type, Zone: k.Zone}
		if d.owners[kind] != d.opt.Member {
			continue
		}
		room := map[bool][]string{} // by whether it is a spot machine
		for _, m := range d.machines {
			if m.kind != kind || m.phase != Current || m.cordon || m.notice >= 0 || (m.spot && !w.Spot) {
				continue
			}
			used, known := d.used(m)
			if known && size.Fits(d.types[kind.Type].Size.Sub(used)) {
				room[m.spot] = append(room[m.spot], m.name)
			}
		}
		for _, spot := range []bool{false, true} {
			names := room[spot]
			if len(names) == 0 {
				continue
			}
			sort.Strings(names)
			s := &peerspb.Sample{Want: w.Id, Kind: k}
			if w.Scan {
				s.Machines = names
			} else {
				for range w.Draws {
					s.Machines = append(s.Machines, names[d.draw.IntN(len(names))])
				}
			}
			out = append(out, s)
		}
	}
	return out
}

func sizeOf(s *peerspb.Size) model.Size {
	return model.Size{CPUs: s.GetCpus(), GPUs: s.GetGpus(), MemoryGB: s.GetMemoryGb()}
}
