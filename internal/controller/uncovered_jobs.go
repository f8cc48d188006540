package controller

import (
	"github.com/marlwood/marlwood/internal/autoscaler"
)

// maxUncoveredLines limits the number of log lines about jobs without machines after one run of the autoscaler.
const maxUncoveredLines = 5

// logUncovered writes a line for each job for which no machine has capacity and nothing is rented, when that begins or
// its cause changes.
func (t *leaderTerm) logUncovered() {
	logged, lines := map[string]autoscaler.UncoveredCause{}, 0
	for _, uncovered := range t.scheduler.Uncovered() {
		cause, known := t.uncoveredLogged[uncovered.Job]
		if known && cause == uncovered.Cause {
			logged[uncovered.Job] = cause
			continue
		}
		if lines == maxUncoveredLines {
			continue // after the next run
		}
		lines++
		logged[uncovered.Job] = uncovered.Cause
		t.ctrl.log.Warn("no machine is rented for a job", "job", uncovered.Job, "tasks", uncovered.Tasks, "why", uncovered.Cause.String(),
			"asked_again", uncovered.RetryAt)
	}
	t.uncoveredLogged = logged
}
