package controller

import (
	"testing"
	"time"

	"github.com/marlwood/marlwood/internal/leadership"
	"github.com/marlwood/marlwood/internal/store"
)

// A transaction raises the token limit only if it shows that the leader key was unchanged.
func TestTokenLimitNeedsLeaderKey(t *testing.T) {
	var limit tokenLimit
	limit.raise(7)
	for _, step := range []struct {
		guard    store.Precondition
		revision uint64
		want     uint64
	}{
		{store.Precondition{Key: leadership.Key, Revision: 7}, 12, 12},
		{store.Precondition{Key: "job/j", Revision: 7}, 20, 12},
		{store.Precondition{Key: leadership.Key}, 30, 12}, // the key was absent: another leader may have claimed it
		{store.Precondition{Key: leadership.Key, Revision: 7}, 9, 12},
	} {
		limit.observe(store.Txn{Preconditions: []store.Precondition{step.guard}}, step.revision)
		if got := limit.highest.Load(); got != step.want {
			t.Errorf("after a transaction at %d with %+v the limit is %d, want %d", step.revision, step.guard, got, step.want)
		}
	}
}

// The leader writes for a higher limit only while an owner needs one, and once a second at most.
func TestTokenLimitIsWrittenWhenWanted(t *testing.T) {
	term, peer, _ := newLeadingTerm(t)
	now := time.Now()
	for _, step := range []struct {
		wanted uint64
		at     time.Duration
		writes bool
	}{{0, 0, false}, {7, 0, false}, {8, 0, true}, {8, time.Second / 2, false}, {8, time.Second, true}} {
		peer.limitWanted, term.limit.writing = step.wanted, false
		if term.raiseTokenLimit(now.Add(step.at)); term.limit.writing != step.writes {
			t.Errorf("limit %d wanted after %v: writing %v", step.wanted, step.at, term.limit.writing)
		}
	}
}
