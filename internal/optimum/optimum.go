// Package optimum computes, from recorded demand, an upper bound on the share of every class's jobs that any
// scheduler could have started in time on the machines that were available. It solves a linear program over
// classes, arrival windows and start windows, in which tasks are divisible, a job may start in
// part, and no image is fetched. No scheduler can exceed the bound, and the bound itself may not be reachable.
package optimum

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"
)

// Job is the demand of one job.
type Job struct {
	Class string
	At    time.Duration // time of submission
	Tasks int           // number of tasks that must start for the job to count as started
	CPUs  float64       // CPUs of a task
	Runs  time.Duration // run time of a task
}

// Question is the input of the linear program.
type Question struct {
	Jobs   []Job
	CPUs   []float64     // CPUs of the machines that were up, by window
	Window time.Duration // length of a window
	Within time.Duration // time after its submission within which a job must start
	First  []string      // classes that start before all others, as soon as capacity is free
}

// Answer holds the largest share of jobs that can start in time, which is the same for every class, and the number of
// jobs of each class. The classes in Question.First are not included.
type Answer struct {
	Share float64
	Jobs  map[string]int
}

// group is a set of equal jobs: those of the same class, size and run time that arrived in
// the same window.
type group struct {
	Job
	window int
	jobs   int
}

// groups returns the jobs grouped by arrival window, class, size and run time.
func (q Question) groups() (out []group) {
	at := map[Job]int{}
	for _, j := range q.Jobs {
		key := j
		key.At = j.At / q.Window
		i, ok := at[key]
		if !ok {
			i = len(out)
			at[key] = i
			out = append(out, group{Job: j, window: int(key.At)})
		}
		out[i].jobs++
	}
	return out
}

// withoutFirst returns the question without the classes in First, and without the CPUs that their jobs occupy.
func (q Question) withoutFirst() Question {
	q.CPUs = slices.Clone(q.CPUs)
	var first []Job
	rest := slices.DeleteFunc(slices.Clone(q.Jobs), func(j Job) bool {
		if slices.Contains(q.First, j.Class) {
			first = append(first, j)
			return true
		}
		return false
	})
	slices.SortFunc(first, func(x, y Job) int { return cmp.Compare(x.At, y.At) })
	w := 0
	for _, j := range first {
		need := float64(j.Tasks) * j.CPUs
		w = max(w, int(j.At/q.Window))
		for w < len(q.CPUs) && q.CPUs[w] <= 0 {
			w++
		}
		left := max(1e-3, j.Runs.Seconds()/q.Window.Seconds())
		for at := w; at < len(q.CPUs) && left > 0; at++ {
			q.CPUs[at] = max(0, q.CPUs[at]-need*min(1, left))
			left--
		}
	}
	q.Jobs = rest
	return q
}

// Solve returns the bound for a question.
func Solve(problem Question) (Answer, error) {
	if problem.Window <= 0 || len(problem.CPUs) == 0 || len(problem.Jobs) == 0 {
		return Answer{}, errors.New("bound: needs jobs, windows and machines")
	}
	problem = problem.withoutFirst()
	out := Answer{Jobs: map[string]int{}}
	var classes []string
	for _, j := range problem.Jobs {
		if out.Jobs[j.Class]++; out.Jobs[j.Class] == 1 {
			classes = append(classes, j.Class)
		}
	}
	groups := problem.groups()
	type column struct{ group, window int }
	var columns []column
	for g, x := range groups {
		for w := x.window; w <= x.window+int(problem.Within/problem.Window) && w < len(problem.CPUs); w++ {
			columns = append(columns, column{g, w})
		}
	}
	// The rows are CPUs by window, jobs by group, and classes. The columns are the shares of a group that start in a
	// window, the share to maximise, and one slack variable per row. The slack variables are the initial basis.
	rows := len(problem.CPUs) + len(groups) + len(classes)
	share := len(columns)
	a := mat.NewDense(rows, share+1+rows, nil)
	b := make([]float64, rows)
	for w, cpus := range problem.CPUs {
		a.Set(w, share+1+w, 1)
		b[w] = cpus
	}
	for i, c := range columns {
		g := groups[c.group]
		left := max(1e-3, g.Runs.Seconds()/problem.Window.Seconds()) // run time of a task in windows
		for w := c.window; w < len(problem.CPUs) && left > 0; w++ {
			a.Set(w, i, float64(g.jobs*g.Tasks)*g.CPUs*min(1, left))
			left--
		}
		a.Set(len(problem.CPUs)+c.group, i, 1)
		a.Set(len(problem.CPUs)+len(groups)+slices.Index(classes, g.Class), i, -float64(g.jobs)/float64(out.Jobs[g.Class]))
	}
	for g := range groups {
		row := len(problem.CPUs) + g
		a.Set(row, share+1+row, 1)
		b[row] = 1
	}
	for k := range classes {
		row := len(problem.CPUs) + len(groups) + k
		a.Set(row, share, 1)
		a.Set(row, share+1+row, 1)
	}
	goal := make([]float64, share+1+rows)
	goal[share] = -1
	basis := make([]int, rows)
	for i := range basis {
		basis[i] = share + 1 + i
	}
	opt, _, err := lp.Simplex(goal, a, b, 1e-9, basis)
	if err != nil {
		return Answer{}, fmt.Errorf("bound: %w", err)
	}
	out.Share = -opt
	return out, nil
}
