package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// Times of the case.
const (
	drainTries   = 10
	drainPatient = time.Second      // the operator gives a try up after this
	mayWait      = 90 * time.Second // no job is left waiting for longer while a machine that fits has room
)

// drainedZone is the zone that the operator wants to drain and then does not.
const drainedZone = "bovisa"

func heldDrainSite() site {
	s := planimetra()
	s.operators = true
	return s
}

// heldDrain has an operator ask a controller to drain a zone while packets between it and the leader are held. The operator gives up, and makes
// sure at the leader that the zone is not drained. Then the packets arrive.
func heldDrain(w *world, trouble bool) error {
	first := job{id: "req-000001", class: "pianta-solve", team: "rilievi", shape: "gang", rank: "high", pieces: 1, cpus: 10, memory: 60, guess: 35,
		image: "solve-1", imageGB: 1, yard: drainedZone}
	second := first
	second.id, second.guess = "req-000002", 10
	if !w.submit(first, 0) {
		return fmt.Errorf("%s was not accepted", first.id)
	}
	for end := time.Now().Add(14 * time.Second); len(w.onMachines(first.id)) == 0; time.Sleep(100 * time.Millisecond) {
		if time.Now().After(end) {
			return errors.New("the first job does not run")
		}
	}
	_, machine, _ := strings.Cut(w.onMachines(first.id)[0], " on ")
	leader, other, err := w.leaderAndOther()
	if err != nil {
		return err
	}
	w.operate(other, time.Minute, "drains") // the two are connected from now on
	w.cut(leader, other, trouble)
	for range drainTries {
		if w.operate(other, drainPatient, "drain", "--zone", drainedZone, "--keep", "--force") == 0 {
			break
		}
	}
	told := w.operate(leader, time.Minute, "undrain", "--zone", drainedZone)
	if told != 0 && told != 3 { // undrained, or not drained
		return fmt.Errorf("undrain ended with status %d", told)
	}
	w.cut(leader, other, false)
	if !w.submit(second, 1) {
		return fmt.Errorf("%s was not accepted", second.id)
	}
	waited := w.waits(second.id, machine)
	w.operate(leader, time.Minute, "drains")
	w.operate(leader, time.Minute, "nodes")
	if waited >= mayWait {
		w.breaks("no job is left waiting", "%s has waited for %.0f s for %s, where %s fits, was up and had room all the time; the operator was told that the zone is not drained; all trouble was over before",
			second.id, waited.Seconds(), drainedZone, machine)
	}
	return nil
}

// waits watches a job until it starts, or has been left waiting beside a machine with room for too long. It returns how long it has waited so
// without a break. The machine has room while it is rented: nothing but the first job, of 10 of its 32 CPUs, is ever on it.
func (w *world) waits(id, machine string) time.Duration {
	since, end := time.Now(), time.Now().Add(mayWait+time.Second)
	for time.Now().Before(end) && time.Since(since) < mayWait {
		if w.doneTasks(id) > 0 || len(w.onMachines(id)) > 0 {
			return 0
		}
		if !slices.Contains(w.cloud.Machines(), machine) {
			w.logf("%s is gone", machine)
			since = time.Now()
		}
		time.Sleep(200 * time.Millisecond)
	}
	return time.Since(since)
}

// cut holds the packets between two controllers, or delivers those that were held.
func (w *world) cut(x, y *node, on bool) {
	w.logf("packets between %s and %s are held: %v", x.name, y.name, on)
	w.links[[2]string{x.name, y.name}].hold(on)
	w.links[[2]string{y.name, x.name}].hold(on)
}

// leaderAndOther returns the controller that leads and another one.
func (w *world) leaderAndOther() (leader, other *node, err error) {
	out, err := exec.Command(filepath.Join(w.root, "target", "marlwood"), "status", "--json", "--operators", w.nodes[0].operators).Output()
	if err != nil {
		return nil, nil, err
	}
	var status struct{ Leader string }
	if err := json.Unmarshal(out, &status); err != nil {
		return nil, nil, err
	}
	for _, n := range w.nodes {
		if n.name == status.Leader {
			leader = n
		} else {
			other = n
		}
	}
	if leader == nil {
		return nil, nil, errors.New("nobody leads")
	}
	return leader, other, nil
}

// operate runs an operator's command against one controller, and returns its exit status; -1 if the operator gave up.
func (w *world) operate(n *node, patience time.Duration, args ...string) int {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	cmd := exec.CommandContext(ctx, filepath.Join(w.root, "target", "marlwood"), append(args, "--operators", n.operators)...)
	out, err := cmd.CombinedOutput()
	w.logf("operator at %s: marlwood %v: %v\n%s", n.name, args, err, out)
	return cmd.ProcessState.ExitCode()
}
