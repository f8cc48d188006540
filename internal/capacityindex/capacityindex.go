// Package capacityindex indexes the free capacity of many machines and reports in a few steps
// whether a task may fit on any of them. The index is approximate in one direction only: it never
// answers no if the task fits on some machine, but it sometimes answers yes if it fits on none.
package capacityindex

import (
	"math"

	"github.com/marlwood/marlwood/internal/model"
)

const (
	rowsPerCPU = 4
	maxRows    = 1024 // machines with more free CPUs share the last row
	rounding   = 1e-5 // in rows; keeps a size with a floating-point error in its own row
)

// maxima holds the largest free memory, the largest number of free GPUs, and the largest free space in the heartbeat of a
// group of machines. They may belong to different machines.
type maxima struct {
	memoryGB    float64
	gpus        float64
	reportBytes int
	any         bool // the group has at least one machine
}

// raise adds the machines of other to the group.
func (m *maxima) raise(other maxima) {
	switch {
	case !other.any:
	case !m.any:
		*m = other
	default:
		m.memoryGB, m.gpus = max(m.memoryGB, other.memoryGB), max(m.gpus, other.gpus)
		m.reportBytes = max(m.reportBytes, other.reportBytes)
	}
}

// Index is an index of the free capacity of many machines. Its rows are ordered by the number of
// free CPUs, in steps of 1/rowsPerCPU. The zero Index has no machines. An Index is not safe for
// concurrent use, not even for concurrent queries.
type Index struct {
	rows       []maxima // by row number, see rowOf
	cumulative bool     // each row also covers the machines of all later rows
}

// rowOf returns the number of the row for a number of CPUs.
func rowOf(cpus float64) int {
	return min(maxRows-1, max(0, int(math.Floor(cpus*rowsPerCPU+rounding))))
}

// grow extends the index to at least the given number of rows.
func (x *Index) grow(rows int) {
	for len(x.rows) < rows {
		x.rows = append(x.rows, maxima{})
	}
}

// Add adds a machine with the given free capacity. It leaves out machines that are overcommitted,
// that is, whose free capacity is negative.
func (x *Index) Add(free model.Size) {
	if free.CPUs < 0 || free.MemoryGB < 0 || free.GPUs < 0 {
		return
	}
	row := rowOf(free.CPUs)
	x.grow(row + 1)
	x.rows[row].raise(maxima{memoryGB: free.MemoryGB, gpus: free.GPUs, reportBytes: free.ReportBytes, any: true})
	x.cumulative = false
}

// Merge adds the machines of another index, which is not modified.
func (x *Index) Merge(other *Index) {
	x.grow(len(other.rows))
	for i, row := range other.rows {
		x.rows[i].raise(row)
	}
	x.cumulative = false
}

// MayFit reports whether a task of the given size may fit on some machine. If it returns false, the
// task fits on none.
func (x *Index) MayFit(size model.Size) bool {
	x.accumulate()
	row := rowOf(size.CPUs)
	if row >= len(x.rows) || !x.rows[row].any {
		return false
	}
	largest := model.Size{GPUs: x.rows[row].gpus, MemoryGB: x.rows[row].memoryGB, ReportBytes: x.rows[row].reportBytes}
	size.CPUs = 0
	return size.Fits(largest)
}

// accumulate adds the machines of all later rows to each row.
func (x *Index) accumulate() {
	if x.cumulative {
		return
	}
	for i := len(x.rows) - 2; i >= 0; i-- {
		x.rows[i].raise(x.rows[i+1])
	}
	x.cumulative = true
}
