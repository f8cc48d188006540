package placement

import (
	"container/heap"
	"time"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/peers/peerspb"
)

// maxDrawnMembers is the largest gang for whose members machines are drawn one by one. For a larger gang all machines
// with free capacity are scanned at once: so many draws would name each of them many times over.
const maxDrawnMembers = 256

// isLargeGang reports whether a job is a gang, and the given number of its tasks are too many to be placed one by one.
func (j *Job) isLargeGang(tasks int) bool {
	return j.Spec.Shape == model.Gang && tasks > maxDrawnMembers
}

// fillGang chooses machines for the members of a large gang by the rule that chooses one for a single task, given the
// members placed before it. It returns no members if not all of them find a machine. None of them is bound.
//
// All members need the same, so a member changes the score of no machine but its own, and a machine's free capacity
// tells how many members it takes. The work is that of one look at each machine and one step for each member.
func (cs *ClusterState) fillGang(now time.Time, planned *plannedJob, samples []*peerspb.Sample, zone string, attempt uint64) []*Task {
	job, members := planned.job, len(planned.tasks)
	machines := cs.gangMachines(now, planned, samples, zone)
	if machines.capacity(job.Spec) < members {
		return nil
	}
	tasks := make([]*Task, 0, members)
	inZone := map[string]int{}
	cs.work.Add(uint64(members))
	for _, index := range planned.tasks {
		machine := machines.take(inZone, job.Spec.ZoneCap())
		if machine == nil {
			return nil
		}
		tasks = append(tasks, cs.newTask(now, job, index, machine.machine, attempt))
		inZone[machine.machine.Pool.Zone]++
		machines.place(job.Spec.Size)
	}
	return tasks
}

// gangMachine is a machine that takes members of a large gang.
type gangMachine struct {
	machine  *Machine
	size     model.Size // of the machine
	load     model.Size // with the members that were placed on it
	slots    int        // for further members
	score    machineScore
	position int // among the scanned machines; of equal scores the first wins
}

// gangMachines is a heap of the machines that may take a member of a large gang, the best one first.
type gangMachines []*gangMachine

// gangMachines returns the scanned machines of a zone, or of all zones if zone is empty, that have a slot for a member.
func (cs *ClusterState) gangMachines(now time.Time, planned *plannedJob, samples []*peerspb.Sample, zone string) *gangMachines {
	job, machines := planned.job, gangMachines{}
	for position, machine := range cs.scannedMachines(samples, zone) {
		if !cs.fits(job, machine, now) {
			continue
		}
		machines = append(machines, &gangMachine{
			machine:  machine,
			size:     cs.types[machine.Pool.Type].Size,
			load:     machine.load,
			slots:    job.Spec.Size.Slots(cs.free(machine, job, now)),
			score:    cs.scoreOf(job, machine, now),
			position: position,
		})
	}
	heap.Init(&machines)
	return &machines
}

// scannedMachines returns the machines in the samples of a full scan that are in a zone, or in any if zone is empty.
func (cs *ClusterState) scannedMachines(samples []*peerspb.Sample, zone string) []*Machine {
	var machines []*Machine
	seen := map[string]bool{}
	for _, sample := range samples {
		if zone != "" && sample.Kind.GetZone() != zone {
			continue
		}
		for _, name := range sample.Machines {
			if machine := cs.machines.At(name); machine != nil && !seen[name] {
				seen[name] = true
				machines = append(machines, machine)
			}
		}
	}
	return machines
}

// capacity returns how many members the machines take, given how many may be in one zone.
func (m gangMachines) capacity(spec *model.Job) (members int) {
	inZone := map[string]int{}
	for _, machine := range m {
		inZone[machine.machine.Pool.Zone] += machine.slots
	}
	for _, slots := range inZone {
		members += min(slots, spec.ZoneCap())
	}
	return members
}

// take returns the best machine in a zone that has fewer members than its cap, or nil if there is none.
func (m *gangMachines) take(inZone map[string]int, zoneCap int) *gangMachine {
	for m.Len() > 0 {
		best := (*m)[0]
		if best.slots > 0 && inZone[best.machine.Pool.Zone] < zoneCap {
			return best
		}
		heap.Pop(m) // neither its slots nor those of its zone grow
	}
	return nil
}

// place counts one more member of a size on the best machine.
func (m *gangMachines) place(size model.Size) {
	best := (*m)[0]
	best.slots--
	best.load = best.load.Add(size)
	best.score.usedShare = best.load.Share(best.size)
	heap.Fix(m, 0)
}

// Len implements heap.Interface.
func (m gangMachines) Len() int { return len(m) }

// Less implements heap.Interface.
func (m gangMachines) Less(i, k int) bool {
	if order := m[i].score.compare(m[k].score); order != 0 {
		return order < 0
	}
	return m[i].position < m[k].position
}

// Swap implements heap.Interface.
func (m gangMachines) Swap(i, k int) { m[i], m[k] = m[k], m[i] }

// Push implements heap.Interface.
func (m *gangMachines) Push(x any) { *m = append(*m, x.(*gangMachine)) }

// Pop implements heap.Interface.
func (m *gangMachines) Pop() any {
	last := (*m)[len(*m)-1]
	*m = (*m)[:len(*m)-1]
	return last
}
