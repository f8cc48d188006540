package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"
)

// Cloud is a cloud whose machines are up at once; each is a Worker.
type Cloud struct {
	*httptest.Server
	Lease  time.Duration
	Report time.Duration

	mu       sync.Mutex
	nodes    map[string]string // member -> address
	workers  map[string]*worker
	charters map[string][]string
	count    int
	running  map[string]string // task -> machine, over all machines
	broken   []string
}

// NewCloud starts a cloud on a loopback port. Its workers report to nodes.
func NewCloud(nodes map[string]string, lease, report time.Duration) *Cloud {
	c := &Cloud{Lease: lease, Report: report, nodes: nodes, workers: map[string]*worker{}, charters: map[string][]string{},
		running: map[string]string{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machine_types", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, 200, json.RawMessage(`{"hulls":[{"sku":"s4","cpus":4,"cards":0,"memoryGb":16,"cacheGb":50,"fetchGbPerS":1,
			"hourly":1,"lowPrice":0.4,"startupS":1,"yards":["a","b"]}]}`))
	})
	mux.HandleFunc("POST /hosts", c.rent)
	mux.HandleFunc("POST /hosts/release", c.release)
	mux.HandleFunc("GET /hosts", c.list)
	c.Server = httptest.NewServer(mux)
	return c
}

// Broken lists the tasks that were on two machines at once.
func (c *Cloud) Broken() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string{}, c.broken...)
}

// Running counts the tasks that are on a machine.
func (c *Cloud) Running() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.running)
}

// Close stops every worker and the cloud.
func (c *Cloud) Close() {
	c.mu.Lock()
	for _, w := range c.workers {
		w.stop()
	}
	c.mu.Unlock()
	c.Server.Close()
}

func (c *Cloud) rent(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Charter string `json:"charter"`
		Hull    string `json:"hull"`
		Yard    string `json:"yard"`
		Loaners bool   `json:"loaners"`
		Number  int    `json:"number"`
	}
	if json.NewDecoder(r.Body).Decode(&q) != nil || q.Charter == "" || q.Number < 1 || q.Number > 50 {
		reply(w, 400, map[string]string{"error": "malformed"})
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	names, known := c.charters[q.Charter]
	for i := 0; !known && i < q.Number; i++ {
		c.count++
		name := fmt.Sprintf("vm-%06d", c.count)
		names = append(names, name)
		c.boot(name, q.Hull, q.Yard, q.Loaners)
	}
	c.charters[q.Charter] = names
	reply(w, 200, map[string]any{"berths": names})
}

func (c *Cloud) release(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Berths []string `json:"berths"`
	}
	_ = json.NewDecoder(r.Body).Decode(&q)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range q.Berths {
		if wk := c.workers[name]; wk != nil {
			wk.stop()
			delete(c.workers, name)
			for task, on := range c.running {
				if on == name {
					delete(c.running, task)
				}
			}
		}
	}
	reply(w, 200, struct{}{})
}

func (c *Cloud) list(w http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := []map[string]any{}
	for name, wk := range c.workers {
		all = append(all, map[string]any{"nameId": name, "addr": "", "hull": wk.hull, "yard": wk.yard,
			"loaners": wk.spot, "stage": "running", "ageS": 1})
	}
	reply(w, 200, map[string]any{"berths": all, "more": false})
}

type piece struct {
	Piece string `json:"piece"`
	Try   uint64 `json:"try"`
	Stage string `json:"stage"`
	Cause string `json:"cause,omitempty"`
}

type order struct {
	Verb  string `json:"verb"`
	Piece string `json:"piece"`
	Try   uint64 `json:"try"`
}

// worker is one machine. A task moves on by one stage with each report, and
// one whose job's name ends in "stays" runs until it is stopped.
type worker struct {
	cloud      *Cloud
	name       string
	hull, yard string
	spot       bool
	stop       context.CancelFunc
	shift      uint64
	tally      uint64
	baton      uint64
	pieces     []*piece
	server     *httptest.Server // nil: it cannot be called directly
}

// report writes the next report; the cloud's lock is held.
func (w *worker) report() []byte {
	w.tally++
	addr := "127.0.0.1:1"
	if w.server != nil {
		addr = w.server.Listener.Addr().String()
	}
	b, _ := json.Marshal(map[string]any{"berth": w.name, "addr": addr, "hull": w.hull, "yard": w.yard, "loaners": w.spot,
		"shift": w.shift, "tally": w.tally, "baton": w.baton, "recallS": nil, "pieces": w.pieces})
	return b
}

// orders serves direct calls.
func (w *worker) orders(rw http.ResponseWriter, r *http.Request) {
	var q struct {
		Baton  *uint64 `json:"baton"`
		Shift  *uint64 `json:"shift"`
		Orders []order `json:"orders"`
	}
	if json.NewDecoder(r.Body).Decode(&q) != nil || q.Baton == nil || q.Shift == nil {
		reply(rw, 400, map[string]string{"error": "malformed"})
		return
	}
	status, body := 503, []byte("{}")
	w.set(func() {
		status = 409
		if *q.Baton >= w.baton && *q.Shift == w.shift {
			status, w.baton = 200, *q.Baton
			for _, o := range q.Orders {
				w.order(o.Verb, o.Piece, o.Try)
			}
		}
		body = w.report()
	})
	reply(rw, status, json.RawMessage(body))
}

func (c *Cloud) boot(name, hull, yard string, spot bool) {
	ctx, cancel := context.WithCancel(context.Background())
	w := &worker{cloud: c, name: name, hull: hull, yard: yard, spot: spot, stop: cancel, shift: 1}
	if c.count%2 == 0 { // every other one can be called directly
		w.server = httptest.NewServer(http.HandlerFunc(w.orders))
		w.stop = func() { cancel(); go w.server.Close() }
	}
	c.workers[name] = w
	go w.run(ctx)
}

func (w *worker) run(ctx context.Context) {
	members := []string{}
	for m := range w.cloud.nodes {
		members = append(members, m)
	}
	client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{}}
	at, answered := 0, time.Now()
	pause := time.NewTimer(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-pause.C:
		}
		pause.Reset(w.cloud.Report)
		if time.Since(answered) > w.cloud.Lease {
			w.set(func() { w.pieces, w.shift = nil, w.shift+1 })
			answered = time.Now()
		}
		sent := time.Now()
		var body []byte
		w.set(func() { body = w.report() })
		req, _ := http.NewRequestWithContext(ctx, "POST", "http://"+w.cloud.nodes[members[at]]+"/checkin", bytes.NewReader(body))
		resp, err := client.Do(req)
		if err != nil {
			at = (at + 1) % len(members)
			continue
		}
		var a struct {
			Baton   uint64  `json:"baton"`
			Foreman string  `json:"foreman"`
			Orders  []order `json:"orders"`
		}
		err = json.NewDecoder(resp.Body).Decode(&a)
		_ = resp.Body.Close()
		if err != nil || resp.StatusCode != 200 {
			at = (at + 1) % len(members)
			for i, m := range members {
				if m == a.Foreman {
					at = i
				}
			}
			continue
		}
		w.set(func() {
			if a.Baton < w.baton {
				return
			}
			w.baton, answered = a.Baton, sent
			w.proceed()
			for _, o := range a.Orders {
				w.order(o.Verb, o.Piece, o.Try)
			}
		})
	}
}

// set changes the machine's tasks and keeps the cloud's account of who runs
// what.
func (w *worker) set(f func()) {
	c := w.cloud
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.workers[w.name] != w {
		return
	}
	f()
	on := map[string]bool{}
	for _, p := range w.pieces {
		if p.Stage == "running" {
			on[p.Piece] = true
			if other := c.running[p.Piece]; other != "" && other != w.name {
				c.broken = append(c.broken, p.Piece+" on "+other+" and "+w.name)
			}
			c.running[p.Piece] = w.name
		}
	}
	for task, machine := range c.running {
		if machine == w.name && !on[task] {
			delete(c.running, task)
		}
	}
}

func (w *worker) proceed() {
	for _, p := range w.pieces {
		switch {
		case p.Stage == "fetching":
			p.Stage = "running"
		case p.Stage == "running" && !bytes.Contains([]byte(p.Piece), []byte("stays/")):
			p.Stage, p.Cause = "ended", "done"
		}
	}
}

func (w *worker) order(verb, name string, try uint64) {
	for i, p := range w.pieces {
		if p.Piece != name || p.Try != try {
			continue
		}
		switch {
		case verb == "stop" && p.Stage != "ended":
			p.Stage, p.Cause = "ended", "stopped"
		case verb == "forget" && p.Stage == "ended":
			w.pieces = append(w.pieces[:i], w.pieces[i+1:]...)
		}
		return
	}
	if verb == "start" {
		w.pieces = append(w.pieces, &piece{Piece: name, Try: try, Stage: "fetching"})
	}
}
