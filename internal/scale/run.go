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

// controller is a real one, as a process of its own.
type controller struct {
	name, zone, listen, peer string
	program                  string // the build that it runs
	process                  *process
	killed                   bool // by the run, until it is started again
	samples                  []Sample
}

// regionRun is one region of a run: its outside systems in one process, and its controllers.
type regionRun struct {
	plan        Plan
	process     *process
	commands    *json.Encoder
	output      *os.File // what its process writes, read through lines
	lines       *bufio.Scanner
	addrs       Addresses
	settings    string // path of its controllers' settings
	controllers []*controller
	snapshots   []Snapshot
}

// process is one that the run started.
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

// end ends the process, and waits until it has ended.
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

// run is one under way.
type run struct {
	opt     Options
	dir     string
	regions []*regionRun
	links   []*regionLink
	taken   map[string]bool // addresses of controllers
	broken  []string        // rules over all regions
}

// Run plays a run, and reports it. A rule that was broken is ErrRule, with the report of the run.
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

// close ends all processes and removes all files of the run.
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

// nameControllers names a region's controllers and takes their addresses.
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

// begin starts a region's outside systems and its controllers.
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

// Ports of controllers lie below those that the system gives to connections and to listeners that ask
// for any.
//
// Guard: a port that was tried and given back was taken by a hollow worker before its controller began.
const (
	leastPort = 18_000
	mostPort  = 32_000
	portTries = 200
)

// freeAddr finds a loopback address that nobody listens on, and that it has not named before.
func (r *run) freeAddr() (string, error) {
	for range portTries {
		addr := fmt.Sprintf("127.0.0.1:%d", leastPort+rand.IntN(mostPort-leastPort))
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
	// Guard: Wait closes the pipe of StdoutPipe when the process ends, although its last snapshot may not have
	// been read yet; the run then failed at its end (TestLastSnapshotAfterTheProcessEnded).
	output, write, err := os.Pipe()
	if err != nil {
		return err
	}
	g.output, cmd.Stdout = output, write
	g.process, err = start(cmd)
	_ = write.Close() // the process has its own
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
		defer func() { _ = f.Close() }() // the process has its own
		cmd.Stderr = f
	}
	var err error
	c.process, err = start(cmd)
	c.killed = false
	return err
}

// errEnded tells that a region's process ended before its time.
var errEnded = errors.New("scale: a region's process ended early")

// watch has the users begin, and follows the regions until they are through.
func (r *run) watch(ctx context.Context) error {
	type told struct {
		region   *regionRun
		snapshot Snapshot
		ok       bool
	}
	news := make(chan told)
	stop := make(chan struct{})
	defer close(stop)
	for _, g := range r.regions {
		if err := g.commands.Encode(Command{Start: true}); err != nil {
			return err
		}
		go func() {
			for {
				t := told{region: g, ok: g.lines.Scan()}
				t.ok = t.ok && json.Unmarshal(g.lines.Bytes(), &t.snapshot) == nil
				select {
				case news <- t:
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
	faults, use := r.faults(), newUseOfAll(r.regions[0].plan)
	defer func() { r.broken = use.broken }()
	for left := len(r.regions); left > 0; {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case t := <-news:
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

// checkRunning tells of a controller that ended without having been killed.
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

// at is how long the region's users have been at it, by its last snapshot.
func (g *regionRun) at() time.Duration {
	if len(g.snapshots) == 0 {
		return 0
	}
	return g.snapshots[len(g.snapshots)-1].At
}

// leader is the region's leader by its last snapshot; nil: none is known.
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

// backAfter is when a controller that was killed starts again.
const backAfter = 8 * time.Second

// faults returns a function that brings each fault about once its time has come.
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
				back, leaderDone = time.Now().Add(backAfter), true
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
