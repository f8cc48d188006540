package controller

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// pipelineJob returns the submission of a job that depends on others.
func pipelineJob(id string, tasks int, dependencies ...string) string {
	list := "[]"
	if len(dependencies) > 0 {
		list = `["` + strings.Join(dependencies, `","`) + `"]`
	}
	return strings.Replace(job(id, "batch", tasks), `"pieces"`, `"awaits":`+list+`,"pieces"`, 1)
}

// stageOf queries the stage of a job.
func (s *testCluster) stageOf(id string) string {
	_, v := s.request("GET", "/api/jobs/"+id, "")
	return fmt.Sprint(v["stage"])
}

// TestPipelines runs a diamond of dependent jobs over real sockets while the state service lowers its
// limits and the leader is stopped. No job starts before its dependencies are done, and a cancellation
// reaches all direct and indirect dependents, including those submitted later.
func TestPipelines(t *testing.T) {
	s := newTestCluster(t)
	submit := func(body string) {
		if status, v := s.request("POST", "/api/jobs", body); status != 201 {
			t.Fatalf("%s: %d %v", body, status, v)
		}
	}
	submit(job("stays", "standing", 1))
	submit(pipelineJob("hopeless", 1, "stays"))
	submit(pipelineJob("hopeless2", 1, "hopeless"))
	submit(pipelineJob("a", 3))
	submit(pipelineJob("b", 2, "a"))
	submit(pipelineJob("c", 2, "a"))
	submit(pipelineJob("d", 2, "b", "c", "b"))
	if status, _ := s.request("POST", "/api/jobs", pipelineJob("x", 1, "a", "unheard")); status != 422 {
		t.Errorf("a job that depends on an unknown job is answered with status %d", status)
	}
	s.state.Limit(2048, 5)
	s.checkDiamond()
	if stage := s.stageOf("hopeless2"); stage != "queued" {
		t.Errorf("hopeless2 is in stage %s", stage)
	}
	s.checkCancellationSpreads()
	if broken := s.cloud.Broken(); len(broken) > 0 {
		t.Errorf("tasks that ran twice: %v", broken)
	}
}

// checkDiamond checks the order of the jobs a, b, c and d until d is done, and stops the leader when a is done.
func (s *testCluster) checkDiamond() {
	s.Helper()
	deadline := time.Now().Add(40 * time.Second)
	leaderStopped := false
	for s.stageOf("d") != "done" {
		if time.Now().After(deadline) {
			s.Fatalf("the jobs are not done in time: a %s, b %s, c %s, d %s",
				s.stageOf("a"), s.stageOf("b"), s.stageOf("c"), s.stageOf("d"))
		}
		for _, pair := range []string{"ba", "ca", "db", "dc"} {
			if later := s.stageOf(pair[:1]); later != "queued" && s.stageOf(pair[1:]) != "done" {
				s.Fatalf("%s is in stage %s before %s is done", pair[:1], later, pair[1:])
			}
		}
		if !leaderStopped && s.stageOf("a") == "done" {
			leaderStopped = true
			s.stopLeader()
		}
	}
}

// checkCancellationSpreads cancels a job and checks that its dependents are cancelled too.
func (s *testCluster) checkCancellationSpreads() {
	s.Helper()
	if status, v := s.request("POST", "/api/jobs/stays/cancel", ""); status != 200 || v["stage"] != "aborted" {
		s.Fatalf("cancellation is answered with status %d: %v", status, v)
	}
	if got := s.stageOf("hopeless2"); got != "aborted" {
		s.Errorf("after the cancellation hopeless2 is in stage %s", got)
	}
	if _, v := s.request("POST", "/api/jobs", pipelineJob("hopeless3", 1, "hopeless2", "a")); v["stage"] != "aborted" {
		s.Errorf("a dependent submitted after the cancellation: %v", v)
	}
	// No query asks for this job: the leader must cancel it by itself.
	for deadline := time.Now().Add(10 * time.Second); s.state.Has("job-waiting/hopeless"); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			s.Fatal("the leader did not cancel a dependent of the cancelled job")
		}
	}
	if got := s.stageOf("hopeless"); got != "aborted" {
		s.Errorf("hopeless is in stage %s", got)
	}
}
