package placement

import (
	"sort"
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

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
