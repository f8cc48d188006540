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

// environment simulates a day: the real controller code runs against models of the store, the cloud
// and the machines. It implements controller.Environment and scheduler.Recorder.
type environment struct {
	sim            *simulation.Sim
	process        *simulation.Process
	store          *simulation.Store
	node           *controller.Controller
	cfg            *settings.Platform
	types          map[string]model.MachineType
	day            *Day // the recorded day
	supply         *Supply
	recorded       bool // machines come and go as recorded
	jobs           map[string]*simJob
	machines       []*machine // in the order in which they were added
	byName         map[string]*machine
	launchRequests map[string][]string

	seen *Day // what happens in the simulation
	tap  observer
	made uint64
}

// warmUp is how long the controller runs before the day begins, so that it is the leader by then.
const warmUp = 10 * time.Second

// Rules are the settings, machine types and capacities under which a day is simulated.
type Rules struct {
	Platform *settings.Platform
	Operator *settings.Operator
	Types    map[string]model.MachineType
	Most     map[autoscaler.Market]int // capacity of the cloud, where it differs from the recording
	Recorded bool                      // machines come and go as recorded
}

// rulesOf returns the rules of the recorded day.
func rulesOf(d *Day) (Rules, error) {
	s := d.Config.Settings
	if s.Platform == nil || s.Operator == nil {
		return Rules{}, errors.New("the recording does not hold the settings")
	}
	return Rules{Platform: s.Platform, Operator: s.Operator, Types: d.Types}, nil
}

// play simulates a recorded day's submissions under the rules and returns what happened.
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
			w.scheduleRecorded(m)
		}
	}
	end := warmUp + d.End
	for s.Pending() > 0 && s.Now() < end {
		s.Step()
	}
	cancel()
	w.process.Kill()
	s.End()
	w.seen.Begin, w.seen.End, w.seen.Config = d.Begin, d.End, d.Config
	return w.seen, nil
}

// newEnvironment returns an environment without a controller.
func newEnvironment(d *Day, supply *Supply, r Rules, seed uint64) *environment {
	s := simulation.New(seed)
	return &environment{sim: s, process: s.NewProcess("controller"), store: simulation.NewStore(s, r.Platform.TxnOps), cfg: r.Platform, types: r.Types,
		day: d, supply: supply.with(r.Most), recorded: r.Recorded, jobs: map[string]*simJob{}, byName: map[string]*machine{},
		launchRequests: map[string][]string{}, seen: newDay()}
}

// with returns a Supply in which the capacity of the given markets is replaced.
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

// tick is the interval at which the controller handles its timers, as in production.
const tick = 50 * time.Millisecond

func (w *environment) tickWorkers() {
	w.process.Later(tick, func() {
		w.node.Tick(w.Now())
		w.tickWorkers()
	})
}

// at converts a time of the recorded day to simulated time.
func at(t time.Duration) time.Duration { return warmUp + t }

// submit schedules the write of a job's record at its submission, and its removal when its user
// cancelled the job.
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

// takes returns the run time of a task: the recorded one, or one drawn from its class.
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

// add creates a machine that has not booted.
func (w *environment) add(name string, pool model.Pool, spot bool) *machine {
	m := &machine{w: w, name: name, pool: pool, spot: spot, rented: w.sim.Now(), notice: -1, leaving: -1, due: -1,
		speed: w.supply.Fetches[pool.Type].draw(w.sim.Rand, w.types[pool.Type].FetchGBPerS)}
	w.machines = append(w.machines, m)
	w.byName[name] = m
	return m
}

// scheduleRecorded schedules the start of a machine as recorded and, with recorded machines, its end.
func (w *environment) scheduleRecorded(seen *MachineSeen) {
	if seen.Up < 0 {
		return
	}
	w.sim.At(at(max(seen.from(), -warmUp/2)), func() { w.add(seen.Name, seen.Pool, seen.Spot) })
	w.sim.At(at(seen.Up), func() { w.byName[seen.Name].begin() })
	if seen.EndedAt < 0 || !w.recorded {
		return
	}
	switch {
	case seen.Notice >= 0:
		w.sim.At(at(seen.Notice), func() { w.byName[seen.Name].recall(seen.Lead) })
	case seen.Unexpected:
		// The controller considered it lost only when its lease had expired, that much later.
		w.sim.At(at(max(seen.Up, seen.EndedAt-w.cfg.Lease)), func() { w.byName[seen.Name].end() })
	default: // it was idle for a while before it was returned
		idle := min(seen.EndedAt-seen.Up, w.day.Config.Settings.Operator.Fleet.Idle)
		w.sim.At(at(seen.EndedAt-idle), func() { w.byName[seen.Name].leave(at(seen.EndedAt)) })
	}
}

// recall announces that the machine is preempted after a time, and ends it then.
func (m *machine) recall(in time.Duration) {
	m.notice = m.w.sim.Now() + in
	m.changed()
	m.w.sim.After(in, m.end)
}

// rent creates the requested machines, up to the capacity of the cloud.
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
	if most, known := w.supply.most(src, w.sim.Now()-warmUp); known && most >= 0 {
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
		w.scheduleLifecycle(m)
	}
	w.launchRequests[c.Name] = names
	return autoscaler.Granted, names
}

// scheduleLifecycle draws when a rented machine boots, if it does, and when it is preempted or dies.
func (w *environment) scheduleLifecycle(m *machine) {
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

// lifetime converts a uniform draw from [0, 1) to an exponentially distributed time with the given
// rate per hour.
func lifetime(draw, rate float64) time.Duration {
	hours := -math.Log(1-draw) / rate
	return time.Duration(min(hours, 1e5) * float64(time.Hour))
}

// The methods below implement controller.Environment.

// Now returns the simulated time of the controller's clock.
func (w *environment) Now() time.Time { return w.day.Begin.Add(w.sim.Now() - warmUp) }

// WallClock returns the same time as Now.
func (w *environment) WallClock() time.Time { return w.Now() }

// Random returns a number of the seeded generator.
func (w *environment) Random() uint64 { return w.sim.Rand.Uint64() }

// Post runs a function between two events of the loop.
func (w *environment) Post(f func()) { f() }

// Go starts a fiber of the simulated process.
func (w *environment) Go(f func()) { w.process.Spawn(f) }

// NewLatch returns a latch of the simulated process.
func (w *environment) NewLatch() api.Latch { return w.process.NewLatch() }

// Store returns the simulated key-value store.
func (w *environment) Store() controller.Store { return storeOf{w} }

// Cloud returns the simulated cloud.
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
	w.process.Sleep(messageDelay)
	m := w.byName[addr]
	if m == nil || m.terminated || !m.up {
		return 0, nil, httpwire.ErrNotSent
	}
	status, r := m.orders(o)
	w.process.Sleep(messageDelay)
	return status, r, nil
}

// The methods below implement scheduler.Recorder: decisions are observed like those of a recording.

// Begin starts a stream of decisions.
func (w *environment) Begin(string) { w.seen.Terms = 0 }

// Wanted reports whether to record an event, and whether to record a state before it.
func (w *environment) Wanted() (bool, bool) { return true, w.seen.Terms == 0 }

// Record receives a recorded frame.
func (w *environment) Record(f *recordpb.Frame) {
	if s := f.GetState(); s != nil {
		w.seen.Terms, w.seen.Begin, w.seen.Types, w.tap.origin = 1, w.day.Begin, w.types, time.Unix(0, s.OriginUnixNs)
		return
	}
	_ = w.tap.frame(w.seen, f) // only a state can return an error
}

// storeOf is the controller's client of the state service.
type storeOf struct{ w *environment }

// Get reads a key.
func (c storeOf) Get(_ context.Context, key string) (store.Item, error) {
	c.w.process.Sleep(messageDelay)
	return c.w.store.Get(key)
}

// List lists the keys with a prefix.
func (c storeOf) List(_ context.Context, prefix string) ([]store.Item, uint64, error) {
	c.w.process.Sleep(messageDelay)
	items, rev := c.w.store.List(prefix)
	return items, rev, nil
}

// Commit executes a transaction.
func (c storeOf) Commit(_ context.Context, t store.Txn) (store.TxnResult, error) {
	c.w.process.Sleep(messageDelay)
	return c.w.store.Txn(t)
}

// Watch reads the changes since a revision.
func (c storeOf) Watch(_ context.Context, prefix string, after uint64, wait time.Duration) (events []store.Event, rev uint64, err error) {
	c.w.process.Await(func(wake func()) {
		c.w.store.Watch("", prefix, after, wait, func(e []store.Event, r uint64) {
			events, rev = e, r
			c.w.sim.After(messageDelay, wake)
		})
	})
	store.SortByRevision(events)
	return events, max(after, rev), nil
}

// GrantLease creates a lease.
func (c storeOf) GrantLease(_ context.Context, ttl time.Duration) (uint64, error) {
	c.w.process.Sleep(messageDelay)
	return c.w.store.GrantLease(ttl), nil
}

// KeepAlive renews a lease.
func (c storeOf) KeepAlive(_ context.Context, id uint64) error {
	c.w.process.Sleep(messageDelay)
	return c.w.store.KeepAlive(id)
}

// SetBudgets does nothing: the model has no rate limits.
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
		if c.w.recorded && !m.terminated { // it ends when it did in the recording
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
