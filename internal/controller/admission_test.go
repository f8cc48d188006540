package controller

import (
	"testing"
	"time"

	"github.com/marlwood/marlwood/internal/httpwire"
	"github.com/marlwood/marlwood/internal/model"
)

// TestHealthChecksDuringHeartbeatBurst checks that a controller with a full heartbeat queue refuses further heartbeats
// with a Retry-After and still passes health checks, and that it fails them once its event loop has stalled.
func TestHealthChecksDuringHeartbeatBurst(t *testing.T) {
	term, _, _ := newLeadingTerm(t)
	ctrl := term.ctrl
	env, _ := ctrl.env.(*liveEnvironment)
	ctrl.setTypes(map[string]model.MachineType{"big": {Name: "big", Zones: []string{"a"}}})
	ctrl.noteStoreContact(time.Now())
	ctrl.contacts.tick.set(time.Since(ctrl.startedAt))
	ask := func(method, path, body string) (status, retry int) {
		status = -1
		ctrl.serveHTTP(&httpwire.Request{Method: method, Path: path, Body: []byte(body)}, func(a httpwire.Answer) { status, retry = a.Status, a.RetryAfter })
		return status, retry
	}
	const heartbeat = `{"berth":"m1","addr":"x:1","hull":"big","yard":"a","shift":1,"tally":1,"baton":7,"pieces":[]}`
	for range cap(env.heartbeats) {
		if status, _ := ask("POST", "/checkin", heartbeat); status != -1 {
			t.Fatalf("a heartbeat is answered with status %d before the event loop handled it", status)
		}
	}
	if status, retry := ask("POST", "/checkin", heartbeat); status != 503 || retry < 1 || retry > 3 {
		t.Errorf("a heartbeat beyond the queue is answered with status %d and Retry-After %d s", status, retry)
	}
	if status, _ := ask("GET", "/up", ""); status != 200 {
		t.Errorf("a health check is answered with status %d while heartbeats are queued", status)
	}
	ctrl.contacts.tick.set(time.Since(ctrl.startedAt) - 4*time.Second)
	if status, _ := ask("GET", "/up", ""); status != 503 {
		t.Errorf("a health check is answered with status %d although the event loop has stalled", status)
	}
}

// TestLateHeartbeatsAreDropped checks that a heartbeat that waited in the queue longer than heartbeatQueueWait
// is refused.
func TestLateHeartbeatsAreDropped(t *testing.T) {
	t.Parallel()
	term, _, _ := newLeadingTerm(t)
	ctrl := term.ctrl
	env, _ := ctrl.env.(*liveEnvironment)
	status := 0
	ctrl.serveHTTP(&httpwire.Request{Method: "POST", Path: "/checkin",
		Body: []byte(`{"berth":"m9","addr":"x:1","hull":"big","yard":"a","shift":1,"tally":1,"baton":7,"pieces":[]}`)},
		func(a httpwire.Answer) { status = a.Status })
	time.Sleep(heartbeatQueueWait + 50*time.Millisecond)
	(<-env.heartbeats)()
	if status != 503 {
		t.Errorf("a heartbeat that waited too long is answered with status %d", status)
	}
}
