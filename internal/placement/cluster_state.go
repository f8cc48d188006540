// Package placement holds the leader's view of the cluster, and decides which task runs on which machine.
//
// ClusterState holds the jobs, the machines, the tasks that are bound to machines, and the teams' quotas. It is
// deterministic and does no input or output: its inputs are events with the time at which they happened; its outputs
// are orders for machines, requests for samples, demands for machines, and records to be stored.
//
// The files are in three groups. The state and its changes: cluster_state.go, job*.go, machine*.go, tasks.go,
// reconcile.go, drain*.go, gang_claims.go, snapshot*.go. Decisions: the queue (queue.go, deadline_boost.go,
// inherited_priority.go), the sampling round and the placement rule (round*.go, placement_rule.go, replicas.go,
// reserved_capacity.go, gang_placement.go), preemption*.go, the demand for machines (free_capacity.go,
// unmet_demand.go, upcoming_jobs.go) and which machines to keep (scale_in.go, uncordon.go, warm_headroom.go).
// Operators' queries: explain*.go, blockers.go, operator_rows.go, drain_rows.go.
package placement

import (
	"log/slog"
	"maps"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/marlwood/marlwood/internal/accounting"
	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/peers/peerspb"
)

// ClusterState is the leader's view of jobs, machines, tasks and quotas during one term.
//
// Invariants: a task is bound to at most one machine. A bound task is in the tables of its job and of its machine,
// and counts in its team's usage. No task is started before the state is complete, that is, before every task that
// may be running on any machine is known.
type ClusterState struct {
	opt              Options
	token            uint64 // fencing token of the term
	types            map[string]model.MachineType
	teams            map[string]model.Team // with the limits in force; see SetLimits
	configuredTeams  map[string]model.Team // as in the settings
	takeoverComplete bool                  // see TryCompleteTakeover
	claimsResumed    bool                  // the claims that an earlier leader stored have been resumed
	readOnly         bool                  // an operator's query is being answered and must not change the state
	work             *atomic.Uint64        // see Work

	// Jobs and tasks.
	jobs      *model.Table[string, *Job]
	openJobs  openJobLog
	upcoming  []*Job                       // jobs whose dependencies are about to be met
	inherited map[string]InheritedPriority // by job
	bindCount uint64                       // number of bindings since the term started
	attempts  uint64                       // placement attempts

	// Machines. capacityEvents counts events that may have freed capacity.
	machines       *model.Table[string, *Machine]
	unreconciled   map[string]*Machine // see UnreconciledMachines
	misdirected    map[string]*Machine // machines that cycle through the controllers; see MisdirectedHeartbeat
	machinesInPool map[model.Pool]int
	terminated     map[string]time.Time                      // when a machine was terminated
	imageHolders   map[string]*model.Table[string, *Machine] // by image: the machines that have it cached
	exitedTasks    map[string]*model.Table[string, *Machine] // by job: the machines that report exited tasks of the job
	drains         *model.Table[string, *Drain]              // by target
	capacityEvents uint64

	// Controllers, and the orders that they have not acknowledged.
	owners       map[model.Pool]string
	lastResponse map[string]time.Time // when the last message was sent that was answered, by member
	outbox       map[string][]*peerspb.Order
	orderID      uint64 // of the last order

	// Teams' usage.
	teamUsages     map[string]*teamUsage
	ledger         *accounting.Ledger   // since the term started; nil: usage is not accounted
	usageWatermark accounting.Watermark // stored by the previous leader

	// Writes of job records.
	writeCount       uint64
	dueWrites        []*Job // buffer that DueWrites reuses
	splitParts       bool   // completion bitmaps are written in split parts
	maxPartsAccepted int    // limit on the parts of a transaction after a rejected write; 0: the limit of the settings

	// The queue, and the current round.
	lastQueue             []*Job
	queueCount            uint64
	classes               *model.Table[string, *classArrivals]
	longWaitingGatherTime time.Duration // time that jobs which have waited for long take to gather capacity, as of the last queue
	usableCPUs            float64       // last computed sum over the machines on which tasks may be started
	roundNumber           uint64
	roundPlan             []*plannedJob
	roundCapacity         roundCapacity
	noCapacity            map[capacityQuery]bool // queries for which no machine that has the image has enough free capacity

	// Numbers of the sets of pools that jobs may run on. poolsGeneration counts the changes of owners, types and drains.
	poolSets        map[string]int
	poolsGeneration uint64
}

// NewClusterState returns an empty cluster state for a term.
func NewClusterState(options Options, token uint64, teams map[string]model.Team, types map[string]model.MachineType) *ClusterState {
	if options.Log == nil {
		options.Log = slog.New(slog.DiscardHandler)
	}
	if options.Rand == nil {
		options.Rand = rand.New(rand.NewPCG(token, 0))
	}
	work := &atomic.Uint64{}
	cs := &ClusterState{
		work:            work,
		opt:             options,
		token:           token,
		types:           types,
		teams:           maps.Clone(teams),
		configuredTeams: teams,
		jobs:            model.NewTable[string, *Job]().CountVisits(work),
		openJobs:        openJobLog{list: 1},
		machines:        model.NewTable[string, *Machine]().CountVisits(work),
		unreconciled:    map[string]*Machine{},
		misdirected:     map[string]*Machine{},
		machinesInPool:  map[model.Pool]int{},
		terminated:      map[string]time.Time{},
		imageHolders:    map[string]*model.Table[string, *Machine]{},
		exitedTasks:     map[string]*model.Table[string, *Machine]{},
		drains:          model.NewTable[string, *Drain](),
		owners:          map[model.Pool]string{},
		lastResponse:    map[string]time.Time{},
		outbox:          map[string][]*peerspb.Order{},
		teamUsages:      map[string]*teamUsage{},
		classes:         model.NewTable[string, *classArrivals](),
	}
	cs.startAccounting()
	return cs
}

// SetOptions replaces the options, except for the random source and the hooks.
func (cs *ClusterState) SetOptions(options Options) {
	options.Rand, options.Log, options.OnOrder = cs.opt.Rand, cs.opt.Log, cs.opt.OnOrder
	cs.opt = options
	cs.startAccounting()
	cs.capacityEvents++
}

// SetTypes replaces the machine types.
func (cs *ClusterState) SetTypes(types map[string]model.MachineType) {
	cs.types = types
	cs.poolsGeneration++
	cs.poolSets = nil
}

// TakeoverComplete reports whether every task that may be running on any machine is known.
func (cs *ClusterState) TakeoverComplete() bool { return cs.takeoverComplete }

// TryCompleteTakeover marks the state as complete, and returns true, once each machine with a stored record has
// reported its tasks under our token, is terminated, or has an expired lease.
func (cs *ClusterState) TryCompleteTakeover() bool {
	if cs.takeoverComplete {
		return true
	}
	for _, machine := range cs.unreconciled {
		if machine.Recorded && (machine.Phase == Unseen || machine.Phase == Joining || machine.Phase == ExpiryReported) {
			return false
		}
	}
	cs.takeoverComplete = true
	cs.capacityEvents++
	return true
}

// TokenRenewed continues the term under a fresh fencing token. All bindings stay. Whether a start that was ordered
// under the old token took place is decided by the machine's first complete report under the new token.
func (cs *ClusterState) TokenRenewed(token uint64, now time.Time) {
	cs.token = token
	cs.outbox = map[string][]*peerspb.Order{}
	for _, machine := range cs.machines.All() {
		if machine.Phase != Expired {
			cs.setPhase(machine, Unseen, now)
			// Guard: PhaseSince is reset also for a machine that was unseen already, because the time without heartbeats
			// so far counts against the previous owner. Without the reset, the next owner counted as silent at once, and
			// the pool's machines were kept away from it (TestSilenceRestartsWithNewOwner).
			machine.PhaseSince = now
		}
		// The previous owner's reports do not apply to the next owner.
		machine.ScaleIn, machine.MissedHeartbeats, machine.Unreachable, machine.misdirectedAt = false, false, false, time.Time{}
		// Guard: the fresh token invalidates the start whose outcome is unknown. If the flag stayed set, a dead machine
		// would cause a request for a fresh token every two seconds, and under a token that young no lease can be known
		// to have expired.
		machine.StartOutcomeUnknown = false
		cs.updateUnreconciled(machine)
	}
}

// SetOwners replaces the pools' owners.
func (cs *ClusterState) SetOwners(owners map[model.Pool]string) {
	cs.owners = owners
	cs.poolsGeneration++
	cs.poolSets = nil
}

// Owners returns the owner of each pool.
func (cs *ClusterState) Owners() map[model.Pool]string { return cs.owners }

// RecordMemberResponse records when the message was sent that a member has answered.
//
// Guard: the answer may arrive much later than it was made. When the time of its arrival counted, a leader that had stood
// still for 30 s counted tasks as running until it went on, by an answer from before (TestAnswerFromBeforeStandstill).
func (cs *ClusterState) RecordMemberResponse(member string, sentAt time.Time) {
	cs.lastResponse[member] = later(cs.lastResponse[member], sentAt)
}

// Machines returns the machines by name.
func (cs *ClusterState) Machines() *model.Table[string, *Machine] { return cs.machines }

// UnreconciledMachines returns all machines except those that are current under the token, have a stored record,
// send their heartbeats in time, have no start of unknown outcome, and run no orphaned tasks. In a stable cluster of
// any size there are none. The order of iteration is random, so no decision may depend on it.
func (cs *ClusterState) UnreconciledMachines() map[string]*Machine { return cs.unreconciled }

// Work returns the number of steps taken so far: machines examined for a task, and jobs, machines and tasks visited.
// Unlike a time, it is the same on every machine and however busy that is.
func (cs *ClusterState) Work() uint64 { return cs.work.Load() }

// Jobs returns the jobs that are not finished, by ID.
func (cs *ClusterState) Jobs() *model.Table[string, *Job] { return cs.jobs }

// BindCount returns the number of bindings since the term started.
func (cs *ClusterState) BindCount() uint64 { return cs.bindCount }
