package httpwire

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	defaultTimeout = time.Minute // for a request whose context has no deadline
	maxKeptBuffer  = 64 << 10    // bytes; a larger response buffer is released after the response
	readSize       = 4096
)

// Client sends requests to one address over a small pool of connections.
type Client struct {
	addr   string
	limits Limits
	slots  chan struct{}

	mu     sync.Mutex
	idle   []*clientConn
	closed bool
}

// clientConn is a connection with a buffer for responses.
type clientConn struct {
	net.Conn
	buffer []byte
}

// NewClient returns a client with at most conns concurrent requests.
func NewClient(addr string, conns int, limits Limits) *Client {
	return &Client{addr: addr, limits: limits, slots: make(chan struct{}, conns)}
}

// Do sends one request and waits for its response until the deadline of ctx, or for
// defaultTimeout if it has none. Cancellation of ctx is only observed while Do waits for a
// connection. An error means that the outcome is unknown, unless it is ErrNotSent.
func (c *Client) Do(ctx context.Context, method, target string, body []byte) (*Response, error) {
	select {
	case c.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %w", ErrNotSent, ctx.Err())
	}
	defer func() { <-c.slots }()
	conn, err := c.takeConn(ctx)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	response, err := c.exchange(ctx, conn, method, target, body)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	c.mu.Lock()
	keep := !response.Close && !c.closed
	if keep {
		c.idle = append(c.idle, conn)
	}
	c.mu.Unlock()
	if !keep {
		_ = conn.Close()
	}
	return response, nil
}

// Close closes the idle connections, and each connection in use once its response has
// arrived. Requests may still be sent; their connections are not kept.
//
// Guard: Close used to close only idle connections. A connection in use was later returned to
// the pool of a client that was no longer referenced, and its socket stayed open.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, conn := range c.idle {
		_ = conn.Close()
	}
	c.idle = nil
}

// ErrNotSent is the error of a request that was not sent.
var ErrNotSent = errors.New("httpwire: request not sent")

// takeConn returns an idle connection, or opens one.
func (c *Client) takeConn(ctx context.Context) (*clientConn, error) {
	c.mu.Lock()
	if n := len(c.idle); n > 0 {
		conn := c.idle[n-1]
		c.idle = c.idle[:n-1]
		c.mu.Unlock()
		return conn, nil
	}
	c.mu.Unlock()
	dialer := net.Dialer{KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp4", c.addr)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn}, nil
}

// exchange sends a request on a connection and reads the response.
func (c *Client) exchange(ctx context.Context, conn *clientConn, method, target string, body []byte) (*Response, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(defaultTimeout)
	}
	if err := conn.SetDeadline(deadline); err != nil {
		return nil, err
	}
	if _, err := conn.Write(appendRequest(nil, method, target, c.addr, body)); err != nil {
		return nil, fmt.Errorf("send %s %s: %w", method, target, err)
	}
	conn.buffer = conn.buffer[:0]
	chunk := make([]byte, readSize)
	for {
		size, readErr := conn.Read(chunk)
		conn.buffer = append(conn.buffer, chunk[:size]...)
		if size > 0 || readErr != nil {
			response, used, err := ParseResponse(conn.buffer, readErr != nil, c.limits)
			if err == nil {
				if used != len(conn.buffer) || readErr != nil {
					response.Close = true
				}
				if cap(conn.buffer) > maxKeptBuffer {
					conn.buffer = nil
				}
				return response, nil
			}
			if !errors.Is(err, ErrIncomplete) {
				return nil, fmt.Errorf("%s %s: %w", method, target, err)
			}
		}
		if readErr != nil {
			return nil, fmt.Errorf("%s %s: %w", method, target, readErr)
		}
	}
}
