package placement

import (
	"time"
)

// Summary holds a few counts that describe the cluster, for logs and operators.
type Summary struct {
	Machines  int
	Busy      int // machines with tasks
	ScalingIn int // scale-in candidates
	Jobs      int
	Bound     int // tasks that are bound to machines; they may not have started yet
	Unplaced  int // tasks that are neither bound nor finished

	Unseen     int     // machines that may run tasks and have not reported under this leader's token
	UnmetTasks int     // tasks of the unmet demand, including that of warm headroom
	CPUs       float64 // total CPUs of the current machines
	Used       float64 // CPUs of the bound tasks on them
}

// Summary returns all counts. For UnmetTasks it computes the queue.
func (cs *ClusterState) Summary(now time.Time) Summary {
	summary := cs.Counts()
	for _, demand := range cs.UnmetDemands(now) {
		summary.UnmetTasks += demand.Tasks
	}
	return summary
}

// Counts returns all counts except UnmetTasks, for which the queue would have to be computed.
func (cs *ClusterState) Counts() Summary {
	summary := Summary{Machines: cs.machines.Len(), Jobs: cs.jobs.Len()}
	for _, machine := range cs.machines.All() {
		if machine.Phase == Unseen || machine.Phase == Joining {
			summary.Unseen++
		}
		if machine.Phase != Current {
			continue
		}
		if machine.ScaleIn {
			summary.ScalingIn++
		}
		summary.CPUs += cs.types[machine.Pool.Type].Size.CPUs
		summary.Used += machine.load.CPUs
		if machine.tasks.Len() > 0 {
			summary.Busy++
		}
	}
	for _, job := range cs.jobs.All() {
		summary.Bound += job.bound.Len()
		summary.Unplaced += max(0, job.Unplaced())
	}
	return summary
}
