package main

import (
	"os"
	"path/filepath"
	"testing"
)

// Every command ends with the exit status that the operators' page states.
func TestExitStatus(t *testing.T) {
	const day = "../../internal/replay/testdata/day"
	writeFile := func(name, text string) string {
		path := filepath.Join(t.TempDir(), name)
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		return path
	}
	truncated := t.TempDir()
	all, err := filepath.Glob(day + "/*.mwr")
	if err != nil || len(all) < 2 {
		t.Fatalf("%v: %d files", err, len(all))
	}
	for _, path := range all {
		b, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(truncated, filepath.Base(path)), b[:len(b)-10], 0o644); err != nil {
			t.Fatal(err)
		}
	}
	report := filepath.Join(t.TempDir(), "report")
	for _, c := range []struct {
		name string
		run  func() error
		want int
	}{
		{"complete recording", (&replayVerifyCmd{Dir: day}).Run, 0},
		{"truncated recording", (&replayVerifyCmd{Dir: truncated, JSON: true}).Run, 1},
		{"missing directory", (&replayVerifyCmd{Dir: "/nonexistent"}).Run, 2},
		{"directory without a recording", (&replayVerifyCmd{Dir: t.TempDir()}).Run, 2},
		{"what-if with report", (&replayWhatIfCmd{Dir: day, Seeds: 1, Report: report}).Run, 0},
		{"zero seeds", (&replayWhatIfCmd{Dir: day}).Run, 2},
		{"unknown team", (&replayWhatIfCmd{Dir: day, Seeds: 1, Teams: writeFile("t", `(teams (team "x" (cpus 1)))`)}).Run, 2},
		{"report path is a file", (&replayWhatIfCmd{Dir: day, Seeds: 1, Report: writeFile("f", "")}).Run, 1},
	} {
		got := 0
		if err := c.run(); err != nil {
			got = exitStatus(err)
		}
		if got != c.want {
			t.Errorf("%s: status %d, want %d", c.name, got, c.want)
		}
	}
	if _, err := os.Stat(filepath.Join(report, "index.html")); err != nil {
		t.Error(err)
	}
}
