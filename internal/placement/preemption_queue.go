package placement

import (
	"container/heap"
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

// candidateQueue is a heap of the candidates for a preemption that can run one more task of a job. The one on which that
// loses least comes first, and of candidates with equal loss the first in the order of the candidates.
//
// Guard: only the candidate that got the last task has another cost afterwards. When all were weighed again for each
// task of a gang, a gang of some thousands of small tasks held the leader's loop for seconds in each round.
type candidateQueue []*queuedCandidate

// queuedCandidate is a candidate with the cost of one more task on it.
type queuedCandidate struct {
	*preemptionCandidate
	cost     preemptionCost
	position int
}

// newCandidateQueue computes what each candidate loses and returns the queue of the candidates.
func (cs *ClusterState) newCandidateQueue(candidates []*preemptionCandidate, job *Job, now time.Time) *candidateQueue {
	queue := make(candidateQueue, 0, len(candidates))
	for position, candidate := range candidates {
		cs.computeLosses(candidate, job, now)
		if cost, ok := candidate.costOfOneMore(job.Spec.Size); ok {
			queue = append(queue, &queuedCandidate{candidate, cost, position})
		}
	}
	heap.Init(&queue)
	return &queue
}

// cheapest returns the first candidate in a zone that has fewer of the job's tasks than its cap, or nil if there is none.
//
// Guard: a zone may run no more tasks of a spread job than its cap. Without this check, tasks were preempted and capacity
// was reserved in one zone, again and again, for a whole gang that could never start there.
func (q *candidateQueue) cheapest(inZone map[string]int, zoneCap int) *queuedCandidate {
	for q.Len() > 0 {
		if first := (*q)[0]; inZone[first.machine.Pool.Zone] < zoneCap {
			return first
		}
		heap.Pop(q) // the tasks in its zone only become more
	}
	return nil
}

// updateCheapest computes the cost of the first candidate again, after a task was assigned to it.
func (q *candidateQueue) updateCheapest(size model.Size) {
	first := (*q)[0]
	cost, ok := first.costOfOneMore(size)
	if !ok {
		heap.Pop(q)
		return
	}
	first.cost = cost
	heap.Fix(q, 0)
}

// Len implements heap.Interface.
func (q candidateQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q candidateQueue) Less(i, k int) bool {
	if q[i].cost.loss != q[k].cost.loss {
		return q[i].cost.loss < q[k].cost.loss
	}
	return q[i].position < q[k].position
}

// Swap implements heap.Interface.
func (q candidateQueue) Swap(i, k int) { q[i], q[k] = q[k], q[i] }

// Push implements heap.Interface.
func (q *candidateQueue) Push(x any) { *q = append(*q, x.(*queuedCandidate)) }

// Pop implements heap.Interface.
func (q *candidateQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}
