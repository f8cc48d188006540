package controller

import "github.com/marlwood/marlwood/internal/peers/peerspb"

// maxOpenJobChanges bounds the changes of the list of open jobs in one message, which gRPC limits to 4 MiB.
const maxOpenJobChanges = 16384

// openJobsProgress is the part of the list of open jobs that a controller has confirmed: the first changes of a list.
type openJobsProgress struct {
	list    uint64
	changes uint64
}

// openJobsMessage returns the changes of the list of open jobs that a controller has not confirmed, or nil if the
// controller does not use them.
func (t *leaderTerm) openJobsMessage(peer *peerProgress) *peerspb.OpenJobs {
	if !peer.usesOpenJobs {
		return nil
	}
	message := t.scheduler.OpenJobsSince(peer.openJobs.list, peer.openJobs.changes, maxOpenJobChanges)
	message.ViewedNs = t.viewedAt(peer)
	return message
}

// viewedAt returns the request time of the last view of the jobs, on a controller's own clock. It is not too late,
// because the controller's clock was read before its answer arrived.
func (t *leaderTerm) viewedAt(peer *peerProgress) int64 {
	return peer.ownerClock + int64(t.ctrl.elector.LastJobsView().Sub(peer.lastAnswer))
}

// recordOpenJobs records that a controller has the open jobs of the message that it answered, unless the token was
// renewed meanwhile.
func (t *leaderTerm) recordOpenJobs(peer *peerProgress, request *peerspb.RoundRequest, response *peerspb.RoundResponse) {
	sent := request.OpenJobs
	if sent == nil || response.Boot != request.Boot || response.Token != request.Token || request.Token != t.token {
		return
	}
	peer.openJobs = openJobsProgress{list: sent.List, changes: sent.To}
}
