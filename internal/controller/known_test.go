package controller

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/settings"
	"github.com/marlwood/marlwood/internal/standin"
)

// answeredWithin is the time limit, after the last fault, within which a query about each job must succeed.
const answeredWithin = 75 * time.Second

// jobs is the number of jobs, and concurrentUsers the number of users that query them concurrently.
const jobs, concurrentUsers = 5000, 96

// eachJob calls do for every job, for up to concurrentUsers jobs at a time.
func eachJob(do func(n int)) {
	var group sync.WaitGroup
	var next atomic.Int64
	for range concurrentUsers {
		group.Go(func() {
			for n := next.Add(1); n <= jobs; n = next.Add(1) {
				do(int(n))
			}
		})
	}
	group.Wait()
}

// submitJobs submits the jobs, and one more that runs to its end. The quota of the jobs' team allows only one
// of them to run; the others stay queued.
func submitJobs(s *testCluster) {
	s.request("POST", "/api/jobs", job("first", "batch", 1))
	eachJob(func(n int) {
		body := strings.Replace(job(fmt.Sprintf("req-%d", n), "standing", 1), `"t"`, `"small"`, 1)
		if status, v := s.request("POST", "/api/jobs", body); status != 201 && status != 200 {
			s.Errorf("req-%d: %d %v", n, status, v)
		}
	})
	s.waitForJob("first", done)
}

// isHealthy reports whether a controller passes its health check.
func (s *testCluster) isHealthy(i int) bool {
	resp, err := client.Get("http://" + s.addrs[i] + "/up")
	if err == nil {
		_ = resp.Body.Close()
	}
	return err == nil && resp.StatusCode == http.StatusOK
}

// healthy returns the indexes of the controllers that pass their health check.
func (s *testCluster) healthy() (healthy []int) {
	for i := range 3 {
		if s.isHealthy(i) {
			healthy = append(healthy, i)
		}
	}
	return healthy
}

// checkIsolated checks that a controller that has lost the state service soon fails its health check, and
// still answers queries without delay.
func (s *testCluster) checkIsolated(i int, since time.Time) {
	s.Helper()
	for s.isHealthy(i) {
		if time.Since(since) > 20*time.Second {
			s.Fatal("a controller without the state service still passes its health check")
		}
		time.Sleep(100 * time.Millisecond)
	}
	sent := time.Now()
	if resp, err := client.Get("http://" + s.addrs[i] + "/api/jobs/first"); err != nil || time.Since(sent) > 3*time.Second {
		s.Errorf("a query to the isolated controller: %v, %v after %v", resp, err, time.Since(sent))
	} else if _ = resp.Body.Close(); resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") == "" {
		s.Error("the isolated controller refuses a query without Retry-After")
	}
}

// queryBalanced queries a job through a simulated load balancer that sends one query in twenty to any
// controller, whether healthy or not. It reports whether the query succeeded.
func (s *testCluster) queryBalanced(healthy []int, n int) bool {
	i := healthy[n%len(healthy)]
	if rand.IntN(20) == 0 {
		i = rand.IntN(3)
	}
	resp, err := client.Get(fmt.Sprintf("http://%s/api/jobs/req-%d", s.addrs[i], n))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	if resp.StatusCode == http.StatusNotFound {
		s.Errorf("req-%d is unknown", n)
	}
	return resp.StatusCode == http.StatusOK
}

// awaitEveryJob queries each job until a query succeeds. It fails the test if a job has no answer
// answeredWithin after faultEnd.
func (s *testCluster) awaitEveryJob(faultEnd time.Time, query func(n int) bool) {
	s.Helper()
	eachJob(func(n int) {
		for !query(n) {
			if time.Since(faultEnd) > answeredWithin {
				s.Errorf("no query about req-%d succeeded in time", n)
				return
			}
		}
	})
}

// TestJobQueriesAfterLeaderLoss checks job queries when, with thousands of open jobs, the leader stops and
// another controller permanently loses the state service. The isolated controller must answer without delay
// and fail its health check. Users behind a load balancer that follows the health checks must get an answer
// about every job in time, under ten times the usual query load.
func TestJobQueriesAfterLeaderLoss(t *testing.T) {
	var link *standin.Link
	s := newTestCluster(t, func(i int, cfg *settings.Platform, _ *settings.Operator) {
		cfg.Teams["small"] = model.Team{Name: "small", Limit: model.Size{CPUs: 2}}
		if i == 2 {
			l, err := standin.NewLink("127.0.0.1:0", cfg.StateAddr)
			if err != nil {
				t.Fatal(err)
			}
			link, cfg.StateAddr = l, l.Addr().String()
			t.Cleanup(func() { _ = l.Close() })
		}
	})
	submitJobs(s)

	link.Cut(true)
	leader, _ := s.nodes[0].leader()
	for i := range 2 { // controller 2, which is isolated, keeps running
		if fmt.Sprintf("n%d", i) == leader {
			s.stops[i]()
		}
	}
	faultEnd := time.Now()
	s.checkIsolated(2, faultEnd)
	healthy := s.healthy()
	if len(healthy) == 0 || healthy[len(healthy)-1] == 2 {
		t.Fatalf("healthy controllers: %v", healthy)
	}
	var queries atomic.Int64
	s.awaitEveryJob(faultEnd, func(n int) bool {
		queries.Add(1)
		return s.queryBalanced(healthy, n)
	})
	t.Logf("all %d jobs answered %v after the fault, with %d queries", jobs, time.Since(faultEnd), queries.Load())
}

// loadWhileSlow queries random jobs until end. It returns when one of the controllers had read the records
// as leader, or zero if none had.
func loadWhileSlow(end time.Time, ask func(n int) int, controllers []*Controller) (led time.Time) {
	for time.Now().Before(end) {
		for _, c := range controllers {
			if led.IsZero() && c.jobCounts.Load() != nil {
				led = time.Now()
			}
		}
		var group sync.WaitGroup
		for range 32 {
			group.Go(func() { ask(1 + rand.IntN(jobs)) })
		}
		group.Wait()
	}
	return led
}

// TestJobQueriesWithSlowStore checks job queries while the state service answers up to three seconds late,
// including each page of a listing, with thousands of open jobs. Meanwhile the leader stops and another
// controller restarts with no state. Every query must be answered within two seconds, possibly with 503 but
// never with 404, and a query about every job must succeed in time after the slowdown. The time until a new
// leader has loaded the records is logged but not bounded, because it depends on chance.
func TestJobQueriesWithSlowStore(t *testing.T) {
	const slow, length, wait = 3 * time.Second, 30 * time.Second, 2 * time.Second
	s := newTestCluster(t, func(_ int, cfg *settings.Platform, op *settings.Operator) {
		cfg.Teams["small"] = model.Team{Name: "small", Limit: model.Size{CPUs: 2}}
		op.Leadership.Hold, op.Leadership.Poll, op.Leadership.Grant = 5*time.Second, time.Second, time.Second
		cfg.CancelWait = cfg.Lease + 20*time.Second // the same margin as in the deployments
	})
	submitJobs(s)
	lead := slices.IndexFunc(s.nodes, func(n *Controller) bool { return n.jobCounts.Load() != nil })
	if lead < 0 {
		t.Fatal("no controller leads")
	}
	restarted := (lead + 1) % 3 // the other is (lead+2) % 3
	s.state.Slow(slow)
	began := time.Now()
	s.stops[lead]()
	s.restart(restarted)

	var known, undecided, restartedKnown atomic.Int64
	ask := func(n int) (status int) {
		i := (lead + 1 + n%2) % 3
		sent := time.Now()
		resp, err := client.Get(fmt.Sprintf("http://%s/api/jobs/req-%d", s.addrs[i], n))
		if err != nil {
			time.Sleep(50 * time.Millisecond) // the restarted controller does not listen yet
			return 0
		}
		_ = resp.Body.Close()
		switch took := time.Since(sent); {
		case resp.StatusCode == http.StatusNotFound:
			t.Errorf("req-%d is unknown", n)
		case took > wait:
			t.Errorf("a query is answered with status %d after %v", resp.StatusCode, took)
		case resp.StatusCode == http.StatusOK:
			known.Add(1)
			if i == restarted {
				restartedKnown.Add(1)
			}
		default:
			undecided.Add(1)
			time.Sleep(100 * time.Millisecond)
		}
		return resp.StatusCode
	}
	others := []*Controller{s.nodes[restarted], s.nodes[(lead+2)%3]}
	led := loadWhileSlow(began.Add(length), ask, others)
	ledAfter := time.Duration(0)
	if !led.IsZero() {
		ledAfter = led.Sub(began)
	}
	t.Logf("while slow: %d queries answered, %d of them by the restarted controller, %d without a result; a leader after %v (0s: none)",
		known.Load(), restartedKnown.Load(), undecided.Load(), ledAfter)
	s.state.Slow(0)
	faultEnd := time.Now()
	s.awaitEveryJob(faultEnd, func(n int) bool { return ask(n) == http.StatusOK })
	t.Logf("all jobs answered %v after the slowdown", time.Since(faultEnd))
}
