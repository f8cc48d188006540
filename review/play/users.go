package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/standin"
)

// request sends one request of a user to a controller, on a connection of its own.
func (w *world) request(n *node, method, path string, body []byte, wait time.Duration) (status int, answer []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: 500 * time.Millisecond}).DialContext}
	defer transport.CloseIdleConnections()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.userLink.addr()+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	resp, err := (&http.Client{Transport: transport}).Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err = io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}

// call sends a request about a job: to submit it, to ask about it or to cancel it.
func (w *world) call(n *node, what, id string) told {
	method, path, wait := http.MethodGet, "/api/jobs/"+id, 2*time.Second
	var body []byte
	switch what {
	case "submit":
		method, path, wait = http.MethodPost, "/api/jobs", 5*time.Second
		w.rules.mu.Lock()
		body = w.rules.jobs[id].body
		w.rules.mu.Unlock()
	case "cancel":
		method, path, wait = http.MethodPost, path+"/cancel", 5*time.Second
	}
	t := told{sent: time.Now(), node: n.name, what: what}
	var answer []byte
	t.status, answer = w.request(n, method, path, body, wait)
	t.got = time.Now()
	var stage struct {
		Stage string `json:"stage"`
	}
	if json.Unmarshal(answer, &stage) == nil {
		t.stage = stage.Stage
	}
	w.rules.answer(id, t)
	return t
}

// insist repeats a request at any of some controllers, as users do, until it gets 200 or 201.
func (w *world) insist(nodes []*node, what, id string) {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(time.Second) {
		if t := w.call(nodes[rand.IntN(len(nodes))], what, id); t.status == http.StatusOK || t.status == http.StatusCreated {
			return
		}
	}
	must(fmt.Errorf("%s %s was not answered", what, id))
}

// add makes a job known. It is not submitted yet.
func (w *world) add(fields map[string]any) (id string) {
	job := map[string]any{"docket": "thank-you", "crew": "donor-care", "shape": "batch", "rank": "normal", "pieces": 1, "cpus": 2.0, "cards": 0.0, "memoryGb": 1.0,
		"kit": "img-01", "sizeGb": 0.5, "hulls": nil, "yard": nil, "together": false, "apart": false, "loaners": false,
		"guessS": 300.0, "snapshotEveryS": 0.0, "snapshotCostS": 0.0, "dueS": nil}
	for name, value := range fields {
		job[name] = value
	}
	body, err := json.Marshal(job)
	must(err)
	spec, err := model.ParseJob(body)
	must(err)
	w.rules.mu.Lock()
	defer w.rules.mu.Unlock()
	w.rules.jobs[spec.ID] = &history{spec: spec, body: body, active: map[string]standin.Event{}, failed: map[string]bool{}}
	return spec.ID
}

// begin submits jobs and waits until all of their tasks are on machines.
func (w *world) begin(ids ...string) {
	for _, id := range ids {
		w.insist(w.nodes, "submit", id)
	}
	for _, id := range ids {
		if !w.await(25*time.Second, func() bool { return w.rules.placed(id) }) {
			must(fmt.Errorf("%s did not begin", id))
		}
	}
}
