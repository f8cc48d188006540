package operators

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"github.com/marlwood/marlwood/internal/operators/operatorspb"
)

// Client calls the controllers one after the other until one answers. It is safe for
// concurrent use. Close releases its connections.
type Client struct {
	addrs []string
	conns []*grpc.ClientConn
}

// NewClient returns a client that calls the controllers at addrs in random order. Without
// certificate files it uses plaintext, which is allowed for loopback addresses only.
func NewClient(addrs []string, ca, cert, key string) (*Client, error) {
	creds := insecure.NewCredentials()
	if cert == "" {
		for _, a := range addrs {
			if err := checkLoopback(a); err != nil {
				return nil, fmt.Errorf("%w; other addresses need --ca, --cert and --key", err)
			}
		}
	} else {
		keys, err := OpenKeys(ca, cert, key, slog.New(slog.DiscardHandler))
		if err != nil {
			return nil, err
		}
		creds = credentials.NewTLS(keys.Client())
	}
	c := &Client{}
	for _, i := range rand.Perm(len(addrs)) {
		conn, err := grpc.NewClient("passthrough:///"+addrs[i], grpc.WithTransportCredentials(creds), grpc.WithNoProxy(),
			grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(16<<20)))
		if err != nil {
			return nil, fmt.Errorf("%s: %w", addrs[i], err)
		}
		c.addrs, c.conns = append(c.addrs, addrs[i]), append(c.conns, conn)
	}
	return c, nil
}

// Close closes all connections.
func (c *Client) Close() {
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

// queryTimeout is how long one controller may take to answer a query before the next is
// called.
const queryTimeout = 5 * time.Second

// A request that exceeds the rate limit of every controller is retried after a delay.
const (
	overloadDelay    = time.Second
	overloadAttempts = 5
)

// Call calls one controller after the other until one returns a response, or an error other than
// an unavailable or overloaded controller or a timeout. change marks a request that changes something:
// after a controller may have executed it, no other is called.
func Call[T any](ctx context.Context, c *Client, change bool, do func(ctx context.Context, s operatorspb.OperatorsClient) (T, error)) (out T, err error) {
	for range overloadAttempts {
		if out, err = tryOnce(ctx, c, change, do); status.Code(err) != codes.ResourceExhausted {
			break
		}
		select {
		case <-ctx.Done():
			return out, err
		case <-time.After(overloadDelay):
		}
	}
	return out, err
}

// tryOnce calls each controller at most once. If all calls fail, it returns the last error that came from a connected
// controller, or else the last connection error.
//
// Guard: otherwise the connection error of a controller that does not run hides the leader's response
// (TestControllerErrorPrecedesConnectionErrors).
func tryOnce[T any](ctx context.Context, c *Client, change bool, do func(ctx context.Context, s operatorspb.OperatorsClient) (T, error)) (out T, err error) {
	var answered error
	for i, conn := range c.conns {
		wait := queryTimeout
		if change {
			wait = requestTimeout
		}
		attempt, cancel := context.WithTimeout(ctx, wait)
		out, err = do(attempt, operatorspb.NewOperatorsClient(conn))
		cancel()
		switch status.Code(err) {
		case codes.Unavailable, codes.ResourceExhausted:
		case codes.DeadlineExceeded:
			if change {
				return out, fmt.Errorf("%s: %w", c.addrs[i], status.Error(codes.DeadlineExceeded, "no answer: it may have been carried out"))
			}
		default:
			return out, err
		}
		if conn.GetState() == connectivity.Ready {
			answered = err
		}
		if ctx.Err() != nil {
			break
		}
	}
	return out, cmp.Or(answered, err)
}
