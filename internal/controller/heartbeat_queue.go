package controller

import (
	"time"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/workers"
)

// pendingHeartbeat is a heartbeat whose answer waits for a message of the leader, which brings a delegated lease
// or the acknowledgement of the machine's tasks.
type pendingHeartbeat struct {
	heartbeat *model.Heartbeat
	reply     func(workers.HeartbeatResult)
	arrivedAt time.Time
	deadline  time.Time               // when it is answered even without a message of the leader
	result    workers.HeartbeatResult // the answer if it were sent now
}

// heartbeatQueue holds the pending heartbeats in order of arrival. Its length is bounded by the number of
// connected workers.
type heartbeatQueue struct{ pending []pendingHeartbeat }

func (q *heartbeatQueue) add(p pendingHeartbeat) { q.pending = append(q.pending, p) }

// takeAll empties the queue.
func (q *heartbeatQueue) takeAll() []pendingHeartbeat {
	all := q.pending
	q.pending = nil
	return all
}

// takeExpired removes and returns the heartbeats whose deadline has passed.
func (q *heartbeatQueue) takeExpired(now time.Time) (expired []pendingHeartbeat) {
	remaining := q.pending[:0]
	for _, p := range q.pending {
		if now.Before(p.deadline) {
			remaining = append(remaining, p)
		} else {
			expired = append(expired, p)
		}
	}
	clear(q.pending[len(remaining):])
	q.pending = remaining
	return expired
}
