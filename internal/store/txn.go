package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/marlwood/marlwood/internal/httpwire"
)

// throttledPause is the shortest pause before a throttled transaction is sent again. The longest is twice as long.
const throttledPause = 100 * time.Millisecond

// unnamedPrecondition is the failed precondition of a conflict whose response names none.
const unnamedPrecondition = "?"

// Commit executes a transaction. If it returns no error, the store decided on the transaction and the result
// reports whether its preconditions held.
//
// The budgets of all clients add up to more than the store accepts, because clients seldom peak together. Commit
// therefore retries a throttled transaction until the timeout.
func (c *Client) Commit(ctx context.Context, txn Txn) (TxnResult, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	if err := c.takeWriteBudget(ctx, txn); err != nil {
		return TxnResult{}, err
	}
	for {
		result, err := c.sendTxn(ctx, txn)
		if !errors.Is(err, errTooManyRequests) {
			return result, err
		}
		select {
		case <-time.After(throttledPause + rand.N(throttledPause)):
		case <-ctx.Done():
			return result, err
		}
	}
}

// sendTxn sends a transaction once.
func (c *Client) sendTxn(ctx context.Context, txn Txn) (TxnResult, error) {
	if txn.Preconditions == nil {
		txn.Preconditions = []Precondition{}
	}
	if txn.Writes == nil {
		txn.Writes = []Write{}
	}
	resp, err := c.call(ctx, http.MethodPost, "/txn", txn)
	if err != nil {
		return TxnResult{}, err
	}
	switch resp.Status {
	case http.StatusOK, http.StatusConflict:
		return decodeTxnResult(resp)
	case http.StatusBadRequest:
		return TxnResult{}, badTxnError(txn, resp)
	}
	return TxnResult{}, fmt.Errorf("%w: status %d", ErrUnknown, resp.Status)
}

// decodeTxnResult decodes the response to a transaction that the store decided on. A conflict never counts as
// success, whatever its body contains.
func decodeTxnResult(resp *httpwire.Response) (TxnResult, error) {
	var result TxnResult
	if err := json.Unmarshal(resp.Body, &result); err != nil {
		return TxnResult{}, fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	if resp.Status == http.StatusConflict && len(result.Failed) == 0 {
		result.Failed = []string{unnamedPrecondition}
	}
	return result, nil
}

// badTxnError returns the error for a 400 response. A transaction that attaches a key to a lease may have been
// refused because the lease has expired, so only a transaction without a lease counts as too large.
func badTxnError(txn Txn, resp *httpwire.Response) error {
	for _, write := range txn.Writes {
		if write.Lease != 0 {
			return fmt.Errorf("%w: 400: %.200s", ErrRefused, resp.Body)
		}
	}
	return fmt.Errorf("%w: %w: 400: %.200s", ErrRefused, ErrTooLarge, resp.Body)
}
