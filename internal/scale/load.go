package scale

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

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/marlwood/marlwood/internal/model"
)

// Times of the users' protocol.
const (
	answerWait = 5 * time.Second
	retryWait  = time.Second
	submitWait = time.Minute
	pollEvery  = 5 * time.Second
)

// submission is a job that a user submits.
type submission struct {
	id       string
	class    string
	shape    model.Shape
	rank     model.Priority
	team     string
	tasks    int
	cpus     float64
	estimate time.Duration
	cancel   time.Duration // time after which its user cancels it; 0: never
	early    bool          // submitted during the ramp-up of machines; its wait is not counted
}

func (s submission) body() []byte {
	text, _ := json.Marshal(map[string]any{"nameId": s.id, "docket": s.class, "crew": s.team, "shape": s.shape, "rank": s.rank,
		"pieces": s.tasks, "cpus": s.cpus, "cards": 0.0, "memoryGb": 2 * s.cpus, "kit": "img-" + s.class, "sizeGb": 0.2,
		"together": false, "apart": false, "loaners": false, "guessS": s.estimate.Seconds(),
		"snapshotEveryS": 0.0, "snapshotCostS": 0.0}) // can't fail: the map holds only encodable values
	return text
}

// users simulates the users of a region: it submits jobs, polls their stage and cancels some.
type users struct {
	plan   Plan
	addrs  []string
	truth  *truth
	client *http.Client
	began  time.Time

	mu       sync.Mutex
	rand     *rand.Rand
	next     int
	counts   UserCounts
	urgent   *hdrhistogram.Histogram // time from submission to running, in microseconds
	ordinary *hdrhistogram.Histogram
}

// UserCounts holds numbers of jobs as observed by their users.
type UserCounts struct{ Submitted, Accepted, Refused, Done, Cancelled int }

// Bounds of the histograms of waits, in microseconds.
const (
	minWait = 100
	maxWait = 600_000_000
	digits  = 3
)

func newUsers(p Plan, addrs []string, t *truth) *users {
	return &users{plan: p, addrs: addrs, truth: t, began: time.Now(),
		client: &http.Client{Timeout: answerWait, Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		rand:   rand.New(rand.NewPCG(p.Seed, 1)),
		urgent: hdrhistogram.New(minWait, maxWait, digits), ordinary: hdrhistogram.New(minWait, maxWait, digits)}
}

// run submits jobs of all classes until ctx ends. It doesn't block.
func (u *users) run(ctx context.Context) {
	for range (u.plan.Long + longTasks - 1) / longTasks {
		go u.follow(ctx, u.draw("long"))
	}
	go u.arrive(ctx, "short", func() float64 { return u.starts() / shortTasks })
	go u.arrive(ctx, "urgent", func() float64 { return u.plan.Urgent })
	go u.arrive(ctx, "gang", func() float64 { return u.plan.Gangs })
	go u.arrive(ctx, "service", func() float64 { return u.plan.Gangs })
}

// starts returns the current target rate of starts of short tasks, per second.
func (u *users) starts() float64 {
	at := time.Since(u.began)
	if at >= u.plan.PeakFrom && at < u.plan.PeakTo {
		return u.plan.Peak
	}
	return u.plan.Starts
}

// arrive submits jobs of a class at a rate in jobs per second, until ctx ends.
func (u *users) arrive(ctx context.Context, class string, rate func() float64) {
	for ctx.Err() == nil {
		u.mu.Lock()
		pause := time.Duration(u.rand.ExpFloat64() / rate() * float64(time.Second))
		u.mu.Unlock()
		if !sleep(ctx, min(pause, time.Second*30)) {
			return
		}
		go u.follow(ctx, u.draw(class))
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// draw generates the next job of a class.
func (u *users) draw(class string) submission {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.next++
	s := submission{early: time.Since(u.began) < u.plan.Length/rampPart, id: fmt.Sprintf("%s-%s-%06d", u.plan.Region, class, u.next), class: class, shape: model.Array, rank: model.Low,
		team: u.plan.Teams[u.rand.IntN(len(u.plan.Teams))].Name, tasks: 1, cpus: taskCPUs}
	switch class {
	case "long":
		s.tasks, s.estimate = longTasks, 2*u.plan.Length
	case "short":
		s.tasks, s.estimate = shortTasks/2+u.rand.IntN(shortTasks), shortRuns
	case "urgent":
		s.rank, s.estimate = model.Critical, urgentRuns
	case "gang":
		s.shape, s.rank, s.tasks, s.cpus, s.estimate = model.Gang, model.High, gangSizes[u.next%len(gangSizes)], 1, gangRuns
	case "service":
		s.shape, s.rank, s.tasks, s.cancel = model.Service, model.Normal, 4, gangRuns
	}
	return s
}

// follow submits a job and polls its stage until it is done or cancelled.
func (u *users) follow(ctx context.Context, s submission) {
	u.count(func(c *UserCounts) { c.Submitted++ })
	first := time.Now()
	u.truth.submitted(s.id, first)
	for accepted := false; !accepted; {
		status, _ := u.ask(ctx, "POST", "/api/jobs", s.body())
		accepted = status == 200 || status == 201
		if !accepted && (status == 400 || status == 422 || time.Since(first) > submitWait || !sleep(ctx, retryWait)) {
			u.count(func(c *UserCounts) { c.Refused++ })
			return
		}
	}
	u.count(func(c *UserCounts) { c.Accepted++ })
	for counted := false; sleep(ctx, pollEvery); {
		method, path := "GET", "/api/jobs/"+s.id
		if s.cancel > 0 && time.Since(first) > s.cancel {
			method, path = "POST", path+"/cancel"
		}
		status, stage := u.ask(ctx, method, path, nil)
		if status == 200 {
			u.truth.answered(s.id, s.tasks, stage, time.Now())
		}
		if !counted {
			counted = u.countWait(s)
		}
		switch {
		case status == 200 && stage == model.Done:
			u.count(func(c *UserCounts) { c.Done++ })
			return
		case status == 200 && stage == model.Cancelled:
			u.count(func(c *UserCounts) { c.Cancelled++ })
			return
		}
	}
}

// countWait records how long a job's first task waited. It reports whether that task has started.
func (u *users) countWait(s submission) bool {
	wait := u.truth.began(s.id)
	if wait == 0 {
		return false
	}
	if s.early {
		return true
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	into := u.ordinary
	if s.class == "urgent" {
		into = u.urgent
	}
	_ = into.RecordValue(min(max(wait.Microseconds(), minWait), maxWait)) // can't fail: the value is clamped to the bounds
	return true
}

func (u *users) count(add func(c *UserCounts)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	add(&u.counts)
}

// ask sends a request to a random controller of the region. A status of 0 means that there was no valid answer.
func (u *users) ask(ctx context.Context, method, path string, body []byte) (status int, stage model.Stage) {
	addr := u.addrs[rand.IntN(len(u.addrs))]
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return 0, ""
	}
	resp, err := u.client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	var v struct {
		Stage model.Stage `json:"stage"`
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, 64<<10))
	if err != nil || json.Unmarshal(text, &v) != nil {
		return 0, ""
	}
	return resp.StatusCode, v.Stage
}
