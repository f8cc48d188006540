package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/marlwood/marlwood/internal/operators/operatorspb"
)

// compare prints how a settings file differs from the running settings.
func (c *checkCmd) compare() error {
	text, err := os.ReadFile(c.Config)
	if err != nil {
		return usageError{err}
	}
	out, err := call(&c.connection, false, func(ctx context.Context, s operatorspb.OperatorsClient) (*operatorspb.CompareResponse, error) {
		return s.Compare(ctx, &operatorspb.CompareRequest{Text: string(text)})
	})
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(out)
	}
	if len(out.Changes) == 0 {
		fmt.Printf("%s changes nothing of what runs (settings %d)\n", c.Config, out.Number)
		return nil
	}
	return printChanges(out.Changes)
}

func printChanges(changes []*operatorspb.Change) error {
	var cells [][]string
	for _, ch := range changes {
		appliedBy := "reload"
		if ch.Restart {
			appliedBy = "RESTART"
		}
		cells = append(cells, []string{ch.Name, truncate(ch.Running, 14), truncate(ch.Next, 14), appliedBy, truncate(ch.Note, 36)})
	}
	return printTable(os.Stdout, []string{"SETTING", "RUNNING", "NEXT", "BY", "WHAT IT IS"}, cells)
}

type reloadCmd struct {
	connection `embed:""`
	File       string `arg:"" placeholder:"FILE" help:"Operators' settings (S-expressions), laid over each controller's own file in place of those that were reloaded before."`
	Reason     string `placeholder:"TEXT" help:"For other operators."`
}

// Run puts the file's settings in force on all controllers, or on none.
func (c *reloadCmd) Run() error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return usageError{err}
	}
	return reload(&c.connection, &operatorspb.ReloadRequest{Text: string(text), Reason: c.Reason})
}

// reload puts settings in force, and prints what they change.
func reload(conn *connection, request *operatorspb.ReloadRequest) error {
	origin, err := conn.settingsOrigin()
	if err != nil {
		return err
	}
	request.Origin = origin
	out, err := call(conn, true, func(ctx context.Context, s operatorspb.OperatorsClient) (*operatorspb.ReloadResponse, error) {
		return s.Reload(ctx, request)
	})
	if err != nil {
		return err
	}
	if conn.JSON {
		return printJSON(out)
	}
	fmt.Printf("settings %d are in force; adopted by %s\n", out.Number, strings.Join(out.Adopted, ", "))
	if len(out.Changes) > 0 {
		return printChanges(out.Changes)
	}
	return nil
}

type settingsCmd struct {
	Show     settingsShowCmd     `cmd:"" default:"withargs" help:"Show the settings in force."`
	History  settingsHistoryCmd  `cmd:"" help:"List the settings that were put in force."`
	Rollback settingsRollbackCmd `cmd:"" help:"Put settings in force again that were before."`
}

type settingsShowCmd struct {
	connection `embed:""`
	Where      string `placeholder:"FILTER" help:"Only these, as in: name ~ fleet and not restart."`
}

// Run shows the settings in force.
func (c *settingsShowCmd) Run() error {
	where, err := parseFilter(c.Where, &operatorspb.Setting{})
	if err != nil {
		return err
	}
	out, err := call(&c.connection, false, func(ctx context.Context, s operatorspb.OperatorsClient) (*operatorspb.SettingsResponse, error) {
		return s.Settings(ctx, &operatorspb.SettingsRequest{})
	})
	if err != nil {
		return err
	}
	rows := filterRows(where, out.Fields)
	if c.JSON {
		return printRows(rows)
	}
	fmt.Printf("settings %d of the leader\n", out.Number)
	var cells [][]string
	for _, f := range rows {
		appliedBy := "reload"
		if f.Restart {
			appliedBy = "restart"
		}
		cells = append(cells, []string{f.Name, truncate(f.Value, 16), appliedBy, truncate(f.Note, 46)})
	}
	return printTable(os.Stdout, []string{"SETTING", "VALUE", "BY", "WHAT IT IS"}, cells)
}

type settingsHistoryCmd struct {
	connection `embed:""`
}

// Run lists the settings that were put in force.
func (c *settingsHistoryCmd) Run() error {
	out, err := call(&c.connection, false, func(ctx context.Context, s operatorspb.OperatorsClient) (*operatorspb.SettingsResponse, error) {
		return s.Settings(ctx, &operatorspb.SettingsRequest{Past: true})
	})
	if err != nil {
		return err
	}
	if c.JSON {
		return printRows(out.Past)
	}
	var cells [][]string
	for _, r := range out.Past {
		note := ""
		switch {
		case r.Number == out.Number:
			note = "in force"
		case r.Problem != "":
			note = "cannot be in force: " + r.Problem
		}
		cells = append(cells, []string{strconv.FormatUint(r.Number, 10), time.UnixMilli(r.AtUnixMs).Format("2006-01-02 15:04:05"), truncate(r.Who, 20),
			truncate(r.Reason, 30), note})
	}
	return printTable(os.Stdout, []string{"NUMBER", "AT", "BY", "REASON", ""}, cells)
}

type settingsRollbackCmd struct {
	connection `embed:""`
	Number     uint64 `arg:"" help:"Of settings history."`
	Reason     string `placeholder:"TEXT" help:"For other operators."`
}

// Run puts earlier settings in force again.
func (c *settingsRollbackCmd) Run() error {
	if c.Number == 0 {
		return usageError{fmt.Errorf("number: settings history lists them from 1; reload an empty file, (marlwood), to go back to the controllers' own")}
	}
	return reload(&c.connection, &operatorspb.ReloadRequest{Number: c.Number, Reason: c.Reason})
}
