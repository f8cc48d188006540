package controller

import (
	"errors"
	"log/slog"
	"time"

	"github.com/marlwood/marlwood/internal/accounting"
	"github.com/marlwood/marlwood/internal/operators/operatorspb"
	"github.com/marlwood/marlwood/internal/store"
)

// maxAccountsTxnBytes limits the size of the account records in one transaction. Each record is written whole.
const maxAccountsTxnBytes = 48 << 10

// Waits before the next access to the accounts in cases where the configured flush interval does not apply.
const (
	accountsRetryWait   = time.Second // before a read or a failed write is retried, or the rest of the changes is written
	accountsInvalidWait = time.Minute // after stored accounts that cannot be decoded
)

// usageAccounts is a leader's state for storing the teams' usage. It is only used on the loop.
type usageAccounts struct {
	accounts          *accounting.Accounts // nil: accounting is disabled, or there has been no flush yet
	watermarkRevision uint64               // last known revision of the stored watermark; 0: there is none
	knownRevision     uint64               // revision of the state service up to which the accounts are known
	nextFlush         time.Time
}

// stored returns the usage that is certainly stored. known is false while the stored usage is not known.
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

// flushAccounts writes the teams' usage, one transaction at a time. These transactions have the lowest priority
// of the leader's writes (see store.Txn.LowPriority). If the write budget is used up, the changes wait and are
// part of the next flush.
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

// writeAccountChanges writes as many of the changed records as fit into one transaction.
func (t *leaderTerm) writeAccountChanges(now time.Time, watermark accounting.Watermark) {
	t.usage.nextFlush = now.Add(t.ctrl.settings.Accounts.Flush)
	maxRecords := max(2, min(t.ctrl.cfg.TxnOps-1, maxAccountsTxnBytes/t.ctrl.cfg.ValueBytes))
	changes, err := t.usage.accounts.Next(maxRecords, t.ctrl.cfg.ValueBytes)
	if err != nil {
		t.ctrl.log.Error("some account changes cannot be written", "err", err)
	}
	if len(changes) > 0 {
		t.writeAccounts(changes, watermark)
	}
	if t.usage.accounts.HasBacklog() {
		t.usage.nextFlush = now.Add(accountsRetryWait)
	}
}

// reportUsage passes the teams' usage to the metrics and to the debug log, if they are enabled.
func (t *leaderTerm) reportUsage() {
	if t.ctrl.metrics != nil {
		rows, _ := t.usage.stored()
		t.ctrl.metrics.Usage(rows)
	}
	if t.ctrl.log.Enabled(t.ctx, slog.LevelDebug) {
		t.logUsage(t.usage.accounts.Rows())
	}
}

// clearUsageMetrics removes the teams' usage from the metrics when this controller holds no leader lease: another
// controller may lead then, and its figures are newer.
func (t *leaderTerm) clearUsageMetrics(now time.Time) {
	if t.ctrl.metrics != nil && !t.ctrl.elector.HoldsLease(now) {
		t.ctrl.metrics.Usage(nil)
	}
}

// logUsage logs the total usage of all teams.
func (t *leaderTerm) logUsage(rows []accounting.Row) {
	var sums [3]float64
	for _, row := range rows {
		for k := range sums {
			sums[k] += row.Sums[k].CPUSeconds()
		}
	}
	t.ctrl.log.Debug("total usage of all teams", "run_cpu_s", sums[accounting.Run], "wait_cpu_s", sums[accounting.Wait], "lost_cpu_s", sums[accounting.Wasted])
}

// readAccounts reads the stored accounts, to which the usage of this term is added. It runs outside the loop.
func (t *leaderTerm) readAccounts() {
	items, revision, err := t.ctrl.store.List(t.ctx, accounting.KeyPrefix)
	var watermark store.Item
	if err == nil {
		if watermark, err = t.ctrl.store.Get(t.ctx, accounting.WatermarkKey); errors.Is(err, store.ErrNotFound) {
			watermark.Revision, err = 0, nil
		}
	}
	t.ctrl.post(func() {
		// Guard: two reads may be in flight, and the earlier one may be answered last, after writes that followed
		// the later one. Without this check its outdated sums would be reported and added to
		// (TestOutdatedAccountsReadIsIgnored).
		outdated := revision < t.usage.knownRevision
		if err != nil || t.ctx.Err() != nil || outdated || t.usage.accounts.Phase() != accounting.Loading {
			return
		}
		all := make([]accounting.Item, 0, len(items))
		for _, item := range items {
			all = append(all, accounting.Item{Key: item.Key, Value: item.Value, Revision: item.Revision})
		}
		t.usage.watermarkRevision, t.usage.knownRevision = watermark.Revision, revision
		if err := t.usage.accounts.Load(all); err != nil { // of another version, or damaged: not overwritten
			t.ctrl.log.Error("stored accounts are invalid; usage is not written", "err", err)
			t.usage.nextFlush = t.ctrl.env.Now().Add(accountsInvalidWait)
		}
	})
}

// accountsTxn adds changed records and their watermark, with the revisions that were read or written last,
// to a transaction that has the leader's precondition.
//
// Guard: two transactions need not have a record in common. Without the precondition on the watermark, a
// transaction that was executed late, after another one, set the watermark back. The next leader then counted
// the usage in the other transaction's records twice (TestLateAccountsWriteFails).
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

// writeAccounts commits the changed records in one transaction, asynchronously.
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
				t.ctrl.log.Debug("account write failed; reading the stored accounts again", "err", err, "failed", result.Failed)
				t.usage.accounts.TxnFailed()
				t.usage.nextFlush = t.ctrl.env.Now().Add(accountsRetryWait)
			}
		})
	})
}

// secondsPerHour converts the accounted CPU seconds to the CPU hours that operators see.
const secondsPerHour = 3600

// addUsage adds the usage since the start of accounting to the rows of the teams.
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
