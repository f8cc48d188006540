package simtest

import (
	"time"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/placement"
)

// idleFor is how long a task may wait while there is free capacity for it, once the faults are over. The limit is a
// requirement of the users. lookEvery is the interval of the check.
const (
	idleFor   = 90 * time.Second
	lookEvery = time.Second
)

// playedUntil returns the time until which a schedule is played. By then all jobs must be over, and the rule idle_room
// has had time to break for tasks that begin to wait up to 30 s after the last fault. Services, which need not end, are
// checked until then.
func (p Plan) playedUntil() time.Duration { return max(p.bound(), p.calmFrom()+idleFor+30*time.Second) }

// waitingSince maps each waiting task to the time since which there has always been free capacity for it, judged by the
// actual state of the machines.
type waitingSince map[taskKey]time.Duration

// taskKey identifies a task independently of its machine.
type taskKey struct {
	job   *job
	index int
}

// watchIdleCapacity checks for unused capacity periodically from the given time on.
func (w *cluster) watchIdleCapacity(from time.Duration) {
	waits := waitingSince{}
	var look func()
	look = func() {
		w.checkIdleCapacity(waits, w.sim.Now())
		w.sim.After(lookEvery, look)
	}
	w.sim.At(from, look)
}

// checkIdleCapacity updates which tasks wait although there is free capacity for them, and reports idle_room as
// broken for a task that has waited too long.
func (w *cluster) checkIdleCapacity(waits waitingSince, now time.Duration) {
	for _, j := range w.all {
		room := w.hasCapacityFor(j)
		for i := range j.finished {
			at := taskKey{j, i}
			since, waited := waits[at]
			switch {
			case !room || j.finished[i] || w.placed(j, i):
				delete(waits, at)
			case !waited:
				waits[at] = now
			case now-since >= idleFor:
				w.sim.breaks("idle_room", "%s has waited for %v beside room for it", model.TaskName(j.id, i), now-since)
			}
		}
	}
}

// hasCapacityFor reports whether a job that may run has waiting tasks, and its team's limit and the machines have
// capacity for one of them, or for all tasks if it is a gang.
func (w *cluster) hasCapacityFor(j *job) bool {
	if !j.accepted || j.told.Final() || j.hopeless() || j.allDone() {
		return false
	}
	for _, n := range j.needs {
		if !n.allDone() {
			return false
		}
	}
	gang, left, on := j.spec.Shape == model.Gang, 0, 0
	zones := map[string]int{} // number of its tasks by zone
	used := model.Size{}      // usage of its team
	for _, m := range w.cloud.machines {
		for _, t := range m.tasks {
			if m.terminated || t.state == model.TaskExited || t.job.spec.Team != j.spec.Team {
				continue
			}
			used = used.Add(t.job.spec.Size)
			if t.job == j {
				on++
				zones[m.pool.Zone]++
			}
		}
	}
	for i, done := range j.finished {
		if !done && !w.placed(j, i) {
			left++
		}
	}
	wanted := 1
	if gang { // the tasks of the last attempt end before the next one starts, so their capacity counts as free
		wanted, zones, used = j.spec.Tasks, map[string]int{}, used.Sub(j.spec.Size.Times(on))
	}
	if left == 0 || !w.plan.teams()[j.spec.Team].WithinLimit(used.Add(j.spec.Size.Times(wanted))) {
		return false
	}
	found := map[string]int{} // number of tasks that fit, by zone
	total := 0
	for _, m := range w.cloud.machines {
		if !w.mayTake(m) || m.spot && !j.spec.Spot || j.spec.Zone != "" && j.spec.Zone != m.pool.Zone ||
			j.spec.OneZone && len(zones) > 0 && zones[m.pool.Zone] == 0 {
			continue
		}
		room := m.freeExcept(nil)
		for _, t := range m.tasks {
			if gang && t.job == j && t.state != model.TaskExited {
				room = room.Add(j.spec.Size)
			}
		}
		// Each zone may take at most ZoneCap tasks of a job that is spread over zones. All machines are of one type,
		// so filling them one after the other finds the maximum number of tasks that fit.
		n := min(slotsWithReport(m, j, room), j.spec.ZoneCap()-zones[m.pool.Zone]-found[m.pool.Zone])
		found[m.pool.Zone] += max(0, n)
		total += max(0, n)
	}
	if !j.spec.OneZone {
		return total >= wanted
	}
	for _, n := range found {
		if n >= wanted {
			return true
		}
	}
	return false
}

// slotsWithReport returns how many tasks of a job fit into a machine's room, and into what its heartbeat, which lists all
// tasks on it, leaves for tasks of their size.
func slotsWithReport(m *worker, j *job, room model.Size) int {
	size := j.spec.Size
	size.ReportBytes = model.TaskReportBytes(j.id)
	for _, t := range m.tasks {
		room.ReportBytes -= model.TaskReportBytes(t.job.id)
	}
	return size.Slots(size.FreeFor(machineType.Size, room))
}

// placed reports whether a task is on a machine or a machine fetches its image.
func (w *cluster) placed(j *job, index int) bool {
	for _, m := range w.cloud.machines {
		if !m.terminated {
			if live, _ := m.find(j.id, index); live != nil {
				return true
			}
		}
	}
	return false
}

// mayTake reports whether tasks could be started on a machine: it is up, it and every controller can reach each
// other (see mute), and no operator drains it. The leader's view of the machine does not matter.
func (w *cluster) mayTake(m *worker) bool {
	if !m.up || m.terminated || m.down || m.hung || w.sim.Now() < m.mute || w.drained[m.name] || w.drained["zone "+m.pool.Zone] ||
		w.recorded(placement.NodeScope, m.name) || w.recorded(placement.ZoneScope, m.pool.Zone) {
		return false
	}
	for _, n := range w.nodes {
		_, _, in := w.net.blocked(n.place, m.place)
		_, _, out := w.net.blocked(m.place, n.place)
		if in || out {
			return false
		}
	}
	return true
}

// recorded reports whether a drain is stored, whether or not an operator has got a confirmation.
func (w *cluster) recorded(scope placement.Scope, name string) bool {
	_, err := w.store.Get((&placement.Drain{Scope: scope, Name: name}).Key())
	return err == nil
}
