// Package fairqueue divides the work of a placement round among the pending jobs. Most of the work
// is given out in the order of the queue. The rest goes to the jobs whose last turn was longest ago,
// so that no demand at the front of the queue, however large, starves the jobs behind it. The package
// keeps no state and does no input or output.
package fairqueue

import (
	"cmp"
	"slices"
)

// Candidate is a pending job for which some machine may have free capacity.
type Candidate struct {
	Tasks    int    // number of tasks that the job could place now; at least one
	Gang     bool   // either all tasks are tried or none
	LastTurn uint64 // number of the last round in which the job had a turn
}

// Shares is the division of the work of one round into two shares. The work is counted in tasks that are tried.
type Shares struct {
	InOrder    int // tasks given out in the order of the queue
	ByLastTurn int // tasks given to the jobs whose last turn was longest ago
	MaxPerJob  int // maximum tasks of one job in the share ByLastTurn; does not apply to gangs
}

// Turn is the work that one candidate gets in a round.
type Turn struct {
	Index int // index of the candidate
	Tasks int // number of tasks that are tried
}

// Divide returns the turns of a round. The candidates must be in the order of the queue, and the
// turns have the same order. A gang's turn always covers all its tasks, so the last gang of a share
// may exceed the share.
func (s Shares) Divide(candidates []Candidate) []Turn {
	var turns []Turn
	remaining, next := s.InOrder, 0
	for ; next < len(candidates) && remaining > 0; next++ {
		tasks := candidates[next].turnSize(remaining)
		remaining -= tasks
		turns = append(turns, Turn{Index: next, Tasks: tasks})
	}
	inOrder := len(turns)
	remaining = s.ByLastTurn
	for _, i := range s.longestWaiting(candidates, next) {
		if remaining <= 0 {
			break
		}
		tasks := candidates[i].turnSize(min(s.MaxPerJob, remaining))
		remaining -= tasks
		turns = append(turns, Turn{Index: i, Tasks: tasks})
	}
	slices.SortFunc(turns[inOrder:], func(x, y Turn) int { return cmp.Compare(x.Index, y.Index) })
	return turns
}

// turnSize returns how many of the candidate's tasks are tried: all tasks of a gang, and at most
// limit tasks of other jobs.
func (c Candidate) turnSize(limit int) int {
	if c.Gang {
		return c.Tasks
	}
	return min(c.Tasks, limit)
}

// longestWaiting returns the indexes of the candidates, starting at index from, whose last turn was
// longest ago, at most as many as the share ByLastTurn has tasks. Among candidates with the same last
// turn, those earlier in the queue come first.
//
// Guard: ten thousand jobs may be pending, and a round takes only a few of them. Sorting all of
// them in every round takes longer than the rest of the round.
func (s Shares) longestWaiting(candidates []Candidate, from int) []int {
	var selected []int
	for i := from; i < len(candidates); i++ {
		position, _ := slices.BinarySearchFunc(selected, i, func(x, y int) int {
			return cmp.Or(cmp.Compare(candidates[x].LastTurn, candidates[y].LastTurn), cmp.Compare(x, y))
		})
		if position < s.ByLastTurn {
			selected = slices.Insert(selected, position, i)
			selected = selected[:min(len(selected), s.ByLastTurn)]
		}
	}
	return selected
}

// MaxRounds returns the maximum number of rounds until each of n candidates has had a turn, whatever
// is ahead of it in the queue. largest is the maximum number of tasks that one of them tries in the
// share ByLastTurn.
func (s Shares) MaxRounds(n, largest int) int {
	turnsPerRound := max(1, s.ByLastTurn/max(1, largest))
	return (n + turnsPerRound - 1) / turnsPerRound
}
