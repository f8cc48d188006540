package workers

import (
	"net/http"
	"testing"
)

// A machine of another owner's pool is redirected, and its heartbeat is reported to the leader. While the
// owner receives no heartbeats from the pool, the machine is redirected to another controller and not to
// the owner.
func TestMisdirectedHeartbeats(t *testing.T) {
	for _, test := range []struct {
		name      string
		elsewhere []string
		status    int
		redirect  string
	}{
		{name: "the owner receives the pool's heartbeats", status: http.StatusMisdirectedRequest, redirect: "n2"},
		{name: "the owner receives no heartbeats", elsewhere: []string{"n0", "n1"}, status: http.StatusMisdirectedRequest, redirect: "n1"},
		{name: "there is no other controller", elsewhere: []string{"n0"}, status: http.StatusServiceUnavailable},
	} {
		t.Run(test.name, func(t *testing.T) {
			registry := newTestRegistry()
			round := newRound(5, 10)
			round.Owners[1].Elsewhere = test.elsewhere
			registry.HandleRound(at(1), round)
			heartbeat := newHeartbeat(1, 1, 5)
			heartbeat.Zone = "b"
			if result := registry.HandleHeartbeat(at(2), heartbeat); result.Status != test.status || result.Redirect != test.redirect {
				t.Errorf("answered %+v", result)
			}
			if got := registry.HandleRound(at(3), round).Knocks; len(got) != 1 || got[0] != "m1" {
				t.Errorf("reported as misdirected: %v", got)
			}
			registry.HandleHeartbeat(at(3), heartbeat)
			if got := registry.HandleRound(at(9), round).Knocks; len(got) != 0 {
				t.Errorf("reported as misdirected after too long: %v", got)
			}
		})
	}
}
