// Command cmd runs a load test of the planned size, or a share of it, on this machine, with real controllers and hollow
// workers that communicate over loopback. It builds nothing: --program names the built marlwood.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/marlwood/marlwood/internal/scale"
)

type cli struct {
	Run    runCmd    `cmd:"" default:"withargs" help:"Play a share of the planned size."`
	Region regionCmd `cmd:"" hidden:"" help:"Serve one region's outside systems; the run starts it."`
}

type runCmd struct {
	Program      string        `help:"The built marlwood." default:"target/marlwood" type:"existingfile"`
	OtherProgram string        `help:"Another build of marlwood, which every second controller runs." type:"existingfile" optional:""`
	Share        float64       `help:"Share of the planned size, up to 1." default:"0.05"`
	For          time.Duration `help:"How long users go on." default:"1m"`
	Peak         time.Duration `help:"How long of that the peak lasts." default:"20s"`
	Seed         uint64        `help:"Of what users submit." default:"1"`
	KillLeader   time.Duration `help:"When the first region's leader is killed." placeholder:"AT"`
	KillMachines string        `help:"How many machines of each region stop, and when: 20@30s." placeholder:"N@AT"`
	CutRegion    string        `help:"A region that is cut off from the others: north@60s+60s." placeholder:"NAME@AT+FOR"`
	Settings     string        `help:"Operators' settings for the controllers." type:"existingfile" optional:""`
	Out          string        `help:"Folder for the report as JSON, a plot and the controllers' logs." placeholder:"DIR"`
}

func main() {
	var c cli
	ctx := kong.Parse(&c, kong.Name("scale"), kong.Description("Play the planned size on one machine, with hollow workers."))
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

type regionCmd struct{}

// Run simulates a region's external systems until the run is over or standard input ends.
func (regionCmd) Run() error { return scale.ServeRegion(context.Background(), os.Stdin, os.Stdout) }

// Run executes a run, prints its report and writes it to the directory given by --out.
func (c *runCmd) Run() error {
	o, err := c.options()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	report, failed := scale.Run(ctx, o)
	if report == nil {
		return failed
	}
	if err := report.Write(os.Stdout); err != nil {
		return err
	}
	for _, b := range report.Broken {
		fmt.Println("RULE BROKEN " + b)
	}
	if c.Out != "" {
		if err := c.writeReport(report); err != nil {
			return err
		}
	}
	return failed
}

func (c *runCmd) options() (scale.Options, error) {
	self, err := os.Executable()
	if err != nil {
		return scale.Options{}, err
	}
	o := scale.Options{Program: c.Program, OtherProgram: c.OtherProgram, Region: []string{self, "region"}, Share: c.Share, For: c.For, Peak: c.Peak, Seed: c.Seed,
		KillLeader: c.KillLeader, Settings: c.Settings, Log: c.Out}
	if c.Out != "" {
		if err := os.MkdirAll(c.Out, 0o755); err != nil {
			return o, err
		}
	}
	if err := c.readCut(&o); err != nil {
		return o, err
	}
	if c.KillMachines == "" {
		return o, nil
	}
	number, at, _ := strings.Cut(c.KillMachines, "@")
	if o.KillMachines, err = strconv.Atoi(number); err == nil {
		o.KillAt, err = time.ParseDuration(at)
	}
	if err != nil {
		return o, fmt.Errorf("--kill-machines %q: N@AT is expected: %w", c.KillMachines, err)
	}
	return o, nil
}

// readCut parses --cut-region.
func (c *runCmd) readCut(o *scale.Options) (err error) {
	if c.CutRegion == "" {
		return nil
	}
	name, times, _ := strings.Cut(c.CutRegion, "@")
	at, length, _ := strings.Cut(times, "+")
	o.CutRegion = name
	if o.CutAt, err = time.ParseDuration(at); err == nil {
		o.CutFor, err = time.ParseDuration(length)
	}
	if err != nil {
		return fmt.Errorf("--cut-region %q: NAME@AT+FOR is expected: %w", c.CutRegion, err)
	}
	return nil
}

func (c *runCmd) writeReport(r *scale.Report) error {
	text, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(c.Out, "report.json"), append(text, '\n'), 0o644); err != nil {
		return err
	}
	return r.Plot(filepath.Join(c.Out, "starts.png"))
}
