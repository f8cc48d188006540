package placement

import (
	"github.com/marlwood/marlwood/internal/model"
)

// teamUsage is the total size of a team's bound tasks. It is updated whenever a task is bound or released. Computing the
// sum for each job of a long queue took a large part of a round's time.
type teamUsage struct {
	team      model.Team
	size      model.Size
	tasks     int
	requested model.Size // by all jobs of the team when the queue was last computed
}

// add adds a newly bound task.
func (u *teamUsage) add(size model.Size) {
	u.size, u.tasks = u.size.Add(size), u.tasks+1
}

// remove subtracts a released task.
func (u *teamUsage) remove(size model.Size) {
	u.size, u.tasks = u.size.Sub(size), u.tasks-1
	if u.tasks == 0 {
		u.size = model.Size{} // discard accumulated rounding errors
	}
}

// usageOf returns a team's usage, and creates it if there is none.
func (cs *ClusterState) usageOf(team string) *teamUsage {
	usage := cs.teamUsages[team]
	if usage == nil {
		usage = &teamUsage{team: cs.teams[team]}
		cs.teamUsages[team] = usage
	}
	return usage
}
