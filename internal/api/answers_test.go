package api

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
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

// commitOutcome is how a transaction ends for the store and for its sender.
type commitOutcome int

const (
	committed commitOutcome = iota
	responseLost
	committedLate // no response; committed two to four seconds later
)

// delayedStore is one controller's connection to the store. It delays requests and responses at random, so that
// both can overtake each other.
type delayedStore struct {
	store    *fakeStore
	mu       sync.Mutex
	rng      *rand.Rand
	outcomes []commitOutcome // outcomes of the next transactions; committed if none are left
}

// delay sleeps for the transfer in one direction: below 1 ms, and in a third of the cases up to 20 ms longer.
func (w *delayedStore) delay() {
	w.mu.Lock()
	duration := time.Duration(w.rng.IntN(int(time.Millisecond)))
	if w.rng.IntN(3) == 0 {
		duration += time.Duration(w.rng.IntN(int(20 * time.Millisecond)))
	}
	w.mu.Unlock()
	time.Sleep(duration)
}

func (w *delayedStore) Get(ctx context.Context, key string) (store.Item, error) {
	w.delay()
	defer w.delay()
	return w.store.Get(ctx, key)
}

func (w *delayedStore) List(ctx context.Context, prefix string) ([]store.Item, uint64, error) {
	w.delay()
	defer w.delay()
	return w.store.List(ctx, prefix)
}

func (w *delayedStore) Watch(ctx context.Context, prefix string, after uint64, d time.Duration) ([]store.Event, uint64, error) {
	w.delay()
	defer w.delay()
	return w.store.Watch(ctx, prefix, after, d)
}

func (w *delayedStore) Commit(ctx context.Context, t store.Txn) (store.TxnResult, error) {
	w.mu.Lock()
	outcome := committed
	if len(w.outcomes) > 0 {
		outcome, w.outcomes = w.outcomes[0], w.outcomes[1:]
	}
	lateBy := 2*time.Second + time.Duration(w.rng.IntN(int(2*time.Second)))
	w.mu.Unlock()
	w.delay()
	switch outcome {
	case committedLate:
		go func() {
			time.Sleep(lateBy)
			_, _ = w.store.Commit(context.Background(), t) // the sender never gets its outcome
		}()
		time.Sleep(100 * time.Millisecond)
		return store.TxnResult{}, store.ErrUnknown
	case responseLost:
		if _, err := w.store.Commit(ctx, t); err != nil {
			return store.TxnResult{}, err
		}
		time.Sleep(100 * time.Millisecond)
		return store.TxnResult{}, store.ErrUnknown
	}
	defer w.delay()
	return w.store.Commit(ctx, t)
}

// observation is one answer and the times when the request was sent and the answer received.
type observation struct {
	id, request    string
	node           int
	sent, received time.Time
	status         int
	stage          model.Stage
}

// progress ranks the status of a job in an answer. An answer to a later request may not rank lower.
func (a observation) progress() int {
	switch {
	case a.status == http.StatusNotFound:
		return 0
	case a.stage.Final():
		return 3
	case a.stage == model.Running:
		return 2
	}
	return 1
}

// concurrentUsers consists of three servers over one store, a leader that writes job records, and users who send
// requests to all servers.
type concurrentUsers struct {
	t            *testing.T
	store        *fakeStore
	servers      [3]*Server
	links        [3]*delayedStore
	leader       *delayedStore
	rng          *rand.Rand
	users        sync.WaitGroup
	mu           sync.Mutex
	observations []observation
}

func newConcurrentUsers(t *testing.T, seed uint64) *concurrentUsers {
	t.Helper()
	server, store := setup(t)
	users := &concurrentUsers{
		t:      t,
		store:  store,
		rng:    rand.New(rand.NewPCG(seed, 0)),
		leader: &delayedStore{store: store, rng: rand.New(rand.NewPCG(seed, 9))},
	}
	for i := range users.servers {
		users.links[i] = &delayedStore{store: store, rng: rand.New(rand.NewPCG(seed, uint64(i)+1))}
		options := server.options
		options.RefreshInterval, options.Now = 5*time.Millisecond, time.Now
		var err error
		if users.servers[i], err = New(options, users.links[i]); err != nil {
			t.Fatal(err)
		}
	}
	return users
}

// send sends a request about a job to one server and records the answer.
func (m *concurrentUsers) send(node int, request, id string) observation {
	return m.sendBody(node, request, id, submissionBody(`"req-1"`, `"`+id+`"`))
}

func (m *concurrentUsers) sendBody(node int, request, id string, body []byte) observation {
	server, ctx := m.servers[node], context.Background()
	result := observation{id: id, request: request, node: node, sent: time.Now()}
	requests := map[string]func() httpwire.Answer{
		"submit": func() httpwire.Answer { return server.Submit(ctx, body) },
		"ask":    func() httpwire.Answer { return server.Status(ctx, id) },
		"cancel": func() httpwire.Answer { return server.Cancel(ctx, id) },
	}
	answer := requests[request]()
	var state statusBody
	if err := json.Unmarshal(answer.Body, &state); err != nil {
		m.t.Errorf("body %q: %v", answer.Body, err)
	}
	result.status, result.stage = answer.Status, state.Stage
	result.received = time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observations = append(m.observations, result)
	return result
}

// retryWhileUnavailable repeats a request at one server after the other until the answer is not 503.
func (m *concurrentUsers) retryWhileUnavailable(node int, request string) {
	for i := 0; ; i++ {
		answer := m.send((node+i)%len(m.servers), request, jobID)
		if answer.status != http.StatusServiceUnavailable {
			return
		}
		time.Sleep(time.Second)
	}
}

// burst sends requests to all servers, each twice, within five milliseconds.
func (m *concurrentUsers) burst(id string, requests ...string) {
	for node := range m.servers {
		for _, request := range slices.Concat(requests, requests) {
			m.mu.Lock()
			after := time.Duration(m.rng.IntN(int(5 * time.Millisecond)))
			m.mu.Unlock()
			m.users.Go(func() {
				time.Sleep(after)
				m.send(node, request, id)
			})
		}
	}
}

// completeJob writes a job's final record as the leader does, provided that the open record has not changed since
// the leader read it. It reports whether the write was confirmed.
func (m *concurrentUsers) completeJob(id string) bool {
	item, err := m.leader.Get(context.Background(), "job/"+id)
	if err != nil {
		return false
	}
	result, err := m.leader.Commit(context.Background(), store.Txn{
		Preconditions: []store.Precondition{{Key: "job/" + id, Revision: item.Revision}},
		Writes: []store.Write{
			store.Delete("job/" + id),
			store.Put("done/"+id, placement.FinalJobRecord{Stage: model.Done, Tasks: 3, Count: 3}),
		},
	})
	return err == nil && result.Succeeded()
}

// startJob writes the job's record as the leader does when the job starts.
func (m *concurrentUsers) startJob() {
	item, err := m.leader.Get(context.Background(), "job/"+jobID)
	if err != nil {
		return
	}
	value := strings.Replace(string(item.Value), `"accepted_ms"`, `"started":true,"count":1,"accepted_ms"`, 1)
	_, _ = m.leader.Commit(context.Background(), store.Txn{
		Preconditions: []store.Precondition{{Key: "job/" + jobID, Revision: item.Revision}},
		Writes:        []store.Write{{Set: "job/" + jobID, Value: []byte(value)}},
	})
}

// releaseJob turns a waiting record into an open one as the leader does when the job's dependencies are done.
func (m *concurrentUsers) releaseJob(id string) bool {
	item, err := m.leader.Get(context.Background(), "job-waiting/"+id)
	if err != nil {
		return false
	}
	result, err := m.leader.Commit(context.Background(), store.Txn{
		Preconditions: []store.Precondition{{Key: "job-waiting/" + id, Revision: item.Revision}},
		Writes:        []store.Write{store.Delete("job-waiting/" + id), {Set: "job/" + id, Value: item.Value}},
	})
	return err == nil && result.Succeeded()
}

// storedStage returns the stored final stage of a job, or "" if it is not in a final stage.
func (m *concurrentUsers) storedStage(id string) model.Stage {
	current, err := (&Server{store: m.store, finals: m.servers[0].finals}).findFinal(context.Background(), id)
	if err != nil {
		m.t.Fatal(err)
	}
	return current.stage
}

// joinWords joins the values of a script's result with spaces.
func joinWords(all ...any) string { return strings.TrimSuffix(fmt.Sprintln(all...), "\n") }

// check returns an error for each answer that is older than one received before its request was sent, that
// contradicts another answer or the store, or that no user may get.
func (m *concurrentUsers) check() error {
	cancelled := map[string]bool{}
	for _, a := range m.observations {
		cancelled[a.id] = cancelled[a.id] || a.request == "cancel"
	}
	var faults []error
	for i, a := range m.observations {
		if a.status == http.StatusServiceUnavailable {
			continue
		}
		if !a.expectedStatus() {
			faults = append(faults, fault("unexpected status", a))
			continue
		}
		faults = append(faults, m.checkOne(a, cancelled))
		for k, b := range m.observations {
			if k != i && b.id == a.id && b.status != http.StatusServiceUnavailable {
				faults = append(faults, checkPair(a, b, k > i))
			}
		}
	}
	return errors.Join(faults...)
}

// expectedStatus reports whether the kind of request allows the status of the answer.
func (a observation) expectedStatus() bool {
	switch a.status {
	case http.StatusOK:
		return true
	case http.StatusCreated:
		return a.request == "submit"
	case http.StatusNotFound:
		return a.request != "submit"
	}
	return false
}

// fault returns an error that names the broken rule and the answers that break it.
func fault(rule string, answers ...observation) error {
	for _, a := range answers {
		rule += fmt.Sprintf("; %s %s at %d, %v to %v: %d %s", a.request, a.id, a.node,
			a.sent.Format("05.000000"), a.received.Format("05.000000"), a.status, a.stage)
	}
	return errors.New(rule)
}

// checkOne compares an answer with the stored record and the requests.
func (m *concurrentUsers) checkOne(a observation, cancelled map[string]bool) error {
	switch {
	case a.id == "req-none" && a.status != http.StatusNotFound:
		return fault("invented", a)
	case a.stage.Final() && a.stage != m.storedStage(a.id):
		return fault(fmt.Sprintf("answer differs from the stored stage %q", m.storedStage(a.id)), a)
	case a.stage == model.Cancelled && !cancelled[a.id] && !cancelled["req-need"]:
		return fault("cancelled without a cancel request", a)
	case a.request == "cancel" && a.status == http.StatusOK && !a.stage.Final():
		return fault("confirmed cancellation without a final stage", a)
	}
	return nil
}

// checkPair compares two answers about one job. Each pair is checked in both orders; first is set in one of them.
func checkPair(a, b observation, first bool) error {
	var faults []error
	if !b.sent.Before(a.received) && b.progress() < a.progress() {
		faults = append(faults, fault("stale answer", a, b))
	}
	if first && a.status == http.StatusCreated && b.status == http.StatusCreated {
		faults = append(faults, fault("accepted twice", a, b))
	}
	return errors.Join(faults...)
}

// Concurrent requests to three controllers, delayed messages and lost or late responses of the store could make a
// controller answer with an outdated status or let a job end in two ways. No answer may be older than one that was
// received before its request, and a single compare-and-swap decides the final stage of a job. Each row lists the
// results that its script must have over the seeds.
func TestAnswersAreNeverStale(t *testing.T) {
	for _, c := range answerScripts {
		t.Run(c.name, func(t *testing.T) {
			seen := map[string]int{}
			for seed := range uint64(40) {
				synctest.Test(t, func(t *testing.T) {
					m := newConcurrentUsers(t, seed)
					seen[c.script(m)]++
					time.Sleep(10 * time.Second) // late commits have been executed
					if err := m.check(); err != nil {
						t.Errorf("seed %d: %.600v", seed, err)
					}
				})
				if t.Failed() {
					break
				}
			}
			for _, result := range c.want {
				if seen[result] == 0 {
					t.Errorf("result %q never occurred: %v", result, seen)
				}
				delete(seen, result)
			}
			if len(seen) > 0 && !t.Failed() {
				t.Errorf("unexpected results: %v", seen)
			}
		})
	}
}

// unavailableAfterCommit commits the first transaction, drops its response and refuses every later request.
type unavailableAfterCommit struct{ *fakeStore }

func (s unavailableAfterCommit) Commit(ctx context.Context, t store.Txn) (store.TxnResult, error) {
	if _, err := s.fakeStore.Commit(ctx, t); err != nil {
		return store.TxnResult{}, err
	}
	s.refuse = true
	return store.TxnResult{}, store.ErrUnknown
}

// If the response to a transaction is lost and the store can't be read afterwards, the outcome is unknown: all
// answers are 503 until a read shows the outcome, and then report the stored stage.
func TestUnavailableWhileOutcomeUnknown(t *testing.T) {
	ctx := context.Background()
	for _, c := range []struct {
		name    string
		prepare func(server *Server)
		do      func(server *Server) httpwire.Answer
		want    string
	}{
		{"submission", func(*Server) {}, func(server *Server) httpwire.Answer { return server.Submit(ctx, submissionBody()) }, "200 queued"},
		{"cancellation", func(server *Server) { server.Submit(ctx, submissionBody()) }, func(server *Server) httpwire.Answer { return server.Cancel(ctx, "req-1") }, "200 aborted"},
		{"submission of a job with a cancelled dependency", func(server *Server) {
			server.Submit(ctx, submissionBody(`"req-1"`, `"req-0"`))
			server.Cancel(ctx, "req-0")
		}, func(server *Server) httpwire.Answer { return server.Submit(ctx, submissionNeeding("req-1", "req-0")) }, "200 aborted"},
	} {
		t.Run(c.name, func(t *testing.T) {
			server, fake := setup(t)
			c.prepare(server)
			server.store = unavailableAfterCommit{fake}
			if got := statusAndStage(t, c.do(server)); got != "503 " || !fake.refuse {
				t.Errorf("outcome unknown: got %s, want 503 after a commit", got)
			}
			for _, a := range []httpwire.Answer{server.Status(ctx, "req-1"), server.Submit(ctx, submissionBody()), server.Cancel(ctx, "req-1")} {
				if got := statusAndStage(t, a); got != "503 " {
					t.Errorf("outcome unknown, later request: got %s, want 503", got)
				}
			}
			fake.refuse, server.store = false, fake
			for _, a := range []httpwire.Answer{server.Status(ctx, "req-1"), server.Submit(ctx, submissionBody())} {
				if got := statusAndStage(t, a); got != c.want {
					t.Errorf("outcome known: got %s", got)
				}
			}
		})
	}
}

// A controller's live counts of a job's tasks may be ahead of or behind the store. They don't affect the stage,
// which is read from the store, nor the counts of a job in a final stage, which are stored with it.
func TestLiveCountsDoNotChangeStage(t *testing.T) {
	ctx := context.Background()
	final := func(stage model.Stage, count int) func(fake *fakeStore) {
		return func(fake *fakeStore) {
			fake.change(store.Delete("job/req-1"))
			fake.change(store.Put("done/req-1", placement.FinalJobRecord{Stage: stage, Tasks: 3, Count: count}))
		}
	}
	for _, c := range []struct {
		name       string
		change     func(fake *fakeStore)
		liveCounts *placement.JobCounts
		want       string
	}{
		{"no live counts", func(*fakeStore) {}, nil, `"queued","done":0,"running":0`},
		{"running, not stored yet", func(*fakeStore) {}, &placement.JobCounts{Done: 1, Running: 2}, `"queued","done":1,"running":2`},
		{"all done, not stored yet", func(*fakeStore) {}, &placement.JobCounts{Done: 3}, `"queued","done":3,"running":0`},
		{"running elsewhere", func(fake *fakeStore) {
			fake.change(store.Put("job/req-1", placement.JobRecord{Job: &model.Job{ID: "req-1", Shape: model.Array, Priority: model.Low, Tasks: 3, Image: "i"},
				Started: true, Count: 1, Running: 2}))
		}, nil, `"running","done":1,"running":2`},
		{"done, live counts of a running job", final(model.Done, 3), &placement.JobCounts{Done: 1, Running: 2}, `"done","done":3,"running":0`},
		{"cancelled, live counts of a done job", final(model.Cancelled, 2), &placement.JobCounts{Done: 3}, `"aborted","done":2,"running":0`},
	} {
		t.Run(c.name, func(t *testing.T) {
			server, fake := setup(t)
			server.Submit(ctx, submissionBody())
			server.options.JobCounts = func(string) (placement.JobCounts, bool) {
				if c.liveCounts == nil {
					return placement.JobCounts{}, false
				}
				return *c.liveCounts, true
			}
			c.change(fake)
			want := `{"nameId":"req-1","stage":` + c.want + `}`
			for _, a := range []httpwire.Answer{server.Status(ctx, "req-1"), server.Submit(ctx, submissionBody())} {
				if a.Status != http.StatusOK || string(a.Body) != want {
					t.Errorf("got %s", a.Body)
				}
			}
		})
	}
}
