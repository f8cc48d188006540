package fairqueue

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// The share InOrder is given out in the order of the queue, and the share ByLastTurn to the jobs
// whose last turn was longest ago.
func TestDivide(t *testing.T) {
	shares := Shares{InOrder: 10, ByLastTurn: 4, MaxPerJob: 2}
	for _, test := range []struct {
		name       string
		candidates []Candidate
		want       string
	}{
		{
			name:       "the share is given out in the order of the queue",
			candidates: []Candidate{{Tasks: 3}, {Tasks: 4}},
			want:       "[{0 3} {1 4}]",
		},
		{
			name:       "a job that is not a gang gets the rest of the share",
			candidates: []Candidate{{Tasks: 8}, {Tasks: 8}},
			want:       "[{0 8} {1 2}]",
		},
		{
			name:       "a gang gets a turn for all its tasks",
			candidates: []Candidate{{Tasks: 8}, {Tasks: 4, Gang: true}},
			want:       "[{0 8} {1 4}]",
		},
		{
			name:       "the other share goes by last turn, at most MaxPerJob tasks each",
			candidates: []Candidate{{Tasks: 99}, {Tasks: 9, LastTurn: 5}, {Tasks: 9, LastTurn: 3}, {Tasks: 9, LastTurn: 4}},
			want:       "[{0 10} {2 2} {3 2}]",
		},
		{
			name:       "jobs with the same last turn keep the order of the queue",
			candidates: []Candidate{{Tasks: 99}, {Tasks: 9}, {Tasks: 9}, {Tasks: 9}},
			want:       "[{0 10} {1 2} {2 2}]",
		},
		{
			name:       "a gang gets a turn for all its tasks in the share by last turn",
			candidates: []Candidate{{Tasks: 99}, {Tasks: 1, LastTurn: 9}, {Tasks: 30, Gang: true}},
			want:       "[{0 10} {2 30}]",
		},
		{
			name:       "there are no candidates",
			candidates: nil,
			want:       "[]",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := fmt.Sprint(shares.Divide(test.candidates)); got != test.want {
				t.Errorf("turns %s, want %s", got, test.want)
			}
		})
	}
}

// anyCandidate draws a candidate that has not had a turn.
var anyCandidate = rapid.Custom(func(t *rapid.T) Candidate {
	return Candidate{Tasks: rapid.IntRange(1, 12).Draw(t, "tasks"), Gang: rapid.Bool().Draw(t, "whole")}
})

// Whatever jobs are pending, each candidate gets a turn within MaxRounds, and the work of a round is
// bounded. Without the share by last turn, large jobs at the front would starve the jobs behind them.
func TestEveryCandidateGetsATurnWithinMaxRounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shares := Shares{
			InOrder:    rapid.IntRange(1, 20).Draw(t, "first"),
			ByLastTurn: rapid.IntRange(1, 9).Draw(t, "second"),
			MaxPerJob:  rapid.IntRange(1, 5).Draw(t, "few"),
		}
		candidates := rapid.SliceOfN(anyCandidate, 1, 60).Draw(t, "candidates")
		largest := 0
		for _, candidate := range candidates {
			if candidate.Gang {
				largest = max(largest, candidate.Tasks)
			} else {
				largest = max(largest, min(candidate.Tasks, shares.MaxPerJob))
			}
		}
		hadTurn := make([]bool, len(candidates))
		for round := 1; round <= shares.MaxRounds(len(candidates), largest); round++ {
			tasks := 0
			for _, turn := range shares.Divide(candidates) {
				hadTurn[turn.Index], candidates[turn.Index].LastTurn = true, uint64(round)
				tasks += turn.Tasks
			}
			if limit := shares.InOrder + shares.ByLastTurn + 2*12; tasks > limit {
				t.Fatalf("%d tasks are tried in one round with %+v", tasks, shares)
			}
		}
		for i, had := range hadTurn {
			if !had {
				t.Fatalf("candidate %d of %d got no turn in %d rounds", i, len(candidates), shares.MaxRounds(len(candidates), largest))
			}
		}
	})
}
