package placement

import (
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

// reservedCapacity is capacity of a machine that is reserved for one job, or for a class as warm headroom.
type reservedCapacity struct {
	size  model.Size
	class string // of the headroom; empty: the capacity is reserved for a job
	rank  int    // only jobs of a higher priority may take the capacity
	until time.Time
}

// reserve reserves capacity on a machine under the name of a job or a class. Space in the machine's heartbeat is not
// reserved: some hundred small tasks would keep all others from the machine.
func (m *Machine) reserve(name string, reservation reservedCapacity) {
	if m.reserved == nil {
		m.reserved = model.NewTable[string, reservedCapacity]()
	}
	reservation.size = reservation.size.WithoutReport()
	m.reserved.Put(name, reservation)
}

// consumeReservation subtracts the size of one task, which is being started, from the capacity that is reserved for
// its job.
//
// Guard: when a reservation kept its whole size after a task had started, the task's capacity was counted twice. Two
// jobs' reservations then kept the rest of a machine from each other, and it stayed idle (simtest, seed 2300004744:
// idle_room).
func (m *Machine) consumeReservation(job *Job) {
	reservation := m.reserved.At(job.Spec.ID)
	if reservation.until.IsZero() || reservation.class != "" {
		return
	}
	size := job.Spec.Size.WithoutReport()
	if reservation.size = reservation.size.Sub(size); size.AtMost(reservation.size) {
		m.reserve(job.Spec.ID, reservation)
	} else {
		m.reserved.Delete(job.Spec.ID)
	}
}
