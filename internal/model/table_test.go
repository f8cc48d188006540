package model

import (
	"fmt"
	"testing"
)

// A table must be iterated in the order of its keys even if it is changed during the
// iteration: deleted keys are skipped, and replaced keys have their new value.
func TestTableIteration(t *testing.T) {
	for _, c := range []struct {
		name string
		on   func(t *Table[string, int]) // called when the iteration is at "b"
		want string
	}{
		{"unchanged", func(*Table[string, int]) {}, "a1 b2 c3 d4 "},
		{"next key is deleted", func(t *Table[string, int]) { t.Delete("c") }, "a1 b2 d4 "},
		{"current key is deleted", func(t *Table[string, int]) { t.Delete("b") }, "a1 b2 c3 d4 "},
		{"next key is replaced", func(t *Table[string, int]) { t.Put("c", 9) }, "a1 b2 c9 d4 "},
		{"key is deleted, with a nested iteration", func(t *Table[string, int]) {
			t.Delete("d")
			for range t.All() {
			}
		}, "a1 b2 c3 "},
	} {
		x := NewTable[string, int]()
		for i, k := range []string{"d", "b", "a", "c"} {
			x.Put(k, []int{4, 2, 1, 3}[i])
		}
		got := ""
		for k, v := range x.All() {
			got += fmt.Sprintf("%s%d ", k, v)
			if k == "b" {
				c.on(x)
			}
		}
		if got != c.want {
			t.Errorf("%s: got %s, want %s", c.name, got, c.want)
		}
	}
	var none *Table[string, int]
	none.Delete("a")
	for range none.All() {
		t.Error("a nil table is not empty")
	}
	if none.Len() != 0 || none.At("a") != 0 {
		t.Error("a nil table is not empty")
	}
}
