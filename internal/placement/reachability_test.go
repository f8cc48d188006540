package placement

import (
	"fmt"
	"testing"
	"time"
)

// An owner is unreachable for a pool if it gets no heartbeats from at least a third of the pool's machines, while these
// send heartbeats to other controllers. Machines that are down or have moved are not evidence against the owner.
func TestUnreachablePools(t *testing.T) {
	late := 3 * time.Second
	for _, c := range []struct {
		name        string
		quiet       int // of four machines from which the owner gets no heartbeats
		misdirected []string
		from        string
		now         float64
		unreachable bool
	}{
		{"all send heartbeats, one was misdirected when it came up", 0, []string{"m0"}, "n1", 11, false},
		{"all are silent", 4, nil, "n1", 11, false},
		{"all are silent and report to another controller", 4, []string{"m0", "m1", "m2", "m3"}, "n1", 11, true},
		{"half of them report to another controller", 2, []string{"m0", "m1"}, "n1", 11, true},
		{"one of them reports to another controller", 1, []string{"m0"}, "n1", 11, false},
		{"they reported to another controller long ago", 4, []string{"m0", "m1", "m2", "m3"}, "n1", 15, false},
		{"they report to their owner", 4, []string{"m0", "m1", "m2", "m3"}, "n0", 11, false},
	} {
		b := newBench(t)
		for i := range 4 {
			b.machine(fmt.Sprintf("m%d", i), "small", "a")
		}
		for i := range c.quiet {
			m := b.machines.At(fmt.Sprintf("m%d", i))
			m.MissedHeartbeats = true
			b.updateUnreconciled(m)
		}
		for _, name := range c.misdirected {
			b.MisdirectedHeartbeat(name, c.from, at(10))
		}
		if got := b.UnreachablePools(at(c.now), late); (len(got) > 0) != c.unreachable {
			t.Errorf("%s: unreachable pools %v", c.name, got)
		}
		b.TokenRenewed(9, at(c.now))
		if got := b.UnreachablePools(at(c.now), late); len(got) > 0 {
			t.Errorf("%s: unreachable pools %v immediately after a fresh token", c.name, got)
		}
	}
	// The pool's next owner cannot be reached by its machine either.
	b := newBench(t)
	b.machine("m0", "small", "a")
	b.TokenRenewed(9, at(10))
	b.MisdirectedHeartbeat("m0", "n1", at(14))
	if got := b.UnreachablePools(at(15), late); len(got) != 0 {
		t.Errorf("machine that may get no responses: unreachable pools %v", got)
	}
	b.MisdirectedHeartbeat("m0", "n1", at(19)) // it was redirected to its owner, and returned
	if got := b.UnreachablePools(at(20), late); len(got) != 1 {
		t.Errorf("machine that never reported to the new owner: unreachable pools %v", got)
	}
}

// A machine that gets no responses sends heartbeats to one controller after the other, seconds apart. Until it has sent
// none to other controllers for a while, it is not usable, and does not count as evidence against its owner.
func TestCyclingMachineIsUnusable(t *testing.T) {
	type misdirected struct {
		at     float64
		member string
	}
	for _, c := range []struct {
		name       string
		heartbeats []misdirected
		cycles     bool
	}{
		{"it returns to the same controller", []misdirected{{5, "n1"}, {10, "n1"}, {15, "n1"}}, false},
		{"it follows redirects", []misdirected{{5, "n1"}, {5.3, "n2"}, {5.9, "n1"}}, false},
		{"it gets no responses", []misdirected{{5, "n1"}, {10, "n2"}}, true},
		{"it reports to its owner in between", []misdirected{{5, "n1"}, {10, "n2"}, {20, "n1"}}, true},
		{"it gets responses again", []misdirected{{5, "n1"}, {10, "n2"}, {10.5, "n1"}}, false},
		{"its last misdirected heartbeat was long before", []misdirected{{1, "n1"}, {20, "n2"}}, false},
	} {
		b := newBench(t)
		b.machine("m", "small", "a")
		m := b.machines.At("m")
		m.MissedHeartbeats = true
		b.updateUnreconciled(m)
		last := 0.0
		for _, k := range c.heartbeats {
			b.MisdirectedHeartbeat("m", k.member, at(k.at))
			last = k.at
		}
		if m.cyclesControllers != c.cycles || m.usable() || (len(b.UnreachablePools(at(last), time.Second)) > 0) == c.cycles {
			t.Errorf("%s: cycles through controllers: %v, unreachable pools %v", c.name, m.cyclesControllers, b.UnreachablePools(at(last), time.Second))
		}
		m.MissedHeartbeats = false
		if b.expireMisdirected(at(last + 5)); m.usable() == c.cycles {
			t.Errorf("%s: usable 5 s later: %v", c.name, m.usable())
		}
		if b.expireMisdirected(at(last + 13)); !m.usable() {
			t.Errorf("%s: it is still not usable 13 s after its last misdirected heartbeat", c.name)
		}
	}
}
