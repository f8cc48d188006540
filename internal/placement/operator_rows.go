package placement

import (
	"time"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/operators/operatorspb"
)

// unixMS returns a time in the format of messages to operators: Unix milliseconds, or 0 for the zero time.
func unixMS(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

// PageSize is the maximum number of rows in one response to operators.
const PageSize = 500

// withReadOnly runs a query without changing the cluster state.
//
// Guard: a query must not change later decisions. Computing the queue writes each job's queue key, and reading free
// capacity deletes expired reservations. A recording contains no queries, so its replay would decide differently.
func (cs *ClusterState) withReadOnly(answer func()) {
	keys := make(map[*Job]queueKey, cs.jobs.Len())
	for _, j := range cs.jobs.All() {
		keys[j] = j.queueKey
	}
	cs.readOnly = true
	answer()
	cs.readOnly = false
	for j, key := range keys {
		j.queueKey = key
	}
}

// jobRow returns a job's row for operators.
func (cs *ClusterState) jobRow(job *Job, now time.Time) *operatorspb.Job {
	spec := job.Spec
	row := &operatorspb.Job{
		Id:       spec.ID,
		Team:     spec.Team,
		Class:    spec.Class,
		Shape:    string(spec.Shape),
		Priority: string(spec.Priority),
		Tasks:    uint32(spec.Tasks),
		Done:     uint32(job.finished.Len()),
		Running:  uint32(job.running),
		Placed:   uint32(job.bound.Len()),
		Cpus:     spec.Size.CPUs,
		Gpus:     spec.Size.GPUs,
		MemoryGb: spec.Size.MemoryGB,
		Image:    spec.Image,
		Zone:     spec.Zone,
		AgeS:     now.Sub(job.Accepted).Seconds(),
		State:    job.stateText(),
	}
	if !job.unplacedSince.IsZero() {
		row.WaitS = now.Sub(job.unplacedSince).Seconds()
	}
	if spec.Deadline > 0 {
		row.DueUnixMs = unixMS(job.Accepted.Add(spec.Deadline))
	}
	return row
}

// stateText returns the job's state for operators.
func (j *Job) stateText() string {
	switch {
	case j.Cancelled:
		return "cancelled"
	case j.bound.Len() == 0:
		return "queued"
	case j.Unplaced() > 0:
		return "partly"
	}
	return "running"
}

// queuePositions returns the positions of the pending jobs in the queue, starting at 1.
func (cs *ClusterState) queuePositions(now time.Time) map[*Job]int {
	positions := map[*Job]int{}
	for i, job := range cs.queue(now) {
		positions[job] = i + 1
	}
	return positions
}

// JobRows returns for operators a page of the jobs whose IDs sort after the given one, and whether there are more.
func (cs *ClusterState) JobRows(after string, now time.Time) (rows []*operatorspb.Job, more bool) {
	var positions map[*Job]int
	cs.withReadOnly(func() { positions = cs.queuePositions(now) })
	for id, job := range cs.jobs.All() {
		if id <= after {
			continue
		}
		if len(rows) == PageSize {
			return rows, true
		}
		row := cs.jobRow(job, now)
		row.Place = uint32(positions[job])
		rows = append(rows, row)
	}
	return rows, false
}

// MachineRows returns for operators a page of the machines whose names sort after the given one, and whether there are
// more.
func (cs *ClusterState) MachineRows(after string, now time.Time) (rows []*operatorspb.Node, more bool) {
	for name, machine := range cs.machines.All() {
		if name <= after {
			continue
		}
		if len(rows) == PageSize {
			return rows, true
		}
		rows = append(rows, cs.machineRow(machine, now))
	}
	return rows, false
}

// machineRow returns a machine's row for operators.
func (cs *ClusterState) machineRow(machine *Machine, now time.Time) *operatorspb.Node {
	size := cs.types[machine.Pool.Type].Size
	row := &operatorspb.Node{
		Name:         machine.Name,
		Type:         machine.Pool.Type,
		Zone:         machine.Pool.Zone,
		Spot:         machine.Spot,
		Phase:        machine.Phase.String(),
		Cpus:         size.CPUs,
		UsedCpus:     machine.load.CPUs,
		Gpus:         size.GPUs,
		UsedGpus:     machine.load.GPUs,
		MemoryGb:     size.MemoryGB,
		UsedMemoryGb: machine.load.MemoryGB,
		Tasks:        uint32(machine.tasks.Len()),
		Retiring:     machine.ScaleIn,
		Cordoned:     machine.Cordoned,
		RecallS:      -1,
		AgeS:         now.Sub(machine.FirstSeen).Seconds(),
		Owner:        cs.owners[machine.Pool],
	}
	if machine.TerminationNotice >= 0 {
		row.RecallS = max(0, machine.TerminationNotice-now.Sub(machine.NoticeAt)).Seconds()
	}
	if machine.drain != nil {
		row.Drain = machine.drain.Target()
	}
	return row
}

// TeamRows returns for operators the rows of the teams that are named in the settings.
func (cs *ClusterState) TeamRows() (rows []*operatorspb.Team) {
	teams := model.NewTable[string, *operatorspb.Team]()
	for name, team := range cs.teams {
		used := cs.usageOf(name).size
		teams.Put(name, &operatorspb.Team{
			Name:           name,
			Cpus:           used.CPUs,
			GuaranteedCpus: team.Guarantee.CPUs,
			LimitCpus:      team.Limit.CPUs,
			Gpus:           used.GPUs,
			GuaranteedGpus: team.Guarantee.GPUs,
			LimitGpus:      team.Limit.GPUs,
		})
	}
	for _, job := range cs.jobs.All() {
		if row := teams.At(job.Spec.Team); row != nil {
			row.Jobs++
			row.Placed += uint32(job.bound.Len())
			row.Unplaced += uint32(max(0, job.Unplaced()))
		}
	}
	for _, row := range teams.All() {
		rows = append(rows, row)
	}
	return rows
}
