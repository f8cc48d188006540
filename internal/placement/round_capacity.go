package placement

import (
	"slices"
	"strings"
	"time"

	"github.com/marlwood/marlwood/internal/capacityindex"
	"github.com/marlwood/marlwood/internal/fairqueue"
	"github.com/marlwood/marlwood/internal/model"
)

// A sampling round tries a bounded number of tasks. Most of them belong to the first jobs in the queue's order
// for which some machine may have capacity; a share belongs to those of these jobs that were considered longest
// ago (package fairqueue). A job for which no machine has capacity is detected without trying its tasks.
// Therefore a job for which there is capacity is considered within fairqueue.Shares.MaxRounds rounds, whatever
// is at the head of the queue.
//
// Guard: a round used to spend its number of tasks on the head of the queue, whether there was capacity for
// them or not. With a few dozen services at the head that fitted nowhere, and some task ending in every
// round, nothing behind them was tried for minutes, beside 500 empty machines.

// roundShares returns how many tasks a sampling round tries. The number grows with the cluster: with a fixed
// number, thousands of machines were empty for a minute beside a queue that had work for all of them.
func (cs *ClusterState) roundShares() fairqueue.Shares {
	inOrder := max(cs.opt.TasksPerRound, cs.machines.Len()/16)
	return fairqueue.Shares{InOrder: inOrder, ByLastTurn: max(1, inOrder/4), MaxPerJob: 4}
}

// market identifies the spot or the on-demand machines of a pool.
type market struct {
	pool model.Pool
	spot bool
}

// roundCapacity caches what a sampling round has found out about the free capacity. Each part is computed when
// it is first needed.
type roundCapacity struct {
	indexed    bool
	unreserved map[market]*capacityindex.Index // usable machines without reservations
	reserved   []*Machine                      // usable machines with reservations
	views      map[capacityView]*capacityindex.Index
	gangSlots  map[gangDemand]map[string]int  // by zone
	unfitGangs map[capacityView][]gangRequest // requests for which there is no capacity
}

// gangRequest is the capacity that a gang, or one task, requests.
type gangRequest struct {
	size    model.Size
	tasks   int
	oneZone bool
}

// covers reports whether there is no capacity for another request if there is none for this one.
func (r gangRequest) covers(other gangRequest) bool {
	return r.size.AtMost(other.size) && r.tasks <= other.tasks && (other.oneZone || !r.oneZone)
}

// capacityView holds the properties of a job, other than its size, that determine which free capacity it may use.
type capacityView struct {
	poolSet  int
	spot     bool
	priority int
	boosted  bool
	class    string // empty: the job's class has no warm headroom
}

// gangDemand holds the properties of a gang that determine for how many of its tasks each zone has capacity.
type gangDemand struct {
	capacityView
	size model.Size
}

// maxGangScans is the maximum number of gang demands for which a round counts slots. Gangs with other demands
// are tried if there is capacity for one of their tasks. It also limits the gangs for which machines are
// uncordoned.
const maxGangScans = 8

// beginRoundCapacity starts a round and discards what the last round found out about the free capacity.
func (cs *ClusterState) beginRoundCapacity() {
	cs.roundNumber++
	cs.roundCapacity = roundCapacity{gangSlots: map[gangDemand]map[string]int{}, unfitGangs: map[capacityView][]gangRequest{}}
}

// poolSetOf returns the number of a set of pools. Jobs that may run on the same pools have the same number.
func (cs *ClusterState) poolSetOf(pools []model.Pool) int {
	var key strings.Builder
	for _, pool := range pools {
		key.WriteString(pool.Type + "\x00" + pool.Zone + "\x00")
	}
	if cs.poolSets == nil {
		cs.poolSets = map[string]int{}
	}
	n, ok := cs.poolSets[key.String()]
	if !ok {
		n = len(cs.poolSets)
		cs.poolSets[key.String()] = n
	}
	return n
}

// recordNoCapacity records that a job was considered in this round and found no capacity, or would have found
// none.
func (cs *ClusterState) recordNoCapacity(j *Job, now time.Time) {
	j.roundsWithoutCapacity++
	j.searchedAtEvent, j.lastRoundConsidered, j.lastEmptyRoundAt = cs.capacityEvents, cs.roundNumber, now
	if j.unplacedSince.IsZero() {
		j.unplacedSince = now
	}
}

// mayFit reports whether there may be capacity for a task of a job, or for all unplaced tasks of a gang. If it
// returns false, there certainly is none.
func (cs *ClusterState) mayFit(job *Job, now time.Time) bool {
	pools := cs.poolsFor(job)
	if len(pools) == 0 {
		return false
	}
	if !now.After(job.reservedUntil) {
		return true // capacity is reserved for it
	}
	view := capacityView{poolSet: job.poolSet, spot: job.Spec.Spot, priority: job.effectivePriority, boosted: job.boostedInOverload}
	if cs.classes.At(job.Spec.Class) != nil {
		view.class = job.Spec.Class
	}
	index := cs.roundCapacity.views[view]
	if index == nil {
		index = cs.capacityIndexFor(job, pools, now)
		cs.roundCapacity.views[view] = index
	}
	if !index.MayFit(job.leastNeed) {
		return false
	}
	return job.Spec.Shape != model.Gang || job.Unplaced() == 1 || cs.gangMayFit(job, view, now)
}

// leastNeedOn returns the least free capacity with which a machine of one of the pools runs a task of a job.
func (cs *ClusterState) leastNeedOn(pools []model.Pool, job *Job) model.Size {
	kept := model.MaxTaskReportBytes
	for _, pool := range pools {
		kept = min(kept, -job.Spec.Size.FreeFor(cs.types[pool.Type].Size, model.Size{}).ReportBytes)
	}
	need := job.Spec.Size
	need.ReportBytes += kept
	return need
}

// capacityIndexFor returns an index of the free capacity that a job may use.
func (cs *ClusterState) capacityIndexFor(job *Job, pools []model.Pool, now time.Time) *capacityindex.Index {
	round := &cs.roundCapacity
	if !round.indexed {
		round.indexMachines(cs.machines, cs.types)
	}
	index := &capacityindex.Index{}
	allowed := make(map[model.Pool]bool, len(pools))
	for _, pool := range pools {
		allowed[pool] = true
		for _, spot := range []bool{false, true} {
			if unreserved := round.unreserved[market{pool, spot}]; unreserved != nil && job.allowsMarket(spot) {
				index.Merge(unreserved)
			}
		}
	}
	for _, machine := range round.reserved {
		if allowed[machine.Pool] && job.allowsMarket(machine.Spot) {
			index.Add(cs.free(machine, job, now))
		}
	}
	return index
}

// indexMachines indexes the free capacity of the usable machines. Machines with reservations are only listed,
// because their free capacity depends on the job.
func (r *roundCapacity) indexMachines(machines *model.Table[string, *Machine], types map[string]model.MachineType) {
	r.indexed = true
	r.unreserved = map[market]*capacityindex.Index{}
	r.views = map[capacityView]*capacityindex.Index{}
	for _, machine := range machines.All() {
		if !machine.usable() {
			continue
		}
		if machine.reserved.Len() > 0 {
			r.reserved = append(r.reserved, machine)
			continue
		}
		key := market{machine.Pool, machine.Spot}
		if r.unreserved[key] == nil {
			r.unreserved[key] = &capacityindex.Index{}
		}
		r.unreserved[key].Add(machine.freeOf(types[machine.Pool.Type].Size))
	}
}

// gangMayFit reports whether there may be capacity for all unplaced tasks of a gang.
func (cs *ClusterState) gangMayFit(job *Job, view capacityView, now time.Time) bool {
	request := gangRequest{job.Spec.Size, job.Unplaced(), job.Spec.OneZone}
	if slices.ContainsFunc(cs.roundCapacity.unfitGangs[view], func(unfit gangRequest) bool { return unfit.covers(request) }) {
		return false
	}
	slotsByZone, known := cs.gangSlots(job, gangDemand{view, job.Spec.Size}, now)
	if !known {
		return true
	}
	total, most := 0, 0
	for _, n := range slotsByZone {
		total, most = total+min(n, job.Spec.ZoneCap()), max(most, n)
	}
	if total >= job.Unplaced() && (!job.Spec.OneZone || most >= job.Unplaced()) {
		return true
	}
	if !job.Spec.Spread { // a spread job's cap on the tasks in a zone doesn't apply to other jobs
		cs.roundCapacity.unfitGangs[view] = append(cs.roundCapacity.unfitGangs[view], request)
	}
	return false
}

// gangSlots counts for how many of a gang's tasks each zone has capacity. known is false if the demand has not
// been counted and the round has already counted maxGangScans demands.
func (cs *ClusterState) gangSlots(job *Job, demand gangDemand, now time.Time) (slotsByZone map[string]int, known bool) {
	slotsByZone, known = cs.roundCapacity.gangSlots[demand]
	if known {
		return slotsByZone, true
	}
	if len(cs.roundCapacity.gangSlots) >= maxGangScans {
		return nil, false
	}
	slotsByZone = map[string]int{}
	for _, machine := range cs.machines.All() {
		if machine.usable() && job.allowsMarket(machine.Spot) && job.Spec.Allows(cs.types[machine.Pool.Type], machine.Pool.Zone) {
			slotsByZone[machine.Pool.Zone] += job.Spec.Size.Slots(cs.free(machine, job, now))
		}
	}
	cs.roundCapacity.gangSlots[demand] = slotsByZone
	return slotsByZone, true
}
