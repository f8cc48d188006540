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
	share, err := newProgram(problem, classes, out.Jobs).maximise()
	if err != nil {
		return Answer{}, fmt.Errorf("bound: %w", err)
	}
	out.Share = share
	return out, nil
}

// program is the linear program of a question. The rows are CPUs by window, jobs by group, and classes. The columns
// are the shares of a group that start in a window, the share to maximise, and one slack variable per row. The slack
// variables are the initial basis.
type program struct {
	matrix *mat.Dense
	bounds []float64
	share  int // column of the share to maximise
}

// startColumn is the column of the share of a group that starts in a window.
type startColumn struct{ group, window int }

// newProgram returns the linear program of a question without first classes. jobs is the number of jobs by class.
func newProgram(problem Question, classes []string, jobs map[string]int) *program {
	groups := problem.groups()
	columns := startColumns(problem, groups)
	windows := len(problem.CPUs)
	rows := windows + len(groups) + len(classes)
	p := &program{matrix: mat.NewDense(rows, len(columns)+1+rows, nil), bounds: make([]float64, rows), share: len(columns)}
	for row := range rows {
		p.matrix.Set(row, p.share+1+row, 1) // the slack variable
	}
	copy(p.bounds, problem.CPUs)
	for i, c := range columns {
		g := groups[c.group]
		p.setUse(i, c.window, g, problem)
		p.matrix.Set(windows+c.group, i, 1)
		p.matrix.Set(windows+len(groups)+slices.Index(classes, g.Class), i, -float64(g.jobs)/float64(jobs[g.Class]))
	}
	for g := range groups {
		p.bounds[windows+g] = 1
	}
	for k := range classes {
		p.matrix.Set(windows+len(groups)+k, p.share, 1)
	}
	return p
}

// startColumns returns a column for each group and each window in which it may start in time.
func startColumns(problem Question, groups []group) (columns []startColumn) {
	for g, x := range groups {
		for w := x.window; w <= x.window+int(problem.Within/problem.Window) && w < len(problem.CPUs); w++ {
			columns = append(columns, startColumn{g, w})
		}
	}
	return columns
}

// setUse sets the CPUs that a group occupies in each window if it starts in the given one.
func (p *program) setUse(column, window int, g group, problem Question) {
	left := max(1e-3, g.Runs.Seconds()/problem.Window.Seconds()) // run time of a task in windows
	for w := window; w < len(problem.CPUs) && left > 0; w++ {
		p.matrix.Set(w, column, float64(g.jobs*g.Tasks)*g.CPUs*min(1, left))
		left--
	}
}

// maximise returns the largest share.
func (p *program) maximise() (float64, error) {
	rows := len(p.bounds)
	goal := make([]float64, p.share+1+rows)
	goal[p.share] = -1
	basis := make([]int, rows)
	for i := range basis {
		basis[i] = p.share + 1 + i
	}
	opt, _, err := lp.Simplex(goal, p.matrix, p.bounds, 1e-9, basis)
	return -opt, err
}
