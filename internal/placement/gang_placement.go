package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/peers/peerspb"
)

// placeGang starts a gang only if all of its tasks find a machine, each given the tasks placed before it. It
// returns the number of placed tasks. A gang that must stay in one zone is tried zone by zone.
func (cs *ClusterState) placeGang(now time.Time, planned *plannedJob, samples []*peerspb.Sample) int {
	job := planned.job
	if job.bound.Len() > 0 || len(planned.tasks) < job.Spec.Tasks-job.finished.Len() || cs.tasksWithinLimit(job) < len(planned.tasks) {
		return 0
	}
	zones := []string{""}
	if job.Spec.OneZone {
		zones = cs.zonesByCachedImage(planned, samples)
	}
	attempt := cs.nextAttempt()
	for _, zone := range zones {
		tentative := cs.tryGang(now, planned, samples, zone, attempt)
		if len(tentative) < len(planned.tasks) {
			continue
		}
		if cs.preemptToAvoidFetch(now, job, tentative) {
			return 0
		}
		if cs.claimable(job, len(tentative)) {
			cs.claim(now, job, attempt, tentative)
			return len(tentative)
		}
		for _, task := range tentative {
			cs.bind(task)
			cs.order(task)
		}
		job.attempt = attempt
		return len(tentative)
	}
	return 0
}

// tryGang chooses a machine for one gang member after the other until a member finds none, and returns the
// members that found one. They stay bound while machines for the others are chosen, and are unbound at the end.
func (cs *ClusterState) tryGang(now time.Time, planned *plannedJob, samples []*peerspb.Sample, zone string, attempt uint64) []*Task {
	if planned.job.isLargeGang(len(planned.tasks)) {
		return cs.fillGang(now, planned, samples, zone, attempt)
	}
	var tentative []*Task
	for nth, index := range planned.tasks {
		machine := cs.choose(planned.job, cs.sampledMachines(planned, samples, nth, zone), now)
		if machine == nil {
			break
		}
		task := cs.newTask(now, planned.job, index, machine, attempt)
		cs.bind(task)
		tentative = append(tentative, task)
	}
	for _, task := range tentative {
		task.unbind()
	}
	return tentative
}

// zonesByCachedImage returns the sampled zones, ordered by the number of machines that have the image and fit
// the job: the zone with most of them comes first.
func (cs *ClusterState) zonesByCachedImage(planned *plannedJob, samples []*peerspb.Sample) []string {
	holders := map[string]int{}
	for _, machine := range cs.imageHolders[planned.job.Spec.Image].All() {
		if cs.fits(planned.job, machine, planned.now) {
			holders[machine.Pool.Zone]++
		}
	}
	var zones []string
	for _, s := range samples {
		if zone := s.Kind.GetZone(); !slices.Contains(zones, zone) {
			zones = append(zones, zone)
		}
	}
	slices.SortFunc(zones, func(x, y string) int { return cmp.Or(cmp.Compare(holders[y], holders[x]), cmp.Compare(x, y)) })
	return zones
}

// ReconcileGangs repairs the claims of gangs. It stops the remaining members of a gang that lost members while
// it waited and can't be completed, so that the gang can restart as a whole. It also clears the suspicion of
// jobs that run well.
func (cs *ClusterState) ReconcileGangs(now time.Time) {
	for _, job := range cs.jobs.All() {
		job.clearSuspicion(now)
		if job.Spec.Shape != model.Gang || job.Cancelled || job.bound.Len() == 0 {
			continue
		}
		if job.claim.Active() {
			if cs.repairClaim(now, job) {
				continue
			}
			cs.releaseClaim(job, now)
		}
		if job.Unplaced() <= 0 {
			continue
		}
		for _, task := range job.bound.All() {
			if !task.stopping && task.state != model.TaskOrdered {
				cs.stopMember(task, 0)
			}
		}
	}
}
