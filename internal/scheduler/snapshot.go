package scheduler

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/marlwood/marlwood/internal/autoscaler"
	"github.com/marlwood/marlwood/internal/dag"
	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/placement"
	"github.com/marlwood/marlwood/internal/record/recordpb"
)

// StateVersion is the version of the encoding of states and events. A program imports its own
// version only, because it cannot reproduce the decisions of other code.
const StateVersion = 1

// ErrVersion is returned for a state in another version of the encoding.
var ErrVersion = errors.New("unsupported state version")

func versionError(version uint32) error {
	return fmt.Errorf("%w %d: this program reads version %d; use the version that recorded it", ErrVersion, version, StateVersion)
}

var errIncompleteState = errors.New("state: cluster, graph or autoscaler state is missing")

// snapshot holds everything that later decisions depend on. It is stored in recordings
// under the Go names of its fields.
type snapshot struct {
	Chance []byte // state of the random number generator
	Types  map[string]model.MachineType
	Book   *placement.State          // cluster state
	Graph  *dag.GraphState           // dependency graph of waiting jobs
	Fleet  *autoscaler.State         // autoscaler state
	Saves  []placement.JobWriteState // job writes in flight
}

// encMode encodes map keys in a fixed order and times with nanosecond precision.
var encMode = func() cbor.EncMode {
	mode, err := cbor.EncOptions{Sort: cbor.SortCanonical, Time: cbor.TimeRFC3339NanoUTC}.EncMode()
	if err != nil {
		panic("scheduler: " + err.Error()) // the options are constants
	}
	return mode
}()

// maxElements is the decoder's limit on array and map elements. It is high
// enough for as many machines and tasks as there may be; the decoder's default limits are lower.
const maxElements = 1 << 24

var decMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxElements, MaxMapPairs: maxElements}.DecMode()
	if err != nil {
		panic("scheduler: " + err.Error())
	}
	return mode
}()

// Export returns the encoded state. atNs is the time of the export, in nanoseconds since the
// start of the term.
func (s *Scheduler) Export(atNs int64) (*recordpb.State, error) {
	stored, err := s.snapshot()
	if err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	encoded, err := encMode.Marshal(stored)
	if err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	config, err := json.Marshal(s.config)
	if err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	return &recordpb.State{
		Version:      StateVersion,
		Member:       s.identity.Member,
		Boot:         s.identity.Boot,
		Token:        s.identity.Token,
		Program:      ProgramVersion,
		AtNs:         atNs,
		OriginUnixNs: s.origin.UnixNano(),
		Core:         encoded,
		Config:       config,
	}, nil
}

func (s *Scheduler) snapshot() (snapshot, error) {
	stored := snapshot{
		Types: s.types,
		Graph: s.graph.Export(),
		Fleet: s.autoscaler.Export(),
	}
	var err error
	if stored.Chance, err = s.randomSource.MarshalBinary(); err != nil {
		return snapshot{}, err
	}
	if stored.Book, err = s.cluster.Export(); err != nil {
		return snapshot{}, err
	}
	for _, write := range s.writesInFlight {
		stored.Saves = append(stored.Saves, write.Export())
	}
	return stored, nil
}

// Import returns a scheduler that makes the same decisions as the one whose state was
// exported. It records nothing; the caller passes events to Decide.
func Import(state *recordpb.State, log *slog.Logger) (*Scheduler, error) {
	if state.Version != StateVersion {
		return nil, versionError(state.Version)
	}
	s := &Scheduler{
		identity:       Identity{Member: state.Member, Boot: state.Boot, Token: state.Token},
		log:            log,
		origin:         time.Unix(0, state.OriginUnixNs).UTC(),
		randomSource:   rand.NewPCG(0, 0),
		writesInFlight: map[uint64]*placement.JobWrite{},
	}
	if err := json.Unmarshal(state.Config, &s.config); err != nil {
		return nil, fmt.Errorf("state: settings: %w", err)
	}
	var stored snapshot
	if err := decMode.Unmarshal(state.Core, &stored); err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	if err := s.restore(stored); err != nil {
		return nil, err
	}
	return s, nil
}

// restore sets everything but the identity and the settings, which must already be set.
func (s *Scheduler) restore(stored snapshot) error {
	if stored.Book == nil || stored.Graph == nil || stored.Fleet == nil {
		return errIncompleteState
	}
	if err := s.randomSource.UnmarshalBinary(stored.Chance); err != nil {
		return fmt.Errorf("state: %w", err)
	}
	s.types = stored.Types
	cluster, err := placement.Import(s.placementOptions(), s.config.Teams, stored.Book)
	if err != nil {
		return err
	}
	s.cluster = cluster
	s.graph = dag.Import(s.log, stored.Graph)
	s.autoscaler = autoscaler.Import(s.config.Fleet, stored.Fleet)
	for _, write := range stored.Saves {
		s.writesInFlight[write.Save.Number] = write.Import()
	}
	return nil
}
