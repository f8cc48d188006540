package controller

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/marlwood/marlwood/internal/fleet"
	"github.com/marlwood/marlwood/internal/leadership"
	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/peers"
	"github.com/marlwood/marlwood/internal/peers/peerspb"
	"github.com/marlwood/marlwood/internal/placement"
	"github.com/marlwood/marlwood/internal/store"
)

// link is what the leader keeps about one controller, itself included.
type link struct {
	member string
	zone   string
	addr   string
	local  bool
	peer   *peers.Link

	boot     string
	clock    int64     // owner's clock in its last answer
	seen     uint64    // last change taken in
	acked    bool      // has answered under the present token
	ackAt    time.Time // when
	bound    time.Time // when every grant under an earlier token is over for sure
	grantEnd time.Time // when the last grant given to it is over for sure
	okAt     time.Time // last answer
	okSince  time.Time // answers without a gap since
	busy     bool
	failures int
	sizes    map[string]bool
}

func (l *link) live(now time.Time) bool { return l.local || now.Sub(l.okAt) < 2*time.Second }

// term is one leadership, from a won claim until it ends. A renewed token
// does not end it.
type term struct {
	n     *Node
	ctx   context.Context
	end   context.CancelFunc
	token uint64
	began time.Time
	book  *placement.Book
	fleet *fleet.Fleet

	loaded   bool // jobs and host records are in the book
	revision uint64
	assigned time.Time // owners were last decided
	renewing time.Time // a fresh token was asked for

	nextBeat    time.Time
	lastRound   time.Time
	round       *round
	nextFleet   time.Time
	nextList    time.Time
	nextTypes   time.Time
	nextSummary time.Time
	batch       int // writes in one transaction of host records
	hosting     bool
	listing     bool
	cloudBusy   bool
	cloudJobs   []func()
	dropHosts   []string
	typesSet    bool
}

// round is one sampling round under way.
type round struct {
	began   time.Time
	waiting map[*link]bool
	samples []*peerspb.Sample
}

func newTerm(n *Node, token uint64, now time.Time) *term {
	ctx, cancel := context.WithCancel(n.ctx)
	t := &term{n: n, ctx: ctx, end: cancel, token: token, began: now, nextTypes: now.Add(20 * time.Second), batch: n.cfg.TxnOps}
	t.book = placement.NewBook(placement.Options{
		Log: n.log, Aims: n.cfg.Aims, Standing: n.op.Placement.Standing, Horizon: n.op.Fleet.Horizon, Draws: n.op.Placement.Draws, ScanAfter: n.op.Placement.ScanAfter, TasksPerRound: n.op.Placement.TasksPerRound,
		ShortFirst: n.op.Placement.ShortFirst, Spare: n.op.Placement.Spare, PreemptWait: n.op.Placement.PreemptWait, PartTasks: model.PartTasks(max(256, n.cfg.ValueBytes-2048)),
		Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}, token, n.cfg.Teams, n.knownTypes())
	t.fleet = fleet.New(fleet.Options{Idle: n.op.Fleet.Idle, Keep: n.op.Fleet.Keep, RefusedWait: n.op.Fleet.RefusedWait,
		BootFactor: n.op.Fleet.BootFactor, SilentWait: n.op.Fleet.SilentWait}, token)
	for _, l := range n.links {
		l.acked, l.seen, l.sizes, l.busy = false, 0, map[string]bool{}, false
		// An earlier leader may have acted for H after its last check, and its
		// last grant may run until then and a grant longer.
		l.bound = now.Add(drift(n.terms.Act + n.terms.Grant))
		l.grantEnd = l.bound
	}
	go t.load()
	return t
}

// drift lengthens a wait for clocks that run apart.
func drift(d time.Duration) time.Duration { return d + d/500 + 50*time.Millisecond }

// renewed goes on under a fresh token of the same leadership.
func (t *term) renewed(token uint64, now time.Time) {
	t.n.log.Info("token renewed", "old", t.token, "new", token)
	t.token = token
	t.renewing = time.Time{}
	t.round = nil
	t.book.Renewed(token, now)
	for _, l := range t.n.links {
		l.bound = l.grantEnd
		l.failures = max(l.failures, 0) // a restart is dealt with by this token
		l.acked, l.seen, l.sizes = false, 0, map[string]bool{}
	}
	t.assign(now)
	t.nextBeat = now
}

// load reads everything that an earlier leader left. It runs outside the loop.
func (t *term) load() {
	n := t.n
	for t.ctx.Err() == nil {
		hosts, _, err := n.store.List(t.ctx, placement.HostPrefix)
		var charters, jobs, parts []store.Item
		var rev uint64
		if err == nil {
			charters, _, err = n.store.List(t.ctx, fleet.CharterPrefix)
		}
		if err == nil {
			parts, _, err = n.store.List(t.ctx, placement.PartPrefix)
		}
		if err == nil {
			jobs, rev, err = n.store.List(t.ctx, placement.JobPrefix)
		}
		if err != nil {
			n.log.Warn("cannot read the records", "err", err)
			sleep(t.ctx, 300*time.Millisecond)
			continue
		}
		n.post(func() {
			if t.ctx.Err() == nil {
				t.take(hosts, charters, jobs, parts, rev)
			}
		})
		return
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// host is the record of a machine on which tasks may run.
type host struct {
	Kind model.Kind `json:"kind"`
	Spot bool       `json:"spot"`
	Addr string     `json:"addr"`
}

func (t *term) take(hosts, charters, jobs, parts []store.Item, rev uint64) {
	now := time.Now()
	for _, it := range hosts {
		var h host
		if err := json.Unmarshal(it.Value, &h); err != nil {
			t.n.log.Error("host record", "key", it.Key, "err", err)
		}
		t.book.AddHost(strings.TrimPrefix(it.Key, placement.HostPrefix), h.Addr, h.Kind, h.Spot, now)
	}
	for _, it := range charters {
		var c fleet.Charter
		if err := json.Unmarshal(it.Value, &c); err != nil || c.Name == "" {
			t.n.log.Error("charter record", "key", it.Key, "err", err)
			continue
		}
		t.fleet.Adopt(c, now)
	}
	t.takeJobs(jobs, parts)
	t.loaded, t.revision = true, rev
	t.assign(now)
	t.nextBeat = now
	t.n.log.Info("records read", "hosts", len(hosts), "charters", len(charters), "jobs", len(jobs), "revision", rev)
	go t.watch(rev)
}

func (t *term) takeJobs(jobs, parts []store.Item) {
	marks := map[string]map[int]string{}
	for _, it := range parts {
		rest := strings.TrimPrefix(it.Key, placement.PartPrefix)
		i := strings.LastIndexByte(rest, '/')
		part, err := strconv.Atoi(rest[i+1:])
		var text string
		if i < 0 || err != nil || json.Unmarshal(it.Value, &text) != nil {
			continue
		}
		if marks[rest[:i]] == nil {
			marks[rest[:i]] = map[int]string{}
		}
		marks[rest[:i]][part] = text
	}
	for _, it := range jobs {
		id := strings.TrimPrefix(it.Key, placement.JobPrefix)
		if err := t.book.PutJob(time.Now(), id, it.Value, it.Stamp, marks[id]); err != nil {
			t.n.log.Error("job record", "err", err)
		}
	}
}

// watch follows the jobs. It runs outside the loop.
func (t *term) watch(rev uint64) {
	for t.ctx.Err() == nil {
		events, next, err := t.n.store.Watch(t.ctx, placement.JobPrefix, rev, 10*time.Second)
		switch {
		case errors.Is(err, store.ErrCompacted):
			jobs, at, lerr := t.n.store.List(t.ctx, placement.JobPrefix)
			if lerr != nil {
				sleep(t.ctx, 300*time.Millisecond)
				continue
			}
			rev = at
			t.n.post(func() { t.resync(jobs) })
		case err != nil:
			sleep(t.ctx, 300*time.Millisecond)
		default:
			rev = next
			if len(events) > 0 {
				t.n.post(func() { t.changes(events) })
			}
			sleep(t.ctx, 60*time.Millisecond) // several changes come with one answer
		}
	}
}

// resync takes in a whole list of jobs after changes were missed: a job that
// is missing was cancelled.
func (t *term) resync(jobs []store.Item) {
	if t.ctx.Err() != nil {
		return
	}
	have := map[string]bool{}
	for _, it := range jobs {
		have[strings.TrimPrefix(it.Key, placement.JobPrefix)] = true
	}
	t.takeJobs(jobs, nil)
	for id := range t.book.Jobs() {
		if !have[id] {
			t.book.Cancel(id)
		}
	}
	t.beatSoon()
}

func (t *term) changes(events []store.Event) {
	if t.ctx.Err() != nil {
		return
	}
	for _, e := range events {
		if e.Delete != "" {
			id := strings.TrimPrefix(e.Delete, placement.JobPrefix)
			if t.book.Jobs()[id] != nil {
				t.n.log.Debug("job record gone", "job", id)
			}
			t.book.Cancel(id)
			continue
		}
		id := strings.TrimPrefix(e.Set, placement.JobPrefix)
		if err := t.book.PutJob(time.Now(), id, e.Value, e.Stamp, nil); err != nil {
			t.n.log.Error("job record", "err", err)
		}
	}
	t.beatSoon()
}

// beatSoon asks for a round as soon as the least pause allows.
func (t *term) beatSoon() {
	if at := t.lastRound.Add(t.n.op.Placement.Round); at.Before(t.nextBeat) {
		t.nextBeat = at
	}
}

// assign decides which controller owns each kind: one in the kind's zone
// first, the others in turn.
func (t *term) assign(now time.Time) {
	var live []*link
	for _, l := range t.n.links {
		if l.live(now) {
			live = append(live, l)
		}
	}
	sort.Slice(live, func(i, k int) bool { return live[i].member < live[k].member })
	var kinds []model.Kind
	for _, mt := range t.n.knownTypes() {
		for _, z := range mt.Zones {
			kinds = append(kinds, model.Kind{Type: mt.Name, Zone: z})
		}
	}
	sort.Slice(kinds, func(i, k int) bool {
		return kinds[i].Zone < kinds[k].Zone || (kinds[i].Zone == kinds[k].Zone && kinds[i].Type < kinds[k].Type)
	})
	owners := map[model.Kind]string{}
	spare := 0
	for _, k := range kinds {
		i := slices.IndexFunc(live, func(l *link) bool { return l.zone == k.Zone })
		if i < 0 {
			i = spare % len(live)
			spare++
		}
		owners[k] = live[i].member
	}
	t.book.SetOwners(owners)
	t.book.Greet()
	t.assigned = now
	t.n.log.Info("owners", "kinds", len(kinds), "live", len(live))
}

// watchOwners asks for a fresh token when an owner is lost or one is back:
// orders under the old token are then void wherever they travel.
func (t *term) watchOwners(now time.Time) {
	if !t.loaded || (!t.renewing.IsZero() && now.Sub(t.renewing) < time.Second) {
		return
	}
	back := t.n.op.Placement.OwnerBack
	owned := map[string]bool{}
	for _, m := range t.book.Owners() {
		owned[m] = true
	}
	why := ""
	for _, l := range t.n.links {
		if why != "" {
			break
		}
		switch {
		case owned[l.member] && !l.live(now) && now.After(l.grantEnd) && now.Sub(t.assigned) > 3*time.Second:
			why = "owner lost"
		case owned[l.member] && l.failures < 0:
			why = "owner restarted"
		case !owned[l.member] && l.live(now) && t.book.Complete() && now.Sub(l.okSince) > back && now.Sub(t.assigned) > back:
			why = "owner back"
		default:
			continue
		}
		why += ": " + l.member
	}
	for _, m := range t.book.Machines() {
		if why == "" && m.Unsure && now.Sub(t.assigned) > 2*time.Second {
			why = "unwanted start may come late: " + m.Name
		}
	}
	if why != "" {
		t.renewing = now
		if actions := t.n.lead.Renew(now); len(actions) > 0 {
			t.n.log.Info("fresh token wanted", "why", why)
			t.n.perform(actions)
		}
	}
}

// onTick does what the leader owes.
func (t *term) onTick(now time.Time) {
	if t.round != nil && now.Sub(t.round.began) > 500*time.Millisecond {
		t.endRound(now)
	}
	if t.round == nil && !now.Before(t.nextBeat) {
		t.beat(now)
	}
	t.watchOwners(now)
	if !t.loaded {
		return
	}
	if names := t.book.Expire(t.n.lead.Checked(), now); len(names) > 0 {
		t.n.log.Info("machines expired", "count", len(names), "machines", names)
	}
	t.save(now)
	t.saveHosts(now)
	if !now.Before(t.nextFleet) {
		t.nextFleet = now.Add(t.n.op.Fleet.Tick)
		t.book.Mend(now)
		t.book.Drain(now)
		t.book.StandingRoom(now)
		t.book.Consolidate(now)
		t.suspects()
		t.runFleet(now)
	}
	t.runCloud()
	if !now.Before(t.nextSummary) {
		t.nextSummary = now.Add(10 * time.Second)
		s := t.book.Summary(now)
		t.n.log.Info("cluster", "machines", s.Machines, "booting", t.fleet.Booting(), "busy", s.Busy, "retiring", s.Retiring, "cpus", s.CPUs, "used", s.Used,
			"jobs", s.Jobs, "bound", s.Bound, "unplaced", s.Unplaced, "placeable", s.Placeable)
	}
}

// beat begins a round: grants, orders and wishes for samples to everybody.
func (t *term) beat(now time.Time) {
	t.lastRound, t.nextBeat = now, now.Add(t.n.op.Placement.Heartbeat)
	var wants []*peerspb.Want
	if t.loaded {
		wants = t.book.Wants(now)
	}
	t.round = &round{began: now, waiting: map[*link]bool{}}
	for _, l := range t.n.links {
		if !l.busy {
			t.round.waiting[l] = true
		}
	}
	for _, l := range t.n.links {
		if !l.busy {
			t.send(l, now, wants)
		}
	}
	t.roundDone(now)
}

func (t *term) roundDone(now time.Time) {
	if t.round != nil && len(t.round.waiting) == 0 {
		t.endRound(now)
	}
}

// endRound places by the samples that came and hands the orders over.
func (t *term) endRound(now time.Time) {
	samples := t.round.samples
	t.round = nil
	if !t.loaded {
		return
	}
	if !t.book.Complete() && t.book.Settle() {
		t.n.log.Info("takeover complete", "token", t.token, "after", now.Sub(t.began), "machines", len(t.book.Machines()))
	}
	if placed := t.book.Place(now, samples); placed > 0 {
		t.n.log.Debug("placed", "tasks", placed)
		t.beatSoon()
	}
	t.book.Preempt(now)
	for _, l := range t.n.links {
		if !l.busy && len(t.book.Orders(l.member)) > 0 {
			t.send(l, now, nil)
		}
	}
}

// send sends one message to a controller.
func (t *term) send(l *link, now time.Time, wants []*peerspb.Want) {
	n := t.n
	if !n.lead.MayAct(now) {
		// Guard: answers still come in after the right to act has ended, and
		// must not lead to another grant or order.
		if t.round != nil {
			delete(t.round.waiting, l)
		}
		return
	}
	r := &peerspb.RoundRequest{Token: t.token, Leader: n.cfg.Member, Boot: l.boot, Seen: l.seen,
		StoreOk: now.Sub(n.lead.Checked()) < 2500*time.Millisecond}
	if !t.loaded {
		r.Seen = 0
	}
	if t.loaded && l.boot != "" {
		// The grant is given on the owner's own clock, counted from a moment
		// before its last answer reached us.
		r.GrantUntilNs = l.clock + int64(n.terms.Grant)
		for k, member := range t.book.Owners() {
			r.Owners = append(r.Owners, &peerspb.KindOwner{Kind: &peerspb.Kind{Type: k.Type, Zone: k.Zone}, Member: member})
		}
		r.Orders = t.book.Orders(l.member)
		r.Sizes = t.sizesFor(l, r.Orders)
		for _, w := range wants {
			if slices.ContainsFunc(w.Kinds, func(k *peerspb.Kind) bool {
				return t.book.Owners()[model.Kind{Type: k.Type, Zone: k.Zone}] == l.member
			}) {
				r.Wants = append(r.Wants, w)
			}
		}
	}
	token := t.token
	if l.local {
		resp := n.desk.Round(now, r)
		n.direct(now)
		t.receive(l, token, now, resp, nil)
		return
	}
	l.busy = true
	peer := l.peer
	go func() {
		resp, err := peer.Round(t.ctx, r)
		n.post(func() {
			l.busy = false
			if t.ctx.Err() == nil {
				t.receive(l, token, now, resp, err)
			}
		})
	}()
}

// sizesFor names the sizes of jobs that an owner has not been told yet.
func (t *term) sizesFor(l *link, orders []*peerspb.Order) []*peerspb.JobSize {
	var out []*peerspb.JobSize
	add := func(id string) {
		j := t.book.Jobs()[id]
		if j == nil || l.sizes[id] {
			return
		}
		l.sizes[id] = true
		out = append(out, &peerspb.JobSize{Job: id, Size: placement.SizeMessage(j.Spec.Size)})
	}
	for _, o := range orders {
		add(o.Job)
	}
	for id, j := range t.book.Jobs() {
		if !l.sizes[id] && j.Bound() > 0 {
			add(id)
		}
	}
	return out
}

// receive takes in an owner's answer to a message sent at sent.
func (t *term) receive(l *link, token uint64, sent time.Time, resp *peerspb.RoundResponse, err error) {
	now := time.Now()
	if t.round != nil {
		delete(t.round.waiting, l)
		defer t.roundDone(now)
	}
	if err != nil {
		l.failures++
		if l.failures%5 == 0 && !l.local { // a connection that a cut left hanging is given up
			if fresh, derr := peers.Dial(l.addr, t.n.op.Service.PeerCall); derr == nil {
				_ = l.peer.Close()
				l.peer = fresh
			}
		}
		return
	}
	if resp.Token > t.token {
		t.n.lead.Heard(now, resp.Token)
		return
	}
	if !l.live(now) {
		l.okSince = now
	}
	l.okAt = now
	restarted := l.boot != "" && l.boot != resp.Boot
	if l.failures > 0 {
		l.failures = 0
	}
	if l.boot != resp.Boot {
		if restarted {
			l.okSince = now
			if l.acked {
				l.failures = -1 // its orders are lost: a fresh token decides them
			}
		}
		l.boot, l.seen, l.sizes = resp.Boot, 0, map[string]bool{}
		l.clock = resp.ClockNs
		t.ack(l, token, now)
		t.beatSoon()
		return
	}
	l.clock = resp.ClockNs
	l.grantEnd = now.Add(drift(t.n.terms.Grant))
	if token != t.token || resp.Token != t.token {
		return
	}
	t.ack(l, token, now)
	if !t.loaded {
		return
	}
	if t.round != nil {
		t.round.samples = append(t.round.samples, resp.Samples...)
	}
	t.book.Acknowledged(l.member, resp.Applied)
	trusted := sent.After(t.expiry(now))
	for _, m := range resp.Machines {
		t.fleet.Up(m.Name)
		t.n.log.Debug("machine", "machine", m.Name, "phase", m.Phase, "owner", l.member, "session", m.Session, "seq", m.Seq, "tasks", len(m.Tasks))
		t.book.Machine(now, l.member, m, resp.Applied, trusted)
	}
	if len(resp.Machines) > 0 {
		t.beatSoon()
	}
	l.seen = max(l.seen, resp.Change)
	if trusted {
		t.book.UnseenLapsed(l.member, now)
	}
}

func (t *term) ack(l *link, token uint64, now time.Time) {
	if token == t.token && !l.acked {
		l.acked, l.ackAt = true, now
		if l.failures < 0 {
			l.failures = 0
		}
	}
}

// expiry is when a lease that any node extended under an earlier token has
// surely run out: one lease after every controller has taken our token in, or
// after the grants of those that did not are over.
func (t *term) expiry(now time.Time) time.Time {
	last := t.began
	for _, l := range t.n.links {
		at := l.bound
		if l.acked {
			at = l.ackAt
		}
		if at.After(last) {
			last = at
		}
	}
	return last.Add(drift(t.n.cfg.Lease) + t.n.terms.Margin/2)
}

// guard is the condition that every write of the leader carries.
func (t *term) guard() store.Guard { return store.Guard{Key: leadership.Key, Stamp: t.token} }

// save stores what became of jobs.
func (t *term) save(now time.Time) {
	maxParts := min(t.n.cfg.TxnOps-1, 48<<10/t.n.cfg.ValueBytes-1)
	for _, s := range t.book.Saves(now, time.Second, max(1, maxParts)) {
		txn := store.Txn{Guards: []store.Guard{t.guard(), {Key: placement.JobPrefix + s.ID, Stamp: s.Stamp}}}
		if s.Over != nil {
			txn.Writes = append(txn.Writes, store.Del(placement.JobPrefix+s.ID), store.Put(placement.DonePrefix+s.ID, s.Over))
		} else {
			txn.Writes = append(txn.Writes, store.Put(placement.JobPrefix+s.ID, s.Record))
			for part, text := range s.Parts {
				txn.Writes = append(txn.Writes, store.Put(placement.PartKey(s.ID, part), text))
			}
		}
		go func() {
			out, err := t.n.store.Do(t.ctx, txn)
			ok := err == nil && out.OK()
			over := false
			var fresh *store.Item
			if !ok && (err == nil || errors.Is(err, store.ErrUnknown)) {
				over, fresh = t.lookAgain(s.ID)
			}
			if !ok {
				sleep(t.ctx, 200*time.Millisecond)
			}
			t.n.post(func() {
				if t.ctx.Err() != nil {
					return
				}
				switch {
				case over:
					t.n.log.Debug("job was over already", "job", s.ID)
					t.book.Over(s.ID)
				case fresh != nil:
					if perr := t.book.PutJob(time.Now(), s.ID, fresh.Value, fresh.Stamp, nil); perr != nil {
						t.n.log.Error("job record", "err", perr)
					}
				}
				t.book.Saved(s, ok, out.Revision)
				if ok && s.Over != nil {
					t.n.log.Debug("job done", "job", s.ID)
				}
			})
		}()
	}
}

// lookAgain reads what became of a job whose write failed or went unanswered.
func (t *term) lookAgain(id string) (over bool, fresh *store.Item) {
	it, err := t.n.store.Get(t.ctx, placement.JobPrefix+id)
	if err == nil {
		return false, &it
	}
	if !errors.Is(err, store.ErrNotFound) {
		return false, nil
	}
	_, err = t.n.store.Get(t.ctx, placement.DonePrefix+id)
	return err == nil, nil
}

// saveHosts writes the records that must precede a machine's first start and
// removes those of machines that are gone.
func (t *term) saveHosts(now time.Time) {
	if t.hosting {
		return
	}
	var names []string
	txn := store.Txn{Guards: []store.Guard{t.guard()}}
	for name, m := range t.book.Machines() {
		if m.Phase == placement.Current && !m.Hosted && len(txn.Writes) < t.batch {
			names = append(names, name)
			txn.Writes = append(txn.Writes, store.Put(placement.HostPrefix+name, host{m.Kind, m.Spot, m.Addr}))
		}
	}
	drop := t.dropHosts[:min(len(t.dropHosts), t.batch-len(txn.Writes))]
	for _, name := range drop {
		txn.Writes = append(txn.Writes, store.Del(placement.HostPrefix+name))
	}
	if len(txn.Writes) == 0 {
		return
	}
	t.hosting = true
	dropped := len(drop)
	go func() {
		out, err := t.n.store.Do(t.ctx, txn)
		ok := err == nil && out.OK()
		if !ok {
			sleep(t.ctx, 300*time.Millisecond)
		}
		t.n.post(func() {
			t.hosting = false
			if !ok { // the limits may have become tighter than the settings say
				t.batch = max(1, t.batch/2)
			}
			if !ok || t.ctx.Err() != nil {
				return
			}
			t.batch = min(t.n.cfg.TxnOps, t.batch+1)
			t.dropHosts = t.dropHosts[dropped:]
			for _, name := range names {
				t.book.HostStored(name)
			}
			t.beatSoon()
		})
	}()
}

// suspects keeps tasks off machines on which several tasks of different jobs
// failed in a row.
func (t *term) suspects() {
	for _, m := range t.book.Machines() {
		if m.Phase == placement.Current && !m.Cordoned && m.Suspect(t.n.op.Fleet.Errors) {
			t.n.log.Warn("machine fails its tasks", "machine", m.Name, "errors", m.Errors)
			t.book.Cordon(m)
		}
	}
}

// runFleet turns the fleet's decisions into calls.
func (t *term) runFleet(now time.Time) {
	for _, a := range t.fleet.Tick(now, t.book.Needs(now), t.book.Machines(), t.n.knownTypes(), t.book.Complete()) {
		switch {
		case a.Store != nil:
			t.storeCharter(*a.Store)
		case a.Rent != nil:
			t.queueCloud(func() { t.rent(*a.Rent) })
		case len(a.Release) > 0:
			for _, name := range a.Release {
				if m := t.book.Machines()[name]; m != nil {
					t.book.Cordon(m)
				}
			}
			t.queueCloud(func() { t.release(a.Release) })
		}
	}
	if !now.Before(t.nextList) && !t.listing {
		t.nextList, t.listing = now.Add(t.n.op.Fleet.ListEvery), true
		t.queueCloud(t.list)
	}
	if !now.Before(t.nextTypes) {
		t.nextTypes = now.Add(time.Minute)
		t.queueCloud(t.refreshTypes)
	}
}

// queueCloud lines calls to the cloud up, one at a time.
func (t *term) queueCloud(f func()) { t.cloudJobs = append(t.cloudJobs, f) }

func (t *term) runCloud() {
	if t.cloudBusy || len(t.cloudJobs) == 0 {
		return
	}
	f := t.cloudJobs[0]
	t.cloudJobs = t.cloudJobs[1:]
	t.cloudBusy = true
	go func() {
		f()
		t.n.post(func() { t.cloudBusy = false })
	}()
}

func (t *term) storeCharter(c fleet.Charter) {
	txn := store.Txn{Guards: []store.Guard{t.guard()}, Writes: []store.Write{store.Put(fleet.CharterPrefix+c.Name, c)}}
	go func() {
		out, err := t.n.store.Do(t.ctx, txn)
		t.n.post(func() { t.fleet.IntentStored(c.Name, err == nil && out.OK(), time.Now()) })
	}()
}

func (t *term) rent(c fleet.Charter) {
	res, names := t.n.cloud.Rent(t.ctx, c)
	t.n.post(func() {
		if t.ctx.Err() != nil {
			return // the record stays, and the next leader resolves it
		}
		t.n.log.Info("rent", "type", c.Kind.Type, "zone", c.Kind.Zone, "spot", c.Spot, "wanted", c.Count, "got", len(names), "result", res.String())
		if !t.fleet.Rented(c.Name, res, names, time.Now()) {
			return
		}
		txn := store.Txn{Guards: []store.Guard{t.guard()}, Writes: []store.Write{store.Del(fleet.CharterPrefix + c.Name)}}
		go func() {
			// A record left behind is resolved again by the next leader.
			if _, err := t.n.store.Do(t.ctx, txn); err != nil {
				t.n.log.Debug("charter record", "charter", c.Name, "err", err)
			}
		}()
	})
}

func (t *term) release(names []string) {
	err := t.n.cloud.Release(t.ctx, names)
	t.n.post(func() {
		if t.ctx.Err() != nil {
			return
		}
		now := time.Now()
		t.n.log.Info("returned", "machines", names, "err", err)
		t.fleet.Released(names, err == nil, now)
		if err != nil {
			return
		}
		for _, name := range names {
			if m := t.book.Machines()[name]; m != nil && m.Hosted {
				t.dropHosts = append(t.dropHosts, name)
			}
			t.book.Gone(name, now)
		}
	})
}

func (t *term) list() {
	all, err := t.n.cloud.List(t.ctx)
	t.n.post(func() {
		t.listing = false
		if err != nil || t.ctx.Err() != nil {
			return
		}
		now := time.Now()
		leave := t.fleet.List(all, t.book.Machines(), now)
		listed := make(map[string]bool, len(all))
		for _, l := range all {
			listed[l.Name] = true
		}
		leave = append(leave, t.book.Missing(listed, now.Add(-2*t.n.cfg.ReportEvery-2*time.Second))...)
		if leave = t.fleet.Claim(leave); len(leave) > 0 {
			t.n.log.Info("missing or failed machines", "machines", leave)
			t.queueCloud(func() { t.release(leave) })
		}
	})
}

func (t *term) refreshTypes() {
	cat, err := t.n.cloud.Types(t.ctx)
	if err != nil {
		return
	}
	table := cat.Table()
	t.n.post(func() {
		t.n.setTypes(table)
		if t.ctx.Err() != nil || t.typesSet {
			return
		}
		txn := store.Txn{Guards: []store.Guard{t.guard()}, Writes: []store.Write{store.Put(typesKey, cat)}}
		go func() {
			out, err := t.n.store.Do(t.ctx, txn)
			t.n.post(func() { t.typesSet = err == nil && out.OK() })
		}()
	})
}
