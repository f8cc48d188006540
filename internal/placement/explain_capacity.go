package placement

import (
	"fmt"
	"math"
	"time"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/operators/operatorspb"
)

// explainCapacity returns a row for each pool with its machines' capacity for a job's tasks, by the rules that choose
// a machine.
//
// fullReports is the number of machines that have the resources for a task and no space for it in their heartbeats.
func (cs *ClusterState) explainCapacity(job *Job, pools []model.Pool, now time.Time) (rows []*operatorspb.Room, fullReports int) {
	byPool := map[model.Pool]*operatorspb.Room{}
	for _, pool := range pools {
		row := &operatorspb.Room{Type: pool.Type, Zone: pool.Zone}
		if speed := cs.types[pool.Type].FetchGBPerS; speed > 0 {
			row.FetchS = job.Spec.ImageGB / speed
		}
		byPool[pool] = row
		rows = append(rows, row)
	}
	for _, machine := range cs.machines.All() {
		row := byPool[machine.Pool]
		if row == nil || !job.allowsMarket(machine.Spot) {
			continue
		}
		row.Machines++
		if cs.machineHasImage(machine, job.Spec.Image) {
			row.Images++
		}
		if cs.countCapacity(row, job, machine, now) {
			fullReports++
		}
	}
	return rows, fullReports
}

// countCapacity adds a machine to its pool's row: the number of the job's tasks that fit, or the reason why none does. The
// row has no column for a machine whose report is full, which is the result.
func (cs *ClusterState) countCapacity(row *operatorspb.Room, job *Job, machine *Machine, now time.Time) (reportIsFull bool) {
	size := job.Spec.Size
	unreserved := machine.freeOf(cs.types[machine.Pool.Type].Size)
	free := cs.free(machine, job, now)
	switch {
	case machine.drain != nil:
		row.Drained++
	case machine.ScaleIn && !machine.Cordoned && machine.Phase == Current && machine.TerminationNotice < 0:
		row.Retiring++
	case !machine.usable():
		row.Out++
	case size.Fits(free):
		row.Fits += uint32(size.Slots(free))
	case !size.FitsReport(free) && size.WithoutReport().Fits(free):
		return true
	case size.Fits(unreserved):
		row.Kept++
	case size.GPUs > unreserved.GPUs:
		row.LackGpus++
	case size.CPUs > unreserved.CPUs:
		row.LackCpus++
	default:
		row.LackMemory++
	}
	return false
}

// reservedFor returns the names of the machines on which capacity is reserved for a job, and when the last of these
// reservations ends.
func (cs *ClusterState) reservedFor(job *Job, now time.Time) (names []string, until time.Time) {
	for name, machine := range cs.machines.All() {
		if reservation := machine.reserved.At(job.Spec.ID); reservation.class == "" && reservation.until.After(now) {
			names = append(names, name)
			until = later(until, reservation.until)
		}
	}
	return names, until
}

// nextRelease returns the estimated time at which a task first ends and thereby releases enough capacity for a task of
// a job, and a text that names the ending task. It returns a zero time if there is no such task.
func (cs *ClusterState) nextRelease(job *Job, pools []model.Pool, now time.Time) (end time.Time, what string) {
	soonest := time.Duration(math.MaxInt64)
	for _, machine := range cs.machines.All() {
		if !machine.usable() || !job.allowsMachine(machine, pools, "") {
			continue
		}
		for _, task := range machine.tasks.All() {
			if task.job.Spec.Shape == model.Service && !task.stopping {
				continue
			}
			if remaining := task.remaining(now); remaining < soonest && job.Spec.Size.Fits(cs.free(machine, job, now).Add(task.job.Spec.Size)) {
				soonest, what = remaining, fmt.Sprintf("%s ends on %s, as estimated", model.TaskName(task.job.Spec.ID, task.index), machine.Name)
			}
		}
	}
	if what == "" {
		return time.Time{}, ""
	}
	return now.Add(soonest), what
}
