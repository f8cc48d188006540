package replay

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/parquet-go/parquet-go"

	"github.com/marlwood/marlwood/internal/autoscaler"
	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/placement"
	"github.com/marlwood/marlwood/internal/scheduler"
	"github.com/marlwood/marlwood/internal/settings"
)

var boxes = map[string]model.MachineType{"box": {Name: "box", Size: model.Size{CPUs: 16, MemoryGB: 64}, CacheGB: 100, FetchGBPerS: 1,
	Price: 1, SpotPrice: 0.3, Boot: 20 * time.Second, Zones: []string{"a", "b"}}}

// syntheticDay returns a generated day with the given number of jobs: arrays, gangs that need one
// zone, and jobs that wait for others or are cancelled. One of the two teams has a low limit.
func syntheticDay(t testing.TB, jobs, tasks int, length time.Duration) *Day {
	t.Helper()
	op, err := settings.LoadOperator("")
	if err != nil {
		t.Fatal(err)
	}
	p := &settings.Platform{Member: "n0", Zone: "a", Listen: "127.0.0.1:1", PeerListen: "127.0.0.1:1",
		Teams:       map[string]model.Team{"free": {Name: "free"}, "tight": {Name: "tight", Limit: model.Size{CPUs: float64(2 * tasks)}}},
		ReportEvery: 5 * time.Second, Lease: 15 * time.Second, CancelWait: 35 * time.Second, StateRPS: 1000, StateWriteRPS: 1000,
		ValueBytes: 8192, WideValueBytes: 8192, TxnOps: 16, CloudRPS: 100, MemoryMB: 100, MaxConns: 1000}
	d := newDay()
	d.Begin, d.End, d.Types, d.Terms = time.Unix(1_700_000_000, 0), length, boxes, 1
	d.Config = scheduler.Config{Settings: scheduler.Settings{Platform: p, Operator: op}}
	r := rand.New(rand.NewPCG(7, 7))
	for i := range jobs {
		j := &model.Job{ID: fmt.Sprintf("req-%05d", i), Class: "array", Team: "free", Shape: model.Array, Priority: model.Normal,
			Tasks: 1 + r.IntN(2*tasks), Size: model.Size{CPUs: 2, MemoryGB: 4}, Image: fmt.Sprintf("img-%d", r.IntN(20)), ImageGB: 6,
			Spot: r.IntN(2) == 0, Estimate: time.Duration(10+r.IntN(50)) * time.Second}
		if r.IntN(3) == 0 {
			j.CheckpointEvery, j.SaveTime = 10*time.Second, 2*time.Second
		}
		switch i % 5 {
		case 1:
			j.Class, j.Shape, j.Tasks, j.OneZone = "gang", model.Gang, 4+r.IntN(8), true
			j.Size, j.Priority = model.Size{CPUs: 8, MemoryGB: 16}, model.High
		case 2:
			j.Team = "tight"
		case 3:
			j.Class, j.Needs = "after", []string{fmt.Sprintf("req-%05d", i-3)}
		}
		at := time.Duration(r.Int64N(int64(length * 6 / 10)))
		if i%5 == 3 {
			at = max(at, d.Jobs.At(j.Needs[0]).Submitted)
		}
		key := placement.JobPrefix + j.ID
		if len(j.Needs) > 0 {
			key = placement.WaitPrefix + j.ID
		}
		d.job(key, placement.JobRecord{Job: j, AcceptedMS: d.Begin.Add(at).UnixMilli()})
		if i%17 == 16 {
			d.Jobs.At(j.ID).Cancelled = at + 10*time.Second
		}
	}
	return d
}

// bounded returns a capacity of n machines of type box in each market.
func bounded(n int) map[autoscaler.Market]int {
	out := map[autoscaler.Market]int{}
	for _, z := range []string{"a", "b"} {
		for _, spot := range []bool{false, true} {
			out[autoscaler.Market{Pool: model.Pool{Type: "box", Zone: z}, Spot: spot}] = n
		}
	}
	return out
}

// A simulated day keeps the invariants of the live scheduler: a gang runs whole and in one zone, no
// task runs twice at the same time, no machine is overcommitted, a team stays within its limit, no
// task of a cancelled job starts, and a job starts after the jobs it needs. Machines are scarce, so
// that gangs wait and small jobs fill the gaps; spot machines are preempted and others die.
func TestSimulatedDayKeepsInvariants(t *testing.T) {
	d := syntheticDay(t, 80, 12, 15*time.Minute)
	s := supplyOf(d)
	s.Recalls, s.SpotH, s.Leads, s.MachinesDied, s.AllH = 20, 1, Sample{20, 0, 30}, 4, 1
	r, err := rulesOf(d)
	if err != nil {
		t.Fatal(err)
	}
	r.Most = bounded(6)
	x, err := play(d, s, r, 1)
	if err != nil {
		t.Fatal(err)
	}
	type change struct {
		at    time.Duration
		begin bool
		t     *TaskSeen
	}
	var all []change
	lost := 0
	for _, a := range x.Tasks {
		if a.Running < 0 {
			continue
		}
		end := a.Ended
		if end < 0 {
			end = x.Machines.At(a.Machine).until(x.End + 1)
			lost++
		}
		all = append(all, change{a.Running, true, a}, change{end, false, a})
	}
	slices.SortStableFunc(all, func(x, y change) int { return int(x.at - y.at) })
	on, team, running := map[string]model.Size{}, map[string]float64{}, map[taskOf]bool{}
	for _, c := range all {
		j, k := x.Jobs.At(c.t.Job), taskOf{c.t.Job, c.t.Index}
		if !c.begin {
			on[c.t.Machine], running[k] = on[c.t.Machine].Sub(j.Spec.Size), false
			team[j.Spec.Team] -= j.Spec.Size.CPUs
			continue
		}
		if running[k] {
			t.Errorf("%s/%d runs twice at %v", k.job, k.index, c.at)
		}
		running[k] = true
		on[c.t.Machine] = on[c.t.Machine].Add(j.Spec.Size)
		team[j.Spec.Team] += j.Spec.Size.CPUs
		if !on[c.t.Machine].Fits(boxes["box"].Size) {
			t.Errorf("%s is overcommitted: %+v", c.t.Machine, on[c.t.Machine])
		}
		if limit := r.Platform.Teams[j.Spec.Team].Limit.CPUs; limit > 0 && team[j.Spec.Team] > limit {
			t.Errorf("team %s takes %v of %v CPUs", j.Spec.Team, team[j.Spec.Team], limit)
		}
		if j.Cancelled >= 0 && c.t.Ordered > j.Cancelled+time.Second {
			t.Errorf("%s starts %v after it was cancelled", j.Spec.ID, c.t.Ordered-j.Cancelled)
		}
		for _, need := range j.Spec.Needs {
			if n := x.Jobs.At(need); n.Done < 0 || n.Done > c.at {
				t.Errorf("%s starts before %s is done", j.Spec.ID, need)
			}
		}
	}
	gangs := map[uint64][]*TaskSeen{}
	for _, a := range x.Tasks {
		if x.Jobs.At(a.Job).Spec.Shape == model.Gang {
			gangs[a.Attempt] = append(gangs[a.Attempt], a)
		}
	}
	whole := 0
	for _, g := range gangs {
		j, ran := x.Jobs.At(g[0].Job).Spec, 0
		pieces := map[int]bool{} // a task that was lost before all ran is ordered again
		for _, a := range g {
			pieces[a.Index] = true
			if a.Running >= 0 {
				ran++
			}
			if x.Machines.At(a.Machine).Pool.Zone != x.Machines.At(g[0].Machine).Pool.Zone {
				t.Errorf("gang %s is spread over zones", j.ID)
			}
		}
		if len(pieces) != j.Tasks || ran != 0 && ran != j.Tasks {
			t.Errorf("gang %s: %d of %d tasks ordered, %d ran", j.ID, len(pieces), j.Tasks, ran)
		}
		if ran == j.Tasks {
			whole++
		}
	}
	done := 0
	for _, j := range x.Jobs.All() {
		if j.Done >= 0 {
			done++
		}
	}
	if whole < 10 || done < 60 || lost == 0 || x.Jobs.Len() != d.Jobs.Len() {
		t.Errorf("%d gangs ran, %d of %d jobs done, %d tasks lost with their machines", whole, done, d.Jobs.Len(), lost)
	}
}

// The same seed yields the same day, and another seed a different one.
func TestSimulationIsDeterministic(t *testing.T) {
	d := syntheticDay(t, 30, 8, 5*time.Minute)
	r, err := rulesOf(d)
	if err != nil {
		t.Fatal(err)
	}
	for _, other := range []uint64{1, 2} {
		x, err1 := play(d, supplyOf(d), r, 1)
		y, err2 := play(d, supplyOf(d), r, other)
		if err := errors.Join(err1, err2); err != nil {
			t.Fatal(err)
		}
		same := len(x.Tasks) == len(y.Tasks)
		for i := 0; same && i < len(x.Tasks); i++ {
			same = *x.Tasks[i] == *y.Tasks[i]
		}
		if same != (other == 1) || len(x.Tasks) < 50 {
			t.Errorf("seeds 1 and %d: same %v, %d tasks", other, same, len(x.Tasks))
		}
	}
}

// A day that was simulated with known boot, run and fetch times is used as a recording: the supply
// derived from it must match these times.
func TestSupplyMatchesSimulatedTimes(t *testing.T) {
	d := syntheticDay(t, 60, 10, 8*time.Minute)
	s := supplyOf(d)
	for _, l := range []string{"boot of", "fetches on"} {
		for _, a := range s.Assumptions(d) {
			if strings.HasPrefix(a, l) && !strings.Contains(a, "never observed") {
				t.Errorf("a day without observations has an observed value: %s", a)
			}
		}
	}
	s.Boots = map[string]Sample{"box": {11, 12, 13}}
	s.Ratios = map[string]Sample{"array": {0.5}, "gang": {1.5}, "after": {0.8}}
	s.Shared = true
	r, err := rulesOf(d)
	if err != nil {
		t.Fatal(err)
	}
	r.Most = bounded(8)
	x, err := play(d, s, r, 3)
	if err != nil {
		t.Fatal(err)
	}
	got := supplyOf(x)
	for _, c := range []struct {
		name        string
		got         float64
		least, most float64
	}{
		{"boots", got.Boots["box"].quantile(0.5), 11, 14},
		{"run over estimate of arrays", got.Ratios["array"].quantile(0.5), 0.45, 0.56},
		{"run over estimate of gangs", got.Ratios["gang"].quantile(0.5), 1.4, 1.6},
		{"fetches alone", got.Fetches["box"].quantile(0.5), 0.7, 1.05},
		{"never up", float64(got.Dead), 0, 0},
	} {
		if !(c.got >= c.least && c.got <= c.most) {
			t.Errorf("%s: %v, made with %v to %v", c.name, c.got, c.least, c.most)
		}
	}
	for src, l := range got.limits {
		for _, step := range l {
			if step.most > 8 {
				t.Errorf("%v: %d machines of 8", src, step.most)
			}
		}
	}
	if len(got.limits) == 0 {
		t.Error("no launch request showed a capacity limit")
	}
	r.Recorded = true
	y, err := play(x, got, r, 9)
	if err != nil {
		t.Fatal(err)
	}
	// Other random draws reverse 4 to 6 of a hundred pairs.
	if o := orderOf(x, y); o.Jobs < 40 || float64(o.Turned) > 0.08*float64(o.Pairs) {
		t.Errorf("start order in a simulation with the recorded machines: %+v", o)
	}
}

// Images are ready at the time that follows from their size and the rate, when a machine fetches one
// alone or two at the same time, with and without sharing its rate.
func TestImageFetchTimes(t *testing.T) {
	for _, c := range []struct {
		name   string
		shared bool
		at     []time.Duration // of images of 2 GB each, at 1 GB a second
		ready  []time.Duration
	}{
		{"alone", true, []time.Duration{0}, []time.Duration{2 * time.Second}},
		{"two share", true, []time.Duration{0, 0}, []time.Duration{4 * time.Second, 4 * time.Second}},
		{"the second comes later", true, []time.Duration{0, time.Second}, []time.Duration{3 * time.Second, 4 * time.Second}},
		{"they do not share", false, []time.Duration{0, time.Second}, []time.Duration{2 * time.Second, 3 * time.Second}},
	} {
		d := syntheticDay(t, 1, 1, time.Minute)
		s := supplyOf(d)
		s.Shared = c.shared
		w := newEnvironment(d, s, Rules{Platform: d.Config.Settings.Platform, Types: boxes}, 1)
		m := w.add("m", model.Pool{Type: "box", Zone: "a"}, false)
		for i, at := range c.at {
			id := fmt.Sprintf("j%d", i)
			w.jobs[id] = &simJob{spec: &model.Job{ID: id, Shape: model.Array, Tasks: 1, Size: model.Size{CPUs: 1}, Image: id, ImageGB: 2},
				progress: map[int]time.Duration{}, done: map[int]bool{}, takes: map[int]time.Duration{0: time.Hour}}
			w.sim.At(at, func() { m.start(id, 0, 1) })
		}
		for w.sim.Pending() > 0 && w.sim.Now() < 10*time.Second {
			w.sim.Step()
		}
		for i, t2 := range m.tasks {
			if off := t2.began - c.ready[i]; off < 0 || off > 10*time.Millisecond {
				t.Errorf("%s: image %d is ready after %v, not %v", c.name, i, t2.began, c.ready[i])
			}
		}
	}
}

// A valid question is answered; an invalid one is refused with an error of one line.
func TestAsk(t *testing.T) {
	write := func(text string) string {
		path := filepath.Join(t.TempDir(), "f.sexp")
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		return path
	}
	for _, c := range []struct {
		name     string
		q        Question
		wantText string // text of the error; "": the question is answered
	}{
		{"nothing changes", Question{}, ""},
		{"recorded machines", Question{Recorded: true}, ""},
		{"a setting", Question{Settings: write(`(marlwood (placement (draws 5)))`)}, ""},
		{"a limit", Question{Teams: write(`(teams (team "free" (cpus-max 2)))`)}, ""},
		{"no machines", Question{Machines: write(`(machines (capacity "box" "a" (ordinary 0) (spot 0)) (type "box" (boot "2s") (price 3)))`)}, ""},
		{"an unknown setting", Question{Settings: write(`(marlwood (placement (drwas 5)))`)}, "placement.drwas: unknown setting"},
		{"an invalid lease time", Question{Settings: write(`(marlwood (leadership (grant "0s")))`)}, "leadership.grant"},
		{"an unused team", Question{Teams: write(`(teams (team "nobody" (cpus 2)))`)}, `team "nobody": no job names it`},
		{"an unknown field of a team", Question{Teams: write(`(teams (team "free" (cpu 2)))`)}, "cpu: unknown"},
		{"a negative limit", Question{Teams: write(`(teams (team "free" (cpus-max -2)))`)}, "cpus-max: must not be negative"},
		{"an unknown zone", Question{Machines: write(`(machines (capacity "box" "z" (ordinary 2)))`)}, `there is no type "box" in zone "z"`},
		{"an unknown machine type", Question{Machines: write(`(machines (type "bix" (price 2)))`)}, `type "bix": unknown`},
		{"a boot without a unit", Question{Machines: write(`(machines (type "box" (boot 30)))`)}, `boot: needs a duration such as "30s"`},
		{"recorded machines and changed machines", Question{Recorded: true, Machines: write(`(machines (type "box" (price 2)))`)}, "as recorded"},
		{"not an expression", Question{Teams: write(`{{{`)}, "not an S-expression"},
		{"no such file", Question{Teams: "/nonexistent"}, "no such file"},
	} {
		c.q.Dir, c.q.Seeds = "testdata/day", 2
		a, err := Ask(c.q)
		if c.wantText != "" {
			if !errors.Is(err, ErrInput) || !strings.Contains(err.Error(), c.wantText) || strings.Contains(err.Error(), "\n") {
				t.Errorf("%s: %v", c.name, err)
			}
			continue
		}
		if err != nil {
			t.Errorf("%s: %v", c.name, err)
			continue
		}
		var text bytes.Buffer
		if err := a.Print(&text); err != nil || !strings.Contains(text.String(), "wait p50") {
			t.Errorf("%s: %v, %s", c.name, err, text.String())
		}
		b, err := json.Marshal(a)
		if err != nil || !json.Valid(b) || !strings.Contains(string(b), `"assumptions"`) || !strings.Contains(string(b), `"figure":"wait p90"`) {
			t.Errorf("%s: %v, %s", c.name, err, b)
		}
		if exact := a.Exact != nil && a.Exact.Holds() && a.Exact.Starts > 0; exact != c.q.Recorded {
			t.Errorf("%s: %+v", c.name, a.Exact)
		}
		if changed := c.q.changes(); changed != (len(a.after) == 2) || len(a.before) != 2 {
			t.Errorf("%s: %d and %d days played", c.name, len(a.before), len(a.after))
		}
	}
}

// A lower team limit makes that team wait longer and is reported as a change; a group that the limit
// does not affect is reported as unchanged.
func TestChangesShow(t *testing.T) {
	d := syntheticDay(t, 60, 10, 10*time.Minute)
	before, err := rulesOf(d)
	if err != nil {
		t.Fatal(err)
	}
	before.Most = bounded(30)
	after, p := before, *before.Platform
	p.Teams = map[string]model.Team{"free": {Name: "free"}, "tight": {Name: "tight", Limit: model.Size{CPUs: 2}}}
	after.Platform = &p
	days, err := playAll(d, supplyOf(d), []Rules{before, after}, Question{Seeds: 3, Workers: 4})
	if err != nil {
		t.Fatal(err)
	}
	a := &Answer{recorded: days[0][0], before: days[0], after: days[1]}
	a.compare()
	for _, c := range []struct {
		group   Group
		changed bool
	}{{Group{"team", "tight"}, true}, {Group{"class", "gang"}, false}} {
		for _, r := range a.Rows {
			if r.Group == c.group && r.Figure == "wait p90" && r.Changed != c.changed {
				t.Errorf("%s %s: %+v", c.group.Name, r.Figure, r.Compared)
			}
		}
	}
	dir := t.TempDir()
	if err := a.Report(dir); err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile(filepath.Join(dir, "index.html"))
	if err != nil || strings.Count(string(page), "<svg") != 3 || !strings.Contains(string(page), "</html>") {
		t.Errorf("page: %v, %d plots", err, strings.Count(string(page), "<svg"))
	}
	jobs, err := parquet.ReadFile[jobRow](filepath.Join(dir, "jobs.parquet"))
	if err != nil || len(jobs) != 7*d.Jobs.Len() {
		t.Errorf("jobs.parquet: %v, %d rows", err, len(jobs))
	}
	tasks, err := parquet.ReadFile[taskRow](filepath.Join(dir, "tasks.parquet"))
	if err != nil || len(tasks) < 3*len(days[0][0].Tasks) {
		t.Errorf("tasks.parquet: %v, %d rows", err, len(tasks))
	}
}

// BenchmarkPlay simulates twelve minutes with about 30,000 tasks, and 4 and 16 times that.
func BenchmarkPlay(b *testing.B) {
	for _, n := range []int{1, 4, 16} {
		b.Run(fmt.Sprintf("%dx", n), func(b *testing.B) {
			d := syntheticDay(b, 600*n, 50, 12*time.Minute)
			r, err := rulesOf(d)
			if err != nil {
				b.Fatal(err)
			}
			p := *r.Platform
			p.Teams = map[string]model.Team{"free": {Name: "free"}, "tight": {Name: "tight", Limit: model.Size{CPUs: 400 * float64(n)}}}
			r.Platform, r.Most = &p, bounded(250*n)
			for b.Loop() {
				x, err := play(d, supplyOf(d), r, 1)
				if err != nil {
					b.Fatal(err)
				}
				var mem runtime.MemStats
				runtime.ReadMemStats(&mem)
				b.ReportMetric(float64(len(x.Tasks)), "starts")
				b.ReportMetric(float64(x.Machines.Len()), "machines")
				b.ReportMetric(float64(mem.Sys)/1e6, "MB")
			}
		})
	}
}
