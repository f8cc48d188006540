package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

// minimumBilledTime is the shortest time that is billed for a machine. A task that runs longer determines how
// long its machine is kept.
const minimumBilledTime = time.Minute

// usable reports whether tasks may be started on a machine at all.
func (m *Machine) usable() bool {
	return m.Phase == Current && m.Recorded && !m.Cordoned && !m.ScaleIn && m.drain == nil && m.TerminationNotice < 0 && m.orphans == 0 &&
		!m.MissedHeartbeats && !m.Unreachable && !m.cyclesControllers
}

// fits reports whether a task of a job may start on a machine now, given the job's other bound tasks.
func (cs *ClusterState) fits(j *Job, m *Machine, now time.Time) bool {
	cs.work.Add(1)
	return m.usable() && j.allowsMarket(m.Spot) && j.Spec.Size.Fits(cs.free(m, j, now)) &&
		slices.Contains(cs.poolsFor(j), m.Pool) && j.zoneAllows(m.Pool.Zone)
}

// allowsMachine reports whether a machine is in one of the given pools, of a market that the job allows, and, if
// zone isn't empty, in that zone.
func (j *Job) allowsMachine(m *Machine, pools []model.Pool, zone string) bool {
	return j.allowsMarket(m.Spot) && (zone == "" || m.Pool.Zone == zone) && slices.Contains(pools, m.Pool)
}

// zoneAllows reports whether the job's own zone rules allow one more task in a zone. All bound tasks count,
// including those of old attempts and those on unreachable machines.
func (j *Job) zoneAllows(zone string) bool {
	if !j.Spec.OneZone && !j.Spec.Spread {
		return true
	}
	inZone := j.inZone(zone)
	if j.Spec.OneZone && inZone < j.bound.Len() {
		return false // others are in another zone
	}
	return inZone < j.Spec.ZoneCap()
}

// machineScore is the score by which a machine is chosen among the sampled ones for a task of a job.
type machineScore struct {
	jobFailedHere        bool
	replicaLoss          time.Duration // the time that a replica is expected to lose here; 0 for other tasks
	missesStartObjective bool          // the fetch of the image takes longer than the job's class may wait
	price                float64       // per hour and CPU, for a long task that may run on spot machines; 0 for other tasks
	needsFetch           bool          // the machine doesn't have the image
	usedShare            float64       // of the machine
	slots                int           // for tasks of this size on an empty machine of this type
}

// compare orders the better score first. The used share and the slots are the rule of the paper that this
// scheduler follows: the machine with the lowest used share wins; ties go to the machine type with more slots
// for this task. The fields that are compared before them are exceptions to that rule.
func (s machineScore) compare(other machineScore) int {
	return cmp.Or(
		cmp.Compare(sortTrueFirst(!s.jobFailedHere), sortTrueFirst(!other.jobFailedHere)),
		cmp.Compare(sortTrueFirst(!s.missesStartObjective), sortTrueFirst(!other.missesStartObjective)),
		cmp.Compare(s.replicaLoss, other.replicaLoss),
		cmp.Compare(s.price, other.price),
		cmp.Compare(sortTrueFirst(!s.needsFetch), sortTrueFirst(!other.needsFetch)),
		cmp.Compare(s.usedShare, other.usedShare),
		cmp.Compare(other.slots, s.slots),
	)
}

// scoreOf returns the score of a machine for a task of a job.
func (cs *ClusterState) scoreOf(job *Job, machine *Machine, now time.Time) machineScore {
	machineType := cs.types[machine.Pool.Type]
	score := machineScore{
		jobFailedHere: job.failedOn[machine.Name],
		usedShare:     machine.load.Share(machineType.Size),
		slots:         job.Spec.Size.Slots(machineType.Size),
		needsFetch:    !cs.machineHasImage(machine, job.Spec.Image),
	}
	if wait := cs.opt.Aims[job.Spec.Class].Wait; wait > 0 && score.needsFetch && machineType.FetchGBPerS > 0 {
		fetched := now.Add(model.Seconds(job.Spec.ImageGB / machineType.FetchGBPerS))
		score.missesStartObjective = fetched.After(job.Accepted.Add(wait))
	}
	if job.Spec.Shape == model.Service && cs.opt.Apart > 0 {
		score.replicaLoss = cs.replicaLoss(job, machine, now)
	}
	if job.Spec.Spot && job.Spec.Estimate > minimumBilledTime {
		score.price = cs.price(machine)
	}
	return score
}

// choose returns the best of the sampled machines on which a task of a job may start, or nil if there is none.
func (cs *ClusterState) choose(job *Job, sampled []*Machine, now time.Time) *Machine {
	var best *Machine
	var bestScore machineScore
	for _, machine := range sampled {
		if !cs.fits(job, machine, now) {
			continue
		}
		if score := cs.scoreOf(job, machine, now); best == nil || score.compare(bestScore) < 0 {
			best, bestScore = machine, score
		}
	}
	return best
}

// price returns the price of a machine per hour and CPU.
func (cs *ClusterState) price(m *Machine) float64 { return cs.priceOf(m.Pool, m.Spot) }

// priceOf returns the price of a pool's spot or on-demand machines per hour and CPU.
func (cs *ClusterState) priceOf(pool model.Pool, spot bool) float64 {
	machineType := cs.types[pool.Type]
	if spot {
		return machineType.SpotPrice / machineType.Size.CPUs
	}
	return machineType.Price / machineType.Size.CPUs
}
