package intake

import (
	"context"
	"sync"
	"time"
)

// Gate holds those who wait until it is opened. It is opened once.
type Gate interface {
	Open()
	// Wait returns whether the gate was opened, after at most d or until ctx ends.
	Wait(ctx context.Context, d time.Duration) bool
}

// NewGate makes a gate for goroutines.
func NewGate() Gate { return &gate{opened: make(chan struct{})} }

type gate struct {
	once   sync.Once
	opened chan struct{}
}

func (g *gate) Open() { g.once.Do(func() { close(g.opened) }) }

func (g *gate) Wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-g.opened:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}
