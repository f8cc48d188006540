package main

// controllerMutants are the mistakes whose first edit is in package controller.
var controllerMutants = []mutant{
	{"an expiry is trusted before every owner has the token", []edit{{"controller/rounds.go", "trusted := sentAt.After(t.earlierLeasesExpiry(now))", "trusted := true"}}},
	{"a leader's writes do not guard the token", []edit{{"controller/transactions.go", "{{Key: leadership.Key, Revision: t.token}},\n\t\tWrites", "{{Key: leadership.Key, Revision: t.token}}[:0],\n\t\tWrites"}}},
	{"an unanswered direct call counts as refused", []edit{{"controller/direct_calls.go", "case err != nil, heartbeat == nil, status != http.StatusOK && status != http.StatusConflict:\n\t\treturn workers.Unanswered, nil", "case err != nil, heartbeat == nil, status != http.StatusOK && status != http.StatusConflict:\n\t\treturn workers.Refused, nil"}}},
	{"what a restarted owner says is believed", []edit{{"controller/rounds.go", "if !t.loaded || peer.restarted {", "if !t.loaded {"}, {"controller/round_messages.go", "if peer.restarted {\n\t\twants", "if false {\n\t\twants"}}},
	{"changes of machines' records do not guard their stamps", []edit{{"controller/machine_records.go", "txn.Preconditions = append(txn.Preconditions, store.Precondition{Key: change.Key, Revision: change.Revision})\n", ""}}},
	{"a view of the jobs counts from its answer", []edit{{"controller/job_watch.go", "t.applyChanges(events)\n\t\t\t\t}\n\t\t\t\tt.observeJobs(sentAt)", "t.applyChanges(events)\n\t\t\t\t}\n\t\t\t\tt.observeJobs(t.ctrl.env.Now())"}}},
	{"a direct call has no end", []edit{{"controller/direct_calls.go", "if !c.env.Now().Before(call.Deadline) {", "if false {"}}},
	{"messages go out after the right to act", []edit{{"controller/rounds.go", "if !t.ctrl.elector.HoldsLease(now) {", "if t.ctrl.elector.Token() == 0 {"}, {"controller/rounds.go", "if ctrl.holdsLease() {", "if true {"},
		{"controller/controller.go", "if c.term != nil && c.elector.HoldsLease(now) {", "if c.term != nil {"}}},
	{"a save does not guard the record", []edit{{"controller/job_parts.go", "txn.Preconditions = append(txn.Preconditions, store.Precondition{Key: record, Revision: write.Stamp})\n", ""}}},
	{"a save does not guard its parts", []edit{{"controller/job_parts.go", "txn.Preconditions = append(txn.Preconditions, store.Precondition{Key: key, Revision: parts[write.ID][part]})\n", ""}}},
	{"a release does not guard its record", []edit{{"controller/dependencies.go", "\ttxn.Preconditions = append(txn.Preconditions, store.Precondition{Key: placement.WaitPrefix + action.ID, Revision: action.Revision})\n", ""}}},
	{"a save without an answer counts as stored", []edit{{"controller/job_writes.go", "stored := err == nil && result.Succeeded()", "stored := result.Succeeded() && (err == nil || errors.Is(err, store.ErrUnknown))"}}},
	{"changes of drains do not guard their fence", []edit{{"controller/fence.go", "txn.Preconditions = append(txn.Preconditions, store.Precondition{Key: f.key, Revision: f.revision})\n", ""}}},
	{"an overtaken change of drains is carried out", []edit{{"controller/request_origin.go", "return origin != nil && origin.Seen <", "return false && origin.Seen <"}}},
	{"a client of an earlier version has seen everything", []edit{{"controller/request_origin.go", "if request.Hops > 0 {", "if true {"}}},
	{"an overtaken reload is carried out", []edit{{"controller/reload.go", "case request.Origin != nil && request.Origin.Seen != inForce:", "case false:"}}},
	{"an answer that nothing is drained moves no revision", []edit{{"controller/drain_settling.go", "\t\t\tt.drains.history.changed(key, revision)\n", ""}}},
	{"an answer that it is drained already moves no revision", []edit{{"controller/drain_requests.go", "\t\tt.drains.history.changed(drain.Key(), revision)\n", ""}}},
	{"a change of drains is compared before those before it are done", []edit{{"controller/drain_requests.go", "t.changeDrains(reply, func() (writes bool) { return t.drain(drain, request.Origin, reply) })", "late := t.drains.history.overtaken(drain.Key(), request.Origin)\n\tif late {\n\t\treply(nil, status.Error(codes.Aborted, \"outdated\"))\n\t\treturn\n\t}\n\tt.changeDrains(reply, func() (writes bool) { return t.drain(drain, nil, reply) })"}}},
	{"a machine's record without an answer counts as stored", []edit{{"controller/machine_records.go", "case err == nil && result.Succeeded():\n\t\t\tt.machineRecordsDone", "case err == nil && result.Succeeded() || errors.Is(err, store.ErrUnknown):\n\t\t\tt.machineRecordsDone"}}},
}
