// Package store is the client of the consensus-backed key-value store: compare-and-swap transactions,
// reads, leases and watches.
//
// Every request stays within this process's share of two budgets, requests and writes per second, which
// the store enforces for all of its clients together. Every error says whether the request was certainly
// not executed (ErrRefused) or may have been (ErrUnknown). Except for the pages of a listing and for
// transactions that the store throttled, the client retries nothing: that decision belongs to the caller.
package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"github.com/marlwood/marlwood/internal/httpwire"
)

// Bounds of the connections to the store.
const (
	maxHeadBytes      = 8 << 10
	maxBodyBytes      = 8 << 20
	sharedConnections = 12
	urgentConnections = 2
	watchConnections  = 2
)

// errTooManyRequests is the cause of ErrRefused for a request that the store throttled.
var errTooManyRequests = errors.New("status 429")

// Client sends requests to the key-value store. It is safe for concurrent use.
type Client struct {
	httpClient         *httpwire.Client
	urgentClient       *httpwire.Client // for the calls that Urgent marks
	watchClient        *httpwire.Client // for long polls, which would occupy shared connections
	callLimiter        *rate.Limiter
	userWriteLimiter   *rate.Limiter
	leaderWriteLimiter *rate.Limiter
	timeout            time.Duration
	observeWait        func(budget string, d time.Duration) // may be nil
}

// New returns a client of the store at addr. The timeout bounds each request, including its wait
// for a budget. The budgets are small until SetBudgets is called.
func New(addr string, timeout time.Duration) *Client {
	limits := httpwire.Limits{Head: maxHeadBytes, Body: maxBodyBytes}
	return &Client{
		httpClient:         httpwire.NewClient(addr, sharedConnections, limits),
		urgentClient:       httpwire.NewClient(addr, urgentConnections, limits),
		watchClient:        httpwire.NewClient(addr, watchConnections, limits),
		callLimiter:        rate.NewLimiter(initialCallRate, initialCallBurst),
		userWriteLimiter:   rate.NewLimiter(initialWriteRate, initialWriteBurst),
		leaderWriteLimiter: rate.NewLimiter(initialWriteRate, initialWriteBurst),
		timeout:            timeout,
	}
}

// call sends one request within the client's timeout.
func (c *Client) call(ctx context.Context, method, target string, body any) (*httpwire.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	if isUrgent(ctx) {
		return c.send(ctx, c.urgentClient, method, target, body)
	}
	return c.send(ctx, c.httpClient, method, target, body)
}

// send sends one request over the given connections. Its error is ErrRefused if the request was certainly not
// executed and ErrUnknown if it may have been. The caller handles all statuses other than 429 and 503.
func (c *Client) send(ctx context.Context, httpClient *httpwire.Client, method, target string, body any) (*httpwire.Response, error) {
	if err := c.waitForBudget(ctx, callsBudget, c.callLimiter, 1); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrRefused, err)
	}
	var encoded []byte
	if body != nil {
		var err error
		if encoded, err = json.Marshal(body); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrRefused, err)
		}
	}
	resp, err := httpClient.Do(ctx, method, target, encoded)
	switch {
	case errors.Is(err, httpwire.ErrNotSent):
		return nil, fmt.Errorf("%w: %w", ErrRefused, err)
	case err != nil:
		return nil, fmt.Errorf("%w: %w", ErrUnknown, err)
	case resp.Status == http.StatusTooManyRequests:
		return nil, fmt.Errorf("%w: %w", ErrRefused, errTooManyRequests)
	case resp.Status == http.StatusServiceUnavailable:
		return nil, fmt.Errorf("%w: status 503", ErrRefused)
	}
	return resp, nil
}

// decode decodes the body of a response with status 200. It returns ErrUnknown for any other status and for a
// malformed body.
func decode(resp *httpwire.Response, into any) error {
	if resp.Status != http.StatusOK {
		return fmt.Errorf("%w: status %d: %.100s", ErrUnknown, resp.Status, resp.Body)
	}
	if err := json.Unmarshal(resp.Body, into); err != nil {
		return fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	return nil
}
