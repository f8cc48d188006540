package lab

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

// users simulates the users: it submits jobs, polls their stage and cancels services, as the protocol specifies.
type users struct {
	scenario *Scenario
	addrs    []string
	speed    float64
	client   *http.Client

	mu   sync.Mutex
	seen Counts
	next int // number of the last job id
}

// Times of the users' protocol.
const (
	pollEvery  = 5 * time.Second
	retryWait  = time.Second
	submitWait = time.Minute
)

// maxOpen limits the unfinished jobs. While there are that many, no more are submitted.
const maxOpen = 500

func newUsers(s *Scenario, addrs []string, speed float64) *users {
	return &users{scenario: s, addrs: addrs, speed: speed, client: &http.Client{Timeout: 5 * time.Second}}
}

func (u *users) counts() Counts {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.seen
}

// run submits jobs of all kinds until ctx ends. It doesn't block.
func (u *users) run(ctx context.Context) {
	for _, j := range u.scenario.Jobs {
		go func() {
			for ctx.Err() == nil {
				u.mu.Lock()
				u.next++
				id := fmt.Sprintf("%s-%04d", j.Name, u.next)
				if j.Every == 0 {
					id = j.Name
				}
				open := u.seen.Submitted - u.seen.Done - u.seen.Cancelled
				u.mu.Unlock()
				if open < maxOpen {
					go u.follow(ctx, j, id)
				}
				if j.Every == 0 {
					return
				}
				pause(ctx, time.Duration(rand.ExpFloat64()*float64(j.Every)/u.speed))
			}
		}()
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (u *users) count(add func(c *Counts)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	add(&u.seen)
}

// follow submits a job and polls its stage until it is done or cancelled.
func (u *users) follow(ctx context.Context, j Job, id string) {
	u.count(func(c *Counts) { c.Submitted++ })
	body, accepted := u.scenario.body(j, id), false
	for end := time.Now().Add(submitWait); !accepted && time.Now().Before(end) && ctx.Err() == nil; {
		status, _ := u.ask(ctx, "POST", "/api/jobs", body)
		if accepted = status == 200 || status == 201; !accepted {
			if status == 400 || (status == 422 && len(j.Awaits) == 0) { // a job that it awaits may not have been submitted yet
				break
			}
			pause(ctx, retryWait)
		}
	}
	if !accepted {
		u.count(func(c *Counts) { c.Submitted-- })
		return
	}
	u.count(func(c *Counts) { c.Accepted++ })
	began := time.Now()
	for ctx.Err() == nil {
		pause(ctx, pollEvery)
		_, stage := u.ask(ctx, "GET", "/api/jobs/"+id, nil)
		if j.Shape == string(model.Service) && time.Since(began) > time.Duration(float64(j.Takes)/u.speed) {
			_, stage = u.ask(ctx, "POST", "/api/jobs/"+id+"/cancel", nil)
		}
		switch model.Stage(stage) {
		case model.Done:
			u.count(func(c *Counts) { c.Done++ })
			return
		case model.Cancelled:
			u.count(func(c *Counts) { c.Cancelled++ })
			return
		}
	}
}

// ask sends a request to a random controller. A status of 0 means that there was no response.
func (u *users) ask(ctx context.Context, method, path string, body []byte) (status int, stage string) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+u.addrs[rand.IntN(len(u.addrs))]+path, bytes.NewReader(body))
	if err != nil {
		return 0, ""
	}
	resp, err := u.client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	var v struct {
		Stage string `json:"stage"`
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, 64<<10))
	if err == nil {
		_ = json.Unmarshal(text, &v)
	}
	return resp.StatusCode, v.Stage
}
