package replay

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/marlwood/marlwood/internal/model"
)

// Group identifies the jobs of a class or of a team.
type Group struct {
	What string `json:"what"` // "class" or "team"
	Name string `json:"name"`
}

// Figures are the statistics of a group's jobs on one day. Times are in seconds; NaN is written as null.
type Figures struct {
	Jobs      int `json:"jobs"`
	Started   int `json:"started"` // jobs whose tasks have all started
	Done      int `json:"done"`
	Cancelled int `json:"cancelled"`
	// Percentiles of the time from the submission until all tasks have started, and until the job is done.
	WaitP50, WaitP90, DoneP50, DoneP90 float64

	wait, done *hdrhistogram.Histogram
}

// Histograms hold milliseconds, up to a week, to three digits.
const (
	mostMS = 7 * 24 * 3600 * 1000
	digits = 3
)

// figures computes the statistics of a day by class and by team.
func figures(d *Day) map[Group]*Figures {
	out := map[Group]*Figures{}
	for _, j := range d.Jobs.All() {
		for _, g := range []Group{{"class", j.Spec.Class}, {"team", j.Spec.Team}} {
			f := out[g]
			if f == nil {
				f = &Figures{wait: hdrhistogram.New(1, mostMS, digits), done: hdrhistogram.New(1, mostMS, digits)}
				out[g] = f
			}
			f.Jobs++
			if j.Cancelled >= 0 {
				f.Cancelled++
			}
			if j.Started >= 0 {
				f.Started++
				_ = f.wait.RecordValue(min(max(1, (j.Started-j.Submitted).Milliseconds()), mostMS))
			}
			if j.Done >= 0 {
				f.Done++
				_ = f.done.RecordValue(min(max(1, (j.Done-j.Submitted).Milliseconds()), mostMS))
			}
		}
	}
	for _, f := range out {
		f.WaitP50, f.WaitP90 = seconds(f.wait, 50), seconds(f.wait, 90)
		f.DoneP50, f.DoneP90 = seconds(f.done, 50), seconds(f.done, 90)
	}
	return out
}

func seconds(h *hdrhistogram.Histogram, q float64) float64 {
	if h.TotalCount() == 0 {
		return math.NaN()
	}
	return float64(h.ValueAtQuantile(q)) / 1000
}

// groups returns the groups in order, classes first.
func groups(all map[Group]*Figures) []Group {
	var out []Group
	for g := range all {
		out = append(out, g)
	}
	slices.SortFunc(out, func(x, y Group) int { return cmp.Or(strings.Compare(x.What, y.What), strings.Compare(x.Name, y.Name)) })
	return out
}

// Spread is the mean and range of a figure over several seeds.
type Spread struct {
	Mean float64 `json:"mean"`
	Min  float64 `json:"min"`
	Max  float64 `json:"max"`
}

// spread returns the Spread of the values that are not NaN.
func spread(all []float64) Spread {
	s, n := Spread{Min: math.Inf(1), Max: math.Inf(-1)}, 0
	for _, v := range all {
		if math.IsNaN(v) {
			continue
		}
		n++
		s.Mean += v
		s.Min, s.Max = min(s.Min, v), max(s.Max, v)
	}
	if n == 0 {
		return Spread{math.NaN(), math.NaN(), math.NaN()}
	}
	s.Mean /= float64(n)
	return s
}

// within reports whether the two ranges overlap, so that the difference may be chance.
func (s Spread) within(o Spread) bool { return s.Min <= o.Max && o.Min <= s.Max }

// Order measures how similar the start order of the jobs is on two days.
type Order struct {
	Jobs int // started on both
	// Pairs counts the pairs of jobs whose start times in the recording differ by more than a
	// second; Turned counts how many of these started in the opposite order.
	Pairs, Turned int
	Worst         time.Duration // longest time between the recorded starts of a reversed pair
	Off           Sample        // differences between the first starts of a job, in seconds
}

// startTolerance is how much earlier a start must be to count as earlier, because rounds and
// reports are up to that far apart.
const startTolerance = time.Second

// orderOf compares the order in which two days first started a task of each job.
func orderOf(x, y *Day) Order {
	var o Order
	type pair struct{ a, b time.Duration }
	var both []pair
	for _, j := range x.inOrder() {
		if k := y.Jobs.At(j.Spec.ID); k != nil && k.FirstStart >= 0 {
			both = append(both, pair{j.FirstStart, k.FirstStart})
			o.Off = append(o.Off, math.Abs((k.FirstStart - j.FirstStart).Seconds()))
		}
	}
	o.Jobs = len(both)
	for i, p := range both {
		for _, q := range both[i+1:] {
			if q.a-p.a <= startTolerance {
				continue
			}
			o.Pairs++
			if q.b < p.b {
				o.Turned++
				o.Worst = max(o.Worst, q.a-p.a)
			}
		}
	}
	return o
}

// usage is the CPU usage and the cost at one time of a day.
type usage struct {
	at       time.Duration
	up, used float64 // CPUs
	cost     float64 // so far
}

// usages samples a day at a fixed interval.
func usages(d *Day, every time.Duration) []usage {
	n := int(d.End/every) + 1
	out := make([]usage, n)
	for i := range out {
		out[i].at = time.Duration(i) * every
	}
	span := func(from, to time.Duration, add func(u *usage)) {
		for i := max(0, int((from+every-1)/every)); i < n && out[i].at < to; i++ {
			add(&out[i])
		}
	}
	for _, m := range d.Machines.All() {
		t := d.Types[m.Pool.Type]
		price := t.Price
		if m.Spot {
			price = t.SpotPrice
		}
		if m.Up >= 0 {
			span(m.Up, m.until(d.End+1), func(u *usage) { u.up += t.Size.CPUs })
		}
		from, to := m.from(), m.until(d.End)
		span(from, d.End+1, func(u *usage) { u.cost += price * (min(u.at, to) - from).Hours() })
	}
	for _, t := range d.Tasks {
		j := d.Jobs.At(t.Job)
		if t.Running < 0 || j == nil {
			continue
		}
		to := t.Ended
		if to < 0 {
			to = d.End + 1
			if m := d.Machines.At(t.Machine); m != nil {
				to = m.until(to)
			}
		}
		span(t.Running, to, func(u *usage) { u.used += j.Spec.Size.CPUs })
	}
	return out
}

// placeOf returns how many tasks ran in each pool when the gang first ran as a whole.
func placeOf(d *Day, id string) map[model.Pool]int {
	j := d.Jobs.At(id)
	if j == nil || j.Started < 0 {
		return nil
	}
	by := map[uint64]map[model.Pool]int{}
	n := map[uint64]int{}
	for _, t := range d.Tasks {
		if m := d.Machines.At(t.Machine); t.Job == id && t.Running >= 0 && m != nil {
			if by[t.Attempt] == nil {
				by[t.Attempt] = map[model.Pool]int{}
			}
			by[t.Attempt][m.Pool]++
			if n[t.Attempt]++; n[t.Attempt] == j.Spec.Tasks {
				return by[t.Attempt]
			}
		}
	}
	return nil
}
