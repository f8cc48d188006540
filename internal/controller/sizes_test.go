package controller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/marlwood/marlwood/internal/leadership"
	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/peers/peerspb"
	"github.com/marlwood/marlwood/internal/placement"
	"github.com/marlwood/marlwood/internal/store"
)

// TestSizesOfEndedJobsAreRemoved checks that an owner knows the size of each running job, and that neither the
// owner nor the leader keeps the sizes of jobs that have ended. Jobs start and end while the leader gets no
// answer to one message in three with a new job, and to one in three after a job has ended.
func TestSizesOfEndedJobsAreRemoved(t *testing.T) {
	term, peer, _ := newLeadingTerm(t)
	now := time.Now()
	owner, most := map[string]bool{}, 0 // the jobs whose sizes the owner holds, as in workers.Registry
	send := func(lost bool, orders ...*peerspb.Order) {
		sizes := term.unsentSizes(peer, orders)
		for _, s := range sizes {
			if s.Size != nil {
				owner[s.Job] = true
			} else {
				delete(owner, s.Job)
			}
		}
		if lost {
			peer.sizes.forget(sizes)
		}
		most = max(most, len(owner), len(peer.sizes.jobs))
	}
	const jobs = 3000
	for i := range jobs {
		id := fmt.Sprintf("req-%06d", i)
		v, err := json.Marshal(placement.JobRecord{Job: &model.Job{ID: id, Team: "t", Shape: model.Array, Priority: model.Normal, Tasks: 1,
			Size: model.Size{CPUs: 2, MemoryGB: 2}, Image: "i"}})
		if err != nil {
			t.Fatal(err)
		}
		term.scheduler.ApplyJobChanges(now, []store.Event{{Set: placement.JobPrefix + id, Value: v, Revision: uint64(20 + 2*i)}})
		send(i%3 == 0, &peerspb.Order{Job: id})
		if !owner[id] || !owner["j"] {
			t.Fatalf("after %d jobs the owner holds the sizes of %v", i, owner)
		}
		term.scheduler.ApplyJobChanges(now, []store.Event{{Delete: placement.JobPrefix + id, Revision: uint64(21 + 2*i)}})
		send(i%3 == 1)
	}
	send(false)
	if most > 3 || len(owner) != 1 || len(peer.sizes.jobs) != 1 || !owner["j"] {
		t.Errorf("after %d jobs the owner holds %d sizes, the leader %d, at most %d", jobs, len(owner), len(peer.sizes.jobs), most)
	}
}

// lossyPeer records the request that it receives, and either answers it or loses the answer.
type lossyPeer struct {
	lost bool
	got  chan *peerspb.RoundRequest
}

func (p lossyPeer) Round(_ context.Context, r *peerspb.RoundRequest) (*peerspb.RoundResponse, error) {
	p.got <- r
	if p.lost {
		return nil, errors.New("lost")
	}
	return roundResponse("first", r.Token, 1000), nil
}
func (lossyPeer) Close() error { return nil }

// TestUnansweredSizesAreResent checks that sizes are sent again until a message with them is answered, and
// not after that.
func TestUnansweredSizesAreResent(t *testing.T) {
	for _, c := range []struct {
		name string
		lost []bool // of each message
		want []int  // the number of sizes in each message
	}{
		{"answered", []bool{false, false}, []int{1, 0}},
		{"unanswered", []bool{true, false, false}, []int{1, 1, 0}},
		{"unanswered twice", []bool{true, true, false, false}, []int{1, 1, 1, 0}},
	} {
		term, peer, _ := newLeadingTerm(t)
		now := time.Now()
		term.ctrl.elector.KeyRead(now, now, true, leadership.LeaderRecord{Member: "n0", Boot: term.ctrl.bootID, Attempt: 1}, 7)
		term.ctrl.publishLease()
		var got []int
		for _, lost := range c.lost {
			conn := lossyPeer{lost, make(chan *peerspb.RoundRequest, 1)}
			peer.peer = conn
			term.sendRound(peer, time.Now(), nil)
			(<-term.ctrl.env.(*liveEnvironment).events)()
			got = append(got, len((<-conn.got).Sizes))
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: sent %v sizes, want %v", c.name, got, c.want)
		}
	}
}
