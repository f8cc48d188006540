package scale

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/marlwood/marlwood/internal/leadership"
	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/standin"
)

// RegionConfig is the first message to a region's process, as one line of JSON.
type RegionConfig struct {
	Plan  Plan
	Nodes map[string]string // addresses of the region's controllers, by name
}

// Addresses is the region process's answer to RegionConfig.
type Addresses struct{ State, Cloud string }

// Command is each later message to a region's process, one per line.
type Command struct {
	Start bool // start the users
	Fail  int  // number of machines to fail
}

// Snapshot is the message that a region's process sends every second.
type Snapshot struct {
	At        time.Duration // since the users started
	Leader    string
	Started   int
	Running   int
	Machines  int
	Requests  int64 // requests to the state service so far
	Writes    int64
	Users     UserCounts
	LongestMS int64 // longest time without a task start so far
	Killed    int   // number of tasks that ended because their machine's lease expired
	Samples   []UseSample
	Broken    []string
	Final     *Final // set in the last snapshot only
}

// Final holds the results that are reported only at the end.
type Final struct {
	Urgent, Ordinary *hdrhistogram.Snapshot // waits in microseconds
	Workers          []WorkerRate
}

// WorkerRate is one worker's traffic per second: bytes sent, bytes received, requests and heartbeats. Exited is the mean
// number of exited tasks in a heartbeat, ExitedMost the largest.
type WorkerRate struct{ Sent, Received, Requests, Heartbeats, Exited, ExitedMost float64 }

// ServeRegion simulates a region's external systems. It reads a RegionConfig and then Commands from in,
// and writes Addresses and then Snapshots to out. It returns after the plan's length, or when in or ctx ends.
func ServeRegion(ctx context.Context, in io.Reader, out io.Writer) error {
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, 1<<20)
	var cfg RegionConfig
	if !lines.Scan() {
		return fmt.Errorf("scale: no configuration: %w", lines.Err())
	}
	if err := json.Unmarshal(lines.Bytes(), &cfg); err != nil {
		return fmt.Errorf("scale: configuration: %w", err)
	}
	r := newRegion(cfg)
	defer r.close()
	tell := json.NewEncoder(out)
	if err := tell.Encode(Addresses{r.state.Listener.Addr().String(), r.cloud.Listener.Addr().String()}); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	commands := make(chan Command)
	go func() {
		defer cancel() // in was closed, so the run has ended
		for lines.Scan() {
			var c Command
			if json.Unmarshal(lines.Bytes(), &c) == nil {
				commands <- c
			}
		}
	}()
	return r.serve(ctx, commands, tell)
}

// region is the simulation of one region's external systems.
type region struct {
	plan  Plan
	state *standin.State
	cloud *standin.Cloud
	truth *truth
	users *users
	nodes map[string]string
	from  map[string]standin.Counts // workers' traffic at the start of the measurement, by machine
	since time.Time                 // start of the measurement
}

func newRegion(cfg RegionConfig) *region {
	r := &region{plan: cfg.Plan, state: standin.NewState(), truth: newTruth(cfg.Plan), nodes: cfg.Nodes}
	r.cloud = standin.NewCloud(standin.Options{Nodes: cfg.Nodes, Types: cfg.Plan.standinTypes(), Lease: leaseLength, Report: reportEvery,
		Soon: 500 * time.Millisecond, Jobs: r.state.Job, Callable: true, Observe: r.truth.observe,
		// The estimate, varied by up to a quarter; for a gang, exactly the estimate.
		Takes: func(j *model.Job, index int) time.Duration {
			if j.Shape == model.Gang {
				return j.Estimate
			}
			return time.Duration(float64(j.Estimate) * (0.75 + float64(index*7919%100)/200))
		}})
	return r
}

func (r *region) close() {
	r.cloud.Close()
	r.state.CloseClientConnections()
	r.state.Close()
}

// serve executes commands and sends a snapshot every second until the plan's length is over.
func (r *region) serve(ctx context.Context, commands <-chan Command, tell *json.Encoder) error {
	second := time.NewTicker(time.Second)
	defer second.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case c := <-commands:
			if c.Start && r.users == nil {
				if err := r.begin(ctx); err != nil {
					return err
				}
			}
			for range c.Fail {
				r.failOne()
			}
		case now := <-second.C:
			if r.users == nil {
				continue
			}
			r.truth.sweep(now)
			s := r.snapshot(now)
			if err := tell.Encode(s); err != nil {
				return err
			}
			if s.Final != nil {
				return nil
			}
		}
	}
}

// readyTimeout is how long the controllers may take to be ready.
const readyTimeout = time.Minute

// begin starts the users once all controllers are ready.
func (r *region) begin(ctx context.Context) error {
	ready, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	var addrs []string
	for _, a := range r.nodes {
		addrs = append(addrs, a)
	}
	for _, a := range addrs {
		for {
			resp, err := http.Get("http://" + a + "/up")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if !sleep(ready, 100*time.Millisecond) {
				return fmt.Errorf("scale: the controller at %s is not ready", a)
			}
		}
	}
	r.users = newUsers(r.plan, addrs, r.truth)
	r.users.run(ctx)
	go r.sampleUse(ctx)
	return nil
}

// sampleUse samples the CPUs that teams use, at times that are the same in all regions.
func (r *region) sampleUse(ctx context.Context) {
	for {
		now := time.Now()
		if !sleep(ctx, now.Truncate(sampleEvery).Add(sampleEvery).Sub(now)) {
			return
		}
		r.truth.sample(time.Now())
	}
}

func (r *region) failOne() {
	names := r.cloud.Machines()
	if len(names) > 0 {
		r.cloud.Fail(names[rand.IntN(len(names))])
	}
}

func (r *region) snapshot(now time.Time) Snapshot {
	broken, longest, samples := r.truth.take()
	s := Snapshot{At: now.Sub(r.users.began), Started: r.cloud.Started(), Running: r.cloud.Running(), Machines: len(r.cloud.Machines()),
		LongestMS: longest.Milliseconds(), Killed: r.cloud.Killed(), Samples: samples, Broken: append(broken, r.cloud.Broken()...)}
	s.Requests, s.Writes = r.state.RequestCounts()
	var v leadership.LeaderRecord
	if json.Unmarshal(r.state.Value(leadership.Key), &v) == nil {
		s.Leader = v.Member
	}
	r.users.mu.Lock()
	s.Users = r.users.counts
	r.users.mu.Unlock()
	if r.from == nil && s.At > r.plan.Length/2 { // the machines are up
		r.from, r.since = r.cloud.Traffic(), now
	}
	if s.At >= r.plan.Length {
		s.Final = r.final(now)
	}
	return s
}

func (r *region) final(now time.Time) *Final {
	f := &Final{}
	seconds := now.Sub(r.since).Seconds()
	for name, to := range r.cloud.Traffic() {
		from, there := r.from[name]
		if !there || seconds <= 0 {
			continue
		}
		f.Workers = append(f.Workers, WorkerRate{
			Sent:       float64(to.Sent-from.Sent) / seconds,
			Received:   float64(to.Received-from.Received) / seconds,
			Requests:   float64(to.Requests-from.Requests) / seconds,
			Heartbeats: float64(to.Heartbeats-from.Heartbeats) / seconds,
			Exited:     float64(to.Exited-from.Exited) / max(1, float64(to.Heartbeats-from.Heartbeats)),
			ExitedMost: float64(to.ExitedMost),
		})
	}
	r.users.mu.Lock()
	defer r.users.mu.Unlock()
	f.Urgent, f.Ordinary = r.users.urgent.Export(), r.users.ordinary.Export()
	return f
}
