package simtest

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

const sec = time.Second

// newFault returns a fault of a controller or a machine; start and duration are in seconds.
func newFault(kind string, at, length float64, a int) Fault {
	return Fault{Kind: kind, At: time.Duration(at * float64(sec)), For: time.Duration(length * float64(sec)), A: a}
}

// newHeldFault returns such a fault that delays packets instead of dropping them, or makes machines hang.
func newHeldFault(kind string, at, length float64, a int) Fault {
	f := newFault(kind, at, length, a)
	f.Hold = true
	return f
}

// deployments are the durations of the protocol in both deployments.
var deployments = []struct {
	name                  string
	report, lease, cancel time.Duration
}{
	{"planimetra", 4 * sec, 22 * sec, 47 * sec},
	{"donorline", 4 * sec, 26 * sec, 46 * sec},
}

// longRunningPlan returns a schedule with jobs of every shape that would run for its whole length. Each is cancelled at
// the given time through a controller that the state service does not refuse. Another job ends task by task, and one is
// submitted late, after the faults began.
func longRunningPlan(d int, seed uint64, late time.Duration, cancels [4]time.Duration, faults ...Fault) Plan {
	x := deployments[d]
	p := Plan{Seed: seed, Machines: 2, Report: x.report, Lease: x.lease, Cancel: x.cancel, Faults: faults}
	for i, shape := range []model.Shape{model.Array, model.Gang, model.Service, model.Array} {
		p.Jobs = append(p.Jobs, Submission{At: 2 * sec, Shape: shape, Tasks: 2, Spot: i%2 == 0, Takes: 400 * sec, Beside: true, Cancel: cancels[i] - 2*sec})
	}
	p.Jobs = append(p.Jobs, Submission{At: 2 * sec, Shape: model.Array, Tasks: 3, Team: 1, Takes: 30 * sec},
		Submission{At: late, Shape: model.Array, Tasks: 2, Takes: 5 * sec})
	return p
}

// margin is the part of cancel_s that the budget leaves for drift and slow timers (docs/safety.md), less the drift of
// the simulated clocks. A task that stays longer was delayed by something that the budget does not include.
const margin = 1900 * time.Millisecond

// runInDeployments runs a schedule for both deployments and some seeds and returns the worst values: how long tasks of
// a cancelled job stayed, and how long after the last fault a task first began. least is the number of cancellations
// that must have been confirmed in each run.
func runInDeployments(t *testing.T, name string, seeds uint64, least int, plan func(d int, seed uint64) Plan, look ...func(where string, out Outcome)) (gone, again time.Duration) {
	var group sync.WaitGroup
	var lock sync.Mutex
	for d, x := range deployments {
		for seed := range seeds {
			group.Go(func() {
				p := plan(d, seed+1)
				out := Run(p, nil, 0)
				lock.Lock()
				defer lock.Unlock()
				switch {
				case out.Broken != "":
					t.Errorf("%s, %s, seed %d: %s", name, x.name, seed+1, out.Broken)
				case out.Missed > 0:
					t.Errorf("%s, %s, seed %d: %d troubles found nothing to hit", name, x.name, seed+1, out.Missed)
				case out.Cancelled < least || out.Starts < 8:
					t.Errorf("%s, %s, seed %d: %d cancellations, %d starts: it shows nothing", name, x.name, seed+1, out.Cancelled, out.Starts)
				case out.StopTime > x.cancel-margin:
					t.Errorf("%s, %s, seed %d: gone only after %v", name, x.name, seed+1, out.StopTime)
				}
				gone, again = max(gone, out.StopTime), max(again, out.Again)
				for _, l := range look {
					l(fmt.Sprintf("%s, %s, seed %d", name, x.name, seed+1), out)
				}
			})
		}
	}
	group.Wait()
	return gone, again
}

// The state service first refuses only the leader, so that another controller confirms cancellations, and then fails
// for all controllers. Workers send heartbeats to the old leader throughout. The tasks must still be gone within
// cancel_s, whatever the durations are, and the cluster must serve again afterwards.
func TestGap(t *testing.T) {
	const at = 40 * sec
	worst, slowest := time.Duration(0), time.Duration(0)
	for _, refused := range []time.Duration{3 * sec, 14 * sec, 40 * sec} {
		for _, after := range []time.Duration{-2 * sec, 300 * time.Millisecond, 2 * sec, 5500 * time.Millisecond, 6500 * time.Millisecond, 10 * sec} {
			for _, times := range []float64{0.5, 1, 2} {
				name := fmt.Sprintf("refused for %v, out %v after that for %v times cancel_s", refused, after, times)
				gone, again := runInDeployments(t, name, 2, 4, func(d int, seed uint64) Plan {
					c := at + 50*time.Millisecond
					step := max(after, 200*time.Millisecond) / 4
					return longRunningPlan(d, seed, at+20*sec, [4]time.Duration{c, c + step, c + 2*step, c + 3*step},
						Fault{Kind: "store refuses node", At: at, For: refused, A: 7},
						Fault{Kind: "outage", At: at + after, For: time.Duration(times * float64(deployments[d].cancel))})
				})
				worst, slowest = max(worst, gone), max(slowest, again)
			}
		}
	}
	t.Logf("gone after at most %v, again after at most %v", worst, slowest)
	if worst < 35*sec { // otherwise the refused leader kept no task, and the test shows nothing
		t.Errorf("gone after %v already: nobody kept a cancelled job's tasks", worst)
	}
	if slowest > 40*sec {
		t.Errorf("the cluster serves again only %v after the outage", slowest)
	}
}

// Each combination of faults that users have named is scripted here, see docs/meetings.md.
func TestMeetings(t *testing.T) {
	near := [4]time.Duration{40 * sec, 42 * sec, 45 * sec, 52 * sec}
	f, held := newFault, newHeldFault
	for _, c := range []struct {
		name   string
		faults []Fault
	}{
		{"a leader alone with workers and users", []Fault{f("alone with workers", 39, 60, 7)}},
		{"the same, packets held, back while the next one leads", []Fault{held("alone with workers", 39, 14, 7), f("crash back", 60, 1, 7)}},
		{"alone, then the state service is out for all", []Fault{f("alone with workers", 39, 30, 7), f("outage", 53, 60, 0)}},
		{"writes late, the leader ends", []Fault{f("late writes", 38, 30, 0), f("crash", 41, 4, 7), f("crash back", 55, 1, 7)}},
		{"writes late, refused alone, out for all", []Fault{f("late writes", 38, 12, 0), f("store refuses node", 40, 14, 7), f("outage", 44, 60, 0)}},
		{"writes late, all end, one is back at once", []Fault{f("late writes", 39, 40, 0), f("crash all", 42, 8, 0), f("crash back", 45, 1, 7), f("crash all back", 56, 1, 0)}},
		{"old reports, owners and leaders change", []Fault{f("late copies", 20, 70, 0), f("crash", 41, 4, 7), f("cut node from nodes", 46, 12, 7), f("machine back", 50, 0.3, 1)}},
		{"old reports of an earlier life, the leader ends", []Fault{f("late copies", 10, 80, 0), f("machine back", 39, 0.5, 0), f("crash back", 39.3, 1, 7), f("machine back", 41, 0.2, 2), f("machine back", 44, 0.7, 0)}},
		{"a command held, the machine goes on after a takeover", []Fault{f("hang machine", 39, 15, 0), held("deafen machine", 39, 14, 1), held("deafen zone", 41, 9, 0), f("crash", 42, 4, 7)}},
		{"an answer held, the leader refused", []Fault{held("cut machine", 39, 12, 0), held("cut machine", 40, 20, 2), f("store refuses node", 41, 20, 7)}},
		{"tasks end far apart, leaders end between", []Fault{f("crash", 33, 4, 7), f("late copies", 30, 60, 0), f("crash back", 52, 1, 7), f("late writes", 34, 50, 0), f("crash back", 66, 1, 7)}},
		{"over and back within a second", []Fault{f("crash back", 40, 0.1, 7), f("crash back", 40.5, 0.3, 7), f("crash back", 41, 0.6, 7), f("crash all back", 42.2, 0.4, 0), f("crash back", 43, 0.2, 7)}},
		{"over and back while claims are late", []Fault{f("late writes", 39, 25, 0), f("cut node from store", 40, 7, 7), f("freeze", 46, 9, 7), f("cut node from store", 55, 7, 7)}},
		{"the leader ends, machines can't be reached", []Fault{f("cut machine", 39, 40, 0), f("cut machine", 39, 18, 1), f("cut machine", 39, 24, 2), f("crash", 40, 4, 7)}},
		{"the leader ends, machines don't hear the next one", []Fault{f("deafen zone", 39, 50, 1), f("deafen machine", 39, 30, 0), f("crash", 40, 4, 7)}},
		{"a slow state service that refuses the leader", []Fault{f("slow store", 38, 40, 0), f("store refuses node", 41, 14, 7)}},
		{"slow, refused alone, out for all", []Fault{f("slow store", 38, 8, 0), f("store refuses node", 42, 14, 7), f("outage", 44.5, 60, 0)}},
		{"two gaps in a row, the second before the takeover is over", []Fault{f("store refuses node", 40, 10, 7), f("outage", 41.5, 30, 0), f("store refuses node", 72, 10, 7), f("outage", 72.8, 70, 0)}},
		{"the gap, the leader's messages are held", []Fault{f("store refuses node", 40, 14, 7), held("cut node from nodes", 40.2, 21, 7), f("outage", 41, 90, 0)}},
		{"the gap, the leader hears its store late", []Fault{f("slow store", 30, 20, 0), f("store refuses node", 42.6, 14, 7), f("outage", 45.2, 90, 0)}},
		{"nothing reaches the leader, then out for all at once", []Fault{f("cut into node", 39.9, 24.1, 7), f("outage", 64.2, 90, 0)}},
		{"nothing reaches the leader, then out for all a moment later", []Fault{f("cut into node", 39.9, 24.1, 7), f("outage", 64.32, 90, 0)}},
		{"the gap, calls and answers of machines are held", []Fault{held("cut machine", 39.8, 24, 0), held("cut machine", 39.8, 22, 3), held("deafen zone", 40, 25, 1), f("store refuses node", 40, 14, 7), f("outage", 41, 90, 0)}},
		{"the gap, machines hear nothing", []Fault{f("deafen zone", 38, 90, 0), f("store refuses node", 40, 14, 7), f("outage", 42, 60, 0)}},
		{"the gap, a machine hangs and goes on", []Fault{f("hang machine", 39, 17, 0), f("hang machine", 39.5, 21, 1), f("store refuses node", 40, 14, 7), f("outage", 42, 60, 0)}},
		{"the gap, the leader stands still in it", []Fault{f("store refuses node", 40, 14, 7), f("freeze", 41, 11, 7), f("outage", 42, 60, 0), f("freeze", 54, 9, 7)}},
		{"the gap, the leader is back at once", []Fault{f("store refuses node", 40, 14, 7), f("outage", 42, 60, 0), f("crash back", 41.8, 1, 7)}},
	} {
		gone, again := runInDeployments(t, c.name, 6, 4, func(d int, seed uint64) Plan {
			return longRunningPlan(d, seed, 50*sec, near, c.faults...)
		})
		t.Logf("%-60s gone after %6.2f s, again after %6.2f s", c.name, gone.Seconds(), again.Seconds())
	}
}
