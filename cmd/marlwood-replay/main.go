// Command marlwood-replay replays recordings; "marlwood replay" runs it. It is a separate program because its
// tables, plots and columnar files would take a third of the memory that a controller has.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"runtime"

	"github.com/alecthomas/kong"

	"github.com/schollz/progressbar/v3"
	"golang.org/x/term"

	"github.com/marlwood/marlwood/internal/record"
	"github.com/marlwood/marlwood/internal/replay"
	"github.com/marlwood/marlwood/internal/scheduler"
)

// cli defines the commands and flags of the program.
type cli struct {
	Verify replayVerifyCmd `cmd:"" help:"Decide everything again and compare."`
	WhatIf replayWhatIfCmd `cmd:"" name:"whatif" help:"Play the day's jobs under other rules."`
}

type replayWhatIfCmd struct {
	Dir      string `arg:"" placeholder:"DIR" help:"The recording."`
	Settings string `placeholder:"FILE" help:"Operators' settings (S-expressions) that change."`
	Teams    string `placeholder:"FILE" help:"Guarantees and limits (S-expressions) that change."`
	Machines string `placeholder:"FILE" help:"Capacities, prices and times of machines (S-expressions) that change."`
	Seeds    int    `default:"3" placeholder:"N" help:"How often the day is played under each set of rules."`
	Supply   string `enum:"modelled,recorded" default:"modelled" help:"Where machines come from: a model of the cloud, or as they came and went (modelled, recorded)."`
	Report   string `placeholder:"DIR" help:"Also write a page with plots, and the raw events as Parquet."`
	JSON     bool   `help:"Print JSON."`
}

// Run simulates the recorded day under the given settings and prints the comparison.
func (c *replayWhatIfCmd) Run() error {
	if c.Seeds < 1 || c.Seeds > 1000 {
		return inputError{errors.New("--seeds: must be from 1 to 1000")}
	}
	question := replay.Question{Dir: c.Dir, Settings: c.Settings, Teams: c.Teams, Machines: c.Machines, Seeds: c.Seeds,
		Recorded: c.Supply == "recorded", Workers: runtime.GOMAXPROCS(0)}
	if term.IsTerminal(int(os.Stderr.Fd())) {
		bar := progressbar.NewOptions(1, progressbar.OptionSetWriter(os.Stderr), progressbar.OptionSetDescription("days played"),
			progressbar.OptionClearOnFinish())
		question.Progress = func(done, total int) {
			bar.ChangeMax(total)
			_ = bar.Set(done)
		}
	}
	answer, err := replay.Ask(question)
	if errors.Is(err, replay.ErrInput) {
		return inputError{err}
	}
	if err != nil {
		return err
	}
	if c.Report != "" {
		if err := answer.Report(c.Report); err != nil {
			return err
		}
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(answer)
	}
	return answer.Print(os.Stdout)
}

type replayVerifyCmd struct {
	Dir         string `arg:"" placeholder:"DIR" help:"The recording."`
	ImportEvery int    `placeholder:"N" help:"Also write and read the state after every N events: a check of marlwood itself."`
	JSON        bool   `help:"Print JSON."`
}

// Errors that end the program with status 1: replayed decisions differ, or the recording is damaged.
var (
	errDiffers = errors.New("a decision differs")
	errDamaged = errors.New("the recording is not whole: what is left of it is decided alike")
)

// Run replays the recording and compares the decisions with the recorded ones.
func (c *replayVerifyCmd) Run() error {
	v, err := replay.Verify(c.Dir, replay.Options{ImportEvery: c.ImportEvery})
	if err != nil {
		return err
	}
	if c.JSON {
		if err := json.NewEncoder(os.Stdout).Encode(v); err != nil {
			return err
		}
	} else {
		v.Print(os.Stdout)
	}
	if !v.Holds() {
		return errDiffers
	}
	if !v.Found.Complete() {
		return errDamaged
	}
	return nil
}

// inputError reports a mistake in arguments or files; it ends the program with status 2.
type inputError struct{ error }

func main() {
	var c cli
	ctx := kong.Parse(&c, kong.Name("marlwood replay"), kong.Description("Plays recordings of what a leader took in and decided."),
		kong.UsageOnError())
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "marlwood replay: "+err.Error())
		os.Exit(exitStatus(err))
	}
}

// exitStatus returns the exit status for an error: 2 for wrong arguments or files, else 1.
func exitStatus(err error) int {
	var input inputError
	if errors.As(err, &input) || errors.Is(err, record.ErrFormat) || errors.Is(err, os.ErrNotExist) || errors.Is(err, scheduler.ErrVersion) {
		return 2
	}
	return 1
}
