package main

// apiMutants are the mistakes whose first edit is in package api.
var apiMutants = []mutant{
	{"a submission without an answer is accepted", []edit{{"api/submission.go", "if err == nil && result.Succeeded() {\n\t\treturn jsonAnswer(http.StatusCreated", "if result.Succeeded() && (err == nil || errors.Is(err, store.ErrUnknown)) {\n\t\treturn jsonAnswer(http.StatusCreated"}}},
	{"a cancellation without an answer is confirmed", []edit{{"api/job_status.go", "if err == nil && result.Succeeded() {\n\t\t\ts.finals", "if result.Succeeded() && (err == nil || errors.Is(err, store.ErrUnknown)) {\n\t\t\ts.finals"}}},
	{"a cancellation does not guard the record", []edit{{"api/job_status.go", "Preconditions: []store.Precondition{{Key: key, Revision: current.revision}, {Key: placement.DonePrefix + id}},", ""}}},
	{"a question is answered from memory without a look", []edit{{"api/status_cache.go", "if batch.done.Wait(ctx, wait) {\n\t\treturn batch.err", "if batch.done.Wait(ctx, 0) || c.revision > 0 {\n\t\treturn nil"}}},
	{"a known job's repeat is judged by its body", []edit{{"api/submission.go", "if id := model.JobID(body); id != \"\" {", "if id := model.JobID(body); id == \"\" {"}}},
	{"a question joins a look that was sent before it", []edit{{"api/status_cache.go", "c.nextBatch = nil // later queries need a later refresh\n", ""},
		{"api/status_cache.go", "c.lastRefreshFailed = batch.err != nil\n", "c.lastRefreshFailed = batch.err != nil\n\t\tc.nextBatch = nil\n"}}},
	{"a job that is not found is unknown after a lost answer", []edit{{"api/submission.go", "if err != nil || !current.known {\n\t\treturn unavailableAnswer()\n\t}\n\treturn s.answerRepeat", "if err != nil {\n\t\treturn unavailableAnswer()\n\t}\n\tif !current.known {\n\t\treturn ErrorAnswer(422, \"\")\n\t}\n\treturn s.answerRepeat"}}},
	{"a cancellation of a done job is confirmed", []edit{{"api/server.go", "return jsonAnswer(http.StatusOK, statusBody{ID: id, Stage: current.stage})", "return jsonAnswer(http.StatusOK, statusBody{ID: id, Stage: model.Cancelled})"}}},
	{"what is over is not looked up before a job is unknown", []edit{{"api/job_status.go", "return firstKnown(ctx, id, s.findFinal, s.findOpen, s.findWaiting)", "return jobStatus{}, nil"}}},
	{"a job that fits no machine is taken in", []edit{{"api/submission.go", "case len(zones) == 0:", "case false:"}}},
}
