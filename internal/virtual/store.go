package virtual

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/marlwood/marlwood/internal/store"
)

// Store is the state service: keys with stamps, guards, holds and watches. It answers at
// once; who asks over a network adds its delays.
type Store struct {
	sim     *Sim
	keys    map[string]*entry
	names   []string // of the keys, in order
	rev     uint64
	holds   map[uint64]*hold
	lastID  uint64
	log     []store.Event // all changes; none are dropped
	watches []func()
	outage  time.Duration            // until then it refuses everybody
	refuse  map[string]time.Duration // controllers that it refuses until then
	TxnOps  int
	Lost    func(key string)  // told of keys that go with their hold; may be nil
	Asked   func(t store.Txn) // told of every transaction, also one whose guards fail; may be nil
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

// NewStore makes an empty store that takes transactions of so many changes.
func NewStore(s *Sim, txnOps int) *Store {
	return &Store{sim: s, TxnOps: txnOps, keys: map[string]*entry{}, rev: 1, holds: map[uint64]*hold{},
		refuse: map[string]time.Duration{}}
}

// Refuses tells whether the store refuses a node now.
func (v *Store) Refuses(node string) bool {
	return v.sim.now < v.outage || v.sim.now < v.refuse[node]
}

// Refuse has the store refuse a node for a time.
func (v *Store) Refuse(node string, d time.Duration) {
	v.refuse[node] = max(v.refuse[node], v.sim.now+d)
}

// Fail begins an outage. After it every lease has its full time again.
func (v *Store) Fail(d time.Duration) {
	v.outage = max(v.outage, v.sim.now+d)
	v.sim.At(v.outage, func() {
		for _, h := range v.holds {
			h.until = max(h.until, v.sim.now+h.ttl)
		}
	})
}

func (v *Store) set(key string, e *entry) {
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

func (v *Store) changed() {
	watches := v.watches
	v.watches = nil
	for _, w := range watches {
		v.sim.After(0, w)
	}
}

// expire ends a hold when its time is over, and its keys with it.
func (v *Store) expire(id uint64) {
	h := v.holds[id]
	switch {
	case h == nil:
	case v.sim.now < v.outage:
		v.sim.At(v.outage+time.Millisecond, func() { v.expire(id) })
	case v.sim.now < h.until:
		v.sim.At(h.until, func() { v.expire(id) })
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
				if v.Lost != nil {
					v.Lost(key)
				}
				v.set(key, nil)
			}
			v.changed()
		}
	}
}

// Txn carries a transaction out.
func (v *Store) Txn(t store.Txn) (store.Outcome, error) {
	if v.Asked != nil {
		v.Asked(t)
	}
	if len(t.Writes) > v.TxnOps || len(t.Guards) > 4*v.TxnOps {
		return store.Outcome{}, fmt.Errorf("%w: %w", store.ErrRefused, store.ErrTooLarge) // as the client says
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

// Get reads a key.
func (v *Store) Get(key string) (store.Item, error) {
	if e := v.keys[key]; e != nil {
		return store.Item{Key: key, Value: e.value, Stamp: e.stamp}, nil
	}
	return store.Item{Key: key, Stamp: v.rev}, store.ErrNotFound
}

// List reads the keys that begin with a prefix, and the revision that this is as of.
func (v *Store) List(prefix string) (items []store.Item, rev uint64) {
	i, _ := slices.BinarySearch(v.names, prefix)
	for _, key := range v.names[i:] {
		if !strings.HasPrefix(key, prefix) {
			break
		}
		items = append(items, store.Item{Key: key, Value: v.keys[key].value, Stamp: v.keys[key].stamp})
	}
	return items, v.rev
}

// Watch replies with the changes of keys with a prefix after a revision, as soon as
// there are any, at the latest after wait. A node that is refused waits on.
func (v *Store) Watch(node, prefix string, after uint64, wait time.Duration, reply func(events []store.Event, rev uint64)) {
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
		case v.Refuses(node): // it waits as in an outage
			v.sim.After(200*time.Millisecond, look)
		case len(found) > 0 || v.sim.now >= until:
			answered = true
			reply(found, v.rev)
		default:
			v.watches = append(v.watches, look)
		}
	}
	if wait > 0 {
		v.sim.At(until, look)
	}
	look()
}

// Hold makes a hold, which ends when it is not touched for ttl.
func (v *Store) Hold(ttl time.Duration) uint64 {
	v.lastID++
	id := v.lastID
	v.holds[id] = &hold{ttl, v.sim.now + ttl}
	v.sim.After(ttl, func() { v.expire(id) })
	return id
}

// Touch has a hold begin anew.
func (v *Store) Touch(id uint64) error {
	h := v.holds[id]
	if h == nil {
		return store.ErrNoHold
	}
	h.until = v.sim.now + h.ttl
	return nil
}
