package quota

import (
	"slices"
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

// requestTTL is how long another region's request remains valid after it was received.
const requestTTL = 3 * time.Second

// Tick takes the teams' current demand, decides on transfers, and returns the accounts to write. Limit no
// longer includes the debited amounts as soon as Tick returns, so the demand must be exact at the time of
// the call.
func (l *Ledger) Tick(now time.Time, demands map[string]Demand) (writes []Write) {
	for name, team := range l.teams.All() {
		team.demand = demands[name]
		team.demand.Order.Region = l.region
		if l.writesInFlight >= maxWritesInFlight {
			continue
		}
		if l.planChange(now, name, team) {
			l.writesInFlight++
			team.setPhase(phaseWriting)
			writes = append(writes, Write{Team: name, Account: team.pending.clone(), Revision: team.revision})
		}
	}
	return writes
}

// planChange sets a team's pending account to the next one to write. It reports whether a write is due.
func (l *Ledger) planChange(now time.Time, name string, team *teamAccount) bool {
	switch {
	case team.phase == phaseResending:
		return true
	case team.phase != phaseCommitted:
		return false
	case team.revision == 0:
		team.pending = &Account{Allocation: initialAllocation(l.limits[name], l.regions, l.region)}
		return true
	}
	next := team.stored.clone()
	due := l.applyTransfers(team, &next)
	if team.grantRequests(now, &next) {
		due = true
	}
	if due {
		team.pending = &next
	}
	return due
}

// applyTransfers removes the transfers that their receivers have acknowledged and credits the incoming
// ones.
func (l *Ledger) applyTransfers(team *teamAccount, next *Account) (changed bool) {
	for _, region := range l.regions {
		if sent, inTransit := next.Sent[region]; inTransit && team.acknowledged[region] >= sent.Number {
			delete(next.Sent, region)
			changed = true
		}
		transfer, arrived := team.incoming[region]
		if !arrived {
			continue
		}
		delete(team.incoming, region)
		if transfer.Number > next.Credited[region] {
			next.credit(region, transfer)
			changed = true
		}
	}
	return changed
}

// grantRequests debits idle allocation for the regions that request it, in the common order. Allocation that
// this region's waiting tasks need is kept unless the request comes before them in that order.
func (t *teamAccount) grantRequests(now time.Time, next *Account) (granted bool) {
	waiting := roundedUp(t.demand.Waiting)
	// A credit that is not stored yet must not be given away.
	idle := minAmount(t.stored.Allocation, next.Allocation).Sub(roundedUp(t.demand.Used)).positive()
	for _, region := range t.requestingRegions(now, next) {
		wanted := t.requests[region]
		spare := idle
		if !waiting.IsZero() && !wanted.order.before(t.demand.Order) {
			spare = idle.Sub(waiting).positive()
		}
		amount := minAmount(spare, wanted.amount)
		if amount.IsZero() {
			continue
		}
		next.debit(region, amount)
		idle = idle.Sub(amount)
		delete(t.requests, region)
		granted = true
	}
	return granted
}

// requestingRegions returns the regions that have a valid request and no transfer in transit to them, in the
// common order.
func (t *teamAccount) requestingRegions(now time.Time, next *Account) []string {
	var requesting []string
	for region, wanted := range t.requests {
		if _, inTransit := next.Sent[region]; !inTransit && now.Sub(wanted.receivedAt) < requestTTL {
			requesting = append(requesting, region)
		}
	}
	slices.SortFunc(requesting, func(x, y string) int {
		if t.requests[x].order.before(t.requests[y].order) {
			return -1
		}
		return 1
	})
	return requesting
}

// shortfall returns the amount that a team's running and waiting tasks need beyond Limit, up to the team's
// whole limit. It is zero if no tasks wait or no record of the account is known.
func (l *Ledger) shortfall(name string, team *teamAccount) Amount {
	if team.demand.Waiting == (model.Size{}) || team.revision == 0 {
		return Amount{}
	}
	available := l.Limit(name)
	needed := minAmount(roundedUp(team.demand.Used.Add(team.demand.Waiting)), l.limits[name])
	return needed.Sub(available).positive()
}
