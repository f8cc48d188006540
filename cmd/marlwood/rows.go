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

// pages requests page after page and returns all rows. name returns the key of a row, after
// which the next page starts.
func pages[T any](a *connection, page func(ctx context.Context, s operatorspb.OperatorsClient, after string) (rows []T, more bool, err error),
	name func(T) string) (all []T, err error) {
	type one struct {
		rows []T
		more bool
	}
	err = a.withClient(func(ctx context.Context, c *operators.Client) error {
		after := ""
		for {
			p, err := operators.Try(ctx, c, false, func(ctx context.Context, s operatorspb.OperatorsClient) (one, error) {
				rows, more, err := page(ctx, s, after)
				return one{rows, more}, err
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
	where, err := parseWhere(c.Where, &operatorspb.Job{})
	if err != nil {
		return err
	}
	rows, err := pages(&c.connection, func(ctx context.Context, s operatorspb.OperatorsClient, after string) ([]*operatorspb.Job, bool, error) {
		out, err := s.Jobs(ctx, &operatorspb.JobsRequest{After: after})
		return out.GetRows(), out.GetMore(), err
	}, func(r *operatorspb.Job) string { return r.Id })
	if err != nil {
		return err
	}
	if rows = selected(where, rows); c.JSON {
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
		cells = append(cells, []string{cut(r.Id, 24), cut(r.Team, 12), cut(r.Class, 14), r.Shape, r.Priority, r.State,
			fmt.Sprintf("%d/%d/%d", r.Done, r.Running, r.Tasks), place, span(r.AgeS), span(r.WaitS)})
	}
	return table(w, []string{"JOB", "TEAM", "CLASS", "SHAPE", "PRIORITY", "STATE", "DONE/RUN/ALL", "PLACE", "AGE", "NO ROOM"}, cells)
}

type nodesCmd struct {
	connection `embed:""`
	Where      string `placeholder:"FILTER" help:"Only these, as in: zone = lambrate and used_cpus = 0 and not spot."`
}

// Run lists machines.
func (c *nodesCmd) Run() error {
	where, err := parseWhere(c.Where, &operatorspb.Node{})
	if err != nil {
		return err
	}
	rows, err := pages(&c.connection, func(ctx context.Context, s operatorspb.OperatorsClient, after string) ([]*operatorspb.Node, bool, error) {
		out, err := s.Nodes(ctx, &operatorspb.NodesRequest{After: after})
		return out.GetRows(), out.GetMore(), err
	}, func(r *operatorspb.Node) string { return r.Name })
	if err != nil {
		return err
	}
	if rows = selected(where, rows); c.JSON {
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
			note = "recalled in " + span(r.RecallS)
		case r.Retiring:
			note = "retiring"
		}
		spot := "-"
		if r.Spot {
			spot = "spot"
		}
		cells = append(cells, []string{cut(r.Name, 20), cut(r.Type, 10), cut(r.Zone, 12), spot, r.Phase, share(r.UsedCpus, r.Cpus),
			share(r.UsedGpus, r.Gpus), share(r.UsedMemoryGb, r.MemoryGb), strconv.Itoa(int(r.Tasks)), span(r.AgeS), cut(note, 24)})
	}
	return table(os.Stdout, []string{"NODE", "TYPE", "ZONE", "SPOT", "PHASE", "CPUS", "GPUS", "GB", "TASKS", "AGE", "NOTE"}, cells)
}

type teamsCmd struct {
	connection `embed:""`
	Where      string `placeholder:"FILTER" help:"Only these, as in: unplaced > 0."`
}

// Run lists teams.
func (c *teamsCmd) Run() error {
	where, err := parseWhere(c.Where, &operatorspb.Team{})
	if err != nil {
		return err
	}
	out, err := call(&c.connection, false, func(ctx context.Context, s operatorspb.OperatorsClient) (*operatorspb.TeamsResponse, error) {
		return s.Teams(ctx, &operatorspb.TeamsRequest{})
	})
	if err != nil {
		return err
	}
	rows := selected(where, out.Rows)
	if c.JSON {
		return printRows(rows)
	}
	return writeTeams(os.Stdout, rows)
}

func writeTeams(w io.Writer, rows []*operatorspb.Team) error {
	head := []string{"TEAM", "CPUS/LIMIT", "GUARANTEED", "GPUS/LIMIT", "GUARANTEED", "JOBS", "PLACED", "UNPLACED"}
	kept := slices.ContainsFunc(rows, func(r *operatorspb.Team) bool { return r.UsageUnknown || r.RunCpuH+r.WaitCpuH > 0 })
	if kept {
		head = append(head, "CPU-H RUN", "WAITED", "REPEATED")
	}
	var cells [][]string
	for _, r := range rows {
		row := []string{cut(r.Name, 24), share(r.Cpus, r.LimitCpus), fmt.Sprintf("%g", r.GuaranteedCpus), share(r.Gpus, r.LimitGpus),
			fmt.Sprintf("%g", r.GuaranteedGpus), strconv.Itoa(int(r.Jobs)), strconv.Itoa(int(r.Placed)), strconv.Itoa(int(r.Unplaced))}
		if kept {
			row = append(row, usageCells(r)...)
		}
		cells = append(cells, row)
	}
	return table(w, head, cells)
}

// usageCells are the cells of what a team has used.
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

// writeStatus writes the cluster's state in a few lines. It ignores errors of w, the
// command's output or a buffer.
func writeStatus(w io.Writer, s *operatorspb.StatusResponse) {
	if s.Token == 0 {
		_, _ = fmt.Fprintf(w, "%s answers and does not lead; the leader it knows: %s\n", s.Member, or(s.Leader, "none"))
		return
	}
	state := "takes its office over"
	if s.Complete {
		state = "starts tasks"
	}
	_, _ = fmt.Fprintf(w, "leader   %s, for %s, token %d: %s (version %s)\n"+
		"machines %d, %d not heard of, %d booting; %g of %g CPUs in use\n"+
		"jobs     %d open, %d wait for others; %d tasks placed, %d not\n",
		s.Leader, span(s.LeadingS), s.Token, state, s.Version,
		s.Machines, s.Unseen, s.Booting, s.UsedCpus, s.Cpus,
		s.Jobs, s.Waiting, s.Placed, s.Unplaced)
}
