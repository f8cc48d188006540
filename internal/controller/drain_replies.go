package controller

import (
	"slices"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/marlwood/marlwood/internal/operators/operatorspb"
	"github.com/marlwood/marlwood/internal/placement"
)

// pendingDrain is a recorded drain whose request is not answered yet.
type pendingDrain struct {
	target   string
	key      string
	revision uint64 // of its record
	deadline time.Time
	announce time.Time // when the reply no longer waits for controllers that do not know of the drain
	reply    operatorReply
}

// drainReplyWait limits how long a reply is delayed by task starts that were ordered before the drain.
const drainReplyWait = 8 * time.Second

// awaitStarts delays the reply to a request until no task start that was ordered before its drain can be executed.
func (d *drainRecords) awaitStarts(drain *placement.Drain, revision uint64, now time.Time, reply operatorReply) {
	d.pending = append(d.pending, pendingDrain{
		target:   drain.Target(),
		key:      drain.Key(),
		revision: revision,
		deadline: now.Add(drainReplyWait),
		announce: now.Add(announcementWait),
		reply:    reply,
	})
}

// answerPendingDrains answers the pending requests that are complete or have timed out.
func (t *leaderTerm) answerPendingDrains(now time.Time) {
	t.drains.pending = slices.DeleteFunc(t.drains.pending, func(pending pendingDrain) bool {
		return t.answerPendingDrain(now, pending)
	})
}

// answerPendingDrain answers a pending request if its drain is complete or the wait has timed out, and reports
// whether it did.
//
// Guard: no task may start on a drained machine after the reply. A start that was ordered just before the drain may
// still be on its way to the machine; its outcome is known after the machine has sent a later heartbeat.
//
// Guard: another operator may have removed the drain meanwhile. Without the check of the record, the first operator
// received the answer that the machine was drained, and then saw tasks start there (found by the explorer, seed
// 50063006).
func (t *leaderTerm) answerPendingDrain(now time.Time, pending pendingDrain) (answered bool) {
	if recorded, ok := t.drains.records[pending.key]; !ok || recorded.Revision != pending.revision {
		pending.reply(nil, status.Errorf(codes.Aborted, "somebody else has undrained %s just now: look at marlwood drains", pending.target))
		return true
	}
	if now.Before(pending.announce) && !t.drainsAnnounced(now, pending.revision) {
		return false
	}
	starts, machines := t.scheduler.UnresolvedStarts(pending.target)
	if starts+machines > 0 && now.Before(pending.deadline) {
		return false
	}
	if starts+machines > 0 {
		pending.reply(nil, status.Errorf(codes.DeadlineExceeded,
			"%s is drained, but it is not known yet whether %d starts come that were ordered before, and %d machines have not answered the present leader: try again, or look at marlwood drains",
			pending.target, starts, machines))
		return true
	}
	pending.reply(&operatorspb.Reply{What: &operatorspb.Reply_Drain{Drain: &operatorspb.DrainResponse{Drain: t.scheduler.DrainRow(now, pending.target)}}}, nil)
	return true
}

// announcementWait limits how long a reply about drains waits until the other controllers know of the change.
const announcementWait = time.Second

// announcedReply is a reply that waits until the other controllers know of a change of drains.
type announcedReply struct {
	revision uint64 // of the change
	deadline time.Time
	reply    func()
}

// replyWhenAnnounced replies once the other controllers know of a change, or after announcementWait.
//
// Guard: a controller gives the requests of clients of an earlier version the revision that it knows. If it did not know
// of a change that is answered, the next request through it would be taken for one that the change has overtaken.
func (t *leaderTerm) replyWhenAnnounced(revision uint64, reply func()) {
	t.drains.announcing = append(t.drains.announcing, announcedReply{
		revision: revision,
		deadline: t.ctrl.env.Now().Add(announcementWait),
		reply:    reply,
	})
	t.startRoundSoon()
}

// sendAnnouncedReplies sends the replies whose changes are known to the other controllers, or that have waited too long.
func (t *leaderTerm) sendAnnouncedReplies(now time.Time) {
	t.drains.announcing = slices.DeleteFunc(t.drains.announcing, func(waiting announcedReply) bool {
		if now.Before(waiting.deadline) && !t.drainsAnnounced(now, waiting.revision) {
			return false
		}
		waiting.reply()
		return true
	})
}

// drainsAnnounced reports whether all live controllers know of the change of drains that has a revision.
func (t *leaderTerm) drainsAnnounced(now time.Time, revision uint64) bool {
	return !slices.ContainsFunc(t.ctrl.peers, func(peer *peerProgress) bool {
		return !peer.local && peer.live(now) && peer.drainsRevision < revision
	})
}
