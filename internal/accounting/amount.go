package accounting

import (
	"math"
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

// UsageKind is the kind of usage that an interval of a task is counted as.
type UsageKind int

// The kinds of usage.
const (
	Run            UsageKind = iota // the task ran or wrote a checkpoint
	Wait                            // the task occupied its machine while it fetched its image or waited for its gang
	Wasted                          // the task did work that must be repeated; the interval also counts as Run
	usageKindCount                  // the number of kinds
)

// milliUnits is the number of units of an Amount for one CPU, GPU or GB during one millisecond.
const milliUnits = 1000

// unitsPerCPUSecond is the number of units of an Amount for one CPU during one second.
const unitsPerCPUSecond = 1e6

// Amount is the use of each resource over time, in thousandths of a CPU, GPU and GB times milliseconds. The
// amounts are integers, so that sums are exact in any order.
type Amount struct {
	CPU, GPU, Memory int64
}

// usageOf returns the usage of a size over a duration; a negative duration counts as zero.
func usageOf(size model.Size, duration time.Duration) Amount {
	milliseconds := max(0, duration.Milliseconds())
	over := func(resource float64) int64 { return int64(math.Round(resource*milliUnits)) * milliseconds }
	return Amount{CPU: over(size.CPUs), GPU: over(size.GPUs), Memory: over(size.MemoryGB)}
}

// Add returns the sum of two amounts. A sum that would overflow is set to the largest integer.
func (a Amount) Add(other Amount) Amount {
	return Amount{
		CPU:    saturatingAdd(a.CPU, other.CPU),
		GPU:    saturatingAdd(a.GPU, other.GPU),
		Memory: saturatingAdd(a.Memory, other.Memory),
	}
}

func saturatingAdd(x, y int64) int64 {
	if x > math.MaxInt64-y {
		return math.MaxInt64
	}
	return x + y
}

// CPUSeconds returns the CPU usage in seconds of one CPU.
func (a Amount) CPUSeconds() float64 { return float64(a.CPU) / unitsPerCPUSecond }

// Account is the key by which usage is summed: a class of a team, on on-demand or on spot machines.
type Account struct {
	Team  string
	Class string
	Spot  bool
}

// Sums are the usage of an account by kind.
type Sums [usageKindCount]Amount

// add returns the sums of both by kind.
func (s Sums) add(other Sums) Sums {
	for kind := range s {
		s[kind] = s[kind].Add(other[kind])
	}
	return s
}

// Row is an account with its sums, as it is stored.
type Row struct {
	Account
	Sums Sums
}
