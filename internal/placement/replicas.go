package placement

import (
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

// The machine for a replica is chosen by the time that the replica is expected to lose there. A machine that has
// the image saves the fetch; but replicas of one job on the same machine fail together, so another machine may be
// the better choice.
//
// Guard: a machine with the image used to be preferred to every other machine, whatever ran there. Replicas of
// several jobs were started on one machine at once, their fetches shared the machine's rate, and none was up for
// minutes.

// zoneLossRarity is how many times rarer the loss of a zone is expected to be than the loss of a machine. The
// value of not sharing a zone is the value of not sharing a machine divided by it.
const zoneLossRarity = 8

// replicaLoss returns the time that a replica is expected to lose on a machine. It is the time until the image is
// there, plus Options.Apart for each other replica of the job on the machine, plus a part of Options.Apart for
// each one in the zone. The result is only compared with other losses, never added to other times.
func (cs *ClusterState) replicaLoss(job *Job, machine *Machine, now time.Time) time.Duration {
	loss := cs.fetchTime(job, machine, now)
	onMachine, inZone := job.onMachine[machine], job.inZone(machine.Pool.Zone) // inZone includes those on the machine
	return loss + time.Duration(onMachine)*cs.opt.Apart + time.Duration(inZone)*cs.opt.Apart/zoneLossRarity
}

// fetchTime returns the time until a job's image is on a machine. Images that are fetched at the same time share
// the machine's rate.
func (cs *ClusterState) fetchTime(job *Job, machine *Machine, now time.Time) time.Duration {
	speed := cs.types[machine.Pool.Type].FetchGBPerS
	if speed <= 0 || cs.machineHasImage(machine, job.Spec.Image) {
		return 0
	}
	gb, otherImages, fetchStart := job.Spec.ImageGB, map[string]bool{}, time.Time{}
	for _, task := range machine.tasks.All() {
		spec := task.job.Spec
		switch {
		case task.state != model.TaskOrdered && task.state != model.TaskFetching || cs.machineHasImage(machine, spec.Image):
		case spec.Image == job.Spec.Image:
			if fetchStart.IsZero() || task.boundAt.Before(fetchStart) {
				fetchStart = task.boundAt
			}
		case !otherImages[spec.Image]:
			otherImages[spec.Image] = true
			gb += min(spec.ImageGB, job.Spec.ImageGB)
		}
	}
	remaining := model.Seconds(gb / speed)
	if !fetchStart.IsZero() {
		remaining = max(0, remaining-now.Sub(fetchStart))
	}
	return remaining
}
