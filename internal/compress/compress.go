// Package compress compresses values of the key-value store with zstd and encodes the result in base64, because
// values are JSON. It keeps no state between calls and is safe for concurrent use.
package compress

import (
	"encoding/base64"
	"fmt"
	"sync"

	"github.com/klauspost/compress/zstd"
)

// maxDecodedBytes bounds the size of a decompressed text, so that a damaged value cannot exhaust the memory.
const maxDecodedBytes = 8 << 20

// windowBytes is how far back the encoder looks for repetitions. It bounds the memory of the encoder.
const windowBytes = 64 << 10

// codec returns the encoder and decoder, which are shared because they hold large buffers. Their options are
// constants, so an error is a programming error and panics.
var codec = sync.OnceValues(func() (*zstd.Encoder, *zstd.Decoder) {
	encoder, err := zstd.NewWriter(nil,
		zstd.WithEncoderConcurrency(1),
		zstd.WithWindowSize(windowBytes),
		zstd.WithLowerEncoderMem(true))
	if err != nil {
		panic("compress: " + err.Error())
	}
	decoder, err := zstd.NewReader(nil,
		zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(maxDecodedBytes))
	if err != nil {
		panic("compress: " + err.Error())
	}
	return encoder, decoder
})

// Encode compresses a text. The result is ASCII.
func Encode(text []byte) string {
	encoder, _ := codec()
	return base64.StdEncoding.EncodeToString(encoder.EncodeAll(text, nil))
}

// Decode returns the text that Encode compressed. It returns an error for a damaged value and for a text of more
// than 8 MiB.
func Decode(compressed string) ([]byte, error) {
	raw, err := base64.StdEncoding.DecodeString(compressed)
	if err != nil {
		return nil, fmt.Errorf("compressed text: %w", err)
	}
	_, decoder := codec()
	text, err := decoder.DecodeAll(raw, nil)
	if err != nil {
		return nil, fmt.Errorf("compressed text: %w", err)
	}
	return text, nil
}
