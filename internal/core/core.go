// Package core is what a leader decides with: the book, the graph of waiting jobs
// and the fleet, as one machine that takes events in. It is pure: an event and its
// moment go in, orders and actions come out, and the same events lead to the same
// decisions. So a recording of the events is a recording of everything: package
// replay plays it again.
package core

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/marlwood/marlwood/internal/fleet"
	"github.com/marlwood/marlwood/internal/hosts"
	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/peers/peerspb"
	"github.com/marlwood/marlwood/internal/pipelines"
	"github.com/marlwood/marlwood/internal/placement"
	"github.com/marlwood/marlwood/internal/record"
	"github.com/marlwood/marlwood/internal/record/recordpb"
	"github.com/marlwood/marlwood/internal/settings"
	"github.com/marlwood/marlwood/internal/shares"
)

// Version is the form of states and events that this program writes. It reads the
// same form only: what was decided by other code cannot be decided again.
const Version = 1

// Config is what holds for a whole term.
type Config struct {
	Placement placement.Options
	Fleet     fleet.Options
	Teams     map[string]model.Team
	Errors    int           // failures of tasks that make a machine suspect
	Unheard   time.Duration // a machine not heard of for longer may be missing
	Greeted   time.Duration // the same for a new leader's machines, all of which are called; 0: as Unheard
	Settings  Settings      // all that was in force, for whoever reads a recording
}

// Settings are the platform's and the operators'.
type Settings struct {
	Platform *settings.Platform
	Operator *settings.Operator
}

// Program is the version of marlwood.
const Program = "0.5.0"

// Identity says whose decisions these are.
type Identity struct {
	Member string
	Boot   string
	Token  uint64
}

// Tap takes a recording in.
type Tap interface {
	// Begin begins a stream, named by record.StreamName.
	Begin(stream string)
	// Wants tells whether frames are wanted, and whether a state must come first.
	Wants() (frames, state bool)
	// Take takes a frame, whose number it gives out itself.
	Take(f *recordpb.Frame)
}

// Core is the decisions of one term. It is not safe for concurrent use.
type Core struct {
	cfg    Config
	id     Identity
	began  time.Time // by the steady clock
	origin time.Time // the same moment for the slices: one clock that never jumps
	log    *slog.Logger
	source *rand.PCG
	tap    Tap

	book  *placement.Book
	graph *pipelines.Graph
	fleet *fleet.Fleet
	types map[string]model.MachineType
	saves map[uint64]*placement.Save // under way

	decided *recordpb.Decided // by the event under way; nil: nobody asks
	hash    uint64            // chained over the decisions since the last state told
}

// New makes the core of a term that begins now. Tap may be nil.
func New(cfg Config, id Identity, types map[string]model.MachineType, seed [2]uint64, now, wall time.Time,
	tap Tap, log *slog.Logger) *Core {
	c := &Core{cfg: cfg, id: id, began: now, origin: time.Unix(0, wall.UnixNano()).UTC(), log: log, tap: tap, types: types,
		source: rand.NewPCG(seed[0], seed[1]), saves: map[uint64]*placement.Save{}}
	c.book = placement.NewBook(c.options(), id.Token, cfg.Teams, types)
	c.graph = pipelines.New(log)
	c.fleet = fleet.New(cfg.Fleet, id.Token)
	if tap != nil {
		tap.Begin(record.StreamName(id.Token, id.Member, id.Boot))
	}
	return c
}

// options are the book's, with what cannot be stored.
func (c *Core) options() placement.Options {
	opt := c.cfg.Placement
	opt.Rand, opt.Log = rand.New(c.source), c.log
	opt.Gave = func(o *peerspb.Order) {
		if c.decided != nil {
			c.decided.Orders = append(c.decided.Orders, o)
		}
	}
	return opt
}

// at is a moment of the steady clock as the slices know it.
func (c *Core) at(now time.Time) time.Time { return c.origin.Add(now.Sub(c.began)) }

// event makes an event of now; step fills in what it is.
func (c *Core) event(now time.Time) *recordpb.Event {
	return &recordpb.Event{AtNs: int64(now.Sub(c.began))}
}

// outcome is what an event brings to the edge; each kind of event has its own part.
type outcome struct {
	wants   []*peerspb.Want
	placed  int
	ok      bool
	names   []string
	stamps  map[string]uint64
	saves   []*placement.Save
	moves   []pipelines.Action
	actions []fleet.Action
	summary placement.Summary
	usage   *shares.Ledger
	mark    shares.Mark
}

// step takes an event in, and tells the recording of it.
func (c *Core) step(e *recordpb.Event) outcome {
	if c.tap == nil {
		return c.apply(e)
	}
	frames, state := c.tap.Wants()
	if state {
		if err := c.tellState(e.AtNs); err != nil {
			c.log.Error("recording", "err", err)
			frames = false
		}
	}
	if !frames {
		return c.apply(e)
	}
	out, decided := c.decideOn(e)
	c.tap.Take(&recordpb.Frame{What: &recordpb.Frame_Event{Event: e}, Decided: decided, Hash: c.hash})
	return out
}

// Decide takes a recorded event in and returns what it led to.
func (c *Core) Decide(e *recordpb.Event) *recordpb.Decided {
	_, decided := c.decideOn(e)
	return decided
}

// decideOn takes an event in and notes what it led to.
func (c *Core) decideOn(e *recordpb.Event) (outcome, *recordpb.Decided) {
	c.decided = &recordpb.Decided{}
	out := c.apply(e)
	d := c.decided
	c.decided = nil
	c.note(d, out)
	c.hash = chain(c.hash, d)
	return out, d
}

// Hash is chained over the decisions since the last state.
func (c *Core) Hash() uint64 { return c.hash }

// Chain goes on with a hash, after a state in the middle of a recording was read.
func (c *Core) Chain(hash uint64) { c.hash = hash }

// chain adds decisions to a running hash.
func chain(hash uint64, d *recordpb.Decided) uint64 {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(d)
	if err != nil {
		return 0
	}
	var h xxhash.Digest
	h.ResetWithSeed(hash)
	_, _ = h.Write(b)
	return h.Sum64()
}

// note adds to the decisions what the outcome holds beside orders.
func (c *Core) note(d *recordpb.Decided, out outcome) {
	for _, a := range out.actions {
		switch {
		case a.Store != nil:
			d.Rentals = append(d.Rentals, rental(a.Store, false))
		case a.Rent != nil:
			d.Rentals = append(d.Rentals, rental(a.Rent, true))
		default:
			d.Returns = append(d.Returns, a.Release...)
		}
	}
	for _, s := range out.saves {
		if s.Over != nil {
			d.Finished = append(d.Finished, s.ID)
		} else {
			d.Saves = append(d.Saves, s.ID)
		}
	}
	for _, m := range out.moves {
		d.Moves = append(d.Moves, &recordpb.Move{Op: uint32(m.Op), Job: m.ID})
	}
	if len(out.wants) > 0 {
		h := xxhash.New()
		for _, w := range out.wants {
			b, err := proto.MarshalOptions{Deterministic: true}.Marshal(w)
			if err == nil {
				_, _ = h.Write(b)
			}
		}
		d.Wants = h.Sum64()
	}
}

func rental(ch *fleet.Charter, sent bool) *recordpb.Rental {
	return &recordpb.Rental{Charter: ch.Name, Type: ch.Kind.Type, Zone: ch.Kind.Zone, Spot: ch.Spot, Count: uint32(ch.Count), Sent: sent}
}

// apply is the one place where events change anything.
func (c *Core) apply(e *recordpb.Event) (out outcome) {
	now := c.origin.Add(time.Duration(e.AtNs))
	switch x := e.What.(type) {
	case *recordpb.Event_Types:
		c.applyTypes(x.Types)
	case *recordpb.Event_Renewed:
		c.id.Token = x.Renewed.Token
		c.book.Renewed(x.Renewed.Token, now)
	case *recordpb.Event_Owners:
		c.applyOwners(x.Owners)
	case *recordpb.Event_Limits:
		c.applyLimits(x.Limits)
	case *recordpb.Event_Config:
		c.applyConfig(x.Config.Json)
	case *recordpb.Event_Drains:
		c.applyDrains(now, x.Drains.Items)
	case *recordpb.Event_Loaded:
		c.applyLoaded(now, x.Loaded)
	case *recordpb.Event_Changed:
		c.applyChanged(now, x.Changed)
	case *recordpb.Event_Answer:
		c.applyAnswer(now, x.Answer)
	case *recordpb.Event_Expire:
		out.names = c.book.Expire(c.origin.Add(time.Duration(x.Expire.CheckedNs)), now)
		c.decide(func(d *recordpb.Decided) { d.Expired = out.names })
	case *recordpb.Event_Ask:
		out.wants = c.book.Wants(now)
	case *recordpb.Event_Place:
		out.ok = !c.book.Complete() && c.book.Settle()
		c.decide(func(d *recordpb.Decided) { d.Complete = out.ok })
		out.placed = c.book.Place(now, x.Place.Samples)
		c.book.Preempt(now)
	case *recordpb.Event_Saves:
		out.saves = c.book.Saves(now, time.Second, int(x.Saves.MaxParts))
		for _, s := range out.saves {
			c.saves[s.Number] = s
		}
	case *recordpb.Event_SaveDone:
		c.applySaveDone(now, x.SaveDone)
	case *recordpb.Event_HostsStored:
		for _, name := range x.HostsStored.Names {
			c.book.HostStored(name, x.HostsStored.Stamp)
		}
	case *recordpb.Event_HostsExpired:
		out.stamps = c.book.ExpiredHosts(int(x.HostsExpired.Most))
		c.decide(func(d *recordpb.Decided) { d.DroppedHosts = sortedKeys(out.stamps) })
	case *recordpb.Event_HostsDropped:
		for i, name := range x.HostsDropped.Names {
			c.book.HostDropped(name, x.HostsDropped.Stamps[i])
		}
	case *recordpb.Event_Plan:
		out.actions = c.applyPlan(now)
	case *recordpb.Event_CharterStored:
		c.fleet.IntentStored(x.CharterStored.Name, x.CharterStored.Ok, now)
	case *recordpb.Event_Rented:
		out.ok = c.fleet.Rented(x.Rented.Charter, fleet.Result(x.Rented.Result), x.Rented.Names, now)
	case *recordpb.Event_Released:
		c.fleet.Released(x.Released.Names, x.Released.Ok, now)
		for _, name := range x.Released.Names {
			if x.Released.Ok {
				c.book.Gone(name, now)
			}
		}
	case *recordpb.Event_Listed:
		out.names = c.applyListed(now, x.Listed)
		c.decide(func(d *recordpb.Decided) { d.Returns = out.names })
	case *recordpb.Event_Graph:
		if x.Graph.Check {
			c.graph.Check(c.isOpen)
		}
		out.moves = c.graph.Actions(now)
		if urgencies, changed := c.graph.Urgencies(); changed {
			c.book.Hasten(urgencies)
		}
	case *recordpb.Event_Ended:
		c.graph.Seen(x.Ended.Job, x.Ended.Ok, model.Stage(x.Ended.Stage), now)
	case *recordpb.Event_Moved:
		c.graph.Wrote(pipelines.Action{Op: pipelines.Op(x.Moved.Op), ID: x.Moved.Job}, x.Moved.Ok, x.Moved.Stamp, now)
		if x.Moved.Gone {
			c.graph.Gone(x.Moved.Job)
		}
	case *recordpb.Event_Usage:
		out.usage, out.mark = c.book.Usage(now), c.book.UsageMark(now)
	case *recordpb.Event_Summary:
		out.summary = c.book.Summary(now)
	}
	return out
}

// decide adds to the decisions if anybody asks.
func (c *Core) decide(add func(d *recordpb.Decided)) {
	if c.decided != nil {
		add(c.decided)
	}
}

func (c *Core) applyTypes(e *recordpb.Types) {
	var types map[string]model.MachineType
	if err := json.Unmarshal(e.Catalogue, &types); err != nil {
		c.log.Error("machine types", "err", err)
		return
	}
	c.types = types
	c.book.SetTypes(types)
}

func (c *Core) applyOwners(e *recordpb.Owners) {
	owners := make(map[model.Kind]string, len(e.Owners))
	for _, o := range e.Owners {
		owners[model.Kind{Type: o.Kind.GetType(), Zone: o.Kind.GetZone()}] = o.Member
	}
	c.book.SetOwners(owners)
	c.book.Greet()
}

func (c *Core) applyLoaded(now time.Time, e *recordpb.Loaded) {
	for _, it := range e.Hosts {
		var h hosts.Host
		if err := json.Unmarshal(it.Value, &h); err != nil {
			c.log.Error("host record", "key", it.Key, "err", err)
		}
		c.book.AddHost(strings.TrimPrefix(it.Key, hosts.SinglePrefix), h.Addr, h.Kind, h.Spot, it.Stamp, now)
	}
	for _, it := range e.Charters {
		var ch fleet.Charter
		if err := json.Unmarshal(it.Value, &ch); err != nil || ch.Name == "" {
			c.log.Error("charter record", "key", it.Key, "err", err)
			continue
		}
		c.fleet.Adopt(ch, now)
	}
	marks := map[string]map[string]string{}
	for _, it := range e.Parts {
		rest := strings.TrimPrefix(it.Key, placement.PartPrefix)
		i := strings.LastIndexByte(rest, '/')
		var text string
		if i < 0 || json.Unmarshal(it.Value, &text) != nil {
			continue
		}
		if marks[rest[:i]] == nil {
			marks[rest[:i]] = map[string]string{}
		}
		marks[rest[:i]][rest[i+1:]] = text
	}
	for _, it := range e.Jobs {
		c.putJob(now, it, marks)
	}
	c.applyDrains(now, e.Drains)
	c.book.LoadUsage(e.Usage)
}

// applyLimits goes on with other limits of teams.
func (c *Core) applyLimits(e *recordpb.Limits) {
	limits := make(map[string]model.Size, len(e.Limits))
	for _, l := range e.Limits {
		limits[l.Team] = model.Size{CPUs: l.Cpus, GPUs: l.Gpus}
	}
	c.book.SetLimits(limits)
}

// applyConfig goes on with other settings.
func (c *Core) applyConfig(text []byte) {
	var cfg Config
	if err := json.Unmarshal(text, &cfg); err != nil {
		c.log.Error("settings", "err", err)
		return
	}
	c.cfg = cfg
	c.book.SetOptions(c.options())
	c.fleet.SetOptions(cfg.Fleet)
}

// applyDrains takes in all drains that are in force.
func (c *Core) applyDrains(now time.Time, all []*recordpb.Item) {
	var drains []*placement.Drain
	for _, it := range all {
		d := &placement.Drain{}
		if err := json.Unmarshal(it.Value, d); err != nil || d.Key() != it.Key {
			c.log.Error("drain record", "key", it.Key, "err", err)
			continue
		}
		drains = append(drains, d)
	}
	if len(drains) > 0 || c.book.Drains().Len() > 0 {
		c.book.SetDrains(drains, now)
	}
}

// putJob takes one record of an open or waiting job in. Waiting ones are listed
// first, and a job moves from there to the open ones, so none is missed.
func (c *Core) putJob(now time.Time, it *recordpb.Item, marks map[string]map[string]string) {
	if id, waits := strings.CutPrefix(it.Key, placement.WaitPrefix); waits {
		var r placement.Record
		if err := json.Unmarshal(it.Value, &r); err != nil || r.Job == nil || r.Job.ID != id {
			c.log.Error("record of a waiting job", "job", id, "err", err)
			return
		}
		c.graph.Put(r, it.Stamp)
	} else if id, open := strings.CutPrefix(it.Key, placement.JobPrefix); open {
		if err := c.book.PutJob(now, id, it.Value, it.Stamp, marks[id]); err != nil {
			c.log.Error("job record", "err", err)
		}
		c.graph.Gone(id) // it was released
	}
}

func (c *Core) applyChanged(now time.Time, e *recordpb.Changed) {
	for _, it := range e.Items {
		if !it.Deleted {
			c.putJob(now, it, nil)
		} else if id, waited := strings.CutPrefix(it.Key, placement.WaitPrefix); waited {
			c.graph.Gone(id)
		} else if id, open := strings.CutPrefix(it.Key, placement.JobPrefix); open {
			c.book.Cancel(id)
		}
	}
	if !e.Whole {
		return
	}
	have := make(map[string]bool, len(e.Items))
	for _, it := range e.Items {
		have[it.Key] = true
	}
	for id := range c.book.Jobs().All() {
		if !have[placement.JobPrefix+id] {
			c.book.Cancel(id)
		}
	}
	for _, id := range c.graph.IDs() {
		if !have[placement.WaitPrefix+id] {
			c.graph.Gone(id)
		}
	}
}

func (c *Core) applyAnswer(now time.Time, e *recordpb.Answer) {
	if e.Split {
		c.book.Split()
	}
	c.book.Acknowledged(e.Member, e.Applied)
	c.book.Heard(e.Member, now)
	for _, m := range e.Machines {
		c.fleet.Up(m.Name)
		c.book.Machine(now, e.Member, m, e.Applied, e.Trusted)
	}
	for _, name := range e.Knocks {
		c.book.Knocked(name, e.Member, now)
	}
	if e.Trusted {
		c.book.UnseenLapsed(e.Member, now)
	}
}

func (c *Core) applySaveDone(now time.Time, e *recordpb.SaveDone) {
	s := c.saves[e.Number]
	if s == nil {
		return
	}
	delete(c.saves, e.Number)
	switch e.Outcome {
	case recordpb.SaveDone_TOO_LARGE:
		c.book.TooLarge(s)
		return
	case recordpb.SaveDone_OVER:
		c.book.Over(s.ID)
	}
	if it := e.Fresh; it != nil {
		if err := c.book.PutJob(now, s.ID, it.Value, it.Stamp, nil); err != nil {
			c.log.Error("job record", "err", err)
		}
	}
	ok := e.Outcome == recordpb.SaveDone_STORED
	if ok && s.Over != nil {
		c.log.Debug("job done", "job", s.ID)
		if j := c.book.Jobs().At(s.ID); j != nil {
			c.graph.Observe(j.Spec.Class, j.Spec.Estimate, now.Sub(j.Accepted))
		}
		c.graph.Ended(s.ID, model.Done)
	}
	c.book.Saved(s, ok, e.Stamp)
}

// applyPlan looks after the machines: which are let go, kept or rented.
func (c *Core) applyPlan(now time.Time) []fleet.Action {
	c.book.Mend(now)
	c.book.Evacuate(now)
	c.book.StandingRoom(now)
	c.book.Consolidate(now)
	for _, m := range c.book.Suspects(c.cfg.Errors) {
		c.log.Warn("machine fails its tasks", "machine", m.Name)
		c.book.Blame(m)
	}
	c.book.Expect(c.graph.Next(), now)
	actions := c.fleet.Tick(now, c.book.Needs(now), c.book.Machines(), c.types, c.book.Complete())
	for _, a := range actions {
		for _, name := range a.Release {
			if m := c.book.Machines().At(name); m != nil {
				c.book.Cordon(m)
			}
		}
	}
	return actions
}

// applyListed compares the cloud's list with what is known, and names the machines
// to be returned: they failed, or are listed no more and nobody hears of them.
func (c *Core) applyListed(now time.Time, e *recordpb.Listed) []string {
	all := make([]fleet.Listed, 0, len(e.Machines))
	listed := make(map[string]bool, len(e.Machines))
	for _, m := range e.Machines {
		all = append(all, fleet.Listed{Name: m.Name, Kind: model.Kind{Type: m.Type, Zone: m.Zone}, Spot: m.Spot, Booting: m.Booting,
			Failed: m.Failed, Age: time.Duration(m.AgeNs)})
		listed[m.Name] = true
	}
	leave := c.fleet.List(all, c.book.Machines(), now)
	unheard := c.cfg.Unheard
	if !c.book.Complete() && c.cfg.Greeted > 0 {
		// Guard: a takeover waits for every machine with a record. Those that were taken
		// or died while nobody led are returned, which proves that they are gone, as soon
		// as a machine that is there would have been heard of: a worker reports by itself
		// within that time, and is called besides.
		unheard = c.cfg.Greeted
	}
	leave = append(leave, c.book.Missing(listed, now.Add(-unheard))...)
	return c.fleet.Claim(leave)
}

// isOpen tells whether a job has an open record, as far as the book knows.
func (c *Core) isOpen(id string) bool {
	j := c.book.Jobs().At(id)
	return j != nil && !j.Cancelled
}

// sortedKeys returns a map's keys in order.
func sortedKeys(m map[string]uint64) []string {
	t := model.NewTable[string, uint64]()
	for k, v := range m {
		t.Put(k, v)
	}
	out := make([]string, 0, len(m))
	for k := range t.All() {
		out = append(out, k)
	}
	return out
}

// ErrForm tells of a state that another version wrote.
var ErrForm = errors.New("state of another form")

func errVersion(v uint32) error {
	return fmt.Errorf("%w: %d, this program reads %d; use the version that recorded it", ErrForm, v, Version)
}
