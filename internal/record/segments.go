package record

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"

	"github.com/marlwood/marlwood/internal/record/recordpb"
)

// fileMagic is common to the headers of all format versions.
const fileMagic = "marlwood recording "

// fileHeader starts every file; its last byte but one is the format version.
var fileHeader = []byte(fileMagic + "1\n")

// FormatVersion is the version of the format that is written, and the latest that is read.
const FormatVersion = 1

// fileNamePattern matches a file's name: the stream and the number of the segment.
var fileNamePattern = regexp.MustCompile(`^([0-9]{20}-[A-Za-z0-9._-]+)\.([0-9]{6})\.mwr$`)

// StreamName returns the name of the stream of a leader's term. Names sort by fencing token.
// Characters that are not safe in a file name are replaced.
func StreamName(token uint64, member, boot string) string {
	return fmt.Sprintf("%020d-%s-%s", token, unsafeCharacters.ReplaceAllString(member, "_"), unsafeCharacters.ReplaceAllString(boot, "_"))
}

// unsafeCharacters are those that StreamName replaces.
var unsafeCharacters = regexp.MustCompile(`[^A-Za-z0-9._-]`)

// ErrFormat is returned for a file or directory that is not a recording that this version reads.
var ErrFormat = errors.New("not a recording that this program reads")

// Segment is one file of a stream.
type Segment struct {
	Path   string
	Stream string
	Number int
}

// Segments lists a directory's files, by stream and number.
func Segments(dir string) ([]Segment, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, fmt.Errorf("recording: %w", err)
	}
	var out []Segment
	for _, entry := range entries {
		if match := fileNamePattern.FindStringSubmatch(entry.Name()); match != nil && entry.Type().IsRegular() {
			number, err := strconv.Atoi(match[2])
			if err != nil {
				continue
			}
			out = append(out, Segment{Path: filepath.Join(dir, entry.Name()), Stream: match[1], Number: number})
		}
	}
	slices.SortFunc(out, func(x, y Segment) int {
		return cmp.Or(cmp.Compare(x.Stream, y.Stream), cmp.Compare(x.Number, y.Number))
	})
	return out, nil
}

// DamageError reports the offset from which a file is unreadable.
type DamageError struct {
	Path   string
	Offset int64 // all blocks before it are readable
	Err    error
}

// Error names the file, the offset and the reason.
func (d *DamageError) Error() string {
	return fmt.Sprintf("%s: at byte %d: %v", d.Path, d.Offset, d.Err)
}

// Unwrap returns the reason.
func (d *DamageError) Unwrap() error { return d.Err }

// MarshalJSON writes the error as its text.
func (d DamageError) MarshalJSON() ([]byte, error) {
	return json.Marshal(struct {
		Path   string `json:"path"`
		Offset int64  `json:"offset"`
		Error  string `json:"error"`
	}{d.Path, d.Offset, d.Err.Error()})
}

// readFile calls handle for each block of a file, with the offset after it. A corrupt
// block is returned as *DamageError, after all blocks before it were handled.
func readFile(path string, handle func(block *recordpb.Block, end int64) error) error {
	file, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("recording: %w", err)
	}
	defer func() { _ = file.Close() }() // it was only read
	if err := checkHeader(file, path); err != nil {
		return err
	}
	offset := int64(len(fileHeader))
	for {
		block, size, err := readEntry(file)
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case errors.Is(err, ErrCorrupt):
			return &DamageError{path, offset, err}
		case err != nil:
			return fmt.Errorf("%s: %w", path, err)
		}
		offset += size
		if err := handle(block, offset); err != nil {
			return err
		}
	}
}

// checkHeader reads the header of a file and returns an error if the file can't be read.
func checkHeader(file io.Reader, path string) error {
	header := make([]byte, len(fileHeader))
	switch size, err := io.ReadFull(file, header); {
	case err != nil && bytes.HasPrefix(fileHeader, header[:size]):
		return &DamageError{path, 0, fmt.Errorf("%w: %d bytes of the file's head", ErrCorrupt, size)}
	case err != nil || !bytes.HasPrefix(header, []byte(fileMagic)):
		return fmt.Errorf("%s: %w: it does not begin like one", path, ErrFormat)
	case !bytes.Equal(header, fileHeader):
		version := bytes.TrimSpace(header[len(fileMagic):])
		return fmt.Errorf("%s: %w: form %q, this program reads up to form %d", path, ErrFormat, version, FormatVersion)
	}
	return nil
}
