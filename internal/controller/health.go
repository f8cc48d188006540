package controller

import (
	"net/http"
	"time"

	"github.com/marlwood/marlwood/internal/api"
	"github.com/marlwood/marlwood/internal/httpwire"
)

const (
	// storeDownAfter is how long this controller may go without an answer of the state service before it
	// counts as refused by it, provided that the leader still reaches the state service.
	storeDownAfter = 3 * time.Second
	// leaderStoreAge is the maximum age of the leader's last report that it reaches the state service.
	leaderStoreAge = 2500 * time.Millisecond
	// loopStalledAfter is how long the loop may go without a tick before health checks fail.
	loopStalledAfter = 3 * time.Second
)

// health answers a health check outside the loop, so that the check does not wait behind the work of a busy
// loop. A controller fails the check if it alone is refused by the state service, because it cannot serve
// users; in a general outage of the state service the other controllers are no better. A controller whose
// loop is stalled fails too.
//
// Guard: when checks were queued with the heartbeats of a whole cluster that came back at once, they were
// answered late or with 503. The load balancer removed one controller after another, for longer each time,
// until users could reach none of them (TestHealthChecksDuringHeartbeatBurst).
func (c *Controller) health(now time.Time) httpwire.Answer {
	switch reason := c.unavailableReason(now); {
	case !c.contacts.store.seen() || c.knownTypes() == nil:
		return api.ErrorAnswer(http.StatusServiceUnavailable, "starting")
	case reason != "":
		return api.ErrorAnswer(http.StatusServiceUnavailable, reason)
	case c.contacts.tick.age(c.uptime(now)) > loopStalledAfter:
		return api.ErrorAnswer(http.StatusServiceUnavailable, "the controller stands still")
	}
	return httpwire.Answer{Status: http.StatusOK, Body: []byte(`{"status":"ok"}`)}
}

// unavailableReason returns why this controller cannot serve users while another controller may be able to.
// It returns "" if no such reason is known.
func (c *Controller) unavailableReason(now time.Time) string {
	switch uptime := c.uptime(now); {
	case !c.contacts.store.seen():
		return ""
	case c.isRefusedByStore(uptime):
		return "the state service refuses this node alone"
	case c.isIsolated(uptime):
		return "neither the state service nor another controller is in reach"
	}
	return ""
}

// isRefusedByStore reports whether the state service does not answer this controller but answers the leader.
func (c *Controller) isRefusedByStore(uptime time.Duration) bool {
	contacts := &c.contacts
	return contacts.store.age(uptime) > storeDownAfter &&
		contacts.leaderStore.seen() && contacts.leaderStore.age(uptime) < leaderStoreAge
}
