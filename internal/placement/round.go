package placement

import (
	"context"
	"log/slog"
	"sort"
	"time"

	"github.com/marlwood/marlwood/internal/fairqueue"
	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/peers/peerspb"
)

// plannedJob is a job that a sampling round tries to place, with the tasks that it tries.
type plannedJob struct {
	job       *Job
	tasks     []int
	fullScan  bool // the pool owners return all machines with free capacity, not a sample
	requestID uint32

	now     time.Time     // when the job is placed
	holders holderSampler // samples the machines that have the job's image
}

// rescanAfter is how long a job for which a full scan found no machine waits for the next scan, if no event
// that may have freed capacity is recorded earlier.
//
// Guard: some changes free capacity without an event: warm headroom is released, a recall notice is withdrawn,
// the orphaned tasks of a machine are gone. In a quiet cluster a job waited forever beside such free capacity.
const rescanAfter = 10 * time.Second

// poolsFor returns the pools that a job's tasks may run on. The result is cached until poolsGeneration changes;
// the caller must not modify it.
func (cs *ClusterState) poolsFor(job *Job) []model.Pool {
	if job.poolsGeneration == cs.poolsGeneration && job.pools != nil {
		return job.pools
	}
	pools := []model.Pool{}
	for pool := range cs.owners {
		if machineType, ok := cs.types[pool.Type]; ok && job.Spec.Allows(machineType, pool.Zone) && !cs.poolDrained(pool) {
			pools = append(pools, pool)
		}
	}
	sort.Slice(pools, func(i, k int) bool {
		if pools[i].Type != pools[k].Type {
			return pools[i].Type < pools[k].Type
		}
		return pools[i].Zone < pools[k].Zone
	})
	job.pools, job.poolsGeneration = pools, cs.poolsGeneration
	job.poolSet, job.leastNeed = cs.poolSetOf(pools), cs.leastNeedOn(pools, job)
	return pools
}

// SampleRequests starts a sampling round. It returns the sample requests to send to the owners of the pools.
// It returns none while the cluster state is incomplete or tasks of unknown jobs run: nothing may start then.
func (cs *ClusterState) SampleRequests(now time.Time) []*peerspb.Want {
	cs.roundPlan = nil
	cs.expireMisdirected(now)
	if !cs.takeoverComplete || cs.orphanedTasks() > 0 {
		return nil
	}
	cs.beginRoundCapacity()
	pending, candidates := cs.roundCandidates(now)
	var requests []*peerspb.Want
	for _, share := range cs.roundShares().Divide(candidates) {
		job := pending[share.Index]
		planned := &plannedJob{
			job:       job,
			tasks:     job.pickTasks(share.Tasks),
			fullScan:  job.roundsWithoutCapacity >= cs.opt.ScanAfter || job.isLargeGang(share.Tasks),
			requestID: uint32(len(cs.roundPlan) + 1),
		}
		if len(planned.tasks) == 0 {
			continue
		}
		cs.roundPlan = append(cs.roundPlan, planned)
		requests = append(requests, cs.sampleRequest(planned))
	}
	return requests
}

// roundCandidates returns the pending jobs that may find capacity in this round, in the queue's order, and for
// each the number of tasks to try. Jobs that certainly find no capacity are recorded as tried.
func (cs *ClusterState) roundCandidates(now time.Time) (pending []*Job, candidates []fairqueue.Candidate) {
	for _, job := range cs.queue(now) {
		tasks := cs.tasksWithinLimit(job)
		switch {
		case tasks == 0, job.Spec.Shape == model.Gang && tasks < job.Unplaced(): // a gang starts whole or not at all
			continue
		case job.roundsWithoutCapacity > cs.opt.ScanAfter && job.searchedAtEvent == cs.capacityEvents && now.Sub(job.lastEmptyRoundAt) < rescanAfter:
			job.lastRoundConsidered = cs.roundNumber // no event since the last scan: another scan would only cost time
			continue
		case !cs.mayFit(job, now):
			cs.recordNoCapacity(job, now)
			continue
		case job.SuspectedPoison() && job.Spec.Shape != model.Gang:
			tasks = 1
		}
		pending = append(pending, job)
		candidates = append(candidates, fairqueue.Candidate{Tasks: tasks, Gang: job.Spec.Shape == model.Gang, LastTurn: job.lastRoundConsidered})
	}
	return pending, candidates
}

// sampleRequest returns the request for samples for a planned job.
func (cs *ClusterState) sampleRequest(planned *plannedJob) *peerspb.Want {
	spec := planned.job.Spec
	request := &peerspb.Want{
		Id:    planned.requestID,
		Size:  SizeMessage(spec.Size),
		Spot:  spec.Spot,
		Draws: uint32(len(planned.tasks) * cs.opt.Draws),
		Scan:  planned.fullScan,
	}
	for _, pool := range cs.poolsFor(planned.job) {
		request.Kinds = append(request.Kinds, &peerspb.Kind{Type: pool.Type, Zone: pool.Zone})
	}
	return request
}

// SizeMessage converts a size to the message that controllers exchange.
func SizeMessage(s model.Size) *peerspb.Size {
	return &peerspb.Size{Cpus: s.CPUs, Gpus: s.GPUs, MemoryGb: s.MemoryGB}
}

// Place ends a sampling round: it places the planned jobs on the machines that the pool owners sampled, and
// returns the number of placed tasks.
func (cs *ClusterState) Place(now time.Time, samples []*peerspb.Sample) int {
	byRequest := map[uint32][]*peerspb.Sample{}
	for _, sample := range samples {
		byRequest[sample.Want] = append(byRequest[sample.Want], sample)
	}
	if cs.takeoverComplete && !cs.claimsResumed {
		cs.claimsResumed = true
		cs.resumeClaims(now)
	}
	total := 0
	cs.noCapacity = map[capacityQuery]bool{}
	for _, planned := range cs.roundPlan {
		job := planned.job
		if cs.jobs.At(job.Spec.ID) != job || job.Cancelled || !cs.takeoverComplete {
			continue
		}
		placed := cs.placeJob(now, planned, byRequest[planned.requestID])
		total += placed
		if placed > 0 {
			job.roundsWithoutCapacity, job.unplacedSince, job.lastRoundConsidered = 0, time.Time{}, cs.roundNumber
		} else {
			cs.recordNoCapacity(job, now)
		}
	}
	cs.roundPlan = nil
	return total
}

// placeJob places a planned job's tasks on the sampled machines and returns how many.
func (cs *ClusterState) placeJob(now time.Time, planned *plannedJob, samples []*peerspb.Sample) int {
	planned.now = now
	cs.beginHolderSampling(planned)
	var placed int
	if planned.job.Spec.Shape == model.Gang {
		placed = cs.placeGang(now, planned, samples)
	} else {
		placed = cs.placeTasks(now, planned, samples)
	}
	cs.endHolderSampling(planned)
	return placed
}

// placeTasks starts each of a planned job's tasks that finds a machine, and returns how many it started.
func (cs *ClusterState) placeTasks(now time.Time, planned *plannedJob, samples []*peerspb.Sample) int {
	job, placed := planned.job, 0
	for nth, index := range planned.tasks {
		if job.bound.At(index) != nil || job.finished.Has(index) || cs.tasksWithinLimit(job) == 0 {
			continue
		}
		machine := cs.choose(job, cs.sampledMachines(planned, samples, nth, ""), now)
		if machine == nil {
			if planned.fullScan {
				break // all machines with free capacity were tried, and the other tasks need the same capacity
			}
			continue
		}
		cs.startTask(now, job, index, machine, cs.nextAttempt())
		placed++
	}
	return placed
}

// sampledMachines returns the machines sampled for the nth task of a planned job. Machines that have the job's
// image come first. If zone isn't empty, only machines in that zone are returned.
func (cs *ClusterState) sampledMachines(planned *plannedJob, samples []*peerspb.Sample, nth int, zone string) []*Machine {
	machines := cs.sampleHolders(planned, zone)
	for _, sample := range samples {
		if zone != "" && sample.Kind.GetZone() != zone {
			continue
		}
		names := sample.Machines
		if !planned.fullScan {
			from := min(nth*cs.opt.Draws, len(names))
			names = names[from:min(from+cs.opt.Draws, len(names))]
		}
		for _, name := range names {
			if machine := cs.machines.At(name); machine != nil {
				machines = append(machines, machine)
			}
		}
	}
	return machines
}

// nextAttempt returns the number of a new placement attempt. It contains the leader's fencing token, so that no
// two leaders use the same number.
func (cs *ClusterState) nextAttempt() uint64 {
	cs.attempts++
	return cs.token<<20 + cs.attempts
}

// newTask returns a task in state ordered, which the caller binds to the machine and orders there.
func (cs *ClusterState) newTask(now time.Time, job *Job, index int, machine *Machine, attempt uint64) *Task {
	return &Task{
		job:        job,
		index:      index,
		attempt:    attempt,
		machine:    machine,
		state:      model.TaskOrdered,
		orderToken: cs.token,
		stateSince: now,
	}
}

// startTask binds a task to a machine and orders its start.
func (cs *ClusterState) startTask(now time.Time, job *Job, index int, machine *Machine, attempt uint64) {
	task := cs.newTask(now, job, index, machine, attempt)
	cs.bind(task)
	cs.order(task)
}

// order sends the order to start a bound task.
func (cs *ClusterState) order(task *Task) {
	spec, machine := task.job.Spec, task.machine
	if cs.opt.Log.Enabled(context.Background(), slog.LevelDebug) { // a job may have very many tasks
		cs.opt.Log.Debug("start", "task", model.TaskName(spec.ID, task.index), "class", spec.Class, "machine", machine.Name,
			"type", machine.Pool.Type, "spot", machine.Spot, "image", spec.Image, "queued", task.stateSince.Sub(task.job.firstSeen))
	}
	machine.consumeReservation(task.job)
	task.orderID = cs.sendOrder(machine, &peerspb.Order{
		Op:      peerspb.Op_OP_START,
		Job:     spec.ID,
		Index:   uint32(task.index),
		Attempt: task.attempt,
	})
}
