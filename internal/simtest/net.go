package simtest

import (
	"time"

	"github.com/marlwood/marlwood/internal/simulation"
)

// place is a network endpoint: a controller, a machine, the users, or one of the services. Users and services
// belong to no zone.
type place struct {
	name string
	zone string
	role role
}

type role int

const (
	controllerRole role = iota
	workerRole
	storeRole
	cloudRole
	userRole
)

// cut is a network partition: no message passes from some endpoints to others.
type cut struct {
	until  time.Duration
	hold   bool // whether packets are delivered when the cut ends; otherwise senders then find their connections reset
	blocks func(from, to *place) bool
}

// network delivers messages with delays, without order between connections. No message passes a cut.
type network struct {
	sim    *sim
	cuts   []*cut
	refuse time.Duration // controllers refuse each other's connections until then
	slow   time.Duration // until then one message in eight is delayed by up to slowBy
	slowBy time.Duration
}

func (n *network) cut(c *cut) { n.cuts = append(n.cuts, c) }

// blocked reports whether messages are blocked, until when, and whether they are held until then.
func (n *network) blocked(from, to *place) (until time.Duration, hold, blocked bool) {
	hold = true
	for _, c := range n.cuts {
		if n.sim.Now() < c.until && c.blocks(from, to) {
			until, blocked, hold = max(until, c.until), true, hold && c.hold
		}
	}
	return until, hold, blocked
}

// send sends one message. lost, if not nil, is called when the sender finds its connection reset.
func (n *network) send(from, to *place, deliver, lost func()) {
	d := n.sim.Between(time.Millisecond, 8*time.Millisecond)
	if n.sim.Rand.IntN(50) == 0 {
		d = n.sim.Between(8*time.Millisecond, 400*time.Millisecond)
	}
	if n.sim.Now() < n.slow && n.sim.Rand.IntN(8) == 0 {
		d = n.sim.Between(0, n.slowBy)
	}
	n.sim.After(d, func() { n.arrive(from, to, deliver, lost) })
}

func (n *network) arrive(from, to *place, deliver, lost func()) {
	until, hold, blocked := n.blocked(from, to)
	switch {
	case !blocked:
		deliver()
	case hold:
		n.sim.At(until+n.sim.Between(0, 50*time.Millisecond), func() { n.arrive(from, to, deliver, lost) })
	case lost != nil:
		n.sim.At(until+n.sim.Between(0, 50*time.Millisecond), lost)
	}
}

// refused reports whether a connection is refused at once.
func (n *network) refused(from, to *place) bool {
	return from.role == controllerRole && to.role == controllerRole && n.sim.Now() < n.refuse
}

// ask sends a request from a fiber of p and waits at most atMost for the answer; ok is false if there was none.
// serve runs when the request arrives, which may be long after the sender gave up.
func ask[T any](p *simulation.Process, n *network, from, to *place, atMost time.Duration, serve func(reply func(T))) (out T, ok bool) {
	p.Await(func(wake func()) {
		done := false
		fail := func() {
			if !done {
				done = true
				wake()
			}
		}
		n.send(from, to, func() {
			serve(func(v T) {
				n.send(to, from, func() {
					if !done {
						done, out, ok = true, v, true
						wake()
					}
				}, fail)
			})
		}, fail)
		n.sim.After(atMost, fail)
	})
	return out, ok
}
