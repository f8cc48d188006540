package simtest

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/quota"
	"github.com/marlwood/marlwood/internal/simulation"
	"github.com/marlwood/marlwood/internal/store"
)

// regionNames are the names of the regions of a schedule.
var regionNames = []string{"north", "south", "west"}

// sharedLimit is the limit of team "tight" over all regions, in CPUs. A task takes two CPUs.
const sharedLimit = 24

var sharedTeams = map[string]model.Team{"free": {Name: "free"}, "tight": {Name: "tight", Limit: model.Size{CPUs: sharedLimit}}}

// regionSet is a set of separate deployments in the same virtual time that share the teams' limits.
type regionSet struct {
	sim      *sim
	clusters []*cluster
	net      *network // between regions
}

// RegionPlan is a schedule of several regions.
type RegionPlan struct {
	Seed    uint64
	Regions []Plan
	Cuts    []RegionCut
	Steps   float64 // share of the account writes for which a fault is injected
}

// RegionCut cuts a region off from the others.
type RegionCut struct {
	Region  int
	At, For time.Duration
	Hold    bool
}

// others returns the setting that lists the other regions, for the region with the given index.
func (r *regionSet) others(index int) string {
	var out []string
	for i, name := range regionNames {
		if i == index {
			continue
		}
		text := name
		for member := range zones {
			text += " " + regionAddr(i, member)
		}
		out = append(out, text)
	}
	return strings.Join(out, "; ")
}

func regionAddr(region, member int) string { return fmt.Sprintf("10.%d.0.%d:8081", region, member) }

// at returns the controller with the given address, or nil.
func (r *regionSet) at(addr string) *node {
	for i, w := range r.clusters {
		for member, n := range w.nodes {
			if regionAddr(i, member) == addr {
				return n
			}
		}
	}
	return nil
}

// usedBy returns what the tasks of a team use in all regions.
func (r *regionSet) usedBy(team string) (used model.Size) {
	for _, w := range r.clusters {
		used = used.Add(w.usedBy(team))
	}
	return used
}

// regionLink sends messages to a controller of another region.
type regionLink struct{ from, to *node }

// Exchange sends a message and waits for the answer.
func (l regionLink) Exchange(_ context.Context, m quota.Message) (quota.Message, error) {
	if l.to == nil || l.to.process.Dead() {
		return quota.Message{}, errNoAnswer
	}
	type answer struct {
		m     quota.Message
		leads bool
	}
	p := l.to.process
	a, ok := ask(l.from.process, l.from.cluster.regions.net, l.from.place, l.to.place, time.Second, func(reply func(answer)) {
		p.Enter(func() {
			out, leads := l.to.node.HandleRegionMessage(l.to.Now(), m)
			reply(answer{out, leads})
		})
	})
	if !ok || !a.leads {
		return quota.Message{}, errNoAnswer
	}
	return a.m, nil
}

// Close ends the link.
func (l regionLink) Close() error { return nil }

// cutOff cuts a region off from the others.
func (r *regionSet) cutOff(c RegionCut) {
	r.sim.logf("FAULT for %v: region %s is cut off", c.For, regionNames[c.Region])
	r.net.cut(&cut{until: r.sim.Now() + c.For, hold: c.Hold, blocks: func(from, to *place) bool {
		return r.in(from, c.Region) != r.in(to, c.Region)
	}})
}

func (r *regionSet) in(p *place, region int) bool {
	for _, n := range r.clusters[region].nodes {
		if n.place == p {
			return true
		}
	}
	return false
}

// account returns the quota account of a team in a region's state service; ok is false if there is none yet.
func (r *regionSet) account(region int, team string) (a quota.Account, ok bool) {
	it, err := r.clusters[region].store.Get("quota/" + team)
	if err != nil {
		return a, false
	}
	return a, json.Unmarshal(it.Value, &a) == nil
}

// checkAllocations reports the rule "allocated" as broken if the allocations and the transfers in flight add up to
// more than the limit, or to less once every region has an account.
func (r *regionSet) checkAllocations() {
	sum, begun := quota.Amount{}, 0
	for i, name := range regionNames {
		a, ok := r.account(i, "tight")
		if !ok {
			continue
		}
		begun++
		sum = sum.Add(a.Allocation)
		for k, other := range regionNames {
			credited, _ := r.account(k, "tight")
			if sent, under := a.Sent[other]; under && sent.Number > credited.Credited[name] {
				sum = sum.Add(sent.Amount)
			}
		}
	}
	whole := quota.AmountOf(model.Size{CPUs: sharedLimit})
	if !sum.Within(whole) || begun == len(regionNames) && sum != whole {
		r.sim.breaks("allocated", "%v is allocated and on its way, of %v", sum, whole)
	}
}

// accountWriteFates returns a function that draws the outcome of an account write: the leader crashes before or after
// it, its answer is lost, or it is applied late.
func (r *regionSet) accountWriteFates(share float64) func(c storeClient, t store.Txn) fate {
	return func(c storeClient, t store.Txn) fate {
		ofAccount := len(t.Writes) > 0 && strings.HasPrefix(t.Writes[0].Set, "quota/")
		if !ofAccount || r.sim.Now() > troubles || r.sim.Rand.Float64() >= share {
			return answered
		}
		crash := func() { c.n.crash(r.sim.Between(100*time.Millisecond, 4*time.Second)) }
		switch r.sim.Rand.IntN(5) {
		case 0:
			r.sim.logf("%s ends before it writes an account", c.n.place.name)
			r.sim.After(0, crash)
			return held
		case 1:
			r.sim.logf("%s ends after it wrote an account", c.n.place.name)
			r.sim.After(0, crash)
			return unanswered
		case 2:
			r.sim.logf("%s writes an account late", c.n.place.name)
			r.sim.After(r.sim.Between(2*time.Second, 12*time.Second), func() { c.late(t) })
			return held
		case 3:
			r.sim.After(r.sim.Between(0, time.Second), crash)
			return answered
		}
		return unanswered
	}
}

// RunRegions plays a schedule of several regions and returns the rule that was broken, or "".
func RunRegions(p RegionPlan, story *strings.Builder) (broken string, starts int) {
	r := playRegions(p, story, slog.LevelError)
	for _, w := range r.clusters {
		starts += w.starts
	}
	return r.sim.broken, starts
}

func playRegions(p RegionPlan, story *strings.Builder, level slog.Level) *regionSet {
	s := &sim{Sim: simulation.New(p.Seed), story: story}
	r := &regionSet{sim: s, net: &network{sim: s}}
	end := time.Duration(0)
	for i := range p.Regions {
		plan := p.Regions[i]
		plan.shared = sharedTeams
		if p.Steps > 0 {
			plan.fates = r.accountWriteFates(p.Steps)
		}
		w, err := newClusterIn(s, plan, level, nil, r, i)
		if err != nil {
			panic("explore: " + err.Error())
		}
		r.clusters = append(r.clusters, w)
		for k, job := range plan.Jobs {
			s.At(job.At, func() { w.submit(k, job) })
		}
		for _, f := range plan.Faults {
			s.At(f.At, func() { w.fault(f) })
		}
		end = max(end, plan.calmFrom())
	}
	for _, c := range p.Cuts {
		s.At(c.At, func() { r.cutOff(c) })
		end = max(end, c.At+c.For)
	}
	end += patience + p.takes()
	r.checkEvery(200 * time.Millisecond)
	s.At(end, r.allServed)
	for s.Pending() > 0 && s.broken == "" && s.Now() <= end && !r.served(p) {
		s.Step()
	}
	for _, w := range r.clusters {
		w.endProcesses()
	}
	s.End()
	return r
}

// takes returns twice the summed duration of all jobs.
func (p RegionPlan) takes() (out time.Duration) {
	for _, plan := range p.Regions {
		for _, j := range plan.Jobs {
			out += 2 * j.Takes
		}
	}
	return out
}

func (r *regionSet) checkEvery(d time.Duration) {
	r.sim.After(d, func() {
		r.checkAllocations()
		r.checkEvery(d)
	})
}

// served reports whether all cuts have ended and every job is over.
func (r *regionSet) served(p RegionPlan) bool {
	for _, c := range p.Cuts {
		if r.sim.Now() < c.At+c.For {
			return false
		}
	}
	for _, w := range r.clusters {
		if !w.served() {
			return false
		}
	}
	return true
}

// allServed reports not_served as broken for jobs that are not over at the end.
func (r *regionSet) allServed() {
	for i, w := range r.clusters {
		for _, j := range w.all {
			if !j.accepted || !j.told.Final() {
				r.sim.breaks("not_served", "%s of %s: accepted %v, told %q", j.id, regionNames[i], j.accepted, j.told)
			}
		}
	}
}

// DrawRegions draws a schedule of three regions: shifting demand, failures of controllers and state services, regions
// that are cut off (one in ten of them for an hour), and leaders that crash at each step of a transfer.
func DrawRegions(seed uint64) RegionPlan {
	rnd := rand.New(rand.NewPCG(seed, 7))
	between := func(least, most time.Duration) time.Duration {
		return least + time.Duration(rnd.Int64N(int64(most-least)))
	}
	p := RegionPlan{Seed: seed, Steps: []float64{0, 0.1, 0.4}[rnd.IntN(3)]}
	for range regionNames {
		plan := Plan{Seed: seed, Machines: 2, Lease: 10 * time.Second, Cancel: 24 * time.Second}
		for range 1 + rnd.IntN(5) {
			j := Submission{At: between(0, 40*time.Second), Shape: model.Array, Tasks: 1 + rnd.IntN(8), Team: 1, Takes: between(time.Second, 20*time.Second)}
			if rnd.IntN(3) == 0 {
				j.Shape = model.Gang
			}
			j.Priority = []model.Priority{model.Low, model.Normal, model.High}[rnd.IntN(3)]
			plan.Jobs = append(plan.Jobs, j)
		}
		kinds := []string{"crash", "crash back", "crash all", "store refuses node", "late writes", "outage", "cut node from nodes", "freeze", "alone with workers"}
		for range rnd.IntN(4) {
			plan.Faults = append(plan.Faults, Fault{Kind: kinds[rnd.IntN(len(kinds))], At: between(2*time.Second, 40*time.Second),
				For: between(200*time.Millisecond, 15*time.Second), A: []int{0, 1, 2, 7, 7}[rnd.IntN(5)], B: rnd.IntN(3), Hold: rnd.IntN(2) == 0})
		}
		p.Regions = append(p.Regions, plan)
	}
	for range rnd.IntN(3) {
		c := RegionCut{Region: rnd.IntN(len(regionNames)), At: between(0, 30*time.Second), For: between(time.Second, 40*time.Second), Hold: rnd.IntN(2) == 0}
		if rnd.IntN(10) == 0 {
			c.For = time.Hour
		}
		p.Cuts = append(p.Cuts, c)
	}
	return p
}
