package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/marlwood/marlwood/internal/record"
	"github.com/marlwood/marlwood/internal/record/recordpb"
)

type recordCmd struct {
	Follow recordFollowCmd `cmd:"" default:"withargs" help:"Follow the leader through takeovers, until told to end."`
	Import recordImportCmd `cmd:"" help:"Make a recording of the lines in a controller's log (setting record.lines)."`
	Verify recordVerifyCmd `cmd:"" help:"Tell whether a recording is whole."`
}

type recordFollowCmd struct {
	From      []string `required:"" placeholder:"ADDR" help:"Addresses of the controllers for their siblings (peer_listen)."`
	Out       string   `required:"" placeholder:"DIR" help:"Where the recording is written; one that is there is gone on with."`
	SegmentMB int64    `default:"64" placeholder:"MB" help:"Size at which the next file is begun."`
}

// syncInterval bounds how much of a recording a crash of the machine loses.
const syncInterval = time.Second

// Run follows the leader through takeovers and records what it sends, until the process receives SIGINT or SIGTERM.
func (c *recordFollowCmd) Run() error {
	for _, addr := range c.From {
		if _, err := netip.ParseAddrPort(addr); err != nil {
			return usageError{fmt.Errorf("--from: not an address with a port: %q", addr)}
		}
	}
	if c.SegmentMB < 1 {
		return usageError{errors.New("--segment-mb: must be at least 1")}
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	w, err := openRecording(c.Out, c.SegmentMB<<20, log)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	synced := time.Now()
	err = record.Follow(ctx, c.From, log, w.Known, func(b *recordpb.Block) error {
		if err := w.Put(b); err != nil {
			return err
		}
		if time.Since(synced) >= syncInterval {
			synced = time.Now()
			return w.Sync()
		}
		return nil
	})
	err = errors.Join(err, w.Close())
	log.Info("recording ended", "frames", w.Frames, "missing", w.Missing)
	return err
}

// openRecording opens a recording for writing and logs each file that was truncated.
func openRecording(dir string, segmentLimit int64, log *slog.Logger) (*record.Writer, error) {
	w, err := record.OpenWriter(dir, segmentLimit)
	if err != nil {
		return nil, err
	}
	for _, d := range w.Truncated {
		log.Warn("truncated a torn block", "file", d.Path, "offset", d.Offset, "err", d.Err)
	}
	return w, nil
}

// importSegmentLimit is the size at which an import starts the next file.
const importSegmentLimit = 64 << 20

type recordImportCmd struct {
	Log string `arg:"" placeholder:"FILE" help:"The log; - for standard input."`
	Out string `required:"" placeholder:"DIR" help:"Where the recording is written."`
}

// Run makes a recording from the whole log.
func (c *recordImportCmd) Run() error {
	in := io.Reader(os.Stdin)
	if c.Log != "-" {
		f, err := os.Open(c.Log)
		if err != nil {
			return usageError{err}
		}
		defer func() { _ = f.Close() }() // the file is only read
		in = f
	}
	w, err := openRecording(c.Out, importSegmentLimit, slog.New(slog.NewTextHandler(os.Stderr, nil)))
	if err != nil {
		return err
	}
	broken, err := record.FromLines(in, w.Put)
	if err = errors.Join(err, w.Close()); err != nil {
		return err
	}
	fmt.Printf("%d frames recorded, %d missing, %d lines of broken blocks\n", w.Frames, w.Missing, broken)
	if w.Frames == 0 && broken == 0 {
		return usageError{fmt.Errorf("%s: no new lines of a recording in it: was the setting record.lines \"stderr\"?", c.Log)}
	}
	return nil
}

type recordVerifyCmd struct {
	Dir  string `arg:"" placeholder:"DIR" help:"The recording."`
	JSON bool   `help:"Print JSON."`
}

// errDamaged reports an incomplete recording; the program ends with status 1.
var errDamaged = errors.New("the recording is not whole")

// Run reads the whole recording and reports damage.
func (c *recordVerifyCmd) Run() error {
	found, err := record.Read(c.Dir, func(string, *recordpb.Frame) error { return nil })
	if err != nil {
		return missingInput(err)
	}
	if c.JSON {
		if err := json.NewEncoder(os.Stdout).Encode(found); err != nil {
			return err
		}
	} else {
		fmt.Printf("%d streams in %d files: %d blocks, %d frames, %.1f MB before compression\n", found.Streams, found.Files, found.Blocks,
			found.Frames, float64(found.Bytes)/1e6)
		found.PrintDamage(os.Stdout)
	}
	if !found.Complete() {
		return errDamaged
	}
	return nil
}

// missingInput returns err as a usageError if a file or directory is missing, else err itself.
func missingInput(err error) error {
	if errors.Is(err, os.ErrNotExist) {
		return usageError{err}
	}
	return err
}
