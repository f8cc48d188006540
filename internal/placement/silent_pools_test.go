package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

var poolA = model.Pool{Type: "small", Zone: "a"}

// The time for which a machine has been silent restarts with a fresh token, because the next owner has had no time yet
// to get its heartbeats.
//
// Otherwise a machine that had ended counted as silent in the same millisecond in which the token was renewed: its
// silence was counted from the time of the owner before the last. It was half of its pool, so the pool's other machine
// was kept away from the new owner until that owner counted as unreachable too, and so on: the pool changed owners
// every 3 to 4 s for ever (simtest, seed 21147004189: "vm-005 phase=unseen since=3.09s" in the millisecond of the
// fresh token at 42.996 s).
func TestSilenceRestartsWithNewOwner(t *testing.T) {
	late := 3 * time.Second
	b := newBench(t)
	b.machine("m0", "small", "a")
	b.TokenRenewed(9, at(10))
	for _, step := range []struct {
		at     float64
		renew  uint64 // fresh token just before; 0: none
		silent bool
	}{
		{12, 0, false},
		{14, 0, true},
		{15, 10, false},
		{17, 0, false},
		{19, 0, true},
	} {
		if step.renew != 0 {
			b.TokenRenewed(step.renew, at(step.at))
		}
		if got := b.SilentPools(at(step.at), late)[poolA]; got != step.silent {
			t.Errorf("at %v s: pool counts as silent: %v", step.at, got)
		}
	}
}

// Machines whose leases have expired are not evidence against their pool's owner, unless they report to other
// controllers.
func TestExpiredMachinesAreNotSilent(t *testing.T) {
	b := newBench(t)
	for i := range 4 {
		b.machine(fmt.Sprintf("m%d", i), "small", "a")
	}
	b.report(10, "m0", "expired", 0)
	b.report(10, "m1", "expired", 0)
	b.ConfirmExpiries(at(12), at(11))
	b.report(12, "m2", "expired", 0)
	if b.SilentPools(at(13), 3*time.Second)[poolA] {
		t.Error("three of four machines have ended: their owner counts as silent")
	}
	for _, name := range []string{"m0", "m1", "m2"} {
		b.MisdirectedHeartbeat(name, "n1", at(13))
	}
	if !b.SilentPools(at(14), 3*time.Second)[poolA] {
		t.Error("three of four machines report to another controller: their owner does not count as silent")
	}
}
