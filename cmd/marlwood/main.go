// Command marlwood is a cluster scheduler: every controller of a deployment
// runs it with its own settings file.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/willabides/kongplete"

	"github.com/marlwood/marlwood/internal/controller"
	"github.com/marlwood/marlwood/internal/record"
	"github.com/marlwood/marlwood/internal/scheduler"
	"github.com/marlwood/marlwood/internal/settings"
)

// cli defines the commands and flags of the program.
type cli struct {
	Serve       serveCmd                     `cmd:"" help:"Run a controller."`
	Check       checkCmd                     `cmd:"" help:"Check settings without starting."`
	Status      statusCmd                    `cmd:"" group:"ask" help:"Show the cluster in a few lines."`
	Jobs        jobsCmd                      `cmd:"" group:"ask" help:"List jobs."`
	Nodes       nodesCmd                     `cmd:"" group:"ask" help:"List machines."`
	Teams       teamsCmd                     `cmd:"" group:"ask" help:"List teams."`
	Explain     explainCmd                   `cmd:"" group:"ask" help:"Tell why a job's tasks are not all running."`
	Blockers    blockersCmd                  `cmd:"" group:"ask" help:"Tell which tasks hold the room that a job lacks."`
	Drain       drainCmd                     `cmd:"" group:"ask" help:"Empty a machine, a zone or a type."`
	Undrain     undrainCmd                   `cmd:"" group:"ask" help:"Have drained machines take tasks again."`
	Top         topCmd                       `cmd:"" group:"ask" help:"Show the cluster on one live screen."`
	Lab         labCmd                       `cmd:"" help:"Try it out: three controllers, stand-ins and users on this machine."`
	Drains      drainsCmd                    `cmd:"" group:"ask" help:"Show how far drains are."`
	Reload      reloadCmd                    `cmd:"" group:"ask" help:"Put operators' settings in force on all controllers, or on none."`
	Settings    settingsCmd                  `cmd:"" group:"ask" help:"Show the settings in force, those before, and go back."`
	Keys        keysCmd                      `cmd:"" help:"Make certificates for the interface to operators."`
	Record      recordCmd                    `cmd:"" help:"Record what the leader takes in and decides."`
	Replay      replayCmd                    `cmd:"" passthrough:"" help:"Play a recording again (runs marlwood-replay)."`
	Completions kongplete.InstallCompletions `cmd:"" help:"Print the line that has your shell complete commands."`
	Version     versionCmd                   `cmd:"" help:"Print the version."`
}

type serveCmd struct {
	Config   string `required:"" placeholder:"FILE" help:"The platform's settings (JSON)."`
	Settings string `placeholder:"FILE" help:"Operators' settings (S-expressions) that change the defaults."`
}

type checkCmd struct {
	Config     string `arg:"" placeholder:"FILE" help:"The platform's settings (JSON); with --running operators' settings (S-expressions)."`
	Settings   string `placeholder:"FILE" help:"Operators' settings (S-expressions) that change the defaults."`
	Running    bool   `help:"Compare operators' settings with what runs."`
	connection `embed:""`
}

type versionCmd struct{}

// usageError reports a mistake in arguments or files; it ends the program with status 2.
type usageError struct{ error }

// loadSettings reads and validates the platform's and the operators' settings files.
func loadSettings(config, operator string) (*settings.Platform, *settings.Operator, error) {
	p, err := settings.LoadPlatform(config)
	if err != nil {
		return nil, nil, usageError{err}
	}
	o, err := settings.LoadOperator(operator)
	if err != nil {
		return nil, nil, usageError{err}
	}
	if err := o.Check(p); err != nil {
		return nil, nil, usageError{err}
	}
	return p, o, nil
}

// Run runs a controller until the process receives SIGINT or SIGTERM.
func (c *serveCmd) Run() error {
	p, o, err := loadSettings(c.Config, c.Settings)
	if err != nil {
		return err
	}
	level := slog.LevelInfo
	if text := os.Getenv("LOG_LEVEL"); text != "" {
		if err := level.UnmarshalText([]byte(text)); err != nil {
			return usageError{fmt.Errorf("LOG_LEVEL: %w", err)}
		}
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	// A controller gets only a share of one core, which does not justify a second thread.
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(o.Service.HeapGrowth)
	debug.SetMemoryLimit(int64(p.MemoryMB * o.Service.MemoryShare * (1 << 20)))
	node, err := controller.New(p, o, log)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return node.Run(ctx)
}

// Run validates both files and prints a summary of them, or compares a file with the running settings.
func (c *checkCmd) Run() error {
	if c.Running {
		return c.compare()
	}
	p, o, err := loadSettings(c.Config, c.Settings)
	if err != nil {
		return err
	}
	terms, err := p.Timing(o)
	if err != nil {
		return usageError{err}
	}
	fmt.Printf("%s in %s: %d siblings, %d teams; a leader acts %v after its last check\n",
		p.Member, p.Zone, len(p.Siblings), len(p.Teams), terms.LeaderLease)
	return nil
}

// Run prints the version.
func (versionCmd) Run() error {
	fmt.Println("marlwood " + scheduler.ProgramVersion)
	return nil
}

func main() {
	var c cli
	parser := kong.Must(&c, kong.Name("marlwood"), kong.Description("A cluster scheduler for rented machines."), kong.UsageOnError(), kong.Exit(exit),
		kong.ExplicitGroups([]kong.Group{{Key: "ask", Title: "Ask the controllers:"}}))
	kongplete.Complete(parser) // exits here when a shell requests completions
	ctx, err := parser.Parse(os.Args[1:])
	parser.FatalIfErrorf(err)
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "marlwood: "+err.Error())
		os.Exit(exitStatus(err))
	}
}

// usageStatus is the exit status of the argument parser for wrong usage.
const usageStatus = 80

// exit ends the program, with status 2 for wrong usage.
func exit(code int) {
	if code == usageStatus {
		code = 2
	}
	os.Exit(code)
}

// exitStatus returns the exit status for an error: that of an exitError, 2 for wrong arguments or files, else 1.
func exitStatus(err error) int {
	var usage usageError
	var withStatus *exitError
	if errors.As(err, &withStatus) {
		return withStatus.code
	}
	if errors.As(err, &usage) || errors.Is(err, record.ErrFormat) {
		return 2
	}
	return 1
}
