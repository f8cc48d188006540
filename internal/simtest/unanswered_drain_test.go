package simtest

import (
	"context"
	"testing"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/operators/operatorspb"
	"github.com/marlwood/marlwood/internal/placement"
	"github.com/marlwood/marlwood/internal/store"
)

// If an operator is told that a zone is not drained, it is not drained, and no earlier request drains it later.
//
// The answer to a drain's write was lost, and the outcome could not be read from the state service. The operator ended
// the drain and was told at once "zone/c is not drained; marlwood drains lists what is", because the leader only
// consulted what it had read last. The list of drains was empty too. Some seconds later the leader read the records
// again and drained the zone forever, while nobody knew of that drain any more (simtest, seed 20647024243: NotFound at
// 33.267 s, "explain" says DRAINED from 35.3 s on, and the job req-4 waits forever).
func TestUndrainAfterALostAnswer(t *testing.T) {
	for _, c := range []struct {
		name    string
		fate    fate
		late    time.Duration // time after the drain at which a held write is applied
		outage  time.Duration // outage of the state service, starting just after the drain's write
		undrain time.Duration // time after the drain from which on the operator tries to end it
	}{
		{"stored, and the state service is out", unanswered, 0, 5 * sec, 3 * sec},
		{"stored, and the state service was out", unanswered, 0, 4 * sec, 4200 * time.Millisecond},
		{"stored, and the state service is out for minutes", unanswered, 0, 150 * sec, 151 * sec},
		{"carried out late", held, 9 * sec, 0, 4 * sec},
		{"carried out much later", held, 40 * sec, 0, 4 * sec},
	} {
		for seed := range uint64(5) {
			playUnansweredDrain(t, c.name, Plan{Seed: seed + 1, Machines: 2, Lease: 12 * sec, Cancel: 30 * sec, Jobs: []Submission{
				{At: 2 * sec, Shape: model.Service, Tasks: 1, Zone: "c", Takes: 200 * sec, Cancel: 280 * sec}}}, c.fate, c.late, c.outage, c.undrain)
		}
	}
}

// playUnansweredDrain drains zone c with a write whose answer is lost, and repeats the request to end the drain until
// it gets a definite answer. It checks the drains after that answer and at the end of the schedule.
func playUnansweredDrain(t *testing.T, name string, p Plan, f fate, late, outage, undrain time.Duration) {
	const drainedAt = 10 * sec
	lost := false
	ended := false
	record := (&placement.Drain{Scope: placement.ZoneScope, Name: "c"}).Key()
	p.fates = func(c storeClient, txn store.Txn) fate {
		if lost || sets(txn, placement.DrainPrefix) == nil {
			return answered
		}
		lost = true
		w := c.n.cluster
		if f == held {
			w.sim.At(drainedAt+late, func() { c.late(txn) })
		}
		if outage > 0 {
			w.sim.After(1, func() { w.store.Fail(outage) })
		}
		return f
	}
	p.script = func(w *cluster) {
		drained := func() bool { _, err := w.store.Get(record); return err == nil }
		w.sim.At(drainedAt, func() {
			w.users.Spawn(func() {
				for !lost { // until the request reaches the leader
					_ = w.operate(&operatorspb.Request{What: &operatorspb.Request_Drain{Drain: &operatorspb.DrainRequest{Zone: "c", Force: true}}})
				}
			})
		})
		w.sim.At(drainedAt+undrain, func() {
			w.users.Spawn(func() {
				for !ended {
					err := w.operate(&operatorspb.Request{What: &operatorspb.Request_Undrain{Undrain: &operatorspb.UndrainRequest{Zone: "c"}}})
					ended = err == nil || status.Code(err) == codes.NotFound
					if ended && drained() {
						t.Errorf("%s, seed %d: it is drained when the operator is told that it is not: %v", name, p.Seed, err)
					}
					w.users.Sleep(300 * time.Millisecond)
				}
			})
		})
		w.sim.At(270*sec, func() {
			if !lost || !ended || drained() {
				t.Errorf("%s, seed %d: lost %v, ended %v, drained in the end: %v", name, p.Seed, lost, ended, drained())
			}
			leader := w.controller(len(w.nodes))
			leader.process.Enter(func() {
				request := &operatorspb.Request{What: &operatorspb.Request_Drains{Drains: &operatorspb.DrainsRequest{}}}
				leader.node.HandleOperatorRequestOnLoop(context.Background(), leader.Now(), request, func(reply *operatorspb.Reply, err error) {
					if rows := reply.GetDrains().GetRows(); err != nil || len(rows) > 0 {
						t.Errorf("%s, seed %d: drains in the end: %v, %v", name, p.Seed, rows, err)
					}
				})
			})
		})
	}
	if out := Run(p, nil, 0); out.Broken != "" {
		t.Errorf("%s, seed %d: %+v", name, p.Seed, out)
	}
}
