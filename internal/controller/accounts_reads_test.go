package controller

import (
	"context"
	"testing"
	"time"

	"github.com/marlwood/marlwood/internal/accounting"
	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/store"
)

// listingStore is a store whose List returns fixed records at a fixed revision.
type listingStore struct {
	Store
	revision uint64
	records  []store.Item
}

func (s *listingStore) List(context.Context, string) ([]store.Item, uint64, error) {
	return s.records, s.revision, nil
}

func (s *listingStore) Get(context.Context, string) (store.Item, error) {
	return store.Item{}, store.ErrNotFound
}

// Checks that a read of the accounts that is answered late does not replace newer data.
//
// Until the accounts are read, the read is repeated every second, so two reads may be in flight. The earlier one may be
// answered last, at a time when a failed write requires another read. Its older sums then replaced the newer ones: the
// teams' usage decreased, and the decreased usage was stored.
func TestOutdatedAccountsReadIsIgnored(t *testing.T) {
	const seconds = 100
	term, _, _ := newLeadingTerm(t)
	events := term.ctrl.env.(*liveEnvironment).events
	ledger := accounting.NewLedger()
	ledger.Count(accounting.Interval{Account: accounting.Account{Team: "t"}, Kind: accounting.Run, Size: model.Size{CPUs: 1}, Duration: seconds * time.Second})
	earlier := accounting.NewAccounts(3, ledger)
	if err := earlier.Load(nil); err != nil {
		t.Fatal(err)
	}
	changes, err := earlier.Next(8, 4096)
	if err != nil || len(changes) != 1 {
		t.Fatal(changes, err)
	}
	term.usage.accounts = accounting.NewAccounts(7, accounting.NewLedger())
	read := func(revision uint64, records ...store.Item) func() {
		term.ctrl.store = &listingStore{revision: revision, records: records}
		term.readAccounts()
		return <-events
	}
	late := read(10)
	read(20, store.Item{Key: changes[0].Key, Value: changes[0].Value, Revision: 15})()
	if changes, err := term.usage.accounts.Next(8, 4096); err != nil || len(changes) == 0 {
		t.Fatal(changes, err)
	}
	term.usage.accounts.TxnFailed()
	late()
	rows := term.usage.accounts.Rows()
	if len(rows) != 1 || rows[0].Sums[accounting.Run].CPUSeconds() != seconds {
		t.Errorf("usage after an outdated read: %v", rows)
	}
	read(30, store.Item{Key: changes[0].Key, Value: changes[0].Value, Revision: 15})()
	if term.usage.accounts.Phase() != accounting.Idle {
		t.Error("a read at a newer revision was ignored")
	}
}
