package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/olekukonko/tablewriter"
	"github.com/olekukonko/tablewriter/renderer"
	"github.com/olekukonko/tablewriter/tw"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/marlwood/marlwood/internal/filter"
	"github.com/marlwood/marlwood/internal/operators"
	"github.com/marlwood/marlwood/internal/operators/operatorspb"
)

// connection holds the flags of every command that calls the controllers.
type connection struct {
	Operators []string `env:"MARLWOOD_OPERATORS" default:"127.0.0.1:7400,127.0.0.1:7401,127.0.0.1:7402" placeholder:"ADDR" help:"Addresses of controllers for operators; one after the other is asked. Default: a lab's."`
	CA        string   `env:"MARLWOOD_CA" type:"path" placeholder:"FILE" help:"The authority's certificate."`
	Cert      string   `env:"MARLWOOD_CERT" type:"path" placeholder:"FILE" help:"Your certificate; without one only this machine is asked."`
	Key       string   `env:"MARLWOOD_KEY" type:"path" placeholder:"FILE" help:"Its key."`
	JSON      bool     `help:"Print JSON."`
}

// Exit statuses of commands that call the controllers, in addition to 0 for success, 1 for other errors
// and 2 for wrong usage.
const (
	exitNotFound    = 3 // no such job, node, zone, type or drain
	exitRefused     = 4 // forbidden, or not possible now; the message states what would allow it
	exitUnavailable = 5 // no controller answers; nothing was changed
	exitUnknown     = 6 // it is unknown whether the change was made
)

// exitError is an error with an exit status of its own.
type exitError struct {
	code int
	err  error
}

// Error returns the text of the cause.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.err }

// commandError turns the gRPC status of a failed call into a message and an exit status.
func commandError(err error) error {
	if err == nil {
		return nil
	}
	code := 1
	switch status.Code(err) {
	case codes.InvalidArgument:
		return usageError{errors.New(messageOf(err))}
	case codes.NotFound:
		code = exitNotFound
	case codes.PermissionDenied, codes.Unauthenticated, codes.FailedPrecondition, codes.AlreadyExists, codes.Aborted, codes.ResourceExhausted:
		code = exitRefused
	case codes.Unavailable, codes.Unimplemented:
		code = exitUnavailable
	case codes.DeadlineExceeded, codes.Unknown:
		code = exitUnknown
	}
	return &exitError{code, errors.New(messageOf(err))}
}

// messageOf returns the message of a gRPC status, without the prefix that gRPC adds.
func messageOf(err error) string {
	if s, ok := status.FromError(err); ok && s.Message() != "" {
		return s.Message()
	}
	return err.Error()
}

// withClient calls do with a new client and closes the client afterwards. SIGINT and SIGTERM cancel ctx.
func (conn *connection) withClient(do func(ctx context.Context, c *operators.Client) error) error {
	if conn.Cert != "" && (conn.CA == "" || conn.Key == "") {
		return usageError{errors.New("--cert: needs --ca and --key as well")}
	}
	c, err := operators.NewClient(conn.Operators, conn.CA, conn.Cert, conn.Key)
	if err != nil {
		return usageError{err}
	}
	defer c.Close()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return do(ctx, c)
}

// call makes one call. If change is true, the call modifies state, so it is not repeated on another controller
// once one may have executed it.
func call[T proto.Message](conn *connection, change bool, do func(ctx context.Context, s operatorspb.OperatorsClient) (T, error)) (out T, err error) {
	err = conn.withClient(func(ctx context.Context, c *operators.Client) error {
		out, err = operators.Call(ctx, c, change, do)
		return commandError(err)
	})
	return out, err
}

// printJSON prints one message as JSON.
func printJSON(m proto.Message) error {
	text, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true, Multiline: true}.Marshal(m)
	if err != nil {
		return err
	}
	_, err = fmt.Printf("%s\n", text)
	return err
}

// rowJSON returns one row as JSON. It omits the usage figures of a team whose usage is unknown.
func rowJSON(row proto.Message) ([]byte, error) {
	text, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(row)
	if team, ok := row.(*operatorspb.Team); err != nil || !ok || !team.UsageUnknown {
		return text, err
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(text, &fields); err != nil {
		return nil, err
	}
	for _, name := range []string{"run_cpu_h", "wait_cpu_h", "lost_cpu_h"} {
		delete(fields, name)
	}
	return json.Marshal(fields)
}

// printRows prints messages as one JSON array.
func printRows[T proto.Message](rows []T) error {
	parts := make([]string, 0, len(rows))
	for _, r := range rows {
		text, err := rowJSON(r)
		if err != nil {
			return err
		}
		parts = append(parts, string(text))
	}
	if len(parts) == 0 {
		fmt.Println("[]")
		return nil
	}
	fmt.Printf("[\n  %s\n]\n", strings.Join(parts, ",\n  "))
	return nil
}

// printTable prints rows below headings, without rules between them, in columns of minimal width.
func printTable(w io.Writer, headings []string, rows [][]string) error {
	t := tablewriter.NewTable(w,
		tablewriter.WithRenderer(renderer.NewBlueprint(tw.Rendition{Borders: tw.BorderNone,
			Settings: tw.Settings{Lines: tw.LinesNone, Separators: tw.SeparatorsNone}})),
		tablewriter.WithConfig(tablewriter.Config{
			Header: tw.CellConfig{Alignment: tw.CellAlignment{Global: tw.AlignLeft}, Formatting: tw.CellFormatting{AutoFormat: tw.Off},
				Padding: tw.CellPadding{Global: tw.Padding{Right: "  ", Overwrite: true}}},
			Row: tw.CellConfig{Alignment: tw.CellAlignment{Global: tw.AlignLeft}, Formatting: tw.CellFormatting{AutoWrap: tw.WrapNone},
				Padding: tw.CellPadding{Global: tw.Padding{Right: "  ", Overwrite: true}}},
		}))
	t.Header(headings)
	for _, r := range rows {
		if err := t.Append(r); err != nil {
			return err
		}
	}
	return t.Render()
}

// formatDuration formats a duration for a table.
func formatDuration(seconds float64) string {
	d := time.Duration(seconds * float64(time.Second))
	switch {
	case seconds <= 0:
		return "-"
	case d < 10*time.Second:
		return d.Round(100 * time.Millisecond).String()
	case d < time.Hour:
		return d.Round(time.Second).String()
	}
	return strings.TrimSuffix(d.Round(time.Minute).String(), "0s")
}

// formatTime formats a time of day for a table; for a future time it appends the remaining duration.
func formatTime(unixMS int64) string {
	if unixMS == 0 {
		return "-"
	}
	t := time.UnixMilli(unixMS)
	if left := time.Until(t); left > 0 {
		return t.Format("15:04:05") + " (in " + formatDuration(left.Seconds()) + ")"
	}
	return t.Format("15:04:05")
}

// formatUsage formats how much of a limit is used; the limit 0 means that there is none.
func formatUsage(used, limit float64) string {
	if limit == 0 {
		return fmt.Sprintf("%g/-", used)
	}
	return fmt.Sprintf("%g/%g", used, limit)
}

// orDefault returns text, or fallback if text is empty.
func orDefault(text, fallback string) string {
	if text == "" {
		return fallback
	}
	return text
}

// truncate shortens a text to at most n characters for a table.
func truncate(text string, n int) string {
	if r := []rune(text); len(r) > n {
		return string(r[:n-1]) + "…"
	}
	return text
}

// parseFilter compiles the flag --where for messages of the given type.
func parseFilter(text string, of proto.Message) (*filter.Filter, error) {
	f, err := filter.Parse(text, of)
	if err != nil {
		return nil, usageError{fmt.Errorf("--where: %w", err)}
	}
	return f, nil
}

// filterRows returns the rows that a filter matches.
func filterRows[T proto.Message](f *filter.Filter, rows []T) (out []T) {
	for _, r := range rows {
		if f.Match(r) {
			out = append(out, r)
		}
	}
	return out
}
