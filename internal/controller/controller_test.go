package controller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime/pprof"
	"strings"
	"testing"
	"time"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/operators/operatorspb"
	"github.com/marlwood/marlwood/internal/settings"
	"github.com/marlwood/marlwood/internal/standin"
)

// ports returns the addresses of n free loopback ports.
func ports(t testing.TB, n int) []string {
	t.Helper()
	var out []string
	for range n {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = l.Close() }()
		out = append(out, l.Addr().String())
	}
	return out
}

// testCluster is a cluster of three controllers with fakes of the state service, the cloud and its workers.
type testCluster struct {
	testing.TB
	state *standin.State
	cloud *standin.Cloud
	addrs []string             // addresses of the listeners for users and workers, then of those for peers
	stops []context.CancelFunc // functions that stop each controller
	nodes []*Controller
	cfgs  []*settings.Platform
	op    *settings.Operator
	down  map[int]bool // controllers that were stopped
}

// newTestCluster starts a cluster whose machines boot and finish tasks within milliseconds.
func newTestCluster(t testing.TB, change ...func(i int, cfg *settings.Platform, op *settings.Operator)) *testCluster {
	t.Helper()
	return newTestClusterWith(t, standin.Options{Lease: 2 * time.Second, Report: 20 * time.Millisecond, Soon: 10 * time.Millisecond,
		Types: []*standin.Type{{Name: "s4", Size: model.Size{CPUs: 4, MemoryGB: 16}, CacheGB: 50, FetchGBPerS: 100, Price: 1, SpotPrice: 0.4,
			Boot: 10 * time.Millisecond, Zones: []string{"a", "b"}}},
		Takes: func(*model.Job, int) time.Duration { return 50 * time.Millisecond }}, change...)
}

// newTestClusterWith starts a cluster with the given options for its machines. change adjusts each controller's
// settings. All goroutines of a controller carry its name as the profiling label "controller".
func newTestClusterWith(t testing.TB, machines standin.Options, change ...func(i int, platform *settings.Platform, operator *settings.Operator)) *testCluster {
	t.Helper()
	operator, err := settings.LoadOperator("")
	if err != nil {
		t.Fatal(err)
	}
	operator.Leadership.Hold, operator.Leadership.Poll, operator.Leadership.Grant = time.Second, 100*time.Millisecond, 500*time.Millisecond
	operator.Fleet.Tick = 100 * time.Millisecond
	s := &testCluster{TB: t, state: standin.NewState(), addrs: ports(t, 6)}
	members := map[string]string{}
	for i := range 3 {
		members[fmt.Sprintf("n%d", i)] = s.addrs[i]
	}
	machines.Nodes, machines.Jobs = members, s.state.Job
	s.cloud = standin.NewCloud(machines)
	t.Cleanup(func() {
		for _, stop := range s.stops {
			stop()
		}
		s.cloud.Close()
		s.state.CloseClientConnections()
		s.state.Close()
	})
	for i := range 3 {
		platform := s.platform(i, machines)
		for _, f := range change {
			f(i, platform, operator)
		}
		s.cfgs, s.op = append(s.cfgs, platform), operator
		s.stops, s.nodes = append(s.stops, nil), append(s.nodes, nil)
		s.start(i)
	}
	return s
}

// platform returns the settings of a controller.
func (s *testCluster) platform(i int, machines standin.Options) *settings.Platform {
	zones := []string{"a", "b", "c"}
	platform := &settings.Platform{
		Member: fmt.Sprintf("n%d", i), Zone: zones[i], Listen: s.addrs[i], PeerListen: s.addrs[3+i],
		CloudAddr: s.cloud.Listener.Addr().String(), StateAddr: s.state.Listener.Addr().String(),
		Teams:       map[string]model.Team{"t": {Name: "t"}},
		ReportEvery: machines.Report, Lease: machines.Lease, CancelWait: 4 * machines.Lease,
		StateRPS: 5000, StateWriteRPS: 1000, ValueBytes: 8192, WideValueBytes: 8192, TxnOps: 16, CloudRPS: 100, MemoryMB: 500, MaxConns: 400,
	}
	for k := range 3 {
		if k != i {
			platform.Siblings = append(platform.Siblings, settings.Sibling{Member: fmt.Sprintf("n%d", k), Zone: zones[k], Addr: s.addrs[3+k]})
		}
	}
	return platform
}

// start starts a controller.
func (s *testCluster) start(i int) {
	ctx, stop := context.WithCancel(context.Background())
	s.stops[i] = stop
	pprof.Do(ctx, pprof.Labels("controller", s.cfgs[i].Member), func(ctx context.Context) {
		ctrl, err := New(s.cfgs[i], s.op, slog.New(slog.NewTextHandler(io.Discard, nil)))
		if err != nil {
			s.Fatal(err)
		}
		s.nodes[i] = ctrl
		go func() { _ = ctrl.Run(ctx) }()
	})
}

// restart stops a controller and starts it again once its ports are free.
func (s *testCluster) restart(i int) {
	s.Helper()
	s.stops[i]()
	for _, addr := range []string{s.cfgs[i].Listen, s.cfgs[i].PeerListen} {
		for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(20 * time.Millisecond) {
			l, err := net.Listen("tcp4", addr)
			if err == nil {
				_ = l.Close()
				break
			}
			if time.Now().After(deadline) {
				s.Fatal(err)
			}
		}
	}
	s.start(i)
}

var client = &http.Client{Timeout: 3 * time.Second}

// request sends a request to the controllers in turn until one answers with a status other than 429 and 503.
func (s *testCluster) request(method, path, body string) (int, map[string]any) {
	s.Helper()
	deadline := time.Now().Add(30 * time.Second)
	for i := 0; time.Now().Before(deadline); i++ {
		req, err := http.NewRequest(method, "http://"+s.addrs[i%3]+path, strings.NewReader(body))
		if err != nil {
			s.Fatal(err)
		}
		resp, err := client.Do(req)
		if err != nil {
			continue
		}
		var v map[string]any
		_ = json.NewDecoder(resp.Body).Decode(&v)
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusServiceUnavailable && resp.StatusCode != http.StatusTooManyRequests {
			return resp.StatusCode, v
		}
	}
	s.Fatalf("%s %s: no answer", method, path)
	return 0, nil
}

// waitForJob polls a job until ok accepts its state.
func (s *testCluster) waitForJob(id string, ok func(v map[string]any) bool) {
	s.Helper()
	deadline := time.Now().Add(60 * time.Second)
	var v map[string]any
	for time.Now().Before(deadline) {
		var status int
		if status, v = s.request("GET", "/api/jobs/"+id, ""); status != 200 {
			s.Fatalf("job %s: %d %v", id, status, v)
		}
		if ok(v) {
			return
		}
	}
	s.Fatalf("job %s stays %v", id, v)
}

func done(v map[string]any) bool { return v["stage"] == "done" }

// job returns the request body that submits a job.
func job(id, shape string, tasks int) string {
	return fmt.Sprintf(`{"nameId":%q,"docket":"d","crew":"t","shape":%q,"rank":"low","pieces":%d,"cpus":2,"cards":0,"memoryGb":1,
"kit":"i","sizeGb":1,"together":false,"apart":false,"loaners":false,"guessS":1,"snapshotEveryS":0,"snapshotCostS":0}`, id, shape, tasks)
}

// TestControllers runs controllers over real sockets against fakes: jobs of every shape, a cancellation, an outage
// of the state service, the loss of the leader, and invalid input. Everything is recorded, and a replay of the
// recording must make the same decisions.
func TestControllers(t *testing.T) {
	s := newTestCluster(t)
	written, check := s.follow()
	defer check()
	s.runEveryShape()
	s.reloadSettings()
	s.surviveOutage()
	written()
	left := s.stopKnownLeader()
	s.finishAfterTakeover()
	s.answerBadInput(left[0])
}

// runEveryShape runs a job of every shape and repeats a submission.
func (s *testCluster) runEveryShape() {
	s.Helper()
	for id, body := range map[string]string{
		"array": job("array", "batch", 12), "gang": job("gang", "gang", 3), "stays": job("stays", "standing", 2),
	} {
		if status, v := s.request("POST", "/api/jobs", body); status != 201 {
			s.Fatalf("%s: %d %v", id, status, v)
		}
	}
	if status, _ := s.request("POST", "/api/jobs", job("array", "batch", 12)); status != 200 {
		s.Errorf("a repeat got %d", status)
	}
	s.waitForJob("array", done)
	s.waitForJob("gang", done)
	s.waitForJob("stays", func(v map[string]any) bool { return v["stage"] == "running" && s.cloud.Running() == 2 })
}

// reloadSettings reloads settings, which are part of the recording.
func (s *testCluster) reloadSettings() {
	s.Helper()
	reload := &operatorspb.Request{What: &operatorspb.Request_Reload{Reload: &operatorspb.ReloadRequest{Text: `(marlwood (fleet (idle "9s")))`}}}
	if out, err := s.requestAsOperator(nil, reload); err != nil || out.GetReload().Number != 1 || len(out.GetReload().Adopted) != 3 {
		s.Errorf("reload: %v, %v", out, err)
	}
}

// surviveOutage checks that no task is lost in an outage of the state service that is shorter than the leader lease.
func (s *testCluster) surviveOutage() {
	s.Helper()
	s.state.Refuse(true)
	resp, err := client.Post("http://"+s.addrs[0]+"/api/jobs", "application/json", strings.NewReader(job("late", "batch", 1)))
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		s.Errorf("submission in an outage: %v, %v", resp, err)
	}
	s.state.Refuse(false)
	if s.cloud.Running() != 2 {
		s.Errorf("%d tasks run after the outage", s.cloud.Running())
	}
}

// stopKnownLeader stops the leader, fails the test if no leader was known, and returns the indices of the remaining
// controllers.
func (s *testCluster) stopKnownLeader() (left []int) {
	s.Helper()
	leader, token := s.nodes[0].leader()
	down := s.stopLeader()
	for i := range 3 {
		if !down[i] {
			left = append(left, i)
		}
	}
	if len(left) != 2 || token == 0 {
		s.Fatalf("want two remaining controllers and a known leader; leader %q under token %d", leader, token)
	}
	return left
}

// finishAfterTakeover checks that the remaining controllers run a new job, cancel a running one and
// still report a finished one.
func (s *testCluster) finishAfterTakeover() {
	s.Helper()
	if status, v := s.request("POST", "/api/jobs", job("after", "batch", 5)); status != 201 {
		s.Fatalf("submission after the loss of the leader: %d %v", status, v)
	}
	s.waitForJob("after", done)
	if status, v := s.request("POST", "/api/jobs/stays/cancel", ""); status != 200 || v["stage"] != "aborted" {
		s.Errorf("cancellation after the loss of the leader: %d %v", status, v)
	}
	deadline := time.Now().Add(8 * time.Second)
	for s.cloud.Running() > 0 {
		if time.Now().After(deadline) {
			s.Fatal("tasks of a cancelled job are still running")
		}
		s.request("GET", "/api/jobs/stays", "")
	}
	if status, v := s.request("GET", "/api/jobs/array", ""); status != 200 || !done(v) {
		s.Errorf("state of the finished job: %v", v)
	}
	if broken := s.cloud.Broken(); len(broken) > 0 {
		s.Errorf("ran twice: %v", broken)
	}
}

// badInput is a request and the expected response.
type badInput struct {
	name   string
	send   string
	status int
	closes bool // whether the connection is closed after the response
}

// answerBadInput checks the responses to invalid requests and to a health check.
func (s *testCluster) answerBadInput(node int) {
	s.Helper()
	for _, c := range []badInput{
		{"malformed", "NONSENSE\r\n\r\n", 400, true},
		{"oversized", "POST /api/jobs HTTP/1.1\r\nContent-Length: 99999\r\n\r\n", 400, true},
		{"unknown path", "GET /other HTTP/1.1\r\n\r\n", 404, false},
		{"unknown job", "GET /api/jobs/none HTTP/1.1\r\n\r\n", 404, false},
		{"wrong method", "DELETE /api/jobs HTTP/1.1\r\n\r\n", 405, false},
		{"wrong method for heartbeats", "GET /checkin HTTP/1.1\r\n\r\n", 405, false},
		{"invalid heartbeat", "POST /checkin HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}", 400, false},
		{"not a job", "POST /api/jobs HTTP/1.1\r\nContent-Length: 2\r\n\r\n[]", 400, false},
		{"health", "GET /up HTTP/1.1\r\n\r\n", 200, false},
	} {
		s.checkBadInput(node, c)
	}
}

func (s *testCluster) checkBadInput(node int, c badInput) {
	s.Helper()
	conn, err := net.Dial("tcp4", s.addrs[node])
	if err != nil {
		s.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	_, _ = io.WriteString(conn, c.send)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		s.Fatalf("%s: %v", c.name, err)
	}
	body, _ := io.ReadAll(resp.Body)
	if resp.StatusCode != c.status || !json.Valid(body) {
		s.Errorf("%s: %d %q", c.name, resp.StatusCode, body)
	}
	if c.closes && !resp.Close {
		s.Errorf("%s: the connection is not closed", c.name)
	}
	if !bytes.Contains(body, []byte("error")) && c.status >= 400 {
		s.Errorf("%s: the body has no error: %q", c.name, body)
	}
}

// leader returns the name of the leader that a controller knows, and the leader's token.
func (c *Controller) leader() (string, uint64) {
	type answer struct {
		name  string
		token uint64
	}
	ch := make(chan answer, 1)
	c.post(func() { name, token := c.registry.Leader(); ch <- answer{name, token} })
	a := <-ch
	return a.name, a.token
}
