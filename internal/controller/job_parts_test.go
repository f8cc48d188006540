package controller

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/marlwood/marlwood/internal/leadership"
	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/placement"
	"github.com/marlwood/marlwood/internal/settings"
	"github.com/marlwood/marlwood/internal/simulation"
	"github.com/marlwood/marlwood/internal/standin"
	"github.com/marlwood/marlwood/internal/store"
)

// lateShardWriteCase describes a write that contains only shards and is executed late.
type lateShardWriteCase struct {
	name   string
	stored bool        // the shards are stored before the write
	late   int         // when the write is executed: 0 at once, 1 after the reread, 2 after a newer write, 3 after two
	newer  [2][]string // the shards of the newer writes; the late one has t64 and t128
}

// TestLateShardWriteKeepsNewerCompletions checks that a write that contains only shards never overwrites
// completions that a later write of the same leader has stored. Its answer is lost, and it is executed at
// once or at a later step.
func TestLateShardWriteKeepsNewerCompletions(t *testing.T) {
	for _, c := range []lateShardWriteCase{
		{"at once, shards exist", true, 0, [2][]string{{"t64"}, {"t128"}}},
		{"at once, shards do not exist", false, 0, [2][]string{{"t64", "t128"}, {"t64"}}},
		{"between reread and newer write, shards exist", true, 1, [2][]string{{"t64"}, {"t128"}}},
		{"between reread and newer write, shards do not exist", false, 1, [2][]string{{"t64"}, {"t128"}}},
		{"after a newer write of both shards", true, 2, [2][]string{{"t64", "t128"}, {"t64"}}},
		{"after a newer write of one shard", true, 2, [2][]string{{"t128"}, {"t64"}}},
		{"after a newer write that created a shard", false, 2, [2][]string{{"t64"}, {"t128"}}},
		{"after two newer writes, shards exist", true, 3, [2][]string{{"t64"}, {"t128"}}},
		{"after two newer writes that created the shards", false, 3, [2][]string{{"t64"}, {"t128"}}},
	} {
		t.Run(c.name, c.run)
	}
}

func (c lateShardWriteCase) run(t *testing.T) {
	job := newStoredJob(t, c.stored)
	lost, txn := job.write("1", "t64", "t128")
	executeLate := func(step int) {
		if step != c.late {
			return
		}
		out, err := job.kv.Txn(txn)
		if err != nil || out.Succeeded() != (c.late < 2) {
			t.Errorf("late write: %v %v", out, err)
		}
	}
	executeLate(0)
	job.reread(lost)
	executeLate(1)
	newest := map[string]string{}
	for i, names := range c.newer {
		text := []string{"2", "3"}[i]
		job.store(text, names...)
		for _, name := range names {
			newest[name] = text
		}
		executeLate(2 + i)
	}
	for name, want := range newest {
		var got string
		item, err := job.kv.Get(job.key(name))
		if err != nil || json.Unmarshal(item.Value, &got) != nil || got != want {
			t.Errorf("shard %s holds %s (error %v), want %s", name, item.Value, err, want)
		}
	}
}

// storedJob is a job in a key-value store, with the revisions that its leader knows.
type storedJob struct {
	testing.TB
	kv       *simulation.Store
	id       string
	token    uint64
	revision uint64 // of its record
	parts    shardRevisions
}

// newStoredJob stores a job, and its shards if withShards is set.
func newStoredJob(t testing.TB, withShards bool) *storedJob {
	t.Helper()
	j := &storedJob{TB: t, kv: simulation.NewStore(simulation.New(1), 16), id: "req-000412", parts: shardRevisions{}}
	j.token = j.must(store.Txn{Writes: []store.Write{store.Put(leadership.Key, "n0")}})
	j.revision = j.must(store.Txn{Writes: []store.Write{store.Put(placement.JobPrefix+j.id, "")}})
	if withShards {
		j.must(store.Txn{Writes: []store.Write{store.Put(j.key("t64"), "0"), store.Put(j.key("t128"), "0")}})
	}
	items, _ := j.kv.List(placement.PartPrefix)
	j.parts.load(items)
	return j
}

// must executes a transaction that must succeed, and returns its revision.
func (j *storedJob) must(txn store.Txn) uint64 {
	j.Helper()
	out, err := j.kv.Txn(txn)
	if err != nil || !out.Succeeded() {
		j.Fatalf("%v: %v %v", txn, out, err)
	}
	return out.Revision
}

// key returns the key of a shard.
func (j *storedJob) key(part string) string { return placement.PartPrefix + j.id + "/" + part }

// write returns a job write that sets the named shards to text, and its transaction.
func (j *storedJob) write(text string, names ...string) (*placement.JobWrite, store.Txn) {
	write := &placement.JobWrite{ID: j.id, Stamp: j.revision, Parts: map[string]string{}}
	for _, name := range names {
		write.Parts[name] = text
	}
	return write, jobWriteTxn(store.Txn{Preconditions: []store.Precondition{{Key: leadership.Key, Revision: j.token}}}, write, j.parts)
}

// reread reads the shards after a write that failed or went unanswered.
func (j *storedJob) reread(write *placement.JobWrite) {
	items, _ := j.kv.List(j.key(""))
	j.parts.reread(write, items)
}

// store executes a write, and retries it once if the late write was executed before it.
func (j *storedJob) store(text string, names ...string) {
	j.Helper()
	write, txn := j.write(text, names...)
	out, err := j.kv.Txn(txn)
	if err == nil && !out.Succeeded() {
		j.reread(write)
		write, txn = j.write(text, names...)
		out, err = j.kv.Txn(txn)
	}
	if err != nil || !out.Succeeded() {
		j.Fatalf("write %s is not stored: %v %v", text, out, err)
	}
	j.parts.written(write, out.Revision)
}

// TestShardRevisionsOfOpenJobs checks that only the shard revisions of open jobs are kept, and that they
// become the preconditions of a write.
func TestShardRevisionsOfOpenJobs(t *testing.T) {
	p := shardRevisions{}
	p.load([]store.Item{{Key: "part/a/b/t64", Revision: 7}, {Key: "part/c/2", Revision: 8}, {Key: "part/odd", Revision: 9}})
	if p["a/b"]["t64"] != 7 || p["c"]["2"] != 8 || len(p) != 2 {
		t.Errorf("loaded revisions %v", p)
	}
	p.retain(func(job string) bool { return job == "c" })
	write := &placement.JobWrite{ID: "c", Stamp: 5, Parts: map[string]string{"2": "", "0": ""}}
	txn := jobWriteTxn(store.Txn{}, write, p)
	want := []store.Precondition{{Key: "job/c", Revision: 5}, {Key: "part/c/0"}, {Key: "part/c/2", Revision: 8}}
	if len(p) != 1 || !slices.Equal(txn.Preconditions, want) || len(txn.Writes) != 2 {
		t.Errorf("kept revisions %v, preconditions %v", p, txn.Preconditions)
	}
}

// shardWrites leaves the first write that contains only shards unanswered. It is safe for concurrent use.
type shardWrites struct {
	state *standin.State
	fate  standin.Fate // of the unanswered write

	mu         sync.Mutex
	unanswered []string          // the keys of the unanswered write
	newer      []string          // the keys of later writes that share a key with it
	before     map[string]uint64 // revisions of its keys before it
}

// decide returns the fate of a write to keys.
func (w *shardWrites) decide(keys []string) standin.Fate {
	w.mu.Lock()
	defer w.mu.Unlock()
	shardsOnly := !slices.ContainsFunc(keys, func(key string) bool { return !strings.HasPrefix(key, placement.PartPrefix) })
	switch {
	case len(w.unanswered) == 0 && len(keys) > 0 && shardsOnly:
		w.unanswered = keys
		for _, key := range keys {
			w.before[key] = w.state.Revision(key)
		}
		return w.fate
	case slices.ContainsFunc(keys, func(key string) bool { return slices.Contains(w.unanswered, key) }):
		w.newer = append(w.newer, keys...)
	}
	return standin.Answered
}

// restart selects another write to leave unanswered. A write that no newer write followed before its job
// ended does not exercise the failure.
func (w *shardWrites) restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unanswered = nil
}

// followed reports whether a newer write of the same shards was sent after the unanswered one.
func (w *shardWrites) followed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.newer) > 0
}

// changed reports whether one of the keys of the unanswered write has been written since.
func (w *shardWrites) changed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.ContainsFunc(w.unanswered, func(key string) bool { return w.state.Revision(key) != w.before[key] })
}

// newSiteOfHugeArrays returns a cluster whose machines run arrays of thousands of short tasks and whose state
// service accepts only small values, so that completions are written to several shards each second.
func newSiteOfHugeArrays(t testing.TB) *testCluster {
	t.Helper()
	machineType := &standin.Type{Name: "s64", Size: model.Size{CPUs: 64, MemoryGB: 1024}, CacheGB: 50, FetchGBPerS: 100, Price: 1, SpotPrice: 0.4,
		Boot: 10 * time.Millisecond, Zones: []string{"a", "b"}, Limit: 10}
	machines := standin.Options{
		Lease:  4 * time.Second,
		Report: 100 * time.Millisecond,
		Soon:   50 * time.Millisecond,
		Types:  []*standin.Type{machineType},
		Takes:  func(*model.Job, int) time.Duration { return 100 * time.Millisecond },
	}
	return newTestClusterWith(t, machines, func(_ int, cfg *settings.Platform, op *settings.Operator) {
		cfg.ValueBytes, cfg.WideValueBytes, cfg.TxnOps = 1024, 1024, 2
		op.Placement.TasksPerRound = 2000
	})
}

// TestUnansweredShardWrites runs a huge array over real sockets, whose completions are written to several
// shards each second. One write that contains only shards goes unanswered, and is executed at once, or late
// after a newer write of the same shard. No completion may be lost, and the job must run to its end.
func TestUnansweredShardWrites(t *testing.T) {
	const tasks = 9000
	for _, c := range []struct {
		name   string
		fate   standin.Fate
		status []int // statuses of the writes executed late
	}{{"executed at once", standin.Unanswered, nil}, {"executed late, after a newer write", standin.Late, []int{409}}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newSiteOfHugeArrays(t)
			writes := &shardWrites{state: s.state, fate: c.fate, before: map[string]uint64{}}
			s.state.Fates(writes.decide)
			isDone := func(id string) bool {
				_, v := s.request("GET", "/api/jobs/"+id, "")
				return done(v)
			}
			// The number of completions in a write depends on the speed of the computer, so jobs are submitted
			// until a newer write follows the unanswered one.
			last := ""
			for i := 0; !writes.followed(); i++ {
				writes.restart()
				s.state.Deliver()
				last = fmt.Sprintf("huge-%d", i)
				body := strings.Replace(job(last, "batch", tasks), `"cpus":2`, `"cpus":0.5`, 1)
				if status, v := s.request("POST", "/api/jobs", body); status != 201 {
					t.Fatalf("%d %v", status, v)
				}
				for !writes.followed() && !isDone(last) {
					time.Sleep(20 * time.Millisecond)
				}
			}
			for !writes.changed() {
				time.Sleep(time.Millisecond) // until the newer write is executed
			}
			if got := s.state.Deliver(); !slices.Equal(got, c.status) {
				t.Errorf("statuses of writes executed late: %v", got)
			}
			for !isDone(last) {
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
}
