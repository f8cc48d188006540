package main

// dagMutants are the mistakes whose first edit is in package dag.
var dagMutants = []mutant{
	{"a job is released when a needed one is not done", []edit{{"dag/graph.go", "case len(dependent.unmet) == 0 && dependent.state == Waiting:", "case dependent.state == Waiting:"}}},
}
