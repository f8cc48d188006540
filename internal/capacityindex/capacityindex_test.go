package capacityindex

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/marlwood/marlwood/internal/model"
)

// sizes draws sizes in steps of a tenth.
var sizes = rapid.Custom(func(t *rapid.T) model.Size {
	tenths := func(label string, limit int) float64 { return float64(rapid.IntRange(0, limit).Draw(t, label)) / 10 }
	return model.Size{
		CPUs:     tenths("cpus", 400),
		GPUs:     tenths("gpus", 20),
		MemoryGB: tenths("memory", 900),
	}
})

// MayFit must never return false for a task that fits on a machine, because placement does not try a
// job without a fit. It must return false for a size with more CPUs or memory than any machine has free.
func TestMayFit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machines := rapid.SliceOfN(sizes, 0, 8).Draw(t, "machines")
		var index, other Index
		for i, machine := range machines {
			if i%2 == 0 {
				other.Add(machine)
			} else {
				index.Add(machine)
			}
		}
		other.MayFit(model.Size{}) // makes the rows of other cumulative before the merge
		index.Merge(&other)
		queries := append(rapid.SliceOfN(sizes, 1, 8).Draw(t, "queries"), machines...)
		for _, size := range queries {
			fits, enoughCPUs, enoughMemory := false, false, false
			for _, machine := range machines {
				fits = fits || size.Fits(machine)
				enoughCPUs = enoughCPUs || size.CPUs <= machine.CPUs+1.0/rowsPerCPU
				enoughMemory = enoughMemory || size.MemoryGB <= machine.MemoryGB+0.01
			}
			mayFit := index.MayFit(size)
			if fits && !mayFit {
				t.Fatalf("size %v, machines %v: MayFit is false, but the size fits", size, machines)
			}
			if mayFit && (!enoughCPUs || !enoughMemory) {
				t.Fatalf("size %v, machines %v: MayFit is true, but no machine has enough CPUs or none has enough memory", size, machines)
			}
		}
	})
}
