package simtest

import (
	"strings"
	"testing"
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

// A machine whose owner is healthy keeps its tasks when it cannot reach that owner for a few seconds, even if half of
// the machines of its pool have ended.
//
// Three of six machines end, so most of the pool counts as silent, and controllers that do not own the pool redirect
// its machines to each other. A machine that missed one answer never returned to its owner, although the owner could
// receive its heartbeats: it was redirected back and forth until its lease expired. The story showed the cut from 61 s
// to 69 s, the silence of the ended machines from 69 s on, and "vm-004 kills its tasks: its lease is over" at 82.9 s,
// with no fault in between.
func TestSurvivorOfHalfAPool(t *testing.T) {
	for d, x := range deployments {
		for seed := range uint64(10) {
			p := Plan{Seed: uint64(d) + 1 + 2*seed, Machines: 6, Report: x.report, Lease: x.lease, Cancel: x.cancel, Jobs: []Submission{
				{At: 2 * sec, Shape: model.Array, Tasks: 12, Zone: "a", Takes: 200 * sec}}}
			p.script = func(w *cluster) { w.endHalfAndCutOne(60*sec, 61*sec, 69*sec) }
			var story strings.Builder
			out := Run(p, &story, 0)
			if out.Broken != "" || out.Starts < 12 {
				t.Errorf("%s, seed %d: %+v", x.name, p.Seed, out)
			}
			if strings.Contains(story.String(), "kills its tasks") {
				t.Errorf("%s, seed %d: a machine lost its tasks with its lease", x.name, p.Seed)
			}
		}
	}
}

// endHalfAndCutOne ends three machines of zone a at the given time; the cloud does not replace them within the next
// minute. It also cuts one of the others off from the controller of its zone for a time.
func (w *cluster) endHalfAndCutOne(endAt, cutFrom, cutUntil time.Duration) {
	w.sim.At(endAt, func() {
		for _, m := range w.cloud.machines[:3] {
			m.end("stopped")
		}
		machines := w.plan.Machines
		w.plan.Machines = 0
		w.sim.After(time.Minute, func() { w.plan.Machines = machines })
	})
	w.sim.At(cutFrom, func() {
		owner := w.nodes[0].place
		w.cutOff(w.cloud.machines[3].place, func(other *place) bool { return other == owner }, cutUntil)
	})
}
