package scheduler

import (
	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/marlwood/marlwood/internal/autoscaler"
	"github.com/marlwood/marlwood/internal/peers/peerspb"
	"github.com/marlwood/marlwood/internal/placement"
	"github.com/marlwood/marlwood/internal/record/recordpb"
)

// applyCollecting applies an event, returns the decisions that it leads to, and adds them
// to the chained hash.
func (s *Scheduler) applyCollecting(event *recordpb.Event) (outcome, *recordpb.Decided) {
	s.decisions = &recordpb.Decided{}
	out := s.apply(event)
	decisions := s.decisions
	s.decisions = nil
	addOutcome(decisions, out)
	s.decisionHash = extendHash(s.decisionHash, decisions)
	return out, decisions
}

// noteDecision calls add with the decisions if they are being collected.
func (s *Scheduler) noteDecision(add func(decisions *recordpb.Decided)) {
	if s.decisions != nil {
		add(s.decisions)
	}
}

// Hash returns the hash chained over the decisions since the last recorded state.
func (s *Scheduler) Hash() uint64 { return s.decisionHash }

// SetHash sets the hash that the next decisions are chained to. It is used after a state
// was imported from the middle of a recording.
func (s *Scheduler) SetHash(hash uint64) { s.decisionHash = hash }

// extendHash returns the hash of decisions, seeded with the previous hash of the chain.
func extendHash(hash uint64, decisions *recordpb.Decided) uint64 {
	encoded, err := marshalDeterministic(decisions)
	if err != nil {
		return 0
	}
	var digest xxhash.Digest
	digest.ResetWithSeed(hash)
	_, _ = digest.Write(encoded)
	return digest.Sum64()
}

// marshalDeterministic encodes a message; equal messages have equal encodings.
func marshalDeterministic(message proto.Message) ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(message)
}

// addOutcome adds to the decisions what the caller has to carry out. The orders, and what
// handlers added with noteDecision, are already included.
func addOutcome(decisions *recordpb.Decided, out outcome) {
	addCloudActions(decisions, out.cloudActions)
	addWrites(decisions, out.writes)
	for _, action := range out.dependencyActions {
		decisions.Moves = append(decisions.Moves, &recordpb.Move{Op: uint32(action.Op), Job: action.ID})
	}
	if len(out.sampleRequests) > 0 {
		decisions.Wants = hashSampleRequests(out.sampleRequests)
	}
}

func addCloudActions(decisions *recordpb.Decided, actions []autoscaler.Action) {
	for _, action := range actions {
		switch {
		case action.Record != nil:
			decisions.Rentals = append(decisions.Rentals, launchDecision(action.Record, false))
		case action.Launch != nil:
			decisions.Rentals = append(decisions.Rentals, launchDecision(action.Launch, true))
		default:
			decisions.Returns = append(decisions.Returns, action.Terminate...)
		}
	}
}

func addWrites(decisions *recordpb.Decided, writes []*placement.JobWrite) {
	for _, write := range writes {
		if write.Over != nil {
			decisions.Finished = append(decisions.Finished, write.ID)
		} else {
			decisions.Saves = append(decisions.Saves, write.ID)
		}
	}
}

// hashSampleRequests returns a hash of the sample requests. Decisions contain the hash
// only, because the requests are too many to be recorded.
func hashSampleRequests(requests []*peerspb.Want) uint64 {
	digest := xxhash.New()
	for _, request := range requests {
		encoded, err := marshalDeterministic(request)
		if err == nil {
			_, _ = digest.Write(encoded)
		}
	}
	return digest.Sum64()
}

// launchDecision returns the decision about a launch request: to send it to the cloud if
// sent is set, otherwise to store its record.
func launchDecision(request *autoscaler.LaunchRequest, sent bool) *recordpb.Rental {
	return &recordpb.Rental{
		Charter: request.Name,
		Type:    request.Pool.Type,
		Zone:    request.Pool.Zone,
		Spot:    request.Spot,
		Count:   uint32(request.Count),
		Sent:    sent,
	}
}

// recordState records the current state and starts a new chain of decision hashes.
func (s *Scheduler) recordState(atNs int64) error {
	state, err := s.Export(atNs)
	if err != nil {
		return err
	}
	s.decisionHash = 0
	s.recorder.Record(&recordpb.Frame{What: &recordpb.Frame_State{State: state}})
	return nil
}
