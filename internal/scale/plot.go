package scale

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Plot draws, over time, the starts per second, the running tasks in hundreds, and the machines in tens.
func (r *Report) Plot(path string) error {
	p := plot.New()
	p.X.Label.Text = "seconds"
	var starts, running, machines plotter.XYs
	for _, s := range r.Seconds {
		x := float64(s.At)
		starts = append(starts, plotter.XY{X: x, Y: s.Starts})
		running = append(running, plotter.XY{X: x, Y: float64(s.Running) / 100})
		machines = append(machines, plotter.XY{X: x, Y: float64(s.Machines) / 10})
	}
	err := plotutil.AddLines(p, "starts a second", starts, "tasks at once, in hundreds", running, "machines, in tens", machines)
	if err != nil {
		return err
	}
	const width, height = 24 * vg.Centimeter, 14 * vg.Centimeter
	return p.Save(width, height, path)
}
