package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Times of the case.
const (
	forgottenAfter = 75 * time.Second  // a job about which no question is answered for this long counts as forgotten
	meshCancelled  = 27 * time.Second  // the user calls the gang off this long after the submission
	meshWatched    = 109 * time.Second // the case ends this long after its start
	pollEvery      = 5 * time.Second   // users poll roughly every 5 s
	meshSolves     = 24                // other jobs, so that one in 25 (0.04) has a mistake
)

func largeGangSite() site { return planimetra() }

// meshJob returns the gang that is submitted: as meant, or with the mistake. Both need 30 CPUs and 30 GB in all.
func meshJob(mistake bool) job {
	mesh := job{id: "req-000900", class: "mesh-fuse", team: "ricerca", shape: "gang", rank: "normal", pieces: 30, cpus: 1, memory: 1,
		guess: 20, image: "mesh-1", imageGB: 1, together: true}
	if mistake {
		mesh.pieces, mesh.cpus, mesh.memory = 60000, 0.0005, 0.0005
	}
	return mesh
}

// follower is a user who asks for a job again and again.
type follower struct {
	id       string
	answered time.Time // when a question about the job was last answered
	over     bool
}

// follow asks for the job until the end, or until it is over.
func (f *follower) follow(w *world, first int, end time.Time) {
	for i := first; time.Now().Before(end) && !f.over; i++ {
		if status, stage := w.ask(f.id, i); status == http.StatusOK {
			f.answered, f.over = time.Now(), stage == "done" || stage == "aborted"
		}
		time.Sleep(pollEvery)
	}
}

// largeGang has a user submit a gang of very many pieces, each of them very small, for one zone, beside solves of 15 s, and call it off later.
// Users go on asking for their jobs.
func largeGang(w *world, trouble bool) error {
	end := time.Now().Add(meshWatched)
	jobs := []job{}
	for i := range meshSolves {
		jobs = append(jobs, job{id: fmt.Sprintf("req-%06d", i), class: "pianta-solve", team: w.site.teams[i%len(w.site.teams)].name, shape: "gang", rank: "high",
			pieces: 1, cpus: 2, memory: 10, guess: 15, image: "solve-1", imageGB: 1})
	}
	mesh := meshJob(trouble)
	jobs = append(jobs, mesh)
	var followers []*follower
	var users sync.WaitGroup
	for i, j := range jobs {
		if !w.submit(j, i) {
			return fmt.Errorf("%s was not accepted", j.id)
		}
		f := &follower{id: j.id, answered: time.Now()}
		followers = append(followers, f)
		users.Add(1)
		go func() {
			defer users.Done()
			f.follow(w, i, end)
		}()
	}
	over := time.Now() // when all trouble was over
	if trouble {
		over = time.Now().Add(meshCancelled)
		time.Sleep(meshCancelled)
		if stage := w.cancel(mesh.id, 0, end); stage != "" {
			over = time.Now()
		}
	}
	users.Wait()
	w.judgeFollowers(followers, over)
	return nil
}

// judgeFollowers checks that no job that is not over went without an answer for too long after all trouble was over.
func (w *world) judgeFollowers(followers []*follower, over time.Time) {
	for _, n := range w.nodes {
		status, _, text := w.request(n, http.MethodGet, "/up", nil, time.Second)
		w.logf("GET /up at %s: %d %s", n.name, status, text)
	}
	for _, f := range followers {
		since := f.answered
		if since.Before(over) {
			since = over
		}
		silent := time.Since(since)
		w.logf("%s: over %v, last answered %.1f s ago, of these %.1f s without trouble", f.id, f.over, time.Since(f.answered).Seconds(), silent.Seconds())
		if !f.over && silent >= forgottenAfter {
			w.breaks("forgotten", "no question about %s has been answered for %.0f s since its user's or another's last trouble was over, at any of the controllers", f.id, silent.Seconds())
		}
	}
}
