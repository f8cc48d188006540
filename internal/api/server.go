// Package api implements the users' API: submission, status and cancellation of jobs.
//
// Any controller can answer any request, because jobs are kept in the consensus-backed
// key-value store: a status that may still change is read from the store, and every change
// is a compare-and-swap transaction there. The package doesn't schedule jobs; it only writes
// their records, which the leader reads.
package api

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/marlwood/marlwood/internal/httpwire"
	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/placement"
	"github.com/marlwood/marlwood/internal/store"
)

// Store is the part of the key-value store's client that the API uses.
type Store interface {
	Get(ctx context.Context, key string) (store.Item, error)
	Commit(ctx context.Context, t store.Txn) (store.TxnResult, error)
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]store.Event, uint64, error)
	List(ctx context.Context, prefix string) ([]store.Item, uint64, error)
}

// Options are the deployment's teams, limits and durations, and the functions that the API
// needs from the rest of the controller.
type Options struct {
	Teams           map[string]model.Team
	RecordBytes     int           // maximum size of a new job's record; leaves space for completion data
	ValueBytes      int           // maximum size of any stored value
	FinalCache      int           // number of final job records that are cached
	RefreshInterval time.Duration // pause of the status cache after each refresh
	QueryTimeout    time.Duration // maximum wait of a status query for a refresh
	// Types returns the machine types, or nil while they are unknown.
	Types func() map[string]model.MachineType
	// JobCounts returns a job's live task counts; the result is false if this controller has none.
	JobCounts func(id string) (placement.JobCounts, bool)
	// Now returns the current time.
	Now func() time.Time
	// Go runs a function concurrently, Sleep pauses it, and NewLatch returns a latch that it
	// can wait for. If Go is nil, all three are set to use goroutines and the real clock.
	Go       func(f func())
	Sleep    func(ctx context.Context, d time.Duration)
	NewLatch func() Latch
}

// Server answers users' requests. It is safe for concurrent use.
type Server struct {
	options  Options
	store    Store
	statuses *statusCache
	finals   *lru.Cache[string, placement.FinalJobRecord]
}

// New returns a server that keeps jobs in a store.
func New(options Options, store Store) (*Server, error) {
	finals, err := lru.New[string, placement.FinalJobRecord](options.FinalCache)
	if err != nil {
		return nil, fmt.Errorf("create cache of final job records: %w", err)
	}
	if options.Go == nil {
		options.Go = func(f func()) { go f() }
		options.Sleep = func(_ context.Context, d time.Duration) { time.Sleep(d) }
		options.NewLatch = NewLatch
	}
	return &Server{
		options:  options,
		store:    store,
		statuses: newStatusCache(store, options),
		finals:   finals,
	}, nil
}

// Status answers a query for the status of a job.
func (s *Server) Status(ctx context.Context, id string) httpwire.Answer {
	current, err := s.currentStatus(ctx, id)
	if err == nil {
		current, err = s.cancelIfDependencyFailed(ctx, id, current)
	}
	switch {
	case err != nil:
		return unavailableAnswer()
	case !current.known:
		return unknownJobAnswer()
	}
	return s.statusAnswer(http.StatusOK, id, current)
}

// Cancel cancels a job and answers with its final stage. It doesn't cancel the jobs that depend
// on it: the leader does that, and so does a status query for one of them.
func (s *Server) Cancel(ctx context.Context, id string) httpwire.Answer {
	current, err := s.cancelJob(ctx, id)
	switch {
	case err != nil:
		return unavailableAnswer()
	case !current.known:
		return unknownJobAnswer()
	}
	return jsonAnswer(http.StatusOK, statusBody{ID: id, Stage: current.stage})
}

// RouteHandler handles a request under /api/jobs, as found by Route.
type RouteHandler struct {
	Serve    func(context.Context) httpwire.Answer // nil: the method is not allowed
	ReadOnly bool                                  // the request changes nothing
}

// Route returns the handler of a request. ok is false for paths that the API doesn't serve. If ok
// is true and handler.Serve is nil, the path doesn't allow the method.
func (s *Server) Route(req *httpwire.Request) (handler RouteHandler, ok bool) {
	suffix, found := strings.CutPrefix(req.Path, "/api/jobs")
	if !found || (suffix != "" && suffix[0] != '/') {
		return RouteHandler{}, false
	}
	if suffix == "" {
		if req.Method != http.MethodPost {
			return RouteHandler{}, true
		}
		return RouteHandler{Serve: func(ctx context.Context) httpwire.Answer { return s.Submit(ctx, req.Body) }}, true
	}
	id, isCancel := strings.CutSuffix(strings.TrimPrefix(suffix, "/"), "/cancel")
	if id == "" || strings.Contains(id, "/") {
		return RouteHandler{}, false
	}
	return s.routeJob(req.Method, id, isCancel), true
}

// routeJob returns the handler of a request for one job.
func (s *Server) routeJob(method, id string, isCancel bool) RouteHandler {
	allowed := http.MethodGet
	if isCancel {
		allowed = http.MethodPost
	}
	switch {
	case method != allowed:
		return RouteHandler{}
	case !model.ValidID(id):
		return RouteHandler{Serve: func(context.Context) httpwire.Answer { return unknownJobAnswer() }}
	case isCancel:
		return RouteHandler{Serve: func(ctx context.Context) httpwire.Answer { return s.Cancel(ctx, id) }}
	}
	return RouteHandler{Serve: func(ctx context.Context) httpwire.Answer { return s.Status(ctx, id) }, ReadOnly: true}
}
