package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"

	"github.com/marlwood/marlwood/internal/operators"
	"github.com/marlwood/marlwood/internal/operators/operatorspb"
)

type jobsCmd struct {
	connection `embed:""`
	Where      string `placeholder:"FILTER" help:"Only these, as in: team = grafo and wait > 30s and zone in (lambrate, bovisa)."`
}

// fetchPages requests one page after the other and returns all rows. name returns the key of a row; the next page
// starts after the key of the last row.
func fetchPages[T any](conn *connection, page func(ctx context.Context, s operatorspb.OperatorsClient, after string) (rows []T, more bool, err error),
	name func(T) string) (all []T, err error) {
	type result struct {
		rows []T
		more bool
	}
	err = conn.withClient(func(ctx context.Context, c *operators.Client) error {
		after := ""
		for {
			p, err := operators.Call(ctx, c, false, func(ctx context.Context, s operatorspb.OperatorsClient) (result, error) {
				rows, more, err := page(ctx, s, after)
				return result{rows, more}, err
			})
			if err != nil {
				return commandError(err)
			}
			all = append(all, p.rows...)
			if !p.more || len(p.rows) == 0 {
				return nil
			}
			after = name(p.rows[len(p.rows)-1])
		}
	})
	return all, err
}

// Run lists jobs.
func (c *jobsCmd) Run() error {
	where, err := parseFilter(c.Where, &operatorspb.Job{})
	if err != nil {
		return err
	}
	rows, err := fetchPages(&c.connection, func(ctx context.Context, s operatorspb.OperatorsClient, after string) ([]*operatorspb.Job, bool, error) {
		out, err := s.Jobs(ctx, &operatorspb.JobsRequest{After: after})
		return out.GetRows(), out.GetMore(), err
	}, func(r *operatorspb.Job) string { return r.Id })
	if err != nil {
		return err
	}
	if rows = filterRows(where, rows); c.JSON {
		return printRows(rows)
	}
	return writeJobs(os.Stdout, rows)
}

func writeJobs(w io.Writer, rows []*operatorspb.Job) error {
	var cells [][]string
	for _, r := range rows {
		place := "-"
		if r.Place > 0 {
			place = strconv.Itoa(int(r.Place))
		}
		cells = append(cells, []string{truncate(r.Id, 24), truncate(r.Team, 12), truncate(r.Class, 14), r.Shape, r.Priority, r.State,
			fmt.Sprintf("%d/%d/%d", r.Done, r.Running, r.Tasks), place, formatDuration(r.AgeS), formatDuration(r.WaitS)})
	}
	return printTable(w, []string{"JOB", "TEAM", "CLASS", "SHAPE", "PRIORITY", "STATE", "DONE/RUN/ALL", "PLACE", "AGE", "NO ROOM"}, cells)
}

type nodesCmd struct {
	connection `embed:""`
	Where      string `placeholder:"FILTER" help:"Only these, as in: zone = lambrate and used_cpus = 0 and not spot."`
}

// Run lists machines.
func (c *nodesCmd) Run() error {
	where, err := parseFilter(c.Where, &operatorspb.Node{})
	if err != nil {
		return err
	}
	rows, err := fetchPages(&c.connection, func(ctx context.Context, s operatorspb.OperatorsClient, after string) ([]*operatorspb.Node, bool, error) {
		out, err := s.Nodes(ctx, &operatorspb.NodesRequest{After: after})
		return out.GetRows(), out.GetMore(), err
	}, func(r *operatorspb.Node) string { return r.Name })
	if err != nil {
		return err
	}
	if rows = filterRows(where, rows); c.JSON {
		return printRows(rows)
	}
	var cells [][]string
	for _, r := range rows {
		note := ""
		switch {
		case r.Drain != "":
			note = "drained: " + r.Drain
		case r.Cordoned:
			note = "takes no tasks"
		case r.RecallS >= 0:
			note = "recalled in " + formatDuration(r.RecallS)
		case r.Retiring:
			note = "retiring"
		}
		spot := "-"
		if r.Spot {
			spot = "spot"
		}
		cells = append(cells, []string{truncate(r.Name, 20), truncate(r.Type, 10), truncate(r.Zone, 12), spot, r.Phase, formatUsage(r.UsedCpus, r.Cpus),
			formatUsage(r.UsedGpus, r.Gpus), formatUsage(r.UsedMemoryGb, r.MemoryGb), strconv.Itoa(int(r.Tasks)), formatDuration(r.AgeS), truncate(note, 24)})
	}
	return printTable(os.Stdout, []string{"NODE", "TYPE", "ZONE", "SPOT", "PHASE", "CPUS", "GPUS", "GB", "TASKS", "AGE", "NOTE"}, cells)
}

type teamsCmd struct {
	connection `embed:""`
	Where      string `placeholder:"FILTER" help:"Only these, as in: unplaced > 0."`
}

// Run lists teams.
func (c *teamsCmd) Run() error {
	where, err := parseFilter(c.Where, &operatorspb.Team{})
	if err != nil {
		return err
	}
	out, err := call(&c.connection, false, func(ctx context.Context, s operatorspb.OperatorsClient) (*operatorspb.TeamsResponse, error) {
		return s.Teams(ctx, &operatorspb.TeamsRequest{})
	})
	if err != nil {
		return err
	}
	rows := filterRows(where, out.Rows)
	if c.JSON {
		return printRows(rows)
	}
	return writeTeams(os.Stdout, rows)
}

func writeTeams(w io.Writer, rows []*operatorspb.Team) error {
	head := []string{"TEAM", "CPUS/LIMIT", "GUARANTEED", "GPUS/LIMIT", "GUARANTEED", "JOBS", "PLACED", "UNPLACED"}
	usageRecorded := slices.ContainsFunc(rows, func(r *operatorspb.Team) bool { return r.UsageUnknown || r.RunCpuH+r.WaitCpuH > 0 })
	if usageRecorded {
		head = append(head, "CPU-H RUN", "WAITED", "REPEATED")
	}
	var cells [][]string
	for _, r := range rows {
		row := []string{truncate(r.Name, 24), formatUsage(r.Cpus, r.LimitCpus), fmt.Sprintf("%g", r.GuaranteedCpus), formatUsage(r.Gpus, r.LimitGpus),
			fmt.Sprintf("%g", r.GuaranteedGpus), strconv.Itoa(int(r.Jobs)), strconv.Itoa(int(r.Placed)), strconv.Itoa(int(r.Unplaced))}
		if usageRecorded {
			row = append(row, usageCells(r)...)
		}
		cells = append(cells, row)
	}
	return printTable(w, head, cells)
}

// usageCells returns the cells of the columns that show a team's usage.
func usageCells(r *operatorspb.Team) []string {
	if r.UsageUnknown {
		return []string{"?", "?", "?"}
	}
	return []string{fmt.Sprintf("%.2f", r.RunCpuH), fmt.Sprintf("%.2f", r.WaitCpuH), fmt.Sprintf("%.2f", r.LostCpuH)}
}

type statusCmd struct {
	connection `embed:""`
}

// Run shows the cluster in a few lines.
func (c *statusCmd) Run() error {
	s, err := call(&c.connection, false, func(ctx context.Context, s operatorspb.OperatorsClient) (*operatorspb.StatusResponse, error) {
		return s.Status(ctx, &operatorspb.StatusRequest{})
	})
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(s)
	}
	writeStatus(os.Stdout, s)
	return nil
}

// writeStatus writes the cluster's state in a few lines. It ignores write errors, as w is the command's output
// or a buffer.
func writeStatus(w io.Writer, s *operatorspb.StatusResponse) {
	if s.Token == 0 {
		_, _ = fmt.Fprintf(w, "%s answers and does not lead; the leader it knows: %s\n", s.Member, orDefault(s.Leader, "none"))
		return
	}
	state := "takes its office over"
	if s.Complete {
		state = "starts tasks"
	}
	_, _ = fmt.Fprintf(w, "leader   %s, for %s, token %d: %s (version %s)\n"+
		"machines %d, %d not heard of, %d booting; %g of %g CPUs in use\n"+
		"jobs     %d open, %d wait for others; %d tasks placed, %d not\n",
		s.Leader, formatDuration(s.LeadingS), s.Token, state, s.Version,
		s.Machines, s.Unseen, s.Booting, s.UsedCpus, s.Cpus,
		s.Jobs, s.Waiting, s.Placed, s.Unplaced)
}
