package placement

import (
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

// free returns the capacity that a job may use on a machine.
func (cs *ClusterState) free(m *Machine, j *Job, now time.Time) model.Size {
	size := cs.types[m.Pool.Type].Size
	free := j.Spec.Size.FreeFor(size, m.freeOf(size))
	if m.reserved.Len() > 0 {
		free = free.Sub(cs.reservedAgainst(m, j, now))
	}
	return free
}

// freeOf returns what the machine's tasks leave of its size, reserved capacity included. Tasks that have exited take up
// space in its heartbeat until it is told to forget them.
func (m *Machine) freeOf(size model.Size) model.Size {
	free := size.Sub(m.load)
	free.ReportBytes -= m.exitedReportBytes
	return free
}

// reservedAgainst returns the capacity on a machine that a job may not use because it is reserved. Except in
// queries, it deletes the reservations that have expired.
func (cs *ClusterState) reservedAgainst(machine *Machine, job *Job, now time.Time) model.Size {
	var reserved model.Size
	own := machine.reserved.At(job.Spec.ID)
	for id, reservation := range machine.reserved.All() {
		switch {
		case cs.reservationExpired(id, reservation, now):
			if !cs.readOnly {
				machine.reserved.Delete(id)
				cs.capacityEvents++ // see executePreemption
			}
		case reservation.class != "" && job.boostedInOverload: // warm headroom is kept for jobs that may arrive later
		case own.precedes(reservation, now):
			// Guard: when both jobs have capacity reserved on this machine and a checkpointing task still
			// holds part of it, each reservation blocked the other job from using the part that was already
			// free. When the checkpoint was written, the task's job took the capacity again and
			// was preempted again, forever (simulation seed 7200007027: idle_room). Therefore the job
			// whose reservation is at least as strict uses the free capacity first.
		case id != job.Spec.ID && reservation.class != job.Spec.Class && reservation.rank >= job.effectivePriority:
			reserved = reserved.Add(reservation.size)
		}
	}
	return reserved
}

// reservationExpired reports whether a reservation's time is over, or the job that it is for no longer needs it.
func (cs *ClusterState) reservationExpired(id string, r reservedCapacity, now time.Time) bool {
	return now.After(r.until) || (r.class == "" && (cs.jobs.At(id) == nil || cs.jobs.At(id).Unplaced() == 0))
}

// precedes reports whether the job with this reservation uses free capacity before the job with another
// reservation: both reservations are for jobs, and this one has not ended and is at least as strict.
func (r reservedCapacity) precedes(other reservedCapacity, now time.Time) bool {
	return other.class == "" && r.class == "" && r.rank >= other.rank && !now.After(r.until)
}
