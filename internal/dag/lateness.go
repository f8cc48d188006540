package dag

import "time"

// lateness is how much longer than estimated the jobs of a class take from their release
// until they are done. They take longer because machines have to boot, images have to be
// fetched, and a job is done only when the slowest of its tasks is done.
type lateness struct {
	observed bool          // at least one job of the class is done
	overrun  time.Duration // exponentially weighted average
}

// latenessWeight is the weight of the latest job in the exponentially weighted average of its class.
const latenessWeight = 0.2

// observe adds a job's overrun to the average. A job that took less than estimated counts with
// an overrun of zero.
func (l *lateness) observe(overrun time.Duration) {
	overrun = max(overrun, 0)
	if l.observed {
		overrun = l.overrun + time.Duration(latenessWeight*float64(overrun-l.overrun))
	}
	l.observed, l.overrun = true, overrun
}

// ObserveDuration records how long a job took. It ignores classes that have never had a waiting
// job.
func (g *Graph) ObserveDuration(class string, estimate, took time.Duration) {
	if late := g.latenessByClass[class]; late != nil {
		late.observe(took - estimate)
	}
}
