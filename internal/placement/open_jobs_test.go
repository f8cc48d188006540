package placement

import (
	"fmt"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"
)

// A controller that reads the list in parts, some of them twice, has the jobs that are open.
func TestOpenJobsReadInParts(t *testing.T) {
	log := newOpenJobLog()
	known := map[string]bool{}
	list, changes := uint64(0), uint64(0)
	read := func(limit int, confirmed bool) (complete bool) {
		message := log.since(list, changes, limit)
		if message.List != list && message.From == 0 {
			known = map[string]bool{}
		}
		for _, job := range message.Opened {
			known[job] = true
		}
		for _, job := range message.Closed {
			delete(known, job)
		}
		if confirmed {
			list, changes = message.List, message.To
		}
		return message.Complete
	}
	for i := range 3 * minLogChanges {
		log.opened(fmt.Sprint("job-", i))
		log.closed(fmt.Sprint("job-", i-50))
		if i%100 == 0 {
			read(64, i%200 == 0)
		}
	}
	for !read(1000, true) {
		read(500, false)
	}
	if log.number == 1 {
		t.Error("the log was never rewritten: it shows nothing")
	}
	if len(known) != len(log.open) {
		t.Errorf("%d jobs are known, %d are open", len(known), len(log.open))
	}
	for job := range log.open {
		if !known[job] {
			t.Fatalf("%s is open and not known", job)
		}
	}
	if len(log.changes) > minLogChanges+(maxClosedChanges+1)*len(log.open) {
		t.Errorf("the log holds %d changes for %d open jobs", len(log.changes), len(log.open))
	}
}

// A job that is closed and opened again is open.
func TestOpenJobsReopened(t *testing.T) {
	log := newOpenJobLog()
	log.opened("j")
	log.closed("j")
	log.opened("j")
	message := log.since(log.number, 1, 10)
	if !slices.Equal(message.Opened, []string{"j"}) || len(message.Closed) > 0 {
		t.Errorf("after the first change: %v", message)
	}
}

// BenchmarkOpenJobs measures a whole list, as an owner gets it under a fresh token, and a message of the rounds after
// that, with ten changes.
func BenchmarkOpenJobs(b *testing.B) {
	for _, jobs := range []int{1000, 4000, 16000} {
		log := newOpenJobLog()
		for i := range jobs {
			log.opened(fmt.Sprintf("req-%06d", i))
		}
		for _, part := range []struct {
			name string
			from uint64
		}{{"whole", 0}, {"changes=10", uint64(jobs - 10)}} {
			b.Run(fmt.Sprintf("jobs=%d/%s", jobs, part.name), func(b *testing.B) {
				b.ReportAllocs()
				size := 0
				for b.Loop() {
					encoded, err := proto.Marshal(log.since(log.number, part.from, jobs))
					if err != nil {
						b.Fatal(err)
					}
					size = len(encoded)
				}
				b.ReportMetric(float64(size), "bytes")
			})
		}
	}
}
