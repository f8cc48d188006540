package scale

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/marlwood/marlwood/internal/lab"
)

// controller is a real controller that runs as a separate process.
type controller struct {
	name, zone, listen, peer string
	program                  string // path of the build that it runs
	process                  *process
	killed                   bool // the run killed it and has not restarted it
	samples                  []Sample
}

// regionRun is one region of a run: the process that simulates its external systems, and its controllers.
type regionRun struct {
	plan        Plan
	process     *process
	commands    *json.Encoder
	output      *os.File // output of its process, read through lines
	lines       *bufio.Scanner
	addrs       Addresses
	settings    string // path of its controllers' settings
	controllers []*controller
	snapshots   []Snapshot
}

// process is a child process of the run.
type process struct {
	cmd   *exec.Cmd
	ended chan struct{}
}

func start(cmd *exec.Cmd) (*process, error) {
	cmd.SysProcAttr = lab.ChildAttr()
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("scale: %s: %w", filepath.Base(cmd.Path), err)
	}
	p := &process{cmd: cmd, ended: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.ended)
	}()
	return p, nil
}

// end signals the process and waits until it has ended. It kills the process after 3 s.
func (p *process) end(signal os.Signal) {
	if p == nil {
		return
	}
	_ = p.cmd.Process.Signal(signal)
	select {
	case <-p.ended:
	case <-time.After(3 * time.Second):
		_ = p.cmd.Process.Kill()
		<-p.ended
	}
}

// run is a run in progress.
type run struct {
	opt     Options
	dir     string
	regions []*regionRun
	links   []*regionLink
	taken   map[string]bool // addresses given to controllers
	broken  []string        // violations of rules that concern all regions together
}

// Run executes a run and returns its report. If a rule was broken, it returns the report and an error that wraps
// ErrRule.
func Run(ctx context.Context, o Options) (*Report, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "marlwood-scale-")
	if err != nil {
		return nil, err
	}
	r := &run{opt: o, dir: dir, taken: map[string]bool{}}
	defer r.close()
	for i := range regionsPlanned {
		g := &regionRun{plan: planRegion(o, i)}
		r.regions = append(r.regions, g)
		if err := r.nameControllers(g); err != nil {
			return nil, err
		}
	}
	for _, g := range r.regions {
		if err := r.begin(g); err != nil {
			return nil, err
		}
	}
	if err := r.watch(ctx); err != nil {
		return nil, err
	}
	out := r.report()
	out.Broken = append(out.Broken, r.broken...)
	if len(out.Broken) > 0 {
		return out, fmt.Errorf("%w: %s", ErrRule, out.Broken[0])
	}
	return out, nil
}

// close ends all processes of the run and removes its files.
func (r *run) close() {
	for _, k := range r.links {
		_ = k.Close()
	}
	for _, g := range r.regions {
		for _, c := range g.controllers {
			c.process.end(syscall.SIGTERM)
		}
		g.process.end(syscall.SIGTERM)
		if g.output != nil {
			_ = g.output.Close()
		}
	}
	_ = os.RemoveAll(r.dir)
}

// nameControllers gives a region's controllers their names, builds and addresses.
func (r *run) nameControllers(g *regionRun) error {
	for i := range controllersEach {
		c := &controller{name: fmt.Sprintf("%s-c%d", g.plan.Region, i+1), zone: g.plan.Zones[i%len(g.plan.Zones)], program: r.opt.Program}
		if i%2 == 1 && r.opt.OtherProgram != "" {
			c.program = r.opt.OtherProgram
		}
		for _, a := range []*string{&c.listen, &c.peer} {
			addr, err := r.freeAddr()
			if err != nil {
				return err
			}
			*a = addr
		}
		g.controllers = append(g.controllers, c)
	}
	return nil
}

// begin starts the simulation of a region's external systems, and its controllers.
func (r *run) begin(g *regionRun) error {
	cfg := RegionConfig{Plan: g.plan, Nodes: map[string]string{}}
	for _, c := range g.controllers {
		cfg.Nodes[c.name] = c.listen
	}
	if err := r.linkRegion(g); err != nil {
		return err
	}
	if err := r.startRegion(g, cfg); err != nil {
		return err
	}
	for _, c := range g.controllers {
		if err := r.startController(g, c); err != nil {
			return err
		}
	}
	return nil
}

// The range of controllers' ports. It lies below the ports that the system assigns to connections and to listeners
// that ask for any port.
//
// Guard: when freeAddr found a port free and released it, a hollow worker took the port before its controller started.
const (
	minPort   = 18_000
	maxPort   = 32_000
	portTries = 200
)

// freeAddr returns a loopback address that nobody listens on and that it has not returned before.
func (r *run) freeAddr() (string, error) {
	for range portTries {
		addr := fmt.Sprintf("127.0.0.1:%d", minPort+rand.IntN(maxPort-minPort))
		if r.taken[addr] {
			continue
		}
		l, err := net.Listen("tcp4", addr)
		if err != nil {
			continue
		}
		_ = l.Close()
		r.taken[addr] = true
		return addr, nil
	}
	return "", errors.New("scale: no loopback address is free")
}

func (r *run) startRegion(g *regionRun, cfg RegionConfig) error {
	cmd := exec.Command(r.opt.Region[0], r.opt.Region[1:]...)
	cmd.Stderr = os.Stderr
	in, err := cmd.StdinPipe()
	if err != nil {
		return err
	}
	// Guard: with StdoutPipe, Wait closes the pipe when the process ends, although its last snapshot may not have
	// been read yet; the run then failed at its end (TestLastSnapshotAfterTheProcessEnded).
	output, write, err := os.Pipe()
	if err != nil {
		return err
	}
	g.output, cmd.Stdout = output, write
	g.process, err = start(cmd)
	_ = write.Close() // the process has its own copy
	if err != nil {
		return err
	}
	g.commands, g.lines = json.NewEncoder(in), bufio.NewScanner(output)
	g.lines.Buffer(nil, 64<<20)
	if err := g.commands.Encode(cfg); err != nil {
		return err
	}
	if !g.lines.Scan() {
		return fmt.Errorf("scale: the process of region %s ended", g.plan.Region)
	}
	return json.Unmarshal(g.lines.Bytes(), &g.addrs)
}

func (r *run) startController(g *regionRun, c *controller) error {
	path := filepath.Join(r.dir, c.name+".json")
	if err := writePlatform(path, g, c); err != nil {
		return err
	}
	cmd := exec.Command(c.program, "serve", "--config", path, "--settings", g.settings)
	cmd.Env = append(os.Environ(), "LOG_LEVEL=info")
	cmd.Stderr = io.Discard
	if r.opt.Log != "" {
		f, err := os.OpenFile(filepath.Join(r.opt.Log, c.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return err
		}
		defer func() { _ = f.Close() }() // the process has its own copy
		cmd.Stderr = f
	}
	var err error
	c.process, err = start(cmd)
	c.killed = false
	return err
}

// errEnded reports that a region's process ended before its last snapshot.
var errEnded = errors.New("scale: a region's process ended early")

// watch starts the users, then collects the regions' snapshots and injects faults until all regions have finished.
func (r *run) watch(ctx context.Context) error {
	type message struct {
		region   *regionRun
		snapshot Snapshot
		ok       bool
	}
	messages := make(chan message)
	stop := make(chan struct{})
	defer close(stop)
	for _, g := range r.regions {
		if err := g.commands.Encode(Command{Start: true}); err != nil {
			return err
		}
		go func() {
			for {
				t := message{region: g, ok: g.lines.Scan()}
				t.ok = t.ok && json.Unmarshal(g.lines.Bytes(), &t.snapshot) == nil
				select {
				case messages <- t:
				case <-stop:
					return
				}
				if !t.ok || t.snapshot.Final != nil {
					return
				}
			}
		}()
	}
	bound, err := memoryBound()
	if err != nil {
		return err
	}
	second := time.NewTicker(time.Second)
	defer second.Stop()
	faults, use := r.faults(), newGlobalUsage(r.regions[0].plan)
	defer func() { r.broken = use.broken }()
	for left := len(r.regions); left > 0; {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case t := <-messages:
			if !t.ok {
				return fmt.Errorf("%w: %s", errEnded, t.region.plan.Region)
			}
			use.add(t.snapshot.Samples)
			t.snapshot.Samples = nil
			t.region.snapshots = append(t.region.snapshots, t.snapshot)
			if t.snapshot.Final != nil {
				left--
			}
		case <-second.C:
			if memory := r.sample(); memory > bound {
				return fmt.Errorf("%w: the processes take %d MB", ErrCapacity, memory>>20)
			}
			if err := faults(); err != nil {
				return err
			}
			if err := r.checkRunning(); err != nil {
				return err
			}
		}
	}
	return nil
}

// checkRunning returns an error if a controller ended that the run had not killed.
func (r *run) checkRunning() error {
	for _, g := range r.regions {
		for _, c := range g.controllers {
			select {
			case <-c.process.ended:
				if !c.killed {
					return fmt.Errorf("scale: controller %s ended", c.name)
				}
			default:
			}
		}
	}
	return nil
}

// at returns the time since the region's users started, as of its last snapshot.
func (g *regionRun) at() time.Duration {
	if len(g.snapshots) == 0 {
		return 0
	}
	return g.snapshots[len(g.snapshots)-1].At
}

// leader returns the region's leader as of its last snapshot, or nil if none is known.
func (g *regionRun) leader() *controller {
	if len(g.snapshots) == 0 {
		return nil
	}
	for _, c := range g.controllers {
		if c.name == g.snapshots[len(g.snapshots)-1].Leader {
			return c
		}
	}
	return nil
}

// restartDelay is the time after which a killed controller is restarted.
const restartDelay = 8 * time.Second

// faults returns a function that injects each fault once its time has come. It is called every second.
func (r *run) faults() func() error {
	first := r.regions[0]
	var killed *controller
	var back time.Time
	leaderDone, machinesDone := r.opt.KillLeader == 0, r.opt.KillMachines == 0
	return func() error {
		if !leaderDone && first.at() >= r.opt.KillLeader {
			if killed = first.leader(); killed != nil {
				killed.killed = true
				killed.process.end(syscall.SIGKILL)
				back, leaderDone = time.Now().Add(restartDelay), true
			}
		}
		if killed != nil && time.Now().After(back) {
			c := killed
			killed = nil
			return r.startController(first, c)
		}
		r.cutRegion()
		if !machinesDone && first.at() >= r.opt.KillAt {
			machinesDone = true
			for _, g := range r.regions {
				if err := g.commands.Encode(Command{Fail: r.opt.KillMachines}); err != nil {
					return err
				}
			}
		}
		return nil
	}
}
