package accounting

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/marlwood/marlwood/internal/compress"
)

// The prefixes of the stored keys. The total and the rows of each term are stored in parts by account.
const (
	KeyPrefix   = "usage/"
	totalPrefix = KeyPrefix + "total/"
)

// WatermarkKey is the stored key of the Watermark, which is written with every part and read by the next leader.
const WatermarkKey = "usage-mark"

// Watermark records when usage was last written and the last task attempt that had been ordered by then. For
// attempts up to that one that the next leader finds running, it counts usage from that time on.
type Watermark struct {
	AtMS    int64  `json:"at_ms"`
	Attempt uint64 `json:"attempt"`
}

// partCount is the number of values that a term's rows are divided into: 40 teams with 100 classes each, on
// on-demand and spot machines, have 8000 rows, and a value of 8 KiB holds about 500.
const partCount = 32

// totalName replaces a term's token in the keys of the total.
const totalName = "total"

// partOf returns the part that an account belongs to.
func partOf(account Account) int {
	return int(xxhash.Sum64String(account.Team+"\x00"+account.Class) % partCount)
}

// rowKey returns the stored key of a part of a term's rows.
func rowKey(token uint64, part int) string {
	return fmt.Sprintf("%s%016x/%02d", KeyPrefix, token, part)
}

// totalKey returns the stored key of a part of the total.
func totalKey(part int) string { return fmt.Sprintf("%s%02d", totalPrefix, part) }

// parseKey returns the term's token and the part of a stored key. Token 0 stands for the total.
func parseKey(key string) (token uint64, part int, err error) {
	rest, hasPrefix := strings.CutPrefix(key, KeyPrefix)
	term, number, isCut := strings.Cut(rest, "/")
	if hasPrefix && isCut && term != totalName {
		token, err = strconv.ParseUint(term, 16, 64)
	}
	part, partErr := strconv.Atoi(number)
	err = errors.Join(err, partErr)
	if !hasPrefix || !isCut || err != nil || part < 0 || part >= partCount {
		return 0, 0, fmt.Errorf("usage record key %q: not in the key format of this version", key)
	}
	return token, part, nil
}

// Encode returns rows in their stored form: CBOR, compressed (package compress), as a JSON string.
func Encode(rows []Row) (json.RawMessage, error) {
	encoded, err := cbor.Marshal(rows)
	if err != nil {
		return nil, fmt.Errorf("encode usage rows: %w", err)
	}
	return json.Marshal(compress.Encode(encoded))
}

// Decode returns the rows of a value that Encode returned.
func Decode(value json.RawMessage) (rows []Row, err error) {
	var text string
	if err := json.Unmarshal(value, &text); err != nil {
		return nil, fmt.Errorf("decode usage value: %w", err)
	}
	encoded, err := compress.Decode(text)
	if err != nil {
		return nil, fmt.Errorf("decompress usage rows: %w", err)
	}
	if err := cbor.Unmarshal(encoded, &rows); err != nil {
		return nil, fmt.Errorf("decode usage rows: %w", err)
	}
	return rows, nil
}
