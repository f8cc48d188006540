package main

// placementMutants are the mistakes whose first edit is in package placement.
var placementMutants = []mutant{
	{"an expiry is believed at once", []edit{{"placement/machine_expiry.go", "machine.Phase == ExpiryReported && machine.PhaseSince.Before(checked)", "machine.Phase == ExpiryReported"}}},
	{"a task is forgotten before its mark is stored", []edit{{"placement/orders.go", "model.Cause(reported.Cause) == model.CauseDone && !job.storedFinished.Has(int(reported.Index))", "model.Cause(reported.Cause) == model.CauseDone && false"}}},
	{"a machine is used before its host record is stored", []edit{{"placement/placement_rule.go", "m.Phase == Current && m.Recorded && ", "m.Phase == Current && "}}},
	{"a takeover does not wait for unseen machines", []edit{{"placement/cluster_state.go", "machine.Recorded && (machine.Phase == Unseen || machine.Phase == Joining || machine.Phase == ExpiryReported)", "machine.Recorded && machine.Phase == Joining"}}},
	{"an undecided start counts as refused", []edit{{"placement/reconcile.go", "task.state == model.TaskOrdered && !decided(task.orderID)", "task.state == model.TaskOrdered && false"}}},
	{"a claim is passed over by the next leader", []edit{{"placement/round.go", "cs.resumeClaims(now)", "cs.orphanedTasks()"}}},
	{"a lost piece of a claim is not replaced", []edit{{"placement/gang_placement.go", "if cs.repairClaim(now, job) {", "if cs.repairClaim(now, job) || true {"}}},
	{"use is counted while nothing is heard", []edit{{"placement/usage.go", "if cs.ledger == nil || task.machine.MissedHeartbeats || task.machine.StartOutcomeUnknown || task.machine.Phase != Current {", "if cs.ledger == nil {"},
		{"placement/usage.go", "until = earlier(until, cs.lastResponse[cs.owners[task.machine.Pool]])", "until = earlier(until, until)"},
		{"placement/usage.go", "if now.Sub(task.accountedUntil) > cs.opt.Flush+silenceTolerance {", "if false {"}}},
	{"what an earlier leader counted counts again", []edit{{"placement/usage.go", "time.UnixMilli(cs.usageWatermark.AtMS).Add(2 * cs.opt.ClockOff)", "now.Add(-time.Minute)"}}},
	{"tasks of a cancelled job are not stopped", []edit{{"placement/jobs.go", "\t\tcs.stopMember(task, 0)\n\t}\n\tfor i := range job.Spec.Tasks", "\t\t_ = task\n\t}\n\tfor i := range job.Spec.Tasks"}}},
	{"a stop without time to save is no second stop", []edit{{"placement/tasks.go", "task.stopping && task.grace <= grace && task.stopToken == cs.token", "task.stopping && task.stopToken == cs.token"}}},
	{"every stop leaves time to save", []edit{{"placement/orders.go", "GraceMs: task.grace.Milliseconds(),", "GraceMs: graceFor(task.job.Spec).Milliseconds(),"}}},
	{"a stop is not told again under a fresh token", []edit{{"placement/tasks.go", "task.stopping && task.stopToken != cs.token", "false"}}},
	{"what a takeover finds of a job that is over may save", []edit{{"placement/orders.go", "Op: peerspb.Op_OP_STOP, Job: reported.Job, Index: reported.Index, Attempt: reported.Attempt})", "Op: peerspb.Op_OP_STOP, Job: reported.Job, Index: reported.Index, Attempt: reported.Attempt, GraceMs: 1e6})"}}},
	{"a stop is not told anew under a fresh token", []edit{{"placement/tasks.go", "if task.stopping && task.stopToken != cs.token {", "if false {"}}},
	{"tasks of a job that is over go on under the next leader", []edit{{"placement/reconcile.go", "r.cs.sendForget(r.machine, reported)\n\t\treturn\n\t}\n\tr.orphan(reported, nil)", "r.cs.sendForget(r.machine, reported)\n\t\treturn\n\t}\n\tr.orphans++"}}},
	{"tasks of a job that is over hold nothing back", []edit{{"placement/round.go", "if !cs.takeoverComplete || cs.orphanedTasks() > 0 {", "if !cs.takeoverComplete {"}, {"placement/placement_rule.go", "m.TerminationNotice < 0 && m.orphans == 0 &&", "m.TerminationNotice < 0 &&"}}},
	{"cancelled tasks do not count against the limit", []edit{{"placement/jobs.go", "\t\tcs.stopMember(task, 0)\n\t}\n\tfor i := range job.Spec.Tasks", "\t\tcs.stopMember(task, 0)\n\t\ttask.job.usage.remove(task.job.Spec.Size)\n\t}\n\tfor i := range job.Spec.Tasks"}}},
	{"a cancelled task's place is free at once", []edit{{"placement/jobs.go", "\t\tcs.stopMember(task, 0)\n\t}\n\tfor i := range job.Spec.Tasks", "\t\tcs.stopMember(task, 0)\n\t\ttask.unbind()\n\t}\n\tfor i := range job.Spec.Tasks"}}},
	{"the zone of what is out of reach does not count", []edit{{"placement/placement_rule.go", "\tinZone := j.inZone(zone)\n\tif j.Spec.OneZone && inZone < j.bound.Len() {", "\tinZone, elsewhere := 0, 0\n\tfor _, t := range j.bound.All() {\n\t\tif t.machine.MissedHeartbeats {\n\t\t\tcontinue\n\t\t}\n\t\tif t.machine.Pool.Zone == zone {\n\t\t\tinZone++\n\t\t} else {\n\t\t\telsewhere++\n\t\t}\n\t}\n\tif j.Spec.OneZone && elsewhere > 0 {"}}},
	{"after a start that found no room a job waits for an hour", []edit{{"placement/tasks.go", "job.retryAt = now.Add(startRetryWait)", "job.retryAt = now.Add(time.Hour)"}}},
	{"a machine that expired while its record was written is used", []edit{{"placement/machine_records.go", "machine.Phase != Expired, revision, false", "true, revision, false"}}},
}
