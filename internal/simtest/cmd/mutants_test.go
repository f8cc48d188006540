package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Each mutant must still apply to the sources: the quoted text occurs exactly once. Otherwise a mutant whose guard
// was rewritten would silently no longer be tried.
func TestMutantsApply(t *testing.T) {
	for _, m := range mutants {
		for _, e := range m.edits {
			text, err := os.ReadFile(filepath.Join("..", "..", e.file))
			if err != nil {
				t.Fatal(err)
			}
			if n := strings.Count(string(text), e.old); n != 1 {
				t.Errorf("%s: %q stands %d times in %s", m.name, e.old, n, e.file)
			}
		}
	}
}
