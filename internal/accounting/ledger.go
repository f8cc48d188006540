// Package accounting sums and stores the resource usage of teams.
//
// Each leader's term stores its usage in records of its own, whose keys contain the term's fencing token. A
// record is always written as a whole, with sums that only grow. Each interval therefore counts once, even if
// a write is executed twice, late or not at all. The records of earlier terms are merged into the total, each
// part in one transaction that deletes its record and updates the total.
//
// Ledger sums the usage of one term. Accounts decides which records are written and merges earlier terms. Both
// are pure: they take intervals, outcomes and times, and return records to write. They do no input or output
// and are not safe for concurrent use.
//
// Invariant: the stored sums never decrease and never exceed the counted usage.
package accounting

import (
	"cmp"
	"slices"
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

// Interval is a period of a task's lifetime that counts as usage.
type Interval struct {
	Account  Account
	Pool     model.Pool // pool of the machine
	Kind     UsageKind
	Size     model.Size // size of the task
	Duration time.Duration
	End      time.Time
}

// Ledger holds the usage since a term began.
type Ledger struct {
	rows       map[Account]*Sums
	byPool     map[model.Pool]*Sums // the same intervals summed by pool, as a cross-check of rows
	dirtyParts map[int]bool         // parts of the rows that have changed since they were last written
	recent     map[string]Recent    // by team
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		rows:       map[Account]*Sums{},
		byPool:     map[model.Pool]*Sums{},
		dirtyParts: map[int]bool{},
		recent:     map[string]Recent{},
	}
}

// Count adds an interval. An interval without size or duration changes nothing.
func (l *Ledger) Count(interval Interval) {
	amount := usageOf(interval.Size, interval.Duration)
	if amount == (Amount{}) {
		return
	}
	addTo(l.rows, interval.Account, interval.Kind, amount)
	addTo(l.byPool, interval.Pool, interval.Kind, amount)
	l.dirtyParts[partOf(interval.Account)] = true
	if interval.Kind != Wasted {
		team := interval.Account.Team
		used := l.recent[team].decayed(interval.End) + amount.CPUSeconds()
		l.recent[team] = Recent{CPU: used, At: interval.End}
	}
}

// addTo adds an amount to the sums under a key.
func addTo[K comparable](sums map[K]*Sums, key K, kind UsageKind, amount Amount) {
	if sums[key] == nil {
		sums[key] = &Sums{}
	}
	sums[key][kind] = sums[key][kind].Add(amount)
}

// Team returns a team's sums over all its accounts.
func (l *Ledger) Team(team string) (total Sums) {
	for account, sums := range l.rows {
		if account.Team == team {
			total = total.add(*sums)
		}
	}
	return total
}

// balanced reports whether the usage of all accounts equals that of all pools.
func (l *Ledger) balanced() bool {
	return total(l.rows) == total(l.byPool)
}

// total adds up all sums.
func total[K comparable](rows map[K]*Sums) (sum Sums) {
	for _, sums := range rows {
		sum = sum.add(*sums)
	}
	return sum
}

// sortedRows returns the rows of the accounts that fulfil a condition, sorted by account.
func (l *Ledger) sortedRows(include func(account Account) bool) (out []Row) {
	for account, sums := range l.rows {
		if include(account) {
			out = append(out, Row{Account: account, Sums: *sums})
		}
	}
	slices.SortFunc(out, func(x, y Row) int {
		return cmp.Or(
			cmp.Compare(x.Team, y.Team),
			cmp.Compare(x.Class, y.Class),
			cmp.Compare(spotRank(x.Spot), spotRank(y.Spot)),
		)
	})
	return out
}

// spotRank sorts on-demand machines before spot machines.
func spotRank(spot bool) int {
	if spot {
		return 1
	}
	return 0
}

// allAccounts is a condition for sortedRows that every account fulfils.
func allAccounts(Account) bool { return true }

// mergeRows adds up two sets of rows.
func mergeRows(x, y []Row) []Row {
	merged := NewLedger()
	for _, row := range slices.Concat(x, y) {
		sums := merged.rows[row.Account]
		if sums == nil {
			sums = &Sums{}
			merged.rows[row.Account] = sums
		}
		*sums = sums.add(row.Sums)
	}
	return merged.sortedRows(allAccounts)
}
