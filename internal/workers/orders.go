package workers

import (
	"time"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/peers/peerspb"
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
	shown   bool // a start whose task a report has shown
}

func (o *order) start() bool { return o.op == peerspb.Op_OP_START }

// key is one attempt of a task.
type key struct {
	job     string
	index   int
	attempt uint64
}

func (o *order) key() key { return key{o.job, o.index, o.attempt} }

// settle drops the orders that done picks.
func (m *machine) settle(done func(o *order) bool) {
	m.counted = false
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

func (m *machine) find(o *order) *peerspb.Task {
	for _, t := range m.tasks {
		if t.Job == o.job && int(t.Index) == o.index && t.Attempt == o.attempt {
			return t
		}
	}
	return nil
}

func (d *Desk) apply(now time.Time, o *peerspb.Order) {
	m := d.machines.At(o.Machine)
	if m == nil {
		if o.Op == peerspb.Op_OP_GREET {
			// Its lease may have been extended until now, for all we know.
			d.heard(now, d.add(&machine{name: o.Machine, addr: o.Addr, notice: -1, phase: Joining,
				kind: model.Kind{Type: o.Kind.GetType(), Zone: o.Kind.GetZone()}}))
			return
		}
		if o.Op != peerspb.Op_OP_START {
			return
		}
		// Never heard of here: the start is not taken in, and the leader is told.
		m = d.add(&machine{name: o.Machine, phase: Expired, notice: -1})
	}
	switch o.Op {
	case peerspb.Op_OP_GREET:
	case peerspb.Op_OP_CORDON:
		m.cordon = true
	case peerspb.Op_OP_UNCORDON:
		m.cordon = false
	case peerspb.Op_OP_DROP:
		d.drop(m)
	default:
		m.counted = false
		defer d.mayCall(m)
		next := &order{id: o.Id, op: o.Op, job: o.Job, index: int(o.Index), attempt: o.Attempt,
			grace: time.Duration(o.GraceMs) * time.Millisecond}
		if next.start() && (m.phase != Current || m.restarted || m.reach.deaf) {
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
