package standin

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

// Type is a machine type that a cloud offers.
type Type struct {
	Name        string
	Size        model.Size
	CacheGB     float64
	FetchGBPerS float64
	Price       float64
	SpotPrice   float64
	Boot        time.Duration
	Zones       []string
	Limit       int // most machines of the type per zone, for spot and on-demand each; 0: unlimited
}

// Options configures a cloud and its workers.
type Options struct {
	Nodes  map[string]string // addresses of the controllers, by name
	Types  []*Type
	Lease  time.Duration
	Report time.Duration // mean interval between heartbeats
	Soon   time.Duration // minimum interval between heartbeats when something changes
	Speed  float64       // factor by which boots, image fetches and checkpoints are faster; 0 means 1
	// Jobs returns the description of a job, or nil for an unknown job.
	Jobs func(id string) *model.Job
	// Takes returns how long a task runs. Speed does not apply to it.
	Takes func(j *model.Job, index int) time.Duration
	// Fails reports whether a job's tasks end with an error; nil: none does.
	Fails func(j *model.Job) bool
	// Callable makes every machine reachable by direct calls, instead of every other one.
	Callable bool
	// Observe is called for each task that becomes active on a machine or stops being active, under
	// the cloud's lock and in the order of these events; nil: no call.
	Observe func(e Event)
}

// Event says that a task became active on a machine, or stopped being active there. A task that
// is still fetching its image is not active yet.
type Event struct {
	At      time.Time
	On      bool // it became active; false: it stopped being active
	Done    bool // it stopped being active because it was completed
	Job     *model.Job
	Task    string
	Machine string
	Type    string
	Zone    string
	Spot    bool
}

// scaled returns a duration divided by the cloud's Speed.
func (o *Options) scaled(d time.Duration) time.Duration {
	if o.Speed > 0 {
		return time.Duration(float64(d) / o.Speed)
	}
	return d
}

// Cloud is a stand-in for the cloud, which rents out machines. Each machine has a worker that
// sends heartbeats to the controllers.
type Cloud struct {
	*httptest.Server
	opt    Options
	closed chan struct{}

	mu             sync.Mutex
	now            time.Time
	machines       map[string]*machine
	rented         map[offer]int
	launchRequests map[string][]string
	count          int
	running        map[string]*attempt              // the active attempt of each task
	gangs          map[gangAttempt]map[int]*attempt // active attempts of gangs' tasks, by task index
	finished       map[string]bool                  // names of completed tasks
	progress       map[string]time.Duration         // run time that checkpoints cover, by attempt.key
	savedAttempt   map[string]uint64                // by gang's job ID: the attempt that was saved last
	violations     []string
	started        int
	killed         int           // tasks that ended because their machine's lease expired
	wastedCPUTime  time.Duration // run time times CPUs of tasks that ended without being completed or saved

	repeatCallsUntil               time.Time
	repeatedCalls, reexecutedCalls int // see RepeatCalls
}

// offer is a kind of machine whose number the cloud limits.
type offer struct {
	typ  *Type
	zone string
	spot bool
}

// gangAttempt is one attempt of a gang.
type gangAttempt struct {
	job    *model.Job
	number uint64
}

// failedListedFor is how long a failed machine is still listed as running.
const failedListedFor = 30 * time.Second

// NewCloud starts a cloud on a loopback port.
func NewCloud(opt Options) *Cloud {
	c := &Cloud{opt: opt, closed: make(chan struct{}), now: time.Now(), machines: map[string]*machine{}, rented: map[offer]int{},
		launchRequests: map[string][]string{}, running: map[string]*attempt{}, gangs: map[gangAttempt]map[int]*attempt{}, finished: map[string]bool{}, progress: map[string]time.Duration{}, savedAttempt: map[string]uint64{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machine_types", c.types)
	mux.HandleFunc("POST /hosts", c.rent)
	mux.HandleFunc("POST /hosts/release", c.release)
	mux.HandleFunc("GET /hosts", c.list)
	c.Server = httptest.NewServer(mux)
	return c
}

// remove terminates a machine and deletes it from the cloud.
func (c *Cloud) remove(m *machine) {
	m.terminate()
	delete(c.machines, m.name)
	c.rented[offer{m.typ, m.zone, m.spot}]--
}

// Close stops every worker and the cloud.
func (c *Cloud) Close() {
	close(c.closed)
	c.mu.Lock()
	for _, m := range c.machines {
		m.stopWorker()
	}
	c.mu.Unlock()
	c.Server.Close()
}

// Broken returns the violations of the rules: tasks that were active on two machines at once, and
// gangs that completed with fewer than all of their tasks.
func (c *Cloud) Broken() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.violations)
}

// Running returns the number of tasks that are active on a machine.
func (c *Cloud) Running() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.running)
}

// Started returns how many times a task has become active on a machine.
func (c *Cloud) Started() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.started
}

// Killed returns the number of tasks that ended because their machine's lease expired.
func (c *Cloud) Killed() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.killed
}

// WastedCPUTime returns the CPU time (run time times CPUs) of tasks that ended without being completed or saved.
func (c *Cloud) WastedCPUTime() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.wastedCPUTime
}

// On returns the names of a machine's tasks that have not exited, including those that are still
// fetching their image.
func (c *Cloud) On(name string) (tasks []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m := c.machines[name]; m != nil {
		for _, t := range m.tasks {
			if t.state != model.TaskExited {
				tasks = append(tasks, t.name)
			}
		}
	}
	return tasks
}

// Machines returns the sorted names of the rented machines.
func (c *Cloud) Machines() (names []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name := range c.machines {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Hang makes a machine do nothing for d. It reports whether the machine exists.
func (c *Cloud) Hang(name string, d time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.machines[name]
	if m != nil {
		m.hungUntil = time.Now().Add(d)
		m.resetTimer()
	}
	return m != nil
}

// Fail makes a machine stop with all its tasks. The cloud lists it for failedListedFor longer. Fail
// reports whether the machine existed and had not failed yet.
func (c *Cloud) Fail(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.machines[name]
	if m == nil || m.failed {
		return false
	}
	c.now = time.Now()
	m.failed = true
	m.terminate()
	time.AfterFunc(failedListedFor, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.machines[name] == m {
			c.remove(m)
		}
	})
	return true
}

// Recall makes the cloud take a machine away after a notice period. It reports whether the machine
// exists.
func (c *Cloud) Recall(name string, notice time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.machines[name]
	if m != nil {
		m.recallAt = time.Now().Add(notice)
		m.reportSoon()
		m.resetTimer()
	}
	return m != nil
}

// recordStart records that an attempt became active, and checks that no other attempt of its
// task is active.
func (c *Cloud) recordStart(t *attempt) {
	c.started++
	if o := c.running[t.name]; o != nil && o != t && o.m.leaseOver(c.now) {
		o.m.endSession(c.now) // its timer is late
	}
	if o := c.running[t.name]; o != nil && o != t {
		c.violations = append(c.violations, "ran twice: "+t.name+" on "+o.m.name+" and "+t.m.name)
	}
	c.running[t.name] = t
	if t.job.Shape == model.Gang {
		key := gangAttempt{t.job, t.number}
		if c.gangs[key] == nil {
			c.gangs[key] = map[int]*attempt{}
		}
		c.gangs[key][t.index] = t
	}
	c.observe(t, true)
}

func (c *Cloud) recordEnd(t *attempt) {
	if c.running[t.name] == t {
		delete(c.running, t.name)
	}
	key := gangAttempt{t.job, t.number}
	if g := c.gangs[key]; g[t.index] == t {
		delete(g, t.index)
		if len(g) == 0 {
			delete(c.gangs, key)
		}
	}
	c.observe(t, false)
}

func (c *Cloud) observe(t *attempt, on bool) {
	if c.opt.Observe != nil {
		c.opt.Observe(Event{At: time.Now(), On: on, Done: t.cause == model.CauseDone, Job: t.job, Task: t.name,
			Machine: t.m.name, Type: t.m.typ.Name, Zone: t.m.zone, Spot: t.m.spot})
	}
}

// gang returns the active attempts of t's gang, in the order of their task indexes.
func (c *Cloud) gang(t *attempt) (out []*attempt) {
	for _, o := range c.gangs[gangAttempt{t.job, t.number}] {
		out = append(out, o)
	}
	sort.Slice(out, func(i, k int) bool { return out[i].index < out[k].index })
	return out
}

// done completes a task, or all tasks of its gang.
func (c *Cloud) done(t *attempt) {
	if t.job.Shape != model.Gang {
		c.finished[t.name] = true
		t.exit(model.CauseDone, false)
		return
	}
	gang := c.gang(t)
	if len(gang) != t.job.Tasks {
		c.violations = append(c.violations, fmt.Sprintf("gang %s completed with %d of %d pieces", t.job.ID, len(gang), t.job.Tasks))
	}
	for i := range t.job.Tasks {
		c.finished[model.TaskName(t.job.ID, i)] = true
	}
	for _, o := range gang {
		o.exit(model.CauseDone, false)
	}
}
