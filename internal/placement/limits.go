package placement

import (
	"cmp"
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

// SetLimits replaces the limits of the named teams. The others keep theirs.
func (cs *ClusterState) SetLimits(limits map[string]model.Size) {
	for name, limit := range limits {
		team, known := cs.teams[name]
		if !known || team.Limit == limit {
			continue
		}
		team.Limit = limit
		cs.teams[name] = team
		if usage := cs.teamUsages[name]; usage != nil {
			usage.team = team
		}
		cs.capacityEvents++ // jobs that the old limit held back may start
	}
}

// configuredLimit returns the configured limit of a job's team. Other regions may have a share of it at the moment.
//
// Guard: estimates of how long a job uses up its team's limit were divided by the part of the limit that the
// team has in this region at the moment. Where that part was close to zero the estimates overflowed, and the job
// counted as the most urgent of all.
func (cs *ClusterState) configuredLimit(job *Job) model.Size {
	return cs.configuredTeams[job.Spec.Team].Limit
}

// TeamDemand is the capacity that a team's tasks use, and the capacity that its jobs wait for.
type TeamDemand struct {
	Used    model.Size // by its bound tasks
	Waiting model.Size // for its unplaced tasks
	Rank    int        // effective priority of the job that waits with the highest priority, the oldest of equals
	Since   time.Time  // when that job was accepted
}

// TeamDemands returns the demands of all teams. It returns false if they are not known, because the cluster state is
// incomplete or orphaned tasks run, whose teams are not known.
func (cs *ClusterState) TeamDemands() (map[string]TeamDemand, bool) {
	if !cs.takeoverComplete || cs.orphanedTasks() > 0 {
		return nil, false
	}
	demands := make(map[string]TeamDemand, len(cs.teamUsages))
	for name, usage := range cs.teamUsages {
		demands[name] = TeamDemand{Used: usage.size}
	}
	for _, job := range cs.jobs.All() {
		unplaced := job.Unplaced()
		if unplaced <= 0 || job.Cancelled || job.SuspectedPoison() {
			continue
		}
		demand := demands[job.Spec.Team]
		if demand.Waiting == (model.Size{}) || cmp.Or(cmp.Compare(job.effectivePriority, demand.Rank), demand.Since.Compare(job.Accepted)) > 0 {
			demand.Rank, demand.Since = job.effectivePriority, job.Accepted
		}
		demand.Waiting = demand.Waiting.Add(job.Spec.Size.Times(unplaced))
		demands[job.Spec.Team] = demand
	}
	return demands, true
}
