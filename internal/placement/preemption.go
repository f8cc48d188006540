package placement

import (
	"slices"
	"time"

	"github.com/marlwood/marlwood/internal/fairqueue"
	"github.com/marlwood/marlwood/internal/model"
)

// reservationTime is how long preempted capacity stays reserved for the job that it was preempted for, after the
// time that the victims get to write their checkpoints.
const reservationTime = 15 * time.Second

// preemptionRetryAfter is how long a job waits for preempted capacity before more is preempted for it.
const preemptionRetryAfter = 3 * time.Second

// preemptionSearchRetryRounds is the number of rounds after a search for capacity to preempt before the next
// search for the same job, if it is an array or a service. These can start in part, with the capacity found.
const preemptionSearchRetryRounds = 8

// preemptionSearches limits the number of jobs for which one round searches for capacity to preempt, because
// each search examines every machine.
var preemptionSearches = fairqueue.Shares{InOrder: 8, ByLastTurn: 4, MaxPerJob: 1}

// Preempt stops tasks for jobs for which a full scan found no capacity: tasks of lower priority, and tasks that
// other teams run beyond their guarantees. Tasks that lose least are stopped first. The capacity, including the
// part that is already free, is reserved for the job.
//
// Guard: every round knows all jobs for which no machine has capacity. Without preemptionSearches, a round
// searched for every one of them; a few thousand of them would take all of a leader's processor time.
func (cs *ClusterState) Preempt(now time.Time) {
	if !cs.takeoverComplete {
		return
	}
	pending, candidates := cs.jobsToPreemptFor(now)
	unsatisfiable := map[preemptorKey][]gangRequest{}
	for _, share := range preemptionSearches.Divide(candidates) {
		job := pending[share.Index]
		job.lastPreemptSearch = cs.roundNumber
		key := preemptorKeyOf(job, now)
		request := gangRequest{job.Spec.Size, 1, job.Spec.OneZone}
		if job.Spec.Shape == model.Gang {
			request.tasks = job.Unplaced()
		}
		if slices.ContainsFunc(unsatisfiable[key], func(earlier gangRequest) bool { return earlier.covers(request) }) {
			continue
		}
		if !cs.preemptFor(now, job) && !job.restrictedByOwnZones() {
			unsatisfiable[key] = append(unsatisfiable[key], request)
		}
	}
}

// jobsToPreemptFor returns the pending jobs for which tasks may be preempted now, in the queue's order, and the
// candidates by which the searches are divided among them.
func (cs *ClusterState) jobsToPreemptFor(now time.Time) (pending []*Job, candidates []fairqueue.Candidate) {
	for _, job := range cs.queue(now) {
		if !job.mayPreemptAnything(now) || cs.preemptedRecently(job, now) {
			continue
		}
		pending = append(pending, job)
		candidates = append(candidates, fairqueue.Candidate{Tasks: 1, LastTurn: job.lastPreemptSearch})
	}
	return pending, candidates
}

// mayPreemptAnything reports whether a job has the priority or the guarantee to preempt, and isn't a suspected
// poison job.
func (j *Job) mayPreemptAnything(now time.Time) bool {
	return (j.preemptionPriority(now) > 0 || j.queueKey.guaranteed == 0) && !j.SuspectedPoison()
}

// preemptedRecently reports whether it is too soon to preempt for a job: it hasn't waited for long enough, or a
// preemption or a search for it was made a short time ago.
func (cs *ClusterState) preemptedRecently(job *Job, now time.Time) bool {
	return job.roundsWithoutCapacity <= cs.opt.ScanAfter ||
		now.Sub(job.unplacedSince) < cs.opt.PreemptWait ||
		now.Sub(job.preemptedAt) < preemptionRetryAfter ||
		job.Spec.Shape != model.Gang && job.lastPreemptSearch > 0 && cs.roundNumber-job.lastPreemptSearch < preemptionSearchRetryRounds
}

// restrictedByOwnZones reports whether the zones of a job's other tasks restrict where it may run. A search
// without result for such a job doesn't imply that searches for other jobs find nothing.
func (j *Job) restrictedByOwnZones() bool {
	return j.Spec.Spread || (j.Spec.OneZone && j.bound.Len() > 0)
}

// preemptorKey holds the properties of a job, other than the requested capacity, that determine which tasks may
// be preempted for it.
type preemptorKey struct {
	capacityView
	team       string
	guaranteed int
}

// preemptorKeyOf returns the preemptor key of a job.
func preemptorKeyOf(job *Job, now time.Time) preemptorKey {
	view := capacityView{poolSet: job.poolSet, spot: job.Spec.Spot, priority: job.preemptionPriority(now), class: job.Spec.Class}
	return preemptorKey{capacityView: view, team: job.Spec.Team, guaranteed: job.queueKey.guaranteed}
}

// preemptFor searches for capacity that may be preempted for a job, and preempts it. It returns false if the
// search found none, and true if it found some or if the job's own limit or guarantee made a search pointless.
func (cs *ClusterState) preemptFor(now time.Time, job *Job) bool {
	tasks := cs.tasksWithinLimit(job)
	if tasks == 0 || (job.Spec.Shape == model.Gang && tasks < job.Unplaced()) {
		return true // its team's limit holds it back, which implies nothing for other jobs
	}
	if job.Spec.Shape != model.Gang {
		tasks = min(tasks, cs.opt.TasksPerRound)
		if job.preemptionPriority(now) <= 0 {
			tasks = min(tasks, cs.slotsWithinGuarantee(job))
		}
		if tasks <= 0 {
			return true
		}
	}
	plan := cs.planPreemption(now, job, tasks)
	if plan == nil || len(plan.assignments) == 0 {
		return false
	}
	cs.executePreemption(now, job, plan)
	return true
}

// slotsWithinGuarantee returns how many more tasks of a job fit into its team's guarantee.
func (cs *ClusterState) slotsWithinGuarantee(job *Job) int {
	size := model.Size{CPUs: job.Spec.Size.CPUs, GPUs: job.Spec.Size.GPUs} // memory is not guaranteed
	return size.Slots(cs.teams[job.Spec.Team].Guarantee.Sub(job.usage.size))
}

// executePreemption stops a plan's victims and reserves the capacity for the job.
//
// Guard: a job for which a full scan found no capacity is tried again when an event may have freed capacity.
// Capacity that the end of another job's reservation frees, or that a plan finds without stopping any task, came
// without such an event: in a quiet cluster the job waited forever beside it. So both count as capacity events.
//
// Guard: the capacity is also reserved against the victims' jobs, even if they have a higher priority and only
// a guarantee allowed the preemption, and at least until the victims have written their checkpoints. With a
// lower rank or a shorter time the victims' jobs took the capacity back at once, and it was preempted again,
// forever (simulation seed 2200008432).
func (cs *ClusterState) executePreemption(now time.Time, job *Job, plan *preemptionPlan) {
	priority, longestGrace := job.preemptionPriority(now), time.Duration(0)
	for _, victim := range plan.victims {
		priority, longestGrace = max(priority, victim.job.effectivePriority), max(longestGrace, graceFor(victim.job.Spec))
	}
	job.preemptedAt, job.reservedUntil = now, now.Add(reservationTime+longestGrace)
	cs.capacityEvents++
	for _, assigned := range plan.assignments {
		reservation := reservedCapacity{size: job.Spec.Size.Times(assigned.tasks), rank: priority, until: job.reservedUntil}
		if old := assigned.machine.reserved.At(job.Spec.ID); now.Before(old.until) { // earlier victims may still write checkpoints
			reservation.rank, reservation.until = max(reservation.rank, old.rank), later(reservation.until, old.until)
		}
		job.reservedUntil = later(job.reservedUntil, reservation.until)
		assigned.machine.reserve(job.Spec.ID, reservation)
	}
	cs.stopVictims(plan.victims)
}

// stopVictims stops the victims of a preemption, and each gang as a whole.
//
// Guard: a gang is stopped by the first of its members. When each of them stopped all others once more, a preemption of
// a gang of thousands of members held the leader's loop for the square of them.
func (cs *ClusterState) stopVictims(victims []*Task) {
	stopped := map[*Job]bool{}
	for _, victim := range victims {
		if victim.job.Spec.Shape == model.Gang {
			if stopped[victim.job] {
				continue
			}
			stopped[victim.job] = true
		}
		cs.stopTask(victim, graceFor(victim.job.Spec))
	}
}

// preemptToAvoidFetch preempts other capacity for a gang that found free capacity, if the preemption loses at
// most half of the CPU time that the gang's machines would be idle while they fetch its image. It reports
// whether it preempted.
func (cs *ClusterState) preemptToAvoidFetch(now time.Time, job *Job, found []*Task) bool {
	if job.preemptionPriority(now) <= 0 || job.SuspectedPoison() || now.Sub(job.preemptedAt) < preemptionRetryAfter {
		return false
	}
	var fetches time.Duration
	for _, task := range found {
		fetches += cs.fetchLoss(job, task.machine)
	}
	if fetches == 0 {
		return false
	}
	plan := cs.planPreemption(now, job, len(found))
	if plan == nil || 2*plan.loss > fetches {
		return false
	}
	cs.executePreemption(now, job, plan)
	return true
}

// StopTasksOnLeavingMachines stops tasks on machines that are to be emptied. On a machine that the provider has
// announced to recall, it stops the running tasks that write checkpoints, while there is still time to write one. It
// also advances the drains, and stops tasks that their machine may soon be unable to report.
func (cs *ClusterState) StopTasksOnLeavingMachines(now time.Time) {
	for _, machine := range cs.machines.All() {
		if machine.load.ReportBytes > model.MaxTaskReportBytes && machine.Phase == Current {
			cs.stopUnreportable(machine)
		}
		if machine.TerminationNotice < 0 || machine.Phase != Current {
			continue
		}
		for _, task := range machine.tasks.All() {
			if task.stopping || task.job.Spec.CheckpointEvery == 0 || task.state != model.TaskRunning {
				continue
			}
			cs.stopTask(task, graceFor(task.job.Spec))
		}
	}
	cs.advanceDrains(now)
}
