package controller

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/marlwood/marlwood/internal/operators/operatorspb"
	"github.com/marlwood/marlwood/internal/placement"
	"github.com/marlwood/marlwood/internal/store"
)

// requestAsOperator sends an operator's request to the controllers that are up, in turn, until one gives a final
// answer: it retries errors that may be temporary.
func (s *testCluster) requestAsOperator(down map[int]bool, r *operatorspb.Request) (*operatorspb.Reply, error) {
	deadline := time.Now().Add(30 * time.Second)
	for i := 0; ; i++ {
		if down[i%3] {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		r.Hops = 0
		r.Caller = &operatorspb.Caller{Name: "anna", Role: "operator"}
		out, err := s.nodes[i%3].HandleOperatorRequest(ctx, r)
		cancel()
		switch status.Code(err) {
		case codes.Unavailable, codes.DeadlineExceeded, codes.Unknown, codes.Canceled:
			if time.Now().Before(deadline) {
				time.Sleep(20 * time.Millisecond)
				continue
			}
		}
		return out, err
	}
}

func (s *testCluster) drains() []*operatorspb.Drain {
	out, err := s.requestAsOperator(s.down, &operatorspb.Request{What: &operatorspb.Request_Drains{Drains: &operatorspb.DrainsRequest{}}})
	if err != nil {
		s.Fatal(err)
	}
	return out.GetDrains().Rows
}

func drainOf(q *operatorspb.DrainRequest) *operatorspb.Request {
	return &operatorspb.Request{What: &operatorspb.Request_Drain{Drain: q}}
}

func code(err error) codes.Code { return status.Code(err) }

// Checks drains and operators' queries on controllers over real sockets. A drain is recorded before it is answered, is
// kept by the next leader, is refused if its target does not exist or its capacity is needed, and is ended by an
// undrain. No task starts on a drained machine, and a gang that has a member there completes whole.
func TestDrainsAndQueriesAcrossTakeover(t *testing.T) {
	s := newTestCluster(t)
	for id, body := range map[string]string{"stays": job("stays", "standing", 3), "gang": job("gang", "gang", 3)} {
		if status, v := s.request("POST", "/api/jobs", body); status != 201 {
			t.Fatalf("%s: %d %v", id, status, v)
		}
	}
	s.waitForJob("stays", func(v map[string]any) bool { return v["stage"] == "running" && s.cloud.Running() >= 3 })
	s.checkRefusedDrains()
	busy := s.machineOf("stays")
	s.checkDrainRecorded(busy)
	// The leader is stopped right after the drain, and the next leader continues the drain. During an outage of the
	// state service, a new drain is refused.
	s.down = s.stopLeader()
	s.awaitDrained(busy)
	s.checkDrainInOutage()
	rows := s.drains()
	if len(rows) != 1 || rows[0].Target != "node/"+busy || !rows[0].Keep || rows[0].Reason != "fan" {
		t.Errorf("%v", rows)
	}
	if status, v := s.request("POST", "/api/jobs", job("more", "batch", 12)); status != 201 {
		t.Fatalf("%d %v", status, v)
	}
	s.waitForJob("more", done)
	s.waitForJob("gang", done)
	if !slices.Contains(s.cloud.Machines(), busy) {
		t.Error("a drained machine that was to be kept was returned")
	}
	s.checkUndrain(busy)
	s.checkExplain()
	s.checkQueries()
	if broken := s.cloud.Broken(); len(broken) > 0 {
		t.Error(broken)
	}
}

// checkRefusedDrains checks that invalid drains, and a drain of all capacity, are refused.
func (s *testCluster) checkRefusedDrains() {
	s.Helper()
	for _, c := range []struct {
		name    string
		request *operatorspb.DrainRequest
		want    codes.Code
	}{
		{"nothing named", &operatorspb.DrainRequest{}, codes.InvalidArgument},
		{"two named", &operatorspb.DrainRequest{Node: "vm-000001", Zone: "a"}, codes.InvalidArgument},
		{"no such node", &operatorspb.DrainRequest{Node: "vm-999999"}, codes.NotFound},
		{"no such zone", &operatorspb.DrainRequest{Zone: "z"}, codes.NotFound},
		{"no such type", &operatorspb.DrainRequest{Type: "huge"}, codes.NotFound},
		{"not a name", &operatorspb.DrainRequest{Node: "a/b"}, codes.InvalidArgument},
		{"a deadline in the past", &operatorspb.DrainRequest{Zone: "a", DeadlineS: -1}, codes.InvalidArgument},
		{"a reason of two lines", &operatorspb.DrainRequest{Zone: "a", Reason: "x\ny"}, codes.InvalidArgument},
		{"every machine", &operatorspb.DrainRequest{Type: "s4"}, codes.FailedPrecondition},
	} {
		if _, err := s.requestAsOperator(nil, drainOf(c.request)); code(err) != c.want {
			s.Errorf("%s: %v", c.name, err)
		}
	}
}

// machineOf returns the name of a machine that runs a task of a job.
func (s *testCluster) machineOf(job string) string {
	s.Helper()
	var busy string
	for _, name := range s.cloud.Machines() {
		if slices.ContainsFunc(s.cloud.On(name), func(task string) bool { return strings.HasPrefix(task, job+"/") }) {
			busy = name
		}
	}
	if busy == "" {
		s.Fatal("no machine runs a task of the job")
	}
	return busy
}

// checkDrainRecorded checks that a drain is recorded when it is answered, that the same request is accepted again, and
// that a different request for the same machine is refused.
func (s *testCluster) checkDrainRecorded(machine string) {
	s.Helper()
	request := &operatorspb.DrainRequest{Node: machine, DeadlineS: 1, Keep: true, Reason: "fan"}
	out, err := s.requestAsOperator(nil, drainOf(request))
	if err != nil || out.GetDrain().Drain.Target != "node/"+machine || out.GetDrain().Drain.Who != "anna" {
		s.Fatalf("%v, %v", out, err)
	}
	if !s.state.Has(placement.DrainPrefix + "node/" + machine) {
		s.Error("the drain was answered before it was recorded")
	}
	// The same request is accepted again; a different one is refused.
	repeated := &operatorspb.DrainRequest{Node: machine, DeadlineS: 1, Keep: true, Reason: "fan"}
	if _, err := s.requestAsOperator(nil, drainOf(repeated)); err != nil {
		s.Errorf("repeated drain: %v", err)
	}
	another := &operatorspb.DrainRequest{Node: machine, Reason: "other"}
	if _, err := s.requestAsOperator(nil, drainOf(another)); code(err) != codes.AlreadyExists {
		s.Errorf("different drain of the same machine: %v", err)
	}
}

// awaitDrained waits until no task runs on a drained machine, and checks that no new task starts there.
func (s *testCluster) awaitDrained(machine string) {
	s.Helper()
	before := map[string]bool{}
	for _, task := range s.cloud.On(machine) {
		before[task] = true
	}
	deadline := time.Now().Add(30 * time.Second)
	for len(s.cloud.On(machine)) > 0 && time.Now().Before(deadline) {
		for _, task := range s.cloud.On(machine) {
			if !before[task] {
				s.Fatalf("%s started on a drained machine", task)
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	if on := s.cloud.On(machine); len(on) > 0 {
		s.Fatalf("%v still run on the drained machine", on)
	}
}

// checkDrainInOutage checks that a drain is refused while the state service refuses requests.
func (s *testCluster) checkDrainInOutage() {
	s.Helper()
	s.state.Refuse(true)
	defer s.state.Refuse(false)
	request := drainOf(&operatorspb.DrainRequest{Zone: "a", Force: true})
	if _, err := s.nodes[runningController(s.down)].HandleOperatorRequest(s.Context(), request); code(err) != codes.Unavailable {
		s.Errorf("drain during an outage: %v", err)
	}
}

// checkUndrain checks that an undrain ends the only drain, and that a second undrain is refused.
func (s *testCluster) checkUndrain(machine string) {
	s.Helper()
	undrain := func() error {
		_, err := s.requestAsOperator(s.down, &operatorspb.Request{What: &operatorspb.Request_Undrain{Undrain: &operatorspb.UndrainRequest{Node: machine}}})
		return err
	}
	if err := undrain(); err != nil {
		s.Errorf("undrain: %v", err)
	}
	if s.state.Has(placement.DrainPrefix+"node/"+machine) || len(s.drains()) != 0 {
		s.Error("the drain still exists after its undrain")
	}
	if err := undrain(); code(err) != codes.NotFound {
		s.Errorf("second undrain: %v", err)
	}
}

// stopLeader stops the leader's process, and returns which controllers are down.
func (s *testCluster) stopLeader() map[int]bool {
	s.Helper()
	leader, _ := s.nodes[0].leader()
	down := map[int]bool{}
	for i, controller := range s.nodes {
		if controller.cfg.Member == leader {
			s.stops[i]()
			down[i] = true
		}
	}
	return down
}

// runningController returns the index of a controller that is up.
func runningController(down map[int]bool) int {
	for i := range 3 {
		if !down[i] {
			return i
		}
	}
	return 0
}

// checkExplain checks the explanations for a running job, an unknown job, an invalid id and a finished job.
func (s *testCluster) checkExplain() {
	s.Helper()
	explain := func(id string) (*operatorspb.ExplainResponse, error) {
		out, err := s.requestAsOperator(s.down, &operatorspb.Request{What: &operatorspb.Request_Explain{Explain: &operatorspb.ExplainRequest{Job: id}}})
		return out.GetExplain(), err
	}
	if out, err := explain("stays"); err != nil || out.Job.Placed != 3 || out.Reasons[0].Code != placement.CodeRunning {
		s.Errorf("running job: %v, %v", out, err)
	}
	if _, err := explain("none"); code(err) != codes.NotFound {
		s.Errorf("unknown job: %v", err)
	}
	if _, err := explain("a/b"); code(err) != codes.InvalidArgument {
		s.Errorf("invalid id: %v", err)
	}
	if _, err := explain("more"); code(err) != codes.FailedPrecondition || !strings.Contains(err.Error(), "done") {
		s.Errorf("finished job: %v", err)
	}
}

// checkQueries checks the answers of the other queries, while only the replicas of one job run.
func (s *testCluster) checkQueries() {
	s.Helper()
	for _, c := range []struct {
		name    string
		request *operatorspb.Request
		ok      func(*operatorspb.Reply) bool
	}{
		{"jobs", &operatorspb.Request{What: &operatorspb.Request_Jobs{Jobs: &operatorspb.JobsRequest{}}}, func(out *operatorspb.Reply) bool {
			rows := out.GetJobs().Rows
			return len(rows) == 1 && rows[0].Id == "stays"
		}},
		{"nodes", &operatorspb.Request{What: &operatorspb.Request_Nodes{Nodes: &operatorspb.NodesRequest{}}}, func(out *operatorspb.Reply) bool {
			return len(out.GetNodes().Rows) > 0
		}},
		{"teams", &operatorspb.Request{What: &operatorspb.Request_Teams{Teams: &operatorspb.TeamsRequest{}}}, func(out *operatorspb.Reply) bool {
			rows := out.GetTeams().Rows
			return len(rows) == 1 && rows[0].Cpus == 6
		}},
		{"blockers", &operatorspb.Request{What: &operatorspb.Request_Blockers{Blockers: &operatorspb.BlockersRequest{Job: "stays"}}}, func(out *operatorspb.Reply) bool {
			return out.GetBlockers().Pieces == 0
		}},
		{"status", &operatorspb.Request{What: &operatorspb.Request_Status{Status: &operatorspb.StatusRequest{}}}, func(out *operatorspb.Reply) bool {
			return out.GetStatus().Complete && out.GetStatus().Jobs == 1
		}},
	} {
		out, err := s.requestAsOperator(s.down, c.request)
		if err != nil {
			s.Errorf("%s: %v", c.name, err)
			continue
		}
		if !c.ok(out) {
			s.Errorf("%s: %v", c.name, out)
		}
	}
}

// Checks that the reply to a drain is an error if its record has changed. Another operator may have ended the drain, or
// ended it and drained again, while the reply waited (found by the explorer, seed 50063006).
func TestDrainReplyChecksRecord(t *testing.T) {
	for _, c := range []struct {
		name    string
		records map[string]store.Item
		want    codes.Code
	}{
		{"record unchanged", map[string]store.Item{"ops/drain/zone/a": {Key: "ops/drain/zone/a", Revision: 7}}, codes.OK},
		{"ended", map[string]store.Item{}, codes.Aborted},
		{"ended and drained again", map[string]store.Item{"ops/drain/zone/a": {Key: "ops/drain/zone/a", Revision: 8}}, codes.Aborted},
	} {
		term, _, _ := newLeadingTerm(t)
		got := codes.Code(99)
		term.drains.records = c.records
		term.drains.pending = []pendingDrain{{target: "zone/a", key: "ops/drain/zone/a", revision: 7, deadline: time.Now().Add(time.Minute),
			reply: func(_ *operatorspb.Reply, err error) { got = code(err) }}}
		term.answerPendingDrains(time.Now())
		if got != c.want || len(term.drains.pending) != 0 {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}
