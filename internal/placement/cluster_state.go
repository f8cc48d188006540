// Package placement holds the leader's view of the cluster, and decides which task runs on which machine.
//
// ClusterState knows the jobs, the machines, the tasks that are bound to machines, and the teams' quotas. It is
// deterministic and does no input or output: events go in with the time at which they happened; orders for
// machines, requests for samples, demands for machines and records to be stored come out.
//
// The files are in three groups. The state and what changes it: cluster_state.go, job*.go, machine*.go, tasks.go,
// reconcile.go, drain*.go, gang_claims.go, snapshot*.go. Decisions: the queue (queue.go, deadline_boost.go,
// inherited_priority.go), the sampling round and the placement rule (round*.go, placement_rule.go, replicas.go,
// reserved_capacity.go, gang_placement.go), preemption*.go, the demand for machines (free_capacity.go,
// unmet_demand.go, upcoming_jobs.go) and which machines to keep (scale_in.go, uncordon.go, warm_headroom.go).
// Queries of operators: explain*.go, blockers.go, operator_rows.go, drain_rows.go.
package placement

import (
	"log/slog"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/marlwood/marlwood/internal/accounting"
	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/peers/peerspb"
)

// ClusterState is the leader's view of jobs, machines, tasks and quotas during one term.
//
// Invariants: a task is bound to at most one machine, and is then in the tables of its job and of that machine
// and in its team's usage. Nothing is started before the state is complete, that is, before every task that may
// run anywhere is known.
type ClusterState struct {
	opt             Options
	token           uint64 // fencing token of the term
	types           map[string]model.MachineType
	teams           map[string]model.Team // with the limits in force; see SetLimits
	configuredTeams map[string]model.Team // as in the settings
	complete        bool                  // see TryComplete
	claimsResumed   bool                  // the claims that an earlier leader stored were resumed
	readOnly        bool                  // a query is answered: nothing may change

	// Jobs and tasks.
	jobs      *model.Table[string, *Job]
	upcoming  []*Job                       // jobs whose dependencies are about to be met
	inherited map[string]InheritedPriority // by job
	bindCount uint64                       // tasks that were bound
	attempts  uint64                       // placement attempts

	// Machines. capacityEvents counts events that may have freed capacity.
	machines       *model.Table[string, *Machine]
	unreconciled   map[string]*Machine // see UnreconciledMachines
	misdirected    map[string]*Machine // those that cycle through the controllers; see MisdirectedHeartbeat
	machinesInPool map[model.Pool]int
	terminated     map[string]time.Time                      // when a machine was terminated
	imageHolders   map[string]*model.Table[string, *Machine] // by image: the machines that have it
	exitedTasks    map[string]*model.Table[string, *Machine] // by job: the machines that report exited tasks of it
	drains         *model.Table[string, *Drain]              // by target
	capacityEvents uint64

	// Controllers, and the orders that they have not acknowledged.
	owners     map[model.Pool]string
	lastAnswer map[string]time.Time // by member
	outbox     map[string][]*peerspb.Order
	orderID    uint64 // of the last order

	// Teams' usage.
	teamUsages     map[string]*teamUsage
	ledger         *accounting.Ledger   // since the term started; nil: usage is not accounted
	usageWatermark accounting.Watermark // that the leader before stored

	// Writes of job records.
	writeCount       uint64
	dueWrites        []*Job // scratch space of DueWrites
	splitParts       bool   // completion bitmaps are written in split parts
	maxPartsAccepted int    // most parts that a transaction took lately; 0: as many as the settings say

	// The queue, and the current round.
	lastQueue     []*Job
	queueCount    uint64
	classes       *model.Table[string, *classArrivals]
	gatheringTime time.Duration // what jobs that have waited for long take to gather, as of the last queue
	usableCPUs    float64       // of the machines that tasks may be started on, as last summed
	roundNumber   uint64
	roundPlan     []*plannedJob
	roundCapacity roundCapacity
	noCapacity    map[capacityQuery]bool // queries for which no machine with the image has free capacity

	// Sets of pools that jobs may run on, by number. poolsGeneration counts the changes of owners, types and drains.
	poolSets        map[string]int
	poolsGeneration uint64
}

// NewClusterState makes an empty cluster state for a term.
func NewClusterState(options Options, token uint64, teams map[string]model.Team, types map[string]model.MachineType) *ClusterState {
	if options.Log == nil {
		options.Log = slog.New(slog.DiscardHandler)
	}
	if options.Rand == nil {
		options.Rand = rand.New(rand.NewPCG(token, 0))
	}
	cs := &ClusterState{
		opt:             options,
		token:           token,
		types:           types,
		teams:           maps.Clone(teams),
		configuredTeams: teams,
		jobs:            model.NewTable[string, *Job](),
		machines:        model.NewTable[string, *Machine](),
		unreconciled:    map[string]*Machine{},
		misdirected:     map[string]*Machine{},
		machinesInPool:  map[model.Pool]int{},
		terminated:      map[string]time.Time{},
		imageHolders:    map[string]*model.Table[string, *Machine]{},
		exitedTasks:     map[string]*model.Table[string, *Machine]{},
		drains:          model.NewTable[string, *Drain](),
		owners:          map[model.Pool]string{},
		lastAnswer:      map[string]time.Time{},
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

// Complete reports whether every task that may run anywhere is known.
func (cs *ClusterState) Complete() bool { return cs.complete }

// TryComplete makes the state complete, and reports true, once each machine with a stored record has answered
// under our token, is terminated, or has an expired lease.
func (cs *ClusterState) TryComplete() bool {
	if cs.complete {
		return true
	}
	for _, machine := range cs.unreconciled {
		if machine.Recorded && (machine.Phase == Unseen || machine.Phase == Joining || machine.Phase == ExpiryReported) {
			return false
		}
	}
	cs.complete = true
	cs.capacityEvents++
	return true
}

// TokenRenewed continues the term under a fresh fencing token. All bindings stay; the outcome of a start that was
// ordered under the old token is decided by the machine's first complete report under the new one.
func (cs *ClusterState) TokenRenewed(token uint64, now time.Time) {
	cs.token = token
	cs.outbox = map[string][]*peerspb.Order{}
	for _, machine := range cs.machines.All() {
		if machine.Phase != Expired {
			cs.setPhase(machine, Unseen, now)
			// Guard: the silence of a machine that was unseen before is the earlier owner's. Counted on, the next owner
			// was taken for silent at once, and the pool's machines were kept away from it (TestSilenceStartsAnewWithTheOwner).
			machine.PhaseSince = now
		}
		// What an earlier owner reported says nothing of the next one.
		machine.ScaleIn, machine.MissedHeartbeats, machine.Unreachable, machine.misdirectedAt = false, false, false, time.Time{}
		// Guard: the fresh token voids the start whose outcome is unknown. Were the flag left set, a machine that
		// had died would ask for a fresh token every two seconds, and no lease has ever surely expired under
		// a token that young.
		machine.StartOutcomeUnknown = false
		cs.updateUnreconciled(machine)
	}
}

// SetOwners replaces the owners of the pools.
func (cs *ClusterState) SetOwners(owners map[model.Pool]string) {
	cs.owners = owners
	cs.poolsGeneration++
	cs.poolSets = nil
}

// Owners returns the owner of each pool.
func (cs *ClusterState) Owners() map[model.Pool]string { return cs.owners }

// MemberAnswered records that a member has answered.
func (cs *ClusterState) MemberAnswered(member string, now time.Time) { cs.lastAnswer[member] = now }

// Machines returns the machines by name.
func (cs *ClusterState) Machines() *model.Table[string, *Machine] { return cs.machines }

// UnreconciledMachines returns the machines that are not yet, or no more, as they should be: all but those that are
// current under the token, have a stored record, send heartbeats in time, and run nothing that
// is unknown or unwanted. In a quiet cluster there are none, however large it is. They come
// in no order: no decision may depend on it.
func (cs *ClusterState) UnreconciledMachines() map[string]*Machine { return cs.unreconciled }

// Jobs returns the jobs that are not finished, by ID.
func (cs *ClusterState) Jobs() *model.Table[string, *Job] { return cs.jobs }

// BindCount returns how many tasks were bound since the term started.
func (cs *ClusterState) BindCount() uint64 { return cs.bindCount }
