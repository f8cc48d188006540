package quota

import "time"

// exchangeInterval is the minimum time between two messages to the same region.
const exchangeInterval = time.Second

// Message is a message from one region's leader to another's. It may be lost, delayed or repeated.
type Message struct {
	From  string
	Teams []TeamMessage
}

// TeamMessage is the part of a message about one team.
type TeamMessage struct {
	Team     string
	Transfer Transfer // in transit to the receiver of the message; number 0: none
	Credited uint64   // number of the receiver's last transfer that the sender has credited
	Want     Amount   // amount that the sender requests
	Order    Order    // of the first job that the amount is requested for
}

// Due reports whether a message to another region is due: an amount is requested from it or in transit to
// it, and the last message was sent at least exchangeInterval ago.
func (l *Ledger) Due(now time.Time, region string) bool {
	return !now.Before(l.nextExchange[region]) && len(l.Message(region).Teams) > 0
}

// MessageSent records that a message was sent to a region at time now.
func (l *Ledger) MessageSent(now time.Time, region string) {
	l.nextExchange[region] = now.Add(exchangeInterval)
}

// OtherRegions returns all regions but this one, sorted.
func (l *Ledger) OtherRegions() (others []string) {
	for _, region := range l.regions {
		if region != l.region {
			others = append(others, region)
		}
	}
	return others
}

// Message returns the message to send to another region now. It omits teams that have neither a transfer
// nor a request.
func (l *Ledger) Message(region string) Message {
	message := Message{From: l.region}
	for name, team := range l.teams.All() {
		if team.revision == 0 {
			continue
		}
		part := TeamMessage{
			Team:     name,
			Transfer: team.stored.Sent[region],
			Credited: team.stored.Credited[region],
			Want:     l.shortfall(name, team),
			Order:    team.demand.Order,
		}
		if part.Transfer.Number != 0 || !part.Want.IsZero() {
			message.Teams = append(message.Teams, part)
		}
	}
	return message
}

// Reply returns the reply to a message: the current Message to its sender, with acknowledgements for all
// teams that have a transfer in the received message.
func (l *Ledger) Reply(received Message) Message {
	reply := l.Message(received.From)
	included := map[string]bool{}
	for _, part := range reply.Teams {
		included[part.Team] = true
	}
	for _, part := range received.Teams {
		team := l.teams.At(part.Team)
		if team == nil || team.revision == 0 || included[part.Team] || part.Transfer.Number == 0 {
			continue
		}
		reply.Teams = append(reply.Teams, TeamMessage{Team: part.Team, Credited: team.stored.Credited[received.From]})
	}
	return reply
}

// HandleMessage records the transfers, acknowledgements and requests of a message or of a reply. They take
// effect at the next Tick.
func (l *Ledger) HandleMessage(now time.Time, message Message) {
	if message.From == l.region {
		return
	}
	for _, part := range message.Teams {
		if team := l.teams.At(part.Team); team != nil {
			team.handle(now, message.From, part)
		}
	}
}

// handle records the part of another region's message that concerns the team.
func (t *teamAccount) handle(now time.Time, from string, part TeamMessage) {
	t.acknowledged[from] = max(t.acknowledged[from], part.Credited)
	if part.Transfer.Number > t.stored.Credited[from] && part.Transfer.Number >= t.incoming[from].Number {
		t.incoming[from] = part.Transfer
	}
	if part.Want.IsZero() {
		delete(t.requests, from)
	} else {
		t.requests[from] = request{amount: part.Want, order: part.Order, receivedAt: now}
	}
}
