package placement

import "github.com/marlwood/marlwood/internal/model"

// boundCounts counts a job's bound tasks by what the rules of placement ask about them.
//
// Guard: a job may have 100,000 tasks. When the rules visited all of its bound tasks for each machine that was examined
// for the next one, one gang of small tasks held the leader's loop for minutes, and then the loop of the next leader.
type boundCounts struct {
	running   int              // tasks that are running or checkpointing
	byZone    []zoneCount      // a few zones, in the order of the first task in each
	onMachine map[*Machine]int // kept for services only; no other rule asks for it
}

// zoneCount is the number of a job's bound tasks in a zone.
type zoneCount struct {
	zone  string
	tasks int
}

// attach adds a task to the bound tasks of its job and of its machine.
func (t *Task) attach() {
	t.job.bound.Put(t.index, t)
	t.machine.tasks.Put(taskKey{t.job.Spec.ID, t.index}, t)
	t.job.count(t, 1)
}

// detach undoes attach.
func (t *Task) detach() {
	t.job.bound.Delete(t.index)
	t.machine.tasks.Delete(taskKey{t.job.Spec.ID, t.index})
	t.job.count(t, -1)
}

// count adds a number of tasks like the given one to the counts.
func (j *Job) count(task *Task, tasks int) {
	j.countState(task.state, tasks)
	j.countInZone(task.machine.Pool.Zone, tasks)
	if j.Spec.Shape != model.Service {
		return
	}
	if j.onMachine == nil {
		j.onMachine = map[*Machine]int{}
	}
	if j.onMachine[task.machine] += tasks; j.onMachine[task.machine] == 0 {
		delete(j.onMachine, task.machine)
	}
}

// countState adds a number of tasks in a state to the counts.
func (c *boundCounts) countState(state model.TaskState, tasks int) {
	if state == model.TaskRunning || state == model.TaskSaving {
		c.running += tasks
	}
}

// countInZone adds a number of tasks in a zone to the counts.
func (c *boundCounts) countInZone(zone string, tasks int) {
	for i := range c.byZone {
		if c.byZone[i].zone == zone {
			c.byZone[i].tasks += tasks
			return
		}
	}
	c.byZone = append(c.byZone, zoneCount{zone, tasks})
}

// inZone returns the number of the job's bound tasks in a zone.
func (c *boundCounts) inZone(zone string) int {
	for _, count := range c.byZone {
		if count.zone == zone {
			return count.tasks
		}
	}
	return 0
}

// tasksByZone returns the number of the job's bound tasks by zone, in a map that the caller may change.
func (c *boundCounts) tasksByZone() map[string]int {
	tasks := make(map[string]int, len(c.byZone))
	for _, count := range c.byZone {
		tasks[count.zone] = count.tasks
	}
	return tasks
}
