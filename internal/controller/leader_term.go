package controller

import (
	"context"
	"time"

	"github.com/marlwood/marlwood/internal/autoscaler"
	"github.com/marlwood/marlwood/internal/machinerecords"
	"github.com/marlwood/marlwood/internal/metrics"
	"github.com/marlwood/marlwood/internal/scheduler"
)

const (
	jobCountsInterval = time.Second      // time between publications of the job counts
	summaryInterval   = 10 * time.Second // time between log lines that summarize the cluster
)

// leaderTerm is one term of this controller as leader, from a won election until leadership is lost. A renewed
// token does not end it. It belongs to the controller's loop, except for methods documented to run outside the loop.
type leaderTerm struct {
	ctrl      *Controller
	ctx       context.Context // bounds all goroutines of the term; cancelled when the term ends
	end       context.CancelFunc
	token     uint64 // the current fencing token
	limit     tokenLimit
	began     time.Time
	scheduler *scheduler.Scheduler

	loaded bool // the stored records have been read
	ownership
	rounds samplingRounds

	nextAutoscaling     time.Time
	cloudCalls          cloudCalls
	uncoveredLogged     map[string]autoscaler.UncoveredCause // by job; see logUncovered
	nextSummary         time.Time                            // when the cluster is logged next
	nextCounts          time.Time                            // when job counts are published next
	nextDependencyCheck time.Time                            // when the outcomes of dependencies are checked next
	machineRecords      *machinerecords.Ledger
	quotas              *quotaExchange // nil if there is only one region
	usage               usageAccounts
	shardRevisions      shardRevisions
	expiringRecords     map[string]uint64 // revisions at which the scheduler knows records that are to be deleted
	drains              drainRecords
	operatorRelist      relistSchedule // schedule for listing drains and settings again
	pendingReload       *pendingReload // reload in progress; nil if there is none
}

// newLeaderTerm begins a term under a token. It takes two random numbers from the environment for the scheduler.
func newLeaderTerm(ctrl *Controller, token uint64, now time.Time) *leaderTerm {
	ctx, cancel := context.WithCancel(ctrl.ctx)
	t := &leaderTerm{
		ctrl:            ctrl,
		ctx:             ctx,
		end:             cancel,
		token:           token,
		began:           now,
		ownership:       ownership{reachability: ownerReachability{}},
		cloudCalls:      newCloudCalls(now),
		shardRevisions:  shardRevisions{},
		expiringRecords: map[string]uint64{},
		drains:          newDrainRecords(),
	}
	t.scheduler = scheduler.New(scheduler.Params{
		OnPreempt: func(preempt func()) { ctrl.timeStep(metrics.Preempting, preempt) },
		Config:    schedulerConfig(ctrl.cfg, ctrl.settings),
		Identity:  scheduler.Identity{Member: ctrl.cfg.Member, Boot: ctrl.bootID, Token: token},
		Types:     ctrl.knownTypes(),
		Seed:      [2]uint64{ctrl.env.Random(), ctrl.env.Random()},
		Now:       now,
		WallTime:  ctrl.env.WallClock(),
		Recorder:  ctrl.recorder,
		Log:       ctrl.log,
	})
	t.limit.raise(token)
	t.quotas = newQuotaExchange(t, now)
	// An earlier leader may have acted for a whole leader lease after its last check of the leader key, and
	// the last lease that it delegated may begin only at the end of that time.
	earlierLeasesEnd := now.Add(withClockDrift(ctrl.timing.LeaderLease + ctrl.timing.DelegatedLease))
	for _, peer := range ctrl.peers {
		peer.beginTerm(earlierLeasesEnd)
	}
	if now.Sub(ctrl.startedAt) < recentStart {
		t.assignDeadline = now.Add(peerStartWait)
	}
	reader := t.newRecordReader()
	ctrl.env.Go(func() { t.loadRecords(reader) })
	return t
}

// tokenRenewed continues the term under a fresh token.
func (t *leaderTerm) tokenRenewed(token uint64, now time.Time) {
	t.ctrl.log.Info("token renewed", "old", t.token, "new", token)
	t.token = token
	t.limit.raise(token)
	t.renewalRequestedAt = time.Time{}
	t.rounds.current = nil
	t.scheduler.TokenRenewed(now, token)
	for _, peer := range t.ctrl.peers {
		peer.renewToken()
	}
	t.reachability.tokenRenewed(now)
	t.assignOwners(now)
	t.rounds.next = now
}

// tick does all work of the leader that is due, in a fixed order.
func (t *leaderTerm) tick(now time.Time) {
	t.advanceRounds(now)
	t.watchOwners(now)
	t.clearUsageMetrics(now)
	if !t.loaded {
		return
	}
	if t.assignedAt.IsZero() {
		t.assignInitialOwners(now)
	}
	t.ctrl.timeStep(metrics.Expiries, func() { t.expireMachines(now) })
	t.ctrl.timeStep(metrics.JobWrites, func() { t.writeJobs(now) })
	t.ctrl.timeStep(metrics.Dependencies, func() { t.resolveDependencies(now) })
	t.writeMachineRecords(now)
	t.raiseTokenLimit(now)
	t.flushAccounts(now)
	t.exchangeQuotas(now)
	if !now.Before(t.nextAutoscaling) {
		t.nextAutoscaling = now.Add(t.ctrl.settings.Fleet.Tick)
		t.ctrl.timeStep(metrics.Scaling, func() { t.runAutoscaler(now) })
	}
	t.reconcileDeferredList(now)
	t.runCloudCalls()
	t.answerPendingDrains(now)
	t.sendAnnouncedReplies(now)
	t.answerPendingReload(now)
	t.removeStaleDrains(now)
	t.relistOperatorRecords(now)
	t.ctrl.timeStep(metrics.JobCounts, func() { t.publishJobCounts(now) })
	t.logSummary(now)
}

// expireMachines makes the scheduler drop machines whose leases have expired.
func (t *leaderTerm) expireMachines(now time.Time) {
	if names := t.scheduler.ConfirmExpiries(now, t.ctrl.elector.LastCheck()); len(names) > 0 {
		t.ctrl.log.Info("machines expired", "count", len(names), "machines", names)
	}
}

// publishJobCounts publishes the counts of open jobs for users' queries, which are served outside the loop.
func (t *leaderTerm) publishJobCounts(now time.Time) {
	if now.Before(t.nextCounts) {
		return
	}
	t.nextCounts = now.Add(jobCountsInterval)
	counts := t.scheduler.JobCounts()
	t.ctrl.jobCounts.Store(&counts)
}

// logSummary logs a summary of the cluster every summaryInterval.
func (t *leaderTerm) logSummary(now time.Time) {
	if now.Before(t.nextSummary) {
		return
	}
	t.nextSummary = now.Add(summaryInterval)
	s := t.scheduler.Summary(now)
	t.ctrl.log.Info("cluster summary",
		"machines", s.Machines, "booting", t.scheduler.Booting(), "busy", s.Busy, "retiring", s.ScalingIn,
		"cpus", s.CPUs, "used", s.Used, "jobs", s.Jobs, "waiting", t.scheduler.WaitingJobs(),
		"bound", s.Bound, "unplaced", s.Unplaced, "placeable", s.UnmetTasks, "saving", t.scheduler.WritesInFlight())
}
