package controller

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/marlwood/marlwood/internal/autoscaler"
	"github.com/marlwood/marlwood/internal/leadership"
	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/peers/peerspb"
	"github.com/marlwood/marlwood/internal/settings"
	"github.com/marlwood/marlwood/internal/store"
	"github.com/marlwood/marlwood/internal/workers"
)

// A leader whose process is paused for longer than its leader lease must send nothing that it decided before the
// pause: no write to the state service, no request to the cloud and no direct call to a worker.
func TestPausedLeaderSendsNothing(t *testing.T) {
	var sent atomic.Int32
	outside := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		sent.Add(1)
		_, _ = io.WriteString(w, `{"ledgerRev":1,"berths":[],"pairs":[]}`)
	}))
	defer outside.Close()
	addr := outside.Listener.Addr().String()
	operator, err := settings.LoadOperator("")
	if err != nil {
		t.Fatal(err)
	}
	platform := testPlatform("a", addr)
	ctrl, err := New(platform, operator, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ctrl.ctx = ctx
	term := &leaderTerm{ctrl: ctrl, ctx: ctx, end: cancel, token: 7}
	renewLease := func(sentAt time.Time) { // simulates a poll of the leader key at sentAt that shows our key
		ctrl.elector = leadership.New(leadership.Options{Member: "n0", Boot: ctrl.bootID, PollInterval: time.Second, LeaseTTL: 5 * time.Second, ValidFor: ctrl.timing.LeaderLease})
		ctrl.elector.KeyRead(sentAt, sentAt, true, leadership.LeaderRecord{Member: "n0", Boot: ctrl.bootID, Attempt: 1}, 7)
		ctrl.publishLease()
	}
	call := workers.Call{Machine: "m1", Addr: addr, Token: 7, Epoch: 1}
	for _, c := range []struct {
		name string
		do   func() bool // reports whether the request was sent
	}{
		{"store write", func() bool { _, err := term.commit(store.Txn{}); return !errors.Is(err, store.ErrRefused) }},
		{"launch", func() bool { term.launch(autoscaler.LaunchRequest{Name: "c", Count: 1}); return true }},
		{"terminate", func() bool { term.terminate([]string{"m1"}); return true }},
		{"direct call", func() bool {
			outcome, _ := ctrl.sendDirectCall(call)
			return outcome != workers.Refused
		}},
	} {
		renewLease(time.Now())
		call.Deadline = time.Now().Add(time.Second)
		sent.Store(0)
		if c.do(); sent.Load() != 1 {
			t.Errorf("%s: %d requests sent with a valid leader lease", c.name, sent.Load())
		}
		renewLease(time.Now().Add(-ctrl.timing.LeaderLease))
		call.Deadline = time.Now().Add(-time.Millisecond)
		sent.Store(0)
		if done := c.do(); sent.Load() != 0 || (done && (c.name == "store write" || c.name == "direct call")) {
			t.Errorf("%s: sent after the leader lease expired", c.name)
		}
	}
}

// A heartbeat waits while its controller lacks only a delegated lease, and is answered as soon as one arrives. If
// none arrives, the worker is redirected, before it gives up, to a controller other than the lost leader. Workers that
// are turned away at once go from controller to controller until their leases expire.
func TestHeartbeatsWaitForDelegatedLease(t *testing.T) {
	operator, err := settings.LoadOperator("")
	if err != nil {
		t.Fatal(err)
	}
	platform := testPlatform("a", "127.0.0.1:1",
		settings.Sibling{Member: "n1", Addr: "127.0.0.1:1"}, settings.Sibling{Member: "n2", Addr: "127.0.0.1:1"})
	for _, c := range []struct {
		name     string
		granted  time.Duration // when a second delegated lease of 3 s arrives; 0: never
		token    uint64        // highest token that the worker has seen
		at       []time.Duration
		status   int
		redirect string
	}{
		{"the controller has a delegated lease", 0, 5, []time.Duration{time.Second}, 200, ""},
		{"a delegated lease arrives in time", 6 * time.Second, 5, []time.Duration{5 * time.Second, 6 * time.Second}, 200, ""},
		{"no delegated lease arrives", 0, 5, []time.Duration{5 * time.Second, 6900 * time.Millisecond, 7 * time.Second}, 421, "n2"},
		{"the worker has seen a later token", 0, 6, []time.Duration{5 * time.Second}, 503, ""},
	} {
		ctrl, err := New(platform, operator, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		delegateLease := func(after time.Duration) {
			ctrl.registry.HandleRound(ctrl.startedAt.Add(after), &peerspb.RoundRequest{Token: 5, Leader: "n1", Boot: ctrl.bootID, GrantUntilNs: int64(after + 3*time.Second),
				Owners: []*peerspb.KindOwner{{Kind: &peerspb.Kind{Type: "big", Zone: "a"}, Member: "n0"}}})
		}
		delegateLease(0)
		var answers []workers.HeartbeatResult
		heartbeat := &model.Heartbeat{Machine: "m1", Addr: "x:1", Type: "big", Zone: "a", Session: 1, Seq: 1, Token: c.token}
		for i, at := range c.at {
			if c.granted > 0 && at >= c.granted {
				delegateLease(c.granted)
			}
			if len(answers) > 0 {
				t.Errorf("%s: answered too early", c.name)
			}
			now := ctrl.startedAt.Add(at)
			if i == 0 {
				ctrl.HandleHeartbeat(now, heartbeat, func(v workers.HeartbeatResult) { answers = append(answers, v) })
			} else if c.granted > 0 && at >= c.granted { // a message of the leader arrived
				ctrl.retryPendingHeartbeats(now)
			} else { // a tick
				ctrl.expirePendingHeartbeats(now)
			}
		}
		if len(answers) != 1 || answers[0].Status != c.status || answers[0].Redirect != c.redirect {
			t.Errorf("%s: %+v", c.name, answers)
		}
	}
}
