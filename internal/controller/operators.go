package controller

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/marlwood/marlwood/internal/metrics"
	"github.com/marlwood/marlwood/internal/operators/operatorspb"
)

// forwarder is a peer connection over which operators' requests can be forwarded.
type forwarder interface {
	// Forward passes a request on, and returns the answer of the controller at the other end.
	Forward(ctx context.Context, request *operatorspb.Request) (*operatorspb.Reply, error)
}

// operatorReply receives the reply to an operator's request, or a gRPC status error. It is called once.
type operatorReply func(*operatorspb.Reply, error)

// HandleOperatorRequest answers an operator's request if this controller is the leader, and otherwise forwards it to
// the leader. It waits for the answer and must not be called on the loop.
func (c *Controller) HandleOperatorRequest(ctx context.Context, request *operatorspb.Request) (*operatorspb.Reply, error) {
	type outcome struct {
		reply *operatorspb.Reply
		err   error
	}
	outcomes := make(chan outcome, 1)
	c.post(func() {
		c.HandleOperatorRequestOnLoop(ctx, c.env.Now(), request, func(out *operatorspb.Reply, err error) { outcomes <- outcome{out, err} })
	})
	select {
	case o := <-outcomes:
		return o.reply, o.err
	case <-ctx.Done():
		return nil, status.FromContextError(ctx.Err()).Err()
	case <-c.ctx.Done():
		return nil, status.Error(codes.Unavailable, "this controller ends")
	}
}

// maxHops limits how often a request is forwarded between controllers while the leader changes.
const maxHops = 2

// HandleOperatorRequestOnLoop is HandleOperatorRequest for callers on the loop: it does not wait for the answer. It
// calls reply once, on the loop or outside it.
func (c *Controller) HandleOperatorRequestOnLoop(ctx context.Context, now time.Time, request *operatorspb.Request, reply func(*operatorspb.Reply, error)) {
	c.addOrigin(request)
	if c.term != nil && c.elector.HoldsLease(now) {
		c.timeStep(metrics.Queries, func() { c.term.handleOperatorRequest(now, request, reply) })
		return
	}
	leader, _ := c.registry.Leader()
	for _, peer := range c.peers {
		link, ok := peer.peer.(forwarder)
		if peer.local || peer.member != leader || !ok || request.Hops >= maxHops {
			continue
		}
		request.Hops++
		c.env.Go(func() { reply(link.Forward(ctx, request)) })
		return
	}
	if request.GetStatus() != nil { // controllers that are not the leader also answer this
		reply(&operatorspb.Reply{What: &operatorspb.Reply_Status{Status: &operatorspb.StatusResponse{Member: c.cfg.Member, Leader: leader}}}, nil)
		return
	}
	reply(nil, status.Errorf(codes.Unavailable, "no controller leads that %s knows of; one does within %v, as a rule", c.cfg.Member, 2*c.timing.KeyLease))
}

// handleOperatorRequest answers an operator's request as the leader.
func (t *leaderTerm) handleOperatorRequest(now time.Time, request *operatorspb.Request, reply operatorReply) {
	if !t.loaded {
		reply(nil, status.Errorf(codes.Unavailable, "%s has led for %v and still reads the records", t.ctrl.cfg.Member, now.Sub(t.began).Round(time.Millisecond)))
		return
	}
	switch query := request.What.(type) {
	case *operatorspb.Request_Jobs:
		t.handleJobs(now, query.Jobs, reply)
	case *operatorspb.Request_Nodes:
		t.handleNodes(now, query.Nodes, reply)
	case *operatorspb.Request_Teams:
		t.handleTeams(reply)
	case *operatorspb.Request_Explain:
		t.handleExplain(now, query.Explain, reply)
	case *operatorspb.Request_Blockers:
		t.handleBlockers(now, query.Blockers, reply)
	case *operatorspb.Request_Drain:
		t.handleDrain(request.Caller, query.Drain, reply)
	case *operatorspb.Request_Undrain:
		t.handleUndrain(query.Undrain, reply)
	case *operatorspb.Request_Drains:
		t.handleDrains(reply)
	case *operatorspb.Request_Settings:
		t.handleSettings(query.Settings, reply)
	case *operatorspb.Request_Compare:
		t.handleCompare(query.Compare, reply)
	case *operatorspb.Request_Reload:
		t.handleReload(request.Caller, query.Reload, reply)
	case *operatorspb.Request_Status:
		t.handleStatus(now, reply)
	default:
		reply(nil, status.Error(codes.Unimplemented, "this version does not know the request"))
	}
}

// failPendingRequests answers the operators' pending requests with errors when the term ends.
func (t *leaderTerm) failPendingRequests() {
	for _, pending := range t.drains.pending {
		pending.reply(nil, status.Errorf(codes.Unknown, "%s is recorded, but the leader has changed since: the next one goes on with it", pending.target))
	}
	t.drains.pending = nil
	for _, waiting := range t.drains.announcing {
		waiting.reply()
	}
	t.drains.announcing = nil
	if t.pendingReload != nil {
		t.pendingReload.reply(nil, status.Error(codes.Unknown, "the leader has changed meanwhile: look at marlwood settings"))
		t.pendingReload = nil
	}
}
