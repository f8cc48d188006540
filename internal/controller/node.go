// Package controller joins the slices into one running node: a single loop
// owns all state, and everything slow happens outside it and comes back as an
// event.
package controller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"sync/atomic"
	"time"
	"unicode/utf8"

	fastjson "github.com/segmentio/encoding/json"
	"google.golang.org/grpc"

	"github.com/marlwood/marlwood/internal/core"
	"github.com/marlwood/marlwood/internal/httpwire"
	"github.com/marlwood/marlwood/internal/intake"
	"github.com/marlwood/marlwood/internal/leadership"
	"github.com/marlwood/marlwood/internal/metrics"
	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/operators"
	"github.com/marlwood/marlwood/internal/peers"
	"github.com/marlwood/marlwood/internal/peers/peerspb"
	"github.com/marlwood/marlwood/internal/placement"
	"github.com/marlwood/marlwood/internal/record"
	"github.com/marlwood/marlwood/internal/settings"
	"github.com/marlwood/marlwood/internal/sockets"
	"github.com/marlwood/marlwood/internal/store"
	"github.com/marlwood/marlwood/internal/workers"
)

// typesKey keeps the machine types for nodes that cannot reach the cloud.
const typesKey = "types"

// Most user requests that are served at once.
const (
	maxChanges   = 64
	maxQuestions = 192
)

// tick is the loop's own rhythm.
const tick = 50 * time.Millisecond

// Node is one controller.
type Node struct {
	cfg   *settings.Platform
	op    *settings.Operator // of this controller's file
	now   *settings.Operator // what is in force: the file's, and what operators changed since
	log   *slog.Logger
	boot  string
	terms settings.Terms
	start time.Time
	world World
	ctx   context.Context

	store  Store
	cloud  Cloud
	intake *intake.Intake
	desk   *workers.Desk
	lead   *leadership.Machine
	links  []*link
	term   *term

	types       atomic.Pointer[map[string]model.MachineType]
	actsUntil   atomic.Int64                              // end of the right to act as leader, in time since start; 0: none
	storeSeen   atomic.Int64                              // last answer of the state service, in time since start
	siblingSeen atomic.Int64                              // last word of any other controller, in time since start
	askedAround time.Time                                 // when siblings were last asked whether they are there
	othersSeen  atomic.Int64                              // last word of a leader that reaches the state service, in time since start; 0: none
	ticked      atomic.Int64                              // last tick of the loop, in time since start
	views       atomic.Pointer[map[string]placement.View] // counts of open jobs, while leading
	changes     chan struct{}                             // submissions and cancellations under way
	questions   chan struct{}                             // questions under way
	lastState   leadership.State
	number      uint64       // of the settings that operators put in force; 0: only the file's are
	refused     uint64       // number of those that this controller could not adopt
	adopting    bool         // they are being read
	metrics     *metrics.Set // nil: off
	tap         core.Tap     // takes a recording in; nil: nobody does
	hub         *record.Hub  // of the live world: hands recordings out
	waiting     []waitingReport
}

// New makes a node from checked settings, in the live world.
func New(cfg *settings.Platform, op *settings.Operator, log *slog.Logger) (*Node, error) {
	id, err := bootID()
	if err != nil {
		return nil, fmt.Errorf("boot id: %w", err)
	}
	w, err := newLive(cfg, op)
	if err != nil {
		return nil, err
	}
	n, err := NewIn(w, id, cfg, op, log)
	if err != nil {
		return nil, err
	}
	n.metrics = w.metrics
	n.hub = record.NewHub(log)
	n.tap = n.hub
	if op.Record.Lines == "stderr" {
		record.WriteLines(n.hub, os.Stderr)
	}
	return n, nil
}

// RecordTo has what this node decides as leader recorded. It is called before Begin.
func (n *Node) RecordTo(tap core.Tap) { n.tap = tap }

// NewIn makes a node in a world of its own. No other process ever has the same id.
func NewIn(world World, id uint64, cfg *settings.Platform, op *settings.Operator, log *slog.Logger) (*Node, error) {
	terms, err := cfg.Terms(op)
	if err != nil {
		return nil, err
	}
	n := &Node{cfg: cfg, op: op, now: op, log: log, boot: fmt.Sprintf("%016x", id), terms: terms, start: world.Now(), world: world,
		store: world.Store(), cloud: world.Cloud(),
		changes: make(chan struct{}, maxChanges), questions: make(chan struct{}, maxQuestions)}
	n.desk = workers.NewDesk(workers.Options{Member: cfg.Member, Report: cfg.ReportEvery, Lease: cfg.Lease,
		Margin: time.Second / 2, Calls: sockets.Divide(cfg.MaxConns, op.Service.UserConnsShare).Direct / 2},
		n.boot, n.start, n.newRand())
	n.lead = leadership.New(leadership.Options{Member: cfg.Member, Boot: n.boot, Poll: terms.Poll,
		Hold: terms.Hold, Act: terms.Act})
	n.intake, err = intake.New(intake.Options{Teams: cfg.Teams,
		RecordBytes: cfg.ValueBytes - min(1024, cfg.ValueBytes/2), ValueBytes: cfg.ValueBytes - 64,
		FinalCache: op.Service.FinalCache,
		Glance:     op.Service.Glance, AskWait: op.Service.AskWait,
		Types: n.knownTypes, View: n.view, Now: world.Wall, Go: world.Go, Sleep: world.Sleep, NewGate: world.NewGate}, n.store)
	if err != nil {
		return nil, err
	}
	n.links = append(n.links, &link{member: cfg.Member, zone: cfg.Zone, local: true})
	for _, s := range cfg.Siblings {
		l, err := world.Dial(s.Addr)
		if err != nil {
			return nil, err
		}
		n.links = append(n.links, &link{member: s.Member, zone: s.Zone, addr: s.Addr, peer: l})
	}
	n.setBudgets(false)
	return n, nil
}

// setBudgets divides what the state service takes. Users' writes have a budget of
// their own, so that they never wait behind what the leader records.
func (n *Node) setBudgets(leading bool) {
	nodes := float64(max(1, len(n.links)))
	b := store.Budgets{Calls: n.cfg.StateRPS * 0.5 / nodes, Writes: n.cfg.StateWriteRPS * 0.9 / nodes, Burst: n.cfg.TxnOps}
	if leading {
		b.Calls += n.cfg.StateRPS * 0.45
		b.Leads = n.cfg.StateWriteRPS * 0.5
	}
	n.store.SetBudgets(b)
}

// newRand makes a source of random numbers.
func (n *Node) newRand() *rand.Rand { return rand.New(rand.NewPCG(n.world.Random(), n.world.Random())) }

// Begin begins the work that a node does by itself, until ctx ends. It is called
// once, before Tick and all that is asked of the node.
func (n *Node) Begin(ctx context.Context) {
	n.ctx = ctx
	n.world.Go(n.learnTypes)
}

// Run serves in the live world until ctx ends or a listener fails.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w, ok := n.world.(*live)
	if !ok {
		return errors.New("controller: only a node in the live world listens")
	}
	defer w.stop()
	n.Begin(ctx)
	stopPeers, err := peers.Serve(n.cfg.PeerListen, n.serveRound, func(s grpc.ServiceRegistrar) {
		record.Register(s, n.hub)
		operators.RegisterRelay(s, n.Operate, n.CheckSettings)
	})
	if err != nil {
		return err
	}
	defer stopPeers()
	if op := n.op.Operators; op.Listen != "off" {
		stopOperators := operators.Keep(ctx, operators.Options{Listen: n.op.OperatorsListen(n.cfg), CA: op.CA, Cert: op.Cert, Key: op.Key,
			Plaintext: op.Plaintext == "yes", Ask: n.Operate, Log: n.log})
		defer stopOperators()
	}
	if n.metrics != nil {
		go n.metrics.Serve(ctx, n.op.MetricsListen(n.cfg), n.log)
	}
	server := httpwire.NewServer(httpwire.ServerOptions{
		Limits:      httpwire.Limits{Head: 8 << 10, Body: 64 << 10},
		Admission:   admission{w.sockets},
		PartialWait: 10 * time.Second, IdleWait: 2 * time.Minute, Log: n.log,
	}, n.handle)
	failed := make(chan error, 1)
	go func() { failed <- server.Run(n.cfg.Listen) }()
	n.log.Info("started", "member", n.cfg.Member, "boot", n.boot, "act", n.terms.Act)

	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			stop, done := context.WithTimeout(context.Background(), time.Second)
			defer done()
			return server.Stop(stop)
		case err := <-failed:
			return fmt.Errorf("listener: %w", err)
		case f := <-w.events:
			f()
		case f := <-w.reports:
			f()
		case <-ticker.C:
			n.Tick(w.Now())
		}
	}
}

// post hands an event to the loop.
func (n *Node) post(f func()) { n.world.Post(f) }

func (n *Node) knownTypes() map[string]model.MachineType {
	if p := n.types.Load(); p != nil {
		return *p
	}
	return nil
}

// learnTypes asks the cloud and the state service in turn until one of them
// knows the machine types.
func (n *Node) learnTypes() {
	wait := 200 * time.Millisecond
	for n.ctx.Err() == nil {
		var cat model.Catalogue
		it, err := n.store.Get(n.ctx, typesKey)
		if err == nil {
			err = json.Unmarshal(it.Value, &cat)
		}
		if err != nil || len(cat.Types) == 0 {
			cat, err = n.cloud.Types(n.ctx)
		}
		if err == nil {
			table := cat.Table()
			n.post(func() { n.setTypes(table) })
			wait = time.Minute
		} else {
			n.log.Debug("machine types", "err", err)
			wait = min(wait*2, 5*time.Second)
		}
		n.world.Sleep(n.ctx, wait/2+time.Duration(n.world.Random()%uint64(wait)))
	}
}

func (n *Node) setTypes(table map[string]model.MachineType) {
	n.types.Store(&table)
	n.desk.SetTypes(table)
	if n.term != nil {
		if err := n.term.core.SetTypes(n.world.Now(), table); err != nil {
			n.log.Error("machine types", "err", err)
		}
	}
}

// view is called by user requests, outside the loop, which they must not hold
// up: it reads the counts that the leader last laid out.
func (n *Node) view(id string) (placement.View, bool) {
	if views := n.views.Load(); views != nil {
		v, ok := (*views)[id]
		return v, ok
	}
	return placement.View{}, false
}

// mayAct tells outside the loop whether the node may act as leader now.
//
// Guard: a process may stand still between a decision and what follows from it,
// longer than its right to act lasts. So the right is looked at again right
// before a message goes out, wherever it waited until then.
func (n *Node) mayAct() bool { return int64(n.world.Now().Sub(n.start)) < n.actsUntil.Load() }

// noteRight lays out for mayAct how long the right to act lasts.
func (n *Node) noteRight() {
	until := int64(0)
	if at := n.lead.ActsUntil(); !at.IsZero() {
		until = int64(at.Sub(n.start))
	}
	n.actsUntil.Store(until)
}

// handle serves one HTTP request; it runs on the listener's loop.
func (n *Node) handle(req *httpwire.Request, reply httpwire.Reply) {
	switch req.Path {
	case "/checkin":
		if req.Method != "POST" {
			reply(intake.Fail(405, "only POST is allowed here"))
			return
		}
		n.checkIn(req, reply)
		return
	case "/up":
		if req.Method != "GET" {
			reply(intake.Fail(405, "only GET is allowed here"))
			return
		}
		reply(n.up(n.world.Now()))
		return
	}
	call, ok := n.intake.Route(req)
	why := n.cutOff(n.world.Now())
	switch {
	case !ok:
		reply(intake.Fail(404, "no such path"))
	case call.Do == nil:
		reply(intake.Fail(405, "method not allowed"))
	case why != "": // rather at once than after a wait for what does not come
		reply(intake.Later(503, why))
	default:
		// Questions have places of their own: however many there are, they
		// take none from submissions.
		places := n.changes
		if call.Ask {
			places = n.questions
		}
		select {
		case places <- struct{}{}:
		default:
			reply(intake.Later(429, "too many requests under way"))
			return
		}
		n.world.Go(func() {
			defer func() { <-places }()
			ctx, cancel := context.WithTimeout(n.ctx, 4*time.Second)
			defer cancel()
			reply(call.Do(ctx))
		})
	}
}

func (n *Node) checkIn(req *httpwire.Request, reply httpwire.Reply) {
	r, err := readReport(req.Body)
	if err != nil {
		reply(intake.Fail(400, err.Error()))
		return
	}
	w, _ := n.world.(*live) // requests come from its listener
	came := n.world.Now()
	work := w.timed(func() {
		now := n.world.Now()
		if now.Sub(came) > reportPatience {
			reply(intake.Later(503, "overloaded"))
			return
		}
		n.Report(now, r, func(v workers.Verdict) { reply(verdictAnswer(v)) })
		n.metrics.Report(n.world.Now().Sub(now))
	})
	select {
	case w.reports <- work:
	default:
		reply(intake.Later(503, "overloaded"))
	}
}

// readReport reads and checks a worker's report.
func readReport(body []byte) (*model.Report, error) {
	// Guard: the decoder passes strings on as they are, and what is not UTF-8 cannot be sent
	// to the leader: one such report would keep an owner's answers from it.
	if !utf8.Valid(body) {
		return nil, errors.New("not a report: not UTF-8")
	}
	r := &model.Report{}
	if err := fastjson.Unmarshal(body, r); err != nil {
		return nil, fmt.Errorf("not a report: %w", err)
	}
	return r, workers.CheckReport(r)
}

// reportPatience is how long a report may wait for the loop.
//
// Guard: a worker gives a report up after four seconds and drops the answer. When all
// workers come back at once a queue of reports that nobody waits for any more would keep
// the loop from those that somebody does, for as long as they all come again.
const reportPatience = 3 * time.Second

// verdictAnswer is a verdict as workers are told it.
func verdictAnswer(v workers.Verdict) httpwire.Answer {
	a := httpwire.Answer{Status: v.Status}
	switch v.Status {
	case 200:
		if v.Commands == nil {
			v.Commands = []model.Command{}
		}
		a.Body, _ = json.Marshal(model.CheckInAnswer{Token: v.Token, Commands: v.Commands})
	case 421:
		a.Body, _ = json.Marshal(map[string]string{"foreman": v.Foreman})
	default:
		a = intake.Fail(v.Status, "not entitled to act")
	}
	return a
}

// Report takes a worker's checked report in, on the loop. The verdict may be given
// later, and is always given.
func (n *Node) Report(now time.Time, r *model.Report, reply func(workers.Verdict)) {
	n.decide(now, waitingReport{r, reply, now.Add(n.now.Placement.ReportWait)})
}

// waitingReport is a worker's report that is kept until there is a grant.
type waitingReport struct {
	report *model.Report
	reply  func(workers.Verdict)
	until  time.Time
}

// decide answers a report, or keeps it while only a grant is missing.
//
// Guard: for some seconds after the leader was lost nobody has a grant. Workers
// that were turned away then went from node to node, to the lost one as well,
// where each try takes four seconds; their leases ran out before the next
// leader's first grant.
func (n *Node) decide(now time.Time, w waitingReport) {
	v := n.desk.CheckIn(now, w.report)
	if v.Wait && now.Before(w.until) { // as many at most as workers are connected
		n.waiting = append(n.waiting, w)
		return
	}
	if v.Wait {
		if leader, _ := n.desk.Leader(); leader != "" && leader != n.cfg.Member {
			v.Status, v.Foreman = 421, n.siblingBesides(leader)
		}
	}
	w.reply(v)
	if v.Changed && n.term != nil {
		n.term.beatSoon()
	}
}

// siblingBesides names another controller than the one that is probably lost,
// or "".
func (n *Node) siblingBesides(lost string) string {
	for _, l := range n.links {
		if !l.local && l.member != lost {
			return l.member
		}
	}
	return ""
}

// decideWaiting looks again at the reports that wait for a grant.
func (n *Node) decideWaiting(now time.Time) {
	waiting := n.waiting
	n.waiting = nil
	for _, w := range waiting {
		n.decide(now, w)
	}
}

// up answers health checks, beside the loop: they must not wait behind the work of a busy
// one. A node that the state service alone refuses is of no use to users; in a general
// outage the others are no better. One whose loop stands still is of none either.
//
// Guard: queued with the reports of a whole cluster that came back at once, checks were
// answered late or with 503. The load balancer took the controllers out one after the
// other, for longer each time, and users found none of them.
func (n *Node) up(now time.Time) httpwire.Answer {
	switch why := n.cutOff(now); {
	case n.storeSeen.Load() == 0 || n.knownTypes() == nil:
		return intake.Fail(503, "starting")
	case why != "":
		return intake.Fail(503, why)
	case now.Sub(n.start)-time.Duration(n.ticked.Load()) > 3*time.Second:
		return intake.Fail(503, "the controller stands still")
	}
	return httpwire.Answer{Status: 200, Body: []byte(`{"status":"ok"}`)}
}

// cutOff tells why this node cannot serve users that another may serve; "" if nothing is known
// that keeps it from it.
func (n *Node) cutOff(now time.Time) string {
	seen, at := n.storeSeen.Load(), now.Sub(n.start)
	switch {
	case seen == 0:
	case at-time.Duration(seen) > 3*time.Second && n.othersSeen.Load() != 0 && at-time.Duration(n.othersSeen.Load()) < 2500*time.Millisecond:
		return "the state service refuses this node alone"
	case n.alone(at):
		return "neither the state service nor another controller is in reach"
	}
	return ""
}

// Round takes a leader's message in, on the loop, and answers it; with nil before
// this process has looked at the leader key.
func (n *Node) Round(now time.Time, r *peerspb.RoundRequest, reply func(*peerspb.RoundResponse)) {
	if n.lead.Least() == 0 { // see workers.Desk.NoneBelow
		reply(nil)
		return
	}
	n.heardSibling(now)
	n.lead.Heard(now, r.Token)
	out := n.desk.Round(now, r)
	n.noteStoreSeen()
	out.Settings = n.number
	reply(out)
	if r.Settings > max(n.number, n.refused) {
		n.adoptLater()
	}
	n.follow(now)
	n.decideWaiting(n.world.Now())
	n.direct(n.world.Now())
}

// serveRound answers a leader; it runs on gRPC's goroutines.
func (n *Node) serveRound(r *peerspb.RoundRequest) *peerspb.RoundResponse {
	ch := make(chan *peerspb.RoundResponse, 1)
	n.post(func() { n.Round(n.world.Now(), r, func(out *peerspb.RoundResponse) { ch <- out }) })
	select {
	case out := <-ch:
		return out
	case <-n.ctx.Done():
		return nil
	}
}

// direct makes the direct calls that are due.
func (n *Node) direct(now time.Time) {
	for _, c := range n.desk.Calls(now) {
		n.world.Go(func() {
			outcome, r := n.call(c)
			n.post(func() {
				at := n.world.Now()
				n.log.Debug("direct", "machine", c.Machine, "orders", len(c.Commands), "outcome", outcome.String(), "took", at.Sub(now))
				n.desk.Called(at, c, outcome, r)
				n.direct(at)
				if n.term != nil {
					n.term.beatSoon()
				}
			})
		})
	}
}

// call sends one direct call and judges its outcome.
func (n *Node) call(c workers.Call) (workers.CallOutcome, *model.Report) {
	ctx, cancel := context.WithTimeout(n.ctx, n.op.Service.DirectCall)
	defer cancel()
	if !n.world.Now().Before(c.Until) { // the node stood still meanwhile
		return workers.Refused, nil
	}
	status, r, err := n.world.Orders(ctx, c.Addr, model.DirectOrders{Token: c.Token, Session: c.Session, Commands: c.Commands})
	switch {
	case errors.Is(err, httpwire.ErrNotSent), status == 400:
		return workers.Refused, nil
	case err != nil, r == nil, status != 200 && status != 409:
		return workers.Unanswered, nil
	case status == 409:
		return workers.Refused, r
	}
	return workers.Executed, r
}

// Tick does what is due, on the loop. It is called every 50 ms or so.
func (n *Node) Tick(now time.Time) {
	n.ticked.Store(int64(now.Sub(n.start)))
	n.perform(n.lead.Tick(now))
	n.askAround(now)
	n.follow(now)
	if n.hub != nil {
		n.hub.Tick(now)
	}
	n.decideWaiting(now)
	if n.term != nil && n.lead.MayAct(now) {
		n.term.onTick(now)
	}
}

// follow begins and ends terms as leadership comes and goes.
func (n *Node) follow(now time.Time) {
	n.noteRight()
	state := n.lead.State()
	if state != n.lastState {
		n.log.Info("leadership", "from", n.lastState.String(), "to", state.String(), "token", n.lead.Token())
		n.lastState = state
		n.setBudgets(state == leadership.Leading)
	}
	switch {
	case state != leadership.Leading && n.term != nil:
		n.term.endDrains()
		n.term.end()
		n.term = nil
		n.views.Store(nil)
	case state == leadership.Leading && n.term == nil && n.knownTypes() != nil:
		n.term = newTerm(n, n.lead.Token(), now)
	case state == leadership.Leading && n.term != nil && n.term.token != n.lead.Token():
		n.term.renewed(n.lead.Token(), now)
	}
}

// perform carries out the actions of the leadership machine.
func (n *Node) perform(actions []leadership.Action) {
	for _, a := range actions {
		n.world.Go(func() { n.performOne(a) })
	}
}

func (n *Node) performOne(a leadership.Action) {
	sent, ctx := n.world.Now(), store.Urgent(n.ctx)
	switch a.Op {
	case leadership.ReadKey:
		it, err := n.store.Get(ctx, leadership.Key)
		var v leadership.Value
		if err == nil {
			if jerr := json.Unmarshal(it.Value, &v); jerr != nil {
				err = jerr
			}
		}
		n.post(func() {
			now := n.world.Now()
			switch {
			case err == nil:
				n.sawStore(now)
				n.perform(n.lead.KeyRead(now, sent, true, v, it.Stamp))
			case errors.Is(err, store.ErrNotFound):
				n.sawStore(now)
				n.perform(n.lead.KeyRead(now, sent, false, v, it.Stamp))
			default:
				n.lead.ReadFailed(now)
			}
			n.desk.NoneBelow(n.lead.Least())
			n.follow(now)
		})
	case leadership.GetHold:
		hold, err := n.store.Hold(ctx, n.terms.Hold)
		n.post(func() {
			if err != nil {
				n.lead.HoldFailed(n.world.Now())
				return
			}
			n.perform(n.lead.HoldMade(n.world.Now(), hold))
		})
	case leadership.Write:
		w := store.Put(leadership.Key, a.Claim)
		w.Hold = a.Hold
		out, err := n.store.Do(ctx, store.Txn{Guards: []store.Guard{{Key: leadership.Key, Stamp: a.Guard}},
			Writes: []store.Write{w}})
		n.post(func() {
			now := n.world.Now()
			n.lead.Written(now, sent, err == nil, out.OK(), out.Revision)
			n.follow(now)
		})
	case leadership.Touch:
		err := n.store.Touch(ctx, a.Hold)
		n.post(func() { n.lead.Touched(n.world.Now(), errors.Is(err, store.ErrNoHold)) })
	}
}

// noteStoreSeen lays out for up when a leader last said that it reaches the state service.
func (n *Node) noteStoreSeen() {
	if at := n.desk.StoreSeen(); !at.IsZero() {
		n.othersSeen.Store(int64(at.Sub(n.start)))
	}
}

func (n *Node) sawStore(now time.Time) { n.storeSeen.Store(int64(now.Sub(n.start)) + 1) }

// Users answers users' requests, beside the loop.
func (n *Node) Users() *intake.Intake { return n.intake }
