// Package scheduler is the deterministic state machine that the leader runs to schedule
// its cluster. It combines the cluster state (package placement), the dependency graph
// of waiting jobs (package dag) and the autoscaler.
//
// # Contract
//
// A Scheduler takes events and returns decisions. An event is a protobuf message
// (recordpb.Event) with the time at which it happened; every method that changes a
// Scheduler builds one and submits it. Decisions are sample requests, orders for
// machines, records to write, and calls to the cloud's API. A Scheduler performs no I/O:
// the caller carries the decisions out and reports their outcome with another event.
//
//	                events                       decisions
//	controller ───────────────▶  Scheduler  ───────────────▶  controller
//	           machine statuses              sample requests
//	           changed job records           orders
//	           outcomes of writes and calls  writes and calls
//
// The same events lead to the same decisions. Three rules ensure this:
//
//   - apply is the only place where an event changes the state.
//   - Time comes from the event, and random numbers come from a seeded generator, which
//     is part of the state. Nothing reads a clock.
//   - Code that makes decisions iterates over maps in a fixed order, unless the result is
//     the same in every order.
//
// A recording of a state and of the events that follow it is therefore enough to repeat
// everything that the leader did: package replay imports the state, passes the events to
// Decide, and compares the hash chained over the decisions.
//
// # Usage
//
// A controller that becomes leader creates a Scheduler with New, passes it the stored
// records with Load, and from then on calls it for every event until its term ends. It
// carries out the decisions that RequestSamples, Place, DueWrites, Plan, ResolveDependencies and
// ReconcileList return, and reports back with ApplySamplingResponse, WriteDone,
// RequestRecorded, LaunchDone, TerminateDone and DependencyActionDone. Orders are not
// returned by an event: Orders returns them until the machine's owner acknowledges them.
//
// Queries do not change the state. They submit no events and are not recorded.
package scheduler

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/marlwood/marlwood/internal/accounting"
	"github.com/marlwood/marlwood/internal/autoscaler"
	"github.com/marlwood/marlwood/internal/dag"
	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/peers/peerspb"
	"github.com/marlwood/marlwood/internal/placement"
	"github.com/marlwood/marlwood/internal/record"
	"github.com/marlwood/marlwood/internal/record/recordpb"
	"github.com/marlwood/marlwood/internal/settings"
)

// ProgramVersion is the version of marlwood.
const ProgramVersion = "0.5.0"

// Config holds the settings that a scheduler decides by. It is stored in recordings
// under the Go names of its fields.
type Config struct {
	Placement placement.Options
	Fleet     autoscaler.Options
	Teams     map[string]model.Team
	Errors    int           // number of failed tasks after which a machine is suspected to be faulty
	Unheard   time.Duration // a machine that sent no heartbeat for longer than this may be missing
	Greeted   time.Duration // replaces Unheard while a new leader probes its machines; 0: Unheard applies
	Settings  Settings      // all settings in force, for readers of a recording
}

// Settings holds the platform's and the operators' settings.
type Settings struct {
	Platform *settings.Platform
	Operator *settings.Operator
}

// Identity identifies the leader's term in which decisions are made.
type Identity struct {
	Member string // name of the controller
	Boot   string // identifies the controller's process
	Token  uint64 // fencing token
}

// Recorder stores a recording of states, events and decisions.
type Recorder interface {
	// Begin starts a stream, named by record.StreamName.
	Begin(stream string)
	// Wanted is called once for each event. It reports whether frames are to be recorded,
	// and whether a state must be recorded before the next frame.
	Wanted() (frames, state bool)
	// Record assigns a frame its number and stores it.
	Record(f *recordpb.Frame)
}

// Params holds the arguments of New.
type Params struct {
	Config   Config
	Identity Identity
	Types    map[string]model.MachineType // machine types by name
	Seed     [2]uint64                    // of the random number generator
	Now      time.Time                    // monotonic clock at the start of the term
	WallTime time.Time                    // wall clock at the same time
	Recorder Recorder                     // nil: nothing is recorded
	Log      *slog.Logger

	// OnPreempt is called with the preemption of a sampling round and must run it. It may measure the time; nil: none does.
	OnPreempt func(preempt func())
}

// Scheduler is the scheduling state of one leader's term. Events change it and queries
// read it. It is not safe for concurrent use.
type Scheduler struct {
	config       Config
	identity     Identity
	startedAt    time.Time // start of the term on the caller's monotonic clock
	origin       time.Time // start of the term on the scheduler's own clock; see schedulerTime
	log          *slog.Logger
	randomSource *rand.PCG
	recorder     Recorder             // nil: nothing is recorded
	onPreempt    func(preempt func()) // nil: preemption is not measured

	cluster        *placement.ClusterState
	graph          *dag.Graph
	autoscaler     *autoscaler.Autoscaler
	types          map[string]model.MachineType
	writesInFlight map[uint64]*placement.JobWrite // by write number

	decisions    *recordpb.Decided // decisions of the event that is being applied; nil: they are not collected
	decisionHash uint64            // hash chained over the decisions since the last recorded state
}

// New returns a scheduler for a term that starts at params.Now.
func New(params Params) *Scheduler {
	s := &Scheduler{
		config:         params.Config,
		identity:       params.Identity,
		startedAt:      params.Now,
		origin:         time.Unix(0, params.WallTime.UnixNano()).UTC(),
		log:            params.Log,
		recorder:       params.Recorder,
		onPreempt:      params.OnPreempt,
		types:          params.Types,
		randomSource:   rand.NewPCG(params.Seed[0], params.Seed[1]),
		writesInFlight: map[uint64]*placement.JobWrite{},
	}
	s.cluster = placement.NewClusterState(s.placementOptions(), s.identity.Token, s.config.Teams, s.types)
	s.graph = dag.New(s.log)
	s.autoscaler = autoscaler.New(s.config.Fleet, s.identity.Token)
	if s.recorder != nil {
		s.recorder.Begin(record.StreamName(s.identity.Token, s.identity.Member, s.identity.Boot))
	}
	return s
}

// placementOptions returns the cluster state's options: the stored ones, and the random
// number generator, the log and the order callback, which are not stored.
func (s *Scheduler) placementOptions() placement.Options {
	options := s.config.Placement
	options.Rand = rand.New(s.randomSource)
	options.Log = s.log
	options.OnOrder = func(order *peerspb.Order) {
		if s.decisions != nil {
			s.decisions.Orders = append(s.decisions.Orders, order)
		}
	}
	return options
}

// schedulerTime converts a time of the caller's monotonic clock to the scheduler's
// clock, which starts at the wall clock's time at the start of the term and never
// jumps. The cluster state, the graph and the autoscaler use this clock only.
func (s *Scheduler) schedulerTime(now time.Time) time.Time { return s.origin.Add(s.sinceStart(now)) }

// sinceStart returns the time since the start of the term. Events carry this offset.
func (s *Scheduler) sinceStart(now time.Time) time.Duration { return now.Sub(s.startedAt) }

// outcome holds what an event returns to the caller. Each kind of event sets its own
// fields; the method that submits the event is given in parentheses.
type outcome struct {
	// sampleRequests ask the pools' owners for candidate machines (RequestSamples).
	sampleRequests []*peerspb.Want

	// placed is the number of tasks that were placed; takeoverCompleted reports whether
	// the takeover was completed just before (Place).
	placed            int
	takeoverCompleted bool

	// writes are the job records to write (DueWrites).
	writes []*placement.JobWrite

	// expired names the machines whose lease expiry was confirmed (ConfirmExpiries).
	expired []string

	// recordRevisions maps each machine whose record is to be deleted to the record's
	// revision (ExpiredMachineRecords).
	recordRevisions map[string]uint64

	// cloudActions are the launches and terminations to carry out (Plan).
	cloudActions []autoscaler.Action

	// requestResolved reports whether the launch request's record can be deleted
	// (LaunchDone).
	requestResolved bool

	// terminate names the machines to terminate (ReconcileList).
	terminate []string

	// dependencyActions are the jobs to check, release or cancel
	// (ResolveDependencies).
	dependencyActions []dag.Action

	// usage is the ledger of what teams have used, and usageMark is the watermark to
	// store for the next leader (Usage).
	usage     *accounting.Ledger
	usageMark accounting.Watermark

	// summary counts jobs, tasks and machines (Summary).
	summary placement.Summary
}

// submit applies an event, and records it if the recorder wants frames.
func (s *Scheduler) submit(event *recordpb.Event) outcome {
	if s.recorder == nil {
		return s.apply(event)
	}
	frames, state := s.recorder.Wanted()
	if state {
		if err := s.recordState(event.AtNs); err != nil {
			s.log.Error("state not recorded", "err", err)
			frames = false
		}
	}
	if !frames {
		return s.apply(event)
	}
	out, decided := s.applyCollecting(event)
	s.recorder.Record(&recordpb.Frame{
		What:    &recordpb.Frame_Event{Event: event},
		Decided: decided,
		Hash:    s.decisionHash,
	})
	return out
}

// Decide applies a recorded event and returns the decisions that it leads to.
func (s *Scheduler) Decide(event *recordpb.Event) *recordpb.Decided {
	_, decided := s.applyCollecting(event)
	return decided
}
