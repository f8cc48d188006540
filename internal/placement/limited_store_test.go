package placement

import (
	"encoding/json"
	"os"
	"testing"
	"time"
)

// production holds a job's records as written by the version before split parts. They were made by that version's own
// cluster state: an array of 40,000 tasks, values of 8 KiB, and 15,000 tasks drawn at random and marked as finished.
type production struct {
	Record json.RawMessage   `json:"record"`
	Parts  map[string]string `json:"parts"`
	Final  json.RawMessage   `json:"final"`
}

func loadProduction(t *testing.T) (p production) {
	b, err := os.ReadFile("testdata/production.json")
	if err == nil {
		err = json.Unmarshal(b, &p)
	}
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// limitedStore stores one job's records, and rejects writes that exceed its limits as the state service does.
type limitedStore struct {
	valueBytes, maxOps int
	record             json.RawMessage
	parts              map[string]string
	revision           uint64
	written            int
	now                float64
}

// accept stores a write, and reports whether it is within the limits.
func (l *limitedStore) accept(t *testing.T, s *JobWrite) bool {
	ops := len(s.Parts)
	size := 0
	var record json.RawMessage
	if s.Record != nil {
		var err error
		if record, err = json.Marshal(s.Record); err != nil {
			t.Fatal(err)
		}
		ops, size = ops+1, len(record)
	}
	for _, text := range s.Parts {
		size = max(size, len(text)+2)
	}
	if size > l.valueBytes || ops > l.maxOps {
		return false
	}
	for name, text := range s.Parts {
		l.parts[name] = text
	}
	if l.revision++; record != nil {
		l.record = record
	}
	l.written++
	return true
}

// maxParts is the most parts that a transaction holds in these tests.
const maxParts = 4

// writeAll applies writes until none is due, and returns the number of rejected ones. After each write, a new leader
// that reads the records must find at least as many finished tasks as were stored before.
func (l *limitedStore) writeAll(t *testing.T, b bench, least int) (rejected int) {
	t.Helper()
	for range 100 {
		l.now += 2
		writes := b.DueWrites(at(l.now), time.Second, maxParts)
		if len(writes) == 0 {
			return rejected
		}
		for _, v := range writes {
			if l.accept(t, v) {
				b.WriteDone(v, true, l.revision)
			} else {
				rejected++
				b.WriteTooLarge(v)
			}
		}
		if got := l.load(t, b.opt).Finished(); got < least {
			t.Fatalf("%d finished tasks were read back, %d were stored before", got, least)
		}
	}
	t.Fatal("the writes do not end")
	return 0
}

// load returns the job as a new cluster state reads it.
func (l *limitedStore) load(t *testing.T, opt Options) *Job {
	again := newBench(t)
	again.opt.PartTasks, again.opt.SplitTasks = opt.PartTasks, opt.SplitTasks
	if err := again.AddJob(at(0), "req-000412", l.record, 30, l.parts); err != nil {
		t.Fatal(err)
	}
	return again.jobs.At("req-000412")
}
