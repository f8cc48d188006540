package workers

import (
	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/peers/peerspb"
)

// occupancyCache caches the resources that a machine's tasks use until the machine changes; see Registry.occupancy.
type occupancyCache struct {
	used       model.Size
	sizesKnown bool // the sizes of the jobs of all its tasks were known
	valid      bool // used and sizesKnown are up to date
}

// occupancy returns the resources that the machine's tasks use, including undecided starts. known is
// false while the size of some task's job is not known.
func (reg *Registry) occupancy(machine *machineState) (used model.Size, known bool) {
	cache := &machine.occupancy
	if cache.valid {
		return cache.used, cache.sizesKnown
	}
	*cache = occupancyCache{sizesKnown: true, valid: true}
	for _, task := range machine.tasks {
		if task.State == string(model.TaskExited) {
			cache.used.ReportBytes += model.TaskReportBytes(task.Job) // until the machine forgets it
			continue
		}
		size, ok := reg.jobSizes[task.Job]
		if !ok {
			cache.sizesKnown = false
			return cache.used, false
		}
		cache.used = cache.used.Add(size)
	}
	for _, order := range machine.pendingOrders {
		if order.isStart() {
			cache.used = cache.used.Add(reg.jobSizes[order.job])
		}
	}
	return cache.used, true
}

// freeMachine is a machine that may be sampled, and its free capacity.
type freeMachine struct {
	name string
	spot bool
	free model.Size
}

// freeMachines returns the machines that may be sampled, by pool and sorted by name. It is called once
// for all sample requests of a round.
func (reg *Registry) freeMachines() map[model.Pool][]freeMachine {
	free := map[model.Pool][]freeMachine{}
	for _, machine := range reg.machines.All() {
		if !reg.maySample(machine) {
			continue
		}
		used, known := reg.occupancy(machine)
		if !known {
			continue
		}
		free[machine.pool] = append(free[machine.pool], freeMachine{
			name: machine.name,
			spot: machine.spot,
			free: reg.machineTypes[machine.pool.Type].Size.Sub(used),
		})
	}
	return free
}

// maySample reports whether a machine may get new tasks, regardless of its free capacity.
func (reg *Registry) maySample(machine *machineState) bool {
	if !machine.acceptsStarts() || machine.cordoned || machine.hasTerminationNotice() {
		return false
	}
	return !machine.contact.missedHeartbeats && reg.ownsPool(machine.pool)
}

// sample draws machines on which a task fits: want.Draws from each pool that this controller owns, with
// replacement as in the paper. A scan returns every machine on which the task fits. Spot machines are
// drawn separately because they differ from the other machines of their pool.
func (reg *Registry) sample(want *peerspb.Want, free map[model.Pool][]freeMachine) []*peerspb.Sample {
	size := sizeFromWire(want.Size)
	size.ReportBytes = model.TaskReportBytes("") // the leader, which knows the job, checks the rest
	var samples []*peerspb.Sample
	for _, kind := range want.Kinds {
		pool := model.Pool{Type: kind.Type, Zone: kind.Zone}
		if !reg.ownsPool(pool) {
			continue
		}
		machineSize := reg.machineTypes[kind.Type].Size
		fitting := map[bool][]string{} // names, by whether it is a spot machine
		for _, machine := range free[pool] {
			if (want.Spot || !machine.spot) && size.Fits(size.FreeFor(machineSize, machine.free)) {
				fitting[machine.spot] = append(fitting[machine.spot], machine.name)
			}
		}
		for _, spot := range []bool{false, true} {
			names := fitting[spot]
			if len(names) == 0 {
				continue
			}
			sample := &peerspb.Sample{Want: want.Id, Kind: kind, Machines: names}
			if !want.Scan {
				sample.Machines = reg.draw(names, want.Draws)
			}
			samples = append(samples, sample)
		}
	}
	return samples
}

// draw draws names at random, with replacement.
func (reg *Registry) draw(names []string, draws uint32) []string {
	var drawn []string
	for range draws {
		drawn = append(drawn, names[reg.random.IntN(len(names))])
	}
	return drawn
}

func sizeFromWire(size *peerspb.Size) model.Size {
	return model.Size{CPUs: size.GetCpus(), GPUs: size.GetGpus(), MemoryGB: size.GetMemoryGb()}
}
