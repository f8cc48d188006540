package record

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"syscall"

	"github.com/marlwood/marlwood/internal/record/recordpb"
)

// segmentWriter is the file of a segment; tests replace it to simulate a full disk.
type segmentWriter interface {
	io.Writer
	Sync() error
	Truncate(size int64) error
	Seek(offset int64, whence int) (int64, error)
	Close() error
}

// openSegment is the newest segment of a stream, which blocks are appended to.
type openSegment struct {
	file   segmentWriter
	path   string
	number int
	size   int64
	dirty  bool // it has changes since the last Sync
}

// Writer writes blocks to a directory: a file for every stream, and another one when it
// reaches the size limit. It is not safe for concurrent use.
type Writer struct {
	dir          string
	segmentLimit int64 // bytes of a file after which the next one is started
	lock         *os.File
	last         map[string]uint64 // last frame that is written, by stream
	open         map[string]*openSegment
	create       func(path string) (segmentWriter, error)
	Frames       uint64        // written
	Missing      uint64        // frames that were never received
	Truncated    []DamageError // where files were truncated when the directory was opened
}

// OpenWriter opens a directory, which it creates if it is missing. A file whose end a crash
// left corrupt is truncated; Truncated lists where.
func OpenWriter(dir string, segmentLimit int64) (*Writer, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("recording: %w", err)
	}
	lock, err := os.OpenFile(filepath.Join(dir, "lock"), os.O_CREATE|os.O_RDWR, 0o644)
	if err != nil {
		return nil, fmt.Errorf("recording: %w", err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close()
		return nil, fmt.Errorf("recording: %s: another recorder writes there", dir)
	}
	w := &Writer{
		dir:          dir,
		segmentLimit: segmentLimit,
		lock:         lock,
		last:         map[string]uint64{},
		open:         map[string]*openSegment{},
		create: func(path string) (segmentWriter, error) {
			return os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o644)
		},
	}
	if err := w.resume(); err != nil {
		return nil, errors.Join(err, w.Close())
	}
	return w, nil
}

// resume opens the segments that earlier recorders left.
func (w *Writer) resume() error {
	segments, err := Segments(w.dir)
	if err != nil {
		return err
	}
	for _, segment := range segments {
		if err := w.resumeSegment(segment); err != nil {
			return err
		}
	}
	return nil
}

// resumeSegment opens a segment of an earlier recorder for appending.
func (w *Writer) resumeSegment(segment Segment) error {
	size := int64(len(fileHeader))
	err := readFile(segment.Path, func(block *recordpb.Block, end int64) error {
		size = end
		w.last[segment.Stream] = max(w.last[segment.Stream], block.First+uint64(block.Frames)-1)
		return nil
	})
	var damage *DamageError
	if err != nil && !errors.As(err, &damage) {
		return err
	}
	file, err := os.OpenFile(segment.Path, os.O_WRONLY, 0o644)
	if err != nil {
		return fmt.Errorf("recording: %w", err)
	}
	if damage != nil {
		w.Truncated = append(w.Truncated, *damage)
		if err := repair(file, damage, size); err != nil {
			return errors.Join(err, file.Close())
		}
	}
	if _, err := file.Seek(size, io.SeekStart); err != nil {
		return errors.Join(err, file.Close())
	}
	if previous := w.open[segment.Stream]; previous != nil {
		if err := previous.file.Close(); err != nil {
			return err
		}
	}
	w.open[segment.Stream] = &openSegment{
		file:   file,
		path:   segment.Path,
		number: segment.Number,
		size:   size,
		dirty:  damage != nil,
	}
	return nil
}

// repair truncates a damaged file to its readable size, and writes the header if not even
// that was complete.
func repair(file *os.File, damage *DamageError, size int64) error {
	if damage.Offset == 0 {
		if _, err := file.WriteAt(fileHeader, 0); err != nil {
			return err
		}
	}
	if err := file.Truncate(size); err != nil {
		return fmt.Errorf("recording: %w", err)
	}
	return nil
}

// maxKnownStreams bounds the result of Known; older streams have ended.
const maxKnownStreams = 32

// Known returns the last written frame of each of the newest streams.
func (w *Writer) Known() []*recordpb.Known {
	names := slices.Sorted(maps.Keys(w.last))
	var out []*recordpb.Known
	for _, name := range names[max(0, len(names)-maxKnownStreams):] {
		out = append(out, &recordpb.Known{Stream: name, Last: w.last[name]})
	}
	return out
}

// Put writes a block unless it has been written already.
//
// Guard: a full disk leaves part of a block. The file is truncated to the blocks before it,
// so that a later recorder can append.
func (w *Writer) Put(block *recordpb.Block) error {
	if !fileNamePattern.MatchString(block.Stream + ".000001.mwr") {
		return fmt.Errorf("recording: %q is no stream's name", block.Stream)
	}
	previous, last := w.last[block.Stream], block.First+uint64(block.Frames)-1
	if last <= previous {
		return nil
	}
	entry, err := appendEntry(nil, block)
	if err != nil {
		return err
	}
	segment, err := w.segmentFor(block.Stream, int64(len(entry)))
	if err != nil {
		return err
	}
	if err := segment.append(entry); err != nil {
		return err
	}
	if previous > 0 || block.First > 1 {
		w.Missing += block.First - previous - 1
	}
	w.last[block.Stream] = last
	w.Frames += uint64(block.Frames)
	return nil
}

// segmentFor returns the segment of a stream to append size bytes to: the open one, or
// the next if that would exceed the limit.
func (w *Writer) segmentFor(stream string, size int64) (*openSegment, error) {
	segment := w.open[stream]
	if segment != nil && segment.size+size > w.segmentLimit && segment.size > int64(len(fileHeader)) {
		if err := errors.Join(segment.file.Sync(), segment.file.Close()); err != nil {
			return nil, fmt.Errorf("recording: %s: %w", segment.path, err)
		}
		segment = nil
	}
	if segment != nil {
		return segment, nil
	}
	segment, err := w.createSegment(stream)
	if err != nil {
		return nil, err
	}
	w.open[stream] = segment
	return segment, nil
}

// append writes an entry, or restores the file's previous size if that fails.
func (s *openSegment) append(entry []byte) error {
	if n, err := s.file.Write(entry); err != nil || n < len(entry) {
		_, seekErr := s.file.Seek(s.size, io.SeekStart)
		err = fmt.Errorf("recording: %s: %w", s.path, cmp.Or(err, io.ErrShortWrite))
		return errors.Join(err, s.file.Truncate(s.size), seekErr)
	}
	s.size, s.dirty = s.size+int64(len(entry)), true
	return nil
}

// createSegment creates the next file of a stream.
func (w *Writer) createSegment(stream string) (*openSegment, error) {
	number := 1
	if previous := w.open[stream]; previous != nil {
		number = previous.number + 1
	}
	path := filepath.Join(w.dir, fmt.Sprintf("%s.%06d.mwr", stream, number))
	file, err := w.create(path)
	if err != nil {
		return nil, fmt.Errorf("recording: %w", err)
	}
	if _, err := file.Write(fileHeader); err != nil {
		return nil, errors.Join(fmt.Errorf("recording: %s: %w", path, err), file.Truncate(0), file.Close())
	}
	return &openSegment{file: file, path: path, number: number, size: int64(len(fileHeader)), dirty: true}, nil
}

// Sync flushes all files to the disk, so that a crash of the machine loses nothing.
func (w *Writer) Sync() error {
	for _, segment := range w.open {
		if !segment.dirty {
			continue
		}
		if err := segment.file.Sync(); err != nil {
			return fmt.Errorf("recording: %s: %w", segment.path, err)
		}
		segment.dirty = false
	}
	return nil
}

// Close syncs and closes all files.
func (w *Writer) Close() error {
	err := w.Sync()
	for _, segment := range w.open {
		err = errors.Join(err, segment.file.Close())
	}
	return errors.Join(err, w.lock.Close())
}
