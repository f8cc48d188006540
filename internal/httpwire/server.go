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

// Reply sends the answer to one request. It must be called once and may be called from
// any goroutine.
type Reply func(Answer)

// Handler serves requests. It runs on the listener's event loop and must not block.
type Handler func(req *Request, reply Reply)

// Duty is the class of client that uses a connection, such as users or workers.
type Duty uint8

// Admission decides which connections stay open. It is notified when a connection is accepted,
// with duty 0, when a request changes the connection's duty, and when the connection is closed.
// It may be called from any goroutine.
type Admission interface {
	// DutyOf returns the duty of the connection that sent the request.
	DutyOf(req *Request) Duty
	// Accepted counts a new connection; full reports that an idle one must be closed for it.
	Accepted() (full bool)
	// ChangeDuty counts a connection under its new duty, and Closed removes a closed connection
	// from the count.
	ChangeDuty(from, to Duty)
	Closed(d Duty)
	// Keep reports whether a connection may stay open after an answer.
	Keep(d Duty) bool
	// Evicted counts an idle connection that was closed for a new one. Refused counts a new
	// connection that was closed because no other could be closed for it.
	Evicted()
	Refused()
	// CloseOrder returns the duties whose idle connections are closed for new ones, in order.
	CloseOrder() []Duty
}

// ServerOptions configures a Server.
type ServerOptions struct {
	Limits      Limits
	Admission   Admission
	PartialWait time.Duration // how long a request may take to arrive
	IdleWait    time.Duration // how long a connection may be idle between requests
	Log         *slog.Logger
}

// Server is an HTTP listener that runs on one gnet event loop.
type Server struct {
	gnet.BuiltinEventEngine
	options ServerOptions
	handler Handler
	engine  gnet.Engine
	booted  chan struct{}

	mu        sync.Mutex
	conns     map[gnet.Conn]*connState
	idleConns map[Duty]*list.List // idle connections by duty, the longest idle first
}

// connPhase is the state of a connection with respect to its current request.
type connPhase int

const (
	connIdle      connPhase = iota // nothing has been received since the last answer
	connReceiving                  // part of a request has been received
	connServing                    // the handler is processing a request
	connClosing                    // the last answer was sent or the connection is being closed
)

// connState is the server's state of one connection.
type connState struct {
	phase       connPhase
	phaseSince  time.Time
	duty        Duty
	idleElement *list.Element // element in the list of idle connections; nil if it is not idle
}

// NewServer returns a listener that passes requests to handler.
func NewServer(options ServerOptions, handler Handler) *Server {
	return &Server{
		options:   options,
		handler:   handler,
		booted:    make(chan struct{}),
		conns:     map[gnet.Conn]*connState{},
		idleConns: map[Duty]*list.List{},
	}
}

// Run listens on addr until Stop is called.
func (s *Server) Run(addr string) error {
	return gnet.Run(s, "tcp://"+addr, gnet.WithMulticore(false), gnet.WithNumEventLoop(1),
		gnet.WithReuseAddr(true), gnet.WithTicker(true), gnet.WithTCPNoDelay(gnet.TCPNoDelay),
		gnet.WithReadBufferCap(16<<10), gnet.WithWriteBufferCap(16<<10), gnet.WithLogger(gnetLog{s.options.Log}))
}

// OnBoot stores the engine so that Stop can stop it.
func (s *Server) OnBoot(eng gnet.Engine) gnet.Action {
	s.engine = eng
	close(s.booted)
	return gnet.None
}

// OnOpen admits a new connection. If the limit is reached, an idle connection is closed for it,
// because no client waits for an answer there; if there is none, the new connection is refused.
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

// longestIdle returns the connection to close for a new one and marks it as closing: the one
// that has been idle longest, of the first duty in the close order that has an idle connection.
func (s *Server) longestIdle() gnet.Conn {
	for _, duty := range s.options.Admission.CloseOrder() {
		if conns := s.idleConns[duty]; conns != nil && conns.Len() > 0 {
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

// enterPhase changes the phase of a connection; no other function does. The caller holds s.mu.
//
// Guard: a connection is no longer counted once its closing begins. When it was counted until it
// was gone, other connections were closed or rejected needlessly.
func (s *Server) enterPhase(conn gnet.Conn, state *connState, phase connPhase, now time.Time) {
	if state.phase == phase {
		return
	}
	state.phase, state.phaseSince = phase, now
	if state.idleElement != nil {
		s.idleConns[state.duty].Remove(state.idleElement)
		state.idleElement = nil
	}
	switch phase {
	case connClosing:
		s.options.Admission.Closed(state.duty)
	case connIdle:
		if s.idleConns[state.duty] == nil {
			s.idleConns[state.duty] = list.New()
		}
		state.idleElement = s.idleConns[state.duty].PushBack(conn)
	}
}

// OnTraffic parses the received bytes. A connection serves one request at a time; further
// requests wait in its buffer.
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

// rejection returns the answer to a request that can't be parsed.
func (s *Server) rejection(err error) Answer {
	answer := Answer{Status: http.StatusBadRequest, Close: true, Body: []byte(`{"error":"malformed request"}`)}
	if errors.Is(err, ErrBodySize) {
		// Guard: users retry a submission for a minute if the status is not 400 (protocol, POST /api/jobs).
		answer.Body = fmt.Appendf(nil, `{"error":"body: too large; send at most %d bytes"}`, s.options.Limits.Body)
	} else if errors.Is(err, ErrHeadSize) {
		answer.Status, answer.Body = http.StatusRequestHeaderFieldsTooLarge, []byte(`{"error":"request head too large"}`)
	}
	return answer
}

// setDuty sets the duty of a connection that is serving a request.
func (s *Server) setDuty(state *connState, duty Duty) {
	if duty == state.duty {
		return
	}
	s.options.Admission.ChangeDuty(state.duty, duty)
	s.mu.Lock()
	state.duty = duty // the connection is serving a request, so it is in no list of idle connections
	s.mu.Unlock()
}

// reply sends the answer to a request; afterwards the connection is idle or closed.
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

// setPhase changes the phase of a connection unless it has been closed already.
func (s *Server) setPhase(conn gnet.Conn, state *connState, phase connPhase, now time.Time) {
	s.mu.Lock()
	if s.conns[conn] == state {
		s.enterPhase(conn, state, phase, now)
	}
	s.mu.Unlock()
}

// OnTick closes connections that send a request too slowly or are idle for too long, so that
// such clients can't occupy every socket.
func (s *Server) OnTick() (time.Duration, gnet.Action) {
	now := time.Now()
	var expired []gnet.Conn
	s.mu.Lock()
	for conn, state := range s.conns {
		switch age := now.Sub(state.phaseSince); {
		case state.phase == connReceiving && age > s.options.PartialWait,
			state.phase == connIdle && age > s.options.IdleWait:
			expired = append(expired, conn)
		}
	}
	s.mu.Unlock()
	for _, conn := range expired {
		_ = conn.Close()
	}
	return time.Second, gnet.None
}

// Stop ends Run.
func (s *Server) Stop(ctx context.Context) error {
	<-s.booted
	return s.engine.Stop(ctx)
}

// gnetLog forwards gnet's log messages to a slog.Logger.
type gnetLog struct{ log *slog.Logger }

// Debugf logs at debug level.
func (l gnetLog) Debugf(format string, args ...any) {
	l.log.Debug("gnet: " + fmt.Sprintf(format, args...))
}

// Infof logs at debug level because gnet is verbose.
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

// Fatalf logs an error and must not end the process: Run returns the error to its caller.
func (l gnetLog) Fatalf(format string, args ...any) {
	l.log.Error("gnet: " + fmt.Sprintf(format, args...))
}
