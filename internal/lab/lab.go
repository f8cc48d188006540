package lab

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/marlwood/marlwood/internal/loopback"
	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/standin"
)

// Controllers holds the names of a lab's controllers.
var Controllers = []string{"berth-1", "berth-2", "berth-3"}

// Options configures a lab.
type Options struct {
	Program   string    // path of the marlwood program
	Scenario  *Scenario // machine types, teams and jobs
	Speed     float64   // factor by which users and machines are faster
	Operators []string  // addresses of the controllers for operators; an address in use is replaced by another
	Control   string    // address that accepts requests to inject faults
	Log       io.Writer // output of the controllers
}

// The lab's protocol times, which --speed does not change.
const (
	reportEvery = time.Second
	lease       = 8 * time.Second
	cancelWait  = 24 * time.Second
)

// Lab is a running lab. Close ends it and removes its files.
type Lab struct {
	opt   Options
	dir   string
	state *standin.State
	cloud *standin.Cloud
	users *users
	links map[[2]string]*standin.Link // by caller and callee

	reservations []*loopback.Reservation // addresses of the controllers and of fault injection
	stop         context.CancelFunc
	web          net.Listener

	mu    sync.Mutex
	nodes []*node
}

// node is one controller process.
type node struct {
	name, zone              string
	listen, peer, operators string
	cmd                     *exec.Cmd
	ended                   chan struct{}
}

// reserveAddr reserves an address for the lifetime of the lab: the wanted one if nobody listens there, or else any.
//
// Guard: when the lab only looked for free addresses and released them, other programs took them before the controllers
// listened on them, or while a controller was down (TestAddressesStayReserved).
func (l *Lab) reserveAddr(wanted string) (string, error) {
	reservation, err := reserveWanted(wanted)
	if err != nil {
		reservation, err = loopback.Reserve(0)
	}
	if err != nil {
		return "", fmt.Errorf("lab: no loopback address is free: %w", err)
	}
	l.reservations = append(l.reservations, reservation)
	return reservation.Addr(), nil
}

// reserveWanted reserves a given address of the loopback interface.
func reserveWanted(wanted string) (*loopback.Reservation, error) {
	addr, err := net.ResolveTCPAddr("tcp4", wanted)
	if err != nil {
		return nil, err
	}
	if addr.Port == 0 || !addr.IP.IsLoopback() {
		return nil, fmt.Errorf("lab: no port of the loopback interface: %q", wanted)
	}
	return loopback.Share(addr.Port)
}

// Start starts a lab.
func Start(opt Options) (*Lab, error) {
	l := &Lab{opt: opt, links: map[[2]string]*standin.Link{}}
	if err := l.start(); err != nil {
		l.Close()
		return nil, err
	}
	return l, nil
}

func (l *Lab) start() (err error) {
	if l.dir, err = os.MkdirTemp("", "marlwood-lab-"); err != nil {
		return err
	}
	l.state = standin.NewState()
	addrs := map[string]string{}
	for i, name := range Controllers {
		n := &node{name: name, zone: l.opt.Scenario.Zones[i%len(l.opt.Scenario.Zones)]}
		wanted := ""
		if i < len(l.opt.Operators) {
			wanted = l.opt.Operators[i]
		}
		for _, a := range []struct {
			to     *string
			wanted string
		}{{&n.listen, ""}, {&n.peer, ""}, {&n.operators, wanted}} {
			if *a.to, err = l.reserveAddr(a.wanted); err != nil {
				return err
			}
		}
		addrs[name] = n.listen
		l.nodes = append(l.nodes, n)
	}
	l.cloud = standin.NewCloud(standin.Options{Nodes: addrs, Types: l.opt.Scenario.machineTypes(), Lease: lease, Report: reportEvery,
		Soon: 250 * time.Millisecond, Speed: l.opt.Speed, Jobs: l.state.Job, Takes: l.takes, Fails: l.opt.Scenario.fails})
	for _, n := range l.nodes {
		if err := l.configure(n); err != nil {
			return err
		}
		if err := l.run(n); err != nil {
			return err
		}
	}
	if err := l.control(); err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	l.stop = stop
	l.users = newUsers(l.opt.Scenario, l.Users(), l.opt.Speed)
	l.users.run(ctx)
	return nil
}

// takes returns the run time of a task: the estimate of its job, varied by up to a quarter with a hash of the job id
// and the task's index, so that it is the same at each call. The tasks of a gang run for exactly the estimate.
func (l *Lab) takes(j *model.Job, index int) time.Duration {
	h := uint32(index)*2654435761 + 1
	for _, c := range []byte(j.ID) {
		h = h*31 + uint32(c)
	}
	part := 0.75 + 0.5*float64(h%1000)/1000
	if j.Shape == model.Gang {
		part = 1
	}
	return time.Duration(float64(j.Estimate) * part / l.opt.Speed)
}

// link creates a link from a controller to an address, and returns the address of the link itself.
func (l *Lab) link(from, to, addr string) (string, error) {
	k, err := standin.NewLink("127.0.0.1:0", addr)
	if err != nil {
		return "", err
	}
	l.links[[2]string{from, to}] = k
	return k.Addr().String(), nil
}

// configure creates a controller's links and writes its configuration and settings files.
func (l *Lab) configure(n *node) error {
	type sibling struct {
		Member   string `json:"member"`
		Location string `json:"location"`
		Endpoint string `json:"endpoint"`
	}
	var siblings []sibling
	for _, o := range l.nodes {
		if o == n {
			continue
		}
		addr, err := l.link(n.name, o.name, o.peer)
		if err != nil {
			return err
		}
		siblings = append(siblings, sibling{o.name, o.zone, addr})
	}
	state, err := l.link(n.name, "store", l.state.Listener.Addr().String())
	if err != nil {
		return err
	}
	cloud, err := l.link(n.name, "cloud", l.cloud.Listener.Addr().String())
	if err != nil {
		return err
	}
	teams := []map[string]any{}
	for _, t := range l.opt.Scenario.Teams {
		teams = append(teams, map[string]any{"name": t.Name, "cpus": t.Guarantee, "cpus_max": t.Limit})
	}
	text, err := json.MarshalIndent(map[string]any{"member": n.name, "location": n.zone, "listen": n.listen, "peer_listen": n.peer,
		"siblings": siblings, "endpoints": map[string]any{"cloud": cloud, "state": state},
		"deployment": map[string]any{"teams": teams,
			"workers": map[string]any{"report_s": reportEvery.Seconds(), "lease_s": lease.Seconds(), "cancel_s": cancelWait.Seconds()},
			"state":   map[string]any{"rps": 400, "write_rps": 100, "value_kb": 16, "txn_ops": 16},
			"cloud":   map[string]any{"rps": 10}, "quota": map[string]any{"mem_mb": 200, "sockets": 1000}}}, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(l.path(n, "json"), text, 0o600); err != nil {
		return err
	}
	return os.WriteFile(l.path(n, "sexp"), fmt.Appendf(nil, "(marlwood\n  (operators\n    (listen %q)\n    (plaintext \"yes\")))\n", n.operators), 0o600)
}

func (l *Lab) path(n *node, kind string) string { return filepath.Join(l.dir, n.name+"."+kind) }

// run starts a controller's process.
func (l *Lab) run(n *node) error {
	cmd := exec.Command(l.opt.Program, "serve", "--config", l.path(n, "json"), "--settings", l.path(n, "sexp"))
	cmd.Stdout, cmd.Stderr = l.opt.Log, l.opt.Log
	cmd.SysProcAttr = ChildAttr()
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("lab: %s: %w", n.name, err)
	}
	ended := make(chan struct{})
	l.mu.Lock()
	n.cmd, n.ended = cmd, ended
	l.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	return nil
}

// Up reports which controllers run.
func (l *Lab) Up() map[string]bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string]bool{}
	for _, n := range l.nodes {
		select {
		case <-n.ended:
			out[n.name] = false
		default:
			out[n.name] = true
		}
	}
	return out
}

// Users returns the addresses where users submit jobs.
func (l *Lab) Users() (out []string) {
	for _, n := range l.nodes {
		out = append(out, n.listen)
	}
	return out
}

// Operators returns the addresses for operators.
func (l *Lab) Operators() (out []string) {
	for _, n := range l.nodes {
		out = append(out, n.operators)
	}
	return out
}

// Control returns the address that accepts requests to inject faults.
func (l *Lab) Control() string { return l.web.Addr().String() }

// Broken returns the violations of the protocol's rules that the simulated machines observed.
func (l *Lab) Broken() []string { return l.cloud.Broken() }

// Counts returns the numbers of jobs and tasks as observed by users and machines.
func (l *Lab) Counts() Counts {
	c := l.users.counts()
	c.Started, c.Running, c.Machines, c.WastedCPUTime = l.cloud.Started(), l.cloud.Running(), len(l.cloud.Machines()), l.cloud.WastedCPUTime()
	c.RepeatedCalls, _ = l.cloud.RepeatedCalls()
	return c
}

// Counts holds numbers of jobs as observed by users, and of tasks as observed by machines.
type Counts struct {
	Submitted, Accepted, Done, Cancelled int
	Started, Running, Machines           int
	RepeatedCalls                        int           // direct calls that arrived once more after they were answered
	WastedCPUTime                        time.Duration // CPU time of tasks that ended neither done nor checkpointed
}

// shutdownTimeout is how long a controller may take to exit after SIGTERM.
const shutdownTimeout = 3 * time.Second

// Close ends the controllers and removes the lab's files.
func (l *Lab) Close() {
	if l.stop != nil {
		l.stop()
	}
	if l.web != nil {
		_ = l.web.Close()
	}
	for _, n := range l.nodes {
		if n.cmd != nil {
			_ = n.cmd.Process.Signal(syscall.SIGTERM)
		}
	}
	late := time.After(shutdownTimeout)
	for _, n := range l.nodes {
		if n.cmd == nil {
			continue
		}
		select {
		case <-n.ended:
		case <-late:
			_ = n.cmd.Process.Kill()
			<-n.ended
		}
	}
	for _, k := range l.links {
		_ = k.Close()
	}
	if l.cloud != nil {
		l.cloud.Close()
	}
	if l.state != nil {
		l.state.CloseClientConnections()
		l.state.Close()
	}
	for _, reservation := range l.reservations {
		_ = reservation.Close()
	}
	if l.dir != "" {
		_ = os.RemoveAll(l.dir)
	}
}

// control serves requests to inject faults.
func (l *Lab) control() error {
	addr, err := l.reserveAddr(l.opt.Control)
	if err != nil {
		return err
	}
	if l.web, err = net.Listen("tcp4", addr); err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /fault", func(w http.ResponseWriter, r *http.Request) {
		var f Fault
		err := json.NewDecoder(io.LimitReader(r.Body, 4<<10)).Decode(&f)
		if err == nil {
			err = l.Fault(f)
		}
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			_ = json.NewEncoder(w).Encode(map[string]string{"error": err.Error()})
			return
		}
		_ = json.NewEncoder(w).Encode(struct{}{})
	})
	go func() { _ = http.Serve(l.web, mux) }()
	return nil
}
