package placement

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

// A record in the unsplit form, as written by the version in production, is read. When the limits of the state service
// become lower, the record shrinks at its next writes to the new limits, and no finished task is lost after any of them.
func TestUnsplitRecordIsReadAndSplit(t *testing.T) {
	p := loadProduction(t)
	b := newBench(t)
	b.opt.PartTasks, b.opt.SplitTasks = model.PartTasks(8192-2048), model.PartTasks(1024-128)
	l := &limitedStore{valueBytes: 2048, maxOps: 5, record: p.Record, parts: p.Parts, revision: 30, now: 5}
	if err := b.AddJob(at(0), "req-000412", p.Record, 30, p.Parts); err != nil {
		t.Fatal(err)
	}
	j := b.jobs.At("req-000412")
	if j.Finished() != 15000 || !j.Started || j.Spec.Deadline != 90*time.Second {
		t.Fatalf("read %d finished tasks, %+v", j.Finished(), j.Spec)
	}
	// The unsplit form is written as long as some controller reads no other.
	b.markFinished(j, j.pickTasks(1)[0])
	old := b.DueWrites(at(5), time.Second, 4)[0]
	if _, ok := old.Parts["t0"]; ok || old.Record == nil || len(old.Record.Finished) < 2048 {
		t.Errorf("write is not in the unsplit form: %d parts", len(old.Parts))
	}
	b.WriteTooLarge(old)
	rejected := l.writeAll(t, b, 15000)
	if rejected > 0 || len(l.record) > 2048 {
		t.Errorf("%d writes rejected, record has %d bytes", rejected, len(l.record))
	}
	if got := l.load(t, b.opt).Finished(); got != 15001 {
		t.Errorf("%d finished tasks at the end", got)
	}
	before := l.written
	b.markFinished(j, j.pickTasks(1)[0])
	l.writeAll(t, b, 15001)
	if l.written != before+1 {
		t.Errorf("one more finished task took %d writes", l.written-before)
	}
}

// Writes that the state service rejects as too large are retried with smaller or fewer parts. Here the job's spec
// leaves no space for a part of the completion bitmap in the record, and the store's limits are lower than the
// settings. A write that cannot be made small enough is not repeated without end.
func TestRejectedWritesShrink(t *testing.T) {
	b := newBench(t)
	b.opt.PartTasks, b.opt.SplitTasks = 40000, model.PartTasks(896)
	b.job("req-000412", func(j *model.Job) { j.Tasks, j.Image = 5000, strings.Repeat("i", 1900) })
	b.SplitParts()
	l := &limitedStore{valueBytes: 300, maxOps: 5, parts: map[string]string{}}
	l.record, _ = json.Marshal(JobRecord{Job: b.jobs.At("req-000412").Spec})
	for i := 0; i < 5000; i += 3 {
		b.markFinished(b.jobs.At("req-000412"), i)
	}
	if rejected := l.writeAll(t, b, 0); rejected == 0 || rejected > 10 {
		t.Errorf("%d writes rejected", rejected)
	}
	if got := l.load(t, b.opt).Finished(); got != 1667 {
		t.Errorf("%d finished tasks", got)
	}
	// The store accepts fewer operations per transaction than the settings allow.
	l.maxOps = 2
	for i := 1; i < 5000; i += 3 {
		b.markFinished(b.jobs.At("req-000412"), i)
	}
	if rejected := l.writeAll(t, b, 1667); rejected > 3 || l.load(t, b.opt).Finished() != 3334 {
		t.Errorf("%d writes rejected, %d finished tasks", rejected, l.load(t, b.opt).Finished())
	}
	l.valueBytes = 0
	b.markFinished(b.jobs.At("req-000412"), 2)
	if rejected := l.writeAll(t, b, 3334); rejected > 10 {
		t.Errorf("%d writes rejected by a store that accepts nothing", rejected)
	}
}

// The record of a job that does not wait for dependencies contains no fields that the version in production does not
// know, except job.yard. A leader of that version therefore runs the job like any other.
func TestRecordFieldsKnownToProductionVersion(t *testing.T) {
	keys := func(v json.RawMessage) (out []string) {
		var m map[string]json.RawMessage
		if err := json.Unmarshal(v, &m); err != nil {
			t.Fatal(err)
		}
		for k, inner := range m {
			out = append(out, k)
			if k == "job" {
				var spec map[string]json.RawMessage
				if err := json.Unmarshal(inner, &spec); err != nil {
					t.Fatal(err)
				}
				for name := range spec {
					out = append(out, "job."+name)
				}
			}
		}
		slices.Sort(out)
		return out
	}
	p := loadProduction(t)
	known := keys(p.Record)
	v, err := json.Marshal(JobRecord{Job: &model.Job{ID: "req-1", Zone: "a", Types: []string{"big"}, Deadline: time.Second}, AcceptedMS: 1,
		Started: true, Finished: "b", Count: 1})
	if err != nil {
		t.Fatal(err)
	}
	for _, k := range keys(v) {
		if !slices.Contains(known, k) && k != "job.yard" {
			t.Errorf("field %s is unknown to the version in production", k)
		}
	}
	final, err := json.Marshal(FinalJobRecord{Stage: model.Cancelled, Tasks: 3})
	if err != nil || !slices.Equal(keys(final), keys(p.Final)) {
		t.Errorf("final record has the fields %v", keys(final))
	}
}

// When more writes are due than may be in flight, final writes are sent in the order in which the jobs finished, also
// if some writes fail and many writes only serve for display. Otherwise some jobs would be reported as finished long
// after jobs that ended later.
func TestDueWritesOrder(t *testing.T) {
	for _, c := range []struct {
		name    string
		fails   int // every n-th write fails; 0: none
		started int // additional arrays that start in each second
	}{{"all are taken", 0, 0}, {"every third fails", 3, 0}, {"many start", 0, 30}, {"many start, every second fails", 2, 30}} {
		b := newBench(t)
		ended := map[string]int{}
		slowest, reported, tries := 0, 0, 0
		var inFlight []*JobWrite
		for s := range 60 {
			for i := range 8 { // as many final writes per second as two thirds of the writes in flight
				id := fmt.Sprintf("req-%d-%d", (s*8+i)*7919%1000, s)
				b.job(id, nil)
				b.jobs.At(id).Accepted, ended[id] = at(float64(s)), s
				b.markFinished(b.jobs.At(id), 0)
			}
			for i := range c.started {
				id := fmt.Sprintf("begun-%d-%d", s, i)
				b.job(id, func(j *model.Job) { j.Tasks = 2 })
				b.jobs.At(id).dirty = true
			}
			inFlight = b.DueWrites(at(float64(s)), time.Second, 8)
			if len(inFlight) > maxWritesInFlight {
				t.Fatalf("%s: %d writes in flight", c.name, len(inFlight))
			}
			for _, v := range inFlight {
				tries++
				ok := c.fails == 0 || tries%c.fails != 0
				b.WriteDone(v, ok, 5)
				if ok && v.Over != nil {
					slowest, reported = max(slowest, s-ended[v.ID]), reported+1
				}
			}
		}
		if reported < 250 {
			t.Errorf("%s: only %d jobs were reported as finished", c.name, reported)
		}
		if most := map[int]int{0: 1, 3: 3, 2: 31}[c.fails]; slowest > most {
			t.Errorf("%s: a job was reported as finished %d s after its end", c.name, slowest)
		}
	}
}

// When the limit of the state service falls below the size of the stored parts, the parts shrink. After each write,
// every finished task that was stored before is still in an old or a new part, whichever task finishes next and however
// few parts a transaction holds.
func TestPartsShrink(t *testing.T) {
	for _, parts := range []int{1, 2, 4} {
		for _, value := range []int{60, 90, 400} { // from 64 and 320 tasks a part to the record's own shrinking
			for _, next := range []int{0, 600, 1100, 1999} {
				t.Run(fmt.Sprintf("%d parts of %d bytes, task %d", parts, value, next), func(t *testing.T) {
					b := newBench(t)
					b.opt.PartTasks, b.opt.SplitTasks = 40000, 1024
					b.job("req-000412", func(j *model.Job) { j.Tasks = 2000 })
					b.SplitParts()
					j := b.jobs.At("req-000412")
					l := &limitedStore{valueBytes: 1000, maxOps: 5, parts: map[string]string{}}
					l.record, _ = json.Marshal(JobRecord{Job: j.Spec})
					draw := rand.New(rand.NewPCG(1, uint64(next)))
					for j.Finished() < 500 {
						if i := draw.IntN(2000); i != next {
							b.markFinished(j, i)
						}
					}
					if rejected := l.writeAll(t, b, 0); rejected > 0 || l.load(t, b.opt).Finished() != 500 {
						t.Fatalf("%d writes rejected, %d finished tasks", rejected, l.load(t, b.opt).Finished())
					}
					l.valueBytes, l.maxOps = value, parts
					b.markFinished(j, next)
					rejected := l.writeAll(t, b, 500)
					if got := l.load(t, b.opt).Finished(); rejected == 0 || got != 501 {
						t.Errorf("%d writes rejected, %d finished tasks at the end", rejected, got)
					}
				})
			}
		}
	}
}

// Parts begin to be split while a write of a job's record in the unsplit form is in flight. The tasks in that record
// that do not fit into the first split part are stored again before the record shrinks.
func TestSplitDuringWrite(t *testing.T) {
	b := newBench(t)
	b.opt.PartTasks, b.opt.SplitTasks = 40000, 512
	b.job("req-000412", func(j *model.Job) { j.Tasks = 5000 })
	l := &limitedStore{valueBytes: 4000, maxOps: 5, parts: map[string]string{}}
	j := b.jobs.At("req-000412")
	for i := 0; i < 5000; i += 3 {
		b.markFinished(j, i)
	}
	s := b.DueWrites(at(0), time.Second, 4)[0]
	b.SplitParts()
	if !l.accept(t, s) || l.load(t, b.opt).Finished() != 1667 {
		t.Fatal("the record is not stored")
	}
	b.WriteDone(s, true, l.revision)
	b.markFinished(j, 1)
	if rejected := l.writeAll(t, b, 1667); rejected > 0 || l.load(t, b.opt).Finished() != 1668 || len(l.parts) < 9 {
		t.Errorf("%d writes rejected, %d finished tasks, %d parts", rejected, l.load(t, b.opt).Finished(), len(l.parts))
	}
}

// A leader fails while parts shrink, and the next leader begins with large parts again. No finished task is lost,
// whichever number of writes the first leader completed.
func TestLeaderFailsWhilePartsShrink(t *testing.T) {
	halfway := 0
	for n := range 24 { // rounds of writes of the first leader
		b := newBench(t)
		b.opt.PartTasks, b.opt.SplitTasks = 40000, 1024
		b.job("req-000412", func(j *model.Job) { j.Tasks = 2000 })
		b.SplitParts()
		l := &limitedStore{valueBytes: 1000, maxOps: 5, parts: map[string]string{}}
		l.record, _ = json.Marshal(JobRecord{Job: b.jobs.At("req-000412").Spec})
		for draw := rand.New(rand.NewPCG(1, 2)); b.jobs.At("req-000412").Finished() < 500; {
			b.markFinished(b.jobs.At("req-000412"), 1+draw.IntN(1999))
		}
		l.writeAll(t, b, 0)
		l.valueBytes, l.maxOps = 30, 1
		b.markFinished(b.jobs.At("req-000412"), 0)
		for range n {
			l.now += 2
			for _, s := range b.DueWrites(at(l.now), time.Second, 4) {
				if l.accept(t, s) {
					b.WriteDone(s, true, l.revision)
				} else {
					b.WriteTooLarge(s)
				}
			}
		}
		if len(l.parts) > 2 && b.jobs.At("req-000412").dirty {
			halfway++
		}
		next := newBench(t)
		next.opt.PartTasks, next.opt.SplitTasks = 40000, 1024
		next.SplitParts()
		if err := next.AddJob(at(l.now), "req-000412", l.record, 30, l.parts); err != nil {
			t.Fatal(err)
		}
		next.markFinished(next.jobs.At("req-000412"), 0)
		rejected := l.writeAll(t, next, 500)
		if got := l.load(t, b.opt).Finished(); rejected == 0 || got != 501 {
			t.Errorf("after %d rounds of writes: %d rejected, %d finished tasks at the end", n, rejected, got)
		}
	}
	if halfway < 3 {
		t.Errorf("only %d leaders failed halfway: the test shows nothing", halfway)
	}
}

// A completion bitmap that the state service accepts in no form is not sent again before more tasks finish. The job
// still gets its final write, also if its last task finishes while a write of the bitmap is in flight. A final record
// that is rejected is not sent again.
func TestFinishedWithoutStoredBitmap(t *testing.T) {
	for _, tasks := range []int{60, 200, 1000} {
		for _, maxParts := range []int{1, 4} {
			b := newBench(t)
			b.opt.PartTasks, b.opt.SplitTasks = 40000, 256
			b.job("req-000412", func(j *model.Job) { j.Tasks = tasks })
			b.SplitParts()
			j := b.jobs.At("req-000412")
			for i := range tasks - 2 {
				b.markFinished(j, i)
			}
			now := 0.0
			next := func() []*JobWrite {
				now += 2
				return b.DueWrites(at(now), time.Second, maxParts)
			}
			rejectAll := func(least int) {
				t.Helper()
				rejected := 0
				for writes := next(); len(writes) > 0; writes = next() {
					if rejected++; rejected > 10 {
						t.Fatalf("%d tasks, %d parts: the writes do not end", tasks, maxParts)
					}
					b.WriteTooLarge(writes[0])
				}
				if rejected < least {
					t.Fatalf("%d tasks, %d parts: %d writes rejected", tasks, maxParts, rejected)
				}
			}
			rejectAll(1)
			b.markFinished(j, tasks-2)
			writes := next()
			if len(writes) != 1 || writes[0].Over != nil {
				t.Fatalf("%d tasks, %d parts: due writes are %v", tasks, maxParts, writes)
			}
			b.markFinished(j, tasks-1)
			b.WriteTooLarge(writes[0])
			if writes = next(); len(writes) != 1 || writes[0].Over == nil {
				t.Fatalf("%d tasks, %d parts: due writes at the end are %v", tasks, maxParts, writes)
			}
			b.WriteTooLarge(writes[0])
			rejectAll(0)
		}
	}
}
