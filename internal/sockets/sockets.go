// Package sockets divides the sockets that a process may have open among the duties of its connections,
// so that no duty starves another. Even if the workers could take every socket, health checks and
// submissions are still answered, and direct calls to workers never take the sockets of heartbeats. The
// package only counts connections and decides; its callers open and close them.
package sockets

import (
	"sync"

	"github.com/marlwood/marlwood/internal/httpwire"
)

// Duty is the purpose of a connection.
type Duty = httpwire.Duty

// The duties.
const (
	UnknownDuty Duty = iota // accepted, no request received yet
	Health                  // health checks
	Users                   // submissions, queries, cancellations
	Workers                 // workers' heartbeats
	dutyCount
)

// Name returns a duty's name, as it appears in the metrics.
func Name(duty Duty) string { return [...]string{"unknown", "health", "users", "workers"}[duty] }

// Limits holds the number of this process's sockets that each use may take.
type Limits struct {
	Listener    int // accepted connections, all duties together
	Workers     int // of these, workers' connections that stay open between heartbeats
	DirectCalls int // connections to workers for direct calls; at most half as many calls run at once
}

const (
	// reservedSockets is reserved for everything else: peers in both directions, the key-value store
	// (16), the cloud provider, listeners, operators, recorders, and connections that are being closed.
	reservedSockets = 64

	minSockets         = 8  // minimum for the listener and for direct calls, whatever the quota
	directDivisor      = 16 // direct calls have a sixteenth of the quota
	workersPercent     = 70 // percent of the listener's sockets that open workers' connections may take
	keepWorkersPercent = 90 // above this percentage of the listener's sockets, workers' connections close after an answer
	keepUsersPercent   = 95 // above this percentage of the listener's sockets, users' connections close after an answer
)

// Divide divides a quota of sockets into limits. listenerShare is the share of the quota that accepted
// connections may take. A sixteenth of the quota is for direct calls. Up to seven tenths of the accepted
// connections may be workers' connections that stay open; any beyond that number are closed after an answer.
func Divide(quota int, listenerShare float64) Limits {
	direct := max(minSockets, quota/directDivisor)
	listener := max(minSockets, min(int(float64(quota)*listenerShare), quota-direct-reservedSockets))
	return Limits{Listener: listener, Workers: percentOf(listener, workersPercent), DirectCalls: direct}
}

func percentOf(n, percent int) int { return n * percent / 100 }

// Budget counts open sockets by duty and decides what may stay open. It is safe for
// concurrent use.
type Budget struct {
	limits Limits

	mu      sync.Mutex
	open    [dutyCount]int
	peak    [dutyCount]int
	refused uint64 // connections closed unserved, as no idle one could be evicted
	evicted uint64 // idle connections closed for a new one
	closed  uint64 // connections closed after an answer to keep within the limits
}

// New creates a budget with no open connections.
func New(limits Limits) *Budget { return &Budget{limits: limits} }

// add changes the count of a duty and its peak. No other function changes them.
func (b *Budget) add(duty Duty, n int) {
	b.open[duty] += n
	b.peak[duty] = max(b.peak[duty], b.open[duty])
}

func (b *Budget) accepted() int {
	return b.open[UnknownDuty] + b.open[Health] + b.open[Users] + b.open[Workers]
}

// Accepted counts a connection that was just accepted. full reports whether an idle connection must be
// closed for it; see Evicted and Refused.
func (b *Budget) Accepted() (full bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(UnknownDuty, 1)
	return b.accepted() > b.limits.Listener
}

// Evicted counts an idle connection as closed for a new one.
func (b *Budget) Evicted() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.evicted++
}

// Refused counts a connection as closed unserved.
func (b *Budget) Refused() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refused++
}

// ChangeDuty moves a connection from one duty to another, once its request shows its duty.
func (b *Budget) ChangeDuty(from, to Duty) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(from, -1)
	b.add(to, 1)
}

// Closed counts a connection as closed.
func (b *Budget) Closed(duty Duty) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(duty, -1)
}

// Keep reports whether a connection may stay open after its answer. A connection that may not is closed
// with the answer, so both ends know of the close; unlike an eviction, this loses nothing.
//
// Guard: workers keep their connections and send a heartbeat every few seconds, so in a cluster
// of some size they took every socket of a controller. Users and health checks were refused, and the
// load balancer removed the controller. Workers whose connections their owner did not accept sent their
// heartbeats to other controllers until the owner looked unreachable and its pools got another owner,
// and this repeated.
func (b *Budget) Keep(duty Duty) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	keep := true
	switch duty {
	case Workers:
		keep = b.open[Workers] <= b.limits.Workers && b.accepted() <= percentOf(b.limits.Listener, keepWorkersPercent)
	case Users:
		keep = b.accepted() <= percentOf(b.limits.Listener, keepUsersPercent)
	}
	if !keep {
		b.closed++
	}
	return keep
}

// Use is a snapshot of a budget's counts.
type Use struct {
	Open    map[Duty]int // open connections
	Peak    map[Duty]int // highest number of open connections so far
	Evicted uint64       // idle connections closed for a new one
	Refused uint64       // connections closed unserved
	Closed  uint64       // connections closed after an answer to keep within the limits
}

// Use returns the current counts of the budget.
func (b *Budget) Use() Use {
	b.mu.Lock()
	defer b.mu.Unlock()
	use := Use{
		Open:    map[Duty]int{},
		Peak:    map[Duty]int{},
		Evicted: b.evicted,
		Refused: b.refused,
		Closed:  b.closed,
	}
	for duty := range dutyCount {
		use.Open[duty], use.Peak[duty] = b.open[duty], b.peak[duty]
	}
	return use
}
