package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/operators/operatorspb"
	"github.com/marlwood/marlwood/internal/placement"
)

// The methods in this file answer operators' queries. They do not change the state, so they
// submit no events.

// JobRows returns a page of the open and waiting jobs whose IDs are greater than after, in
// the order of their IDs, and reports whether there are more.
func (s *Scheduler) JobRows(now time.Time, after string) (rows []*operatorspb.Job, more bool) {
	moment := s.schedulerTime(now)
	rows, more = s.cluster.JobRows(after, moment)
	last := ""
	if more {
		last = rows[len(rows)-1].Id
	}
	for _, id := range s.graph.IDs() {
		if id > after && (!more || id < last) && s.cluster.Jobs().At(id) == nil {
			record, _, _ := s.graph.WaitingJob(id)
			rows = append(rows, waitingJobRow(record, moment))
		}
	}
	slices.SortFunc(rows, func(x, y *operatorspb.Job) int { return cmp.Compare(x.Id, y.Id) })
	if len(rows) > placement.PageSize {
		rows, more = rows[:placement.PageSize], true
	}
	return rows, more
}

func waitingJobRow(record placement.JobRecord, now time.Time) *operatorspb.Job {
	spec := record.Job
	accepted := time.UnixMilli(record.AcceptedMS)
	row := &operatorspb.Job{
		Id:       spec.ID,
		Team:     spec.Team,
		Class:    spec.Class,
		Shape:    string(spec.Shape),
		Priority: string(spec.Priority),
		State:    "waiting",
		Tasks:    uint32(spec.Tasks),
		Cpus:     spec.Size.CPUs,
		Gpus:     spec.Size.GPUs,
		MemoryGb: spec.Size.MemoryGB,
		Image:    spec.Image,
		Zone:     spec.Zone,
		AgeS:     now.Sub(accepted).Seconds(),
	}
	if spec.Deadline > 0 {
		row.DueUnixMs = accepted.Add(spec.Deadline).UnixMilli()
	}
	return row
}

// MachineRows returns a page of the machines whose names are greater than after, and reports
// whether there are more.
func (s *Scheduler) MachineRows(now time.Time, after string) ([]*operatorspb.Node, bool) {
	return s.cluster.MachineRows(after, s.schedulerTime(now))
}

// TeamRows returns the teams with their limits and usage.
func (s *Scheduler) TeamRows() []*operatorspb.Team { return s.cluster.TeamRows() }

// DrainRows returns the progress of all drains.
func (s *Scheduler) DrainRows(now time.Time) []*operatorspb.Drain {
	return s.cluster.DrainRows(s.schedulerTime(now))
}

// DrainRow returns the progress of the drain of a target, or nil if there is none.
func (s *Scheduler) DrainRow(now time.Time, target string) *operatorspb.Drain {
	return s.cluster.DrainRow(target, s.schedulerTime(now))
}

// DrainCheck returns how many machines a drain would cover, and the jobs for whose tasks it
// would leave too little capacity. It does not start the drain.
func (s *Scheduler) DrainCheck(now time.Time, drain *placement.Drain) (covered int, unplaceable []placement.UnplaceableJob) {
	moment := s.schedulerTime(now)
	canLaunch := func(pool model.Pool, spot bool) bool { return s.autoscaler.CanLaunch(pool, spot, moment) }
	return s.cluster.DrainCheck(drain, moment, canLaunch)
}

// Status returns a summary of the cluster: counts of machines, jobs and tasks, the CPUs in
// use, and how long this controller has been the leader.
func (s *Scheduler) Status(now time.Time) *operatorspb.StatusResponse {
	counts := s.cluster.Counts()
	return &operatorspb.StatusResponse{
		Complete: s.cluster.TakeoverComplete(),
		Machines: uint32(counts.Machines),
		Booting:  uint32(s.autoscaler.Booting()),
		Unseen:   uint32(counts.Unseen),
		Jobs:     uint32(counts.Jobs),
		Waiting:  uint32(s.graph.Len()),
		Placed:   uint32(counts.Bound),
		Unplaced: uint32(counts.Unplaced),
		Cpus:     counts.CPUs,
		UsedCpus: counts.Used,
		LeadingS: s.sinceStart(now).Seconds(),
		Version:  ProgramVersion,
	}
}

// Blockers returns the tasks that hold the capacity that a job lacks, or nil if the job is
// not open.
func (s *Scheduler) Blockers(now time.Time, id string) *operatorspb.BlockersResponse {
	return s.cluster.Blockers(id, s.schedulerTime(now))
}
