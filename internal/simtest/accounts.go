package simtest

import (
	"time"

	"github.com/marlwood/marlwood/internal/accounting"
)

// counted returns the CPU time that the state service has recorded for each team.
func (w *cluster) counted() (run map[string]time.Duration, err error) {
	run = map[string]time.Duration{}
	items, _ := w.store.List(accounting.KeyPrefix)
	for _, it := range items {
		rows, err := accounting.Decode(it.Value)
		if err != nil {
			return nil, err
		}
		for _, r := range rows {
			run[r.Team] += time.Duration(r.Sums[accounting.Run].CPU) * time.Microsecond // thousandths of a CPU times milliseconds
		}
	}
	return run, nil
}

// checkUsageCounted checks that no usage was counted twice. The recorded CPU time of a team must not exceed what its
// tasks used plus, for each task, the delay with which a leader may learn of its end (a lease and a heartbeat).
func (w *cluster) checkUsageCounted() {
	for _, m := range w.cloud.machines {
		for _, t := range m.tasks {
			m.off(t)
		}
	}
	run, err := w.counted()
	if err != nil {
		w.sim.breaks("counted_twice", "%v", err)
		return
	}
	late := w.plan.Lease + 2*reportEvery + 3*time.Second
	for team, counted := range run {
		if most := w.used[team] + time.Duration(2*w.attempts[team])*late; counted > most { // each takes two CPUs
			w.sim.breaks("counted_twice", "team %s used %v of CPU time in %d tasks, %v are counted", team, w.used[team], w.attempts[team], counted)
		}
	}
}
