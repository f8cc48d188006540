package replay

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"time"

	"github.com/marlwood/marlwood/internal/api"
	"github.com/marlwood/marlwood/internal/autoscaler"
	"github.com/marlwood/marlwood/internal/controller"
	"github.com/marlwood/marlwood/internal/httpwire"
	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/placement"
	"github.com/marlwood/marlwood/internal/record/recordpb"
	"github.com/marlwood/marlwood/internal/scheduler"
	"github.com/marlwood/marlwood/internal/settings"
	"github.com/marlwood/marlwood/internal/simulation"
	"github.com/marlwood/marlwood/internal/store"
)

// environment is a day played again: one controller, the real one, among models of the rest.
type environment struct {
	sim            *simulation.Sim
	process        *simulation.Process
	store          *simulation.Store
	node           *controller.Controller
	cfg            *settings.Platform
	types          map[string]model.MachineType
	day            *Day // that was recorded
	supply         *Supply
	recorded       bool // machines come and go as recorded
	jobs           map[string]*simJob
	machines       []*machine // in order of their names
	byName         map[string]*machine
	launchRequests map[string][]string

	seen *Day // what happens
	tap  observer
	made uint64
}

// lead is how long the controller runs before the day begins, until it leads.
const lead = 10 * time.Second

// Rules are what a day is played under.
type Rules struct {
	Platform *settings.Platform
	Operator *settings.Operator
	Types    map[string]model.MachineType
	Most     map[autoscaler.Market]int // what the cloud has, where that is not as recorded
	Recorded bool                      // machines come and go as recorded
}

// rulesOf are the recorded ones.
func rulesOf(d *Day) (Rules, error) {
	s := d.Config.Settings
	if s.Platform == nil || s.Operator == nil {
		return Rules{}, errors.New("the recording does not hold the settings")
	}
	return Rules{Platform: s.Platform, Operator: s.Operator, Types: d.Types}, nil
}

// play plays a recorded day's submissions under rules and returns what happened.
func play(d *Day, supply *Supply, r Rules, seed uint64) (*Day, error) {
	platform, operator := *r.Platform, *r.Operator
	platform.Siblings, platform.StateAddr, platform.CloudAddr = nil, "127.0.0.1:1", "127.0.0.1:1"
	if r.Recorded { // the recording decides when machines go
		operator.Fleet.Idle, operator.Fleet.Keep = 1e6*time.Hour, 1e6*time.Hour
	}
	w := newEnvironment(d, supply, r, seed)
	w.cfg = &platform
	s := w.sim
	node, err := controller.NewWithEnvironment(w, s.Rand.Uint64(), &platform, &operator, slog.New(slog.DiscardHandler))
	if err != nil {
		return nil, err
	}
	w.node = node
	node.SetRecorder(w)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	node.Start(ctx)
	w.tickWorkers()
	for _, j := range d.Jobs.All() {
		w.submit(j)
	}
	for _, m := range d.Machines.All() {
		if r.Recorded || m.Rented < 0 && m.Up >= 0 && m.Up < time.Second { // there from the beginning
			w.bring(m)
		}
	}
	end := lead + d.End
	for s.Pending() > 0 && s.Now() < end {
		s.Step()
	}
	cancel()
	w.process.Kill()
	s.End()
	w.seen.Begin, w.seen.End, w.seen.Config = d.Begin, d.End, d.Config
	return w.seen, nil
}

// newEnvironment is a world without a controller.
func newEnvironment(d *Day, supply *Supply, r Rules, seed uint64) *environment {
	s := simulation.New(seed)
	return &environment{sim: s, process: s.NewProcess("controller"), store: simulation.NewStore(s, r.Platform.TxnOps), cfg: r.Platform, types: r.Types,
		day: d, supply: supply.with(r.Most), recorded: r.Recorded, jobs: map[string]*simJob{}, byName: map[string]*machine{},
		launchRequests: map[string][]string{}, seen: newDay()}
}

// with changes what the cloud has.
func (s *Supply) with(most map[autoscaler.Market]int) *Supply {
	if len(most) == 0 {
		return s
	}
	out := *s
	out.limits = map[autoscaler.Market][]step{}
	for src, l := range s.limits {
		out.limits[src] = l
	}
	for src, n := range most {
		out.limits[src] = []step{{0, n}}
	}
	return &out
}

// tick is how often a controller looks at what is due, as in the live world.
const tick = 50 * time.Millisecond

func (w *environment) tickWorkers() {
	w.process.Later(tick, func() {
		w.node.Tick(w.Now())
		w.tickWorkers()
	})
}

// at is a moment of the recorded day.
func at(t time.Duration) time.Duration { return lead + t }

// submit has a job's record written when it was submitted, and removed when its user
// cancelled it.
func (w *environment) submit(seen *JobSeen) {
	j := &simJob{spec: seen.Spec, seen: seen, takes: map[int]time.Duration{}, progress: map[int]time.Duration{}, done: map[int]bool{},
		running: map[uint64][]*attempt{}}
	w.jobs[seen.Spec.ID] = j
	w.sim.At(at(seen.Submitted), func() {
		put := store.Put(seen.Key, seen.Record)
		_, _ = w.store.Txn(store.Txn{Writes: []store.Write{put}})
	})
	if seen.Cancelled < 0 {
		return
	}
	w.sim.At(at(seen.Cancelled), func() {
		for _, key := range []string{placement.JobPrefix + seen.Spec.ID, placement.WaitPrefix + seen.Spec.ID} {
			if _, err := w.store.Get(key); err == nil {
				_, _ = w.store.Txn(store.Txn{Writes: []store.Write{store.Delete(key),
					store.Put(placement.DonePrefix+seen.Spec.ID, placement.FinalJobRecord{Stage: model.Cancelled, Tasks: seen.Spec.Tasks})}})
			}
		}
	})
}

// takes is how long a task runs: as it did, or as others of its class.
func (w *environment) takes(j *simJob, index int) time.Duration {
	if d, ok := j.takes[index]; ok {
		return d
	}
	var duration time.Duration
	if ran, ok := w.supply.Runs[taskOf{j.spec.ID, index}]; ok {
		duration = model.Seconds(ran)
	} else {
		duration = time.Duration(float64(j.spec.Estimate) * w.supply.Ratios[j.spec.Class].draw(w.sim.Rand, 1))
	}
	j.takes[index] = duration
	return duration
}

// add makes a machine.
func (w *environment) add(name string, pool model.Pool, spot bool) *machine {
	m := &machine{w: w, name: name, pool: pool, spot: spot, rented: w.sim.Now(), notice: -1, leaving: -1, due: -1,
		speed: w.supply.Fetches[pool.Type].draw(w.sim.Rand, w.types[pool.Type].FetchGBPerS)}
	w.machines = append(w.machines, m)
	w.byName[name] = m
	return m
}

// bring has a machine come and go as recorded.
func (w *environment) bring(seen *MachineSeen) {
	if seen.Up < 0 {
		return
	}
	w.sim.At(at(max(seen.from(), -lead/2)), func() { w.add(seen.Name, seen.Pool, seen.Spot) })
	w.sim.At(at(seen.Up), func() { w.byName[seen.Name].begin() })
	if seen.EndedAt < 0 || !w.recorded {
		return
	}
	switch {
	case seen.Notice >= 0:
		w.sim.At(at(seen.Notice), func() { w.byName[seen.Name].recall(seen.Lead) })
	case seen.Unexpected:
		// Its lease was believed to be over that much later.
		w.sim.At(at(max(seen.Up, seen.EndedAt-w.cfg.Lease)), func() { w.byName[seen.Name].end() })
	default: // it was idle for a while before it was returned
		idle := min(seen.EndedAt-seen.Up, w.day.Config.Settings.Operator.Fleet.Idle)
		w.sim.At(at(seen.EndedAt-idle), func() { w.byName[seen.Name].leave(at(seen.EndedAt)) })
	}
}

// recall announces that a machine will be taken, and takes it.
func (m *machine) recall(in time.Duration) {
	m.notice = m.w.sim.Now() + in
	m.changed()
	m.w.sim.After(in, m.end)
}

// rent makes machines as far as the cloud has them.
func (w *environment) rent(c autoscaler.LaunchRequest) (autoscaler.Result, []string) {
	if names, ok := w.launchRequests[c.Name]; ok {
		return autoscaler.Granted, names
	}
	if w.recorded {
		return autoscaler.Refused, nil
	}
	src, held := autoscaler.Market{Pool: c.Pool, Spot: c.Spot}, 0
	for _, m := range w.machines {
		if !m.terminated && m.pool == c.Pool && m.spot == c.Spot {
			held++
		}
	}
	n := c.Count
	if most, known := w.supply.most(src, w.sim.Now()-lead); known && most >= 0 {
		n = min(n, most-held)
	}
	if n <= 0 {
		return autoscaler.Refused, nil
	}
	var names []string
	for range n {
		w.made++
		m := w.add(fmt.Sprintf("sim-%06d", w.made), c.Pool, c.Spot)
		names = append(names, m.name)
		w.born(m)
	}
	w.launchRequests[c.Name] = names
	return autoscaler.Granted, names
}

// born draws a rented machine's fate.
func (w *environment) born(m *machine) {
	s, r := w.supply, w.sim.Rand
	if s.Rented > 0 && r.Float64() < float64(s.Dead)/float64(s.Rented) {
		m.dead = true
		return
	}
	boot := model.Seconds(s.Boots[m.pool.Type].draw(r, w.types[m.pool.Type].Boot.Seconds()))
	w.sim.After(boot, m.begin)
	if m.spot && s.Recalls > 0 && s.SpotH > 0 {
		w.sim.After(boot+lifetime(r.Float64(), float64(s.Recalls)/s.SpotH), func() {
			if notice := model.Seconds(s.Leads.draw(r, 0)); notice > 0 && !m.terminated {
				m.recall(notice)
			} else {
				m.end()
			}
		})
	}
	if s.MachinesDied > 0 && s.AllH > 0 {
		w.sim.After(boot+lifetime(r.Float64(), float64(s.MachinesDied)/s.AllH), m.end)
	}
}

// lifetime turns a draw from 0 to 1 into a time until something happens that happens
// so often an hour.
func lifetime(draw, rate float64) time.Duration {
	hours := -math.Log(1-draw) / rate
	return time.Duration(min(hours, 1e5) * float64(time.Hour))
}

// What follows is controller.Environment.

// Now is the controller's clock, which is the time of day as well.
func (w *environment) Now() time.Time { return w.day.Begin.Add(w.sim.Now() - lead) }

// WallClock is the time of day, by the same clock.
func (w *environment) WallClock() time.Time { return w.Now() }

// Random draws from the seeded random numbers.
func (w *environment) Random() uint64 { return w.sim.Rand.Uint64() }

// Post runs a function between two events of the loop.
func (w *environment) Post(f func()) { f() }

// Go starts a fiber of the simulated process.
func (w *environment) Go(f func()) { w.process.Spawn(f) }

// NewLatch makes a latch of simulated time.
func (w *environment) NewLatch() api.Latch { return w.process.NewLatch() }

// Store is the simulated key-value store.
func (w *environment) Store() controller.Store { return storeOf{w} }

// Cloud is the simulated cloud.
func (w *environment) Cloud() controller.Cloud { return cloudOf{w} }

// Sleep pauses the process in simulated time.
func (w *environment) Sleep(_ context.Context, d time.Duration) { w.process.Sleep(d) }

// DialRegion fails: a replay has one region.
func (w *environment) DialRegion(string) (controller.RegionPeer, error) {
	return nil, errors.New("replay: there is one region only")
}

// Dial fails: a replay has one controller.
func (w *environment) Dial(string) (controller.Peer, error) {
	return nil, errors.New("there are no siblings")
}

// SendCommands delivers commands to a worker and returns its answer.
func (w *environment) SendCommands(_ context.Context, addr string, o model.DirectCommands) (int, *model.Heartbeat, error) {
	w.process.Sleep(message)
	m := w.byName[addr]
	if m == nil || m.terminated || !m.up {
		return 0, nil, httpwire.ErrNotSent
	}
	status, r := m.orders(o)
	w.process.Sleep(message)
	return status, r, nil
}

// Tap: what is decided is seen like a recording.

// Begin starts a stream of decisions.
func (w *environment) Begin(string) { w.seen.Terms = 0 }

// Wanted tells whether an event and a state are recorded.
func (w *environment) Wanted() (bool, bool) { return true, w.seen.Terms == 0 }

// Record receives a recorded frame.
func (w *environment) Record(f *recordpb.Frame) {
	if s := f.GetState(); s != nil {
		w.seen.Terms, w.seen.Begin, w.seen.Types, w.tap.origin = 1, w.day.Begin, w.types, time.Unix(0, s.OriginUnixNs)
		return
	}
	_ = w.tap.frame(w.seen, f) // only a state can be wrong
}

// storeOf is the controller's client of the state service.
type storeOf struct{ w *environment }

// Get reads a key.
func (c storeOf) Get(_ context.Context, key string) (store.Item, error) {
	c.w.process.Sleep(message)
	return c.w.store.Get(key)
}

// List lists the keys with a prefix.
func (c storeOf) List(_ context.Context, prefix string) ([]store.Item, uint64, error) {
	c.w.process.Sleep(message)
	items, rev := c.w.store.List(prefix)
	return items, rev, nil
}

// Commit executes a transaction.
func (c storeOf) Commit(_ context.Context, t store.Txn) (store.TxnResult, error) {
	c.w.process.Sleep(message)
	return c.w.store.Txn(t)
}

// Watch reads the changes since a revision.
func (c storeOf) Watch(_ context.Context, prefix string, after uint64, wait time.Duration) (events []store.Event, rev uint64, err error) {
	c.w.process.Await(func(wake func()) {
		c.w.store.Watch("", prefix, after, wait, func(e []store.Event, r uint64) {
			events, rev = e, r
			c.w.sim.After(message, wake)
		})
	})
	store.SortByRevision(events)
	return events, max(after, rev), nil
}

// GrantLease makes a lease.
func (c storeOf) GrantLease(_ context.Context, ttl time.Duration) (uint64, error) {
	c.w.process.Sleep(message)
	return c.w.store.GrantLease(ttl), nil
}

// KeepAlive renews a lease.
func (c storeOf) KeepAlive(_ context.Context, id uint64) error {
	c.w.process.Sleep(message)
	return c.w.store.KeepAlive(id)
}

// SetBudgets changes nothing: the model has no rates.
func (c storeOf) SetBudgets(store.Budgets) {}

// cloudOf is the controller's client of the cloud.
type cloudOf struct{ w *environment }

// cloudDelay is how long the cloud takes to answer.
const cloudDelay = 50 * time.Millisecond

// Types returns the machine types.
func (c cloudOf) Types(context.Context) (model.Catalogue, error) {
	var out model.Catalogue
	types := model.NewTable[string, model.MachineType]()
	for name, t := range c.w.types {
		types.Put(name, t)
	}
	for _, t := range types.All() {
		out.Types = append(out.Types, model.WireType{Name: t.Name, CPUs: t.Size.CPUs, GPUs: t.Size.GPUs, MemoryGB: t.Size.MemoryGB,
			CacheGB: t.CacheGB, FetchGBPerS: t.FetchGBPerS, Price: t.Price, SpotPrice: t.SpotPrice, BootS: t.Boot.Seconds(), Zones: t.Zones})
	}
	return out, nil
}

// Launch requests machines.
func (c cloudOf) Launch(_ context.Context, ch autoscaler.LaunchRequest) (autoscaler.Result, []string) {
	c.w.process.Sleep(cloudDelay)
	return c.w.rent(ch)
}

// Terminate returns machines.
func (c cloudOf) Terminate(_ context.Context, names []string) error {
	c.w.process.Sleep(cloudDelay)
	for _, name := range names {
		m := c.w.byName[name]
		if m == nil {
			continue
		}
		if c.w.recorded && !m.terminated { // it goes when the recording says so
			return errors.New("not yet")
		}
		m.end()
		m.failed = false
	}
	return nil
}

// List lists the machines that exist.
func (c cloudOf) List(context.Context) ([]autoscaler.CloudMachine, error) {
	c.w.process.Sleep(cloudDelay)
	var out []autoscaler.CloudMachine
	for _, m := range c.w.machines {
		if m.terminated && !m.failed {
			continue
		}
		out = append(out, autoscaler.CloudMachine{Name: m.name, Pool: m.pool, Spot: m.spot, Booting: !m.up, Failed: m.failed, Age: c.w.sim.Now() - m.rented})
	}
	return out, nil
}

var _ scheduler.Recorder = (*environment)(nil)
