// Package quota enforces teams' resource limits across regions that may be partitioned from each other.
//
// Each region holds a part of every limit, its allocation, and admits tasks within it whether or not it
// can reach the other regions. Allocations move between regions by numbered transfers that are stored in
// both regions: the giver debits a transfer before it sends it, and the receiver credits it exactly once.
// In the literature this is known as escrow, or the demarcation protocol.
//
// Invariant: the allocations and the transfers in transit add up to the limit, even if messages and writes
// are lost, delayed or repeated, and across changes of leader.
//
// Ledger does no input or output: its inputs are events and the time, its outputs are records to write and
// messages to send. It is not safe for concurrent use. Register and Client carry its messages over gRPC.
package quota

import (
	"cmp"
	"slices"
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

// Demand is what a team's tasks in a region use and request at present.
type Demand struct {
	Used    model.Size // by all tasks that run or may run
	Waiting model.Size // by tasks that wait
	Order   Order      // of the first job that waits
}

// Order is the position of a waiting job among the jobs of all regions that wait for a team's limit.
// All regions sort by it in the same way, so that two regions never starve each other.
type Order struct {
	Rank   int   // rank of its priority; the higher comes first
	Since  int64 // when it was accepted, in Unix milliseconds; the lower comes first
	Region string
}

// before reports whether a job comes before another in the order.
func (o Order) before(other Order) bool {
	return cmp.Or(
		cmp.Compare(other.Rank, o.Rank),
		cmp.Compare(o.Since, other.Since),
		cmp.Compare(o.Region, other.Region),
	) < 0
}

// Write is an account to be written. Its preconditions are the revision (0: there is no record) and the
// leader's fencing token.
type Write struct {
	Team     string
	Account  Account
	Revision uint64
}

// Outcome is the result of a Write.
type Outcome int

// The outcomes of a Write.
const (
	Stored  Outcome = iota // it was executed
	Refused                // a precondition failed: another write came first
	Unknown                // there was no answer: it may have been executed, or may still be executed
)

// maxWritesInFlight is the maximum number of writes in flight, for all teams together.
const maxWritesInFlight = 8

// Ledger holds a region's accounts during one leader's term.
type Ledger struct {
	region         string
	regions        []string // all regions, including this one; sorted
	limits         map[string]Amount
	teams          *model.Table[string, *teamAccount]
	nextExchange   map[string]time.Time // by region: earliest time of the next message
	writesInFlight int
}

// accountPhase is the state of a team's account.
type accountPhase int

// The phases of an account.
const (
	phaseUnread    accountPhase = iota // the record has not been read in this term
	phaseCommitted                     // the record is known and no write is in flight
	phaseWriting                       // a write is in flight
	phaseAmbiguous                     // a write was refused or its outcome is unknown: the record must be read
	phaseResending                     // the write may still be executed: it must be sent again unchanged
)

// teamAccount is a team's account together with its demand here and the requests of other regions.
type teamAccount struct {
	phase        accountPhase
	stored       Account
	revision     uint64   // of the stored record; 0: there is none
	pending      *Account // a write that may still be executed; nil: none
	demand       Demand
	requests     map[string]request  // by region
	incoming     map[string]Transfer // by giver: transfer to be credited
	acknowledged map[string]uint64   // by receiver: number of the last transfer that it has credited
}

// request is the amount that another region asks for.
type request struct {
	amount     Amount
	order      Order
	receivedAt time.Time
}

// newTeamAccount returns an account whose record has not been read.
func newTeamAccount() *teamAccount {
	return &teamAccount{
		requests:     map[string]request{},
		incoming:     map[string]Transfer{},
		acknowledged: map[string]uint64{},
	}
}

// setPhase is the only place where an account's phase changes.
func (t *teamAccount) setPhase(phase accountPhase) { t.phase = phase }

// setStored sets the account and revision of the stored record. No write is pending afterwards.
func (t *teamAccount) setStored(account Account, revision uint64) {
	t.stored, t.revision, t.pending = account, revision, nil
	t.setPhase(phaseCommitted)
}

// New returns the ledger of one region, given all regions and the limits of teams. Limit returns zero until
// the accounts are read.
func New(region string, regions []string, limits map[string]Amount) *Ledger {
	l := &Ledger{
		region:       region,
		regions:      slices.Sorted(slices.Values(regions)),
		limits:       limits,
		teams:        model.NewTable[string, *teamAccount](),
		nextExchange: map[string]time.Time{},
	}
	for name := range limits {
		l.teams.Put(name, newTeamAccount())
	}
	return l
}

// TeamsToRead returns the teams whose records must be read and passed to RecordRead.
func (l *Ledger) TeamsToRead() (names []string) {
	for name, team := range l.teams.All() {
		if team.phase == phaseAmbiguous || team.phase == phaseUnread {
			names = append(names, name)
		}
	}
	return names
}

// RecordRead handles a team's record that was read under this term's fencing token after TeamsToRead
// returned the team. Revision 0 means that there is no record.
//
// Guard: an unanswered write may still be executed as long as the record has the revision that it expects.
// It is sent again unchanged: whichever of the two writes is executed first makes the other fail.
// TestLimitDuringPendingWrite and TestLimitInvariantUnderFaults show it.
func (l *Ledger) RecordRead(name string, account Account, revision uint64) {
	team := l.teams.At(name)
	switch {
	case team == nil || team.phase != phaseUnread && team.phase != phaseAmbiguous:
	case team.phase == phaseAmbiguous && revision == team.revision:
		team.setPhase(phaseResending)
	default:
		team.setStored(account, revision)
	}
}

// WriteDone handles the outcome of a Write; revision is the record's new revision if it was stored.
func (l *Ledger) WriteDone(name string, outcome Outcome, revision uint64) {
	team := l.teams.At(name)
	if team == nil || team.phase != phaseWriting {
		return
	}
	l.writesInFlight--
	if outcome != Stored {
		team.setPhase(phaseAmbiguous)
		return
	}
	team.setStored(*team.pending, revision)
}

// Limit returns the amount that a team's tasks in this region may use now: the stored allocation or, while a
// write is pending, the minimum of the allocations before and after it. It is zero until the record is read.
//
// Guard: an unanswered debit may be executed at any time while its preconditions hold. When such a debit was
// treated as not executed, its amount was used both here and in the region that received it.
// TestLimitDuringPendingWrite and TestLimitInvariantUnderFaults show it.
func (l *Ledger) Limit(name string) Amount {
	team := l.teams.At(name)
	if team == nil || team.revision == 0 {
		return Amount{}
	}
	if team.pending != nil {
		return minAmount(team.stored.Allocation, team.pending.Allocation)
	}
	return team.stored.Allocation
}

// Limits returns the Limit of every team.
func (l *Ledger) Limits() map[string]Amount {
	out := make(map[string]Amount, l.teams.Len())
	for name := range l.teams.All() {
		out[name] = l.Limit(name)
	}
	return out
}
