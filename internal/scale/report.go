package scale

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/olekukonko/tablewriter"
	"github.com/prometheus/procfs"
)

// Sample is the resource usage of a controller's process at one time. It is taken every second.
type Sample struct {
	At      time.Duration // since the users started in its region
	CPU     float64       // processor time so far, in seconds
	Memory  int           // resident memory in bytes
	Files   int           // open files, mostly sockets
	Leading bool
}

// Report is the result of a run. Rates are per second.
type Report struct {
	Share        float64
	For          time.Duration
	Starts       Rate
	RunningMost  int
	MachinesMost int
	Jobs         UserCounts
	WorkerSent   Spread
	WorkerHeard  Spread
	WorkerAsked  Spread
	Heartbeats   Spread // of a worker
	Exited       Spread // exited tasks in a heartbeat: the mean of each worker
	ExitedMost   Spread // the most in one heartbeat of each worker
	Controllers  []ControllerReport
	StateAsked   Rate // requests, over all regions together
	StateWrote   Rate
	Urgent       Waits
	Ordinary     Waits
	Killed       int       // number of tasks that ended because their machine's lease expired
	CutStarts    []float64 // starts per second in the region that was cut off, for each second of the cut
	LongestMS    int64     // longest time without a task start in a region
	Broken       []string
	Seconds      []Second
}

// Rate holds the median and the maximum of a rate over the seconds after the first tenth of the run.
type Rate struct{ P50, Most float64 }

// Spread is the distribution of a figure over the workers.
type Spread struct{ Mean, P99 float64 }

// Waits is the distribution of times from submission to running, in milliseconds.
type Waits struct {
	Count          int64
	P50, P99, P999 float64
}

// ControllerReport is the resource usage of a controller.
type ControllerReport struct {
	Name             string
	Led              bool // whether it was the leader at the end
	CPUMean, CPUMost float64
	MemoryMost       int // in bytes
	FilesMost        int
}

// Second is one second of the run, all regions together.
type Second struct {
	At       int
	Starts   float64
	Running  int
	Machines int
}

// sample records the current resource usage of the controllers, and returns the memory of all processes in bytes.
func (r *run) sample() uint64 {
	total := uint64(0)
	for _, g := range r.regions {
		total += uint64(sampleOf(g.process).Memory)
		leader := g.leader()
		for _, c := range g.controllers {
			s := sampleOf(c.process)
			s.At, s.Leading = g.at(), c == leader
			total += uint64(s.Memory)
			if s.Memory > 0 {
				c.samples = append(c.samples, s)
			}
		}
	}
	return total
}

func sampleOf(p *process) (s Sample) {
	proc, err := procfs.NewProc(p.cmd.Process.Pid)
	if err != nil {
		return s // it has ended
	}
	stat, err := proc.Stat()
	if err != nil {
		return s
	}
	s.CPU, s.Memory = stat.CPUTime(), stat.ResidentMemory()
	s.Files, _ = proc.FileDescriptorsLen() // 0 for a process that has just ended
	return s
}

// report summarises the run.
func (r *run) report() *Report {
	out := &Report{Share: r.opt.Share, For: r.opt.For}
	out.Seconds = r.seconds()
	skip := len(out.Seconds) / 10
	var starts []float64
	for _, s := range out.Seconds[skip:] {
		starts = append(starts, s.Starts)
		out.RunningMost, out.MachinesMost = max(out.RunningMost, s.Running), max(out.MachinesMost, s.Machines)
	}
	out.Starts = rate(starts)
	out.StateAsked = rate(r.perSecond(func(s Snapshot) int64 { return s.Requests })[skip:])
	out.StateWrote = rate(r.perSecond(func(s Snapshot) int64 { return s.Writes })[skip:])
	urgent, ordinary := hdrhistogram.New(minWait, maxWait, digits), hdrhistogram.New(minWait, maxWait, digits)
	var rates []WorkerRate
	for _, g := range r.regions {
		last := g.snapshots[len(g.snapshots)-1]
		out.Broken = append(out.Broken, last.Broken...)
		out.Killed += last.Killed
		out.CutStarts = append(out.CutStarts, r.cutStarts(g)...)
		out.LongestMS = max(out.LongestMS, last.LongestMS)
		out.Jobs.add(last.Users)
		urgent.Merge(hdrhistogram.Import(last.Final.Urgent))
		ordinary.Merge(hdrhistogram.Import(last.Final.Ordinary))
		rates = append(rates, last.Final.Workers...)
		for _, c := range g.controllers {
			out.Controllers = append(out.Controllers, c.report())
		}
	}
	out.Urgent, out.Ordinary = waits(urgent), waits(ordinary)
	out.WorkerSent = spread(rates, func(w WorkerRate) float64 { return w.Sent })
	out.WorkerHeard = spread(rates, func(w WorkerRate) float64 { return w.Received })
	out.WorkerAsked = spread(rates, func(w WorkerRate) float64 { return w.Requests })
	out.Heartbeats = spread(rates, func(w WorkerRate) float64 { return w.Heartbeats })
	out.Exited = spread(rates, func(w WorkerRate) float64 { return w.Exited })
	out.ExitedMost = spread(rates, func(w WorkerRate) float64 { return w.ExitedMost })
	return out
}

// cutStarts returns the task starts in each second in which the region was cut off.
func (r *run) cutStarts(g *regionRun) (out []float64) {
	if g.plan.Region != r.opt.CutRegion {
		return nil
	}
	for i := 1; i < len(g.snapshots); i++ {
		if at := g.snapshots[i].At; at >= r.opt.CutAt && at < r.opt.CutAt+r.opt.CutFor {
			out = append(out, float64(g.snapshots[i].Started-g.snapshots[i-1].Started))
		}
	}
	return out
}

func (c *UserCounts) add(o UserCounts) {
	c.Submitted += o.Submitted
	c.Accepted += o.Accepted
	c.Refused += o.Refused
	c.Done += o.Done
	c.Cancelled += o.Cancelled
}

// perSecond returns the rate at which a counter, summed over all regions, rises between successive snapshots.
func (r *run) perSecond(of func(s Snapshot) int64) []float64 {
	var out []float64
	for _, g := range r.regions {
		for i := 1; i < len(g.snapshots); i++ {
			if len(out) < i {
				out = append(out, 0)
			}
			took := (g.snapshots[i].At - g.snapshots[i-1].At).Seconds()
			out[i-1] += float64(of(g.snapshots[i])-of(g.snapshots[i-1])) / took
		}
	}
	return out
}

func (r *run) seconds() []Second {
	var out []Second
	for i, starts := range r.perSecond(func(s Snapshot) int64 { return int64(s.Started) }) {
		s := Second{At: i + 1, Starts: starts}
		for _, g := range r.regions {
			if i+1 < len(g.snapshots) {
				s.Running += g.snapshots[i+1].Running
				s.Machines += g.snapshots[i+1].Machines
			}
		}
		out = append(out, s)
	}
	return out
}

func rate(all []float64) Rate {
	if len(all) == 0 {
		return Rate{}
	}
	sorted := slices.Sorted(slices.Values(all))
	return Rate{P50: sorted[len(sorted)/2], Most: sorted[len(sorted)-1]}
}

func spread(all []WorkerRate, of func(w WorkerRate) float64) (s Spread) {
	if len(all) == 0 {
		return s
	}
	var values []float64
	for _, w := range all {
		values = append(values, of(w))
		s.Mean += of(w) / float64(len(all))
	}
	slices.Sort(values)
	s.P99 = values[len(values)*99/100]
	return s
}

func waits(h *hdrhistogram.Histogram) Waits {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Waits{h.TotalCount(), at(50), at(99), at(99.9)}
}

func (c *controller) report() ControllerReport {
	out := ControllerReport{Name: c.name}
	for i, s := range c.samples {
		out.MemoryMost, out.FilesMost, out.Led = max(out.MemoryMost, s.Memory), max(out.FilesMost, s.Files), s.Leading
		if i == 0 || s.CPU < c.samples[i-1].CPU { // the process was restarted
			continue
		}
		used := s.CPU - c.samples[i-1].CPU
		out.CPUMost = max(out.CPUMost, used)
		out.CPUMean += used / float64(len(c.samples)-1)
	}
	return out
}

const megabyte = 1 << 20

// Write writes the report as a table.
func (r *Report) Write(to io.Writer) error {
	t := tablewriter.NewWriter(to)
	t.Header("figure", "value", "", "")
	rows := [][]string{
		{"starts a second", fmt.Sprintf("p50 %.0f", r.Starts.P50), fmt.Sprintf("most %.0f", r.Starts.Most), ""},
		{"at once, most", fmt.Sprintf("%d tasks", r.RunningMost), fmt.Sprintf("%d machines", r.MachinesMost), ""},
		{"jobs", fmt.Sprintf("%d accepted", r.Jobs.Accepted), fmt.Sprintf("%d done", r.Jobs.Done), fmt.Sprintf("%d refused", r.Jobs.Refused)},
		{"worker, bytes sent a second", fmt.Sprintf("mean %.0f", r.WorkerSent.Mean), fmt.Sprintf("p99 %.0f", r.WorkerSent.P99), ""},
		{"worker, bytes received a second", fmt.Sprintf("mean %.0f", r.WorkerHeard.Mean), fmt.Sprintf("p99 %.0f", r.WorkerHeard.P99), ""},
		{"worker, heartbeats a second", fmt.Sprintf("mean %.2f", r.Heartbeats.Mean), fmt.Sprintf("p99 %.2f", r.Heartbeats.P99), ""},
		{"exited tasks in a heartbeat", fmt.Sprintf("mean %.3f", r.Exited.Mean), fmt.Sprintf("p99 of workers %.3f", r.Exited.P99), ""},
		{"exited tasks, most in a heartbeat", fmt.Sprintf("mean %.2f", r.ExitedMost.Mean), fmt.Sprintf("p99 of workers %.0f", r.ExitedMost.P99), ""},
		{"worker, requests a second", fmt.Sprintf("mean %.2f", r.WorkerAsked.Mean), fmt.Sprintf("p99 %.2f", r.WorkerAsked.P99), ""},
		{"state services, requests a second", fmt.Sprintf("p50 %.0f", r.StateAsked.P50), fmt.Sprintf("most %.0f", r.StateAsked.Most), ""},
		{"state services, writes a second", fmt.Sprintf("p50 %.0f", r.StateWrote.P50), fmt.Sprintf("most %.0f", r.StateWrote.Most), ""},
		r.Urgent.row("urgent, submission to running"),
		r.Ordinary.row("others, submission to first task"),
		{"longest without a start", fmt.Sprintf("%d ms", r.LongestMS), "", ""},
		{"tasks killed by leases", fmt.Sprint(r.Killed), "", ""},
		{"starts a second while cut off", fmt.Sprintf("p50 %.0f", rate(r.CutStarts).P50), fmt.Sprintf("%d seconds", len(r.CutStarts)), ""},
		{"rules broken", fmt.Sprint(len(r.Broken)), "", ""},
	}
	for _, c := range r.Controllers {
		name := c.Name
		if c.Led {
			name += " (leader)"
		}
		rows = append(rows, []string{name, fmt.Sprintf("%.2f cores, most %.2f", c.CPUMean, c.CPUMost),
			fmt.Sprintf("%d MB", c.MemoryMost/megabyte), fmt.Sprintf("%d files", c.FilesMost)})
	}
	if err := t.Bulk(rows); err != nil {
		return err
	}
	return t.Render()
}

func (w Waits) row(name string) []string {
	return []string{name, fmt.Sprintf("p50 %.0f ms", w.P50), fmt.Sprintf("p99 %.0f ms", w.P99), fmt.Sprintf("p99.9 %.0f ms of %d", w.P999, w.Count)}
}
