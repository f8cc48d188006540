package main

import (
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"
)

// beginsAnew: an idle machine loses the network for a while, and begins anew under its name and address meanwhile. Its
// last report before that is held up. The machine is back and gets a task. Then the late report arrives.
func beginsAnew(w *world, trouble bool) {
	w.startAll()
	// A large machine that is full, and a small one that is up and has nothing to do. The large one costs less a CPU.
	stays := w.add(map[string]any{"nameId": "req-000001", "cpus": 4.0, "hulls": []string{"m8"}})
	full := w.add(map[string]any{"nameId": "req-000002", "cpus": 4.0, "hulls": []string{"m8"}})
	idle := w.add(map[string]any{"nameId": "req-000003", "cpus": 4.0, "hulls": []string{"s4"}})
	wanted := w.add(map[string]any{"nameId": "req-000004", "cpus": 4.0, "hulls": []string{"s4", "m8"}, "loaners": true})
	w.begin(stays, full)
	small := watchNewMachine(w)
	before := len(w.cloud.Machines())
	w.insist(w.nodes, "submit", idle)
	w.need(10*time.Second, "a machine is rented", func() bool { return len(w.cloud.Machines()) > before })
	w.insist(w.nodes, "cancel", idle)
	w.need(15*time.Second, "the machine is up", small.showedToken)
	if trouble {
		small.cutOff()
		w.need(cutFor+8*time.Second, "a report is held up", small.reportHeldUp)
		time.Sleep(100 * time.Millisecond)
		small.beginAnew()
		w.need(20*time.Second, "the machine is heard again", small.heardAgain)
	}
	w.begin(wanted)
	w.insist(w.nodes, "cancel", full)
	w.need(15*time.Second, "the large machine has room", func() bool { return w.rules.gone(full) })
	if trouble {
		w.need(15*time.Second, "the task is reported", small.showedTask)
		time.Sleep(700 * time.Millisecond) // the large machine reports that it has room
		shown := small.reports()
		w.need(5*time.Second, "the machine reports again", func() bool { return small.reports() > shown })
		small.deliver()
	}
	time.Sleep(12 * time.Second)
}

// restartedOwner: a machine loses the network, and its job is called off. The controllers are restarted one after the
// other, the leader first. As the owner of the machine's kind comes back, the state service goes down. Then the
// machine is back.
func restartedOwner(w *world, trouble bool) {
	w.startAll()
	leader := w.leader()
	owner := w.othersThan(leader)[0]
	id := w.add(map[string]any{"nameId": "req-000001", "hulls": []string{"s4"}, "yard": owner.zone})
	w.begin(id)
	time.Sleep(2 * time.Second)
	machines := w.rules.machines(id)
	w.note("leader %s, machine %s, controller in its zone %s", leader.name, machines[0], owner.name)
	if trouble {
		w.afterReport(machines[0], func() { w.cutOff(machines) })
	}
	w.insist([]*node{owner}, "cancel", id)
	told := time.Now()
	if trouble {
		w.kill(leader)
		w.start(leader)
		time.Sleep(time.Until(told.Add(20 * time.Second)))
		if w.leader() != leader {
			must(errors.New("another controller leads"))
		}
		w.kill(owner)
		owner.stateGate.once("/kv/leader", func() { w.outage(true) })
		w.start(owner)
		time.Sleep(time.Until(told.Add(20500 * time.Millisecond)))
		w.cutOff(nil)
		time.AfterFunc(36*time.Second, func() { w.outage(false) })
	}
	time.Sleep(time.Until(told.Add(cancelWait + 12*time.Second)))
}

// lateAcknowledgement: the zone of the leader is cut off, and jobs that run in it are called off. The other two
// controllers are restarted; one of them leads. The zone is back before the leases of its machines have ended. Just
// then the two lose each other for a moment, and then a machine loses the network again.
func lateAcknowledgement(w *world, trouble bool) {
	w.startAll()
	leader := w.leader()
	jobs := []string{
		w.add(map[string]any{"nameId": "req-000001", "hulls": []string{"m8"}, "yard": leader.zone}),
		w.add(map[string]any{"nameId": "req-000002", "hulls": []string{"s4"}, "yard": leader.zone}),
	}
	w.begin(jobs...)
	time.Sleep(2 * time.Second)
	machines, others := w.rules.machines(jobs...), w.othersThan(leader)
	w.note("leader %s, machines in its zone %v", leader.name, machines)
	if trouble {
		w.cutZone(leader, machines, true)
		time.Sleep(500 * time.Millisecond)
	}
	for _, id := range jobs {
		w.insist(others, "cancel", id)
	}
	told := time.Now()
	if trouble {
		for _, n := range others {
			w.kill(n)
		}
		time.Sleep(3 * time.Second)
		for _, n := range others {
			w.start(n)
		}
		time.Sleep(time.Until(told.Add(33 * time.Second)))
		next := w.leader()
		if next == nil || next == leader {
			must(errors.New("no other controller leads"))
		}
		w.loseEachOther(next, w.othersThan(leader, next)[0], machines)
		w.cutZone(leader, machines, false)
	}
	time.Sleep(time.Until(told.Add(cancelWait + 12*time.Second)))
}

// need waits until what a case needs has happened.
func (w *world) need(d time.Duration, what string, holds func() bool) {
	if !w.await(d, holds) {
		must(errors.New("this did not happen: " + what))
	}
}

// cutOff cuts machines off from everything, and all others not.
func (w *world) cutOff(machines []string) {
	w.note("machines without network: %v", machines)
	inside := func(name string) bool { return slices.Contains(machines, name) }
	for _, n := range w.nodes {
		n.reports.set(func(r *relay) { r.cut = inside })
	}
	w.losesCommands(inside)
}

// outage begins or ends an outage of the state service.
func (w *world) outage(on bool) {
	w.note("state service is down: %v", on)
	for _, n := range w.nodes {
		n.stateGate.set(on)
	}
	w.state.Refuse(on)
}

// cutZone cuts the zone of a controller off from everything, with some machines in it, or ends that. Connections
// across the cut are reset.
func (w *world) cutZone(n *node, machines []string, on bool) {
	w.note("zone of %s is cut off: %v", n.name, on)
	mode, inside := linkOpen, func(string) bool { return false }
	if on {
		mode, inside = linkReset, func(name string) bool { return slices.Contains(machines, name) }
	}
	for _, l := range []*link{n.stateLink, n.cloudLink, n.userLink} {
		l.set(mode)
	}
	for _, other := range w.othersThan(n) {
		n.peerLinks[other.name].set(mode)
		other.peerLinks[n.name].set(mode)
		other.reports.set(func(r *relay) { r.cut = inside })
	}
	w.losesCommands(inside) // the controller in the zone makes no direct call meanwhile: none is needed
}

// loseEachOther prepares this: once a controller gets the first report of one of some machines, packets between it and
// the leader are held for 1.7 s. Once its answer has reached the machine, the machine loses the network.
func (w *world) loseEachOther(leader, owner *node, machines []string) {
	between := []*link{leader.peerLinks[owner.name], owner.peerLinks[leader.name]}
	var mu sync.Mutex
	seen := map[string]bool{}
	owner.reports.set(func(r *relay) {
		r.before = func(machine string) {
			mu.Lock()
			defer mu.Unlock()
			if seen[machine] || !slices.Contains(machines, machine) {
				return
			}
			seen[machine] = true
			first := len(seen)
			w.note("first report of %s to %s: packets between it and %s are held", machine, owner.name, leader.name)
			setAll(between, linkHold)
			time.AfterFunc(1700*time.Millisecond, func() {
				mu.Lock()
				defer mu.Unlock()
				if len(seen) == first {
					w.note("packets between %s and %s pass again", leader.name, owner.name)
					setAll(between, linkOpen)
				}
			})
		}
		r.after = func(machine string, status int) {
			w.note("report of %s to %s: %d", machine, owner.name, status)
			if status == http.StatusOK && slices.Contains(machines, machine) {
				w.cutOff([]string{machine})
			}
		}
	})
}

func setAll(links []*link, mode linkMode) {
	for _, l := range links {
		l.set(mode)
	}
}

// afterReport waits until a report of a machine has been answered with 200, and calls then at that moment.
func (w *world) afterReport(machine string, then func()) {
	done := make(chan struct{})
	var once sync.Once
	hook := func(name string, status int) {
		if name == machine && status == http.StatusOK {
			once.Do(func() { then(); close(done) })
		}
	}
	for _, n := range w.nodes {
		n.reports.set(func(r *relay) { r.after = hook })
	}
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		must(errors.New("the machine does not report"))
	}
}

// sickFor is for how long machines go on to fail tasks once a job has failed on two of them.
const sickFor = 4 * time.Second

// leftWaiting is how long a job may wait, once the troubles are over, while a machine that fits has room.
const leftWaiting = 90 * time.Second

// machinesFail: two machines fail every task that they start, for a while. A job's tasks fail on both. Another machine
// that fits is up and has nothing to do all the time, and once the troubles are over nothing is wrong with any machine.
func machinesFail(w *world, trouble bool) {
	w.startAll()
	urgent := w.add(map[string]any{"nameId": "req-000001", "docket": "tax-reclaim", "rank": "high", "cpus": 4.0, "hulls": []string{"s4"}})
	id := w.add(map[string]any{"nameId": "req-000002", "pieces": 2, "cpus": 4.0, "hulls": []string{"s4"}, "apart": true, "guessS": 1.0})
	w.begin(urgent)
	idle := ""
	w.need(15*time.Second, "a machine is kept ready for the urgent class", func() bool {
		idle = w.idleMachine(urgent)
		return idle != ""
	})
	time.Sleep(1500 * time.Millisecond)
	w.note("machine %s is up and has nothing to do", idle)
	if trouble {
		w.rules.failOn(id, 2)
	}
	w.insist(w.nodes, "submit", id)
	if trouble {
		w.need(20*time.Second, "the job fails on two machines", func() bool { return w.rules.failures(id) >= 2 })
		time.Sleep(sickFor)
		w.rules.failOn("", 0)
	}
	over := time.Now()
	w.note("from now on no machine fails a task")
	for time.Since(over) < leftWaiting+time.Second {
		if t := w.call(w.nodes[0], "ask", id); t.stage == "done" || !w.rules.gone(id) {
			return // it runs or is done
		}
		if tasks := w.cloud.On(idle); len(tasks) > 0 || !slices.Contains(w.cloud.Machines(), idle) {
			w.note("machine %s has no room any more: %v", idle, tasks)
			return
		}
		time.Sleep(time.Second)
	}
	w.rules.mu.Lock()
	defer w.rules.mu.Unlock()
	w.rules.breaks("left_waiting", id, "has waited for %.0f s since the troubles were over, while %s fits, is up and has no task", time.Since(over).Seconds(), idle)
}
