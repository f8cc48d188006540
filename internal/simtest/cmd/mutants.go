package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"time"
)

// mutant is a seeded mistake that weakens one guard.
type mutant struct {
	name  string
	edits []edit
}

type edit struct{ file, old, with string }

// mutants are the seeded mistakes that the explorer should find. A copy of the explorer is built with the changed
// files as an overlay; the sources stay unchanged.
var mutants = slices.Concat(apiMutants, controllerMutants, dagMutants, leadershipMutants, machinerecordsMutants, placementMutants, settingsMutants, workersMutants)

type mutantsCmd struct {
	For  time.Duration `help:"How long to explore each; 0: play the scripted rows alone." default:"1m"`
	Draw string        `help:"What to draw; see run." enum:"all,faults,meetings,further,preempting,restarts,rolling,latecalls,operators" default:"all"`
	Only string        `help:"Only those whose names contain this."`

	BuildOnly bool `help:"Only build each, and explore nothing."`
}

var foundAfter = regexp.MustCompile(`(?s)^(\d+) schedules in (\S+) .*seed \d+ breaks (\S+);.*?(\d+) jobs, (\d+) faults`)

// Run builds the explorer with each mistake in turn and runs it to see whether it finds the mistake.
func (c *mutantsCmd) Run() error {
	dir, err := os.MkdirTemp("", "explore")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	missed := 0
	for _, m := range mutants {
		if !strings.Contains(m.name, c.Only) {
			continue
		}
		program, err := m.build(dir)
		if err != nil {
			return fmt.Errorf("%s: %w", m.name, err)
		}
		if c.BuildOnly {
			fmt.Printf("| %s | builds |\n", m.name)
			continue
		}
		written, err := scripted(dir)
		if err != nil {
			return fmt.Errorf("%s: %w", m.name, err)
		}
		if c.For == 0 {
			fmt.Printf("| %s | %s |\n", m.name, written)
			continue
		}
		out, err := exec.Command(program, "run", "--for", c.For.String(), "--shrink", "6s", "--draw", c.Draw).Output()
		var failed *exec.ExitError
		if err != nil && !errors.As(err, &failed) {
			return fmt.Errorf("%s: %w", m.name, err)
		}
		if f := foundAfter.FindStringSubmatch(string(out)); f != nil {
			fmt.Printf("| %s | %s | %s | %s | %s jobs, %s faults | %s |\n", m.name, f[3], f[1], f[2], f[4], f[5], written)
		} else {
			missed++
			fmt.Printf("| %s | not found | %s | | | %s |\n", m.name, strings.SplitN(string(out), " on ", 2)[0], written)
		}
	}
	if missed > 0 {
		return fmt.Errorf("%d mistakes were not found", missed)
	}
	return nil
}

// failedRow matches the test output of a scripted schedule that broke a rule or whose tasks stayed too long.
var failedRow = regexp.MustCompile(`(?m)^\s+[a-z_]+_test\.go:\d+: (.*?)(?:, (?:planimetra|donorline), seed \d+)?: (.*)$`)

// scripted runs the scripted schedules with the mistake that was built last. It returns how many of their rows find
// the mistake, and the first such row.
func scripted(dir string) (string, error) {
	out, err := exec.Command("go", "test", "-overlay", filepath.Join(dir, "overlay.json"), "-count=1", "-run", "^(TestGap|TestMeetings|TestFurtherMeetings|TestSaving|TestWrites|TestShrunk|TestGuards|TestLateCopyOfAnsweredCall|TestHeldRequests)$", "./internal/simtest").CombinedOutput()
	var failed *exec.ExitError
	if err != nil && !errors.As(err, &failed) {
		return "", err
	}
	found := failedRow.FindAllStringSubmatch(string(out), -1)
	switch {
	case err == nil:
		return "no row", nil
	case len(found) == 0:
		return "", fmt.Errorf("the scripted meetings: %.400s", out)
	}
	rows := map[string]bool{}
	for _, f := range found {
		rows[f[1]] = true
	}
	return fmt.Sprintf("%d rows, first \"%s\": %s", len(rows), found[0][1], found[0][2]), nil
}

// build builds an explorer that contains the mistake.
func (m mutant) build(dir string) (string, error) {
	root, err := os.Getwd()
	if err != nil {
		return "", err
	}
	replace := map[string]string{}
	for _, e := range m.edits {
		path := filepath.Join(root, "internal", e.file)
		from := path
		if done, ok := replace[path]; ok {
			from = done
		}
		b, err := os.ReadFile(from)
		if err != nil {
			return "", err
		}
		if strings.Count(string(b), e.old) != 1 {
			return "", fmt.Errorf("%s: the guard stands %d times, want 1: %q", e.file, strings.Count(string(b), e.old), e.old)
		}
		replace[path] = filepath.Join(dir, strings.ReplaceAll(e.file, "/", "-"))
		if err := os.WriteFile(replace[path], []byte(strings.Replace(string(b), e.old, e.with, 1)), 0o600); err != nil {
			return "", err
		}
	}
	overlay, err := json.Marshal(map[string]any{"Replace": replace})
	if err != nil {
		return "", err
	}
	file, program := filepath.Join(dir, "overlay.json"), filepath.Join(dir, "explore")
	if err := os.WriteFile(file, overlay, 0o600); err != nil {
		return "", err
	}
	build := exec.Command("go", "build", "-overlay", file, "-o", program, "./internal/simtest/cmd")
	build.Stderr = os.Stderr
	return program, build.Run()
}
