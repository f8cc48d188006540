package placement

import (
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

// Urgency is what the jobs that wait for a job ask of it.
type Urgency struct {
	Rank int       // at least this priority
	Due  time.Time // zero: none
}

// Hasten replaces what waiting jobs ask of the open ones.
func (b *Book) Hasten(urgencies map[string]Urgency) {
	b.urgencies = urgencies
	for id, j := range b.jobs.All() {
		j.hurry(urgencies[id])
	}
}

// Coming is a job that is released as soon as some open jobs are done.
type Coming struct {
	Spec  *model.Job
	Needs []string
}

// Expect says which jobs are about to be released: machines are rented and kept for
// those whose release is no further off than a boot takes.
func (b *Book) Expect(coming []Coming, now time.Time) {
	b.coming = b.coming[:0]
	for _, c := range coming {
		j := &Job{Spec: c.Spec, Accepted: now, use: b.useOf(c.Spec.Team), finished: model.NewTaskSet(0), rank: c.Spec.Priority.Rank(), turn: b.rounds}
		boot := b.boot(j)
		soon := true
		for _, id := range c.Needs {
			soon = soon && b.endsWithin(b.jobs.At(id), boot, now)
		}
		if soon {
			b.coming = append(b.coming, j)
		}
	}
}

// endsWithin tells whether a job will be done within some time, as estimated.
func (b *Book) endsWithin(j *Job, within time.Duration, now time.Time) bool {
	if j == nil || j.Unplaced() > 0 {
		return false
	}
	for _, t := range j.bound.All() {
		if t.left(now) > within {
			return false
		}
	}
	return true
}

// hurry works out a job's priority and time from its own and from what those
// that wait for it ask.
func (j *Job) hurry(u Urgency) {
	j.rank, j.within = j.Spec.Priority.Rank(), j.Spec.Deadline
	j.rank = max(j.rank, u.Rank)
	if u.Due.IsZero() {
		return
	}
	if within := max(u.Due.Sub(j.Accepted), time.Millisecond); j.within == 0 || within < j.within {
		j.within = within
	}
}

// power is the priority with which a job stops tasks: that of a job that waits for
// it only once its time is running out. Most are in time without, and what is
// stopped for them is mostly lost.
func (j *Job) power(now time.Time) int {
	if j.within > 0 && now.Add(j.Spec.Estimate*3/2).After(j.Accepted.Add(j.within)) {
		return j.rank
	}
	return j.Spec.Priority.Rank()
}

// turnRank is a job's priority in the queue: with that of a job which waits for it,
// it goes behind those that have it by themselves, whose time does not depend on
// others, and before all of lower priority.
func (j *Job) turnRank() int {
	if own := j.Spec.Priority.Rank(); own >= j.rank {
		return 2 * own
	}
	return 2*j.rank - 1
}
