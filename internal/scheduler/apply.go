package scheduler

import (
	"encoding/json"
	"time"

	"github.com/marlwood/marlwood/internal/accounting"
	"github.com/marlwood/marlwood/internal/dag"
	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/peers"
	"github.com/marlwood/marlwood/internal/record/recordpb"
)

// apply is the only place where an event changes the state. It calls the handler of the
// event's kind with the event's time on the scheduler's clock. Events of a kind that this
// version doesn't know change nothing.
func (s *Scheduler) apply(event *recordpb.Event) (out outcome) { //nolint:gocyclo,funlen // one handler for each kind of event, nothing else
	now := s.eventTime(event.AtNs)
	switch body := event.What.(type) {
	// The term and its settings.
	case *recordpb.Event_Types:
		s.applyTypes(body.Types)
	case *recordpb.Event_Renewed:
		s.applyTokenRenewed(now, body.Renewed)
	case *recordpb.Event_Owners:
		s.applyOwners(body.Owners)
	case *recordpb.Event_Limits:
		s.applyLimits(body.Limits)
	case *recordpb.Event_Config:
		s.applyConfig(body.Config)

	// Stored records.
	case *recordpb.Event_Loaded:
		s.applyLoaded(now, body.Loaded)
	case *recordpb.Event_Drains:
		s.applyDrains(now, body.Drains.Items)
	case *recordpb.Event_Changed:
		s.applyChanged(now, body.Changed)
	case *recordpb.Event_Saves:
		out.writes = s.applyDueWrites(now, body.Saves)
	case *recordpb.Event_SaveDone:
		s.applyWriteDone(now, body.SaveDone)
	case *recordpb.Event_HostsStored:
		s.applyMachinesRecorded(body.HostsStored)
	case *recordpb.Event_HostsExpired:
		out.recordRevisions = s.applyExpiredMachineRecords(body.HostsExpired)
	case *recordpb.Event_HostsDropped:
		s.applyMachineRecordsDeleted(body.HostsDropped)

	// Sampling rounds.
	case *recordpb.Event_Answer:
		s.applyAnswer(now, body.Answer)
	case *recordpb.Event_Expire:
		out.expired = s.applyExpire(now, body.Expire)
	case *recordpb.Event_Ask:
		out.sampleRequests = s.cluster.SampleRequests(now)
	case *recordpb.Event_Place:
		out.placed, out.takeoverCompleted = s.applyPlace(now, body.Place)

	// The cloud.
	case *recordpb.Event_Plan:
		out.cloudActions = s.applyPlan(now)
	case *recordpb.Event_CharterStored:
		s.autoscaler.LaunchRequestRecorded(body.CharterStored.Name, body.CharterStored.Ok, now)
	case *recordpb.Event_Rented:
		out.requestResolved = s.applyLaunchDone(now, body.Rented)
	case *recordpb.Event_Released:
		s.applyTerminateDone(now, body.Released)
	case *recordpb.Event_Listed:
		out.terminate = s.applyListed(now, body.Listed)

	// Dependencies between jobs.
	case *recordpb.Event_Graph:
		out.dependencyActions = s.applyResolveDependencies(now, body.Graph)
	case *recordpb.Event_Ended:
		s.graph.OutcomeKnown(body.Ended.Job, body.Ended.Ok, model.Stage(body.Ended.Stage), now)
	case *recordpb.Event_Moved:
		s.applyJobMoved(now, body.Moved)

	// Queries that also update the state.
	case *recordpb.Event_Usage:
		out.usage, out.usageMark = s.applyUsage(now)
	case *recordpb.Event_Summary:
		out.summary = s.cluster.Summary(now)
	}
	return out
}

// eventTime converts a time of an event, in nanoseconds since the start of the term, to the
// scheduler's clock.
func (s *Scheduler) eventTime(sinceStartNs int64) time.Time {
	return s.origin.Add(time.Duration(sinceStartNs))
}

func (s *Scheduler) applyTypes(event *recordpb.Types) {
	var types map[string]model.MachineType
	if err := json.Unmarshal(event.Catalogue, &types); err != nil {
		s.log.Error("machine types unreadable", "err", err)
		return
	}
	s.types = types
	s.cluster.SetTypes(types)
}

func (s *Scheduler) applyTokenRenewed(now time.Time, renewed *recordpb.Renewed) {
	s.identity.Token = renewed.Token
	s.cluster.TokenRenewed(renewed.Token, now)
}

// applyOwners replaces the pools' owners and makes them probe the machines that sent no
// heartbeat in this term.
func (s *Scheduler) applyOwners(event *recordpb.Owners) {
	owners := make(map[model.Pool]string, len(event.Owners))
	for _, owner := range event.Owners {
		owners[model.Pool{Type: owner.Kind.GetType(), Zone: owner.Kind.GetZone()}] = owner.Member
	}
	s.cluster.SetOwners(owners)
	s.cluster.ProbeUnseen()
}

func (s *Scheduler) applyLimits(event *recordpb.Limits) {
	limits := make(map[string]model.Size, len(event.Limits))
	for _, limit := range event.Limits {
		limits[limit.Team] = model.Size{CPUs: limit.Cpus, GPUs: limit.Gpus}
	}
	s.cluster.SetLimits(limits)
}

func (s *Scheduler) applyConfig(event *recordpb.Config) {
	var config Config
	if err := json.Unmarshal(event.Json, &config); err != nil {
		s.log.Error("settings unreadable", "err", err)
		return
	}
	s.config = config
	s.cluster.SetOptions(s.placementOptions())
	s.autoscaler.SetOptions(config.Fleet)
}

// applyAnswer updates the cluster state from a pool owner's answer to a sampling round.
func (s *Scheduler) applyAnswer(now time.Time, answer *recordpb.Answer) {
	if answer.Split {
		s.cluster.SplitParts()
	}
	s.cluster.OrdersAcknowledged(answer.Member, answer.Applied)
	sentAt := now // in a recording of an earlier version
	if answer.SentNs != 0 {
		sentAt = s.eventTime(answer.SentNs)
	}
	s.cluster.RecordMemberResponse(answer.Member, sentAt)
	for _, status := range answer.Machines {
		s.autoscaler.HeartbeatReceived(status.Name)
		s.cluster.UpdateMachine(now, answer.Member, status, answer.Applied, answer.Trusted)
	}
	for _, name := range answer.Knocks {
		s.cluster.MisdirectedHeartbeat(name, answer.Member, now)
	}
	// Guard: a machine that the message leaves out is alive, but has not been seen yet. If its lease counted as expired,
	// its tasks would be started on other machines as well (TestIncompleteAnswerExpiresNothing).
	if answer.Trusted && !peers.MayBeIncomplete(answer.Machines) {
		s.cluster.ReportUnseenExpired(answer.Member, now)
	}
}

// applyExpire confirms the lease expiries that were reported before this controller last
// checked that it is still the leader, and returns the names of the machines.
func (s *Scheduler) applyExpire(now time.Time, event *recordpb.Expire) []string {
	expired := s.cluster.ConfirmExpiries(s.eventTime(event.CheckedNs), now)
	s.noteDecision(func(d *recordpb.Decided) { d.Expired = expired })
	return expired
}

// applyPlace ends a sampling round: it completes the takeover if that is possible, places
// tasks, and preempts tasks.
func (s *Scheduler) applyPlace(now time.Time, event *recordpb.Place) (placed int, takeoverCompleted bool) {
	takeoverCompleted = !s.cluster.TakeoverComplete() && s.cluster.TryCompleteTakeover()
	s.noteDecision(func(d *recordpb.Decided) { d.Complete = takeoverCompleted })
	placed = s.cluster.Place(now, event.Samples)
	s.preempt(now)
	return placed, takeoverCompleted
}

// preempt preempts tasks for jobs that found no capacity.
func (s *Scheduler) preempt(now time.Time) {
	if s.onPreempt == nil {
		s.cluster.Preempt(now)
		return
	}
	s.onPreempt(func() { s.cluster.Preempt(now) })
}

// applyResolveDependencies returns the actions that are due in the graph of waiting jobs,
// and passes the priorities of waiting jobs on to the jobs that they depend on.
func (s *Scheduler) applyResolveDependencies(now time.Time, event *recordpb.Graph) []dag.Action {
	if event.Check {
		s.graph.MarkUnknownOutcomes(s.cluster.IsOpen)
	}
	actions := s.graph.Actions(now)
	if priorities, changed := s.graph.InheritedPriorities(); changed {
		s.cluster.SetInheritedPriorities(priorities)
	}
	return actions
}

func (s *Scheduler) applyJobMoved(now time.Time, moved *recordpb.Moved) {
	action := dag.Action{Op: dag.Op(moved.Op), ID: moved.Job}
	s.graph.WriteDone(action, moved.Ok, moved.Stamp, now)
	if moved.Gone {
		s.graph.Remove(moved.Job)
	}
}

func (s *Scheduler) applyUsage(now time.Time) (*accounting.Ledger, accounting.Watermark) {
	return s.cluster.Usage(now), s.cluster.UsageWatermark(now)
}
