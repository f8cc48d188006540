package controller

import (
	"slices"
	"testing"
	"time"
)

// A restarted owner gets a lease under the token only if it decides by the list of open jobs, which comes with it. One
// of an earlier version would keep cancelled tasks alive, because it has lost its stops (review/2).
func TestLeaseOfRestartedOwner(t *testing.T) {
	for _, usesOpenJobs := range []bool{true, false} {
		term, peer, _ := newLeadingTerm(t)
		restarted := roundResponse("second", 7, 0)
		restarted.ClockNs, restarted.UsesOpenJobs = int64(time.Hour), usesOpenJobs
		term.handleRoundResponse(peer, 7, time.Now(), restarted, nil)
		request := term.roundRequest(peer, time.Now(), nil)
		if leased := request.GrantUntilNs > 0; !peer.restarted || leased != usesOpenJobs || len(request.Orders) > 0 {
			t.Errorf("uses open jobs %v: restarted %v, the message brings a lease: %v, orders %v", usesOpenJobs, peer.restarted, leased, request.Orders)
		}
		if sent := request.OpenJobs.GetOpened(); usesOpenJobs != slices.Equal(sent, []string{"j"}) {
			t.Errorf("uses open jobs %v: %v are sent", usesOpenJobs, sent)
		}
	}
}

// The changes of the list are sent again until an answer of the same process under the same token confirms them.
func TestUnansweredOpenJobsAreResent(t *testing.T) {
	term, peer, _ := newLeadingTerm(t)
	peer.usesOpenJobs = true
	request := term.roundRequest(peer, time.Now(), nil)
	expectSent := func(after string, want ...string) {
		t.Helper()
		if sent := term.roundRequest(peer, time.Now(), nil).OpenJobs.GetOpened(); !slices.Equal(sent, want) {
			t.Errorf("after %s, %v are sent, want %v", after, sent, want)
		}
	}
	expectSent("no answer", "j")
	term.recordOpenJobs(peer, request, roundResponse("second", 7, 0))
	expectSent("an answer of another process", "j")
	term.recordOpenJobs(peer, request, roundResponse("first", 7, 0))
	expectSent("an answer")
	term.tokenRenewed(8, time.Now())
	term.recordOpenJobs(peer, request, roundResponse("first", 7, 0))
	expectSent("an answer under the earlier token", "j")
}
