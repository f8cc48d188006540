package simtest

import (
	"fmt"
	"strings"
	"time"

	"github.com/marlwood/marlwood/internal/leadership"
)

// fault starts a fault.
func (w *cluster) fault(f Fault) { w.faultOn(f, w.machine(f.A)) }

// faultOn starts a fault; m is the machine that it concerns if it is a fault of a machine.
func (w *cluster) faultOn(f Fault, m *worker) {
	a, b := w.controller(f.A), w.controller(f.B)
	w.sim.logf("%s", f.story(a, b))
	if strings.HasSuffix(f.Kind, " machine") && m == nil || f.ofNode() && a.process.Dead() {
		w.missed++
	}
	if w.rare.begin(w, f, m) {
		return
	}
	w.cutController(f, a, b)
	w.disturbMessages(f)
	w.disturbStore(f, a)
	w.disturbProcesses(f, a)
	if strings.HasPrefix(f.Kind, "deaf") || strings.Contains(f.Kind, "zone") {
		w.cutMachines(f, m)
	} else if m != nil {
		w.disturbMachine(f, m)
	}
}

// cutFor starts a network partition for the time of a fault.
func (w *cluster) cutFor(f Fault, blocks func(from, to *place) bool) {
	w.net.cut(&cut{until: w.sim.Now() + f.For, hold: f.Hold, blocks: blocks})
}

// cutBetween cuts an endpoint off from some others, in both directions.
func (w *cluster) cutBetween(f Fault, x *place, with func(*place) bool) {
	w.cutFor(f, func(from, to *place) bool { return (from == x && with(to)) || (to == x && with(from)) })
}

// everybody selects all endpoints.
func everybody(*place) bool { return true }

// cutController starts a fault that cuts a controller off.
func (w *cluster) cutController(f Fault, a, b *node) {
	switch f.Kind {
	case "cut node":
		w.cutBetween(f, a.place, everybody)
	case "cut node from nodes":
		w.cutBetween(f, a.place, func(p *place) bool { return p.role == controllerRole })
	case "cut node from store":
		w.cutBetween(f, a.place, func(p *place) bool { return p.role == storeRole })
	case "cut node from workers":
		w.cutBetween(f, a.place, func(p *place) bool { return p.role == workerRole })
	case "alone with workers":
		w.cutBetween(f, a.place, func(p *place) bool { return p.role == controllerRole || p.role == storeRole })
	case "cut nodes":
		w.cutBetween(f, a.place, func(p *place) bool { return p == b.place })
	case "cut into node":
		w.cutFor(f, func(_, to *place) bool { return to == a.place })
	case "cut out of node":
		w.cutFor(f, func(from, _ *place) bool { return from == a.place })
	}
}

// cutMachines starts a fault that cuts off a zone, or that keeps messages from machines.
func (w *cluster) cutMachines(f Fault, m *worker) {
	zone := zones[f.A%len(zones)]
	switch f.Kind {
	case "cut zone":
		w.cutFor(f, func(from, to *place) bool { return (from.zone == zone) != (to.zone == zone) })
		w.zoneCut(zone, f.For)
	case "deafen zone":
		w.cutFor(f, func(from, to *place) bool {
			return from.role == controllerRole && to.role == workerRole && to.zone == zone
		})
	case "deafen machine", "deaf for good":
		if f.Kind == "deaf for good" { // all jobs must be served while it lasts
			f.For = w.plan.bound()
		}
		if m != nil {
			w.cutFor(f, func(from, to *place) bool { return from.role == controllerRole && to == m.place })
		}
	}
}

// disturbMachine starts a fault of one machine.
func (w *cluster) disturbMachine(f Fault, m *worker) {
	switch f.Kind {
	case "cut machine":
		w.cutBetween(f, m.place, everybody)
	case "reset machine":
		m.resets = max(m.resets, w.sim.Now()+f.For)
		w.cutBetween(f, m.place, everybody)
	case "faulty machine":
		m.faulty = max(m.faulty, w.sim.Now()+f.For)
	case "machine back":
		m.restart(f.restartDelay())
	case "hang machine":
		if !m.hung {
			m.hang(f.For)
		}
	case "stop machine":
		m.end("stopped")
	}
}

// disturbMessages starts a fault of connections or messages.
func (w *cluster) disturbMessages(f Fault) {
	until := w.sim.Now() + f.For
	switch f.Kind {
	case "refuse":
		w.net.refuse = max(w.net.refuse, until)
	case "delays":
		w.net.slow, w.net.slowBy = max(w.net.slow, until), min(f.For, 8*time.Second)
	case "late copies":
		w.copies = max(w.copies, until)
	case "late requests":
		w.requests.late = max(w.requests.late, until)
	case "late calls":
		w.lateCalls = max(w.lateCalls, until)
	case "old records":
		w.old = max(w.old, until)
	}
}

// disturbStore starts a fault of the state service.
func (w *cluster) disturbStore(f Fault, a *node) {
	until := w.sim.Now() + f.For
	switch f.Kind {
	case "store refuses node":
		w.store.Refuse(a.place.name, f.For)
	case "outage":
		w.store.Fail(f.For)
	case "late writes":
		w.lateWrites = max(w.lateWrites, until)
	case "slow store":
		w.slowStore = max(w.slowStore, until)
	case "limits fall":
		w.store.TxnOps = 4
	}
}

// disturbProcesses starts a fault of controllers' processes.
func (w *cluster) disturbProcesses(f Fault, a *node) {
	switch f.Kind {
	case "crash":
		a.crash(f.For/4 + 500*time.Millisecond)
	case "crash back":
		a.crash(f.restartDelay())
	case "crash all":
		for _, n := range w.nodes {
			n.crash(f.For/4 + 500*time.Millisecond)
		}
		w.sim.After(w.plan.Lease, w.allAway)
	case "crash all back":
		for _, n := range w.nodes {
			n.crash(f.restartDelay() + w.sim.Between(0, 200*time.Millisecond))
		}
	case "freeze":
		a.process.Freeze(f.For)
	}
}

// leaderIndex is the index of the controller that holds the leader key.
const leaderIndex = 7

// controller returns the i-th controller, or the holder of the leader key if i is out of range.
func (w *cluster) controller(i int) *node {
	if i < len(w.nodes) {
		return w.nodes[i]
	}
	if it, err := w.store.Get(leadership.Key); err == nil {
		for _, n := range w.nodes {
			if strings.Contains(string(it.Value), n.place.name) {
				return n
			}
		}
	}
	return w.nodes[0]
}

// machine returns the i-th running machine; the index wraps around. It returns nil if there is none.
func (w *cluster) machine(i int) *worker {
	var up []*worker
	for _, m := range w.cloud.machines {
		if m.up && !m.terminated {
			up = append(up, m)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[i%len(up)]
}

func (f Fault) story(a, b *node) string {
	how := "lost"
	if f.Hold {
		how = "held"
	}
	var what string
	switch f.Kind {
	case "cut node", "cut node from nodes", "cut node from store", "cut node from workers", "cut into node", "cut out of node":
		what = fmt.Sprintf("%s %s, packets are %s", f.Kind, a.place.name, how)
	case "cut nodes":
		what = fmt.Sprintf("cut nodes %s and %s, packets are %s", a.place.name, b.place.name, how)
	case "cut zone":
		what = fmt.Sprintf("cut zone %s, packets are %s", zones[f.A%len(zones)], how)
	case "cut machine":
		what = fmt.Sprintf("cut machine %d, packets are %s", f.A, how)
	case "deafen zone":
		what = fmt.Sprintf("deafen zone %s, packets are %s", zones[f.A%len(zones)], how)
	case "deafen machine", "deaf for good":
		what = fmt.Sprintf("deafen machine %d, packets are %s", f.A, how)
	case "alone with workers":
		what = fmt.Sprintf("%s alone with the workers, packets are %s", a.place.name, how)
	case "crash back":
		what = fmt.Sprintf("crash %s, back after %v", a.place.name, f.restartDelay())
	case "machine back":
		what = fmt.Sprintf("machine %d ends, back after %v", f.A, f.restartDelay())
	case "store refuses node", "crash", "freeze":
		what = fmt.Sprintf("%s %s", f.Kind, a.place.name)
	case "hang machine", "stop machine", "mute machine", "reset machine", "faulty machine":
		what = fmt.Sprintf("%s %d", f.Kind, f.A)
	default:
		what = f.Kind
	}
	return fmt.Sprintf("FAULT for %.1f s: %s", f.For.Seconds(), what)
}
