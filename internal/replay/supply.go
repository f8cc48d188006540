package replay

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/marlwood/marlwood/internal/autoscaler"
	"github.com/marlwood/marlwood/internal/model"
)

// Sample is the set of observed values of one quantity. Draws return one of these values.
type Sample []float64

// draw returns a random observed value, or assumed if there is none.
func (s Sample) draw(r *rand.Rand, assumed float64) float64 {
	if len(s) == 0 {
		return assumed
	}
	return s[r.IntN(len(s))]
}

// quantile returns the q-quantile of the sample, or NaN if it is empty.
func (s Sample) quantile(q float64) float64 {
	if len(s) == 0 {
		return math.NaN()
	}
	sorted := slices.Sorted(slices.Values(s))
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// Supply is the behaviour of machines, cloud and tasks that was observed in a recording.
type Supply struct {
	Boots        map[string]Sample            // seconds, by type
	Dead         int                          // rented machines that never came up
	Rented       int                          // rented machines that came up, or that Dead counts
	Fetches      map[string]Sample            // GB per second, by type
	Beside       map[string]Sample            // the same, of images fetched at the same time as others on the machine
	Shared       bool                         // whether images fetched at the same time share the rate
	Ratios       map[string]Sample            // run time over estimate, by class
	Runs         map[taskOf]float64           // seconds that a task ran until it was done
	GangWaits    Sample                       // seconds that a gang's task waited for the others until it gave up
	Fails        map[string]Sample            // seconds until a task failed, of jobs that only failed
	limits       map[autoscaler.Market][]step // capacity of the cloud, as launch requests showed it
	Recalls      int                          // spot machines preempted
	MachinesDied int                          // other machines lost
	SpotH        float64                      // hours of spot machines
	AllH         float64                      // hours of all machines
	Leads        Sample                       // seconds of notice; 0: none
}

type taskOf struct {
	job   string
	index int
}

// step is the number of machines that a market has from a time on.
type step struct {
	from time.Duration
	most int // -1: unlimited
}

// supplyOf derives a Supply from a day.
func supplyOf(d *Day) *Supply {
	s := &Supply{Boots: map[string]Sample{}, Fetches: map[string]Sample{}, Beside: map[string]Sample{}, Ratios: map[string]Sample{}, Runs: map[taskOf]float64{},
		Fails: map[string]Sample{}, limits: map[autoscaler.Market][]step{}}
	for _, m := range d.Machines.All() {
		s.machine(d, m)
	}
	s.fetches(d)
	s.Shared = s.shares()
	if !s.Shared { // then all fetches show the full rate
		for name, beside := range s.Beside {
			s.Fetches[name] = append(s.Fetches[name], beside...)
		}
	}
	s.tasks(d)
	s.capacity(d)
	return s
}

func (s *Supply) machine(d *Day, m *MachineSeen) {
	if m.Rented >= 0 {
		switch {
		case m.Up >= 0:
			s.Rented++
			s.Boots[m.Pool.Type] = append(s.Boots[m.Pool.Type], (m.Up - m.Rented).Seconds())
		case m.EndedAt >= 0 && m.EndedAt-m.Rented > 3*d.Types[m.Pool.Type].Boot:
			s.Rented++
			s.Dead++
		}
	}
	if m.Up < 0 {
		return
	}
	hours := (m.until(d.End) - m.Up).Hours()
	s.AllH += hours
	if m.Spot {
		s.SpotH += hours
	}
	switch {
	case m.Spot && m.EndedAt >= 0 && (m.Notice >= 0 || m.Unexpected):
		s.Recalls++
		s.Leads = append(s.Leads, m.Lead.Seconds())
	case m.Unexpected:
		s.MachinesDied++
	}
}

// leastFetch is the least duration of a fetch, computed from the published rate, for its measured
// rate to be used. Reports are half a second apart, so the measured rates of short fetches are too
// high. Filtering by the measured duration would be biased: of the short fetches it would keep only
// the slow ones.
const leastFetch = 4 * time.Second

// fetches measures how fast machines fetch images. Fetches that overlap others on the same machine
// are kept separately, because they may share its rate.
func (s *Supply) fetches(d *Day) {
	by := model.NewTable[string, []*TaskSeen]()
	for _, t := range d.Tasks {
		if j := d.Jobs.At(t.Job); j != nil && j.Spec.ImageGB > 0 && t.Fetching >= 0 {
			by.Put(t.Machine, append(by.At(t.Machine), t))
		}
	}
	for name, all := range by.All() {
		m := d.Machines.At(name)
		if m == nil {
			continue
		}
		for _, t := range all {
			j, took := d.Jobs.At(t.Job), t.Ready-t.Fetching
			if published := d.Types[m.Pool.Type].FetchGBPerS; !t.Fetched || took <= 0 || j.Spec.ImageGB < published*leastFetch.Seconds() {
				continue
			}
			beside := slices.ContainsFunc(all, func(o *TaskSeen) bool {
				end := max(o.Ready, o.Ended)
				return d.Jobs.At(o.Job).Spec.Image != j.Spec.Image && o.Fetching < t.Ready && (end < 0 || t.Fetching < end)
			})
			to := s.Fetches
			if beside {
				to = s.Beside
			}
			to[m.Pool.Type] = append(to[m.Pool.Type], j.Spec.ImageGB/took.Seconds())
		}
	}
}

// minFetchSamples is the least number of fetches of either kind that is needed to decide whether
// overlapping fetches share a machine's rate.
const minFetchSamples = 20

// shares reports whether images that a machine fetches at the same time share its rate. The
// protocol does not specify it, and it differs from day to day.
func (s *Supply) shares() bool {
	for name, alone := range s.Fetches {
		beside := s.Beside[name]
		if len(alone) >= minFetchSamples && len(beside) >= minFetchSamples && beside.quantile(0.5) < 0.85*alone.quantile(0.5) {
			return true
		}
	}
	return false
}

// tasks measures run times, failures and how long gang tasks waited for the others.
func (s *Supply) tasks(d *Day) {
	ran := map[taskOf]time.Duration{} // progress saved by earlier attempts
	good := map[string]bool{}
	fails := map[string]Sample{}
	for _, t := range d.Tasks {
		j, m := d.Jobs.At(t.Job), d.Machines.At(t.Machine)
		if j == nil || m == nil {
			continue
		}
		if t.Cause == model.CauseIsolated && t.Ready >= 0 {
			s.GangWaits = append(s.GangWaits, (t.Ended - t.Ready).Seconds())
		}
		if t.Running < 0 || t.Ended < 0 {
			continue
		}
		key, took := taskOf{t.Job, t.Index}, t.Ended-t.Running
		switch {
		case t.Cause == model.CauseDone:
			good[t.Job] = true
			total := (ran[key] + took).Seconds()
			s.Runs[key] = total
			if j.Spec.Estimate > 0 && took > 0 {
				s.Ratios[j.Spec.Class] = append(s.Ratios[j.Spec.Class], total/j.Spec.Estimate.Seconds())
			}
		case t.Cause == model.CauseError:
			fails[t.Job] = append(fails[t.Job], took.Seconds())
		case t.Saved:
			ran[key] += max(0, took-j.Spec.SaveTime)
		case j.Spec.CheckpointEvery > 0:
			ran[key] += took.Truncate(j.Spec.CheckpointEvery)
		}
	}
	for id, f := range fails {
		if !good[id] && len(f) > 1 { // submitted with a mistake
			s.Fails[id] = f
		}
	}
}

// capacity estimates how many machines each market had. A request that got fewer machines than it
// asked for shows the limit, and machines held since then show that there are more.
func (s *Supply) capacity(d *Day) {
	open := map[autoscaler.Market]int{} // most held since the last refusal
	seen := map[autoscaler.Market]bool{}
	begin := map[autoscaler.Market]time.Duration{}
	for _, r := range d.Rentals {
		open[r.Source] = max(open[r.Source], r.Held)
		if r.Got >= r.Requested {
			continue
		}
		s.limits[r.Source] = append(s.limits[r.Source], step{begin[r.Source], open[r.Source]})
		open[r.Source], begin[r.Source], seen[r.Source] = r.Held, r.At, true
	}
	for src := range seen { // after the last refusal the limit is at least what was held
		s.limits[src] = append(s.limits[src], step{begin[src], open[src]})
	}
}

// most returns how many machines of a market the cloud has at a time. known is false if no request
// ever showed it.
func (s *Supply) most(src autoscaler.Market, at time.Duration) (n int, known bool) {
	for _, l := range s.limits[src] {
		if l.from <= at || !known {
			n, known = l.most, true
		}
	}
	return n, known
}

// Assumptions describes in text what was observed and what had to be assumed.
func (s *Supply) Assumptions(d *Day) (out []string) {
	say := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) }
	seen := model.NewTable[string, bool]()
	for _, m := range d.Machines.All() {
		seen.Put(m.Pool.Type, true)
	}
	for name := range seen.All() {
		if b := s.Boots[name]; len(b) > 0 {
			say("boot of %s: %d machines, p50 %.1f s, p90 %.1f s", name, len(b), b.quantile(0.5), b.quantile(0.9))
		} else {
			say("boot of %s: never observed, assumed %v as published", name, d.Types[name].Boot)
		}
		if f := s.Fetches[name]; len(f) > 0 {
			say("fetches on %s: %d, p50 %.2f GB/s, published %.2f; of them %d beside others, p50 %.2f", name, len(f), f.quantile(0.5),
				d.Types[name].FetchGBPerS, len(s.Beside[name]), s.Beside[name].quantile(0.5))
		} else {
			say("fetches on %s: never observed, assumed %.2f GB/s as published", name, d.Types[name].FetchGBPerS)
		}
	}
	if s.Shared {
		say("images fetched at the same time share a machine's rate, as observed")
	} else {
		say("images fetched at the same time do not slow each other, as observed or for want of enough fetches")
	}
	say("never up: %d of %d rented machines", s.Dead, s.Rented)
	say("run times: %d tasks as they ran; other tasks drawn from their class:", len(s.Runs))
	classes := model.NewTable[string, bool]()
	for _, j := range d.Jobs.All() {
		classes.Put(j.Spec.Class, true)
	}
	for class := range classes.All() {
		if r := s.Ratios[class]; len(r) > 0 {
			say("  %s: %d tasks, run time over estimate p50 %.2f, p90 %.2f", class, len(r), r.quantile(0.5), r.quantile(0.9))
		} else {
			say("  %s: none ended, assumed as estimated", class)
		}
	}
	if len(s.GangWaits) > 0 {
		say("a gang's task waits for the others: %d times in vain, p50 %.1f s", len(s.GangWaits), s.GangWaits.quantile(0.5))
	} else {
		say("a gang's task waits for the others: never in vain, assumed %v", defaultGangWait)
	}
	say("jobs with a mistake, which only fail: %d", len(s.Fails))
	say("capacity: shown by requests for %d sources; all others assumed without bound", len(s.limits))
	say("recalls of spot machines: %d in %.1f hours of them; %d other machines lost in %.1f hours", s.Recalls, s.SpotH, s.MachinesDied, s.AllH)
	say("assumed: one controller that never fails, no outage of cloud or state service, 5 ms a message; losses of machines are independent")
	return out
}
