package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

// UnmetDemand is the part of a job's demand for which no machine has capacity. The autoscaler scales out for it.
type UnmetDemand struct {
	Job       string // the job, or the class if the demand is for warm headroom
	Size      model.Size
	Tasks     int
	Pools     []model.Pool
	Spot      bool
	SpotOnly  bool
	AllAtOnce bool // set for gangs, services and warm headroom
	OneZone   bool
	Headroom  bool // the demand is for warm headroom
	Estimate  time.Duration
	Horizon   time.Duration // time within which the tasks should end

	job *Job
}

// horizon returns the time within which an array's tasks may run one after the other without missing the deadline or
// the class's objective. It is at most the Horizon option, unless more than twice that time is left: then it is half of
// the time left. It never exceeds the option for a job whose team has a limit: once the limit holds such a job back, the
// job can't catch up.
func (cs *ClusterState) horizon(job *Job, now time.Time) time.Duration {
	horizon := time.Duration(0)
	consider := func(limit time.Duration) {
		left := job.Accepted.Add(limit).Sub(now)
		if limit > 0 && left > job.Spec.Estimate && (horizon == 0 || left < horizon) {
			horizon = left
		}
	}
	objective := cs.opt.Aims[job.Spec.Class]
	consider(objective.Finished * 8 / 10)
	consider(job.dueWithin * 9 / 10)
	if objective.Wait > 0 {
		consider(objective.Wait*8/10 + job.Spec.Estimate)
	}
	limit := cs.configuredLimit(job)
	switch {
	case horizon == 0:
		return cs.opt.Horizon
	case limit.CPUs > 0 || limit.GPUs > 0:
		return min(horizon, cs.opt.Horizon)
	}
	return min(horizon, max(horizon/2, cs.opt.Horizon))
}

// maxRoundsUnconsidered is the number of rounds without a turn after which no machines are requested for a job: there
// may be capacity on which its tasks haven't been tried.
const maxRoundsUnconsidered = 8

// UnmetDemands returns the demand for which the present machines have no capacity, in the order of the queue. Tasks of
// an array that these machines can run one after the other within the array's horizon are left out.
//
// Guard: the demand of a team's earlier jobs is subtracted from the team's limit only. When it was subtracted from the
// tasks of each later job, nearly all demand of a team with many jobs was lost: with a thousand tasks pending, machines
// were requested for a few dozen.
//
// Guard: without maxRoundsUnconsidered, machines were requested for jobs that got no turn because the jobs at the head
// of the queue used up every round. The machines stayed idle, were returned and were requested again: 7000 machines for
// 4000 starts.
//
// Guard: the demand depends on the free capacity, not on whether the last round placed something. A large array that
// gets a few slots in every round still needs machines.
func (cs *ClusterState) UnmetDemands(now time.Time) []UnmetDemand {
	var demands []UnmetDemand
	requested := map[string]model.Size{} // by team: total size requested by earlier jobs of the queue
	queue := append(cs.queue(now), cs.upcoming...)
	capacity := cs.newFreeCapacity(now, queue)
	trial := longestUntried(queue, now)
	for _, job := range queue {
		if job.SuspectedPoison() && job != trial || cs.roundNumber-job.lastRoundConsidered > maxRoundsUnconsidered {
			continue
		}
		tasks := min(cs.tasksWithinLimitAfter(job, requested[job.Spec.Team]), max(0, cs.holdableTasks(job)-job.Bound()))
		if job == trial && job.Spec.Shape != model.Gang {
			tasks = min(tasks, 1)
		}
		if limit := cs.teams[job.Spec.Team].Limit; limit.CPUs > 0 || limit.GPUs > 0 {
			requested[job.Spec.Team] = requested[job.Spec.Team].Add(job.Spec.Size.Times(tasks))
		}
		if tasks == 0 || (job.Spec.Shape == model.Gang && tasks < job.Unplaced()) {
			continue
		}
		demands = append(demands, cs.unmetDemandsOf(job, tasks, capacity, now)...)
	}
	demands = append(demands, cs.drainDemands(now, capacity)...)
	return append(demands, cs.headroomDemands()...)
}

// unmetDemandsOf allocates free capacity to a number of a job's tasks, and returns the demand of those for which there is
// none.
func (cs *ClusterState) unmetDemandsOf(job *Job, tasks int, capacity *freeCapacity, now time.Time) []UnmetDemand {
	demand := UnmetDemand{
		Job:       job.Spec.ID,
		Size:      job.Spec.Size,
		Pools:     cs.poolsFor(job),
		Spot:      job.Spec.Spot,
		SpotOnly:  job.queueKey.waitsForSpot,
		AllAtOnce: job.Spec.Shape != model.Array,
		OneZone:   job.Spec.OneZone,
		Estimate:  job.Spec.Estimate,
		Horizon:   cs.horizon(job, now),
		job:       job,
	}
	if job.Spec.Spread {
		return capacity.allocateSpread(demand, tasks)
	}
	zone := ""
	if demand.OneZone {
		zone = capacity.bestZone(job, demand.Pools, tasks)
		// Requested machines should be in the same zone as the present capacity for the job.
		demand.Pools = slices.Clone(demand.Pools)
		slices.SortStableFunc(demand.Pools, func(x, y model.Pool) int {
			return cmp.Compare(sortTrueFirst(x.Zone == zone), sortTrueFirst(y.Zone == zone))
		})
	}
	demand.Tasks = capacity.allocate(job, zone, tasks)
	if !demand.AllAtOnce {
		demand.Tasks = capacity.allocateOverTime(job, demand.Horizon, demand.Tasks)
	}
	if demand.Tasks <= 0 {
		return nil
	}
	cs.holdForGang(job, capacity.allocatedOn, now)
	return []UnmetDemand{demand}
}

// holdForGang holds the machines that have capacity for a part of a gang while the missing machines are requested. It
// does so until the BeginWithin option has passed since the gang was accepted.
//
// Guard: machines become ready one after the other. Without the hold, the first machines were returned as idle before
// the last one was up, and were requested again, over and over: a gang of seven tasks never started (simulation of
// regions, seed 1806).
func (cs *ClusterState) holdForGang(job *Job, machines []*Machine, now time.Time) {
	if job.Spec.Shape != model.Gang || now.Sub(job.Accepted) > cs.opt.BeginWithin {
		return
	}
	for _, machine := range machines {
		machine.heldForGangAt = now
	}
}

// HeldForPendingGang reports whether UnmetDemands, called with the same time, holds the machine for a gang for which
// more machines are requested.
func (m *Machine) HeldForPendingGang(now time.Time) bool { return m.heldForGangAt.Equal(now) }
