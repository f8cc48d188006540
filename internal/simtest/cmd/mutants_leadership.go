package main

// leadershipMutants are the mistakes whose first edit is in package leadership.
var leadershipMutants = []mutant{
	{"the right to act does not end", []edit{{"leadership/elector.go", "return now.Before(e.LeaseExpiry())", "return e.state == Leading"}}},
	{"the right to act hangs on the key alone", []edit{{"leadership/elector.go", "if e.lastJobsView.Before(e.lastCheck) {", "if false {"}}},
	{"a deposed leader leads again under its old token", []edit{{"leadership/elector.go", "if ours && read.revision < e.highestToken {", "if false {"}}},
	{"a look at the key counts as a view of the jobs", []edit{{"leadership/elector.go", "e.confirmTerm(read.sent, read.revision)", "e.confirmTerm(read.sent, read.revision)\n\t\te.lastJobsView = read.sent"}}},
	{"a late claim keeps the last hold", []edit{{"leadership/elector.go", "if read.record.Lease != 0 {", "if false {"}}},
}
