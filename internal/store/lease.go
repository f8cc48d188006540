package store

import (
	"context"
	"net/http"
	"strconv"
	"time"
)

// GrantLease creates a lease that expires unless it is kept alive in time. The keys attached to it are
// deleted when it expires.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (uint64, error) {
	resp, err := c.call(ctx, http.MethodPost, "/holds", map[string]int64{"ttlMs": ttl.Milliseconds()})
	if err != nil {
		return 0, err
	}
	var granted struct {
		Lease uint64 `json:"permit"`
	}
	if err := decode(resp, &granted); err != nil {
		return 0, err
	}
	return granted.Lease, nil
}

// KeepAlive extends a lease by its time to live. It returns ErrLeaseNotFound if the lease has expired. Only
// 404, 429 and 503 count as failures; any other status counts as success.
func (c *Client) KeepAlive(ctx context.Context, lease uint64) error {
	resp, err := c.call(ctx, http.MethodPost, "/holds/"+strconv.FormatUint(lease, 10)+"/touch", struct{}{})
	if err != nil {
		return err
	}
	if resp.Status == http.StatusNotFound {
		return ErrLeaseNotFound
	}
	return nil
}
