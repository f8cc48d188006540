package model

import (
	"bytes"
	"compress/flate"
	"encoding/base64"
	"fmt"
	"io"
	"math/bits"
	"slices"
	"strconv"
	"strings"
	"sync"
)

// TaskSet is a set of task indexes, stored as a bitmap.
type TaskSet struct {
	words []uint64
	n     int
}

// NewTaskSet returns an empty set for tasks 0 to size-1.
func NewTaskSet(size int) *TaskSet { return &TaskSet{words: make([]uint64, (size+63)/64)} }

// TaskSetOf returns a set with the given bitmap; see Words. The caller must not change the
// slice afterwards.
func TaskSetOf(words []uint64) *TaskSet {
	s := &TaskSet{words: words}
	for _, w := range words {
		s.n += bits.OnesCount64(w)
	}
	return s
}

// Words returns a copy of the bitmap, which can be passed to TaskSetOf.
func (s *TaskSet) Words() []uint64 { return slices.Clone(s.words) }

// Has reports whether i is in the set.
func (s *TaskSet) Has(i int) bool {
	return i >= 0 && i/64 < len(s.words) && s.words[i/64]&(1<<(i%64)) != 0
}

// Add adds i to the set. It returns false if i is already in the set or out of range.
func (s *TaskSet) Add(i int) bool {
	if i < 0 || i/64 >= len(s.words) || s.Has(i) {
		return false
	}
	s.words[i/64] |= 1 << (i % 64)
	s.n++
	return true
}

// Len returns the number of tasks in the set.
func (s *TaskSet) Len() int { return s.n }

// Differs reports whether two sets differ in the tasks in [from, to). from must be a
// multiple of 64.
func (s *TaskSet) Differs(o *TaskSet, from, to int) bool {
	a, b := from/64, (to+63)/64
	return !slices.Equal(s.words[a:b], o.words[a:b])
}

// Union adds another set's tasks in [from, to). from must be a multiple of 64, and so must to
// unless it is the size of the set.
func (s *TaskSet) Union(o *TaskSet, from, to int) {
	for i := from / 64; i < (to+63)/64; i++ {
		s.n += bits.OnesCount64(o.words[i] &^ s.words[i])
		s.words[i] |= o.words[i]
	}
}

// compressors holds compressors for reuse, because each has half a megabyte of tables.
var compressors = sync.Pool{New: func() any {
	w, _ := flate.NewWriter(nil, flate.BestSpeed)
	return w
}}

// Encode returns the set's tasks in [from, to) as text: "z" and deflate-compressed bytes, or
// "b" and uncompressed bytes, both in base64, or "" if there are no tasks. PartTasks returns
// how many tasks always fit into a text of a given size.
func (s *TaskSet) Encode(from, to int) string {
	raw := make([]byte, 0, (to-from)/8+8)
	for i := from / 64; i < (to+63)/64 && i < len(s.words); i++ {
		for k := 0; k < 8; k++ {
			raw = append(raw, byte(s.words[i]>>(8*k)))
		}
	}
	raw = bytes.TrimRight(raw, "\x00")
	if len(raw) == 0 {
		return ""
	}
	var buf bytes.Buffer
	w := compressors.Get().(*flate.Writer)
	w.Reset(&buf)
	_, _ = w.Write(raw)
	_ = w.Close()
	compressors.Put(w)
	if buf.Len() < len(raw) {
		return "z" + base64.RawStdEncoding.EncodeToString(buf.Bytes())
	}
	return "b" + base64.RawStdEncoding.EncodeToString(raw)
}

// PartTasks returns the number of tasks that always fit into a text of Encode of size bytes.
// It is a multiple of 64, and at least 64 even if fewer fit.
func PartTasks(size int) int { return max(64, (size-1)*3/4*8/64*64) }

// Merge adds the tasks of a text that Encode returned for a range that starts at task from.
func (s *TaskSet) Merge(from int, text string) error {
	if text == "" {
		return nil
	}
	raw, err := base64.RawStdEncoding.DecodeString(text[1:])
	if err != nil {
		return fmt.Errorf("task set: %w", err)
	}
	if text[0] == 'z' {
		if raw, err = io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(raw)), MaxTasks/8+8)); err != nil {
			return fmt.Errorf("task set: %w", err)
		}
	}
	for k, b := range raw {
		for b != 0 {
			i := bits.TrailingZeros8(b)
			s.Add(from + 8*k + i)
			b &^= 1 << i
		}
	}
	return nil
}

// TaskName returns the name of a task on the wire.
func TaskName(job string, index int) string { return job + "/" + strconv.Itoa(index) }

// SplitTask parses the name of a task on the wire. ok reports whether the name is valid.
func SplitTask(name string) (job string, index int, ok bool) {
	i := strings.LastIndexByte(name, '/')
	if i < 0 || !ValidID(name[:i]) {
		return "", 0, false
	}
	n, err := strconv.Atoi(name[i+1:])
	if err != nil || n < 0 || n >= MaxTasks || strconv.Itoa(n) != name[i+1:] {
		return "", 0, false
	}
	return name[:i], n, true
}
