package api

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/marlwood/marlwood/internal/httpwire"
	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/placement"
	"github.com/marlwood/marlwood/internal/store"
)

// fakeStore keeps keys in memory and can fail in the same ways as the real store.
type fakeStore struct {
	keys          map[string]store.Item
	revision      uint64
	refuse        bool   // 503: nothing is executed
	lostResponses int    // this many transactions are executed but not answered
	lostRequests  int    // this many transactions are neither executed nor answered
	beforeCommit  func() // runs once before the next transaction
	tooLarge      bool   // 400: every transaction exceeds the store's limits

	mu         sync.Mutex
	log        []store.Event
	reads      int
	writes     int // requested writes, including those whose preconditions fail
	refreshes  int
	watchDelay time.Duration // how long a watch takes
	listDelay  time.Duration // how long a listing takes
	compacted  bool          // the next watch fails because its revision is too old
}

// change sets or deletes a key in a revision of its own.
func (f *fakeStore) change(w store.Write) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision++
	f.apply(w)
}

func (f *fakeStore) apply(w store.Write) {
	f.log = append(f.log, store.Event{Set: w.Set, Delete: w.Delete, Value: w.Value, Revision: f.revision})
	if w.Delete != "" {
		delete(f.keys, w.Delete)
	} else {
		f.keys[w.Set] = store.Item{Key: w.Set, Value: w.Value, Revision: f.revision}
	}
}

func (f *fakeStore) List(ctx context.Context, prefix string) ([]store.Item, uint64, error) {
	select {
	case <-time.After(f.listDelay):
	case <-ctx.Done():
		return nil, 0, store.ErrUnknown
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refreshes++
	if f.refuse {
		return nil, 0, store.ErrRefused
	}
	var out []store.Item
	for k, it := range f.keys {
		if strings.HasPrefix(k, prefix) {
			out = append(out, it)
		}
	}
	slices.SortFunc(out, func(x, y store.Item) int { return strings.Compare(x.Key, y.Key) })
	return out, f.revision, nil
}

func (f *fakeStore) Watch(_ context.Context, prefix string, after uint64, _ time.Duration) ([]store.Event, uint64, error) {
	time.Sleep(f.watchDelay)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refreshes++
	if f.refuse {
		return nil, 0, store.ErrRefused
	}
	if f.compacted {
		f.compacted = false
		return nil, 0, store.ErrCompacted
	}
	var out []store.Event
	for _, e := range f.log {
		if e.Revision > after && strings.HasPrefix(e.Set+e.Delete, prefix) {
			out = append(out, e)
		}
	}
	return out, f.revision, nil
}

func (f *fakeStore) Get(_ context.Context, key string) (store.Item, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	if f.refuse {
		return store.Item{}, store.ErrRefused
	}
	it, ok := f.keys[key]
	if !ok {
		return it, store.ErrNotFound
	}
	return it, nil
}

func (f *fakeStore) Commit(_ context.Context, t store.Txn) (store.TxnResult, error) {
	if b := f.beforeCommit; b != nil {
		f.beforeCommit = nil
		b()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.refuse {
		return store.TxnResult{}, store.ErrRefused
	}
	if f.tooLarge {
		return store.TxnResult{}, fmt.Errorf("%w: %w", store.ErrRefused, store.ErrTooLarge)
	}
	if f.lostRequests > 0 {
		f.lostRequests--
		return store.TxnResult{}, store.ErrUnknown
	}
	f.writes += len(t.Writes)
	for _, g := range t.Preconditions {
		if f.keys[g.Key].Revision != g.Revision {
			return store.TxnResult{Failed: []string{g.Key}}, nil
		}
	}
	f.revision++
	for _, w := range t.Writes {
		f.apply(w)
	}
	if f.lostResponses > 0 {
		f.lostResponses--
		return store.TxnResult{}, store.ErrUnknown
	}
	return store.TxnResult{Revision: f.revision}, nil
}

var types = map[string]model.MachineType{"small": {Name: "small", Size: model.Size{CPUs: 4, MemoryGB: 16}, Zones: []string{"a"}}}

func setup(t *testing.T) (*Server, *fakeStore) {
	t.Helper()
	fake := &fakeStore{keys: map[string]store.Item{}}
	server, err := New(Options{
		Teams:       map[string]model.Team{"t": {Name: "t", Limit: model.Size{CPUs: 8}}, "free": {Name: "free"}},
		RecordBytes: 3072, ValueBytes: 4032, FinalCache: 4, QueryTimeout: time.Second,
		Types:     func() map[string]model.MachineType { return types },
		JobCounts: func(string) (placement.JobCounts, bool) { return placement.JobCounts{}, false },
		Now:       func() time.Time { return time.Unix(1000, 0) },
	}, fake)
	if err != nil {
		t.Fatal(err)
	}
	return server, fake
}

func submissionBody(changes ...string) []byte {
	b := `{"nameId":"req-1","docket":"d","crew":"t","shape":"batch","rank":"low","pieces":3,"cpus":2,"cards":0,"memoryGb":1,
"kit":"i","sizeGb":1,"together":false,"apart":false,"loaners":false,"guessS":1,"snapshotEveryS":0,"snapshotCostS":0}`
	return []byte(strings.NewReplacer(changes...).Replace(b))
}

// statusAndStage returns the status code and the stage of an answer, separated by a space.
func statusAndStage(t *testing.T, a httpwire.Answer) string {
	t.Helper()
	var s statusBody
	if err := json.Unmarshal(a.Body, &s); err != nil {
		t.Errorf("body %q: %v", a.Body, err)
	}
	return fmt.Sprintf("%d %s", a.Status, s.Stage)
}

// submitCase is one row of TestSubmit.
type submitCase struct {
	name string
	do   func(ctx context.Context, server *Server, fake *fakeStore) httpwire.Answer
	want string
	kept bool
}

// submitCases are submissions in different states of the job and of the store.
var submitCases = []submitCase{
	{"accepted", func(ctx context.Context, server *Server, _ *fakeStore) httpwire.Answer {
		return server.Submit(ctx, submissionBody())
	}, "201 queued", true},
	{"repeated", func(ctx context.Context, server *Server, _ *fakeStore) httpwire.Answer {
		server.Submit(ctx, submissionBody())
		return server.Submit(ctx, submissionBody())
	}, "200 queued", true},
	{"repeated with an invalid body", func(ctx context.Context, server *Server, _ *fakeStore) httpwire.Answer {
		server.Submit(ctx, submissionBody())
		return server.Submit(ctx, []byte(`{"nameId":"req-1","pieces":"many"}`))
	}, "200 queued", true},
	{"repeated after the cancellation", func(ctx context.Context, server *Server, _ *fakeStore) httpwire.Answer {
		server.Submit(ctx, submissionBody())
		server.Cancel(ctx, "req-1")
		return server.Submit(ctx, submissionBody())
	}, "200 aborted", false},
	{"invalid body", func(ctx context.Context, server *Server, _ *fakeStore) httpwire.Answer {
		return server.Submit(ctx, []byte(`{"nameId":"req-1"}`))
	}, "400 ", false},
	{"unknown team", func(ctx context.Context, server *Server, _ *fakeStore) httpwire.Answer {
		return server.Submit(ctx, submissionBody(`"t"`, `"u"`))
	}, "422 ", false},
	{"fits no machine type", func(ctx context.Context, server *Server, _ *fakeStore) httpwire.Answer {
		return server.Submit(ctx, submissionBody(`"cpus":2`, `"cpus":5`))
	}, "422 ", false},
	{"array over the limit in total", func(ctx context.Context, server *Server, _ *fakeStore) httpwire.Answer {
		return server.Submit(ctx, submissionBody(`"pieces":3`, `"pieces":9`))
	}, "201 queued", true},
	{"gang over the limit", func(ctx context.Context, server *Server, _ *fakeStore) httpwire.Answer {
		return server.Submit(ctx, submissionBody(`"pieces":3`, `"pieces":5`, `"batch"`, `"gang"`))
	}, "422 ", false},
	{"no limit", func(ctx context.Context, server *Server, _ *fakeStore) httpwire.Answer {
		return server.Submit(ctx, submissionBody(`"pieces":3`, `"pieces":100000`, `"batch"`, `"gang"`, `"t"`, `"free"`))
	}, "201 queued", true},
	{"outage", func(ctx context.Context, server *Server, fake *fakeStore) httpwire.Answer {
		fake.refuse = true
		return server.Submit(ctx, submissionBody())
	}, "503 ", false},
	// A submission may be rejected for good only if it doesn't repeat a known job, which can't
	// be checked while the store is unavailable.
	{"invalid body during a store outage", func(ctx context.Context, server *Server, fake *fakeStore) httpwire.Answer {
		fake.refuse = true
		return server.Submit(ctx, []byte(`{"nameId":"req-1"}`))
	}, "503 ", false},
	{"response to the commit is lost", func(ctx context.Context, server *Server, fake *fakeStore) httpwire.Answer {
		fake.lostResponses = 1
		return server.Submit(ctx, submissionBody())
	}, "200 queued", true},
	{"commit request is lost", func(ctx context.Context, server *Server, fake *fakeStore) httpwire.Answer {
		fake.lostRequests = 1
		return server.Submit(ctx, submissionBody())
	}, "503 ", false},
	{"description too long", func(ctx context.Context, server *Server, _ *fakeStore) httpwire.Answer {
		return server.Submit(ctx, submissionBody(`"kit":"i"`, `"kit":"`+strings.Repeat("i", 5000)+`"`))
	}, "400 ", false},
}

func TestSubmit(t *testing.T) {
	ctx := context.Background()
	for _, c := range submitCases {
		t.Run(c.name, func(t *testing.T) {
			server, fake := setup(t)
			a := c.do(ctx, server, fake)
			if got := statusAndStage(t, a); got != c.want {
				t.Errorf("got %s", got)
			}
			if _, kept := fake.keys["job/req-1"]; kept != c.kept {
				t.Errorf("open record stored: %v", kept)
			}
			if (a.Status == http.StatusServiceUnavailable) != (a.RetryAfter > 0) {
				t.Error("Retry-After must be set for 503 and for no other status")
			}
		})
	}
	server, fake := setup(t)
	server.options.Types = func() map[string]model.MachineType { return nil }
	if a := server.Submit(ctx, submissionBody()); a.Status != http.StatusServiceUnavailable || len(fake.keys) != 0 {
		t.Errorf("submission while the machine types are unknown: status %d", a.Status)
	}
}

func TestStatusAndCancel(t *testing.T) {
	ctx := context.Background()
	put := func(fake *fakeStore, key string, v any) { fake.change(store.Put(key, v)) }
	for _, c := range []struct {
		name        string
		prepare     func(server *Server, fake *fakeStore)
		ask, cancel string
	}{
		{"never submitted", func(_ *Server, fake *fakeStore) { fake.keys = map[string]store.Item{} }, "404 ", "404 "},
		{"queued", func(*Server, *fakeStore) {}, "200 queued", "200 aborted"},
		{"done", func(_ *Server, fake *fakeStore) { finishJob(fake) }, "200 done", "200 done"},
		{"outage", func(_ *Server, fake *fakeStore) { fake.refuse = true }, "503 ", "503 "},
		{"done and queried before a store outage", func(server *Server, fake *fakeStore) {
			finishJob(fake)
			server.Status(ctx, "req-1")
			fake.refuse = true
		}, "200 done", "200 done"},
		{"done while being cancelled", func(_ *Server, fake *fakeStore) { fake.beforeCommit = func() { finishJob(fake) } }, "200 queued", "200 done"},
		{"record written while being cancelled", func(_ *Server, fake *fakeStore) {
			fake.beforeCommit = func() { fake.change(store.Write{Set: "job/req-1", Value: fake.keys["job/req-1"].Value}) }
		}, "200 queued", "200 aborted"},
		{"response to the cancellation's commit is lost", func(_ *Server, fake *fakeStore) { fake.lostResponses = 1 }, "200 queued", "200 aborted"},
		{"all commit requests of the cancellation are lost", func(_ *Server, fake *fakeStore) { fake.lostRequests = 9 }, "200 queued", "503 "},
		{"malformed record", func(_ *Server, fake *fakeStore) { put(fake, "job/req-1", "x") }, "503 ", "503 "},
	} {
		t.Run(c.name, func(t *testing.T) {
			server, fake := setup(t)
			if a := server.Submit(ctx, submissionBody()); a.Status != http.StatusCreated {
				t.Fatal(a.Status)
			}
			c.prepare(server, fake)
			if got := statusAndStage(t, server.Status(ctx, "req-1")); got != c.ask {
				t.Errorf("status query: got %s", got)
			}
			if got := statusAndStage(t, server.Cancel(ctx, "req-1")); got != c.cancel {
				t.Errorf("cancellation: got %s", got)
			}
		})
	}
}

// finishJob replaces the job's open record with a final one, as the leader does.
func finishJob(fake *fakeStore) {
	fake.change(store.Delete("job/req-1"))
	fake.change(store.Put("done/req-1", placement.FinalJobRecord{Stage: model.Done, Tasks: 3, Count: 3}))
}

// If each query read the store, the load on it would grow with the number of users. Concurrent queries
// share refreshes, and no answer is older than its query. The clock is virtual, so the load of the test
// machine has no influence.
func TestQueriesShareRefreshes(t *testing.T) { synctest.Test(t, queriesShareRefreshes) }

func queriesShareRefreshes(t *testing.T) {
	ctx := context.Background()
	server, fake := setup(t)
	server.statuses.options.RefreshInterval = 20 * time.Millisecond
	server.Submit(ctx, submissionBody())
	server.Status(ctx, "req-1")
	fake.refreshes, fake.reads = 0, 0
	var wg sync.WaitGroup
	for range 200 {
		wg.Go(func() {
			if a := server.Status(ctx, "req-1"); a.Status != http.StatusOK {
				t.Errorf("status %d", a.Status)
			}
		})
	}
	wg.Wait()
	if fake.refreshes > 10 || fake.reads > 0 {
		t.Errorf("200 queries cost %d refreshes and %d reads, want at most 10 and none", fake.refreshes, fake.reads)
	}
	for _, c := range []struct {
		name   string
		change func()
		want   string
	}{
		{"started by the leader", func() {
			fake.change(store.Put("job/req-1", map[string]any{"started": true, "count": 1, "running": 2}))
		}, "200 running"},
		{"revision compacted", func() { fake.compacted = true; finishJob(fake) }, "200 done"},
	} {
		c.change()
		if got := statusAndStage(t, server.Status(ctx, "req-1")); got != c.want {
			t.Errorf("%s: %s", c.name, got)
		}
	}
	// While refreshes fail, a query is answered within a tenth of its timeout, also if the next refresh hangs.
	fake.refuse = true
	server.Status(ctx, "other")
	for _, slow := range []time.Duration{0, server.options.QueryTimeout} {
		time.Sleep(server.options.QueryTimeout)
		fake.watchDelay = slow
		begun := time.Now()
		if a := server.Status(ctx, "other"); a.Status != http.StatusServiceUnavailable || time.Since(begun) > server.options.QueryTimeout/10 {
			t.Errorf("query during a store outage: status %d after %v", a.Status, time.Since(begun))
		}
	}
	time.Sleep(2 * server.options.QueryTimeout) // without queries the refresh loop ends
}

// The allocations of a status query are bounded, for open jobs and for those in a final stage: users poll
// every second, and garbage collection uses the same share of a core.
func TestStatusQueryAllocations(t *testing.T) {
	ctx := context.Background()
	for _, c := range []struct {
		name string
		end  bool
		most float64
	}{{"open, from the cache after a refresh", false, 50}, {"in a final stage", true, 12}} {
		server, fake := setup(t)
		server.Submit(ctx, submissionBody())
		if c.end {
			finishJob(fake)
		}
		server.Status(ctx, "req-1")
		allocs := testing.AllocsPerRun(50, func() {
			if a := server.Status(ctx, "req-1"); a.Status != http.StatusOK {
				t.Fatal(a.Status)
			}
		})
		t.Logf("%s: %g allocations", c.name, allocs)
		if allocs > c.most {
			t.Errorf("%s: a query takes %g allocations", c.name, allocs)
		}
	}
}

func TestRoute(t *testing.T) {
	server, _ := setup(t)
	for _, c := range []struct {
		method, path string
		ok, handler  bool
	}{
		{"POST", "/api/jobs", true, true}, {"GET", "/api/jobs", true, false}, {"GET", "/api/jobs/req-1", true, true},
		{"DELETE", "/api/jobs/req-1", true, false}, {"POST", "/api/jobs/req-1/cancel", true, true},
		{"GET", "/api/jobs/req-1/cancel", true, false}, {"GET", "/api/jobs/a/b", false, false}, {"GET", "/api/jobsx", false, false},
		{"GET", "/api/jobs/", false, false}, {"GET", "/other", false, false},
	} {
		handler, ok := server.Route(&httpwire.Request{Method: c.method, Path: c.path})
		if ok != c.ok || (handler.Serve != nil) != c.handler {
			t.Errorf("%s %s: %v %v", c.method, c.path, handler.Serve != nil, ok)
		}
	}
}

// Writes whose preconditions fail count against the store's budget. The repeat of a job in this controller's
// caches is answered from the store without a write; the repeat of any other job requests one write, whose
// preconditions fail.
func TestRepeatOfCachedJobWritesNothing(t *testing.T) {
	ctx := context.Background()
	for _, c := range []struct {
		name   string
		before func(server *Server, fake *fakeStore)
		want   string
		writes int
	}{
		{"open, queried here", func(server *Server, _ *fakeStore) { server.Status(ctx, "req-1") }, "200 queued", 0},
		{"cancelled here", func(server *Server, _ *fakeStore) { server.Cancel(ctx, "req-1") }, "200 aborted", 0},
		{"queried here, then cancelled elsewhere", func(server *Server, fake *fakeStore) {
			server.Status(ctx, "req-1")
			fake.change(store.Delete(placement.JobPrefix + "req-1"))
			fake.change(store.Put(placement.DonePrefix+"req-1", placement.FinalJobRecord{Stage: model.Cancelled, Tasks: 3}))
		}, "200 aborted", 0},
		{"in no cache", func(*Server, *fakeStore) {}, "200 queued", 1},
	} {
		server, fake := setup(t)
		server.Submit(ctx, submissionBody())
		c.before(server, fake)
		fake.writes = 0
		if got := statusAndStage(t, server.Submit(ctx, submissionBody())); got != c.want || fake.writes != c.writes {
			t.Errorf("%s: %s after %d writes, want %s after %d", c.name, got, fake.writes, c.want, c.writes)
		}
	}
}

// A listing that takes longer than the timeout of a query must continue, or it would never be completed. Queries
// during the listing get 503, the first one after the whole timeout and the later ones after a fraction of it.
// Queries after the listing are answered.
func TestListingOutlastsQueries(t *testing.T) {
	ctx := context.Background()
	server, fake := setup(t)
	server.statuses.options.QueryTimeout, server.statuses.options.Now = 100*time.Millisecond, time.Now
	server.Submit(ctx, submissionBody())
	fake.listDelay = 500 * time.Millisecond
	ask := func() (status int, took time.Duration) {
		sent := time.Now()
		return server.Status(ctx, "req-1").Status, time.Since(sent)
	}
	if status, took := ask(); status != http.StatusServiceUnavailable || took > 400*time.Millisecond {
		t.Errorf("first query during the listing: status %d after %v", status, took)
	}
	if status, took := ask(); status != http.StatusServiceUnavailable || took > 60*time.Millisecond {
		t.Errorf("later query during the listing: status %d after %v", status, took)
	}
	deadline := time.Now().Add(5 * time.Second)
	for status := 0; status != http.StatusOK; status, _ = ask() {
		if time.Now().After(deadline) {
			t.Fatal("the listing was not completed within 5 s")
		}
	}
	if fake.refreshes < 2 || fake.refreshes > 4 { // the listing and reads of the changes since
		t.Errorf("%d refreshes, want 2 to 4", fake.refreshes)
	}
}
