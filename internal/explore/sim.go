// Package explore drives whole controllers through faults in virtual time, in one
// process and from one seed, and checks the protocol's rules against what really
// happened. It finds schedules of faults that no test was written for.
package explore

import (
	"container/heap"
	"context"
	"fmt"
	"iter"
	"math/rand/v2"
	"runtime/debug"
	"strings"
	"time"
)

// sim is virtual time: events in the order of their moments, of equals in the
// order in which they were made.
type sim struct {
	now    time.Duration // since the beginning, by a clock that nobody has
	queue  events
	idle   []*fiber // to be used again: a stack that has grown is dear
	made   uint64
	rand   *rand.Rand
	story  *strings.Builder // nil: nobody listens
	broken string           // the first rule that was broken
}

type event struct {
	at   time.Duration
	made uint64
	do   func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, k int) bool {
	return q[i].at < q[k].at || (q[i].at == q[k].at && q[i].made < q[k].made)
}
func (q events) Swap(i, k int) { q[i], q[k] = q[k], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

func (s *sim) at(at time.Duration, do func()) {
	s.made++
	heap.Push(&s.queue, event{max(at, s.now), s.made, do})
}

func (s *sim) after(d time.Duration, do func()) { s.at(s.now+d, do) }

// step plays the next event.
func (s *sim) step() {
	e := heap.Pop(&s.queue).(event)
	s.now = e.at
	e.do()
}

// between draws a duration.
func (s *sim) between(least, most time.Duration) time.Duration {
	return least + time.Duration(s.rand.Int64N(int64(most-least)+1))
}

func (s *sim) tell(format string, args ...any) {
	if s.story != nil {
		fmt.Fprintf(s.story, "%8.3f  "+format+"\n", append([]any{s.now.Seconds()}, args...)...)
	}
}

// breaks notes a broken rule; the first one counts.
func (s *sim) breaks(rule, format string, args ...any) {
	if s.broken == "" {
		s.broken = rule
		s.tell("RULE BROKEN %s: "+format, append([]any{rule}, args...)...)
	}
}

// process is what one operating system process would be: it dies with all that it
// has under way, and may stand still while its clocks run on.
type process struct {
	sim     *sim
	name    string
	drift   float64 // of its steady clock, as a share
	dead    bool
	frozen  bool
	backlog []func() // what came while it stood still
	running *fiber
	fibers  map[*fiber]bool
}

// fiber is something that runs beside a process's loop and waits now and then.
type fiber struct {
	next  func() (struct{}, bool)
	stop  func()
	yield func(struct{}) bool
	work  func() // nil: none
}

// killed unwinds a fiber of a process that has died.
type killed struct{}

func (s *sim) newProcess(name string) *process {
	return &process{sim: s, name: name, drift: (s.rand.Float64()*2 - 1) * 0.0005, fibers: map[*fiber]bool{}}
}

// local is the process's steady clock.
func (p *process) local() time.Duration {
	return time.Duration(float64(p.sim.now) * (1 + p.drift))
}

// enter has the process do something now, or when it stands still no more.
func (p *process) enter(do func()) {
	switch {
	case p.dead:
	case p.frozen:
		p.backlog = append(p.backlog, do)
	default:
		do()
	}
}

// later is enter after a time.
func (p *process) later(d time.Duration, do func()) { p.sim.after(d, func() { p.enter(do) }) }

// spawn runs f as a fiber.
func (p *process) spawn(f func()) {
	p.later(0, func() {
		t := p.sim.fiber()
		t.work = f
		p.fibers[t] = true
		p.resume(t)
	})
}

// fiber returns one without work.
func (s *sim) fiber() *fiber {
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

func (p *process) resume(t *fiber) {
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

// await stops the running fiber until wake is called; later calls do nothing.
func (p *process) await(register func(wake func())) {
	t, woken := p.running, false
	register(func() {
		if !woken {
			woken = true
			p.enter(func() { p.resume(t) })
		}
	})
	if !t.yield(struct{}{}) {
		panic(killed{})
	}
}

func (p *process) sleep(d time.Duration) {
	p.await(func(wake func()) { p.sim.after(d, wake) })
}

// kill ends the process.
func (p *process) kill() {
	p.dead, p.backlog = true, nil
	for t := range p.fibers {
		t.stop()
	}
	p.fibers = nil
}

func (p *process) freeze(d time.Duration) {
	if p.dead || p.frozen {
		return
	}
	p.frozen = true
	p.sim.after(d, func() {
		p.frozen = false
		work := p.backlog
		p.backlog = nil
		for _, do := range work {
			p.enter(do)
		}
	})
}

// gate is intake's gate for fibers.
type gate struct {
	p    *process
	open bool
	wait []func()
}

func (g *gate) Open() {
	g.open = true
	for _, wake := range g.wait {
		g.p.sim.after(0, wake)
	}
	g.wait = nil
}

func (g *gate) Wait(_ context.Context, d time.Duration) bool {
	if !g.open {
		g.p.await(func(wake func()) {
			g.wait = append(g.wait, wake)
			g.p.sim.after(d, wake)
		})
	}
	return g.open
}
