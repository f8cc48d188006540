package simtest

import (
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/marlwood/marlwood/internal/leadership"
	"github.com/marlwood/marlwood/internal/model"
)

// restartedOwnerPlan returns a schedule in which a machine loses the network, its job is cancelled, the leader
// restarts, and the controller in the machine's zone restarts as well. The state service fails before the leader gets
// the fresh token that the restarted owner needs. Then the machine is back, and its lease has not expired yet. The
// machine also runs another user's task, and a second machine of the zone runs two more.
func restartedOwnerPlan(d int, seed uint64, owner int, outage time.Duration) Plan {
	x := deployments[d]
	const (
		cutAt       = 20 * sec
		ownerDownAt = cutAt + 9*sec
	)
	p := Plan{Seed: seed, Machines: 2, Report: x.report, Lease: x.lease, Cancel: x.cancel, Jobs: []Submission{
		{At: 2 * sec, Shape: model.Service, Tasks: 1, Zone: zones[owner], Takes: 60 * sec, Cancel: 20 * sec},
		{At: 4 * sec, Shape: model.Array, Tasks: 3, Zone: zones[owner], Takes: 130 * sec},
	}}
	p.Faults = []Fault{
		{Kind: "store refuses node", At: 0, For: 4 * sec, A: owner}, // so another controller leads
		{Kind: "crash back", At: cutAt + 2500*time.Millisecond, For: sec, A: leaderIndex},
		{Kind: "crash back", At: ownerDownAt, For: sec, A: owner}, // back after 200 ms
		{Kind: "outage", At: ownerDownAt + 400*time.Millisecond, For: outage},
	}
	p.script = func(w *cluster) {
		w.sim.At(cutAt-5*sec, func() { cutAfterAnswer(w, w.jobs["req-0"].on[0], ownerDownAt+sec) })
	}
	return p
}

// cutAfterAnswer cuts a machine off from everything until the given time, from the next moment at which one of its
// heartbeats was answered.
func cutAfterAnswer(w *cluster, m *worker, until time.Duration) {
	if w.sim.Now()-m.leased > 100*time.Millisecond {
		w.sim.After(50*time.Millisecond, func() { cutAfterAnswer(w, m, until) })
		return
	}
	w.net.cut(&cut{until: until, blocks: func(from, to *place) bool { return from == m.place || to == m.place }})
}

// A restarted owner must not extend the lease of a machine that runs a cancelled job's task, however long the state
// service is out. As long as a leader may act without it, and a worker's lease after that, it must not let other users'
// tasks in its zone die for it, not even those on the same machine.
//
// The leader delegated a lease to the owner although it did not know yet what ran on one of its machines, and told the
// owner that it need not wait for acknowledgements (review/2).
func TestRestartedOwnerStopsCancelledTasks(t *testing.T) {
	for _, c := range []struct {
		outage time.Duration
		lives  bool // whether the leader may act again before the leases of the zone's machines have expired
	}{{33 * sec, true}, {40 * sec, false}} {
		for d, x := range deployments {
			for seed := range uint64(4) {
				for owner := range zones {
					name := fmt.Sprintf("%s, outage of %v, seed %d, owner %d", x.name, c.outage, seed+1, owner)
					var story strings.Builder
					out := Run(restartedOwnerPlan(d, seed+1, owner, c.outage), &story, slog.LevelInfo)
					switch {
					case !strings.Contains(story.String(), "owner restarted under the token"):
						t.Errorf("%s: the owner did not restart under a token: it shows nothing", name)
					case out.Broken != "":
						t.Errorf("%s: breaks %s", name, out.Broken)
					case out.StopTime > x.cancel-margin:
						t.Errorf("%s: the cancelled task is gone only after %v", name, out.StopTime)
					case c.lives && out.LeaseKilled > 0:
						t.Errorf("%s: %d tasks ended with their machine's lease", name, out.LeaseKilled)
					}
				}
			}
		}
	}
}

// A controller restarts, and the state service fails before the leader gets a fresh token, after the owner had raised the
// tokens of its machines. Their workers drop every answer with a lower one, and no task may end with a lease for it.
func TestRestartedOwnerOfRaisedTokens(t *testing.T) {
	const ownerDownAt = 29 * sec
	for _, x := range deployments {
		for seed := range uint64(4) {
			raised := 0
			for owner, zone := range zones {
				p := Plan{Seed: seed + 1, Machines: 2, Report: x.report, Lease: x.lease, Cancel: x.cancel, idle: time.Minute,
					Jobs: []Submission{array(sec, 4, zone, 3*sec), array(14*sec, 2, zone, 2*sec), array(15*sec, 2, zone, 130*sec)}}
				p.Faults = []Fault{
					{Kind: "store refuses node", At: 0, For: 4 * sec, A: owner}, // so another controller leads
					{Kind: "crash back", At: ownerDownAt, For: sec, A: owner},   // back after 200 ms
					{Kind: "outage", At: ownerDownAt + 400*time.Millisecond, For: 33 * sec},
				}
				p.script = func(w *cluster) {
					w.sim.At(ownerDownAt-sec, func() { raised += w.raisedTokens(zone) })
				}
				if out := Run(p, nil, 0); out.Broken != "" || out.LeaseKilled > 0 {
					t.Errorf("%s, seed %d, owner %d: breaks %q, %d tasks ended with their machine's lease", x.name, seed+1, owner, out.Broken, out.LeaseKilled)
				}
			}
			if raised == 0 {
				t.Errorf("%s, seed %d: no machine with tasks had a raised token: it shows nothing", x.name, seed+1)
			}
		}
	}
}

// raisedTokens returns the number of machines of a zone that have tasks and a higher token than the leader key.
func (w *cluster) raisedTokens(zone string) (raised int) {
	key, err := w.store.Get(leadership.Key)
	for _, m := range w.cloud.machines {
		if err == nil && !m.terminated && m.pool.Zone == zone && m.busy() && m.token > key.Revision {
			raised++
		}
	}
	return raised
}
