// Command second plays the cases 4 to 8 of the review. It starts three controllers with the command of deploy/service.toml
// among the project's stand-ins, on loopback addresses and the real clock, and watches the rules of the protocol from outside.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/marlwood/marlwood/internal/loopback"
	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/standin"
)

// team is a team with its guarantee and its limit in CPUs.
type team struct {
	name             string
	guarantee, limit float64
}

// site is the small deployment that a case runs on.
type site struct {
	zones                       []string
	types                       []*standin.Type
	teams                       []team
	report, lease, cancel       time.Duration
	gangWait, gangPeer          time.Duration
	stateRPS, writeRPS, valueKB float64
	takes                       func(j *model.Job, index int) time.Duration
	settings                    string // operators' settings; "": none
	operators                   bool   // the interface to operators is on
}

// world is a running deployment.
type world struct {
	site   site
	dir    string
	root   string
	began  time.Time
	record *os.File
	state  *standin.State
	cloud  *standin.Cloud
	nodes  []*node

	links        map[[2]string]*link // between controllers, by caller and callee
	reservations []*loopback.Reservation

	closing sync.Once
	mu      sync.Mutex
	on      map[string]standin.Event // tasks on machines, by machine and task
	told    map[string]time.Time     // when a user was told that the job is cancelled
	broken  []string
	starts  int
	done    map[string]int // completed tasks by job
}

type node struct {
	name, zone              string
	listen, peer, operators string
	cmd                     *exec.Cmd
	ended                   chan struct{}
}

func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.line(format, args...)
}

// line writes a line to the record. The lock is held.
func (w *world) line(format string, args ...any) {
	_, _ = fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// breaks records that a rule was broken.
func (w *world) breaks(rule, format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.breaksLocked(rule, format, args...)
}

func (w *world) breaksLocked(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	w.broken = append(w.broken, text)
	w.line("RULE BROKEN  %s", text)
}

// reserve returns a free loopback address, which no other program takes until the case ends.
func (w *world) reserve() (string, error) {
	reservation, err := loopback.Reserve(0)
	if err != nil {
		return "", err
	}
	w.reservations = append(w.reservations, reservation)
	return reservation.Addr(), nil
}

// runCommand returns the words of run in deploy/service.toml.
func runCommand(root string) ([]string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "service.toml"))
	if err != nil {
		return nil, err
	}
	found := regexp.MustCompile(`(?m)^run = "([^"]*)"`).FindStringSubmatch(string(text))
	if found == nil {
		return nil, fmt.Errorf("deploy/service.toml has no run")
	}
	return strings.Fields(found[1]), nil
}

// newWorld returns a deployment of which nothing is started.
func newWorld(s site, root string, record *os.File) *world {
	return &world{site: s, root: root, began: time.Now(), record: record, on: map[string]standin.Event{}, told: map[string]time.Time{},
		done: map[string]int{}, links: map[[2]string]*link{}}
}

// start starts the stand-ins and the controllers.
func (w *world) start() (err error) {
	s := w.site
	if w.dir, err = os.MkdirTemp("", "marlwood-review-"); err != nil {
		return err
	}
	w.state = standin.NewState()
	addrs := map[string]string{}
	for i := range 3 {
		n := &node{name: fmt.Sprintf("berth-%d", i), zone: s.zones[i%len(s.zones)]}
		for _, a := range []*string{&n.listen, &n.peer, &n.operators} {
			if *a, err = w.reserve(); err != nil {
				return err
			}
		}
		addrs[n.name] = n.listen
		w.nodes = append(w.nodes, n)
	}
	w.cloud = standin.NewCloud(standin.Options{Nodes: addrs, Types: s.types, Lease: s.lease, Report: s.report, Soon: 500 * time.Millisecond,
		Jobs: w.state.Job, Takes: s.takes, Callable: true, Observe: w.observe})
	for _, n := range w.nodes {
		if err := w.configure(n); err != nil {
			return err
		}
	}
	for _, n := range w.nodes {
		if err := w.run(n); err != nil {
			return err
		}
	}
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		up := 0
		for _, n := range w.nodes {
			if status, _, _ := w.request(n, http.MethodGet, "/up", nil, time.Second); status == 200 {
				up++
			}
		}
		if up == len(w.nodes) {
			w.logf("all controllers are up")
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("only %d controllers are up", up)
		}
	}
}

func (w *world) configure(n *node) error {
	s := w.site
	type sibling struct {
		Member   string `json:"member"`
		Location string `json:"location"`
		Endpoint string `json:"endpoint"`
	}
	var siblings []sibling
	for _, o := range w.nodes {
		if o != n {
			k, err := newLink(o.peer)
			if err != nil {
				return err
			}
			w.links[[2]string{n.name, o.name}] = k
			siblings = append(siblings, sibling{o.name, o.zone, k.Addr().String()})
		}
	}
	teams := []map[string]any{}
	for _, t := range s.teams {
		teams = append(teams, map[string]any{"name": t.name, "cpus": t.guarantee, "cpus_max": t.limit, "gpus": 0.0, "gpus_max": 0.0})
	}
	text, err := json.MarshalIndent(map[string]any{
		"member": n.name, "location": n.zone, "listen": n.listen, "peer_listen": n.peer, "siblings": siblings,
		"endpoints": map[string]any{"cloud": w.cloud.Listener.Addr().String(), "state": w.state.Listener.Addr().String()},
		"deployment": map[string]any{"nodes": 3, "zones": s.zones, "teams": teams,
			"objectives": []any{},
			"workers": map[string]any{"report_s": s.report.Seconds(), "lease_s": s.lease.Seconds(), "gang_wait_s": s.gangWait.Seconds(),
				"gang_peer_s": s.gangPeer.Seconds(), "cancel_s": s.cancel.Seconds()},
			"state": map[string]any{"rps": s.stateRPS, "write_rps": s.writeRPS, "value_kb": s.valueKB, "txn_ops": 16},
			"cloud": map[string]any{"rps": 3.0, "list_lag_s": 3.0},
			"quota": map[string]any{"cpu_share": 0.06, "mem_mb": 98.0, "sockets": 900}, "clock_off_ms": 1000.0}}, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(w.path(n, "json"), text, 0o600); err != nil {
		return err
	}
	settings := s.settings
	if s.operators {
		settings = fmt.Sprintf("(marlwood\n  (operators\n    (listen %q)\n    (plaintext \"yes\")))\n", n.operators)
	}
	return os.WriteFile(w.path(n, "sexp"), []byte(settings), 0o600)
}

func (w *world) path(n *node, kind string) string { return filepath.Join(w.dir, n.name+"."+kind) }

// run starts a controller's process.
func (w *world) run(n *node) error {
	words, err := runCommand(w.root)
	if err != nil {
		return err
	}
	words = append(words, w.path(n, "json"))
	if w.site.operators || w.site.settings != "" {
		words = append(words, "--settings", w.path(n, "sexp"))
	}
	log, err := os.OpenFile(w.path(n, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(filepath.Join(w.root, words[0]), words[1:]...)
	cmd.Dir, cmd.Stderr, cmd.Stdout = w.root, log, log
	level := os.Getenv("LOG_LEVEL")
	if level == "" {
		level = "info"
	}
	cmd.Env = append(os.Environ(), "LOG_LEVEL="+level)
	cmd.SysProcAttr = childAttr()
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.cmd, n.ended = cmd, ended
	w.logf("%s is started: %s", n.name, strings.Join(words[:len(words)-1], " "))
	go func() {
		err := cmd.Wait()
		w.logf("%s has ended: %v", n.name, err)
		close(ended)
	}()
	return nil
}

// close ends all processes and stand-ins, once.
func (w *world) close() { w.closing.Do(w.closeAll) }

func (w *world) closeAll() {
	for _, n := range w.nodes {
		if n.cmd != nil {
			_ = n.cmd.Process.Kill()
			<-n.ended
		}
	}
	for _, k := range w.links {
		k.close()
	}
	if w.cloud != nil {
		w.cloud.Close()
	}
	if w.state != nil {
		w.state.CloseClientConnections()
		w.state.Close()
	}
	for _, reservation := range w.reservations {
		_ = reservation.Close()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for _, n := range w.nodes {
			if text, err := os.ReadFile(w.path(n, "log")); err == nil {
				_ = os.WriteFile(filepath.Join(keep, n.name+".log"), text, 0o600)
			}
		}
	}
	_ = os.RemoveAll(w.dir)
}

// observe records what is on the machines. The cloud's lock is held.
func (w *world) observe(e standin.Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	key := e.Machine + " " + e.Task
	if !e.On {
		delete(w.on, key)
		if e.Done {
			w.done[e.Job.ID]++
		}
		w.line("task %s leaves %s, done %v", e.Task, e.Machine, e.Done)
		return
	}
	w.starts++
	for _, o := range w.on {
		if o.Task == e.Task {
			w.breaksLocked("ran_twice", "%s starts on %s while it is on %s", e.Task, e.Machine, o.Machine)
		}
	}
	w.on[key] = e
	w.line("task %s is on %s", e.Task, e.Machine)
	if told, ok := w.told[e.Job.ID]; ok && time.Since(told) > w.site.cancel {
		w.breaksLocked("ran_cancelled", "%s starts on %s %.1f s after its user was told that the job is cancelled (cancel_s %v)", e.Task, e.Machine,
			time.Since(told).Seconds(), w.site.cancel)
	}
}

// onMachines returns the tasks of a job that are on machines.
func (w *world) onMachines(job string) (tasks []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.on {
		if e.Job.ID == job {
			tasks = append(tasks, e.Task+" on "+e.Machine)
		}
	}
	sort.Strings(tasks)
	return tasks
}

func (w *world) doneTasks(job string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.done[job]
}

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// request sends a user's request to a controller. Status 0 means that there was no answer.
func (w *world) request(n *node, method, path string, body []byte, timeout time.Duration) (status int, stage string, text string) {
	req, err := http.NewRequest(method, "http://"+n.listen+path, bytes.NewReader(body))
	if err != nil {
		return 0, "", ""
	}
	c := *client
	c.Timeout = timeout
	resp, err := c.Do(req)
	if err != nil {
		return 0, "", ""
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, 64<<10))
	if err != nil {
		return 0, "", ""
	}
	var v struct {
		Stage string `json:"stage"`
	}
	_ = json.Unmarshal(answer, &v)
	return resp.StatusCode, v.Stage, string(answer)
}

// job is a submission.
type job struct {
	id, class, team, shape, rank string
	pieces                       int
	cpus, memory                 float64
	guess                        float64
	image                        string
	imageGB                      float64
	every, cost                  float64
	awaits                       []string
	together, spot               bool
	due                          float64
	yard                         string // "": any
}

func (j job) body() []byte {
	m := map[string]any{"nameId": j.id, "docket": j.class, "crew": j.team, "shape": j.shape, "rank": j.rank, "pieces": j.pieces, "cpus": j.cpus,
		"cards": 0.0, "memoryGb": j.memory, "kit": j.image, "sizeGb": j.imageGB, "hulls": nil, "yard": nil, "together": j.together, "apart": false,
		"loaners": j.spot, "guessS": j.guess, "snapshotEveryS": j.every, "snapshotCostS": j.cost, "dueS": nil}
	if j.due > 0 {
		m["dueS"] = j.due
	}
	if j.yard != "" {
		m["yard"] = j.yard
	}
	if len(j.awaits) > 0 {
		m["awaits"] = j.awaits
	}
	text, _ := json.Marshal(m)
	return text
}

// submit sends a submission until it is accepted, for at most a minute, as users do.
func (w *world) submit(j job, at int) bool {
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(time.Second) {
		n := w.nodes[at%len(w.nodes)]
		status, stage, _ := w.request(n, http.MethodPost, "/api/jobs", j.body(), 5*time.Second)
		w.logf("submit %s at %s: %d %s", j.id, n.name, status, stage)
		switch status {
		case 200, 201:
			return true
		case 400, 422:
			return false
		}
		at++
	}
	return false
}

// cancel asks for a cancellation until it is answered with a final stage, and returns that stage.
func (w *world) cancel(id string, at int, until time.Time) string {
	for ; time.Now().Before(until); time.Sleep(time.Second) {
		n := w.nodes[at%len(w.nodes)]
		status, stage, _ := w.request(n, http.MethodPost, "/api/jobs/"+id+"/cancel", nil, 5*time.Second)
		w.logf("cancel %s at %s: %d %s", id, n.name, status, stage)
		if status == 200 {
			if stage == "aborted" {
				w.mu.Lock()
				w.told[id] = time.Now()
				w.mu.Unlock()
			}
			return stage
		}
		at++
	}
	return ""
}

// ask asks for a job's stage.
func (w *world) ask(id string, at int) (status int, stage string) {
	n := w.nodes[at%len(w.nodes)]
	status, stage, text := w.request(n, http.MethodGet, "/api/jobs/"+id, nil, 2*time.Second)
	w.logf("ask %s at %s: %d %s", id, n.name, status, text)
	return status, stage
}
