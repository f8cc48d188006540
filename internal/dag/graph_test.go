package dag

import (
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/placement"
)

var t0 = time.Unix(1000, 0)

func at(s float64) time.Time { return t0.Add(time.Duration(s * float64(time.Second))) }

func newGraph() *Graph { return New(slog.New(slog.DiscardHandler)) }

// put adds a waiting job whose dependencies are the space-separated IDs in needs. change, if not
// nil, modifies the job's specification first.
func (g *Graph) put(id, needs string, change func(j *model.Job)) {
	j := &model.Job{ID: id, Class: "c", Shape: model.Array, Priority: model.Low, Tasks: 3, Estimate: 10 * time.Second,
		Needs: strings.Fields(needs)}
	if change != nil {
		change(j)
	}
	g.Put(placement.JobRecord{Job: j, AcceptedMS: t0.UnixMilli()}, 7)
}

// runActions simulates the leader: it carries out the due actions until there are none and
// returns a list of them. open holds the jobs with an open record, and over the stored outcomes
// of the jobs that have ended. The list ends in "and so on" if actions are still due after 99 rounds.
func (g *Graph) runActions(open map[string]bool, over map[string]model.Stage) string {
	var did []string
	for s := 1.0; s < 100; s++ {
		g.MarkUnknownOutcomes(func(id string) bool { return open[id] })
		actions := g.Actions(at(s))
		if len(actions) == 0 {
			return strings.Join(did, " ")
		}
		for _, a := range actions {
			switch a.Op {
			case CheckOutcome:
				stage, ok := over[a.ID]
				g.OutcomeKnown(a.ID, ok, stage, at(s))
				if ok {
					did = append(did, "check:"+a.ID)
				}
			case Release:
				did = append(did, "release:"+a.ID)
				open[a.ID] = true
				g.WriteDone(a, true, 0, at(s))
			case Cancel:
				did = append(did, "cancel:"+a.ID)
				over[a.ID] = model.Cancelled
				g.WriteDone(a, true, 0, at(s))
			}
		}
	}
	return strings.Join(did, " ") + " and so on"
}

// A job must not be released too early, and must not be left waiting after its dependencies ended.
// A graph can miss an end: a dependency may end between the check at the job's submission and the
// write of the waiting record, and a leader may be lost before it has written all releases and
// cancellations. The graph must then read the stored outcomes.
func TestReleasesAndCancellations(t *testing.T) {
	type stages = map[string]model.Stage
	for _, c := range []struct {
		name string
		jobs [][2]string // IDs of waiting jobs and their dependencies
		open string      // IDs of jobs with an open record
		over stages      // outcomes stored in the key-value store
		do   func(g *Graph)
		want string
	}{
		{"the dependency is open", [][2]string{{"b", "a"}}, "a", stages{}, nil, ""},
		{"all dependencies are done", [][2]string{{"c", "a b"}}, "b", stages{},
			func(g *Graph) { g.JobEnded("a", model.Done); g.JobEnded("b", model.Done) }, "release:c"},
		{"only some dependencies are done", [][2]string{{"c", "a b"}}, "b", stages{}, func(g *Graph) { g.JobEnded("a", model.Done) }, ""},
		{"a dependency was done between the check at submission and the write", [][2]string{{"b", "a"}}, "", stages{"a": model.Done}, nil, "check:a release:b"},
		{"a dependency was cancelled between the check at submission and the write", [][2]string{{"b", "a"}}, "", stages{"a": model.Cancelled}, nil, "check:a cancel:b"},
		{"the dependency has neither an open record nor a stored outcome", [][2]string{{"b", "a"}}, "", stages{}, nil, " and so on"},
		{"the end of a diamond is not released before both branches are done", [][2]string{{"b", "a"}, {"c", "a"}, {"d", "b c"}}, "a", stages{},
			func(g *Graph) { g.JobEnded("a", model.Done) }, "release:b release:c"},
		{"all jobs of a diamond are cancelled when its root is cancelled", [][2]string{{"b", "a"}, {"c", "a"}, {"d", "b c"}}, "a", stages{},
			func(g *Graph) { g.JobEnded("a", model.Cancelled) }, "cancel:b cancel:c cancel:d"},
		{"the end of a diamond is cancelled when one branch is cancelled", [][2]string{{"c", "a"}, {"d", "b c"}}, "a b", stages{},
			func(g *Graph) { g.JobEnded("b", model.Cancelled) }, "cancel:d"},
		{"a reported stage that is not final is ignored: the stored outcome counts", [][2]string{{"b", "a"}}, "", stages{"a": model.Done},
			func(g *Graph) { g.JobEnded("a", model.Running) }, "check:a release:b"},
		{"a waiting job with a dependent is cancelled by its user", [][2]string{{"b", "a"}, {"c", "b"}}, "a", stages{"b": model.Cancelled},
			func(g *Graph) { g.Remove("b") }, "check:b cancel:c"},
		{"a new leader finishes the cancellations of an earlier leader", [][2]string{{"b", "a"}, {"d", "c"}}, "",
			stages{"a": model.Cancelled, "c": model.Cancelled}, nil, "check:a check:c cancel:b cancel:d"},
		{"a new leader finds one dependency done and the other open", [][2]string{{"d", "b c"}}, "c", stages{"b": model.Done}, nil, "check:b"},
		{"twenty dependencies", [][2]string{{"z", "a b c d e f g h i j k l m n o p q r s t"}}, "t", stages{},
			func(g *Graph) {
				for n := 'a'; n <= 't'; n++ {
					g.JobEnded(string(n), model.Done)
				}
			}, "release:z"},
		{"the same job is put twice", [][2]string{{"b", "a"}, {"b", "a"}}, "", stages{"a": model.Done}, nil, "check:a release:b"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newGraph()
			for _, j := range c.jobs {
				g.put(j[0], j[1], nil)
			}
			if c.do != nil {
				c.do(g)
			}
			open := map[string]bool{}
			for _, id := range strings.Fields(c.open) {
				open[id] = true
			}
			if got := g.runActions(open, maps.Clone(c.over)); got != c.want && (c.want != " and so on" || got != "") {
				t.Errorf("did %q, want %q", got, c.want)
			}
			if left := slices.Collect(maps.Keys(g.dependencies)); g.Len() == 0 && len(left) > 0 {
				t.Errorf("no job waits, but the dependencies %v are kept", left)
			}
		})
	}
}

// A failed write is retried after retryDelay with the new revision of the record, and no more
// than maxInFlight writes are in flight at once.
func TestRetryAndInFlightLimit(t *testing.T) {
	g := newGraph()
	for i := range 50 {
		g.put(fmt.Sprintf("b%02d", i), "a", nil)
	}
	g.JobEnded("a", model.Cancelled)
	first := g.Actions(at(1))
	if len(first) != maxInFlight || len(g.Actions(at(1))) != 0 {
		t.Fatalf("too few or too many actions in flight: %d in the first call", len(first))
	}
	g.WriteDone(first[0], false, 9, at(1))
	if again := g.Actions(at(1.1)); len(again) != 1 || again[0].ID == first[0].ID {
		t.Errorf("immediately after a failed write: %+v", again)
	}
	for _, a := range first[1:] {
		g.WriteDone(a, true, 0, at(2))
	}
	if next := g.Actions(at(3)); next[0].ID != first[0].ID || next[0].Revision != 9 {
		t.Errorf("after the retry delay: %+v", next[0])
	}
}

// Actions and InheritedPriorities do not allocate memory while no dependency ends, however many
// jobs wait.
func TestNoAllocationsWhileIdle(t *testing.T) {
	g := newGraph()
	for i := range 500 {
		g.put(fmt.Sprintf("b%03d", i), fmt.Sprintf("a%03d", i), nil)
	}
	g.MarkUnknownOutcomes(func(string) bool { return true })
	g.Actions(at(1))
	g.InheritedPriorities()
	if allocs := testing.AllocsPerRun(10, func() { g.Actions(at(2)); g.InheritedPriorities() }); allocs > 0 {
		t.Errorf("%v allocations per call, want 0", allocs)
	}
	g.JobEnded("a007", model.Done)
	if got := g.Actions(at(3)); len(got) != 1 || got[0].ID != "b007" {
		t.Errorf("after a dependency ended: %+v", got)
	}
}

// The record of a released job is that of a job without dependencies submitted at that moment,
// except that the deadline still counts from the submission of the waiting job.
func TestReleasedRecord(t *testing.T) {
	for _, c := range []struct{ deadline, after, want float64 }{{90, 60, 30}, {0, 60, 0}, {90, 100, 0.001}} {
		g := newGraph()
		g.put("b", "a", func(j *model.Job) { j.Deadline = model.Seconds(c.deadline) })
		g.JobEnded("a", model.Done)
		r := g.Actions(at(c.after))[0].Record
		if r.Job.Needs != nil || r.Job.Deadline != model.Seconds(c.want) || r.AcceptedMS != at(c.after).UnixMilli() {
			t.Errorf("deadline %v s, released after %v s: record %+v", c.deadline, c.after, r)
		}
	}
}

// Upcoming leaves out jobs that have a waiting dependency, and jobs that are being released.
func TestUpcoming(t *testing.T) {
	g := newGraph()
	g.put("b", "a", nil)
	g.put("c", "a x", nil)
	g.put("d", "a b", nil)
	upcoming := func() (out []string) {
		for _, c := range g.Upcoming() {
			out = append(out, c.Spec.ID+" "+strings.Join(c.DependsOn, " "))
		}
		return out
	}
	if got := upcoming(); !slices.Equal(got, []string{"b a", "c a x"}) {
		t.Errorf("upcoming jobs %q", got)
	}
	g.JobEnded("a", model.Done)
	if got := upcoming(); !slices.Equal(got, []string{"c x"}) {
		t.Errorf("after a is done: upcoming jobs %q", got) // b is being released, and d waits for b
	}
}

// All direct and transitive dependencies of a job inherit its priority and deadline until the job is
// removed.
func TestInheritedPriorities(t *testing.T) {
	last := func(j *model.Job) { j.Class, j.Priority, j.Deadline = "last", model.High, 100*time.Second }
	// inherited returns the rank that a job inherits and, if there is one, its due time after t0.
	inherited := func(g *Graph, id string) string {
		g.prioritiesStale = true
		priorities, _ := g.InheritedPriorities()
		if priorities[id].Due.IsZero() {
			return fmt.Sprintf("%d", priorities[id].Rank)
		}
		return fmt.Sprintf("%d %v", priorities[id].Rank, priorities[id].Due.Sub(t0))
	}
	g := newGraph()
	g.put("b", "a", nil)
	if got := inherited(g, "a"); got != "0" {
		t.Errorf("before the last job is added: %s", got)
	}
	g.put("c", "b", nil)
	g.put("d", "c x", last)
	if got := inherited(g, "a"); got != "2 1m10s" {
		t.Errorf("three stages before the deadline: %s", got)
	}
	if got := inherited(g, "x"); got != "2 1m30s" {
		t.Errorf("one stage before the deadline: %s", got)
	}
	if priorities, _ := g.InheritedPriorities(); priorities != nil {
		t.Error("nothing changed, but priorities are returned")
	}
	// A job of the class took longer than estimated, so its dependencies are due earlier.
	g.ObserveDuration("last", 10*time.Second, 16*time.Second)
	if got := inherited(g, "x"); got != "2 1m24s" {
		t.Errorf("after a job with an overrun: %s", got)
	}
	g.ObserveDuration("last", 10*time.Second, 8*time.Second)
	if got := inherited(g, "x"); got != "2 1m25.2s" {
		t.Errorf("after a job with an overrun and one without: %s", got)
	}
	// A second dependent of x has a higher priority and an earlier deadline.
	g.put("e", "x", func(j *model.Job) { j.Priority, j.Deadline = model.Critical, 30*time.Second })
	if got := inherited(g, "x"); got != "3 20s" {
		t.Errorf("with a more urgent dependent: %s", got)
	}
	g.Remove("e")
	g.Remove("d")
	if got := inherited(g, "a"); got != "0" {
		t.Errorf("after the last job is removed: %s", got)
	}
}
