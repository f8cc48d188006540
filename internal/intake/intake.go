// Package intake serves users: submissions, questions and cancellations. Any
// node can answer any of them, because jobs live in the state service and
// every answer that may still change is read through it.
package intake

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/marlwood/marlwood/internal/httpwire"
	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/placement"
	"github.com/marlwood/marlwood/internal/store"
)

// Store is what intake needs of the state service.
type Store interface {
	Get(ctx context.Context, key string) (store.Item, error)
	Do(ctx context.Context, t store.Txn) (store.Outcome, error)
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]store.Event, uint64, error)
	Revision(ctx context.Context) (uint64, error)
}

// Options are what intake knows of the deployment.
type Options struct {
	Teams      map[string]model.Team
	ValueBytes int
	FinalCache int
	Glance     time.Duration // least time between two looks at the changes, for questions
	AskWait    time.Duration // how long a question waits
	// Types returns the machine types, nil while unknown.
	Types func() map[string]model.MachineType
	// View returns a job's live counts if this node has them.
	View func(id string) (placement.View, bool)
	// Now is the time of day.
	Now func() time.Time
}

// Intake answers users.
type Intake struct {
	opt    Options
	store  Store
	board  *board
	finals *lru.Cache[string, placement.Final]
}

// New makes an intake over a store.
func New(opt Options, s Store) (*Intake, error) {
	finals, err := lru.New[string, placement.Final](opt.FinalCache)
	if err != nil {
		return nil, fmt.Errorf("intake: %w", err)
	}
	board, err := newBoard(s, opt.FinalCache, opt.Glance, opt.AskWait)
	if err != nil {
		return nil, err
	}
	return &Intake{opt: opt, store: s, board: board, finals: finals}, nil
}

type stateAnswer struct {
	ID      string      `json:"nameId"`
	Stage   model.Stage `json:"stage"`
	Done    *int        `json:"done,omitempty"`
	Running *int        `json:"running,omitempty"`
}

func answer(status int, v any) httpwire.Answer {
	b, err := json.Marshal(v)
	if err != nil {
		return Fail(500, "cannot encode the answer")
	}
	return httpwire.Answer{Status: status, Body: b}
}

// Fail is an answer that says what is wrong. What may pass tells when to come
// back.
func Fail(status int, why string) httpwire.Answer {
	b, _ := json.Marshal(map[string]string{"error": why})
	a := httpwire.Answer{Status: status, Body: b}
	if status == 429 || status == 503 {
		a.RetryAfter = 1
	}
	return a
}

// errUnsure is answered with 503: neither old news nor a 404 may be told.
var errUnsure = errors.New("the state service does not answer")

// look is a job as read through the state service.
type look struct {
	known  bool
	stamp  uint64 // of the open record, 0 if over
	stage  model.Stage
	record placement.Record
	final  placement.Final
}

// find reads a job. The open record is read first: a job moves from open to
// over in one transaction, so it cannot be missed in between.
func (in *Intake) find(ctx context.Context, id string) (look, error) {
	if f, ok := in.finals.Get(id); ok {
		return look{known: true, stage: f.Stage, final: f}, nil
	}
	it, err := in.store.Get(ctx, placement.JobPrefix+id)
	if err == nil {
		l := look{known: true, stamp: it.Stamp, stage: model.Queued}
		if err := json.Unmarshal(it.Value, &l.record); err != nil {
			return look{}, fmt.Errorf("%w: %w", errUnsure, err)
		}
		if l.record.Started {
			l.stage = model.Running
		}
		return l, nil
	}
	if !errors.Is(err, store.ErrNotFound) {
		return look{}, fmt.Errorf("%w: %w", errUnsure, err)
	}
	return in.findFinal(ctx, id)
}

// findFinal reads a job that has no open record.
func (in *Intake) findFinal(ctx context.Context, id string) (look, error) {
	it, err := in.store.Get(ctx, placement.DonePrefix+id)
	if errors.Is(err, store.ErrNotFound) {
		return look{}, nil
	}
	if err != nil {
		return look{}, fmt.Errorf("%w: %w", errUnsure, err)
	}
	l := look{known: true}
	if err := json.Unmarshal(it.Value, &l.final); err != nil || !l.final.Stage.Final() {
		return look{}, errUnsure
	}
	l.stage = l.final.Stage
	in.finals.Add(id, l.final)
	return l, nil
}

func (in *Intake) tell(status int, id string, l look) httpwire.Answer {
	done, running := l.final.Count, 0
	if !l.stage.Final() {
		done, running = l.record.Count, l.record.Running
		if v, ok := in.opt.View(id); ok {
			done, running = v.Done, v.Running
		}
	}
	return answer(status, stateAnswer{ID: id, Stage: l.stage, Done: &done, Running: &running})
}

// check decides whether a job can run at all.
func (in *Intake) check(j *model.Job, types map[string]model.MachineType) error {
	team, ok := in.opt.Teams[j.Team]
	if !ok {
		return fmt.Errorf("unknown team %q", j.Team)
	}
	fits := false
	for _, t := range types {
		for _, z := range t.Zones {
			fits = fits || j.Allows(t, z)
		}
	}
	if !fits {
		return errors.New("a task fits no allowed machine type")
	}
	n := 1
	if j.Shape != model.Array {
		n = j.Tasks
	}
	if !team.WithinLimit(j.Size.Times(n)) {
		return fmt.Errorf("needs more than the limit of team %s", j.Team)
	}
	return nil
}

// Submit answers POST of a job.
func (in *Intake) Submit(ctx context.Context, body []byte) httpwire.Answer {
	job, err := model.ParseJob(body)
	if err != nil {
		return in.refuse(ctx, body, 400, err)
	}
	types := in.opt.Types()
	if types == nil {
		return Fail(503, "the machine types are not known yet")
	}
	if err := in.check(job, types); err != nil {
		return in.refuse(ctx, body, 422, err)
	}
	if job.Types != nil { // names of unknown types are of no use and cost space
		kept := []string{}
		for _, name := range job.Types {
			if _, ok := types[name]; ok {
				kept = append(kept, name)
			}
		}
		job.Types = kept
	}
	write := store.Put(placement.JobPrefix+job.ID, placement.Record{Job: job, AcceptedMS: in.opt.Now().UnixMilli()})
	if len(write.Value) > in.opt.ValueBytes {
		return in.refuse(ctx, body, 400, errors.New("description too long"))
	}
	out, err := in.store.Do(ctx, store.Txn{
		Guards: []store.Guard{{Key: placement.JobPrefix + job.ID}, {Key: placement.DonePrefix + job.ID}},
		Writes: []store.Write{write},
	})
	if err == nil && out.OK() {
		return answer(201, stateAnswer{ID: job.ID, Stage: model.Queued})
	}
	if err != nil && !errors.Is(err, store.ErrUnknown) {
		return Fail(503, errUnsure.Error())
	}
	// Known already, or no answer came: only a look tells.
	l, err := in.find(ctx, job.ID)
	if err != nil || !l.known {
		return Fail(503, errUnsure.Error())
	}
	return in.tell(200, job.ID, l)
}

// refuse answers a bad submission, unless it repeats a known job.
func (in *Intake) refuse(ctx context.Context, body []byte, status int, why error) httpwire.Answer {
	if id := model.JobID(body); id != "" {
		l, err := in.find(ctx, id)
		if err != nil {
			return Fail(503, errUnsure.Error())
		}
		if l.known {
			return in.tell(200, id, l)
		}
	}
	return Fail(status, why.Error())
}

// Ask answers GET of a job.
func (in *Intake) Ask(ctx context.Context, id string) httpwire.Answer {
	l, err := in.see(ctx, id)
	switch {
	case err != nil:
		return Fail(503, errUnsure.Error())
	case !l.known:
		return Fail(404, "no such job")
	}
	return in.tell(200, id, l)
}

// Cancel answers the cancellation of a job.
func (in *Intake) Cancel(ctx context.Context, id string) httpwire.Answer {
	for range 4 {
		l, err := in.find(ctx, id)
		if err != nil {
			break
		}
		if !l.known {
			return Fail(404, "no such job")
		}
		if l.stage.Final() {
			return answer(200, stateAnswer{ID: id, Stage: l.stage})
		}
		final := placement.Final{Stage: model.Cancelled, Tasks: l.record.Job.Tasks, Count: l.record.Count}
		out, err := in.store.Do(ctx, store.Txn{
			Guards: []store.Guard{{Key: placement.JobPrefix + id, Stamp: l.stamp}, {Key: placement.DonePrefix + id}},
			Writes: []store.Write{store.Del(placement.JobPrefix + id), store.Put(placement.DonePrefix+id, final)},
		})
		if err == nil && out.OK() {
			in.finals.Add(id, final)
			return answer(200, stateAnswer{ID: id, Stage: model.Cancelled})
		}
		if err != nil && !errors.Is(err, store.ErrUnknown) {
			break
		}
		// The record changed meanwhile, or no answer came: look again.
	}
	return Fail(503, errUnsure.Error())
}

// Call is what a request under /api/jobs asks for.
type Call struct {
	Do  func(context.Context) httpwire.Answer
	Ask bool // it only asks
}

// Route finds what a request asks for. ok is false for paths that are not under
// /api/jobs; a call that does nothing with ok means that the method is wrong.
func (in *Intake) Route(req *httpwire.Request) (call Call, ok bool) {
	rest, found := strings.CutPrefix(req.Path, "/api/jobs")
	if !found || (rest != "" && rest[0] != '/') {
		return Call{}, false
	}
	id, isCancel := strings.CutSuffix(strings.TrimPrefix(rest, "/"), "/cancel")
	switch {
	case rest == "":
		if req.Method == "POST" {
			return Call{Do: func(ctx context.Context) httpwire.Answer { return in.Submit(ctx, req.Body) }}, true
		}
		return Call{}, true
	case id == "" || strings.Contains(id, "/"):
		return Call{}, false
	case isCancel && req.Method == "POST", !isCancel && req.Method == "GET":
		if !model.ValidID(id) {
			return Call{Do: func(context.Context) httpwire.Answer { return Fail(404, "no such job") }}, true
		}
		if isCancel {
			return Call{Do: func(ctx context.Context) httpwire.Answer { return in.Cancel(ctx, id) }}, true
		}
		return Call{Do: func(ctx context.Context) httpwire.Answer { return in.Ask(ctx, id) }, Ask: true}, true
	}
	return Call{}, true
}
