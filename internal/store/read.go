package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/marlwood/marlwood/internal/httpwire"
)

const (
	pageSize     = 1000 // most items on a page of a listing
	pageAttempts = 6    // most requests for a page whose outcome is unknown, such as after a timeout
)

// page is one page of a listing.
type page struct {
	Items    []Item `json:"pairs"`
	More     bool   `json:"more"`
	Revision uint64 `json:"ledgerRev"`
}

// changes is the response to a watch.
type changes struct {
	Revision uint64  `json:"ledgerRev"`
	Events   []Event `json:"news"`
}

// Get reads one key. With ErrNotFound the item's revision is that of the store at which the key was
// absent.
func (c *Client) Get(ctx context.Context, key string) (Item, error) {
	resp, err := c.call(ctx, http.MethodGet, "/kv/"+key, nil)
	if err != nil {
		return Item{}, err
	}
	if resp.Status == http.StatusNotFound {
		return absentItem(key, resp)
	}
	var item Item
	if err := decode(resp, &item); err != nil {
		return Item{}, err
	}
	if item.Key != key || item.Revision == 0 {
		return Item{}, fmt.Errorf("%w: answer for %q", ErrUnknown, item.Key)
	}
	return item, nil
}

// absentItem decodes a 404 response. Only a response with a revision is the store's own; a 404 from a proxy does
// not prove that the key is absent.
func absentItem(key string, resp *httpwire.Response) (Item, error) {
	var body struct {
		Revision *uint64 `json:"ledgerRev"`
	}
	if json.Unmarshal(resp.Body, &body) != nil || body.Revision == nil {
		return Item{}, fmt.Errorf("%w: 404 without a revision", ErrUnknown)
	}
	return Item{Key: key, Revision: *body.Revision}, ErrNotFound
}

// List reads every key with a prefix. The returned revision is that of the first page, so a watch from it misses
// no change.
//
// Guard: each page is retried separately. When one late page failed the whole listing, and responses took up to
// three seconds, no listing of thousands of jobs ever completed. For as long as that lasted, a restarted
// controller knew none of the jobs, and no new leader could begin its term. TestListRetriesLatePages covers it.
func (c *Client) List(ctx context.Context, prefix string) ([]Item, uint64, error) {
	var items []Item
	var revision uint64
	lastKey := ""
	for {
		next, err := c.listPage(ctx, prefix, lastKey)
		if err != nil {
			return nil, 0, err
		}
		if revision == 0 {
			revision = next.Revision
		}
		items = append(items, next.Items...)
		if !next.More || len(next.Items) == 0 {
			return items, revision, nil
		}
		lastKey = next.Items[len(next.Items)-1].Key
	}
}

// listPage reads the page of a listing that follows lastKey, or the first page if lastKey is empty.
func (c *Client) listPage(ctx context.Context, prefix, lastKey string) (page, error) {
	target := fmt.Sprintf("/kv?starts=%s&most=%d", url.QueryEscape(prefix), pageSize)
	if lastKey != "" {
		target += "&after=" + url.QueryEscape(lastKey)
	}
	var resp *httpwire.Response
	err := ErrUnknown
	for attempt := 0; attempt < pageAttempts && errors.Is(err, ErrUnknown) && ctx.Err() == nil; attempt++ {
		resp, err = c.call(ctx, http.MethodGet, target, nil)
	}
	if err != nil {
		return page{}, err
	}
	var read page
	err = decode(resp, &read)
	return read, err
}

// Watch waits up to the given duration for changes under a prefix after a revision. It returns the changes in
// the order of their revisions, and the revision to watch from next. It returns ErrCompacted if the store no longer
// has the changes.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Event, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+c.timeout)
	defer cancel()
	target := fmt.Sprintf("/changes?starts=%s&after=%d&blockMs=%d", url.QueryEscape(prefix), after, wait.Milliseconds())
	resp, err := c.send(ctx, c.watchClient, http.MethodGet, target, nil)
	if err != nil {
		return nil, 0, err
	}
	if resp.Status == http.StatusGone {
		return nil, 0, ErrCompacted
	}
	var out changes
	if err := decode(resp, &out); err != nil {
		return nil, 0, err
	}
	SortByRevision(out.Events)
	return out.Events, max(after, out.Revision), nil
}
