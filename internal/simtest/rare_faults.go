package simtest

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"pgregory.net/rapid"

	"github.com/marlwood/marlwood/internal/httpwire"
	"github.com/marlwood/marlwood/internal/leadership"
	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/store"
	"github.com/marlwood/marlwood/internal/workers"
)

// Met is a kind of event that faults caused and the simulation observed. Tests use the counts to check that a
// scripted combination of faults did take place, as otherwise it shows nothing.
type Met int

// The kinds of events that are counted.
const (
	MetLeader               Met = iota // another process leads
	MetToken                           // the leader took a new fencing token: pools change owners, or an unknown outcome is resolved
	MetUnansweredWrite                 // a transaction was applied at once and its answer lost
	MetLateWrite                       // a transaction was applied late and changed something
	MetCloseLook                       // a user's request was sent within milliseconds after a change of a job's stage
	MetAtEnd                           // a cancellation sent as the last task ended was followed by a final stage
	MetAtEndDone                       // the same, and the job was reported as done
	MetOutOfReach                      // a cancellation was confirmed with a task on a machine that hangs or cannot exchange messages with the leader
	MetAtLimit                         // the same, and the job's team was at its limit
	MetOldReport                       // an old heartbeat reached a controller when a leader began, or after it had acted
	MetNewMachine                      // a task began within three seconds after its machine came up, while writes were late or unanswered
	MetMuteTask                        // a machine with tasks reached no controller
	MetCallToMute                      // a direct call was carried out on a machine that reached no controller
	MetZoneLoses                       // a machine ended with a task that is restricted to its zone
	MetBadRequest                      // a bad submission, or a request about a job that nobody submitted, was refused
	MetHandover                        // a cancellation was confirmed within five seconds before or after a new fencing token
	MetAllAway                         // no controller was running one lease after all had crashed
	MetZoneCut                         // a machine with tasks was in a zone that was cut off for longer than a lease
	MetEarlierLife                     // a heartbeat of an earlier life of a worker reached a controller
	MetEarlierLifeOutruns              // the same; it showed the token that the present life had shown, with larger numbers
	MetEarlierLifeLacksTask            // the same, and it lacked a task that was on the machine
	MetLateCall                        // a direct call that was carried out and answered reached its worker once more
	MetLateCallForgotten               // the same; it carried the start of an attempt that the worker had forgotten
	MetLateCallStarts                  // the same, and the worker carried it out
	MetKinds
)

// rareFaultKinds are the additional fault kinds that RareFaults draws: of controllers, machines and users.
var rareFaultKinds = []string{"lost answers", "lost answers", "copies for the next", "copies for the next", "close looks", "close looks", "close looks", "cancel at end", "cancel at end",
	"cancel now", "cancel now", "mute machine", "mute machine", "mute zone", "odd requests", "late writes", "crash", "crash back", "outage", "hang machine"}

// RareFaults draws schedules that add one to three faults of rareFaultKinds to those of OverlappingFaults, each near
// the start or the end of another fault. In a quarter of the schedules every team has a limit.
var RareFaults = rapid.Custom(func(t *rapid.T) Plan {
	p := OverlappingFaults.Draw(t, "plan")
	var edges []time.Duration
	for _, f := range p.Faults {
		edges = append(edges, f.At, min(f.At+f.For, troubles-time.Second))
	}
	for range rapid.IntRange(1, 3).Draw(t, "further") {
		at := max(0, rapid.SampledFrom(edges).Draw(t, "further edge")+seconds(t, "further off", -2, 2))
		f := Fault{Kind: rapid.SampledFrom(rareFaultKinds).Draw(t, "further kind"), At: at, A: rapid.SampledFrom([]int{7, 7, 0, 1, 2}).Draw(t, "further of"),
			For: max(time.Second, min(seconds(t, "further for", 1, 40), troubles-at)), Hold: rapid.Bool().Draw(t, "further hold")}
		edges = append(edges, f.At, f.At+f.For)
		p.Faults = append(p.Faults, f)
	}
	p.Limits = rapid.IntRange(0, 3).Draw(t, "limits") == 3
	for i := range p.Jobs {
		if j := &p.Jobs[i]; p.Limits && (j.Shape != model.Array || j.Tasks > 2) {
			j.Tasks = min(j.Tasks, 2) // its team's limit allows no more
		}
	}
	return p
})

// rareFaults holds the time until which each of the rare faults lasts, and their state.
type rareFaults struct {
	unansweredWrites, keepReports, closeLooks, cancelAtEnd, badRequests time.Duration

	kept            []sentReport // heartbeats kept to be delivered again under the next leader
	leader          string       // the process that is the leader
	token           uint64       // the leader's fencing token, reset to 0 when a task begins under it
	badRequestCount int          // bad submissions

	tokenAt, confirmedAt time.Duration // when the leader took its token; when a cancellation was last confirmed
}

// begin starts a rare fault. It returns false if the fault is of another kind.
func (x *rareFaults) begin(w *cluster, f Fault, m *worker) bool {
	s := w.sim
	until := s.Now() + f.For
	switch f.Kind {
	case "lost answers":
		x.unansweredWrites = max(x.unansweredWrites, until)
	case "copies for the next":
		x.keepReports = max(x.keepReports, until)
	case "close looks":
		x.closeLooks = max(x.closeLooks, until)
	case "cancel at end":
		x.cancelAtEnd = max(x.cancelAtEnd, until)
	case "odd requests":
		x.badRequests = max(x.badRequests, until)
		w.users.Spawn(func() { w.sendBadRequests(until) })
	case "cancel now":
		w.cancelNow(f, func(*job) bool { return true })
	case "cancel out of reach":
		w.cancelNow(f, w.hasTaskOutOfReach)
	case "mute machine":
		if m != nil {
			w.silence(m, until)
		}
	case "mute zone":
		for _, m := range w.cloud.machines {
			if m.pool.Zone == zones[f.A%len(zones)] && !m.terminated {
				w.silence(m, until)
			}
		}
	default:
		return false
	}
	return true
}

// silence makes a machine reach no controller until the given time, while direct calls still reach it.
func (w *cluster) silence(m *worker, until time.Duration) {
	m.mute = max(m.mute, until)
	if m.busy() {
		w.met[MetMuteTask]++
	}
}

// busy reports whether tasks are on a machine.
func (m *worker) busy() bool {
	for _, t := range m.tasks {
		if t.on {
			return true
		}
	}
	return false
}

// cancelNow makes users cancel up to three of some running jobs within a fifth of a second. With Hold, the machines of
// these jobs hang.
func (w *cluster) cancelNow(f Fault, some func(j *job) bool) {
	n := 0
	for _, j := range w.all {
		if n == 3 || !j.accepted || j.told.Final() || len(j.on) == 0 || !some(j) {
			continue
		}
		n++
		for i := range j.finished {
			if m := j.on[i]; m != nil && f.Hold && !m.hung {
				m.hang(f.For)
			}
		}
		w.users.Spawn(func() {
			w.users.Sleep(w.sim.Between(0, 200*time.Millisecond))
			w.cancelUntilFinal(j, false)
		})
	}
	if n == 0 {
		w.missed++
	}
}

// queryAllControllers makes a job's user query all controllers and repeat the submission within milliseconds after the
// job's stage changed. Some users also cancel at once.
func (w *cluster) queryAllControllers(j *job) {
	if w.sim.Now() >= w.rare.closeLooks {
		return
	}
	if w.sim.Rand.IntN(6) == 0 && !j.told.Final() {
		w.users.Spawn(func() { w.cancelUntilFinal(j, false) })
	}
	for _, n := range w.nodes {
		for _, x := range []struct {
			what string
			do   func(*node) httpwire.Answer
		}{{"question", j.question}, {"submission", j.submission}, {"question", j.question}, {"cancellation", j.cancellation}} {
			if x.what == "cancellation" && !j.told.Final() {
				continue
			}
			w.users.Spawn(func() {
				w.users.Sleep(w.sim.Between(0, 20*time.Millisecond))
				w.via(j, x.what, n, x.do)
				w.met[MetCloseLook]++
			})
		}
	}
}

// lastTaskDone makes a job's user cancel, query and resubmit it at all controllers as its last task ends.
func (w *cluster) lastTaskDone(j *job) {
	if w.sim.Now() >= w.rare.cancelAtEnd || !j.allDone() || j.told.Final() {
		return
	}
	j.cancelRequested = true
	for i, n := range w.nodes {
		w.users.Spawn(func() {
			w.users.Sleep(w.sim.Between(0, 1500*time.Millisecond) / time.Duration(1+9*i))
			w.via(j, "cancellation", n, j.cancellation)
			if j.told.Final() {
				w.met[MetAtEnd]++
			}
			if j.told == model.Done {
				w.met[MetAtEndDone]++
			}
		})
		w.users.Spawn(func() { w.via(j, "question", n, j.question) })
		w.users.Spawn(func() { w.via(j, "submission", n, j.submission) })
	}
}

// checkNotOlder checks that an answer is not older than what its user had been told before the request.
func (w *cluster) checkNotOlder(j *job, what string, n *node, a httpwire.Answer, known bool, before model.Stage) {
	if a.Status != 200 && a.Status != 201 {
		if known && (a.Status == 404 || a.Status == 400 || a.Status == 422) {
			w.sim.breaks("forgotten", "a %s of %s at %s is answered %d", what, j.id, n.place.name, a.Status)
		}
		return
	}
	var v struct {
		Stage model.Stage `json:"stage"`
	}
	if err := json.Unmarshal(a.Body, &v); err != nil {
		w.sim.breaks("garbled", "%s", a.Body)
	} else if stageOrder(v.Stage) < stageOrder(before) {
		w.sim.breaks("older_answer", "a %s of %s at %s is answered %s; its user had been told %s", what, j.id, n.place.name, v.Stage, before)
	}
}

// stageOrder returns the position of a stage in the order of stages. No user may see an earlier stage after a later
// one.
func stageOrder(s model.Stage) int {
	switch s {
	case "":
		return 0
	case model.Queued:
		return 1
	case model.Running:
		return 2
	}
	return 3
}

// sendBadRequests makes users send submissions that must be refused, query jobs that nobody submitted, and repeat
// submissions of known jobs with another body.
func (w *cluster) sendBadRequests(until time.Duration) {
	for w.sim.Now() < until {
		w.users.Sleep(w.sim.Between(100*time.Millisecond, 900*time.Millisecond))
		if len(w.all) == 0 {
			continue
		}
		j := w.all[w.sim.Rand.IntN(len(w.all))]
		n := w.choose(false)
		x := &w.rare
		x.badRequestCount++
		id := fmt.Sprintf("odd-%d", x.badRequestCount)
		var body map[string]any
		_ = json.Unmarshal(j.body, &body)
		switch x.badRequestCount % 5 {
		case 0:
			delete(body, []string{"docket", "crew", "shape", "pieces", "cpus", "memoryGb", "kit", "guessS"}[x.badRequestCount/5%8])
		case 1:
			body["crew"] = "nobody"
		case 2:
			body["cpus"] = machineType.Size.CPUs + 1
		case 3:
			body["crew"], body["shape"], body["pieces"], body["cpus"] = "tight", "gang", 3, 2.0
		case 4:
			body["yard"] = "nowhere"
		}
		if w.sim.Rand.IntN(2) == 0 && j.accepted { // a repeated submission of a known job with a changed body
			raw, _ := json.Marshal(body)
			w.via(j, "submission", n, func(n *node) httpwire.Answer { return n.node.API().Submit(context.Background(), raw) })
			continue
		}
		body["nameId"] = id
		raw, _ := json.Marshal(body)
		for _, a := range []httpwire.Answer{
			w.request(n, func(n *node) httpwire.Answer { return n.node.API().Submit(context.Background(), raw) }),
			w.request(n, func(n *node) httpwire.Answer { return n.node.API().Status(context.Background(), id) }),
			w.request(n, func(n *node) httpwire.Answer { return n.node.API().Cancel(context.Background(), id) }),
		} {
			switch a.Status {
			case http.StatusOK, http.StatusCreated:
				w.sim.breaks("invented", "what is to be refused is answered %d: %s", a.Status, raw)
			case http.StatusNotFound, http.StatusBadRequest, http.StatusUnprocessableEntity:
				w.met[MetBadRequest]++
			}
		}
	}
}

// confirmed counts the circumstances under which a cancellation was confirmed to a user.
func (w *cluster) confirmed(j *job) {
	w.rare.confirmedAt = w.sim.Now()
	w.rare.handover(w, w.rare.confirmedAt, w.rare.tokenAt)
	out, used := false, model.Size{}
	for i := range j.finished {
		out = out || j.on[i] != nil && w.outOfReach(j.on[i])
	}
	for _, o := range w.all {
		if o.spec.Team == j.spec.Team {
			used = used.Add(o.spec.Size.Times(len(o.on)))
		}
	}
	if out {
		w.met[MetOutOfReach]++
		if !w.plan.teams()[j.spec.Team].WithinLimit(used.Add(j.spec.Size)) {
			w.met[MetAtLimit]++
		}
	}
}

// handover counts a confirmed cancellation and a new fencing token that are at most five seconds apart.
func (x *rareFaults) handover(w *cluster, later, earlier time.Duration) {
	if earlier > 0 && later-earlier <= 5*time.Second {
		w.met[MetHandover]++
	}
}

// hasTaskOutOfReach reports whether a task of a job is on a machine that is out of reach.
func (w *cluster) hasTaskOutOfReach(j *job) bool {
	for i := range j.finished {
		if m := j.on[i]; m != nil && w.outOfReach(m) {
			return true
		}
	}
	return false
}

// outOfReach reports whether a machine hangs, is mute, or cannot exchange messages with the leader.
func (w *cluster) outOfReach(m *worker) bool {
	n := w.controller(len(w.nodes))
	_, _, in := w.net.blocked(n.place, m.place)
	_, _, away := w.net.blocked(m.place, n.place)
	return in || away || m.hung || w.sim.Now() < m.mute
}

// keep stores a heartbeat to be delivered again under the next leader.
func (w *cluster) keep(r sentReport) {
	if w.sim.Now() < w.rare.keepReports && len(w.rare.kept) < 200 {
		w.rare.kept = append(w.rare.kept, r)
	}
}

// wrote handles an applied transaction: it detects a new leader or a new fencing token.
func (w *cluster) wrote(t store.Txn) {
	for _, c := range t.Writes {
		if c.Set != leadership.Key {
			continue
		}
		var v leadership.LeaderRecord
		if err := json.Unmarshal(c.Value, &v); err != nil {
			w.sim.breaks("garbled", "%s", c.Value)
			return
		}
		it, _ := w.store.Get(leadership.Key)
		x := &w.rare
		x.token, x.tokenAt = it.Revision, w.sim.Now()
		if process := v.Member + "/" + v.Boot; process != x.leader {
			x.leader = process
			w.met[MetLeader]++
			w.deliverKept()
		} else {
			w.met[MetToken]++
			x.handover(w, x.tokenAt, x.confirmedAt)
		}
	}
}

// acted handles the start of a task. The first start under a leader's token shows that the leader has acted.
func (w *cluster) acted(m *worker, attempt uint64) {
	x := &w.rare
	if x.token != 0 && attempt>>20 == x.token {
		x.token = 0
		w.deliverKept()
		x.kept = nil
	}
	lagging := w.sim.Now() < max(w.lateWrites, x.unansweredWrites)
	if lagging && w.sim.Now() < m.upAt+3*time.Second {
		w.met[MetNewMachine]++
	}
}

// soonAfter are the delays with which kept heartbeats arrive after a leader took the leader key, and after it has
// acted. They cover the time before the controllers know the leader, and the time before and while machines send
// heartbeats to their owners under its token.
var soonAfter = []time.Duration{0, 100 * time.Millisecond, 300 * time.Millisecond, 700 * time.Millisecond, 1200 * time.Millisecond, 2 * time.Second}

// deliverKept delivers each kept heartbeat to every controller and drops the answers.
func (w *cluster) deliverKept() {
	for i, r := range w.rare.kept {
		for _, n := range w.nodes {
			w.sim.After(soonAfter[i%len(soonAfter)]+w.sim.Between(0, 5*time.Millisecond), func() {
				n.process.Enter(func() {
					w.met[MetOldReport]++
					r.arrived()
					n.node.HandleHeartbeat(n.Now(), r.heartbeat, func(workers.HeartbeatResult) {})
				})
			})
		}
	}
}

// zoneCut counts the machines with tasks in a zone that is cut off for longer than a lease.
func (w *cluster) zoneCut(zone string, d time.Duration) {
	for _, m := range w.cloud.machines {
		if d > w.plan.Lease && m.pool.Zone == zone && m.busy() {
			w.met[MetZoneCut]++
		}
	}
}

// allAway counts the case that no controller is running. It is called one lease after all controllers crashed.
func (w *cluster) allAway() {
	for _, n := range w.nodes {
		if !n.process.Dead() {
			return
		}
	}
	w.met[MetAllAway]++
}

// String returns the name of the event as it appears in test output.
func (m Met) String() string {
	return [...]string{"another leader", "a fresh token", "an answer lost", "a late write", "a close look", "a cancellation at the end", "done against a cancellation",
		"cancelled out of reach", "cancelled out of reach at a limit", "an old report", "a new machine while writes lag", "a busy machine mute", "a call to a mute machine",
		"a zone's job lost a machine", "an odd request", "cancelled as work changes hands", "all away", "a busy zone cut off", "a report of an earlier life", "one that outruns the present life", "one that outruns it and lacks a task", "a late call", "a forgotten start in one", "one that was carried out"}[m]
}
