package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

// preemptionPlan assigns tasks of a job to machines, and lists the tasks that are preempted for them.
type preemptionPlan struct {
	assignments []assignment
	victims     []*Task
	loss        time.Duration // CPU time lost by the preemption
}

// assignment assigns a number of a job's tasks to a machine.
type assignment struct {
	machine *Machine
	tasks   int
}

// preemptionCandidate is a machine on which capacity may be preempted for a job.
type preemptionCandidate struct {
	machine   *Machine
	free      model.Size    // including the capacity of tasks that are being stopped
	victims   []victim      // tasks that may be preempted, ordered by loss, the smallest first
	slots     int           // number of the job's tasks that fit once all victims are preempted
	tasks     int           // number of the job's tasks that are assigned to the machine
	fetchLoss time.Duration // CPU time lost by the image fetch, for each of the job's tasks
}

// victim is a task that may be preempted, with the CPU time that its preemption loses.
type victim struct {
	*Task
	loss time.Duration
}

// compareVictims orders victims by loss, the smallest first, and victims of equal loss by placement attempt.
func compareVictims(x, y victim) int {
	return cmp.Or(cmp.Compare(x.loss, y.loss), cmp.Compare(x.attempt, y.attempt))
}

// preemptionCost is the number of a candidate's victims that must be preempted for one more task, and the CPU
// time that is lost.
type preemptionCost struct {
	victims int
	loss    time.Duration
}

// costOfOneMore returns the cost of one more task on the candidate. ok is false if it can't run one more.
func (c *preemptionCandidate) costOfOneMore(size model.Size) (cost preemptionCost, ok bool) {
	free := c.free
	var saveTime time.Duration // the longest time to write a checkpoint, during which the capacity is idle
	for !size.Fits(free) {
		if cost.victims == len(c.victims) {
			return preemptionCost{}, false
		}
		next := c.victims[cost.victims]
		free, cost.loss = free.Add(next.job.Spec.Size), cost.loss+next.loss
		if next.state == model.TaskRunning {
			saveTime = max(saveTime, next.job.Spec.SaveTime)
		}
		cost.victims++
	}
	cost.loss = cost.loss + c.fetchLoss + time.Duration(float64(saveTime)*size.CPUs)
	return cost, true
}

// planPreemption returns the plan that loses least to give capacity to a number of a job's tasks, all in one
// zone if the job must stay in one. It returns nil if there is no plan. The plan for an array or a service may
// cover only some of the tasks; the plan for a gang covers all of them.
//
// Guard: capacity in several zones is useless to a gang that must stay in one zone. When the zones were not
// planned one by one, tasks were preempted for it in every zone, over and over.
func (cs *ClusterState) planPreemption(now time.Time, job *Job, tasks int) *preemptionPlan {
	var best *preemptionPlan
	for _, zone := range cs.zonesFor(job) {
		if plan := cs.planPreemptionIn(now, job, tasks, zone); plan != nil && (best == nil || plan.loss < best.loss) {
			best = plan
		}
	}
	return best
}

// zonesFor returns the zones to try one by one for a job that must stay in one zone. For any other job it
// returns only "", which stands for all zones together.
func (cs *ClusterState) zonesFor(job *Job) []string {
	if !job.Spec.OneZone {
		return []string{""}
	}
	var zones []string
	for _, pool := range cs.poolsFor(job) {
		if !slices.Contains(zones, pool.Zone) {
			zones = append(zones, pool.Zone)
		}
	}
	return zones
}

// planPreemptionIn plans a preemption in one zone, or in all zones if zone is empty.
func (cs *ClusterState) planPreemptionIn(now time.Time, job *Job, tasks int, zone string) *preemptionPlan {
	candidates := cs.preemptionCandidates(now, job, zone)
	inZone := job.tasksByZone() // number of the job's tasks by zone
	if job.Spec.Shape == model.Gang && attainableSlots(candidates, job.Spec, inZone) < tasks {
		return nil
	}
	plan := &preemptionPlan{}
	queue := cs.newCandidateQueue(candidates, job, now)
	cs.work.Add(uint64(tasks))
	for range tasks {
		best := queue.cheapest(inZone, job.Spec.ZoneCap())
		if best == nil {
			if job.Spec.Shape == model.Gang {
				return nil
			}
			break
		}
		plan.assign(best.preemptionCandidate, best.cost, job.Spec.Size)
		inZone[best.machine.Pool.Zone]++
		queue.updateCheapest(job.Spec.Size)
	}
	for _, candidate := range candidates {
		if candidate.tasks > 0 {
			plan.assignments = append(plan.assignments, assignment{candidate.machine, candidate.tasks})
		}
	}
	return plan
}

// preemptionCandidates returns the machines in a zone, or in all zones if zone is empty, on which at least one
// task of a job could run if every task that may be preempted were preempted. They are ordered by name.
func (cs *ClusterState) preemptionCandidates(now time.Time, job *Job, zone string) []*preemptionCandidate {
	var candidates []*preemptionCandidate
	priority, pools := job.preemptionPriority(now), cs.poolsFor(job)
	for _, machine := range cs.machines.All() {
		if !machine.usable() || !job.allowsMachine(machine, pools, zone) || !job.zoneAllows(machine.Pool.Zone) {
			continue
		}
		if candidate := cs.preemptionCandidate(now, job, machine, priority); candidate != nil {
			candidates = append(candidates, candidate)
		}
	}
	return candidates
}

// preemptionCandidate returns a machine as a candidate, or nil if it couldn't run a task of the job even if
// every task that may be preempted were preempted.
func (cs *ClusterState) preemptionCandidate(now time.Time, job *Job, machine *Machine, priority int) *preemptionCandidate {
	candidate := &preemptionCandidate{machine: machine, free: cs.free(machine, job, now)}
	attainable := candidate.free // the free capacity once all victims are preempted
	var owner *Job               // of the last task; the tasks of a job follow each other
	ownerMayBePreempted := false
	for _, task := range machine.tasks.All() {
		if task.job != owner {
			owner, ownerMayBePreempted = task.job, cs.mayPreemptJob(job, task.job, priority, now)
		}
		if task.stopping {
			candidate.free, attainable = candidate.free.Add(task.job.Spec.Size), attainable.Add(task.job.Spec.Size)
		} else if ownerMayBePreempted && task.state != model.TaskOrdered {
			candidate.victims, attainable = append(candidate.victims, victim{Task: task}), attainable.Add(task.job.Spec.Size)
		}
	}
	// Guard: a large cluster has thousands of machines where nothing may be preempted. When they were weighed
	// as candidates for every task of every pending job, this took a quarter of a leader's processor time.
	if !job.Spec.Size.Fits(attainable) {
		return nil
	}
	candidate.slots = job.Spec.Size.Slots(attainable)
	return candidate
}

// attainableSlots returns how many tasks of a job the candidates take if every task that may be preempted is preempted.
// inZone is the number of the job's tasks by zone.
func attainableSlots(candidates []*preemptionCandidate, spec *model.Job, inZone map[string]int) (slots int) {
	byZone := map[string]int{}
	for _, candidate := range candidates {
		byZone[candidate.machine.Pool.Zone] += candidate.slots
	}
	for zone, attainable := range byZone {
		slots += max(0, min(attainable, spec.ZoneCap()-inZone[zone]))
	}
	return slots
}

// computeLosses computes what the preemption of each victim and the fetch of the job's image lose, and orders the victims.
func (cs *ClusterState) computeLosses(candidate *preemptionCandidate, job *Job, now time.Time) {
	candidate.fetchLoss = cs.fetchLoss(job, candidate.machine)
	for i := range candidate.victims {
		candidate.victims[i].loss = cs.preemptionLoss(candidate.victims[i].Task, now)
	}
	slices.SortFunc(candidate.victims, compareVictims)
}

// assign assigns one more task to a candidate, at the cost that costOfOneMore returned for it.
func (p *preemptionPlan) assign(to *preemptionCandidate, cost preemptionCost, size model.Size) {
	for _, task := range to.victims[:cost.victims] {
		p.victims = append(p.victims, task.Task)
		to.free = to.free.Add(task.job.Spec.Size)
	}
	to.victims = to.victims[cost.victims:]
	to.free = to.free.Sub(size)
	to.tasks++
	p.loss += cost.loss
}
