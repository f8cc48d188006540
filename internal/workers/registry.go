// Package workers implements the registry of the workers whose machine pools this controller owns. The
// registry handles the workers' heartbeats under the lease that the leader delegates, answers them with
// the leader's commands, and reports changes to the leader in its sampling rounds.
//
// The registry keeps its state only in memory and performs no I/O: the caller passes in the time and
// sends the answers and direct calls. It is not safe for concurrent use.
//
// Invariants: the registry answers heartbeats and returns direct calls only while the delegated lease is
// valid, and always with the highest fencing token seen. It reports a machine as expired only after the
// lease that its newest possible answer extended has run out. Under one token it drops a task that may be on
// a machine only for what the machine's present incarnation has shown; see continuity.go.
package workers

import (
	"container/list"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

// Options configures a registry.
type Options struct {
	Member            string            // this controller's name
	HeartbeatInterval time.Duration     // time between two heartbeats of a worker
	Lease             time.Duration     // a worker ends its tasks this long after an answered heartbeat
	Margin            time.Duration     // added to a worker's lease before it counts as expired
	CancelGrace       time.Duration     // after a cancellation, answers may keep a task alive for this long
	MaxCalls          int               // maximum number of direct calls in flight
	Log               *slog.Logger      // nil: nothing is logged
	OnAnomaly         func(Anomaly)     // called for each anomaly; nil: they are not counted
	OnAnswer          func(AnswerBasis) // called for each answer to a machine with live tasks; nil: they are not counted
	OnForget          func(ForgetBasis) // called for each order to forget an attempt; nil: they are not counted
}

// Registry holds the workers of one controller's pools and the leader's orders for them.
type Registry struct {
	options      Options
	boot         string // identifies this process
	clockStart   time.Time
	random       *rand.Rand
	machineTypes map[string]model.MachineType

	// State from the leader's newest rounds.
	token              uint64
	tokenLimit         uint64 // highest token that messages to workers may carry; at least token
	limitKnown         bool   // whether the leader sends the limit; one of an earlier version does not
	limitWanted        uint64 // token limit that some machine needs
	leader             string
	leaseUntil         time.Time // end of the lease that the leader delegated
	storeReachedAt     time.Time
	openJobs           openJobs
	lastOrder          uint64
	acknowledgedChange uint64 // last change that the leader has acknowledged under this token

	owners           map[model.Pool]string
	unreachablePools map[model.Pool][]string // pools whose owner gets no heartbeats; controllers to use instead
	jobSizes         map[string]model.Size   // size of one task of each job
	misdirected      map[string]time.Time    // when machines of other owners' pools last sent a heartbeat here

	machines    *model.Table[string, *machineState]
	changeList  *list.List // machines, the most recently changed at the back
	contactList *list.List // machines, the longest silent at the front
	callQueue   *list.List // machines that may need a direct call
	lastChange  uint64

	lastCallID    uint64
	callsInFlight int
}

// NewRegistry creates an empty registry. boot identifies this process, and clockStart is the zero of
// the clock to which the times in the leader's rounds refer.
func NewRegistry(options Options, boot string, clockStart time.Time, random *rand.Rand) *Registry {
	return &Registry{
		options:     options,
		boot:        boot,
		clockStart:  clockStart,
		random:      random,
		owners:      map[model.Pool]string{},
		jobSizes:    map[string]model.Size{},
		misdirected: map[string]time.Time{},
		machines:    model.NewTable[string, *machineState](),
		changeList:  list.New(),
		contactList: list.New(),
		callQueue:   list.New(),
	}
}

// SetTypes sets the machine types, which give the capacity of their machines.
func (reg *Registry) SetTypes(types map[string]model.MachineType) { reg.machineTypes = types }

// HoldsLease reports whether the lease that the leader delegated is valid now, so that the registry may
// answer workers.
func (reg *Registry) HoldsLease(now time.Time) bool { return now.Before(reg.leaseUntil) }

// Leader returns the controller that sent the last accepted round, and the highest token seen.
func (reg *Registry) Leader() (leader string, token uint64) { return reg.leader, reg.token }

// StoreReachedAt returns when the leader last reported that it can reach the key-value store.
func (reg *Registry) StoreReachedAt() time.Time { return reg.storeReachedAt }

// ownsPool reports whether this controller owns a pool under the current token.
func (reg *Registry) ownsPool(pool model.Pool) bool { return reg.owners[pool] == reg.options.Member }
