package quota

import (
	"math"

	"github.com/marlwood/marlwood/internal/model"
)

// unitsPerResource is the number of Amount units in one CPU or GPU.
const unitsPerResource = 1000

// roundingTolerance is the floating-point error allowed in sums of sizes, in units of an Amount.
const roundingTolerance = 1e-3

// Amount is a part of a limit, in thousandths of a CPU and of a GPU. The numbers are integers so that nothing
// is lost or gained when parts move between regions.
type Amount struct {
	CPUs int64 `json:"cpus,omitempty"`
	GPUs int64 `json:"gpus,omitempty"`
}

// AmountOf returns a size rounded down: the amount that may be allocated from it.
func AmountOf(size model.Size) Amount {
	return Amount{
		CPUs: int64(math.Floor(size.CPUs*unitsPerResource + roundingTolerance)),
		GPUs: int64(math.Floor(size.GPUs*unitsPerResource + roundingTolerance)),
	}
}

// roundedUp returns a size rounded up: the amount that must be allocated to use it.
func roundedUp(size model.Size) Amount {
	return Amount{
		CPUs: int64(math.Ceil(size.CPUs*unitsPerResource - roundingTolerance)),
		GPUs: int64(math.Ceil(size.GPUs*unitsPerResource - roundingTolerance)),
	}
}

// Size returns the amount in CPUs and GPUs.
func (a Amount) Size() model.Size {
	return model.Size{CPUs: float64(a.CPUs) / unitsPerResource, GPUs: float64(a.GPUs) / unitsPerResource}
}

// Add returns the sum of two amounts.
func (a Amount) Add(other Amount) Amount {
	return Amount{CPUs: a.CPUs + other.CPUs, GPUs: a.GPUs + other.GPUs}
}

// Sub returns the difference of two amounts, which may be negative.
func (a Amount) Sub(other Amount) Amount {
	return Amount{CPUs: a.CPUs - other.CPUs, GPUs: a.GPUs - other.GPUs}
}

// IsZero reports whether the amount is zero for each resource.
func (a Amount) IsZero() bool { return a == Amount{} }

// Within reports whether the amount is at most another for each resource.
func (a Amount) Within(other Amount) bool { return a.CPUs <= other.CPUs && a.GPUs <= other.GPUs }

// positive returns the amount with negative parts replaced by zero.
func (a Amount) positive() Amount { return Amount{CPUs: max(a.CPUs, 0), GPUs: max(a.GPUs, 0)} }

// minAmount returns the minimum of two amounts for each resource.
func minAmount(a, b Amount) Amount {
	return Amount{CPUs: min(a.CPUs, b.CPUs), GPUs: min(a.GPUs, b.GPUs)}
}

// initialAllocation returns a region's initial part of a limit. The parts of all regions add up
// to the limit; the remainder of the division goes to the first regions by name.
func initialAllocation(limit Amount, regions []string, region string) Amount {
	count, index := int64(len(regions)), int64(0)
	for _, other := range regions {
		if other < region {
			index++
		}
	}
	part := func(whole int64) int64 {
		share := whole / count
		if index < whole%count {
			share++
		}
		return share
	}
	return Amount{CPUs: part(limit.CPUs), GPUs: part(limit.GPUs)}
}
