package controller

import (
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
	drain := &placement.Drain{
		Scope:  scope,
		Name:   name,
		Since:  t.ctrl.env.WallClock().UTC().Truncate(time.Millisecond),
		Keep:   request.Keep,
		Force:  request.Force,
		Reason: request.Reason,
		Who:    caller.GetName(),
	}
	if after := drainDeadline(request); after > 0 {
		drain.Deadline = drain.Since.Add(after)
	}
	t.whenDrainsKnown(reply, func() { t.drain(drain, reply) })
}

// drain handles a valid request after it is known which drains are stored.
func (t *leaderTerm) drain(drain *placement.Drain, reply operatorReply) {
	now := t.ctrl.env.Now()
	if recorded, ok := t.drains.records[drain.Key()]; ok {
		t.answerRepeatedDrain(now, drain, recorded, reply)
		return
	}
	if err := t.checkDrainAllowed(now, drain); err != nil {
		reply(nil, err)
		return
	}
	t.recordNewDrain(drain, reply)
}

// recordNewDrain records a checked drain. The request is answered later, see awaitStarts.
func (t *leaderTerm) recordNewDrain(drain *placement.Drain, reply operatorReply) {
	txn := t.newTxn(store.Put(drain.Key(), drain))
	txn.Preconditions = append(txn.Preconditions, store.Precondition{Key: drain.Key()})
	t.recordDrain(txn, func(item store.Item, err error) {
		if err != nil {
			reply(nil, err)
			return
		}
		t.drains.records[drain.Key()] = item
		t.publishDrains()
		t.drains.awaitStarts(drain, item.Revision, t.ctrl.env.Now(), reply)
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

// answerRepeatedDrain handles a request for a target that is drained already. An identical request waits
// together with the first; a different one is refused.
func (t *leaderTerm) answerRepeatedDrain(now time.Time, drain *placement.Drain, recorded store.Item, reply operatorReply) {
	var existing placement.Drain
	if err := json.Unmarshal(recorded.Value, &existing); err != nil {
		reply(nil, status.Errorf(codes.Internal, "%s: %v", recorded.Key, err))
		return
	}
	if sameDrainRequest(&existing, drain) {
		t.drains.awaitStarts(drain, recorded.Revision, now, reply)
		return
	}
	reply(nil, status.Errorf(codes.AlreadyExists, "%s is drained since %s by %s: undrain it first to change how", drain.Target(),
		existing.Since.Format(time.RFC3339), existing.Who))
}

// handleUndrain removes a drain's record, and replies with the drain as it was before.
func (t *leaderTerm) handleUndrain(request *operatorspb.UndrainRequest, reply operatorReply) {
	scope, name, err := drainTarget(request.Node, request.Zone, request.Type)
	if err != nil {
		reply(nil, err)
		return
	}
	drain := &placement.Drain{Scope: scope, Name: name}
	t.whenDrainsKnown(reply, func() { t.undrain(drain, reply) })
}

// undrain ends a drain after it is known which drains are stored.
func (t *leaderTerm) undrain(drain *placement.Drain, reply operatorReply) {
	recorded, ok := t.drains.records[drain.Key()]
	if !ok {
		reply(nil, status.Errorf(codes.NotFound, "%s is not drained; marlwood drains lists what is", drain.Target()))
		return
	}
	row := t.scheduler.DrainRow(t.ctrl.env.Now(), drain.Target())
	t.removeDrain(recorded, func(err error) {
		if err != nil {
			reply(nil, err)
			return
		}
		reply(&operatorspb.Reply{What: &operatorspb.Reply_Undrain{Undrain: &operatorspb.UndrainResponse{Drain: row}}}, nil)
	})
}

// handleDrains replies with all drains in force.
func (t *leaderTerm) handleDrains(reply operatorReply) {
	t.whenDrainsKnown(reply, func() {
		rows := t.scheduler.DrainRows(t.ctrl.env.Now())
		reply(&operatorspb.Reply{What: &operatorspb.Reply_Drains{Drains: &operatorspb.DrainsResponse{Rows: rows}}}, nil)
	})
}

// pendingDrain is a recorded drain whose request is not answered yet.
type pendingDrain struct {
	target   string
	key      string
	revision uint64 // of its record
	deadline time.Time
	reply    operatorReply
}

// drainReplyWait limits how long a reply is delayed by task starts that were ordered before the drain.
const drainReplyWait = 8 * time.Second

// awaitStarts delays the reply to a request until no task start that was ordered before its drain can be executed.
func (d *drainRecords) awaitStarts(drain *placement.Drain, revision uint64, now time.Time, reply operatorReply) {
	d.pending = append(d.pending, pendingDrain{
		target:   drain.Target(),
		key:      drain.Key(),
		revision: revision,
		deadline: now.Add(drainReplyWait),
		reply:    reply,
	})
}

// answerPendingDrains answers the pending requests that are complete or have timed out.
func (t *leaderTerm) answerPendingDrains(now time.Time) {
	t.drains.pending = slices.DeleteFunc(t.drains.pending, func(pending pendingDrain) bool {
		return t.answerPendingDrain(now, pending)
	})
}

// answerPendingDrain answers a pending request if its drain is complete or the wait has timed out, and reports
// whether it did.
//
// Guard: no task may start on a drained machine after the reply. A start that was ordered just before the drain may
// still be on its way to the machine; its outcome is known after the machine has sent a later heartbeat.
//
// Guard: another operator may have removed the drain meanwhile. Without the check of the record, the first operator
// received the answer that the machine was drained, and then saw tasks start there (found by the explorer, seed
// 50063006).
func (t *leaderTerm) answerPendingDrain(now time.Time, pending pendingDrain) (answered bool) {
	if recorded, ok := t.drains.records[pending.key]; !ok || recorded.Revision != pending.revision {
		pending.reply(nil, status.Errorf(codes.Aborted, "somebody else has undrained %s just now: look at marlwood drains", pending.target))
		return true
	}
	starts, machines := t.scheduler.UnresolvedStarts(pending.target)
	if starts+machines > 0 && now.Before(pending.deadline) {
		return false
	}
	if starts+machines > 0 {
		pending.reply(nil, status.Errorf(codes.DeadlineExceeded,
			"%s is drained, but it is not known yet whether %d starts come that were ordered before, and %d machines have not answered the present leader: try again, or look at marlwood drains",
			pending.target, starts, machines))
		return true
	}
	pending.reply(&operatorspb.Reply{What: &operatorspb.Reply_Drain{Drain: &operatorspb.DrainResponse{Drain: t.scheduler.DrainRow(now, pending.target)}}}, nil)
	return true
}
