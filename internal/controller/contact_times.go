package controller

import (
	"sync/atomic"
	"time"
)

// contactTime is the controller's uptime at the last contact of one kind. It is safe for concurrent
// use. The zero value means that there was no contact yet.
type contactTime struct{ uptime atomic.Int64 }

func (t *contactTime) set(uptime time.Duration) { t.uptime.Store(int64(uptime)) }

// seen reports whether there was a contact.
func (t *contactTime) seen() bool { return t.uptime.Load() != 0 }

// age returns the time since the last contact, or the uptime if there was none.
func (t *contactTime) age(uptime time.Duration) time.Duration {
	return uptime - time.Duration(t.uptime.Load())
}

// contactTimes holds the contact times that health checks and users' requests read outside the loop.
type contactTimes struct {
	store       contactTime // last answer of the state service
	peer        contactTime // last message or response of any other controller
	leaderStore contactTime // when a leader last reported that it reaches the state service
	tick        contactTime // last tick of the loop
}

// uptime returns the time since this process started.
func (c *Controller) uptime(now time.Time) time.Duration { return now.Sub(c.startedAt) }

// noteStoreContact records an answer of the state service. It is safe for concurrent use.
func (c *Controller) noteStoreContact(now time.Time) {
	c.contacts.store.set(c.uptime(now) + 1) // + 1: 0 would mean that there was no contact
}

// notePeerContact records that another controller is reachable. It is safe for concurrent use.
func (c *Controller) notePeerContact(now time.Time) {
	c.contacts.peer.set(c.uptime(now) + 1)
}

// noteLeaderStoreSeen records when a leader last reported that it reaches the state service.
func (c *Controller) noteLeaderStoreSeen() {
	if at := c.registry.StoreReachedAt(); !at.IsZero() {
		c.contacts.leaderStore.set(c.uptime(at))
	}
}
