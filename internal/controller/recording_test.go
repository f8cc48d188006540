package controller

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/marlwood/marlwood/internal/peers/peerspb"
	"github.com/marlwood/marlwood/internal/record"
	"github.com/marlwood/marlwood/internal/record/recordpb"
	"github.com/marlwood/marlwood/internal/scheduler"
)

// blockStreams receives the stream name of each block that a recorder has written, in order. Each leader's term is a
// stream.
type blockStreams struct {
	testing.TB
	blocks chan string
}

// await waits for a block for whose stream accept returns true, and reports an error if none arrives within a minute.
func (b blockStreams) await(what string, accept func(stream string) bool) {
	b.Helper()
	timeout := time.After(time.Minute)
	for {
		select {
		case stream := <-b.blocks:
			if accept(stream) {
				return
			}
		case <-timeout:
			b.Errorf("%s: no block arrived", what)
			return
		}
	}
}

// follow records a cluster until check is called, which reads the recording and decides everything in it again. It
// returns once a leader's first block is written. written waits until everything that was decided before its call
// is written.
//
// Guard: without these waits, on a busy machine, the jobs ran before the recorder had reached their leader, or within
// the last second of that leader, whose block is lost with it. Then too few starts were compared.
func (s *testCluster) follow() (written, check func()) {
	s.Helper()
	dir := s.TempDir()
	writer, err := record.OpenWriter(dir, 64<<10)
	if err != nil {
		s.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	streams := blockStreams{s.TB, make(chan string, 1024)}
	go func() {
		ended <- record.Follow(ctx, s.addrs[3:], slog.New(slog.DiscardHandler), writer.Known, func(b *recordpb.Block) error {
			err := writer.Put(b)
			streams.blocks <- b.Stream
			return err
		})
	}()
	s.Cleanup(cancel)
	currentStream := ""
	streams.await("the first leader", func(stream string) bool { currentStream = stream; return true })
	written = func() {
		for len(streams.blocks) > 0 {
			currentStream = <-streams.blocks
		}
		count := 0 // of blocks from now on; the first one may have been closed before the call
		streams.await("all decisions so far", func(stream string) bool { currentStream, count = stream, count+1; return count == 2 })
	}
	return written, func() {
		streams.await("the next leader", func(stream string) bool { return stream != currentStream })
		cancel()
		if err := <-ended; err != nil {
			s.Error(err)
		}
		if err := writer.Close(); err != nil {
			s.Error(err)
		}
		s.checkRecording(dir)
	}
}

// checkRecording decides everything in a recording again, and checks that it has the streams of at least two leaders and
// at least 10 starts.
func (s *testCluster) checkRecording(dir string) {
	s.Helper()
	replayed := &replayedStream{TB: s.TB}
	found, err := record.Read(dir, replayed.frame)
	if err != nil || found.Streams < 2 || replayed.starts < 10 || len(found.Damaged) > 0 {
		s.Errorf("%v: %+v, %d starts", err, found, replayed.starts)
	}
}

// replayedStream replays the frames of a recording and compares the decisions.
type replayedStream struct {
	testing.TB
	scheduler *scheduler.Scheduler // of the current stream; nil: no state has been read yet
	stream    string
	starts    int // replayed orders to start a task
}

// frame imports a state, or decides an event again and checks the decisions and the hash against the recorded ones.
func (r *replayedStream) frame(stream string, frame *recordpb.Frame) error {
	if state := frame.GetState(); state != nil {
		fresh, err := scheduler.Import(state, slog.New(slog.DiscardHandler))
		r.scheduler, r.stream = fresh, stream
		return err
	}
	if r.scheduler == nil || r.stream != stream {
		return nil
	}
	if decided := r.scheduler.Decide(frame.GetEvent()); !proto.Equal(decided, frame.Decided) || r.scheduler.Hash() != frame.Hash {
		r.Errorf("%s, frame %d: %v, recorded %v", stream, frame.Seq, decided, frame.Decided)
	}
	for _, order := range frame.Decided.GetOrders() {
		if order.Op == peerspb.Op_OP_START {
			r.starts++
		}
	}
	return nil
}

// Checks that an exported state contains the settings in force, and that a state of another version is refused.
func TestRecordingHoldsSettings(t *testing.T) {
	term, _, _ := newLeadingTerm(t)
	state, err := term.scheduler.Export(0)
	if err != nil {
		t.Fatal(err)
	}
	imported, err := scheduler.Import(state, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	got := imported.Config().Settings
	if got.Platform == nil || got.Operator == nil || got.Platform.Member != "n0" || *got.Operator != *term.ctrl.fileSettings {
		t.Errorf("%+v", got)
	}
	state.Version++
	if _, err := scheduler.Import(state, slog.New(slog.DiscardHandler)); !errors.Is(err, scheduler.ErrVersion) {
		t.Errorf("state of another version: %v", err)
	}
}
