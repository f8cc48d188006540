package optimum

import (
	"math"
	"testing"
	"time"
)

func TestSolve(t *testing.T) {
	const sec = time.Second
	jobs := func(class string, n, tasks int, at, runs time.Duration) (out []Job) {
		for range n {
			out = append(out, Job{class, at, tasks, 2, runs})
		}
		return out
	}
	cpus := func(windows int, each float64) (out []float64) {
		for range windows {
			out = append(out, each)
		}
		return out
	}
	for _, c := range []struct {
		name string
		q    Question
		want float64
	}{
		{"all fit", Question{jobs("a", 4, 5, 0, 10*sec), cpus(6, 40), 10 * sec, 20 * sec, nil}, 1},
		{"half of them fit at once, and there is no more time", Question{jobs("a", 4, 5, 0, 100*sec), cpus(6, 20), 10 * sec, 20 * sec, nil}, 0.5},
		{"they take turns", Question{jobs("a", 4, 5, 0, 10*sec), cpus(6, 20), 10 * sec, 20 * sec, nil}, 1},
		{"two classes share alike", Question{append(jobs("a", 4, 5, 0, 100*sec), jobs("b", 2, 10, 0, 100*sec)...), cpus(6, 40), 10 * sec, 20 * sec, nil}, 0.5},
		{"machines come too late", Question{jobs("a", 4, 5, 0, 10*sec), append(cpus(3, 0), cpus(3, 100)...), 10 * sec, 20 * sec, nil}, 0},
		{"one class goes first", Question{append(jobs("a", 4, 5, 0, 100*sec), jobs("b", 2, 10, 0, 100*sec)...), cpus(6, 60), 10 * sec, 20 * sec, []string{"a"}}, 0.5},
		{"small jobs first", Question{append(jobs("a", 3, 1, 0, 100*sec), jobs("a", 3, 100, 0, 100*sec)...), cpus(6, 6), 10 * sec, 20 * sec, nil}, 0.5},
	} {
		got, err := Solve(c.q)
		if err != nil || math.Abs(got.Share-c.want) > 0.01 {
			t.Errorf("%s: %v, %v, not %v", c.name, got.Share, err, c.want)
		}
	}
	if _, err := Solve(Question{}); err == nil {
		t.Error("an empty question returns no error")
	}
}
