package controller

import (
	"time"

	"github.com/marlwood/marlwood/internal/autoscaler"
)

// A leader reads the machine types from the cloud every typesInterval, for the first time firstTypesDelay
// after its election.
const (
	typesInterval   = time.Minute
	firstTypesDelay = 20 * time.Second
)

// cloudCalls queues a term's calls to the cloud and sends one at a time. It also schedules the
// reads of machines and machine types. Only the event loop uses it.
type cloudCalls struct {
	queue    []func()
	inFlight bool

	listing      bool // a list of machines is queued or in flight
	nextList     time.Time
	deferredList []autoscaler.CloudMachine // the last list from before all machines could report; nil: none

	nextTypes   time.Time
	typesStored bool // the types are in the key-value store, or too large for it
}

func newCloudCalls(now time.Time) cloudCalls {
	return cloudCalls{nextTypes: now.Add(firstTypesDelay)}
}

// enqueue queues a call, which is made outside the event loop.
func (c *cloudCalls) enqueue(call func()) { c.queue = append(c.queue, call) }

// next removes the first call from the queue and returns it; the call is in flight until finished is called.
// It returns nil if the queue is empty or a call is in flight.
func (c *cloudCalls) next() func() {
	if c.inFlight || len(c.queue) == 0 {
		return nil
	}
	call := c.queue[0]
	c.queue = c.queue[1:]
	c.inFlight = true
	return call
}

// finished records that the call in flight has returned.
func (c *cloudCalls) finished() { c.inFlight = false }

// startList reports whether the machines must be listed now. If so, it schedules the next list after interval.
func (c *cloudCalls) startList(now time.Time, interval time.Duration) bool {
	if now.Before(c.nextList) || c.listing {
		return false
	}
	c.nextList, c.listing = now.Add(interval), true
	return true
}

// startTypes reports whether the machine types must be read now. If so, it schedules the next read after
// typesInterval.
func (c *cloudCalls) startTypes(now time.Time) bool {
	if now.Before(c.nextTypes) {
		return false
	}
	c.nextTypes = now.Add(typesInterval)
	return true
}
