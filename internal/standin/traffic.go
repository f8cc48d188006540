package standin

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/marlwood/marlwood/internal/model"
)

// Traffic counts the bytes that a machine's worker sends and receives, its requests, and its heartbeats
// with the exited tasks in them. The bytes include HTTP with its headers, but not the headers of TCP
// and IP.
type Traffic struct {
	sent, received, requests atomic.Int64
	heartbeats, exited       atomic.Int64
	exitedMost               atomic.Int64
}

// Counts are the totals of a machine so far: bytes sent and received, requests in both directions,
// heartbeats, the exited tasks in them, and the most of these in one heartbeat.
type Counts struct{ Sent, Received, Requests, Heartbeats, Exited, ExitedMost int64 }

func (t *Traffic) counts() Counts {
	return Counts{t.sent.Load(), t.received.Load(), t.requests.Load(), t.heartbeats.Load(), t.exited.Load(), t.exitedMost.Load()}
}

// countHeartbeat counts a heartbeat and its exited tasks. The machine sends one heartbeat at a time.
func (t *Traffic) countHeartbeat(heartbeat model.Heartbeat) {
	exited := int64(0)
	for _, task := range heartbeat.Tasks {
		if task.State == model.TaskExited {
			exited++
		}
	}
	t.heartbeats.Add(1)
	t.exited.Add(exited)
	t.exitedMost.Store(max(t.exitedMost.Load(), exited))
}

// dial opens a connection whose bytes are counted.
func (t *Traffic) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return countedConn{conn, t}, nil
}

type countedConn struct {
	net.Conn
	traffic *Traffic
}

// Read counts the bytes that are read.
func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.received.Add(int64(n))
	return n, err
}

// Write counts the bytes that are written.
func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.sent.Add(int64(n))
	return n, err
}

type countedListener struct {
	net.Listener
	traffic *Traffic
}

// Accept returns a connection whose bytes are counted.
func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{conn, l.traffic}, nil
}

// Traffic returns the traffic counts of each machine's worker, by machine name.
func (c *Cloud) Traffic() map[string]Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]Counts, len(c.machines))
	for name, m := range c.machines {
		out[name] = m.traffic.counts()
	}
	return out
}
