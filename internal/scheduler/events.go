package scheduler

// Each method in this file submits one event. The methods that report an outcome pass on
// the result of a decision that the caller carried out.

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/marlwood/marlwood/internal/accounting"
	"github.com/marlwood/marlwood/internal/autoscaler"
	"github.com/marlwood/marlwood/internal/dag"
	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/peers/peerspb"
	"github.com/marlwood/marlwood/internal/placement"
	"github.com/marlwood/marlwood/internal/record/recordpb"
	"github.com/marlwood/marlwood/internal/store"
)

// SetTypes replaces the known machine types.
func (s *Scheduler) SetTypes(now time.Time, types map[string]model.MachineType) error {
	text, err := json.Marshal(types)
	if err != nil {
		return err
	}
	s.submit(&recordpb.Event{
		AtNs: s.eventOffset(now),
		What: &recordpb.Event_Types{Types: &recordpb.Types{Catalogue: text}},
	})
	return nil
}

// TokenRenewed continues the term under a new fencing token: this controller is still
// the leader.
func (s *Scheduler) TokenRenewed(now time.Time, token uint64) {
	s.submit(&recordpb.Event{
		AtNs: s.eventOffset(now),
		What: &recordpb.Event_Renewed{Renewed: &recordpb.Renewed{Token: token}},
	})
}

// SetOwners replaces the owners of the pools, and makes the owners probe the machines
// that sent no heartbeat in this term.
func (s *Scheduler) SetOwners(now time.Time, owners []*peerspb.KindOwner) {
	s.submit(&recordpb.Event{
		AtNs: s.eventOffset(now),
		What: &recordpb.Event_Owners{Owners: &recordpb.Owners{Owners: owners}},
	})
}

// StoredRecords holds the records that an earlier leader stored.
type StoredRecords struct {
	Machines       []store.Item // one for each machine
	LaunchRequests []store.Item // unresolved ones
	Jobs           []store.Item // waiting jobs first, then open jobs
	BitmapShards   []store.Item // shards of completion bitmaps
	Drains         []store.Item
	UsageMark      []byte // watermark of usage accounting; nil if usage is not accounted
}

// Load restores the state from the records that an earlier leader stored.
func (s *Scheduler) Load(now time.Time, records StoredRecords) {
	s.submit(&recordpb.Event{
		AtNs: s.eventOffset(now),
		What: &recordpb.Event_Loaded{Loaded: &recordpb.Loaded{
			Hosts:    storedItems(records.Machines),
			Charters: storedItems(records.LaunchRequests),
			Jobs:     storedItems(records.Jobs),
			Parts:    storedItems(records.BitmapShards),
			Drains:   storedItems(records.Drains),
			Usage:    records.UsageMark,
		}},
	})
}

// SetConfig replaces the settings that the scheduler decides by.
func (s *Scheduler) SetConfig(now time.Time, config Config) error {
	text, err := json.Marshal(config)
	if err != nil {
		return err
	}
	s.submit(&recordpb.Event{
		AtNs: s.eventOffset(now),
		What: &recordpb.Event_Config{Config: &recordpb.Config{Json: text}},
	})
	return nil
}

// SetLimits replaces the teams' limits on the CPUs and GPUs that they use in total.
func (s *Scheduler) SetLimits(now time.Time, limits map[string]model.Size) {
	teamLimits := &recordpb.Limits{}
	for _, team := range slices.Sorted(maps.Keys(limits)) {
		teamLimits.Limits = append(teamLimits.Limits, &recordpb.Limit{
			Team: team,
			Cpus: limits[team].CPUs,
			Gpus: limits[team].GPUs,
		})
	}
	s.submit(&recordpb.Event{
		AtNs: s.eventOffset(now),
		What: &recordpb.Event_Limits{Limits: teamLimits},
	})
}

// SetDrains replaces the drains that are in force.
func (s *Scheduler) SetDrains(now time.Time, drains []store.Item) {
	s.submit(&recordpb.Event{
		AtNs: s.eventOffset(now),
		What: &recordpb.Event_Drains{Drains: &recordpb.Drains{Items: storedItems(drains)}},
	})
}

// ReplaceJobs replaces the jobs by a complete list of their records, after changes were
// missed. A job that is not in the list is treated as cancelled.
func (s *Scheduler) ReplaceJobs(now time.Time, jobs []store.Item) {
	s.submit(&recordpb.Event{
		AtNs: s.eventOffset(now),
		What: &recordpb.Event_Changed{Changed: &recordpb.Changed{Items: storedItems(jobs), Whole: true}},
	})
}

// ApplyJobChanges applies changes of job records in the given order.
func (s *Scheduler) ApplyJobChanges(now time.Time, changes []store.Event) {
	items := make([]*recordpb.Item, 0, len(changes))
	for _, change := range changes {
		if change.Delete != "" {
			items = append(items, &recordpb.Item{Key: change.Delete, Stamp: change.Revision, Deleted: true})
		} else {
			items = append(items, &recordpb.Item{Key: change.Set, Value: change.Value, Stamp: change.Revision})
		}
	}
	s.submit(&recordpb.Event{
		AtNs: s.eventOffset(now),
		What: &recordpb.Event_Changed{Changed: &recordpb.Changed{Items: items}},
	})
}

// ApplySamplingResponse applies a pool owner's answer to a sampling round. If trustExpiry is
// set, a lease expiry counts even for a machine that was not yet current under the fencing
// token. shardedBitmaps reports whether every controller can read completion bitmaps that are
// stored in shards.
func (s *Scheduler) ApplySamplingResponse(now, sentAt time.Time, member string, response *peerspb.RoundResponse, trustExpiry, shardedBitmaps bool) {
	s.submit(&recordpb.Event{
		AtNs: s.eventOffset(now),
		What: &recordpb.Event_Answer{Answer: &recordpb.Answer{
			Member:   member,
			Applied:  response.Applied,
			Trusted:  trustExpiry,
			Split:    shardedBitmaps,
			Machines: response.Machines,
			Knocks:   response.Knocks,
			SentNs:   s.eventOffset(sentAt),
		}},
	})
}

// ConfirmExpiries confirms the lease expiries that were reported before checked, and returns the
// names of the machines. checked is the time of the last check that this controller is
// still the leader.
func (s *Scheduler) ConfirmExpiries(now, checked time.Time) []string {
	return s.submit(&recordpb.Event{
		AtNs: s.eventOffset(now),
		What: &recordpb.Event_Expire{Expire: &recordpb.Expire{CheckedNs: s.eventOffset(checked)}},
	}).expired
}

// RequestSamples starts a sampling round and returns the requests to the pools' owners.
func (s *Scheduler) RequestSamples(now time.Time) []*peerspb.Want {
	return s.submit(&recordpb.Event{
		AtNs: s.eventOffset(now),
		What: &recordpb.Event_Ask{Ask: &recordpb.Ask{}},
	}).sampleRequests
}

// Place ends a sampling round: it completes the takeover if that is possible, places tasks
// on the sampled machines, and preempts tasks where that frees capacity for others. It
// returns how many tasks it placed, and whether this round completed the takeover.
func (s *Scheduler) Place(now time.Time, samples []*peerspb.Sample) (placed int, takeoverCompleted bool) {
	out := s.submit(&recordpb.Event{
		AtNs: s.eventOffset(now),
		What: &recordpb.Event_Place{Place: &recordpb.Place{Samples: samples}},
	})
	return out.placed, out.takeoverCompleted
}

// DueWrites returns the job records that must be written now, each with at most maxParts
// shards of its completion bitmap.
func (s *Scheduler) DueWrites(now time.Time, maxParts int) []*placement.JobWrite {
	return s.submit(&recordpb.Event{
		AtNs: s.eventOffset(now),
		What: &recordpb.Event_Saves{Saves: &recordpb.Saves{MaxParts: uint32(maxParts)}},
	}).writes
}

// WriteDone reports the outcome of a write of a job's record. revision is that of the
// stored record. current is the record that was read after a conflict, or nil.
func (s *Scheduler) WriteDone(now time.Time, write *placement.JobWrite, outcome recordpb.SaveDone_Outcome, revision uint64, current *store.Item) {
	done := &recordpb.SaveDone{Number: write.Number, Outcome: outcome, Stamp: revision}
	if current != nil {
		done.Fresh = &recordpb.Item{Key: current.Key, Value: current.Value, Stamp: current.Revision}
	}
	s.submit(&recordpb.Event{
		AtNs: s.eventOffset(now),
		What: &recordpb.Event_SaveDone{SaveDone: done},
	})
}

// MachinesRecorded reports that the records of the named machines were stored with a
// revision.
func (s *Scheduler) MachinesRecorded(now time.Time, names []string, revision uint64) {
	s.submit(&recordpb.Event{
		AtNs: s.eventOffset(now),
		What: &recordpb.Event_HostsStored{HostsStored: &recordpb.HostsStored{Names: names, Stamp: revision}},
	})
}

// ExpiredMachineRecords returns up to n machines whose leases expired and whose records
// are to be deleted, with the records' revisions.
func (s *Scheduler) ExpiredMachineRecords(now time.Time, n int) map[string]uint64 {
	return s.submit(&recordpb.Event{
		AtNs: s.eventOffset(now),
		What: &recordpb.Event_HostsExpired{HostsExpired: &recordpb.HostsExpired{Most: uint32(n)}},
	}).recordRevisions
}

// MachineRecordsDeleted reports that the machine records with these revisions were
// deleted.
func (s *Scheduler) MachineRecordsDeleted(now time.Time, revisions map[string]uint64) {
	deleted := &recordpb.HostsDropped{Names: sortedKeys(revisions)}
	for _, name := range deleted.Names {
		deleted.Stamps = append(deleted.Stamps, revisions[name])
	}
	s.submit(&recordpb.Event{
		AtNs: s.eventOffset(now),
		What: &recordpb.Event_HostsDropped{HostsDropped: deleted},
	})
}

// Plan manages the set of machines: it moves tasks off the machines that are to be
// emptied, quarantines faulty machines, and returns the launches and terminations to carry
// out.
func (s *Scheduler) Plan(now time.Time) []autoscaler.Action {
	return s.submit(&recordpb.Event{
		AtNs: s.eventOffset(now),
		What: &recordpb.Event_Plan{Plan: &recordpb.Plan{}},
	}).cloudActions
}

// RequestRecorded reports whether a launch request's record was stored.
func (s *Scheduler) RequestRecorded(now time.Time, name string, ok bool) {
	s.submit(&recordpb.Event{
		AtNs: s.eventOffset(now),
		What: &recordpb.Event_CharterStored{CharterStored: &recordpb.CharterStored{Name: name, Ok: ok}},
	})
}

// LaunchDone reports the outcome of a launch request and the names of the launched
// machines. It returns whether the request is resolved, so that its record can be deleted.
func (s *Scheduler) LaunchDone(now time.Time, request string, result autoscaler.Result, names []string) bool {
	return s.submit(&recordpb.Event{
		AtNs: s.eventOffset(now),
		What: &recordpb.Event_Rented{Rented: &recordpb.Rented{Charter: request, Result: uint32(result), Names: names}},
	}).requestResolved
}

// TerminateDone reports the outcome of a termination. If ok is set, the machines no longer
// exist.
func (s *Scheduler) TerminateDone(now time.Time, names []string, ok bool) {
	s.submit(&recordpb.Event{
		AtNs: s.eventOffset(now),
		What: &recordpb.Event_Released{Released: &recordpb.Released{Names: names, Ok: ok}},
	})
}

// ReconcileList reconciles the cluster state with the cloud's list of machines and returns
// the machines to terminate.
func (s *Scheduler) ReconcileList(now time.Time, machines []autoscaler.CloudMachine) []string {
	list := &recordpb.Listed{}
	for _, machine := range machines {
		list.Machines = append(list.Machines, &recordpb.ListedMachine{
			Name:    machine.Name,
			Type:    machine.Pool.Type,
			Zone:    machine.Pool.Zone,
			Spot:    machine.Spot,
			Booting: machine.Booting,
			Failed:  machine.Failed,
			AgeNs:   int64(machine.Age),
		})
	}
	return s.submit(&recordpb.Event{
		AtNs: s.eventOffset(now),
		What: &recordpb.Event_Listed{Listed: list},
	}).terminate
}

// ResolveDependencies returns the actions that are due for jobs that wait for others. If
// check is set, it also requests the outcome of each dependency that has no known open or
// waiting record.
func (s *Scheduler) ResolveDependencies(now time.Time, check bool) []dag.Action {
	return s.submit(&recordpb.Event{
		AtNs: s.eventOffset(now),
		What: &recordpb.Event_Graph{Graph: &recordpb.Graph{Check: check}},
	}).dependencyActions
}

// DependencyOutcomeRead reports the stage that was read for a dependency. If ok is false, the
// stage could not be read.
func (s *Scheduler) DependencyOutcomeRead(now time.Time, id string, ok bool, stage model.Stage) {
	s.submit(&recordpb.Event{
		AtNs: s.eventOffset(now),
		What: &recordpb.Event_Ended{Ended: &recordpb.Ended{Job: id, Ok: ok, Stage: string(stage)}},
	})
}

// DependencyActionDone reports the outcome of a release or a cancellation of a waiting job.
// revision is the current revision of the waiting record, or 0 if it is unknown; gone reports
// whether the waiting record no longer exists.
func (s *Scheduler) DependencyActionDone(now time.Time, action dag.Action, ok bool, revision uint64, gone bool) {
	s.submit(&recordpb.Event{
		AtNs: s.eventOffset(now),
		What: &recordpb.Event_Moved{Moved: &recordpb.Moved{
			Op:    uint32(action.Op),
			Job:   action.ID,
			Ok:    ok,
			Stamp: revision,
			Gone:  gone,
		}},
	})
}

// Usage accounts for the teams' usage until now. It returns the ledger, or nil if usage is
// not accounted, and the watermark to store. The ledger belongs to the scheduler: the
// caller may read it and mark the entries that it has written.
func (s *Scheduler) Usage(now time.Time) (*accounting.Ledger, accounting.Watermark) {
	out := s.submit(&recordpb.Event{
		AtNs: s.eventOffset(now),
		What: &recordpb.Event_Usage{Usage: &recordpb.Usage{}},
	})
	return out.usage, out.usageMark
}

// Summary returns counts of jobs, tasks and machines.
func (s *Scheduler) Summary(now time.Time) placement.Summary {
	return s.submit(&recordpb.Event{
		AtNs: s.eventOffset(now),
		What: &recordpb.Event_Summary{Summary: &recordpb.Summary{}},
	}).summary
}

// storedItems converts stored records to the message type that events carry.
func storedItems(records []store.Item) []*recordpb.Item {
	items := make([]*recordpb.Item, 0, len(records))
	for _, record := range records {
		items = append(items, &recordpb.Item{Key: record.Key, Value: record.Value, Stamp: record.Revision})
	}
	return items
}

// eventOffset returns the time of an event as nanoseconds since the start of the term.
func (s *Scheduler) eventOffset(now time.Time) int64 { return int64(s.sinceStart(now)) }
