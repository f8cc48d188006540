package simtest

import (
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/marlwood/marlwood/internal/httpwire"
	"github.com/marlwood/marlwood/internal/model"
)

// refused is a schedule that the explorer found and shrank: connections between controllers are refused, one
// controller leads after the other, and the first one missed the term of the second. If leases were counted from a
// controller's own last answer, a task would start twice.
var refused = Plan{Seed: 4, Machines: 1, Lease: 10 * time.Second, Cancel: 24 * time.Second,
	Jobs: []Submission{
		{At: 100 * time.Millisecond, Shape: model.Array, Tasks: 3, Spot: true, Takes: 17400 * time.Millisecond},
		{Shape: model.Array, Tasks: 1, Takes: 3 * time.Second, Cancel: time.Second},
		{Shape: model.Gang, Tasks: 1, Takes: 3 * time.Second},
		{Shape: model.Array, Tasks: 2, Takes: 3 * time.Second, Needs: []int{0}}},
	Faults: []Fault{
		{Kind: "refuse", At: 6100 * time.Millisecond, For: 15 * time.Second},
		{Kind: "cut node", At: 6100 * time.Millisecond, For: time.Second, Hold: true},
		{Kind: "cut node from store", At: 10600 * time.Millisecond, For: 4900 * time.Millisecond, A: 1}}}

// blind is a schedule with a leader that receives nothing for twenty seconds, while its own messages keep its leader
// key alive. Afterwards it reads the key again before it reads the jobs. Without a bound on the age of its view of the
// jobs, it started tasks of a job that had been cancelled long before.
var blind = Plan{Seed: 0x7af7143d, Machines: 3, Lease: 6 * time.Second, Cancel: 20 * time.Second,
	Jobs: []Submission{{At: 400 * time.Millisecond, Shape: model.Service, Tasks: 2, Zone: "b", Spot: true, Takes: 3800 * time.Millisecond,
		Cancel: 8100 * time.Millisecond}},
	Faults: []Fault{
		{Kind: "cut into node", At: 6600 * time.Millisecond, For: 17 * time.Second, A: 5},
		{Kind: "cut into node", At: 13500 * time.Millisecond, For: 14 * time.Second, A: 3, B: 5, Hold: true},
		{Kind: "cut node from store", At: 18 * time.Second, For: 35400 * time.Millisecond, B: 2, Hold: true},
		{Kind: "cut node from store", At: 19100 * time.Millisecond, For: 1400 * time.Millisecond, B: 2},
		{Kind: "cut node from store", At: 23400 * time.Millisecond, For: 1100 * time.Millisecond, A: 2},
		{Kind: "cut node from store", At: 27600 * time.Millisecond, For: 22 * time.Second, A: 3, B: 7, Hold: true},
		{Kind: "cut node from store", At: 28800 * time.Millisecond, For: 1100 * time.Millisecond, B: 7, Hold: true},
		{Kind: "cut into node", At: 28900 * time.Millisecond, For: 11300 * time.Millisecond, A: 5, Hold: true}}}

// found are seeds that once broke a rule. The causes were: machines that no longer existed made a zone look
// unreachable; a drain was answered after another operator had ended it; an unanswered call brought a start back into
// a new session; a drain was answered while an earlier leader might still act; a heartbeat from before a worker's
// restart counted as the newest; a machine that received nothing made its pool move from owner to owner; a machine was
// never returned; a restarted worker had carried out a call meant for its earlier process.
var found = []int{31030852, 50063006, 60055782, 70071424, 200001641, 210000006, 210000040, 210009384}

// foundMet are seeds that once broke a rule with overlapping faults. The causes were: usage was counted for a machine
// whose worker had restarted during an outage of the state service, for a gang that a later leader had started; an
// older list of drains cancelled a drain; five machine records were written at once where the state service accepted
// four.
var foundMet = []int{800035852, 900080711, 1000139823, 1100001427}

// foundPreempting are seeds that once broke a rule with priorities and checkpoints. The causes were: capacity freed
// for a guarantee was taken back by priority before the stopped tasks had saved; two jobs kept capacity from each
// other; a leader kept a task alive although it knew of its cancellation; two jobs kept free capacity from each other
// while a task saved.
var foundPreempting = []int{1800003201, 2200008432, 2300004744, 7100019330, 7200007027}

// Two runs of the same schedule have the same events.
func TestRunIsDeterministic(t *testing.T) {
	for seed := 1; seed <= 20; seed++ {
		p := Plans.Example(seed)
		if x, y := Run(p, nil, 0), Run(p, nil, 0); x != y || x.Events < 1000 {
			t.Errorf("seed %d: %+v and %+v", seed, x, y)
		}
	}
}

// Schedules that once broke a rule, as the explorer found and shrank them, break none.
func TestShrunk(t *testing.T) {
	if out := Run(refused, nil, 0); out.Broken != "" || out.Starts < 5 {
		t.Errorf("controllers that cannot talk: %+v", out)
	}
	if out := Run(blind, nil, 0); out.Broken != "" || out.Starts < 2 {
		t.Errorf("a leader that nothing reaches: %+v", out)
	}
}

// Seeds that once broke a rule, and a few thousand others, break none. The explorer's command can run any number.
func TestSchedules(t *testing.T) {
	for _, seed := range found {
		if out := Run(Plans.Example(seed), nil, 0); out.Broken != "" {
			t.Errorf("seed %d, found before: %+v", seed, out)
		}
	}
	for _, seed := range foundMet {
		if out := Run(OverlappingFaults.Example(seed), nil, 0); out.Broken != "" {
			t.Errorf("seed %d with troubles that meet, found before: %+v", seed, out)
		}
	}
	for _, seed := range foundPreempting {
		if out := Run(Preempting.Example(seed), nil, 0); out.Broken != "" {
			t.Errorf("seed %d with priorities and saves, found before: %+v", seed, out)
		}
	}
	seeds := make(chan int)
	var group sync.WaitGroup
	var lock sync.Mutex
	starts := 0
	for range 4 {
		group.Go(func() {
			for seed := range seeds {
				out := Run(Plans.Example(seed), nil, 0)
				if out.Broken != "" {
					t.Errorf("seed %d breaks %s", seed, out.Broken)
				}
				if seed%3 == 0 {
					if met := Run(OverlappingFaults.Example(seed), nil, 0); met.Broken != "" {
						t.Errorf("seed %d, with troubles that meet, breaks %s", seed, met.Broken)
					}
				}
				lock.Lock()
				starts += out.Starts
				lock.Unlock()
			}
		})
	}
	for seed := 1; seed <= 2000; seed++ {
		seeds <- seed
	}
	close(seeds)
	group.Wait()
	if starts < 1000 {
		t.Errorf("only %d tasks were started: the schedules show nothing", starts)
	}
}

// The rules are checked against what is on the machines and what users were told.
func TestRuleChecks(t *testing.T) {
	type at struct {
		w    *cluster
		x, y *job // y needs x
		m    []*worker
	}
	on := func(c at, m int, j *job, index int) *taskAttempt {
		task := &taskAttempt{job: j, index: index, attempt: 1, on: true}
		c.m[m].tasks = append(c.m[m].tasks, task)
		c.w.began(c.m[m], task)
		return task
	}
	pass := func(c at, until time.Duration) {
		for c.w.sim.Now() < until {
			c.w.sim.Step()
		}
	}
	tell := func(c at, j *job, status int, stage model.Stage) {
		c.w.handleAnswer(j, "question", answerOf(status, stage))
	}
	for _, c := range []struct {
		name, rule string
		do         func(c at)
	}{
		{"a task a machine", "", func(c at) { on(c, 0, c.x, 0); on(c, 1, c.x, 1) }},
		{"one after the other", "", func(c at) { c.m[0].off(on(c, 0, c.x, 0)); on(c, 1, c.x, 0) }},
		{"on two machines", "ran_twice", func(c at) { on(c, 0, c.x, 0); on(c, 1, c.x, 0) }},
		{"above the limit", "quota", func(c at) { on(c, 0, c.x, 0); on(c, 1, c.x, 1); on(c, 1, c.x, 2) }},
		{"in two zones", "wrong_place", func(c at) { on(c, 0, c.x, 0); on(c, 2, c.x, 1) }},
		{"a spread job in one zone", "wrong_place", func(c at) { c.x.spec.Spread = true; on(c, 0, c.x, 0); on(c, 1, c.x, 1); on(c, 0, c.x, 2) }},
		{"half of it", "", func(c at) { c.x.spec.Spread = true; on(c, 0, c.x, 0); on(c, 1, c.x, 1) }},
		{"on a spot machine", "wrong_place", func(c at) { c.m[0].spot = true; on(c, 0, c.x, 0) }},
		{"before what it needs", "too_early", func(c at) { on(c, 0, c.y, 0) }},
		{"long after it was cancelled", "ran_cancelled", func(c at) {
			c.x.cancelRequested = true
			tell(c, c.x, 200, model.Cancelled)
			pass(c, c.w.plan.Cancel+sec)
			on(c, 0, c.x, 0)
		}},
		{"called done before it is", "not_done", func(c at) { tell(c, c.x, 200, model.Done) }},
		{"unknown after it was accepted", "forgotten", func(c at) { tell(c, c.x, 201, model.Queued); tell(c, c.x, 404, "") }},
		{"running after it was done", "went_back", func(c at) {
			c.x.finished = []bool{true, true, true}
			tell(c, c.x, 200, model.Done)
			tell(c, c.x, 200, model.Running)
		}},
		{"cancelled by nobody", "went_back", func(c at) { tell(c, c.x, 200, model.Cancelled) }},
		{"cancelled with what it needs", "", func(c at) { c.x.cancelRequested = true; tell(c, c.y, 200, model.Cancelled) }},
		{"waits for what was cancelled long ago", "orphaned", func(c at) {
			c.x.cancelRequested = true
			tell(c, c.x, 200, model.Cancelled)
			pass(c, c.w.plan.Cancel+sec)
			tell(c, c.y, 200, model.Queued)
		}},
	} {
		w, err := newCluster(Plan{Seed: 1, Machines: 1, Lease: 10 * sec, Cancel: 24 * sec}, nil, 0, nil)
		if err != nil {
			t.Fatal(err)
		}
		spec := func(id string, team string) *job {
			return &job{id: id, spec: &model.Job{ID: id, Team: team, Shape: model.Array, Tasks: 3, Size: model.Size{CPUs: 2}, OneZone: true},
				finished: make([]bool, 3), on: map[int]*worker{}, cancelled: -1}
		}
		x, y := spec("x", "tight"), spec("y", "free")
		y.needs = []*job{x}
		w.all = []*job{x, y}
		var machines []*worker
		for i, zone := range []string{"a", "a", "b"} {
			machines = append(machines, newWorker(w, string(rune('1'+i)), model.Pool{Type: wireType.Name, Zone: zone}, false))
		}
		if c.do(at{w, x, y, machines}); w.sim.broken != c.rule {
			t.Errorf("%s: %q, want %q", c.name, w.sim.broken, c.rule)
		}
		w.end()
	}
}

// A story contains the faults, what users are told and what machines do, in that order.
func TestStory(t *testing.T) {
	var story strings.Builder
	Run(refused, &story, 8)
	for _, want := range []string{"user submits req-0", "FAULT for", "is told to start", "is told: done"} {
		if !strings.Contains(story.String(), want) {
			t.Errorf("the story lacks %q", want)
		}
	}
}

// answerOf returns an answer in the form in which a controller sends it.
func answerOf(status int, stage model.Stage) httpwire.Answer {
	return httpwire.Answer{Status: status, Body: []byte(`{"stage":"` + string(stage) + `"}`)}
}

func BenchmarkRun(b *testing.B) {
	for i := 0; b.Loop(); i++ {
		Run(Plans.Example(i+1), nil, 0)
	}
}
