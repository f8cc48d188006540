package main

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// brokenSolves is how many solves run when the settings are reloaded.
const brokenSolves = 4

func brokenSettingsSite() site {
	s := planimetra()
	s.operators = true
	return s
}

// brokenSettings has an operator reload settings in which a duration has the wrong unit, while jobs run.
func brokenSettings(w *world, trouble bool) error {
	heartbeat := "400ms" // the default
	if trouble {
		heartbeat = "400s"
	}
	solves, err := w.runSolves(brokenSolves)
	if err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	refused, err := w.reload(fmt.Sprintf("(marlwood (placement (heartbeat %q)))\n", heartbeat))
	if err != nil {
		return err
	}
	lost := w.watchSolves(solves, 60*time.Second)
	for i, id := range solves {
		_, _ = w.ask(id, i)
	}
	if !refused && lost > 0 {
		w.breaks("a broken configuration must be refused", "(heartbeat %q) was put in force, and the tasks of %d of %d running jobs ended without being done",
			heartbeat, lost, len(solves))
	}
	return nil
}

// runSolves submits solves of 35 s and waits until all of them run.
func (w *world) runSolves(n int) (ids []string, err error) {
	for i := range n {
		j := job{id: fmt.Sprintf("req-%06d", i), class: "pianta-solve", team: w.site.teams[i].name, shape: "gang", rank: "high", pieces: 1,
			cpus: 15, memory: 100, guess: 35, image: "solve-1", imageGB: 3}
		if !w.submit(j, i) {
			return nil, fmt.Errorf("%s was not accepted", j.id)
		}
		ids = append(ids, j.id)
	}
	for end := time.Now().Add(40 * time.Second); w.tasksOnMachines() < n; time.Sleep(100 * time.Millisecond) {
		if time.Now().After(end) {
			return nil, errors.New("the solves do not run")
		}
	}
	return ids, nil
}

// reload runs marlwood reload with a file of the given text, and reports whether it was refused.
func (w *world) reload(text string) (refused bool, err error) {
	file := filepath.Join(w.dir, "reload.sexp")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return false, err
	}
	var addrs []string
	for _, n := range w.nodes {
		addrs = append(addrs, n.operators)
	}
	cmd := exec.Command(filepath.Join(w.root, "target", "marlwood"), "reload", file, "--operators", strings.Join(addrs, ","))
	out, err := cmd.CombinedOutput()
	w.logf("marlwood reload of %s: %v\n%s", strings.TrimSpace(text), err, out)
	var status *exec.ExitError
	if errors.As(err, &status) {
		return true, nil
	}
	return false, err
}

// watchSolves watches jobs of one task each until all are done, or for a time. It returns of how many the task left its machine undone.
func (w *world) watchSolves(ids []string, span time.Duration) (lost int) {
	left := map[string]bool{}
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(time.Second) {
		done := 0
		for _, id := range ids {
			if w.doneTasks(id) == 1 {
				done++
			} else if len(w.onMachines(id)) == 0 {
				left[id] = true
			}
		}
		if done == len(ids) {
			break
		}
	}
	return len(left)
}

// tasksOnMachines returns how many tasks are on machines.
func (w *world) tasksOnMachines() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.on)
}
