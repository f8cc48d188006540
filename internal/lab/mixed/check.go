package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/marlwood/marlwood/internal/lab"
)

type runCmd struct {
	Old string `required:"" type:"existingfile" help:"The old build."`
	New string `required:"" type:"existingfile" help:"The new build."`
	Log string `placeholder:"FILE" help:"Where the controllers' logs go; without it nowhere."`
}

// stage is an assignment of the builds to the controllers.
type stage struct {
	name  string
	isNew [3]bool // by controller
}

// stages begin and end with the old build on all controllers, so that each build reads the other's data.
var stages = []stage{
	{"three old", [3]bool{}},
	{"one new beside two old", [3]bool{true, false, false}},
	{"two new beside one old", [3]bool{true, true, false}},
	{"three new", [3]bool{true, true, true}},
	{"one old beside two new", [3]bool{false, true, true}},
	{"three old again", [3]bool{}},
}

// Timeouts and the poll interval of the check.
const (
	leaderWait = 90 * time.Second
	jobWait    = 2 * time.Minute
	askWait    = 20 * time.Second
	pollEvery  = 200 * time.Millisecond
)

// check is one run of the command.
type check struct {
	runCmd
	dir     string
	cluster *lab.Lab
	jobs    int // submitted by the check itself
}

// scenario is the lab's scenario.
const scenario = `(lab
  (zones "a" "b")
  (type "s4" (cpus 4) (memory-gb 16) (boot "300ms") (fetch-gb-per-s 4) (limit 8))
  (team "free")
  (team "bounded" (guarantee 4) (limit 8))
  (job "array" (every "3s") (team "bounded") (shape "batch") (tasks 6) (cpus 1) (memory-gb 1) (takes "2s") (priority "low") (image "i") (image-gb 1) (saves "200ms"))
  (job "gang" (every "4s") (team "free") (shape "gang") (tasks 4) (cpus 1) (memory-gb 1) (takes "3s") (priority "normal") (image "k") (image-gb 1) (saves "200ms"))
  (job "stays" (team "free") (shape "standing") (tasks 2) (cpus 1) (memory-gb 1) (takes "1h") (priority "high") (image "l") (image-gb 1) (spread)))
`

// Run runs all stages. Each controller leads once in each of them.
func (c *runCmd) Run() error {
	dir, err := os.MkdirTemp("", "marlwood-mixed-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if err := os.Setenv(dirVariable, dir); err != nil {
		return err
	}
	run := &check{runCmd: *c, dir: dir}
	if err := run.start(); err != nil {
		return err
	}
	defer run.cluster.Close()
	for i, stage := range stages {
		if err := run.play(i, stage); err != nil {
			return fmt.Errorf("%s: %w", stage.name, err)
		}
	}
	if broken := run.cluster.Broken(); len(broken) > 0 {
		return fmt.Errorf("a rule was broken: %s", strings.Join(broken, "; "))
	}
	counts := run.cluster.Counts()
	fmt.Printf("%d jobs accepted, %d done, %d cancelled; %d of the check's own; rules broken: 0\n", counts.Accepted, counts.Done, counts.Cancelled, run.jobs)
	return nil
}

// start starts the lab with the builds of the first stage.
func (c *check) start() error {
	path := filepath.Join(c.dir, "scenario.sexp")
	if err := os.WriteFile(path, []byte(scenario), 0o600); err != nil {
		return err
	}
	loaded, err := lab.LoadScenario(path)
	if err != nil {
		return err
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	for i := range lab.Controllers {
		if err := c.assign(i, stages[0]); err != nil {
			return err
		}
	}
	options := lab.Options{Program: self, Scenario: loaded, Speed: 1, Log: io.Discard}
	if c.Log != "" {
		file, err := os.Create(c.Log)
		if err != nil {
			return err
		}
		options.Log = file // closed when the process ends
	}
	c.cluster, err = lab.Start(options)
	return err
}

// assign records which build a controller runs from its next start on.
func (c *check) assign(controller int, stage stage) error {
	program := c.Old
	if stage.isNew[controller] {
		program = c.New
	}
	path, err := filepath.Abs(program)
	if err != nil {
		return err
	}
	return os.WriteFile(programFile(c.dir, lab.Controllers[controller]), []byte(path), 0o600)
}

// play restarts the controllers whose build changes in a stage, starts a recorder, and makes each controller lead once.
func (c *check) play(number int, stage stage) error {
	for i, name := range lab.Controllers {
		if err := c.assign(i, stage); err != nil {
			return err
		}
		if number > 0 && stages[number-1].isNew[i] != stage.isNew[i] {
			if err := errors.Join(c.fault("kill", name), c.fault("start", name)); err != nil {
				return err
			}
		}
	}
	if err := c.awaitLeader(""); err != nil {
		return err
	}
	recording := filepath.Join(c.dir, fmt.Sprintf("recording-%d", number))
	ended, err := c.record(number, recording)
	if err != nil {
		return err
	}
	for i := range lab.Controllers {
		if err := c.leadOnce(number, i, stage); err != nil {
			return err
		}
	}
	if err := ended(); err != nil {
		return err
	}
	return c.verifyRecording(stage, recording)
}

func (c *check) fault(op, name string) error { return c.cluster.Fault(lab.Fault{Op: op, Name: name}) }

// leadOnce makes a controller the leader and sends it requests of operators and users.
func (c *check) leadOnce(number, controller int, stage stage) error {
	leader := lab.Controllers[controller]
	others := slices.DeleteFunc(slices.Clone(lab.Controllers), func(name string) bool { return name == leader })
	for _, name := range others {
		if err := c.fault("kill", name); err != nil {
			return err
		}
	}
	if err := c.awaitLeader(leader); err != nil {
		return err
	}
	for _, name := range others {
		if err := c.fault("start", name); err != nil {
			return err
		}
	}
	if err := c.awaitAll(); err != nil {
		return err
	}
	build := "old"
	if stage.isNew[controller] {
		build = "new"
	}
	if err := c.use(number, controller); err != nil {
		return fmt.Errorf("under %s, %s build: %w", leader, build, err)
	}
	fmt.Printf("%-24s %s leads, %s build: a job done, one cancelled, a zone drained and undrained, settings reloaded\n", stage.name, leader, build)
	return nil
}

// command runs an operator's command of one of the builds and returns its output. Callers alternate the build from
// leader to leader.
func (c *check) command(isNew bool, arguments ...string) (string, error) {
	program := c.Old
	if isNew {
		program = c.New
	}
	ctx, cancel := context.WithTimeout(context.Background(), askWait)
	defer cancel()
	cmd := exec.CommandContext(ctx, program, arguments...)
	cmd.Env = append(os.Environ(), "MARLWOOD_OPERATORS="+strings.Join(c.cluster.Operators(), ","))
	out, err := cmd.CombinedOutput()
	if err != nil {
		return string(out), fmt.Errorf("%s: %w: %s", strings.Join(arguments, " "), err, out)
	}
	return string(out), nil
}

// record starts the recorder of the build that most controllers run, and returns a function that stops it.
func (c *check) record(number int, dir string) (end func() error, err error) {
	program := c.Old
	if count(stages[number].isNew) > 1 {
		program = c.New
	}
	var peers []string
	for _, name := range lab.Controllers {
		addr, err := os.ReadFile(peerFile(c.dir, name))
		if err != nil {
			return nil, err
		}
		peers = append(peers, string(addr))
	}
	cmd := exec.Command(program, "record", "--from", strings.Join(peers, ","), "--out", dir)
	cmd.SysProcAttr = lab.ChildAttr()
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	return func() error {
		if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
			return err
		}
		return cmd.Wait()
	}, nil
}

func count(isNew [3]bool) (n int) {
	for _, is := range isNew {
		if is {
			n++
		}
	}
	return n
}

// verifyRecording checks that both builds can read a recording, and replays it with each build that has a replay
// program.
func (c *check) verifyRecording(stage stage, dir string) error {
	for _, program := range []string{c.Old, c.New} {
		if err := readsWhole(program, dir); err != nil {
			return err
		}
		if _, err := os.Stat(program + "-replay"); err != nil {
			continue
		}
		out, err := exec.Command(program, "replay", "verify", dir).CombinedOutput()
		equal := equalDecisions.FindStringSubmatch(string(out))
		if equal == nil || equal[1] != equal[2] || equal[1] == "0" {
			return fmt.Errorf("replay verify: %w: %s", err, out)
		}
		fmt.Printf("%-24s replayed by the build of %s: %s\n", stage.name, filepath.Dir(program), equal[0])
	}
	return nil
}

var (
	equalDecisions = regexp.MustCompile(`(\d+) of (\d+) decisions equal`)
	missingFrames  = regexp.MustCompile(`(?m)^missing: .*, frames (\d+) to`)
)

// readsWhole checks that a build can read a recording. The first frames of a term may be missing, because the recorder
// may have connected after the leader started; any other gap is an error.
func readsWhole(program, dir string) error {
	out, err := exec.Command(program, "record", "verify", dir).CombinedOutput()
	if err == nil {
		return nil
	}
	missing := missingFrames.FindAllStringSubmatch(string(out), -1)
	if len(missing) == 0 || strings.Contains(string(out), "damaged") {
		return fmt.Errorf("record verify: %w: %s", err, out)
	}
	for _, gap := range missing {
		if gap[1] != "1" {
			return fmt.Errorf("record verify: %w: %s", err, out)
		}
	}
	return nil
}
