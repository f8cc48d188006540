package record

import (
	"errors"
	"fmt"
	"io"

	"github.com/marlwood/marlwood/internal/record/recordpb"
)

// Gap is a range of frames that a recording lacks.
type Gap struct {
	Stream string `json:"stream"`
	From   uint64 `json:"from"`
	To     uint64 `json:"to"`
}

// Contents summarizes the recording in a directory.
type Contents struct {
	Streams int           `json:"streams"`
	Files   int           `json:"files"`
	Blocks  int           `json:"blocks"`
	Frames  uint64        `json:"frames"`
	Bytes   uint64        `json:"bytes"` // before compression
	Gaps    []Gap         `json:"gaps,omitempty"`
	Damaged []DamageError `json:"damaged,omitempty"`
}

// Complete reports whether nothing is missing within the streams.
func (f *Contents) Complete() bool { return len(f.Gaps) == 0 && len(f.Damaged) == 0 }

// PrintDamage writes a line for each gap and each corrupt file. It ignores errors of w, a
// command's output.
func (f *Contents) PrintDamage(w io.Writer) {
	for _, gap := range f.Gaps {
		_, _ = fmt.Fprintf(w, "missing: stream %s, frames %d to %d\n", gap.Stream, gap.From, gap.To)
	}
	for _, damage := range f.Damaged {
		_, _ = fmt.Fprintf(w, "damaged: %v; what follows in this file is missing\n", &damage)
	}
}

// Read calls handle for every frame of a directory, the streams in the order of their
// fencing tokens. Corrupt and missing blocks are listed in Contents and skipped: after a
// gap the frames continue with a state.
func Read(dir string, handle func(stream string, frame *recordpb.Frame) error) (*Contents, error) {
	r := &directoryReader{contents: &Contents{}, handle: handle}
	segments, err := Segments(dir)
	if err != nil {
		return r.contents, err
	}
	if len(segments) == 0 {
		return r.contents, fmt.Errorf("%s: %w: there are no files *.mwr in it", dir, ErrFormat)
	}
	for _, segment := range segments {
		if err := r.readSegment(segment); err != nil {
			return r.contents, err
		}
	}
	return r.contents, nil
}

// directoryReader reads the segments of a directory one after the other.
type directoryReader struct {
	contents *Contents
	handle   func(stream string, frame *recordpb.Frame) error
	stream   string // of the last segment
	number   int    // of the last segment
	next     uint64 // frame that follows the last block
}

// readSegment reads the next segment.
func (r *directoryReader) readSegment(segment Segment) error {
	if segment.Stream != r.stream {
		r.next, r.stream, r.number = 1, segment.Stream, 0
		r.contents.Streams++
	}
	if segment.Number != r.number+1 {
		return fmt.Errorf("%s: %w: segment %d of its stream is missing before it", segment.Path, ErrFormat, r.number+1)
	}
	r.number = segment.Number
	r.contents.Files++
	err := readFile(segment.Path, func(block *recordpb.Block, _ int64) error { return r.readBlock(segment.Path, block) })
	var damage *DamageError
	if errors.As(err, &damage) {
		r.contents.Damaged = append(r.contents.Damaged, *damage)
		return nil
	}
	return err
}

// readBlock handles the frames of the next block.
func (r *directoryReader) readBlock(path string, block *recordpb.Block) error {
	if block.Stream != r.stream {
		return fmt.Errorf("%s: %w: it holds blocks of stream %s", path, ErrFormat, block.Stream)
	}
	if block.First < r.next {
		return fmt.Errorf("%s: %w: frame %d comes after frame %d", path, ErrFormat, block.First, r.next-1)
	}
	if block.First > r.next {
		r.contents.Gaps = append(r.contents.Gaps, Gap{Stream: r.stream, From: r.next, To: block.First - 1})
	}
	r.next = block.First + uint64(block.Frames)
	frames, err := Frames(block)
	if err != nil {
		return fmt.Errorf("%s: block of frame %d: %w", path, block.First, err)
	}
	r.contents.Blocks++
	r.contents.Frames += uint64(len(frames))
	r.contents.Bytes += uint64(block.Plain)
	for _, frame := range frames {
		if err := r.handle(r.stream, frame); err != nil {
			return err
		}
	}
	return nil
}
