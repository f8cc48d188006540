package replay

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/marlwood/marlwood/internal/autoscaler"
	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/settings"
)

// Question describes the simulations to run on a recorded day.
type Question struct {
	Dir      string
	Settings string // operators' settings that change; "" for none
	Teams    string // teams that change
	Machines string // machine types and capacities that change
	Seeds    int    // simulations for each set of rules
	Recorded bool   // machines come and go as recorded, under either set
	Workers  int    // simulations that run at the same time
	Progress func(done, of int)
}

// changes reports whether the question changes any rules.
func (q *Question) changes() bool { return q.Settings != "" || q.Teams != "" || q.Machines != "" }

// ErrInput is returned for an invalid question.
var ErrInput = errors.New("cannot ask")

// Answer compares the recorded day with the simulated ones.
type Answer struct {
	Length      time.Duration `json:"length_ns"`
	Terms       int           `json:"terms"`
	Assumptions []string      `json:"assumptions"`
	Rows        []Row         `json:"rows"`
	Price       Compared      `json:"price"`
	Order       *OrderAnswer  `json:"order,omitempty"` // under unchanged rules
	Exact       *Verdict      `json:"exact,omitempty"` // with recorded machines and reports, under unchanged rules
	Gangs       []GangChange  `json:"gangs,omitempty"`

	recorded      *Day
	before, after []*Day
}

// Row is one figure of a group.
type Row struct {
	Group
	Figure string `json:"figure"`
	Compared
}

// Compared is a figure as recorded, and its spread over seeds under the recorded and under the
// changed rules.
type Compared struct {
	Recorded float64 `json:"-"`
	Before   Spread  `json:"-"`
	After    Spread  `json:"-"`
	Changed  bool    `json:"changed"` // the ranges over seeds do not overlap
}

// OrderAnswer measures how closely simulations under the recorded rules reproduce the start order.
type OrderAnswer struct {
	Jobs   int           `json:"jobs"`
	Pairs  int           `json:"pairs"`  // pairs of jobs whose start times differ by more than a second
	Turned int           `json:"turned"` // pairs that started in the opposite order
	Worst  time.Duration `json:"worst_ns"`
	OffP50 float64       `json:"off_p50_s"`
	OffP90 float64       `json:"off_p90_s"`
}

// GangChange is a gang whose numbers of tasks per pool differ under the changed rules.
type GangChange struct {
	Job    string `json:"job"`
	Class  string `json:"class"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// Ask simulates a recorded day under its own and under changed rules, and compares them.
func Ask(q Question) (*Answer, error) {
	d, _, err := ReadDay(q.Dir)
	if err != nil {
		return nil, err
	}
	before, err := rulesOf(d)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInput, err)
	}
	before.Recorded = q.Recorded
	after, err := q.rules(d, before)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInput, err)
	}
	a := &Answer{Length: d.End, Terms: d.Terms, recorded: d}
	supply := supplyOf(d)
	a.Assumptions = supply.Assumptions(d)
	sets := []Rules{before}
	if q.changes() {
		sets = append(sets, after)
	}
	days, err := playAll(d, supply, sets, q)
	if err != nil {
		return nil, err
	}
	a.before = days[0]
	if q.changes() {
		a.after = days[1]
	}
	a.compare()
	if q.Recorded && !q.changes() {
		// The reports of the simulated machines come at other times than the recorded ones. With
		// the recorded reports, every job must start when it did.
		if a.Exact, err = Verify(q.Dir, Options{}); err != nil {
			return nil, err
		}
	}
	return a, nil
}

// playAll simulates every set of rules with every seed, up to q.Workers at the same time.
func playAll(d *Day, supply *Supply, sets []Rules, q Question) ([][]*Day, error) {
	days := make([][]*Day, len(sets))
	var group sync.WaitGroup
	var lock sync.Mutex
	var failed error
	done, places := 0, make(chan struct{}, max(1, q.Workers))
	for i, r := range sets {
		days[i] = make([]*Day, q.Seeds)
		for k := range q.Seeds {
			group.Go(func() {
				places <- struct{}{}
				defer func() { <-places }()
				x, err := play(d, supply, r, uint64(k+1))
				lock.Lock()
				defer lock.Unlock()
				days[i][k], failed = x, errors.Join(failed, err)
				if done++; q.Progress != nil {
					q.Progress(done, len(sets)*q.Seeds)
				}
			})
		}
	}
	group.Wait()
	return days, failed
}

// rules returns the rules with the question's changes.
func (q *Question) rules(d *Day, r Rules) (Rules, error) {
	if q.Settings != "" {
		op, err := r.Operator.Change(q.Settings)
		if err != nil {
			return r, err
		}
		if err := op.Check(r.Platform); err != nil {
			return r, fmt.Errorf("settings %s: %w", q.Settings, err)
		}
		r.Operator = op
	}
	if q.Teams != "" {
		named := map[string]model.Team{}
		for _, j := range d.Jobs.All() {
			if t, ok := r.Platform.Teams[j.Spec.Team]; ok {
				named[t.Name] = t
			}
		}
		teams, err := settings.ReadTeams(q.Teams, named)
		if err != nil {
			return r, err
		}
		p := *r.Platform
		p.Teams = maps.Clone(p.Teams)
		maps.Copy(p.Teams, teams)
		r.Platform = &p
	}
	if q.Machines != "" {
		if q.Recorded {
			return r, errors.New("machines: they come and go as recorded; leave --supply recorded out")
		}
		types, all, err := settings.ReadMachines(q.Machines, r.Types)
		if err != nil {
			return r, err
		}
		r.Types, r.Most = types, map[autoscaler.Market]int{}
		for _, c := range all {
			for spot, n := range map[bool]int{false: c.Ordinary, true: c.Spot} {
				if n >= 0 {
					r.Most[autoscaler.Market{Pool: c.Pool, Spot: spot}] = n
				}
			}
		}
	}
	return r, nil
}

// compare computes the answer's figures.
func (a *Answer) compare() {
	recorded := figures(a.recorded)
	all := func(days []*Day) (out []map[Group]*Figures) {
		for _, d := range days {
			out = append(out, figures(d))
		}
		return out
	}
	before, after := all(a.before), all(a.after)
	for _, g := range groups(recorded) {
		for _, f := range []struct {
			name string
			of   func(f *Figures) float64
		}{
			{"wait p50", func(f *Figures) float64 { return f.WaitP50 }}, {"wait p90", func(f *Figures) float64 { return f.WaitP90 }},
			{"finish p50", func(f *Figures) float64 { return f.DoneP50 }}, {"finish p90", func(f *Figures) float64 { return f.DoneP90 }},
			{"done", func(f *Figures) float64 { return float64(f.Done) }},
		} {
			over := func(days []map[Group]*Figures) Spread {
				var values []float64
				for _, d := range days {
					if x := d[g]; x != nil {
						values = append(values, f.of(x))
					}
				}
				return spread(values)
			}
			c := Compared{Recorded: f.of(recorded[g]), Before: over(before), After: over(after)}
			c.Changed = len(after) > 0 && !c.Before.within(c.After)
			if !math.IsNaN(c.Recorded) || !math.IsNaN(c.Before.Mean) || !math.IsNaN(c.After.Mean) {
				a.Rows = append(a.Rows, Row{g, f.name, c})
			}
		}
	}
	price := func(days []*Day) Spread {
		var values []float64
		for _, d := range days {
			values = append(values, d.Price())
		}
		return spread(values)
	}
	a.Price = Compared{Recorded: a.recorded.Price(), Before: price(a.before), After: price(a.after)}
	a.Price.Changed = len(after) > 0 && !a.Price.Before.within(a.Price.After)
	a.order()
	a.gangs()
}

// order compares the start order with the recording, summed over all seeds.
func (a *Answer) order() {
	out := &OrderAnswer{}
	var off Sample
	for _, d := range a.before {
		o := orderOf(a.recorded, d)
		out.Jobs, out.Pairs, out.Turned, out.Worst = out.Jobs+o.Jobs, out.Pairs+o.Pairs, out.Turned+o.Turned, max(out.Worst, o.Worst)
		off = append(off, o.Off...)
	}
	out.OffP50, out.OffP90 = off.quantile(0.5), off.quantile(0.9)
	a.Order = out
}

// gangs lists the gangs whose numbers of tasks per pool differ between the first simulated days of
// the two sets of rules.
func (a *Answer) gangs() {
	if len(a.after) == 0 {
		return
	}
	for id, j := range a.recorded.Jobs.All() {
		if j.Spec.Shape != model.Gang {
			continue
		}
		x, y := placeOf(a.before[0], id), placeOf(a.after[0], id)
		if !maps.Equal(x, y) {
			a.Gangs = append(a.Gangs, GangChange{id, j.Spec.Class, placeText(x), placeText(y)})
		}
	}
}

func placeText(p map[model.Pool]int) string {
	if len(p) == 0 {
		return "not started"
	}
	var out []string
	for k, n := range p {
		out = append(out, fmt.Sprintf("%d on %s in %s", n, k.Type, k.Zone))
	}
	slices.Sort(out)
	return strings.Join(out, ", ")
}
