package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"sort"
	"time"
)

// types answers with the machine types that the cloud offers.
func (c *Cloud) types(w http.ResponseWriter, _ *http.Request) {
	all := []map[string]any{}
	for _, t := range c.opt.Types {
		all = append(all, map[string]any{"sku": t.Name, "cpus": t.Size.CPUs, "cards": t.Size.GPUs, "memoryGb": t.Size.MemoryGB,
			"cacheGb": t.CacheGB, "fetchGbPerS": t.FetchGBPerS, "hourly": t.Price, "lowPrice": t.SpotPrice,
			"startupS": c.opt.scaled(t.Boot).Seconds(), "yards": t.Zones})
	}
	reply(w, 200, map[string]any{"hulls": all})
}

// rent rents machines, as many as there are, and answers a repeated request alike.
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
	i := slices.IndexFunc(c.opt.Types, func(t *Type) bool { return t.Name == q.Hull && slices.Contains(t.Zones, q.Yard) })
	if i < 0 {
		reply(w, 400, map[string]string{"error": "no such type there"})
		return
	}
	t := c.opt.Types[i]
	c.mu.Lock()
	defer c.mu.Unlock()
	names, known := c.launchRequests[q.Charter]
	wanted := offer{t, q.Yard, q.Loaners}
	for !known && len(names) < q.Number && (t.Limit == 0 || c.rented[wanted] < t.Limit) {
		c.count++
		c.rented[wanted]++
		name := fmt.Sprintf("vm-%06d", c.count)
		names = append(names, name)
		c.boot(name, t, q.Yard, q.Loaners)
	}
	if len(names) == 0 {
		reply(w, 503, map[string]string{"error": "no capacity"})
		return
	}
	c.launchRequests[q.Charter] = names
	reply(w, 200, map[string]any{"berths": names})
}

// release ends machines.
func (c *Cloud) release(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Berths []string `json:"berths"`
	}
	_ = json.NewDecoder(r.Body).Decode(&q)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = time.Now()
	for _, name := range q.Berths {
		if m := c.machines[name]; m != nil {
			c.remove(m)
		}
	}
	reply(w, 200, struct{}{})
}

// list answers with a page of the machines, as of some time ago.
func (c *Cloud) list(w http.ResponseWriter, r *http.Request) {
	after := r.URL.Query().Get("after")
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = time.Now()
	names := []string{}
	for name := range c.machines {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	more := len(names) > 500
	all := []map[string]any{}
	for _, name := range names[:min(500, len(names))] {
		m := c.machines[name]
		stage := "running"
		if m.bootedAt.After(c.now) {
			stage = "booting"
		}
		all = append(all, map[string]any{"nameId": name, "addr": "", "hull": m.typ.Name, "yard": m.zone, "loaners": m.spot,
			"stage": stage, "ageS": c.now.Sub(m.rented).Seconds()})
	}
	reply(w, 200, map[string]any{"berths": all, "more": more})
}

// boot starts a machine. Direct calls reach every other machine, or all of them with
// Options.Callable.
func (c *Cloud) boot(name string, t *Type, zone string, spot bool) {
	ctx, cancel := context.WithCancel(context.Background())
	now := time.Now()
	up := now.Add(time.Duration(float64(c.opt.scaled(t.Boot)) * (0.6 + 0.9*rand.Float64())))
	m := &machine{cloud: c, name: name, typ: t, zone: zone, spot: spot, rented: now, bootedAt: up, session: 1, leaseStart: up, stop: cancel,
		wake: make(chan struct{}, 1)}
	addr := "127.0.0.1:1"
	if c.count%2 == 0 || c.opt.Callable {
		server := httptest.NewUnstartedServer(http.HandlerFunc(m.orders))
		server.Listener = countedListener{server.Listener, &m.traffic}
		server.Start()
		addr = server.Listener.Addr().String()
		m.stop = func() { cancel(); go server.Close() }
	}
	c.machines[name] = m
	m.timer = time.AfterFunc(time.Until(up), m.onTimer)
	go m.serve(ctx, addr)
}
