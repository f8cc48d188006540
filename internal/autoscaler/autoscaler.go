// Package autoscaler launches machines for demand that exceeds the free capacity, and
// terminates idle, lost and faulty machines.
//
// An Autoscaler does no input or output: its inputs are demand, machines and the time, its
// outputs are actions for the cloud and the key-value store, and the caller reports their
// outcomes. It is deterministic: the same calls lead to the same actions.
//
// A launch request is idempotent. Its record is stored before it is sent. The request is
// retried under the same name, also by the next leader, until the cloud has answered it.
package autoscaler

import (
	"time"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/placement"
)

// Options control when machines are launched and terminated. They are stored in
// recordings under the Go names of their fields.
type Options struct {
	Idle        time.Duration // a machine is terminated after it was idle for longer than this
	Keep        time.Duration // minimum time that a machine is kept after its first heartbeat
	RefusedWait time.Duration // pause after a refusal before the market is probed
	BootFactor  float64       // a machine is terminated if it has not booted after this many usual boot times
	SilentWait  time.Duration // a machine is terminated this long after its lease first expired
}

// Market is a pool's on-demand machines or its spot instances. Each market has its own
// price and capacity.
type Market struct {
	Pool model.Pool
	Spot bool
}

// bootingMachine is a launched machine that has not sent a heartbeat yet.
type bootingMachine struct {
	market Market
	since  time.Time
	listed bool // the cloud's list has shown it
}

// Autoscaler decides which machines are launched and terminated. It is not safe for
// concurrent use.
type Autoscaler struct {
	options      Options
	token        uint64 // fencing token of the leader's term, part of the request names
	requestCount int
	requests     *model.Table[string, *LaunchRequest] // unresolved
	booting      *model.Table[string, *bootingMachine]
	capacity     capacityModel
	terminating  map[string]bool      // termination sent, outcome not known yet
	terminated   map[string]time.Time // time of termination; the cloud's list may still show them
	thrash       thrashDetector
	uncovered    []Uncovered // jobs for which nothing was launched at the last Tick
}

// New returns an autoscaler for one leader's term. The names of its launch requests contain
// the term's fencing token.
func New(options Options, token uint64) *Autoscaler {
	return &Autoscaler{
		options:     options,
		token:       token,
		requests:    model.NewTable[string, *LaunchRequest](),
		booting:     model.NewTable[string, *bootingMachine](),
		capacity:    newCapacityModel(options.RefusedWait),
		terminating: map[string]bool{},
		terminated:  map[string]time.Time{},
	}
}

// SetOptions replaces the options.
func (a *Autoscaler) SetOptions(options Options) {
	a.options, a.capacity.retryWait = options, options.RefusedWait
}

// Action is an operation for the caller to execute. Exactly one field is set.
type Action struct {
	Record    *LaunchRequest // store the request's record
	Launch    *LaunchRequest // send the request
	Terminate []string       // terminate machines
}

// Tick decides what to launch and what to terminate. Until the takeover is complete,
// nothing is launched and only lost machines are terminated, because demand and free
// capacity are not known yet.
func (a *Autoscaler) Tick(
	now time.Time,
	demands []placement.UnmetDemand,
	machines *model.Table[string, *placement.Machine],
	types map[string]model.MachineType,
	takeoverComplete bool,
) []Action {
	actions := a.dueRequests(now)
	if names := a.scaleIn(now, machines, types, takeoverComplete); len(names) > 0 {
		actions = append(actions, Action{Terminate: names})
	}
	if takeoverComplete {
		a.capacity.update(machines, a.booting, now)
		actions = append(actions, a.scaleOut(now, demands, types)...)
	}
	return actions
}

// HeartbeatReceived records a machine's heartbeat: the machine is no longer booting.
func (a *Autoscaler) HeartbeatReceived(name string) { a.booting.Delete(name) }
