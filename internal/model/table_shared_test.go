package model

import (
	"cmp"
	"slices"
	"sync/atomic"
	"testing"
	"time"
)

// Two goroutines that iterate over an unchanged table at once must both see all rows in order.
//
// An earlier version sorted the table in place during iteration, so readers also wrote to it. A what-if
// simulation runs several days concurrently over the same recorded jobs. One goroutine iterated over rows
// that another was still sorting, so a simulated day lost jobs or took them in another order, and
// TestChangesShow found changes where there were none. (The race detector reported writes by two
// simulated days in that version's function sortRows.)
//
// In this test, the comparison function blocks the second goroutine in the middle of its sort until the
// first one is done.
func TestTableConcurrentReaders(t *testing.T) {
	const keys = 100
	wait := func(event chan struct{}) {
		select {
		case <-event:
		case <-time.After(10 * time.Second):
			t.Error("timed out while one reader waited for the other")
		}
	}
	secondSorting, firstDone := make(chan struct{}), make(chan struct{})
	firstSorting := make(chan struct{})
	var comparisons atomic.Int64
	table := NewTableBy[int, int](func(x, y int) int {
		switch comparisons.Add(1) {
		case 1:
			close(firstSorting)
			wait(secondSorting)
		case 2:
			close(secondSorting)
			wait(firstDone)
		}
		return cmp.Compare(x, y)
	})
	for key := range keys {
		table.Put(key, key)
	}
	var rows [2][]int
	read := func(reader int) {
		for key := range table.All() {
			rows[reader] = append(rows[reader], key)
		}
	}
	go func() {
		defer close(firstDone)
		read(0)
	}()
	wait(firstSorting)
	read(1)
	wait(firstDone)
	for reader, seen := range rows {
		if len(seen) != keys || !slices.IsSorted(seen) {
			t.Errorf("reader %d misses keys or gets them out of order: %v", reader, seen)
		}
	}
}
