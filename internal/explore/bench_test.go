package explore

import "testing"

func BenchmarkRun(b *testing.B) {
	for i := 0; b.Loop(); i++ {
		Run(Plans.Example(i+1), nil, 0)
	}
}
