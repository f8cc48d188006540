package controller

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/marlwood/marlwood/internal/operators/operatorspb"
	"github.com/marlwood/marlwood/internal/store"
)

// pendingReload is a reload that is under way.
type pendingReload struct {
	id            string // name that the sender gave to the request
	number        uint64
	changes       []*operatorspb.Change
	adoptDeadline time.Time // zero: the settings are not recorded yet
	reply         operatorReply
}

// adoptionTimeout limits how long the reply to a reload waits until every controller has adopted the settings.
const adoptionTimeout = 6 * time.Second

// settingsCheckTimeout limits how long a controller may take to answer whether it could adopt settings.
const settingsCheckTimeout = 3 * time.Second

// settingsChecker is a peer connection over which a controller can be asked whether it could adopt settings.
type settingsChecker interface {
	// CheckSettings returns why the controller cannot adopt the settings in text; "" if it can.
	CheckSettings(ctx context.Context, text string) (problem string, err error)
}

// handleReload puts settings in force on all controllers or on none. It first asks all controllers whether they
// could adopt the settings. Then one transaction stores them as the record in force, whose number the leader
// announces with its messages.
//
// Guard: the stored record decides which settings are in force. If the leader dies before the transaction, the old
// settings stay in force; if it dies after it, the new ones are in force, because the next leader reads the record
// before its scheduler starts. The settings that the safety of leadership depends on are never reloaded.
func (t *leaderTerm) handleReload(caller *operatorspb.Caller, request *operatorspb.ReloadRequest, reply operatorReply) {
	if t.pendingReload != nil {
		reply(nil, status.Error(codes.Aborted, "another reload is under way: look at marlwood settings"))
		return
	}
	if len(request.Reason) > maxReasonBytes {
		reply(nil, status.Errorf(codes.InvalidArgument, "reason: at most %d bytes", maxReasonBytes))
		return
	}
	t.pendingReload = &pendingReload{reply: reply, id: request.Origin.GetId()}
	inForce := t.ctrl.adoption.number
	switch {
	case t.pendingReload.id != "" && t.pendingReload.id == t.ctrl.adoption.id:
		t.pendingReload.number = inForce // it is in force already, and its answer was lost
		t.finishReload(nil)
	case request.Origin != nil && request.Origin.Seen != inForce:
		t.finishReload(status.Errorf(codes.Aborted, "outdated: settings %d were in force when this was asked, and settings %d are now: look at marlwood settings history",
			request.Origin.Seen, inForce))
	case request.Number > 0:
		t.reloadPastSettings(caller, request)
	default:
		t.checkOnAllControllers(request.Text, caller.GetName(), request.Reason)
	}
}

// reloadPastSettings reads the earlier record that a reload names by its number, and continues the reload with its text.
func (t *leaderTerm) reloadPastSettings(caller *operatorspb.Caller, request *operatorspb.ReloadRequest) {
	t.ctrl.env.Go(func() {
		item, err := t.ctrl.store.Get(t.ctx, pastSettingsKeys+pastSettingsName(request.Number))
		var record settingsRecord
		if err == nil {
			err = json.Unmarshal(item.Value, &record)
		}
		t.ctrl.post(func() {
			switch {
			case t.pendingReload == nil: // the term has ended
			case errors.Is(err, store.ErrNotFound):
				t.finishReload(status.Errorf(codes.NotFound, "number: no settings %d; marlwood settings history lists them", request.Number))
			case err != nil:
				t.finishReload(status.Errorf(codes.Unavailable, "the state service does not tell: %v", err))
			default:
				t.checkOnAllControllers(record.Text, caller.GetName(), cmp.Or(request.Reason, fmt.Sprintf("back to %d", request.Number)))
			}
		})
	})
}

// pastSettingsName returns the last part of the key of an earlier record. It is padded so that the order of the keys is
// the order of the numbers.
func pastSettingsName(number uint64) string { return fmt.Sprintf("%010d", number) }

// finishReload answers the pending reload: with an error, or with the controllers that have adopted the settings.
func (t *leaderTerm) finishReload(err error) {
	reload := t.pendingReload
	t.pendingReload = nil
	if err != nil {
		reload.reply(nil, err)
		return
	}
	response := &operatorspb.ReloadResponse{Number: reload.number, Changes: reload.changes}
	for _, peer := range t.ctrl.peers {
		if peer.local || peer.settingsNumber >= reload.number {
			response.Adopted = append(response.Adopted, peer.member)
		}
	}
	slices.Sort(response.Adopted)
	reload.reply(&operatorspb.Reply{What: &operatorspb.Reply_Reload{Reload: response}}, nil)
}

// checkOnAllControllers asks every controller whether it could adopt the settings in text, and records them if all can.
func (t *leaderTerm) checkOnAllControllers(text, who, reason string) {
	changes, err := t.checkOnLeader(text)
	if err != nil {
		t.finishReload(err)
		return
	}
	t.pendingReload.changes = changes
	checkers, problems := t.settingsCheckers()
	t.ctrl.env.Go(func() {
		t.checkOnPeers(text, checkers, problems)
		found := slices.DeleteFunc(problems, func(problem string) bool { return problem == "" })
		t.ctrl.post(func() {
			if t.pendingReload == nil {
				return
			}
			if len(found) > 0 {
				t.finishReload(status.Errorf(codes.FailedPrecondition, "nothing was changed: %s", strings.Join(found, "; ")))
				return
			}
			t.recordSettings(text, who, reason)
		})
	})
}

// checkOnLeader returns what the settings in text would change, or an error if this controller cannot adopt them.
func (t *leaderTerm) checkOnLeader(text string) ([]*operatorspb.Change, error) {
	changes, err := t.ctrl.changesTo(text)
	if err != nil {
		return nil, err
	}
	if _, err := t.ctrl.effectiveSettings(text); err != nil {
		return nil, status.Errorf(codes.FailedPrecondition, "%s cannot adopt it: %v", t.ctrl.cfg.Member, err)
	}
	return changes, nil
}

// settingsCheckers returns the connections to the other controllers by their index among the peers. problems has an
// entry for each peer, which is set if the peer cannot be asked.
func (t *leaderTerm) settingsCheckers() (checkers map[int]settingsChecker, problems []string) {
	checkers, problems = map[int]settingsChecker{}, make([]string, len(t.ctrl.peers))
	for i, peer := range t.ctrl.peers {
		if peer.local {
			continue
		}
		if checker, ok := peer.peer.(settingsChecker); ok {
			checkers[i] = checker
		} else {
			problems[i] = peer.member + " cannot be asked"
		}
	}
	return checkers, problems
}

// checkOnPeers asks the other controllers in parallel whether they could adopt the settings in text, and sets an entry
// of problems for each one that cannot. It runs outside the loop.
func (t *leaderTerm) checkOnPeers(text string, checkers map[int]settingsChecker, problems []string) {
	var pending sync.WaitGroup
	for i, checker := range checkers {
		pending.Add(1)
		go func() {
			defer pending.Done()
			problem := t.checkOnPeer(checker, text)
			if problem != "" {
				problems[i] = t.ctrl.peers[i].member + " " + problem
			}
		}()
	}
	pending.Wait()
}

// checkOnPeer asks one controller, and returns why it cannot adopt the settings in text; "" if it can.
func (t *leaderTerm) checkOnPeer(checker settingsChecker, text string) string {
	ctx, cancel := context.WithTimeout(t.ctx, settingsCheckTimeout)
	defer cancel()
	problem, err := checker.CheckSettings(ctx, text)
	switch {
	case status.Code(err) == codes.Unimplemented:
		return "runs a version that knows no reload"
	case err != nil:
		return "does not answer"
	case problem != "":
		return "cannot adopt it: " + problem
	}
	return ""
}

// recordSettings stores the settings in text as the record in force. It runs on the loop.
func (t *leaderTerm) recordSettings(text, who, reason string) {
	record := settingsRecord{
		Number: t.ctrl.adoption.nextNumber(),
		Text:   text,
		Who:    who,
		At:     t.ctrl.env.WallClock().UTC().Truncate(time.Millisecond),
		Reason: reason,
		ID:     t.pendingReload.id,
	}
	if err := t.checkSettingsSize(record); err != nil {
		t.finishReload(status.Error(codes.InvalidArgument, err.Error()))
		return
	}
	t.ctrl.env.Go(func() {
		result, err := t.commitSettings(record)
		write := t.resolveWrite(store.Put(settingsKey, record), result, err)
		t.ctrl.post(func() { t.settingsWritten(record.Number, write) })
	})
}

// checkSettingsSize returns an error if a record is too large to be stored.
func (t *leaderTerm) checkSettingsSize(record settingsRecord) error {
	value, err := json.Marshal(record)
	if err != nil {
		return err
	}
	if limit := t.ctrl.cfg.ValueBytes - 64; len(value) > limit {
		return fmt.Errorf("the text has %d bytes, the state service takes %d", len(value), limit)
	}
	return nil
}

// commitSettings stores a record if the record in force has a lower number. It runs outside the loop.
func (t *leaderTerm) commitSettings(record settingsRecord) (store.TxnResult, error) {
	stored, err := t.ctrl.store.Get(t.ctx, settingsKey)
	if errors.Is(err, store.ErrNotFound) {
		stored, err = store.Item{Key: settingsKey}, nil
	}
	if err != nil {
		return store.TxnResult{}, err
	}
	var inForce settingsRecord
	if stored.Revision != 0 {
		if err := json.Unmarshal(stored.Value, &inForce); err != nil {
			return store.TxnResult{}, err
		}
	}
	if inForce.Number >= record.Number { // an earlier change was executed late
		return store.TxnResult{Failed: []string{settingsKey}}, nil
	}
	txn := t.newTxn(store.Put(settingsKey, record), store.Put(pastSettingsKeys+pastSettingsName(record.Number), record))
	if record.Number > maxPastSettings {
		txn.Writes = append(txn.Writes, store.Delete(pastSettingsKeys+pastSettingsName(record.Number-maxPastSettings)))
	}
	txn.Preconditions = append(txn.Preconditions, store.Precondition{Key: settingsKey, Revision: stored.Revision})
	return t.commit(txn)
}

// settingsWritten handles the result of storing settings, on the loop. If the outcome of the write is unknown, the
// settings are adopted when the records are read again.
func (t *leaderTerm) settingsWritten(number uint64, write recordWrite) {
	if write.outcome == writeConflict || write.outcome == writeUnknown {
		t.operatorRelist.extend(t.ctrl.env.Now())
	}
	if t.pendingReload == nil { // the term has ended
		return
	}
	switch write.outcome {
	case writeConflict:
		t.finishReload(status.Error(codes.Aborted, "somebody else has changed the settings just now: look at marlwood settings"))
	case writeUnknown:
		t.finishReload(status.Error(codes.Unknown, "the state service gave no answer, so the settings may or may not have changed: look at marlwood settings"))
	case writeFailed:
		t.finishReload(status.Errorf(codes.Unavailable, "nothing was changed: %v", write.err))
	case writeCommitted, writeConfirmed:
		t.ctrl.adoptSettings(write.record)
		t.pendingReload.number, t.pendingReload.adoptDeadline = number, t.ctrl.env.Now().Add(adoptionTimeout)
		t.startRoundSoon()
	}
}

// answerPendingReload answers the pending reload once every controller has adopted the settings or the wait has timed
// out.
func (t *leaderTerm) answerPendingReload(now time.Time) {
	reload := t.pendingReload
	if reload == nil || reload.adoptDeadline.IsZero() {
		return
	}
	all := !slices.ContainsFunc(t.ctrl.peers, func(peer *peerProgress) bool { return !peer.local && peer.settingsNumber < reload.number })
	if all || now.After(reload.adoptDeadline) {
		t.finishReload(nil)
	}
}
