package store

import (
	"context"
	"errors"
	"fmt"
	"time"

	"golang.org/x/time/rate"
)

// errBudgetExhausted is the cause of ErrRefused for a low-priority transaction that found no capacity in
// its budget.
var errBudgetExhausted = errors.New("write budget exhausted")

// Names of the budgets, as ObserveWait reports them.
const (
	callsBudget  = "calls"
	usersBudget  = "users"
	leaderBudget = "leader"
)

// The budgets of a new client until SetBudgets is called, and the smallest burst of requests.
const (
	initialCallRate   = 10
	initialCallBurst  = 10
	initialWriteRate  = 5
	initialWriteBurst = 16
	minCallBurst      = 4
)

// Budgets bound the requests and writes a second that this client allows itself.
type Budgets struct {
	Calls        float64 // all requests
	UserWrites   float64 // writes on behalf of users
	LeaderWrites float64 // writes of the leader's own records
	Burst        int     // burst size of each of the two write budgets
}

// SetBudgets replaces the budgets. It may be called at any time.
func (c *Client) SetBudgets(budgets Budgets) {
	c.callLimiter.SetLimit(rate.Limit(budgets.Calls))
	c.callLimiter.SetBurst(max(minCallBurst, int(budgets.Calls/2)))
	setWriteBudget(c.userWriteLimiter, budgets.UserWrites, budgets.Burst)
	setWriteBudget(c.leaderWriteLimiter, budgets.LeaderWrites, budgets.Burst)
}

func setWriteBudget(limiter *rate.Limiter, writesPerSecond float64, burst int) {
	limiter.SetLimit(rate.Limit(writesPerSecond))
	limiter.SetBurst(max(burst, int(writesPerSecond)))
}

// ObserveWait registers a callback that receives how long each call waited for a budget. It must be
// called before the first request.
func (c *Client) ObserveWait(observe func(budget string, d time.Duration)) { c.observeWait = observe }

// urgentKey is the context key that Urgent sets.
type urgentKey struct{}

// Urgent marks the calls that leader election depends on. They do not wait for a budget and use separate
// connections. The election's poll interval bounds their rate.
//
// Guard: without Urgent, reads of the leader key queue behind users' queries, and attempts to write it queue
// behind users' writes. When users queried the leader about jobs that nobody had submitted, its own reads were
// delayed until it lost its leadership; with a slow store the twelve shared connections were always in use.
// TestUrgentCallsAreNotDelayed covers both cases.
func Urgent(ctx context.Context) context.Context { return context.WithValue(ctx, urgentKey{}, true) }

func isUrgent(ctx context.Context) bool { return ctx.Value(urgentKey{}) != nil }

// waitForBudget waits until a budget has enough tokens and takes them. It fails immediately if they cannot become
// available before the context's deadline. Urgent calls take no tokens.
func (c *Client) waitForBudget(ctx context.Context, budget string, limiter *rate.Limiter, tokens int) error {
	if isUrgent(ctx) {
		return nil
	}
	if c.observeWait == nil {
		return limiter.WaitN(ctx, tokens)
	}
	started := time.Now()
	err := limiter.WaitN(ctx, tokens)
	c.observeWait(budget, time.Since(started))
	return err
}

// takeWriteBudget takes the budget for a transaction's writes. Any error means that nothing was sent.
func (c *Client) takeWriteBudget(ctx context.Context, txn Txn) error {
	writes := len(txn.Writes)
	if writes == 0 {
		return nil
	}
	budget, limiter := usersBudget, c.userWriteLimiter
	if txn.LeaderBudget {
		budget, limiter = leaderBudget, c.leaderWriteLimiter
	}
	if txn.LowPriority {
		if !limiter.AllowN(time.Now(), writes) {
			return fmt.Errorf("%w: %w", ErrRefused, errBudgetExhausted)
		}
		return nil
	}
	if err := c.waitForBudget(ctx, budget, limiter, writes); err != nil {
		return fmt.Errorf("%w: %w", ErrRefused, err)
	}
	return nil
}
