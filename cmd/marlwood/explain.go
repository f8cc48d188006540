package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/marlwood/marlwood/internal/operators/operatorspb"
)

type explainCmd struct {
	connection `embed:""`
	Job        string `arg:"" help:"The job's id."`
}

// Run prints the reasons why a job's tasks are not all running.
func (c *explainCmd) Run() error {
	out, err := call(&c.connection, false, func(ctx context.Context, s operatorspb.OperatorsClient) (*operatorspb.ExplainResponse, error) {
		return s.Explain(ctx, &operatorspb.ExplainRequest{Job: c.Job})
	})
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(out)
	}
	j := out.Job
	fmt.Printf("%s  %s, %s of team %s: %d tasks, %d done, %d running, %d more placed; accepted %s ago\n", j.Id, j.State, j.Shape, j.Team,
		j.Tasks, j.Done, j.Running, j.Placed-j.Running, formatDuration(j.AgeS))
	if j.Place > 0 {
		fmt.Printf("place %d of %d in the queue\n", j.Place, out.Queue)
	}
	for _, r := range out.Reasons {
		fmt.Printf("\n%-15s %s\n", r.Code, r.Text)
		if len(r.Names) > 0 {
			fmt.Printf("%-15s %s\n", "", strings.Join(r.Names, ", "))
		}
		if r.UntilUnixMs > 0 {
			fmt.Printf("%-15s until %s\n", "", formatTime(r.UntilUnixMs))
		}
	}
	if len(out.Rooms) > 0 && j.Place > 0 {
		fmt.Println()
		if err := printCapacity(out.Rooms); err != nil {
			return err
		}
	}
	for _, h := range out.Hopes {
		fmt.Printf("\nsoonest: %s  %s", formatTime(h.AtUnixMs), h.Text)
	}
	if len(out.Hopes) > 0 {
		fmt.Println()
	}
	return nil
}

func printCapacity(rooms []*operatorspb.Room) error {
	var cells [][]string
	count := func(n uint32) string {
		if n == 0 {
			return "-"
		}
		return strconv.Itoa(int(n))
	}
	for _, r := range rooms {
		refused := "-"
		if r.RefusedUntilUnixMs > 0 {
			refused = formatTime(r.RefusedUntilUnixMs)
		}
		fetch := "-"
		if r.FetchS > 0 {
			fetch = fmt.Sprintf("%d, %s", r.Images, formatDuration(r.FetchS))
		}
		cells = append(cells, []string{truncate(r.Type, 10), truncate(r.Zone, 12), strconv.Itoa(int(r.Machines)), count(r.Fits), count(r.LackCpus),
			count(r.LackMemory), count(r.LackGpus), count(r.Kept), count(r.Drained + r.Retiring + r.Out), fetch, count(r.Booting), refused})
	}
	return printTable(os.Stdout, []string{"TYPE", "ZONE", "NODES", "FITS", "CPUS-", "GB-", "GPUS-", "KEPT", "OUT", "IMAGE", "BOOT", "REFUSED"}, cells)
}

type blockersCmd struct {
	connection `embed:""`
	Job        string `arg:"" help:"The job's id."`
}

// Run lists the tasks that occupy the capacity that a job lacks.
func (c *blockersCmd) Run() error {
	out, err := call(&c.connection, false, func(ctx context.Context, s operatorspb.OperatorsClient) (*operatorspb.BlockersResponse, error) {
		return s.Blockers(ctx, &operatorspb.BlockersRequest{Job: c.Job})
	})
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(out)
	}
	if out.Pieces == 0 {
		fmt.Printf("%s lacks no room: all of its tasks are placed\n", out.Job)
		return nil
	}
	where := ""
	if out.Zone != "" {
		where = " in " + out.Zone + ", the zone with most room"
	}
	fmt.Printf("%s: %d of %d pieces find room now%s\n", out.Job, out.Placed, out.Pieces, where)
	if len(out.Holders) == 0 {
		return nil
	}
	fmt.Println()
	var cells [][]string
	for _, h := range out.Holders {
		mayStop := "no: "
		if h.MayStop {
			mayStop = "yes: "
		}
		left := formatDuration(h.LeftS)
		if h.LeftS < 0 {
			left = "never"
		}
		cells = append(cells, []string{truncate(h.Task, 22), truncate(h.Node, 14), truncate(h.Team, 10), h.Priority, fmt.Sprintf("%g", h.Cpus), left, truncate(mayStop+h.Why, 40)})
	}
	if err := printTable(os.Stdout, []string{"TASK", "NODE", "TEAM", "PRIORITY", "CPUS", "ENDS IN", "MAY BE STOPPED"}, cells); err != nil {
		return err
	}
	if out.More > 0 {
		fmt.Printf("and %d tasks more\n", out.More)
	}
	return nil
}
