package scale

import (
	"context"
	"errors"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/standin"
)

// buildPrograms builds marlwood and the command of this package.
func buildPrograms(t *testing.T) (program, scale string) {
	dir := t.TempDir()
	program, scale = filepath.Join(dir, "marlwood"), filepath.Join(dir, "scale")
	for to, pkg := range map[string]string{program: "../../cmd/marlwood", scale: "./cmd"} {
		if out, err := exec.Command("go", "build", "-o", to, pkg).CombinedOutput(); err != nil {
			t.Fatalf("%s: %v\n%s", pkg, err, out)
		}
	}
	return program, scale
}

// TestSmallShare runs a small share of the planned size, with a killed leader, failed machines and a region that is cut
// off. It checks that everything the report counts occurs and that no rule is broken. It checks no durations.
func TestSmallShare(t *testing.T) {
	program, scale := buildPrograms(t)
	r, err := Run(context.Background(), Options{Program: program, Region: []string{scale, "region"}, Share: 0.02, For: 25 * time.Second,
		Peak: 8 * time.Second, Seed: 1, KillLeader: 12 * time.Second, KillMachines: 2, KillAt: 14 * time.Second,
		CutRegion: "south", CutAt: 10 * time.Second, CutFor: 10 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	if r.RunningMost < 100 || r.MachinesMost < 10 || r.Jobs.Accepted < 20 || r.Jobs.Done == 0 || r.Starts.Most == 0 {
		t.Errorf("%d tasks and %d machines at once, jobs %+v, starts %+v", r.RunningMost, r.MachinesMost, r.Jobs, r.Starts)
	}
	if r.WorkerSent.Mean == 0 || r.WorkerHeard.Mean == 0 || r.StateWrote.Most == 0 || len(r.Controllers) != regionsPlanned*controllersEach {
		t.Errorf("not counted: worker %v, %v, state service %v, %d controllers", r.WorkerSent, r.WorkerHeard, r.StateWrote, len(r.Controllers))
	}
	if len(r.CutStarts) == 0 || rate(r.CutStarts).Most == 0 {
		t.Errorf("starts in the region that was cut off: %v", r.CutStarts)
	}
	var table strings.Builder
	if err := r.Write(&table); err != nil || !strings.Contains(table.String(), "rules broken") {
		t.Errorf("the table: %v\n%s", err, table.String())
	}
	if err := r.Plot(filepath.Join(t.TempDir(), "starts.png")); err != nil {
		t.Error(err)
	}
}

// TestLastSnapshotAfterTheProcessEnded checks that the last snapshot can be read after the region's process has ended.
// The process ends as soon as it has written that snapshot. Sometimes the pipe was closed before the run had read the
// snapshot, and TestSmallShare failed after a whole run with "a region's process ended early".
func TestLastSnapshotAfterTheProcessEnded(t *testing.T) {
	script := `read config; echo '{}'; read command; echo '{"Started": 7}'`
	r := &run{opt: Options{Region: []string{"sh", "-c", script}}}
	g := &regionRun{}
	r.regions = append(r.regions, g)
	defer r.close()
	if err := r.startRegion(g, RegionConfig{}); err != nil {
		t.Fatal(err)
	}
	if err := g.commands.Encode(Command{Start: true}); err != nil {
		t.Fatal(err)
	}
	<-g.process.ended
	if !g.lines.Scan() || g.lines.Text() != `{"Started": 7}` {
		t.Errorf("the last snapshot is %q, err %v", g.lines.Text(), g.lines.Err())
	}
}

// TestInvalidOptions checks that Run rejects invalid options.
func TestInvalidOptions(t *testing.T) {
	good := Options{Share: 0.02, For: time.Minute, Peak: 20 * time.Second}
	for name, change := range map[string]func(o *Options){
		"no share": func(o *Options) { o.Share = 0 }, "more than the plan": func(o *Options) { o.Share = 1.5 },
		"too short": func(o *Options) { o.For = time.Second }, "all of it the peak": func(o *Options) { o.Peak = o.For },
	} {
		o := good
		change(&o)
		if _, err := Run(context.Background(), o); err == nil || errors.Is(err, ErrRule) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// TestTeamLimitOverAllRegions checks that a team above its limit in all regions together is reported, and only for a
// time for which every region has reported a sample.
func TestTeamLimitOverAllRegions(t *testing.T) {
	p := planRegion(Options{Share: 1, For: time.Minute}, 0)
	team := p.Teams[0]
	for name, c := range map[string]struct {
		parts  []float64
		broken int
	}{
		"at the limit":                  {[]float64{0.5, 0.25, 0.25}, 0},
		"above it":                      {[]float64{0.5, 0.25, 0.26}, 1},
		"not all regions have reported": {[]float64{0.9, 0.9}, 0},
	} {
		u := newGlobalUsage(p)
		for _, part := range c.parts {
			u.add([]UseSample{{AtMS: 1000, Used: map[string]float64{team.Name: part * team.Limit}}, {AtMS: 1100}})
		}
		if len(u.broken) != c.broken {
			t.Errorf("%s: %v", name, u.broken)
		}
	}
}

// TestRuleViolations checks that each broken rule is detected from the state of the machines.
func TestRuleViolations(t *testing.T) {
	p := planRegion(Options{Share: 1, For: time.Minute}, 0)
	small, zones := p.Types[0].Name, p.Zones
	job := func(change func(j *model.Job)) *model.Job {
		j := &model.Job{ID: "j", Team: p.Teams[0].Name, Shape: model.Array, Tasks: 4, Size: model.Size{CPUs: 1}}
		change(j)
		return j
	}
	now := time.Now()
	on := func(j *model.Job, task, zone string) standin.Event {
		return standin.Event{At: now, On: true, Job: j, Task: task, Machine: "m", Type: small, Zone: zone}
	}
	for _, c := range []struct {
		name, rule string
		do         func(x *truth)
	}{
		{"no rule broken", "", func(x *truth) {
			j := job(func(*model.Job) {})
			x.observe(on(j, "j/0", zones[0]))
			e := on(j, "j/0", zones[0])
			e.On, e.Done = false, true
			x.observe(e)
			x.answered("j", 1, model.Done, now)
			x.answered("j", 1, model.Done, now)
		}},
		{"above the limit", "quota", func(x *truth) {
			j := job(func(j *model.Job) { j.Size.CPUs, j.Tasks = 4, 1000 })
			for i := 0.0; i <= p.Teams[0].Limit; i += 4 {
				x.observe(on(j, "j/0", zones[0]))
			}
		}},
		{"a zone that is not allowed", "wrong_place", func(x *truth) {
			x.observe(on(job(func(j *model.Job) { j.Zone = zones[1] }), "j/0", zones[0]))
		}},
		{"a type that is not allowed", "wrong_place", func(x *truth) {
			x.observe(on(job(func(j *model.Job) { j.Types = []string{"large"} }), "j/0", zones[0]))
		}},
		{"a spot machine", "wrong_place", func(x *truth) {
			e := on(job(func(*model.Job) {}), "j/0", zones[0])
			e.Spot = true
			x.observe(e)
		}},
		{"tasks of a one-zone job in two zones", "wrong_place", func(x *truth) {
			j := job(func(j *model.Job) { j.OneZone = true })
			x.observe(on(j, "j/0", zones[0]))
			x.observe(on(j, "j/1", zones[1]))
		}},
		{"too many tasks of a spread job in a zone", "wrong_place", func(x *truth) {
			j := job(func(j *model.Job) { j.Spread = true })
			for _, task := range []string{"j/0", "j/1", "j/2"} {
				x.observe(on(j, task, zones[0]))
			}
		}},
		{"started long after it was cancelled", "ran_cancelled", func(x *truth) {
			x.answered("j", 4, model.Cancelled, now.Add(-cancelWait-time.Second))
			x.observe(on(job(func(*model.Job) {}), "j/0", zones[0]))
		}},
		{"runs long after it was cancelled", "ran_cancelled", func(x *truth) {
			x.observe(on(job(func(*model.Job) {}), "j/0", zones[0]))
			x.answered("j", 4, model.Cancelled, now)
			x.sweep(now.Add(cancelWait + time.Second))
		}},
		{"reported done before its tasks are", "not_done", func(x *truth) { x.answered("j", 4, model.Done, now) }},
		{"another stage after a final one", "went_back", func(x *truth) {
			x.answered("j", 4, model.Cancelled, now)
			x.answered("j", 4, "running", now)
		}},
	} {
		x := newTruth(p)
		c.do(x)
		broken, _, _ := x.take()
		if got := strings.Join(broken, "; "); (got == "") != (c.rule == "") || !strings.HasPrefix(got, c.rule) {
			t.Errorf("%s: %q", c.name, got)
		}
	}
}
