package placement

import (
	"sort"
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

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
