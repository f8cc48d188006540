package simulation

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/marlwood/marlwood/internal/store"
)

// Store simulates the state service: keys with revisions, transactions with preconditions,
// leases and watches. It answers immediately; callers that simulate a network add its delays.
type Store struct {
	sim          *Sim
	keys         map[string]*entry
	sortedKeys   []string // the keys, sorted
	rev          uint64
	leases       map[uint64]*lease
	lastID       uint64
	log          []store.Event // all changes since the start; none are dropped
	watches      []func()
	outageUntil  time.Duration            // the store refuses all nodes until this time
	refusedUntil map[string]time.Duration // by node: the store refuses it until this time
	TxnOps       int
	OnKeyExpired func(key string)  // called for each key that is deleted with its expired lease; may be nil
	OnTxn        func(t store.Txn) // called for every transaction, also if its preconditions fail; may be nil
}

type entry struct {
	value    json.RawMessage
	revision uint64
	lease    uint64
}

type lease struct {
	ttl     time.Duration
	expires time.Duration
}

// NewStore returns an empty store that accepts transactions of up to txnOps writes.
func NewStore(s *Sim, txnOps int) *Store {
	return &Store{sim: s, TxnOps: txnOps, keys: map[string]*entry{}, rev: 1, leases: map[uint64]*lease{},
		refusedUntil: map[string]time.Duration{}}
}

// Refuses reports whether the store refuses requests of a node now.
func (v *Store) Refuses(node string) bool {
	return v.sim.now < v.outageUntil || v.sim.now < v.refusedUntil[node]
}

// Refuse makes the store refuse requests of a node for d.
func (v *Store) Refuse(node string, d time.Duration) {
	v.refusedUntil[node] = max(v.refusedUntil[node], v.sim.now+d)
}

// Fail starts an outage of length d. When it ends, every lease has its full TTL again.
func (v *Store) Fail(d time.Duration) {
	v.outageUntil = max(v.outageUntil, v.sim.now+d)
	v.sim.At(v.outageUntil, func() {
		for _, l := range v.leases {
			l.expires = max(l.expires, v.sim.now+l.ttl)
		}
	})
}

func (v *Store) set(key string, e *entry) {
	i, found := slices.BinarySearch(v.sortedKeys, key)
	switch {
	case e == nil && found:
		v.sortedKeys = slices.Delete(v.sortedKeys, i, i+1)
		delete(v.keys, key)
		v.log = append(v.log, store.Event{Delete: key, Revision: v.rev})
	case e != nil:
		if !found {
			v.sortedKeys = slices.Insert(v.sortedKeys, i, key)
		}
		v.keys[key] = e
		v.log = append(v.log, store.Event{Set: key, Value: e.value, Revision: e.revision})
	}
}

func (v *Store) notifyWatches() {
	watches := v.watches
	v.watches = nil
	for _, w := range watches {
		v.sim.After(0, w)
	}
}

// expire deletes a lease and its keys if the lease has expired; otherwise it schedules the next check.
func (v *Store) expire(id uint64) {
	l := v.leases[id]
	switch {
	case l == nil:
	case v.sim.now < v.outageUntil:
		v.sim.At(v.outageUntil+time.Millisecond, func() { v.expire(id) })
	case v.sim.now < l.expires:
		v.sim.At(l.expires, func() { v.expire(id) })
	default:
		delete(v.leases, id)
		var expired []string
		for _, key := range v.sortedKeys {
			if v.keys[key].lease == id {
				expired = append(expired, key)
			}
		}
		if len(expired) > 0 {
			v.rev++
			for _, key := range expired {
				if v.OnKeyExpired != nil {
					v.OnKeyExpired(key)
				}
				v.set(key, nil)
			}
			v.notifyWatches()
		}
	}
}

// Txn executes a transaction.
func (v *Store) Txn(t store.Txn) (store.TxnResult, error) {
	if v.OnTxn != nil {
		v.OnTxn(t)
	}
	if len(t.Writes) > v.TxnOps || len(t.Preconditions) > 4*v.TxnOps {
		return store.TxnResult{}, fmt.Errorf("%w: %w", store.ErrRefused, store.ErrTooLarge) // as the client does
	}
	out := store.TxnResult{Revision: v.rev}
	for _, p := range t.Preconditions {
		current := uint64(0)
		if e := v.keys[p.Key]; e != nil {
			current = e.revision
		}
		if current != p.Revision {
			out.Failed = append(out.Failed, p.Key)
		}
	}
	if len(out.Failed) > 0 || len(t.Writes) == 0 {
		return out, nil
	}
	for _, w := range t.Writes {
		if w.Lease != 0 && v.leases[w.Lease] == nil {
			return store.TxnResult{}, store.ErrRefused
		}
	}
	v.rev++
	out.Revision = v.rev
	for _, w := range t.Writes {
		if w.Delete != "" {
			v.set(w.Delete, nil)
		} else {
			v.set(w.Set, &entry{w.Value, v.rev, w.Lease})
		}
	}
	v.notifyWatches()
	return out, nil
}

// Get returns the value and revision of a key.
func (v *Store) Get(key string) (store.Item, error) {
	if e := v.keys[key]; e != nil {
		return store.Item{Key: key, Value: e.value, Revision: e.revision}, nil
	}
	return store.Item{Key: key, Revision: v.rev}, store.ErrNotFound
}

// List returns the items whose keys begin with a prefix, and the store's current revision.
func (v *Store) List(prefix string) (items []store.Item, rev uint64) {
	i, _ := slices.BinarySearch(v.sortedKeys, prefix)
	for _, key := range v.sortedKeys[i:] {
		if !strings.HasPrefix(key, prefix) {
			break
		}
		items = append(items, store.Item{Key: key, Value: v.keys[key].value, Revision: v.keys[key].revision})
	}
	return items, v.rev
}

// Watch calls reply with the changes after a revision of keys with a prefix, as soon as there
// are any, and at the latest after wait. While the store refuses the node, there is no reply.
func (v *Store) Watch(node, prefix string, after uint64, wait time.Duration, reply func(events []store.Event, rev uint64)) {
	until := v.sim.now + wait
	answered := false
	var poll func()
	poll = func() {
		if answered {
			return
		}
		i, _ := slices.BinarySearchFunc(v.log, after+1, func(e store.Event, rev uint64) int { return int(e.Revision) - int(rev) })
		var found []store.Event
		for _, e := range v.log[i:] {
			if strings.HasPrefix(e.Set+e.Delete, prefix) {
				found = append(found, e)
			}
		}
		switch {
		case v.Refuses(node): // the node gets no reply, as in an outage
			v.sim.After(200*time.Millisecond, poll)
		case len(found) > 0 || v.sim.now >= until:
			answered = true
			reply(found, v.rev)
		default:
			v.watches = append(v.watches, poll)
		}
	}
	if wait > 0 {
		v.sim.At(until, poll)
	}
	poll()
}

// GrantLease creates a lease, which expires when it is not renewed for ttl.
func (v *Store) GrantLease(ttl time.Duration) uint64 {
	v.lastID++
	id := v.lastID
	v.leases[id] = &lease{ttl, v.sim.now + ttl}
	v.sim.After(ttl, func() { v.expire(id) })
	return id
}

// KeepAlive renews a lease for its full TTL.
func (v *Store) KeepAlive(id uint64) error {
	l := v.leases[id]
	if l == nil {
		return store.ErrLeaseNotFound
	}
	l.expires = v.sim.now + l.ttl
	return nil
}
