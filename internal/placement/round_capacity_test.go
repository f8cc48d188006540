package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/marlwood/marlwood/internal/fairqueue"
	"github.com/marlwood/marlwood/internal/model"
)

// crowdedBench returns a cluster with a number of small machines and a big one. A job uses all but one CPU of
// the big one. addHead adds the jobs at the head of the queue.
func crowdedBench(t testing.TB, small int, addHead func(b bench)) bench {
	t.Helper()
	b := newBench(t)
	b.opt.TasksPerRound = 8
	b.job("load", func(j *model.Job) { j.Size = model.Size{CPUs: 31, MemoryGB: 10} })
	b.machine("big", "big", "a", task("load", 0, 1, model.TaskRunning, ""))
	for i := range small {
		b.machine(fmt.Sprintf("small-%d", i), "small", []string{"a", "b"}[i%2])
	}
	addHead(b)
	return b
}

// A job for which some machine has capacity starts within a few rounds, whatever jobs are before it in the queue
// and although some task ends in every round. It guards against rounds that spend all their tasks on the head of
// the queue.
func TestQueueHeadDoesNotBlockOthers(t *testing.T) {
	many := func(change func(i int, j *model.Job)) func(b bench) {
		return func(b bench) {
			for i := range 50 {
				b.job(fmt.Sprintf("front-%02d", i), func(j *model.Job) {
					j.Priority = model.High
					change(i, j)
				})
			}
		}
	}
	for _, c := range []struct {
		name    string
		addHead func(b bench)
		rounds  int // within which the job behind the head is to start
	}{
		{"services that no machine has capacity for", many(func(i int, j *model.Job) {
			j.Shape, j.Tasks, j.Size = model.Service, 3, model.Size{CPUs: 6 + float64(i)/100, MemoryGB: 48}
		}), 1},
		{"gangs of equal size with capacity for one of their tasks", many(func(_ int, j *model.Job) {
			j.Shape, j.Tasks, j.Size = model.Gang, 9, model.Size{CPUs: 3, MemoryGB: 3}
		}), 1},
		{"such gangs, each of another size, the smallest first", many(func(i int, j *model.Job) {
			j.Shape, j.Tasks, j.Size = model.Gang, 9, model.Size{CPUs: 3 + float64(i)/100, MemoryGB: 3}
		}), 1},
		{"such gangs, each of another size, the largest first", many(func(i int, j *model.Job) {
			j.Shape, j.Tasks, j.Size = model.Gang, 9, model.Size{CPUs: 4 - float64(i)/100, MemoryGB: 3}
		}), fairqueue.Shares{InOrder: 8, ByLastTurn: 2, MaxPerJob: 4}.MaxRounds(51, 9)},
		{"one array of thousands of tasks", func(b bench) {
			b.job("front", func(j *model.Job) {
				j.Priority, j.Tasks, j.Size = model.High, 5000, model.Size{CPUs: 3, MemoryGB: 12}
			})
		}, 4},
		{"services held back by their team's limit", many(func(_ int, j *model.Job) {
			j.Team, j.Shape, j.Size = "tight", model.Service, model.Size{CPUs: 5, MemoryGB: 1}
		}), 1},
	} {
		b := crowdedBench(t, 6, c.addHead)
		b.job("behind", func(j *model.Job) { j.Priority, j.Size = model.Low, model.Size{CPUs: 1, MemoryGB: 1} })
		for round := 1; b.machineOf("behind", 0) == ""; round++ {
			if round > c.rounds {
				t.Errorf("queue head: %s: the job behind it is not started within %d rounds", c.name, c.rounds)
				break
			}
			b.capacityEvents++ // as when a task ends
			b.round(float64(round))
		}
	}
}

// Jobs for which no machine has capacity count as tried in every round, although no samples are requested for
// them: their empty rounds are counted and machines are demanded for them. For jobs that were not considered
// for too many rounds no machines are demanded.
func TestJobsWithoutCapacity(t *testing.T) {
	b := crowdedBench(t, 0, func(b bench) {
		b.job("x", func(j *model.Job) { j.Priority, j.Size = model.High, model.Size{CPUs: 4, MemoryGB: 4} })
		b.job("y", func(j *model.Job) { j.Size = model.Size{CPUs: 4, MemoryGB: 4} })
	})
	for s := range 4 {
		b.capacityEvents++
		b.TryCompleteTakeover()
		if requests := b.SampleRequests(at(float64(s))); len(requests) > 0 {
			t.Fatalf("samples are requested for jobs without capacity: %v", requests)
		}
		b.Place(at(float64(s)), nil)
	}
	demands := func() (jobs []string) {
		for _, demand := range b.UnmetDemands(at(4)) {
			jobs = append(jobs, demand.Job)
		}
		return jobs
	}
	if x := b.jobs.At("x"); x.roundsWithoutCapacity != 4 || x.unplacedSince != at(0) || fmt.Sprint(demands()) != "[x y]" {
		t.Errorf("empty rounds %d, unplaced since %v, demands %v", x.roundsWithoutCapacity, x.unplacedSince, demands())
	}
	b.jobs.At("y").lastRoundConsidered, b.roundNumber = 1, maxRoundsUnconsidered+2
	b.jobs.At("x").lastRoundConsidered = b.roundNumber
	if got := fmt.Sprint(demands()); got != "[x]" {
		t.Errorf("demands %s, want only that of the job that was considered", got)
	}
}

// BenchmarkCrowdedRound measures a round with a queue in which hardly any job can be placed, while a
// capacity event occurs in every round.
func BenchmarkCrowdedRound(t *testing.B) {
	for _, machines := range []int{1000, 16000} {
		t.Run(fmt.Sprintf("machines=%d/jobs=10000", machines), func(t *testing.B) {
			b := newBench(t)
			for i := range 10000 {
				b.job(fmt.Sprintf("job-%05d", i), func(j *model.Job) {
					j.Estimate, j.Tasks, j.Size = time.Hour, 3, model.Size{CPUs: 5 + float64(i%997)/997, MemoryGB: 100}
					if i >= 9900 {
						j.Tasks, j.Size = 1, model.Size{CPUs: 2, MemoryGB: 2}
					}
				})
			}
			for i := range machines {
				b.machine(fmt.Sprintf("vm-%06d", i), "small", []string{"a", "b"}[i%2])
			}
			b.TryCompleteTakeover()
			tried := 0
			t.ReportAllocs()
			for t.Loop() {
				b.capacityEvents++
				requests := b.SampleRequests(at(11))
				tried += len(requests)
				b.Place(at(11), nil)
				b.Preempt(at(11))
			}
			t.ReportMetric(float64(tried)/float64(t.N), "wants/round")
		})
	}
}
