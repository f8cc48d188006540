package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/standin"
)

// longest is how long a case may take.
const longest = 118 * time.Second

// Exit statuses of a case.
const (
	held      = 0
	ruleBroke = 1
	cannotRun = 2
)

// play is a case: the site that it runs on and what happens there. trouble is false for the run without the disruption.
type play struct {
	site func() site
	do   func(w *world, trouble bool) error
}

var plays = map[string]play{
	"held-drain":      {heldDrainSite, heldDrain},
	"large-gang":      {largeGangSite, largeGang},
	"broken-settings": {brokenSettingsSite, brokenSettings},
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review-second CASE RECORD; it is run in the repository's root")
		os.Exit(cannotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, recordPath string) int {
	p, ok := plays[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return cannotRun
	}
	record, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer func() { _ = record.Close() }()
	root, err := filepath.Abs(".")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	w := newWorld(p.site(), root, record)
	defer w.close()
	w.endEarly()
	if err = w.start(); err == nil {
		err = p.do(w, os.Getenv("TROUBLE") != "0")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		w.logf("the case could not run: %v", err)
		return cannotRun
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.line("%d starts, %d times a rule was broken", w.starts, len(w.broken))
	for _, b := range w.broken {
		fmt.Println(b)
	}
	if len(w.broken) > 0 {
		return ruleBroke
	}
	fmt.Println("the rules held")
	return held
}

// endEarly ends the case and all that it started if it takes too long or is told to end.
func (w *world) endEarly() {
	told := make(chan os.Signal, 1)
	signal.Notify(told, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-told:
		case <-time.After(longest):
		}
		fmt.Fprintln(os.Stderr, "the case takes too long, or was told to end")
		w.close()
		os.Exit(cannotRun)
	}()
}

// planimetra is a small deployment with the settings of the brief's first site, but for gang_wait_s, which is that of the stand-in.
func planimetra() site {
	zones := []string{"bovisa", "lambrate", "citta-studi"}
	return site{
		zones: zones,
		types: []*standin.Type{
			{Name: "robusto", Size: model.Size{CPUs: 32, MemoryGB: 256}, CacheGB: 80, FetchGBPerS: 0.5, Price: 1.74, SpotPrice: 0.67,
				Boot: 5 * time.Second, Zones: zones, Limit: 4},
		},
		teams:  []team{{"rilievi", 24, 64}, {"grafo", 24, 64}, {"tessere", 32, 88}, {"percorsi", 40, 88}, {"clienti", 24, 88}, {"ricerca", 40, 112}},
		report: time.Second, lease: 10 * time.Second, cancel: 35 * time.Second, gangWait: 30 * time.Second, gangPeer: 6 * time.Second,
		stateRPS: 250, writeRPS: 60, valueKB: 16,
		takes: func(j *model.Job, _ int) time.Duration { return j.Estimate },
	}
}
