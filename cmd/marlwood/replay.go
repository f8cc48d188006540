package main

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
)

type replayCmd struct {
	Args []string `arg:"" optional:"" help:"Its commands; see marlwood replay --help."`
}

const replayProgram = "marlwood-replay"

// Run replaces this process by marlwood-replay: the one in the directory of this program, else the one in PATH.
func (c *replayCmd) Run() error {
	path := ""
	if self, err := os.Executable(); err == nil {
		path = filepath.Join(filepath.Dir(self), replayProgram)
	}
	if _, err := os.Stat(path); err != nil {
		if path, err = exec.LookPath(replayProgram); err != nil {
			return usageError{errors.New(replayProgram + " is not installed: build it beside this program with go build -o target/ on all of ./cmd")}
		}
	}
	if err := syscall.Exec(path, append([]string{replayProgram}, c.Args...), os.Environ()); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}
