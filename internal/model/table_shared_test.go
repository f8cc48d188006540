package model

import (
	"cmp"
	"slices"
	"sync/atomic"
	"testing"
	"time"
)

// Two goroutines that iterate over a table which nobody changes both see all of it in order.
//
// Iterating sorted the table in place, so reading was writing. A what-if plays several days at once that walk the same
// recorded jobs, and one goroutine iterated over rows that another one was still sorting: a play lost jobs or took them
// in another order, and TestChangesShow found changes where there were none (the race detector names sortRows, as a
// write from two plays). Here the comparison holds the second goroutine in the middle of its sort until the first is done.
func TestTableIsReadByTwo(t *testing.T) {
	const keys = 100
	wait := func(event chan struct{}) {
		select {
		case <-event:
		case <-time.After(10 * time.Second):
			t.Error("one reader waits for the other for ever")
		}
	}
	secondSorts, firstIsDone := make(chan struct{}), make(chan struct{})
	firstSorts := make(chan struct{})
	var comparisons atomic.Int64
	table := NewTableBy[int, int](func(x, y int) int {
		switch comparisons.Add(1) {
		case 1:
			close(firstSorts)
			wait(secondSorts)
		case 2:
			close(secondSorts)
			wait(firstIsDone)
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
		defer close(firstIsDone)
		read(0)
	}()
	wait(firstSorts)
	read(1)
	wait(firstIsDone)
	for reader, seen := range rows {
		if len(seen) != keys || !slices.IsSorted(seen) {
			t.Errorf("reader %d sees %v", reader, seen)
		}
	}
}
