package controller

import (
	"errors"
	"time"

	"github.com/marlwood/marlwood/internal/metrics"
	"github.com/marlwood/marlwood/internal/placement"
	"github.com/marlwood/marlwood/internal/record/recordpb"
	"github.com/marlwood/marlwood/internal/store"
)

// writeRetryWait is the pause before the failure of a job's write is reported to the scheduler, which may
// then retry it.
const writeRetryWait = 200 * time.Millisecond

// writeJobs stores the progress of jobs.
func (t *leaderTerm) writeJobs(now time.Time) {
	maxParts := min(t.ctrl.cfg.TxnOps-1, maxTxnBytes/t.ctrl.cfg.WideValueBytes-1)
	for _, write := range t.scheduler.DueWrites(now, max(1, maxParts)) {
		txn := jobWriteTxn(t.newTxn(), write, t.shardRevisions)
		// Guard: when small jobs arrived fast, recording the start of each took a third of the leader's write
		// budget, and the records of their completion waited behind those writes.
		txn.LowPriority = write.DisplayOnly()
		if len(txn.Writes) == 0 { // everything is stored in shards already
			t.scheduler.WriteDone(now, write, recordpb.SaveDone_STORED, 0, nil)
			continue
		}
		t.ctrl.env.Go(func() { t.commitJobWrite(write, txn) })
	}
}

// jobWriteResult is the result of a write of a job.
type jobWriteResult struct {
	stored    bool
	err       error // of the transaction
	revision  uint64
	jobClosed bool         // the job had ended or been cancelled before the write
	current   *store.Item  // the job's current record; nil: not read
	parts     []store.Item // the current shards of its completion bitmap
	partsRead bool         // parts has been read
}

// commitJobWrite commits the write of a job. If the transaction fails its preconditions or its outcome is
// unknown, it reads the job again. It runs outside the event loop.
func (t *leaderTerm) commitJobWrite(write *placement.JobWrite, txn store.Txn) {
	result, err := t.commit(txn)
	stored := err == nil && result.Succeeded()
	done := jobWriteResult{stored: stored, err: err, revision: result.Revision}
	if !stored && (err == nil || errors.Is(err, store.ErrUnknown)) {
		t.rereadJobWrite(write, &done)
	}
	if !stored {
		t.ctrl.env.Sleep(t.ctx, writeRetryWait)
	}
	t.ctrl.post(func() {
		if t.ctx.Err() == nil {
			t.jobWriteDone(write, done)
		}
	})
}

// rereadJobWrite reads the stored record and shards of a job whose write failed its preconditions or went
// unanswered.
func (t *leaderTerm) rereadJobWrite(write *placement.JobWrite, done *jobWriteResult) {
	done.jobClosed, done.current = t.rereadJob(write.ID)
	if len(write.Parts) > 0 && !done.jobClosed {
		var err error
		done.parts, _, err = t.ctrl.store.List(t.ctx, placement.PartPrefix+write.ID+"/")
		done.partsRead = err == nil
	}
}

// rereadJob reads the record of a job. If there is none, it checks whether the job has ended.
func (t *leaderTerm) rereadJob(job string) (closed bool, current *store.Item) {
	item, err := t.ctrl.store.Get(t.ctx, placement.JobPrefix+job)
	if err == nil {
		return false, &item
	}
	if !errors.Is(err, store.ErrNotFound) {
		return false, nil
	}
	_, err = t.ctrl.store.Get(t.ctx, placement.DonePrefix+job)
	return err == nil, nil
}

// jobWriteDone applies the result of a write to the scheduler. It runs on the event loop.
func (t *leaderTerm) jobWriteDone(write *placement.JobWrite, done jobWriteResult) {
	if done.partsRead && t.scheduler.IsOpen(write.ID) {
		t.shardRevisions.reread(write, done.parts)
	}
	if done.stored && t.scheduler.IsOpen(write.ID) {
		t.shardRevisions.written(write, done.revision)
	}
	t.ctrl.timeStep(metrics.WrittenJobs, func() {
		t.scheduler.WriteDone(t.ctrl.env.Now(), write, t.jobWriteOutcome(write, done), done.revision, done.current)
	})
	if write.Claim > 0 && t.rounds.current == nil {
		t.sendPendingOrders(t.ctrl.env.Now()) // otherwise the current round sends them when it ends
	}
}

// jobWriteOutcome converts the result of a write to the outcome that the scheduler and recordings use.
func (t *leaderTerm) jobWriteOutcome(write *placement.JobWrite, done jobWriteResult) recordpb.SaveDone_Outcome {
	switch {
	case done.stored:
		return recordpb.SaveDone_STORED
	case errors.Is(done.err, store.ErrTooLarge):
		t.ctrl.log.Warn("job record write rejected as too large", "job", write.ID, "err", done.err)
		return recordpb.SaveDone_TOO_LARGE
	case done.jobClosed:
		t.ctrl.log.Debug("job had already ended", "job", write.ID)
		return recordpb.SaveDone_OVER
	}
	return recordpb.SaveDone_FAILED
}
