// Package controller combines the other packages into one running controller. A single event loop owns
// all state. Slow operations (requests to the state service, the cloud, peers and workers) run outside the
// loop, and each posts its result as an event to the loop.
//
// Every controller owns the workers of some machine pools and serves users. One of them, the leader,
// also schedules: its term (leaderTerm) reads the records that the previous leader stored, assigns the
// pools to the controllers, and exchanges sampling rounds with them.
package controller

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"sync/atomic"
	"time"

	"github.com/marlwood/marlwood/internal/api"
	"github.com/marlwood/marlwood/internal/leadership"
	"github.com/marlwood/marlwood/internal/metrics"
	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/peers/peerspb"
	"github.com/marlwood/marlwood/internal/placement"
	"github.com/marlwood/marlwood/internal/record"
	"github.com/marlwood/marlwood/internal/scheduler"
	"github.com/marlwood/marlwood/internal/settings"
	"github.com/marlwood/marlwood/internal/sockets"
	"github.com/marlwood/marlwood/internal/store"
	"github.com/marlwood/marlwood/internal/workers"
)

// tick is the interval of the loop's ticks.
const tick = 50 * time.Millisecond

// Shares of the state service's request and write rates from which setBudgets computes a controller's budgets.
const (
	callShare        = 0.5  // share of requests that is divided among the controllers
	leaderCallShare  = 0.45 // share of requests that the leader gets in addition
	userWriteShare   = 0.9  // share of writes that is divided among the controllers
	leaderWriteShare = 0.5  // share of writes that the leader gets
)

// Controller is one controller. Its state belongs to its event loop, except for the fields that are marked
// as safe for concurrent use.
type Controller struct {
	cfg          *settings.Platform
	fileSettings *settings.Operator // settings of this controller's file
	settings     *settings.Operator // settings in force: those of the file with the operators' later changes
	log          *slog.Logger
	bootID       string // unique ID of this process
	timing       settings.Timing
	startedAt    time.Time
	env          Environment
	ctx          context.Context // bounds everything that the controller runs outside its loop; set by Start

	store    Store
	cloud    Cloud
	api      *api.Server
	registry *workers.Registry
	elector  *leadership.Elector
	peers    []*peerProgress
	term     *leaderTerm // nil if this controller does not lead

	// The following fields are safe for concurrent use.
	machineTypes atomic.Pointer[map[string]model.MachineType]
	leaseUntil   atomic.Int64                                   // uptime at which the leader lease expires; 0 if there is no lease
	jobCounts    atomic.Pointer[map[string]placement.JobCounts] // counts of open jobs, while leading
	contacts     contactTimes
	slots        requestSlots

	peersProbedAt     time.Time // when peers were last probed
	electionState     leadership.State
	leaderKeyToken    uint64              // token in the last successful read of the leader key
	adoption          settingsAdoption    // of the settings that operators put in force
	leaderRevisions   leaderRevisions     // of the operators' records
	metrics           *metrics.Set        // nil if metrics are off
	recorder          scheduler.Recorder  // receives a recording of all decisions; may be nil
	broadcaster       *record.Broadcaster // distributes recordings; set only by New, else nil
	pendingHeartbeats heartbeatQueue
	watch             loopWatch
}

// New creates a controller from checked settings, in the live environment.
func New(platform *settings.Platform, operator *settings.Operator, log *slog.Logger) (*Controller, error) {
	id, err := bootID()
	if err != nil {
		return nil, fmt.Errorf("boot id: %w", err)
	}
	env, err := newLiveEnvironment(platform, operator)
	if err != nil {
		return nil, err
	}
	ctrl, err := NewWithEnvironment(env, id, platform, operator, log)
	if err != nil {
		return nil, err
	}
	ctrl.metrics = env.metrics
	ctrl.broadcaster = record.NewBroadcaster(log)
	ctrl.recorder = ctrl.broadcaster
	if operator.Record.Lines == "stderr" {
		record.WriteLines(ctrl.broadcaster, os.Stderr)
	}
	return ctrl, nil
}

// SetRecorder sets the recorder that receives this controller's decisions as leader. It must be called
// before Start.
func (c *Controller) SetRecorder(recorder scheduler.Recorder) { c.recorder = recorder }

// NewWithEnvironment creates a controller in the caller's environment. id identifies its process and must
// be unique among all processes.
func NewWithEnvironment(env Environment, id uint64, platform *settings.Platform, operator *settings.Operator, log *slog.Logger) (*Controller, error) {
	if err := operator.Check(platform); err != nil {
		return nil, err
	}
	timing, err := platform.Timing(operator)
	if err != nil {
		return nil, err
	}
	c := &Controller{
		cfg:          platform,
		fileSettings: operator,
		settings:     operator,
		log:          log,
		bootID:       fmt.Sprintf("%016x", id),
		timing:       timing,
		startedAt:    env.Now(),
		env:          env,
		store:        env.Store(),
		cloud:        env.Cloud(),
		slots:        newRequestSlots(),
	}
	c.registry = workers.NewRegistry(c.registryOptions(), c.bootID, c.startedAt, c.newRand())
	c.elector = leadership.New(leadership.Options{
		Member:       platform.Member,
		Boot:         c.bootID,
		PollInterval: timing.PollInterval,
		LeaseTTL:     timing.KeyLease,
		ValidFor:     timing.LeaderLease,
	})
	if c.api, err = api.New(c.apiOptions(), c.store); err != nil {
		return nil, err
	}
	if err := c.dialPeers(); err != nil {
		return nil, err
	}
	c.setBudgets(false)
	return c, nil
}

func (c *Controller) registryOptions() workers.Options {
	return workers.Options{
		Member:            c.cfg.Member,
		HeartbeatInterval: c.cfg.ReportEvery,
		Lease:             c.cfg.Lease,
		Margin:            time.Second / 2,
		CancelGrace:       c.cfg.CancelWait - c.cfg.Lease - c.timing.Margin,
		MaxCalls:          sockets.Divide(c.cfg.MaxConns, c.fileSettings.Service.UserConnsShare).DirectCalls / 2,
		Log:               c.log,
		OnAnomaly:         func(kind workers.Anomaly) { c.metrics.UnexpectedReport(string(kind)) },
		OnAnswer:          func(basis workers.AnswerBasis) { c.metrics.Answer(string(basis)) },
		OnForget:          func(basis workers.ForgetBasis) { c.metrics.Forget(string(basis)) },
	}
}

func (c *Controller) apiOptions() api.Options {
	return api.Options{
		Teams:           c.cfg.Teams,
		RecordBytes:     c.cfg.ValueBytes - min(1024, c.cfg.ValueBytes/2),
		ValueBytes:      c.cfg.ValueBytes - 64,
		FinalCache:      c.fileSettings.Service.FinalCache,
		RefreshInterval: c.fileSettings.Service.Glance,
		QueryTimeout:    c.fileSettings.Service.AskWait,
		Types:           c.knownTypes,
		JobCounts:       c.jobCountsOf,
		Now:             c.env.WallClock,
		Go:              c.env.Go,
		Sleep:           c.env.Sleep,
		NewLatch:        c.env.NewLatch,
	}
}

// dialPeers creates the progress records of all controllers, this one first, and connects to the others.
func (c *Controller) dialPeers() error {
	c.peers = append(c.peers, &peerProgress{member: c.cfg.Member, zone: c.cfg.Zone, local: true})
	for _, sibling := range c.cfg.Siblings {
		conn, err := c.env.Dial(sibling.Addr)
		if err != nil {
			return err
		}
		c.peers = append(c.peers, &peerProgress{member: sibling.Member, zone: sibling.Zone, addr: sibling.Addr, peer: conn})
	}
	return nil
}

// setBudgets sets this controller's share of the request and write rates of the state service. Users' writes
// have a separate budget, so that they never wait behind the leader's writes.
func (c *Controller) setBudgets(leading bool) {
	controllers := float64(max(1, len(c.peers)))
	budgets := store.Budgets{
		Calls:      c.cfg.StateRPS * callShare / controllers,
		UserWrites: c.cfg.StateWriteRPS * userWriteShare / controllers,
		Burst:      c.cfg.TxnOps,
	}
	if leading {
		budgets.Calls += c.cfg.StateRPS * leaderCallShare
		budgets.LeaderWrites = c.cfg.StateWriteRPS * leaderWriteShare
	}
	c.store.SetBudgets(budgets)
}

// newRand returns a new source of random numbers.
func (c *Controller) newRand() *rand.Rand {
	return rand.New(rand.NewPCG(c.env.Random(), c.env.Random()))
}

// Start starts the controller's background work, which ends with ctx. It must be called once, before
// Tick and all Handle methods.
func (c *Controller) Start(ctx context.Context) {
	c.ctx = ctx
	c.env.Go(c.learnTypes)
}

// post queues an event for the loop.
func (c *Controller) post(f func()) { c.env.Post(f) }

// jobCountsOf returns a job's counts as the leader last published them. User requests call it outside the
// loop, so that they do not delay the loop.
func (c *Controller) jobCountsOf(job string) (placement.JobCounts, bool) {
	if counts := c.jobCounts.Load(); counts != nil {
		jobCounts, ok := (*counts)[job]
		return jobCounts, ok
	}
	return placement.JobCounts{}, false
}

// HandleRound handles the leader's message of one round, on the loop, and passes the response to reply. The
// response is nil until this process has read the leader key.
func (c *Controller) HandleRound(now time.Time, request *peerspb.RoundRequest, reply func(*peerspb.RoundResponse)) {
	if c.elector.MinToken() == 0 { // see workers.Registry.RejectTokensBelow
		reply(nil)
		return
	}
	c.notePeerContact(now)
	c.elector.ObserveToken(now, request.Token)
	var response *peerspb.RoundResponse
	c.timeStep(metrics.OwnerRounds, func() { response = c.registry.HandleRound(now, request) })
	c.noteLeaderStoreSeen()
	response.Settings = c.adoption.number
	c.leaderRevisions = leaderRevisions{drains: max(c.leaderRevisions.drains, request.DrainsRevision), settings: request.Settings}
	response.DrainsRevision = c.leaderRevisions.drains
	reply(response)
	if c.adoption.outdated(request.Settings) {
		c.adoptSettingsLater()
	}
	c.followElection(now)
	c.retryPendingHeartbeats(c.env.Now())
	c.makeDirectCalls(c.env.Now())
}

// serveRound handles a leader's message on one of gRPC's goroutines and returns the response.
func (c *Controller) serveRound(request *peerspb.RoundRequest) *peerspb.RoundResponse {
	responses := make(chan *peerspb.RoundResponse, 1)
	c.post(func() {
		c.HandleRound(c.env.Now(), request, func(response *peerspb.RoundResponse) { responses <- response })
	})
	select {
	case response := <-responses:
		return response
	case <-c.ctx.Done():
		return nil
	}
}

// Tick does all work that is due, on the loop, in a fixed order. It is called about every 50 ms.
func (c *Controller) Tick(now time.Time) {
	c.contacts.tick.set(c.uptime(now))
	c.performActions(c.elector.Tick(now))
	c.probePeers(now)
	c.followElection(now)
	if c.broadcaster != nil {
		c.broadcaster.Tick(now)
	}
	c.expirePendingHeartbeats(now)
	if c.term != nil && c.elector.HoldsLease(now) {
		c.term.tick(now)
	}
}

// API returns the server of users' requests, which runs outside the loop.
func (c *Controller) API() *api.Server { return c.api }
