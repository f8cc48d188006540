package placement

import (
	"time"

	"github.com/marlwood/marlwood/internal/accounting"
	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/reservation"
)

// State is a snapshot of everything in a cluster state that later decisions depend on, in a form that can be stored.
// The options are not part of it.
//
// State and the types in it are encoded under the names of their fields and in the order of the fields, so neither may
// change. Where the cluster state uses another name for a field, a comment gives that name.
type State struct {
	Token     uint64
	Complete  bool
	Split     bool // splitParts
	Resumed   bool // claimsResumed
	FewParts  int  // maxPartsAccepted
	OrderID   uint64
	Attempts  uint64
	Saves     uint64 // writeCount
	Room      uint64 // capacityEvents
	Rounds    uint64 // roundNumber
	Capacity  float64
	Gathering time.Duration

	Types    map[string]model.MachineType
	Owners   []OwnerState
	Jobs     []JobState
	Machines []MachineState
	Tasks    []TaskState
	Out      map[string][][]byte  // outbox: encoded orders by member
	Gone     map[string]time.Time // terminated: when a machine was terminated
	Classes  []ClassState

	Limits    map[string]model.Size // teams' limits that differ from the settings
	Use       map[string]UseState
	Urgencies map[string]InheritedPriority
	Coming    []JobState // upcoming
	Plan      []PlanState
	Drains    []Drain

	Lately map[string]accounting.Recent
	Mark   accounting.Watermark
	Heard  map[string]time.Time // lastResponse
}

// OwnerState is the snapshot of a pool and the member that owns it.
type OwnerState struct {
	Kind   model.Pool
	Member string
}

// JobState is the snapshot of a Job without its tasks.
type JobState struct {
	Spec      *model.Job
	Accepted  time.Time
	Seen      time.Time // firstSeen
	Stamp     uint64    // Revision
	Started   bool
	Cancelled bool
	Finished  []uint64
	Stored    []uint64 // storedFinished
	Next      int      // nextTask
	Again     []int    // retryTasks

	RetryAt  time.Time
	Fails    int
	FailedOn []string
	Empty    int // roundsWithoutCapacity

	Tried   uint64    // searchedAtEvent
	Turn    uint64    // lastRoundConsidered
	Sought  uint64    // lastPreemptSearch
	Waiting time.Time // unplacedSince
	Cleared time.Time // preemptedAt
	Looked  time.Time // lastEmptyRoundAt
	SaveDue time.Time // writeDue
	Kept    time.Time // reservedUntil

	SaveFirst bool // writeHeadStart
	Writing   bool
	Dirty     bool
	WroteAt   time.Time // lastWrite

	Attempt uint64

	// The queue key.
	OrderRank       int // priority
	OrderGuaranteed int
	OrderDue        time.Time
	OrderPatient    bool
	OrderNear       time.Time // boostedSince

	Hurried     bool // boosted
	OrderServed float64
	Claim       *reservation.Claim
	Unclaimed   bool // claimTooLarge
	Rank        int  // effectivePriority
	Within      time.Duration
	Per         int  // tasksPerPart
	Bulky       bool // oversized
}

// MachineState is the snapshot of a Machine without its tasks.
type MachineState struct {
	Name  string
	Addr  string
	Kind  model.Pool
	Spot  bool
	Phase MachinePhase
	Since time.Time

	Hosted   bool   // Recorded
	Stamp    uint64 // Revision
	Dropping bool   // deletingRecord

	Cordoned bool
	Retiring bool      // ScaleIn
	Blamed   bool      // quarantined
	Taken    time.Time // uncordonedAt

	Notice   time.Duration
	NoticeAt time.Time
	Seen     time.Time
	Idle     time.Time
	Silent   time.Time // FirstExpired

	Knocked   time.Time // misdirectedAt
	Quiet     bool      // MissedHeartbeats
	Listed    bool
	Unsure    bool   // StartOutcomeUnknown
	Used      bool   // EverUsed
	Unreached bool   // Unreachable
	Wanders   bool   // cyclesControllers
	Follows   bool   // followsRedirects
	KnockedAt string // misdirectedTo

	Session  uint64
	Seq      uint64
	Current  uint64 // currentToken
	Load     model.Size
	Images   []ImageState
	Reported [][]byte
	Blame    map[string]FailureState // failures
	Strays   int                     // orphans
	Reserved []ReservationState
}

// ImageState is the snapshot of an image in a machine's cache.
type ImageState struct {
	Name string
	GB   float64
}

// FailureState is the snapshot of a failureRecord: a job's failures on a machine.
type FailureState struct {
	Fails int
	Waves int
	Last  time.Time
}

// ReservationState is the snapshot of capacity that is reserved on a machine for a job or a class.
type ReservationState struct {
	Name  string
	Class string
	Size  model.Size
	Rank  int
	Until time.Time
}

// TaskState is the snapshot of a bound Task.
type TaskState struct {
	Job      string
	Index    int
	Attempt  uint64
	Machine  string
	State    model.TaskState
	Token    uint64
	Order    uint64
	Since    time.Time
	BornAt   time.Time // boundAt
	Stopping bool
	Grace    time.Duration
	Told     uint64    // stopToken
	Counted  time.Time // accountedUntil
	Claimed  bool      // heldByClaim
}

// ClassState is the snapshot of the arrivals of a class's jobs. Its last job may be finished.
type ClassState struct {
	Name     string
	Last     JobState
	Arrivals []ArrivalState
	Short    int
}

// ArrivalState is the snapshot of the arrival of a job of a class.
type ArrivalState struct {
	At    time.Time
	Tasks int
}

// UseState is the snapshot of a team's usage: the total size and number of its bound tasks.
type UseState struct {
	Size  model.Size
	Tasks int
}

// PlanState is the snapshot of a plannedJob: a job's part in the current round.
type PlanState struct {
	Job   string
	Tasks []int
	Scan  bool
	Want  uint32
}

// JobWriteState is the snapshot of a JobWrite that has not completed.
type JobWriteState struct {
	Save JobWrite
	Snap []uint64 // finishedTasks
}

// Export returns a snapshot of the write.
func (w *JobWrite) Export() JobWriteState {
	state := JobWriteState{Save: *w}
	if w.finishedTasks != nil {
		state.Snap = w.finishedTasks.Words()
	}
	return state
}

// Import returns the write that the snapshot was taken of.
func (s JobWriteState) Import() *JobWrite {
	write := s.Save
	if s.Snap != nil {
		write.finishedTasks = model.TaskSetOf(s.Snap)
	}
	return &write
}
