package simtest

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"time"

	"github.com/marlwood/marlwood/internal/api"
	"github.com/marlwood/marlwood/internal/controller"
	"github.com/marlwood/marlwood/internal/httpwire"
	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/peers/peerspb"
	"github.com/marlwood/marlwood/internal/scheduler"
	"github.com/marlwood/marlwood/internal/settings"
	"github.com/marlwood/marlwood/internal/simulation"
)

var (
	zones       = []string{"a", "b", "c"}
	wireType    = model.WireType{Name: "box", CPUs: 4, MemoryGB: 16, CacheGB: 50, FetchGBPerS: 2, Price: 1, SpotPrice: 0.3, BootS: 1, Zones: zones}
	catalogue   = model.Catalogue{Types: []model.WireType{wireType}}
	machineType = catalogue.Table()[wireType.Name]
	teams       = map[string]model.Team{"free": {Name: "free"}, "tight": {Name: "tight", Limit: model.Size{CPUs: 4}}}
)

// cluster is a simulated deployment: three controllers, the services, the machines and the users.
type cluster struct {
	sim                    *sim
	plan                   Plan
	net                    *network
	store                  *simulation.Store
	storePlace             *place
	cloud                  *cloud
	nodes                  []*node
	users                  *simulation.Process
	place                  *place // network endpoint of the users
	jobs                   map[string]*job
	all                    []*job // in order of submission
	op                     *settings.Operator
	starts                 int
	level                  slog.Level
	tap                    func() scheduler.Recorder // nil: decisions are not recorded
	drained                map[string]bool           // drains confirmed to an operator: machine names, and zones with the prefix "zone "
	operated               map[string]bool           // names for which an operator has requested a drain
	used                   map[string]time.Duration  // by team: CPU time consumed by its tasks
	attempts               map[string]int            // by team: number of task runs
	stopTime               time.Duration             // see Outcome
	firstStartAfterFaults  time.Duration             // see Outcome
	confirmedCancellations int                       // cancellations confirmed to users
	checkpoints            int                       // tasks that began to save a checkpoint
	caught                 int                       // see Outcome
	caughtStopTime         time.Duration             // see Outcome
	// Until lateWrites, half of the transactions get no answer and are applied 2 to 12 s later.
	// Until slowStore, the state service answers up to 3 s late.
	lateWrites, slowStore time.Duration
	writeRPS, writeBudget float64       // puts and deletes per second that the state service accepts (0: unlimited); the remaining budget
	writeBudgetAt         time.Duration // when spare was last updated
	refused               int           // transactions rejected because of that limit
	copies                time.Duration // until then some reports are also delivered a second time, later
	lateCalls             time.Duration // until then some direct calls are also carried out a second time, later
	requests              operatorRequests
	rare                  rareFaults
	leaseKilled           int                                   // see Outcome
	workersUp             int                                   // number of machines that have come up
	missed                int                                   // faults that found no target
	met                   [MetKinds]int                         // number of observed events of each kind
	old                   time.Duration                         // until then the first controller appears to read an earlier record format
	regions               *regionSet                            // the regions that this cluster belongs to; nil: it is the only one
	region                int                                   // index of this cluster in regions
	rounds                func(to int, r *peerspb.RoundRequest) // if not nil, is called for each message that a leader sends to a sibling
}

// node is a member of the cluster across all restarts of its process.
type node struct {
	cluster *cluster
	member  int
	place   *place
	process *simulation.Process
	node    *controller.Controller
	cancel  context.CancelFunc
}

// operator returns the operator settings with some durations shortened.
var operator = sync.OnceValues(func() (*settings.Operator, error) {
	op, err := settings.LoadOperator("")
	if err != nil {
		return nil, err
	}
	op.Placement.Heartbeat = 800 * time.Millisecond
	op.Placement.OwnerBack = 3 * time.Second
	op.Fleet.Idle, op.Fleet.Keep, op.Fleet.SilentWait = 4*time.Second, 5*time.Second, 8*time.Second
	return op, nil
})

func newCluster(p Plan, story *strings.Builder, level slog.Level, tap func() scheduler.Recorder) (*cluster, error) {
	return newClusterIn(&sim{Sim: simulation.New(p.Seed), story: story}, p, level, tap, nil, 0)
}

// newClusterIn returns a cluster that runs in the virtual time of s, which other clusters may share. If regions
// is not nil, the cluster is the region with the given index.
func newClusterIn(s *sim, p Plan, level slog.Level, tap func() scheduler.Recorder, regions *regionSet, index int) (*cluster, error) {
	op, err := operator()
	if err != nil {
		return nil, err
	}
	w := &cluster{regions: regions, region: index, sim: s, plan: p, net: &network{sim: s}, store: simulation.NewStore(s.Sim, 16), storePlace: &place{name: "store", role: storeRole}, jobs: map[string]*job{}, drained: map[string]bool{}, operated: map[string]bool{}, op: op, level: level, tap: tap,
		place: &place{name: "users", role: userRole}}
	if p.operator != nil {
		w.op = p.operator
	}
	w.requests = operatorRequests{asked: map[string]int{}, states: map[string]operatorState{}}
	w.used, w.attempts = map[string]time.Duration{}, map[string]int{}
	if p.Accounts {
		kept := *op
		kept.Accounts.Keep, kept.Accounts.Flush = "yes", 2*time.Second
		w.op = &kept
	}
	if p.idle > 0 {
		kept := *w.op
		kept.Fleet.Idle = p.idle
		w.op = &kept
	}
	if regions != nil {
		kept := *w.op
		kept.Regions.Name, kept.Regions.Others = regionNames[index], regions.others(index)
		w.op = &kept
	}
	w.store.OnKeyExpired = func(key string) { s.logf("the key %s goes with its hold", key) }
	w.cloud = &cloud{cluster: w, place: &place{name: "cloud", role: cloudRole}, launchRequests: map[string][]string{}}
	w.users = s.NewProcess("users")
	for i, z := range zones {
		n := &node{cluster: w, member: i, place: &place{name: fmt.Sprintf("n%d", i), zone: z, role: controllerRole}}
		w.nodes = append(w.nodes, n)
		defer n.boot() // after all nodes have been created
	}
	return w, nil
}

// tick is the interval at which a controller processes due work. It is longer than in production, which only
// adds delay.
const tick = 100 * time.Millisecond

// boot starts a new process of the member.
func (n *node) boot() {
	w := n.cluster
	n.process = w.sim.NewProcess(n.place.name)
	cfg := &settings.Platform{Member: n.place.name, Zone: n.place.zone, Listen: "127.0.0.1:1", PeerListen: "127.0.0.1:1",
		Teams: w.plan.teams(), ReportEvery: w.plan.report(), Lease: w.plan.Lease, CancelWait: w.plan.Cancel, GangWait: gangWait, StateRPS: 1000, StateWriteRPS: 1000,
		ValueBytes: 8192, WideValueBytes: 8192, TxnOps: 16, CloudRPS: 100, MemoryMB: 100, MaxConns: 1000}
	for _, o := range w.nodes {
		if o != n {
			cfg.Siblings = append(cfg.Siblings, settings.Sibling{Member: o.place.name, Zone: o.place.zone, Addr: o.place.name})
		}
	}
	made, err := controller.NewWithEnvironment(n, w.sim.Rand.Uint64(), cfg, w.op, n.logger())
	if err != nil {
		panic("explore: the settings are wrong: " + err.Error())
	}
	if w.tap != nil {
		made.SetRecorder(w.tap())
	}
	n.node = made
	var ctx context.Context
	ctx, n.cancel = context.WithCancel(context.Background())
	made.Start(ctx)
	p := n.process
	var beat func()
	beat = func() {
		made.Tick(n.Now())
		p.Later(tick, beat)
	}
	p.Later(w.sim.Between(0, tick), beat)
}

// logger writes to the story, if there is one.
func (n *node) logger() *slog.Logger {
	if n.cluster.sim.story == nil {
		return slog.New(slog.DiscardHandler)
	}
	return slog.New(slog.NewTextHandler(lines{n}, &slog.HandlerOptions{Level: n.cluster.level,
		ReplaceAttr: func(_ []string, a slog.Attr) slog.Attr {
			if a.Key == slog.TimeKey || a.Key == slog.LevelKey {
				return slog.Attr{}
			}
			return a
		}}))
}

// lines turns a controller's log into lines of the story.
type lines struct{ n *node }

// Write writes a log line to the story.
func (l lines) Write(b []byte) (int, error) {
	l.n.cluster.sim.logf("    %s: %s", l.n.place.name, strings.TrimSpace(string(b)))
	return len(b), nil
}

func (n *node) crash(back time.Duration) {
	if n.process.Dead() {
		return
	}
	n.cancel()
	n.process.Kill()
	n.cluster.sim.After(back, n.boot)
}

var epoch = time.Unix(1_700_000_000, 0)

// Now returns the time of the process's monotonic clock, whose origin is fixed for the life of the process.
func (n *node) Now() time.Time { return epoch.Add(n.process.Local()) }

// WallClock returns the time of day.
func (n *node) WallClock() time.Time { return epoch.Add(n.cluster.sim.Now()) }

// Random returns a number from the seeded random generator.
func (n *node) Random() uint64 { return n.cluster.sim.Rand.Uint64() }

// Post runs a function between two events of the event loop.
func (n *node) Post(f func()) { f() } // fibers run between the loop's events

// Go starts a fiber of the simulated process.
func (n *node) Go(f func()) { n.process.Spawn(f) }

// NewLatch returns a latch that works in simulated time.
func (n *node) NewLatch() api.Latch { return n.process.NewLatch() }

// Sleep pauses the process in simulated time.
func (n *node) Sleep(_ context.Context, d time.Duration) { n.process.Sleep(d) }

// Store returns a client of the simulated key-value store.
func (n *node) Store() controller.Store { return storeClient{n} }

// Cloud returns a client of the simulated cloud.
func (n *node) Cloud() controller.Cloud { return cloudClient{n} }

// DialRegion connects to another region.
func (n *node) DialRegion(addr string) (controller.RegionPeer, error) {
	if n.cluster.regions == nil {
		return nil, errors.New("no such region")
	}
	return regionLink{n, n.cluster.regions.at(addr)}, nil
}

// Dial connects to another controller.
func (n *node) Dial(addr string) (controller.Peer, error) {
	for _, o := range n.cluster.nodes {
		if o.place.name == addr {
			if len(n.cluster.plan.Requests) > 0 {
				return requestLink{link{n, o}}, nil
			}
			return link{n, o}, nil
		}
	}
	return nil, errors.New("no such sibling")
}

// link sends rounds to a peer.
type link struct{ from, to *node }

var errNoAnswer = errors.New("no answer")

// Round sends a round to a peer and returns its answer.
func (l link) Round(_ context.Context, r *peerspb.RoundRequest) (*peerspb.RoundResponse, error) {
	w := l.from.cluster
	if w.net.refused(l.from.place, l.to.place) || l.to.process.Dead() {
		return nil, errNoAnswer
	}
	if w.rounds != nil {
		w.rounds(l.to.member, r)
	}
	p := l.to.process // the connection is to this process
	out, ok := ask(l.from.process, w.net, l.from.place, l.to.place, time.Second, func(reply func(*peerspb.RoundResponse)) {
		p.Enter(func() {
			l.to.node.HandleRound(l.to.Now(), r, func(out *peerspb.RoundResponse) {
				if out != nil && l.to.member == 0 && w.sim.Now() < w.old {
					out.Records = 0
				}
				reply(out)
			})
		})
	})
	if !ok || out == nil {
		return nil, errNoAnswer
	}
	return out, nil
}

// Close does nothing: the simulated connection holds no resources.
func (l link) Close() error { return nil }

// delayDirectCall runs do, which delivers a direct call to the machine, after the delay that the schedule sets for it.
func (m *worker) delayDirectCall(o model.DirectCommands, do func()) {
	if m.cluster.plan.calls != nil {
		if d := m.cluster.plan.calls(m, o); d > 0 {
			m.cluster.sim.After(d, do)
			return
		}
	}
	do()
}

// connectable reports whether a controller has a connection to a restarted worker's present process, or can open one now.
// An attempt that is given up does not complete afterwards, so that only a call on a connection can be held up by a cut.
func (m *worker) connectable(n *node) bool {
	if m.life == 0 || m.connected[n.process] == m.life {
		return true
	}
	_, _, there := m.cluster.net.blocked(n.place, m.place)
	_, _, back := m.cluster.net.blocked(m.place, n.place)
	return !m.down && !there && !back
}

// directCall is the time that a controller waits for a worker's answer to a direct call.
const directCall = 1500 * time.Millisecond

// SendCommands delivers commands to a worker and returns its answer.
func (n *node) SendCommands(_ context.Context, addr string, o model.DirectCommands) (int, *model.Heartbeat, error) {
	w := n.cluster
	for _, m := range w.cloud.machines {
		if m.name != addr {
			continue
		}
		if m.terminated && w.sim.Rand.IntN(2) == 0 {
			return 0, nil, httpwire.ErrNotSent
		}
		life := m.life // a connection ends when its worker process ends
		if !m.connectable(n) {
			n.process.Sleep(directCall)
			return 0, nil, errNoAnswer
		}
		type answer struct {
			status int
			r      *model.Heartbeat
		}
		a, ok := ask(n.process, w.net, n.place, m.place, directCall, func(reply func(answer)) {
			m.delayDirectCall(o, func() {
				m.enter(func() {
					if m.life != life {
						return
					}
					m.connected[n.process] = life
					status, r := m.handleDirectCall(o)
					reply(answer{status, r})
					if status == 200 {
						m.deliverLateCalls(o)
					}
				})
			})
		})
		if !ok {
			return 0, nil, errNoAnswer
		}
		return a.status, a.r, nil
	}
	return 0, nil, httpwire.ErrNotSent
}
