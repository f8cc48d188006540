package replay

import (
	"bytes"
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"math"
	"os"
	"path/filepath"
	"time"

	"github.com/olekukonko/tablewriter"
	"github.com/parquet-go/parquet-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// number formats a figure, or returns "-" if there is none.
func number(v float64) string {
	if math.IsNaN(v) || math.IsInf(v, 0) {
		return "-"
	}
	return fmt.Sprintf("%.1f", v)
}

func (s Spread) text() string {
	if math.IsNaN(s.Mean) || s.Min == s.Max {
		return number(s.Mean)
	}
	return fmt.Sprintf("%s (%s to %s)", number(s.Mean), number(s.Min), number(s.Max))
}

// verdict summarizes a comparison in a word.
func (c Compared) verdict(changed bool) string {
	switch {
	case !changed:
		off := math.Abs(c.Before.Mean-c.Recorded) / c.Recorded
		switch {
		case math.IsNaN(off) || math.IsInf(off, 0):
			return ""
		case off <= tolerated:
			return "within 10%"
		case c.Recorded >= c.Before.Min && c.Recorded <= c.Before.Max:
			return "within spread"
		}
		return fmt.Sprintf("off by %.0f%%", 100*off)
	case math.IsNaN(c.Before.Mean) || math.IsNaN(c.After.Mean):
		return ""
	case c.Changed:
		return fmt.Sprintf("%+.0f%%", 100*(c.After.Mean/c.Before.Mean-1))
	}
	return "within spread"
}

// tolerated is how far a day simulated under its own rules may differ from the recording.
const tolerated = 0.1

// Print writes the answer as tables.
func (a *Answer) Print(w io.Writer) error {
	changed := len(a.after) > 0
	printf(w, "a day of %v, led for %d terms\n", a.Length.Round(time.Second), a.Terms)
	for _, l := range a.Assumptions {
		printf(w, "%s\n", l)
	}
	t := tablewriter.NewTable(w)
	if changed {
		t.Header("group", "name", "figure", "recorded", "before", "after", "change")
	} else {
		t.Header("group", "name", "figure", "recorded", "played again", "difference")
	}
	row := func(g Group, figure string, c Compared) error {
		cells := []string{g.What, g.Name, figure, number(c.Recorded), c.Before.text()}
		if changed {
			cells = append(cells, c.After.text())
		}
		return t.Append(append(cells, c.verdict(changed)))
	}
	for _, r := range a.Rows {
		if err := row(r.Group, r.Figure, r.Compared); err != nil {
			return err
		}
	}
	if err := row(Group{"all", ""}, "price", a.Price); err != nil {
		return err
	}
	if err := t.Render(); err != nil {
		return err
	}
	if o := a.Order; !changed && o != nil && o.Pairs > 0 {
		printf(w, "order of first starts: %d of %d pairs as recorded (%.2f%%); turned ones were up to %.1f s apart; a job starts %.1f s off at p50, %.1f s at p90\n",
			o.Pairs-o.Turned, o.Pairs, 100*float64(o.Pairs-o.Turned)/float64(o.Pairs), o.Worst.Seconds(), o.OffP50, o.OffP90)
	}
	if x := a.Exact; x != nil {
		printf(w, "with the recorded reports as well: ")
		if x.Holds() {
			printf(w, "all %d starts as recorded, job for job\n", x.Starts)
		} else {
			printf(w, "the first difference is in frame %d of stream %s\n", x.Differs.Frame, x.Differs.Stream)
		}
	}
	for _, g := range a.Gangs {
		printf(w, "gang %s (%s): %s; now %s\n", g.Job, g.Class, g.Before, g.After)
	}
	return nil
}

// MarshalJSON writes missing figures as null.
func (s Spread) MarshalJSON() ([]byte, error) {
	if math.IsNaN(s.Mean) {
		return []byte("null"), nil
	}
	type plain Spread
	return json.Marshal(plain(s))
}

// MarshalJSON writes a missing recorded figure as null and omits a missing After.
func (r Row) MarshalJSON() ([]byte, error) {
	return json.Marshal(struct {
		Group
		Figure string `json:"figure"`
		jsonCompared
	}{r.Group, r.Figure, r.json()})
}

// MarshalJSON writes a missing recorded figure as null and omits a missing After.
func (c Compared) MarshalJSON() ([]byte, error) { return json.Marshal(c.json()) }

type jsonCompared struct {
	Recorded *float64 `json:"recorded"`
	Before   Spread   `json:"before"`
	After    *Spread  `json:"after,omitempty"`
	Changed  bool     `json:"changed"`
}

func (c Compared) json() jsonCompared {
	out := jsonCompared{Before: c.Before, Changed: c.Changed}
	if !math.IsNaN(c.Recorded) {
		out.Recorded = &c.Recorded
	}
	if !math.IsNaN(c.After.Mean) {
		out.After = &c.After
	}
	return out
}

// days returns the days of a report with their names.
func (a *Answer) days() (out []namedDay) {
	out = append(out, namedDay{"recorded", 0, a.recorded})
	for i, d := range a.before {
		out = append(out, namedDay{"before", i + 1, d})
	}
	for i, d := range a.after {
		out = append(out, namedDay{"after", i + 1, d})
	}
	return out
}

type namedDay struct {
	name string
	seed int // 0: recorded
	day  *Day
}

// Report writes a page with plots, and the raw events as Parquet, into a directory, which it creates.
func (a *Answer) Report(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	var text bytes.Buffer
	if err := a.Print(&text); err != nil {
		return err
	}
	page := struct {
		Text  string
		Plots []template.HTML
	}{Text: text.String()}
	for _, p := range []struct {
		title, y string
		draw     func(p *plot.Plot) error
	}{
		{"CPUs up and in use", "CPUs", a.plotUsage},
		{"Price so far", "price", a.plotPrice},
		{"Waits until all tasks have started", "share of jobs", a.plotWaits},
	} {
		svg, err := draw(p.title, p.y, p.draw)
		if err != nil {
			return fmt.Errorf("report: %s: %w", p.title, err)
		}
		page.Plots = append(page.Plots, svg)
	}
	var html bytes.Buffer
	if err := pageTemplate.Execute(&html, page); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	if err := os.WriteFile(filepath.Join(dir, "index.html"), html.Bytes(), 0o644); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return a.parquet(dir)
}

var pageTemplate = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>marlwood: what if</title>
<style>body{font-family:sans-serif;max-width:70em;margin:2em auto}pre{overflow-x:auto;font-size:80%}svg{max-width:100%;height:auto}</style>
</head><body><h1>What if</h1>
{{range .Plots}}<figure>{{.}}</figure>
{{end}}<pre>{{.Text}}</pre></body></html>
`))

// draw renders a plot over a day as SVG to embed in the page.
func draw(title, y string, fill func(p *plot.Plot) error) (template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "seconds", y
	p.Legend.Top, p.Legend.Left = true, true
	p.Add(plotter.NewGrid())
	if err := fill(p); err != nil {
		return "", err
	}
	w, err := p.WriterTo(24*vg.Centimeter, 10*vg.Centimeter, "svg")
	if err != nil {
		return "", err
	}
	var b bytes.Buffer
	if _, err := w.WriteTo(&b); err != nil {
		return "", err
	}
	svg := b.Bytes()
	if i := bytes.Index(svg, []byte("<svg")); i > 0 { // without the file header
		svg = svg[i:]
	}
	return template.HTML(svg), nil //nolint:gosec // generated here from numbers and constant texts
}

// plotStep is the interval between the points of plots over time.
const plotStep = 2 * time.Second

// lines adds lines to a plot, each in a different colour.
func lines(p *plot.Plot, names []string, points []plotter.XYs) error {
	for i, xy := range points {
		if len(xy) == 0 {
			continue
		}
		l, err := plotter.NewLine(xy)
		if err != nil {
			return err
		}
		l.Color, l.Dashes = plotutil.Color(i), plotutil.Dashes(i/3)
		p.Add(l)
		p.Legend.Add(names[i], l)
	}
	return nil
}

// first returns the recorded day and the first simulated day of each set of rules.
func (a *Answer) first() (out []namedDay) {
	for _, d := range a.days() {
		if d.seed <= 1 {
			out = append(out, d)
		}
	}
	return out
}

func (a *Answer) plotUsage(p *plot.Plot) error {
	var names []string
	var points []plotter.XYs
	for _, d := range a.first() {
		var up, used plotter.XYs
		for _, u := range usages(d.day, plotStep) {
			up = append(up, plotter.XY{X: u.at.Seconds(), Y: u.up})
			used = append(used, plotter.XY{X: u.at.Seconds(), Y: u.used})
		}
		names, points = append(names, d.name+": up", d.name+": in use"), append(points, up, used)
	}
	return lines(p, names, points)
}

func (a *Answer) plotPrice(p *plot.Plot) error {
	var names []string
	var points []plotter.XYs
	for _, d := range a.first() {
		var cost plotter.XYs
		for _, u := range usages(d.day, plotStep) {
			cost = append(cost, plotter.XY{X: u.at.Seconds(), Y: u.cost})
		}
		names, points = append(names, d.name), append(points, cost)
	}
	return lines(p, names, points)
}

func (a *Answer) plotWaits(p *plot.Plot) error {
	var names []string
	var points []plotter.XYs
	for _, d := range a.first() {
		var waits Sample
		for _, j := range d.day.Jobs.All() {
			if j.Started >= 0 {
				waits = append(waits, (j.Started - j.Submitted).Seconds())
			}
		}
		var share plotter.XYs
		for q := 0; q <= 100 && len(waits) > 0; q++ {
			share = append(share, plotter.XY{X: waits.quantile(float64(q) / 100), Y: float64(q) / 100})
		}
		names, points = append(names, d.name), append(points, share)
	}
	return lines(p, names, points)
}

// jobRow and taskRow are the rows of the Parquet files, one for each job or attempt of a task on a
// day. Times are in seconds from the beginning of the day; null means never.
type jobRow struct {
	Day       string   `parquet:"day,dict"`
	Seed      int32    `parquet:"seed"`
	Job       string   `parquet:"job"`
	Class     string   `parquet:"class,dict"`
	Team      string   `parquet:"team,dict"`
	Shape     string   `parquet:"shape,dict"`
	Tasks     int32    `parquet:"tasks"`
	Submitted float64  `parquet:"submitted_s"`
	First     *float64 `parquet:"first_start_s,optional"`
	Started   *float64 `parquet:"started_s,optional"`
	Done      *float64 `parquet:"done_s,optional"`
	Cancelled *float64 `parquet:"cancelled_s,optional"`
}

type taskRow struct {
	Day     string   `parquet:"day,dict"`
	Seed    int32    `parquet:"seed"`
	Job     string   `parquet:"job,dict"`
	Task    int32    `parquet:"task"`
	Attempt uint64   `parquet:"attempt"`
	Machine string   `parquet:"machine,dict"`
	Type    string   `parquet:"type,dict"`
	Zone    string   `parquet:"zone,dict"`
	Spot    bool     `parquet:"spot"`
	Ordered float64  `parquet:"ordered_s"`
	Ready   *float64 `parquet:"ready_s,optional"`
	Running *float64 `parquet:"running_s,optional"`
	Ended   *float64 `parquet:"ended_s,optional"`
	Cause   string   `parquet:"cause,dict"`
}

func moment(t time.Duration) *float64 {
	if t < 0 {
		return nil
	}
	s := t.Seconds()
	return &s
}

func (a *Answer) parquet(dir string) error {
	var jobs []jobRow
	var tasks []taskRow
	for _, d := range a.days() {
		for id, j := range d.day.Jobs.All() {
			jobs = append(jobs, jobRow{d.name, int32(d.seed), id, j.Spec.Class, j.Spec.Team, string(j.Spec.Shape), int32(j.Spec.Tasks),
				j.Submitted.Seconds(), moment(j.FirstStart), moment(j.Started), moment(j.Done), moment(j.Cancelled)})
		}
		for _, t := range d.day.Tasks {
			r := taskRow{Day: d.name, Seed: int32(d.seed), Job: t.Job, Task: int32(t.Index), Attempt: t.Attempt, Machine: t.Machine,
				Ordered: t.Ordered.Seconds(), Ready: moment(t.Ready), Running: moment(t.Running), Ended: moment(t.Ended), Cause: string(t.Cause)}
			if m := d.day.Machines.At(t.Machine); m != nil {
				r.Type, r.Zone, r.Spot = m.Pool.Type, m.Pool.Zone, m.Spot
			}
			tasks = append(tasks, r)
		}
	}
	if err := parquet.WriteFile(filepath.Join(dir, "jobs.parquet"), jobs, parquet.Compression(&parquet.Zstd)); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	if err := parquet.WriteFile(filepath.Join(dir, "tasks.parquet"), tasks, parquet.Compression(&parquet.Zstd)); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}
