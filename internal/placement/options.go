package placement

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/peers/peerspb"
)

// Options are the settings of placement. They are encoded under the names of their fields, in this order. Both the
// names and the order must not change, even where a field's name differs from the term that is used now.
type Options struct {
	// Rounds.
	Draws         int           // machines sampled from a pool for each task
	ScanAfter     int           // rounds without capacity after which all machines are scanned for a job
	TasksPerRound int           // tasks that a round tries in the queue's order; more in a large cluster
	PreemptWait   time.Duration // how long a job waits before others are preempted for it

	// Objectives and the queue.
	Aims       map[string]model.Objective // service-level objectives by class
	Horizon    time.Duration              // time within which an array without a class is to start its last task
	ShortFirst float64                    // how strongly short jobs go first within a team's limit

	// Gangs.
	ClaimPieces int           // largest gang for which a claim is stored before it is ordered, in members; 0: no claims
	GangWait    time.Duration // time after which a member stops waiting for the others; 0: never

	// Usage accounting.
	Accounts bool          // the usage of teams is accounted
	Flush    time.Duration // interval at which all usage is counted

	Apart    time.Duration // value to a replica of not sharing a machine with another of its job; 0: none
	FairTies bool          // of equal jobs, those of the team that used least of its share lately come first
	ClockOff time.Duration // largest deviation of a controller's wall clock

	BeginWithin time.Duration // time from submission within which a job is to start; it is boosted before this ends
	Unhurried   time.Duration // how long only spot machines are launched for long tasks without an objective

	// Warm headroom.
	Standing float64 // reserved capacity, as a multiple of the arrivals during a boot
	Spare    float64 // as a share of the machines in use

	// Parts of completion bitmaps.
	PartTasks  int // tasks in one part, in the format that every version reads
	SplitTasks int // tasks in one split part, which fits the smallest limits of the state service

	// Hooks, which are not settings.
	Rand    *rand.Rand                 `json:"-"`
	Log     *slog.Logger               `json:"-"`
	OnOrder func(order *peerspb.Order) `json:"-"` // called with every order; may be nil
}
