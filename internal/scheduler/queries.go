package scheduler

import (
	"time"

	"github.com/marlwood/marlwood/internal/autoscaler"
	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/peers/peerspb"
	"github.com/marlwood/marlwood/internal/placement"
)

// The methods in this file are the controller's queries. They do not change the state, so
// they submit no events.

// Config returns the settings that the scheduler decides by.
func (s *Scheduler) Config() Config { return s.config }

// Types returns the known machine types by name. The caller must not change the map.
func (s *Scheduler) Types() map[string]model.MachineType { return s.types }

// Complete reports whether the takeover is complete, that is, whether the cluster state
// contains every task that may be running on any machine.
func (s *Scheduler) Complete() bool { return s.cluster.TakeoverComplete() }

// Machines returns the machines by name. The caller must not change them.
func (s *Scheduler) Machines() *model.Table[string, *placement.Machine] { return s.cluster.Machines() }

// UnreconciledMachines returns the machines that are not reconciled: all except those that are
// current under the fencing token, have a stored record, send heartbeats in time, and run no
// unknown or unwanted tasks. See placement.ClusterState.UnreconciledMachines.
func (s *Scheduler) UnreconciledMachines() map[string]*placement.Machine {
	return s.cluster.UnreconciledMachines()
}

// BindCount returns the number of tasks that were bound to machines since the term began.
func (s *Scheduler) BindCount() uint64 { return s.cluster.BindCount() }

// Work returns the number of jobs, machines and tasks visited so far; see placement.ClusterState.Work.
func (s *Scheduler) Work() uint64 { return s.cluster.Work() }

// Jobs returns the open jobs by ID. The caller must not change them.
func (s *Scheduler) Jobs() *model.Table[string, *placement.Job] { return s.cluster.Jobs() }

// Owners returns the controller that owns each pool.
func (s *Scheduler) Owners() map[model.Pool]string { return s.cluster.Owners() }

// IsOpen reports whether a job is known and has neither ended nor been cancelled.
func (s *Scheduler) IsOpen(id string) bool { return s.cluster.IsOpen(id) }

// OpenJobsSince returns at most limit changes of the list of open jobs, after the first changes of
// a list that a controller already has.
func (s *Scheduler) OpenJobsSince(list, from uint64, limit int) *peerspb.OpenJobs {
	return s.cluster.OpenJobsSince(list, from, limit)
}

// Orders returns the orders for a member that it has not acknowledged.
func (s *Scheduler) Orders(member string) []*peerspb.Order { return s.cluster.Orders(member) }

// JobCounts returns the task counts of the open jobs.
func (s *Scheduler) JobCounts() map[string]placement.JobCounts { return s.cluster.JobCounts() }

// Demands returns the resources that each team uses and waits for. It reports false if they
// are not known: the takeover is not complete, or orphaned tasks run, whose teams are unknown.
func (s *Scheduler) Demands() (map[string]placement.TeamDemand, bool) { return s.cluster.TeamDemands() }

// SilentPools reports, for each pool with a silent machine, whether the owner has received no
// heartbeat for longer than late from at least half of the machines that may be alive.
func (s *Scheduler) SilentPools(now time.Time, late time.Duration) map[model.Pool]bool {
	return s.cluster.SilentPools(s.schedulerTime(now), late)
}

// UnreachablePools returns the pools in which a third of the machines send their heartbeats
// to other controllers, while the owner has received none from them for longer than late.
func (s *Scheduler) UnreachablePools(now time.Time, late time.Duration) []model.Pool {
	return s.cluster.UnreachablePools(s.schedulerTime(now), late)
}

// UnresolvedStarts counts what may still bring a task to the machines of a drain: starts that were
// ordered before the drain and whose outcome is unknown, and machines that have not answered
// under the current fencing token.
func (s *Scheduler) UnresolvedStarts(target string) (starts, machines int) {
	return s.cluster.UnresolvedStarts(target)
}

// Thrash returns how many machines were terminated without ever having had a task, and how
// many launch requests were made in a market that had just lost such machines.
func (s *Scheduler) Thrash() autoscaler.Thrash { return s.autoscaler.Thrash() }

// Booting returns the number of launched machines that have sent no heartbeat yet.
func (s *Scheduler) Booting() int { return s.autoscaler.Booting() }

// WritesInFlight returns the number of job records that are being written.
func (s *Scheduler) WritesInFlight() int { return len(s.writesInFlight) }

// WaitingJobs returns the number of jobs that wait for others.
func (s *Scheduler) WaitingJobs() int { return s.graph.Len() }

// Records returns the records of the open jobs and of the waiting jobs, as they would be
// written now.
func (s *Scheduler) Records() (open, waiting []placement.JobRecord) {
	return s.cluster.Records(), s.graph.Records()
}
