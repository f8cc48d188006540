package simtest

import (
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/marlwood/marlwood/internal/accounting"
	"github.com/marlwood/marlwood/internal/autoscaler"
	"github.com/marlwood/marlwood/internal/leadership"
	"github.com/marlwood/marlwood/internal/machinerecords"
	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/placement"
	"github.com/marlwood/marlwood/internal/store"
)

// writeKind is a row of the table in docs/meetings.md and selects the transactions that the row is about.
type writeKind struct {
	name   string
	is     func(c storeClient, t store.Txn) bool
	alone  bool // whether there may be no later transaction of its kind
	tokens bool // whether it needs workers that restart
}

func sets(t store.Txn, prefix string) *store.Write {
	for i, w := range t.Writes {
		if strings.HasPrefix(w.Set, prefix) {
			return &t.Writes[i]
		}
	}
	return nil
}

func deletes(t store.Txn, prefix string) bool {
	for _, w := range t.Writes {
		if strings.HasPrefix(w.Delete, prefix) {
			return true
		}
	}
	return false
}

// holdsLeaderKey reports whether the sender holds the leader key.
func holdsLeaderKey(c storeClient) bool {
	it, err := c.n.cluster.store.Get(leadership.Key)
	return err == nil && strings.Contains(string(it.Value), c.n.place.name)
}

// writeKinds are the kinds of writes under test. Submissions and cancellations have tests of their own. Settings are
// not written in the simulation.
var writeKinds = []writeKind{
	{"claim of the leader key", func(c storeClient, t store.Txn) bool { return sets(t, leadership.Key) != nil && !holdsLeaderKey(c) }, false, false},
	{"fresh token", func(c storeClient, t store.Txn) bool { return sets(t, leadership.Key) != nil && holdsLeaderKey(c) }, false, true},
	{"release of a waiting job", func(_ storeClient, t store.Txn) bool {
		return deletes(t, placement.WaitPrefix) && sets(t, placement.JobPrefix) != nil
	}, true, false},
	{"end of a job that waits, by whoever finds it", func(_ storeClient, t store.Txn) bool {
		return deletes(t, placement.WaitPrefix) && sets(t, placement.DonePrefix) != nil
	}, true, false},
	{"completion", func(_ storeClient, t store.Txn) bool {
		return t.LeaderBudget && deletes(t, placement.JobPrefix) && sets(t, placement.DonePrefix) != nil
	}, false, false},
	{"marks in the record", func(_ storeClient, t store.Txn) bool {
		w := sets(t, placement.JobPrefix)
		return t.LeaderBudget && w != nil && !strings.Contains(string(w.Value), `"claim"`) && !deletes(t, placement.WaitPrefix)
	}, false, false},
	{"claim of machines", func(_ storeClient, t store.Txn) bool {
		w := sets(t, placement.JobPrefix)
		return t.LeaderBudget && w != nil && strings.Contains(string(w.Value), `"claim"`)
	}, false, false},
	{"records of machines", func(_ storeClient, t store.Txn) bool {
		return sets(t, machinerecords.SingleRecordPrefix) != nil || sets(t, machinerecords.GroupRecordPrefix) != nil
	}, false, false},
	{"removal of records of machines", func(_ storeClient, t store.Txn) bool {
		return deletes(t, machinerecords.SingleRecordPrefix) || deletes(t, machinerecords.GroupRecordPrefix)
	}, false, false},
	{"charter of a rental", func(_ storeClient, t store.Txn) bool { return sets(t, autoscaler.LaunchPrefix) != nil }, false, false},
	{"end of a charter", func(_ storeClient, t store.Txn) bool { return deletes(t, autoscaler.LaunchPrefix) }, false, false},
	{"a drain", func(_ storeClient, t store.Txn) bool { return sets(t, placement.DrainPrefix) != nil }, false, false},
	{"its end", func(_ storeClient, t store.Txn) bool { return deletes(t, placement.DrainPrefix) }, false, false},
	{"machine types", func(_ storeClient, t store.Txn) bool { return sets(t, "types") != nil }, true, false},
	{"lines of accounts", func(_ storeClient, t store.Txn) bool { return sets(t, accounting.KeyPrefix) != nil }, false, false},
}

// writesPlan returns a schedule that has every kind of write: jobs of all shapes, some of which wait or are cancelled,
// drains, accounts, and leaders that crash.
func writesPlan(d int, seed uint64) Plan {
	x := deployments[d]
	return Plan{Seed: seed, Machines: 2, Report: x.report, Lease: x.lease, Cancel: x.cancel, Accounts: true,
		Jobs: []Submission{
			{At: 2 * sec, Shape: model.Array, Tasks: 3, Takes: 12 * sec},
			{At: 2 * sec, Shape: model.Gang, Tasks: 2, Takes: 20 * sec, Spot: true},
			{At: 3 * sec, Shape: model.Service, Tasks: 2, Takes: 30 * sec, Cancel: 30 * sec},
			{At: 5 * sec, Shape: model.Array, Tasks: 1, Takes: 2 * sec, Needs: []int{0}},
			{At: 4 * sec, Shape: model.Array, Tasks: 2, Takes: 80 * sec, Cancel: 25 * sec},
			{At: 6 * sec, Shape: model.Array, Tasks: 1, Takes: 5 * sec, Needs: []int{4}},
			{At: 20 * sec, Shape: model.Array, Tasks: 3, Team: 1, Takes: 6 * sec},
			{At: 32 * sec, Shape: model.Gang, Tasks: 3, Takes: 10 * sec},
			{At: 50 * sec, Shape: model.Array, Tasks: 2, Takes: 10 * sec},
		},
		Drains: []Draining{{At: 14 * sec, For: 6 * sec, Machine: 0, Deadline: 4 * sec, Force: true}, {At: 30 * sec, For: 7 * sec, Zone: "a", Force: true}},
		Faults: []Fault{
			{Kind: "crash", At: 36 * sec, For: 30 * sec, A: 7}, {Kind: "stop machine", At: 41 * sec, For: sec, A: 1}, {Kind: "crash", At: 55 * sec, For: 8 * sec, A: 7}},
	}
}

// restartedWorkers are restarts of workers, after which the leader takes new fencing tokens.
var restartedWorkers = []Fault{{Kind: "machine back", At: 17 * sec, For: 300 * time.Millisecond, A: 1}, {Kind: "machine back", At: 24 * sec, For: 300 * time.Millisecond, A: 2}}

// met counts what happened to the transactions of a kind.
type met struct {
	lost    int      // without an answer, and applied at once or never
	after   int      // answered after such a loss, and applied
	late    int      // applied late
	newer   int      // of these, applied in the same leadership after a newer one had been applied
	twice   []string // jobs that had more than one record after that
	unnamed []string // machines that had a task and no record when a transaction arrived
}

// deliver applies a transaction late.
func (m *met) deliver(c storeClient, t store.Txn, newer bool) {
	m.late++
	for _, g := range t.Preconditions { // in a later leadership its fencing token alone would make it fail
		if g.Key == leadership.Key && t.LeaderBudget {
			it, err := c.n.cluster.store.Get(g.Key)
			newer = newer && err == nil && it.Revision == g.Revision
		}
	}
	if newer {
		m.newer++
	}
	c.late(t)
	m.twice = append(m.twice, c.n.cluster.duplicateRecords()...)
}

// recordTaskLoss drops the answers of the first three transactions of a kind and of every third one after that.
func (m *met) lose(k writeKind) func(c storeClient, t store.Txn) fate { return m.some(k, unanswered) }

// drop never applies the same transactions. The sender cannot distinguish this from a lost answer.
func (m *met) drop(k writeKind) func(c storeClient, t store.Txn) fate { return m.some(k, held) }

func (m *met) some(k writeKind, f fate) func(c storeClient, t store.Txn) fate {
	seen := 0
	return func(c storeClient, t store.Txn) fate {
		if !k.is(c, t) {
			return answered
		}
		if seen++; seen > 3 && seen%3 != 0 {
			if c.n.cluster.preconditionsHold(t) {
				m.after++
			}
			return answered
		}
		m.lost++
		return f
	}
}

// latest is the longest time that a transaction is held if no newer one arrives.
const latest = 12 * sec

// hold delays transactions of a kind, one per controller at a time, until a newer one of the same controller has been
// applied.
func (m *met) hold(k writeKind) func(c storeClient, t store.Txn) fate {
	waiting := map[string]func(newer bool){} // by controller
	return func(c storeClient, t store.Txn) fate {
		if !k.is(c, t) {
			return answered
		}
		w, from := c.n.cluster, c.n.place.name
		if after := waiting[from]; after != nil {
			if w.preconditionsHold(t) {
				delete(waiting, from)
				after(true)
			}
			return answered
		}
		decided := false
		waiting[from] = func(newer bool) {
			decided = true
			delay := w.sim.Between(0, 300*time.Millisecond)
			switch {
			case newer && k.alone: // once all that follows from it is over
				delay = w.sim.Between(8*sec, 14*sec)
			case newer && w.sim.Rand.IntN(2) == 0: // or once much else has followed
				delay = w.sim.Between(0, 12*sec)
			}
			w.sim.After(delay, func() { m.deliver(c, t, newer) })
		}
		mine := waiting[from]
		w.sim.After(latest, func() {
			if !decided {
				delete(waiting, from)
				mine(false)
			}
		})
		return held
	}
}

// duplicateRecords returns the jobs that have more than one record among the waiting, open and final records.
func (w *cluster) duplicateRecords() (out []string) {
	for _, j := range w.all {
		n := 0
		for _, prefix := range []string{placement.WaitPrefix, placement.JobPrefix, placement.DonePrefix} {
			if _, err := w.store.Get(prefix + j.id); err == nil {
				n++
			}
		}
		if n > 1 {
			out = append(out, j.id)
		}
	}
	return out
}

// end holds the first transaction of a kind, crashes its sender after it has given up waiting, and then applies the
// transaction late.
func (m *met) end(k writeKind) func(c storeClient, t store.Txn) fate {
	seen := false
	return func(c storeClient, t store.Txn) fate {
		w := c.n.cluster
		if seen || w.sim.Now() < 3*sec || !k.is(c, t) {
			return answered
		}
		seen = true
		w.sim.After(storeTimeout+w.sim.Between(20*time.Millisecond, 1500*time.Millisecond), func() { c.n.crash(900 * time.Millisecond) })
		w.sim.After(latest, func() { m.deliver(c, t, false) })
		return held
	}
}

// machinesWithoutRecord returns the machines that have a task and no record.
func (w *cluster) machinesWithoutRecord() (out []string) {
	ledger := machinerecords.New(machinerecords.Options{MaxOps: 16, MaxValueBytes: 4096, MaxTxnBytes: 48 << 10}, 1)
	for _, prefix := range []string{machinerecords.SingleRecordPrefix, machinerecords.GroupRecordPrefix} {
		var items []machinerecords.Item
		found, _ := w.store.List(prefix)
		for _, it := range found {
			items = append(items, machinerecords.Item{Key: it.Key, Value: it.Value, Revision: it.Revision})
		}
		if err := ledger.Load(items); err != nil {
			return []string{err.Error()}
		}
	}
	registered := ledger.Machines()
	for _, j := range w.all {
		for _, m := range j.on {
			if !slices.ContainsFunc(registered, func(machine machinerecords.Machine) bool { return machine.Name == m.name }) {
				out = append(out, m.name)
			}
		}
	}
	return out
}

// preconditionsHold reports whether the preconditions of a transaction hold now.
func (w *cluster) preconditionsHold(t store.Txn) bool {
	for _, g := range t.Preconditions {
		it, err := w.store.Get(g.Key)
		if err != nil {
			it.Revision = 0
		}
		if it.Revision != g.Revision {
			return false
		}
	}
	return true
}

// Each kind of write gets no answer and is applied at once, never, late after newer ones of the same controller, or
// late after its sender crashed. In each case no rule breaks, every job is served, no job has two records, and no
// machine with a task is without a record.
func TestWrites(t *testing.T) {
	for _, k := range writeKinds {
		for _, way := range []struct {
			name  string
			fates func(m *met, k writeKind) func(c storeClient, t store.Txn) fate
		}{{"answer lost", (*met).lose}, {"never carried out", (*met).drop}, {"late", (*met).hold}, {"late, its sender ends", (*met).end}} {
			t.Run(k.name+", "+way.name, func(t *testing.T) {
				t.Parallel()
				var group sync.WaitGroup
				var lock sync.Mutex
				var all met
				for d, x := range deployments {
					for seed := range uint64(2) {
						group.Go(func() {
							var m met
							p := writesPlan(d, seed+1)
							if k.tokens {
								p.Faults = append(p.Faults, restartedWorkers...)
							}
							inner := way.fates(&m, k)
							p.fates = func(c storeClient, t store.Txn) fate {
								m.unnamed = append(m.unnamed, c.n.cluster.machinesWithoutRecord()...)
								return inner(c, t)
							}
							out := Run(p, nil, 0)
							if len(m.unnamed) > 0 {
								t.Errorf("%s, seed %d: tasks on %v, which no record names", x.name, seed+1, m.unnamed)
							}
							if len(m.twice) > 0 {
								t.Errorf("%s, seed %d: two records of %v", x.name, seed+1, m.twice)
							}
							if out.Broken != "" {
								t.Errorf("%s, seed %d: %s", x.name, seed+1, out.Broken)
							}
							lock.Lock()
							defer lock.Unlock()
							if m.lost+m.late == 0 || out.Starts < 15 {
								t.Errorf("%s, seed %d: %+v, %d starts: it shows nothing", x.name, seed+1, m, out.Starts)
							}
							all.lost, all.after, all.late, all.newer = all.lost+m.lost, all.after+m.after, all.late+m.late, all.newer+m.newer
						})
					}
				}
				group.Wait()
				t.Logf("%+v", all)
				if all.lost > 16 && all.after == 0 { // the kind is frequent
					t.Errorf("%+v: none is carried out any more", all)
				}
				if way.name == "late" && all.newer == 0 && !k.alone {
					t.Errorf("%+v: none came late after a newer one", all)
				}
			})
		}
	}
}
