package controller

import (
	"github.com/marlwood/marlwood/internal/operators/operatorspb"
)

// leaderRevisions are the revisions of the operators' records of which the leader told with its last message.
type leaderRevisions struct {
	drains   uint64 // of the last change of any drain
	settings uint64 // number of the settings in force
}

// addOrigin completes a change that an operator's client of an earlier version sent without an origin: what its sender
// saw is what this controller, which receives it first, knows now.
//
// Guard: a request that is held on its way to the leader keeps this revision. Without it, the leader could not tell a
// drain that was held until its undrain had been answered from a new one, and drained again (TestHeldRequests).
func (c *Controller) addOrigin(request *operatorspb.Request) {
	if request.Hops > 0 {
		return
	}
	known := c.knownRevisions()
	switch change := request.What.(type) {
	case *operatorspb.Request_Drain:
		if change.Drain.Origin == nil {
			change.Drain.Origin = &operatorspb.Origin{Seen: known.drains}
		}
	case *operatorspb.Request_Undrain:
		if change.Undrain.Origin == nil {
			change.Undrain.Origin = &operatorspb.Origin{Seen: known.drains}
		}
	case *operatorspb.Request_Reload:
		if change.Reload.Origin == nil {
			change.Reload.Origin = &operatorspb.Origin{Seen: known.settings}
		}
	}
}

// knownRevisions returns the latest revisions of the operators' records that this controller knows of.
func (c *Controller) knownRevisions() leaderRevisions {
	if c.term != nil && c.term.loaded {
		return leaderRevisions{drains: c.term.drains.fence.revision, settings: c.adoption.number}
	}
	return c.leaderRevisions
}

// changeHistory tells when each target of one kind of operators' changes was last changed, by the revision of the
// change.
type changeHistory struct {
	floor    uint64            // revision of the last change of any target that byTarget does not list
	byTarget map[string]uint64 // revision of the last change, by target
}

// maxHistory limits the number of listed targets.
const maxHistory = 1024

// changed records that a target was changed, or that an operator was told its state.
func (h *changeHistory) changed(target string, revision uint64) {
	if len(h.byTarget) >= maxHistory {
		h.forget(revision)
	}
	if h.byTarget == nil {
		h.byTarget = map[string]uint64{}
	}
	h.byTarget[target] = revision
}

// forget records that any target may have been changed until a revision.
func (h *changeHistory) forget(revision uint64) {
	h.floor = max(h.floor, revision)
	h.byTarget = nil
}

// overtaken reports whether a target was changed after the sender of a request last looked. An origin of nil stands for
// a sender of which that is not known.
func (h *changeHistory) overtaken(target string, origin *operatorspb.Origin) bool {
	return origin != nil && origin.Seen < max(h.floor, h.byTarget[target])
}
