package placement

import (
	"math"

	"github.com/marlwood/marlwood/internal/model"
)

// holdableTasks returns how many tasks of a job the machines could report that may be requested for it. It is
// math.MaxInt for a job whose tasks fill a machine's resources before they fill its report; see model.MaxTaskReportBytes.
//
// No machine is requested for a gang that all these machines together could not report: the job waits, and its neighbours
// are served as without it. The jobs of very small tasks would otherwise take all machines that the provider has.
func (cs *ClusterState) holdableTasks(job *Job) int {
	most := 0
	for _, pool := range cs.poolsFor(job) {
		size := cs.types[pool.Type].Size
		machines := cs.machinesWorth(job, size)
		if !job.Spec.Size.FillsReportFirst(size) || machines == math.MaxInt {
			return math.MaxInt
		}
		most = max(most, machines*job.Spec.Size.Slots(job.Spec.Size.FreeFor(size, size)))
	}
	return most
}

// machinesWorth returns how many machines of a size may be requested for a job of very small tasks. An array progresses on
// any number of machines, and gets those that its resources fill. All tasks of a gang or a service are to run at once, on
// as many machines as its team's limit is worth.
func (cs *ClusterState) machinesWorth(job *Job, size model.Size) int {
	worth := cs.configuredLimit(job)
	switch {
	case job.Spec.Shape == model.Array:
		worth = job.Spec.Size.Times(job.Spec.Tasks - job.finished.Len())
	case worth.CPUs == 0 && worth.GPUs == 0:
		return math.MaxInt
	}
	return max(1, int(math.Ceil(min(worth.Share(size), model.MaxTasks))))
}
