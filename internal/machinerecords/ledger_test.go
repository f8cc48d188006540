package machinerecords

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/marlwood/marlwood/internal/model"
)

var (
	big   = model.Pool{Type: "big", Zone: "a"}
	small = model.Pool{Type: "small", Zone: "b"}
)

// fakeStore is an in-memory key-value store that rejects transactions above its limits; 0 means no limit.
type fakeStore struct {
	items         map[string]Item
	revision      uint64
	maxValueBytes int
	maxTxnBytes   int
	maxOps        int
}

// commit executes a transaction. It reports whether the transaction was executed and, if it was not, whether it
// exceeded a limit.
func (s *fakeStore) commit(changes []Change) (executed, tooLarge bool) {
	values := make([][]byte, len(changes))
	for i, change := range changes {
		if change.Value != nil {
			values[i], _ = json.Marshal(change.Value)
		}
	}
	if s.exceedsLimits(values) {
		return false, true
	}
	for _, change := range changes {
		if s.items[change.Key].Revision != change.Revision {
			return false, false
		}
	}
	s.revision++
	for i, change := range changes {
		if change.Value == nil {
			delete(s.items, change.Key)
		} else {
			s.items[change.Key] = Item{change.Key, values[i], s.revision}
		}
	}
	return true, false
}

func (s *fakeStore) exceedsLimits(values [][]byte) bool {
	total, largest := 0, 0
	for _, value := range values {
		total += len(value)
		largest = max(largest, len(value))
	}
	exceeds := func(amount, limit int) bool { return limit > 0 && amount > limit }
	return exceeds(len(values), s.maxOps) || exceeds(largest, s.maxValueBytes) || exceeds(total, s.maxTxnBytes)
}

// machines returns the machines that a new leader would load from the store.
func (s *fakeStore) machines(t interface{ Fatal(...any) }) []Machine {
	ledger := New(Options{}, 0)
	for _, item := range s.items {
		if err := ledger.Load([]Item{item}); err != nil {
			t.Fatal(err)
		}
	}
	return ledger.Machines()
}

// names returns the names of the machines that a new leader would load from the store.
func (s *fakeStore) names(t interface{ Fatal(...any) }) (names []string) {
	for _, machine := range s.machines(t) {
		names = append(names, machine.Name)
	}
	return names
}

func newLedger() *Ledger {
	return New(Options{MaxOps: 4, MaxValueBytes: 1024, MaxTxnBytes: 16 << 10}, 7)
}

// run executes transactions until nothing is left to do. It returns the machines reported as stored and
// removed, and the number of changes sent.
func run(t *testing.T, l *Ledger, s *fakeStore, groups bool) (stored, removed []string, writes int) {
	t.Helper()
	for {
		changes := l.Next(groups)
		if changes == nil {
			return stored, removed, writes
		}
		if writes += len(changes); writes > 10000 {
			t.Fatal("the ledger still has transactions to run after 10000 writes")
		}
		var nowStored, nowRemoved []string
		executed, tooLarge := s.commit(changes)
		switch {
		case executed:
			nowStored, nowRemoved = l.TxnCommitted(s.revision)
		case tooLarge:
			nowStored, nowRemoved = l.TxnRejected(true)
		default:
			t.Fatalf("a precondition failed: %+v", changes)
		}
		stored, removed = append(stored, nowStored...), append(removed, nowRemoved...)
	}
}

// registerRange registers the machines numbered from up to but not including to, alternating between two pools.
func registerRange(l *Ledger, from, to int) {
	for i := from; i < to; i++ {
		pool := big
		if i%2 == 1 {
			pool = small
		}
		l.Register(fmt.Sprintf("vm-%06d", i), Registration{pool, i%4 == 0, fmt.Sprintf("10.1.%d.%d:9000", i/250, i%250)})
	}
}

// The store accepts fewer changes per transaction than configured. The ledger must send fewer, until all
// machines have records, instead of reducing the size of the records.
func TestLoweredLimitOnChanges(t *testing.T) {
	for _, maxOps := range []int{1, 2, 3, 5} {
		l, s := New(Options{MaxOps: 16, MaxValueBytes: 1024, MaxTxnBytes: 16 << 10}, 7), &fakeStore{items: map[string]Item{}}
		registerRange(l, 0, 9)
		run(t, l, s, false) // stores records of single machines
		s.maxOps = maxOps
		registerRange(l, 9, 30)
		if stored, _, writes := run(t, l, s, false); len(stored) != 21 || writes > 90 {
			t.Errorf("limit of %d changes: %d of 21 machines stored with %d writes", maxOps, len(stored), writes)
		}
		if l.options.MaxValueBytes != 1024 {
			t.Errorf("limit of %d changes: size limit of records is now %d bytes", maxOps, l.options.MaxValueBytes)
		}
	}
}

// Group records let many machines be registered and unregistered with few writes, and free capacity of a group
// is used for further machines.
func TestGroupRecordsNeedFewWrites(t *testing.T) {
	l, s := newLedger(), &fakeStore{items: map[string]Item{}, maxValueBytes: 1024, maxTxnBytes: 3000}
	l.options.MaxTxnBytes = 3000
	registerRange(l, 0, 1000)
	stored, _, writes := run(t, l, s, true)
	if l.options.MaxValueBytes != 1024 {
		t.Errorf("a transaction was too large: size limit of records is now %d bytes", l.options.MaxValueBytes)
	}
	if len(stored) != 1000 || len(s.names(t)) != 1000 || writes > 100 {
		t.Fatalf("%d of 1000 machines stored with %d writes", len(stored), writes)
	}
	for i := range 990 {
		l.Unregister(fmt.Sprintf("vm-%06d", i))
	}
	_, removed, writes := run(t, l, s, true)
	if len(removed) != 990 || len(s.names(t)) != 10 || writes > 100 {
		t.Fatalf("%d of 990 machines removed with %d writes, %d are left", len(removed), writes, len(s.names(t)))
	}
	before := l.Len()
	registerRange(l, 1000, 1020)
	if run(t, l, s, true); l.Len() != before {
		t.Errorf("%d records, %d before: free capacity of a group was not used", l.Len(), before)
	}
	machines := s.machines(t)
	at := slices.IndexFunc(machines, func(machine Machine) bool { return machine.Name == "vm-000990" })
	if len(machines) != 30 || at < 0 {
		t.Fatalf("the next leader loads machines %+v, want 30 with vm-000990", machines)
	}
	if got := machines[at].Registration; got.Addr != "10.1.3.240:9000" || got.Pool != big {
		t.Errorf("the next leader loads vm-000990 as %+v", got)
	}
}

// If some controller cannot read group records, each machine gets a record of its own and stored groups are
// dissolved. No machine may be without a record meanwhile.
func TestGroupsDissolveIntoSingleRecords(t *testing.T) {
	l, s := newLedger(), &fakeStore{items: map[string]Item{}}
	registerRange(l, 0, 20)
	run(t, l, s, true)
	for {
		changes := l.Next(false)
		if changes == nil {
			break
		}
		if executed, _ := s.commit(changes); !executed {
			t.Fatalf("a precondition failed: %+v", changes)
		}
		l.TxnCommitted(s.revision)
		if n := len(s.names(t)); n != 20 {
			t.Fatalf("%d of 20 machines have a record while groups are dissolved", n)
		}
	}
	for key := range s.items {
		if !strings.HasPrefix(key, SingleRecordPrefix) {
			t.Errorf("group record %s is left", key)
		}
	}
	l.Unregister("vm-000003")
	if _, removed, _ := run(t, l, s, false); !slices.Equal(removed, []string{"vm-000003"}) || len(s.names(t)) != 19 {
		t.Errorf("removed %v, want only vm-000003", removed)
	}
}

// The store's size limit is lowered below the size of stored records. The groups must be split, and no
// registration or removal may be blocked.
func TestLoweredLimitOnValueSize(t *testing.T) {
	l, s := newLedger(), &fakeStore{items: map[string]Item{}, maxValueBytes: 2000}
	registerRange(l, 0, 200)
	run(t, l, s, true)
	s.maxValueBytes = 600
	l.Unregister("vm-000100")
	registerRange(l, 200, 210)
	if stored, removed, _ := run(t, l, s, true); len(stored) != 10 || len(removed) != 1 || len(s.names(t)) != 209 {
		t.Errorf("%d stored, %d removed, %d machines have records; want 10, 1 and 209",
			len(stored), len(removed), len(s.names(t)))
	}
}

// Load fails on a record that cannot be decoded, which keeps a leader from starting tasks.
func TestLoadRejectsMalformedRecord(t *testing.T) {
	for _, item := range []Item{
		{SingleRecordPrefix + "m", []byte(`[]`), 1},
		{GroupRecordPrefix + "x", []byte(`{"hosts":3}`), 1},
	} {
		if newLedger().Load([]Item{item}) == nil {
			t.Errorf("load accepts the malformed record %s", item.Value)
		}
	}
}

// history is the state of a property test: a ledger, its store, and transactions with randomly drawn outcomes.
type history struct {
	t          *rapid.T
	ledger     *Ledger
	store      *fakeStore
	late       [][]Change              // transactions without a response that may still be executed
	registered map[string]bool         // machines reported as stored and not unregistered since
	requested  map[string]Registration // machines whose registration is requested
}

func newHistory(t *rapid.T) *history {
	return &history{
		t:          t,
		ledger:     newLedger(),
		store:      &fakeStore{items: map[string]Item{}},
		registered: map[string]bool{},
		requested:  map[string]Registration{},
	}
}

// markRegistered records that machines were reported as stored.
func (h *history) markRegistered(names []string) {
	for _, name := range names {
		if _, still := h.requested[name]; still {
			h.registered[name] = true
		}
	}
}

// check fails when a machine that is reported as stored has no record.
func (h *history) check() {
	stored := h.store.names(h.t)
	for name := range h.registered {
		if !slices.Contains(stored, name) {
			h.t.Fatalf("%s was reported as stored but has no record", name)
		}
	}
}

// write runs one transaction, with a drawn outcome unless reliable is set. It returns false if there is no
// transaction to run.
func (h *history) write(groups, reliable bool) bool {
	changes := h.ledger.Next(groups)
	if changes == nil {
		return false
	}
	outcome := "done"
	if !reliable {
		outcome = rapid.SampledFrom([]string{"done", "done", "refused", "unanswered", "held"}).Draw(h.t, "outcome")
	}
	executed := false
	switch outcome {
	case "done", "unanswered":
		executed, _ = h.store.commit(changes)
	case "held":
		h.late = append(h.late, changes)
	}
	h.check()
	switch {
	case outcome == "done" && executed:
		stored, _ := h.ledger.TxnCommitted(h.store.revision)
		h.markRegistered(stored)
	case outcome == "refused":
		stored, _ := h.ledger.TxnRejected(false)
		h.markRegistered(stored)
	default:
		h.reread()
	}
	return true
}

// reread resolves a transaction whose outcome is unknown.
func (h *history) reread() {
	var items []Item
	for _, key := range h.ledger.TxnAmbiguous() {
		if item, there := h.store.items[key]; there {
			items = append(items, item)
		}
	}
	stored, _, err := h.ledger.Reread(items)
	if err != nil {
		h.t.Fatal(err)
	}
	h.markRegistered(stored)
}

// step draws and executes one event.
func (h *history) step() {
	name := fmt.Sprintf("vm-%d", rapid.IntRange(0, 6).Draw(h.t, "machine"))
	switch rapid.SampledFrom([]string{"register", "register", "unregister", "write", "write", "late"}).Draw(h.t, "step") {
	case "register":
		pool := rapid.SampledFrom([]model.Pool{big, small}).Draw(h.t, "pool")
		h.requested[name] = Registration{pool, false, "x:1"}
		if h.ledger.Register(name, h.requested[name]) != 0 {
			h.markRegistered([]string{name})
		}
	case "unregister":
		delete(h.requested, name)
		delete(h.registered, name)
		h.ledger.Unregister(name)
	case "write":
		h.write(rapid.Bool().Draw(h.t, "groups"), false)
	case "late":
		if len(h.late) > 0 {
			h.store.commit(h.late[0])
			h.late = h.late[1:]
		}
	}
	h.check()
}

// Whatever the outcomes of transactions, and however late they are executed: a machine that was reported as
// stored has a record until its removal is requested, and without further failures every requested record is
// stored in the end.
func TestStoredMachinesKeepTheirRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory(t)
		if rapid.Bool().Draw(t, "smaller records") {
			h.ledger.options.MaxValueBytes = 200
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			h.step()
		}
		h.late = nil
		for transactions := 0; h.write(true, true); transactions++ {
			if transactions > 100 {
				t.Fatal("the ledger still has transactions to run after 100 transactions")
			}
		}
		for name := range h.requested {
			if !h.registered[name] {
				t.Fatalf("the requested record of %s was not stored", name)
			}
		}
	})
}
