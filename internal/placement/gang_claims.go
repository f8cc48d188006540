package placement

import (
	"time"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/reservation"
)

// This file maintains the claims of gangs (package reservation). All members of a gang are bound when the gang
// is placed, but none is ordered before the claim is stored as a part of the job's record. After a failover, the
// next leader binds the members to the claimed machines before its first round, and resumes the same attempt.

// gangState is a gang's present placement attempt.
type gangState struct {
	attempt       uint64
	claim         *reservation.Claim // nil: the gang has no claim
	claimTooLarge bool               // the claim is too large to be stored
}

// claimable reports whether a claim for a gang must be stored before the given number of its members is ordered.
// A gang of one member can't be started in part, and needs no claim.
func (cs *ClusterState) claimable(job *Job, members int) bool {
	return members > 1 && members == job.Spec.Tasks && members <= cs.opt.ClaimPieces && !job.oversized && !job.claimTooLarge
}

// claim binds the members of a gang to machines and requests that a claim on these be stored. The start orders follow
// once it is stored.
func (cs *ClusterState) claim(now time.Time, job *Job, attempt uint64, tasks []*Task) {
	machines := make([]string, job.Spec.Tasks)
	for _, task := range tasks {
		task.heldByClaim = true
		machines[task.index] = task.machine.Name
		cs.bind(task)
	}
	job.attempt, job.claim, job.dirty = attempt, reservation.New(attempt, machines, now), true
}

// claimStored records that a version of a job's claim is stored. If it is the current version, the members are
// ordered.
func (cs *ClusterState) claimStored(job *Job, version int) {
	if job.claim.Active() && job.claim.Stored(version) {
		cs.orderClaimed(job)
	}
}

// orderClaimed orders the claimed members whose machines are usable.
func (cs *ClusterState) orderClaimed(job *Job) {
	if !cs.takeoverComplete || job.claim.State != reservation.Claimed && job.claim.State != reservation.Starting {
		return
	}
	for _, task := range job.bound.All() {
		if task.heldByClaim && task.machine.usable() {
			task.heldByClaim, task.orderToken = false, cs.token
			cs.order(task)
			job.claim.MembersOrdered()
		}
	}
}

// memberUnbound records that a member of a gang is no longer bound.
func (j *Job) memberUnbound(task *Task) {
	if !j.claim.Active() || j.claim.Attempt != task.attempt {
		return
	}
	for _, other := range j.bound.All() {
		if other.state == model.TaskRunning {
			j.claim.Release() // the gang had started: its other members detect the loss and restart from their last checkpoint
			return
		}
	}
	j.claim.MemberFailed(task.index)
}

// finishClaim ends a claim once all its members run. The write that records the job as started then omits the
// claim.
func (j *Job) finishClaim() {
	if !j.claim.Active() || j.bound.Len() < j.Spec.Tasks {
		return
	}
	for _, task := range j.bound.All() {
		if task.attempt != j.claim.Attempt || task.state != model.TaskRunning {
			return
		}
	}
	j.claim.MembersRunning()
	j.dirty = true
}

// repairClaim continues a gang's claim: members whose machines are no longer usable get other machines, under the
// same attempt. It returns false if the claim can't be completed in time and must be released.
func (cs *ClusterState) repairClaim(now time.Time, job *Job) bool {
	for _, task := range job.bound.All() {
		if task.heldByClaim && !task.machine.usable() && task.machine.Phase != Unseen && task.machine.Phase != Joining {
			cs.release(task, now)
		}
	}
	cs.orderClaimed(job)
	switch {
	case job.claim.State == reservation.Requested, job.claim.State == reservation.Starting && !job.anyHeldByClaim():
		return true
	case !job.claim.MayRepair(now, cs.opt.GangWait):
		// Guard: no machine is launched for a gang if some members are bound. Without this time
		// limit, the members of a gang held their machines for one member that found none anywhere
		// (simtest, seed 220000008).
		return false
	case job.claim.State == reservation.Repairing:
		cs.replaceMembers(now, job)
	}
	return true
}

// anyHeldByClaim reports whether a member of the gang is bound by the claim and not ordered.
func (j *Job) anyHeldByClaim() bool {
	for _, task := range j.bound.All() {
		if task.heldByClaim {
			return true
		}
	}
	return false
}

// replaceMembers binds the members of a claim that have no machine to other machines, as long as there is
// capacity.
func (cs *ClusterState) replaceMembers(now time.Time, job *Job) {
	for member, name := range job.claim.Machines {
		if name != "" || job.bound.At(member) != nil {
			continue
		}
		if cs.tasksWithinLimit(job) == 0 {
			return
		}
		machine := cs.choose(job, cs.machines.Values(), now)
		if machine == nil {
			return // there may be capacity later, before the claim's time is up
		}
		cs.bindClaimed(now, job, member, machine)
		job.claim.Replace(member, machine.Name)
		job.dirty = true
	}
}

// bindClaimed binds a member of a claimed gang to a machine without ordering it.
func (cs *ClusterState) bindClaimed(now time.Time, job *Job, member int, machine *Machine) {
	cs.bind(&Task{
		job:         job,
		index:       member,
		attempt:     job.claim.Attempt,
		machine:     machine,
		state:       model.TaskOrdered,
		stateSince:  now,
		heldByClaim: true,
	})
}

// releaseClaim releases a gang's claim and those of its members that were not ordered.
func (cs *ClusterState) releaseClaim(job *Job, now time.Time) {
	if job.claim != nil {
		job.claim.Release()
	}
	for _, task := range job.bound.All() {
		if task.heldByClaim {
			cs.release(task, now)
		}
	}
}

// resumeClaims continues the claims that an earlier leader stored. It is called before the first tasks are
// placed, when the tasks of every machine are known.
func (cs *ClusterState) resumeClaims(now time.Time) {
	for _, job := range cs.jobs.All() {
		if !job.Cancelled && job.claim.Active() && job.claim.State == reservation.Claimed {
			cs.resumeClaim(now, job)
		}
	}
}

// resumeClaim continues one gang's claim. Members that are already on their machines were bound when the machines
// reported them. The other members are bound to the machines that were claimed for them, if they fit there, and
// are ordered under the same attempt. The rest get other machines in repairClaim.
func (cs *ClusterState) resumeClaim(now time.Time, job *Job) {
	otherAttempt := false
	for _, task := range job.bound.All() {
		otherAttempt = otherAttempt || task.attempt != job.claim.Attempt
	}
	if otherAttempt || job.finished.Len() > 0 || cs.tasksWithinLimit(job) < job.Unplaced() {
		job.claim.Release() // a later attempt was made, tasks have finished, or the limit was lowered
		return
	}
	for member, name := range job.claim.Machines {
		if job.bound.At(member) != nil {
			continue
		}
		if machine := cs.machines.At(name); machine != nil && cs.fits(job, machine, now) {
			cs.bindClaimed(now, job, member, machine)
		} else {
			job.claim.MemberFailed(member)
		}
	}
	job.attempt, job.claim.Since = job.claim.Attempt, now
	cs.opt.Log.Info("claim resumed", "job", job.Spec.ID, "attempt", job.claim.Attempt, "pieces", job.Spec.Tasks, "bound", job.bound.Len(),
		"state", job.claim.State.String())
	job.finishClaim()
	cs.orderClaimed(job)
}
