package placement

import (
	"slices"
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

// drainReservation is how long capacity is reserved for a gang that was stopped to move. Within this time each
// of its members writes a checkpoint, reports its exit and is started again.
const drainReservation = 30 * time.Second

// gangStep is the next step of a drain for a gang.
type gangStep int

const (
	gangStopping      gangStep = iota // the gang is being stopped
	gangStopUnstarted                 // the gang has not started: it is stopped now
	gangRunToEnd                      // no drain of its machines has a deadline: the gang runs to its end
	gangRunToDeadline                 // the gang runs until the deadline
	gangStopAndMove                   // the deadline has passed: the gang is stopped now, as a whole
	gangAwaitCapacity                 // the deadline has passed: the gang runs until there is capacity elsewhere
)

// gangMove is the state of a gang that is to leave drained machines.
type gangMove struct {
	step      gangStep
	onDrained int          // number of its members on drained machines
	placeable int          // number of its members for which there is capacity elsewhere
	places    []assignment // the machines with that capacity
	deadline  time.Time    // the earliest deadline of the drains; zero: none has a deadline
}

// planGangMove computes the state of a gang that has a member on a drained machine.
func (cs *ClusterState) planGangMove(job *Job, now time.Time) gangMove {
	move := gangMove{step: gangRunToEnd}
	started, stopping, force := false, false, false
	for _, task := range job.bound.All() {
		started = started || task.state == model.TaskRunning || task.state == model.TaskSaving
		stopping = stopping || task.stopping
		drain := task.machine.drain
		if drain == nil {
			continue
		}
		move.onDrained++
		if !drain.Deadline.IsZero() && (move.deadline.IsZero() || drain.Deadline.Before(move.deadline)) {
			move.deadline, force = drain.Deadline, drain.Force
		}
	}
	switch {
	case stopping:
		move.step = gangStopping
		return move
	case !started:
		move.step = gangStopUnstarted
		return move
	case move.deadline.IsZero():
		return move
	}
	move.places, move.placeable = cs.capacityElsewhere(job, now)
	switch {
	case now.Before(move.deadline):
		move.step = gangRunToDeadline
	case move.placeable == job.bound.Len(), force:
		move.step = gangStopAndMove
	default:
		move.step = gangAwaitCapacity
	}
	return move
}

// advanceGangDrain takes the next step for a gang that has a member on a drained machine.
func (cs *ClusterState) advanceGangDrain(job *Job, now time.Time) {
	move := cs.planGangMove(job, now)
	var first *Task
	for _, task := range job.bound.All() {
		first = task
		break
	}
	switch move.step {
	case gangStopUnstarted:
		cs.stopTask(first, 0)
	case gangStopAndMove:
		for _, place := range move.places {
			place.machine.reserve(job.Spec.ID, reservedCapacity{
				size:  job.Spec.Size.Times(place.tasks),
				rank:  job.effectivePriority,
				until: now.Add(drainReservation),
			})
		}
		cs.opt.Log.Info("gang leaves drained machines", "job", job.Spec.ID, "pieces", job.bound.Len())
		cs.stopTask(first, graceFor(job.Spec))
	}
}

// capacityElsewhere searches for free capacity for all bound tasks of a job on machines that are not drained, as
// if the tasks had left their present machines.
func (cs *ClusterState) capacityElsewhere(job *Job, now time.Time) (places []assignment, placeable int) {
	leaving := map[*Machine]int{}
	for _, task := range job.bound.All() {
		leaving[task.machine]++
	}
	return cs.capacityForTasks(job, job.bound.Len(), leaving, now)
}

// capacityForTasks searches for free capacity for at most limit tasks of a job. leaving is the number of the job's
// tasks by machine that are assumed to have left; if it is nil, the job's tasks stay.
// capacityForTasks returns the places and the number of tasks that they can run. For a job that must stay in one
// zone, all places are in the zone with capacity for most tasks.
func (cs *ClusterState) capacityForTasks(job *Job, limit int, leaving map[*Machine]int, now time.Time) (places []assignment, placeable int) {
	for _, zone := range cs.zonesFor(job) {
		if found, placed := cs.capacityInZone(job, zone, limit, leaving, now); placed > placeable {
			places, placeable = found, placed
		}
	}
	return places, placeable
}

// capacityInZone does the work of capacityForTasks for one zone, or for all zones together if zone is empty.
func (cs *ClusterState) capacityInZone(job *Job, zone string, limit int, leaving map[*Machine]int, now time.Time) (places []assignment, placed int) {
	pools := cs.poolsFor(job)
	tasksInZone := map[string]int{}
	if leaving == nil { // otherwise the job's tasks move
		tasksInZone = job.tasksByZone()
	}
	for _, machine := range cs.machines.All() {
		if placed == limit {
			break
		}
		otherZone := zone != "" && machine.Pool.Zone != zone
		if !machine.usable() || !job.allowsMarket(machine.Spot) || !slices.Contains(pools, machine.Pool) || otherZone {
			continue
		}
		free := cs.free(machine, job, now).Add(job.Spec.Size.Times(leaving[machine]))
		slots := min(limit-placed, job.Spec.Size.Slots(free), job.Spec.ZoneCap()-tasksInZone[machine.Pool.Zone])
		if slots > 0 {
			places = append(places, assignment{machine, slots})
			placed += slots
			tasksInZone[machine.Pool.Zone] += slots
		}
	}
	return places, placed
}

// drainRequestLead is added to the boot time of a machine: before the deadline of a drain, machines are demanded
// this much earlier than the boot time alone requires.
const drainRequestLead = 10 * time.Second

// drainDemands returns the demands of gangs that are to leave drained machines and have no capacity elsewhere. A
// demand begins a machine's boot time plus drainRequestLead before the deadline.
func (cs *ClusterState) drainDemands(now time.Time, capacity *freeCapacity) (demands []UnmetDemand) {
	if cs.drains.Len() == 0 || !cs.takeoverComplete {
		return nil
	}
	for _, job := range cs.jobs.All() {
		if job.Spec.Shape != model.Gang || job.Cancelled || !cs.onDrainedMachine(job) {
			continue
		}
		move := cs.planGangMove(job, now)
		if (move.step != gangRunToDeadline && move.step != gangAwaitCapacity) || now.Add(cs.maxBootTime(job)+drainRequestLead).Before(move.deadline) {
			continue
		}
		// The free capacity doesn't include the capacity that the gang itself uses on machines that aren't
		// drained, so its members there need no other capacity.
		staying := 0
		for _, task := range job.bound.All() {
			if task.machine.usable() {
				staying++
			}
		}
		if missing := capacity.allocate(job, "", job.bound.Len()-staying); missing > 0 {
			demands = append(demands, UnmetDemand{
				Job:       job.Spec.ID,
				Size:      job.Spec.Size,
				Tasks:     missing,
				Pools:     cs.poolsFor(job),
				Spot:      job.Spec.Spot,
				AllAtOnce: true,
				OneZone:   job.Spec.OneZone,
				Estimate:  job.Spec.Estimate,
				Horizon:   cs.opt.Horizon,
				job:       job,
			})
		}
	}
	return demands
}

// onDrainedMachine reports whether a job has a task on a drained machine.
func (cs *ClusterState) onDrainedMachine(job *Job) bool {
	for _, task := range job.bound.All() {
		if task.machine.drain != nil {
			return true
		}
	}
	return false
}
