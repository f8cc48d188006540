// Package simulation is a discrete-event simulation: a queue of events on a virtual clock,
// simulated processes and a simulated state service. Whole controllers run in it inside one
// operating system process, and a run is repeatable from its seed. It is used for runs with
// injected faults (package explore) and for the jobs of a recorded day (package replay).
package simulation

import (
	"container/heap"
	"context"
	"fmt"
	"iter"
	"math/rand/v2"
	"runtime/debug"
	"time"
)

// Sim is a virtual clock with a queue of events. Events run in the order of their times;
// events with equal times run in the order in which they were scheduled. It is not safe for
// concurrent use.
type Sim struct {
	Rand  *rand.Rand
	now   time.Duration // simulated time since the start
	queue events
	idle  []*fiber // fibers without work, reused because growing a stack is expensive
	seq   uint64
}

// New returns a simulation at time 0. All its randomness comes from the seed.
func New(seed uint64) *Sim { return &Sim{Rand: rand.New(rand.NewPCG(seed, 1))} }

// Now returns the simulated time since the start.
func (s *Sim) Now() time.Duration { return s.now }

// Pending returns the number of scheduled events.
func (s *Sim) Pending() int { return len(s.queue) }

// event is a scheduled function.
type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

// events is a heap ordered by time; events with equal times are ordered by scheduling.
type events []event

// Len implements heap.Interface.
func (q events) Len() int { return len(q) }

// Less implements heap.Interface.
func (q events) Less(i, k int) bool {
	return q[i].at < q[k].at || (q[i].at == q[k].at && q[i].seq < q[k].seq)
}

// Swap implements heap.Interface.
func (q events) Swap(i, k int) { q[i], q[k] = q[k], q[i] }

// Push implements heap.Interface.
func (q *events) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *events) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// At schedules a function for a time, or for now if that time has passed.
func (s *Sim) At(at time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, event{max(at, s.now), s.seq, do})
}

// After schedules a function for d from now.
func (s *Sim) After(d time.Duration, do func()) { s.At(s.now+d, do) }

// Step advances the clock to the next event and runs it. The queue must not be empty.
func (s *Sim) Step() {
	e := heap.Pop(&s.queue).(event)
	s.now = e.at
	e.do()
}

// End releases the resources of idle fibers. The simulation must not be used afterwards.
func (s *Sim) End() {
	for _, t := range s.idle {
		t.stop()
	}
}

// Between returns a random duration from least to most, both included.
func (s *Sim) Between(least, most time.Duration) time.Duration {
	return least + time.Duration(s.Rand.Int64N(int64(most-least)+1))
}

// Process simulates one operating system process. When it is killed, all its fibers end.
// While it is frozen, it runs nothing, but its clock goes on.
type Process struct {
	Name    string
	sim     *Sim
	drift   float64 // relative rate error of the monotonic clock
	dead    bool
	frozen  bool
	backlog []func() // functions that were entered while the process was frozen
	running *fiber
	fibers  map[*fiber]bool
}

// fiber is a coroutine of a process, which may wait while the process does other work.
type fiber struct {
	next  func() (struct{}, bool)
	stop  func()
	yield func(struct{}) bool
	work  func() // nil: idle
}

// killed is the panic value that unwinds a fiber of a killed process.
type killed struct{}

// NewProcess returns a running process with a random clock drift.
func (s *Sim) NewProcess(name string) *Process {
	return &Process{sim: s, Name: name, drift: (s.Rand.Float64()*2 - 1) * 0.0005, fibers: map[*fiber]bool{}}
}

// Dead reports whether the process was killed.
func (p *Process) Dead() bool { return p.dead }

// Local returns the time of the process's monotonic clock.
func (p *Process) Local() time.Duration {
	return time.Duration(float64(p.sim.now) * (1 + p.drift))
}

// Enter runs do in the process now, or after the freeze if the process is frozen. A dead process
// ignores it.
func (p *Process) Enter(do func()) {
	switch {
	case p.dead:
	case p.frozen:
		p.backlog = append(p.backlog, do)
	default:
		do()
	}
}

// Later calls Enter after d.
func (p *Process) Later(d time.Duration, do func()) { p.sim.After(d, func() { p.Enter(do) }) }

// Spawn runs f in a fiber of the process.
func (p *Process) Spawn(f func()) {
	p.Later(0, func() {
		t := p.sim.fiber()
		t.work = f
		p.fibers[t] = true
		p.resume(t)
	})
}

// fiber returns an idle fiber, or a new one if none is idle.
func (s *Sim) fiber() *fiber {
	if n := len(s.idle); n > 0 {
		t := s.idle[n-1]
		s.idle = s.idle[:n-1]
		return t
	}
	t := &fiber{}
	t.next, t.stop = iter.Pull(func(yield func(struct{}) bool) {
		t.yield = yield
		defer func() {
			if r := recover(); r != nil && r != (killed{}) {
				panic(fmt.Sprintf("%v\n%s", r, debug.Stack()))
			}
		}()
		for more := true; more; more = yield(struct{}{}) {
			t.work()
			t.work = nil
		}
	})
	return t
}

func (p *Process) resume(t *fiber) {
	if !p.fibers[t] {
		return
	}
	before := p.running
	p.running = t
	if t.next(); t.work == nil {
		delete(p.fibers, t)
		p.sim.idle = append(p.sim.idle, t)
	}
	p.running = before
}

// Await suspends the running fiber until wake is called. Further calls of wake do nothing.
func (p *Process) Await(register func(wake func())) {
	t, woken := p.running, false
	register(func() {
		if !woken {
			woken = true
			p.Enter(func() { p.resume(t) })
		}
	})
	if !t.yield(struct{}{}) {
		panic(killed{})
	}
}

// Sleep suspends the running fiber for d.
func (p *Process) Sleep(d time.Duration) {
	p.Await(func(wake func()) { p.sim.After(d, wake) })
}

// Kill ends the process and all its fibers.
func (p *Process) Kill() {
	p.dead, p.backlog = true, nil
	for t := range p.fibers {
		t.stop()
	}
	p.fibers = nil
}

// Freeze suspends the process for d while its clock runs. Functions that are entered meanwhile
// run afterwards.
func (p *Process) Freeze(d time.Duration) {
	if p.dead || p.frozen {
		return
	}
	p.frozen = true
	p.sim.After(d, func() {
		p.frozen = false
		work := p.backlog
		p.backlog = nil
		for _, do := range work {
			p.Enter(do)
		}
	})
}

// NewLatch returns a closed latch for the process's fibers.
func (p *Process) NewLatch() *Latch { return &Latch{p: p} }

// Latch blocks fibers until it is opened.
type Latch struct {
	p    *Process
	open bool
	wait []func()
}

// Open opens the latch and wakes all fibers that wait for it.
func (g *Latch) Open() {
	g.open = true
	for _, wake := range g.wait {
		g.p.sim.After(0, wake)
	}
	g.wait = nil
}

// Wait blocks the running fiber until the latch is open, for at most d, and reports whether it
// is open.
func (g *Latch) Wait(_ context.Context, d time.Duration) bool {
	if !g.open {
		g.p.Await(func(wake func()) {
			g.wait = append(g.wait, wake)
			g.p.sim.After(d, wake)
		})
	}
	return g.open
}
