package workers

import (
	"net/http"
	"testing"
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

func TestOnlyLeaseHolderAnswers(t *testing.T) {
	otherOwners := newHeartbeat(1, 1, 5)
	otherOwners.Zone = "b"
	unowned := newHeartbeat(1, 1, 5)
	unowned.Type = "small"
	for _, test := range []struct {
		name      string
		at        float64
		heartbeat *model.Heartbeat
		status    int
		redirect  string
	}{
		{name: "owner under a lease", at: 1, heartbeat: newHeartbeat(1, 1, 5), status: http.StatusOK},
		{name: "the worker has not seen the token", at: 1, heartbeat: newHeartbeat(1, 1, 0), status: http.StatusOK},
		{name: "lease over", at: 10.1, heartbeat: newHeartbeat(1, 1, 5), status: http.StatusServiceUnavailable},
		{name: "worker knows a higher token", at: 1, heartbeat: newHeartbeat(1, 1, 6), status: http.StatusServiceUnavailable},
		{name: "another owner's machine", at: 1, heartbeat: otherOwners, status: http.StatusMisdirectedRequest, redirect: "n2"},
		{name: "a pool without an owner", at: 1, heartbeat: unowned, status: http.StatusServiceUnavailable},
	} {
		t.Run(test.name, func(t *testing.T) {
			result := newTestRegistry().HandleHeartbeat(at(test.at), test.heartbeat)
			if result.Status != test.status || result.Redirect != test.redirect {
				t.Errorf("answered %+v, want status %d, redirect %q", result, test.status, test.redirect)
			}
		})
	}
	fresh := NewRegistry(Options{Member: "n0"}, "boot", testStart, nil)
	if result := fresh.HandleHeartbeat(at(1), newHeartbeat(1, 1, 0)); result.Status != http.StatusServiceUnavailable {
		t.Errorf("a restarted controller answers %d without a lease", result.Status)
	}
}

// A lease that a partition delayed has already ended when it arrives. A lease for another process or under
// a lower token has no effect.
func TestOutdatedLeasesHaveNoEffect(t *testing.T) {
	registry := newTestRegistry()
	// The controller is suspended from 1 s on. When it resumes, its lease until 10 s is over, and its call
	// must not be sent any more.
	registry.HandleHeartbeat(at(1), newHeartbeat(1, 1, 0))
	if calls := registry.DueCalls(at(1)); len(calls) != 1 || calls[0].Deadline.After(at(10)) {
		t.Errorf("calls %+v", calls)
	}
	if result := registry.HandleHeartbeat(at(12), newHeartbeat(1, 2, 5)); result.Status != http.StatusServiceUnavailable || len(registry.DueCalls(at(12))) > 0 {
		t.Errorf("answers %d after it resumed", result.Status)
	}
	registry = newTestRegistry()
	registry.HandleRound(at(20), newRound(5, 9))
	if registry.HoldsLease(at(20)) {
		t.Error("a late lease is accepted")
	}
	otherProcess := newRound(5, 100)
	otherProcess.Boot = "before"
	if response := registry.HandleRound(at(20), otherProcess); registry.HoldsLease(at(20)) || len(response.Machines) > 0 {
		t.Error("a lease for an earlier process is accepted")
	}
	if response := registry.HandleRound(at(20), newRound(4, 100)); response.Token != 5 || registry.HoldsLease(at(20)) {
		t.Error("a lease under a lower token is accepted")
	}
	registry.HandleRound(at(5), newRound(6, 6))
	if _, token := registry.Leader(); token != 6 || registry.HoldsLease(at(7)) {
		t.Error("a new token keeps the old lease")
	}
}

// A process that adopted token 6 and was restarted accepts no lease from the leader of token 5, although
// it has lost its state.
func TestRejectTokensBelow(t *testing.T) {
	for _, test := range []struct {
		name         string
		least, token uint64
		holdsLease   bool
	}{
		{name: "no bound", least: 0, token: 5, holdsLease: true},
		{name: "lower", least: 6, token: 5, holdsLease: false},
		{name: "the same", least: 6, token: 6, holdsLease: true},
		{name: "higher", least: 6, token: 7, holdsLease: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			registry := NewRegistry(Options{Member: "n0", Lease: 10 * time.Second, MaxCalls: 100}, "boot", testStart, nil)
			registry.RejectTokensBelow(test.least)
			response := registry.HandleRound(at(1), newRound(test.token, 10))
			if registry.HoldsLease(at(2)) != test.holdsLease || response.Token < test.least {
				t.Errorf("least %d: token %d holds a lease %v, answered with %d", test.least, test.token, registry.HoldsLease(at(2)), response.Token)
			}
		})
	}
}

// When its pool gets another owner, a machine is removed from the registry, so that its silence here is
// not reported as an expiry.
func TestMachinesOfLostPoolAreRemoved(t *testing.T) {
	registry := newTestRegistry()
	registry.HandleHeartbeat(at(1), newHeartbeat(1, 1, 5))
	round := newRound(6, 100)
	round.Owners[0].Member = "n2"
	registry.HandleRound(at(2), round)
	if response := registry.HandleRound(at(50), round); len(response.Machines) != 0 {
		t.Errorf("still reported: %v", response.Machines)
	}
}
