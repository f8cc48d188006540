// Package record records the events that a leader handled and the decisions that it made:
// frames, in compressed blocks that follow each other within a stream, in append-only files
// that a crash can only corrupt at their end. A Broadcaster sends the blocks of a running
// controller to recorders.
package record

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/marlwood/marlwood/internal/record/recordpb"
)

// Bounds of a block, in bytes.
const (
	blockSize    = 64 << 10  // frames in a block before compression; a larger frame has a block of its own
	maxBlockSize = 256 << 20 // of one block, decompressed
	maxEntrySize = 64 << 20  // of one block, compressed
)

// An entry is a block as it is stored: a marker, the length of the block in four
// bytes and its checksum (XXH64) in eight, all little-endian, and the block.
var entryMarker = [4]byte{'M', 'W', 'B', '1'}

const entryHeaderSize = 16

// ErrCorrupt is returned for an entry that is truncated or damaged.
var ErrCorrupt = errors.New("torn block")

// encoder compresses blocks. It is created on first use, because most controllers
// are not recorded.
var encoder = sync.OnceValues(func() (*zstd.Encoder, error) {
	return zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest),
		zstd.WithWindowSize(blockSize), zstd.WithLowerEncoderMem(true), zstd.WithEncoderCRC(false))
})

// decoder decompresses blocks.
var decoder = sync.OnceValues(func() (*zstd.Decoder, error) {
	return zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxBlockSize))
})

// appendFrame appends a frame, preceded by its length.
func appendFrame(buffer []byte, frame *recordpb.Frame) ([]byte, error) {
	buffer = binary.AppendUvarint(buffer, uint64(proto.Size(frame)))
	return proto.MarshalOptions{}.MarshalAppend(buffer, frame)
}

// Frames decompresses a block.
func Frames(block *recordpb.Block) ([]*recordpb.Frame, error) {
	decompressor, err := decoder()
	if err != nil {
		return nil, err
	}
	plain, err := decompressor.DecodeAll(block.Data, make([]byte, 0, min(block.Plain, maxBlockSize)))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	frames := make([]*recordpb.Frame, 0, min(int(block.Frames), len(plain)))
	for reader := bytes.NewReader(plain); reader.Len() > 0; {
		frame := &recordpb.Frame{}
		if err := (protodelim.UnmarshalOptions{MaxSize: maxBlockSize}).UnmarshalFrom(reader, frame); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
		}
		frames = append(frames, frame)
	}
	if len(frames) != int(block.Frames) {
		return nil, fmt.Errorf("%w: %d frames instead of %d", ErrCorrupt, len(frames), block.Frames)
	}
	return frames, nil
}

// appendEntry appends a block in its stored form.
func appendEntry(dst []byte, block *recordpb.Block) ([]byte, error) {
	body, err := proto.Marshal(block)
	if err != nil {
		return dst, err
	}
	dst = append(dst, entryMarker[:]...)
	dst = binary.LittleEndian.AppendUint32(dst, uint32(len(body)))
	dst = binary.LittleEndian.AppendUint64(dst, xxhash.Sum64(body))
	return append(dst, body...), nil
}

// readEntry reads the next stored block and returns its size in bytes. It returns io.EOF at
// the end and ErrCorrupt at an incomplete block.
func readEntry(r io.Reader) (*recordpb.Block, int64, error) {
	var header [entryHeaderSize]byte
	n, err := io.ReadFull(r, header[:])
	switch {
	case n == 0 && errors.Is(err, io.EOF):
		return nil, 0, io.EOF
	case errors.Is(err, io.ErrUnexpectedEOF):
		return nil, 0, fmt.Errorf("%w: %d bytes of a head", ErrCorrupt, n)
	case err != nil:
		return nil, 0, err
	}
	size := binary.LittleEndian.Uint32(header[4:])
	if !bytes.Equal(header[:4], entryMarker[:]) || size > maxEntrySize {
		return nil, 0, fmt.Errorf("%w: no head of a block", ErrCorrupt)
	}
	// A corrupt length must not allocate more memory than the file has bytes.
	body, err := io.ReadAll(io.LimitReader(r, int64(size)))
	if err != nil {
		return nil, 0, err
	}
	if len(body) < int(size) {
		return nil, 0, fmt.Errorf("%w: %d of %d bytes", ErrCorrupt, len(body), size)
	}
	if xxhash.Sum64(body) != binary.LittleEndian.Uint64(header[8:]) {
		return nil, 0, fmt.Errorf("%w: its checksum differs", ErrCorrupt)
	}
	block := &recordpb.Block{}
	if err := proto.Unmarshal(body, block); err != nil {
		return nil, 0, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return block, entryHeaderSize + int64(size), nil
}
