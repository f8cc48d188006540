package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

// freeCapacity is the free capacity of the present machines. It is allocated to one job after the other to
// compute the unmet demand; no task is placed by it.
//
// Guard: with a long queue, capacity is allocated for every job. Therefore a job visits only the machines of its
// pools, and values that depend only on the machine are computed once. When they were computed for each job,
// this took most of a leader's processor time while a few hundred jobs were pending; the leader then lost its
// lease, and so did the next leader.
type freeCapacity struct {
	allocatedOn []*Machine // machines on which the last call of allocate allocated capacity
	cluster     *ClusterState
	now         time.Time
	byPool      map[model.Pool][]*machineCapacity
	exhausted   map[market][]model.Size // sizes for which no machine of a pool and market has capacity
}

// machineCapacity is the capacity of one machine that is not allocated yet.
type machineCapacity struct {
	machine         *Machine
	size            model.Size       // of the machine
	free            model.Size       // including the capacity of tasks that are being stopped, less what is allocated
	releases        capacityReleases // by the machine's tasks
	promisedSeconds float64          // allocated by allocateOverTime, in seconds of the whole machine
	longestReleased float64          // released by the machine's tasks within the longest horizon, in such seconds
	horizon         time.Duration    // of the last call of releasedWithin
	released        float64          // the result of that call, in such seconds
}

// remaining returns the estimated remaining run time of a task.
func (t *Task) remaining(now time.Time) time.Duration {
	return max(t.job.Spec.Estimate-now.Sub(t.stateSince), t.job.Spec.Estimate/5)
}

// newFreeCapacity returns the free capacity before any of it is allocated to the jobs of a queue.
func (cs *ClusterState) newFreeCapacity(now time.Time, queue []*Job) *freeCapacity {
	longest := cs.opt.Horizon
	for _, job := range queue {
		longest = max(longest, cs.horizon(job, now))
	}
	capacity := &freeCapacity{
		cluster:   cs,
		now:       now,
		byPool:    map[model.Pool][]*machineCapacity{},
		exhausted: map[market][]model.Size{},
	}
	for _, machine := range cs.machines.All() {
		if !machine.isOrBecomesUsable() {
			continue
		}
		onMachine := newMachineCapacity(machine, cs.types[machine.Pool.Type].Size, now)
		onMachine.longestReleased = onMachine.releasedWithin(longest)
		capacity.byPool[machine.Pool] = append(capacity.byPool[machine.Pool], onMachine)
	}
	return capacity
}

// isOrBecomesUsable reports whether a machine is usable or is about to become usable.
//
// Guard: a machine that has yet to report a fresh token, or whose record is being stored, is about to become
// usable; no other machine must be requested in its place.
func (m *Machine) isOrBecomesUsable() bool {
	return m.Phase != ExpiryReported && m.Phase != Expired && !m.Cordoned && !m.ScaleIn && m.drain == nil && m.TerminationNotice < 0 &&
		!m.Unreachable && !m.cyclesControllers
}

// newMachineCapacity returns the capacity of a machine of the given size before any of it is allocated.
func newMachineCapacity(machine *Machine, size model.Size, now time.Time) *machineCapacity {
	capacity := &machineCapacity{machine: machine, size: size}
	capacity.free = machine.freeOf(size)
	for _, task := range machine.tasks.All() {
		spec := task.job.Spec
		switch {
		case task.stopping:
			capacity.free = capacity.free.Add(spec.Size)
		case spec.Shape != model.Service:
			capacity.releases.add(task.remaining(now), spec.Size.Share(size))
		}
	}
	return capacity
}

// releasedWithin returns the time that the machine's tasks release within a horizon, in seconds of the whole
// machine.
func (m *machineCapacity) releasedWithin(horizon time.Duration) float64 {
	if horizon == m.horizon {
		return m.released
	}
	m.horizon, m.released = horizon, m.releases.within(horizon)
	return m.released
}

// eachAllowed calls visit for each machine on which a job's tasks may run, until visit returns false.
func (c *freeCapacity) eachAllowed(job *Job, visit func(on *machineCapacity) bool) {
	for _, pool := range c.cluster.poolsFor(job) {
		for _, on := range c.byPool[pool] {
			if job.allowsMarket(on.machine.Spot) && !visit(on) {
				return
			}
		}
	}
}

// eachWithCapacity calls visit for each machine on which a job's tasks may run and that has capacity for one of
// them, including capacity that is reserved for other jobs, until visit returns false. If zone isn't empty, it
// visits only machines in that zone. Free capacity only shrinks, so a pool that had no capacity for a task isn't
// searched again for a task that needs at least as much.
func (c *freeCapacity) eachWithCapacity(job *Job, zone string, visit func(on *machineCapacity) bool) {
	size, spot := job.Spec.Size, job.Spec.Spot
	for _, pool := range c.cluster.poolsFor(job) {
		if zone != "" && pool.Zone != zone {
			continue
		}
		key := market{pool, spot}
		if slices.ContainsFunc(c.exhausted[key], func(unfit model.Size) bool { return unfit.AtMost(size) }) {
			continue
		}
		found := false
		for _, on := range c.byPool[pool] {
			if !job.allowsMarket(on.machine.Spot) || !size.Fits(size.FreeFor(on.size, on.free)) {
				continue
			}
			found = true
			if !visit(on) {
				return
			}
		}
		if !found {
			c.exhausted[key] = append(c.exhausted[key], size)
		}
	}
}

// slotsOn returns how many of a job's tasks a machine can still run, given the reservations for other jobs.
func (c *freeCapacity) slotsOn(job *Job, on *machineCapacity) int {
	free := job.Spec.Size.FreeFor(on.size, on.free)
	if on.machine.reserved.Len() > 0 {
		free = free.Sub(c.cluster.reservedAgainst(on.machine, job, c.now))
	}
	return job.Spec.Size.Slots(free)
}

// countSlots returns for how many of a number of a job's tasks there is capacity.
func (c *freeCapacity) countSlots(job *Job, zone string, tasks int) int {
	found := 0
	c.eachWithCapacity(job, zone, func(on *machineCapacity) bool {
		found += c.slotsOn(job, on)
		return found < tasks
	})
	return min(tasks, found)
}

// allocate allocates capacity to at most a number of a job's tasks and returns how many tasks got none.
func (c *freeCapacity) allocate(job *Job, zone string, tasks int) int {
	c.allocatedOn = c.allocatedOn[:0]
	c.eachWithCapacity(job, zone, func(on *machineCapacity) bool {
		if allocated := min(tasks, c.slotsOn(job, on)); allocated > 0 {
			c.allocatedOn = append(c.allocatedOn, on.machine)
			on.free = on.free.Sub(job.Spec.Size.Times(allocated))
			tasks -= allocated
		}
		return tasks > 0
	})
	return tasks
}

// allocateOverTime allocates the time that the machines' present tasks release within a horizon to at most a
// number of a job's tasks, which run there one after the other. It returns how many tasks got none.
func (c *freeCapacity) allocateOverTime(job *Job, horizon time.Duration, tasks int) int {
	estimate := job.Spec.Estimate.Seconds()
	var sharedSize, share = model.Size{}, 0.0
	c.eachAllowed(job, func(on *machineCapacity) bool {
		if on.promisedSeconds >= on.longestReleased {
			return true
		}
		if sharedSize != on.size {
			sharedSize, share = on.size, job.Spec.Size.Share(on.size)
		}
		if share > 0 && estimate > 0 {
			free := on.releasedWithin(horizon) - on.promisedSeconds
			allocated := max(0, min(tasks, int(free/(share*estimate))))
			on.promisedSeconds += float64(allocated) * share * estimate
			tasks -= allocated
		}
		return tasks > 0
	})
	return tasks
}

// bestZone returns the zone with most capacity for a job that must stay in one zone.
func (c *freeCapacity) bestZone(job *Job, pools []model.Pool, tasks int) string {
	best, mostSlots := "", -1
	for _, pool := range pools {
		if slots := c.countSlots(job, pool.Zone, tasks); slots > mostSlots {
			best, mostSlots = pool.Zone, slots
		}
	}
	return best
}

// allocateSpread allocates capacity to at most a number of tasks of a job that is spread over zones. It returns
// the unmet demand by zone, that of the cheapest zone first.
//
// Guard: capacity in a zone that may run no more tasks of the job doesn't count. When it counted, only one of a
// service's two replicas ran for as long as machines of one zone had capacity, because no machine was requested
// in other zones.
func (c *freeCapacity) allocateSpread(demand UnmetDemand, tasks int) []UnmetDemand {
	job := demand.job
	zones, allowed := c.zonesByPrice(demand)
	for zone, bound := range job.tasksByZone() {
		allowed[zone] -= bound
	}
	for _, zone := range zones {
		wanted := min(tasks, max(0, allowed[zone]))
		allocated := wanted - c.allocate(job, zone, wanted)
		allowed[zone] -= allocated
		tasks -= allocated
	}
	if !demand.AllAtOnce {
		tasks = c.allocateOverTime(job, demand.Horizon, tasks)
	}
	var demands []UnmetDemand
	for _, zone := range zones {
		inZone := demand
		if inZone.Tasks = min(tasks, max(0, allowed[zone])); inZone.Tasks == 0 {
			continue
		}
		tasks -= inZone.Tasks
		inZone.Pools = slices.DeleteFunc(slices.Clone(demand.Pools), func(pool model.Pool) bool { return pool.Zone != zone })
		demands = append(demands, inZone)
	}
	return demands
}

// zonesByPrice returns the zones of a demand's pools, ordered by the price of each zone's cheapest pool, and how
// many of the job's tasks each zone may run in total.
func (c *freeCapacity) zonesByPrice(demand UnmetDemand) (zones []string, allowed map[string]int) {
	allowed = map[string]int{}
	cheapest := map[string]float64{}
	for _, pool := range demand.Pools {
		price := c.cluster.priceOf(pool, demand.Spot && c.cluster.types[pool.Type].SpotPrice > 0)
		if _, seen := allowed[pool.Zone]; !seen {
			zones = append(zones, pool.Zone)
			allowed[pool.Zone], cheapest[pool.Zone] = demand.job.Spec.ZoneCap(), price
		}
		cheapest[pool.Zone] = min(cheapest[pool.Zone], price)
	}
	slices.SortStableFunc(zones, func(x, y string) int { return cmp.Compare(cheapest[x], cheapest[y]) })
	return zones, allowed
}
