package controller

import (
	"context"
	"encoding/json"
	"net/url"
	"time"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/quota"
	"github.com/marlwood/marlwood/internal/quota/quotapb"
	"github.com/marlwood/marlwood/internal/store"
)

// quotaPrefix is the prefix of the keys of the teams' quota accounts in a region's state service, one key per team.
const quotaPrefix = "quota/"

func quotaKey(team string) string { return quotaPrefix + url.PathEscape(team) }

// RegionPeer is a connection to a controller of another region.
type RegionPeer interface {
	Exchange(ctx context.Context, m quota.Message) (quota.Message, error)
	Close() error
}

// quotaInterval is how often a leader checks which teams need more of their limits.
const quotaInterval = 500 * time.Millisecond

// quotaExchange is a leader's state of the teams' limits that its region shares with other regions. It is only used
// on the loop.
type quotaExchange struct {
	ledger       *quota.Ledger
	links        map[string]*regionLink // by region
	reading      bool                   // accounts are being read
	nextExchange time.Time
	limits       map[string]model.Size // by team, as last passed to the scheduler
}

// regionLink is the connection to another region. It tries the region's controllers in turn until it reaches the
// leader.
type regionLink struct {
	addrs    []string
	current  int        // index of the address in use
	peer     RegionPeer // nil: not connected
	inFlight bool       // a message waits for its answer
}

// newQuotaExchange sets up a term's exchange of limits with other regions. It returns nil if there is only one region.
// No task of a team with a limit may start until the accounts are read.
func newQuotaExchange(t *leaderTerm, now time.Time) *quotaExchange {
	others, err := t.ctrl.fileSettings.OtherRegions()
	if err != nil || len(others) == 0 { // no error is expected: the settings were validated before
		return nil
	}
	exchange := &quotaExchange{links: map[string]*regionLink{}, limits: map[string]model.Size{}}
	names, limits := []string{t.ctrl.fileSettings.Regions.Name}, map[string]quota.Amount{}
	for _, region := range others {
		names = append(names, region.Name)
		exchange.links[region.Name] = &regionLink{addrs: region.Addrs}
	}
	for name, team := range t.ctrl.cfg.Teams {
		if limit := quota.AmountOf(team.Limit); !limit.IsZero() {
			limits[name] = limit
		}
	}
	exchange.ledger = quota.New(t.ctrl.fileSettings.Regions.Name, names, limits)
	t.setLimits(now, exchange)
	return exchange
}

// close closes the connections; q may be nil.
func (q *quotaExchange) close() {
	if q == nil {
		return
	}
	for _, link := range q.links {
		if link.peer != nil {
			_ = link.peer.Close()
		}
	}
}

// zeroLimit is a limit that allows no usage; the value 0 means that there is no limit.
const zeroLimit = 1e-9

// limitSize converts a part of a limit to the unit of tasks' sizes. Resources without a limit stay without one.
func limitSize(whole model.Size, part quota.Amount) model.Size {
	size := part.Size()
	if whole.CPUs > 0 {
		size.CPUs = max(size.CPUs, zeroLimit)
	}
	if whole.GPUs > 0 {
		size.GPUs = max(size.GPUs, zeroLimit)
	}
	return size
}

// changedLimits returns the limits in this region that differ from those that the scheduler knows, and records that
// the scheduler knows them.
func (q *quotaExchange) changedLimits(teams map[string]model.Team) map[string]model.Size {
	changed := map[string]model.Size{}
	for name, part := range q.ledger.Limits() {
		size := limitSize(teams[name].Limit, part)
		if old, known := q.limits[name]; !known || old != size {
			changed[name], q.limits[name] = size, size
		}
	}
	return changed
}

// setLimits passes the teams' limits in this region to the scheduler, if they have changed.
func (t *leaderTerm) setLimits(now time.Time, exchange *quotaExchange) {
	if changed := exchange.changedLimits(t.ctrl.cfg.Teams); len(changed) > 0 {
		t.scheduler.SetLimits(now, changed)
	}
}

// exchangeQuotas reads and writes quota accounts and sends messages to other regions when they are due, on the loop.
func (t *leaderTerm) exchangeQuotas(now time.Time) {
	exchange := t.quotas
	if exchange == nil || now.Before(exchange.nextExchange) {
		return
	}
	exchange.nextExchange = now.Add(quotaInterval)
	t.readQuotas(exchange)
	if demands, known := t.quotaDemands(); known {
		// Guard: an amount that is taken out of an allocation must be taken out of the scheduler's limit before
		// any other task starts. So demand, decision and limit must be of the same moment.
		writes := exchange.ledger.Tick(now, demands)
		t.setLimits(now, exchange)
		for _, write := range writes {
			t.writeQuota(exchange, write)
		}
	}
	for _, region := range exchange.ledger.OtherRegions() {
		if link := exchange.links[region]; !link.inFlight && exchange.ledger.Due(now, region) {
			exchange.ledger.MessageSent(now, region)
			t.sendQuotaMessage(exchange, link, exchange.ledger.Message(region))
		}
	}
}

// quotaDemands returns what the teams use and wait for at this moment. known is false while that is uncertain.
func (t *leaderTerm) quotaDemands() (demands map[string]quota.Demand, known bool) {
	teams, known := t.scheduler.Demands()
	demands = make(map[string]quota.Demand, len(teams))
	for name, demand := range teams {
		demands[name] = quota.Demand{Used: demand.Used, Waiting: demand.Waiting, Order: quota.Order{Rank: demand.Rank, Since: demand.Since.UnixMilli()}}
	}
	return demands, known
}

// readQuotas reads the accounts whose stored contents are uncertain.
func (t *leaderTerm) readQuotas(exchange *quotaExchange) {
	names := exchange.ledger.TeamsToRead()
	if exchange.reading || len(names) == 0 {
		return
	}
	exchange.reading = true
	t.ctrl.env.Go(func() {
		items, _, err := t.ctrl.store.List(t.ctx, quotaPrefix)
		t.ctrl.post(func() {
			exchange.reading = false
			if err != nil || t.ctx.Err() != nil {
				return
			}
			found := make(map[string]store.Item, len(items))
			for _, item := range items {
				found[item.Key] = item
			}
			now := t.ctrl.env.Now()
			for _, name := range names {
				t.readQuota(exchange, name, found[quotaKey(name)])
			}
			t.setLimits(now, exchange)
			exchange.nextExchange = now
		})
	})
}

// readQuota passes a team's account to the ledger as it was read.
func (t *leaderTerm) readQuota(exchange *quotaExchange, name string, item store.Item) {
	var account quota.Account
	if item.Revision != 0 {
		if err := json.Unmarshal(item.Value, &account); err != nil {
			t.ctrl.log.Error("quota account is invalid", "key", item.Key, "err", err) // no task of the team may start
			return
		}
	}
	exchange.ledger.RecordRead(name, account, item.Revision)
}

// writeQuota writes an account, with its revision and the fencing token as preconditions.
func (t *leaderTerm) writeQuota(exchange *quotaExchange, write quota.Write) {
	key := quotaKey(write.Team)
	txn := t.newTxn(store.Put(key, write.Account))
	txn.Preconditions = append(txn.Preconditions, store.Precondition{Key: key, Revision: write.Revision})
	t.ctrl.env.Go(func() {
		result, err := t.commit(txn)
		t.ctrl.post(func() {
			if t.ctx.Err() != nil {
				return
			}
			now, outcome := t.ctrl.env.Now(), quota.Stored
			switch {
			case err != nil:
				outcome = quota.Unknown
			case !result.Succeeded():
				outcome = quota.Refused
			}
			exchange.ledger.WriteDone(write.Team, outcome, result.Revision)
			t.setLimits(now, exchange)
			exchange.nextExchange = now
		})
	})
}

// sendQuotaMessage sends a message to another region.
func (t *leaderTerm) sendQuotaMessage(exchange *quotaExchange, link *regionLink, message quota.Message) {
	if err := link.connect(t.ctrl.env); err != nil {
		t.ctrl.log.Error("failed to dial a controller of another region", "addr", link.addrs[link.current], "err", err)
		return
	}
	link.inFlight = true
	peer := link.peer
	t.ctrl.env.Go(func() {
		answer, err := peer.Exchange(t.ctx, message)
		t.ctrl.post(func() {
			link.inFlight = false
			if t.ctx.Err() != nil {
				return
			}
			now := t.ctrl.env.Now()
			if err != nil { // the controller is unreachable, or not the leader
				link.tryNext()
				return
			}
			exchange.ledger.HandleMessage(now, answer)
			exchange.nextExchange = now
		})
	})
}

// connect dials the current address unless there is a connection.
func (l *regionLink) connect(env Environment) error {
	if l.peer != nil {
		return nil
	}
	peer, err := env.DialRegion(l.addrs[l.current])
	if err == nil {
		l.peer = peer
	}
	return err
}

// tryNext closes the connection, so that the next message goes to the region's next controller.
func (l *regionLink) tryNext() {
	_ = l.peer.Close()
	l.peer, l.current = nil, (l.current+1)%len(l.addrs)
}

// HandleRegionMessage answers a message of another region's leader, on the loop. It returns false if this controller is
// not the leader or shares no limits.
func (c *Controller) HandleRegionMessage(now time.Time, message quota.Message) (quota.Message, bool) {
	if c.term == nil || c.term.quotas == nil || !c.elector.HoldsLease(now) {
		return quota.Message{}, false
	}
	exchange := c.term.quotas
	exchange.ledger.HandleMessage(now, message)
	exchange.nextExchange = now
	return exchange.ledger.Reply(message), true
}

// serveRegion answers a message of another region; nil if HandleRegionMessage returns false or the controller stops.
// It runs on gRPC's goroutines.
func (c *Controller) serveRegion(message *quotapb.Message) *quotapb.Message {
	answers := make(chan *quotapb.Message, 1)
	c.post(func() {
		answer, leads := c.HandleRegionMessage(c.env.Now(), quota.MessageFromProto(message))
		if !leads {
			answers <- nil
			return
		}
		answers <- answer.ToProto()
	})
	select {
	case answer := <-answers:
		return answer
	case <-c.ctx.Done():
		return nil
	}
}
