// Command cmd runs randomly drawn schedules of faults until one breaks a rule or the time is up. It shrinks a
// schedule that breaks a rule and prints it.
package main

import (
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/alecthomas/kong"
	"pgregory.net/rapid"

	"github.com/marlwood/marlwood/internal/simtest"
)

type cli struct {
	Run     runCmd     `cmd:"" default:"withargs" help:"Explore until a rule is broken or the time is up."`
	Regions regionsCmd `cmd:"" help:"Explore schedules of three regions that share teams' limits."`
	Mutants mutantsCmd `cmd:"" help:"Try the explorer on mistakes that weaken one guard each. Run in the project's root."`
}

type runCmd struct {
	Seed    uint64        `help:"First schedule; the next ones follow it." default:"1"`
	For     time.Duration `help:"How long to explore." default:"1m"`
	Most    uint64        `help:"Most schedules; 0: no bound."`
	Workers int           `help:"Schedules at once; 0: one a processor."`
	Draw    string        `help:"What to draw: faults; those and meetings; those and further troubles, or priorities and saves; workers that restart; controllers that restart one after the other; calls that were answered and arrive again; operators whose requests are held or arrive again; of the last six, priorities for every third seed, restarts and rolling for every sixth each, such calls and such requests for every twelfth each (all)." enum:"all,faults,meetings,further,preempting,restarts,rolling,latecalls,operators" default:"all"`
	Repeat  bool          `help:"Play the schedule of --seed alone and tell its story."`
	Log     slog.Level    `help:"What controllers log is told from this level on: debug, info, warn, error." default:"error"`
	Shrink  time.Duration `help:"How long to make a finding smaller." default:"30s"`
}

// errFound ends the program with status 1.
var errFound = errors.New("a rule was broken")

func main() {
	var c cli
	ctx := kong.Parse(&c, kong.Name("explore"), kong.Description("Explore schedules of faults in virtual time."))
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "explore: "+err.Error())
		os.Exit(1)
	}
}

// Run explores.
func (c *runCmd) Run() error {
	if c.Repeat {
		return c.printStory(c.plans(c.Seed).Example(int(c.Seed)), c.Seed)
	}
	debug.SetGCPercent(800) // a finished schedule leaves almost nothing alive
	workers := c.Workers
	if workers == 0 {
		workers = runtime.NumCPU()
	}
	var next, played, starts, leaseKilled, found atomic.Uint64
	var met eventCounts
	next.Store(c.Seed)
	began := time.Now()
	var group sync.WaitGroup
	for range workers {
		group.Go(func() {
			for found.Load() == 0 && time.Since(began) < c.For {
				seed := next.Add(1) - 1
				if c.Most > 0 && seed >= c.Seed+c.Most {
					return
				}
				out := simtest.Run(c.plans(seed).Example(int(seed)), nil, 0)
				played.Add(1)
				starts.Add(uint64(out.Starts))
				leaseKilled.Add(uint64(out.LeaseKilled))
				met.add(out.Met)
				if out.Broken != "" {
					found.CompareAndSwap(0, seed)
				}
			}
		})
	}
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(10 * time.Second):
				fmt.Fprintf(os.Stderr, "%v: %d schedules, %d starts\n", time.Since(began).Round(time.Second), played.Load(), starts.Load())
			}
		}
	}()
	group.Wait()
	close(done)
	took := time.Since(began)
	fmt.Printf("%d schedules in %v on %d workers (%.0f a second), %d starts of tasks, %d tasks ended with a lease\n", played.Load(), took.Round(time.Millisecond), workers,
		float64(played.Load())/took.Seconds(), starts.Load(), leaseKilled.Load())
	fmt.Println(met.String())
	seed := found.Load()
	if seed == 0 {
		fmt.Println("no rule was broken")
		return nil
	}
	fmt.Printf("seed %d breaks %s; making it smaller\n", seed, simtest.Run(c.plans(seed).Example(int(seed)), nil, 0).Broken)
	return c.printStory(shrink(c.plans(seed), seed, c.Shrink), seed)
}

// eventCounts adds up the events of schedules, and the schedules in which each kind of event occurred. It is safe for
// concurrent use.
type eventCounts struct {
	mu                sync.Mutex
	events, schedules [simtest.MetKinds]int
}

func (c *eventCounts) add(met [simtest.MetKinds]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for kind, n := range met {
		c.events[kind] += n
		if n > 0 {
			c.schedules[kind]++
		}
	}
}

// String lists the kinds of events with how often each occurred, and in how many schedules.
func (c *eventCounts) String() string {
	var kinds []string
	for kind := range simtest.MetKinds {
		kinds = append(kinds, fmt.Sprintf("%v %d (in %d)", kind, c.events[kind], c.schedules[kind]))
	}
	return "events, and in how many schedules: " + strings.Join(kinds, ", ")
}

// drawn returns the name of the generator that draws the schedule of a seed.
func (c *runCmd) drawn(seed uint64) string {
	switch {
	case c.Draw != "all":
		return c.Draw
	case seed%3 == 0:
		return "preempting"
	case seed%6 == 1:
		return "restarts"
	case seed%6 == 5:
		return "rolling"
	case seed%12 == 4:
		return "latecalls"
	case seed%12 == 8:
		return "operators"
	}
	return "further"
}

// plans returns the generator that draws the schedule of a seed.
func (c *runCmd) plans(seed uint64) *rapid.Generator[simtest.Plan] {
	return map[string]*rapid.Generator[simtest.Plan]{"faults": simtest.Plans, "meetings": simtest.OverlappingFaults, "further": simtest.RareFaults,
		"preempting": simtest.Preempting, "restarts": simtest.RestartedWorkers, "rolling": simtest.RollingRestarts, "latecalls": simtest.LateCalls, "operators": simtest.OperatorRequests}[c.drawn(seed)]
}

// printStory prints a schedule's story.
func (c *runCmd) printStory(p simtest.Plan, seed uint64) error {
	var story strings.Builder
	out := simtest.Run(p, &story, c.Log)
	fmt.Printf("%d jobs, %d faults, at most %d machines:\n%s", len(p.Jobs), len(p.Faults), p.Machines, story.String())
	if out.Broken == "" {
		fmt.Println("no rule was broken")
		return nil
	}
	return fmt.Errorf("%w: %s; --seed %d --repeat --draw %s plays it as it was found", errFound, out.Broken, seed, c.drawn(seed))
}

// shrink uses rapid to find a smaller schedule that still breaks the same rule.
func shrink(plans *rapid.Generator[simtest.Plan], seed uint64, atMost time.Duration) simtest.Plan {
	testing.Init() // rapid reads the test flags
	if err := flag.CommandLine.Parse(nil); err != nil {
		panic(err)
	}
	for name, value := range map[string]string{"rapid.seed": fmt.Sprint(seed), "rapid.checks": "1", "rapid.nofailfile": "true",
		"rapid.shrinktime": atMost.String()} {
		if err := flag.Set(name, value); err != nil {
			panic(err) // the library no longer has this flag
		}
	}
	smallest := plans.Example(int(seed))
	rule := simtest.Run(smallest, nil, 0).Broken
	rapid.Check(&recorder{}, func(t *rapid.T) {
		p := plans.Draw(t, "plan")
		if out := simtest.Run(p, nil, 0); out.Broken == rule {
			smallest = p
			t.Fatalf("%s", out.Broken)
		}
	})
	return smallest
}

// recorder implements rapid's test interface outside of a test and records whether a failure was reported.
type recorder struct{ failed bool }

// Helper does nothing.
func (*recorder) Helper() {}

// Name returns the name under which failures are reported.
func (*recorder) Name() string { return "explore" }

// Logf drops the message: the story of the schedule is printed instead.
func (*recorder) Logf(string, ...any) {}

// Log drops the message.
func (*recorder) Log(...any) {}

// Skipf does nothing: no property skips its test.
func (*recorder) Skipf(string, ...any) {}

// Skip does nothing.
func (*recorder) Skip(...any) {}

// SkipNow does nothing.
func (*recorder) SkipNow() {}

// Errorf records a failure.
func (r *recorder) Errorf(string, ...any) { r.failed = true }

// Error records a failure.
func (r *recorder) Error(...any) { r.failed = true }

// Fatalf records a failure; the property ends by itself.
func (r *recorder) Fatalf(string, ...any) { r.failed = true }

// Fatal records a failure.
func (r *recorder) Fatal(...any) { r.failed = true }

// FailNow records a failure.
func (r *recorder) FailNow() { r.failed = true }

// Fail records a failure.
func (r *recorder) Fail() { r.failed = true }

// Failed reports whether a failure was recorded.
func (r *recorder) Failed() bool { return r.failed }
