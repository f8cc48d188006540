package controller

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/marlwood/marlwood/internal/fleet"
	"github.com/marlwood/marlwood/internal/leadership"
	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/placement"
	"github.com/marlwood/marlwood/internal/store"
)

// load reads everything that an earlier leader left. It runs outside the loop.
func (t *term) load() {
	n := t.n
	for t.ctx.Err() == nil {
		hosts, _, err := n.store.List(t.ctx, placement.HostPrefix)
		var charters, jobs, parts []store.Item
		var rev uint64
		if err == nil {
			charters, _, err = n.store.List(t.ctx, fleet.CharterPrefix)
		}
		if err == nil {
			parts, _, err = n.store.List(t.ctx, placement.PartPrefix)
		}
		if err == nil {
			jobs, rev, err = n.store.List(t.ctx, placement.OpenPrefix)
		}
		if err != nil {
			n.log.Warn("cannot read the records", "err", err)
			t.n.world.Sleep(t.ctx, 300*time.Millisecond)
			continue
		}
		n.post(func() {
			if t.ctx.Err() == nil {
				t.take(hosts, charters, jobs, parts, rev)
			}
		})
		return
	}
}

// host is the record of a machine on which tasks may run.
type host struct {
	Kind model.Kind `json:"kind"`
	Spot bool       `json:"spot"`
	Addr string     `json:"addr"`
}

func (t *term) take(hosts, charters, jobs, parts []store.Item, rev uint64) {
	now := t.n.world.Now()
	for _, it := range hosts {
		var h host
		if err := json.Unmarshal(it.Value, &h); err != nil {
			t.n.log.Error("host record", "key", it.Key, "err", err)
		}
		t.book.AddHost(strings.TrimPrefix(it.Key, placement.HostPrefix), h.Addr, h.Kind, h.Spot, it.Stamp, now)
	}
	for _, it := range charters {
		var c fleet.Charter
		if err := json.Unmarshal(it.Value, &c); err != nil || c.Name == "" {
			t.n.log.Error("charter record", "key", it.Key, "err", err)
			continue
		}
		t.fleet.Adopt(c, now)
	}
	t.takeJobs(jobs, parts)
	t.loaded, t.revision = true, rev
	t.assign(now)
	t.nextBeat = now
	t.n.log.Info("records read", "hosts", len(hosts), "charters", len(charters), "jobs", len(jobs), "revision", rev)
	t.n.world.Go(func() { t.watch(rev) })
}

// takeJobs takes the records of open and of waiting jobs in. Waiting ones are
// listed first, and a job moves from there to the open ones, so none is missed.
func (t *term) takeJobs(jobs, parts []store.Item) {
	marks := map[string]map[string]string{}
	for _, it := range parts {
		rest := strings.TrimPrefix(it.Key, placement.PartPrefix)
		i := strings.LastIndexByte(rest, '/')
		var text string
		if i < 0 || json.Unmarshal(it.Value, &text) != nil {
			continue
		}
		if marks[rest[:i]] == nil {
			marks[rest[:i]] = map[string]string{}
		}
		marks[rest[:i]][rest[i+1:]] = text
	}
	for _, it := range jobs {
		t.putJob(it.Key, it.Value, it.Stamp, marks)
	}
}

// putJob takes one record of an open or waiting job in.
func (t *term) putJob(key string, value json.RawMessage, stamp uint64, marks map[string]map[string]string) {
	if id, waits := strings.CutPrefix(key, placement.WaitPrefix); waits {
		t.putWaiting(id, value, stamp)
	} else if id, open := strings.CutPrefix(key, placement.JobPrefix); open {
		if err := t.book.PutJob(t.n.world.Now(), id, value, stamp, marks[id]); err != nil {
			t.n.log.Error("job record", "err", err)
		}
		t.graph.Gone(id) // it was released
	}
}

// watch follows the jobs. It runs outside the loop.
func (t *term) watch(rev uint64) {
	for t.ctx.Err() == nil {
		events, next, err := t.n.store.Watch(t.ctx, placement.OpenPrefix, rev, 10*time.Second)
		switch {
		case errors.Is(err, store.ErrCompacted):
			jobs, at, lerr := t.n.store.List(t.ctx, placement.OpenPrefix)
			if lerr != nil {
				t.n.world.Sleep(t.ctx, 300*time.Millisecond)
				continue
			}
			rev = at
			t.n.post(func() { t.resync(jobs) })
		case err != nil:
			t.n.world.Sleep(t.ctx, 300*time.Millisecond)
		default:
			rev = next
			if len(events) > 0 {
				t.n.post(func() { t.changes(events) })
			}
			t.n.world.Sleep(t.ctx, 60*time.Millisecond) // several changes come with one answer
		}
	}
}

// resync takes in a whole list of jobs after changes were missed: a job that
// is missing was cancelled.
func (t *term) resync(jobs []store.Item) {
	if t.ctx.Err() != nil {
		return
	}
	have := map[string]bool{}
	for _, it := range jobs {
		have[it.Key] = true
	}
	t.takeJobs(jobs, nil)
	for id := range t.book.Jobs().All() {
		if !have[placement.JobPrefix+id] {
			t.book.Cancel(id)
		}
	}
	for _, id := range t.graph.IDs() {
		if !have[placement.WaitPrefix+id] {
			t.graph.Gone(id)
		}
	}
	t.nextCheck = time.Time{}
	t.beatSoon()
}

func (t *term) changes(events []store.Event) {
	if t.ctx.Err() != nil {
		return
	}
	for _, e := range events {
		if id, waited := strings.CutPrefix(e.Delete, placement.WaitPrefix); waited {
			t.graph.Gone(id)
		} else if id, open := strings.CutPrefix(e.Delete, placement.JobPrefix); open {
			if t.book.Jobs().At(id) != nil {
				t.n.log.Debug("job record gone", "job", id)
			}
			t.book.Cancel(id)
		} else {
			t.putJob(e.Set, e.Value, e.Stamp, nil)
		}
	}
	t.nextCheck = time.Time{}
	t.beatSoon()
}

// txn makes a transaction with the condition that every write of the leader
// carries.
func (t *term) txn(writes ...store.Write) store.Txn {
	return store.Txn{Guards: []store.Guard{{Key: leadership.Key, Stamp: t.token}}, Writes: writes, Leader: true}
}

// do runs a transaction of the leader, if it still may act when its turn comes.
func (t *term) do(txn store.Txn) (store.Outcome, error) {
	if !t.n.mayAct() {
		return store.Outcome{}, fmt.Errorf("%w: %w", store.ErrRefused, errNoRight)
	}
	return t.n.store.Do(t.ctx, txn)
}

// save stores what became of jobs.
func (t *term) save(now time.Time) {
	maxParts := min(t.n.cfg.TxnOps-1, 48<<10/t.n.cfg.WideValueBytes-1)
	for _, s := range t.book.Saves(now, time.Second, max(1, maxParts)) {
		txn := t.txn()
		txn.Guards = append(txn.Guards, store.Guard{Key: placement.JobPrefix + s.ID, Stamp: s.Stamp})
		if s.Over != nil {
			txn.Writes = append(txn.Writes, store.Del(placement.JobPrefix+s.ID), store.Put(placement.DonePrefix+s.ID, s.Over))
		}
		if s.Record != nil {
			txn.Writes = append(txn.Writes, store.Put(placement.JobPrefix+s.ID, s.Record))
		}
		for part, text := range s.Parts {
			txn.Writes = append(txn.Writes, store.Put(placement.PartPrefix+s.ID+"/"+part, text))
		}
		if len(txn.Writes) == 0 { // all of it stands in parts already
			t.book.Saved(s, true, 0)
			continue
		}
		t.n.world.Go(func() {
			out, err := t.do(txn)
			ok := err == nil && out.OK()
			over := false
			var fresh *store.Item
			if !ok && (err == nil || errors.Is(err, store.ErrUnknown)) {
				over, fresh = t.lookAgain(s.ID)
			}
			if !ok {
				t.n.world.Sleep(t.ctx, 200*time.Millisecond)
			}
			t.n.post(func() {
				if t.ctx.Err() != nil {
					return
				}
				switch {
				case errors.Is(err, store.ErrTooLarge):
					t.n.log.Warn("save refused as too large", "job", s.ID, "err", err)
					t.book.TooLarge(s)
					return
				case over:
					t.n.log.Debug("job was over already", "job", s.ID)
					t.book.Over(s.ID)
				case fresh != nil:
					if perr := t.book.PutJob(t.n.world.Now(), s.ID, fresh.Value, fresh.Stamp, nil); perr != nil {
						t.n.log.Error("job record", "err", perr)
					}
				}
				if ok && s.Over != nil {
					t.n.log.Debug("job done", "job", s.ID)
					t.finished(s.ID)
				}
				t.book.Saved(s, ok, out.Revision)
			})
		})
	}
}

// lookAgain reads what became of a job whose write failed or went unanswered.
func (t *term) lookAgain(id string) (over bool, fresh *store.Item) {
	it, err := t.n.store.Get(t.ctx, placement.JobPrefix+id)
	if err == nil {
		return false, &it
	}
	if !errors.Is(err, store.ErrNotFound) {
		return false, nil
	}
	_, err = t.n.store.Get(t.ctx, placement.DonePrefix+id)
	return err == nil, nil
}

// saveHosts writes the records that must precede a machine's first start and
// removes those of machines that are gone.
func (t *term) saveHosts(now time.Time) {
	if t.hosting {
		return
	}
	var names []string
	txn := t.txn()
	for name, m := range t.book.Machines().All() {
		if m.Phase == placement.Current && !m.Hosted && len(txn.Writes) < t.batch {
			names = append(names, name)
			txn.Writes = append(txn.Writes, store.Put(placement.HostPrefix+name, host{m.Kind, m.Spot, m.Addr}))
		}
	}
	drop := t.dropHosts[:min(len(t.dropHosts), t.batch-len(txn.Writes))]
	for _, name := range drop {
		txn.Writes = append(txn.Writes, store.Del(placement.HostPrefix+name))
	}
	if len(txn.Writes) == 0 {
		t.dropExpired()
		return
	}
	t.hosting = true
	dropped := len(drop)
	t.n.world.Go(func() {
		out, err := t.do(txn)
		ok := err == nil && out.OK()
		if !ok {
			t.n.world.Sleep(t.ctx, 300*time.Millisecond)
		}
		t.n.post(func() {
			t.hosting = false
			if !ok { // the limits may have become tighter than the settings say
				t.batch = max(1, t.batch/2)
			}
			if !ok || t.ctx.Err() != nil {
				return
			}
			t.batch = min(t.n.cfg.TxnOps, t.batch+1)
			t.dropHosts = t.dropHosts[dropped:]
			for _, name := range names {
				t.book.HostStored(name, out.Revision)
			}
			t.beatSoon()
		})
	})
}

// dropExpired removes the host records of expired machines. What fails is left to
// the next leader, which waits for these machines.
func (t *term) dropExpired() {
	hosts := t.book.ExpiredHosts(t.batch)
	if len(hosts) == 0 {
		return
	}
	txn := t.txn()
	for name, stamp := range hosts {
		txn.Guards = append(txn.Guards, store.Guard{Key: placement.HostPrefix + name, Stamp: stamp})
		txn.Writes = append(txn.Writes, store.Del(placement.HostPrefix+name))
	}
	t.hosting = true
	t.n.world.Go(func() {
		out, err := t.do(txn)
		t.n.post(func() {
			t.hosting = false
			if err != nil || !out.OK() || t.ctx.Err() != nil {
				return
			}
			for name, stamp := range hosts {
				t.book.HostDropped(name, stamp)
			}
		})
	})
}
