package simtest

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/marlwood/marlwood/internal/controller"
	"github.com/marlwood/marlwood/internal/operators/operatorspb"
	"github.com/marlwood/marlwood/internal/placement"
)

// The kinds of operators' requests.
const (
	drainZone    = "drain"
	undrainZone  = "undrain"
	reloadIdle   = "reload"
	rollBack     = "rollback"
	settingsKey  = placement.OpsPrefix + "settings"
	lastRequests = troubles + time.Second // when operators put everything back
)

// OperatorRequest is a change that an operator asks for once, at one controller, and gives up after a time.
type OperatorRequest struct {
	At      time.Duration
	Kind    string
	Zone    string // to drain or undrain
	Number  int    // of the settings to go back to, or seconds of the reloaded idle time
	To      int    // index of the controller; above 2: the leader
	Patient time.Duration
	Earlier bool // the client is of an earlier version, and tells nothing about what it saw
}

// target returns what a request changes.
func (r OperatorRequest) target() string {
	if r.Kind == drainZone || r.Kind == undrainZone {
		return r.Zone
	}
	return "settings"
}

// OperatorRequests draws schedules in which operators drain, undrain, reload and go back, while messages between them
// and the controllers are held, arrive twice or overtake each other. The controllers pass requests on to the leader.
var OperatorRequests = rapid.Custom(func(t *rapid.T) Plan {
	p := Plans.Draw(t, "plan")
	p.Faults = p.Faults[:min(len(p.Faults), max(0, rapid.IntRange(-3, 1).Draw(t, "other faults")))]
	p.Drains = nil
	at := seconds(t, "first request", 5, 15)
	for range rapid.IntRange(3, 10).Draw(t, "requests") {
		r := OperatorRequest{At: at, Kind: rapid.SampledFrom([]string{drainZone, drainZone, undrainZone, undrainZone, reloadIdle, rollBack}).Draw(t, "kind"),
			Zone: rapid.SampledFrom([]string{"a", "a", "b"}).Draw(t, "drained"), Number: rapid.IntRange(1, 4).Draw(t, "number"), To: rapid.IntRange(0, 4).Draw(t, "to"),
			Patient: seconds(t, "patient", 1, 8), Earlier: rapid.IntRange(0, 2).Draw(t, "earlier") == 0}
		p.Requests = append(p.Requests, r)
		at += seconds(t, "then", 0, 6)
	}
	for range rapid.IntRange(1, 3).Draw(t, "held") {
		kind := rapid.SampledFrom([]string{"cut node", "cut node from nodes", "cut nodes", "late requests", "late requests", "crash back"}).Draw(t, "hold")
		p.Faults = append(p.Faults, Fault{Kind: kind, At: seconds(t, "held at", 4, 30), For: seconds(t, "held for", 3, 25), A: rapid.IntRange(0, 4).Draw(t, "one"),
			B: rapid.IntRange(0, 4).Draw(t, "other"), Hold: true})
	}
	return p
})

// operatorState is the state that the last definite answer about a target told an operator, while nobody has asked for
// another change of it since.
type operatorState struct {
	told    string
	drained bool
	number  uint64 // of the settings
}

// operatorRequests is the state of the operators of a cluster.
type operatorRequests struct {
	asked  map[string]int           // number of requests so far, by target
	states map[string]operatorState // by target
	late   time.Duration            // until then some requests are delivered a second time, later
}

// operatorRequest makes an operator send a request, wait for its answer and then expect what it says.
func (w *cluster) operatorRequest(number int, r OperatorRequest) {
	target := r.target()
	w.checkTold(target)
	delete(w.requests.states, target)
	w.requests.asked[target]++
	nth := w.requests.asked[target]
	message := w.requestMessage(fmt.Sprint("request-", number), r)
	w.users.Spawn(func() {
		reply, err := w.sendRequest(message, r)
		w.sim.logf("operator: %s %s %d: %v", r.Kind, r.Zone, r.Number, err)
		if w.requests.asked[target] != nth {
			return
		}
		switch {
		case r.Kind == drainZone && err == nil:
			w.requests.states[target] = operatorState{told: "drained", drained: true}
		case r.Kind == undrainZone && (err == nil || status.Code(err) == codes.NotFound):
			w.requests.states[target] = operatorState{told: "not drained"}
		case err == nil:
			w.requests.states[target] = operatorState{told: "settings in force", number: reply.GetReload().Number}
		}
	})
}

// requestMessage returns the message of a request.
func (w *cluster) requestMessage(id string, r OperatorRequest) *operatorspb.Request {
	message := &operatorspb.Request{Caller: &operatorspb.Caller{Name: "operator"}}
	drains, reloads := w.drainsOrigin(id), &operatorspb.Origin{Id: id, Seen: w.storedSettings()}
	if r.Earlier {
		drains, reloads = nil, nil
	}
	switch r.Kind {
	case drainZone:
		message.What = &operatorspb.Request_Drain{Drain: &operatorspb.DrainRequest{Zone: r.Zone, Force: true, Origin: drains}}
	case undrainZone:
		message.What = &operatorspb.Request_Undrain{Undrain: &operatorspb.UndrainRequest{Zone: r.Zone, Origin: drains}}
	case reloadIdle:
		message.What = &operatorspb.Request_Reload{Reload: &operatorspb.ReloadRequest{Text: fmt.Sprintf(`(marlwood (fleet (idle "%ds")))`, 3+r.Number), Origin: reloads}}
	default:
		message.What = &operatorspb.Request_Reload{Reload: &operatorspb.ReloadRequest{Number: uint64(r.Number), Origin: reloads}}
	}
	return message
}

// sendRequest sends a request to its controller and waits for the answer.
func (w *cluster) sendRequest(message *operatorspb.Request, r OperatorRequest) (*operatorspb.Reply, error) {
	n := w.controller(r.To)
	if n.process.Dead() {
		return nil, status.Error(codes.Unavailable, "dead")
	}
	send := w.sendOverNetwork
	if r.Earlier {
		send = w.sendAtOnce
	}
	out, ok := send(n, message, r.Patient)
	if !ok {
		return nil, status.Error(codes.DeadlineExceeded, "no answer")
	}
	return out.reply, out.err
}

// sendOverNetwork sends a request that may be held or arrive twice.
func (w *cluster) sendOverNetwork(n *node, message *operatorspb.Request, patient time.Duration) (operatorAnswer, bool) {
	return ask(w.users, w.net, w.place, n.place, patient, func(reply func(operatorAnswer)) { n.takeRequest(message, reply, true) })
}

// sendAtOnce sends the request of a client of an earlier version, which reaches its controller at once: a controller
// cannot tell one that was held before from a new one.
func (w *cluster) sendAtOnce(n *node, message *operatorspb.Request, patient time.Duration) (out operatorAnswer, ok bool) {
	w.users.Await(func(wake func()) {
		done := false
		finish := func(answer operatorAnswer, answered bool) {
			if !done {
				done, out, ok = true, answer, answered
				wake()
			}
		}
		n.takeRequest(message, func(answer operatorAnswer) { w.sim.After(time.Millisecond, func() { finish(answer, true) }) }, false)
		w.sim.After(patient, func() { finish(operatorAnswer{}, false) })
	})
	return out, ok
}

// operatorAnswer is a controller's answer to an operator's request.
type operatorAnswer struct {
	reply *operatorspb.Reply
	err   error
}

// takeRequest delivers a request to a controller, and sometimes delivers it once more, later.
func (n *node) takeRequest(message *operatorspb.Request, reply func(operatorAnswer), again bool) {
	p, w := n.process, n.cluster
	deliver := func(reply func(operatorAnswer)) {
		request := proto.CloneOf(message)
		p.Enter(func() {
			n.node.HandleOperatorRequestOnLoop(context.Background(), n.Now(), request, func(out *operatorspb.Reply, err error) { reply(operatorAnswer{out, err}) })
		})
	}
	deliver(reply)
	if again && w.sim.Now() < w.requests.late && w.sim.Rand.IntN(2) == 0 {
		w.sim.After(w.sim.Between(100*time.Millisecond, 20*time.Second), func() { deliver(func(operatorAnswer) {}) })
	}
}

// storedSettings returns the number of the settings in force.
func (w *cluster) storedSettings() uint64 {
	var record struct{ Number uint64 }
	item, err := w.store.Get(settingsKey)
	if err != nil || json.Unmarshal(item.Value, &record) != nil {
		return 0
	}
	return record.Number
}

// checkTold checks that a target still has the state of which an operator was told.
func (w *cluster) checkTold(target string) {
	state, ok := w.requests.states[target]
	if !ok {
		return
	}
	if target == "settings" {
		if number := w.storedSettings(); number != state.number {
			w.sim.breaks("outdated", "settings %d are in force, an operator was told of %d", number, state.number)
		}
		return
	}
	_, err := w.store.Get((&placement.Drain{Scope: placement.ZoneScope, Name: target}).Key())
	if drained := err == nil; drained != state.drained {
		w.sim.breaks("outdated", "zone %s: drained %v, an operator was told %s", target, drained, state.told)
	}
}

// scheduleRequests schedules the operators' requests. In the end every zone is undrained.
func (w *cluster) scheduleRequests(requests []OperatorRequest) {
	for i, r := range requests {
		w.sim.At(r.At, func() { w.operatorRequest(i, r) })
	}
	if len(requests) == 0 {
		return
	}
	for i, zone := range zones {
		last := OperatorRequest{Kind: undrainZone, Zone: zone, To: len(w.nodes), Patient: 10 * time.Second}
		for try := range 8 {
			w.sim.At(lastRequests+time.Duration(try)*5*time.Second, func() {
				if w.requests.states[zone].told != "not drained" {
					w.operatorRequest(len(requests)+8*i+try, last)
				}
			})
		}
	}
	for at := time.Second; at < lastRequests+time.Minute; at += time.Second {
		w.sim.At(at, func() {
			for _, target := range append([]string{"settings"}, zones...) {
				w.checkTold(target)
			}
		})
	}
}

// requestLink is a link over which operators' requests are passed on too.
type requestLink struct{ link }

var _ controller.Peer = requestLink{}

// Forward passes a request on and returns the answer.
func (l requestLink) Forward(_ context.Context, r *operatorspb.Request) (*operatorspb.Reply, error) {
	w := l.from.cluster
	if w.net.refused(l.from.place, l.to.place) || l.to.process.Dead() {
		return nil, status.Error(codes.Unavailable, "refused")
	}
	out, ok := ask(l.from.process, w.net, l.from.place, l.to.place, 15*time.Second, func(reply func(operatorAnswer)) { l.to.takeRequest(r, reply, true) })
	if !ok {
		return nil, status.Error(codes.DeadlineExceeded, "no answer")
	}
	return out.reply, out.err
}

// CheckSettings asks a peer whether it could adopt settings.
func (l requestLink) CheckSettings(_ context.Context, text string) (string, error) {
	w := l.from.cluster
	if _, _, blocked := w.net.blocked(l.from.place, l.to.place); blocked || l.to.process.Dead() {
		return "", errNoAnswer
	}
	return l.to.node.CheckSettings(text), nil
}
