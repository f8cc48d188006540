package workers

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/peers"
	"github.com/marlwood/marlwood/internal/peers/peerspb"
)

// Round takes in one message of a leader: a grant, orders, wishes for
// samples. A message with a lower token than the highest seen is answered
// but has no effect.
func (d *Desk) Round(now time.Time, r *peerspb.RoundRequest) *peerspb.RoundResponse {
	out := &peerspb.RoundResponse{Boot: d.boot, ClockNs: int64(now.Sub(d.start)), Records: peers.Records}
	if r.Token < d.token {
		out.Token = d.token
		return out
	}
	if r.Token > d.token {
		d.newToken(now, r.Token)
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
		d.acknowledge(r.Seen)
		d.rounds++
		if viewed := d.start.Add(time.Duration(r.ViewedNs)); r.ViewedNs > 0 && viewed.After(d.viewed) {
			d.viewed = viewed
		}
	}
	d.expire(now)
	out.Applied, out.Change = d.applied, d.change
	if r.Boot != d.boot {
		return out
	}
	out.Knocks = d.takeKnocks(now)
	for e := d.changed.Back(); e != nil; e = e.Prev() {
		m, _ := e.Value.(*machine)
		if m.change <= r.Seen {
			break
		}
		out.Machines = append(out.Machines, m.message())
	}
	slices.SortFunc(out.Machines, func(x, y *peerspb.Machine) int { return cmp.Compare(x.Name, y.Name) })
	if len(r.Wants) > 0 {
		vacant := d.vacancies()
		for _, w := range r.Wants {
			out.Samples = append(out.Samples, d.sample(w, vacant)...)
		}
	}
	return out
}

// NoneBelow tells a desk that has just begun that tokens below one are over.
//
// Guard: a process forgets with its end which token it had taken in. The leader
// of that token counts on it, while an earlier one which may still act could give
// the next process grants, and lengthen leases that count as over.
func (d *Desk) NoneBelow(token uint64) { d.token = max(d.token, token) }

// newToken voids everything that was ordered under the token before, and what
// was known of leases: the kinds may have had another owner since this desk last
// heard of them.
func (d *Desk) newToken(now time.Time, token uint64) {
	d.token, d.grant, d.applied, d.acknowledged = token, time.Time{}, 0, 0
	d.owners, d.sizes = map[model.Kind]string{}, map[string]model.Size{}
	for _, m := range d.machines.All() {
		// Guard: another owner may have kept the machine's session alive
		// meanwhile. Counted from what this desk last heard, the machine was
		// called expired although it lived, and its reports were refused.
		d.cover(m)
		m.pending, m.cordon, m.failed, m.ended, m.quiet = nil, false, false, 0, false
		m.asked, m.lost, m.unexpected = false, false, 0
		m.vetted, m.waiting, m.awaited = false, 0, time.Time{}
		if m.restarted {
			// What it said before it began anew says nothing of it any more, and shows an
			// earlier token; what shows this one it has said since.
			m.restarted, m.shown, m.session, m.seq, m.checked, m.tasks = false, 0, 0, 0, 0, nil
		}
		d.heard(now, m)
		if m.phase != Expired {
			d.setPhase(m, Joining)
		} else {
			d.touch(m)
		}
		d.noteListed(m)
	}
	d.viewed = time.Time{}
}

func (d *Desk) take(now time.Time, r *peerspb.RoundRequest) {
	if len(r.Owners) > 0 {
		before := d.owners
		d.owners = make(map[model.Kind]string, len(r.Owners))
		d.silent = map[model.Kind][]string{}
		for _, o := range r.Owners {
			kind := model.Kind{Type: o.Kind.Type, Zone: o.Kind.Zone}
			d.owners[kind] = o.Member
			if len(o.Elsewhere) > 0 {
				d.silent[kind] = o.Elsewhere
			}
		}
		if !maps.Equal(d.owners, before) {
			for _, m := range d.machines.All() { // those that went to another owner
				if d.owners[m.kind] != d.opt.Member && m.kind != (model.Kind{}) {
					d.drop(m)
				}
			}
		}
	}
	for _, s := range r.Sizes {
		if s.Size == nil { // the job is over
			delete(d.sizes, s.Job)
			continue
		}
		d.sizes[s.Job] = sizeOf(s.Size)
	}
	if len(r.Sizes) > 0 {
		for _, m := range d.machines.All() {
			m.counted = m.counted && m.known
		}
	}
	for _, o := range r.Orders {
		if o.Id <= d.applied { // a repeat, or a message that came late
			continue
		}
		d.applied = o.Id
		d.apply(now, o)
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
	doubt := m.restarted
	for _, o := range m.pending {
		doubt = doubt || (o.state == unsure && o.void)
	}
	return &peerspb.Machine{Name: m.name, Addr: m.addr, Kind: &peerspb.Kind{Type: m.kind.Type, Zone: m.kind.Zone},
		Spot: m.spot, Phase: string(m.phase), Session: m.session, Seq: m.seq, Undecided: m.undecided(),
		Unsure: doubt, Quiet: m.quiet, Unreached: m.reach.deaf, NoticeMs: notice, Tasks: tasks}
}
