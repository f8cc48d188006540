package accounting

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/marlwood/marlwood/internal/model"
)

var t0 = time.Unix(1000, 0)

// fakeStore is an in-memory key-value store that accepts writes of one leader at a time.
type fakeStore struct {
	items    map[string]Item
	revision uint64
	token    uint64 // fencing token of the current leader, which every write must have
}

// commit executes a leader's transaction if its preconditions hold.
func (s *fakeStore) commit(token uint64, changes []Change) bool {
	if token != s.token {
		return false
	}
	for _, change := range changes {
		if s.items[change.Key].Revision != change.Revision {
			return false
		}
	}
	s.revision++
	for _, change := range changes {
		if change.Value == nil {
			delete(s.items, change.Key)
		} else {
			s.items[change.Key] = Item{change.Key, change.Value, s.revision}
		}
	}
	return true
}

// all returns everything that is stored.
func (s *fakeStore) all() (out []Item) {
	for _, item := range s.items {
		out = append(out, item)
	}
	return out
}

// sum adds up everything that is stored.
func (s *fakeStore) sum(t *rapid.T) (sum Sums) {
	for _, item := range s.items {
		rows, err := Decode(item.Value)
		if err != nil {
			t.Fatal(err)
		}
		for _, row := range rows {
			sum = sum.add(row.Sums)
		}
	}
	return sum
}

// history is the state of a property test: successive leaders that count and write, with randomly drawn events.
type history struct {
	t        *rapid.T
	store    *fakeStore
	accounts *Accounts
	counted  Sums     // usage counted by all leaders
	stored   Sums     // usage stored after the last event
	late     []func() // transactions without a response that may still be executed
}

func newHistory(t *rapid.T) *history {
	h := &history{t: t, store: &fakeStore{items: map[string]Item{}, token: 1}}
	h.accounts = NewAccounts(h.store.token, NewLedger())
	return h
}

// step draws and executes one event.
func (h *history) step(now time.Time) {
	events := []string{"count", "count", "count", "write", "write", "unanswered", "unanswered", "late", "failover", "answer lost"}
	switch rapid.SampledFrom(events).Draw(h.t, "step") {
	case "count":
		h.count(now)
	case "failover":
		h.store.token++
		h.accounts = NewAccounts(h.store.token, NewLedger())
	case "late":
		if len(h.late) > 0 {
			h.late[0]()
			h.late = h.late[1:]
		}
	case "answer lost":
		changes := next(h.t, h.store, h.accounts)
		h.store.commit(h.store.token, changes)
		if len(changes) > 0 {
			h.accounts.TxnFailed()
		}
	case "unanswered":
		if changes := next(h.t, h.store, h.accounts); len(changes) > 0 {
			token := h.store.token
			h.late = append(h.late, func() { h.store.commit(token, changes) })
			h.accounts.TxnFailed()
		}
	case "write":
		h.write()
	}
}

// count counts a drawn interval.
func (h *history) count(now time.Time) {
	interval := Interval{
		Account:  Account{Team: fmt.Sprintf("team-%d", rapid.IntRange(0, 9).Draw(h.t, "team")), Class: "class"},
		Pool:     model.Pool{Type: "x", Zone: "a"},
		Kind:     rapid.SampledFrom([]UsageKind{Run, Wait, Wasted}).Draw(h.t, "kind"),
		Size:     model.Size{CPUs: 0.5, GPUs: 1, MemoryGB: 2.3},
		Duration: time.Duration(rapid.IntRange(1, 9000).Draw(h.t, "ms")) * time.Millisecond,
		End:      now,
	}
	interval.Account.Spot = rapid.Bool().Draw(h.t, "spot")
	h.accounts.CurrentTerm.Count(interval)
	h.counted[interval.Kind] = h.counted[interval.Kind].Add(usageOf(interval.Size, interval.Duration))
}

// write runs the transaction that is due, if any.
func (h *history) write() {
	changes := next(h.t, h.store, h.accounts)
	switch {
	case len(changes) == 0:
	case h.store.commit(h.store.token, changes):
		h.accounts.TxnCommitted(h.store.revision)
	default:
		h.accounts.TxnFailed()
	}
}

// check fails when a stored sum decreased or exceeds what was counted.
func (h *history) check() {
	sum := h.store.sum(h.t)
	for kind := range sum {
		if sum[kind].CPU > h.counted[kind].CPU || sum[kind].CPU < h.stored[kind].CPU {
			h.t.Fatalf("%d CPU units of usage kind %d stored, %d stored before, %d counted",
				sum[kind].CPU, kind, h.stored[kind].CPU, h.counted[kind].CPU)
		}
	}
	h.stored = sum
	if !h.accounts.CurrentTerm.balanced() {
		h.t.Fatal("the usage summed by account differs from that summed by pool")
	}
}

// hasUnwritten reports whether the current leader still has to read or write records.
func (h *history) hasUnwritten() bool {
	return len(h.accounts.CurrentTerm.dirtyParts) > 0 || len(h.accounts.earlierTerms) > 0 || h.accounts.Phase() == Loading
}

// Leaders count and write usage and are replaced before, during and after writes; writes are executed late or
// their responses are lost. The stored sums must never decrease and never exceed the counted usage, and the usage
// counted by a leader that keeps running must be stored in the end.
func TestEachIntervalCountsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory(t)
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			h.step(t0.Add(time.Duration(i) * time.Second))
			h.check()
		}
		for h.hasUnwritten() {
			changes := next(t, h.store, h.accounts)
			if len(changes) > 0 && h.store.commit(h.store.token, changes) {
				h.accounts.TxnCommitted(h.store.revision)
			}
		}
		var rows Sums
		for _, row := range h.accounts.Rows() {
			rows = rows.add(row.Sums)
		}
		if sum := h.store.sum(t); rows != sum {
			t.Fatalf("the rows add up to %v, the stored records to %v", rows, sum)
		}
	})
}

// The limits of transactions in these tests.
const (
	maxOps        = 15
	maxValueBytes = 8192
)

// next returns the changes of the transaction that is due. It first loads the stored items in phase Loading.
func next(t *rapid.T, s *fakeStore, a *Accounts) []Change {
	if a.Phase() == Loading {
		if err := a.Load(s.all()); err != nil {
			t.Fatal(err)
		}
	}
	changes, err := a.Next(maxOps, maxValueBytes)
	if err != nil || len(changes) > maxOps {
		t.Fatalf("next returned %d changes and error %v", len(changes), err)
	}
	return changes
}

// The rows of 40 teams with 100 classes each, on on-demand and spot machines, fit the smallest limit on values.
func TestRowsFitSmallestValueLimit(t *testing.T) {
	ledger := NewLedger()
	for team := range 40 {
		for class := range 100 {
			for _, spot := range []bool{false, true} {
				for kind := range usageKindCount {
					ledger.Count(Interval{
						Account:  Account{fmt.Sprintf("team-%02d", team), fmt.Sprintf("class-%03d", class), spot},
						Pool:     model.Pool{Type: "x", Zone: "a"},
						Kind:     kind,
						Size:     model.Size{CPUs: 15, MemoryGB: 100},
						Duration: time.Duration(1+team*class) * 997 * time.Second,
						End:      t0,
					})
				}
			}
		}
	}
	accounts, largest := NewAccounts(3, ledger), 0
	if err := accounts.Load(nil); err != nil {
		t.Fatal(err)
	}
	for writes := 0; len(ledger.dirtyParts) > 0; writes++ {
		changes, err := accounts.Next(5, maxValueBytes)
		if err != nil || writes > 20 {
			t.Fatal(err)
		}
		for _, change := range changes {
			largest = max(largest, len(change.Value))
		}
		accounts.TxnCommitted(uint64(10 + writes))
	}
	t.Logf("largest value %d bytes", largest)
}

// countClasses counts one interval for each of the given number of classes and returns the ledger.
func countClasses(ledger *Ledger, classes int) *Ledger {
	for i := range classes {
		ledger.Count(Interval{
			Account:  Account{"team", fmt.Sprintf("class-%05d", i*7919), false},
			Kind:     Run,
			Size:     model.Size{CPUs: 1},
			Duration: time.Duration(i*i+1) * time.Second,
			End:      t0,
		})
	}
	return ledger
}

// An earlier term is too large to be merged into the total. Rows must still include its usage, and the current
// term must still be written.
func TestEarlierTermTooLargeToMerge(t *testing.T) {
	value, err := Encode(countClasses(NewLedger(), 300).sortedRows(allAccounts))
	if err != nil {
		t.Fatal(err)
	}
	accounts := NewAccounts(3, countClasses(NewLedger(), 1))
	if err := accounts.Load([]Item{{Key: rowKey(2, 0), Value: value, Revision: 5}}); err != nil {
		t.Fatal(err)
	}
	changes, err := accounts.Next(5, 1000)
	own := rowKey(3, partOf(Account{Team: "team", Class: "class-00000"}))
	if err == nil || len(changes) != 1 || changes[0].Key != own || len(accounts.Rows()) != 300 {
		t.Errorf("changes %v, error %v, %d rows; want one change, an error and 300 rows",
			changes, err, len(accounts.Rows()))
	}
}

// Recent usage decays with a half-life of one minute and survives an export and import.
func TestRecentUsageDecays(t *testing.T) {
	ledger := NewLedger()
	ledger.Count(Interval{
		Account:  Account{Team: "x"},
		Kind:     Run,
		Size:     model.Size{CPUs: 10},
		Duration: time.Minute,
		End:      t0,
	})
	for minutes, want := range map[int]float64{0: 600, 1: 300, 3: 75} {
		if got := ledger.RecentCPUSeconds("x", t0.Add(time.Duration(minutes)*time.Minute)); got != want {
			t.Errorf("recent usage after %d minutes is %v CPU seconds", minutes, got)
		}
	}
	restored := NewLedger()
	restored.ImportRecent(ledger.ExportRecent())
	if restored.RecentCPUSeconds("x", t0) != 600 || restored.RecentCPUSeconds("y", t0) != 0 {
		t.Error("the imported recent usage differs from the exported one")
	}
}
