package simtest

import (
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/marlwood/marlwood/internal/leadership"
	"github.com/marlwood/marlwood/internal/machinerecords"
	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/store"
	"github.com/marlwood/marlwood/internal/workers"
)

// eventCounts counts the events that a script caused, by name.
type eventCounts map[string]int

// pollUntil checks a condition every ten milliseconds, and calls do once when it first holds.
func (w *cluster) pollUntil(shows func() bool, do func()) {
	w.sim.After(10*time.Millisecond, func() {
		if shows() {
			do()
			return
		}
		w.pollUntil(shows, do)
	})
}

// cutOff drops all packets between an endpoint and the matching others until the given time.
func (w *cluster) cutOff(x *place, with func(*place) bool, until time.Duration) *cut {
	c := &cut{until: until, blocks: func(from, to *place) bool { return from == x && with(to) || to == x && with(from) }}
	w.net.cut(c)
	return c
}

func anywhere(*place) bool { return true }

// on returns the machine of a task of the i-th job, or nil if the task is on no machine.
func (w *cluster) on(i, task int) *worker {
	if i >= len(w.all) {
		return nil
	}
	return w.all[i].on[task]
}

// taskCount returns the number of tasks that are on a machine.
func (m *worker) taskCount() (n int) {
	for _, t := range m.tasks {
		if t.on {
			n++
		}
	}
	return n
}

// deliverToAll delivers a heartbeat to every controller and drops the answers.
func (w *cluster) deliverToAll(r *model.Heartbeat) {
	for _, n := range w.nodes {
		n.process.Enter(func() { n.node.HandleHeartbeat(n.Now(), r, func(workers.HeartbeatResult) {}) })
	}
}

// crashLeaderAndCutOff crashes the leader and cuts off a machine with tasks for less than a lease. A next leader that
// has no record of the machine would start its tasks again. The number of machines is raised so that there is capacity
// for that.
func (w *cluster) crashLeaderAndCutOff(x *worker) {
	w.plan.Machines += 2
	w.controller(len(w.nodes)).crash(time.Second)
	w.cutOff(x.place, anywhere, w.sim.Now()+w.plan.Lease-3*sec)
}

// writesRecordOf reports whether a transaction writes a record that contains a machine.
func writesRecordOf(t store.Txn, x *worker) bool {
	return slices.ContainsFunc(t.Writes, func(c store.Write) bool {
		return c.Set == machinerecords.SingleRecordPrefix+x.name || strings.HasPrefix(c.Set, machinerecords.GroupRecordPrefix) && strings.Contains(string(c.Value), `"`+x.name+`"`)
	})
}

// changesMachineRecords reports whether a transaction changes machine records.
func changesMachineRecords(t store.Txn) bool {
	return slices.ContainsFunc(t.Writes, func(c store.Write) bool {
		return strings.HasPrefix(c.Set+c.Delete, machinerecords.SingleRecordPrefix) || strings.HasPrefix(c.Set+c.Delete, machinerecords.GroupRecordPrefix)
	})
}

// starts reports whether a direct call starts a task.
func starts(o model.DirectCommands, task string) bool {
	return slices.ContainsFunc(o.Commands, func(c model.Command) bool { return c.Op == "start" && c.Task == task })
}

// takes returns 1 if a machine would now carry out the commands of a direct call, otherwise 0.
func (m *worker) takes(o model.DirectCommands) int {
	if m.session == o.Session && m.token == o.Token {
		return 1
	}
	return 0
}

// takesOrForgot returns 1 if a machine would now carry out the commands of a direct call, or refuses them only because it
// was told under a higher token to forget an attempt that they start.
func (m *worker) takesOrForgot(o model.DirectCommands) int {
	for _, command := range o.Commands {
		if m.session == o.Session && m.token > o.Token && command.Op == "start" && m.forgotten[attemptKey{command.Task, command.Attempt}] {
			return 1
		}
	}
	return m.takes(o)
}

// submitNow makes a user submit another job now.
func (w *cluster) submitNow(s Submission) {
	w.plan.Jobs = append(w.plan.Jobs, s)
	w.submit(len(w.plan.Jobs)-1, s)
}

// array returns an array job that is restricted to one zone.
func array(at time.Duration, tasks int, zone string, takes time.Duration) Submission {
	return Submission{At: at, Shape: model.Array, Tasks: tasks, Zone: zone, Takes: takes}
}

// Guards that neither drawn schedules nor the rows of other tests showed to be needed. Each row is a schedule in which
// a rule breaks without one of these guards.
func TestGuards(t *testing.T) {
	for _, c := range []struct {
		name  string
		lease time.Duration // 0: the leases of both deployments
		want  []string      // events that must have occurred in each run
		plan  func(p *Plan, met eventCounts)
	}{
		{"a late report of a worker's earlier life, which had the higher session", 0, []string{"back with tasks", "delivered"}, func(p *Plan, met eventCounts) {
			p.Jobs = []Submission{array(2*sec, 3, "a", 150*sec)}
			p.script = func(w *cluster) {
				var x *worker
				w.sim.At(20*sec, func() {
					for i := range 3 {
						if m := w.on(0, i); m != nil && m.taskCount() == 2 {
							x = m
						}
					}
					away := w.cutOff(x.place, anywhere, time.Hour)
					w.pollUntil(func() bool { return x.session == 2 }, func() {
						r := x.message() // in flight when the worker ends
						x.restart(100 * time.Millisecond)
						away.until = w.sim.Now()
						w.pollUntil(func() bool { return x.life == 1 && x.taskCount() > 0 }, func() {
							met["back with tasks"]++
							w.sim.After(300*time.Millisecond, func() { met["delivered"]++; w.deliverToAll(r) })
						})
					})
				})
			}
		}},
		{"a deposed leader that knows nothing of it owns one of two machines", 6 * sec, []string{"won over", "still its own"}, func(p *Plan, met eventCounts) {
			for _, z := range zones {
				p.Jobs = append(p.Jobs, array(2*sec, 3, z, 90*sec))
			}
			p.script = func(w *cluster) {
				w.sim.At(20*sec, func() {
					l := w.controller(len(w.nodes))
					var x, y *worker
					for i := range 3 {
						if m := w.on(l.member, i); m.taskCount() == 2 {
							x = m
						} else {
							y = m
						}
					}
					until := w.sim.Now() + 26*sec
					old := y.token
					w.cutOff(l.place, func(p *place) bool { return p.role == controllerRole || p.role == storeRole }, until)
					w.cutOff(y.place, func(p *place) bool { return p.role == controllerRole && p != l.place }, until)
					w.pollUntil(func() bool { return x.token > old }, func() {
						met["won over"]++
						w.sim.After(w.plan.Lease+2500*time.Millisecond, func() {
							if y.token == old && x.taskCount() == 2 && w.sim.Now() < y.leaseEnds() {
								met["still its own"]++
							}
						})
					})
				})
			}
		}},
		{"a call that carries a start is held until long after its job was cancelled", 0, []string{"ran", "held", "late"}, func(p *Plan, met eventCounts) {
			p.Jobs = []Submission{array(2*sec, 1, "a", 150*sec), array(15*sec, 1, "a", 200*sec)}
			p.Jobs[1].Cancel = 14 * sec
			p.calls = func(m *worker, o model.DirectCommands) time.Duration {
				if met["held"] > 0 || !starts(o, "req-1/0") {
					return 0
				}
				met["held"]++
				m.cluster.sim.After(p.Cancel+25*sec, func() { met["late"] += m.takesOrForgot(o) })
				return p.Cancel + 25*sec
			}
			p.script = func(w *cluster) {
				w.pollUntil(func() bool { return w.on(1, 0) != nil }, func() { met["ran"]++ })
			}
		}},
		{"an owner ends with a call under way and is back at once, the leader gets no fresh token", 6 * sec, []string{"held", "stop", "no token", "late"}, func(p *Plan, met eventCounts) {
			p.idle = time.Minute
			p.fates = func(_ storeClient, t store.Txn) fate {
				if met["held"] == 0 || met["late"] > 0 || sets(t, leadership.Key) == nil {
					return answered
				}
				met["no token"]++
				return held
			}
			p.script = func(w *cluster) {
				var l, owner *node
				tight := func(tasks int, zone string, takes time.Duration) {
					w.submitNow(Submission{Shape: model.Array, Tasks: tasks, Team: 1, Zone: zone, Takes: takes})
				}
				w.sim.At(3*sec, func() {
					l = w.controller(len(w.nodes))
					owner = w.nodes[(l.member+1)%3]
					w.submitNow(array(0, 2, owner.place.zone, 50*sec))
				})
				w.pollUntil(func() bool { return w.on(0, 0) != nil && w.on(0, 1) != nil }, func() {
					w.submitNow(array(0, 1, owner.place.zone, 50*sec))
					tight(1, l.place.zone, 9*sec)
					w.pollUntil(func() bool { return w.on(1, 0) != nil && w.on(2, 0) != nil }, func() {
						tight(1, owner.place.zone, sec)
						tight(2, l.place.zone, 20*sec)
					})
				})
				w.plan.calls = func(m *worker, o model.DirectCommands) time.Duration {
					if met["held"] > 0 || !starts(o, "req-3/0") {
						return 0
					}
					met["held"]++
					const late = 12 * sec
					w.sim.After(700*time.Millisecond, func() { owner.crash(100 * time.Millisecond) })
					w.sim.After(1100*time.Millisecond, func() {
						if w.on(1, 0) != nil {
							met["stop"]++ // a command to the owner that has returned
						}
						w.users.Spawn(func() { w.cancelUntilFinal(w.all[1], false) })
					})
					w.sim.After(late, func() { met["late"] += m.takes(o) })
					return late
				}
			}
		}},
		{"a leader that knows of a cancellation is refused before it hears of a machine that an earlier one kept alive", 9 * sec, []string{"cancelled", "kept alive"}, func(p *Plan, met eventCounts) {
			const refused = 70 * sec
			p.script = func(w *cluster) {
				act := w.plan.Cancel - w.plan.Lease - 3*sec - 2*sec // see settings.Platform.Terms
				var first, next, third *node
				var x *worker
				var away *cut
				w.sim.At(3*sec, func() {
					first = w.controller(len(w.nodes))
					next, third = w.nodes[(first.member+1)%3], w.nodes[(first.member+2)%3]
					w.submitNow(array(0, 1, first.place.zone, 200*sec))
				})
				w.sim.At(20*sec, func() {
					x = w.on(0, 0)
					away = w.cutOff(x.place, func(p *place) bool { return p.role == controllerRole && p != first.place }, time.Hour)
					w.store.Refuse(first.place.name, refused)
					w.net.refuse = w.sim.Now() + refused
					w.users.Spawn(func() { w.cancelUntilFinal(w.all[0], false) })
				})
				w.pollUntil(func() bool { return first != nil && w.all[0].told.Final() }, func() {
					met["cancelled"]++
					w.store.Refuse(third.place.name, refused)
				})
				w.pollUntil(func() bool { return first != nil && w.controller(len(w.nodes)) == next && next != first }, func() {
					// It only reads the records; its last grant lasts longer than its right to act.
					w.sim.After(300*time.Millisecond, func() { w.store.Refuse(next.place.name, refused) })
					w.sim.After(act+1500*time.Millisecond, func() {
						if w.on(0, 0) == x {
							met["kept alive"]++
						}
						away.until, x.sent, x.reportTo = w.sim.Now(), 0, next.member
						x.report()
					})
				})
			}
		}},
		{"a change of a record of two machines is carried out late, after a third is named; then the leader ends", 0, []string{"late"}, func(p *Plan, met eventCounts) {
			p.Machines = 3
			p.Jobs = []Submission{array(2*sec, 2, "a", 100*sec), array(14*sec, 2, "a", 100*sec), array(24*sec, 2, "a", 100*sec)}
			var late func()
			p.fates = func(c storeClient, t store.Txn) fate {
				w := c.n.cluster
				if late != nil || w.sim.Now() < 14*sec || !changesMachineRecords(t) {
					return answered
				}
				late = func() { c.late(t) }
				return held
			}
			p.script = func(w *cluster) {
				w.pollUntil(func() bool { return w.on(2, 0) != nil && w.on(2, 1) != nil }, func() {
					met["late"]++
					late()
					w.crashLeaderAndCutOff(w.on(2, 0))
				})
			}
		}},
		{"the removal of a machine's record is carried out late, once it is back and used; then the leader ends", 0, []string{"held", "late"}, func(p *Plan, met eventCounts) {
			p.Machines, p.idle = 4, time.Minute
			p.Jobs = []Submission{array(2*sec, 10, "a", 60*sec)}
			var x *worker
			var away *cut
			var late func()
			p.fates = func(c storeClient, t store.Txn) fate {
				w := c.n.cluster
				if x == nil || met["late"] > 0 || !changesMachineRecords(t) || writesRecordOf(t, x) {
					return answered
				}
				late = func() { c.late(t) }
				if met["held"]++; met["held"] == 1 {
					away.until = w.sim.Now() // the machine is reachable again meanwhile
					w.pollUntil(func() bool { return x.taskCount() > 0 }, func() {
						met["late"]++
						late()
						w.crashLeaderAndCutOff(x)
					})
				}
				return held
			}
			p.script = func(w *cluster) {
				w.sim.At(20*sec, func() {
					x = w.on(0, 0)
					away = w.cutOff(x.place, anywhere, time.Hour)
				})
			}
		}},
		{"a machine's record is written once it has expired, and removed once it is back; then the leader ends", 0, []string{"written", "held", "late"}, func(p *Plan, met eventCounts) {
			p.Machines, p.idle = 4, time.Minute
			p.Jobs = []Submission{array(2*sec, 10, "a", 60*sec)}
			var x *worker
			var late func()
			since := time.Duration(0)
			p.fates = func(c storeClient, t store.Txn) fate {
				w := c.n.cluster
				switch {
				case !changesMachineRecords(t) || met["late"] > 0:
				case x == nil: // the first write of a machine's record is held
					for _, m := range w.cloud.machines {
						if writesRecordOf(t, m) {
							x, since = m, w.sim.Now()
						}
					}
					x.mute = time.Hour
					return held
				case writesRecordOf(t, x) && w.sim.Now() < since+w.plan.Lease+4*sec:
					return held
				case writesRecordOf(t, x): // the machine's lease has expired
					met["written"]++
				case met["written"] > 0: // the removal of the record
					late = func() { c.late(t) }
					if met["held"]++; met["held"] == 1 {
						x.mute = 0 // the machine sends heartbeats again meanwhile
						w.pollUntil(func() bool { return x.taskCount() > 0 }, func() {
							met["late"]++
							late()
							w.crashLeaderAndCutOff(x)
						})
					}
					return held
				}
				return answered
			}
		}},
		{"a machine hears nothing any more, the leader ends", 0, []string{"deaf with tasks"}, func(p *Plan, met eventCounts) {
			p.Jobs = []Submission{array(2*sec, 3, "a", 30*sec), array(25*sec, 1, "b", 5*sec)}
			p.Faults = []Fault{{Kind: "deaf for good", At: 20 * sec}, {Kind: "crash", At: 20100 * time.Millisecond, For: 4 * sec, A: 7}}
			p.script = func(w *cluster) {
				w.sim.At(20*sec, func() { met["deaf with tasks"] += w.machine(0).taskCount() })
			}
		}},
		{"the only machine with room hears nothing any more", 0, []string{"deaf with tasks"}, func(p *Plan, met eventCounts) {
			p.Machines = 4
			p.Jobs = []Submission{{At: 2 * sec, Shape: model.Service, Tasks: 6, Zone: "b"}, array(12*sec, 2, "b", 30*sec)}
			p.script = func(w *cluster) {
				w.sim.At(20*sec, func() {
					x := w.on(1, 0)
					met["deaf with tasks"] += x.taskCount()
					w.net.cut(&cut{until: time.Hour, blocks: func(from, to *place) bool { return from.role == controllerRole && to == x.place }})
				})
			}
		}},
		{"a claim is carried out late, after its sender has begun another one", 0, []string{"late"}, func(p *Plan, met eventCounts) {
			p.Jobs = []Submission{array(2*sec, 3, "a", 60*sec)}
			p.Faults = []Fault{{Kind: "crash", At: 20 * sec, For: 60 * sec, A: 7}}
			var first storeClient
			var late func()
			p.fates = func(c storeClient, t store.Txn) fate {
				w := c.n.cluster
				if w.sim.Now() < 20*sec || met["late"] > 0 || sets(t, leadership.Key) == nil || holdsLeaderKey(c) {
					return answered
				}
				switch {
				case late == nil:
					first, late = c, func() { c.late(t) }
				case c.n == first.n:
					w.sim.After(0, func() {
						met["late"]++
						late()
						w.store.OnKeyExpired = func(string) {
							if !first.n.process.Dead() {
								w.sim.breaks("key_lost", "the leader key goes, though %s is well", first.n.place.name)
							}
						}
					})
				}
				return held
			}
		}},
		{"half of a spread job's tasks are out of reach when others of it must move", 0, []string{"room beside it"}, func(p *Plan, met eventCounts) {
			p.Jobs = []Submission{{At: 2 * sec, Shape: model.Array, Tasks: 2, Takes: 100 * sec, Spread: true}}
			p.script = func(w *cluster) {
				var x, y *worker
				w.sim.At(10*sec, func() {
					x, y = w.on(0, 0), w.on(0, 1)
					w.submitNow(array(0, 2, x.pool.Zone, 100*sec))
				})
				w.sim.At(25*sec, func() {
					w.plan.Machines = 0 // no more machines are launched
					y.end("stopped")
				})
				w.sim.At(34500*time.Millisecond, func() { w.cutOff(x.place, anywhere, w.sim.Now()+w.plan.Lease-5*sec) })
				w.sim.At(25*sec+w.plan.Lease+4*sec, func() {
					for _, m := range w.cloud.machines {
						if m != x && !m.terminated && m.pool == x.pool && m.taskCount() == 1 && w.on(0, 0) == x && w.outOfReach(x) {
							met["room beside it"]++
						}
					}
					w.plan.Machines = 2
				})
			}
		}},
	} {
		var group sync.WaitGroup
		for d, x := range deployments {
			for seed := uint64(d) * 4; seed < uint64(d)*4+4; seed++ {
				group.Go(func() {
					met := eventCounts{}
					p := Plan{Seed: seed + 1, Machines: 2, Report: x.report, Lease: x.lease, Cancel: x.cancel}
					if c.lease > 0 {
						p.Report, p.Lease, p.Cancel = sec, c.lease, 30*sec
					}
					c.plan(&p, met)
					out := Run(p, nil, 0)
					if out.Broken != "" {
						t.Errorf("%s, %s, seed %d: %s", c.name, x.name, seed+1, out.Broken)
					}
					for _, what := range c.want {
						if met[what] == 0 {
							t.Errorf("%s, %s, seed %d: %q did not come about: it shows nothing", c.name, x.name, seed+1, what)
						}
					}
				})
			}
		}
		group.Wait()
	}
}
