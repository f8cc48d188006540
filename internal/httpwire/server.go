package httpwire

import (
	"container/list"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"
)

// Reply sends the answer to one request; it may be called from any goroutine,
// once.
type Reply func(Answer)

// Handler serves requests. It runs on the listener's loop and must not block.
type Handler func(req *Request, reply Reply)

// Duty is the class of a connection's client, such as users or workers.
type Duty uint8

// Admission decides which connections stay open. It is notified of each one: accepted with
// duty 0, whenever a request shows another duty, and when it is closed. It may be called
// from any goroutine.
type Admission interface {
	// DutyOf tells what a request's connection is for.
	DutyOf(req *Request) Duty
	// Accepted counts a connection; full tells that an idle one must be closed for it.
	Accepted() (full bool)
	// ChangeDuty and Closed count a connection whose duty changes, and one that is closed.
	ChangeDuty(from, to Duty)
	Closed(d Duty)
	// Keep tells whether a connection may stay open after its answer.
	Keep(d Duty) bool
	// Evicted counts an idle connection that was closed for a new one, Refused a new one
	// that was closed because none was idle.
	Evicted()
	Refused()
	// CloseOrder lists the duties whose idle connections are closed for new ones, in order.
	CloseOrder() []Duty
}

// ServerOptions are the listener's bounds.
type ServerOptions struct {
	Limits      Limits
	Admission   Admission
	PartialWait time.Duration // how long a request may take to arrive
	IdleWait    time.Duration // how long a connection may be idle between requests
	Log         *slog.Logger
}

// Server is the HTTP listener, one gnet event loop.
type Server struct {
	gnet.BuiltinEventEngine
	options ServerOptions
	handler Handler
	engine  gnet.Engine
	booted  chan struct{}

	mu      sync.Mutex
	conns   map[gnet.Conn]*connState
	resting map[Duty]*list.List // idle connections, the longest idle first
}

// connPhase is where a connection stands between requests.
type connPhase int

const (
	connIdle      connPhase = iota // nothing received since the last answer
	connReceiving                  // part of a request is here
	connServing                    // a handler has the request
	connClosing                    // the last answer is on its way
)

// connState is what the server knows of a connection.
type connState struct {
	phase          connPhase
	phaseSince     time.Time
	duty           Duty
	restingElement *list.Element // in the list of idle connections; nil: it is not idle
}

// NewServer makes a listener that passes requests to handler.
func NewServer(options ServerOptions, handler Handler) *Server {
	return &Server{
		options: options,
		handler: handler,
		booted:  make(chan struct{}),
		conns:   map[gnet.Conn]*connState{},
		resting: map[Duty]*list.List{},
	}
}

// Run listens until Stop is called.
func (s *Server) Run(addr string) error {
	return gnet.Run(s, "tcp://"+addr, gnet.WithMulticore(false), gnet.WithNumEventLoop(1),
		gnet.WithReuseAddr(true), gnet.WithTicker(true), gnet.WithTCPNoDelay(gnet.TCPNoDelay),
		gnet.WithReadBufferCap(16<<10), gnet.WithWriteBufferCap(16<<10), gnet.WithLogger(gnetLog{s.options.Log}))
}

// OnBoot keeps the engine so that it can be stopped.
func (s *Server) OnBoot(eng gnet.Engine) gnet.Action {
	s.engine = eng
	close(s.booted)
	return gnet.None
}

// OnOpen admits a connection. If the limit is reached, one that is idle between requests is
// closed for it: no client waits for an answer on that one.
func (s *Server) OnOpen(conn gnet.Conn) ([]byte, gnet.Action) {
	full := s.options.Admission.Accepted()
	s.mu.Lock()
	defer s.mu.Unlock()
	var evicted gnet.Conn
	if full {
		evicted = s.longestIdle()
	}
	state := &connState{phase: connReceiving}
	conn.SetContext(state)
	s.conns[conn] = state
	switch {
	case evicted != nil:
		s.options.Admission.Evicted()
		_ = evicted.Close()
		fallthrough
	case !full:
		s.enterPhase(conn, state, connIdle, time.Now())
		return nil, gnet.None
	}
	s.options.Admission.Refused()
	s.enterPhase(conn, state, connClosing, time.Now())
	return Answer{Status: http.StatusServiceUnavailable, Close: true, RetryAfter: 1, Body: []byte(`{"error":"too many connections"}`)}.Append(nil), gnet.Close
}

// longestIdle picks the connection to close that has been idle longest, of the first duty
// that has one.
func (s *Server) longestIdle() gnet.Conn {
	for _, duty := range s.options.Admission.CloseOrder() {
		if conns := s.resting[duty]; conns != nil && conns.Len() > 0 {
			conn, _ := conns.Front().Value.(gnet.Conn)
			s.enterPhase(conn, s.conns[conn], connClosing, time.Now())
			return conn
		}
	}
	return nil
}

// OnClose removes a connection.
func (s *Server) OnClose(conn gnet.Conn, _ error) gnet.Action {
	s.mu.Lock()
	state := s.conns[conn]
	if state != nil {
		s.enterPhase(conn, state, connClosing, time.Now())
		delete(s.conns, conn)
	}
	s.mu.Unlock()
	return gnet.None
}

// enterPhase is the one place where a connection's phase changes; the caller holds the lock.
//
// Guard: a connection that is being closed is no longer counted. Counted until it was gone, it
// had others closed or rejected for nothing.
func (s *Server) enterPhase(conn gnet.Conn, state *connState, phase connPhase, now time.Time) {
	if state.phase == phase {
		return
	}
	state.phase, state.phaseSince = phase, now
	if state.restingElement != nil {
		s.resting[state.duty].Remove(state.restingElement)
		state.restingElement = nil
	}
	switch phase {
	case connClosing:
		s.options.Admission.Closed(state.duty)
	case connIdle:
		if s.resting[state.duty] == nil {
			s.resting[state.duty] = list.New()
		}
		state.restingElement = s.resting[state.duty].PushBack(conn)
	}
}

// OnTraffic parses what has arrived. One request is served at a time on a
// connection; the rest waits in its buffer.
func (s *Server) OnTraffic(conn gnet.Conn) gnet.Action {
	state, _ := conn.Context().(*connState)
	if state == nil {
		return gnet.Close
	}
	now := time.Now()
	s.mu.Lock()
	phase := state.phase
	s.mu.Unlock()
	if phase == connServing || phase == connClosing {
		if conn.InboundBuffered() > s.options.Limits.Head+s.options.Limits.Body {
			return gnet.Close
		}
		return gnet.None
	}
	if conn.InboundBuffered() == 0 {
		return gnet.None
	}
	buffered, err := conn.Peek(-1)
	if err != nil {
		return gnet.Close
	}
	request, size, err := ParseRequest(buffered, s.options.Limits)
	switch {
	case errors.Is(err, ErrIncomplete):
		s.setPhase(conn, state, connReceiving, now)
		return gnet.None
	case err != nil:
		_, _ = conn.Write(s.rejection(err).Append(nil))
		return gnet.Close
	}
	_, _ = conn.Discard(size)
	s.setPhase(conn, state, connServing, now)
	s.setDuty(state, s.options.Admission.DutyOf(request))
	s.handler(request, func(answer Answer) { s.reply(conn, state, request, answer) })
	return gnet.None
}

// rejection is the answer to a request that can't be parsed.
func (s *Server) rejection(err error) Answer {
	answer := Answer{Status: http.StatusBadRequest, Close: true, Body: []byte(`{"error":"malformed request"}`)}
	if errors.Is(err, ErrBodySize) {
		// Guard: users retry for a minute what gets another status than 400 (protocol, POST /api/jobs).
		answer.Body = fmt.Appendf(nil, `{"error":"body: too large; send at most %d bytes"}`, s.options.Limits.Body)
	} else if errors.Is(err, ErrHeadSize) {
		answer.Status, answer.Body = http.StatusRequestHeaderFieldsTooLarge, []byte(`{"error":"request head too large"}`)
	}
	return answer
}

// setDuty records what a connection that serves a request is for.
func (s *Server) setDuty(state *connState, duty Duty) {
	if duty == state.duty {
		return
	}
	s.options.Admission.ChangeDuty(state.duty, duty)
	s.mu.Lock()
	state.duty = duty // it serves a request, so it is in no list of idle connections
	s.mu.Unlock()
}

// reply sends the answer to a request; after it the connection is idle or closed.
func (s *Server) reply(conn gnet.Conn, state *connState, request *Request, answer Answer) {
	answer.Close = answer.Close || request.Close || !s.options.Admission.Keep(state.duty)
	next := connIdle
	if answer.Close {
		next = connClosing
	}
	_ = conn.AsyncWrite(answer.Append(nil), func(conn gnet.Conn, err error) error {
		s.setPhase(conn, state, next, time.Now())
		if err != nil || answer.Close {
			return conn.Close()
		}
		if conn.InboundBuffered() > 0 {
			return conn.Wake(nil)
		}
		return nil
	})
}

// setPhase changes the phase of a connection unless it is closed already.
func (s *Server) setPhase(conn gnet.Conn, state *connState, phase connPhase, now time.Time) {
	s.mu.Lock()
	if s.conns[conn] == state {
		s.enterPhase(conn, state, phase, now)
	}
	s.mu.Unlock()
}

// OnTick closes connections that send a request too slowly or are idle too long,
// so that idle clients can't hold every socket.
func (s *Server) OnTick() (time.Duration, gnet.Action) {
	now := time.Now()
	var late []gnet.Conn
	s.mu.Lock()
	for conn, state := range s.conns {
		switch age := now.Sub(state.phaseSince); {
		case state.phase == connReceiving && age > s.options.PartialWait,
			state.phase == connIdle && age > s.options.IdleWait:
			late = append(late, conn)
		}
	}
	s.mu.Unlock()
	for _, conn := range late {
		_ = conn.Close()
	}
	return time.Second, gnet.None
}

// Stop ends Run.
func (s *Server) Stop(ctx context.Context) error {
	<-s.booted
	return s.engine.Stop(ctx)
}

// gnetLog forwards the library's own messages at the levels used here.
type gnetLog struct{ log *slog.Logger }

// Debugf logs at debug level.
func (l gnetLog) Debugf(format string, args ...any) {
	l.log.Debug("gnet: " + fmt.Sprintf(format, args...))
}

// Infof logs at debug level: the library is verbose.
func (l gnetLog) Infof(format string, args ...any) {
	l.log.Debug("gnet: " + fmt.Sprintf(format, args...))
}

// Warnf logs a warning.
func (l gnetLog) Warnf(format string, args ...any) {
	l.log.Warn("gnet: " + fmt.Sprintf(format, args...))
}

// Errorf logs an error.
func (l gnetLog) Errorf(format string, args ...any) {
	l.log.Error("gnet: " + fmt.Sprintf(format, args...))
}

// Fatalf must not end the process: Run returns the error to its caller.
func (l gnetLog) Fatalf(format string, args ...any) {
	l.log.Error("gnet: " + fmt.Sprintf(format, args...))
}
