package controller

import (
	"context"
	"time"

	"github.com/marlwood/marlwood/internal/peers/peerspb"
)

// A controller that has lost the state service probes its peers. If no peer answers, the controller is isolated
// and cannot serve users, although it may still receive requests of workers and users. If a peer answers, the state
// service is either unavailable to all controllers or refuses only this one; the leader reports which.
//
// Guard: a controller that was isolated together with the workers assumed that the state service was unavailable
// to all and reported itself healthy. The load balancer sent it a third of all users, who got 503 for as long as
// the isolation lasted.
const (
	probePeersAfter = 1500 * time.Millisecond // time without an answer of the state service before peers are probed
	probeInterval   = time.Second             // time between two probes
	isolatedAfter   = 3 * time.Second         // time without contact to the state service or any peer
	probeTimeout    = 900 * time.Millisecond  // deadline for the answer to a probe
)

// probePeers probes the peers while the state service does not answer.
func (c *Controller) probePeers(now time.Time) {
	store := &c.contacts.store
	if !store.seen() || store.age(c.uptime(now)) < probePeersAfter || now.Sub(c.peersProbedAt) < probeInterval {
		return
	}
	c.peersProbedAt = now
	for _, peer := range c.peers {
		if peer.local {
			continue
		}
		conn := peer.peer
		c.env.Go(func() { c.probe(conn) })
	}
}

// probe sends a message to a peer and records the contact if the peer answers. It runs outside the loop.
func (c *Controller) probe(conn Peer) {
	ctx, cancel := context.WithTimeout(c.ctx, probeTimeout)
	defer cancel()
	// A message without a token is answered but has no effect.
	if _, err := conn.Round(ctx, &peerspb.RoundRequest{Leader: c.cfg.Member}); err == nil {
		c.notePeerContact(c.env.Now())
	}
}

// isIsolated reports whether this controller has had no contact with the state service and none with any peer for
// isolatedAfter. A controller without peers is never isolated.
func (c *Controller) isIsolated(uptime time.Duration) bool {
	return c.contacts.store.age(uptime) > isolatedAfter && c.contacts.peer.age(uptime) > isolatedAfter && len(c.peers) > 1
}
