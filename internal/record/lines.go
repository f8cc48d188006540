package record

import (
	"bufio"
	"bytes"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/marlwood/marlwood/internal/record/recordpb"
)

// lineMarker precedes a piece of a block in a log, anywhere in a line.
const lineMarker = "marlwood-record:"

// linePieceSize is how many bytes of a block one line holds: log collectors cut lines of
// more than a few kilobytes.
const linePieceSize = 2850

// writeBlockLines writes a block as lines of text: the marker, the stream, the first frame,
// the number of the piece, the number of pieces, and the piece in base64.
func writeBlockLines(w io.Writer, block *recordpb.Block) error {
	entry, err := appendEntry(nil, block)
	if err != nil {
		return err
	}
	pieces := (len(entry) + linePieceSize - 1) / linePieceSize
	for i := range pieces {
		piece := entry[i*linePieceSize : min((i+1)*linePieceSize, len(entry))]
		if _, err := fmt.Fprintf(w, "%s %s %d %d %d %s\n", lineMarker, block.Stream, block.First, i+1, pieces,
			base64.StdEncoding.EncodeToString(piece)); err != nil {
			return err
		}
	}
	return nil
}

// partialBlock is a block whose last pieces are still to be read.
type partialBlock struct {
	entry  []byte
	pieces int
}

// FromLines finds blocks in a log and calls handle for each complete one, in the order of
// their last pieces. It counts the pieces of incomplete blocks.
func FromLines(log io.Reader, handle func(*recordpb.Block) error) (broken int, err error) {
	open := map[string]*partialBlock{}
	reader := bufio.NewReaderSize(log, 64<<10)
	for {
		line, err := reader.ReadString('\n')
		if err != nil && !errors.Is(err, io.EOF) {
			return broken, err
		}
		// A log collector may join lines.
		for _, text := range strings.Split(line, lineMarker)[1:] {
			block, lost := addPiece(open, strings.Fields(text))
			broken += lost
			if block != nil {
				if handleErr := handle(block); handleErr != nil {
					return broken, handleErr
				}
			}
		}
		if err != nil {
			for _, partial := range open {
				broken += partial.pieces
			}
			return broken, nil
		}
	}
}

// addPiece adds the piece with a line's fields to its block, and returns the block if that
// completes it, or the number of lost pieces.
func addPiece(open map[string]*partialBlock, fields []string) (block *recordpb.Block, broken int) {
	if len(fields) < 5 {
		return nil, 1
	}
	key := fields[0] + " " + fields[1]
	number, err1 := strconv.Atoi(fields[2])
	total, err2 := strconv.Atoi(fields[3])
	data, err3 := base64.StdEncoding.DecodeString(fields[4])
	partial := open[key]
	if number == 1 {
		partial = &partialBlock{}
		open[key] = partial
	}
	if err1 != nil || err2 != nil || err3 != nil || partial == nil || number != partial.pieces+1 || len(partial.entry) > maxEntrySize {
		delete(open, key)
		return nil, 1
	}
	partial.entry, partial.pieces = append(partial.entry, data...), number
	if number < total {
		return nil, 0
	}
	delete(open, key)
	block, _, err := readEntry(bytes.NewReader(partial.entry))
	if err != nil {
		return nil, total
	}
	return block, 0
}
