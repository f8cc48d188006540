package controller

import (
	"fmt"
	"slices"
	"testing"

	"github.com/marlwood/marlwood/internal/simulation"
	"github.com/marlwood/marlwood/internal/store"
)

// A drain gets no answer, is repeated, stored and ended; when the first transaction is executed after that, it
// must fail. The same holds for the end of a drain that is executed after the machine was drained again.
func TestLateDrainFails(t *testing.T) {
	const key = "ops/drain/node/m1"
	for _, c := range []struct {
		name   string
		late   int // index of the change that gets no answer and is executed last
		exists bool
	}{{"a drain, after its repeat was ended", 0, false}, {"an end, after the machine was drained again", 1, true}} {
		kv := simulation.NewStore(simulation.New(1), 16)
		drainFence := fence{key: drainsFence}
		var late store.Txn
		revision := func() uint64 { it, _ := kv.Get(key); return it.Revision }
		change := func(n int, w store.Write) {
			txn := store.Txn{Preconditions: []store.Precondition{{Key: key}}, Writes: []store.Write{w}}
			if w.Delete != "" {
				txn.Preconditions[0].Revision = revision()
			}
			txn = drainFence.guard(txn)
			if n == c.late {
				late = txn // no answer; the fence is read to learn its revision
				it, err := kv.Get(drainsFence)
				if err != nil {
					it.Revision = 0
				}
				drainFence.finish(it.Revision, true)
				return
			}
			out, err := kv.Txn(txn)
			if err != nil || !out.Succeeded() {
				t.Fatalf("%s: change %d: %v %v", c.name, n, out, err)
			}
			drainFence.finish(out.Revision, true)
		}
		drain, end := store.Put(key, struct{}{}), store.Delete(key)
		steps := []store.Write{drain, drain, end}
		if c.late == 1 {
			steps = []store.Write{drain, end, end, drain}
		}
		for n, w := range steps {
			change(n, w)
		}
		out, err := kv.Txn(late)
		if err != nil || !slices.Contains(out.Failed, drainsFence) {
			t.Errorf("%s: the late transaction did not fail: %v %v", c.name, out, err)
		}
		if _, err := kv.Get(key); (err == nil) != c.exists {
			t.Errorf("%s: reading the drain record at the end: %v", c.name, err)
		}
	}
}

// A fence runs changes one after another, also after a change whose outcome is unknown, and rejects changes
// when its queue is full.
func TestFenceSerializesChanges(t *testing.T) {
	drainFence := fence{key: "k"}
	var ran []int
	begin := func(n int) bool {
		return drainFence.run(func() { ran = append(ran, n); drainFence.guard(store.Txn{}) })
	}
	for n := range maxQueuedChanges + 3 {
		if ok := begin(n); ok != (n <= maxQueuedChanges) {
			t.Errorf("change %d accepted: %v", n, ok)
		}
	}
	drainFence.finish(7, true)
	drainFence.finish(0, false)
	if fmt.Sprint(ran) != "[0 1 2]" || drainFence.state != fenceChanging || drainFence.revision != 7 {
		t.Errorf("ran %v, %v with revision %d", ran, drainFence.state, drainFence.revision)
	}
	drainFence.queue = nil
	if drainFence.finish(0, false); drainFence.state != fenceUnknown {
		t.Errorf("state after an unknown outcome: %v", drainFence.state)
	}
	if begin(99); ran[len(ran)-1] != 99 || drainFence.state != fenceChanging {
		t.Errorf("the next change is not run: %v", ran)
	}
}
