// Package model defines the types that all packages share: sizes, machine pools and types,
// jobs and the states of tasks, and the wire types of the protocol. Field names and values
// of the protocol appear only in struct tags, in constant values and in the tables of a
// submission's fields. The package has no state and does no I/O.
package model

import (
	"math"
	"time"
)

// eps is the tolerance in comparisons of amounts, for rounding errors in sums of decimals.
const eps = 1e-6

// Size is an amount of each resource.
type Size struct {
	CPUs     float64
	GPUs     float64
	MemoryGB float64

	// ReportBytes is the space that tasks may take up in their machine's heartbeat; see TaskReportBytes. It is counted
	// from the space that every machine has for them, so that it is 0 in the size of a machine type, and negative in the
	// free capacity of a machine with tasks. It is not a resource of users, and is never stored.
	ReportBytes int `json:"-"`
}

// Add returns the sum of two sizes.
func (s Size) Add(o Size) Size {
	return Size{s.CPUs + o.CPUs, s.GPUs + o.GPUs, s.MemoryGB + o.MemoryGB, s.ReportBytes + o.ReportBytes}
}

// Sub returns the difference of two sizes.
func (s Size) Sub(o Size) Size {
	return Size{s.CPUs - o.CPUs, s.GPUs - o.GPUs, s.MemoryGB - o.MemoryGB, s.ReportBytes - o.ReportBytes}
}

// Times returns n times the size.
func (s Size) Times(n int) Size {
	f := float64(n)
	return Size{s.CPUs * f, s.GPUs * f, s.MemoryGB * f, s.ReportBytes * n}
}

// Fits reports whether s fits into the free capacity of a machine.
func (s Size) Fits(free Size) bool {
	return s.CPUs <= free.CPUs+eps && s.GPUs <= free.GPUs+eps && s.MemoryGB <= free.MemoryGB+eps && s.FitsReport(free)
}

// FitsReport reports whether the machine with the given free capacity can report one more task of this size.
func (s Size) FitsReport(free Size) bool {
	return s.ReportBytes <= max(0, MaxTaskReportBytes+free.ReportBytes)
}

// WithoutReport returns the size without the space in a machine's heartbeat.
func (s Size) WithoutReport() Size {
	s.ReportBytes = 0
	return s
}

// AtMost reports whether no resource of s exceeds that of another size.
func (s Size) AtMost(other Size) bool {
	return s.CPUs <= other.CPUs+eps && s.GPUs <= other.GPUs+eps && s.MemoryGB <= other.MemoryGB+eps && s.ReportBytes <= other.ReportBytes
}

// Share returns the dominant share of s in a capacity: the largest ratio of use to capacity
// over the resources with non-zero capacity.
func (s Size) Share(capacity Size) float64 {
	share := 0.0
	if capacity.CPUs > 0 {
		share = max(share, s.CPUs/capacity.CPUs)
	}
	if capacity.GPUs > 0 {
		share = max(share, s.GPUs/capacity.GPUs)
	}
	if capacity.MemoryGB > 0 {
		share = max(share, s.MemoryGB/capacity.MemoryGB)
	}
	return share
}

// Slots returns how many tasks of this size fit into the free capacity of a machine at once.
//
// Guard: a task has no least size. The quotient of a resource and a need close to zero is beyond every integer, and its
// conversion to one is negative on some machines.
func (s Size) Slots(free Size) int {
	slots := float64(math.MaxInt32)
	for _, resource := range []struct{ need, free float64 }{
		{s.CPUs, free.CPUs},
		{s.GPUs, free.GPUs},
		{s.MemoryGB, free.MemoryGB},
	} {
		if resource.need > 0 {
			slots = min(slots, math.Floor((resource.free+eps)/resource.need))
		}
	}
	if s.ReportBytes > 0 {
		slots = min(slots, float64((MaxTaskReportBytes+free.ReportBytes)/s.ReportBytes))
	}
	return int(max(0, slots))
}

// Pool is one machine type in one zone. The paper that the placement rule comes from calls
// it a cloud.
type Pool struct {
	Type string
	Zone string
}

// MachineType is the cloud's description of a type of machine.
type MachineType struct {
	Name        string
	Size        Size
	CacheGB     float64
	FetchGBPerS float64
	Price       float64 // per hour, on demand
	SpotPrice   float64 // per hour, spot, as last published
	Boot        time.Duration
	Zones       []string
}

// OfferedIn reports whether the type is offered in a zone.
func (t MachineType) OfferedIn(zone string) bool {
	for _, z := range t.Zones {
		if z == zone {
			return true
		}
	}
	return false
}

// Shape is how a job's tasks are scheduled.
type Shape string

// The shapes: independent tasks, a gang, and replicas of a service.
const (
	Array   Shape = "batch"
	Gang    Shape = "gang"
	Service Shape = "standing"
)

// Priority is the priority of a job.
type Priority string

// The priorities, highest first.
const (
	Critical Priority = "critical"
	High     Priority = "high"
	Normal   Priority = "normal"
	Low      Priority = "low"
)

// Rank returns a number that is larger for a higher priority, or -1 for an unknown one.
func (p Priority) Rank() int {
	switch p {
	case Critical:
		return 3
	case High:
		return 2
	case Normal:
		return 1
	case Low:
		return 0
	}
	return -1
}

// Stage is the state of a job as reported to users.
type Stage string

// The stages.
const (
	Queued    Stage = "queued"
	Running   Stage = "running"
	Done      Stage = "done"
	Cancelled Stage = "aborted"
)

// Final reports whether a job in this stage never changes its stage again.
func (s Stage) Final() bool { return s == Done || s == Cancelled }

// TaskState is the state of a task on its machine. Workers do not report TaskOrdered: it
// means that the controller ordered a start that no heartbeat has confirmed yet.
type TaskState string

// The task states.
const (
	TaskOrdered        TaskState = "ordered"
	TaskFetching       TaskState = "fetching"
	TaskWaitingForGang TaskState = "gathering" // for the other tasks of its gang
	TaskRunning        TaskState = "running"
	TaskSaving         TaskState = "flushing"
	TaskExited         TaskState = "ended"
)

// Cause is the reason why a task exited.
type Cause string

// The causes of an exit.
const (
	CauseDone       Cause = "done"
	CauseStopped    Cause = "stopped"
	CausePeers      Cause = "peers" // another task of its gang exited
	CauseIsolated   Cause = "alone" // the other tasks of its gang did not become ready in time
	CauseError      Cause = "error"
	CauseNoCapacity Cause = "no_room" // it did not fit into the machine's free capacity
	CauseBusy       Cause = "busy"    // another attempt of the task was still on the machine
	CauseUnknown    Cause = "no_such"
)

// Team holds a team's guarantee and limit. A zero amount means that there is no guarantee
// or no limit for that resource.
type Team struct {
	Name      string
	Guarantee Size
	Limit     Size
}

// WithinLimit reports whether the CPUs and GPUs in used are within the team's limit.
func (t Team) WithinLimit(used Size) bool {
	return within(used.CPUs, t.Limit.CPUs) && within(used.GPUs, t.Limit.GPUs)
}

// WithinGuarantee reports whether the CPUs and GPUs in used are within the team's guarantee.
// It returns false for a team without any guarantee.
func (t Team) WithinGuarantee(used Size) bool {
	if t.Guarantee.CPUs == 0 && t.Guarantee.GPUs == 0 {
		return false
	}
	return used.CPUs <= t.Guarantee.CPUs+eps && used.GPUs <= t.Guarantee.GPUs+eps
}

// within reports whether an amount is within a limit; 0 means that there is no limit.
func within(used, limit float64) bool { return limit == 0 || used <= limit+eps }

// Objective is the service-level objective of a class of jobs. 0 means no objective.
type Objective struct {
	Wait     time.Duration // until all tasks have started
	Finished time.Duration // until the job is done
}

// Job is a submitted job.
type Job struct {
	ID              string
	Class           string
	Team            string
	Shape           Shape
	Priority        Priority
	Tasks           int
	Size            Size
	Image           string
	ImageGB         float64
	Types           []string // nil: any
	Zone            string   // empty: any
	OneZone         bool
	Spread          bool
	Spot            bool
	Estimate        time.Duration
	CheckpointEvery time.Duration
	SaveTime        time.Duration
	Deadline        time.Duration // from submission; 0: none
	Needs           []string      // jobs that must be done before any task starts
}

// Allows reports whether the job's tasks may run on machines of a type in a zone.
func (j *Job) Allows(t MachineType, zone string) bool {
	if j.Zone != "" && j.Zone != zone {
		return false
	}
	if !t.OfferedIn(zone) || !j.Size.Fits(t.Size) {
		return false
	}
	if j.Types == nil {
		return true
	}
	for _, name := range j.Types {
		if name == t.Name {
			return true
		}
	}
	return false
}

// ZoneCap returns the maximum number of the job's tasks in one zone: half of them, rounded
// up, if the job must be spread over zones.
func (j *Job) ZoneCap() int {
	if j.Spread {
		return (j.Tasks + 1) / 2
	}
	return j.Tasks
}
