package main

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"os"
	"slices"
	"time"

	"golang.org/x/term"

	"github.com/marlwood/marlwood/internal/operators"
	"github.com/marlwood/marlwood/internal/operators/operatorspb"
)

type topCmd struct {
	connection `embed:""`
	Every      time.Duration `default:"2s" help:"How often the screen is drawn anew."`
	Once       bool          `help:"Draw it once and end."`
}

// minScreenInterval is the least value of --every; it bounds the load that a screen puts on the controllers.
const minScreenInterval = 500 * time.Millisecond

// Run redraws the screen until the process receives SIGINT or SIGTERM; with --once it prints the screen once.
func (c *topCmd) Run() error {
	if c.Every < minScreenInterval {
		return usageError{fmt.Errorf("--every: at least %v", minScreenInterval)}
	}
	return c.withClient(func(ctx context.Context, client *operators.Client) error {
		for {
			text, err := renderScreen(ctx, client)
			if c.Once {
				fmt.Print(text)
				return commandError(err)
			}
			if err != nil && ctx.Err() == nil {
				text = messageOf(err) + "\n"
			}
			drawScreen(text)
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(c.Every):
			}
		}
	})
}

// drawScreen prints a text; on a terminal it clears the screen first.
func drawScreen(text string) {
	if term.IsTerminal(int(os.Stdout.Fd())) {
		text = "\x1b[H\x1b[2J" + text
	}
	fmt.Print(text)
}

// maxScreenRows limits the number of jobs, and of drains, on a screen.
const maxScreenRows = 12

// renderScreen returns the text of one screen: the status of the cluster, its teams, the oldest jobs that do not
// run in full, and drains.
func renderScreen(ctx context.Context, client *operators.Client) (string, error) {
	state, err := operators.Call(ctx, client, false, func(ctx context.Context, o operatorspb.OperatorsClient) (*operatorspb.StatusResponse, error) {
		return o.Status(ctx, &operatorspb.StatusRequest{})
	})
	if err != nil {
		return "", err
	}
	var text bytes.Buffer
	writeStatus(&text, state)
	if state.Token == 0 {
		return text.String(), nil
	}
	teams, err := operators.Call(ctx, client, false, func(ctx context.Context, o operatorspb.OperatorsClient) (*operatorspb.TeamsResponse, error) {
		return o.Teams(ctx, &operatorspb.TeamsRequest{})
	})
	if err != nil {
		return text.String(), err
	}
	text.WriteByte('\n')
	if err := writeTeams(&text, teams.Rows); err != nil {
		return text.String(), err
	}
	jobs, err := operators.Call(ctx, client, false, func(ctx context.Context, o operatorspb.OperatorsClient) (*operatorspb.JobsResponse, error) {
		return o.Jobs(ctx, &operatorspb.JobsRequest{})
	})
	if err != nil {
		return text.String(), err
	}
	rows := slices.DeleteFunc(jobs.Rows, func(r *operatorspb.Job) bool { return r.State == "running" })
	slices.SortStableFunc(rows, func(x, y *operatorspb.Job) int { return cmp.Compare(y.AgeS, x.AgeS) })
	if len(rows) > 0 {
		fmt.Fprintf(&text, "\n%d jobs do not run whole; the oldest:\n", len(rows))
		if err := writeJobs(&text, rows[:min(maxScreenRows, len(rows))]); err != nil {
			return text.String(), err
		}
	}
	drains, err := operators.Call(ctx, client, false, func(ctx context.Context, o operatorspb.OperatorsClient) (*operatorspb.DrainsResponse, error) {
		return o.Drains(ctx, &operatorspb.DrainsRequest{})
	})
	if err != nil {
		return text.String(), err
	}
	writeDrains(&text, drains.Rows)
	return text.String(), nil
}

// writeDrains writes a line for each of the first maxScreenRows drains, and the number of the others.
func writeDrains(text *bytes.Buffer, drains []*operatorspb.Drain) {
	for i, d := range drains {
		if i == 0 {
			text.WriteByte('\n')
		}
		if i == maxScreenRows {
			fmt.Fprintf(text, "and %d drains more\n", len(drains)-i)
			break
		}
		fmt.Fprintf(text, "%s: %s, %d of %d machines empty, %d tasks\n", d.Target, d.State, d.Empty, d.Machines, d.Tasks)
	}
}
