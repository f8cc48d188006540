package scheduler

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/marlwood/marlwood/internal/autoscaler"
	"github.com/marlwood/marlwood/internal/machinerecords"
	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/placement"
	"github.com/marlwood/marlwood/internal/record/recordpb"
)

// This file holds the handlers of events about records in the key-value store.

// jobWriteInterval is the minimum time between two writes of a job's record.
const jobWriteInterval = time.Second

// applyLoaded restores what an earlier leader stored. Machines are loaded before jobs, whose
// tasks run on them, and drains are loaded after both.
func (s *Scheduler) applyLoaded(now time.Time, loaded *recordpb.Loaded) {
	s.loadMachines(now, loaded.Hosts)
	s.loadLaunchRequests(now, loaded.Charters)
	bitmapShards := bitmapShardsByJob(loaded.Parts)
	for _, item := range loaded.Jobs {
		s.applyJobRecord(now, item, bitmapShards)
	}
	s.applyDrains(now, loaded.Drains)
	s.cluster.LoadUsageWatermark(loaded.Usage)
}

// loadMachines adds the machines that have a record. A machine with an unreadable record is
// added by its name, because it may run tasks.
func (s *Scheduler) loadMachines(now time.Time, items []*recordpb.Item) {
	for _, item := range items {
		var machine machinerecords.Registration
		if err := json.Unmarshal(item.Value, &machine); err != nil {
			s.log.Error("machine record unreadable", "key", item.Key, "err", err)
		}
		name := strings.TrimPrefix(item.Key, machinerecords.SingleRecordPrefix)
		s.cluster.AddMachine(placement.MachineRecord{
			Name:     name,
			Addr:     machine.Addr,
			Pool:     machine.Pool,
			Spot:     machine.Spot,
			Revision: item.Stamp,
		}, now)
	}
}

func (s *Scheduler) loadLaunchRequests(now time.Time, items []*recordpb.Item) {
	for _, item := range items {
		var request autoscaler.LaunchRequest
		if err := json.Unmarshal(item.Value, &request); err != nil || request.Name == "" {
			s.log.Error("launch request record unreadable", "key", item.Key, "err", err)
			continue
		}
		s.autoscaler.RestoreLaunchRequest(request, now)
	}
}

// bitmapShardsByJob returns the shards of completion bitmaps by job and shard name. Their
// keys end in JOB/SHARD. Shards that cannot be read are left out.
func bitmapShardsByJob(items []*recordpb.Item) map[string]map[string]string {
	shards := map[string]map[string]string{}
	for _, item := range items {
		path := strings.TrimPrefix(item.Key, placement.PartPrefix)
		slash := strings.LastIndexByte(path, '/')
		var text string
		if slash < 0 || json.Unmarshal(item.Value, &text) != nil {
			continue
		}
		job, shard := path[:slash], path[slash+1:]
		if shards[job] == nil {
			shards[job] = map[string]string{}
		}
		shards[job][shard] = text
	}
	return shards
}

// applyJobRecord adds or updates the job of an open or waiting record. Waiting records are
// read before open records, and a job only moves from waiting to open, so none is missed.
func (s *Scheduler) applyJobRecord(now time.Time, item *recordpb.Item, bitmapShards map[string]map[string]string) {
	if id, waits := strings.CutPrefix(item.Key, placement.WaitPrefix); waits {
		var record placement.JobRecord
		if err := json.Unmarshal(item.Value, &record); err != nil || record.Job == nil || record.Job.ID != id {
			s.log.Error("waiting job record unreadable", "job", id, "err", err)
			return
		}
		s.graph.Put(record, item.Stamp)
	} else if id, open := strings.CutPrefix(item.Key, placement.JobPrefix); open {
		if err := s.cluster.AddJob(now, id, item.Value, item.Stamp, bitmapShards[id]); err != nil {
			s.log.Error("job record unreadable", "err", err)
		}
		s.graph.Remove(id) // it was released
	}
}

// applyChanged updates the jobs whose records changed. If the event holds a complete list,
// jobs that are missing from it are cancelled.
func (s *Scheduler) applyChanged(now time.Time, changed *recordpb.Changed) {
	for _, item := range changed.Items {
		if item.Deleted {
			s.applyJobDeleted(item.Key)
		} else {
			s.applyJobRecord(now, item, nil)
		}
	}
	if changed.Whole {
		s.cancelMissingJobs(changed.Items)
	}
}

func (s *Scheduler) applyJobDeleted(key string) {
	if id, waited := strings.CutPrefix(key, placement.WaitPrefix); waited {
		s.graph.Remove(id)
	} else if id, open := strings.CutPrefix(key, placement.JobPrefix); open {
		s.cluster.Cancel(id)
	}
}

// cancelMissingJobs cancels the open jobs, and removes the waiting jobs, that have no record
// in a complete list.
func (s *Scheduler) cancelMissingJobs(items []*recordpb.Item) {
	present := make(map[string]bool, len(items))
	for _, item := range items {
		present[item.Key] = true
	}
	for id := range s.cluster.Jobs().All() {
		if !present[placement.JobPrefix+id] {
			s.cluster.Cancel(id)
		}
	}
	for _, id := range s.graph.IDs() {
		if !present[placement.WaitPrefix+id] {
			s.graph.Remove(id)
		}
	}
}

// applyDrains replaces the drains that are in force.
func (s *Scheduler) applyDrains(now time.Time, items []*recordpb.Item) {
	var drains []*placement.Drain
	for _, item := range items {
		drain := &placement.Drain{}
		if err := json.Unmarshal(item.Value, drain); err != nil || drain.Key() != item.Key {
			s.log.Error("drain record unreadable", "key", item.Key, "err", err)
			continue
		}
		drains = append(drains, drain)
	}
	if len(drains) > 0 || s.cluster.Drains().Len() > 0 {
		s.cluster.SetDrains(drains, now)
	}
}

// applyDueWrites returns the job records to write, and keeps them in writesInFlight until
// their outcome is known.
func (s *Scheduler) applyDueWrites(now time.Time, event *recordpb.Saves) []*placement.JobWrite {
	writes := s.cluster.DueWrites(now, jobWriteInterval, int(event.MaxParts))
	for _, write := range writes {
		s.writesInFlight[write.Number] = write
	}
	return writes
}

// applyWriteDone applies the outcome of a write of a job's record.
func (s *Scheduler) applyWriteDone(now time.Time, done *recordpb.SaveDone) {
	write := s.writesInFlight[done.Number]
	if write == nil {
		return
	}
	delete(s.writesInFlight, done.Number)
	switch done.Outcome {
	case recordpb.SaveDone_TOO_LARGE:
		s.cluster.WriteTooLarge(write)
		return
	case recordpb.SaveDone_OVER:
		s.cluster.JobFinished(write.ID)
	}
	if current := done.Fresh; current != nil {
		if err := s.cluster.AddJob(now, write.ID, current.Value, current.Stamp, nil); err != nil {
			s.log.Error("job record unreadable", "err", err)
		}
	}
	stored := done.Outcome == recordpb.SaveDone_STORED
	if stored && write.Over != nil {
		s.jobDone(now, write.ID)
	}
	s.cluster.WriteDone(write, stored, done.Stamp)
}

// jobDone reports to the dependency graph that a job's final record is stored, and how long
// the job took.
func (s *Scheduler) jobDone(now time.Time, id string) {
	s.log.Debug("job done", "job", id)
	if job := s.cluster.Jobs().At(id); job != nil {
		s.graph.ObserveDuration(job.Spec.Class, job.Spec.Estimate, now.Sub(job.Accepted))
	}
	s.graph.JobEnded(id, model.Done)
}

func (s *Scheduler) applyMachinesRecorded(event *recordpb.HostsStored) {
	for _, name := range event.Names {
		s.cluster.MachineRecorded(name, event.Stamp)
	}
}

func (s *Scheduler) applyExpiredMachineRecords(event *recordpb.HostsExpired) map[string]uint64 {
	revisions := s.cluster.ExpiredMachineRecords(int(event.Most))
	s.noteDecision(func(d *recordpb.Decided) { d.DroppedHosts = sortedKeys(revisions) })
	return revisions
}

func (s *Scheduler) applyMachineRecordsDeleted(event *recordpb.HostsDropped) {
	for i, name := range event.Names {
		s.cluster.MachineRecordDeleted(name, event.Stamps[i])
	}
}

// sortedKeys returns the keys of a map in ascending order.
func sortedKeys(revisions map[string]uint64) []string {
	return slices.Sorted(maps.Keys(revisions))
}
