// Command mixed checks that two builds of marlwood work together: a lab of three controllers runs on
// different mixes of them in turn. The old build writes the stored data; the new one reads it, leads beside old
// controllers, follows them, and hands the data back. It builds nothing:
//
//	go run ./internal/lab/mixed --old PROGRAM --new PROGRAM
//
// If a file PROGRAM-replay exists beside a program, recordings are replayed as well.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/alecthomas/kong"
)

type cli struct {
	Run   runCmd   `cmd:"" default:"withargs" help:"Run the check."`
	Serve serveCmd `cmd:"" hidden:"" help:"Run a controller on the build that it has at the moment; the lab starts it."`
}

// dirVariable is the environment variable that names the check's directory to the controllers.
const dirVariable = "MARLWOOD_MIXED_DIR"

func main() {
	var c cli
	ctx := kong.Parse(&c, kong.Name("mixed"), kong.Description("Check that two builds of marlwood work together."))
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// serveCmd replaces "marlwood serve" in the lab.
type serveCmd struct {
	Config   string `required:""`
	Settings string `required:""`
}

// Run replaces this process by the build named in the controller's programFile, with usage accounting switched on.
func (c *serveCmd) Run() error {
	dir := os.Getenv(dirVariable)
	text, err := os.ReadFile(c.Config)
	if err != nil {
		return err
	}
	var platform struct {
		Member     string `json:"member"`
		PeerListen string `json:"peer_listen"`
	}
	if err := json.Unmarshal(text, &platform); err != nil {
		return err
	}
	if err := os.WriteFile(peerFile(dir, platform.Member), []byte(platform.PeerListen), 0o600); err != nil {
		return err
	}
	program, err := os.ReadFile(programFile(dir, platform.Member))
	if err != nil {
		return err
	}
	settings, err := withAccounts(dir, platform.Member, c.Settings)
	if err != nil {
		return err
	}
	arguments := []string{string(program), "serve", "--config", c.Config, "--settings", settings}
	return syscall.Exec(string(program), arguments, os.Environ())
}

// withAccounts writes a copy of a settings file in which usage accounting is on, and returns its path.
func withAccounts(dir, member, path string) (string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	list, closed := strings.CutSuffix(strings.TrimSpace(string(text)), ")")
	if !closed {
		return "", fmt.Errorf("%s: does not end in a parenthesis", path)
	}
	out := filepath.Join(dir, member+".sexp")
	return out, os.WriteFile(out, []byte(list+"\n  (accounts (keep \"yes\") (flush \"2s\")))\n"), 0o600)
}

// programFile returns the path of the file that holds the path of the build a controller runs.
func programFile(dir, member string) string { return filepath.Join(dir, member+".program") }

// peerFile returns the path of the file that holds the address a controller listens on for the other controllers.
func peerFile(dir, member string) string { return filepath.Join(dir, member+".peer") }
