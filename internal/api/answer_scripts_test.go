package api

import (
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

// jobID is the id of the job that the scripts submit.
const jobID = "req-1"

// answerScript is a sequence of concurrent requests and changes of the job's records.
type answerScript struct {
	name   string
	script func(m *concurrentUsers) string // returns the result of one run
	want   []string                        // the results that must occur over the seeds; no others may
}

// answerScripts are the rows of TestAnswersAreNeverStale.
var answerScripts = []answerScript{
	{"queried before and right after it is accepted", func(m *concurrentUsers) string {
		m.burst(jobID, "ask")
		m.burst("req-none", "ask", "cancel")
		m.users.Wait()
		m.send(0, "submit", jobID)
		m.burst(jobID, "ask", "submit")
		m.users.Wait()
		return "accepted"
	}, []string{"accepted"}},
	{"queried while it is submitted to all controllers", func(m *concurrentUsers) string {
		m.burst(jobID, "submit", "ask")
		m.users.Wait()
		return "accepted"
	}, []string{"accepted"}},
	{"cancelled right after it is accepted", func(m *concurrentUsers) string {
		m.send(0, "submit", jobID)
		m.users.Go(func() { m.send(1, "cancel", jobID); m.burst(jobID, "ask", "submit", "cancel") })
		m.burst(jobID, "ask", "submit")
		m.users.Wait()
		return string(m.storedStage(jobID))
	}, []string{"aborted"}},
	{"completes while all controllers are queried", func(m *concurrentUsers) string {
		m.send(0, "submit", jobID)
		m.startJob()
		m.users.Go(func() { m.completeJob(jobID); m.burst(jobID, "ask", "submit", "cancel") })
		m.burst(jobID, "ask", "submit")
		m.users.Wait()
		return string(m.storedStage(jobID))
	}, []string{"done"}},
	{"starts while all controllers are queried", func(m *concurrentUsers) string {
		m.send(0, "submit", jobID)
		m.users.Go(func() { m.startJob(); m.burst(jobID, "ask", "submit") })
		m.burst(jobID, "ask", "submit")
		m.users.Wait()
		return string(m.send(2, "ask", jobID).stage)
	}, []string{"running"}},
	{"completed an hour ago", func(m *concurrentUsers) string {
		m.send(0, "submit", jobID)
		m.burst(jobID, "ask")
		m.users.Wait()
		m.completeJob(jobID)
		time.Sleep(time.Hour) // the caches need a new listing
		m.burst(jobID, "ask")
		m.users.Wait()
		m.burst(jobID, "ask", "submit", "cancel")
		m.users.Wait()
		return string(m.storedStage(jobID))
	}, []string{"done"}},
	{"completes while all controllers receive cancellations", func(m *concurrentUsers) string {
		m.send(0, "submit", jobID)
		m.startJob()
		m.users.Go(func() { m.completeJob(jobID) })
		m.burst(jobID, "ask", "submit", "cancel")
		m.users.Wait()
		m.burst(jobID, "ask", "submit", "cancel")
		m.users.Wait()
		return string(m.storedStage(jobID))
	}, []string{"done", "aborted"}},
	{"its record is written repeatedly while it is cancelled", func(m *concurrentUsers) string {
		m.send(0, "submit", jobID)
		m.users.Go(func() {
			for range 5 {
				m.startJob()
			}
		})
		m.burst(jobID, "ask", "submit", "cancel")
		m.users.Wait()
		m.retryWhileUnavailable(1, "cancel")
		m.burst(jobID, "ask", "submit", "cancel")
		m.users.Wait()
		return string(m.storedStage(jobID))
	}, []string{"aborted"}},
	{"response to the submission's commit is lost, others read the record", func(m *concurrentUsers) string {
		m.links[0].outcomes = []commitOutcome{responseLost}
		m.users.Go(func() { m.send(0, "submit", jobID) })
		m.burst(jobID, "ask")
		m.users.Wait()
		m.burst(jobID, "ask", "submit")
		m.users.Wait()
		return joinWords(m.send(2, "ask", jobID).stage, len(m.links[0].outcomes))
	}, []string{"queued 0"}},
	{"submission is committed late, after its repeat and a cancellation", func(m *concurrentUsers) string {
		m.links[0].outcomes = []commitOutcome{committedLate}
		first := m.send(0, "submit", jobID)
		m.burst(jobID, "ask")
		m.users.Wait()
		m.retryWhileUnavailable(1, "submit")
		m.retryWhileUnavailable(2, "cancel")
		m.burst(jobID, "ask", "submit")
		time.Sleep(5 * time.Second)
		m.burst(jobID, "ask", "submit")
		m.users.Wait()
		_, open := m.store.keys["job/"+jobID]
		return joinWords(first.status, m.storedStage(jobID), open)
	}, []string{"503 aborted false"}},
	{"submission is committed late, after the repeated job completed", func(m *concurrentUsers) string {
		m.links[0].outcomes = []commitOutcome{committedLate}
		first := m.send(0, "submit", jobID)
		m.retryWhileUnavailable(1, "submit")
		m.completeJob(jobID)
		m.burst(jobID, "ask", "submit")
		time.Sleep(5 * time.Second)
		m.burst(jobID, "ask", "submit", "cancel")
		m.users.Wait()
		_, open := m.store.keys["job/"+jobID]
		return joinWords(first.status, m.storedStage(jobID), open)
	}, []string{"503 done false"}},
	{"submission is committed late, with no repeat before", func(m *concurrentUsers) string {
		m.links[0].outcomes = []commitOutcome{committedLate}
		first := m.send(0, "submit", jobID)
		m.burst(jobID, "ask")
		m.users.Wait()
		time.Sleep(5 * time.Second)
		m.burst(jobID, "ask", "submit")
		m.users.Wait()
		return joinWords(first.status, m.send(1, "ask", jobID).stage)
	}, []string{"503 queued"}},
	{"response to the cancellation's commit is lost, others read the record", func(m *concurrentUsers) string {
		m.send(0, "submit", jobID)
		m.links[0].outcomes = []commitOutcome{responseLost}
		m.users.Go(func() { m.send(0, "cancel", jobID); m.burst(jobID, "ask", "submit", "cancel") })
		m.burst(jobID, "ask", "submit")
		m.users.Wait()
		return joinWords(m.storedStage(jobID), len(m.links[0].outcomes))
	}, []string{"aborted 0"}},
	{"response to the cancellation's commit is lost while the job completes", func(m *concurrentUsers) string {
		m.send(0, "submit", jobID)
		m.links[0].outcomes = []commitOutcome{responseLost}
		m.users.Go(func() { m.send(0, "cancel", jobID); m.burst(jobID, "ask", "submit", "cancel") })
		m.users.Go(func() { m.completeJob(jobID) })
		m.users.Wait()
		return joinWords(m.storedStage(jobID), len(m.links[0].outcomes))
	}, []string{"aborted 0", "done 0", "done 1"}}, // done 1: the cancellation read the job as done and committed nothing
	{"cancellation is committed late, after the job completed", func(m *concurrentUsers) string {
		m.send(0, "submit", jobID)
		m.links[0].outcomes = []commitOutcome{committedLate, committedLate, committedLate, committedLate}
		a := m.send(0, "cancel", jobID)
		ended := m.completeJob(jobID)
		m.burst(jobID, "ask", "submit")
		time.Sleep(5 * time.Second)
		m.burst(jobID, "ask", "submit", "cancel")
		m.users.Wait()
		return joinWords(a.status, ended, m.storedStage(jobID))
	}, []string{"503 true done"}},
	{"cancellation is committed late, after the job started", func(m *concurrentUsers) string {
		m.send(0, "submit", jobID)
		m.links[0].outcomes = []commitOutcome{committedLate, committedLate, committedLate, committedLate}
		a := m.send(0, "cancel", jobID)
		m.startJob()
		m.burst(jobID, "ask", "submit")
		time.Sleep(5 * time.Second)
		m.burst(jobID, "ask", "submit")
		m.users.Wait()
		return joinWords(a.status, m.send(1, "ask", jobID).stage)
	}, []string{"503 running"}},
	{"cancellation is committed late, with no change before", func(m *concurrentUsers) string {
		m.send(0, "submit", jobID)
		m.links[0].outcomes = []commitOutcome{committedLate, committedLate, committedLate, committedLate}
		a := m.send(0, "cancel", jobID)
		m.burst(jobID, "ask", "submit")
		time.Sleep(5 * time.Second)
		m.burst(jobID, "ask", "submit")
		m.users.Wait()
		return joinWords(a.status, m.storedStage(jobID))
	}, []string{"503 aborted"}},
	{"response to the commit of its completion is lost", func(m *concurrentUsers) string {
		m.send(0, "submit", jobID)
		m.startJob()
		m.leader.outcomes = []commitOutcome{responseLost}
		m.users.Go(func() { m.completeJob(jobID) })
		m.burst(jobID, "ask", "submit", "cancel")
		m.users.Wait()
		m.burst(jobID, "ask", "submit", "cancel")
		m.users.Wait()
		return joinWords(m.storedStage(jobID), len(m.leader.outcomes))
	}, []string{"done 0", "aborted 0", "aborted 1"}}, // aborted 1: cancelled before its completion was sent to the store
	{"released while it is queried, submitted and cancelled", func(m *concurrentUsers) string {
		m.send(0, "submit", "req-need")
		m.sendBody(0, "submit", jobID, submissionNeeding(jobID, "req-need"))
		m.completeJob("req-need")
		released := false
		m.users.Go(func() { released = m.releaseJob(jobID) })
		m.burst(jobID, "ask", "submit")
		m.users.Go(func() { m.send(2, "cancel", jobID); m.burst(jobID, "ask", "submit", "cancel") })
		m.users.Wait()
		return joinWords(released, m.storedStage(jobID))
	}, []string{"true aborted", "false aborted"}},
	{"released while it is queried", func(m *concurrentUsers) string {
		m.send(0, "submit", "req-need")
		m.sendBody(0, "submit", jobID, submissionNeeding(jobID, "req-need"))
		m.completeJob("req-need")
		m.users.Go(func() {
			m.releaseJob(jobID)
			m.startJob()
			m.completeJob(jobID)
			m.burst(jobID, "ask", "submit", "cancel")
		})
		for range 4 {
			m.burst(jobID, "ask", "submit")
			time.Sleep(10 * time.Millisecond)
		}
		m.users.Wait()
		return string(m.storedStage(jobID))
	}, []string{"done"}},
	{"its dependency is cancelled while all controllers are queried", func(m *concurrentUsers) string {
		m.send(0, "submit", "req-need")
		m.sendBody(0, "submit", jobID, submissionNeeding(jobID, "req-need"))
		m.burst(jobID, "ask", "submit")
		m.send(1, "cancel", "req-need")
		m.burst(jobID, "ask")
		m.users.Wait()
		if got := m.send(2, "ask", jobID); got.stage != model.Cancelled {
			m.t.Errorf("got stage %s after its dependency was cancelled", got.stage)
		}
		return string(m.storedStage(jobID))
	}, []string{"aborted"}},
}
