package intake

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/placement"
	"github.com/marlwood/marlwood/internal/store"
)

// board answers questions from memory without ever telling old news: the
// questions that came in meanwhile share one look at the changes since the
// last look, and are answered by what memory holds after it. So the state
// service is asked as often for a thousand users as for ten.
//
// Guard: asked one by one, users who asked more often than usual took the
// node's whole share of the state service, and submissions waited behind them.
//
// Memory holds every job that is not over, from one listing and the changes
// since. A job that it lacks is over or was never accepted, which one read tells.
//
// Guard: filled by reading job by job, it took a restarted node minutes to know a
// thousand jobs that wait for others; users were told nothing for so long that
// their jobs counted as forgotten.
type board struct {
	store Store
	opt   Options

	mu      sync.Mutex
	state   boardState
	next    *glance   // will be sent next; questions may still join it
	failing bool      // the last look brought nothing
	sent    time.Time // when the look under way was sent; zero: none is
	jobs    map[string]posted
	rev     uint64 // up to which changes were taken in; 0: nothing is known
	looked  time.Time
}

// boardState is whether somebody takes looks.
type boardState int

const (
	boardResting boardState = iota // nobody asks
	boardLooking                   // a goroutine takes looks until nobody asks
)

func (b *board) to(s boardState) { b.state = s }

// glance is one look at the changes, shared by the questions that wait for it.
type glance struct {
	done Gate
	err  error
}

// posted is what is kept of a job that is not over.
type posted struct {
	waiting bool // for the jobs that it needs
	Job     struct {
		Needs []string `json:"awaits"`
	} `json:"job"`
	Started bool `json:"started"`
	Count   int  `json:"count"`
	Running int  `json:"running"`
	garbled bool // its record cannot be read
}

func newBoard(s Store, opt Options) *board {
	return &board{store: s, opt: opt, jobs: map[string]posted{}}
}

// refresh returns after a look that was sent after the call. While looks fail or take
// long, nobody waits for long: unsure is answered at once.
func (b *board) refresh(ctx context.Context) error {
	b.mu.Lock()
	if b.next == nil {
		b.next = &glance{done: b.opt.NewGate()}
	}
	g, wait := b.next, b.opt.AskWait
	if b.failing || !b.sent.IsZero() && b.opt.Now().Sub(b.sent) > wait {
		wait /= 10
	}
	if b.state == boardResting {
		b.to(boardLooking)
		b.opt.Go(b.look)
	}
	b.mu.Unlock()
	if g.done.Wait(ctx, wait) {
		return g.err
	}
	return errUnsure
}

// look takes looks until nobody waits for one.
func (b *board) look() {
	for {
		b.mu.Lock()
		g, rev := b.next, b.rev
		b.next = nil // later questions need a later look
		b.sent = time.Time{}
		if g == nil {
			b.to(boardResting)
			b.mu.Unlock()
			return
		}
		b.sent = b.opt.Now()
		b.mu.Unlock()
		g.err = b.take(rev)
		b.mu.Lock()
		b.failing = g.err != nil
		b.mu.Unlock()
		g.done.Open()
		b.opt.Sleep(context.Background(), b.opt.Glance)
	}
}

// take takes the changes since a revision in. If they cannot be had any more,
// memory starts anew.
//
// Guard: a listing may take longer than any question waits: it is gone on with, for
// whoever asks later. Given up with the question, it was begun anew for each, and where
// the state service is slow none was ever whole.
func (b *board) take(rev uint64) error {
	var events []store.Event
	err := store.ErrCompacted
	if rev > 0 && b.opt.Now().Sub(b.looked) < longUnasked {
		ctx, cancel := context.WithTimeout(context.Background(), b.opt.AskWait)
		events, rev, err = b.store.Watch(ctx, placement.OpenPrefix, rev, 0)
		cancel()
	}
	fresh := errors.Is(err, store.ErrCompacted)
	if fresh {
		ctx, cancel := context.WithTimeout(context.Background(), longListing)
		defer cancel()
		var items []store.Item
		items, rev, err = b.store.List(ctx, placement.OpenPrefix)
		for _, it := range items {
			events = append(events, store.Event{Set: it.Key, Value: it.Value})
		}
	}
	if err != nil {
		return fmt.Errorf("%w: %w", errUnsure, err)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if fresh {
		clear(b.jobs)
	}
	for _, e := range events {
		b.note(e)
	}
	b.rev, b.looked = rev, b.opt.Now()
	return nil
}

// longListing is how long a listing may take: six pages of a state service that answers
// each up to three seconds late, most of them asked for twice.
const longListing = 30 * time.Second

// longUnasked is after how long without questions a listing costs less than the
// changes since.
const longUnasked = time.Minute

// note takes one change in.
//
// Guard: a job that is released loses its waiting record and gets an open one in
// the same transaction, told of in any order. Taken for the end of the job, the
// loss would hide that it runs.
func (b *board) note(e store.Event) {
	if id, ok := strings.CutPrefix(e.Delete, placement.WaitPrefix); ok {
		if b.jobs[id].waiting {
			delete(b.jobs, id)
		}
		return
	}
	if id, ok := strings.CutPrefix(e.Delete, placement.JobPrefix); ok {
		delete(b.jobs, id)
		return
	}
	id, waiting := strings.CutPrefix(e.Set, placement.WaitPrefix)
	if !waiting {
		var ok bool
		if id, ok = strings.CutPrefix(e.Set, placement.JobPrefix); !ok {
			return
		}
	}
	p := posted{waiting: waiting}
	p.garbled = json.Unmarshal(e.Value, &p) != nil
	if !waiting {
		p.Job.Needs = nil
	}
	b.jobs[id] = p
}

// find tells what is known of a job after a look.
func (b *board) find(id string) (p posted, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p, ok = b.jobs[id]
	return p, ok
}

// see answers what stage a job is in, as of after the call.
func (in *Intake) see(ctx context.Context, id string) (look, error) {
	if f, ok := in.finals.Get(id); ok {
		return look{known: true, stage: f.Stage, final: f}, nil
	}
	if err := in.board.refresh(ctx); err != nil {
		return look{}, err
	}
	return in.recall(ctx, id)
}

// recall answers what stage a job is in, as of the last look.
func (in *Intake) recall(ctx context.Context, id string) (look, error) {
	if f, ok := in.finals.Get(id); ok {
		return look{known: true, stage: f.Stage, final: f}, nil
	}
	p, ok := in.board.find(id)
	switch {
	case !ok:
		// Nothing hangs on memory alone before a job is called unknown.
		return firstKnown(ctx, id, in.findFinal, in.findOpen, in.findWaiting)
	case p.garbled:
		return look{}, errUnsure
	}
	l := look{known: true, stage: model.Queued, waiting: p.waiting, needs: p.Job.Needs}
	l.record.Count, l.record.Running = p.Count, p.Running
	if p.Started {
		l.stage = model.Running
	}
	return l, nil
}
