// Package fleet rents machines for demand that finds no room and returns the
// idle ones. It is pure: the demand, the machines and the time go in, actions
// for the cloud come out.
package fleet

import (
	"fmt"
	"math"
	"sort"
	"time"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/placement"
)

// MaxRent is the most machines that one rental request may ask for.
const MaxRent = 50

// CharterPrefix begins the keys of rental intents.
const CharterPrefix = "charter/"

// Options are the fleet's bounds.
type Options struct {
	Idle        time.Duration
	Keep        time.Duration // least time that a machine is kept after its first report
	RefusedWait time.Duration
	BootFactor  float64
	SilentWait  time.Duration
}

// Source is a kind of machine, ordinary or spot.
type Source struct {
	Kind model.Kind
	Spot bool
}

// ChartState is where a rental request stands.
type ChartState int

// The states of a charter.
const (
	Intended ChartState = iota // its record is being stored
	Stored                     // it may be sent, and must be resolved
	Sent                       // an answer is awaited
)

// Charter is one rental request. Its record is stored before it is sent, and
// its name is never used again.
type Charter struct {
	Name  string     `json:"name"`
	Kind  model.Kind `json:"kind"`
	Spot  bool       `json:"spot"`
	Count int        `json:"count"`
	state ChartState
	since time.Time
}

// rented is a machine that has not yet been heard of.
type rented struct {
	source Source
	since  time.Time
	listed bool
}

// Listed is a machine in the cloud's list.
type Listed struct {
	Name            string
	Kind            model.Kind
	Spot            bool
	Booting, Failed bool
	Age             time.Duration
}

// Fleet is the state of renting.
type Fleet struct {
	opt      Options
	token    uint64
	n        int
	charters *model.Table[string, *Charter]
	booting  *model.Table[string, *rented]
	market   market
	leaving  map[string]bool      // a release is under way
	gone     map[string]time.Time // when returned: the list may still show it
	churn    churn
}

// New makes a fleet that names its charters after the token.
func New(opt Options, token uint64) *Fleet {
	return &Fleet{opt: opt, token: token, charters: model.NewTable[string, *Charter](), booting: model.NewTable[string, *rented](),
		market: newMarket(opt.RefusedWait), leaving: map[string]bool{}, gone: map[string]time.Time{}}
}

// SetOptions goes on with other bounds.
func (f *Fleet) SetOptions(opt Options) { f.opt, f.market.wait = opt, opt.RefusedWait }

// Adopt takes over an unresolved charter of an earlier leader.
func (f *Fleet) Adopt(c Charter, now time.Time) {
	c.state, c.since = Stored, now
	f.charters.Put(c.Name, &c)
}

// Action is something to do at the cloud or in the store.
type Action struct {
	Store   *Charter // store the intent
	Rent    *Charter // send the request
	Release []string
}

// to is the one place where a charter's state changes.
func (c *Charter) to(s ChartState, now time.Time) { c.state, c.since = s, now }

// IntentStored takes in whether a charter's record was stored.
func (f *Fleet) IntentStored(name string, ok bool, now time.Time) {
	c := f.charters.At(name)
	if c == nil {
		return
	}
	if !ok {
		f.charters.Drop(name) // never sent
		return
	}
	c.to(Stored, now)
}

// Result is a rental request's outcome.
type Result int

// The outcomes.
const (
	Granted  Result = iota
	Refused         // none to be had
	Unknown         // no answer: to be sent again under the same name
	Rejected        // malformed: never to be sent again
)

func (r Result) String() string {
	return [...]string{"granted", "refused", "unknown", "rejected"}[r]
}

// Rented takes in a request's outcome. It reports whether the charter is
// resolved, so that its record can be removed.
func (f *Fleet) Rented(name string, res Result, names []string, now time.Time) bool {
	c := f.charters.At(name)
	if c == nil {
		return true
	}
	src := Source{c.Kind, c.Spot}
	switch res {
	case Granted:
		for _, m := range names {
			f.booting.Put(m, &rented{source: src, since: now})
		}
		f.market.granted(src, len(names), c.Count, now)
	case Refused:
		f.market.granted(src, 0, c.Count, now)
	case Unknown:
		c.to(Stored, now)
		return false
	}
	f.charters.Drop(name)
	return true
}

// Up takes in that a machine has been heard of.
func (f *Fleet) Up(name string) { f.booting.Drop(name) }

// List takes in a list of the cloud's. Machines that nobody here rented are
// unexpected: they are watched like the others until they report. Absence
// proves nothing, for the list lags.
//
// Guard: presence proves nothing either. Machines that were just returned are
// listed for a while; counted as booting, they kept others from being rented.
func (f *Fleet) List(all []Listed, known *model.Table[string, *placement.Machine], now time.Time) (failed []string) {
	listed := make(map[string]bool, len(all))
	for _, l := range all {
		listed[l.Name] = true
	}
	f.forget(listed, now)
	for _, l := range all {
		if l.Failed {
			if !f.leaving[l.Name] {
				failed = append(failed, l.Name)
			}
			continue
		}
		if known.At(l.Name) != nil || f.leaving[l.Name] || !f.gone[l.Name].IsZero() {
			continue
		}
		r := f.booting.At(l.Name)
		if r == nil {
			r = &rented{source: Source{l.Kind, l.Spot}, since: now.Add(-l.Age)}
			f.booting.Put(l.Name, r)
		}
		r.listed = true
	}
	return failed
}

// Claim marks machines as leaving and returns those that were not yet.
func (f *Fleet) Claim(names []string) []string {
	var out []string
	for _, n := range names {
		if !f.leaving[n] && len(out) < 100 {
			f.leaving[n] = true
			out = append(out, n)
		}
	}
	return out
}

// Released takes in the outcome of a release.
func (f *Fleet) Released(names []string, ok bool, now time.Time) {
	for _, n := range names {
		delete(f.leaving, n)
		if ok {
			f.booting.Drop(n)
			f.gone[n] = now
		}
	}
}

// forget drops the memory of returned machines that no list can show any more.
func (f *Fleet) forget(listed map[string]bool, now time.Time) {
	for name, at := range f.gone {
		if !listed[name] && now.Sub(at) > goneMemory {
			delete(f.gone, name)
		}
	}
}

// goneMemory is far longer than a list can lag.
const goneMemory = 2 * time.Minute

// Booting counts rented machines that have not reported yet.
func (f *Fleet) Booting() int { return f.booting.Len() }

// Tick decides what to rent and what to return.
func (f *Fleet) Tick(now time.Time, needs []placement.Need, machines *model.Table[string, *placement.Machine],
	types map[string]model.MachineType, settled bool) []Action {
	var out []Action
	for _, c := range f.charters.All() {
		if c.state == Stored && (c.since.IsZero() || now.Sub(c.since) >= time.Second) {
			c.to(Sent, now)
			out = append(out, Action{Rent: c})
		}
	}
	if release := f.returns(now, machines, types, settled); len(release) > 0 {
		out = append(out, Action{Release: release})
	}
	if settled {
		f.market.count(machines, f.booting, now)
		out = append(out, f.rent(now, needs, types)...)
	}
	return out
}

// returns names the machines to give back: idle, lost, suspect, or never up.
func (f *Fleet) returns(now time.Time, machines *model.Table[string, *placement.Machine],
	types map[string]model.MachineType, settled bool) []string {
	var names []string
	give := func(name string) {
		if !f.leaving[name] && len(names) < 100 {
			f.leaving[name] = true
			names = append(names, name)
		}
	}
	for name, r := range f.booting.All() {
		boot := types[r.source.Kind.Type].Boot
		if now.Sub(r.since) > time.Duration(f.opt.BootFactor*float64(boot))+10*time.Second {
			give(name)
		}
	}
	for name, m := range machines.All() {
		switch {
		case !m.Silent.IsZero() && now.Sub(m.Silent) > f.opt.SilentWait && (m.Phase == placement.Expired || m.Phase == placement.Joining && !m.Hosted):
			// Guard: a machine that hears nothing reports, and its lease runs out, over and
			// over: counted from the last time, it was kept for ever.
			give(name)
		case !settled || m.Phase != placement.Current || m.Busy():
		case m.Kept(), m.Gathers(now):
		case m.Cordoned, m.Drained():
			give(name)
		case !m.KeepsRoom() && now.Sub(m.Idle) > f.opt.Idle && now.Sub(m.Seen) > f.opt.Keep:
			if !m.Used && !f.leaving[name] {
				f.churn.returned(Source{m.Kind, m.Spot}, now)
			}
			give(name)
		}
	}
	sort.Strings(names)
	return names
}

// rent covers the needs, first by what is booting and then by new machines,
// the cheapest per usable task first.
func (f *Fleet) rent(now time.Time, needs []placement.Need, types map[string]model.MachineType) []Action {
	type bin struct {
		source Source
		room   model.Size
	}
	var bins []*bin
	add := func(s Source) *bin {
		b := &bin{s, types[s.Kind.Type].Size}
		bins = append(bins, b)
		return b
	}
	for name, r := range f.booting.All() {
		// Guard: machines that were rented in a zone which then fell silent
		// stand in nobody's way.
		if !f.leaving[name] && !f.market.silent(r.source.Kind.Zone) &&
			now.Sub(r.since) < 2*types[r.source.Kind.Type].Boot+5*time.Second {
			add(r.source)
		}
	}
	flying := map[Source]int{}
	for _, c := range f.charters.All() {
		flying[Source{c.Kind, c.Spot}] += c.Count
		for range c.Count {
			add(Source{c.Kind, c.Spot})
		}
	}
	order := map[Source]int{}
	var sources []Source
	for _, need := range needs {
		tasks := need.Tasks
		if left := need.Horizon; !need.Whole && need.Estimate > 0 && need.Estimate < left {
			// Short tasks take turns: what is rented runs several of them.
			tasks = int(math.Ceil(float64(tasks) * need.Estimate.Seconds() / left.Seconds()))
		}
		allowed := map[model.Kind]bool{}
		for _, k := range need.Kinds {
			allowed[k] = true
		}
		for _, b := range bins {
			if !allowed[b.source.Kind] || (b.source.Spot && !need.Spot) || (!b.source.Spot && need.SpotOnly) {
				continue
			}
			n := min(tasks, need.Size.Slots(b.room))
			b.room = b.room.Sub(need.Size.Times(n))
			tasks -= n
		}
		zone := ""
		for tasks > 0 {
			src, ok := f.cheapest(need, types, zone, func(s Source) bool { return order[s] < f.market.left(s, flying[s], now) })
			if !ok {
				break
			}
			if need.OneZone {
				zone = src.Kind.Zone
			}
			if order[src] == 0 {
				sources = append(sources, src)
			}
			order[src]++
			b := add(src)
			n := min(tasks, need.Size.Slots(b.room))
			b.room = b.room.Sub(need.Size.Times(n))
			tasks -= n
		}
	}
	var out []Action
	for _, src := range sources {
		f.n++
		c := &Charter{Name: fmt.Sprintf("c-%d-%d", f.token, f.n), Kind: src.Kind, Spot: src.Spot, Count: order[src], since: now}
		f.market.asked(src, now)
		f.churn.rented(src, now)
		f.charters.Put(c.Name, c)
		out = append(out, Action{Store: c})
	}
	return out
}

// cheapest picks the source with the lowest price per task that it holds, in
// one zone only if it is named. Small remainders count: a machine is only worth
// what the need can use.
func (f *Fleet) cheapest(need placement.Need, types map[string]model.MachineType, zone string,
	has func(Source) bool) (Source, bool) {
	var best Source
	bestCost, found := math.Inf(1), false
	for _, k := range need.Kinds {
		t := types[k.Type]
		slots := need.Size.Slots(t.Size)
		if slots == 0 || (zone != "" && k.Zone != zone) {
			continue
		}
		for _, spot := range []bool{false, true} {
			src, price := Source{k, spot}, t.Price
			if spot {
				price = t.SpotPrice
			}
			if spot && (!need.Spot || price <= 0) || !spot && need.SpotOnly || !has(src) {
				continue
			}
			if cost := price / float64(min(slots, need.Tasks)); cost < bestCost {
				best, bestCost, found = src, cost, true
			}
		}
	}
	return best, found
}

// Rentable tells whether the cloud may be asked for more machines of a kind, as far as is
// known.
func (f *Fleet) Rentable(kind model.Kind, spot bool, now time.Time) bool {
	src, flying := Source{kind, spot}, 0
	for _, c := range f.charters.All() {
		if c.Kind == kind && c.Spot == spot {
			flying += c.Count
		}
	}
	return f.market.left(src, flying, now) > 0
}

// Refused tells until when no more machines of a kind are asked for, since the cloud gave
// less than it was asked for or the kind's zone is silent.
func (f *Fleet) Refused(kind model.Kind, spot bool, now time.Time) (until time.Time, refused bool) {
	at := f.market.refused[Source{kind, spot}].at
	if dark, ok := f.market.dark[kind.Zone]; ok && dark.After(at) {
		at = dark
	}
	until = at.Add(f.opt.RefusedWait)
	return until, !at.IsZero() && now.Before(until) && !f.Rentable(kind, spot, now)
}

// Coming counts the machines of a kind that were rented and have not reported, and tells
// when the first of them is due by its usual boot time.
func (f *Fleet) Coming(kind model.Kind, types map[string]model.MachineType) (n int, due time.Time) {
	for _, r := range f.booting.All() {
		if r.source.Kind != kind {
			continue
		}
		n++
		if at := r.since.Add(types[kind.Type].Boot); due.IsZero() || at.Before(due) {
			due = at
		}
	}
	return n, due
}
