package workers

import (
	"cmp"
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

// What a worker says may come late, or from a worker that began anew under the same name and
// address, whose numbers and token are low again. Within one life of a worker its token,
// session and number only rise, in this order of weight, so of two reports that of the larger
// triple was made later. A report alone does not tell of which life it is; the answer to a
// call made now does, for it was made after the call.

// older tells whether what the machine had last said was said before a report, if its worker
// has not begun anew between them.
//
// Guard: the token weighs most. A report that came late from before a worker began anew has a
// larger number than what it says since; what shows a token that was given out later it has
// said later all the same.
func (m *machine) older(r *model.Report) bool {
	return cmp.Or(cmp.Compare(m.shown, r.Token), cmp.Compare(m.session, r.Session), cmp.Compare(m.seq, r.Seq)) < 0
}

// late answers a report that is no newer than what is known: a late one, a copy, or one of a
// worker that began anew. Its list of tasks counts for nothing.
func (d *Desk) late(now time.Time, m *machine, r *model.Report) Verdict {
	// Guard: the answer to a direct call may have overtaken the report. Its sender still waits,
	// and this answer extends its lease; counted from the report before, the lease was told to
	// be over too early. A report that was answered before, or that was sent before one that
	// was, is waited for by nobody: copies kept machines that were gone from being called so.
	awaited := r.Session == m.session && r.Seq > m.checked
	if awaited && d.awaitsLeader(now, m) {
		return Verdict{Status: 503, Wait: true, Unacknowledged: true}
	}
	if awaited {
		m.checked = r.Seq
		d.heard(now, m)
	}
	d.ask(m, r)
	return Verdict{Status: 200, Token: d.token, Commands: m.stops()}
}

// ask has a machine called that a report came from which does not fit to what is known.
//
// Guard: a worker that began anew has low numbers again. Taken for late, its reports were
// passed over until they had risen to what they were before, or its lease had.
func (d *Desk) ask(m *machine, r *model.Report) {
	m.unexpected, m.failed = r.Session, false
	if m.addr == "" {
		m.addr = r.Addr
	}
	d.mayCall(m)
}

// begunAnew takes in that a machine's worker began anew: it answered a call with what is no
// newer than what was known when the call was made.
//
// Guard: reports of its earlier life may still come, and look newer. Only a fresh token tells
// the lives apart: nothing that was said before it shows it. Until then the machine's tasks
// count as they did, nothing is started there, and the leader is told of the doubt.
func (d *Desk) begunAnew(m *machine) {
	if !m.restarted {
		m.restarted = true
		d.touch(m)
	}
}

// refuses tells that a machine's report is not answered: an earlier one was answered with our
// token, a call went unanswered, and it shows nothing of either.
//
// Guard: a machine that hears nothing can't show our token. Answered over and over, it counted
// as alive, its lease was never over, and a takeover waited for it for as long as it was deaf.
// Unanswered, its lease runs out whatever it hears. Meanwhile it is called.
func (d *Desk) refuses(m *machine, r *model.Report) bool {
	if m.phase != Joining || !m.asked || !m.lost || r.Token == d.token {
		return false
	}
	m.failed = false
	d.mayCall(m)
	return true
}

// reach is whether what we say reaches a machine, as far as its reports show.
type reach struct {
	deaf     bool
	since    time.Time // when the first report of its session came
	answered time.Time // when a report of its session was last answered
	misses   int       // answers in a row that carried a start of which the next report showed nothing
}

// heard takes in that the machine has taken in something that we said.
func (x *reach) heard() { x.deaf, x.misses = false, 0 }

// mostMisses is how many answers with starts may be lost in a row until a machine counts as
// deaf.
const mostMisses = 2

// judge goes by a report, before it is taken in, whether the machine hears us. A session that
// ended although a report in it was answered, answers whose starts do not show: it does not. A
// token of ours that it shows for the first time, starts that show, a session that outlives a
// lease: it does.
func (d *Desk) judge(now time.Time, m *machine, r *model.Report) {
	x, before := &m.reach, m.reach.deaf
	switch {
	case r.Session != m.session:
		x.deaf = x.deaf || m.session > 0 && now.Sub(x.answered) < d.opt.Lease
	case r.Token > m.shown, now.Sub(x.since) > d.opt.Lease+d.opt.Margin:
		x.heard()
	default:
		lost, shown := false, false
		for _, o := range m.pending {
			if o.start() && o.state == handed {
				has := shows(r, o)
				lost, shown = lost || !has, shown || has
			}
		}
		if shown {
			x.heard()
		} else if lost {
			x.misses++
			x.deaf = x.deaf || x.misses >= mostMisses
		}
	}
	x.answered = now
	if x.deaf && !before {
		// What was not yet handed over goes elsewhere at once.
		m.settle(func(o *order) bool { return o.start() && o.state == queued })
	}
	if x.deaf != before {
		d.touch(m)
		d.mayCall(m)
	}
}

// shows tells whether a report shows the task of a start.
func shows(r *model.Report, o *order) bool {
	name := model.TaskName(o.job, o.index)
	for _, t := range r.Tasks {
		if t.Task == name && t.Attempt == o.attempt {
			return true
		}
	}
	return false
}
