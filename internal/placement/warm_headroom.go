package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// rateWindow is the time for which an arrival counts towards the rate.
const rateWindow = 2 * time.Minute

// headroomRenewal is the duration of a reservation of warm headroom; MaintainHeadroom renews it.
const headroomRenewal = 3 * time.Second

// classArrivals records the recent arrivals of a class that has an objective for the wait until its tasks start.
type classArrivals struct {
	lastJob      *Job
	arrivals     []arrival
	missingSlots int // slots for which no headroom could be reserved
}

// arrival is the arrival of a job of a class.
type arrival struct {
	at    time.Time
	tasks int
}

// recordArrival records the arrival of a new job if its class has an objective for the wait until its tasks start.
func (cs *ClusterState) recordArrival(job *Job) {
	if cs.opt.Aims[job.Spec.Class].Wait == 0 {
		return
	}
	class := cs.classes.At(job.Spec.Class)
	if class == nil {
		class = &classArrivals{}
		cs.classes.Put(job.Spec.Class, class)
	}
	class.lastJob = job
	class.arrivals = append(class.arrivals, arrival{job.Accepted, job.Spec.Tasks})
}

// expectedArrivals returns the number of tasks that are expected to arrive within a lead time: the mean plus one
// standard deviation.
func (c *classArrivals) expectedArrivals(lead time.Duration) float64 {
	share := lead.Seconds() / rateWindow.Seconds()
	mean, square := 0.0, 0.0
	for _, a := range c.arrivals {
		mean += float64(a.tasks)
		square += float64(a.tasks * a.tasks)
	}
	return mean*share + math.Sqrt(square*share)
}

// MaintainHeadroom renews the warm headroom of classes whose tasks must start sooner than a machine boots. It reserves
// capacity for the tasks that are expected to arrive during a boot, on machines that don't scale in. Jobs of other classes
// may not use this capacity unless they have a higher priority or are boosted, as preempting their tasks would take time
// too. Reserving headroom is an exception to the paper's rule.
func (cs *ClusterState) MaintainHeadroom(now time.Time) {
	for name, class := range cs.classes.All() {
		class.missingSlots = 0
		for _, machine := range cs.machines.All() {
			machine.reserved.Delete(name)
		}
		class.arrivals = slices.DeleteFunc(class.arrivals, func(a arrival) bool { return now.Sub(a.at) >= rateWindow })
		if len(class.arrivals) == 0 || !cs.takeoverComplete {
			continue
		}
		boot := cs.maxBootTime(class.lastJob)
		if cs.opt.Aims[name].Wait >= boot {
			continue
		}
		slots := int(math.Ceil(cs.opt.Standing * class.expectedArrivals(boot)))
		class.missingSlots = cs.reserveHeadroom(name, class.lastJob, slots, now)
	}
}

// reserveHeadroom reserves capacity for a number of tasks like those of a class's last job, and returns the number of
// tasks for which there is none.
func (cs *ClusterState) reserveHeadroom(class string, job *Job, slots int, now time.Time) (missing int) {
	missing = slots
	for _, machine := range cs.headroomMachines(job, now) {
		reserved := min(missing, job.Spec.Size.Slots(cs.free(machine, job, now)))
		if reserved <= 0 {
			break
		}
		machine.reserve(class, reservedCapacity{
			size:  job.Spec.Size.Times(reserved),
			class: class,
			rank:  job.Spec.Priority.Rank(),
			until: now.Add(headroomRenewal),
		})
		missing -= reserved
	}
	return missing
}

// headroomDemands returns the unmet demand for warm headroom.
func (cs *ClusterState) headroomDemands() []UnmetDemand {
	var demands []UnmetDemand
	for name, class := range cs.classes.All() {
		if class.missingSlots <= 0 {
			continue
		}
		job := class.lastJob
		demands = append(demands, UnmetDemand{
			Job:       name,
			Size:      job.Spec.Size,
			Tasks:     class.missingSlots,
			Pools:     cs.poolsFor(job),
			Spot:      job.Spec.Spot,
			AllAtOnce: true,
			Headroom:  true,
			Estimate:  job.Spec.Estimate,
			Horizon:   cs.opt.Horizon,
			job:       job,
		})
	}
	return demands
}

// maxBootTime returns the boot time of the slowest machine type that a job may run on.
func (cs *ClusterState) maxBootTime(j *Job) time.Duration {
	var boot time.Duration
	for _, pool := range cs.poolsFor(j) {
		boot = max(boot, cs.types[pool.Type].Boot)
	}
	return boot
}

// headroomMachines returns the machines that may hold warm headroom for a job's class. They are ordered by ascending
// price, and at equal price by descending share in use. If the job must stay in one zone, the machines of the zone with
// the most free capacity come first.
func (cs *ClusterState) headroomMachines(job *Job, now time.Time) []*Machine {
	var machines []*Machine
	slotsByZone := map[string]int{}
	for _, machine := range cs.machines.All() {
		if !machine.usable() || !job.allowsMarket(machine.Spot) || !job.Spec.Allows(cs.types[machine.Pool.Type], machine.Pool.Zone) {
			continue
		}
		if slots := job.Spec.Size.Slots(cs.free(machine, job, now)); slots > 0 {
			machines = append(machines, machine)
			if job.Spec.OneZone {
				slotsByZone[machine.Pool.Zone] += slots
			}
		}
	}
	slices.SortFunc(machines, func(x, y *Machine) int {
		return cmp.Or(
			cmp.Compare(slotsByZone[y.Pool.Zone], slotsByZone[x.Pool.Zone]),
			cmp.Compare(cs.price(x), cs.price(y)),
			cmp.Compare(y.load.Share(cs.types[y.Pool.Type].Size), x.load.Share(cs.types[x.Pool.Type].Size)),
			cmp.Compare(x.Name, y.Name),
		)
	})
	return machines
}

// HoldsHeadroom reports whether warm headroom is reserved on the machine.
func (m *Machine) HoldsHeadroom() bool {
	for _, reservation := range m.reserved.All() {
		if reservation.class != "" {
			return true
		}
	}
	return false
}
