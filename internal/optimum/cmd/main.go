// Command cmd prints the bound that package optimum computes for a recorded day.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/optimum"
	"github.com/marlwood/marlwood/internal/replay"
)

type cli struct {
	Dir    string        `arg:"" help:"The recording."`
	Within time.Duration `help:"Time within which a job is to begin." default:"4m"`
	First  []string      `help:"Classes that start before all others."`
	Window time.Duration `help:"Length of a window." default:"20s"`
}

// Run reads the recording, solves the linear program and prints the bound.
func (c *cli) Run() error {
	d, _, err := replay.ReadDay(c.Dir)
	if err != nil {
		return err
	}
	jobs, inTime := c.jobs(d)
	q := optimum.Question{First: c.First, Window: c.Window, Within: c.Within, CPUs: c.capacity(d), Jobs: jobs}
	a, err := optimum.Solve(q)
	if err != nil {
		return err
	}
	fmt.Printf("at most %.2f of each class could have begun within %v\n", a.Share, c.Within)
	for class, n := range a.Jobs {
		fmt.Printf("%s: %d jobs, all tasks of %d of them had started by then\n", class, n, inTime[class])
	}
	return nil
}

// capacity returns the CPUs of a day's machines by window. A machine that was up for part of a window counts for the
// whole window.
func (c *cli) capacity(d *replay.Day) []float64 {
	cpus := make([]float64, int(d.End/c.Window)+1)
	for _, m := range d.Machines.All() {
		gone := m.EndedAt
		if gone < 0 {
			gone = d.End
		}
		for w := range cpus {
			if at := time.Duration(w) * c.Window; m.Up >= 0 && m.Up < at+c.Window && gone > at {
				cpus[w] += d.Types[m.Pool.Type].Size.CPUs
			}
		}
	}
	return cpus
}

// jobs returns a day's jobs that were not cancelled, and by class how many of them had started in time.
func (c *cli) jobs(d *replay.Day) (jobs []optimum.Job, inTime map[string]int) {
	runs := meanRuns(d)
	inTime = map[string]int{}
	for _, j := range d.Jobs.All() {
		if j.Cancelled >= 0 || j.Submitted < 0 {
			continue
		}
		s, tasks := j.Spec, j.Spec.Tasks
		if limit := d.Config.Teams[s.Team].Limit.CPUs; limit > 0 && s.Shape == model.Array {
			tasks = min(tasks, model.Size{CPUs: s.Size.CPUs}.Slots(model.Size{CPUs: limit}))
		}
		jobs = append(jobs, optimum.Job{Class: s.Class, At: j.Submitted, Tasks: tasks, CPUs: s.Size.CPUs, Runs: runs[s.Class]})
		if j.Started >= 0 && j.Started-j.Submitted <= c.Within {
			inTime[s.Class]++
		}
	}
	return jobs, inTime
}

// meanRuns returns the mean run time of completed tasks by class.
func meanRuns(d *replay.Day) map[string]time.Duration {
	sum, n := map[string]time.Duration{}, map[string]time.Duration{}
	for _, t := range d.Tasks {
		if j := d.Jobs.At(t.Job); j != nil && t.Running >= 0 && t.Ended > t.Running && t.Cause == model.CauseDone {
			sum[j.Spec.Class] += t.Ended - t.Running
			n[j.Spec.Class]++
		}
	}
	for class := range sum {
		sum[class] /= n[class]
	}
	return sum
}

func main() {
	var c cli
	kong.Parse(&c, kong.Description("The largest share of a recorded day's jobs that any scheduler could have begun in time."))
	if err := c.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "bound:", err)
		os.Exit(1)
	}
}
