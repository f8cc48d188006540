package workers

import (
	"net/http"
	"testing"

	"github.com/marlwood/marlwood/internal/model"
)

// A duplicate heartbeat never extends the lease or restores old tasks, whenever it arrives: the machine is
// reported as expired one lease after its newest heartbeat.
func TestDuplicateHeartbeats(t *testing.T) {
	for _, test := range []struct {
		name      string
		duplicate *model.Heartbeat // nil: no duplicate
	}{
		{name: "none"},
		{name: "of its newest heartbeat", duplicate: newHeartbeat(1, 4, 5)},
		{name: "of an earlier one", duplicate: newHeartbeat(1, 2, 5, running("j/1"))},
		{name: "of one before the worker knew the token", duplicate: newHeartbeat(1, 1, 0)},
		{name: "of an earlier epoch", duplicate: newHeartbeat(1, 1, 5)},
	} {
		t.Run(test.name, func(t *testing.T) {
			registry := newTestRegistry()
			sendDuplicate := func(s float64) {
				if test.duplicate != nil {
					registry.HandleHeartbeat(at(s), test.duplicate)
				}
			}
			for i, heartbeat := range []*model.Heartbeat{
				newHeartbeat(1, 1, 0),
				newHeartbeat(1, 2, 5, running("j/1")),
				newHeartbeat(1, 3, 5, inState("j/1", model.TaskExited)),
				newHeartbeat(1, 4, 5),
			} {
				registry.HandleHeartbeat(at(float64(i)), heartbeat)
			}
			for s := 4.0; s <= 13.9; s++ {
				sendDuplicate(s)
				if machine := reportedMachine(registry, s); machine.Phase != "current" || len(machine.Tasks) > 0 {
					t.Errorf("reported after %v s: %v", s, machine)
				}
			}
			sendDuplicate(14.1)
			if machine := reportedMachine(registry, 14.2); machine.Phase != "expired" {
				t.Errorf("reported after a lease: %v", machine)
			}
			sendDuplicate(15)
			if machine := reportedMachine(registry, 15); machine.Phase != "expired" || len(machine.Tasks) > 0 {
				t.Errorf("reported after a duplicate past its lease: %v", machine)
			}
		})
	}
}

// The response to a direct call overtook a heartbeat. The worker still waits for the heartbeat's answer,
// and that answer extends its lease.
func TestOvertakenHeartbeat(t *testing.T) {
	registry := newTestRegistry()
	registry.HandleHeartbeat(at(0), newHeartbeat(1, 1, 0))
	completeCalls(registry, 0, 0.1, Executed, newHeartbeat(1, 3, 5))
	if result := registry.HandleHeartbeat(at(5), newHeartbeat(1, 2, 0)); result.Status != http.StatusOK || result.Token != 5 {
		t.Errorf("the overtaken heartbeat is answered with %+v", result)
	}
	if machine := reportedMachine(registry, 14); machine.Phase != "current" {
		t.Errorf("reported within the lease: %v", machine)
	}
}
