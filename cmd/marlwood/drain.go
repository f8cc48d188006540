package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/marlwood/marlwood/internal/operators/operatorspb"
)

// drainTarget holds the arguments that select the machines to drain or undrain.
type drainTarget struct {
	Node string `arg:"" optional:"" help:"The machine."`
	Zone string `placeholder:"ZONE" help:"All machines of a zone instead."`
	Type string `placeholder:"TYPE" help:"All machines of a type instead."`
}

type drainCmd struct {
	connection  `embed:""`
	drainTarget `embed:""`
	Deadline    time.Duration `placeholder:"5m" help:"After this what has not ended is stopped; without it, nothing is that would lose work."`
	Keep        bool          `help:"Do not return the machines when they are empty."`
	Force       bool          `help:"Drain even if some work then has no room, and at the deadline stop gangs that have none."`
	Reason      string        `placeholder:"TEXT" help:"For other operators."`
}

// Run starts a drain.
func (c *drainCmd) Run() error {
	origin, err := c.drainsOrigin()
	if err != nil {
		return err
	}
	out, err := call(&c.connection, true, func(ctx context.Context, s operatorspb.OperatorsClient) (*operatorspb.DrainResponse, error) {
		return s.Drain(ctx, &operatorspb.DrainRequest{Node: c.Node, Zone: c.Zone, Type: c.Type, DeadlineS: c.Deadline.Seconds(), Keep: c.Keep,
			Force: c.Force, Reason: c.Reason, Origin: origin})
	})
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(out.Drain)
	}
	d := out.Drain
	fmt.Printf("%s is drained: no task starts on its %d machines from now on; %d tasks are still there\n", d.Target, d.Machines, d.Tasks)
	printGangs(d)
	return nil
}

func printGangs(d *operatorspb.Drain) {
	for _, g := range d.Gangs {
		fmt.Printf("  gang %s (%d of %d pieces here) %s\n", g.Job, g.Here, g.Pieces, g.Text)
	}
}

type undrainCmd struct {
	connection  `embed:""`
	drainTarget `embed:""`
}

// Run ends a drain.
func (c *undrainCmd) Run() error {
	origin, err := c.drainsOrigin()
	if err != nil {
		return err
	}
	out, err := call(&c.connection, true, func(ctx context.Context, s operatorspb.OperatorsClient) (*operatorspb.UndrainResponse, error) {
		return s.Undrain(ctx, &operatorspb.UndrainRequest{Node: c.Node, Zone: c.Zone, Type: c.Type, Origin: origin})
	})
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(out.Drain)
	}
	fmt.Printf("%s takes tasks again\n", out.Drain.Target)
	return nil
}

type drainsCmd struct {
	connection `embed:""`
}

// Run lists drains.
func (c *drainsCmd) Run() error {
	out, err := call(&c.connection, false, func(ctx context.Context, s operatorspb.OperatorsClient) (*operatorspb.DrainsResponse, error) {
		return s.Drains(ctx, &operatorspb.DrainsRequest{})
	})
	if err != nil {
		return err
	}
	if c.JSON {
		return printRows(out.Rows)
	}
	var cells [][]string
	for _, d := range out.Rows {
		state := d.State
		if d.Keep && state == "empty" {
			state = "empty, kept"
		}
		cells = append(cells, []string{truncate(d.Target, 24), state, fmt.Sprintf("%d/%d", d.Empty, d.Machines), strconv.Itoa(int(d.Tasks)),
			formatTime(d.EmptyUnixMs), formatTime(d.DeadlineUnixMs), truncate(d.Who, 14), truncate(d.Reason, 20)})
	}
	if err := printTable(os.Stdout, []string{"TARGET", "STATE", "EMPTY", "TASKS", "EMPTY AT", "DEADLINE", "BY", "REASON"}, cells); err != nil {
		return err
	}
	for _, d := range out.Rows {
		printGangs(d)
	}
	return nil
}
