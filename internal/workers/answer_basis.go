package workers

// AnswerBasis is why an answer may extend the lease of a machine that reports live tasks.
type AnswerBasis string

// The bases. The values are labels of a metric.
const (
	Acknowledged     AnswerBasis = "acknowledged"  // the leader has acknowledged the machine's tasks
	NoStopsForOwner  AnswerBasis = "no_stops"      // the leader has no stop for any machine of this owner
	WithinGrace      AnswerBasis = "grace"         // the previous leader had seen the machine's tasks
	SlowLeader       AnswerBasis = "slow_leader"   // the leader has taken too long to acknowledge the tasks
	UnknownAgent     AnswerBasis = "unknown_agent" // it is not known which incarnation of the agent reports
	AwaitingAnswer   AnswerBasis = "waits"         // there is none yet: the answer waits for the leader
	noAnswerRecorded AnswerBasis = ""              // nothing has been recorded under the current token
)

// recordBasis counts an answer to a machine with live tasks, and logs it if the last one under this token had
// another basis.
func (reg *Registry) recordBasis(machine *machineState, basis AnswerBasis) {
	if reg.options.OnAnswer != nil {
		reg.options.OnAnswer(basis)
	}
	if machine.acknowledgement.basis == basis {
		return
	}
	machine.acknowledgement.basis = basis
	if reg.options.Log != nil {
		reg.options.Log.Debug("report with tasks", "basis", string(basis), "machine", machine.name, "phase", string(machine.phase),
			"token", reg.token, "listed", machine.acknowledgement.listedChange, "acknowledged", reg.acknowledgedChange)
	}
}
