package controller

import (
	"slices"
	"testing"
	"time"

	"github.com/marlwood/marlwood/internal/peers/peerspb"
)

// usingOpenJobs makes a response that of an owner which uses the list of open jobs.
func usingOpenJobs(response *peerspb.RoundResponse) *peerspb.RoundResponse {
	response.UsesOpenJobs = true
	return response
}

// A restarted owner gets a lease under the token only if it decides by the list of open jobs, which comes with it. One
// of an earlier version would keep cancelled tasks alive, because it has lost its stops (review/2).
func TestLeaseOfRestartedOwner(t *testing.T) {
	for _, usesOpenJobs := range []bool{true, false} {
		term, peer, _ := newLeadingTerm(t)
		now := time.Now()
		term.loaded = true
		restarted := roundResponse("second", 7, 0)
		restarted.ClockNs, restarted.UsesOpenJobs = int64(time.Hour), usesOpenJobs
		term.handleRoundResponse(peer, 7, now, restarted, nil)
		if !peer.restarted {
			t.Fatal("the owner does not count as restarted")
		}
		request := term.roundRequest(peer, now, nil)
		if leased := request.GrantUntilNs > 0; leased != usesOpenJobs {
			t.Errorf("uses open jobs %v: the message brings a lease: %v", usesOpenJobs, leased)
		}
		if sent := request.OpenJobs.GetOpened(); usesOpenJobs && !slices.Equal(sent, []string{"j"}) {
			t.Errorf("the open jobs are sent as %v", sent)
		}
		if len(request.Orders) > 0 {
			t.Errorf("the message brings orders: %v", request.Orders)
		}
	}
}

// The changes of the list are sent again until an answer of the same process under the same token confirms them.
func TestUnansweredOpenJobsAreResent(t *testing.T) {
	term, peer, _ := newLeadingTerm(t)
	now := time.Now()
	term.loaded = true
	term.handleRoundResponse(peer, 7, now, usingOpenJobs(roundResponse("first", 7, 0)), nil)
	sent := func() []string { return term.roundRequest(peer, now, nil).OpenJobs.GetOpened() }
	request := term.roundRequest(peer, now, nil)
	if first, again := request.OpenJobs.GetOpened(), sent(); !slices.Equal(first, []string{"j"}) || !slices.Equal(again, first) {
		t.Errorf("unanswered: %v, then %v", first, again)
	}
	term.recordOpenJobs(peer, request, usingOpenJobs(roundResponse("second", 7, 0)))
	if len(sent()) != 1 {
		t.Error("an answer of another process confirmed the list")
	}
	term.recordOpenJobs(peer, request, usingOpenJobs(roundResponse("first", 7, 0)))
	if len(sent()) != 0 {
		t.Error("what was confirmed is sent again")
	}
	term.tokenRenewed(8, now)
	term.recordOpenJobs(peer, request, usingOpenJobs(roundResponse("first", 7, 0)))
	if len(sent()) != 1 {
		t.Error("an answer under the earlier token confirmed the list under the fresh one")
	}
}
