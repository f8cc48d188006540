package controller

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/marlwood/marlwood/internal/api"
	"github.com/marlwood/marlwood/internal/autoscaler"
	"github.com/marlwood/marlwood/internal/httpwire"
	"github.com/marlwood/marlwood/internal/metrics"
	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/peers"
	"github.com/marlwood/marlwood/internal/quota"
	"github.com/marlwood/marlwood/internal/settings"
	"github.com/marlwood/marlwood/internal/sockets"
	"github.com/marlwood/marlwood/internal/store"
)

const (
	// maxQueuedEvents is how many events may wait for the loop before Post blocks.
	maxQueuedEvents = 1024
	// cloudShare is the share of the cloud's request rate that is used.
	cloudShare = 0.85
	// maxWorkerAnswerBytes bounds the size of a worker's answer to a direct call.
	maxWorkerAnswerBytes = 4 << 20
)

// liveEnvironment is the Environment that uses sockets, goroutines and the machine's clocks.
type liveEnvironment struct {
	events      chan func()
	heartbeats  chan func()   // handlers of workers' heartbeats; the capacity is the limit of connections
	ended       chan struct{} // closed when the loop has ended
	end         sync.Once
	store       *store.Client
	cloud       *autoscaler.Cloud
	peerTimeout time.Duration // timeout of a message to a peer

	sockets       *sockets.Budget
	metrics       *metrics.Set // nil if metrics are off
	mu            sync.Mutex
	workerClients *lru.Cache[string, *httpwire.Client] // clients for calls to workers, by address
}

// newLiveEnvironment creates the live environment. It sends nothing itself.
func newLiveEnvironment(platform *settings.Platform, operator *settings.Operator) (*liveEnvironment, error) {
	limits := sockets.Divide(platform.MaxConns, operator.Service.UserConnsShare)
	workerClients, err := lru.NewWithEvict(limits.DirectCalls, func(_ string, client *httpwire.Client) { client.Close() })
	if err != nil {
		return nil, fmt.Errorf("calls to workers: %w", err)
	}
	env := &liveEnvironment{
		events:        make(chan func(), maxQueuedEvents),
		heartbeats:    make(chan func(), limits.Listener),
		ended:         make(chan struct{}),
		store:         store.New(platform.StateAddr, operator.Service.Call),
		cloud:         autoscaler.NewCloud(platform.CloudAddr, platform.CloudRPS*cloudShare, operator.Service.CloudCall),
		peerTimeout:   operator.Service.PeerCall,
		workerClients: workerClients,
		sockets:       sockets.New(limits),
	}
	if operator.Metrics.Listen != "off" {
		env.metrics = metrics.New(platform.Member, env.sockets.Use)
		env.store.ObserveWait(env.metrics.Store)
	}
	return env, nil
}

// Now implements Environment.
func (env *liveEnvironment) Now() time.Time { return time.Now() }

// WallClock implements Environment.
func (env *liveEnvironment) WallClock() time.Time { return time.Now() }

// Random implements Environment.
func (env *liveEnvironment) Random() uint64 { return rand.Uint64() }

// Store implements Environment.
func (env *liveEnvironment) Store() Store { return env.store }

// Cloud implements Environment.
func (env *liveEnvironment) Cloud() Cloud { return env.cloud }

// Go implements Environment.
func (env *liveEnvironment) Go(f func()) { go f() }

// NewLatch implements Environment.
func (env *liveEnvironment) NewLatch() api.Latch { return api.NewLatch() }

// DialRegion implements Environment.
func (env *liveEnvironment) DialRegion(addr string) (RegionPeer, error) {
	return quota.Dial(addr, env.peerTimeout)
}

// Dial implements Environment.
func (env *liveEnvironment) Dial(addr string) (Peer, error) { return peers.Dial(addr, env.peerTimeout) }

// stop unblocks callers that wait in Post after the loop has ended.
func (env *liveEnvironment) stop() { env.end.Do(func() { close(env.ended) }) }

// Post implements Environment. After the loop has ended it drops the event.
func (env *liveEnvironment) Post(f func()) {
	f = env.timed(f)
	select {
	case env.events <- f:
	case <-env.ended:
	}
}

// timed wraps an event so that its wait for the loop is measured.
func (env *liveEnvironment) timed(f func()) func() {
	if env.metrics == nil {
		return f
	}
	posted := time.Now()
	return func() {
		env.metrics.Loop(time.Since(posted))
		f()
	}
}

// Sleep implements Environment.
func (env *liveEnvironment) Sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// bootID returns a random ID that is unique to this process.
func bootID() (uint64, error) {
	var id [8]byte
	_, err := crand.Read(id[:])
	return binary.BigEndian.Uint64(id[:]), err
}

// workerClient returns the client for a worker's address.
func (env *liveEnvironment) workerClient(addr string) *httpwire.Client {
	env.mu.Lock()
	defer env.mu.Unlock()
	client, ok := env.workerClients.Get(addr)
	if !ok {
		client = httpwire.NewClient(addr, 1, httpwire.Limits{Head: maxHeadBytes, Body: maxWorkerAnswerBytes})
		env.workerClients.Add(addr, client)
	}
	return client
}

// SendCommands implements Environment.
func (env *liveEnvironment) SendCommands(ctx context.Context, addr string, commands model.DirectCommands) (int, *model.Heartbeat, error) {
	body, err := json.Marshal(commands)
	if err != nil {
		return 0, nil, fmt.Errorf("%w: %w", httpwire.ErrNotSent, err)
	}
	response, err := env.workerClient(addr).Do(ctx, http.MethodPost, "/orders", body)
	if err != nil {
		return 0, nil, err
	}
	return response.Status, decodeWorkerAnswer(response.Body), nil
}

// decodeWorkerAnswer decodes the heartbeat in a worker's answer. It returns nil if the body is not valid JSON of
// a heartbeat.
func decodeWorkerAnswer(body []byte) *model.Heartbeat {
	heartbeat := &model.Heartbeat{}
	if json.Unmarshal(body, heartbeat) != nil {
		return nil
	}
	return heartbeat
}
