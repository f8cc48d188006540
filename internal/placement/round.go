package placement

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/peers/peerspb"
	"github.com/marlwood/marlwood/internal/turns"
)

// planned is one job's part in a round.
type planned struct {
	job   *Job
	tasks []int
	scan  bool
	want  uint32

	now     time.Time // of placing
	holders drawing   // machines with the image
}

// kindsFor returns the kinds that a job's tasks may run on. It is worked out
// once for each change of owners or types; the caller must not change it.
func (b *Book) kindsFor(j *Job) []model.Kind {
	if j.kindsGen == b.kindsGen && j.kinds != nil {
		return j.kinds
	}
	out := []model.Kind{}
	for kind := range b.owners {
		if t, ok := b.types[kind.Type]; ok && j.Spec.Allows(t, kind.Zone) && !b.kindDrained(kind) {
			out = append(out, kind)
		}
	}
	sort.Slice(out, func(i, k int) bool {
		if out[i].Type != out[k].Type {
			return out[i].Type < out[k].Type
		}
		return out[i].Zone < out[k].Zone
	})
	j.kinds, j.kindsGen = out, b.kindsGen
	j.kindSet = b.kindSetOf(out)
	return out
}

// queue returns the jobs with work to place, in order: those whose time to begin runs
// out, then priority, guarantee, deadline, age.
func (b *Book) queue(now time.Time) []*Job {
	// What was in order before mostly still is: sorting it again costs little. The order
	// is total, so where it began from does not show.
	out := slices.DeleteFunc(b.queued, func(j *Job) bool { return b.jobs.At(j.Spec.ID) != j || !j.waits(now) })
	b.queues++
	for _, j := range out {
		j.queued = b.queues
	}
	for _, j := range b.jobs.All() {
		if j.queued != b.queues && j.waits(now) {
			out = append(out, j)
		}
	}
	b.sumWanted()
	for _, j := range out {
		j.order = turn{
			rank:       j.turnRank(),
			guaranteed: rank(j.use.team.WithinGuarantee(j.use.size.Add(j.Spec.Size))),
			served:     b.leastServed(j, now),
			due:        b.due(j, now, !j.use.team.WithinLimit(j.use.wanted)),
			patient:    b.patient(j, now),
		}
	}
	b.hurryAll(out, now)
	slices.SortFunc(out, func(x, y *Job) int {
		return cmp.Or(compareNear(x.order.near, y.order.near), cmp.Compare(y.order.rank, x.order.rank), cmp.Compare(x.order.guaranteed, y.order.guaranteed),
			cmp.Compare(x.order.served, y.order.served),
			x.order.due.Compare(y.order.due), x.Accepted.Compare(y.Accepted), cmp.Compare(x.Spec.ID, y.Spec.ID))
	})
	b.queued = out
	return slices.Clone(out)
}

// waits tells whether a job has work to place now.
func (j *Job) waits(now time.Time) bool {
	if j.Unplaced() <= 0 || now.Before(j.retryAt) {
		return false
	}
	// A gang's old tasks keep their places until they exit.
	return j.Spec.Shape != model.Gang && !j.Suspect() || j.bound.Len() == 0
}

// turn is what a job's place in the queue goes by, before its age.
type turn struct {
	near       time.Time // orders jobs whose time to begin runs out; zero: it does not
	rank       int
	guaranteed int // 0 comes first
	served     float64
	due        time.Time
	patient    bool // only spot machines are rented for it
}

// patient tells that only spot machines are rented for an array of long tasks: for
// one of which nothing is asked for as long as the operators say, for others half
// of the time that they can spare. It may run wherever there is room meanwhile.
func (b *Book) patient(j *Job, now time.Time) bool {
	s, aim := j.Spec, b.opt.Aims[j.Spec.Class]
	if !s.Spot || s.Shape != model.Array || s.Estimate <= leastCharged || aim.Wait > 0 ||
		!slices.ContainsFunc(b.kindsFor(j), func(k model.Kind) bool { return b.types[k.Type].SpotPrice > 0 }) {
		return false
	}
	spare := b.opt.Unhurried
	for _, within := range []time.Duration{j.within, aim.Finished} {
		if within > 0 {
			spare = min(spare, within/2-s.Estimate)
		}
	}
	return now.Before(j.Accepted.Add(spare))
}

// takes tells whether a job's tasks may run on spot or on ordinary machines.
func (j *Job) takes(spot bool) bool { return !spot || j.Spec.Spot }

// noDeadline puts jobs without a deadline behind those with one.
const noDeadline = 24 * time.Hour

// sumWanted sums what each team's jobs want in all.
func (b *Book) sumWanted() {
	for _, u := range b.use {
		u.wanted = model.Size{}
	}
	for _, j := range b.jobs.All() {
		if !j.Cancelled && !j.Suspect() {
			j.use.wanted = j.use.wanted.Add(j.Spec.Size.Times(j.Spec.Tasks - j.finished.Len()))
		}
	}
}

// due is when a job should be complete for the queue's order: by its deadline,
// or, unless its team's limit holds it back, by what is asked of its class. One
// that can no longer be in time goes with those of which nothing is asked:
// hurrying it would only make others late.
// Those go by age, but a job is counted as younger by what it still needs of
// its team's limit: while a limit holds a team back, short jobs go first
// without long ones waiting for ever.
func (b *Book) due(j *Job, now time.Time, held bool) time.Time {
	within := j.within
	aim := b.opt.Aims[j.Spec.Class]
	if held {
		aim = model.Aim{}
	}
	for _, d := range []time.Duration{aim.Finished, aim.Wait + j.Spec.Estimate} {
		if d > j.Spec.Estimate && (within == 0 || d < within) {
			within = d
		}
	}
	if by := j.Accepted.Add(within); now.Add(j.Spec.Estimate).Before(by) {
		return by
	}
	wait := noDeadline
	if limit := j.use.team.Limit.CPUs; limit > 0 && j.Spec.Shape != model.Service {
		work := j.Spec.Size.CPUs * float64(j.Spec.Tasks-j.finished.Len()) * j.Spec.Estimate.Seconds()
		wait += model.Seconds(b.opt.ShortFirst * work / limit)
	}
	return j.Accepted.Add(wait)
}

// headroom is how many more tasks of a job its team's limit allows.
func (b *Book) headroom(j *Job) int { return b.headroomAfter(j, model.Size{}) }

// headroomAfter is the same after something else was promised to the team.
func (b *Book) headroomAfter(j *Job, promised model.Size) int {
	team := j.use.team
	n := j.Unplaced()
	used := j.use.size.Add(promised)
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
		if len(out) < n && !taken[i] && !j.finished.Has(i) && j.bound.At(i) == nil {
			taken[i] = true
			out = append(out, i)
		}
	}
	keep := j.again[:0]
	for _, i := range j.again {
		if !j.finished.Has(i) && j.bound.At(i) == nil && !taken[i] {
			keep = append(keep, i)
			use(i)
		}
	}
	j.again = keep
	for j.next < j.Spec.Tasks && (j.finished.Has(j.next) || j.bound.At(j.next) != nil) {
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
	b.settled(now)
	if !b.complete || b.strays() > 0 {
		return nil
	}
	var waiting []*Job
	var all []turns.Candidate
	b.beginLine()
	for _, j := range b.queue(now) {
		n := b.headroom(j)
		switch {
		case n == 0, j.Spec.Shape == model.Gang && n < j.Unplaced(): // a gang goes whole or not at all
			continue
		case j.empty > b.opt.ScanAfter && j.tried == b.room && now.Sub(j.looked) < lookAgain:
			j.turn = b.rounds // nothing is known to have changed since: looking again would only cost time
			continue
		case !b.mayFit(j, now):
			b.foundNone(j, now)
			continue
		case j.Suspect():
			n = 1
		}
		waiting = append(waiting, j)
		all = append(all, turns.Candidate{Tasks: n, Whole: j.Spec.Shape == model.Gang, Last: j.turn})
	}
	var wants []*peerspb.Want
	for _, turn := range b.shares().Divide(all) {
		j := waiting[turn.Candidate]
		p := &planned{job: j, tasks: j.pick(turn.Tasks), scan: j.empty >= b.opt.ScanAfter, want: uint32(len(b.plan) + 1)}
		if len(p.tasks) == 0 {
			continue
		}
		b.plan = append(b.plan, p)
		w := &peerspb.Want{Id: p.want, Size: SizeMessage(j.Spec.Size), Spot: j.Spec.Spot,
			Draws: uint32(len(p.tasks) * b.opt.Draws), Scan: p.scan}
		for _, k := range b.kindsFor(j) {
			w.Kinds = append(w.Kinds, &peerspb.Kind{Type: k.Type, Zone: k.Zone})
		}
		wants = append(wants, w)
	}
	return wants
}

// perRound is the most tasks that are drawn for in one round. A large cluster's rounds place
// more: by a fixed number thousands of machines stood empty for a minute beside a queue that
// had work for all of them.
func (b *Book) perRound() int { return max(b.opt.TasksPerRound, b.machines.Len()/16) }

// SizeMessage is a size as controllers send it.
func SizeMessage(s model.Size) *peerspb.Size {
	return &peerspb.Size{Cpus: s.CPUs, Gpus: s.GPUs, MemoryGb: s.MemoryGB}
}

// free is the room that a job may use on a machine.
func (b *Book) free(m *Machine, j *Job, now time.Time) model.Size {
	room := b.types[m.Kind.Type].Size.Sub(m.load)
	if m.reserved.Len() > 0 {
		room = room.Sub(b.keptFrom(m, j, now))
	}
	return room
}

// keptFrom is the room on a machine that is reserved against a job.
func (b *Book) keptFrom(m *Machine, j *Job, now time.Time) model.Size {
	var kept model.Size
	own := m.reserved.At(j.Spec.ID)
	for id, r := range m.reserved.All() {
		switch {
		case now.After(r.until) || (r.class == "" && (b.jobs.At(id) == nil || b.jobs.At(id).Unplaced() == 0)):
			if !b.asked {
				m.reserved.Drop(id)
				b.room++ // see clear
			}
		case r.class != "" && j.hurried: // standing room is for what may yet come
		case r.class == "" && own.class == "" && own.rank >= r.rank && !now.After(own.until):
			// Guard: both have room here, part of which saves still, and each kept what was free
			// already from the other. When the save ended, what had saved took its place again,
			// and was stopped again, for ever (explorer, 7200007027: idle_room). The one that is
			// kept room at least as strictly uses the free room first.
		case id != j.Spec.ID && r.class != j.Spec.Class && r.rank >= j.rank:
			kept = kept.Add(r.size)
		}
	}
	return kept
}

// usable tells whether tasks may be started on a machine at all.
func (m *Machine) usable() bool {
	return m.Phase == Current && m.Hosted && !m.Cordoned && !m.Retiring && m.drain == nil && m.Notice < 0 && m.strays == 0 &&
		!m.Quiet && !m.Unreached && !m.wanders
}

// fits tells whether a job's task may start on a machine now, its other
// bound tasks given.
func (b *Book) fits(j *Job, m *Machine, now time.Time) bool {
	return m.usable() && j.takes(m.Spot) && j.Spec.Size.Fits(b.free(m, j, now)) &&
		slices.Contains(b.kindsFor(j), m.Kind) && j.zoneAllows(m.Kind.Zone)
}

// zoneAllows checks the job's own rules about zones. Everything bound counts,
// old attempts and tasks out of reach included.
func (j *Job) zoneAllows(zone string) bool {
	if !j.Spec.OneZone && !j.Spec.Spread {
		return true
	}
	inZone := 0
	for _, t := range j.bound.All() {
		if t.machine.Kind.Zone == zone {
			inZone++
		} else if j.Spec.OneZone {
			return false
		}
	}
	return inZone < j.Spec.ZoneCap()
}

// leastCharged is how long a machine is paid for at least. A task that runs
// longer decides how long its machine is kept.
const leastCharged = time.Minute

// choice is what a drawn machine is chosen by.
type choice struct {
	failed bool          // the job failed there
	loss   time.Duration // a replica is expected to lose there
	late   bool          // the fetch of the image takes longer than the task may wait
	price  float64       // an hour and CPU, for a task that keeps its machine
	fetch  bool          // the image is missing
	share  float64
	slots  int
}

// compare sorts the better choice first. Share and slots are the paper's rule:
// the lowest share in use wins; ties go to the kind with the larger capacity for
// this task. What stands before them are our exceptions.
func (c choice) compare(o choice) int {
	return cmp.Or(cmp.Compare(rank(!c.failed), rank(!o.failed)), cmp.Compare(rank(!c.late), rank(!o.late)), cmp.Compare(c.loss, o.loss),
		cmp.Compare(c.price, o.price), cmp.Compare(rank(!c.fetch), rank(!o.fetch)),
		cmp.Compare(c.share, o.share), cmp.Compare(o.slots, c.slots))
}

func (b *Book) choiceOf(j *Job, m *Machine, now time.Time) choice {
	t := b.types[m.Kind.Type]
	c := choice{failed: j.failedOn[m.Name], share: m.load.Share(t.Size),
		slots: j.Spec.Size.Slots(t.Size), fetch: !b.has(m, j.Spec.Image)}
	if wait := b.opt.Aims[j.Spec.Class].Wait; wait > 0 && c.fetch && t.FetchGBPerS > 0 {
		c.late = now.Add(model.Seconds(j.Spec.ImageGB / t.FetchGBPerS)).After(j.Accepted.Add(wait))
	}
	if j.Spec.Shape == model.Service && b.opt.Apart > 0 {
		c.loss = b.replicaLoss(j, m, now)
	}
	if j.Spec.Spot && j.Spec.Estimate > leastCharged {
		c.price = b.price(m)
	}
	return c
}

// choose picks among the drawn machines the best that has room.
func (b *Book) choose(j *Job, drawn []*Machine, now time.Time) *Machine {
	var best *Machine
	var bestChoice choice
	for _, m := range drawn {
		if !b.fits(j, m, now) {
			continue
		}
		if c := b.choiceOf(j, m, now); best == nil || c.compare(bestChoice) < 0 {
			best, bestChoice = m, c
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
	if b.complete && !b.resumed {
		b.resumed = true
		b.resume(now)
	}
	total := 0
	b.lacking = map[lack]bool{}
	for _, p := range b.plan {
		j := p.job
		if b.jobs.At(j.Spec.ID) != j || j.Cancelled || !b.complete {
			continue
		}
		n := 0
		p.now = now
		b.beginHolders(p)
		if j.Spec.Shape == model.Gang {
			n = b.placeGang(now, p, byWant[p.want])
		} else {
			n = b.placeEach(now, p, byWant[p.want])
		}
		b.endHolders(p)
		total += n
		if n > 0 {
			j.empty, j.waiting, j.turn = 0, time.Time{}, b.rounds
		} else {
			b.foundNone(j, now)
		}
	}
	b.plan = nil
	return total
}

// drawn returns the machines drawn for the k-th task of a plan, those that have
// its image first; in one zone only if it is named.
func (b *Book) drawn(p *planned, samples []*peerspb.Sample, k int, zone string) []*Machine {
	out := b.drawHolders(p, zone)
	for _, s := range samples {
		if zone != "" && s.Kind.GetZone() != zone {
			continue
		}
		names := s.Machines
		if !p.scan {
			from := min(k*b.opt.Draws, len(names))
			names = names[from:min(from+b.opt.Draws, len(names))]
		}
		for _, name := range names {
			if m := b.machines.At(name); m != nil {
				out = append(out, m)
			}
		}
	}
	return out
}

func (b *Book) placeEach(now time.Time, p *planned, samples []*peerspb.Sample) int {
	j, n := p.job, 0
	for k, index := range p.tasks {
		if j.bound.At(index) != nil || j.finished.Has(index) || b.headroom(j) == 0 {
			continue
		}
		m := b.choose(j, b.drawn(p, samples, k, ""), now)
		if m == nil {
			if p.scan {
				break // all machines with room were looked at: the other tasks ask the same
			}
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
	if j.bound.Len() > 0 || len(p.tasks) < j.Spec.Tasks-j.finished.Len() || b.headroom(j) < len(p.tasks) {
		return 0
	}
	zones := []string{""}
	if j.Spec.OneZone {
		zones = b.zones(p, samples)
	}
	attempt := b.nextAttempt()
	for _, zone := range zones {
		var tentative []*Task
		for k, index := range p.tasks {
			m := b.choose(j, b.drawn(p, samples, k, zone), now)
			if m == nil {
				break
			}
			t := &Task{job: j, index: index, attempt: attempt, machine: m, state: model.TaskOrdered, token: b.token, since: now}
			b.bind(t)
			tentative = append(tentative, t)
		}
		for _, t := range tentative {
			t.unbind()
		}
		if len(tentative) < len(p.tasks) {
			continue
		}
		if b.betterCleared(now, j, tentative) {
			return 0
		}
		if b.claimable(j, len(tentative)) {
			b.claim(now, j, attempt, tentative)
			return len(tentative)
		}
		for _, t := range tentative {
			b.bind(t)
			b.order(t)
		}
		j.attempt = attempt
		return len(tentative)
	}
	return 0
}

// zones lists the sampled zones, those with most machines that have the image and room
// first.
func (b *Book) zones(p *planned, samples []*peerspb.Sample) []string {
	having := map[string]int{}
	for _, m := range b.holders[p.job.Spec.Image].All() {
		if b.fits(p.job, m, p.now) {
			having[m.Kind.Zone]++
		}
	}
	var out []string
	for _, s := range samples {
		if z := s.Kind.GetZone(); !slices.Contains(out, z) {
			out = append(out, z)
		}
	}
	slices.SortFunc(out, func(x, y string) int { return cmp.Or(cmp.Compare(having[y], having[x]), cmp.Compare(x, y)) })
	return out
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
	t.machine.useReserved(t.job)
	t.order = b.give(t.machine, &peerspb.Order{Op: peerspb.Op_OP_START, Job: t.job.Spec.ID,
		Index: uint32(t.index), Attempt: t.attempt})
}
