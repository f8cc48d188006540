package api

import (
	"context"
	"sync"
	"time"
)

// Latch blocks its waiters until it is opened. It can't be closed again.
type Latch interface {
	// Open releases all waiters. Further calls have no effect.
	Open()
	// Wait waits until the latch is opened, d has passed or ctx is done, and reports whether
	// the latch was opened.
	Wait(ctx context.Context, d time.Duration) bool
}

// NewLatch returns a Latch for goroutines that uses the real clock.
func NewLatch() Latch { return &latch{opened: make(chan struct{})} }

// latch implements Latch with a channel and the real clock.
type latch struct {
	once   sync.Once
	opened chan struct{}
}

// Open implements Latch.
func (l *latch) Open() { l.once.Do(func() { close(l.opened) }) }

// Wait implements Latch.
func (l *latch) Wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-l.opened:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}
