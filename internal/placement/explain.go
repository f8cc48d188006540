package placement

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/operators/operatorspb"
)

// The codes of the reasons why a job's tasks are not started. They are part of the interface to operators: a code
// never changes its meaning.
const (
	CodeRunning         = "RUNNING"         // all of the job's tasks are placed
	CodeCancelled       = "CANCELLED"       // the job is cancelled; its tasks are being stopped
	CodeTakeover        = "TAKEOVER"        // the leader is new, and not every machine has reported to it yet
	CodeOrphanedTasks   = "UNKNOWN_TASKS"   // tasks of unknown jobs are running, so their teams' usage is unknown
	CodeDependencies    = "WAITS_FOR_JOBS"  // jobs that the job depends on are not done
	CodeTeamLimit       = "TEAM_LIMIT"      // the team's limit allows no more tasks
	CodePreviousAttempt = "PIECES_LEFT"     // tasks of the previous attempt are still bound
	CodeRetry           = "RETRY_LATER"     // a start failed and is retried after a delay
	CodeSuspectedPoison = "SUSPECT"         // the job failed on several machines: one task at a time is tried
	CodeNoPool          = "NO_KIND"         // no machine type is allowed and large enough
	CodeDrained         = "DRAINED"         // all pools that the job may run on are drained
	CodePartlyDrained   = "PARTLY_DRAINED"  // some of the machines that the job may run on are drained, and the others have no capacity
	CodeNoCapacity      = "NO_ROOM"         // no machine has capacity
	CodeNoZoneCapacity  = "NO_ZONE_ROOM"    // there is capacity, but not enough in the zones where the tasks must run
	CodeFullReports     = "TOO_MANY_TASKS"  // the machines' heartbeats have no space for more tasks
	CodeBehind          = "QUEUED_BEHIND"   // jobs ahead in the queue take the capacity
	CodeProviderRefused = "CLOUD_REFUSED"   // the provider has no more machines in the job's pools
	CodeBooting         = "BOOTING"         // machines for the job are booting
	CodeNotRented       = "NOT_RENTED"      // no machine is rented for it, and why
	CodePreempting      = "ROOM_BEING_MADE" // tasks are being preempted for the job
	CodeStarting        = "STARTING"        // nothing holds the job back: it starts in the next rounds
)

// maxJobsAhead is the maximum number of jobs ahead in the queue that are named.
const maxJobsAhead = 5

// Explain returns the reasons why a job's tasks are not all running, by the rules that place them; nil if there is no
// such job. The caller adds the reasons that lie with the provider or with other jobs.
func (cs *ClusterState) Explain(id string, now time.Time) (out *operatorspb.ExplainResponse) {
	if j := cs.jobs.At(id); j != nil {
		cs.withReadOnly(func() { out = cs.explain(j, now) })
	}
	return out
}

func (cs *ClusterState) explain(job *Job, now time.Time) *operatorspb.ExplainResponse {
	queue := cs.queue(now)
	position := slices.Index(queue, job)
	explained := &explanation{
		cluster:  cs,
		job:      job,
		now:      now,
		response: &operatorspb.ExplainResponse{Job: cs.jobRow(job, now), Queue: uint32(len(queue))},
	}
	explained.response.Job.Place = uint32(position + 1)
	switch {
	case job.Cancelled:
		explained.cancelled()
		return explained.response
	case job.Unplaced() <= 0:
		explained.running()
		return explained.response
	}
	explained.orphanedTasks()
	explained.previousAttempt()
	explained.retry()
	explained.suspectedPoison()
	explained.teamLimit()
	explained.pools = cs.poolsFor(job)
	explained.noPool()
	explained.response.Rooms, explained.fullReports = cs.explainCapacity(job, explained.pools, now)
	explained.tooManyTasks()
	explained.preempting()
	explained.noCapacity()
	explained.partlyDrained()
	if position > 0 {
		explained.behind(queue[:position])
	}
	explained.starting()
	explained.expectedRelease()
	return explained.response
}

// explanation collects the reasons why a job's tasks are not all running. Its method for a code adds that reason if it
// applies.
type explanation struct {
	cluster *ClusterState
	job     *Job
	now     time.Time
	pools   []model.Pool // that the job may run on

	fullReports int // see explainCapacity
	response    *operatorspb.ExplainResponse
}

// add adds a reason. A zero until means that no end is known; names may be nil.
func (e *explanation) add(code string, until time.Time, names []string, format string, args ...any) {
	e.response.Reasons = append(e.response.Reasons, &operatorspb.Reason{
		Code:        code,
		Text:        fmt.Sprintf(format, args...),
		UntilUnixMs: unixMS(until),
		Names:       names,
	})
}

func (e *explanation) cancelled() {
	e.add(CodeCancelled, time.Time{}, nil, "cancelled; %d tasks are being stopped", e.job.bound.Len())
}

func (e *explanation) running() {
	e.add(CodeRunning, time.Time{}, nil, "all %d tasks that are not done are placed, %d run", e.job.bound.Len(), e.job.running)
}

func (e *explanation) orphanedTasks() {
	if n := e.cluster.orphanedTasks(); n > 0 && e.cluster.takeoverComplete {
		e.add(CodeOrphanedTasks, time.Time{}, nil, "%d tasks of unknown jobs run; nothing starts until they are gone", n)
	}
}

func (e *explanation) previousAttempt() {
	if (e.job.Spec.Shape == model.Gang || e.job.SuspectedPoison()) && e.job.bound.Len() > 0 {
		e.add(CodePreviousAttempt, time.Time{}, e.job.machineNames(),
			"%d tasks of an earlier attempt keep their places until they exit", e.job.bound.Len())
	}
}

func (e *explanation) retry() {
	if e.now.Before(e.job.retryAt) {
		e.add(CodeRetry, e.job.retryAt, nil, "the last start failed; the next try is in %v",
			e.job.retryAt.Sub(e.now).Round(100*time.Millisecond))
	}
}

func (e *explanation) suspectedPoison() {
	if !e.job.SuspectedPoison() {
		return
	}
	names := make([]string, 0, len(e.job.failedOn))
	for name := range e.job.failedOn {
		names = append(names, name)
	}
	slices.Sort(names)
	e.add(CodeSuspectedPoison, time.Time{}, names,
		"failed on %d machines since a task of it was done, last at %s: one task at a time is tried, and a machine is rented for a try %v later if none has room",
		len(names), e.job.lastFailureAt().UTC().Format(time.RFC3339), trialInterval)
}

func (e *explanation) teamLimit() {
	job := e.job
	tasks := e.cluster.tasksWithinLimit(job)
	if tasks > 0 && (job.Spec.Shape != model.Gang || tasks >= job.Unplaced()) {
		return
	}
	team, requested := e.cluster.teams[job.Spec.Team], job.Spec.Size
	if job.Spec.Shape == model.Gang {
		requested = requested.Times(job.Unplaced())
	}
	used := job.usage.size
	if limit := team.Limit.GPUs; limit > 0 && used.GPUs+requested.GPUs > limit {
		e.add(CodeTeamLimit, time.Time{}, []string{team.Name}, "team %s uses %g of its limit of %g GPUs, and this needs %g more",
			team.Name, used.GPUs, limit, requested.GPUs)
		return
	}
	e.add(CodeTeamLimit, time.Time{}, []string{team.Name}, "team %s uses %g of its limit of %g CPUs, and this needs %g more (guaranteed: %g)",
		team.Name, used.CPUs, team.Limit.CPUs, requested.CPUs, team.Guarantee.CPUs)
}

// noPool adds the reason why no pool is left for the job: all of its pools are drained, or it has none.
func (e *explanation) noPool() {
	if len(e.pools) > 0 {
		return
	}
	cs, spec := e.cluster, e.job.Spec
	var drained []string
	for pool := range cs.owners {
		if machineType, ok := cs.types[pool.Type]; ok && spec.Allows(machineType, pool.Zone) && cs.poolDrained(pool) {
			drained = append(drained, pool.Type+" in "+pool.Zone)
		}
	}
	slices.Sort(drained)
	if len(drained) > 0 {
		e.add(CodeDrained, time.Time{}, drained, "every kind of machine that it may run on is drained: %s", e.drains())
		return
	}
	e.add(CodeNoPool, time.Time{}, spec.Types, "no known kind of machine takes a task of %s with the zone and the types that it allows", sizeText(spec.Size))
}

func (e *explanation) preempting() {
	if names, until := e.cluster.reservedFor(e.job, e.now); len(names) > 0 {
		e.add(CodePreempting, until, names, "tasks are being stopped on %d machines to make room for it", len(names))
	}
}

// tooManyTasks adds that machines have the resources for a task, but no space for it in their heartbeats.
func (e *explanation) tooManyTasks() {
	spec := e.job.Spec
	if holdable := e.cluster.holdableTasks(e.job); spec.Shape != model.Array && holdable < spec.Tasks {
		e.add(CodeFullReports, time.Time{}, nil, "as many machines as its team's limit is worth can report %d of its %d tasks", holdable, spec.Tasks)
		return
	}
	if e.fullReports > 0 {
		e.add(CodeFullReports, time.Time{}, nil, "%d machines have the resources for a task of it, and no place for one more task in their reports", e.fullReports)
	}
}

// noCapacity adds that no machine has capacity, or that the machines with capacity are not in the zones where the
// job's tasks must run.
func (e *explanation) noCapacity() {
	fits := 0
	for _, row := range e.response.Rooms {
		fits += int(row.Fits)
	}
	spec := e.job.Spec
	switch {
	case len(e.pools) == 0:
	case fits == 0:
		e.add(CodeNoCapacity, time.Time{}, nil, "no machine that it may run on has room for %s", sizeText(spec.Size))
	case spec.Shape == model.Gang:
		e.noCapacityForGang()
	case spec.Spread:
		if _, n := e.cluster.capacityForTasks(e.job, 1, nil, e.now); n == 0 {
			e.add(CodeNoZoneCapacity, time.Time{}, nil,
				"at most %s of its tasks may be in one zone, and there is room only where as many are", countOf(spec.ZoneCap(), spec.Tasks))
		}
	case spec.OneZone && !slices.ContainsFunc(e.response.Rooms, e.fitsInZone):
		e.add(CodeNoZoneCapacity, time.Time{}, nil, "all of its tasks must be in one zone, and there is no room where the others are")
	}
}

// partlyDrained adds the drains that keep the job from some machines, if the others have no capacity for it.
func (e *explanation) partlyDrained() {
	lacksCapacity := slices.ContainsFunc(e.response.Reasons, func(reason *operatorspb.Reason) bool {
		return reason.Code == CodeNoCapacity || reason.Code == CodeNoZoneCapacity
	})
	if drains := e.drains(); lacksCapacity && drains != "" {
		e.add(CodePartlyDrained, time.Time{}, nil, "some machines that it may run on are drained: %s", drains)
	}
}

// drains returns the text for the drains of pools and machines that the job may run on.
func (e *explanation) drains() string {
	var texts []string
	for _, drain := range e.cluster.drains.All() {
		if e.cluster.keepsJobOut(drain, e.job) {
			texts = append(texts, drain.text())
		}
	}
	return strings.Join(texts, "; ")
}

func (e *explanation) noCapacityForGang() {
	job := e.job
	assignments, n := e.cluster.capacityForTasks(job, job.Unplaced(), nil, e.now)
	if n >= job.Unplaced() {
		return
	}
	where := ""
	if len(assignments) > 0 && job.Spec.OneZone {
		where = ", the most in one zone, " + assignments[0].machine.Pool.Zone
	}
	e.add(CodeNoZoneCapacity, time.Time{}, nil, "it starts whole or not at all: %s pieces find room now%s", countOf(n, job.Unplaced()), where)
}

// fitsInZone reports whether a pool has capacity and its zone is allowed by the job's other tasks.
func (e *explanation) fitsInZone(row *operatorspb.Room) bool {
	return row.Fits > 0 && e.job.zoneAllows(row.Zone)
}

// behind adds that other jobs are ahead in the queue, and names the first of them.
func (e *explanation) behind(ahead []*Job) {
	var names []string
	for _, job := range ahead[:min(len(ahead), maxJobsAhead)] {
		names = append(names, job.Spec.ID)
	}
	e.add(CodeBehind, time.Time{}, names, "%d jobs are before it: %s", len(ahead), orderReason(ahead[len(ahead)-1], e.job))
}

func (e *explanation) starting() {
	if len(e.response.Reasons) == 0 {
		e.add(CodeStarting, time.Time{}, nil, "nothing holds it back")
	}
}

// expectedRelease adds the estimated time at which capacity is next released for the job.
func (e *explanation) expectedRelease() {
	if end, what := e.cluster.nextRelease(e.job, e.pools, e.now); !end.IsZero() {
		e.response.Hopes = append(e.response.Hopes, &operatorspb.Hope{Text: what, AtUnixMs: unixMS(end)})
	}
}

// machineNames returns the sorted names of the machines that the job's tasks are bound to.
func (j *Job) machineNames() (names []string) {
	seen := map[*Machine]bool{}
	for _, t := range j.bound.All() {
		if !seen[t.machine] {
			seen[t.machine] = true
			names = append(names, t.machine.Name)
		}
	}
	slices.Sort(names)
	return names
}

// orderReason returns the text for why one job is ahead of another in the queue. It follows the order of the queue.
func orderReason(ahead, behind *Job) string {
	id := ahead.Spec.ID
	switch {
	case ahead.queueKey.priority > behind.queueKey.priority:
		return id + " has a higher priority"
	case ahead.queueKey.guaranteed < behind.queueKey.guaranteed:
		return id + " is within its team's guarantee, this is not"
	case ahead.queueKey.due.Before(behind.queueKey.due):
		return id + " is due sooner"
	}
	return id + " is older"
}

// compareJobIDs orders jobs by their IDs.
func compareJobIDs(x, y *Job) int { return cmp.Compare(x.Spec.ID, y.Spec.ID) }

// countOf returns the text for n of a total.
func countOf(n, total int) string { return strconv.Itoa(n) + " of " + strconv.Itoa(total) }

// sizeText returns the text for a size. Resources that are zero are omitted.
func sizeText(s model.Size) string {
	var parts []string
	for _, resource := range []struct {
		amount float64
		unit   string
	}{{s.CPUs, "CPUs"}, {s.GPUs, "GPUs"}, {s.MemoryGB, "GB"}} {
		if resource.amount > 0 {
			parts = append(parts, fmt.Sprintf("%g %s", resource.amount, resource.unit))
		}
	}
	return strings.Join(parts, ", ")
}
