package simtest

import (
	"context"
	"errors"
	"time"

	"github.com/marlwood/marlwood/internal/store"
)

// storeClient is a controller's client of the state service.
type storeClient struct{ n *node }

type result[T any] struct {
	v   T
	err error
}

// storeCall sends a request to the state service. A request that got no answer may be executed later.
func storeCall[T any](c storeClient, atMost time.Duration, do func(reply func(T, error))) (T, error) {
	n := c.n
	v := n.cluster.store
	r, ok := ask(n.process, n.cluster.net, n.place, n.cluster.storePlace, atMost, func(reply func(result[T])) {
		if v.Refuses(n.place.name) {
			var none T
			reply(result[T]{none, store.ErrRefused})
			return
		}
		slow := time.Duration(0)
		if n.cluster.sim.Now() < n.cluster.slowStore {
			slow = n.cluster.sim.Between(0, 3*time.Second)
		}
		do(func(x T, err error) {
			if slow > 0 {
				n.cluster.sim.After(slow, func() { reply(result[T]{x, err}) })
				return
			}
			reply(result[T]{x, err})
		})
	})
	if !ok {
		return r.v, store.ErrUnknown
	}
	return r.v, r.err
}

const storeTimeout = 2 * time.Second

// Get reads a key.
func (c storeClient) Get(_ context.Context, key string) (store.Item, error) {
	return storeCall(c, storeTimeout, func(reply func(store.Item, error)) {
		it, err := c.n.cluster.store.Get(key)
		reply(it, err)
	})
}

type listing struct {
	items []store.Item
	rev   uint64
}

// List lists the keys with a prefix.
func (c storeClient) List(_ context.Context, prefix string) ([]store.Item, uint64, error) {
	l, err := storeCall(c, storeTimeout, func(reply func(listing, error)) {
		items, rev := c.n.cluster.store.List(prefix)
		reply(listing{items, rev}, nil)
	})
	return l.items, l.rev, err
}

// errTooManyWrites represents the state service's status 429.
var errTooManyWrites = errors.New("too many writes")

// Commit retries transactions that the service rejects because of its write rate, like the production client.
func (c storeClient) Commit(_ context.Context, t store.Txn) (store.TxnResult, error) {
	w := c.n.cluster
	for until := w.sim.Now() + storeTimeout; ; c.n.process.Sleep(w.sim.Between(100*time.Millisecond, 200*time.Millisecond)) {
		out, err := c.transact(t)
		if !errors.Is(err, errTooManyWrites) {
			return out, err
		}
		if w.sim.Now() > until {
			return out, store.ErrRefused
		}
	}
}

func (c storeClient) transact(t store.Txn) (store.TxnResult, error) {
	return storeCall(c, storeTimeout, func(reply func(store.TxnResult, error)) {
		w := c.n.cluster
		switch w.plan.fateOf(c, t) {
		case unanswered:
			_, _ = w.store.Txn(t)
			return
		case held:
			return
		}
		if !w.admitsWrites(len(t.Writes)) {
			reply(store.TxnResult{}, errTooManyWrites)
			return
		}
		if w.sim.Now() < w.lateWrites && w.sim.Rand.IntN(2) == 0 {
			w.sim.After(w.sim.Between(2*time.Second, 12*time.Second), func() { c.late(t) })
			return
		}
		out, err := w.store.Txn(t)
		if err == nil && out.Succeeded() {
			w.wrote(t)
			if w.sim.Now() < w.rare.unansweredWrites && len(t.Writes) > 0 && w.sim.Rand.IntN(2) == 0 {
				w.met[MetUnansweredWrite]++
				w.sim.logf("carried out, and the answer lost, of %s: %v", c.n.place.name, t.Writes[0].Set+t.Writes[0].Delete)
				return
			}
		}
		reply(out, err)
	})
}

// fate is the outcome of a transaction for its sender.
type fate int

const (
	answered   fate = iota
	unanswered      // applied at once; the answer is lost
	held            // no answer; whoever chose this outcome may apply it later by calling late
)

// fateOf returns the outcome that the schedule chooses for a transaction.
func (p *Plan) fateOf(c storeClient, t store.Txn) fate {
	if p.fates == nil {
		return answered
	}
	return p.fates(c, t)
}

// admitsWrites reports whether the state service accepts n puts and deletes now, and deducts them from the budget.
// Bursts of up to one second's budget are accepted.
func (w *cluster) admitsWrites(n int) bool {
	if w.writeRPS == 0 {
		return true
	}
	now := w.sim.Now()
	w.writeBudget, w.writeBudgetAt = min(w.writeRPS, w.writeBudget+w.writeRPS*(now-w.writeBudgetAt).Seconds()), now
	if float64(n) > w.writeBudget {
		w.refused++
		return false
	}
	w.writeBudget -= float64(n)
	return true
}

// late applies a transaction whose sender got no answer. During an outage it waits until the outage is over.
func (c storeClient) late(t store.Txn) {
	w := c.n.cluster
	if w.store.Refuses("") {
		w.sim.After(time.Second, func() { c.late(t) })
		return
	}
	out, err := w.store.Txn(t)
	if err == nil && out.Succeeded() {
		w.wrote(t)
		w.met[MetLateWrite]++
	}
	var keys []string
	for _, x := range t.Writes {
		keys = append(keys, x.Set+x.Delete)
	}
	w.sim.logf("carried out late, of %s: %v; guards that failed %v, error %v", c.n.place.name, keys, out.Failed, err)
}

type watchResult struct {
	events []store.Event
	rev    uint64
}

// Watch reads the changes since a revision.
func (c storeClient) Watch(_ context.Context, prefix string, after uint64, wait time.Duration) ([]store.Event, uint64, error) {
	out, err := storeCall(c, wait+storeTimeout, func(reply func(watchResult, error)) {
		c.n.cluster.store.Watch(c.n.place.name, prefix, after, wait, func(events []store.Event, rev uint64) { reply(watchResult{events, rev}, nil) })
	})
	store.SortByRevision(out.events)
	return out.events, max(after, out.rev), err
}

// GrantLease creates a lease.
func (c storeClient) GrantLease(_ context.Context, ttl time.Duration) (uint64, error) {
	return storeCall(c, storeTimeout, func(reply func(uint64, error)) { reply(c.n.cluster.store.GrantLease(ttl), nil) })
}

// KeepAlive renews a lease.
func (c storeClient) KeepAlive(_ context.Context, id uint64) error {
	_, err := storeCall(c, storeTimeout, func(reply func(struct{}, error)) { reply(struct{}{}, c.n.cluster.store.KeepAlive(id)) })
	return err
}

// SetBudgets does nothing: the simulated service limits its own rate, see cluster.admitsWrites.
func (c storeClient) SetBudgets(store.Budgets) {}
