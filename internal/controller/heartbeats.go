package controller

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"
	"unicode/utf8"

	fastjson "github.com/segmentio/encoding/json"

	"github.com/marlwood/marlwood/internal/api"
	"github.com/marlwood/marlwood/internal/httpwire"
	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/workers"
)

// serveHeartbeat decodes a worker's heartbeat on the listener's loop and queues it for the controller's loop,
// which answers it.
func (c *Controller) serveHeartbeat(req *httpwire.Request, reply httpwire.Reply) {
	heartbeat, err := decodeHeartbeat(req.Body)
	if err != nil {
		reply(api.ErrorAnswer(http.StatusBadRequest, err.Error()))
		return
	}
	env, _ := c.env.(*liveEnvironment) // only the live environment has a listener
	arrivedAt := c.env.Now()
	handle := env.timed(func() {
		now := c.env.Now()
		if now.Sub(arrivedAt) > heartbeatQueueWait {
			reply(api.RetryAnswer(http.StatusServiceUnavailable, "overloaded"))
			return
		}
		c.HandleHeartbeat(now, heartbeat, func(result workers.HeartbeatResult) { reply(heartbeatAnswer(result)) })
		c.metrics.Report(c.env.Now().Sub(now))
	})
	select {
	case env.heartbeats <- handle:
	default:
		reply(api.RetryAnswer(http.StatusServiceUnavailable, "overloaded"))
	}
}

// decodeHeartbeat decodes and checks a worker's heartbeat.
func decodeHeartbeat(body []byte) (*model.Heartbeat, error) {
	// Guard: the decoder does not check the encoding of strings, and a string that is not UTF-8 cannot be
	// sent to the leader. One such heartbeat would block all of an owner's responses to the leader
	// (FuzzDecodeHeartbeat).
	if !utf8.Valid(body) {
		return nil, errors.New("not a report: not UTF-8")
	}
	heartbeat := &model.Heartbeat{}
	if err := fastjson.Unmarshal(body, heartbeat); err != nil {
		return nil, fmt.Errorf("not a report: %w", err)
	}
	return heartbeat, workers.ValidateHeartbeat(heartbeat)
}

// heartbeatQueueWait is how long a heartbeat may wait for the loop.
//
// Guard: a worker gives up on a heartbeat after four seconds and drops a later answer. When all workers come
// back at once, queued heartbeats whose workers have already given up would keep the loop from the other
// heartbeats, for as long as all workers keep retrying (TestLateHeartbeatsAreDropped).
const heartbeatQueueWait = 3 * time.Second

// heartbeatAnswer encodes the result of a heartbeat for the worker.
func heartbeatAnswer(result workers.HeartbeatResult) httpwire.Answer {
	answer := httpwire.Answer{Status: result.Status}
	switch result.Status {
	case http.StatusOK:
		if result.Commands == nil {
			result.Commands = []model.Command{}
		}
		answer.Body, _ = json.Marshal(model.HeartbeatResponse{Token: result.Token, Commands: result.Commands})
	case http.StatusMisdirectedRequest:
		answer.Body, _ = json.Marshal(map[string]string{"foreman": result.Redirect})
	default:
		answer = api.ErrorAnswer(result.Status, "not entitled to act")
	}
	return answer
}

// HandleHeartbeat handles a worker's checked heartbeat, on the loop. reply is called once, now or
// later.
func (c *Controller) HandleHeartbeat(now time.Time, heartbeat *model.Heartbeat, reply func(workers.HeartbeatResult)) {
	c.answerHeartbeat(now, pendingHeartbeat{heartbeat: heartbeat, reply: reply, arrivedAt: now})
}

// acknowledgementWait is how long a heartbeat waits for the leader's acknowledgement. A worker gives up after
// four seconds.
//
// Guard: in a takeover of thousands of machines at once, the acknowledgement takes longer to arrive than a
// delegated lease does. When workers were turned away sooner, they went from one controller to the next, and
// their leases expired meanwhile.
const acknowledgementWait = 3 * time.Second

// answerHeartbeat answers a heartbeat, or queues it if it only needs a message of the leader.
//
// Guard: for some seconds after the leader is lost, no controller has a delegated lease. Workers that were
// turned away during that time went from controller to controller, including the lost one, where each try
// takes four seconds. Their leases expired before the next leader delegated its first lease
// (TestHeartbeatsWaitForDelegatedLease).
func (c *Controller) answerHeartbeat(now time.Time, pending pendingHeartbeat) {
	pending.result = c.registry.HandleHeartbeat(now, pending.heartbeat)
	if pending.result.NotifyLeader && c.term != nil {
		c.term.startRoundSoon()
	}
	if !pending.result.AwaitsLeader {
		pending.reply(pending.result)
		return
	}
	pending.deadline = pending.arrivedAt.Add(c.settings.Placement.ReportWait)
	if pending.result.AwaitsAcknowledgement {
		pending.deadline = pending.arrivedAt.Add(max(c.settings.Placement.ReportWait, acknowledgementWait))
	}
	if now.Before(pending.deadline) {
		c.pendingHeartbeats.add(pending)
		return
	}
	c.answerUndecided(pending)
}

// answerUndecided answers a heartbeat that has waited too long for a message of the leader.
func (c *Controller) answerUndecided(pending pendingHeartbeat) {
	if leader, _ := c.registry.Leader(); leader != "" && leader != c.cfg.Member {
		pending.result.Status = http.StatusMisdirectedRequest
		pending.result.Redirect = c.otherPeer(leader)
	}
	pending.reply(pending.result)
}

// retryPendingHeartbeats tries again to answer all pending heartbeats after a message of the leader.
func (c *Controller) retryPendingHeartbeats(now time.Time) {
	for _, pending := range c.pendingHeartbeats.takeAll() {
		c.answerHeartbeat(now, pending)
	}
}

// expirePendingHeartbeats answers the heartbeats that have waited too long. The others stay queued, because only
// a message of the leader can change their result.
func (c *Controller) expirePendingHeartbeats(now time.Time) {
	for _, pending := range c.pendingHeartbeats.takeExpired(now) {
		c.answerUndecided(pending)
	}
}

// otherPeer returns the name of a controller other than this one and the one that is probably lost, or "" if
// there is none.
func (c *Controller) otherPeer(lost string) string {
	for _, peer := range c.peers {
		if !peer.local && peer.member != lost {
			return peer.member
		}
	}
	return ""
}
