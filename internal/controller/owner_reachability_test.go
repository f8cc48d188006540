package controller

import (
	"testing"
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

// An owner is suspected only for suspicionSpan. It stays unreachable for the span that the test passes to observe,
// whatever its pools' machines do meanwhile. A fresh token ends suspicions and nothing else.
func TestOwnerReachability(t *testing.T) {
	const span = 30 * time.Second
	pool, other := model.Pool{Type: "box", Zone: "a"}, model.Pool{Type: "box", Zone: "b"}
	owners := map[model.Pool]string{pool: "n0", other: "n0"}
	began := time.Unix(1000, 0)
	after := func(d time.Duration) time.Time { return began.Add(d) }
	silent := map[model.Pool]bool{pool: true, other: true}
	for _, c := range []struct {
		name    string
		events  func(r ownerReachability)
		want    reachabilityState // of pool
		another reachabilityState // of other
	}{
		{"heartbeats arrive", func(r ownerReachability) { r.observe(after(0), owners, map[model.Pool]bool{pool: false}, span) }, ownerReached, ownerReached},
		{"no heartbeats", func(r ownerReachability) { r.observe(after(0), owners, map[model.Pool]bool{pool: true}, span) }, ownerSuspected, ownerReached},
		{"no heartbeats for long", func(r ownerReachability) {
			r.observe(after(0), owners, silent, span)
			r.observe(after(suspicionSpan), owners, silent, span)
			r.observe(after(time.Hour), owners, silent, span)
		}, ownerUnconfirmed, ownerUnconfirmed},
		{"heartbeats arrive again", func(r ownerReachability) {
			r.observe(after(0), owners, silent, span)
			r.observe(after(suspicionSpan), owners, silent, span)
			r.observe(after(suspicionSpan+1), owners, map[model.Pool]bool{other: true}, span)
		}, ownerReached, ownerUnconfirmed},
		{"a fresh token", func(r ownerReachability) {
			r.observe(after(0), owners, map[model.Pool]bool{other: true}, span)
			r.markUnreachable(after(0), "n1", pool)
			r.tokenRenewed(after(1))
		}, ownerReached, ownerReached},
		{"unreachable, and no heartbeats of another pool", func(r ownerReachability) {
			r.observe(after(0), owners, silent, span)
			r.markUnreachable(after(0), "n0", pool)
			r.tokenRenewed(after(1))
			r.observe(after(span-1), map[model.Pool]string{pool: "n1", other: "n1"}, nil, span)
		}, ownerUnreachable, ownerUnreachable},
		{"unreachable long ago", func(r ownerReachability) {
			r.markUnreachable(after(0), "n0", pool)
			r.observe(after(span), map[model.Pool]string{pool: "n1", other: "n1"}, nil, span)
		}, ownerReached, ownerReached},
	} {
		r := ownerReachability{}
		c.events(r)
		if got, another := r[poolMember{"n0", pool}].state, r[poolMember{"n0", other}].state; got != c.want || another != c.another {
			t.Errorf("%s: %v and %v, want %v and %v", c.name, got, another, c.want, c.another)
		}
		if unreachable := c.want == ownerUnreachable; r.mayOwn("n0", pool) == unreachable || r.isUnreachable("n0") != unreachable {
			t.Errorf("%s: may own %v, is unreachable %v", c.name, r.mayOwn("n0", pool), r.isUnreachable("n0"))
		}
		if r.suspects("n0", pool) != (c.want == ownerSuspected) {
			t.Errorf("%s: suspected: %v", c.name, r.suspects("n0", pool))
		}
	}
}
