package replay

import (
	"errors"
	"flag"
	"os"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/record"
	"github.com/marlwood/marlwood/internal/record/recordpb"
	"github.com/marlwood/marlwood/internal/scheduler"
	"github.com/marlwood/marlwood/internal/simtest"
)

var update = flag.Bool("update", false, "record testdata again")

// frameRecorder keeps all frames of one process in memory.
type frameRecorder struct {
	stream string
	seq    uint64
	fresh  bool
	frames []recordedFrame
}

type recordedFrame struct {
	stream string
	frame  *recordpb.Frame
}

func (t *frameRecorder) Begin(stream string)  { t.stream, t.seq, t.fresh = stream, 0, true }
func (t *frameRecorder) Wanted() (bool, bool) { return true, t.fresh }
func (t *frameRecorder) Record(f *recordpb.Frame) {
	t.seq++
	f.Seq, t.fresh = t.seq, false
	t.frames = append(t.frames, recordedFrame{t.stream, proto.Clone(f).(*recordpb.Frame)}) // a copy, as a file would keep it
}

// recorded runs a schedule of faults and returns the recorded frames of all processes.
func recorded(p simtest.Plan) (out []recordedFrame) {
	var all []*frameRecorder
	simtest.Record(p, func() scheduler.Recorder {
		t := &frameRecorder{}
		all = append(all, t)
		return t
	})
	for _, t := range all {
		out = append(out, t.frames...)
	}
	return out
}

// Replaying the recordings of leaders yields the same decisions through faults and takeovers, also
// when the state is exported and imported in between.
func TestReplayMakesSameDecisions(t *testing.T) {
	total := 0
	for seed := 1; seed <= 20; seed++ {
		frames := recorded(simtest.Plans.Example(seed))
		for _, every := range []int{0, 3} {
			p := &player{verdict: &Verdict{}, opt: Options{ImportEvery: every}}
			for _, f := range frames {
				if err := p.frame(f.stream, f.frame); err != nil {
					t.Fatalf("seed %d, state every %d events: %v: %+v", seed, every, err, p.verdict.Differs)
				}
			}
			total += p.verdict.Starts
		}
	}
	if total < 150 {
		t.Errorf("only %d starts were compared", total)
	}
}

// Replay reports a difference in a recording that was altered, at the altered frame or after it.
func TestReplayReportsDifferences(t *testing.T) {
	frames := recorded(simtest.Plans.Example(3))
	seen := map[string]bool{}
	for _, c := range []struct {
		name     string
		change   func(f *recordpb.Frame) bool // reports whether it changed anything
		wantText string
	}{
		{"another machine", func(f *recordpb.Frame) bool {
			for _, o := range f.Decided.GetOrders() {
				o.Machine += "x"
			}
			return len(f.Decided.GetOrders()) > 0
		}, "order"},
		{"an extra decision", func(f *recordpb.Frame) bool {
			if f.Decided == nil || f.Seq < 50 {
				return false
			}
			f.Decided.Returns = append(f.Decided.Returns, "vm-999")
			return true
		}, "vm-999"},
		{"another hash", func(f *recordpb.Frame) bool {
			f.Hash++
			return f.Seq > 20 && f.GetEvent() != nil
		}, "hash"},
		{"a new job missing from an event", func(f *recordpb.Frame) bool {
			a, fresh := f.GetEvent().GetChanged(), false
			for _, it := range append(f.GetEvent().GetLoaded().GetJobs(), a.GetItems()...) {
				fresh = fresh || a != nil && !it.Deleted && !seen[it.Key] // a new job, not a changed one
				seen[it.Key] = true
			}
			if fresh {
				a.Items = nil
			}
			return fresh
		}, ""},
	} {
		p, changed := &player{verdict: &Verdict{}}, uint64(0)
		var err error
		for _, f := range frames {
			one := proto.Clone(f.frame).(*recordpb.Frame)
			if changed == 0 && c.change(one) {
				changed = one.Seq
			} else {
				one = f.frame
			}
			if err = p.frame(f.stream, one); err != nil {
				break
			}
		}
		d := p.verdict.Differs
		if changed == 0 || !errors.Is(err, errDifference) || d == nil || d.Frame < changed || !strings.Contains(d.Recorded+d.Replayed, c.wantText) {
			t.Errorf("%s in frame %d: %v, %+v", c.name, changed, err, d)
		}
	}
}

// Replaying the recording in testdata with the present code yields the recorded decisions. After an
// intended change of decisions, -update records it again.
func TestTestdataRecordingReplays(t *testing.T) {
	const dir = "testdata/day"
	if *update {
		if err := os.RemoveAll(dir); err != nil {
			t.Fatal(err)
		}
		w, err := record.OpenWriter(dir, 1<<20)
		if err != nil {
			t.Fatal(err)
		}
		h := record.NewBroadcaster(nil)
		now := time.Unix(0, 0)
		r, err := h.Attach(nil)
		if err != nil {
			t.Fatal(err)
		}
		for _, f := range recorded(testDay) {
			if f.frame.Seq == 1 {
				h.Begin(f.stream)
			}
			h.Record(f.frame)
			now = now.Add(5 * time.Millisecond)
			h.Tick(now)
			for len(r.Blocks()) > 0 {
				if err := w.Put(<-r.Blocks()); err != nil {
					t.Fatal(err)
				}
			}
		}
		h.Begin("") // closes the last block
		if err := w.Put(<-r.Blocks()); err != nil {
			t.Fatal(err)
		}
		if err := errors.Join(w.Close(), os.Remove(dir+"/lock")); err != nil {
			t.Fatal(err)
		}
	}
	v, err := Verify(dir, Options{})
	if err != nil || !v.Holds() || !v.Found.Complete() || v.Starts < 10 || v.Equal != v.Decisions || v.Found.Streams < 2 {
		t.Errorf("%v: %+v", err, v)
	}
}

// testDay has a gang, a pipeline, and a crash of the leader.
var testDay = simtest.Plan{Seed: 11, Machines: 3, Lease: 10 * time.Second, Cancel: 24 * time.Second,
	Jobs: []simtest.Submission{
		{At: 100 * time.Millisecond, Shape: model.Array, Tasks: 6, Spot: true, Takes: 5 * time.Second},
		{At: 2 * time.Second, Shape: model.Gang, Tasks: 3, Takes: 4 * time.Second},
		{At: 3 * time.Second, Shape: model.Array, Tasks: 4, Takes: 3 * time.Second, Needs: []int{0}},
		{At: 6 * time.Second, Shape: model.Array, Tasks: 2, Takes: 20 * time.Second, Cancel: 8 * time.Second}},
	Faults: []simtest.Fault{{Kind: "crash", At: 9 * time.Second, For: 3 * time.Second, A: 3}}}
