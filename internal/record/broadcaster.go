package record

import (
	"errors"
	"log/slog"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/marlwood/marlwood/internal/record/recordpb"
)

// Bounds of a Broadcaster. It holds at most the ring, the block being filled, and for
// every reader some blocks that the reader has not received yet.
const (
	ringLimit     = 1 << 20         // bytes of blocks kept for readers that reconnect
	readerBacklog = 32              // blocks that wait for one reader
	maxReaders    = 4               // attached at the same time
	blockAge      = time.Second     // a block is closed after this
	stateInterval = 2 * time.Second // minimum time between two states
)

// Broadcaster packs a controller's frames into blocks and sends them to readers. Recording a
// frame never blocks: a reader that is too slow misses blocks, which are counted, and
// continues with the next state. It is safe for concurrent use.
type Broadcaster struct {
	log *slog.Logger

	mu            sync.Mutex
	now           time.Time // of the last tick
	stream        string
	seq           uint64 // of the last event, recorded or not
	buffer        []byte // frames of the block being filled
	firstFrame    uint64
	frames        uint32
	blockHasState bool // the block being filled begins with a state
	openedAt      time.Time
	needsState    bool      // the next frame must be a state
	stateAt       time.Time // when the last state was taken
	ring          []*recordpb.Block
	ringSize      int // bytes in the ring
	ringLimit     int // most bytes in the ring
	readers       map[*Reader]bool
}

// Reader receives the blocks of a Broadcaster.
type Reader struct {
	broadcaster *Broadcaster
	blocks      chan *recordpb.Block
	needsState  bool // it missed something: the next block must begin with a state
	missed      uint64
}

// Blocks returns the channel of the reader's blocks; it is closed by Detach.
func (r *Reader) Blocks() <-chan *recordpb.Block { return r.blocks }

// Missed returns the number of frames that the reader did not receive because it was too slow.
func (r *Reader) Missed() uint64 {
	r.broadcaster.mu.Lock()
	defer r.broadcaster.mu.Unlock()
	return r.missed
}

// NewBroadcaster returns a Broadcaster without readers.
func NewBroadcaster(log *slog.Logger) *Broadcaster {
	return &Broadcaster{log: log, readers: map[*Reader]bool{}, needsState: true, ringLimit: ringLimit}
}

// ErrReaders is returned by Attach when the Broadcaster has the maximum number of readers.
var ErrReaders = errors.New("too many recorders")

// Attach adds a reader. known lists the last frame that the reader has of each stream. If one of them
// is the current stream and the ring still has the frames after it, the reader continues without a gap.
func (b *Broadcaster) Attach(known []*recordpb.Known) (*Reader, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.readers) >= maxReaders {
		return nil, ErrReaders
	}
	reader := &Reader{broadcaster: b, blocks: make(chan *recordpb.Block, readerBacklog), needsState: true}
	for _, position := range known {
		if position.Stream == b.stream {
			b.catchUp(reader, position.Last+1)
		}
	}
	b.readers[reader] = true
	if reader.needsState {
		b.needsState = true
	}
	return reader, nil
}

// catchUp gives a reader the blocks in the ring from frame next on. It needs no state if
// the next block continues them.
func (b *Broadcaster) catchUp(reader *Reader, next uint64) {
	for _, block := range b.ring {
		if block.First == next && len(reader.blocks) < readerBacklog {
			reader.blocks <- block
			next += uint64(block.Frames)
		}
	}
	nextFirst := b.seq + 1 // first frame of the next block
	if b.frames > 0 {
		nextFirst = b.firstFrame
	}
	reader.needsState = next != nextFirst
}

// Detach removes a reader and closes its channel.
func (b *Broadcaster) Detach(r *Reader) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.readers[r] {
		delete(b.readers, r)
		close(r.blocks)
	}
}

// Begin starts a stream: the decisions of a leader's term.
func (b *Broadcaster) Begin(stream string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closeBlock()
	b.stream, b.seq, b.needsState, b.stateAt = stream, 0, true, time.Time{}
	b.ring, b.ringSize = nil, 0
}

// Wanted counts an event and reports whether to record it, and whether to record a state
// before it. Events that are not recorded are numbered too, so that they show as a gap.
func (b *Broadcaster) Wanted() (frames, state bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.readers) == 0 {
		b.skipFrame()
		return false, false
	}
	if !b.needsState {
		return true, false
	}
	if !b.stateAt.IsZero() && b.now.Sub(b.stateAt) < stateInterval {
		if b.blockHasState || b.anyReaderCurrent() {
			return true, false // for the readers without a gap, and those that get this block's state
		}
		b.skipFrame()
		return false, false
	}
	return true, true
}

// skipFrame numbers a frame that is not recorded. It ends the current block, whose frames
// are consecutive.
func (b *Broadcaster) skipFrame() {
	b.closeBlock()
	b.seq++
	b.needsState = true
}

// anyReaderCurrent reports whether any reader has all frames so far.
func (b *Broadcaster) anyReaderCurrent() bool {
	for r := range b.readers {
		if !r.needsState {
			return true
		}
	}
	return false
}

// Record numbers a frame and adds it to the current block. A state starts a block.
func (b *Broadcaster) Record(frame *recordpb.Frame) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seq++
	frame.Seq = b.seq
	if frame.GetState() != nil {
		b.closeBlock()
		b.needsState, b.stateAt, b.blockHasState = false, b.now, true
	}
	if b.frames == 0 {
		b.firstFrame, b.openedAt = frame.Seq, b.now
	}
	buffer, err := appendFrame(b.buffer, frame)
	if err != nil {
		b.log.Error("recording", "err", err)
		b.needsState = true
		return
	}
	b.buffer, b.frames = buffer, b.frames+1
	if len(b.buffer) >= blockSize {
		b.closeBlock()
	}
}

// Tick sets the time and closes the current block if it is older than blockAge.
func (b *Broadcaster) Tick(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.now = now
	if b.frames > 0 && now.Sub(b.openedAt) >= blockAge {
		b.closeBlock()
	}
}

// closeBlock compresses the current block, keeps it in the ring and delivers it.
func (b *Broadcaster) closeBlock() {
	if b.frames == 0 {
		return
	}
	block := &recordpb.Block{
		Stream: b.stream,
		First:  b.firstFrame,
		Frames: b.frames,
		Plain:  uint32(len(b.buffer)),
		State:  b.blockHasState,
	}
	b.frames, b.blockHasState = 0, false
	compressor, err := encoder()
	if err != nil {
		b.log.Error("recording", "err", err)
		b.buffer = b.buffer[:0]
		return
	}
	block.Data = compressor.EncodeAll(b.buffer, nil)
	if cap(b.buffer) > 4*blockSize { // it held a state: the memory is released
		b.buffer = nil
	}
	b.buffer = b.buffer[:0]
	b.ring, b.ringSize = append(b.ring, block), b.ringSize+proto.Size(block)
	for len(b.ring) > 1 && b.ringSize > b.ringLimit {
		b.ringSize -= proto.Size(b.ring[0])
		b.ring = b.ring[1:]
	}
	for reader := range b.readers {
		b.deliver(reader, block)
	}
}

// deliver sends a block to a reader, unless the reader needs a state first or is too slow.
func (b *Broadcaster) deliver(reader *Reader, block *recordpb.Block) {
	if reader.needsState && !block.State {
		reader.missed += uint64(block.Frames)
		b.needsState = b.needsState || len(reader.blocks) < readerBacklog/2
		return
	}
	select {
	case reader.blocks <- block:
		reader.needsState = false
	default:
		reader.missed += uint64(block.Frames)
		if !reader.needsState {
			b.log.Warn("a recorder is too slow and misses frames", "stream", block.Stream, "first", block.First)
		}
		reader.needsState = true
	}
}
