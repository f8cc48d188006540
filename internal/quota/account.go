package quota

import "maps"

// Transfer is a part of a limit that moves from one region to another.
type Transfer struct {
	Number uint64 `json:"n"` // sequence number per giver, receiver and team, from 1
	Amount
}

// Account is the stored record of a team in one region. It is written as a whole. The preconditions of a
// write are the revision that it replaces and the leader's fencing token.
type Account struct {
	Allocation Amount              `json:"has"`
	Sent       map[string]Transfer `json:"sent,omitempty"`     // by receiver: debited here, not known to be credited there
	Last       map[string]uint64   `json:"last,omitempty"`     // by receiver: number of the last transfer debited here
	Credited   map[string]uint64   `json:"credited,omitempty"` // by giver: number of the last transfer credited here
}

// clone returns a copy that shares no map with the account.
func (a Account) clone() Account {
	a.Sent, a.Last, a.Credited = maps.Clone(a.Sent), maps.Clone(a.Last), maps.Clone(a.Credited)
	return a
}

// debit moves an amount from the allocation to a new transfer. No other transfer to the receiver may be in
// transit.
func (a *Account) debit(receiver string, amount Amount) {
	if a.Last == nil {
		a.Last = map[string]uint64{}
	}
	if a.Sent == nil {
		a.Sent = map[string]Transfer{}
	}
	a.Last[receiver]++
	a.Allocation = a.Allocation.Sub(amount)
	a.Sent[receiver] = Transfer{Number: a.Last[receiver], Amount: amount}
}

// credit adds a transfer to the allocation and records its number, so that it is never credited again.
func (a *Account) credit(giver string, transfer Transfer) {
	if a.Credited == nil {
		a.Credited = map[string]uint64{}
	}
	a.Credited[giver] = transfer.Number
	a.Allocation = a.Allocation.Add(transfer.Amount)
}
