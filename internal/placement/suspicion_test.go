package placement

import (
	"testing"
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

// A job that failed on two faulty machines is suspected only until one of its tasks has run on another machine for long
// enough. Otherwise a service, whose tasks never finish, would be suspected for ever. A job whose tasks all fail stays
// suspected.
func TestSuspicionCleared(t *testing.T) {
	for _, c := range []struct {
		name  string
		shape model.Shape
		state model.TaskState // of the remaining task
		ran   float64         // seconds from its last report to the round
		next  bool            // another task is started
	}{
		{"a service", model.Service, model.TaskRunning, 46, true},
		{"an array of long tasks", model.Array, model.TaskRunning, 46, true},
		{"a service that has not run for long enough", model.Service, model.TaskRunning, 44, false},
		{"a task that is still fetching its image", model.Array, model.TaskFetching, 46, false},
	} {
		b := newBench(t)
		b.job("x", func(j *model.Job) { j.Shape, j.Tasks, j.Estimate = c.shape, 3, time.Hour })
		for i, name := range []string{"m0", "m1", "good"} {
			b.machine(name, "small", "a", task("x", i, 1, model.TaskRunning, ""))
		}
		b.report(1, "m0", "current", 99, task("x", 0, 1, model.TaskExited, model.CauseError))
		b.report(1, "m1", "current", 99, task("x", 1, 1, model.TaskExited, model.CauseError))
		b.report(10, "good", "current", 99, task("x", 2, 1, model.TaskFetching, ""))
		b.report(11, "good", "current", 99, task("x", 2, 1, c.state, ""))
		if !b.jobs.At("x").SuspectedPoison() {
			t.Fatalf("%s: the job is not suspected", c.name)
		}
		b.TryCompleteTakeover()
		b.ReconcileGangs(at(11 + c.ran))
		if b.round(11 + c.ran); (b.jobs.At("x").bound.Len() > 1) != c.next || b.jobs.At("x").SuspectedPoison() == c.next {
			t.Errorf("%s: %d tasks bound, suspected %v", c.name, b.jobs.At("x").bound.Len(), b.jobs.At("x").SuspectedPoison())
		}
	}
}
