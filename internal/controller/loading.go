package controller

import (
	"context"
	"errors"
	"log/slog"
	"strings"
	"time"

	"github.com/marlwood/marlwood/internal/accounting"
	"github.com/marlwood/marlwood/internal/autoscaler"
	"github.com/marlwood/marlwood/internal/machinerecords"
	"github.com/marlwood/marlwood/internal/metrics"
	"github.com/marlwood/marlwood/internal/placement"
	"github.com/marlwood/marlwood/internal/scheduler"
	"github.com/marlwood/marlwood/internal/store"
)

// readRetryWait is the pause after a failed read from the state service.
const readRetryWait = 300 * time.Millisecond

// storedRecords holds the records that an earlier leader stored.
type storedRecords struct {
	ledger          *machinerecords.Ledger // of the records of machines
	machines        []store.Item
	launches        []store.Item
	parts           []store.Item // shards of jobs' completion bitmaps
	operatorRecords []store.Item // drains, their fence record, and settings
	jobs            []store.Item
	jobsReadAt      time.Time // when the request for the jobs was sent
	revision        uint64    // of the jobs; the watch starts from it
	watermark       []byte    // until when usage was last written; nil: not stored, or accounting is off
}

// recordReader reads the records outside the event loop. It holds copies of the fields of the term that it
// needs, taken at the start of the term, because the event loop keeps running meanwhile.
type recordReader struct {
	ctx          context.Context // of the term
	env          Environment
	store        Store
	log          *slog.Logger
	ledger       machinerecords.Options
	token        uint64
	keepAccounts bool
}

// newRecordReader returns a record reader with copies of the term's current fields.
func (t *leaderTerm) newRecordReader() *recordReader {
	return &recordReader{
		ctx:   t.ctx,
		env:   t.ctrl.env,
		store: t.ctrl.store,
		log:   t.ctrl.log,
		ledger: machinerecords.Options{
			MaxOps:        t.ctrl.cfg.TxnOps,
			MaxValueBytes: min(t.ctrl.cfg.ValueBytes*3/4, maxGroupBytes),
			MaxTxnBytes:   maxTxnBytes,
		},
		token:        t.token,
		keepAccounts: t.ctrl.settings.Accounts.Keep == "yes",
	}
}

// loadRecords reads all records that an earlier leader stored, and retries until it succeeds or the term
// ends. It runs outside the event loop.
func (t *leaderTerm) loadRecords(reader *recordReader) {
	for reader.ctx.Err() == nil {
		records, err := reader.read()
		if err != nil {
			reader.log.Warn("cannot read the records", "err", err)
			reader.env.Sleep(reader.ctx, readRetryWait)
			continue
		}
		if reader.keepAccounts {
			records.watermark = reader.watermark()
		}
		t.ctrl.post(func() {
			if t.ctx.Err() == nil {
				t.applyRecords(records)
				t.observeJobs(records.jobsReadAt)
			}
		})
		return
	}
}

// read reads the records once. It reads the jobs last, because the watch starts from their revision.
func (r *recordReader) read() (records storedRecords, err error) {
	if records.ledger, err = r.machineLedger(); err != nil {
		return records, err
	}
	records.machines = machineItems(records.ledger)
	if records.launches, _, err = r.store.List(r.ctx, autoscaler.LaunchPrefix); err != nil {
		return records, err
	}
	if records.parts, _, err = r.store.List(r.ctx, placement.PartPrefix); err != nil {
		return records, err
	}
	if records.operatorRecords, _, err = r.store.List(r.ctx, placement.OpsPrefix); err != nil {
		return records, err
	}
	records.jobsReadAt = r.env.Now()
	records.jobs, records.revision, err = r.store.List(r.ctx, placement.OpenPrefix)
	return records, err
}

// machineLedger reads the records of machines into a new ledger.
func (r *recordReader) machineLedger() (*machinerecords.Ledger, error) {
	ledger := machinerecords.New(r.ledger, r.token)
	for _, prefix := range []string{machinerecords.SingleRecordPrefix, machinerecords.GroupRecordPrefix} {
		items, _, err := r.store.List(r.ctx, prefix)
		if err != nil {
			return nil, err
		}
		if err := ledger.Load(machineRecordItems(items)); err != nil {
			return nil, err
		}
	}
	return ledger, nil
}

// machineItems returns one record for each machine, also for machines that share a group record.
func machineItems(ledger *machinerecords.Ledger) (machines []store.Item) {
	for _, machine := range ledger.Machines() {
		write := store.Put(machinerecords.SingleRecordPrefix+machine.Name, machine.Registration)
		machines = append(machines, store.Item{Key: write.Set, Value: write.Value, Revision: machine.Revision})
	}
	return machines
}

// watermark returns the stored record of the time until which usage was last written, or nil. Without it,
// no usage is counted for the time between leaders.
func (r *recordReader) watermark() []byte {
	item, err := r.store.Get(r.ctx, accounting.WatermarkKey)
	if err != nil {
		if !errors.Is(err, store.ErrNotFound) {
			r.log.Warn("cannot read the usage watermark", "err", err)
		}
		return nil
	}
	return item.Value
}

// applyRecords loads the records into the scheduler and starts the term's work.
func (t *leaderTerm) applyRecords(records storedRecords) {
	now := t.ctrl.env.Now()
	t.machineRecords = records.ledger
	drains := t.applyOperatorRecords(records.operatorRecords)
	t.ctrl.timeStep(metrics.LoadRecords, func() {
		t.scheduler.Load(now, scheduler.StoredRecords{
			Machines:       records.machines,
			LaunchRequests: records.launches,
			Jobs:           records.jobs,
			BitmapShards:   records.parts,
			Drains:         drains,
			UsageMark:      records.watermark,
		})
	})
	t.shardRevisions.load(records.parts)
	t.shardRevisions.retain(t.scheduler.IsOpen)
	t.loaded = true
	t.assignInitialOwners(now)
	t.rounds.next = now
	t.ctrl.log.Info("records read", "hosts", len(records.machines), "groups", t.machineRecords.Len(),
		"charters", len(records.launches), "jobs", len(records.jobs), "revision", records.revision)
	t.ctrl.env.Go(func() { t.watchJobs(records.revision) })
}

// applyOperatorRecords applies the settings and drains that operators stored, and returns the drains.
func (t *leaderTerm) applyOperatorRecords(items []store.Item) (drains []store.Item) {
	for _, item := range items {
		switch {
		case strings.HasPrefix(item.Key, placement.DrainPrefix):
			drains = append(drains, item)
			t.drains.records[item.Key] = item
		case item.Key == settingsKey:
			t.ctrl.adoptSettings(item)
		case item.Key == drainsFence:
			t.drains.fence.revision = item.Revision
			t.drains.history.forget(item.Revision)
		}
	}
	return drains
}
