package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/standin"
)

// tolerance is what the stand-ins' own clocks and timers may be off.
const tolerance = 500 * time.Millisecond

// told is one answer about a job that a user got.
type told struct {
	sent, got time.Time
	node      string
	what      string
	status    int
	stage     string
}

// history is what was seen of a job.
type history struct {
	spec      *model.Job
	body      []byte
	cancelled time.Time                // when its user was told
	active    map[string]standin.Event // its tasks on machines, by task
	failed    map[string]bool          // machines on which a task of it ended without being done
}

// rules watches the rules of the protocol, by what users and machines see.
type rules struct {
	w      *world
	mu     sync.Mutex
	jobs   map[string]*history
	broken []string
	seen   map[string]bool

	sickJob  string // its first machines are sick
	sickMost int
	sick     map[string]bool // machines that fail every task
}

func newRules(w *world) *rules {
	return &rules{w: w, jobs: map[string]*history{}, seen: map[string]bool{}}
}

// job returns the description that the user of a job uploaded for the workers.
func (r *rules) job(id string) *model.Job {
	r.mu.Lock()
	defer r.mu.Unlock()
	if h := r.jobs[id]; h != nil {
		return h.spec
	}
	return nil
}

// breaks records once that a rule was broken.
func (r *rules) breaks(rule, subject, format string, args ...any) {
	if r.seen[rule+subject] {
		return
	}
	r.seen[rule+subject] = true
	text := rule + ": " + subject + " " + fmt.Sprintf(format, args...)
	r.broken = append(r.broken, text)
	r.w.note("RULE BROKEN: %s", text)
}

// observe is called for each task that begins or ends to be on a machine: that has its image, or exits, is killed, or
// whose machine is gone.
func (r *rules) observe(e standin.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.jobs[e.Job.ID]
	if h == nil {
		return
	}
	r.w.note("task %s, machine %s (%s, zone %s): on it %v, done %v", e.Task, e.Machine, e.Type, e.Zone, e.On, e.Done)
	if !e.On {
		if h.active[e.Task].Machine == e.Machine {
			delete(h.active, e.Task)
		}
		h.failed[e.Machine] = !e.Done
		return
	}
	if other, on := h.active[e.Task]; on && other.Machine != e.Machine {
		r.breaks("ran_twice", e.Task, "starts on %s while it is on %s", e.Machine, other.Machine)
	}
	h.active[e.Task] = e
	if e.Job.ID == r.sickJob && len(r.sick) < r.sickMost {
		r.sick[e.Machine] = true
	}
}

// tick looks for tasks that are on a machine for too long after their user was told that the job is cancelled.
func (r *rules) tick() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range r.jobs {
		if h.cancelled.IsZero() || time.Since(h.cancelled) <= cancelWait+tolerance {
			continue
		}
		for task, e := range h.active {
			r.breaks("ran_cancelled", task, "is on %s %.1f s after its user was told that the job is cancelled; cancel_s is %.0f",
				e.Machine, time.Since(h.cancelled).Seconds(), cancelWait.Seconds())
		}
	}
}

// answer records an answer about a job.
func (r *rules) answer(id string, t told) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.w.note("%s %s at %s: %d %s", t.what, id, t.node, t.status, t.stage)
	if h := r.jobs[id]; h != nil && t.status == 200 && t.stage == "aborted" && h.cancelled.IsZero() {
		h.cancelled = t.got
	}
}

// watch has the rules look at the time until stop is called.
func (r *rules) watch() (stop func()) {
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(50 * time.Millisecond):
				r.tick()
			}
		}
	}()
	return func() { close(done) }
}

// placed reports whether all tasks of a job are on machines.
func (r *rules) placed(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.jobs[id].active) == r.jobs[id].spec.Tasks
}

// gone reports whether no task of a job is on a machine.
func (r *rules) gone(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.jobs[id].active) == 0
}

// machines returns the machines that tasks of some jobs are on.
func (r *rules) machines(ids ...string) (machines []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range ids {
		for _, e := range r.jobs[id].active {
			machines = append(machines, e.Machine)
		}
	}
	return machines
}

// failOn has tasks of a job fail on the first machines that they are on; the others are well.
func (r *rules) failOn(id string, machines int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sickJob, r.sickMost, r.sick = id, machines, map[string]bool{}
}

// fails reports whether a task of a job fails at its end, because a machine that it is on is sick.
func (r *rules) fails(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.jobs[id].active {
		if r.sick[e.Machine] {
			return true
		}
	}
	return false
}

// failures returns the number of machines on which a task of a job ended without being done.
func (r *rules) failures(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.jobs[id].failed)
}
