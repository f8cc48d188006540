package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/marlwood/marlwood/internal/loopback"
	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/standin"
)

// must ends the run of a case that cannot be played.
func must(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		cleanUp()
		os.Exit(2)
	}
}

var cleanUp = func() {}

// The times of donorline-ops-dublin. The other settings are that deployment's too.
const (
	reportEvery = 3 * time.Second
	leaseTime   = 26 * time.Second
	cancelWait  = 46 * time.Second
)

var zones = []string{"a", "b", "c"}

// types are the machine types of the cloud: a small and a large one, in some zones, and at most that many in each.
func types(zones []string, most int) []*standin.Type {
	return []*standin.Type{
		{Name: "s4", Size: model.Size{CPUs: 4, MemoryGB: 16}, CacheGB: 20, FetchGBPerS: 2, Price: 0.2, SpotPrice: 0.06, Boot: 2500 * time.Millisecond, Zones: zones, Limit: most},
		{Name: "m8", Size: model.Size{CPUs: 8, MemoryGB: 64}, CacheGB: 40, FetchGBPerS: 2, Price: 0.2, SpotPrice: 0.06, Boot: 4 * time.Second, Zones: zones, Limit: most},
	}
}

// node is one controller.
type node struct {
	name, zone   string
	listen, peer string
	cmd          *exec.Cmd
	ended        chan struct{}
	stateGate    *gate
	stateLink    *link
	cloudLink    *link
	userLink     *link
	reports      *relay
	peerLinks    map[string]*link // by callee
}

// world is a deployment on loopback addresses.
type world struct {
	dir     string
	run     []string // the command of the deploy file
	started time.Time
	state   *standin.State
	cloud   *standin.Cloud
	nodes   []*node
	rules   *rules
	logs    *os.File

	reservations []*loopback.Reservation

	recordLock sync.Mutex
	record     *os.File

	mu          sync.Mutex
	callers     map[string]*caller        // by a worker's address: our proxy in front of it
	unreachable func(machine string) bool // machines that direct commands don't reach; nil: none
	reborn      map[string]*reborn        // machines that have begun anew
}

// note writes a line of the record.
func (w *world) note(format string, args ...any) {
	w.recordLock.Lock()
	defer w.recordLock.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
}

// deployCommand returns the command that the deploy file gives to run a controller.
func deployCommand() []string {
	text, err := os.ReadFile("deploy/service.toml")
	must(err)
	found := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(text)
	if found == nil {
		must(errors.New("deploy/service.toml has no run"))
	}
	return strings.Fields(string(found[1]))
}

func newWorld(recordPath string, types []*standin.Type) *world {
	record, err := os.Create(recordPath)
	must(err)
	dir, err := os.MkdirTemp("", "marlwood-review-")
	must(err)
	w := &world{dir: dir, run: deployCommand(), started: time.Now(), record: record, callers: map[string]*caller{}, reborn: map[string]*reborn{}}
	cleanUp = w.close
	w.logs, err = os.Create(filepath.Join(dir, "log"))
	must(err)
	w.rules = newRules(w)
	w.state = standin.NewState()
	reportTo := map[string]string{}
	for i, zone := range zones {
		n := &node{name: fmt.Sprintf("berth-%d", i), zone: zone, listen: w.reserve(), peer: w.reserve(), peerLinks: map[string]*link{}}
		n.stateGate = newGate(w.state.Config.Handler)
		n.stateLink = newLink(n.stateGate.addr())
		n.userLink = newLink(n.listen)
		n.reports = newRelay(n.listen, w.rewrite)
		reportTo[n.name] = n.reports.addr()
		w.nodes = append(w.nodes, n)
	}
	w.cloud = standin.NewCloud(standin.Options{Nodes: reportTo, Types: types, Lease: leaseTime, Report: reportEvery, Soon: 500 * time.Millisecond,
		Speed: 1, Jobs: w.rules.job, Takes: func(j *model.Job, _ int) time.Duration { return j.Estimate }, Callable: true,
		Fails: func(j *model.Job) bool { return w.rules.fails(j.ID) }, Observe: w.rules.observe})
	for _, n := range w.nodes {
		n.cloudLink = newLink(newGate(w.noteRentals(w.cloud.Config.Handler)).addr())
		for _, other := range w.othersThan(n) {
			n.peerLinks[other.name] = newLink(other.peer)
		}
		w.configure(n)
	}
	return w
}

func (w *world) reserve() string {
	reservation, err := loopback.Reserve(0)
	must(err)
	w.reservations = append(w.reservations, reservation)
	return reservation.Addr()
}

// noteRentals notes the requests for machines and their returns.
func (w *world) noteRentals(next http.Handler) http.Handler {
	return http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			body, _ := io.ReadAll(r.Body)
			r.Body = io.NopCloser(bytes.NewReader(body))
			w.note("cloud: %s %s", r.URL.Path, body)
			w.noteReturns(r.URL.Path, body)
		}
		next.ServeHTTP(out, r)
	})
}

// idleMachine returns a machine that is up and has no task, or "". Machines are up that have reported.
func (w *world) idleMachine(job string) string {
	for _, name := range w.cloud.Machines() {
		w.mu.Lock()
		up := slices.ContainsFunc(slices.Collect(maps.Values(w.callers)), func(c *caller) bool { return c.machine == name })
		w.mu.Unlock()
		if up && len(w.cloud.On(name)) == 0 && !slices.Contains(w.rules.machines(job), name) {
			return name
		}
	}
	return ""
}

// noteReturns ends returned machines that have begun anew.
func (w *world) noteReturns(path string, body []byte) {
	if path != "/hosts/release" {
		return
	}
	var names struct {
		Berths []string `json:"berths"`
	}
	_ = json.Unmarshal(body, &names) // the cloud refuses a malformed request
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, name := range names.Berths {
		if m := w.reborn[name]; m != nil {
			m.stop()
		}
	}
}

// configure writes a controller's settings file.
func (w *world) configure(n *node) {
	type object = map[string]any
	var siblings []object
	for _, other := range w.othersThan(n) {
		siblings = append(siblings, object{"member": other.name, "location": other.zone, "endpoint": n.peerLinks[other.name].addr()})
	}
	text, err := json.MarshalIndent(object{"member": n.name, "location": n.zone, "listen": n.listen, "peer_listen": n.peer, "siblings": siblings,
		"endpoints": object{"cloud": n.cloudLink.addr(), "state": n.stateLink.addr()},
		"deployment": object{"nodes": len(w.nodes), "zones": zones, "objectives": []object{{"kind": "wait", "class": "tax-reclaim", "within_s": 2.0, "share": 0.82}},
			"teams":   []object{{"name": "donor-care", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}},
			"workers": object{"report_s": reportEvery.Seconds(), "lease_s": leaseTime.Seconds(), "gang_wait_s": 45.0, "gang_peer_s": 8.0, "cancel_s": cancelWait.Seconds()},
			"state":   object{"rps": 120.0, "write_rps": 25.0, "value_kb": 8.0, "txn_ops": 16},
			"cloud":   object{"rps": 3.0, "list_lag_s": 4.0}, "quota": object{"cpu_share": 0.096, "mem_mb": 70.0, "sockets": 600}, "clock_off_ms": 25.0}}, "", " ")
	must(err)
	must(os.WriteFile(w.configPath(n), text, 0o600))
}

func (w *world) configPath(n *node) string { return filepath.Join(w.dir, n.name+".json") }

// start starts a controller with the command of the deploy file.
func (w *world) start(n *node) {
	cmd := exec.Command(w.run[0], append(slices.Clone(w.run[1:]), w.configPath(n))...)
	cmd.Stderr = w.logs
	cmd.Env = append(os.Environ(), "LOG_LEVEL=info")
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(cmd.Start())
	ended := make(chan struct{})
	n.cmd, n.ended = cmd, ended
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	w.note("controller %s starts", n.name)
}

// kill ends a controller with no signal that it could see.
func (w *world) kill(n *node) {
	w.note("controller %s is killed", n.name)
	_ = n.cmd.Process.Kill()
	<-n.ended
}

// startAll starts all controllers and waits until they are healthy and one leads.
func (w *world) startAll() {
	for _, n := range w.nodes {
		w.start(n)
	}
	healthy := func() bool {
		for _, n := range w.nodes {
			if status, _ := w.request(n, http.MethodGet, "/up", nil, time.Second); status != http.StatusOK {
				return false
			}
		}
		return w.leader() != nil
	}
	if !w.await(15*time.Second, healthy) {
		must(errors.New("the controllers do not become healthy"))
	}
	time.Sleep(time.Second)
}

// close ends all processes and removes the temporary folder.
func (w *world) close() {
	for _, n := range w.nodes {
		if n.cmd != nil {
			_ = n.cmd.Process.Kill()
			<-n.ended
		}
	}
	for _, reservation := range w.reservations {
		_ = reservation.Close()
	}
	_ = os.RemoveAll(w.dir)
}

// leader returns the controller that the key of the leader names, or nil. It serves to aim the disruptions only.
func (w *world) leader() *node {
	var record struct {
		Member string `json:"member"`
	}
	if text := w.state.Value("leader"); text == nil || json.Unmarshal(text, &record) != nil {
		return nil
	}
	for _, n := range w.nodes {
		if n.name == record.Member {
			return n
		}
	}
	return nil
}

// othersThan returns the other controllers in the order of their names.
func (w *world) othersThan(some ...*node) (others []*node) {
	for _, n := range w.nodes {
		if !slices.Contains(some, n) {
			others = append(others, n)
		}
	}
	return others
}

// await waits until a condition holds, for at most d.
func (w *world) await(d time.Duration, holds func() bool) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return false
}

// rewrite puts the address of a proxy of ours in the place of a worker's address.
func (w *world) rewrite(report map[string]any) {
	addr, _ := report["addr"].(string)
	machine, _ := report["berth"].(string)
	if addr == "" {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.callers[addr] == nil {
		w.callers[addr] = w.newCaller(addr, machine)
	}
	report["addr"] = w.callers[addr].own
}

// caller is a proxy for direct commands to a worker.
type caller struct {
	w                    *world
	target, own, machine string
	client               *http.Client
	mu                   sync.Mutex
	conns                map[net.Conn]bool
}

func (w *world) newCaller(target, machine string) *caller {
	listener := listen()
	c := &caller{w: w, target: target, own: listener.Addr().String(), machine: machine, client: &http.Client{Timeout: 10 * time.Second}, conns: map[net.Conn]bool{}}
	server := &http.Server{Handler: c, ConnState: func(conn net.Conn, state http.ConnState) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.conns[conn] = state != http.StateClosed
	}}
	go func() { _ = server.Serve(listener) }()
	return c
}

// ServeHTTP passes a command on, or loses it.
func (c *caller) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	c.w.mu.Lock()
	anew, lost := c.w.reborn[c.machine], c.w.unreachable != nil && c.w.unreachable(c.machine)
	c.w.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	var status int
	var answer []byte
	if anew != nil {
		status, answer = anew.serveOrders(body)
	} else {
		status, answer = forward(r.Context(), c.client, "http://"+c.target+r.URL.Path, body)
	}
	if status == 0 || status == http.StatusServiceUnavailable { // the machine is not there
		panic(http.ErrAbortHandler)
	}
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	_, _ = out.Write(bytes.ReplaceAll(answer, []byte(`"addr":"`+c.target+`"`), []byte(`"addr":"`+c.own+`"`)))
}

// losesCommands has direct commands to some machines be lost; nil: to none.
func (w *world) losesCommands(machine func(name string) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unreachable = machine
}

// beginAnew replaces a machine's worker by a new one. Connections to the earlier one end.
func (w *world) beginAnew(m *reborn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reborn[m.name] = m
	for _, c := range w.callers {
		if c.machine == m.name {
			c.mu.Lock()
			for conn := range c.conns {
				reset(conn)
			}
			c.mu.Unlock()
		}
	}
}

// nodeIn returns the controller in a zone.
func (w *world) nodeIn(zone string) *node {
	for _, n := range w.nodes {
		if n.zone == zone {
			return n
		}
	}
	return nil
}
