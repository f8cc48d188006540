package fleet

import (
	"slices"
	"time"
)

// Churn counts machines that were paid for and did nothing, for whoever watches; nothing is
// decided by it.
type Churn struct {
	Unused uint64 // machines returned because they were idle, on which no task had ever been seen
	Loops  uint64 // rentals from a source that had just been given such machines back
}

// A loop is a rental from a source that leastLoop unused machines were given back to within
// loopWindow: either what is rented is not used, or what is returned is needed.
const (
	leastLoop  = 5
	loopWindow = 2 * time.Minute
)

// churn takes note of what is returned and rented.
type churn struct {
	count  Churn
	unused map[Source][]time.Time
}

func (c *churn) returned(s Source, now time.Time) {
	if c.unused == nil {
		c.unused = map[Source][]time.Time{}
	}
	c.count.Unused++
	c.unused[s] = append(c.unused[s], now)
}

func (c *churn) rented(s Source, now time.Time) {
	if c.unused[s] == nil {
		return
	}
	c.unused[s] = slices.DeleteFunc(c.unused[s], func(at time.Time) bool { return now.Sub(at) > loopWindow })
	if len(c.unused[s]) >= leastLoop {
		c.count.Loops++
		delete(c.unused, s) // each machine counts for one loop
	}
}

// Churn returns what was counted since the term began.
func (f *Fleet) Churn() Churn { return f.churn.count }
