package main

// machinerecordsMutants are the mistakes whose first edit is in package machinerecords.
var machinerecordsMutants = []mutant{
	{"what was read of a machine's record counts at once", []edit{{"machinerecords/outcome.go", "reread.ambiguous = reread.revision == drafted.revision", "reread.ambiguous = drafted == nil"}}},
	{"more changes than are taken are sent again", []edit{{"machinerecords/outcome.go", "case changes > 1 && !splitting:", "case false:"}}},
}
