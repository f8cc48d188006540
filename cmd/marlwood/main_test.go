package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/alecthomas/kong"
)

const platformJSON = `{"member":"n0","location":"a","listen":"127.0.0.1:1","peer_listen":"127.0.0.1:2",
	"endpoints":{"cloud":"127.0.0.1:3","state":"127.0.0.1:4"},"deployment":{"workers":{"report_s":1,"lease_s":10,"cancel_s":35},
	"state":{"rps":250,"write_rps":60,"value_kb":16,"txn_ops":16},"cloud":{"rps":3},"quota":{"mem_mb":98,"sockets":900}}}`

// Invalid settings of the platform or of operators end the program with status 2, as the README states.
//
// Guard: kong wraps the error that a command returns, so exitStatus must search the chain of errors for its type
// and not compare the error itself.
func TestCheckExitStatus(t *testing.T) {
	for _, c := range []struct {
		name, platform, operator string
		status                   int // 0: no error
	}{
		{"valid platform settings", platformJSON, "", 0},
		{"valid settings of both kinds", platformJSON, `(marlwood (fleet (idle "20s")))`, 0},
		{"platform settings not JSON", "{", "", 2},
		{"missing field", `{"member":"n0"}`, "", 2},
		{"unknown setting", platformJSON, `(marlwood (fleet (idel "20s")))`, 2},
		{"invalid value", platformJSON, `(marlwood (fleet (idle "soon")))`, 2},
	} {
		dir := t.TempDir()
		args := []string{"check", filepath.Join(dir, "node.json")}
		if c.operator != "" {
			args = append(args, "--settings", filepath.Join(dir, "operator.sexp"))
		}
		for name, text := range map[string]string{"node.json": c.platform, "operator.sexp": c.operator} {
			if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		var commands cli
		parser, err := kong.New(&commands)
		if err != nil {
			t.Fatal(err)
		}
		ctx, err := parser.Parse(args)
		if err != nil {
			t.Fatal(err)
		}
		got := 0
		if err := ctx.Run(); err != nil {
			got = exitStatus(err)
		}
		if got != c.status {
			t.Errorf("%s: status %d, want %d", c.name, got, c.status)
		}
	}
}

// The commands of marlwood record end with status 2 if their arguments or input files are not usable, and with
// status 1 if the output cannot be opened.
func TestRecordExitStatus(t *testing.T) {
	log := filepath.Join(t.TempDir(), "log")
	if err := os.WriteFile(log, []byte("time=1 level=INFO msg=started\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name string
		run  func() error
		want int
	}{
		{"address without a port", (&recordFollowCmd{From: []string{"berth-1"}, Out: t.TempDir(), SegmentMB: 1}).Run, 2},
		{"segment size zero", (&recordFollowCmd{From: []string{"127.0.0.1:1"}, Out: t.TempDir()}).Run, 2},
		{"output is not a directory", (&recordFollowCmd{From: []string{"127.0.0.1:1"}, Out: log, SegmentMB: 1}).Run, 1},
		{"log without recording lines", (&recordImportCmd{Log: log, Out: t.TempDir()}).Run, 2},
		{"missing log", (&recordImportCmd{Log: "/nonexistent", Out: t.TempDir()}).Run, 2},
		{"complete recording", (&recordVerifyCmd{Dir: "../../internal/replay/testdata/day"}).Run, 0},
		{"directory without a recording", (&recordVerifyCmd{Dir: t.TempDir()}).Run, 2},
		{"missing directory", (&recordVerifyCmd{Dir: "/nonexistent"}).Run, 2},
	} {
		got := 0
		if err := c.run(); err != nil {
			got = exitStatus(err)
		}
		if got != c.want {
			t.Errorf("%s: status %d, want %d", c.name, got, c.want)
		}
	}
}
