package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

// uncordonAfter is how long a job must have found no capacity before machines that scale in or are quarantined are
// uncordoned for it, and how long these machines are then protected from scale-in.
const uncordonAfter = 45 * time.Second

// maxUncordonJobs is the most jobs for which withheld machines are searched at a time. With this limit each of ten
// thousand jobs is considered within forty seconds.
const maxUncordonJobs = 256

// uncordonForStarvedJobs uncordons withheld machines, the cheapest first, for jobs that have found no capacity for too
// long. For a gang it uncordons all machines that the gang needs, in one zone if the gang must stay in one zone.
//
// Guard: no machine was uncordoned for a job without unmet demand, however long the job waited beside withheld
// machines. Two kinds of jobs have no unmet demand: a job for which only spot machines are requested, when the withheld
// machines are on-demand ones, and a job that failed on two machines. A quarantined machine that ran a replica stayed
// cordoned for as long as the replica ran.
//
// Guard: thousands of jobs may be pending in a cluster of thousands of machines. Only some of the jobs, in round-robin
// order, search the withheld machines at a time. The limit on gangs is lower, because a gang's search also needs
// the free capacity of the usable machines.
func (cs *ClusterState) uncordonForStarvedJobs(now time.Time) {
	withheld := cs.withheldMachines()
	if len(withheld) == 0 || !cs.anyJobStarved(now) {
		return
	}
	slices.SortStableFunc(withheld, cs.compareForUncordon)
	queue := cs.queue(now)
	first, gangs := int(cs.roundNumber)*maxUncordonJobs, 0
	for i := range min(len(queue), maxUncordonJobs) {
		job := queue[(first+i)%len(queue)]
		tasks, isGang := cs.tasksWithinLimit(job), job.Spec.Shape == model.Gang
		if job.SuspectedPoison() {
			tasks = min(tasks, 1)
		}
		if tasks == 0 || !job.isStarved(now) || isGang && (tasks < job.Unplaced() || gangs == maxGangScans) {
			continue
		}
		if isGang {
			gangs++
		}
		cs.uncordonFor(job, tasks, withheld, now)
	}
}

// uncordonFor uncordons the machines that a job needs, in the first of its zones that has such machines.
func (cs *ClusterState) uncordonFor(job *Job, tasks int, withheld []*Machine, now time.Time) {
	for _, zone := range cs.zonesFor(job) {
		machines := cs.machinesToUncordon(job, tasks, zone, withheld, now)
		for _, machine := range machines {
			cs.uncordon(machine, now)
		}
		if len(machines) > 0 {
			return
		}
	}
}

// isStarved reports whether a job has found no capacity for too long.
func (j *Job) isStarved(now time.Time) bool {
	return !j.unplacedSince.IsZero() && now.Sub(j.unplacedSince) >= uncordonAfter
}

// anyJobStarved reports whether any pending job has found no capacity for too long.
func (cs *ClusterState) anyJobStarved(now time.Time) bool {
	for _, job := range cs.jobs.All() {
		if job.isStarved(now) && job.isPending(now) {
			return true
		}
	}
	return false
}

// withheldMachines returns the machines that may be uncordoned; see mayUncordon.
func (cs *ClusterState) withheldMachines() []*Machine {
	var withheld []*Machine
	for _, machine := range cs.machines.All() {
		if machine.mayUncordon() {
			withheld = append(withheld, machine)
		}
	}
	return withheld
}

// compareForUncordon orders machines that are not quarantined before quarantined ones, and then by price.
func (cs *ClusterState) compareForUncordon(x, y *Machine) int {
	return cmp.Or(
		cmp.Compare(sortTrueFirst(!x.quarantined), sortTrueFirst(!y.quarantined)),
		cmp.Compare(cs.price(x), cs.price(y)),
	)
}

// machinesToUncordon returns the withheld machines that are needed for a number of a job's tasks. For a gang it returns
// none if they have too little capacity even together with the usable machines.
func (cs *ClusterState) machinesToUncordon(job *Job, tasks int, zone string, withheld []*Machine, now time.Time) []*Machine {
	pools := cs.poolsFor(job)
	slotsOn := func(machine *Machine) int {
		if !job.allowsMachine(machine, pools, zone) || !job.zoneAllows(machine.Pool.Zone) {
			return 0
		}
		return job.Spec.Size.Slots(cs.free(machine, job, now))
	}
	var machines []*Machine
	for _, machine := range withheld {
		failedHere := machine.quarantined && job.failedOn[machine.Name]
		if slots := slotsOn(machine); tasks > 0 && slots > 0 && machine.mayUncordon() && !failedHere {
			machines = append(machines, machine)
			tasks -= slots
		}
	}
	if len(machines) == 0 || job.Spec.Shape != model.Gang || tasks <= 0 {
		return machines
	}
	for _, machine := range cs.machines.All() {
		if machine.usable() {
			tasks -= slotsOn(machine)
		}
	}
	if tasks > 0 {
		return nil
	}
	return machines
}

// mayUncordon reports whether a machine would be usable if it were uncordoned: only its being a scale-in candidate, or
// quarantined and busy, keeps tasks off it. A quarantined machine that is not busy is returned to the provider instead.
func (m *Machine) mayUncordon() bool {
	releasable := m.quarantined && m.Busy()
	uncordoned := *m
	uncordoned.ScaleIn, uncordoned.Cordoned = false, m.Cordoned && !releasable
	return uncordoned.usable() && !m.usable()
}

// uncordon lets tasks be started on a machine again.
func (cs *ClusterState) uncordon(m *Machine, now time.Time) {
	m.ScaleIn, m.uncordonedAt = false, now
	if m.quarantined {
		m.Cordoned, m.quarantined, m.failures = false, false, nil
	}
	cs.sendCordonState(m)
}
