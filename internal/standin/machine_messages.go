package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"sort"
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

// orders handles the direct calls of controllers.
func (m *machine) orders(w http.ResponseWriter, r *http.Request) {
	var call directCall
	if json.NewDecoder(http.MaxBytesReader(w, r.Body, model.MaxBody)).Decode(&call) != nil || call.Token == nil || call.Session == nil {
		reply(w, 400, map[string]string{"error": "malformed"})
		return
	}
	c := m.cloud
	m.traffic.requests.Add(1)
	for { // a hung machine responds when it resumes
		c.mu.Lock()
		left := time.Until(m.hungUntil)
		if left <= 0 {
			break
		}
		c.mu.Unlock()
		time.Sleep(left)
	}
	defer c.mu.Unlock()
	if c.machines[m.name] != m || m.failed || time.Now().Before(m.bootedAt) {
		reply(w, 503, map[string]string{"error": "not there"})
		return
	}
	c.now = time.Now()
	status := 409
	if m.carryOut(call) {
		status = 200
		m.repeatLater(call)
	}
	reply(w, status, m.report(r.Host))
}

// serve sends heartbeats to the controllers until ctx ends.
func (m *machine) serve(ctx context.Context, addr string) {
	c := m.cloud
	var members []string
	for name := range c.opt.Nodes {
		members = append(members, name)
	}
	sort.Strings(members)
	client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DialContext: m.traffic.dial}}
	defer client.CloseIdleConnections()
	to := rand.IntN(len(members))
	wait := time.Until(m.bootedAt)
	for {
		if !m.sleep(ctx, wait) {
			return
		}
		c.mu.Lock()
		c.now = time.Now()
		hung := time.Until(m.hungUntil)
		sent, session := time.Now(), m.session
		heartbeat := m.report(addr)
		m.traffic.countHeartbeat(heartbeat)
		body, _ := json.Marshal(heartbeat)
		c.mu.Unlock()
		if hung > 0 {
			wait = hung
			continue
		}
		m.traffic.requests.Add(1)
		status, response := post(ctx, client, "http://"+c.opt.Nodes[members[to]]+"/checkin", body)
		wait = c.opt.Report*3/4 + time.Duration(rand.Int64N(int64(c.opt.Report/2)+1))
		if status != 200 {
			if i := slices.Index(members, response.Leader); status == 421 && i >= 0 && i != to {
				to, wait = i, time.Duration(rand.Int64N(int64(c.opt.Soon)+1))
			} else {
				to, wait = (to+1)%len(members), min(time.Second, c.opt.Report)
			}
			continue
		}
		c.mu.Lock()
		c.now = time.Now()
		if response.Token >= m.token && session == m.session && time.Now().After(m.hungUntil) {
			m.leaseStart = sent
			m.resetTimer()
			m.observeToken(response.Token)
			m.execute(response.Commands, time.Now())
		}
		c.mu.Unlock()
	}
}

type heartbeatResponse struct {
	Token    uint64          `json:"baton"`
	Commands []model.Command `json:"orders"`
	Leader   string          `json:"foreman"`
}

func post(ctx context.Context, client *http.Client, url string, body []byte) (status int, a heartbeatResponse) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, a
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, a
	}
	defer func() { _ = resp.Body.Close() }()
	if json.NewDecoder(http.MaxBytesReader(nil, resp.Body, model.MaxBody)).Decode(&a) != nil {
		return 0, a
	}
	return resp.StatusCode, a
}

// sleep waits until the next heartbeat is due: after d, or sooner when something changes. It
// returns false if ctx has ended.
func (m *machine) sleep(ctx context.Context, d time.Duration) bool {
	until, soon := time.NewTimer(d), m.cloud.opt.Soon
	defer until.Stop()
	start := time.Now()
	select {
	case <-ctx.Done():
		return false
	case <-until.C:
		return ctx.Err() == nil
	case <-m.wake:
	}
	left := time.NewTimer(min(soon, d) - time.Since(start))
	defer left.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-left.C:
		return ctx.Err() == nil
	}
}
