package simtest

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/marlwood/marlwood/internal/operators/operatorspb"
	"github.com/marlwood/marlwood/internal/placement"
)

// Draining is a drain by an operator that is ended after a time.
type Draining struct {
	At, For  time.Duration
	Zone     string // the zone to drain, or "" to drain a machine
	Machine  int    // index of the machine; it wraps around
	Deadline time.Duration
	Force    bool
}

func drawDraining(t *rapid.T) Draining {
	return Draining{At: seconds(t, "at", 6, 35), For: seconds(t, "for", 3, 20), Zone: rapid.SampledFrom([]string{"", "", "a", "b", "c"}).Draw(t, "zone"),
		Machine: rapid.IntRange(0, 7).Draw(t, "machine"), Deadline: seconds(t, "deadline", 0, 8), Force: rapid.IntRange(0, 3).Draw(t, "force") > 0}
}

// drain makes an operator drain a zone or machine and end the drain later. The operator sends each request to
// random controllers until one answers.
func (w *cluster) drain(d Draining) {
	q := &operatorspb.DrainRequest{Zone: d.Zone, DeadlineS: d.Deadline.Seconds(), Force: d.Force}
	name, scope, what := "zone "+d.Zone, placement.ZoneScope, d.Zone
	if m := w.machine(d.Machine); d.Zone == "" && m != nil {
		q.Node, name, scope, what = m.name, m.name, placement.NodeScope, m.name
	}
	// Each name is drained once only. Two drains of the same name race: the second may undo the first before the
	// answer to the first arrives. Drains of different names may overlap.
	if w.operated[name] {
		return
	}
	w.operated[name] = true
	until := w.sim.Now() + d.For
	w.users.Spawn(func() {
		tried, unsure := false, false
		for w.sim.Now() < until {
			q.Origin = w.drainsOrigin(name)
			err := w.operate(&operatorspb.Request{Caller: &operatorspb.Caller{Name: "operator"}, What: &operatorspb.Request_Drain{Drain: proto.CloneOf(q)}})
			tried = true
			if err == nil {
				w.sim.logf("%s is drained, the operator is told", name)
				w.drained[name] = true
				break
			}
			if c := status.Code(err); c == codes.NotFound || c == codes.FailedPrecondition || c == codes.InvalidArgument {
				if unsure { // an earlier attempt may still be recorded
					break
				}
				return
			}
			unsure = true
			w.users.Sleep(500 * time.Millisecond)
		}
		w.users.Sleep(max(0, until-w.sim.Now()))
		for tried {
			delete(w.drained, name) // the undrain may be applied before it is answered
			err := w.operate(&operatorspb.Request{What: &operatorspb.Request_Undrain{Undrain: &operatorspb.UndrainRequest{Node: q.Node, Zone: q.Zone, Origin: w.drainsOrigin(name)}}})
			if err == nil {
				w.sim.logf("%s is undrained", name)
				w.sim.After(drainWritesDone, func() {
					if it, gone := w.store.Get((&placement.Drain{Scope: scope, Name: what}).Key()); gone == nil {
						w.sim.breaks("undrained", "%s is drained again by %s, %v after an operator was told that it is not", name, it.Value, drainWritesDone)
					}
				})
				return
			}
			// A drain whose request got no answer may still be recorded, so "not found" ends the retries only after
			// drainWritesDone.
			if status.Code(err) == codes.NotFound && w.sim.Now() > until+drainWritesDone {
				return
			}
			w.users.Sleep(time.Second)
		}
	})
}

// drainsOrigin returns the origin of a change of drains whose sender has just seen the latest revision.
func (w *cluster) drainsOrigin(id string) *operatorspb.Origin {
	origin := &operatorspb.Origin{Id: id}
	if item, err := w.store.Get(placement.OpsPrefix + "drains-fence"); err == nil {
		origin.Seen = item.Revision
	}
	return origin
}

// drainWritesDone is the time after which no delayed transaction of a drain is applied any more.
const drainWritesDone = 20 * time.Second

// operate sends a request to a random controller.
func (w *cluster) operate(r *operatorspb.Request) error {
	n := w.nodes[w.sim.Rand.IntN(len(w.nodes))]
	if n.process.Dead() {
		return status.Error(codes.Unavailable, "dead")
	}
	p := n.process
	err, ok := ask(w.users, w.net, w.place, n.place, 10*time.Second, func(reply func(error)) {
		p.Enter(func() {
			n.node.HandleOperatorRequestOnLoop(context.Background(), n.Now(), r, func(_ *operatorspb.Reply, err error) { reply(err) })
		})
	})
	if !ok {
		return status.Error(codes.DeadlineExceeded, "no answer")
	}
	return err
}

// startedOn checks that no task is started on a machine whose drain was confirmed to an operator.
func (w *cluster) startedOn(m *worker, task string, attempt uint64) {
	if w.drained[m.name] || w.drained["zone "+m.pool.Zone] {
		w.sim.breaks("drained", "%s, attempt %x, is started on %s, which is drained", task, attempt, m.name)
	}
}
