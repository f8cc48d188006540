package workers

import "github.com/marlwood/marlwood/internal/model"

// The leader's token is the revision at which its key was written, and a later leader's token is a later revision. So
// no other leader ever has a token between the present one and the token limit: the revision of a write that succeeded
// while the key was unchanged. Within that range an owner may raise the token of the messages to each of its machines.
// A worker then refuses the calls that were sent to it under a lower token. All tokens of the range count as the
// leader's token wherever heartbeats are compared or judged.

// normalize returns a heartbeat that shows the leader's token if the worker has any token of its range.
func (reg *Registry) normalize(heartbeat *model.Heartbeat) *model.Heartbeat {
	if heartbeat == nil || heartbeat.Token <= reg.token || heartbeat.Token > reg.tokenLimit {
		return heartbeat
	}
	normalized := *heartbeat
	normalized.Token = reg.token
	return &normalized
}

// applyTokenLimit applies the token limit of a round under the present token. limit is 0 if the leader's version sends
// none.
func (reg *Registry) applyTokenLimit(limit uint64) {
	reg.limitKnown = limit != 0
	reg.tokenLimit = max(reg.tokenLimit, reg.token, limit)
}

// wantedLimit returns the token limit that the registry needs from the leader, or 0 if it needs none.
func (reg *Registry) wantedLimit() uint64 {
	if reg.limitWanted <= reg.tokenLimit {
		return 0
	}
	return reg.limitWanted
}

// messageToken returns the token of the messages to a machine's worker. It is never lower than that of an earlier one,
// which the worker may have adopted.
func (reg *Registry) messageToken(machine *machineState) uint64 { return max(reg.token, machine.token) }

// observeToken records a token that a worker has shown.
//
// Guard: a restarted owner does not know to which token its earlier process had raised a machine's messages. The worker
// would drop its answers, and the machine's lease would expire (TestRestartedOwnerOfRaisedToken).
func (reg *Registry) observeToken(machine *machineState, shown uint64) {
	if shown <= reg.tokenLimit {
		machine.token = max(machine.token, shown)
	}
}

// raisableToken returns the highest token that an answer to a machine may carry now.
//
// Guard: a call in flight carries the present token. A worker that adopted a higher one before the call arrived would
// refuse its commands, which would wait for the next heartbeat.
func (reg *Registry) raisableToken(machine *machineState) uint64 {
	if machine.directCall.inFlight != 0 {
		return reg.messageToken(machine)
	}
	return max(reg.tokenLimit, reg.messageToken(machine))
}
