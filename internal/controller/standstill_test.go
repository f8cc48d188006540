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

// A process that stood still for longer than its leader lease lasts sends nothing
// of what it had decided before, whatever stage that had reached.
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
	check := func(sentAt time.Time) { // as if a look at the key, sent then, had shown it as ours
		ctrl.elector = leadership.New(leadership.Options{Member: "n0", Boot: ctrl.bootID, PollInterval: time.Second, LeaseTTL: 5 * time.Second, ValidFor: ctrl.timing.LeaderLease})
		ctrl.elector.KeyRead(sentAt, sentAt, true, leadership.LeaderRecord{Member: "n0", Boot: ctrl.bootID, Attempt: 1}, 7)
		ctrl.publishLease()
	}
	call := workers.Call{Machine: "m1", Addr: addr, Token: 7, Epoch: 1}
	for _, c := range []struct {
		name string
		do   func() bool // tells whether it was done
	}{
		{"store write", func() bool { _, err := term.commit(store.Txn{}); return !errors.Is(err, store.ErrRefused) }},
		{"rent", func() bool { term.launch(autoscaler.LaunchRequest{Name: "c", Count: 1}); return true }},
		{"return", func() bool { term.terminate([]string{"m1"}); return true }},
		{"direct call", func() bool {
			outcome, _ := ctrl.sendDirectCall(call)
			return outcome != workers.Refused
		}},
	} {
		check(time.Now())
		call.Until = time.Now().Add(time.Second)
		sent.Store(0)
		if c.do(); sent.Load() != 1 {
			t.Errorf("%s: %d sent with the right to act", c.name, sent.Load())
		}
		check(time.Now().Add(-ctrl.timing.LeaderLease))
		call.Until = time.Now().Add(-time.Millisecond)
		sent.Store(0)
		if done := c.do(); sent.Load() != 0 || (done && (c.name == "store write" || c.name == "direct call")) {
			t.Errorf("%s: sent after the right to act had ended", c.name)
		}
	}
}

// A heartbeat waits while only a delegated lease is missing, is answered as soon as there is
// one, and is redirected to a controller that is not the lost leader before its
// worker gives up.
func TestReportsWaitForAGrant(t *testing.T) {
	operator, err := settings.LoadOperator("")
	if err != nil {
		t.Fatal(err)
	}
	platform := testPlatform("a", "127.0.0.1:1",
		settings.Sibling{Member: "n1", Addr: "127.0.0.1:1"}, settings.Sibling{Member: "n2", Addr: "127.0.0.1:1"})
	for _, c := range []struct {
		name    string
		granted time.Duration // when a grant of 3 s comes; 0: never
		token   uint64        // the worker has seen
		at      []time.Duration
		status  int
		foreman string
	}{
		{"there is a grant", 0, 5, []time.Duration{time.Second}, 200, ""},
		{"one comes in time", 6 * time.Second, 5, []time.Duration{5 * time.Second, 6 * time.Second}, 200, ""},
		{"none comes", 0, 5, []time.Duration{5 * time.Second, 6900 * time.Millisecond, 7 * time.Second}, 421, "n2"},
		{"the worker has seen a later token", 0, 6, []time.Duration{5 * time.Second}, 503, ""},
	} {
		ctrl, err := New(platform, operator, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		grant := func(after time.Duration) {
			ctrl.registry.HandleRound(ctrl.startedAt.Add(after), &peerspb.RoundRequest{Token: 5, Leader: "n1", Boot: ctrl.bootID, GrantUntilNs: int64(after + 3*time.Second),
				Owners: []*peerspb.KindOwner{{Kind: &peerspb.Kind{Type: "big", Zone: "a"}, Member: "n0"}}})
		}
		grant(0)
		var answers []workers.HeartbeatResult
		heartbeat := &model.Heartbeat{Machine: "m1", Addr: "x:1", Type: "big", Zone: "a", Session: 1, Seq: 1, Token: c.token}
		for i, at := range c.at {
			if c.granted > 0 && at >= c.granted {
				grant(c.granted)
			}
			if len(answers) > 0 {
				t.Errorf("%s: answered too early", c.name)
			}
			now := ctrl.startedAt.Add(at)
			if i == 0 {
				ctrl.HandleHeartbeat(now, heartbeat, func(v workers.HeartbeatResult) { answers = append(answers, v) })
			} else if c.granted > 0 && at >= c.granted { // a message came
				ctrl.retryPendingHeartbeats(now)
			} else { // a tick
				ctrl.expirePendingHeartbeats(now)
			}
		}
		if len(answers) != 1 || answers[0].Status != c.status || answers[0].Redirect != c.foreman {
			t.Errorf("%s: %+v", c.name, answers)
		}
	}
}
