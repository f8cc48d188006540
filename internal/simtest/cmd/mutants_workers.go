package main

// workersMutants are the mistakes whose first edit is in package workers.
var workersMutants = []mutant{
	{"a desk counts leases from its own last answer", []edit{
		{"workers/heartbeat.go", "had shown our token.\n\t\treg.recordContact(now, machine)\n", "had shown our token.\n"},
		{"workers/rounds.go", "\treg.recordContact(now, machine)\n\tif machine.phase != Expired {", "\tif machine.phase != Expired {"}}},
	{"a grant is not compared at answering", []edit{{"workers/heartbeat.go", "if !reg.HoldsLease(now) || heartbeat.Token > reg.token {", "if heartbeat.Token > reg.token {"}}},
	{"a start that may come late is forgotten", []edit{{"workers/sent_starts.go", "return sent == nil || sent.token < token", "return sent == nil || token > 0"},
		{"workers/orders.go", " || m.undecidedStart(order.key()) != nil", ""}}},
	{"an answered call counts as spent", []edit{{"workers/calls.go", "\t\t\tm.recordSentStart(order.key(), call.Token)\n", ""}}},
	{"an attempt is forgotten under the token of its call", []edit{{"workers/sent_starts.go", "return sent == nil || sent.token < token", "return sent == nil || sent.token <= token"}}},
	{"a restarted process takes any token", []edit{{"workers/rounds.go", "{ reg.token = max(reg.token, token) }", "{}"}}},
	{"kinds change hands under the same token", []edit{{"workers/rounds.go", "if request.Token > reg.token {\n\t\treg.adoptToken", "if request.Token > reg.token+1<<40 {\n\t\treg.adoptToken"}}},
	{"an owner answers for tasks of jobs that are not open", []edit{{"workers/acknowledge.go", "reg.openJobs.contains(job) {", "reg.openJobs.contains(job) || true {"}}},
	{"an owner's list of open jobs is valid for ever", []edit{{"workers/open_jobs.go", "return o.complete && now.Before(o.viewedAt.Add(grace))", "return o.complete && grace > 0 && !now.IsZero()"}}},
	{"a report that comes late counts as the newest", []edit{{"workers/heartbeat.go", "case !machine.precedes(heartbeat):", "case false:"}}},
	{"a report's number weighs more than its token", []edit{{"workers/stale.go", "return m.newest.precedes(versionOf(heartbeat))", "return cmp.Or(cmp.Compare(m.newest.epoch, heartbeat.Session), cmp.Compare(m.newest.seq, heartbeat.Seq)) < 0"}}},
	{"what a worker that began anew says counts at once", []edit{{"workers/call_outcomes.go", "isNewest && machine.contradicts(heartbeat):\n\t\treg.recordRestart(machine, heartbeat)", "isNewest && machine.contradicts(heartbeat):\n\t\tmachine.newest = heartbeatVersion{}\n\t\treg.applyHeartbeat(now, machine, heartbeat)"}}},
	{"a doubt about a worker that began anew is not told", []edit{{"workers/machine.go", "uncertain := m.agent.restarted", "uncertain := false"}}},
	{"a worker that began anew is never asked", []edit{{"workers/stale.go", "machine.agent.unexpectedEpoch, machine.directCall.failed = heartbeat.Session, false", "machine.agent.unexpectedEpoch = 0"}}},
	{"a machine that hears nothing is answered for ever", []edit{{"workers/reachability.go", "if machine.phase != Joining || ", "if true || "}}},
	{"a session whose end was told is taken in again", []edit{{"workers/heartbeat.go", "machine.agent.endedEpoch > 0 && heartbeat.Session <= machine.agent.endedEpoch", "false"}}},
	{"a report counts as complete without our token", []edit{{"workers/heartbeat.go", "if heartbeat.Token == reg.token {\n\t\tphase = Current", "if true {\n\t\tphase = Current"}}},
	{"a machine that hears nothing gets tasks", []edit{{"workers/reachability.go", "reachability.unreachable = reachability.unreachable || endedThoughAnswered", "_ = endedThoughAnswered"},
		{"workers/reachability.go", "m.reachability.unreachable = m.reachability.unreachable || m.reachability.lostAnswers >= maxLostAnswers", ""}, {"placement/reachability.go", "h.cyclesControllers = !sameController && gap > minCycleGap", "h.cyclesControllers = false"}}},
	{"a grant counts from its arrival", []edit{{"workers/rounds.go", "reg.clockStart.Add(time.Duration(request.GrantUntilNs)); until.After(reg.leaseUntil)", "now.Add(3 * time.Second); request.GrantUntilNs > 0 && until.After(reg.leaseUntil)"}}},
	{"a report of an earlier life ends what the present one runs", []edit{{"workers/continuity.go", "return m.phase == Current && heartbeat.Session == m.newest.epoch && m.lacksLiveTask(heartbeat)", "return false"},
		{"workers/stale.go", "return refused()", "return reg.accepted(machine, machine.stopCommands(nil))"}, {"workers/calls.go", "call.inspects, call.Token = true, noToken", "call.inspects = true"}}},
	{"a call starts no lease", []edit{{"workers/call_outcomes.go", "\t\tmachine.contact.startedFrom = now\n", ""}, {"workers/expiry.go", "mayStart := machine.directCall.startInFlight", "mayStart := false"}}},
	{"a second stop does not replace the first", []edit{{"workers/orders.go", "machine.pendingOrders[i] = order\n", "machine.pendingOrders[i].id = order.id\n"}}},
	{"a call has told any stop", []edit{{"workers/call_outcomes.go", " && (want.GraceS == nil || *command.GraceS == *want.GraceS)", ""}}},
	{"a task that saves needs no other stop", []edit{{"workers/orders.go", "return task.State == string(model.TaskExited)", "return task.State == string(model.TaskExited) || task.State == string(model.TaskSaving)"}}},
}
