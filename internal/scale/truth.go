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

// truth checks the protocol's rules against the state of the hollow machines, not against the state that controllers
// report. It is safe for concurrent use.
type truth struct {
	limits map[string]float64 // by team, in CPUs
	types  map[string]model.MachineType

	mu        sync.Mutex
	jobs      map[string]*jobTruth
	used      map[string]float64 // by team, in CPUs
	samples   []UseSample        // since the last call of take
	broken    []string
	lastStart time.Time
	longest   time.Duration // longest time without a task start
}

// jobTruth is the actual state of a job on the machines, and the state that was reported to its user.
type jobTruth struct {
	zones         map[string]int  // number of its tasks on machines, by zone
	on            int             // number of its tasks on machines
	done          map[string]bool // ids of its completed tasks
	cancelled     time.Time       // when its user learned that it was cancelled; zero: not yet
	reportedStage model.Stage     // final stage last reported to its user
	submitted     time.Time       // when its user first sent it
	began         time.Duration   // time from submission to the start of its first task; 0: none has started
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

// rounding is the tolerance for sums of CPUs.
const rounding = 1e-6

// recordViolation adds a violation of a rule. It keeps only the first ones.
func (t *truth) recordViolation(rule, format string, args ...any) {
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

// observe processes an event: a task started on a machine or left it.
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
		t.recordViolation("quota", "%s uses %.2f of %.2f CPUs with %s", team, t.used[team], t.limits[team], e.Task)
	}
	if !j.cancelled.IsZero() && e.At.Sub(j.cancelled) > cancelWait {
		t.recordViolation("ran_cancelled", "%s starts %v after its user was told", e.Task, e.At.Sub(j.cancelled))
	}
	if j.began == 0 && !j.submitted.IsZero() {
		j.began = e.At.Sub(j.submitted)
	}
	if !t.lastStart.IsZero() {
		t.longest = max(t.longest, e.At.Sub(t.lastStart))
	}
	t.lastStart = e.At
}

// checkPlace checks the rules of placement for a task that starts, given the job's other tasks.
func (t *truth) checkPlace(e standin.Event, j *jobTruth) {
	kind, elsewhere := t.types[e.Type], 0
	for zone, n := range j.zones {
		if zone != e.Zone {
			elsewhere += n
		}
	}
	switch {
	case !e.Job.Allows(kind, e.Zone), e.Spot && !e.Job.Spot:
		t.recordViolation("wrong_place", "%s on %s, a %s in %s, spot %v", e.Task, e.Machine, e.Type, e.Zone, e.Spot)
	case e.Job.OneZone && elsewhere > 0:
		t.recordViolation("wrong_place", "%s in %s, %d others of its job elsewhere", e.Task, e.Zone, elsewhere)
	case j.zones[e.Zone] >= e.Job.ZoneCap():
		t.recordViolation("wrong_place", "%s is one too many in %s", e.Task, e.Zone)
	}
}

// sweep checks that no task still runs whose job was cancelled more than cancelWait ago.
func (t *truth) sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, j := range t.jobs {
		if j.on > 0 && !j.cancelled.IsZero() && now.Sub(j.cancelled) > cancelWait {
			t.recordViolation("ran_cancelled", "%s has %d tasks on machines %v after its user was told", id, j.on,
				now.Sub(j.cancelled))
		}
	}
}

// submitted records when a user first submitted a job.
func (t *truth) submitted(id string, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.job(id).submitted = at
}

// answered checks and records the stage that was reported to a user. tasks is the number of tasks of the job.
func (t *truth) answered(id string, tasks int, stage model.Stage, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	j := t.job(id)
	if j.reportedStage.Final() && stage != j.reportedStage {
		t.recordViolation("went_back", "%s is called %s after %s", id, stage, j.reportedStage)
	}
	if stage == model.Done && len(j.done) < tasks {
		t.recordViolation("not_done", "%s is called done, %d of %d tasks are", id, len(j.done), tasks)
	}
	if stage == model.Cancelled && j.cancelled.IsZero() {
		j.cancelled = at
	}
	if stage.Final() {
		j.reportedStage = stage
	}
}

// began returns the time from a job's first submission to the start of its first task, or 0 if none has started.
func (t *truth) began(id string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.job(id).began
}

// UseSample holds the CPUs that teams use in a region at one time.
type UseSample struct {
	AtMS int64              // Unix time in milliseconds
	Used map[string]float64 // CPUs by team
}

// sampleEvery is the interval between samples of the teams' usage, taken at the same times in all regions.
const sampleEvery = 100 * time.Millisecond

// sample records the CPUs that teams use now.
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

// take returns the rules broken so far, the longest time without a task start, and the samples since the last call.
func (t *truth) take() (broken []string, longest time.Duration, samples []UseSample) {
	t.mu.Lock()
	defer t.mu.Unlock()
	samples, t.samples = t.samples, nil
	return slices.Clone(t.broken), t.longest, samples
}
