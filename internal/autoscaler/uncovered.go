package autoscaler

import (
	"time"

	"github.com/marlwood/marlwood/internal/placement"
)

// Uncovered tells why nothing is launched for a job's demand, although no machine has capacity for any of it and none is
// being launched.
type Uncovered struct {
	Job     string
	Tasks   int
	Cause   UncoveredCause
	RetryAt time.Time // when a machine is next requested; zero: not known
}

// UncoveredCause is the reason why nothing is launched for a demand.
type UncoveredCause int

// The causes.
const (
	NoPoolAllowed        UncoveredCause = iota // no pool may run it, or all of them are drained
	NoMachineLargeEnough                       // no machine that is sold as the job wants it has the size of a task
	MarketsRefused                             // the cloud has no more machines, or their zones are silent
	MarketsInUse                               // as many machines as may be are requested or booting for other demands
)

// String returns the cause as a text for operators.
func (c UncoveredCause) String() string {
	return [...]string{
		"no kind of machine that is not drained may run it",
		"no machine that is sold as it wants is large enough for a task",
		"the cloud refused every kind that it may run on, or its zone does not answer",
		"as many machines as the cloud is asked for at a time are under way for others",
	}[c]
}

// maxUncovered limits the number of demands of which the cause is kept.
const maxUncovered = 1000

// noteUncovered records that nothing is launched for a demand.
func (a *Autoscaler) noteUncovered(demand placement.UnmetDemand, plan *launchPlan, now time.Time) {
	if len(a.uncovered) >= maxUncovered {
		return
	}
	uncovered := Uncovered{Job: demand.Job, Tasks: demand.Tasks, Cause: NoMachineLargeEnough}
	if len(demand.Pools) == 0 {
		uncovered.Cause = NoPoolAllowed
	}
	for market := range marketsFor(demand, plan.types, "") {
		until, refused := a.RefusedUntil(market.Pool, market.Spot, now)
		if !refused {
			uncovered.Cause, uncovered.RetryAt = MarketsInUse, time.Time{}
			break
		}
		uncovered.Cause = MarketsRefused
		if uncovered.RetryAt.IsZero() || until.Before(uncovered.RetryAt) {
			uncovered.RetryAt = until
		}
	}
	a.uncovered = append(a.uncovered, uncovered)
}

// Uncovered returns the jobs for which nothing was launched at the last Tick, in the order of the queue.
func (a *Autoscaler) Uncovered() []Uncovered { return a.uncovered }
