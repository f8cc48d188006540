package scale

import (
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/standin"
)

// truth judges the protocol's rules by what is on the hollow machines, never by what controllers
// say. It is safe for concurrent use.
type truth struct {
	limits map[string]float64 // by team, in CPUs
	types  map[string]model.MachineType

	mu        sync.Mutex
	jobs      map[string]*jobTruth
	used      map[string]float64 // by team, in CPUs
	samples   []UseSample        // since they were last taken
	broken    []string
	lastStart time.Time
	longest   time.Duration // without any start
}

// jobTruth is what is really so of a job.
type jobTruth struct {
	zones     map[string]int // its tasks on machines
	on        int
	done      map[string]bool
	cancelled time.Time     // when its user was told; zero: not yet
	told      model.Stage   // the last final answer
	submitted time.Time     // when its user first sent it
	began     time.Duration // from then until its first task ran; 0: none did
}

func newTruth(p Plan) *truth {
	t := &truth{limits: map[string]float64{}, types: map[string]model.MachineType{}, jobs: map[string]*jobTruth{},
		used: map[string]float64{}}
	for _, x := range p.Teams {
		t.limits[x.Name] = x.Limit
	}
	for _, x := range p.Types {
		t.types[x.Name] = model.MachineType{Name: x.Name, Size: model.Size{CPUs: x.CPUs, MemoryGB: x.MemoryGB}, Zones: p.Zones}
	}
	return t
}

// rounding is how far sums of CPUs may be off.
const rounding = 1e-6

func (t *truth) breaks(rule, format string, args ...any) {
	const most = 20
	if len(t.broken) < most {
		t.broken = append(t.broken, rule+": "+fmt.Sprintf(format, args...))
	}
}

func (t *truth) job(id string) *jobTruth {
	j := t.jobs[id]
	if j == nil {
		j = &jobTruth{zones: map[string]int{}, done: map[string]bool{}}
		t.jobs[id] = j
	}
	return j
}

// observe takes in that a task came to be on a machine, or left it.
func (t *truth) observe(e standin.Event) {
	t.mu.Lock()
	defer t.mu.Unlock()
	j, team := t.job(e.Job.ID), e.Job.Team
	if !e.On {
		t.used[team] -= e.Job.Size.CPUs
		j.on--
		j.zones[e.Zone]--
		if e.Done {
			j.done[e.Task] = true
		}
		return
	}
	t.checkPlace(e, j)
	j.on++
	j.zones[e.Zone]++
	t.used[team] += e.Job.Size.CPUs
	if t.used[team] > t.limits[team]+rounding {
		t.breaks("quota", "%s uses %.2f of %.2f CPUs with %s", team, t.used[team], t.limits[team], e.Task)
	}
	if !j.cancelled.IsZero() && e.At.Sub(j.cancelled) > cancelWait {
		t.breaks("ran_cancelled", "%s starts %v after its user was told", e.Task, e.At.Sub(j.cancelled))
	}
	if j.began == 0 && !j.submitted.IsZero() {
		j.began = e.At.Sub(j.submitted)
	}
	if !t.lastStart.IsZero() {
		t.longest = max(t.longest, e.At.Sub(t.lastStart))
	}
	t.lastStart = e.At
}

// checkPlace looks at where a task comes to be, given the job's other tasks.
func (t *truth) checkPlace(e standin.Event, j *jobTruth) {
	kind, elsewhere := t.types[e.Type], 0
	for zone, n := range j.zones {
		if zone != e.Zone {
			elsewhere += n
		}
	}
	switch {
	case !e.Job.Allows(kind, e.Zone), e.Spot && !e.Job.Spot:
		t.breaks("wrong_place", "%s on %s, a %s in %s, spot %v", e.Task, e.Machine, e.Type, e.Zone, e.Spot)
	case e.Job.OneZone && elsewhere > 0:
		t.breaks("wrong_place", "%s in %s, %d others of its job elsewhere", e.Task, e.Zone, elsewhere)
	case j.zones[e.Zone] >= e.Job.ZoneCap():
		t.breaks("wrong_place", "%s is one too many in %s", e.Task, e.Zone)
	}
}

// sweep looks for tasks of jobs that were cancelled too long ago.
func (t *truth) sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, j := range t.jobs {
		if j.on > 0 && !j.cancelled.IsZero() && now.Sub(j.cancelled) > cancelWait {
			t.breaks("ran_cancelled", "%s has %d tasks on machines %v after its user was told", id, j.on, now.Sub(j.cancelled))
		}
	}
}

// submitted notes when a user first sent a job.
func (t *truth) submitted(id string, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.job(id).submitted = at
}

// answered takes in what a user was told of a job of so many tasks.
func (t *truth) answered(id string, tasks int, stage model.Stage, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	j := t.job(id)
	if j.told.Final() && stage != j.told {
		t.breaks("went_back", "%s is called %s after %s", id, stage, j.told)
	}
	if stage == model.Done && len(j.done) < tasks {
		t.breaks("not_done", "%s is called done, %d of %d tasks are", id, len(j.done), tasks)
	}
	if stage == model.Cancelled && j.cancelled.IsZero() {
		j.cancelled = at
	}
	if stage.Final() {
		j.told = stage
	}
}

// began tells how long after it was first sent a job's first task ran; 0: none has.
func (t *truth) began(id string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.job(id).began
}

// UseSample is what teams use in a region at a moment of the time of day.
type UseSample struct {
	AtMS int64
	Used map[string]float64 // CPUs
}

// sampleEvery is how often it is noted what teams use, at moments that are the same in all regions.
const sampleEvery = 100 * time.Millisecond

// sample notes what teams use now.
func (t *truth) sample(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := UseSample{AtMS: now.Round(sampleEvery).UnixMilli(), Used: make(map[string]float64, len(t.used))}
	for team, cpus := range t.used {
		if cpus > rounding {
			s.Used[team] = math.Round(cpus*1000) / 1000
		}
	}
	t.samples = append(t.samples, s)
}

// take returns the rules broken so far, the longest time without a start, and what was used since the
// last call.
func (t *truth) take() (broken []string, longest time.Duration, samples []UseSample) {
	t.mu.Lock()
	defer t.mu.Unlock()
	samples, t.samples = t.samples, nil
	return slices.Clone(t.broken), t.longest, samples
}
