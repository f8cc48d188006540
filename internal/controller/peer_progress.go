package controller

import (
	"time"

	"github.com/marlwood/marlwood/internal/peers/peerspb"
)

// livePeerAge is how long a peer counts as live after its last answer.
const livePeerAge = 2 * time.Second

// redialAfterFailures is the number of consecutive messages without an answer after which a peer's connection is
// replaced.
const redialAfterFailures = 5

// peerProgress is the leader's record of one controller, itself included: the controller's last answer, whether it
// has acknowledged the current fencing token, and when the leases delegated to it expire. It belongs to the loop.
type peerProgress struct {
	member string
	zone   string
	addr   string
	local  bool // whether this is the leader itself, which is called without a connection
	peer   Peer // nil if local

	bootID         string    // boot ID of the process that answered last; empty if none has
	ownerClock     int64     // reading of its clock in its last answer
	lastChange     uint64    // last change of its registry that the scheduler has applied
	lastAnswer     time.Time // when its last answer arrived
	answeringSince time.Time // when its current series of answers without a gap began
	inFlight       bool      // whether a message to it has neither been answered nor failed
	failures       int       // number of consecutive messages without an answer

	acknowledged     bool      // whether it has answered under the current token
	acknowledgedAt   time.Time // when it first answered under the current token
	restarted        bool      // restarted under the current token: its orders are lost and a fresh token is needed
	earlierLeasesEnd time.Time // when every lease delegated to it under an earlier token has certainly expired
	leaseEnd         time.Time // when the last lease delegated to it has certainly expired

	moreOrders     bool // whether the last message to it left out pending orders
	sizes          sentSizes
	usesOpenJobs   bool // whether it decides on answers by the list of open jobs; an earlier version does not
	openJobs       openJobsProgress
	limitWanted    uint64 // token limit that it needs; see tokenLimit
	settingsNumber uint64 // number of the settings that it has adopted
	drainsRevision uint64 // highest revision of drains that it knows of
	recordFormat   uint32 // highest format of stored records that it reads
}

// live reports whether the controller is the leader itself or has answered within livePeerAge.
func (p *peerProgress) live(now time.Time) bool {
	return p.local || now.Sub(p.lastAnswer) < livePeerAge
}

// beginTerm resets the record for a new term. The leases that earlier leaders delegated have expired by
// earlierLeasesEnd.
func (p *peerProgress) beginTerm(earlierLeasesEnd time.Time) {
	p.resetAcknowledgement()
	p.inFlight = false
	p.earlierLeasesEnd = earlierLeasesEnd
	p.leaseEnd = earlierLeasesEnd
}

// renewToken resets the record for a renewed token of the same term. Of what was sent to the controller under the
// earlier token only the lease still counts. The renewal also handles a restart of the controller.
func (p *peerProgress) renewToken() {
	p.resetAcknowledgement()
	p.earlierLeasesEnd = p.leaseEnd
}

func (p *peerProgress) resetAcknowledgement() {
	p.acknowledged = false
	p.restarted = false
	p.lastChange = 0
	p.limitWanted = 0
	p.sizes.reset()
	p.openJobs = openJobsProgress{}
}

// recordAnswer records the contents that count in every answer, whichever process sent it and under whichever token.
//
// Guard: the next message delegates a lease that starts at this clock reading, whether or not the message is
// answered. When the lease was not counted for a process that had just started, the leader considered it
// expired while that process still answered under it (TestEveryAnswerCountsAsLeaseStart).
func (p *peerProgress) recordAnswer(now time.Time, response *peerspb.RoundResponse, leaseEnd time.Time) {
	if !p.live(now) {
		p.answeringSince = now
	}
	p.lastAnswer = now
	p.recordFormat = response.Records
	p.usesOpenJobs = response.UsesOpenJobs
	p.settingsNumber = response.Settings
	p.drainsRevision = response.DrainsRevision
	p.failures = 0
	p.ownerClock = response.ClockNs
	p.leaseEnd = leaseEnd
}

// recordBoot records that a different process than before has answered: the first one that this leader
// receives an answer from, or a restarted one.
func (p *peerProgress) recordBoot(now time.Time, bootID string) {
	if p.bootID != "" {
		p.answeringSince = now
		p.restarted = p.restarted || p.acknowledged
	}
	p.bootID = bootID
	p.lastChange = 0
	p.sizes.reset()
	p.openJobs = openJobsProgress{}
}

// recordAcknowledgement records that the controller has answered under the current token.
func (p *peerProgress) recordAcknowledgement(now time.Time) {
	if !p.acknowledged {
		p.acknowledged = true
		p.acknowledgedAt = now
	}
}

// recordFailure records that a message got no answer, and reports whether the connection must be replaced, since a
// network partition may have left it hanging.
func (p *peerProgress) recordFailure() (redial bool) {
	p.failures++
	return p.failures%redialAfterFailures == 0 && !p.local
}
