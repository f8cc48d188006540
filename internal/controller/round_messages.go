package controller

import (
	"slices"
	"time"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/peers"
	"github.com/marlwood/marlwood/internal/peers/peerspb"
	"github.com/marlwood/marlwood/internal/workers"
)

// roundRequest builds the message for a controller from its record.
func (t *leaderTerm) roundRequest(peer *peerProgress, now time.Time, wants []*peerspb.Want) *peerspb.RoundRequest {
	ctrl := t.ctrl
	request := &peerspb.RoundRequest{
		Token:      t.token,
		TokenLimit: t.limit.highest.Load(),
		Leader:     ctrl.cfg.Member,
		Boot:       peer.bootID,
		Seen:       peer.lastChange,
		StoreOk:    now.Sub(ctrl.elector.LastCheck()) < storeCheckAge,
		Settings:   ctrl.adoption.number,

		DrainsRevision: t.drains.fence.revision,
	}
	if !t.loaded {
		request.Seen = 0
		return request
	}
	if peer.bootID == "" {
		return request
	}
	// The lease is expressed on the owner's own clock and starts at the clock reading in the owner's last answer,
	// which was made before the answer arrived here.
	//
	// Guard: a restarted owner has lost its stops. One of an earlier version would keep cancelled tasks alive
	// (TestLeaseOfRestartedOwner).
	if !peer.restarted || peer.usesOpenJobs {
		request.GrantUntilNs = peer.ownerClock + int64(ctrl.timing.DelegatedLease)
	}
	request.Owners = t.ownerMessages(now)
	if peer.restarted {
		wants, request.Seen = nil, workers.NoChangesWanted
	} else {
		orders := t.scheduler.Orders(peer.member)
		request.Orders = orders[:min(len(orders), peers.MaxOrders)]
		peer.moreOrders = len(orders) > peers.MaxOrders
		request.ViewedNs = t.viewedAt(peer)
	}
	request.OpenJobs = t.openJobsMessage(peer)
	request.Sizes = t.unsentSizes(peer, request.Orders)
	request.Wants = t.sampleRequestsFor(peer.member, wants)
	return request
}

// ownerMessages returns the owner of each pool and, if the owner is suspected to be unreachable, the controllers
// that the pool's workers may try instead.
func (t *leaderTerm) ownerMessages(now time.Time) (owners []*peerspb.KindOwner) {
	for pool, member := range t.scheduler.Owners() {
		owner := &peerspb.KindOwner{Kind: &peerspb.Kind{Type: pool.Type, Zone: pool.Zone}, Member: member}
		if t.reachability.suspects(member, pool) {
			owner.Elsewhere = t.otherMembers(member, now)
		}
		owners = append(owners, owner)
	}
	return owners
}

// sampleRequestsFor returns the requests for samples that include a pool of the given owner.
func (t *leaderTerm) sampleRequestsFor(member string, wants []*peerspb.Want) (selected []*peerspb.Want) {
	owned := func(pool *peerspb.Kind) bool {
		return t.scheduler.Owners()[model.Pool{Type: pool.Type, Zone: pool.Zone}] == member
	}
	for _, want := range wants {
		if slices.ContainsFunc(want.Kinds, owned) {
			selected = append(selected, want)
		}
	}
	return selected
}
