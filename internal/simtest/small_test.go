package simtest

import (
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/peers/peerspb"
	"github.com/marlwood/marlwood/internal/record/recordpb"
	"github.com/marlwood/marlwood/internal/scheduler"
	"github.com/marlwood/marlwood/internal/store"
)

// putsLeast is the smallest budget of puts and deletes per second of any deployment's state service (donorline's,
// after its limits were lowered).
const putsLeast = 18

// smallJobsPlan returns a schedule of one-task jobs, four per second for the given time. Every fourth job is cancelled,
// alternately before a controller has placed it and while it runs.
func smallJobsPlan(seed uint64, d int, length time.Duration) Plan {
	x := deployments[d]
	p := Plan{Seed: seed, Machines: 6, Report: x.report, Lease: x.lease, Cancel: x.cancel}
	for i := range int(length / (250 * time.Millisecond)) {
		s := Submission{At: 2*sec + time.Duration(i)*250*time.Millisecond, Shape: model.Array, Tasks: 1, Spot: i%2 == 0, Takes: time.Duration(2+i%4) * sec}
		if i%4 == 3 {
			s.Takes, s.Cancel = 20*sec, []time.Duration{20 * time.Millisecond, 6 * sec}[i/4%2]
		}
		p.Jobs = append(p.Jobs, s)
	}
	return p
}

// cost counts transactions and their writes at the state service.
type cost struct{ txns, writes int }

func (c cost) plus(t store.Txn) cost { return cost{c.txns + 1, c.writes + len(t.Writes)} }

// The number of writes of a one-task job from its submission to its end is fixed. It bounds how many such jobs per
// second a deployment can accept (docs/scale.md).
func TestWritesOfASmallJob(t *testing.T) {
	for _, c := range []struct {
		name          string
		job           Submission
		users, leader cost // writes through the controllers that users send requests to; writes by the leader
	}{
		{"done", Submission{Takes: 10 * sec}, cost{1, 1}, cost{2, 3}},
		{"done within a second", Submission{Takes: 400 * time.Millisecond}, cost{1, 1}, cost{2, 3}},
		{"done after a minute", Submission{Takes: 60 * sec}, cost{1, 1}, cost{2, 3}},
		{"cancelled while it waits for its team's limit", Submission{Takes: 10 * sec, Team: 1, Cancel: 20 * sec}, cost{2, 3}, cost{}},
		{"cancelled while it runs", Submission{Takes: 60 * sec, Cancel: 20 * sec}, cost{2, 3}, cost{1, 1}},
	} {
		c.job.At, c.job.Shape, c.job.Tasks = 15*sec, model.Array, 1
		// A service uses up its team's limit and keeps machines in use.
		p := Plan{Seed: 2, Machines: 2, Lease: 26 * sec, Cancel: 46 * sec, Jobs: []Submission{
			{At: 2 * sec, Shape: model.Service, Tasks: 2, Team: 1, Cancel: 80 * sec}, c.job}}
		var users, leader cost
		out := played(t, p, 0, nil, func(w *cluster) {
			w.store.OnTxn = func(txn store.Txn) {
				switch {
				case !slices.ContainsFunc(txn.Writes, func(x store.Write) bool { return strings.HasSuffix(x.Set+x.Delete, "/req-1") }):
				case txn.LeaderBudget:
					leader = leader.plus(txn)
				default:
					users = users.plus(txn)
				}
			}
		})
		t.Logf("%-25s users %d writes in %d transactions, leader %d in %d", c.name, users.writes, users.txns, leader.writes, leader.txns)
		if out != "" || users != c.users || leader != c.leader {
			t.Errorf("%s: %s; users %v, want %v; leader %v, want %v", c.name, out, users, c.users, leader, c.leader)
		}
	}
}

// played runs a schedule until every job is over plus the time longer, and returns the rule that was broken, or "".
// change is called before the start, and the functions in each are called once per second.
func played(t testing.TB, p Plan, longer time.Duration, tap func() scheduler.Recorder, change func(w *cluster), each ...func(w *cluster)) string {
	w, err := newCluster(p, nil, 0, tap)
	if err != nil {
		t.Fatal(err)
	}
	change(w)
	for i, s := range p.Jobs {
		w.sim.At(s.At, func() { w.submit(i, s) })
	}
	defer w.end()
	over := time.Duration(0)
	for second := time.Duration(0); w.sim.Pending() > 0 && w.sim.broken == "" && w.sim.Now() <= p.bound()+longer; {
		w.sim.Step()
		if w.sim.Now()/sec == second {
			continue
		}
		second = w.sim.Now() / sec
		for _, f := range each {
			f(w)
		}
		if over == 0 && w.served() {
			over = w.sim.Now()
		}
		if over > 0 && w.sim.Now() > over+longer {
			return w.sim.broken
		}
	}
	if w.sim.broken == "" {
		return "not all jobs are over"
	}
	return w.sim.broken
}

// sizes is a recorder that measures the size of the leader's whole state when ask is set.
type sizes struct {
	ask   bool
	bytes int
}

func (s *sizes) Begin(string)                 { s.bytes = 0 }
func (s *sizes) Wanted() (frames, state bool) { return s.ask, s.ask }
func (s *sizes) Record(f *recordpb.Frame) {
	if st := f.GetState(); st != nil {
		s.bytes, s.ask = len(st.Core), false
	}
}

// Small jobs arrive in quick succession for ten minutes while the state service accepts no more than the smallest
// budget. No rule may be broken, submissions and cancellations must be answered in time, and every job must be over at
// the end and stay so at every controller.
func TestSmallJobsFast(t *testing.T) {
	const length, answered = 10 * time.Minute, 6 * sec // a user waits 5 s and retries one second later
	p := smallJobsPlan(1, 1, length)
	wants := map[string]time.Duration{}
	writes, slowest := 0, time.Duration(0)
	var w *cluster
	began := time.Now()
	out := played(t, p, 0, nil, func(made *cluster) {
		w = made
		w.writeRPS, w.writeBudget = putsLeast, putsLeast
		w.store.OnTxn = func(txn store.Txn) { writes += len(txn.Writes) }
	}, func(w *cluster) {
		for i, j := range w.all {
			if j.told.Final() {
				continue
			}
			late := time.Duration(0)
			if !j.accepted {
				late = w.sim.Now() - p.Jobs[i].At
			} else if j.cancelRequested {
				if wants[j.id] == 0 {
					wants[j.id] = w.sim.Now()
				}
				late = w.sim.Now() - wants[j.id]
			}
			if slowest = max(slowest, late); late > answered {
				w.sim.breaks("late_answer", "%s", j.id) // one late answer is enough
			}
		}
	})
	over := map[model.Stage]int{}
	for _, j := range w.all {
		over[j.told]++
	}
	t.Logf("%v; %d puts and deletes, %.1f a second, %d refused; slowest answer %v; %v of real time",
		over, writes, float64(writes)/length.Seconds(), w.refused, slowest, time.Since(began))
	if out != "" || over[model.Cancelled] < len(p.Jobs)/5 || over[model.Done] < len(p.Jobs)/2 || len(over) != 2 {
		t.Errorf("%s; of %d jobs %v", out, len(p.Jobs), over)
	}
	if float64(writes) < 0.75*putsLeast*length.Seconds() {
		t.Errorf("only %d puts and deletes: it shows nothing", writes)
	}
}

// BenchmarkSmallJobs measures one minute of small jobs with three controllers.
func BenchmarkSmallJobs(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		if out := played(b, smallJobsPlan(1, 1, time.Minute), 0, nil, func(*cluster) {}); out != "" {
			b.Fatal(out)
		}
	}
}

// After many small jobs the leader's state is no larger than after a few, the three controllers allocate no more in a
// quiet minute, and the leader has instructed the owners to forget the size of every job.
func TestFinishedSmallJobsLeaveNoState(t *testing.T) {
	left := func(length time.Duration) (jobs, bytes int, allocated float64, known int) {
		tap := &sizes{}
		var from, to runtime.MemStats
		quiet := 0
		p := smallJobsPlan(1, 1, length)
		knows, told := map[int]map[string]bool{}, 0 // jobs whose sizes each owner knows; number of sizes sent
		out := played(t, p, 80*sec, func() scheduler.Recorder { return tap }, func(w *cluster) {
			w.rounds = func(to int, r *peerspb.RoundRequest) {
				for _, s := range r.Sizes {
					if knows[to] == nil {
						knows[to] = map[string]bool{}
					}
					if s.Size != nil {
						knows[to][s.Job], told = true, told+1
					} else {
						delete(knows[to], s.Job)
					}
				}
			}
		}, func(w *cluster) {
			if !w.served() {
				return
			}
			switch quiet++; quiet {
			case 15: // idle machines have been returned by then
				runtime.ReadMemStats(&from)
			case 75:
				runtime.ReadMemStats(&to)
				tap.ask = true
			}
		})
		if out != "" || tap.bytes == 0 || told < len(p.Jobs)/4 {
			t.Fatalf("%s, state of %d bytes, %d sizes told", out, tap.bytes, told)
		}
		for _, jobs := range knows {
			known += len(jobs)
		}
		return len(p.Jobs), tap.bytes, float64(to.Mallocs - from.Mallocs), known
	}
	few, fewBytes, fewAllocs, fewKnown := left(30 * sec)
	many, manyBytes, manyAllocs, manyKnown := left(5 * time.Minute)
	t.Logf("after %d and %d jobs: states of %d and %d bytes, %.0f and %.0f allocations in a quiet minute, %d and %d sizes known",
		few, many, fewBytes, manyBytes, fewAllocs, manyAllocs, fewKnown, manyKnown)
	if manyBytes > fewBytes+2000 || manyAllocs > 1.2*fewAllocs || fewKnown > 0 || manyKnown > 0 {
		t.Error("jobs that are over leave something behind")
	}
}
