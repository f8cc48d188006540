package main

import (
	"fmt"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/marlwood/marlwood/internal/simtest"
)

type regionsCmd struct {
	Seed    uint64        `help:"First schedule; the next ones follow it." default:"1"`
	For     time.Duration `help:"How long to explore." default:"1m"`
	Workers int           `help:"Schedules at once; 0: one a processor."`
	Repeat  bool          `help:"Play the schedule of --seed alone and tell its story."`
}

// Run explores schedules of three regions.
func (c *regionsCmd) Run() error {
	if c.Repeat {
		return c.printStory(c.Seed)
	}
	debug.SetGCPercent(800) // a finished schedule leaves almost nothing alive
	if c.Workers == 0 {
		c.Workers = runtime.NumCPU()
	}
	var next, played, starts, found atomic.Uint64
	next.Store(c.Seed)
	began := time.Now()
	var group sync.WaitGroup
	for range c.Workers {
		group.Go(func() {
			for found.Load() == 0 && time.Since(began) < c.For {
				seed := next.Add(1) - 1
				broken, n := simtest.RunRegions(simtest.DrawRegions(seed), nil)
				played.Add(1)
				starts.Add(uint64(n))
				if broken != "" {
					found.CompareAndSwap(0, seed)
				}
			}
		})
	}
	group.Wait()
	fmt.Printf("%d schedules of three regions in %v on %d workers, %d starts of tasks\n", played.Load(),
		time.Since(began).Round(time.Millisecond), c.Workers, starts.Load())
	if seed := found.Load(); seed != 0 {
		return c.printStory(seed)
	}
	fmt.Println("no rule was broken")
	return nil
}

// printStory prints a schedule's story.
func (c *regionsCmd) printStory(seed uint64) error {
	var story strings.Builder
	broken, _ := simtest.RunRegions(simtest.DrawRegions(seed), &story)
	fmt.Print(story.String())
	if broken == "" {
		fmt.Println("no rule was broken")
		return nil
	}
	return fmt.Errorf("%w: %s; regions --seed %d --repeat plays it as it was found", errFound, broken, seed)
}
