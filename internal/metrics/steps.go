package metrics

// Step is a step of a controller's loop.
type Step string

// The steps. The first two hold what the others leave out.
const (
	OtherEvents   Step = "other_events"
	OtherTicks    Step = "other_ticks"
	Heartbeats    Step = "heartbeats"       // answering a worker
	OwnerRounds   Step = "owner_rounds"     // a leader's message to the owner of its pools
	LoadRecords   Step = "load_records"     // what an earlier leader stored
	JobChanges    Step = "job_changes"      // submissions, cancellations
	Queue         Step = "queue"            // sorting the queue and creating the sample requests
	Placing       Step = "placing"          // choosing machines, claims included
	Preempting    Step = "preempting"       // choosing tasks that are stopped for others
	Orders        Step = "orders"           // building a message to an owner
	MachineStates Step = "machine_states"   // an owner's answer: what runs on its machines
	JobWrites     Step = "job_writes"       // choosing and encoding the records that are due
	WrittenJobs   Step = "written_jobs"     // the outcome of such a write
	Dependencies  Step = "dependencies"     // of waiting jobs
	Scaling       Step = "scaling"          // demand, drains, launches and scale-in
	Expiries      Step = "expiries"         // releasing the tasks of expired machines
	JobCounts     Step = "job_counts"       // for users' queries
	Queries       Step = "operator_queries" // and other requests of operators
)
