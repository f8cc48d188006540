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

// order is one command waiting for its machine's next report.
type order struct {
	id      uint64
	op      peerspb.Op
	job     string
	index   int
	attempt uint64
	grace   time.Duration
	void    bool // a start that was stopped before it was handed over
}

type machine struct {
	name    string
	addr    string
	kind    model.Kind
	spot    bool
	phase   Phase
	session uint64
	seq     uint64
	notice  time.Duration // -1: none
	tasks   []*peerspb.Task
	pending []order
	cordon  bool

	answered  time.Time // last 200: its lease runs from no later than this
	sent      uint64    // highest start order handed over in an answer
	delivered uint64    // highest start order that the last report had the chance to show
	change    uint64
}

// Options are the desk's bounds.
type Options struct {
	Member string
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
	machines map[string]*machine
	sizes    map[string]model.Size
	change   uint64
	applied  uint64
	storeOK  time.Time
	start    time.Time
	draw     *rand.Rand
}

// NewDesk makes an empty desk. boot names this process, and start is the
// zero of the clock that grants are given in.
func NewDesk(opt Options, boot string, start time.Time, draw *rand.Rand) *Desk {
	return &Desk{opt: opt, boot: boot, start: start, owners: map[model.Kind]string{},
		machines: map[string]*machine{}, sizes: map[string]model.Size{}, draw: draw}
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
		// Its lease has run out: nothing runs there, and what was not yet
		// handed over never will be. Saying "delivered" makes the leader free
		// those starts.
		for _, o := range m.pending {
			m.sent = max(m.sent, o.id)
		}
		m.delivered, m.pending, m.tasks = m.sent, nil, nil
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
		return Verdict{Status: 503}
	}
	kind := model.Kind{Type: r.Type, Zone: r.Zone}
	switch owner := d.owners[kind]; owner {
	case d.opt.Member:
	case "":
		return Verdict{Status: 503}
	default:
		return Verdict{Status: 421, Foreman: owner}
	}
	m := d.machines[r.Machine]
	if m == nil {
		m = &machine{name: r.Machine, kind: kind, notice: -1}
		d.machines[r.Machine] = m
	} else if r.Session < m.session || (r.Session == m.session && r.Seq <= m.seq) {
		// A late or repeated report: its task list is as old as it is, and its
		// sender no longer waits for the answer.
		return Verdict{Status: 200, Token: d.token}
	}
	before := d.change
	m.addr, m.spot, m.session, m.seq = r.Addr, r.Spot, r.Session, r.Seq
	m.answered = now
	notice := time.Duration(-1)
	if r.NoticeS != nil {
		notice = model.Seconds(*r.NoticeS)
	}
	if (notice >= 0) != (m.notice >= 0) {
		d.touch(m)
	}
	m.notice = notice
	// A worker has one report in flight, so this report shows the effect of
	// every answer before it.
	if m.delivered != m.sent {
		m.delivered = m.sent
		d.touch(m)
	}
	if d.setTasks(m, r.Tasks) {
		d.touch(m)
	}
	if r.Token != d.token {
		// Until the worker has shown our token, orders of an earlier one may
		// still be on their way to it.
		if m.phase != Joining {
			d.setPhase(m, Joining)
		}
		return Verdict{Status: 200, Token: d.token, Changed: d.change != before}
	}
	if m.phase != Current {
		d.setPhase(m, Current)
	}
	return Verdict{Status: 200, Token: d.token, Commands: d.handOver(m), Changed: d.change != before}
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
// anew. Stops and forgets are repeated until a report shows their effect.
func (d *Desk) handOver(m *machine) []model.Command {
	var out []model.Command
	var rest []order
	for _, o := range m.pending {
		t := m.find(o)
		switch o.op {
		case peerspb.Op_OP_START:
			if len(out) >= maxOrders {
				rest = append(rest, o)
				continue
			}
			m.sent = max(m.sent, o.id)
			if o.void {
				continue
			}
			out = append(out, model.Command{Op: "start", Task: model.TaskName(o.job, o.index), Attempt: o.attempt})
		case peerspb.Op_OP_STOP:
			if t == nil || t.State == string(model.TaskExited) {
				continue
			}
			rest = append(rest, o)
			if len(out) < maxOrders {
				grace := o.grace.Seconds()
				out = append(out, model.Command{Op: "stop", Task: model.TaskName(o.job, o.index), Attempt: o.attempt, GraceS: &grace})
			}
		case peerspb.Op_OP_FORGET:
			if t == nil {
				continue
			}
			rest = append(rest, o)
			if len(out) < maxOrders {
				out = append(out, model.Command{Op: "forget", Task: model.TaskName(o.job, o.index), Attempt: o.attempt})
			}
		}
	}
	m.pending = rest
	return out
}

func (m *machine) find(o order) *peerspb.Task {
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
		d.take(r)
	}
	d.expire(now)
	out.Applied, out.Change = d.applied, d.change
	if r.Boot != d.boot {
		return out
	}
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
		m.pending, m.sent, m.delivered, m.cordon = nil, 0, 0, false
		if m.phase != Expired {
			d.setPhase(m, Joining)
		} else {
			d.touch(m)
		}
	}
}

func (d *Desk) take(r *peerspb.RoundRequest) {
	if len(r.Owners) > 0 {
		d.owners = make(map[model.Kind]string, len(r.Owners))
		for _, o := range r.Owners {
			d.owners[model.Kind{Type: o.Kind.Type, Zone: o.Kind.Zone}] = o.Member
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
		d.apply(o)
	}
}

func (d *Desk) apply(o *peerspb.Order) {
	m := d.machines[o.Machine]
	if m == nil {
		if o.Op != peerspb.Op_OP_START {
			return
		}
		// Never heard of here: the start is void, and the leader is told so.
		m = &machine{name: o.Machine, phase: Expired, notice: -1}
		d.machines[o.Machine] = m
	}
	switch o.Op {
	case peerspb.Op_OP_CORDON:
		m.cordon = true
	case peerspb.Op_OP_UNCORDON:
		m.cordon = false
	case peerspb.Op_OP_DROP:
		delete(d.machines, o.Machine)
	default:
		next := order{id: o.Id, op: o.Op, job: o.Job, index: int(o.Index), attempt: o.Attempt,
			grace: time.Duration(o.GraceMs) * time.Millisecond}
		if o.Op == peerspb.Op_OP_START && m.phase != Current {
			m.sent, m.delivered = max(m.sent, o.Id), max(m.delivered, o.Id)
			d.touch(m)
			return
		}
		for i, p := range m.pending {
			if p.job != next.job || p.index != next.index || p.attempt != next.attempt {
				continue
			}
			if p.op == peerspb.Op_OP_START && next.op == peerspb.Op_OP_STOP {
				// Guard: the start stays in its place and only turns void. Were
				// it taken out, "delivered" would run ahead of starts before it.
				m.pending[i].void = true
				return
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
	}
}

func (m *machine) message() *peerspb.Machine {
	notice := int64(-1)
	if m.notice >= 0 {
		notice = m.notice.Milliseconds()
	}
	return &peerspb.Machine{Name: m.name, Addr: m.addr, Kind: &peerspb.Kind{Type: m.kind.Type, Zone: m.kind.Zone},
		Spot: m.spot, Phase: string(m.phase), Session: m.session, Seq: m.seq, Delivered: m.delivered,
		NoticeMs: notice, Tasks: m.tasks}
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
		if o.op == peerspb.Op_OP_START {
			used = used.Add(d.sizes[o.job])
		}
	}
	return used, true
}

// sample draws machines with room, w.Draws of each kind that this desk owns,
// with replacement as in the paper; a scan names every machine with room.
func (d *Desk) sample(w *peerspb.Want) []*peerspb.Sample {
	size := sizeOf(w.Size)
	var out []*peerspb.Sample
	for _, k := range w.Kinds {
		kind := model.Kind{Type: k.Type, Zone: k.Zone}
		if d.owners[kind] != d.opt.Member {
			continue
		}
		var room []string
		for _, m := range d.machines {
			if m.kind != kind || m.phase != Current || m.cordon || m.notice >= 0 || (m.spot && !w.Spot) {
				continue
			}
			used, known := d.used(m)
			if known && size.Fits(d.types[kind.Type].Size.Sub(used)) {
				room = append(room, m.name)
			}
		}
		if len(room) == 0 {
			continue
		}
		sort.Strings(room)
		s := &peerspb.Sample{Want: w.Id, Kind: k}
		if w.Scan {
			s.Machines = room
		} else {
			for range w.Draws {
				s.Machines = append(s.Machines, room[d.draw.IntN(len(room))])
			}
		}
		out = append(out, s)
	}
	return out
}

func sizeOf(s *peerspb.Size) model.Size {
	return model.Size{CPUs: s.GetCpus(), GPUs: s.GetGpus(), MemoryGB: s.GetMemoryGb()}
}
