package placement

import (
	"math"
	"sort"
	"time"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/peers/peerspb"
)

// planned is one job's part in a round.
type planned struct {
	job   *Job
	tasks []int
	scan  bool
	want  uint32
}

// kindsFor returns the kinds that a job's tasks may run on.
func (b *Book) kindsFor(j *model.Job) []model.Kind {
	var out []model.Kind
	for kind := range b.owners {
		if t, ok := b.types[kind.Type]; ok && j.Allows(t, kind.Zone) {
			out = append(out, kind)
		}
	}
	sort.Slice(out, func(i, k int) bool {
		if out[i].Type != out[k].Type {
			return out[i].Type < out[k].Type
		}
		return out[i].Zone < out[k].Zone
	})
	return out
}

// queue returns the jobs with work to place, in order: priority, guarantee,
// deadline, age.
func (b *Book) queue(now time.Time) []*Job {
	var out []*Job
	for _, j := range b.jobs {
		if j.Unplaced() <= 0 || now.Before(j.retryAt) {
			continue
		}
		if j.Spec.Shape == model.Gang && len(j.bound) > 0 {
			continue // the old attempt's tasks keep their places until they exit
		}
		out = append(out, j)
	}
	use := map[string]model.Size{}
	for name := range b.teams {
		use[name] = b.TeamUse(name)
	}
	guaranteed := func(j *Job) bool {
		return b.teams[j.Spec.Team].WithinGuarantee(use[j.Spec.Team].Add(j.Spec.Size))
	}
	due := make(map[*Job]time.Time, len(out))
	for _, j := range out {
		due[j] = b.due(j, now)
	}
	sort.Slice(out, func(i, k int) bool {
		x, y := out[i], out[k]
		if a, c := x.Spec.Priority.Rank(), y.Spec.Priority.Rank(); a != c {
			return a > c
		}
		if a, c := guaranteed(x), guaranteed(y); a != c {
			return a
		}
		if a, c := due[x], due[y]; !a.Equal(c) {
			return a.Before(c)
		}
		if !x.Accepted.Equal(y.Accepted) {
			return x.Accepted.Before(y.Accepted)
		}
		return x.Spec.ID < y.Spec.ID
	})
	return out
}

// noDeadline puts jobs without a deadline behind those with one.
const noDeadline = 24 * time.Hour

// due is when a job should be complete for the queue's order. One whose
// deadline can no longer be met goes with those that have none: hurrying it
// would only make others late. Those go by age, but a job is counted as younger
// by what it still needs of its team's limit: while a limit holds a team back,
// short jobs go first without long ones waiting for ever.
func (b *Book) due(j *Job, now time.Time) time.Time {
	if d := j.Spec.Deadline; d > 0 && now.Add(j.Spec.Estimate).Before(j.Accepted.Add(d)) {
		return j.Accepted.Add(d)
	}
	wait := noDeadline
	if limit := b.teams[j.Spec.Team].Limit.CPUs; limit > 0 && j.Spec.Shape != model.Service {
		work := j.Spec.Size.CPUs * float64(j.Spec.Tasks-j.finished.Len()) * j.Spec.Estimate.Seconds()
		wait += model.Seconds(b.opt.ShortFirst * work / limit)
	}
	return j.Accepted.Add(wait)
}

// headroom is how many more tasks of a job its team's limit allows.
func (b *Book) headroom(j *Job) int {
	team := b.teams[j.Spec.Team]
	n := j.Unplaced()
	used := b.TeamUse(j.Spec.Team)
	if team.Limit.CPUs > 0 && j.Spec.Size.CPUs > 0 {
		n = min(n, model.Size{CPUs: j.Spec.Size.CPUs}.Slots(model.Size{CPUs: team.Limit.CPUs - used.CPUs}))
	}
	if team.Limit.GPUs > 0 && j.Spec.Size.GPUs > 0 {
		n = min(n, model.Size{GPUs: j.Spec.Size.GPUs}.Slots(model.Size{GPUs: team.Limit.GPUs - used.GPUs}))
	}
	return max(n, 0)
}

// pick takes up to n tasks that are neither finished nor bound.
func (j *Job) pick(n int) []int {
	var out []int
	taken := map[int]bool{}
	use := func(i int) {
		if len(out) < n && !taken[i] && !j.finished.Has(i) && j.bound[i] == nil {
			taken[i] = true
			out = append(out, i)
		}
	}
	keep := j.again[:0]
	for _, i := range j.again {
		if !j.finished.Has(i) && j.bound[i] == nil && !taken[i] {
			keep = append(keep, i)
			use(i)
		}
	}
	j.again = keep
	for j.next < j.Spec.Tasks && (j.finished.Has(j.next) || j.bound[j.next] != nil) {
		j.next++
	}
	for i := j.next; i < j.Spec.Tasks && len(out) < n; i++ {
		use(i)
	}
	return out
}

// Wants begins a round: it returns the samples to ask the owners for. While
// the book is not complete, or tasks of unknown jobs run, nothing may start.
func (b *Book) Wants(now time.Time) []*peerspb.Want {
	b.plan = nil
	if !b.complete || b.strays() > 0 {
		return nil
	}
	left := b.opt.TasksPerRound
	var wants []*peerspb.Want
	for _, j := range b.queue(now) {
		if left <= 0 {
			break
		}
		// Nothing changed since the last empty scan: looking again would only
		// cost time.
		if j.empty > b.opt.ScanAfter && j.tried == b.room {
			continue
		}
		n := b.headroom(j)
		if j.Spec.Shape == model.Gang && n < j.Unplaced() {
			continue // a gang goes whole or not at all
		}
		if n == 0 {
			continue
		}
		if j.Spec.Shape != model.Gang {
			n = min(n, left)
		}
		p := &planned{job: j, tasks: j.pick(n), scan: j.empty >= b.opt.ScanAfter, want: uint32(len(b.plan) + 1)}
		if len(p.tasks) == 0 {
			continue
		}
		kinds := b.kindsFor(j.Spec)
		if len(kinds) == 0 {
			continue
		}
		left -= len(p.tasks)
		b.plan = append(b.plan, p)
		w := &peerspb.Want{Id: p.want, Size: SizeMessage(j.Spec.Size), Spot: j.Spec.Spot,
			Draws: uint32(len(p.tasks) * b.opt.Draws), Scan: p.scan}
		for _, k := range kinds {
			w.Kinds = append(w.Kinds, &peerspb.Kind{Type: k.Type, Zone: k.Zone})
		}
		wants = append(wants, w)
	}
	return wants
}

// SizeMessage is a size as controllers send it.
func SizeMessage(s model.Size) *peerspb.Size {
	return &peerspb.Size{Cpus: s.CPUs, Gpus: s.GPUs, MemoryGb: s.MemoryGB}
}

// free is the room that a job may use on a machine.
func (b *Book) free(m *Machine, j *Job, now time.Time) model.Size {
	room := b.types[m.Kind.Type].Size.Sub(m.used())
	for id, r := range m.reserved {
		switch {
		case now.After(r.until) || (r.class == "" && (b.jobs[id] == nil || b.jobs[id].Unplaced() == 0)):
			delete(m.reserved, id)
		case id != j.Spec.ID && r.class != j.Spec.Class && r.rank >= j.Spec.Priority.Rank():
			room = room.Sub(r.size)
		}
	}
	return room
}

// usable tells whether tasks may be started on a machine at all.
func (m *Machine) usable() bool {
	return m.Phase == Current && m.Hosted && !m.Cordoned && !m.Retiring && m.Notice < 0 && m.strays == 0
}

// fits tells whether a job's task may start on a machine now, its other
// bound tasks given.
func (b *Book) fits(j *Job, m *Machine, now time.Time) bool {
	if !m.usable() || (m.Spot && !j.Spec.Spot) || !j.Spec.Allows(b.types[m.Kind.Type], m.Kind.Zone) {
		return false
	}
	return j.zoneAllows(m.Kind.Zone) && j.Spec.Size.Fits(b.free(m, j, now))
}

// zoneAllows checks the job's own rules about zones. Everything bound counts,
// old attempts and tasks out of reach included.
func (j *Job) zoneAllows(zone string) bool {
	inZone := 0
	for _, t := range j.bound {
		if t.machine.Kind.Zone == zone {
			inZone++
		} else if j.Spec.OneZone {
			return false
		}
	}
	return inZone < j.Spec.ZoneCap()
}

// choose is the paper's rule among the drawn machines: the lowest share in
// use wins; ties go to the kind with the larger capacity for this task.
func (b *Book) choose(j *Job, drawn []*Machine, now time.Time) *Machine {
	var best *Machine
	var bestShare float64
	var bestSlots int
	for _, m := range drawn {
		if !b.fits(j, m, now) {
			continue
		}
		capacity := b.types[m.Kind.Type].Size
		share, slots := m.used().Share(capacity), j.Spec.Size.Slots(capacity)
		if best == nil || share < bestShare || (share == bestShare && slots > bestSlots) {
			best, bestShare, bestSlots = m, share, slots
		}
	}
	return best
}

// Place ends a round with the owners' samples and orders the starts. It
// returns how many.
func (b *Book) Place(now time.Time, samples []*peerspb.Sample) int {
	byWant := map[uint32][]*peerspb.Sample{}
	for _, s := range samples {
		byWant[s.Want] = append(byWant[s.Want], s)
	}
	total := 0
	for _, p := range b.plan {
		j := p.job
		if b.jobs[j.Spec.ID] != j || j.Cancelled || !b.complete {
			continue
		}
		n := 0
		if j.Spec.Shape == model.Gang {
			n = b.placeGang(now, p, byWant[p.want])
		} else {
			n = b.placeEach(now, p, byWant[p.want])
		}
		total += n
		if n > 0 {
			j.empty, j.waiting = 0, time.Time{}
		} else {
			j.empty++
			j.tried = b.room
			if j.waiting.IsZero() {
				j.waiting = now
			}
		}
	}
	b.plan = nil
	return total
}

// drawn returns the machines drawn for the k-th task of a plan.
func (b *Book) drawn(p *planned, samples []*peerspb.Sample, k int) []*Machine {
	var out []*Machine
	for _, s := range samples {
		names := s.Machines
		if !p.scan {
			from := min(k*b.opt.Draws, len(names))
			names = names[from:min(from+b.opt.Draws, len(names))]
		}
		for _, name := range names {
			if m := b.machines[name]; m != nil {
				out = append(out, m)
			}
		}
	}
	return out
}

func (b *Book) placeEach(now time.Time, p *planned, samples []*peerspb.Sample) int {
	j, n := p.job, 0
	for k, index := range p.tasks {
		if j.bound[index] != nil || j.finished.Has(index) || b.headroom(j) == 0 {
			continue
		}
		m := b.choose(j, b.drawn(p, samples, k), now)
		if m == nil {
			continue
		}
		b.start(now, j, index, m, b.nextAttempt())
		n++
	}
	return n
}

// placeGang starts a gang only if all of its tasks find room, each counting
// the room that the earlier ones took. A gang that must stay in one zone is
// tried zone by zone.
func (b *Book) placeGang(now time.Time, p *planned, samples []*peerspb.Sample) int {
	j := p.job
	if len(j.bound) > 0 || len(p.tasks) < j.Spec.Tasks-j.finished.Len() || b.headroom(j) < len(p.tasks) {
		return 0
	}
	zones := []string{""}
	if j.Spec.OneZone {
		zones = nil
		have := map[string]bool{}
		for _, s := range samples {
			if z := s.Kind.GetZone(); !have[z] {
				have[z] = true
				zones = append(zones, z)
			}
		}
		sort.Strings(zones)
	}
	attempt := b.nextAttempt()
	for _, zone := range zones {
		var tentative []*Task
		for k, index := range p.tasks {
			drawn := b.drawn(p, samples, k)
			if zone != "" {
				kept := drawn[:0]
				for _, m := range drawn {
					if m.Kind.Zone == zone {
						kept = append(kept, m)
					}
				}
				drawn = kept
			}
			m := b.choose(j, drawn, now)
			if m == nil {
				break
			}
			t := &Task{job: j, index: index, attempt: attempt, machine: m, state: model.TaskOrdered, token: b.token, since: now}
			b.bind(t)
			tentative = append(tentative, t)
		}
		whole := len(tentative) == len(p.tasks)
		for _, t := range tentative {
			if !whole {
				delete(j.bound, t.index)
				delete(t.machine.tasks, taskKey{j.Spec.ID, t.index})
				continue
			}
			b.order(t)
		}
		if whole {
			j.attempt = attempt
			return len(tentative)
		}
	}
	return 0
}

// nextAttempt numbers attempts so that no two leaders ever use the same one.
func (b *Book) nextAttempt() uint64 {
	b.attempts++
	return b.token<<20 + b.attempts
}

func (b *Book) start(now time.Time, j *Job, index int, m *Machine, attempt uint64) {
	t := &Task{job: j, index: index, attempt: attempt, machine: m, state: model.TaskOrdered, token: b.token, since: now}
	b.bind(t)
	b.order(t)
}

func (b *Book) order(t *Task) {
	b.opt.Log.Debug("start", "task", model.TaskName(t.job.Spec.ID, t.index), "class", t.job.Spec.Class, "machine", t.machine.Name,
		"type", t.machine.Kind.Type, "spot", t.machine.Spot, "image", t.job.Spec.Image, "queued", t.since.Sub(t.job.seen))
	t.order = b.give(t.machine, &peerspb.Order{Op: peerspb.Op_OP_START, Job: t.job.Spec.ID, Index: uint32(t.index), Attempt: t.attempt})
}

// loss estimates the work lost when a task is stopped, in CPU time.
func (t *Task) loss(now time.Time) time.Duration {
	if t.state != model.TaskRunning {
		return 0
	}
	lost := now.Sub(t.since)
	if every := t.job.Spec.CheckpointEvery; every > 0 {
		lost = min(lost, t.job.Spec.SaveTime)
	}
	return time.Duration(float64(lost) * max(t.job.Spec.Size.CPUs, 0.1))
}

// graceFor is the time a stopped task gets to save.
func graceFor(j *model.Job) time.Duration {
	if j.CheckpointEvery == 0 {
		return 0
	}
	return j.SaveTime + time.Second
}

// Preempt makes room for jobs that found none in a scan, by stopping tasks of
// lower priority, those first that lose least. A machine that is being
// cleared is kept for the job.
func (b *Book) Preempt(now time.Time) {
	if !b.complete {
		return
	}
	for _, j := range b.queue(now) {
		if j.Spec.Priority.Rank() <= 0 || j.empty <= b.opt.ScanAfter || now.Sub(j.waiting) < b.opt.PreemptWait {
			continue
		}
		n := b.headroom(j)
		if j.Spec.Shape == model.Gang && n < j.Unplaced() {
			continue
		}
		for range min(n, 8) {
			if !b.clear(now, j) {
				break
			}
		}
	}
}

// clear stops what must go from one machine so that a task of j fits. It
// reports false when no machine can be cleared.
func (b *Book) clear(now time.Time, j *Job) bool {
	var best *Machine
	var bestVictims []*Task
	var bestLoss time.Duration
	for _, m := range b.machines {
		if _, kept := m.reserved[j.Spec.ID]; kept || !m.usable() || (m.Spot && !j.Spec.Spot) ||
			!j.Spec.Allows(b.types[m.Kind.Type], m.Kind.Zone) || !j.zoneAllows(m.Kind.Zone) {
			continue
		}
		room := b.free(m, j, now)
		var victims []*Task
		for _, t := range m.tasks {
			if t.stopping {
				room = room.Add(t.job.Spec.Size)
			} else if t.job.Spec.Priority.Rank() < j.Spec.Priority.Rank() && t.state != model.TaskOrdered {
				victims = append(victims, t)
			}
		}
		sort.Slice(victims, func(i, k int) bool {
			a, c := victims[i].loss(now), victims[k].loss(now)
			return a < c || (a == c && victims[i].attempt < victims[k].attempt)
		})
		var loss time.Duration
		i := 0
		for ; i < len(victims) && !j.Spec.Size.Fits(room); i++ {
			room = room.Add(victims[i].job.Spec.Size)
			loss += victims[i].loss(now)
		}
		if !j.Spec.Size.Fits(room) {
			continue
		}
		if best == nil || loss < bestLoss || (loss == bestLoss && m.Name < best.Name) {
			best, bestVictims, bestLoss = m, victims[:i], loss
		}
	}
	if best == nil {
		return false
	}
	if best.reserved == nil {
		best.reserved = map[string]reservation{}
	}
	best.reserved[j.Spec.ID] = reservation{size: j.Spec.Size, rank: j.Spec.Priority.Rank(), until: now.Add(15 * time.Second)}
	for _, t := range bestVictims {
		b.stop(t, graceFor(t.job.Spec))
	}
	return true
}

// Drain stops tasks that can save on machines that the cloud will take away,
// while there is still time to save.
func (b *Book) Drain(now time.Time) {
	for _, m := range b.machines {
		if m.Notice < 0 || m.Phase != Current {
			continue
		}
		for _, t := range m.tasks {
			if t.stopping || t.job.Spec.CheckpointEvery == 0 || t.state != model.TaskRunning {
				continue
			}
			b.stop(t, graceFor(t.job.Spec))
		}
	}
}

// Mend stops what is left of a gang that lost tasks while waiting, so that it
// can start anew as a whole.
func (b *Book) Mend(now time.Time) {
	for _, j := range b.jobs {
		if j.Spec.Shape != model.Gang || j.Cancelled || len(j.bound) == 0 || j.Unplaced() <= 0 {
			continue
		}
		for _, t := range j.bound {
			if !t.stopping && t.state != model.TaskOrdered {
				b.stopOne(t, 0)
			}
		}
	}
}

// Consolidate is the exception to the paper's rule that lets machines go:
// preferring empty shares leaves every machine partly used and none idle. A
// machine whose tasks would fit into the others' free room gets no more tasks
// and is returned when its last one ends. When work finds no room, retiring
// machines are used again before new ones are rented.
func (b *Book) Consolidate(now time.Time) {
	if !b.complete {
		return
	}
	retiring := b.retiring()
	waiting := false
	for _, n := range b.Needs(now) {
		j := b.jobs[n.Job]
		if j == nil { // standing room
			j = b.classes[n.Job].last
		}
		left := n.Tasks
		waiting = waiting || left > 0
		for _, m := range retiring {
			if left <= 0 {
				break
			}
			if !m.Retiring || (m.Spot && !j.Spec.Spot) || !j.Spec.Allows(b.types[m.Kind.Type], m.Kind.Zone) {
				continue
			}
			if slots := j.Spec.Size.Slots(b.free(m, j, now)); slots > 0 {
				b.retire(m, false)
				left -= slots
			}
		}
	}
	if waiting {
		return // while work waits, nothing is let go
	}
	var capacity, used float64
	var candidates []*Machine
	for _, m := range b.machines {
		if !m.usable() {
			continue
		}
		size := b.types[m.Kind.Type].Size
		capacity += size.CPUs
		used += m.used().Share(size) * size.CPUs
		candidates = append(candidates, m)
	}
	// The dearest per CPU goes first, of equals the one least in use.
	sort.Slice(candidates, func(i, k int) bool {
		x, y := candidates[i], candidates[k]
		if a, c := b.price(x), b.price(y); a != c {
			return a > c
		}
		if a, c := x.used().Share(b.types[x.Kind.Type].Size), y.used().Share(b.types[y.Kind.Type].Size); a != c {
			return a < c
		}
		return x.Name < y.Name
	})
	for _, m := range candidates {
		size := b.types[m.Kind.Type].Size.CPUs
		if m.KeepsRoom() {
			continue
		}
		if used <= (capacity-size)*(1-b.opt.Spare) {
			b.retire(m, true)
			return // one at a time
		}
	}
}

// price is what a machine costs an hour per CPU.
func (b *Book) price(m *Machine) float64 {
	t := b.types[m.Kind.Type]
	if m.Spot {
		return t.SpotPrice / t.Size.CPUs
	}
	return t.Price / t.Size.CPUs
}

// retiring lists the retiring machines that could be used again, the
// cheapest first.
func (b *Book) retiring() []*Machine {
	var out []*Machine
	for _, m := range b.machines {
		if m.Retiring && !m.Cordoned && m.Phase == Current && m.Notice < 0 {
			out = append(out, m)
		}
	}
	sort.Slice(out, func(i, k int) bool {
		a, c := b.price(out[i]), b.price(out[k])
		return a < c || (a == c && out[i].Name < out[k].Name)
	})
	return out
}

// class is what was seen of a class whose tasks are to start sooner than a
// machine boots.
type class struct {
	last     *Job
	arrivals []time.Time
	short    int // slots that standing room lacks
}

// rateWindow is how far back arrivals count.
const rateWindow = 2 * time.Minute

// arrived takes in a new job.
func (b *Book) arrived(j *Job) {
	if b.opt.Aims[j.Spec.Class].Wait == 0 {
		return
	}
	c := b.classes[j.Spec.Class]
	if c == nil {
		c = &class{}
		b.classes[j.Spec.Class] = c
	}
	c.last = j
	c.arrivals = append(c.arrivals, j.Accepted)
}

// StandingRoom is an exception to the paper's rule for classes that must start
// sooner than a machine boots: as much room as arrivals during a boot need is
// kept on the fullest machines that have it. Others may not take it.
func (b *Book) StandingRoom(now time.Time) {
	for name, c := range b.classes {
		c.short = 0
		for _, m := range b.machines {
			delete(m.reserved, name)
		}
		kept := c.arrivals[:0]
		for _, at := range c.arrivals {
			if now.Sub(at) < rateWindow {
				kept = append(kept, at)
			}
		}
		c.arrivals = kept
		if len(kept) == 0 || !b.complete || b.opt.Aims[name].Wait >= b.opt.TightWait {
			continue
		}
		var boot time.Duration
		for _, k := range b.kindsFor(c.last.Spec) {
			boot = max(boot, b.types[k.Type].Boot)
		}
		slots := int(math.Ceil(b.opt.Standing * float64(len(kept)*c.last.Spec.Tasks) * boot.Seconds() / rateWindow.Seconds()))
		var room []*Machine
		for _, m := range b.machines {
			if b.fits(&Job{Spec: c.last.Spec}, m, now) {
				room = append(room, m)
			}
		}
		sort.Slice(room, func(i, k int) bool {
			x, y := room[i], room[k]
			a, e := x.used().Share(b.types[x.Kind.Type].Size), y.used().Share(b.types[y.Kind.Type].Size)
			return a > e || (a == e && x.Name < y.Name)
		})
		for _, m := range room {
			n := min(slots, c.last.Spec.Size.Slots(b.free(m, c.last, now)))
			if n <= 0 {
				break
			}
			if m.reserved == nil {
				m.reserved = map[string]reservation{}
			}
			m.reserved[name] = reservation{size: c.last.Spec.Size.Times(n), class: name, rank: c.last.Spec.Priority.Rank(), until: now.Add(3 * time.Second)}
			slots -= n
		}
		c.short = slots
	}
}

// KeepsRoom tells that a machine has standing room.
func (m *Machine) KeepsRoom() bool {
	for _, r := range m.reserved {
		if r.class != "" {
			return true
		}
	}
	return false
}

// Need is a job's demand for room that no machine has.
type Need struct {
	Job      string
	Size     model.Size
	Tasks    int
	Kinds    []model.Kind
	Spot     bool
	Whole    bool // all at once: gangs and services
	OneZone  bool
	Estimate time.Duration
	Horizon  time.Duration // within which its tasks are to end
}

// horizon is how long an array's tasks may take turns without missing what is
// asked of its class.
func (b *Book) horizon(j *Job, now time.Time) time.Duration {
	h := time.Duration(0)
	by := func(limit time.Duration) {
		left := j.Accepted.Add(limit).Sub(now)
		if limit > 0 && left > j.Spec.Estimate && (h == 0 || left < h) {
			h = left
		}
	}
	aim := b.opt.Aims[j.Spec.Class]
	by(aim.Finished * 8 / 10)
	by(j.Spec.Deadline * 9 / 10)
	if aim.Wait > 0 {
		by(aim.Wait*8/10 + j.Spec.Estimate)
	}
	if h == 0 || h > b.opt.Horizon {
		h = b.opt.Horizon
	}
	return h
}

// Needs returns the demand of jobs that at least one round found no room for,
// in the queue's order. Of an array, tasks that the present machines can take
// in turn within its horizon are left out.
func (b *Book) Needs(now time.Time) []Need {
	var out []Need
	asked := map[string]model.Size{} // by team: demand of the jobs before
	turns := map[*Machine]float64{}  // seconds of the whole machine already promised
	for _, j := range b.queue(now) {
		n := b.headroom(j)
		if size := j.Spec.Size; size.CPUs > 0 {
			n -= int(asked[j.Spec.Team].CPUs/size.CPUs + 0.999)
		}
		n = max(n, 0)
		if limit := b.teams[j.Spec.Team].Limit; limit.CPUs > 0 || limit.GPUs > 0 {
			asked[j.Spec.Team] = asked[j.Spec.Team].Add(j.Spec.Size.Times(n))
		}
		if j.empty == 0 || n == 0 || (j.Spec.Shape == model.Gang && n < j.Unplaced()) {
			continue
		}
		need := Need{Job: j.Spec.ID, Size: j.Spec.Size, Tasks: n, Kinds: b.kindsFor(j.Spec), Spot: j.Spec.Spot,
			Whole: j.Spec.Shape != model.Array, OneZone: j.Spec.OneZone, Estimate: j.Spec.Estimate, Horizon: b.horizon(j, now)}
		if !need.Whole && need.Estimate > 0 {
			need.Tasks -= b.inTurn(j, need, turns, now)
		}
		if need.Tasks > 0 {
			out = append(out, need)
		}
	}
	for name, c := range b.classes {
		if c.short > 0 {
			j := c.last
			out = append(out, Need{Job: name, Size: j.Spec.Size, Tasks: c.short, Kinds: b.kindsFor(j.Spec), Spot: j.Spec.Spot, Whole: true,
				Estimate: j.Spec.Estimate, Horizon: b.opt.Horizon})
		}
	}
	return out
}

// inTurn counts how many of a need's tasks the machines that are up will take
// as their present tasks end.
func (b *Book) inTurn(j *Job, need Need, turns map[*Machine]float64, now time.Time) int {
	taken := 0
	names := make([]string, 0, len(b.machines))
	for name := range b.machines {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		m := b.machines[name]
		if taken >= need.Tasks {
			break
		}
		capacity := b.types[m.Kind.Type].Size
		if !m.usable() || (m.Spot && !j.Spec.Spot) || !j.Spec.Allows(b.types[m.Kind.Type], m.Kind.Zone) {
			continue
		}
		// Seconds of the whole machine that come free within the horizon,
		// less what jobs before were promised.
		free := -turns[m]
		for _, t := range m.tasks {
			left := max(t.job.Spec.Estimate-now.Sub(t.since), t.job.Spec.Estimate/5)
			if t.job.Spec.Shape == model.Service {
				left = need.Horizon
			}
			if left < need.Horizon {
				free += t.job.Spec.Size.Share(capacity) * (need.Horizon - left).Seconds()
			}
		}
		share := j.Spec.Size.Share(capacity)
		if share <= 0 {
			continue
		}
		n := max(0, min(need.Tasks-taken, int(free/(share*need.Estimate.Seconds()))))
		turns[m] += float64(n) * share * need.Estimate.Seconds()
		taken += n
	}
	return taken
}
