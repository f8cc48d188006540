package model

import (
	"cmp"
	"iter"
	"slices"
	"sync/atomic"
)

// Table is a map that is iterated in the order of its keys, so that decisions are
// deterministic: the same events lead to the same decisions. Like a map, a nil table is
// empty and can't be written, and a table may be read by several goroutines at once while
// none writes it.
type Table[K comparable, V any] struct {
	values  map[K]V
	compare func(x, y K) int
	changes uint64         // number of changes to the table so far
	visits  *atomic.Uint64 // counts the rows that are iterated or sorted; nil: they are not counted
	// sorted holds the rows in order, as of the last iteration; nil if there was none. A stored value is never modified.
	//
	// Guard: when iterating sorted the rows in place, simulation runs that only read a shared table also
	// wrote to it, and one iterated over the rows while another was still sorting them
	// (TestTableConcurrentReaders, TestChangesShow).
	sorted atomic.Pointer[sortedRows[K, V]]
}

// sortedRows are a table's rows in the order of their keys.
type sortedRows[K comparable, V any] struct {
	rows    []row[K, V]
	changes uint64 // the table's number of changes when the rows were sorted
}

// row is a key and its value.
type row[K comparable, V any] struct {
	key   K
	value V
}

// NewTable returns an empty table with keys in their natural order.
func NewTable[K cmp.Ordered, V any]() *Table[K, V] { return NewTableBy[K, V](cmp.Compare[K]) }

// NewTableBy returns an empty table whose keys are ordered by compare. compare returns
// negative, zero or positive numbers like cmp.Compare, and zero only for equal keys.
func NewTableBy[K comparable, V any](compare func(x, y K) int) *Table[K, V] {
	return &Table[K, V]{values: map[K]V{}, compare: compare}
}

// CountVisits adds the rows of each later iteration to a counter: all rows of the table, and all once more if they have to
// be sorted first. An iteration that stops early counts like a whole one. It returns the table.
func (t *Table[K, V]) CountVisits(counter *atomic.Uint64) *Table[K, V] {
	t.visits = counter
	return t
}

// count adds rows to the counter of visits.
func (t *Table[K, V]) count(rows int) {
	if t.visits != nil {
		t.visits.Add(uint64(rows))
	}
}

// At returns the value of a key, or the zero value if the key is not in the table.
func (t *Table[K, V]) At(key K) (value V) {
	if t != nil {
		value = t.values[key]
	}
	return value
}

// Put sets the value of a key.
func (t *Table[K, V]) Put(key K, value V) {
	t.values[key] = value
	t.changes++
}

// Delete removes a key.
func (t *Table[K, V]) Delete(key K) {
	if t == nil {
		return
	}
	if _, ok := t.values[key]; ok {
		delete(t.values, key)
		t.changes++
	}
}

// Len returns the number of keys.
func (t *Table[K, V]) Len() int {
	if t == nil {
		return 0
	}
	return len(t.values)
}

// All iterates over the table in the order of its keys. The table may be changed during
// the iteration: a deleted key is skipped, a replaced value is yielded in its current
// form, and new keys may or may not be visited.
func (t *Table[K, V]) All() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		if t.Len() == 0 {
			return
		}
		sorted := t.inOrder()
		t.count(len(sorted.rows))
		for _, r := range sorted.rows {
			if t.changes != sorted.changes {
				v, ok := t.values[r.key]
				if !ok {
					continue
				}
				r.value = v
			}
			if !yield(r.key, r.value) {
				return
			}
		}
	}
}

// Values returns the values in the order of their keys. The caller must not change them.
func (t *Table[K, V]) Values() []V {
	out := make([]V, 0, t.Len())
	for _, v := range t.All() {
		out = append(out, v)
	}
	return out
}

// inOrder returns the rows in order. It sorts them only if the table has changed since the
// last call.
func (t *Table[K, V]) inOrder() *sortedRows[K, V] {
	if sorted := t.sorted.Load(); sorted != nil && sorted.changes == t.changes {
		return sorted
	}
	rows := make([]row[K, V], 0, len(t.values))
	for k, v := range t.values {
		rows = append(rows, row[K, V]{k, v})
	}
	t.count(len(rows))
	slices.SortFunc(rows, func(x, y row[K, V]) int { return t.compare(x.key, y.key) })
	sorted := &sortedRows[K, V]{rows: rows, changes: t.changes}
	t.sorted.Store(sorted)
	return sorted
}

// Nth returns the value of the n-th key in order, counting from 0.
func (t *Table[K, V]) Nth(n int) V { return t.inOrder().rows[n].value }
