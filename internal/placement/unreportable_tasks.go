package placement

import (
	"cmp"
	"slices"

	"github.com/marlwood/marlwood/internal/model"
)

// stopUnreportable stops the newest tasks of a machine that holds more than its heartbeat can list in any state that they
// may come into. An earlier version may have started them, or they were adopted in a takeover; this version places no
// more than a heartbeat can list. Ended tasks do not count: the machine is told to forget them first.
//
// Guard: when the heartbeat of such a machine becomes too long, it is refused, and everything on the machine is lost.
func (cs *ClusterState) stopUnreportable(machine *Machine) {
	excess := -model.MaxTaskReportBytes
	var present []*Task
	for _, task := range machine.tasks.All() {
		if !task.stopping {
			present = append(present, task)
			excess += model.LongestTaskReport(task.job.Spec.ID, task.index, task.attempt)
		}
	}
	slices.SortFunc(present, func(x, y *Task) int {
		return cmp.Or(y.boundAt.Compare(x.boundAt), cmp.Compare(y.attempt, x.attempt))
	})
	var victims []*Task
	for _, task := range present {
		if excess <= 0 {
			break
		}
		excess -= model.LongestTaskReport(task.job.Spec.ID, task.index, task.attempt)
		victims = append(victims, task)
	}
	cs.stopVictims(victims)
}
