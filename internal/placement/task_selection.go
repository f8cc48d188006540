package placement

import (
	"github.com/marlwood/marlwood/internal/model"
)

// tasksWithinLimit returns how many more tasks of a job its team's limit allows.
func (cs *ClusterState) tasksWithinLimit(j *Job) int {
	return cs.tasksWithinLimitAfter(j, model.Size{})
}

// tasksWithinLimitAfter is like tasksWithinLimit, but counts the promised size as used by the team.
func (cs *ClusterState) tasksWithinLimitAfter(job *Job, promised model.Size) int {
	team := job.usage.team
	tasks := tasksWithin(team.Limit, job.usage.size.Add(promised), job.Spec.Size, job.Unplaced())
	return max(tasks, 0)
}

// tasksWithin returns how many of n tasks of a size fit into a limit in addition to the used size. Resources
// that are unlimited or that the tasks don't request are ignored, and so is memory.
func tasksWithin(limit, used, size model.Size, n int) int {
	if limit.CPUs > 0 && size.CPUs > 0 {
		n = min(n, model.Size{CPUs: size.CPUs}.Slots(model.Size{CPUs: limit.CPUs - used.CPUs}))
	}
	if limit.GPUs > 0 && size.GPUs > 0 {
		n = min(n, model.Size{GPUs: size.GPUs}.Slots(model.Size{GPUs: limit.GPUs - used.GPUs}))
	}
	return n
}

// pickTasks returns at most limit tasks that are neither finished nor bound. Tasks to be retried come first.
func (j *Job) pickTasks(limit int) []int {
	picked, taken := j.pickRetries(limit)
	for j.nextTask < j.Spec.Tasks && !j.isUnplaced(j.nextTask) {
		j.nextTask++
	}
	for i := j.nextTask; i < j.Spec.Tasks && len(picked) < limit; i++ {
		if j.isUnplaced(i) && !taken.Has(i) {
			picked = append(picked, i)
		}
	}
	return picked
}

// pickRetries returns at most limit unplaced tasks that are to be retried, as a list and as a set. It drops the others
// that it comes across from the job's tasks to be retried.
func (j *Job) pickRetries(limit int) (picked []int, taken *model.TaskSet) {
	if len(j.retryTasks) == 0 {
		return nil, model.NewTaskSet(0)
	}
	taken = model.NewTaskSet(j.Spec.Tasks)
	visited := 0
	for ; visited < len(j.retryTasks) && len(picked) < limit; visited++ {
		if i := j.retryTasks[visited]; j.isUnplaced(i) && taken.Add(i) {
			picked = append(picked, i)
		}
	}
	kept := copy(j.retryTasks, picked)
	j.retryTasks = append(j.retryTasks[:kept], j.retryTasks[visited:]...)
	return picked, taken
}

// isUnplaced reports whether a task is neither finished nor bound.
func (j *Job) isUnplaced(index int) bool { return !j.finished.Has(index) && j.bound.At(index) == nil }
