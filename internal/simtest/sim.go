// Package simtest runs whole controllers under injected faults in virtual time, in one process and from one seed,
// and checks the protocol's rules against what happened on the simulated machines. It finds schedules of faults
// that no test was written for.
package simtest

import (
	"fmt"
	"strings"

	"github.com/marlwood/marlwood/internal/simulation"
)

// sim is the virtual time with an event log (the story) and the first broken rule.
type sim struct {
	*simulation.Sim
	story  *strings.Builder // nil: events are not logged
	broken string           // the first rule that was broken, or ""
}

func (s *sim) logf(format string, args ...any) {
	if s.story != nil {
		fmt.Fprintf(s.story, "%8.3f  "+format+"\n", append([]any{s.Now().Seconds()}, args...)...)
	}
}

// breaks records a broken rule; only the first one is kept.
func (s *sim) breaks(rule, format string, args ...any) {
	if s.broken == "" {
		s.broken = rule
		s.logf("RULE BROKEN %s: "+format, append([]any{rule}, args...)...)
	}
}
