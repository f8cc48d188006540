package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/marlwood/marlwood/internal/standin"
)

// newClient returns a client of a test server.
func newClient(s *httptest.Server, timeout time.Duration) *Client {
	return New(strings.TrimPrefix(s.URL, "http://"), timeout)
}

// Each response of the store maps to one outcome. A refused request was not executed; after an unexpected response
// the request may have been executed, and only a read can show it.
func TestOutcomes(t *testing.T) {
	txn := Txn{Preconditions: []Precondition{{Key: "a"}}, Writes: []Write{Put("a", 1)}}
	commit := func(c *Client) error { _, err := c.Commit(context.Background(), txn); return err }
	get := func(c *Client) error { _, err := c.Get(context.Background(), "a"); return err }
	watch := func(c *Client) error {
		_, _, err := c.Watch(context.Background(), "a", 1, time.Millisecond)
		return err
	}
	for _, c := range []struct {
		name   string
		status int // 0: the connection ends without a response
		body   string
		call   func(c *Client) error
		want   error
	}{
		{"executed", 200, `{"ledgerRev":2}`, commit, nil},
		{"precondition failed", 409, `{"failed":["a"],"ledgerRev":2}`, commit, nil},
		{"outage", 503, `{}`, commit, ErrRefused},
		{"over budget", 429, `{}`, commit, ErrRefused},
		{"malformed or lease expired", 400, `{"error":"no such lease"}`, commit, ErrRefused},
		{"above the limits", 400, `{"error":"value too large"}`, commit, ErrTooLarge},
		{"no response", 0, ``, commit, ErrUnknown},
		{"malformed body", 200, `hello`, commit, ErrUnknown},
		{"unexpected status", 500, `{}`, commit, ErrUnknown},
		{"found", 200, `{"k":"a","value":1,"stamp":3}`, get, nil},
		{"absent", 404, `{"ledgerRev":3}`, get, ErrNotFound},
		{"404 from another server", 404, `not here`, get, ErrUnknown},
		{"another key's value", 200, `{"k":"b","value":1,"stamp":3}`, get, ErrUnknown},
		{"changes", 200, `{"ledgerRev":3,"news":[]}`, watch, nil},
		{"too old", 410, `{}`, watch, ErrCompacted},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if c.status == 0 {
					panic(http.ErrAbortHandler)
				}
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte(c.body))
			}))
			defer s.Close()
			if err := c.call(newClient(s, 500*time.Millisecond)); !errors.Is(err, c.want) || (err == nil) != (c.want == nil) {
				t.Errorf("got %v, want %v", err, c.want)
			}
		})
	}
	if _, err := New("127.0.0.1:1", time.Second).Commit(context.Background(), txn); !errors.Is(err, ErrRefused) {
		t.Errorf("commit to an address without a listener: %v", err)
	}
}

// A throttled transaction is sent again, and an exhausted budget of the leader does not delay users' writes.
func TestBudgets(t *testing.T) {
	var requests atomic.Int32
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if requests.Add(1) == 1 {
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		_, _ = w.Write([]byte(`{"ledgerRev":2}`))
	}))
	defer s.Close()
	ctx := context.Background()
	c := newClient(s, time.Second)
	c.SetBudgets(Budgets{Calls: 1000, UserWrites: 1, LeaderWrites: 1, Burst: 2})
	two := []Write{Put("a", 1), Put("b", 1)}
	if _, err := c.Commit(ctx, Txn{Writes: two, LeaderBudget: true}); err != nil || requests.Load() != 2 {
		t.Errorf("throttled once: %v after %d requests", err, requests.Load())
	}
	if _, err := c.Commit(ctx, Txn{Writes: two, LeaderBudget: true}); !errors.Is(err, ErrRefused) {
		t.Errorf("commit with the leader's budget exhausted: %v", err)
	}
	if _, err := c.Commit(ctx, Txn{Writes: two}); err != nil {
		t.Errorf("users' write with the leader's budget exhausted: %v", err)
	}
}

// Exercises preconditions, pages, leases and watches against the stand-in store.
func TestAgainstStandIn(t *testing.T) {
	ctx := context.Background()
	s := standin.NewState()
	defer s.Close()
	c := New(s.Listener.Addr().String(), 5*time.Second)
	c.SetBudgets(Budgets{Calls: 1e6, UserWrites: 1e6, LeaderWrites: 1e6, Burst: 16})
	const keys = 600
	for i := range keys {
		key := "p/" + string(rune('a'+i%26)) + strings.Repeat("x", i/26)
		if out, err := c.Commit(ctx, Txn{Writes: []Write{Put(key, i)}}); err != nil || !out.Succeeded() {
			t.Fatal(out, err)
		}
	}
	items, revision, err := c.List(ctx, "p/")
	if err != nil || len(items) != keys || revision != keys {
		t.Fatalf("%d items at %d, %v", len(items), revision, err)
	}
	if !json.Valid(items[0].Value) {
		t.Error("value is not JSON")
	}
	checkPrecondition(ctx, t, c)
	checkLease(ctx, t, c)
	checkWatch(ctx, t, c, revision)
}

// checkPrecondition checks that a key is readable and that deleting it with a wrong revision fails.
func checkPrecondition(ctx context.Context, t *testing.T, c *Client) {
	t.Helper()
	item, err := c.Get(ctx, "p/a")
	if err != nil || string(item.Value) != "0" {
		t.Fatal(item, err)
	}
	wrong := Precondition{Key: "p/a", Revision: item.Revision + 1}
	out, err := c.Commit(ctx, Txn{Preconditions: []Precondition{wrong}, Writes: []Write{Delete("p/a")}})
	if err != nil || out.Succeeded() {
		t.Errorf("deletion with a wrong revision succeeded: %v, %v", out, err)
	}
}

// checkLease checks that a lease can be kept alive and that an unknown lease cannot.
func checkLease(ctx context.Context, t *testing.T, c *Client) {
	t.Helper()
	lease, err := c.GrantLease(ctx, time.Minute)
	if err != nil || c.KeepAlive(ctx, lease) != nil || !errors.Is(c.KeepAlive(ctx, lease+1), ErrLeaseNotFound) {
		t.Errorf("leases: %v", err)
	}
}

// checkWatch checks that a watch returns a deletion under its prefix and no other change.
func checkWatch(ctx context.Context, t *testing.T, c *Client, revision uint64) {
	t.Helper()
	if _, err := c.Commit(ctx, Txn{Writes: []Write{Put("q/1", 1), Delete("p/a")}}); err != nil {
		t.Fatal(err)
	}
	events, _, err := c.Watch(ctx, "p/", revision, time.Second)
	if err != nil || len(events) != 1 || events[0].Delete != "p/a" {
		t.Errorf("%v, %v", events, err)
	}
}

// The calls that leader election depends on are marked urgent. They must not be delayed by users' requests or by the
// leader's writes, however many there are and however slow the store is. The test also checks that calls without
// the mark are delayed.
func TestUrgentCallsAreNotDelayed(t *testing.T) {
	get := func(ctx context.Context, c *Client) error { _, err := c.Get(ctx, "a"); return err }
	commit := func(ctx context.Context, c *Client) error {
		_, err := c.Commit(ctx, Txn{Writes: []Write{Put("a", 1)}})
		return err
	}
	for _, c := range []struct {
		name    string
		latency time.Duration
		budget  Budgets
		call    func(ctx context.Context, c *Client) error
	}{
		{"reads, request budget exhausted", 0, Budgets{Calls: 10, UserWrites: 1e6, LeaderWrites: 1e6, Burst: 16}, get},
		{"writes, write budget exhausted", 0, Budgets{Calls: 1e6, UserWrites: 5, LeaderWrites: 5, Burst: 16}, commit},
		{"all connections in use", 500 * time.Millisecond, Budgets{Calls: 1e6, UserWrites: 1e6, LeaderWrites: 1e6, Burst: 16}, get},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				time.Sleep(c.latency)
				_, _ = w.Write([]byte(`{"k":"a","value":1,"stamp":3,"ledgerRev":3}`))
			}))
			defer s.Close()
			client := newClient(s, 2*time.Second)
			client.SetBudgets(c.budget)
			ctx, stop := context.WithCancel(context.Background())
			var group sync.WaitGroup
			for range 200 {
				group.Go(func() {
					for ctx.Err() == nil {
						if c.call(ctx, client) != nil {
							time.Sleep(20 * time.Millisecond)
						}
					}
				})
			}
			time.Sleep(300 * time.Millisecond)
			sent := time.Now()
			if err := c.call(Urgent(context.Background()), client); err != nil || time.Since(sent) > c.latency+500*time.Millisecond {
				t.Errorf("urgent call: %v after %v", err, time.Since(sent))
			}
			sent = time.Now()
			if err := c.call(context.Background(), client); err == nil && time.Since(sent) < c.latency+500*time.Millisecond {
				t.Errorf("a call without the mark took only %v: the test does not show that the mark matters", time.Since(sent))
			}
			stop()
			group.Wait()
		})
	}
}

// A low-priority transaction is sent if its budget has capacity. While other transactions wait for the budget, it is
// refused immediately and does not delay them.
func TestLowPriorityTxnIsRefusedWhileOthersWait(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"ledgerRev":2}`))
	}))
	defer s.Close()
	ctx := context.Background()
	c := newClient(s, 2*time.Second)
	c.SetBudgets(Budgets{Calls: 1000, UserWrites: 10, LeaderWrites: 10, Burst: 10})
	normal := Txn{Writes: []Write{Put("a", 1)}, LeaderBudget: true}
	low := normal
	low.LowPriority = true
	if _, err := c.Commit(ctx, low); err != nil {
		t.Errorf("low priority with capacity left: %v", err)
	}
	var group sync.WaitGroup
	for range 25 { // nine go at once, the others within 1.6 s
		group.Go(func() {
			if _, err := c.Commit(ctx, normal); err != nil {
				t.Errorf("normal priority: %v", err)
			}
		})
	}
	time.Sleep(50 * time.Millisecond)
	for range 20 {
		sent := time.Now()
		if _, err := c.Commit(ctx, low); !errors.Is(err, ErrRefused) || time.Since(sent) > 100*time.Millisecond {
			t.Errorf("low priority while others wait: %v after %v", err, time.Since(sent))
		}
	}
	group.Wait()
}

// When a page of a listing gets no response in time, only that page is requested again. The listing fails if a page
// is refused or never arrives.
func TestListRetriesLatePages(t *testing.T) {
	for _, c := range []struct {
		name     string
		late     int // number of late responses per page
		status   int
		want     error
		requests int
	}{
		{"two of three responses late", 2, 200, nil, 9},
		{"no response in time", 99, 200, ErrUnknown, pageAttempts},
		{"store outage", 0, 503, ErrRefused, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var lock sync.Mutex
			requests, total := map[string]int{}, 0
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				after := r.URL.Query().Get("after")
				lock.Lock()
				requests[after]++
				total++
				late := requests[after] <= c.late
				lock.Unlock()
				if late {
					time.Sleep(200 * time.Millisecond)
				}
				w.WriteHeader(c.status)
				_, _ = fmt.Fprintf(w, `{"pairs":[{"k":"%s","value":1,"stamp":3}],"more":%v,"ledgerRev":%d}`,
					after+"p", len(after) < 2, 7+len(after))
			}))
			defer s.Close()
			client := newClient(s, 100*time.Millisecond)
			client.SetBudgets(Budgets{Calls: 1e6, UserWrites: 1, LeaderWrites: 1, Burst: 1})
			items, revision, err := client.List(context.Background(), "p")
			lock.Lock() // a late response may still be in progress
			defer lock.Unlock()
			if !errors.Is(err, c.want) || (err == nil) != (c.want == nil) || total != c.requests {
				t.Errorf("%v after %d requests, want %v after %d", err, total, c.want, c.requests)
			}
			if err == nil && (len(items) != 3 || revision != 7) {
				t.Errorf("%d items as of %d", len(items), revision)
			}
		})
	}
}
