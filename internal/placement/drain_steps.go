package placement

import (
	"maps"
	"slices"
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

// drainStep is one pass over the tasks on all drained machines.
type drainStep struct {
	cs       *ClusterState
	now      time.Time
	gangs    map[*Job]bool // gangs with a member on a drained machine
	services map[*Job]bool // services for whose replicas other capacity was searched
	capacity *freeCapacity // free capacity of the other machines; computed on first use
}

// advanceDrains stops the tasks on drained machines that are to be stopped now.
//
//   - A task that has not started is stopped at once: no work is lost, and it starts elsewhere.
//   - A task that checkpoints is stopped with enough grace to write a checkpoint, and continues elsewhere.
//   - A task that doesn't checkpoint runs to its end or until the deadline.
//   - A replica of a service never ends by itself. It is stopped as soon as other machines have capacity for it, or
//     at the deadline.
//   - A gang moves as a whole. It is stopped at once if none of its members runs yet. Otherwise it runs to its end, or
//     it is stopped after the deadline as soon as other machines have capacity for all of its members, which is then
//     reserved for it. With Force it is stopped at the deadline in any case.
//
// Guard: a gang's members on other machines are stopped together with those on drained machines. If they were left
// running, they would notice that members are missing, and the gang would lose its work since the last checkpoint.
func (cs *ClusterState) advanceDrains(now time.Time) {
	if !cs.takeoverComplete || cs.drains.Len() == 0 {
		return
	}
	step := &drainStep{cs: cs, now: now, gangs: map[*Job]bool{}, services: map[*Job]bool{}}
	for _, machine := range cs.machines.All() {
		if machine.drain != nil && machine.Phase == Current {
			step.advanceMachine(machine)
		}
	}
	for _, job := range slices.SortedFunc(maps.Keys(step.gangs), compareJobIDs) {
		cs.advanceGangDrain(job, now)
	}
}

// advanceMachine stops those tasks of a drained machine that are to be stopped now, and collects the gangs that have
// members on it.
func (s *drainStep) advanceMachine(machine *Machine) {
	overdue := !machine.drain.Deadline.IsZero() && !s.now.Before(machine.drain.Deadline)
	for _, task := range machine.tasks.All() {
		spec := task.job.Spec
		switch {
		case spec.Shape == model.Gang:
			s.gangs[task.job] = true
		case task.stopping:
		case task.state != model.TaskRunning:
			s.cs.stopMember(task, 0)
		case spec.CheckpointEvery > 0, overdue, spec.Shape == model.Service && s.replicaFitsElsewhere(task.job):
			s.cs.stopMember(task, graceFor(spec))
		}
	}
}

// replicaFitsElsewhere allocates free capacity of the other machines to one replica of a job, and reports whether
// there was enough.
//
// Guard: capacity for replicas that are already waiting or being stopped is allocated first, as it isn't free for
// another replica. Otherwise all replicas would be stopped, one after the other, for the same capacity.
func (s *drainStep) replicaFitsElsewhere(job *Job) bool {
	if s.capacity == nil {
		s.capacity = s.cs.newFreeCapacity(s.now, nil)
	}
	if !s.services[job] {
		s.services[job] = true
		stopping := 0
		for _, task := range job.bound.All() {
			if task.stopping {
				stopping++
			}
		}
		s.capacity.allocate(job, "", job.Unplaced()+stopping)
	}
	return s.capacity.allocate(job, "", 1) == 0
}

// UnresolvedStarts returns the numbers of starts and machines through which tasks may still begin to run on drained
// machines: starts that were ordered before the drain and whose outcome is not known yet, and machines that have not
// reported under this leader's token.
//
// Guard: until a machine has seen this leader's token, an earlier leader on the same side of a network partition may
// start tasks there, for as long as it may act without the state service (simtest, seed 70071424).
func (cs *ClusterState) UnresolvedStarts(target string) (starts, machines int) {
	drain := cs.drains.At(target)
	if drain == nil {
		return 0, 0
	}
	for _, machine := range cs.machines.All() {
		if !drain.covers(machine.Name, machine.Pool) {
			continue
		}
		if machine.Phase != Current && machine.Phase != Expired {
			machines++
		}
		for _, task := range machine.tasks.All() {
			if task.state == model.TaskOrdered {
				starts++
			}
		}
	}
	return starts, machines
}
