package controller

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"google.golang.org/grpc/codes"

	"github.com/marlwood/marlwood/internal/leadership"
	"github.com/marlwood/marlwood/internal/store"
)

// readStore returns the same result for every read, and counts the reads.
type readStore struct {
	Store
	item  store.Item
	err   error
	reads int
}

func (s *readStore) Get(context.Context, string) (store.Item, error) {
	s.reads++
	return s.item, s.err
}

// TestResolveWrite checks the outcome of a transaction for each response of the store, and for each state
// of the record that is read back after a lost response. The outcome determines the code that the operator
// receives and whether all drains are read again.
func TestResolveWrite(t *testing.T) {
	const key = "ops/drain/zone/a"
	put, removal := store.Put(key, "x"), store.Delete(key)
	unanswered := fmt.Errorf("%w: lost", store.ErrUnknown)
	refused := fmt.Errorf("%w: busy", store.ErrRefused)
	same := readStore{item: store.Item{Key: key, Value: []byte(` "x" `), Revision: 9}}
	other := readStore{item: store.Item{Key: key, Value: []byte(`"y"`), Revision: 9}}
	missing := readStore{err: store.ErrNotFound}
	unread := readStore{err: refused}
	for _, c := range []struct {
		name     string
		write    store.Write
		result   store.TxnResult
		err      error
		store    readStore
		outcome  writeOutcome
		revision uint64
		reads    int
		code     codes.Code
		outdated bool
	}{
		{"committed", put, store.TxnResult{Revision: 7}, nil, unread, writeCommitted, 7, 0, codes.OK, false},
		{"unanswered, record found as written", put, store.TxnResult{}, unanswered, same, writeConfirmed, 9, 1, codes.OK, true},
		{"unanswered, different record found", put, store.TxnResult{}, unanswered, other, writeUnknown, 0, 1, codes.Unknown, true},
		{"unanswered, no record found", put, store.TxnResult{}, unanswered, missing, writeUnknown, 0, 1, codes.Unknown, true},
		{"unanswered, read refused", put, store.TxnResult{}, unanswered, unread, writeUnknown, 0, 1, codes.Unknown, true},
		{"unanswered removal, no record found", removal, store.TxnResult{}, unanswered, missing, writeConfirmed, 0, 1, codes.OK, true},
		{"unanswered removal, record found", removal, store.TxnResult{}, unanswered, same, writeUnknown, 0, 1, codes.Unknown, true},
		{"precondition failed", put, store.TxnResult{Failed: []string{key}}, nil, same, writeConflict, 0, 0, codes.Aborted, true},
		{"precondition failed, another leader", put, store.TxnResult{Failed: []string{leadership.Key}}, nil, same, writeConflict, 0, 0, codes.Unavailable, false},
		{"refused", put, store.TxnResult{}, refused, same, writeFailed, 0, 0, codes.Unavailable, false},
		{"too large", put, store.TxnResult{}, store.ErrTooLarge, same, writeFailed, 0, 0, codes.Unavailable, false},
		{"other error", put, store.TxnResult{}, errors.New("odd"), same, writeFailed, 0, 0, codes.Unknown, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			term, _, _ := newLeadingTerm(t)
			term.ctrl.store = &c.store
			write := term.resolveWrite(c.write, c.result, c.err)
			if write.outcome != c.outcome || write.record.Revision != c.revision || c.store.reads != c.reads {
				t.Errorf("result %+v after %d reads", write, c.store.reads)
			}
			if err := term.drainWriteError(write); code(err) != c.code {
				t.Errorf("the operator receives the error %v", err)
			}
			if recordsOutdated(write) != c.outdated {
				t.Errorf("drains are read again: %v", !c.outdated)
			}
		})
	}
}
