package controller

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"
	"unicode"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/operators/operatorspb"
	"github.com/marlwood/marlwood/internal/placement"
	"github.com/marlwood/marlwood/internal/store"
)

// Limits on the number of drains and on the contents of their records. A record must fit into the smallest value
// size that the key-value store may be configured to accept.
const (
	maxDrains        = 256
	maxDrainDeadline = 7 * 24 * time.Hour
	maxReasonBytes   = 200
)

// maxListedUnplaceable limits how many jobs without free capacity elsewhere the refusal of a drain names.
const maxListedUnplaceable = 5

// drainRecord is the stored form of a drain.
type drainRecord struct {
	placement.Drain
	ID string `json:"request,omitempty"` // name that the sender gave to its request
}

// handleDrain records a drain. It replies once no task start that was ordered before the drain can still be
// executed.
func (t *leaderTerm) handleDrain(caller *operatorspb.Caller, request *operatorspb.DrainRequest, reply operatorReply) {
	scope, name, err := drainTarget(request.Node, request.Zone, request.Type)
	if err != nil {
		reply(nil, err)
		return
	}
	if err := validateDrainRequest(request); err != nil {
		reply(nil, err)
		return
	}
	drain := &drainRecord{ID: request.Origin.GetId(), Drain: placement.Drain{
		Scope:  scope,
		Name:   name,
		Since:  t.ctrl.env.WallClock().UTC().Truncate(time.Millisecond),
		Keep:   request.Keep,
		Force:  request.Force,
		Reason: request.Reason,
		Who:    caller.GetName(),
	}}
	if after := drainDeadline(request); after > 0 {
		drain.Deadline = drain.Since.Add(after)
	}
	t.changeDrains(reply, func() (writes bool) { return t.drain(drain, request.Origin, reply) })
}

// drain decides on a valid request, see changeDrains.
func (t *leaderTerm) drain(drain *drainRecord, origin *operatorspb.Origin, reply operatorReply) (writes bool) {
	now := t.ctrl.env.Now()
	if recorded, ok := t.drains.records[drain.Key()]; ok {
		return t.answerRepeatedDrain(now, drain, origin, recorded, reply)
	}
	if t.drains.history.overtaken(drain.Key(), origin) {
		reply(nil, status.Errorf(codes.Aborted, "outdated: %s was undrained since this was asked, and is not drained now", drain.Target()))
		return false
	}
	if err := t.checkDrainAllowed(now, &drain.Drain); err != nil {
		reply(nil, err)
		return false
	}
	t.recordNewDrain(drain, reply)
	return true
}

// recordNewDrain records a checked drain. The request is answered later, see awaitStarts.
func (t *leaderTerm) recordNewDrain(drain *drainRecord, reply operatorReply) {
	txn := t.newTxn(store.Put(drain.Key(), drain))
	txn.Preconditions = append(txn.Preconditions, store.Precondition{Key: drain.Key()})
	t.writeDrain(txn, func(item store.Item, err error) {
		if err != nil {
			reply(nil, err)
			return
		}
		t.drains.records[drain.Key()] = item
		t.ctrl.log.Info("drained until an operator undrains it", "target", drain.Target(), "asked_by", drain.Who, "reason", drain.Reason,
			"since", drain.Since, "stops_tasks_at", drain.Deadline)
		t.publishDrains()
		t.drains.awaitStarts(&drain.Drain, item.Revision, t.ctrl.env.Now(), reply)
		t.startRoundSoon()
	})
}

// drainDeadline returns how long after its start a requested drain stops the tasks that still run; 0: never.
func drainDeadline(request *operatorspb.DrainRequest) time.Duration {
	return time.Duration(request.DeadlineS * float64(time.Second))
}

// validateDrainRequest checks the deadline and the reason of a request.
func validateDrainRequest(request *operatorspb.DrainRequest) error {
	if request.DeadlineS < 0 || request.DeadlineS > maxDrainDeadline.Seconds() {
		return status.Errorf(codes.InvalidArgument, "deadline: must lie between 0 and %v", maxDrainDeadline)
	}
	notPrintable := func(c rune) bool { return !unicode.IsPrint(c) }
	if len(request.Reason) > maxReasonBytes || strings.ContainsFunc(request.Reason, notPrintable) {
		return status.Errorf(codes.InvalidArgument, "reason: at most %d bytes of one line", maxReasonBytes)
	}
	return nil
}

// drainTarget returns the scope and the name of what a request is to drain or undrain.
func drainTarget(node, zone, machineType string) (placement.Scope, string, error) {
	var scope placement.Scope
	var name string
	candidates := []struct {
		scope placement.Scope
		name  string
	}{{placement.NodeScope, node}, {placement.ZoneScope, zone}, {placement.TypeScope, machineType}}
	for _, candidate := range candidates {
		if candidate.name == "" {
			continue
		}
		if name != "" {
			return "", "", status.Error(codes.InvalidArgument, "name one node, one zone or one type, not several")
		}
		scope, name = candidate.scope, candidate.name
	}
	switch {
	case name == "":
		return "", "", status.Error(codes.InvalidArgument, "name a node, a zone or a type")
	case !model.ValidID(name):
		return "", "", status.Errorf(codes.InvalidArgument, "%s: %q cannot be a name", scope, name)
	}
	return scope, name, nil
}

// checkTargetExists returns an error if there is no such node, zone or type.
func (t *leaderTerm) checkTargetExists(scope placement.Scope, name string) error {
	var known []string
	switch scope {
	case placement.NodeScope:
		if t.scheduler.Machines().At(name) == nil {
			return status.Errorf(codes.NotFound, "node: no machine %q; marlwood nodes lists them", name)
		}
		return nil
	case placement.ZoneScope:
		for _, machineType := range t.ctrl.knownTypes() {
			known = append(known, machineType.Zones...)
		}
	default:
		for machineType := range t.ctrl.knownTypes() {
			known = append(known, machineType)
		}
	}
	if slices.Contains(known, name) {
		return nil
	}
	slices.Sort(known)
	return status.Errorf(codes.NotFound, "%s: no %q; there are %s", scope, name, strings.Join(slices.Compact(known), ", "))
}

// checkDrainAllowed returns the reason to refuse a drain that is not recorded yet, if there is one.
func (t *leaderTerm) checkDrainAllowed(now time.Time, drain *placement.Drain) error {
	if err := t.checkTargetExists(drain.Scope, drain.Name); err != nil {
		return err
	}
	if len(t.drains.records) >= maxDrains {
		return status.Errorf(codes.ResourceExhausted, "%d drains are in force already: undrain some", len(t.drains.records))
	}
	if err := t.checkFreeCapacity(now, drain); err != nil && !drain.Force {
		return err
	}
	return nil
}

// checkFreeCapacity returns an error if a drain would leave tasks without free capacity elsewhere.
func (t *leaderTerm) checkFreeCapacity(now time.Time, drain *placement.Drain) error {
	covered, unplaceable := t.scheduler.DrainCheck(now, drain)
	if len(unplaceable) == 0 {
		return nil
	}
	var lines []string
	for i, job := range unplaceable {
		if i == maxListedUnplaceable {
			lines = append(lines, fmt.Sprintf("and %d jobs more", len(unplaceable)-i))
			break
		}
		lines = append(lines, fmt.Sprintf("%s (%d tasks): %s", job.Job, job.Tasks, job.Why))
	}
	return status.Errorf(codes.FailedPrecondition, "draining %d machines of %s leaves no room for: %s; --force drains all the same",
		covered, drain.Target(), strings.Join(lines, "; "))
}

// sameDrainRequest reports whether two requests of an operator ask for the same drain. The second one is then a
// retry, for instance after a lost answer.
func sameDrainRequest(x, y *placement.Drain) bool {
	return x.Who == y.Who && x.Keep == y.Keep && x.Force == y.Force && x.Reason == y.Reason && timeAllowed(x) == timeAllowed(y)
}

// timeAllowed returns how long after its start a drain stops the tasks that still run; 0: never.
func timeAllowed(drain *placement.Drain) time.Duration {
	if drain.Deadline.IsZero() {
		return 0
	}
	return drain.Deadline.Sub(drain.Since)
}

// answerRepeatedDrain decides on a request for a target that is drained already. An identical request waits together with
// the first; a different one, or one that was overtaken, is refused.
func (t *leaderTerm) answerRepeatedDrain(now time.Time, drain *drainRecord, origin *operatorspb.Origin, recorded store.Item, reply operatorReply) (writes bool) {
	var existing drainRecord
	if err := json.Unmarshal(recorded.Value, &existing); err != nil {
		reply(nil, status.Errorf(codes.Internal, "%s: %v", recorded.Key, err))
		return false
	}
	switch {
	case drain.ID != "" && drain.ID == existing.ID:
		t.drains.awaitStarts(&drain.Drain, recorded.Revision, now, reply)
		return false
	case t.drains.history.overtaken(drain.Key(), origin) || !sameDrainRequest(&existing.Drain, &drain.Drain):
		reply(nil, status.Errorf(codes.AlreadyExists, "%s is drained since %s by %s: undrain it first to change how", drain.Target(),
			existing.Since.Format(time.RFC3339), existing.Who))
		return false
	}
	t.confirmDrained(drain, recorded, reply)
	return true
}

// confirmDrained makes the answer that a target is drained already a change like others, as the change that the fence
// runs.
//
// Guard: an earlier request to end the drain may be held on its way. The operator who was told that the target is drained
// does not expect it any more.
func (t *leaderTerm) confirmDrained(drain *drainRecord, recorded store.Item, reply operatorReply) {
	t.commitFenceOnly(func(revision uint64, err error) {
		if err != nil {
			reply(nil, err)
			return
		}
		t.drains.history.changed(drain.Key(), revision)
		t.drains.awaitStarts(&drain.Drain, recorded.Revision, t.ctrl.env.Now(), reply)
	})
}

// handleUndrain removes a drain's record, and replies with the drain as it was before.
func (t *leaderTerm) handleUndrain(request *operatorspb.UndrainRequest, reply operatorReply) {
	scope, name, err := drainTarget(request.Node, request.Zone, request.Type)
	if err != nil {
		reply(nil, err)
		return
	}
	drain := &placement.Drain{Scope: scope, Name: name}
	t.changeDrains(reply, func() (writes bool) { return t.undrain(drain, request.Origin, reply) })
}

// undrain decides on a request to end a drain, see changeDrains.
func (t *leaderTerm) undrain(drain *placement.Drain, origin *operatorspb.Origin, reply operatorReply) (writes bool) {
	recorded, ok := t.drains.records[drain.Key()]
	if !ok {
		notDrained := status.Errorf(codes.NotFound, "%s is not drained; marlwood drains lists what is", drain.Target())
		t.confirmNotDrained(drain.Key(), func(revision uint64, err error) {
			t.replyWhenAnnounced(revision, func() { reply(nil, cmp.Or(err, notDrained)) })
		})
		return true
	}
	if t.drains.history.overtaken(drain.Key(), origin) {
		reply(nil, status.Errorf(codes.Aborted, "outdated: %s was drained since this was asked, and is drained now: look at marlwood drains", drain.Target()))
		return false
	}
	row := t.scheduler.DrainRow(t.ctrl.env.Now(), drain.Target())
	t.removeDrain(recorded, func(revision uint64, err error) {
		if err != nil {
			reply(nil, err)
			return
		}
		t.ctrl.log.Info("drain ended", "target", drain.Target(), "asked_by", row.GetWho(), "since", time.UnixMilli(row.GetSinceUnixMs()))
		t.replyWhenAnnounced(revision, func() {
			reply(&operatorspb.Reply{What: &operatorspb.Reply_Undrain{Undrain: &operatorspb.UndrainResponse{Drain: row}}}, nil)
		})
	})
	return true
}

// handleDrains replies with all drains in force.
func (t *leaderTerm) handleDrains(reply operatorReply) {
	t.whenDrainsKnown(reply, func() {
		rows := t.scheduler.DrainRows(t.ctrl.env.Now())
		reply(&operatorspb.Reply{What: &operatorspb.Reply_Drains{Drains: &operatorspb.DrainsResponse{Rows: rows, Revision: t.drains.fence.revision}}}, nil)
	})
}
