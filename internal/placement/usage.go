package placement

import (
	"encoding/json"
	"time"

	"github.com/marlwood/marlwood/internal/accounting"
	"github.com/marlwood/marlwood/internal/model"
)

// Teams' usage (see package accounting) is computed from the states of bound tasks that machines report.

// startAccounting starts to account teams' usage if the options enable it.
func (cs *ClusterState) startAccounting() {
	if cs.opt.Accounts && cs.ledger == nil {
		cs.ledger = accounting.NewLedger()
		for _, machine := range cs.machines.All() {
			for _, task := range machine.tasks.All() {
				task.accountedUntil = time.Time{} // its usage counts from the next countUsage on
			}
		}
	}
}

// Usage adds the usage of all tasks until now to the ledger and returns it; nil if usage is not accounted.
func (cs *ClusterState) Usage(now time.Time) *accounting.Ledger {
	if cs.ledger == nil {
		return nil
	}
	for _, machine := range cs.machines.All() {
		for _, task := range machine.tasks.All() {
			cs.countUsage(task, now)
		}
	}
	return cs.ledger
}

// UsageWatermark returns the watermark of the accounting: the time and the last attempt up to which usage has been
// counted. The next leader continues from there.
func (cs *ClusterState) UsageWatermark(now time.Time) accounting.Watermark {
	return accounting.Watermark{AtMS: now.UnixMilli(), Attempt: cs.token<<20 + cs.attempts}
}

// LoadUsageWatermark restores the usage watermark that an earlier leader stored.
func (cs *ClusterState) LoadUsageWatermark(text []byte) {
	var watermark accounting.Watermark
	if len(text) == 0 || cs.ledger == nil {
		return
	}
	if err := json.Unmarshal(text, &watermark); err != nil {
		cs.opt.Log.Error("usage watermark cannot be read", "err", err)
		return
	}
	cs.usageWatermark = watermark
}

// countUsage adds a task's usage since it was last counted, up to the last answer of its machine's owner. It counts
// nothing while the machine misses heartbeats. If the task turns out to have kept running, all of that time is counted
// then.
//
// Guard: without these limits, a leader that received no answers kept counting tasks that had ended long before
// (simtest, seed 230000037). So did a leader while one of its machines' agents had restarted during an outage of the
// state service: the tasks of such a machine stay bound until a new token because of what they may do elsewhere, not
// because they are running (simtest, seed 800035852).
func (cs *ClusterState) countUsage(task *Task, until time.Time) {
	if cs.ledger == nil || task.machine.MissedHeartbeats || task.machine.StartOutcomeUnknown || task.machine.Phase != Current {
		return
	}
	until = earlier(until, cs.lastResponse[cs.owners[task.machine.Pool]])
	from := task.accountedUntil
	if until.Before(from) {
		return
	}
	task.accountedUntil = until
	if from.IsZero() || !from.Before(until) {
		return
	}
	switch task.state {
	case model.TaskRunning, model.TaskSaving:
		cs.addUsage(task, accounting.Run, until.Sub(from), until)
	case model.TaskFetching, model.TaskWaitingForGang:
		cs.addUsage(task, accounting.Wait, until.Sub(from), until)
	}
}

// earlier returns the earlier of two times.
func earlier(x, y time.Time) time.Time {
	if y.Before(x) {
		return y
	}
	return x
}

// later returns the later of two times.
func later(x, y time.Time) time.Time {
	if y.After(x) {
		return y
	}
	return x
}

// skipSilentTime skips the time in which a task was not counted because its machine did not report: the task ended at
// an unknown moment of that time. Tasks of other machines are counted with every flush.
func (cs *ClusterState) skipSilentTime(task *Task, now time.Time) {
	if now.Sub(task.accountedUntil) > cs.opt.Flush+silenceTolerance {
		task.accountedUntil = now
	}
}

// silenceTolerance is how much longer than the interval between two flushes a task may go uncounted before
// skipSilentTime skips that time.
const silenceTolerance = 3 * time.Second

// addUsage adds a task's usage of one kind to its team's account.
func (cs *ClusterState) addUsage(task *Task, kind accounting.UsageKind, duration time.Duration, now time.Time) {
	spec := task.job.Spec
	cs.ledger.Count(accounting.Interval{
		Account:  accounting.Account{Team: spec.Team, Class: spec.Class, Spot: task.machine.Spot},
		Pool:     task.machine.Pool,
		Kind:     kind,
		Size:     spec.Size,
		Duration: duration,
		End:      now,
	})
}

// accountAdopted starts to account a task that an earlier leader started. If that leader had ordered the task before it
// last stored its sums, the task's usage counts from the time of that watermark. The clocks of two controllers may
// differ by twice the offset in the settings; that much time is left out, so that nothing is counted twice.
//
// Guard: a leader that resumes a gang's claim may order an attempt that an earlier leader numbered. The attempt's number
// then doesn't show that it had been ordered when the sums were stored, and all of the time since the watermark was
// counted for members that had just started (simtest, seed 900080711). For gangs, no more time is counted than may pass
// between two flushes.
func (cs *ClusterState) accountAdopted(task *Task, now time.Time) {
	if cs.ledger == nil {
		return
	}
	task.accountedUntil = now
	if task.state != model.TaskRunning || task.attempt > cs.usageWatermark.Attempt {
		return
	}
	from := time.UnixMilli(cs.usageWatermark.AtMS).Add(2 * cs.opt.ClockOff)
	if task.job.Spec.Shape == model.Gang {
		from = later(from, now.Add(-cs.opt.Flush-silenceTolerance))
	}
	task.accountedUntil = earlier(now, from)
}

// countWasted counts the work that a running task has done since its last checkpoint and that must be repeated, unless
// the work was checkpointed.
func (cs *ClusterState) countWasted(task *Task, now time.Time, checkpointed bool) {
	runs := task.state == model.TaskRunning || task.state == model.TaskSaving
	if cs.ledger == nil || !runs || task.job.Spec.Shape == model.Service || checkpointed {
		return
	}
	wasted := task.accountedUntil.Sub(task.stateSince) // the time counted as running
	if every := task.job.Spec.CheckpointEvery; every > 0 {
		wasted %= every
	}
	cs.addUsage(task, accounting.Wasted, wasted, now)
}

// recentUsagePerGuarantee returns the recent usage of a job's team in CPU seconds, per CPU of the team's guarantee. It
// returns 0 if usage is not accounted or ties in the queue are not broken by it.
func (cs *ClusterState) recentUsagePerGuarantee(job *Job, now time.Time) float64 {
	if cs.ledger == nil || !cs.opt.FairTies {
		return 0
	}
	weight := job.usage.team.Guarantee.CPUs
	if weight <= 0 {
		weight = 1
	}
	return cs.ledger.RecentCPUSeconds(job.Spec.Team, now) / weight
}
