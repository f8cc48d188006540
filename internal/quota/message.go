package quota

import "time"

// Message is what one region's leader tells another's. It may be lost, late or repeated.
type Message struct {
	From  string
	Teams []TeamMessage
}

// TeamMessage is what a message says of a team.
type TeamMessage struct {
	Team     string
	Transfer Transfer // on its way to the other region; number 0: none
	Credited uint64   // number of the other region's last transfer that is credited here
	Want     Amount   // asked for
	Order    Order    // of what it is wanted for
}

// Due tells whether another region is to be written to: something is wanted, on its way there, or was
// credited and not yet confirmed.
func (l *Ledger) Due(now time.Time, to string) bool {
	return !now.Before(l.next[to]) && len(l.Message(to).Teams) > 0
}

// Asked notes that a region is written to now.
func (l *Ledger) Asked(now time.Time, to string) { l.next[to] = now.Add(askEvery) }

// Others are the other regions.
func (l *Ledger) Others() (out []string) {
	for _, r := range l.regions {
		if r != l.region {
			out = append(out, r)
		}
	}
	return out
}

// Message is what another region is told now. A team of which nothing is to be said is left out.
func (l *Ledger) Message(to string) Message {
	m := Message{From: l.region}
	for name, t := range l.teams.All() {
		if t.stamp == 0 {
			continue
		}
		x := TeamMessage{Team: name, Transfer: t.stored.Sent[to], Credited: t.stored.Credited[to], Want: l.missing(name, t), Order: t.demand.Order}
		if x.Transfer.Number != 0 || !x.Want.IsZero() {
			m.Teams = append(m.Teams, x)
		}
	}
	return m
}

// Reply is what is told in answer to a message: as Message, and what was credited of the transfers that
// it told of.
func (l *Ledger) Reply(to Message) Message {
	m := l.Message(to.From)
	said := map[string]bool{}
	for _, x := range m.Teams {
		said[x.Team] = true
	}
	for _, x := range to.Teams {
		if t := l.teams.At(x.Team); t != nil && t.stamp != 0 && !said[x.Team] && x.Transfer.Number != 0 {
			m.Teams = append(m.Teams, TeamMessage{Team: x.Team, Credited: t.stored.Credited[to.From]})
		}
	}
	return m
}

// Hear takes in a message, or the answer to one.
func (l *Ledger) Hear(now time.Time, m Message) {
	for _, x := range m.Teams {
		t := l.teams.At(x.Team)
		if t == nil || m.From == l.region {
			continue
		}
		t.reached[m.From] = max(t.reached[m.From], x.Credited)
		if x.Transfer.Number > t.stored.Credited[m.From] && x.Transfer.Number >= t.coming[m.From].Number {
			t.coming[m.From] = x.Transfer
		}
		if x.Want.IsZero() {
			delete(t.wants, m.From)
		} else {
			t.wants[m.From] = want{x.Want, x.Order, now}
		}
	}
}
