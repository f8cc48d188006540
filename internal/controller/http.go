package controller

import (
	"context"
	"net/http"
	"time"

	"github.com/marlwood/marlwood/internal/api"
	"github.com/marlwood/marlwood/internal/httpwire"
)

const (
	// maxMutations and maxQueries bound how many user requests are served at once.
	maxMutations = 64
	maxQueries   = 192
	// userRequestTimeout is how long a user's request may take.
	userRequestTimeout = 4 * time.Second
	// maxHeadBytes and maxBodyBytes bound what is read of a request.
	maxHeadBytes = 8 << 10
	maxBodyBytes = 64 << 10
)

// Paths for workers and health checks. All other paths belong to the users' API.
const (
	heartbeatPath = "/checkin"
	healthPath    = "/up"
)

// requestSlots bounds how many user requests are served at once. Queries have separate slots, so that they
// cannot use up the slots of submissions. It is safe for concurrent use.
type requestSlots struct {
	mutations chan struct{} // one element for each submission or cancellation in progress
	queries   chan struct{} // one element for each query in progress
}

func newRequestSlots() requestSlots {
	return requestSlots{mutations: make(chan struct{}, maxMutations), queries: make(chan struct{}, maxQueries)}
}

// acquire takes a slot if one is free. The slot is held until release is called.
func (s requestSlots) acquire(readOnly bool) (release func(), ok bool) {
	slots := s.mutations
	if readOnly {
		slots = s.queries
	}
	select {
	case slots <- struct{}{}:
		return func() { <-slots }, true
	default:
		return nil, false
	}
}

// serveHTTP serves one HTTP request; it runs on the listener's loop.
func (c *Controller) serveHTTP(req *httpwire.Request, reply httpwire.Reply) {
	switch req.Path {
	case heartbeatPath:
		if req.Method != http.MethodPost {
			reply(api.ErrorAnswer(http.StatusMethodNotAllowed, "only POST is allowed here"))
			return
		}
		c.serveHeartbeat(req, reply)
	case healthPath:
		if req.Method != http.MethodGet {
			reply(api.ErrorAnswer(http.StatusMethodNotAllowed, "only GET is allowed here"))
			return
		}
		reply(c.health(c.env.Now()))
	default:
		c.serveUser(req, reply)
	}
}

// serveUser serves a request of the users' API outside the loop.
func (c *Controller) serveUser(req *httpwire.Request, reply httpwire.Reply) {
	handler, ok := c.api.Route(req)
	unavailable := c.unavailableReason(c.env.Now())
	switch {
	case !ok:
		reply(api.ErrorAnswer(http.StatusNotFound, "no such path"))
		return
	case handler.Serve == nil:
		reply(api.ErrorAnswer(http.StatusMethodNotAllowed, "method not allowed"))
		return
	case unavailable != "": // refuses the request at once, instead of letting it time out
		reply(api.RetryAnswer(http.StatusServiceUnavailable, unavailable))
		return
	}
	release, ok := c.slots.acquire(handler.ReadOnly)
	if !ok {
		reply(api.RetryAnswer(http.StatusTooManyRequests, "too many requests under way"))
		return
	}
	c.env.Go(func() {
		defer release()
		ctx, cancel := context.WithTimeout(c.ctx, userRequestTimeout)
		defer cancel()
		reply(handler.Serve(ctx))
	})
}
