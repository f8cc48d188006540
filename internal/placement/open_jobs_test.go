package placement

import (
	"fmt"
	"maps"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/peers/peerspb"
)

// A controller that reads the list in parts, some of them twice, has the jobs that are open, also after the log was
// rewritten and if a job was closed and opened again.
func TestOpenJobsReadInParts(t *testing.T) {
	cs := &ClusterState{jobs: model.NewTable[string, *Job](), openJobs: openJobLog{list: 1}}
	known := map[string]bool{}
	message := &peerspb.OpenJobs{}
	read := func(limit int) {
		list := message.List
		message = cs.OpenJobsSince(message.List, message.To, limit)
		if message.List != list {
			clear(known)
		}
		for _, job := range message.Opened {
			known[job] = true
		}
		for _, job := range message.Closed {
			delete(known, job)
		}
	}
	change := func(i int, closed bool) {
		id := fmt.Sprint("job-", i)
		cs.jobs.Put(id, &Job{Cancelled: closed})
		cs.logOpenChange(id)
		if closed && i%16 > 0 { // a job stays known until its last task is released
			cs.jobs.Delete(id)
		}
	}
	for i := range 3 * minLoggedChanges {
		change(i, false)
		change(i-50, true)
		if i%1000 == 0 {
			confirmed := message
			read(64)
			message = confirmed // the answer is lost
			change(i-50, false)
			read(64)
		}
	}
	for message.Complete = false; !message.Complete; {
		read(1000)
	}
	open := map[string]bool{}
	for id := range cs.jobs.All() {
		if cs.IsOpen(id) {
			open[id] = true
		}
	}
	if !maps.Equal(known, open) || len(open) < 50 || message.List == 1 {
		t.Errorf("list %d: %d jobs are known, %d are open", message.List, len(known), len(open))
	}
}

// BenchmarkOpenJobs measures a whole list, as an owner gets it under a fresh token, and a message of the rounds after
// that, with ten changes.
func BenchmarkOpenJobs(b *testing.B) {
	for _, jobs := range []int{1000, 4000, 16000} {
		cs := &ClusterState{jobs: model.NewTable[string, *Job](), openJobs: openJobLog{list: 1}}
		for i := range jobs {
			id := fmt.Sprintf("req-%06d", i)
			cs.jobs.Put(id, &Job{})
			cs.logOpenChange(id)
		}
		for _, from := range []int{0, jobs - 10} {
			b.Run(fmt.Sprintf("jobs=%d/changes=%d", jobs, jobs-from), func(b *testing.B) {
				var encoded []byte
				for b.Loop() {
					encoded, _ = proto.Marshal(cs.OpenJobsSince(1, uint64(from), jobs))
				}
				b.ReportMetric(float64(len(encoded)), "bytes")
			})
		}
	}
}
