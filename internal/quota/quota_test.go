package quota

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/marlwood/marlwood/internal/model"
)

var regions = []string{"north", "south", "west"}

func at(seconds float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

func cpus(n float64) model.Size { return model.Size{CPUs: n} }

// The initial allocations of all regions add up to the limit.
func TestInitialAllocation(t *testing.T) {
	for _, limit := range []Amount{{}, {1, 0}, {2, 5}, {1000, 0}, {64_001, 7}} {
		sum := Amount{}
		for _, r := range regions {
			sum = sum.Add(initialAllocation(limit, regions, r))
		}
		if sum != limit {
			t.Errorf("the initial allocations of %v add up to %v", limit, sum)
		}
	}
}

// record is the stored record of the only team in a region.
type record struct {
	account  Account
	revision uint64
	token    uint64 // fencing token of the current leader
}

// sentWrite is a write that may still be executed.
type sentWrite struct {
	region string
	write  Write
	token  uint64
}

// sentMessage is a message in transit.
type sentMessage struct {
	to      string
	message Message
}

// cluster is three regions with one team. Their leaders exchange messages that may be lost, delayed and
// repeated, and their writes may be executed late.
type cluster struct {
	t          *rapid.T
	limit      Amount
	records    map[string]*record
	ledgers    map[string]*Ledger
	used       map[string]float64 // CPUs of the running tasks, which continue across changes of leader
	waiting    map[string]float64
	messages   []sentMessage
	lateWrites []sentWrite
	now        float64
}

// theTeam is the only team of these tests.
const theTeam = "t"

func newCluster(t *rapid.T) *cluster {
	c := &cluster{
		t:       t,
		limit:   Amount{CPUs: rapid.Int64Range(1, 64).Draw(t, "limit") * 500},
		records: map[string]*record{},
		ledgers: map[string]*Ledger{},
		used:    map[string]float64{},
		waiting: map[string]float64{},
	}
	for _, region := range regions {
		c.records[region] = &record{}
		c.electLeader(region)
	}
	return c
}

// electLeader starts the term of a new leader in a region.
func (c *cluster) electLeader(region string) {
	c.records[region].token++
	c.ledgers[region] = New(region, regions, map[string]Amount{theTeam: c.limit})
}

// execute executes a write if its preconditions hold.
func (c *cluster) execute(sent sentWrite) Outcome {
	rec := c.records[sent.region]
	if rec.token != sent.token || rec.revision != sent.write.Revision {
		return Refused
	}
	rec.account, rec.revision = sent.write.Account, rec.revision+1
	return Stored
}

// demand returns the current demand of a region.
func (c *cluster) demand(region string) map[string]Demand {
	return map[string]Demand{theTeam: {
		Used:    cpus(c.used[region]),
		Waiting: cpus(c.waiting[region]),
		Order:   Order{Rank: 1, Since: int64(len(region))},
	}}
}

// tick runs a region's leader once. The outcomes of its writes are drawn at random.
func (c *cluster) tick(region string) {
	l, rec := c.ledgers[region], c.records[region]
	for _, name := range l.TeamsToRead() {
		if rapid.IntRange(0, 3).Draw(c.t, "read") > 0 {
			l.RecordRead(name, rec.account.clone(), rec.revision)
		}
	}
	for _, w := range l.Tick(at(c.now), c.demand(region)) {
		sent := sentWrite{region, w, rec.token}
		switch rapid.IntRange(0, 5).Draw(c.t, "outcome") {
		case 0: // executed late, or never
			c.lateWrites = append(c.lateWrites, sent)
			l.WriteDone(w.Team, Unknown, 0)
		case 1: // executed, but the answer is lost
			c.execute(sent)
			l.WriteDone(w.Team, Unknown, 0)
		default:
			l.WriteDone(w.Team, c.execute(sent), rec.revision)
		}
	}
	for _, other := range l.OtherRegions() {
		if l.Due(at(c.now), other) {
			l.MessageSent(at(c.now), other)
			c.messages = append(c.messages, sentMessage{other, l.Message(other)})
		}
	}
}

// deliver takes a message in transit and loses it, delivers it, or delivers it and keeps it so that it is
// repeated.
func (c *cluster) deliver() {
	if len(c.messages) == 0 {
		return
	}
	i := rapid.IntRange(0, len(c.messages)-1).Draw(c.t, "message")
	sent := c.messages[i]
	delivery := rapid.IntRange(0, 4).Draw(c.t, "delivery")
	if delivery > 0 {
		receiver := c.ledgers[sent.to]
		receiver.HandleMessage(at(c.now), sent.message)
		c.messages = append(c.messages, sentMessage{sent.message.From, receiver.Reply(sent.message)})
	}
	if delivery < 4 || len(c.messages) > 20 {
		c.messages = slices.Delete(c.messages, i, i+1)
	}
}

// check fails the test if allocations and transfers in transit do not add up to the limit, or if more is used
// than allocated.
func (c *cluster) check(event string) {
	sum, used := Amount{}, 0.0
	for _, region := range regions {
		rec := c.records[region]
		allocation := rec.account.Allocation
		if rec.revision == 0 {
			allocation = initialAllocation(c.limit, regions, region)
		}
		sum = sum.Add(allocation)
		for to, transfer := range rec.account.Sent {
			if transfer.Number > c.records[to].account.Credited[region] {
				sum = sum.Add(transfer.Amount)
			}
		}
		used += c.used[region]
		if !roundedUp(cpus(c.used[region])).Within(allocation) {
			c.t.Fatalf("after %s: %s uses %g CPUs, its allocation is %v", event, region, c.used[region], allocation)
		}
	}
	if sum != c.limit {
		c.t.Fatalf("after %s: %v is allocated and in transit, the limit is %v", event, sum, c.limit)
	}
	if !roundedUp(cpus(used)).Within(c.limit) {
		c.t.Fatalf("after %s: %g CPUs are used, the limit is %v", event, used, c.limit)
	}
}

// Allocations and transfers in transit add up to the limit and no region uses more than its allocation, even
// if messages and writes are lost, delayed or repeated and leaders change.
func TestLimitInvariantUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t)
		for range rapid.IntRange(50, 300).Draw(t, "steps") {
			region := regions[rapid.IntRange(0, 2).Draw(t, "region")]
			event := ""
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1, 2, 3:
				event = "a tick of " + region
				c.tick(region)
			case 4, 5:
				event = "a message"
				c.deliver()
			case 6:
				event = "starts in " + region
				free := c.ledgers[region].Limit(theTeam).Sub(roundedUp(cpus(c.used[region])))
				if n := min(rapid.Int64Range(0, 16).Draw(t, "starts"), free.CPUs/500); n > 0 {
					c.used[region] += float64(n) / 2
					c.waiting[region] = max(0, c.waiting[region]-float64(n)/2)
				}
			case 7:
				event = "ends and arrivals in " + region
				c.used[region] -= float64(rapid.IntRange(0, int(c.used[region]*2)).Draw(t, "ends")) / 2
				c.waiting[region] = float64(rapid.IntRange(0, 32).Draw(t, "waits")) / 2
			case 8:
				event = "a late write"
				if len(c.lateWrites) > 0 {
					i := rapid.IntRange(0, len(c.lateWrites)-1).Draw(t, "late")
					c.execute(c.lateWrites[i])
					c.lateWrites = slices.Delete(c.lateWrites, i, i+1)
				}
			case 9:
				if rapid.IntRange(0, 3).Draw(t, "ends") == 0 {
					event = "a next leader in " + region
					c.electLeader(region)
				}
			}
			c.now += 0.4
			c.check(event)
		}
	})
}

// runWithoutFaults runs ticks and exchanges messages without faults.
func (c *cluster) runWithoutFaults(seconds float64) {
	for until := c.now + seconds; c.now < until; c.now += 0.5 {
		for _, region := range regions {
			l, rec := c.ledgers[region], c.records[region]
			for _, name := range l.TeamsToRead() {
				l.RecordRead(name, rec.account.clone(), rec.revision)
			}
			for _, w := range l.Tick(at(c.now), c.demand(region)) {
				l.WriteDone(w.Team, c.execute(sentWrite{region, w, rec.token}), rec.revision)
			}
			for _, other := range l.OtherRegions() {
				if l.Due(at(c.now), other) {
					l.MessageSent(at(c.now), other)
					message := l.Message(other)
					c.ledgers[other].HandleMessage(at(c.now), message)
					l.HandleMessage(at(c.now), c.ledgers[other].Reply(message))
				}
			}
		}
	}
}

// After any history of faults, the whole limit becomes usable in the region where tasks wait within ten
// seconds without faults, and then no more messages are due.
func TestLimitMovesToWaitingRegion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t)
		for range rapid.IntRange(0, 120).Draw(t, "steps") {
			region := regions[rapid.IntRange(0, 2).Draw(t, "region")]
			c.waiting[region] = float64(rapid.IntRange(0, 32).Draw(t, "waits")) / 2
			if rapid.Bool().Draw(t, "tick") {
				c.tick(region)
			} else {
				c.deliver()
			}
			c.now += 0.4
		}
		where := regions[rapid.IntRange(0, 2).Draw(t, "where")]
		for _, region := range regions {
			c.waiting[region], c.lateWrites = 0, nil
		}
		c.waiting[where] = float64(c.limit.CPUs)
		c.runWithoutFaults(10)
		if got := c.ledgers[where].Limit(theTeam); got != c.limit {
			t.Fatalf("%s may use %v of the limit %v", where, got, c.limit)
		}
		for _, region := range regions {
			l := c.ledgers[region]
			for _, other := range l.OtherRegions() {
				if message := l.Message(other); len(message.Teams) > 0 {
					t.Fatalf("%s still sends a message to %s: %+v", region, other, message)
				}
			}
		}
		c.check("the run without faults")
	})
}

// Two regions that gather allocation for gangs of the same team do not starve each other: the region that
// comes first in the common order gets the whole limit, and after it the other.
func TestCompetingRegionsGatherInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t)
		whole := float64(c.limit.CPUs) / unitsPerResource
		c.runWithoutFaults(3)
		first, second := regions[1], regions[2] // "west" comes first: the shorter name has the earlier Since
		if len(second) < len(first) {
			first, second = second, first
		}
		c.waiting[first], c.waiting[second] = whole, whole
		c.runWithoutFaults(10)
		if got := c.ledgers[first].Limit(theTeam); got != c.limit {
			t.Fatalf("%s gathered %v of the limit %v", first, got, c.limit)
		}
		c.used[first], c.waiting[first] = whole, 0
		c.runWithoutFaults(5)
		c.used[first] = 0
		c.runWithoutFaults(10)
		if got := c.ledgers[second].Limit(theTeam); got != c.limit {
			t.Fatalf("after the first region was done, %s gathered %v of the limit %v", second, got, c.limit)
		}
	})
}

// While a write is pending or its outcome is unknown, a region may use only the minimum of the allocations
// before and after it. A write that may still be executed is sent again unchanged.
func TestLimitDuringPendingWrite(t *testing.T) {
	initial := Account{Allocation: Amount{CPUs: 10_000}, Credited: map[string]uint64{"south": 4}}
	want := Message{From: "west", Teams: []TeamMessage{{Team: theTeam, Want: Amount{CPUs: 6000}, Order: Order{Rank: 1}}}}
	give := Message{From: "south", Teams: []TeamMessage{{Team: theTeam, Transfer: Transfer{5, Amount{CPUs: 3000}}}}}
	for _, c := range []struct {
		name     string
		message  Message
		used     float64
		outcome  Outcome
		read     Account
		revision uint64
		limit    [2]int64 // while the write is pending, and after the record was read
		again    bool     // the write is sent again
	}{
		{"a debit, stored", want, 0, Stored, Account{}, 0, [2]int64{4000, 4000}, false},
		{"a debit of the idle allocation", want, 9.5, Stored, Account{}, 0, [2]int64{9500, 9500}, false},
		{"a debit with unknown outcome, not executed yet", want, 0, Unknown, initial, 7, [2]int64{4000, 4000}, true},
		{"a debit with unknown outcome, executed", want, 0, Unknown,
			Account{Allocation: Amount{CPUs: 4000}, Last: map[string]uint64{"west": 1}, Sent: map[string]Transfer{"west": {1, Amount{CPUs: 6000}}}}, 8,
			[2]int64{4000, 4000}, false},
		{"a credit, stored", give, 0, Stored, Account{}, 0, [2]int64{10_000, 13_000}, false},
		{"a credit with unknown outcome", give, 0, Unknown, initial, 7, [2]int64{10_000, 10_000}, true},
		{"a transfer that was credited before", Message{From: "south", Teams: []TeamMessage{{Team: theTeam, Transfer: Transfer{4, Amount{CPUs: 3000}}}}},
			0, Stored, Account{}, 0, [2]int64{10_000, 10_000}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := New("north", regions, map[string]Amount{theTeam: {CPUs: 30_000}})
			if l.Limit(theTeam) != (Amount{}) {
				t.Error("the limit is not zero before the record is read")
			}
			l.RecordRead(theTeam, initial.clone(), 7)
			l.HandleMessage(at(0), c.message)
			demand := map[string]Demand{theTeam: {Used: cpus(c.used)}}
			writes := l.Tick(at(0), demand)
			if got := l.Limit(theTeam).CPUs; got != c.limit[0] {
				t.Errorf("the limit is %d while the write is pending, want %d", got, c.limit[0])
			}
			for _, w := range writes {
				l.WriteDone(w.Team, c.outcome, 8)
			}
			for _, name := range l.TeamsToRead() {
				l.RecordRead(name, c.read, c.revision)
			}
			if got := l.Limit(theTeam).CPUs; got != c.limit[1] {
				t.Errorf("the limit is %d after the outcome, want %d", got, c.limit[1])
			}
			again := l.Tick(at(0.1), demand)
			if (len(again) > 0) != c.again || c.again && fmt.Sprint(again) != fmt.Sprint(writes) {
				t.Errorf("the next tick writes %v, the first wrote %v", again, writes)
			}
		})
	}
}

// A partitioned region keeps its allocation, however long the partition lasts.
func TestPartitionedRegionKeepsAllocation(t *testing.T) {
	l := New("north", regions, map[string]Amount{theTeam: {CPUs: 30_000}})
	l.RecordRead(theTeam, Account{Allocation: Amount{CPUs: 10_000}, Last: map[string]uint64{"west": 1},
		Sent: map[string]Transfer{"west": {1, Amount{CPUs: 6000}}}}, 7)
	for seconds := 0.0; seconds < 3600; seconds += 0.5 {
		if w := l.Tick(at(seconds), map[string]Demand{theTeam: {Used: cpus(10), Waiting: cpus(20)}}); len(w) > 0 {
			t.Fatalf("after %v s the partitioned region writes %v", seconds, w)
		}
	}
	if l.Limit(theTeam) != (Amount{CPUs: 10_000}) || !l.Due(at(3600), "west") {
		t.Errorf("after an hour the limit is %v, and a message to west is due: %v", l.Limit(theTeam), l.Due(at(3600), "west"))
	}
}
