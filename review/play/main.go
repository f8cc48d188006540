// Command play plays the cases of the review: three controllers as processes among stand-ins, all on loopback
// addresses and on the real clock. It exits with 1 if a rule was broken, 0 if all held, and 2 if the case could not run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/marlwood/marlwood/internal/standin"
)

// longest is how long a case may take.
const longest = 117 * time.Second

// scene is what a case plays, in a cloud of some machine types. The rules are watched meanwhile.
type scene struct {
	play  func(w *world, trouble bool)
	types []*standin.Type
}

var scenes = map[string]scene{
	"begins-anew":          {beginsAnew, types(zones[:1], 1)},
	"restarted-owner":      {restartedOwner, types(zones, 8)},
	"late-acknowledgement": {lateAcknowledgement, types(zones, 8)},
	"machines-fail":        {machinesFail, types(zones, 8)},
}

func main() {
	record := flag.String("record", "record.txt", "where to write what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "bring about the disruption")
	flag.Parse()
	scene, known := scenes[flag.Arg(0)]
	if !known {
		must(errors.New("no such case"))
	}
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-ended:
			must(errors.New("interrupted"))
		case <-time.After(longest):
			must(errors.New("it takes too long"))
		}
	}()
	w := newWorld(*record, scene.types)
	stop := w.rules.watch()
	scene.play(w, *trouble)
	stop()
	w.close()
	for _, broken := range w.rules.broken {
		fmt.Println(broken)
	}
	if len(w.rules.broken) > 0 {
		os.Exit(1)
	}
	fmt.Println("no rule was broken")
}
