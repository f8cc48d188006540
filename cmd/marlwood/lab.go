package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"golang.org/x/term"

	"github.com/marlwood/marlwood/internal/lab"
	"github.com/marlwood/marlwood/internal/operators"
)

type labCmd struct {
	Run   labRunCmd   `cmd:"" default:"withargs" help:"Run a lab until Ctrl-C."`
	Fault labFaultCmd `cmd:"" help:"Let something go wrong in a lab that runs, or set it right."`
	Print labPrintCmd `cmd:"" help:"Print the scenario that is built in, to be copied and changed."`
}

type labRunCmd struct {
	Scenario string        `placeholder:"FILE" type:"path" help:"What it plays (S-expressions); see lab print."`
	Speed    float64       `default:"1" help:"How much faster users and machines go."`
	For      time.Duration `placeholder:"SPAN" help:"End by itself after this."`
	Log      string        `placeholder:"FILE" type:"path" help:"Where the controllers' logs go; without it nowhere."`
	Control  string        `default:"127.0.0.1:7399" placeholder:"ADDR" help:"Where lab fault is listened to."`
	Ports    int           `default:"7400" help:"First of the three ports for operators."`
}

// Intervals at which a lab redraws its screen on a terminal, and prints a line where there is no terminal.
const (
	labScreenInterval = time.Second
	reportInterval    = 5 * time.Second
)

// errRuleBroken reports that a rule was broken in the lab; the program ends with status 1.
var errRuleBroken = errors.New("a rule was broken")

// Run runs a lab until the process receives SIGINT or SIGTERM, or until the time of --for has passed.
func (c *labRunCmd) Run() error {
	s, err := lab.LoadScenario(c.Scenario)
	if err != nil {
		return usageError{err}
	}
	if c.Speed < 0.1 || c.Speed > 20 {
		return usageError{errors.New("--speed: must lie between 0.1 and 20")}
	}
	program, err := os.Executable()
	if err != nil {
		return err
	}
	options := lab.Options{Program: program, Scenario: s, Speed: c.Speed, Control: c.Control, Log: io.Discard}
	for i := range lab.Controllers {
		options.Operators = append(options.Operators, fmt.Sprintf("127.0.0.1:%d", c.Ports+i))
	}
	if c.Log != "" {
		f, err := os.Create(c.Log)
		if err != nil {
			return usageError{err}
		}
		defer func() { _ = f.Close() }() // an incomplete log is no failure of the lab
		options.Log = f
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if c.For > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.For)
		defer cancel()
	}
	cluster, err := lab.Start(options)
	if err != nil {
		return err
	}
	defer cluster.Close()
	if err := c.show(ctx, cluster); err != nil {
		return err
	}
	if broken := cluster.Broken(); len(broken) > 0 {
		return fmt.Errorf("%w: %s", errRuleBroken, strings.Join(broken, "; "))
	}
	return nil
}

// show prints the lab's state at intervals until ctx ends.
func (c *labRunCmd) show(ctx context.Context, cluster *lab.Lab) error {
	client, err := operators.NewClient(cluster.Operators(), "", "", "")
	if err != nil {
		return err
	}
	defer client.Close()
	fmt.Print(addressSummary(cluster))
	live := term.IsTerminal(int(os.Stdout.Fd()))
	interval := reportInterval
	if live {
		interval = labScreenInterval
	}
	for {
		select {
		case <-ctx.Done():
			fmt.Println("\nthe lab ends: " + countSummary(cluster))
			return nil
		case <-time.After(interval):
		}
		if !live {
			fmt.Println(countSummary(cluster))
			continue
		}
		text, err := renderScreen(ctx, client)
		if err != nil {
			text += messageOf(err) + "\n"
		}
		drawScreen(addressSummary(cluster) + countSummary(cluster) + "\n\n" + text)
	}
}

// addressSummary returns a text that lists the lab's addresses for users, operators and fault requests.
func addressSummary(l *lab.Lab) string {
	note := ""
	if !slices.Equal(l.Operators(), []string{"127.0.0.1:7400", "127.0.0.1:7401", "127.0.0.1:7402"}) {
		note = "  (export MARLWOOD_OPERATORS=" + strings.Join(l.Operators(), ",") + ")"
	}
	return fmt.Sprintf("marlwood lab: Ctrl-C ends it; in another terminal: marlwood top, jobs, explain JOB, drain NODE, lab fault kill berth-1\n"+
		"users      http://%s\noperators  %s%s\nfaults     %s\n", strings.Join(l.Users(), "  http://"), strings.Join(l.Operators(), "  "), note, l.Control())
}

// countSummary returns a line that summarizes what happened in the lab so far.
func countSummary(l *lab.Lab) string {
	var down []string
	for _, name := range lab.Controllers {
		if !l.Up()[name] {
			down = append(down, name)
		}
	}
	c := l.Counts()
	return fmt.Sprintf("%d jobs submitted, %d accepted, %d done, %d cancelled; %d tasks run on %d machines, %d started, %v of CPU time lost; %d calls repeated; rules broken: %d; down: %s",
		c.Submitted, c.Accepted, c.Done, c.Cancelled, c.Running, c.Machines, c.Started, c.WastedCPUTime.Round(time.Second), c.RepeatedCalls, len(l.Broken()), orDefault(strings.Join(down, ", "), "none"))
}

type labFaultCmd struct {
	Op      string        `arg:"" help:"kill, start, freeze, cut, heal, refuse, serve, hang, recall or repeat."`
	Name    string        `arg:"" optional:"" help:"A controller (berth-1 to berth-3) or a machine."`
	To      string        `arg:"" optional:"" help:"Of a cut: another controller, store or cloud; without it all of them."`
	For     time.Duration `default:"10s" help:"How long it stands still, hangs, is warned, or calls are repeated."`
	Control string        `default:"127.0.0.1:7399" placeholder:"ADDR" help:"The lab's address for faults."`
}

// Help returns a description of each fault.
func (c *labFaultCmd) Help() string {
	var b strings.Builder
	for _, f := range lab.FaultOps {
		fmt.Fprintf(&b, "%-8s %s\n\n", f[0], f[1])
	}
	return b.String()
}

// Run sends a fault request to a running lab.
func (c *labFaultCmd) Run() error {
	text, err := json.Marshal(lab.Fault{Op: c.Op, Name: c.Name, To: c.To, For: c.For})
	if err != nil {
		return err
	}
	client := &http.Client{Timeout: 10 * time.Second}
	resp, err := client.Post("http://"+c.Control+"/fault", "application/json", bytes.NewReader(text))
	if err != nil {
		return &exitError{exitUnavailable, fmt.Errorf("no lab listens at %s: start one with marlwood lab, or name its address with --control", c.Control)}
	}
	defer func() { _ = resp.Body.Close() }()
	var reply struct {
		Error string `json:"error"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&reply); err != nil {
		return err
	}
	if reply.Error != "" {
		return usageError{errors.New(reply.Error)}
	}
	return nil
}

type labPrintCmd struct{}

// Run prints the built-in scenario.
func (labPrintCmd) Run() error { //nolint:unparam // the signature of all commands, which kong calls
	fmt.Print(lab.DefaultScenario())
	return nil
}
