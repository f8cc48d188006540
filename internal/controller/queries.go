package controller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/marlwood/marlwood/internal/leadership"
	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/operators/operatorspb"
	"github.com/marlwood/marlwood/internal/placement"
	"github.com/marlwood/marlwood/internal/store"
)

// handleJobs replies with a page of the open jobs.
func (t *leaderTerm) handleJobs(now time.Time, request *operatorspb.JobsRequest, reply operatorReply) {
	rows, more := t.scheduler.JobRows(now, request.After)
	reply(&operatorspb.Reply{What: &operatorspb.Reply_Jobs{Jobs: &operatorspb.JobsResponse{Rows: rows, More: more}}}, nil)
}

// handleNodes replies with a page of the machines.
func (t *leaderTerm) handleNodes(now time.Time, request *operatorspb.NodesRequest, reply operatorReply) {
	rows, more := t.scheduler.MachineRows(now, request.After)
	reply(&operatorspb.Reply{What: &operatorspb.Reply_Nodes{Nodes: &operatorspb.NodesResponse{Rows: rows, More: more}}}, nil)
}

// handleTeams replies with all teams and their usage.
func (t *leaderTerm) handleTeams(reply operatorReply) {
	if t.ctrl.settings.Accounts.Keep != "yes" {
		t.answerTeams(false, reply)
		return
	}
	t.ctrl.env.Go(func() {
		leads := t.stillLeads()
		t.ctrl.post(func() { t.answerTeams(leads, reply) })
	})
}

// answerTeams replies with all teams. It includes their usage only if leads is set, that is, the state service confirmed
// that this controller is the leader, and the stored usage is known.
func (t *leaderTerm) answerTeams(leads bool, reply operatorReply) {
	rows := t.scheduler.TeamRows()
	used, known := t.usage.stored()
	if leads && known {
		addUsage(rows, used)
	} else {
		for _, row := range rows {
			row.UsageUnknown = t.ctrl.settings.Accounts.Keep == "yes"
		}
	}
	reply(&operatorspb.Reply{What: &operatorspb.Reply_Teams{Teams: &operatorspb.TeamsResponse{Rows: rows}}}, nil)
}

// leadershipCheckTimeout limits how long a reply waits for the state service to confirm the leader.
const leadershipCheckTimeout = time.Second

// stillLeads reports whether the leader key in the state service names this controller. It runs outside the loop.
//
// Guard: the leader lease may outlast the key. Without this check, a deposed leader reported less usage than the next
// leader had already reported (simtest, TestDeposedLeaderTellsNoUsage).
func (t *leaderTerm) stillLeads() bool {
	ctx, cancel := context.WithTimeout(t.ctx, leadershipCheckTimeout)
	defer cancel()
	item, err := t.ctrl.store.Get(ctx, leadership.Key)
	if err != nil {
		return false
	}
	var record leadership.LeaderRecord
	err = json.Unmarshal(item.Value, &record)
	return err == nil && record.Member == t.ctrl.cfg.Member && record.Boot == t.ctrl.bootID && t.ctx.Err() == nil
}

// handleStatus replies with a summary of the cluster and its leader.
func (t *leaderTerm) handleStatus(now time.Time, reply operatorReply) {
	response := t.scheduler.Status(now)
	response.Member, response.Leader, response.Token = t.ctrl.cfg.Member, t.ctrl.cfg.Member, t.token
	reply(&operatorspb.Reply{What: &operatorspb.Reply_Status{Status: response}}, nil)
}

// handleExplain replies with the reasons why not all tasks of a job run.
func (t *leaderTerm) handleExplain(now time.Time, request *operatorspb.ExplainRequest, reply operatorReply) {
	response := t.scheduler.Explain(now, request.Job)
	if response == nil {
		t.answerForClosedJob(request.Job, reply)
		return
	}
	if !t.scheduler.Complete() {
		response.Reasons = append([]*operatorspb.Reason{t.takeoverReason(now)}, response.Reasons...)
	}
	reply(&operatorspb.Reply{What: &operatorspb.Reply_Explain{Explain: response}}, nil)
}

// takeoverReason returns the reason that no task starts before the takeover by this leader is complete.
func (t *leaderTerm) takeoverReason(now time.Time) *operatorspb.Reason {
	clusterStatus := t.scheduler.Status(now)
	until := t.ctrl.env.WallClock().Add(t.earlierLeasesExpiry(now).Sub(now))
	return &operatorspb.Reason{
		Code:        placement.CodeTakeover,
		UntilUnixMs: until.UnixMilli(),
		Text: fmt.Sprintf("%s has led for %v; nothing starts until %d of %d machines have answered it or their leases are over",
			t.ctrl.cfg.Member, now.Sub(t.began).Round(100*time.Millisecond), clusterStatus.Unseen, clusterStatus.Machines),
	}
}

// handleBlockers replies with what prevents the placement of a job's tasks, machine by machine.
func (t *leaderTerm) handleBlockers(now time.Time, request *operatorspb.BlockersRequest, reply operatorReply) {
	response := t.scheduler.Blockers(now, request.Job)
	if response == nil {
		t.answerForClosedJob(request.Job, reply)
		return
	}
	reply(&operatorspb.Reply{What: &operatorspb.Reply_Blockers{Blockers: response}}, nil)
}

// answerForClosedJob replies with the error for a query about a job that is neither open nor waiting: the job has
// finished, or nobody submitted it.
func (t *leaderTerm) answerForClosedJob(id string, reply operatorReply) {
	if !model.ValidID(id) {
		reply(nil, status.Errorf(codes.InvalidArgument, "%q cannot be the id of a job", id))
		return
	}
	t.ctrl.env.Go(func() {
		var final placement.FinalJobRecord
		item, err := t.ctrl.store.Get(t.ctx, placement.DonePrefix+id)
		if err == nil {
			err = json.Unmarshal(item.Value, &final)
		}
		switch {
		case errors.Is(err, store.ErrNotFound):
			reply(nil, status.Errorf(codes.NotFound, "no job %q", id))
		case err != nil:
			reply(nil, status.Errorf(codes.Unavailable, "the state service does not tell: %v", err))
		default:
			reply(nil, status.Errorf(codes.FailedPrecondition, "job %q is over: %s", id, final.Stage))
		}
	})
}
