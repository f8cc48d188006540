package core

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/marlwood/marlwood/internal/fleet"
	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/peers/peerspb"
	"github.com/marlwood/marlwood/internal/pipelines"
	"github.com/marlwood/marlwood/internal/placement"
	"github.com/marlwood/marlwood/internal/record/recordpb"
	"github.com/marlwood/marlwood/internal/shares"
	"github.com/marlwood/marlwood/internal/store"
)

// SetTypes replaces what is known of machine types.
func (c *Core) SetTypes(now time.Time, types map[string]model.MachineType) error {
	text, err := json.Marshal(types)
	if err != nil {
		return err
	}
	e := c.event(now)
	e.What = &recordpb.Event_Types{Types: &recordpb.Types{Catalogue: text}}
	c.step(e)
	return nil
}

// Renewed goes on under a fresh token of the same leadership.
func (c *Core) Renewed(now time.Time, token uint64) {
	e := c.event(now)
	e.What = &recordpb.Event_Renewed{Renewed: &recordpb.Renewed{Token: token}}
	c.step(e)
}

// SetOwners says which member owns each kind, and has the owners call machines that
// have not been heard of.
func (c *Core) SetOwners(now time.Time, owners []*peerspb.KindOwner) {
	e := c.event(now)
	e.What = &recordpb.Event_Owners{Owners: &recordpb.Owners{Owners: owners}}
	c.step(e)
}

// items are records as events carry them.
func items(all []store.Item) []*recordpb.Item {
	out := make([]*recordpb.Item, 0, len(all))
	for _, it := range all {
		out = append(out, &recordpb.Item{Key: it.Key, Value: it.Value, Stamp: it.Stamp})
	}
	return out
}

// Load takes in all that an earlier leader left; hosts are records of single machines, usage is the
// mark of what teams used, if it is kept.
func (c *Core) Load(now time.Time, hosts, charters, jobs, parts, drains []store.Item, usage []byte) {
	e := c.event(now)
	e.What = &recordpb.Event_Loaded{Loaded: &recordpb.Loaded{Hosts: items(hosts), Charters: items(charters), Jobs: items(jobs),
		Parts: items(parts), Drains: items(drains), Usage: usage}}
	c.step(e)
}

// SetConfig goes on with other settings: what placement and fleet go by.
func (c *Core) SetConfig(now time.Time, cfg Config) error {
	text, err := json.Marshal(cfg)
	if err != nil {
		return err
	}
	e := c.event(now)
	e.What = &recordpb.Event_Config{Config: &recordpb.Config{Json: text}}
	c.step(e)
	return nil
}

// SetLimits replaces what teams may use in all.
func (c *Core) SetLimits(now time.Time, limits map[string]model.Size) {
	x := &recordpb.Limits{}
	for _, team := range slices.Sorted(maps.Keys(limits)) {
		x.Limits = append(x.Limits, &recordpb.Limit{Team: team, Cpus: limits[team].CPUs, Gpus: limits[team].GPUs})
	}
	e := c.event(now)
	e.What = &recordpb.Event_Limits{Limits: x}
	c.step(e)
}

// Demands are what all teams take and wait for; false: that is not known for sure.
func (c *Core) Demands() (map[string]placement.TeamDemand, bool) { return c.book.Demands() }

// SetDrains takes in all drains that are in force.
func (c *Core) SetDrains(now time.Time, drains []store.Item) {
	e := c.event(now)
	e.What = &recordpb.Event_Drains{Drains: &recordpb.Drains{Items: items(drains)}}
	c.step(e)
}

// Resync takes in a whole list of jobs after changes were missed: a job that is
// missing was cancelled.
func (c *Core) Resync(now time.Time, jobs []store.Item) {
	e := c.event(now)
	e.What = &recordpb.Event_Changed{Changed: &recordpb.Changed{Items: items(jobs), Whole: true}}
	c.step(e)
}

// Change takes in changes of the jobs' records, in their order.
func (c *Core) Change(now time.Time, events []store.Event) {
	out := make([]*recordpb.Item, 0, len(events))
	for _, ev := range events {
		if ev.Delete != "" {
			out = append(out, &recordpb.Item{Key: ev.Delete, Stamp: ev.Stamp, Deleted: true})
		} else {
			out = append(out, &recordpb.Item{Key: ev.Set, Value: ev.Value, Stamp: ev.Stamp})
		}
	}
	e := c.event(now)
	e.What = &recordpb.Event_Changed{Changed: &recordpb.Changed{Items: out}}
	c.step(e)
}

// Answer takes in what an owner said. trusted tells that an expiry may be believed
// even for a machine that was not yet current; split that every controller reads
// split marks.
func (c *Core) Answer(now time.Time, member string, resp *peerspb.RoundResponse, trusted, split bool) {
	e := c.event(now)
	e.What = &recordpb.Event_Answer{Answer: &recordpb.Answer{Member: member, Applied: resp.Applied, Trusted: trusted, Split: split,
		Machines: resp.Machines, Knocks: resp.Knocks}}
	c.step(e)
}

// Expire believes the lapses that were told before checked and names the machines.
func (c *Core) Expire(now, checked time.Time) []string {
	e := c.event(now)
	e.What = &recordpb.Event_Expire{Expire: &recordpb.Expire{CheckedNs: int64(checked.Sub(c.began))}}
	return c.step(e).names
}

// Ask begins a round of sampling.
func (c *Core) Ask(now time.Time) []*peerspb.Want {
	e := c.event(now)
	e.What = &recordpb.Event_Ask{Ask: &recordpb.Ask{}}
	return c.step(e).wants
}

// Place ends a round: it settles a takeover if it can, places by the samples and
// stops tasks where that makes room. It tells how many tasks it placed and whether
// the takeover is complete with this round.
func (c *Core) Place(now time.Time, samples []*peerspb.Sample) (placed int, settled bool) {
	e := c.event(now)
	e.What = &recordpb.Event_Place{Place: &recordpb.Place{Samples: samples}}
	out := c.step(e)
	return out.placed, out.ok
}

// Saves returns the records that are due, with at most so many parts beside each.
func (c *Core) Saves(now time.Time, maxParts int) []*placement.Save {
	e := c.event(now)
	e.What = &recordpb.Event_Saves{Saves: &recordpb.Saves{MaxParts: uint32(maxParts)}}
	return c.step(e).saves
}

// SaveDone takes in the outcome of a save, the stamp that its record got, and the
// record as it was found if it had to be looked at.
func (c *Core) SaveDone(now time.Time, s *placement.Save, outcome recordpb.SaveDone_Outcome, stamp uint64, fresh *store.Item) {
	done := &recordpb.SaveDone{Number: s.Number, Outcome: outcome, Stamp: stamp}
	if fresh != nil {
		done.Fresh = &recordpb.Item{Key: fresh.Key, Value: fresh.Value, Stamp: fresh.Stamp}
	}
	e := c.event(now)
	e.What = &recordpb.Event_SaveDone{SaveDone: done}
	c.step(e)
}

// HostsStored marks machines' host records as written with a stamp.
func (c *Core) HostsStored(now time.Time, names []string, stamp uint64) {
	e := c.event(now)
	e.What = &recordpb.Event_HostsStored{HostsStored: &recordpb.HostsStored{Names: names, Stamp: stamp}}
	c.step(e)
}

// ExpiredHosts returns up to n expired machines whose host records are to be
// removed, with the records' stamps.
func (c *Core) ExpiredHosts(now time.Time, n int) map[string]uint64 {
	e := c.event(now)
	e.What = &recordpb.Event_HostsExpired{HostsExpired: &recordpb.HostsExpired{Most: uint32(n)}}
	return c.step(e).stamps
}

// HostsDropped marks host records with their stamps as removed.
func (c *Core) HostsDropped(now time.Time, stamps map[string]uint64) {
	dropped := &recordpb.HostsDropped{Names: sortedKeys(stamps)}
	for _, name := range dropped.Names {
		dropped.Stamps = append(dropped.Stamps, stamps[name])
	}
	e := c.event(now)
	e.What = &recordpb.Event_HostsDropped{HostsDropped: dropped}
	c.step(e)
}

// Plan looks after the machines.
func (c *Core) Plan(now time.Time) []fleet.Action {
	e := c.event(now)
	e.What = &recordpb.Event_Plan{Plan: &recordpb.Plan{}}
	return c.step(e).actions
}

// CharterStored takes in whether a charter's record was stored.
func (c *Core) CharterStored(now time.Time, name string, ok bool) {
	e := c.event(now)
	e.What = &recordpb.Event_CharterStored{CharterStored: &recordpb.CharterStored{Name: name, Ok: ok}}
	c.step(e)
}

// Rented takes in a request's outcome and tells whether the charter is resolved.
func (c *Core) Rented(now time.Time, charter string, res fleet.Result, names []string) bool {
	e := c.event(now)
	e.What = &recordpb.Event_Rented{Rented: &recordpb.Rented{Charter: charter, Result: uint32(res), Names: names}}
	return c.step(e).ok
}

// Released takes in the outcome of a release; without an error the machines are gone.
func (c *Core) Released(now time.Time, names []string, ok bool) {
	e := c.event(now)
	e.What = &recordpb.Event_Released{Released: &recordpb.Released{Names: names, Ok: ok}}
	c.step(e)
}

// Listed takes in the cloud's list and names the machines to be returned.
func (c *Core) Listed(now time.Time, all []fleet.Listed) []string {
	l := &recordpb.Listed{}
	for _, m := range all {
		l.Machines = append(l.Machines, &recordpb.ListedMachine{Name: m.Name, Type: m.Kind.Type, Zone: m.Kind.Zone, Spot: m.Spot,
			Booting: m.Booting, Failed: m.Failed, AgeNs: int64(m.Age)})
	}
	e := c.event(now)
	e.What = &recordpb.Event_Listed{Listed: l}
	return c.step(e).names
}

// Graph returns what follows from jobs that ended; check has the ends of needed
// jobs looked for of which no open record is known.
func (c *Core) Graph(now time.Time, check bool) []pipelines.Action {
	e := c.event(now)
	e.What = &recordpb.Event_Graph{Graph: &recordpb.Graph{Check: check}}
	return c.step(e).moves
}

// Ended takes in what a look at a needed job's end brought.
func (c *Core) Ended(now time.Time, id string, ok bool, stage model.Stage) {
	e := c.event(now)
	e.What = &recordpb.Event_Ended{Ended: &recordpb.Ended{Job: id, Ok: ok, Stage: string(stage)}}
	c.step(e)
}

// Moved takes in the outcome of a release or a cancellation. stamp is what the
// record has now, 0 if it is unknown; gone tells that it is there no more.
func (c *Core) Moved(now time.Time, a pipelines.Action, ok bool, stamp uint64, gone bool) {
	e := c.event(now)
	e.What = &recordpb.Event_Moved{Moved: &recordpb.Moved{Op: uint32(a.Op), Job: a.ID, Ok: ok, Stamp: stamp, Gone: gone}}
	c.step(e)
}

// Usage counts what teams have used until now; nil while it is not kept. The ledger is the core's:
// it may be read, and told what was written of it.
func (c *Core) Usage(now time.Time) (*shares.Ledger, shares.Mark) {
	e := c.event(now)
	e.What = &recordpb.Event_Usage{Usage: &recordpb.Usage{}}
	out := c.step(e)
	return out.usage, out.mark
}

// Summary counts what there is.
func (c *Core) Summary(now time.Time) placement.Summary {
	e := c.event(now)
	e.What = &recordpb.Event_Summary{Summary: &recordpb.Summary{}}
	return c.step(e).summary
}

// What follows only reads, and is not part of a recording.

// Complete tells whether every task that may run anywhere is in the book.
func (c *Core) Complete() bool { return c.book.Complete() }

// Machines returns the machines by name; they must not be changed.
func (c *Core) Machines() *model.Table[string, *placement.Machine] { return c.book.Machines() }

// Aside returns the machines of which something is yet to come; see placement.Book.Aside.
func (c *Core) Aside() map[string]*placement.Machine { return c.book.Aside() }

// Binds counts the tasks that were bound since the term began.
func (c *Core) Binds() uint64 { return c.book.Binds() }

// Jobs returns the jobs that are not over; they must not be changed.
func (c *Core) Jobs() *model.Table[string, *placement.Job] { return c.book.Jobs() }

// Owners returns the owner of each kind.
func (c *Core) Owners() map[model.Kind]string { return c.book.Owners() }

// MustEnd lists the cancelled jobs of which a task is, or may be, on a machine of a member's kinds, and
// tells whether tasks that nobody knows run there.
func (c *Core) MustEnd(member string) (jobs []string, strays bool) { return c.book.MustEnd(member) }

// Orders returns the orders for a member that it has not acknowledged.
func (c *Core) Orders(member string) []*peerspb.Order { return c.book.Orders(member) }

// Views returns the counts of the open jobs.
func (c *Core) Views() map[string]placement.View { return c.book.Views() }

// Silent tells of which kinds the owners have heard nothing from most machines for
// longer than late.
func (c *Core) Silent(now time.Time, late time.Duration) map[model.Kind]bool {
	return c.book.Silent(c.at(now), late)
}

// Deaf lists the kinds a third of whose machines report elsewhere while their owner
// has not heard of them for longer than late.
func (c *Core) Deaf(now time.Time, late time.Duration) []model.Kind {
	return c.book.Deaf(c.at(now), late)
}

// Churn counts machines that were rented and returned unused.
func (c *Core) Churn() fleet.Churn { return c.fleet.Churn() }

// Booting counts rented machines that have not reported yet.
func (c *Core) Booting() int { return c.fleet.Booting() }

// Saving counts the jobs whose records are being written.
func (c *Core) Saving() int { return len(c.saves) }

// Waiting counts the jobs that wait for others.
func (c *Core) Waiting() int { return c.graph.Len() }
