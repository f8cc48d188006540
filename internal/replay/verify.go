// Package replay replays recordings. It either feeds the recorded events through the same code,
// which must make the same decisions, or simulates the recorded jobs under other rules and
// compares the outcomes.
package replay

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/encoding/prototext"
	"google.golang.org/protobuf/proto"

	"github.com/marlwood/marlwood/internal/peers/peerspb"
	"github.com/marlwood/marlwood/internal/record"
	"github.com/marlwood/marlwood/internal/record/recordpb"
	"github.com/marlwood/marlwood/internal/scheduler"
)

// Verdict is the result of verifying a recording.
type Verdict struct {
	Found     *record.Contents `json:"found"`
	Events    int              `json:"events"`
	Decisions int              `json:"decisions"` // orders, rentals, returns, saves and the like
	Equal     int              `json:"equal"`
	Starts    int              `json:"starts"`
	Differs   *Difference      `json:"differs,omitempty"` // the first one
}

// Difference describes an event whose replayed decisions differ from the recorded ones.
type Difference struct {
	Stream   string        `json:"stream"`
	Frame    uint64        `json:"frame"`
	At       time.Duration `json:"at_ns"` // since the term began
	Event    string        `json:"event"`
	Recorded string        `json:"recorded"`
	Replayed string        `json:"replayed"`
	Around   []string      `json:"around"` // state of the jobs and machines in the decisions
}

// Options configures how a recording is verified.
type Options struct {
	// ImportEvery is the number of events after which the scheduler's state is exported and
	// imported again, which must change nothing. 0 imports only the states of the recording.
	ImportEvery int
}

// errDifference stops reading at the first difference.
var errDifference = errors.New("difference found")

// Verify replays all events of a recording and compares the decisions with the recorded ones.
func Verify(dir string, opt Options) (*Verdict, error) {
	v := &Verdict{}
	p := &player{verdict: v, opt: opt}
	found, err := record.Read(dir, p.frame)
	v.Found = found
	if errors.Is(err, errDifference) {
		err = nil
	}
	return v, err
}

// player replays streams one after another.
type player struct {
	verdict *Verdict
	opt     Options
	stream  string
	core    *scheduler.Scheduler
	last    uint64
	since   int // events since the state was last exported and imported
}

func (p *player) frame(stream string, f *recordpb.Frame) error {
	v := p.verdict
	if stream != p.stream || f.Seq != p.last+1 {
		p.core = nil // events after a gap cannot be replayed before the next state
	}
	p.stream, p.last = stream, f.Seq
	if s := f.GetState(); s != nil {
		c, err := scheduler.Import(s, slog.New(slog.DiscardHandler))
		if err != nil {
			return fmt.Errorf("%s, frame %d: %w", stream, f.Seq, err)
		}
		p.core = c
		return nil
	}
	if p.core == nil || f.GetEvent() == nil {
		return nil
	}
	e := f.GetEvent()
	decided := p.core.Decide(e)
	v.Events++
	n := Count(f.Decided)
	v.Decisions += n
	if !proto.Equal(decided, f.Decided) || p.core.Hash() != f.Hash {
		v.Differs = difference(stream, f, decided, p.core)
		return errDifference
	}
	v.Equal += n
	for _, o := range f.Decided.GetOrders() {
		if o.Op == peerspb.Op_OP_START {
			v.Starts++
		}
	}
	if p.since++; p.opt.ImportEvery > 0 && p.since >= p.opt.ImportEvery {
		p.since = 0
		s, err := p.core.Export(e.AtNs)
		if err != nil {
			return err
		}
		hash := p.core.Hash()
		if p.core, err = scheduler.Import(s, slog.New(slog.DiscardHandler)); err != nil {
			return err
		}
		p.core.SetHash(hash)
	}
	return nil
}

// Count returns the number of decisions that an event led to.
func Count(d *recordpb.Decided) int {
	return len(d.GetOrders()) + len(d.GetRentals()) + len(d.GetReturns()) + len(d.GetExpired()) + len(d.GetSaves()) +
		len(d.GetFinished()) + len(d.GetMoves()) + len(d.GetDroppedHosts())
}

// difference describes how the decisions differ, with the state of the jobs and machines concerned.
func difference(stream string, f *recordpb.Frame, decided *recordpb.Decided, c *scheduler.Scheduler) *Difference {
	e := f.GetEvent()
	what := e.ProtoReflect().WhichOneof(e.ProtoReflect().Descriptor().Oneofs().ByName("what"))
	d := &Difference{Stream: stream, Frame: f.Seq, At: time.Duration(e.AtNs), Event: "none",
		Recorded: only(f.Decided, decided), Replayed: only(decided, f.Decided)}
	if what != nil {
		d.Event = string(what.Name())
	}
	if d.Recorded == "" && d.Replayed == "" {
		d.Recorded = fmt.Sprintf("hash %016x", f.Hash)
		d.Replayed = fmt.Sprintf("hash %016x", c.Hash())
	}
	jobs, machines := map[string]bool{}, map[string]bool{}
	for _, x := range []*recordpb.Decided{f.Decided, decided} {
		for _, o := range x.GetOrders() {
			jobs[o.Job], machines[o.Machine] = true, true
		}
	}
	for _, j := range c.Jobs().All() {
		if jobs[j.Spec.ID] && len(d.Around) < 10 {
			d.Around = append(d.Around, fmt.Sprintf("job %s: team %s, %d of %d tasks finished, %d bound", j.Spec.ID, j.Spec.Team,
				j.Finished(), j.Spec.Tasks, j.Bound()))
		}
	}
	for _, m := range c.Machines().All() {
		if machines[m.Name] && len(d.Around) < 20 {
			d.Around = append(d.Around, fmt.Sprintf("machine %s: %s in %s, %s, hosted %v, cordoned %v, retiring %v", m.Name, m.Pool.Type,
				m.Pool.Zone, m.Phase, m.Recorded, m.Cordoned, m.ScaleIn))
		}
	}
	return d
}

// only returns the decisions in d, one a line, that are not in without.
func only(d, without *recordpb.Decided) string {
	lines := func(d *recordpb.Decided) []string {
		var out []string
		for _, o := range d.GetOrders() {
			out = append(out, "order: "+prototext.MarshalOptions{}.Format(o))
		}
		for _, r := range d.GetRentals() {
			out = append(out, "rental: "+prototext.MarshalOptions{}.Format(r))
		}
		for _, m := range d.GetMoves() {
			out = append(out, "move: "+prototext.MarshalOptions{}.Format(m))
		}
		for _, l := range []struct {
			what  string
			names []string
		}{{"return", d.GetReturns()}, {"expired", d.GetExpired()}, {"save", d.GetSaves()}, {"finished", d.GetFinished()},
			{"host record dropped", d.GetDroppedHosts()}} {
			for _, name := range l.names {
				out = append(out, l.what+": "+name)
			}
		}
		return append(out, fmt.Sprintf("samples asked for: %016x, takeover complete: %v", d.GetWants(), d.GetComplete()))
	}
	rest := lines(without)
	var out []string
	for _, l := range lines(d) {
		if i := slices.Index(rest, l); i >= 0 {
			rest = slices.Delete(rest, i, i+1)
			continue
		}
		out = append(out, l)
	}
	return strings.Join(out, "\n")
}

// printf writes to a command's output and ignores write errors.
func printf(w io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(w, format, args...) }

// Print writes the verdict as text.
func (v *Verdict) Print(w io.Writer) {
	f := v.Found
	printf(w, "%d streams in %d files: %d blocks, %d frames, %.1f MB\n", f.Streams, f.Files, f.Blocks, f.Frames, float64(f.Bytes)/1e6)
	f.PrintDamage(w)
	if d := v.Differs; d != nil {
		printf(w, "first difference: stream %s, frame %d, %v after the term began, event %s\n", d.Stream, d.Frame, d.At, d.Event)
		printf(w, "recorded, not decided again:\n  %s\n", strings.ReplaceAll(d.Recorded, "\n", "\n  "))
		printf(w, "decided, not recorded:\n  %s\n", strings.ReplaceAll(d.Replayed, "\n", "\n  "))
		for _, line := range d.Around {
			printf(w, "%s\n", line)
		}
	}
	printf(w, "%d of %d decisions equal (%d events, %d starts)\n", v.Equal, v.Decisions, v.Events, v.Starts)
}

// Holds reports whether all replayed decisions equal the recorded ones.
func (v *Verdict) Holds() bool { return v.Differs == nil }
