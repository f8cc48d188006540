package controller

import (
	"errors"
	"time"

	"github.com/marlwood/marlwood/internal/metrics"
	"github.com/marlwood/marlwood/internal/peers"
	"github.com/marlwood/marlwood/internal/peers/peerspb"
	"github.com/marlwood/marlwood/internal/placement"
)

const (
	// roundTimeout is how long a sampling round waits for controllers that have not answered.
	roundTimeout = 500 * time.Millisecond
	// storeCheckAge is the maximum age of the last check of the leader key at which the leader reports to its
	// peers that it reaches the state service.
	storeCheckAge = 2500 * time.Millisecond
)

// errLeaseExpired means that the leader lease expired before a message was sent.
var errLeaseExpired = errors.New("controller: leader lease has expired")

// samplingRounds schedules the rounds in which the leader sends a message to every controller. A message carries
// a delegated lease, orders and requests for samples of free machines.
type samplingRounds struct {
	next    time.Time      // when the next one starts
	last    time.Time      // when the last one started
	current *samplingRound // the round in progress; nil if there is none
}

// samplingRound is one round in progress.
type samplingRound struct {
	began   time.Time
	waiting map[*peerProgress]bool // controllers that have not answered
	samples []*peerspb.Sample
}

// received records that the round need not wait for a controller: it answered, or no message can be sent to it.
func (r *samplingRounds) received(peer *peerProgress) {
	if r.current != nil {
		delete(r.current.waiting, peer)
	}
}

// startRoundSoon schedules the next round as early as the minimum interval between rounds allows.
func (t *leaderTerm) startRoundSoon() {
	if at := t.rounds.last.Add(t.ctrl.settings.Placement.Round); at.Before(t.rounds.next) {
		t.rounds.next = at
	}
}

// advanceRounds finishes a round that has waited too long and starts a round that is due.
func (t *leaderTerm) advanceRounds(now time.Time) {
	if t.rounds.current != nil && now.Sub(t.rounds.current.began) > roundTimeout {
		t.finishRound(now)
	}
	if t.rounds.current == nil && !now.Before(t.rounds.next) {
		t.startRound(now)
	}
}

// startRound starts a round: it sends leases, orders and requests for samples to every controller without a
// message in flight.
func (t *leaderTerm) startRound(now time.Time) {
	t.rounds.last = now
	t.rounds.next = now.Add(t.ctrl.settings.Placement.Heartbeat)
	var wants []*peerspb.Want
	if t.loaded {
		t.ctrl.timeStep(metrics.Queue, func() { wants = t.scheduler.RequestSamples(now) })
		t.ctrl.metrics.Round(metrics.Ask, t.ctrl.env.Now().Sub(now))
	}
	t.rounds.current = &samplingRound{began: now, waiting: map[*peerProgress]bool{}}
	for _, peer := range t.ctrl.peers {
		if !peer.inFlight {
			t.rounds.current.waiting[peer] = true
		}
	}
	for _, peer := range t.ctrl.peers {
		if !peer.inFlight {
			t.sendRound(peer, now, wants)
		}
	}
	t.finishRoundIfAnswered(now)
}

func (t *leaderTerm) finishRoundIfAnswered(now time.Time) {
	if t.rounds.current != nil && len(t.rounds.current.waiting) == 0 {
		t.finishRound(now)
	}
}

// finishRound places tasks on the sampled machines and sends the resulting orders.
func (t *leaderTerm) finishRound(now time.Time) {
	samples := t.rounds.current.samples
	t.ctrl.metrics.Round(metrics.Samples, now.Sub(t.rounds.current.began))
	t.rounds.current = nil
	if !t.loaded {
		return
	}
	var placed int
	var settled bool
	t.ctrl.timeStep(metrics.Placing, func() { placed, settled = t.scheduler.Place(now, samples) })
	t.ctrl.metrics.Round(metrics.Place, t.ctrl.env.Now().Sub(now))
	if settled {
		t.ctrl.metrics.Takeover(now.Sub(t.began))
		t.ctrl.log.Info("takeover complete", "token", t.token, "after", now.Sub(t.began), "machines", t.scheduler.Machines().Len())
	}
	if placed > 0 {
		t.ctrl.log.Debug("tasks placed", "tasks", placed)
		t.startRoundSoon()
		t.writeJobs(now) // a gang starts only after its claim is stored
	}
	t.sendPendingOrders(now)
}

// sendPendingOrders sends pending orders to their controllers, except those with a message in flight.
func (t *leaderTerm) sendPendingOrders(now time.Time) {
	for _, peer := range t.ctrl.peers {
		if !peer.inFlight && !peer.restarted && len(t.scheduler.Orders(peer.member)) > 0 {
			t.sendRound(peer, now, nil)
		}
	}
}

// sendRound sends one message to a controller.
func (t *leaderTerm) sendRound(peer *peerProgress, now time.Time, wants []*peerspb.Want) {
	if !t.ctrl.elector.HoldsLease(now) {
		// Guard: answers still arrive after the leader lease has expired, and must not lead to another delegated
		// lease or order.
		t.rounds.received(peer)
		return
	}
	var request *peerspb.RoundRequest
	t.ctrl.timeStep(metrics.Orders, func() { request = t.roundRequest(peer, now, wants) })
	if peer.local {
		t.deliverLocally(peer, now, request)
		return
	}
	t.deliver(peer, now, request)
}

// deliverLocally passes a message to this controller's own registry and handles the response.
func (t *leaderTerm) deliverLocally(peer *peerProgress, now time.Time, request *peerspb.RoundRequest) {
	ctrl := t.ctrl
	var response *peerspb.RoundResponse
	ctrl.timeStep(metrics.OwnerRounds, func() { response = ctrl.registry.HandleRound(now, request) })
	ctrl.noteLeaderStoreSeen()
	ctrl.retryPendingHeartbeats(ctrl.env.Now())
	ctrl.makeDirectCalls(ctrl.env.Now())
	t.recordOpenJobs(peer, request, response)
	t.handleRoundResponse(peer, request.Token, now, response, nil)
}

// deliver sends a message to another controller, outside the loop.
func (t *leaderTerm) deliver(peer *peerProgress, now time.Time, request *peerspb.RoundRequest) {
	ctrl := t.ctrl
	peer.inFlight = true
	conn := peer.peer
	ctrl.env.Go(func() {
		response, err := (*peerspb.RoundResponse)(nil), errLeaseExpired
		if ctrl.holdsLease() {
			response, err = conn.Round(t.ctx, request)
		}
		ctrl.post(func() {
			// Guard: an answer to a message of an earlier term does not free the connection. Otherwise two
			// messages could be in flight at once and be answered in the wrong order
			// (TestOnlyOwnTermFreesConnection).
			if t.ctx.Err() != nil {
				return
			}
			peer.inFlight = false
			if err == nil {
				t.recordOpenJobs(peer, request, response)
			} else {
				peer.sizes.forget(request.Sizes)
			}
			t.handleRoundResponse(peer, request.Token, now, response, err)
		})
	})
}

// logRestartedOwner logs that an owner was restarted under the current token, and what the leader knows of its machines.
func (t *leaderTerm) logRestartedOwner(peer *peerProgress, now time.Time) {
	if !peer.restarted {
		return
	}
	unseen := 0
	for _, machine := range t.scheduler.UnreconciledMachines() {
		if t.scheduler.Owners()[machine.Pool] == peer.member && machine.Phase != placement.Current {
			unseen++
		}
	}
	t.ctrl.log.Info("owner restarted under the token", "peer", peer.member, "token", t.token, "unseen_machines", unseen,
		"lease", peer.usesOpenJobs, "view_age", now.Sub(t.ctrl.elector.LastJobsView()))
}

// handleRoundResponse handles a controller's answer to a message that was sent at sentAt under the given token.
func (t *leaderTerm) handleRoundResponse(peer *peerProgress, token uint64, sentAt time.Time, response *peerspb.RoundResponse, err error) {
	now := t.ctrl.env.Now()
	if t.rounds.current != nil {
		t.rounds.received(peer)
		defer t.finishRoundIfAnswered(now)
	}
	if err != nil {
		t.handleRoundFailure(peer)
		return
	}
	if !peer.local {
		t.ctrl.notePeerContact(now)
	}
	if response.Token > t.token {
		t.ctrl.elector.ObserveToken(now, response.Token)
		return
	}
	peer.recordAnswer(now, response, now.Add(withClockDrift(t.ctrl.timing.DelegatedLease)))
	if peer.bootID != response.Boot {
		peer.recordBoot(now, response.Boot)
		t.logRestartedOwner(peer, now)
		if token == t.token {
			peer.recordAcknowledgement(now)
		}
		t.startRoundSoon()
		return
	}
	if token != t.token || response.Token != t.token {
		return
	}
	peer.recordAcknowledgement(now)
	peer.limitWanted = response.TokenLimitWanted
	t.applyRoundResponse(peer, now, sentAt, response)
}

// handleRoundFailure records that a message got no answer and replaces the connection after repeated failures.
func (t *leaderTerm) handleRoundFailure(peer *peerProgress) {
	if redial := peer.recordFailure(); !redial {
		return
	}
	if conn, err := t.ctrl.env.Dial(peer.addr); err == nil {
		_ = peer.peer.Close()
		peer.peer = conn
	}
}

// applyRoundResponse passes an answer under the current token to the scheduler: the machines that changed, the
// orders that were carried out, and the samples.
func (t *leaderTerm) applyRoundResponse(peer *peerProgress, now, sentAt time.Time, response *peerspb.RoundResponse) {
	if !t.loaded || peer.restarted {
		// Guard: a restarted owner's report about its orders cannot be trusted. The owner reports a later order as
		// the last of all, so orders that its earlier process had sent to workers counted as decided while they
		// were still on their way. A start for a machine that had not yet reported to the new process made the
		// owner report the machine as expired. Until the fresh token the owner gets only its lease, which keeps
		// its machines alive (TestRestartedOwnerIsNotTrusted).
		return
	}
	if t.rounds.current != nil {
		t.rounds.current.samples = append(t.rounds.current.samples, response.Samples...)
	}
	trusted := sentAt.After(t.earlierLeasesExpiry(now))
	for _, machine := range response.Machines {
		t.ctrl.log.Debug("machine", "machine", machine.Name, "phase", machine.Phase, "owner", peer.member,
			"session", machine.Session, "seq", machine.Seq, "tasks", len(machine.Tasks))
	}
	t.ctrl.timeStep(metrics.MachineStates, func() {
		t.scheduler.ApplySamplingResponse(now, sentAt, peer.member, response, trusted, t.allSupport(peers.ShardedBitmaps))
	})
	if len(response.Machines) > 0 || peer.moreOrders {
		t.startRoundSoon()
	}
	peer.lastChange = max(peer.lastChange, response.Change)
}

// allSupport reports whether every controller reads a format of stored records. A controller that has not answered
// yet counts as one that does not, because it may run an earlier version.
func (t *leaderTerm) allSupport(format uint32) bool {
	for _, peer := range t.ctrl.peers {
		if peer.recordFormat < format {
			return false
		}
	}
	return true
}

// earlierLeasesExpiry returns when every worker's lease that any controller extended under an earlier token has
// certainly expired. That is one worker's lease after every controller has acknowledged the current token, or its
// delegated lease under an earlier token has expired if it has not.
func (t *leaderTerm) earlierLeasesExpiry(_ time.Time) time.Time {
	last := t.began
	for _, peer := range t.ctrl.peers {
		at := peer.earlierLeasesEnd
		if peer.acknowledged {
			at = peer.acknowledgedAt
		}
		if at.After(last) {
			last = at
		}
	}
	return last.Add(withClockDrift(t.ctrl.cfg.Lease) + t.ctrl.timing.Margin/2)
}
