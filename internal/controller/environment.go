package controller

import (
	"context"
	"time"

	"github.com/marlwood/marlwood/internal/api"
	"github.com/marlwood/marlwood/internal/autoscaler"
	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/peers/peerspb"
	"github.com/marlwood/marlwood/internal/store"
)

// Environment provides everything that a controller uses outside itself: clocks, random numbers, an event
// loop, and connections to other processes. New creates the live one, which uses sockets and goroutines;
// another implementation can run controllers in virtual time.
//
// A controller's state belongs to its loop. Functions passed to Post run on the loop, one at a time.
// Functions passed to Go run outside the loop, may block in any call that takes a context, and report
// their results with Post.
type Environment interface {
	// Now returns the time by the monotonic clock of this process.
	Now() time.Time
	// WallClock returns the time of day.
	WallClock() time.Time
	// Random returns 64 random bits. It is safe for concurrent use.
	Random() uint64
	// Post queues f to run on the loop. It must not be called on the loop itself.
	Post(f func())
	// Go runs f outside the loop. It is safe for concurrent use.
	Go(f func())
	// Sleep waits for d, or until ctx ends.
	Sleep(ctx context.Context, d time.Duration)
	// NewLatch returns a latch for functions that wait outside the loop.
	NewLatch() api.Latch

	// Store returns the state service.
	Store() Store
	// Cloud returns the cloud.
	Cloud() Cloud
	// DialRegion opens a connection to a controller of another region. Nothing is sent before the first message.
	DialRegion(addr string) (RegionPeer, error)
	// Dial opens a connection to a peer. Nothing is sent before the first message.
	Dial(addr string) (Peer, error)
	// SendCommands sends commands to a worker's address in a direct call. It returns the HTTP status and the
	// heartbeat of the response; the heartbeat is nil if it cannot be decoded. An error means that there was
	// no response. The worker may execute the commands nevertheless, unless the error is httpwire.ErrNotSent.
	SendCommands(ctx context.Context, addr string, commands model.DirectCommands) (status int, heartbeat *model.Heartbeat, err error)
}

// Store is the state service; its errors are those of package store.
type Store interface {
	api.Store
	// GrantLease creates a lease that can be attached to keys.
	GrantLease(ctx context.Context, ttl time.Duration) (lease uint64, err error)
	// KeepAlive extends a lease.
	KeepAlive(ctx context.Context, lease uint64) error
	// SetBudgets sets the rates at which requests and writes are sent.
	SetBudgets(budgets store.Budgets)
}

// Cloud is the cloud provider's interface.
type Cloud interface {
	// Types reads the machine types.
	Types(ctx context.Context) (model.Catalogue, error)
	// Launch requests machines and returns their names.
	Launch(ctx context.Context, request autoscaler.LaunchRequest) (autoscaler.Result, []string)
	// Terminate returns machines.
	Terminate(ctx context.Context, names []string) error
	// List lists the machines that exist.
	List(ctx context.Context) ([]autoscaler.CloudMachine, error)
}

// Peer is a connection to another controller of the cluster.
type Peer interface {
	// Round sends one message of a sampling round.
	Round(ctx context.Context, request *peerspb.RoundRequest) (*peerspb.RoundResponse, error)
	// Close releases the connection.
	Close() error
}
