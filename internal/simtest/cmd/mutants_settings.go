package main

// settingsMutants are the mistakes whose first edit is in package settings.
var settingsMutants = []mutant{
	{"the lease is no part of the budget", []edit{{"settings/platform.go", "left := p.CancelWait - p.Lease", "left := p.CancelWait"}}},
}
