package explore

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/marlwood/marlwood/internal/store"
)

// service is the state service.
type service struct {
	sim     *sim
	place   *place
	keys    map[string]*entry
	names   []string // of the keys, in order
	rev     uint64
	holds   map[uint64]*hold
	lastID  uint64
	log     []store.Event // all changes; none are dropped
	watches []func()
	outage  time.Duration            // until then it refuses everybody
	refuse  map[string]time.Duration // controllers that it refuses until then
	txnOps  int
}

type entry struct {
	value json.RawMessage
	stamp uint64
	hold  uint64
}

type hold struct {
	ttl   time.Duration
	until time.Duration
}

func newService(s *sim, txnOps int) *service {
	return &service{sim: s, place: &place{name: "store", role: storeRole}, keys: map[string]*entry{}, rev: 1, holds: map[uint64]*hold{},
		refuse: map[string]time.Duration{}, txnOps: txnOps}
}

func (v *service) refuses(node *place) bool {
	return v.sim.now < v.outage || v.sim.now < v.refuse[node.name]
}

// fail begins an outage. After it every lease has its full time again.
func (v *service) fail(d time.Duration) {
	v.outage = max(v.outage, v.sim.now+d)
	v.sim.at(v.outage, func() {
		for _, h := range v.holds {
			h.until = max(h.until, v.sim.now+h.ttl)
		}
	})
}

func (v *service) set(key string, e *entry) {
	i, found := slices.BinarySearch(v.names, key)
	switch {
	case e == nil && found:
		v.names = slices.Delete(v.names, i, i+1)
		delete(v.keys, key)
		v.log = append(v.log, store.Event{Delete: key, Stamp: v.rev})
	case e != nil:
		if !found {
			v.names = slices.Insert(v.names, i, key)
		}
		v.keys[key] = e
		v.log = append(v.log, store.Event{Set: key, Value: e.value, Stamp: e.stamp})
	}
}

func (v *service) changed() {
	watches := v.watches
	v.watches = nil
	for _, w := range watches {
		v.sim.after(0, w)
	}
}

// expire ends a hold when its time is over, and its keys with it.
func (v *service) expire(id uint64) {
	h := v.holds[id]
	switch {
	case h == nil:
	case v.sim.now < v.outage:
		v.sim.at(v.outage+time.Millisecond, func() { v.expire(id) })
	case v.sim.now < h.until:
		v.sim.at(h.until, func() { v.expire(id) })
	default:
		delete(v.holds, id)
		var gone []string
		for _, key := range v.names {
			if v.keys[key].hold == id {
				gone = append(gone, key)
			}
		}
		if len(gone) > 0 {
			v.rev++
			for _, key := range gone {
				v.sim.tell("the key %s goes with its hold", key)
				v.set(key, nil)
			}
			v.changed()
		}
	}
}

func (v *service) txn(t store.Txn) (store.Outcome, error) {
	if len(t.Writes) > v.txnOps || len(t.Guards) > 4*v.txnOps {
		return store.Outcome{}, store.ErrTooLarge
	}
	out := store.Outcome{Revision: v.rev}
	for _, g := range t.Guards {
		stamp := uint64(0)
		if e := v.keys[g.Key]; e != nil {
			stamp = e.stamp
		}
		if stamp != g.Stamp {
			out.Failed = append(out.Failed, g.Key)
		}
	}
	if len(out.Failed) > 0 || len(t.Writes) == 0 {
		return out, nil
	}
	for _, w := range t.Writes {
		if w.Hold != 0 && v.holds[w.Hold] == nil {
			return store.Outcome{}, store.ErrRefused
		}
	}
	v.rev++
	out.Revision = v.rev
	for _, w := range t.Writes {
		if w.Delete != "" {
			v.set(w.Delete, nil)
		} else {
			v.set(w.Set, &entry{w.Value, v.rev, w.Hold})
		}
	}
	v.changed()
	return out, nil
}

// storeClient is a controller's client of the state service.
type storeClient struct{ n *node }

type result[T any] struct {
	v   T
	err error
}

// storeCall asks the state service. A request that got no answer may be carried out
// late.
func storeCall[T any](c storeClient, atMost time.Duration, do func(reply func(T, error))) (T, error) {
	n := c.n
	v := n.world.store
	r, ok := ask(n.process, n.world.net, n.place, v.place, atMost, func(reply func(result[T])) {
		if v.refuses(n.place) {
			var none T
			reply(result[T]{none, store.ErrRefused})
			return
		}
		do(func(x T, err error) { reply(result[T]{x, err}) })
	})
	if !ok {
		return r.v, store.ErrUnknown
	}
	return r.v, r.err
}

const storeTimeout = 2 * time.Second

func (c storeClient) Get(_ context.Context, key string) (store.Item, error) {
	v := c.n.world.store
	return storeCall(c, storeTimeout, func(reply func(store.Item, error)) {
		if e := v.keys[key]; e != nil {
			reply(store.Item{Key: key, Value: e.value, Stamp: e.stamp}, nil)
			return
		}
		reply(store.Item{Key: key, Stamp: v.rev}, store.ErrNotFound)
	})
}

type listing struct {
	items []store.Item
	rev   uint64
}

func (c storeClient) List(_ context.Context, prefix string) ([]store.Item, uint64, error) {
	v := c.n.world.store
	l, err := storeCall(c, storeTimeout, func(reply func(listing, error)) {
		l := listing{rev: v.rev}
		i, _ := slices.BinarySearch(v.names, prefix)
		for _, key := range v.names[i:] {
			if !strings.HasPrefix(key, prefix) {
				break
			}
			l.items = append(l.items, store.Item{Key: key, Value: v.keys[key].value, Stamp: v.keys[key].stamp})
		}
		reply(l, nil)
	})
	return l.items, l.rev, err
}

func (c storeClient) Do(_ context.Context, t store.Txn) (store.Outcome, error) {
	return storeCall(c, storeTimeout, func(reply func(store.Outcome, error)) { reply(c.n.world.store.txn(t)) })
}

type news struct {
	events []store.Event
	rev    uint64
}

func (c storeClient) Watch(_ context.Context, prefix string, after uint64, wait time.Duration) ([]store.Event, uint64, error) {
	v := c.n.world.store
	out, err := storeCall(c, wait+storeTimeout, func(reply func(news, error)) {
		until := v.sim.now + wait
		answered := false
		var look func()
		look = func() {
			if answered {
				return
			}
			i, _ := slices.BinarySearchFunc(v.log, after+1, func(e store.Event, rev uint64) int { return int(e.Stamp) - int(rev) })
			var found []store.Event
			for _, e := range v.log[i:] {
				if strings.HasPrefix(e.Set+e.Delete, prefix) {
					found = append(found, e)
				}
			}
			switch {
			case v.refuses(c.n.place): // it waits as in an outage
				v.sim.after(200*time.Millisecond, look)
			case len(found) > 0 || v.sim.now >= until:
				answered = true
				reply(news{found, v.rev}, nil)
			default:
				v.watches = append(v.watches, look)
			}
		}
		if wait > 0 {
			v.sim.at(until, look)
		}
		look()
	})
	store.InOrder(out.events)
	return out.events, max(after, out.rev), err
}

func (c storeClient) Hold(_ context.Context, ttl time.Duration) (uint64, error) {
	v := c.n.world.store
	return storeCall(c, storeTimeout, func(reply func(uint64, error)) {
		v.lastID++
		id := v.lastID
		v.holds[id] = &hold{ttl, v.sim.now + ttl}
		v.sim.after(ttl, func() { v.expire(id) })
		reply(id, nil)
	})
}

func (c storeClient) Touch(_ context.Context, id uint64) error {
	v := c.n.world.store
	_, err := storeCall(c, storeTimeout, func(reply func(struct{}, error)) {
		h := v.holds[id]
		if h == nil {
			reply(struct{}{}, store.ErrNoHold)
			return
		}
		h.until = v.sim.now + h.ttl
		reply(struct{}{}, nil)
	})
	return err
}

// SetBudgets changes nothing: the model has no rates.
func (c storeClient) SetBudgets(store.Budgets) {}
