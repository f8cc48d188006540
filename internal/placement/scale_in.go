package placement

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

// Consolidate chooses machines for scale-in: those that aren't needed for the present load and the spare capacity. They
// get no more tasks and are returned when their last task ends. When there is unmet demand, machines that scale in are
// used again before new ones are requested.
//
// It is an exception to the paper's rule for returning machines: placing on the machine with the lowest share in use
// leaves every machine partly used and none idle.
func (cs *ClusterState) Consolidate(now time.Time) {
	if !cs.takeoverComplete {
		return
	}
	demanded, used := cs.cancelScaleInForDemand(now)
	var capacity float64
	var candidates []*Machine
	waitForSpot := map[*Job]bool{}
	for _, job := range cs.jobs.All() {
		waitForSpot[job] = job.Spec.CheckpointEvery > 0 && cs.waitsForSpot(job, now)
	}
	for _, machine := range cs.machines.All() {
		if machine.Phase != Current {
			continue
		}
		// Tasks on machines that scale in count as well: their successors will need capacity elsewhere.
		size := cs.types[machine.Pool.Type].Size
		load := cs.evictFrom(machine, waitForSpot)
		used += load.Share(size) * size.CPUs
		if !machine.usable() {
			continue
		}
		capacity += size.CPUs
		if !demanded[market{machine.Pool, machine.Spot}] && !machine.HoldsHeadroom() && now.Sub(machine.uncordonedAt) >= uncordonAfter {
			candidates = append(candidates, machine)
		}
	}
	cs.usableCPUs = capacity
	slices.SortFunc(candidates, cs.compareForScaleIn)
	for _, machine := range candidates {
		if size := cs.types[machine.Pool.Type].Size.CPUs; used <= (capacity-size)*(1-cs.opt.Spare) {
			cs.setScaleIn(machine, true)
			capacity -= size
		}
	}
}

// compareForScaleIn orders machines by descending price per CPU, and machines of equal price by ascending share in use.
func (cs *ClusterState) compareForScaleIn(x, y *Machine) int {
	return cmp.Or(
		cmp.Compare(cs.price(y), cs.price(x)),
		cmp.Compare(x.load.Share(cs.types[x.Pool.Type].Size), y.load.Share(cs.types[y.Pool.Type].Size)),
		cmp.Compare(x.Name, y.Name),
	)
}

// evictFrom stops the tasks of jobs that wait for spot machines if they run on an on-demand machine that scales in. The
// tasks write checkpoints and continue elsewhere. It returns the load of an on-demand machine without the tasks of such
// jobs, and the whole load of a spot machine.
//
// Guard: without eviction a machine is kept until its longest task ends. Six-minute tasks without an objective, spread
// over all machines of a cluster, kept every machine for minutes after the end of the work for which the machines had
// been requested.
func (cs *ClusterState) evictFrom(machine *Machine, waitForSpot map[*Job]bool) model.Size {
	load := machine.load
	for _, task := range machine.tasks.All() {
		if machine.Spot || !waitForSpot[task.job] {
			continue
		}
		load = load.Sub(task.job.Spec.Size)
		if machine.ScaleIn && !task.stopping && task.state == model.TaskRunning {
			cs.stopTask(task, graceFor(task.job.Spec))
		}
	}
	return load
}

// cancelScaleInForDemand cancels the scale-in of machines for unmet demand, the cheapest first. It returns the markets
// that have unmet demand, in which no machine may be chosen for scale-in, and the demanded CPUs.
func (cs *ClusterState) cancelScaleInForDemand(now time.Time) (demanded map[market]bool, cpus float64) {
	scalingIn := cs.machinesScalingIn()
	demanded = map[market]bool{}
	for _, demand := range cs.UnmetDemands(now) {
		if !demand.SpotOnly {
			cpus += demand.Size.CPUs * float64(demand.Tasks)
		}
		cs.cancelScaleInFor(demand, scalingIn, now)
		for _, pool := range demand.Pools {
			if !demand.SpotOnly {
				demanded[market{pool, false}] = true
			}
			if demand.Spot {
				demanded[market{pool, true}] = true
			}
		}
	}
	cs.uncordonForStarvedJobs(now)
	return demanded, cpus
}

// cancelScaleInFor cancels the scale-in of as many machines as a demand needs.
//
// Guard: the demand of a spread job is for some of its zones. When machines of its other zones were taken for it, those of
// the zones that lacked capacity stayed out of use, more were requested there, and they were not used either: half of a
// service's replicas didn't start for as long as another zone had machines that scaled in (TestScaleInIsCancelledInZoneOfDemand).
func (cs *ClusterState) cancelScaleInFor(demand UnmetDemand, scalingIn []*Machine, now time.Time) {
	job := demand.job
	left := demand.Tasks
	for _, machine := range scalingIn {
		if left <= 0 {
			break
		}
		if demand.SpotOnly && !machine.Spot {
			continue
		}
		if !machine.ScaleIn || !job.allowsMarket(machine.Spot) || !slices.Contains(demand.Pools, machine.Pool) {
			continue
		}
		if slots := job.Spec.Size.Slots(cs.free(machine, job, now)); slots > 0 {
			cs.setScaleIn(machine, false)
			left -= slots
		}
	}
}

// machinesScalingIn returns the machines whose scale-in could be cancelled, the cheapest first.
func (cs *ClusterState) machinesScalingIn() []*Machine {
	var machines []*Machine
	for _, machine := range cs.machines.All() {
		if machine.ScaleIn && !machine.Cordoned && machine.drain == nil && machine.Phase == Current && machine.TerminationNotice < 0 {
			machines = append(machines, machine)
		}
	}
	sort.Slice(machines, func(i, k int) bool {
		first, second := cs.price(machines[i]), cs.price(machines[k])
		return first < second || (first == second && machines[i].Name < machines[k].Name)
	})
	return machines
}
