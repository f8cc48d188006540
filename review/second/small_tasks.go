package main

import (
	"fmt"
	"net/http"
	"time"

	"github.com/marlwood/marlwood/internal/standin"
)

func smallTasksSite() site {
	s := planimetra()
	s.types = append([]*standin.Type{}, s.types...)
	s.types[0].Zones, s.types[0].Limit = []string{"bovisa", "citta-studi"}, 1
	return s
}

// smallTasks has a guest team submit one array of many small tasks, beside four solves that need 35 s each.
func smallTasks(w *world, trouble bool) error {
	began := time.Now()
	guests := 40
	if trouble {
		guests = 4000
	}
	beacon := job{id: "req-000100", class: "sonde-beacon", team: "clienti", shape: "batch", rank: "normal", pieces: guests, cpus: 0.004, memory: 0.02,
		guess: 40, image: "beacon-1", imageGB: 0.1}
	if !w.submit(beacon, 0) {
		return fmt.Errorf("%s was not accepted", beacon.id)
	}
	var solves []string
	for i := range 4 {
		j := job{id: fmt.Sprintf("req-%06d", i), class: "pianta-solve", team: w.site.teams[i].name, shape: "gang", rank: "high", pieces: 1,
			cpus: 10, memory: 60, guess: 35, image: "solve-1", imageGB: 3}
		if !w.submit(j, i) {
			return fmt.Errorf("%s was not accepted", j.id)
		}
		solves = append(solves, j.id)
	}
	open := func() (jobs []string) {
		for _, id := range append([]string{beacon.id}, solves...) {
			pieces := 1
			if id == beacon.id {
				pieces = guests
			}
			if w.doneTasks(id) < pieces {
				jobs = append(jobs, id)
			}
		}
		return jobs
	}
	for time.Since(began) < 105*time.Second && len(open()) > 0 {
		time.Sleep(time.Second)
	}
	time.Sleep(3 * time.Second)
	for i, id := range append([]string{beacon.id}, solves...) {
		status, stage := w.ask(id, i)
		if status != http.StatusOK || stage != "done" {
			w.breaks("an accepted job must run", "%s, whose tasks need 40 s at most, is %q after %.0f s; %d of its tasks are done; %d tasks were killed with their machines' leases, while all machines, controllers and networks were well",
				id, stage, time.Since(began).Seconds(), w.doneTasks(id), w.cloud.Killed())
		}
	}
	return nil
}
