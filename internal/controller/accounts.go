package controller

import (
	"errors"
	"log/slog"
	"time"

	"github.com/marlwood/marlwood/internal/accounting"
	"github.com/marlwood/marlwood/internal/operators/operatorspb"
	"github.com/marlwood/marlwood/internal/store"
)

// maxAccountsTxnBytes bounds what one transaction writes of the accounts: each record is written whole.
const maxAccountsTxnBytes = 48 << 10

// Pauses between flushes of the accounts, other than the one of the settings.
const (
	accountsRetryWait   = time.Second // to read them, or to write what is left or was not written
	accountsInvalidWait = time.Minute // after accounts that cannot be read
)

// usageAccounts is what a leader keeps to store what teams used. Only the loop uses it.
type usageAccounts struct {
	accounts          *accounting.Accounts // nil: nothing was used yet, or nothing is kept
	watermarkRevision uint64               // of the stored watermark as last known; 0: there is none
	knownRevision     uint64               // of the state service, up to which the accounts are known
	nextFlush         time.Time
}

// stored returns the usage that is certainly stored; known is false as long as it isn't known what that is.
func (u *usageAccounts) stored() (rows []accounting.Row, known bool) {
	if u.accounts == nil {
		return nil, false
	}
	return u.accounts.StoredRows()
}

// flushDue reports whether it is time to read or write the accounts.
func (u *usageAccounts) flushDue(now time.Time) bool {
	return !now.Before(u.nextFlush) && (u.accounts == nil || u.accounts.Phase() != accounting.Writing)
}

// flushAccounts writes what teams have used, one transaction at a time. It has the lowest priority of the
// leader's writes (see store.Txn.LowPriority): a flush for which the budget has nothing left waits, and the
// next one holds all of it.
func (t *leaderTerm) flushAccounts(now time.Time) {
	if t.ctrl.settings.Accounts.Keep != "yes" || !t.scheduler.Complete() || !t.usage.flushDue(now) {
		return
	}
	ledger, watermark := t.scheduler.Usage(now)
	if ledger == nil {
		return
	}
	if t.usage.accounts == nil {
		t.usage.accounts = accounting.NewAccounts(t.token, ledger)
	}
	switch t.usage.accounts.Phase() {
	case accounting.Loading:
		t.usage.nextFlush = now.Add(accountsRetryWait)
		t.ctrl.env.Go(t.readAccounts)
	case accounting.Idle:
		t.writeAccountChanges(now, watermark)
	}
	t.reportUsage()
}

// writeAccountChanges writes as many of the changed records as one transaction takes.
func (t *leaderTerm) writeAccountChanges(now time.Time, watermark accounting.Watermark) {
	t.usage.nextFlush = now.Add(t.ctrl.settings.Accounts.Flush)
	maxRecords := max(2, min(t.ctrl.cfg.TxnOps-1, maxAccountsTxnBytes/t.ctrl.cfg.ValueBytes))
	changes, err := t.usage.accounts.Next(maxRecords, t.ctrl.cfg.ValueBytes)
	if err != nil {
		t.ctrl.log.Error("accounts", "err", err)
	}
	if len(changes) > 0 {
		t.writeAccounts(changes, watermark)
	}
	if t.usage.accounts.HasBacklog() {
		t.usage.nextFlush = now.Add(accountsRetryWait)
	}
}

// reportUsage gives what teams have used to the metrics and the log, as far as they are on.
func (t *leaderTerm) reportUsage() {
	if t.ctrl.metrics != nil {
		rows, _ := t.usage.stored()
		t.ctrl.metrics.Usage(rows)
	}
	if t.ctrl.log.Enabled(t.ctx, slog.LevelDebug) {
		t.logUsage(t.usage.accounts.Rows())
	}
}

// withdrawUsage takes what teams have used from the metrics while another controller may lead: that one knows more.
func (t *leaderTerm) withdrawUsage(now time.Time) {
	if t.ctrl.metrics != nil && !t.ctrl.elector.HoldsLease(now) {
		t.ctrl.metrics.Usage(nil)
	}
}

// logUsage logs what all teams together have used.
func (t *leaderTerm) logUsage(rows []accounting.Row) {
	var sums [3]float64
	for _, row := range rows {
		for k := range sums {
			sums[k] += row.Sums[k].CPUSeconds()
		}
	}
	t.ctrl.log.Debug("accounts", "run_cpu_s", sums[accounting.Run], "wait_cpu_s", sums[accounting.Wait], "lost_cpu_s", sums[accounting.Wasted])
}

// readAccounts reads the stored accounts, to which those of this term are added. It runs outside the loop.
func (t *leaderTerm) readAccounts() {
	items, revision, err := t.ctrl.store.List(t.ctx, accounting.Prefix)
	var watermark store.Item
	if err == nil {
		if watermark, err = t.ctrl.store.Get(t.ctx, accounting.WatermarkKey); errors.Is(err, store.ErrNotFound) {
			watermark.Revision, err = 0, nil
		}
	}
	t.ctrl.post(func() {
		// Guard: of two reads under way the earlier one may be answered last, after writes that followed the other.
		// Its older sums would be told, and counted on (TestLateReadOfAccounts).
		outdated := revision < t.usage.knownRevision
		if err != nil || t.ctx.Err() != nil || outdated || t.usage.accounts.Phase() != accounting.Loading {
			return
		}
		all := make([]accounting.Item, 0, len(items))
		for _, item := range items {
			all = append(all, accounting.Item{Key: item.Key, Value: item.Value, Revision: item.Revision})
		}
		t.usage.watermarkRevision, t.usage.knownRevision = watermark.Revision, revision
		if err := t.usage.accounts.Load(all); err != nil { // another version's, or damaged: left as it is
			t.ctrl.log.Error("accounts are not written", "err", err)
			t.usage.nextFlush = t.ctrl.env.Now().Add(accountsInvalidWait)
		}
	})
}

// accountsTxn adds changed records and their watermark, with the revisions that were read or written last,
// to a transaction that has the leader's precondition.
//
// Guard: two transactions need not have a record in common. One that was executed late, after another one,
// put the watermark back, and the next leader counted again what is in the other one's records
// (TestLateMarkIsVoid).
func accountsTxn(txn store.Txn, changes []accounting.Change, watermark accounting.Watermark, watermarkRevision uint64) store.Txn {
	txn.Preconditions = append(txn.Preconditions, store.Precondition{Key: accounting.WatermarkKey, Revision: watermarkRevision})
	txn.Writes = append(txn.Writes, store.Put(accounting.WatermarkKey, watermark))
	for _, change := range changes {
		write := store.Delete(change.Key)
		if change.Value != nil {
			write = store.Put(change.Key, change.Value)
		}
		txn.Preconditions = append(txn.Preconditions, store.Precondition{Key: change.Key, Revision: change.Revision})
		txn.Writes = append(txn.Writes, write)
	}
	return txn
}

// writeAccounts sends a transaction of changed records.
func (t *leaderTerm) writeAccounts(changes []accounting.Change, watermark accounting.Watermark) {
	txn := accountsTxn(t.newTxn(), changes, watermark, t.usage.watermarkRevision)
	txn.LowPriority = true
	t.ctrl.env.Go(func() {
		result, err := t.commit(txn)
		t.ctrl.post(func() {
			switch {
			case t.ctx.Err() != nil:
			case err == nil && result.Succeeded():
				t.usage.watermarkRevision, t.usage.knownRevision = result.Revision, result.Revision
				t.usage.accounts.TxnCommitted(result.Revision)
			default:
				t.ctrl.log.Debug("accounts are read again", "err", err, "failed", result.Failed)
				t.usage.accounts.TxnFailed()
				t.usage.nextFlush = t.ctrl.env.Now().Add(accountsRetryWait)
			}
		})
	})
}

// secondsPerHour converts CPU seconds, which are accounted, to CPU hours, which operators see.
const secondsPerHour = 3600

// addUsage adds to the rows of teams what they have used since accounts are kept.
func addUsage(rows []*operatorspb.Team, used []accounting.Row) {
	teams := map[string]*operatorspb.Team{}
	for _, row := range rows {
		teams[row.Name] = row
	}
	for _, row := range used {
		if team := teams[row.Team]; team != nil {
			team.RunCpuH += row.Sums[accounting.Run].CPUSeconds() / secondsPerHour
			team.WaitCpuH += row.Sums[accounting.Wait].CPUSeconds() / secondsPerHour
			team.LostCpuH += row.Sums[accounting.Wasted].CPUSeconds() / secondsPerHour
		}
	}
}
