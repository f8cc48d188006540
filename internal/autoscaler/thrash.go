package autoscaler

import (
	"slices"
	"time"
)

// Thrash counts machines that were launched but ran no task. It is a metric: no decision
// depends on it.
type Thrash struct {
	Unused uint64 // machines that were terminated as idle without ever having had a task
	Loops  uint64 // launch requests in a market where such machines had just been terminated
}

// A loop is a launch request in a market in which at least minLoopTerminations unused
// machines were terminated within the preceding loopWindow: either the autoscaler launches
// machines that are not used, or it terminates machines that are needed.
const (
	minLoopTerminations = 5
	loopWindow          = 2 * time.Minute
)

// thrashDetector tracks the terminations of unused machines, by market.
type thrashDetector struct {
	count              Thrash
	unusedTerminations map[Market][]time.Time
}

// scaledIn records the termination of a machine that never had a task.
func (d *thrashDetector) scaledIn(market Market, now time.Time) {
	if d.unusedTerminations == nil {
		d.unusedTerminations = map[Market][]time.Time{}
	}
	d.count.Unused++
	d.unusedTerminations[market] = append(d.unusedTerminations[market], now)
}

// scaledOut records a launch request.
func (d *thrashDetector) scaledOut(market Market, now time.Time) {
	if d.unusedTerminations[market] == nil {
		return
	}
	d.unusedTerminations[market] = slices.DeleteFunc(d.unusedTerminations[market], func(at time.Time) bool { return now.Sub(at) > loopWindow })
	if len(d.unusedTerminations[market]) >= minLoopTerminations {
		d.count.Loops++
		delete(d.unusedTerminations, market) // each machine counts for one loop
	}
}
