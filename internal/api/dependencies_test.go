package api

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/marlwood/marlwood/internal/placement"
	"github.com/marlwood/marlwood/internal/store"
)

// submissionNeeding returns the submission of a job with dependencies.
func submissionNeeding(id string, needs ...string) []byte {
	list := `[]`
	if len(needs) > 0 {
		list = `["` + strings.Join(needs, `","`) + `"]`
	}
	return submissionBody(`"req-1"`, `"`+id+`"`, `"pieces":3`, `"pieces":3,"awaits":`+list)
}

// releaseJob turns the waiting record of req-2 into an open one, as the leader does when its dependencies are done.
func releaseJob(t *testing.T, fake *fakeStore) {
	t.Helper()
	const id = "req-2"
	var r placement.JobRecord
	if err := json.Unmarshal(fake.keys["job-waiting/"+id].Value, &r); err != nil {
		t.Fatal(err)
	}
	r.Job.Needs = nil
	fake.change(store.Put("job/"+id, r))
	fake.change(store.Delete("job-waiting/" + id))
}

func TestSubmitWithDependencies(t *testing.T) {
	ctx := context.Background()
	for _, c := range []struct {
		name    string
		prepare func(server *Server, fake *fakeStore)
		body    []byte
		want    string
		key     string // prefix of the key under which the job is stored
	}{
		{"on an open job", nil, submissionNeeding("req-2", "req-1"), "201 queued", "job-waiting/"},
		{"on no job", nil, submissionNeeding("req-2"), "201 queued", "job/"},
		{"null", nil, submissionBody(`"req-1"`, `"req-2"`, `"pieces":3`, `"pieces":3,"awaits":null`), "201 queued", "job/"},
		{"duplicate dependency", nil, submissionNeeding("req-2", "req-1", "req-1"), "201 queued", "job-waiting/"},
		{"on a done job that no cache holds", func(_ *Server, fake *fakeStore) { finishJob(fake) }, submissionNeeding("req-2", "req-1"), "201 queued", "job/"},
		{"on a cancelled job", func(server *Server, _ *fakeStore) { server.Cancel(ctx, "req-1") }, submissionNeeding("req-2", "req-1"), "201 aborted", "done/"},
		{"on a waiting job", func(server *Server, _ *fakeStore) { server.Submit(ctx, submissionNeeding("req-3", "req-1")) },
			submissionNeeding("req-2", "req-3"), "201 queued", "job-waiting/"},
		{"on a job that was never submitted", nil, submissionNeeding("req-2", "req-1", "req-9"), "422 ", ""},
		{"on an invalid id", nil, submissionNeeding("req-2", "req 1"), "422 ", ""},
		{"on itself", nil, submissionNeeding("req-2", "req-2"), "422 ", ""},
		{"not a list", nil, submissionBody(`"req-1"`, `"req-2"`, `"pieces":3`, `"pieces":3,"awaits":"req-1"`), "400 ", ""},
		{"not strings", nil, submissionBody(`"req-1"`, `"req-2"`, `"pieces":3`, `"pieces":3,"awaits":[1]`), "400 ", ""},
		{"null in the list", nil, submissionBody(`"req-1"`, `"req-2"`, `"pieces":3`, `"pieces":3,"awaits":[null]`), "400 ", ""},
		{"store outage", func(_ *Server, fake *fakeStore) { fake.refuse = true }, submissionNeeding("req-2", "req-1"), "503 ", ""},
		{"store outage, dependency never submitted", func(_ *Server, fake *fakeStore) { fake.refuse = true }, submissionNeeding("req-2", "req-9"), "503 ", ""},
		{"response to the commit is lost", func(_ *Server, fake *fakeStore) { fake.lostResponses = 1 }, submissionNeeding("req-2", "req-1"), "200 queued", "job-waiting/"},
		{"repeated", func(server *Server, _ *fakeStore) { server.Submit(ctx, submissionNeeding("req-2", "req-1")) }, submissionNeeding("req-2", "req-1"),
			"200 queued", "job-waiting/"},
		{"repeated after its release", func(server *Server, fake *fakeStore) {
			server.Submit(ctx, submissionNeeding("req-2", "req-1"))
			releaseJob(t, fake)
		}, submissionNeeding("req-2", "req-1"), "200 queued", "job/"},
		{"repeated after its dependency was cancelled", func(server *Server, _ *fakeStore) {
			server.Submit(ctx, submissionNeeding("req-2", "req-1"))
			server.Cancel(ctx, "req-1")
		}, submissionNeeding("req-2", "req-1"), "200 aborted", "done/"},
	} {
		t.Run(c.name, func(t *testing.T) {
			server, fake := setup(t)
			if a := server.Submit(ctx, submissionBody()); a.Status != http.StatusCreated {
				t.Fatal(a.Status)
			}
			if c.prepare != nil {
				c.prepare(server, fake)
			}
			if got := statusAndStage(t, server.Submit(ctx, c.body)); got != c.want {
				t.Errorf("got %s", got)
			}
			for _, prefix := range []string{"job/", "job-waiting/", "done/"} {
				if _, kept := fake.keys[prefix+"req-2"]; kept != (prefix == c.key) {
					t.Errorf("stored under %s: %v", prefix, kept)
				}
			}
		})
	}
}

// Without a leader, a query for a dependent of a cancelled job must cancel the dependent. Whatever happens to a
// dependency and its dependent, no answer may report that a job waits for a cancelled one.
func TestStatusOfDependents(t *testing.T) {
	ctx := context.Background()
	for _, c := range []struct {
		name        string
		do          func(server *Server, fake *fakeStore)
		ask, cancel string
	}{
		{"waits", func(*Server, *fakeStore) {}, "200 queued", "200 aborted"},
		{"its dependency is done, the leader is behind", func(_ *Server, fake *fakeStore) { finishJob(fake) }, "200 queued", "200 aborted"},
		{"released", func(_ *Server, fake *fakeStore) { releaseJob(t, fake) }, "200 queued", "200 aborted"},
		{"queried, then released", func(server *Server, fake *fakeStore) { server.Status(ctx, "req-2"); releaseJob(t, fake) }, "200 queued", "200 aborted"},
		{"its dependency is cancelled", func(server *Server, _ *fakeStore) { server.Cancel(ctx, "req-1") }, "200 aborted", "200 aborted"},
		{"a transitive dependency is cancelled", func(server *Server, _ *fakeStore) {
			server.Submit(ctx, submissionNeeding("req-4", "req-2"))
			server.Status(ctx, "req-4")
			server.Cancel(ctx, "req-1")
			if got := statusAndStage(t, server.Status(ctx, "req-4")); got != "200 aborted" {
				t.Errorf("transitive dependent: got %s, want 200 aborted", got)
			}
		}, "200 aborted", "200 aborted"},
		{"its dependency is cancelled, then the store refuses requests", func(server *Server, fake *fakeStore) { server.Cancel(ctx, "req-1"); fake.refuse = true }, "503 ", "503 "},
		{"released while being cancelled", func(_ *Server, fake *fakeStore) { fake.beforeCommit = func() { releaseJob(t, fake) } },
			"200 queued", "200 aborted"},
	} {
		t.Run(c.name, func(t *testing.T) {
			server, fake := setup(t)
			server.Submit(ctx, submissionBody())
			if a := server.Submit(ctx, submissionNeeding("req-2", "req-1")); a.Status != http.StatusCreated {
				t.Fatal(a.Status)
			}
			c.do(server, fake)
			if got := statusAndStage(t, server.Status(ctx, "req-2")); got != c.ask {
				t.Errorf("status query: got %s", got)
			}
			if got := statusAndStage(t, server.Cancel(ctx, "req-2")); got != c.cancel {
				t.Errorf("cancellation: got %s", got)
			}
		})
	}
}

// The two events of a released job arrive in any order. If the deletion of the waiting record were
// treated as the end of the job, the job would be reported as unknown.
func TestReleaseEventsInAnyOrder(t *testing.T) {
	openSet := store.Event{Set: "job/req-2", Value: []byte(`{"started":true}`), Revision: 5}
	waitingDeleted := store.Event{Delete: "job-waiting/req-2", Revision: 5}
	for _, events := range [][]store.Event{{openSet, waitingDeleted}, {waitingDeleted, openSet}} {
		server, _ := setup(t)
		server.statuses.jobs["req-2"] = openJob{waiting: true}
		for _, e := range events {
			server.statuses.applyEvent(e)
		}
		if p, ok := server.statuses.lookup("req-2"); !ok || p.waiting || !p.Started {
			t.Errorf("got %+v, cached: %v", p, ok)
		}
	}
}

// A submission that is too large is rejected at once and not stored. Three limits apply: that of new
// records, which leaves space for completion data, that of any value, and that of the store itself.
func TestOversizedSubmissionIsRejected(t *testing.T) {
	ctx := context.Background()
	many := make([]string, 40)
	server, fake := setup(t)
	server.options.RecordBytes, server.options.ValueBytes = 1024, 1984
	for i := range many {
		many[i] = fmt.Sprintf("req-%06d", i)
		server.Submit(ctx, submissionBody(`"req-1"`, `"`+many[i]+`"`))
	}
	if got := statusAndStage(t, server.Submit(ctx, submissionNeeding("req-2", many...))); got != "201 queued" {
		t.Errorf("forty dependencies: got %s, want 201 queued", got)
	}
	if got := statusAndStage(t, server.Submit(ctx, submissionBody(`"kit":"i"`, `"kit":"`+strings.Repeat("i", 1000)+`"`))); got != "400 " {
		t.Errorf("long image name: got %s, want 400", got)
	}
	server.options.ValueBytes = 700
	if got := statusAndStage(t, server.Submit(ctx, submissionNeeding("req-3", many...))); got != "400 " {
		t.Errorf("dependencies exceed the limit of a value: got %s, want 400", got)
	}
	fake.tooLarge = true
	if got := statusAndStage(t, server.Submit(ctx, submissionBody())); got != "400 " {
		t.Errorf("store has a lower limit than the settings: got %s, want 400", got)
	}
}

// A restarted controller with an empty cache must not read waiting jobs one by one: one listing fills
// the cache. After that, a job in a final stage costs one read and an unknown job three.
func TestRestartedControllerListsJobs(t *testing.T) {
	ctx := context.Background()
	server, fake := setup(t)
	server.Submit(ctx, submissionBody())
	for i := range 500 {
		server.Submit(ctx, submissionNeeding(fmt.Sprintf("req-%d", 1000+i), "req-1"))
	}
	fresh, err := New(server.options, fake)
	if err != nil {
		t.Fatal(err)
	}
	fake.refreshes, fake.reads = 0, 0
	for i := range 500 {
		if got := statusAndStage(t, fresh.Status(ctx, fmt.Sprintf("req-%d", 1000+i))); got != "200 queued" {
			t.Fatalf("got %s", got)
		}
	}
	if fake.reads > 0 {
		t.Errorf("500 waiting jobs cost %d reads, want none", fake.reads)
	}
	if got := statusAndStage(t, fresh.Status(ctx, "req-9")); got != "404 " || fake.reads != 3 {
		t.Errorf("unknown job: got %s after %d reads", got, fake.reads)
	}
	finishJob(fake)
	if got := statusAndStage(t, fresh.Status(ctx, "req-1")); got != "200 done" || fake.reads != 4 {
		t.Errorf("done job: got %s after %d reads", got, fake.reads)
	}
}
