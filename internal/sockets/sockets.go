// Package sockets divides the sockets that a process may have open among its duties,
// so that no duty starves another: a cluster whose workers alone would take every socket
// still answers health checks and submissions, and calls to workers never take the room
// of their reports. It only counts and decides; it opens and closes nothing itself.
package sockets

import (
	"sync"

	"github.com/marlwood/marlwood/internal/httpwire"
)

// Duty is what a connection is open for.
type Duty = httpwire.Duty

// The duties.
const (
	Unknown Duty = iota // accepted, and nothing asked on it yet
	Health              // health checks
	Users               // submissions, questions, cancellations
	Workers             // workers' reports
	duties
)

// Name is a duty's name.
func Name(d Duty) string { return [...]string{"unknown", "health", "users", "workers"}[d] }

// Limits are how many sockets there are for what. They count sockets, of this process.
type Limits struct {
	Listener int // accepted connections, all duties together
	Workers  int // of these, workers' connections that stay open between reports
	Direct   int // connections to workers for direct calls, and half as many calls at once
}

// fixed is held back for everything else: siblings in both directions, the state service
// (16), the cloud, listeners, operators, recorders, and connections that are being closed.
const fixed = 64

// Divide makes limits of a quota, of which listener is the share that accepted connections
// may take. A sixteenth is for direct calls; workers keep seven tenths of the accepted
// ones, and what is above that number closes after each answer.
func Divide(quota int, listener float64) Limits {
	direct := max(8, quota/16)
	l := max(8, min(int(float64(quota)*listener), quota-direct-fixed))
	return Limits{Listener: l, Workers: l * 7 / 10, Direct: direct}
}

// Budget counts open sockets by duty and decides what may stay open. It is safe for
// concurrent use.
type Budget struct {
	limits Limits

	mu      sync.Mutex
	open    [duties]int
	peak    [duties]int
	refused uint64 // connections closed unserved, for want of one that rested
	evicted uint64 // resting connections closed for a new one
	closed  uint64 // connections closed after an answer to keep within the limits
}

// New makes a budget with nothing open.
func New(l Limits) *Budget { return &Budget{limits: l} }

// add is the one place where counts change.
func (b *Budget) add(d Duty, n int) {
	b.open[d] += n
	b.peak[d] = max(b.peak[d], b.open[d])
}

func (b *Budget) accepted() int {
	return b.open[Unknown] + b.open[Health] + b.open[Users] + b.open[Workers]
}

// Accepted counts a connection that was just accepted. full tells that one that rests must
// be closed for it, see Evicted and Refused.
func (b *Budget) Accepted() (full bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(Unknown, 1)
	return b.accepted() > b.limits.Listener
}

// Evicted counts a resting connection as closed for a new one.
func (b *Budget) Evicted() {
	b.mu.Lock()
	b.evicted++
	b.mu.Unlock()
}

// Refused counts a connection as closed unserved.
func (b *Budget) Refused() {
	b.mu.Lock()
	b.refused++
	b.mu.Unlock()
}

// Became moves a connection to the duty that its request shows.
func (b *Budget) Became(from, to Duty) {
	b.mu.Lock()
	b.add(from, -1)
	b.add(to, 1)
	b.mu.Unlock()
}

// Closed counts a connection as closed.
func (b *Budget) Closed(d Duty) {
	b.mu.Lock()
	b.add(d, -1)
	b.mu.Unlock()
}

// Keep tells whether a connection may stay open after its answer. One that may not is
// closed with the answer, which both ends know of: unlike an eviction it loses nothing.
//
// Guard: workers keep their connections and report every few seconds, so in a cluster of
// some size they took every socket of a controller. Users and health checks were refused,
// the load balancer took the controller out, and workers which found no place at their
// owner knocked elsewhere until it looked deaf and its kinds moved on, again and again.
func (b *Budget) Keep(d Duty) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	keep := true
	switch d {
	case Workers:
		keep = b.open[Workers] <= b.limits.Workers && b.accepted() <= b.limits.Listener*9/10
	case Users:
		keep = b.accepted() <= b.limits.Listener*95/100
	}
	if !keep {
		b.closed++
	}
	return keep
}

// Use is what a budget looks like at one moment.
type Use struct {
	Open, Peak               map[Duty]int
	Evicted, Refused, Closed uint64
}

// Use tells what is open for what.
func (b *Budget) Use() Use {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := Use{Open: map[Duty]int{}, Peak: map[Duty]int{}, Evicted: b.evicted, Refused: b.refused, Closed: b.closed}
	for d := range duties {
		u.Open[d], u.Peak[d] = b.open[d], b.peak[d]
	}
	return u
}
