package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

// largeCluster returns the state of a large cluster whose machines are half full and whose pending jobs are arrays and
// gangs.
func largeCluster(machines, jobs int) bench {
	b := newBench(nil)
	b.job("runs", func(j *model.Job) { j.Tasks, j.Estimate = 4*machines, time.Minute })
	for i := range machines {
		b.machine(fmt.Sprintf("m%05d", i), "big", []string{"a", "b"}[i%2], task("runs", 2*i, 1, model.TaskRunning, ""),
			task("runs", 2*i+1, 1, model.TaskRunning, ""))
	}
	for i := range jobs {
		b.job(fmt.Sprintf("job-%05d", i), func(j *model.Job) {
			j.Shape = []model.Shape{model.Array, model.Gang}[i%2]
			j.Tasks, j.Size, j.Priority = 40, model.Size{CPUs: 30, MemoryGB: 9}, []model.Priority{model.Low, model.High}[i%2]
		})
	}
	b.takeoverComplete = true
	b.SetDrains([]*Drain{{Scope: ZoneScope, Name: "a", Deadline: at(90)}}, at(1))
	return b
}

// Measures how long an operator's query occupies the event loop, for which a placement round has to wait. It should
// take no more than 20 ms in a large cluster.
func BenchmarkOperatorQueries(b *testing.B) {
	for _, size := range [][2]int{{900, 200}, {3600, 800}} {
		cluster := largeCluster(size[0], size[1])
		for name, query := range map[string]func(){
			"jobs":     func() { cluster.JobRows("", at(2)) },
			"nodes":    func() { cluster.MachineRows("", at(2)) },
			"teams":    func() { cluster.TeamRows() },
			"explain":  func() { cluster.Explain("job-00013", at(2)) },
			"blockers": func() { cluster.Blockers("job-00013", at(2)) },
			"drains":   func() { cluster.DrainRows(at(2)) },
			"check": func() {
				cluster.DrainCheck(&Drain{Scope: ZoneScope, Name: "b"}, at(2), func(model.Pool, bool) bool { return true })
			},
		} {
			b.Run(fmt.Sprintf("%s/%dmachines/%djobs", name, size[0], size[1]), func(b *testing.B) {
				for b.Loop() {
					query()
				}
			})
		}
	}
}
