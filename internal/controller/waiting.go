package controller

import (
	"encoding/json"
	"errors"
	"time"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/pipelines"
	"github.com/marlwood/marlwood/internal/placement"
	"github.com/marlwood/marlwood/internal/store"
)

// putWaiting takes the record of a waiting job in.
func (t *term) putWaiting(id string, value json.RawMessage, stamp uint64) {
	var r placement.Record
	if err := json.Unmarshal(value, &r); err != nil || r.Job == nil || r.Job.ID != id {
		t.n.log.Error("record of a waiting job", "job", id, "err", err)
		return
	}
	t.graph.Put(r, stamp)
}

// finished takes in that a job's last task is done and its final record stored.
func (t *term) finished(id string) {
	if j := t.book.Jobs().At(id); j != nil {
		t.graph.Observe(j.Spec.Class, j.Spec.Estimate, t.n.world.Wall().Sub(j.Accepted))
	}
	t.graph.Ended(id, model.Done)
}

// isOpen tells whether a job has an open record, as far as the book knows.
func (t *term) isOpen(id string) bool {
	j := t.book.Jobs().At(id)
	return j != nil && !j.Cancelled
}

// runGraph does what follows from jobs that ended, and tells the book how urgent
// those are that others wait for.
func (t *term) runGraph(now time.Time) {
	if !now.Before(t.nextCheck) {
		t.nextCheck = now.Add(time.Second)
		t.graph.Check(t.isOpen)
	}
	for _, a := range t.graph.Actions(now) {
		if a.Op == pipelines.Look {
			t.n.world.Go(func() { t.lookAtEnd(a.ID) })
		} else {
			t.n.world.Go(func() { t.move(a) })
		}
	}
	if urgencies, changed := t.graph.Urgencies(); changed {
		t.book.Hasten(urgencies)
	}
}

// lookAtEnd reads how a job ended. It runs outside the loop.
func (t *term) lookAtEnd(id string) {
	var f placement.Final
	it, err := t.n.store.Get(t.ctx, placement.DonePrefix+id)
	if err == nil {
		err = json.Unmarshal(it.Value, &f)
	}
	t.n.post(func() {
		if t.ctx.Err() == nil {
			t.graph.Seen(id, err == nil, f.Stage, t.n.world.Now())
		}
	})
}

// move writes what becomes of a waiting job. It runs outside the loop. The book
// hears of a released job by the watch, like of every other.
func (t *term) move(a pipelines.Action) {
	txn := t.txn(store.Del(placement.WaitPrefix + a.ID))
	txn.Guards = append(txn.Guards, store.Guard{Key: placement.WaitPrefix + a.ID, Stamp: a.Stamp})
	if a.Op == pipelines.Release {
		txn.Writes = append(txn.Writes, store.Put(placement.JobPrefix+a.ID, a.Record))
	} else {
		txn.Writes = append(txn.Writes, store.Put(placement.DonePrefix+a.ID, a.Final))
	}
	out, err := t.do(txn)
	ok := err == nil && out.OK()
	var stamp uint64
	gone := false
	if !ok && (err == nil || errors.Is(err, store.ErrUnknown)) { // only a look tells
		it, gerr := t.n.store.Get(t.ctx, placement.WaitPrefix+a.ID)
		gone = errors.Is(gerr, store.ErrNotFound)
		stamp = it.Stamp
	}
	t.n.post(func() {
		if t.ctx.Err() != nil {
			return
		}
		t.graph.Wrote(a, ok, stamp, t.n.world.Now())
		if gone {
			t.graph.Gone(a.ID)
			t.nextCheck = time.Time{}
		}
	})
}
