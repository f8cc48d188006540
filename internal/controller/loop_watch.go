package controller

import (
	"time"

	"github.com/marlwood/marlwood/internal/metrics"
)

// maxStepTime is how long one step may hold the loop before it is logged and counted: half of the time within which the
// load balancer wants its health checks answered.
const maxStepTime = 500 * time.Millisecond

// loopWatch measures the steps of the loop. It belongs to the loop.
type loopWatch struct {
	nested time.Duration // time of the steps inside the present one
}

// timeStep runs one step of the loop. If the step itself, without the steps that are measured inside it, held the loop for
// long, it is logged with the visits that it made to jobs, machines and tasks: many of them mean much work, few that the
// process lacked processor time or stood still.
func (c *Controller) timeStep(step metrics.Step, run func()) {
	outer := c.watch.nested
	c.watch.nested = 0
	began, workBefore := c.env.Now(), c.schedulerWork()
	run()
	took := c.env.Now().Sub(began)
	if own := took - c.watch.nested; own >= maxStepTime {
		c.metrics.LoopHeld(step, own)
		c.log.Warn("loop held", "step", string(step), "took", own, "visits", c.schedulerWork()-min(workBefore, c.schedulerWork()))
	}
	c.watch.nested = outer + took
}

// schedulerWork returns the steps of the leader's work so far, or 0 if this controller does not lead.
func (c *Controller) schedulerWork() uint64 {
	if c.term == nil {
		return 0
	}
	return c.term.scheduler.Work()
}
