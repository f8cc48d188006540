package quota

import (
	"cmp"
	"slices"
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

// Demand is what a region's tasks of a team take and ask for, at this moment.
type Demand struct {
	Used    model.Size // by all that runs or may run
	Waiting model.Size // by what waits
	Order   Order      // of the first job that waits
}

// Order is the one order that all regions keep among jobs that wait for a team's limit.
type Order struct {
	Rank   int   // of its priority; the higher comes first
	Since  int64 // when it was accepted, in milliseconds of the time of day; the lower comes first
	Region string
}

func (o Order) before(x Order) bool {
	return cmp.Or(cmp.Compare(x.Rank, o.Rank), cmp.Compare(o.Since, x.Since), cmp.Compare(o.Region, x.Region)) < 0
}

// Write is a record that is due to be written, guarded by the stamp (0: there is none) and the
// leader's token.
type Write struct {
	Team    string
	Account Account
	Stamp   uint64
}

// Outcome is what became of a write.
type Outcome int

// The outcomes.
const (
	Stored    Outcome = iota
	Refused           // its guards failed: something else was written before
	Uncertain         // no answer: it may have been carried out, or may yet be
)

// Times of the exchange with other regions.
const (
	askEvery   = time.Second     // between two messages to a region that has something for us, or we for it
	wantKept   = 3 * time.Second // for how long a region's want counts after it was told
	mostWrites = 8               // under way at once, of all teams
)

// Ledger is one leadership's view of a region's accounts.
type Ledger struct {
	region  string
	regions []string // all of them, this one included
	limits  map[string]Amount
	teams   *model.Table[string, *team]
	next    map[string]time.Time // when a region is written to again
	writing int
}

// phase is where a team's account stands.
type phase int

// The phases.
const (
	unread  phase = iota // not known under this leadership
	settled              // as it is stored
	writing              // a change is under way
	unsure               // a change has no answer that tells: the record must be read
	resend               // it was not carried out, and may yet be: it is written again as it was
)

// team is a team's account and what is known of its wants.
type team struct {
	phase   phase
	stored  Account
	stamp   uint64   // of the record; 0: there is none
	open    *Account // a change that may be carried out yet; nil: none
	demand  Demand
	wants   map[string]want     // by region
	coming  map[string]Transfer // by giver: to be credited
	reached map[string]uint64   // by receiver: number that it has confirmed
}

// want is what another region asks for.
type want struct {
	amount Amount
	order  Order
	at     time.Time
}

// to is the one place where a team's phase changes.
func (t *team) to(p phase) { t.phase = p }

// New makes a ledger of a region among all, for teams with limits. Nothing may be used before the
// accounts are read.
func New(region string, regions []string, limits map[string]Amount) *Ledger {
	l := &Ledger{region: region, regions: slices.Sorted(slices.Values(regions)), limits: limits, teams: model.NewTable[string, *team](),
		next: map[string]time.Time{}}
	for name := range limits {
		l.teams.Put(name, &team{wants: map[string]want{}, coming: map[string]Transfer{}, reached: map[string]uint64{}})
	}
	return l
}

// Unsure lists the teams whose records must be read.
func (l *Ledger) Unsure() (names []string) {
	for name, t := range l.teams.All() {
		if t.phase == unsure || t.phase == unread {
			names = append(names, name)
		}
	}
	return names
}

// Read takes in a team's record, as it was read under this leadership's token since Unsure named it;
// stamp 0: there is none.
//
// Guard: what went unanswered may yet be carried out while the stamp that it guards stands. It is
// written again as it was: whichever comes first voids the other.
func (l *Ledger) Read(name string, a Account, stamp uint64) {
	t := l.teams.At(name)
	switch {
	case t == nil || t.phase != unread && t.phase != unsure:
	case t.phase == unsure && stamp == t.stamp:
		t.to(resend)
	default:
		t.stored, t.stamp, t.open = a, stamp, nil
		t.to(settled)
	}
}

// Wrote takes in what became of a write.
func (l *Ledger) Wrote(name string, o Outcome, stamp uint64) {
	t := l.teams.At(name)
	if t == nil || t.phase != writing {
		return
	}
	l.writing--
	if o != Stored {
		t.to(unsure)
		return
	}
	t.stored, t.stamp, t.open = *t.open, stamp, nil
	t.to(settled)
}

// Limit is what the region's tasks of a team may use now: what is stored, and of a change whose
// outcome is open the less favourable. Nothing, before the record is known.
//
// Guard: a debit that went unanswered may be carried out at any time while its guards hold. Counted as
// not made, its amount was used here and in the region that it went to.
func (l *Ledger) Limit(name string) Amount {
	t := l.teams.At(name)
	if t == nil || t.stamp == 0 {
		return Amount{}
	}
	if t.open != nil {
		return least(t.stored.Allocation, t.open.Allocation)
	}
	return t.stored.Allocation
}

// Limits are those of all teams.
func (l *Ledger) Limits() map[string]Amount {
	out := make(map[string]Amount, l.teams.Len())
	for name := range l.teams.All() {
		out[name] = l.Limit(name)
	}
	return out
}

// Tick takes in what the teams' tasks take and ask for, decides on transfers, and returns the records
// to write. What it takes out of an allocation is out of Limit from this moment on, so the demand must
// be of this very moment.
func (l *Ledger) Tick(now time.Time, demands map[string]Demand) (writes []Write) {
	for name, t := range l.teams.All() {
		t.demand = demands[name]
		t.demand.Order.Region = l.region
		if l.writing >= mostWrites {
			continue
		}
		if l.change(now, name, t) {
			l.writing++
			t.to(writing)
			writes = append(writes, Write{name, t.open.clone(), t.stamp})
		}
	}
	return writes
}

// change works out a team's next change, if one is due.
func (l *Ledger) change(now time.Time, name string, t *team) bool {
	switch {
	case t.phase == resend:
		return true
	case t.phase != settled:
		return false
	case t.stamp == 0:
		t.open = &Account{Allocation: Division(l.limits[name], l.regions, l.region)}
		return true
	}
	next, due := t.stored.clone(), false
	for _, region := range l.regions {
		if sent, under := next.Sent[region]; under && t.reached[region] >= sent.Number {
			delete(next.Sent, region)
			due = true
		}
		if c, comes := t.coming[region]; comes {
			delete(t.coming, region)
			if c.Number > next.Credited[region] {
				next.credit(region, c)
				due = true
			}
		}
	}
	if l.give(now, t, &next) {
		due = true
	}
	if due {
		t.open = &next
	}
	return due
}

// give debits what is idle for the regions that ask, the first in the one order first. Work of this
// region that comes before theirs keeps what it may use.
func (l *Ledger) give(now time.Time, t *team, next *Account) (given bool) {
	var asking []string
	for region, w := range t.wants {
		if _, under := next.Sent[region]; !under && now.Sub(w.at) < wantKept {
			asking = append(asking, region)
		}
	}
	slices.SortFunc(asking, func(x, y string) int {
		if t.wants[x].order.before(t.wants[y].order) {
			return -1
		}
		return 1
	})
	waiting := atLeast(t.demand.Waiting)
	// Of a credit under way nothing is given before it is stored.
	idle := least(t.stored.Allocation, next.Allocation).Sub(atLeast(t.demand.Used)).positive()
	for _, region := range asking {
		w := t.wants[region]
		spare := idle
		if !waiting.IsZero() && !w.order.before(t.demand.Order) {
			spare = idle.Sub(waiting).positive()
		}
		amount := least(spare, w.amount)
		if amount.IsZero() {
			continue
		}
		next.debit(region, amount)
		idle = idle.Sub(amount)
		delete(t.wants, region)
		given = true
	}
	return given
}

// missing is what a team's waiting tasks need beyond what they may use.
func (l *Ledger) missing(name string, t *team) Amount {
	if t.demand.Waiting == (model.Size{}) || t.stamp == 0 {
		return Amount{}
	}
	have := l.Limit(name)
	wanted := least(atLeast(t.demand.Used.Add(t.demand.Waiting)), l.limits[name])
	return wanted.Sub(have).positive()
}
