package controller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"testing"
	"time"

	"github.com/marlwood/marlwood/internal/autoscaler"
	"github.com/marlwood/marlwood/internal/leadership"
	"github.com/marlwood/marlwood/internal/machinerecords"
	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/peers/peerspb"
	"github.com/marlwood/marlwood/internal/placement"
	"github.com/marlwood/marlwood/internal/scheduler"
	"github.com/marlwood/marlwood/internal/settings"
	"github.com/marlwood/marlwood/internal/store"
)

// testPlatform makes the settings of controller n0 in a zone. The state service and the cloud are at addr.
func testPlatform(zone, addr string, siblings ...settings.Sibling) *settings.Platform {
	return &settings.Platform{
		Member: "n0", Zone: zone, StateAddr: addr, CloudAddr: addr,
		Teams: map[string]model.Team{}, Siblings: siblings,
		ReportEvery: time.Second, Lease: 10 * time.Second, CancelWait: 35 * time.Second,
		StateRPS: 1000, StateWriteRPS: 1000, ValueBytes: 8192, WideValueBytes: 8192, TxnOps: 16,
		CloudRPS: 1000, MemoryMB: 100, MaxConns: 100,
	}
}

// leading makes a term of n0 under token 7 whose peer n1 owns the pool big in zone a.
// There m1 is up, and a task has been ordered to it that no heartbeat shows yet; it returns the order's id.
func leading(t testing.TB) (*leaderTerm, *peerProgress, uint64) {
	t.Helper()
	operator, err := settings.LoadOperator("")
	if err != nil {
		t.Fatal(err)
	}
	platform := testPlatform("b", "127.0.0.1:1", settings.Sibling{Member: "n1", Zone: "a", Addr: "127.0.0.1:1"})
	platform.Teams["t"] = model.Team{Name: "t"}
	ctrl, err := New(platform, operator, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	ctrl.ctx = ctx
	ctrl.setTypes(map[string]model.MachineType{"big": {Name: "big", Size: model.Size{CPUs: 4, MemoryGB: 16}, Zones: []string{"a"}}})
	now := time.Now()
	term := newLeaderTerm(ctrl, 7, now)
	term.loaded = true
	peer := ctrl.peers[1]
	receive := func(resp *peerspb.RoundResponse) { term.handleRoundResponse(peer, term.token, time.Now(), resp, nil) }
	receive(&peerspb.RoundResponse{Token: 7, Boot: "first"})
	term.assignOwners(now)
	receive(says("first", 7, 0))
	term.scheduler.MachinesRecorded(now, []string{"m1"}, 3)
	term.scheduler.Place(now, nil)
	v, _ := json.Marshal(placement.JobRecord{Job: &model.Job{ID: "j", Team: "t", Shape: model.Array, Priority: model.Normal, Tasks: 1,
		Size: model.Size{CPUs: 2, MemoryGB: 2}, Image: "i"}})
	term.scheduler.ApplyJobChanges(now, []store.Event{{Set: placement.JobPrefix + "j", Value: v, Revision: 10}})
	for _, w := range term.scheduler.RequestSamples(now) {
		term.scheduler.Place(now, []*peerspb.Sample{{Want: w.Id, Kind: w.Kinds[0], Machines: []string{"m1", "m1"}}})
	}
	orders := term.scheduler.Orders("n1")
	if len(orders) == 0 || term.scheduler.Jobs().At("j").Bound() != 1 {
		t.Fatalf("orders %v", orders)
	}
	id := orders[len(orders)-1].Id
	receive(says("first", 7, id, id)) // taken in, and handed over by a call that is under way
	return term, peer, id
}

// says makes an answer of n1 about m1, on which no task is known to run.
func says(boot string, token, applied uint64, undecided ...uint64) *peerspb.RoundResponse {
	return &peerspb.RoundResponse{Token: token, Boot: boot, Applied: applied, Change: applied + 1, Machines: []*peerspb.Machine{{Name: "m1", Addr: "x:1",
		Kind: &peerspb.Kind{Type: "big", Zone: "a"}, Phase: "current", Session: 1, Seq: applied + 1, NoticeMs: -1, Undecided: undecided}}}
}

// What a restarted owner says of orders and machines has no effect until the
// fresh token, whatever else fails meanwhile: a start that its earlier process
// sent to a worker may still be executed.
func TestRestartedOwner(t *testing.T) {
	expired := says("second", 7, 99)
	expired.Machines[0].Phase = "expired"
	for _, c := range []struct {
		name  string
		steps []*peerspb.RoundResponse // nil: no answer
	}{
		{"it takes a later order for the last of all", []*peerspb.RoundResponse{says("second", 7, 99)}},
		{"a message goes unanswered first", []*peerspb.RoundResponse{nil, says("second", 7, 99)}},
		{"several do", []*peerspb.RoundResponse{nil, nil, nil, says("second", 7, 99)}},
		{"it restarts once more", []*peerspb.RoundResponse{says("third", 7, 0), says("third", 7, 99)}},
		{"it calls a machine expired that it has not heard of", []*peerspb.RoundResponse{expired}},
	} {
		term, peer, id := leading(t)
		for _, resp := range append([]*peerspb.RoundResponse{says("second", 7, 0)}, c.steps...) {
			err := error(nil)
			if resp == nil {
				err = errors.New("no answer")
			}
			term.handleRoundResponse(peer, 7, time.Now(), resp, err)
			term.scheduler.ConfirmExpiries(time.Now(), time.Now().Add(time.Second))
			if term.scheduler.Jobs().At("j").Bound() != 1 {
				t.Fatalf("%s: a start that may come late counts as decided", c.name)
			}
		}
		if !peer.restarted {
			t.Errorf("%s: no fresh token is wanted", c.name)
		}
		term.tokenRenewed(8, time.Now())
		if peer.restarted {
			t.Errorf("%s: a fresh token leaves its orders lost", c.name)
		}
		boot := peer.bootID
		term.handleRoundResponse(peer, 8, time.Now(), says(boot, 8, id), nil)
		if term.scheduler.Jobs().At("j").Bound() != 0 {
			t.Errorf("%s: a report under the fresh token does not decide the start", c.name)
		}
	}
}

// Every answer's clock reading may be the beginning of a delegated lease, also that of a
// process which has just started.
func TestLeasesAreCounted(t *testing.T) {
	for _, boot := range []string{"first", "second"} {
		term, peer, _ := leading(t)
		peer.leaseEnd = time.Time{}
		before := time.Now()
		term.handleRoundResponse(peer, 7, before, &peerspb.RoundResponse{Token: 7, Boot: boot, ClockNs: 5}, nil)
		if peer.ownerClock != 5 || peer.leaseEnd.Before(before.Add(term.ctrl.timing.DelegatedLease)) {
			t.Errorf("answer of process %s: a grant until %v counts as over %v after it", boot, term.ctrl.timing.DelegatedLease, peer.leaseEnd.Sub(before))
		}
	}
}

// A process takes no part in rounds before it has read the leader key, and
// then in none under an earlier token.
func TestRoundsBeforeALook(t *testing.T) {
	for _, c := range []struct {
		name  string
		stamp uint64 // of the key at the first look; 0: no look yet
		token uint64 // told by the answer; 0: no answer
	}{{"no look yet", 0, 0}, {"a later leader has the key", 9, 9}, {"this leader has it", 7, 7}} {
		term, _, _ := leading(t)
		ctrl, err := New(term.ctrl.cfg, term.ctrl.fileSettings, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		ctrl.ctx = ctx
		go func() {
			for f := range ctrl.env.(*liveEnvironment).events {
				f()
			}
		}()
		if c.stamp > 0 {
			now := time.Now()
			ctrl.elector.KeyRead(now, now, true, leadership.LeaderRecord{Member: "n2", Boot: "b", Attempt: 1}, c.stamp)
			ctrl.registry.RejectTokensBelow(ctrl.elector.MinToken())
		}
		response := ctrl.serveRound(&peerspb.RoundRequest{Token: 7, Leader: "n1", Boot: ctrl.bootID, GrantUntilNs: int64(time.Hour)})
		if response.GetToken() != c.token || (response == nil) != (c.token == 0) {
			t.Errorf("%s: %v", c.name, response)
		}
		cancel()
		close(ctrl.env.(*liveEnvironment).events)
	}
}

// heldPeer answers a message when the test provides the answer.
type heldPeer struct{ answer chan *peerspb.RoundResponse }

func (p heldPeer) Round(context.Context, *peerspb.RoundRequest) (*peerspb.RoundResponse, error) {
	return <-p.answer, nil
}
func (heldPeer) Close() error { return nil }

// An answer to a term that has ended does not free the connection for the next term, which
// has a message of its own under way there.
func TestLinkIsFreedByItsOwnTerm(t *testing.T) {
	for _, c := range []struct {
		name string
		next bool // another term has begun meanwhile
		busy bool
	}{{"the same term", false, false}, {"the next term", true, true}} {
		term, peer, _ := leading(t)
		ctrl, held := term.ctrl, heldPeer{make(chan *peerspb.RoundResponse)}
		now := time.Now()
		ctrl.elector.KeyRead(now, now, true, leadership.LeaderRecord{Member: "n0", Boot: ctrl.bootID, Attempt: 1}, 7)
		ctrl.publishLease()
		peer.peer = held
		term.sendRound(peer, now, nil)
		if c.next {
			term.end()
			peer.peer = heldPeer{make(chan *peerspb.RoundResponse)} // never answers
			newLeaderTerm(ctrl, 8, now).sendRound(peer, now, nil)
		}
		held.answer <- &peerspb.RoundResponse{Token: 7, Boot: peer.bootID}
		(<-ctrl.env.(*liveEnvironment).events)()
		if peer.inFlight != c.busy {
			t.Errorf("%s: the link is busy: %v", c.name, peer.inFlight)
		}
	}
}

// After all controllers ended together, the first one back does not own every pool while
// its peers start; a peer that does not come delays nothing for long, and a leader
// that has run for a while waits for nobody.
func TestOwnersAwaitSiblings(t *testing.T) {
	for _, c := range []struct {
		name     string
		uptime   time.Duration
		after    time.Duration // deadline the sibling answers; 0: it does not
		assigned time.Duration
		owner    string
	}{
		{"a sibling starts a moment later", 0, 300 * time.Millisecond, 300 * time.Millisecond, "n1"},
		{"a sibling stays away", 0, 0, peerStartWait, "n0"},
		{"the leader has run for a while", time.Minute, 300 * time.Millisecond, 0, "n0"},
	} {
		term, peer, _ := leading(t)
		ctrl := term.ctrl
		now := ctrl.startedAt.Add(c.uptime)
		peer.lastAnswer = time.Time{}
		term = newLeaderTerm(ctrl, 9, now)
		term.loaded = true
		for d := time.Duration(0); ; d += 100 * time.Millisecond {
			if d == c.after && d > 0 {
				peer.lastAnswer = now.Add(d)
			}
			term.assignInitialOwners(now.Add(d))
			if !term.assignedAt.IsZero() {
				if d != c.assigned {
					t.Errorf("%s: owners are decided after %v, not %v", c.name, d, c.assigned)
				}
				break
			}
		}
		if got := term.scheduler.Owners()[model.Pool{Type: "big", Zone: "a"}]; got != c.owner {
			t.Errorf("%s: the kind in the sibling's zone goes to %s", c.name, got)
		}
	}
}

// A takeover waits for machines without heartbeats no longer than an existing machine
// would take to send one: what the cloud lists no more is terminated then.
func TestMissingAtTakeover(t *testing.T) {
	term, _, _ := leading(t)
	now := time.Now()
	term = newLeaderTerm(term.ctrl, 9, now)
	var records []store.Item
	names := []string{"m1", "m2"}
	for i := range 120 {
		names = append(names, fmt.Sprintf("m9%03d", i))
	}
	for _, name := range names {
		w := store.Put(machinerecords.SinglePrefix+name, machinerecords.Registration{Pool: model.Pool{Type: "big", Zone: "a"}, Addr: "x:1"})
		records = append(records, store.Item{Key: w.Set, Value: w.Value, Revision: 3})
	}
	term.scheduler.Load(now, scheduler.StoredRecords{Machines: records})
	list := []autoscaler.CloudMachine{{Name: "m1", Pool: model.Pool{Type: "big", Zone: "a"}, Age: time.Minute}}
	after := newLeaderUnheard(term.ctrl.cfg)
	if missing := term.scheduler.ReconcileList(now.Add(after/2), list); len(missing) > 0 {
		t.Errorf("after %v %v are returned, which may not have had their turn", after/2, missing)
	}
	if missing := term.scheduler.ReconcileList(now.Add(after+time.Millisecond), list); len(missing) != 100 || slices.Contains(missing, "m1") {
		t.Errorf("after %v %v are returned, not a hundred of those that the cloud lists no more", after, missing)
	}
	// The leader reconciles the last list again then, though the owners were assigned only later
	// than the term began.
	term = newLeaderTerm(term.ctrl, 10, now)
	term.loaded, term.machineRecords = true, machinerecords.New(machinerecords.Options{MaxOps: 4, MaxValueBytes: 1024, MaxTxnBytes: 4096}, 10)
	term.scheduler.Load(now.Add(200*time.Millisecond), scheduler.StoredRecords{Machines: records})
	term.assignOwners(now.Add(700 * time.Millisecond))
	term.cloudCalls.deferredList, term.nextFleet, term.rounds.next, term.cloudCalls.inFlight = list, now.Add(time.Hour), now.Add(time.Hour), true
	for d := 700 * time.Millisecond; term.cloudCalls.deferredList != nil; d += tick {
		if d > after+time.Second {
			t.Fatalf("the list is not looked at again after %v", d)
		}
		term.tick(now.Add(d))
	}
	if len(term.cloudCalls.queue) != 2 {
		t.Errorf("%d calls to the cloud wait, two are to return 121 machines", len(term.cloudCalls.queue))
	}
	if long := 2*term.ctrl.cfg.ReportEvery + 2*time.Second; after >= long {
		t.Errorf("that is %v, no sooner than %v", after, long)
	}
}
