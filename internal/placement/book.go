// Package placement is the leader's book: which jobs there are, which tasks
// are bound to which machines, and where the next ones go by the paper's
// rule. The book is pure: events and the time go in; orders, wishes for
// samples and records to store come out.
package placement

import (
	"log/slog"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/peers/peerspb"
)

// Options are the book's bounds.
type Options struct {
	Draws         int
	ScanAfter     int
	TasksPerRound int
	PreemptWait   time.Duration
	Aims          map[string]model.Aim // by class
	Horizon       time.Duration        // within which an array of no class is to end its turns
	ShortFirst    float64              // how strongly short jobs go first within a team's limit
	Unhurried     time.Duration        // how long only spot machines are rented for long tasks of which nothing is asked
	Standing      float64              // how much of it, as a multiple of the arrivals during a boot
	Spare         float64              // share of the machines in use that is kept free
	PartTasks     int                  // tasks whose marks one stored value holds
	Rand          *rand.Rand
	Log           *slog.Logger
}

// MachinePhase is where a machine stands for the leader.
type MachinePhase int

// The phases.
const (
	Unseen  MachinePhase = iota // has a host record; not heard of under our token
	Joining                     // heard of, its report may still be incomplete
	Current                     // all of its tasks are known
	Lapsed                      // its owner says that its lease has run out; not yet believed
	Expired                     // its lease has run out: it has no tasks
)

func (p MachinePhase) String() string {
	return [...]string{"unseen", "joining", "current", "lapsed", "expired"}[p]
}

type taskKey struct {
	job   string
	index int
}

// Task is a task bound to a machine: ordered there, there, or possibly there.
type Task struct {
	job      *Job
	index    int
	attempt  uint64
	machine  *Machine
	state    model.TaskState
	token    uint64 // under which it was ordered
	order    uint64
	since    time.Time // when it entered its state
	bornAt   time.Time // when it was bound
	stopping bool
	grace    time.Duration
	told     uint64 // token under which the stop was ordered last
}

// to is the one place where a bound task's state changes.
func (t *Task) to(s model.TaskState, now time.Time) {
	if t.state != s {
		t.machine.log.Debug("task", "task", model.TaskName(t.job.Spec.ID, t.index), "machine", t.machine.Name,
			"from", t.state, "to", s, "after", now.Sub(t.since))
		t.state, t.since = s, now
	}
}

// Job is a job that is not over.
type Job struct {
	Spec      *model.Job
	Accepted  time.Time // by the wall clock of the node that took it in
	Stamp     uint64
	seen      time.Time // when this leader first saw it
	Started   bool
	Cancelled bool

	use      *teamUse     // what its team takes
	kinds    []model.Kind // on which its tasks may run; see kindsFor
	kindsGen uint64       // owners and types that kinds were made for
	finished *model.TaskSet
	stored   *model.TaskSet // what the state service has
	bound    map[int]*Task
	next     int   // tasks from here on were never tried
	again    []int // tasks to be tried again
	retryAt  time.Time
	fails    int             // how often its tasks failed since one was done; at once counts once
	failedOn map[string]bool // machines on which they failed
	empty    int             // rounds without room in a row
	tried    uint64
	waiting  time.Time // since when it has had work without room
	cleared  time.Time // when room was last made for it
	writing  bool
	wroteAt  time.Time
	dirty    bool
	attempt  uint64 // gang: the present attempt
	order    turn   // in the queue that was made last
}

// Finished counts the finished tasks.
func (j *Job) Finished() int { return j.finished.Len() }

// Unplaced counts the tasks that are neither finished nor bound.
func (j *Job) Unplaced() int {
	if j.Cancelled {
		return 0
	}
	return j.Spec.Tasks - j.finished.Len() - len(j.bound)
}

// Machine is a machine as the leader knows it.
type Machine struct {
	Name     string
	Addr     string
	Kind     model.Kind
	Spot     bool
	Phase    MachinePhase
	Since    time.Time     // in this phase since
	Hosted   bool          // its host record is stored
	Cordoned bool          // for good
	Retiring bool          // until its room is needed again
	Notice   time.Duration // -1: none
	NoticeAt time.Time
	Seen     time.Time // first heard of by this leader
	Idle     time.Time // without tasks since
	Silent   time.Time // expired since
	Quiet    bool      // its owner has not heard of it for longer than reports are apart
	Listed   bool      // the cloud has listed it
	knocked  time.Time // it reported to a controller that does not own its kind
	Unsure   bool      // a start that is no longer wanted may be carried out late

	session, seq uint64
	current      uint64 // token under which it was last current
	tasks        map[taskKey]*Task
	load         model.Size // what the bound tasks take
	images       []held     // in its cache, the last used one last
	reported     []*peerspb.Task
	blame        map[string]blame // by job: its tasks that failed here since one was done here
	strays       int              // running tasks of jobs the book does not know
	reserved     map[string]reservation
	log          *slog.Logger
}

type reservation struct {
	size  model.Size
	class string // of standing room; else it is for one job
	rank  int
	until time.Time
}

// Book is the leader's whole knowledge.
type Book struct {
	opt      Options
	token    uint64
	complete bool
	types    map[string]model.MachineType
	teams    map[string]model.Team
	jobs     map[string]*Job
	machines map[string]*Machine
	owners   map[model.Kind]string
	out      map[string][]*peerspb.Order
	orderID  uint64
	attempts uint64
	room     uint64 // counts events that may have made room
	gone     map[string]time.Time
	plan     []*planned
	classes  map[string]*class
	holders  map[string]map[*Machine]bool // by image: the machines that have it
	use      map[string]*teamUse
	kindsGen uint64 // counts changes of owners and types
}

// teamUse sums what a team's tasks take, everything bound included. It is kept
// as tasks are bound and released: summed anew for each job of a long queue, it
// was a large part of a round.
type teamUse struct {
	size  model.Size
	tasks int
}

func (u *teamUse) add(size model.Size) {
	u.size, u.tasks = u.size.Add(size), u.tasks+1
}

func (u *teamUse) remove(size model.Size) {
	u.size, u.tasks = u.size.Sub(size), u.tasks-1
	if u.tasks == 0 {
		u.size = model.Size{} // rounding must not add up
	}
}

// useOf returns a team's sum.
func (b *Book) useOf(team string) *teamUse {
	u := b.use[team]
	if u == nil {
		u = &teamUse{}
		b.use[team] = u
	}
	return u
}

// NewBook makes an empty book under a token.
func NewBook(opt Options, token uint64, teams map[string]model.Team, types map[string]model.MachineType) *Book {
	if opt.Log == nil {
		opt.Log = slog.New(slog.DiscardHandler)
	}
	if opt.Rand == nil {
		opt.Rand = rand.New(rand.NewPCG(token, 0))
	}
	return &Book{opt: opt, token: token, teams: teams, types: types, jobs: map[string]*Job{},
		machines: map[string]*Machine{}, owners: map[model.Kind]string{}, out: map[string][]*peerspb.Order{},
		gone: map[string]time.Time{}, classes: map[string]*class{}, holders: map[string]map[*Machine]bool{},
		use: map[string]*teamUse{}}
}

// SetTypes replaces what is known of machine types.
func (b *Book) SetTypes(types map[string]model.MachineType) {
	b.types = types
	b.kindsGen++
}

// Token is the token that the book's orders carry.
func (b *Book) Token() uint64 { return b.token }

// Complete tells whether every task that may run anywhere is in the book.
func (b *Book) Complete() bool { return b.complete }

// Renewed goes on under a fresh token of the same leader. All bindings are
// kept; a start of the old token is decided by the machine's first complete
// report under the new one.
func (b *Book) Renewed(token uint64, now time.Time) {
	b.token = token
	b.out = map[string][]*peerspb.Order{}
	for _, m := range b.machines {
		if m.Phase != Expired {
			b.setPhase(m, Unseen, now)
		}
		// What an earlier owner heard says nothing of the next.
		m.Retiring, m.Quiet, m.knocked = false, false, time.Time{}
	}
}

// recordon tells an owner anew which machines are to get no tasks: a fresh
// token voided what it was told before.
func (b *Book) recordon(m *Machine) {
	if m.Cordoned {
		b.give(m, &peerspb.Order{Op: peerspb.Op_OP_CORDON})
	}
}

// SetOwners says which member owns each kind.
func (b *Book) SetOwners(owners map[model.Kind]string) {
	b.owners = owners
	b.kindsGen++
}

// Owners returns the owner of each kind.
func (b *Book) Owners() map[model.Kind]string { return b.owners }

// AddHost takes in a host record: a machine on which tasks may run.
func (b *Book) AddHost(name, addr string, kind model.Kind, spot bool, now time.Time) {
	if b.machines[name] == nil {
		b.machines[name] = &Machine{Name: name, Addr: addr, Kind: kind, Spot: spot, Hosted: true, Notice: -1,
			Seen: now, Idle: now, Since: now, Listed: true, tasks: map[taskKey]*Task{}, log: b.opt.Log}
	}
}

// HostStored marks a machine's host record as written.
func (b *Book) HostStored(name string) {
	if m := b.machines[name]; m != nil {
		m.Hosted = true
		b.room++
	}
}

// Greet has the owners call the machines that have not been heard of under
// our token, rather than wait for their reports.
func (b *Book) Greet() {
	for _, m := range b.machines {
		if m.Phase == Unseen && m.Addr != "" {
			b.give(m, &peerspb.Order{Op: peerspb.Op_OP_GREET, Addr: m.Addr, Kind: &peerspb.Kind{Type: m.Kind.Type, Zone: m.Kind.Zone}})
		}
	}
}

// Knocked takes in that a machine reported to a controller that does not own its
// kind.
func (b *Book) Knocked(name, member string, now time.Time) {
	if m := b.machines[name]; m != nil && b.owners[m.Kind] != member {
		m.knocked = now
	}
}

// knockedLately is how long a knock counts.
const knockedLately = 4 * time.Second

// silent tells that a machine's owner has not heard of it for longer than late.
func (m *Machine) silent(now time.Time, late time.Duration) bool {
	return m.Quiet || m.Phase == Lapsed || m.Phase == Expired ||
		(m.Phase == Unseen || m.Phase == Joining) && now.Sub(m.Since) > late
}

// Silent tells of which kinds the owners have heard nothing from most machines
// for longer than late.
func (b *Book) Silent(now time.Time, late time.Duration) map[model.Kind]bool {
	all, silent := map[model.Kind]int{}, map[model.Kind]int{}
	for _, m := range b.machines {
		all[m.Kind]++
		if m.silent(now, late) {
			silent[m.Kind]++
		}
	}
	out := map[model.Kind]bool{}
	for k, n := range silent {
		out[k] = 2*n >= all[k]
	}
	return out
}

// Deaf lists the kinds a third of whose machines their owner has not heard of for
// longer than late, while they report elsewhere: they work, and cannot reach it.
func (b *Book) Deaf(now time.Time, late time.Duration) (out []model.Kind) {
	all, knocking := map[model.Kind]int{}, map[model.Kind]int{}
	for _, m := range b.machines {
		all[m.Kind]++
		if m.silent(now, late) && now.Sub(m.knocked) < knockedLately {
			knocking[m.Kind]++
		}
	}
	for k, n := range knocking {
		if 3*n >= all[k] {
			out = append(out, k)
		}
	}
	sort.Slice(out, func(i, k int) bool {
		return out[i].Zone < out[k].Zone || (out[i].Zone == out[k].Zone && out[i].Type < out[k].Type)
	})
	return out
}

// Missing lists the machines that the cloud no longer lists and nobody hears
// of. The list lags, so this is no proof that they are gone; returning them
// is, for a returned machine is gone for sure.
func (b *Book) Missing(listed map[string]bool, heardBy time.Time) []string {
	var out []string
	for name, m := range b.machines {
		silent := m.Quiet || m.Phase == Lapsed || m.Phase == Expired || (m.Phase == Unseen && m.Since.Before(heardBy))
		if listed[name] {
			m.Listed = true
		} else if m.Listed && silent {
			out = append(out, name)
		}
	}
	return out
}

// Machines returns the machines by name.
func (b *Book) Machines() map[string]*Machine { return b.machines }

// Jobs returns the jobs that are not over.
func (b *Book) Jobs() map[string]*Job { return b.jobs }

// Orders returns the orders for a member that it has not acknowledged.
func (b *Book) Orders(member string) []*peerspb.Order { return b.out[member] }

// Acknowledged drops the orders that a member has taken in.
func (b *Book) Acknowledged(member string, applied uint64) {
	q := b.out[member]
	i := 0
	for i < len(q) && q[i].Id <= applied {
		i++
	}
	b.out[member] = q[i:]
}

func (b *Book) give(m *Machine, o *peerspb.Order) uint64 {
	owner := b.owners[m.Kind]
	if owner == "" {
		return 0
	}
	b.orderID++
	o.Id, o.Machine = b.orderID, m.Name
	b.out[owner] = append(b.out[owner], o)
	return o.Id
}

// Cordon keeps new tasks off a machine.
func (b *Book) Cordon(m *Machine) {
	if !m.Cordoned {
		m.Cordoned = true
		b.give(m, &peerspb.Order{Op: peerspb.Op_OP_CORDON})
	}
}

// retire keeps new tasks off a machine until its room is needed again.
func (b *Book) retire(m *Machine, on bool) {
	if m.Retiring == on {
		return
	}
	m.Retiring = on
	if m.Cordoned {
		return
	}
	if on {
		b.give(m, &peerspb.Order{Op: peerspb.Op_OP_CORDON})
		return
	}
	b.give(m, &peerspb.Order{Op: peerspb.Op_OP_UNCORDON})
	b.room++
}

// Gone takes in that a machine no longer exists.
func (b *Book) Gone(name string, now time.Time) {
	m := b.machines[name]
	if m == nil {
		return
	}
	b.releaseAll(m, now)
	b.give(m, &peerspb.Order{Op: peerspb.Op_OP_DROP})
	b.dropImages(m)
	delete(b.machines, name)
	b.gone[name] = now
}

func (b *Book) releaseAll(m *Machine, now time.Time) {
	for _, t := range m.tasks {
		b.release(t, now)
	}
	m.reported, m.strays = nil, 0
}

// release frees a bound task's place and puts it back into its job's queue
// unless it is finished.
func (b *Book) release(t *Task, now time.Time) {
	m, j := t.machine, t.job
	t.unbind()
	b.room++
	if len(m.tasks) == 0 {
		m.Idle = now
	}
	if !j.finished.Has(t.index) {
		j.again = append(j.again, t.index)
	}
	if j.Cancelled && len(j.bound) == 0 {
		delete(b.jobs, j.Spec.ID)
	}
}

// Machine takes in what a member says of a machine. trusted tells that an
// expiry may be believed even for a machine that was not yet current under
// our token; applied is the last order that the member has taken in.
func (b *Book) Machine(now time.Time, member string, pm *peerspb.Machine, applied uint64, trusted bool) {
	if _, lost := b.gone[pm.Name]; lost {
		return
	}
	m := b.machines[pm.Name]
	kind := model.Kind{Type: pm.Kind.GetType(), Zone: pm.Kind.GetZone()}
	if m != nil {
		kind = m.Kind
	}
	// Guard: only the kind's present owner speaks for a machine. An earlier
	// owner's silence about a machine that moved on looks like an expiry.
	if b.owners[kind] != member {
		return
	}
	if m == nil {
		if pm.Phase == "expired" {
			return
		}
		m = &Machine{Name: pm.Name, Kind: kind, Notice: -1,
			Seen: now, Idle: now, tasks: map[taskKey]*Task{}, log: b.opt.Log}
		b.machines[pm.Name] = m
	}
	m.Quiet = pm.Quiet
	switch pm.Phase {
	case "joining":
		m.Addr = pm.Addr
		b.setPhase(m, Joining, now)
	case "expired":
		if m.Phase == Expired {
			break // said again: it has no tasks
		}
		if trusted || m.current == b.token {
			b.setPhase(m, Lapsed, now)
		} else {
			// Guard: the owner says this only once. The machine counts as
			// unseen again until an expiry can be trusted; were it left
			// joining, a takeover would never end.
			b.setPhase(m, Unseen, now)
		}
	case "current":
		m.Spot, m.Addr, m.session, m.seq = pm.Spot, pm.Addr, pm.Session, pm.Seq
		if m.Notice < 0 && pm.NoticeMs >= 0 {
			m.NoticeAt = now
		}
		m.Notice = time.Duration(pm.NoticeMs) * time.Millisecond
		if pm.NoticeMs < 0 {
			m.Notice = -1
		}
		m.reported = pm.Tasks
		if m.current != b.token {
			m.current = b.token
			b.recordon(m)
		}
		b.setPhase(m, Current, now)
		m.Unsure = pm.Unsure
		b.reconcile(now, m, func(order uint64) bool { return order <= applied && !slices.Contains(pm.Undecided, order) })
	}
}

// setPhase is the one place where a machine's phase changes.
func (b *Book) setPhase(m *Machine, p MachinePhase, now time.Time) {
	if m.Phase == p {
		return
	}
	m.Phase, m.Since = p, now
	b.room++
	if p == Expired {
		m.Silent = now
	}
}

// UnseenLapsed takes in that machines of a member's kinds which it has not
// mentioned have surely run out of the leases that it or anybody before it
// extended.
func (b *Book) UnseenLapsed(member string, now time.Time) {
	for _, m := range b.machines {
		if m.Phase == Unseen && b.owners[m.Kind] == member {
			b.setPhase(m, Lapsed, now)
		}
	}
}

// Expire believes the lapses that were told before checked, the moment when
// the last look that showed the key as ours was sent, and names the machines.
//
// Guard: a leader that was deposed without knowing it may still act, and to
// its owners a machine that the next leader has won over looks like one whose
// lease ran out, while its tasks go on. Only a look at the key that is younger
// than the lapse shows that nobody else can have extended the lease.
func (b *Book) Expire(checked, now time.Time) (names []string) {
	for _, m := range b.machines {
		if m.Phase == Lapsed && m.Since.Before(checked) {
			b.releaseAll(m, now)
			b.setPhase(m, Expired, now)
			names = append(names, m.Name)
		}
	}
	sort.Strings(names)
	return names
}

// Settle tells whether the book has become complete: each machine with a
// host record has answered under our token, is gone, or has expired.
func (b *Book) Settle() bool {
	if b.complete {
		return true
	}
	for _, m := range b.machines {
		if m.Hosted && (m.Phase == Unseen || m.Phase == Joining || m.Phase == Lapsed) {
			return false
		}
	}
	b.complete = true
	b.room++
	return true
}

// reconcile compares a complete report with what is bound to the machine.
func (b *Book) reconcile(now time.Time, m *Machine, decided func(order uint64) bool) {
	seen := make(map[taskKey]bool, len(m.reported))
	strays := 0
	for _, r := range m.reported {
		key := taskKey{r.Job, int(r.Index)}
		state := model.TaskState(r.State)
		j := b.jobs[r.Job]
		if j == nil || int(r.Index) >= j.Spec.Tasks {
			// No such job is open: it is done, cancelled or unknown.
			if state == model.TaskExited {
				b.forget(m, r)
			} else {
				strays++
				b.stopReported(m, r)
			}
			continue
		}
		t := j.bound[key.index]
		if t != nil && t.machine == m && t.attempt == r.Attempt {
			seen[key] = true
			if state == model.TaskExited {
				b.exited(now, t, r)
			} else {
				b.shown(now, t, state)
			}
			continue
		}
		switch {
		case state == model.TaskExited:
			if model.Cause(r.Cause) == model.CauseDone {
				b.finish(j, key.index)
			}
			b.settleExited(m, j, r)
		case t == nil && !j.finished.Has(key.index):
			// Started by an earlier leader.
			t = &Task{job: j, index: key.index, attempt: r.Attempt, machine: m, state: state, token: b.token, since: now}
			b.bind(t)
			seen[key] = true
			b.shown(now, t, state)
		default:
			// A second copy, or one of a finished task: it only takes room.
			strays++
			b.stopReported(m, r)
		}
	}
	m.strays = strays
	for key, t := range m.tasks {
		if seen[key] {
			continue
		}
		// Guard: a start that this report had no chance to show stays bound,
		// for it may be on its way.
		if t.token == b.token && t.state == model.TaskOrdered && !decided(t.order) {
			continue
		}
		b.release(t, now)
	}
}

func (b *Book) bind(t *Task) {
	t.bornAt = t.since
	t.job.bound[t.index] = t
	t.machine.tasks[taskKey{t.job.Spec.ID, t.index}] = t
	t.machine.load = t.machine.load.Add(t.job.Spec.Size)
	t.job.use.add(t.job.Spec.Size)
}

// unbind undoes bind.
func (t *Task) unbind() {
	m := t.machine
	delete(t.job.bound, t.index)
	delete(m.tasks, taskKey{t.job.Spec.ID, t.index})
	m.load = m.load.Sub(t.job.Spec.Size)
	t.job.use.remove(t.job.Spec.Size)
	if len(m.tasks) == 0 {
		m.load = model.Size{} // rounding must not add up
	}
}

// shown takes in a bound task's state from a report.
func (b *Book) shown(now time.Time, t *Task, state model.TaskState) {
	j := t.job
	t.to(state, now)
	if state != model.TaskFetching {
		b.hasImage(t.machine, j.Spec)
	}
	if state == model.TaskRunning {
		if !j.Started {
			j.Started, j.dirty = true, true
		}
	}
	if j.Spec.Shape == model.Gang {
		j.attempt = t.attempt
	}
	if (j.Cancelled || j.finished.Has(t.index)) && !t.stopping {
		t.stopping, t.grace, t.told = true, 0, 0
	}
	if t.stopping && t.told != b.token {
		b.tellStop(t)
	}
}

func (b *Book) tellStop(t *Task) {
	t.told = b.token
	b.give(t.machine, &peerspb.Order{Op: peerspb.Op_OP_STOP, Job: t.job.Spec.ID, Index: uint32(t.index),
		Attempt: t.attempt, GraceMs: t.grace.Milliseconds()})
}

// stop stops a bound task; of a gang, all of its tasks.
func (b *Book) stop(t *Task, grace time.Duration) {
	if t.job.Spec.Shape == model.Gang {
		for _, o := range t.job.bound {
			b.stopOne(o, grace)
		}
		return
	}
	b.stopOne(t, grace)
}

func (b *Book) stopOne(t *Task, grace time.Duration) {
	if t.stopping && t.grace <= grace && t.told == b.token {
		return
	}
	t.stopping, t.grace = true, grace
	b.tellStop(t)
}

func (b *Book) stopReported(m *Machine, r *peerspb.Task) {
	b.give(m, &peerspb.Order{Op: peerspb.Op_OP_STOP, Job: r.Job, Index: r.Index, Attempt: r.Attempt})
}

func (b *Book) forget(m *Machine, r *peerspb.Task) {
	b.give(m, &peerspb.Order{Op: peerspb.Op_OP_FORGET, Job: r.Job, Index: r.Index, Attempt: r.Attempt})
}

// settleExited forgets an exited task once nothing depends on its report: a
// finished one only after its mark is stored.
func (b *Book) settleExited(m *Machine, j *Job, r *peerspb.Task) {
	if model.Cause(r.Cause) == model.CauseDone && !j.stored.Has(int(r.Index)) {
		return
	}
	b.forget(m, r)
}

// exited takes in the end of a bound task.
func (b *Book) exited(now time.Time, t *Task, r *peerspb.Task) {
	j, m := t.job, t.machine
	t.to(model.TaskExited, now)
	switch model.Cause(r.Cause) {
	case model.CauseDone:
		b.finish(j, t.index)
		m.blame, j.fails, j.failedOn = nil, 0, nil
	case model.CauseError:
		b.failed(now, t)
	case model.CauseNoRoom, model.CauseBusy, model.CauseUnknown, model.CauseAlone:
		j.retryAt = now.Add(time.Second)
	}
	b.release(t, now)
	b.settleExited(m, j, r)
}

// finish marks a task as finished; a gang completes as one.
func (b *Book) finish(j *Job, index int) {
	if j.Spec.Shape == model.Gang {
		for i := range j.Spec.Tasks {
			if j.finished.Add(i) {
				j.dirty = true
			}
		}
		return
	}
	if j.finished.Add(index) {
		j.dirty = true
	}
}

// Busy tells whether anything is bound to the machine or still to be settled
// on it.
func (m *Machine) Busy() bool { return len(m.tasks) > 0 || m.strays > 0 || len(m.reported) > 0 }

// strays counts running tasks that belong to no open job. While there are
// any, nothing starts: their team and size are not known.
func (b *Book) strays() int {
	n := 0
	for _, m := range b.machines {
		n += m.strays
	}
	return n
}

// Bound counts the job's bound tasks.
func (j *Job) Bound() int { return len(j.bound) }

// Summary is the state of the cluster in a few figures, for the log.
type Summary struct {
	Machines, Busy, Retiring, Jobs, Bound, Unplaced int
	Placeable                                       int // unplaced tasks that no limit holds back
	CPUs, Used                                      float64
}

// Summary counts what there is.
func (b *Book) Summary(now time.Time) Summary {
	s := Summary{Machines: len(b.machines), Jobs: len(b.jobs)}
	for _, m := range b.machines {
		if m.Phase != Current {
			continue
		}
		if m.Retiring {
			s.Retiring++
		}
		s.CPUs += b.types[m.Kind.Type].Size.CPUs
		s.Used += m.load.CPUs
		if len(m.tasks) > 0 {
			s.Busy++
		}
	}
	for _, j := range b.jobs {
		s.Bound += len(j.bound)
		s.Unplaced += max(0, j.Unplaced())
	}
	for _, n := range b.Needs(now) {
		s.Placeable += n.Tasks
	}
	return s
}
