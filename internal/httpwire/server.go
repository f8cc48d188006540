package httpwire

import (
	"container/list"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"
)

// Reply sends the answer to one request; it may be called from any goroutine,
// once.
type Reply func(Answer)

// Handler serves requests. It runs on the listener's loop and must not block.
type Handler func(req *Request, reply Reply)

// Duty is what a connection is for, as the one who serves its requests tells them apart.
type Duty uint8

// Admission decides which connections stay open. It is told of each one: accepted with
// duty 0, whenever a request shows another duty, and when it is closed. It may be called
// from any goroutine.
type Admission interface {
	// DutyOf tells what a request's connection is for.
	DutyOf(req *Request) Duty
	// Accepted takes a connection in; full tells that one that rests is to be closed for it.
	Accepted() (full bool)
	Became(from, to Duty)
	Closed(d Duty)
	// Keep tells whether a connection may stay open after its answer.
	Keep(d Duty) bool
	// Evicted tells of a resting connection that was closed for a new one, Refused of a
	// new one that was closed because none rested.
	Evicted()
	Refused()
	// Spare lists the duties whose resting connections are closed for new ones, in order.
	Spare() []Duty
}

// ServerOptions are the listener's bounds.
type ServerOptions struct {
	Limits      Limits
	Admission   Admission
	PartialWait time.Duration // how long a request may take to arrive
	IdleWait    time.Duration // how long a connection may rest between requests
	Log         *slog.Logger
}

// Server is the HTTP listener, one gnet event loop.
type Server struct {
	gnet.BuiltinEventEngine
	opt     ServerOptions
	handler Handler
	eng     gnet.Engine
	booted  chan struct{}

	mu    sync.Mutex
	conns map[gnet.Conn]*connState
	rest  map[Duty]*list.List // resting connections, the longest first
}

// connPhase is where a connection stands between requests.
type connPhase int

const (
	connIdle      connPhase = iota // nothing received since the last answer
	connReceiving                  // part of a request is here
	connServing                    // a handler has the request
	connClosing                    // the last answer is on its way
)

type connState struct {
	phase   connPhase
	since   time.Time
	duty    Duty
	resting *list.Element // among those that rest; nil: it does not
}

// NewServer makes a listener that passes requests to handler.
func NewServer(opt ServerOptions, handler Handler) *Server {
	return &Server{opt: opt, handler: handler, conns: map[gnet.Conn]*connState{}, rest: map[Duty]*list.List{}, booted: make(chan struct{})}
}

// Run listens until Stop is called.
func (s *Server) Run(addr string) error {
	return gnet.Run(s, "tcp://"+addr, gnet.WithMulticore(false), gnet.WithNumEventLoop(1),
		gnet.WithReuseAddr(true), gnet.WithTicker(true), gnet.WithTCPNoDelay(gnet.TCPNoDelay),
		gnet.WithReadBufferCap(16<<10), gnet.WithWriteBufferCap(16<<10), gnet.WithLogger(gnetLog{s.opt.Log}))
}

// OnBoot keeps the engine so that it can be stopped.
func (s *Server) OnBoot(eng gnet.Engine) gnet.Action {
	s.eng = eng
	close(s.booted)
	return gnet.None
}

// OnOpen takes a connection in. Where there is no place left for it, one that rests between
// requests is closed for it: nobody waits for an answer on that one.
func (s *Server) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	full := s.opt.Admission.Accepted()
	s.mu.Lock()
	defer s.mu.Unlock()
	var old gnet.Conn
	if full {
		old = s.longestResting()
	}
	st := &connState{phase: connReceiving}
	c.SetContext(st)
	s.conns[c] = st
	switch {
	case old != nil:
		s.opt.Admission.Evicted()
		_ = old.Close()
		fallthrough
	case !full:
		s.to(c, st, connIdle, time.Now())
		return nil, gnet.None
	}
	s.opt.Admission.Refused()
	s.to(c, st, connClosing, time.Now())
	return Answer{Status: 503, Close: true, RetryAfter: 1, Body: []byte(`{"error":"too many connections"}`)}.Append(nil), gnet.Close
}

// longestResting picks the connection to be closed that has rested longest, of the first duty
// that has one.
func (s *Server) longestResting() gnet.Conn {
	for _, d := range s.opt.Admission.Spare() {
		if l := s.rest[d]; l != nil && l.Len() > 0 {
			c, _ := l.Front().Value.(gnet.Conn)
			s.to(c, s.conns[c], connClosing, time.Now())
			return c
		}
	}
	return nil
}

// OnClose forgets a connection.
func (s *Server) OnClose(c gnet.Conn, _ error) gnet.Action {
	s.mu.Lock()
	st := s.conns[c]
	if st != nil {
		s.to(c, st, connClosing, time.Now())
		delete(s.conns, c)
	}
	s.mu.Unlock()
	return gnet.None
}

// to is the one place where a connection's phase changes. One that is being closed gives its
// place up at once: counted until it is gone, it had others closed or turned away for nothing.
func (s *Server) to(c gnet.Conn, st *connState, p connPhase, now time.Time) {
	if st.phase == p {
		return
	}
	st.phase, st.since = p, now
	if st.resting != nil {
		s.rest[st.duty].Remove(st.resting)
		st.resting = nil
	}
	switch p {
	case connClosing:
		s.opt.Admission.Closed(st.duty)
	case connIdle:
		if s.rest[st.duty] == nil {
			s.rest[st.duty] = list.New()
		}
		st.resting = s.rest[st.duty].PushBack(c)
	}
}

// OnTraffic parses what has arrived. One request is served at a time on a
// connection; the rest waits in its buffer.
func (s *Server) OnTraffic(c gnet.Conn) gnet.Action {
	st, _ := c.Context().(*connState)
	if st == nil {
		return gnet.Close
	}
	now := time.Now()
	s.mu.Lock()
	phase := st.phase
	s.mu.Unlock()
	if phase == connServing || phase == connClosing {
		if c.InboundBuffered() > s.opt.Limits.Head+s.opt.Limits.Body {
			return gnet.Close
		}
		return gnet.None
	}
	if c.InboundBuffered() == 0 {
		return gnet.None
	}
	b, err := c.Peek(-1)
	if err != nil {
		return gnet.Close
	}
	req, n, err := ParseRequest(b, s.opt.Limits)
	switch {
	case errors.Is(err, ErrIncomplete):
		s.setPhase(c, st, connReceiving, now)
		return gnet.None
	case err != nil:
		a := Answer{Status: 400, Close: true, Body: []byte(`{"error":"malformed request"}`)}
		if errors.Is(err, ErrBodySize) {
			// Guard: users try again for a minute what gets another status than 400 (protocol, POST /api/jobs).
			a.Body = fmt.Appendf(nil, `{"error":"body: too large; send at most %d bytes"}`, s.opt.Limits.Body)
		} else if errors.Is(err, ErrHeadSize) {
			a.Status, a.Body = 431, []byte(`{"error":"request head too large"}`)
		}
		_, _ = c.Write(a.Append(nil))
		return gnet.Close
	}
	_, _ = c.Discard(n)
	s.setPhase(c, st, connServing, now)
	if d := s.opt.Admission.DutyOf(req); d != st.duty {
		s.opt.Admission.Became(st.duty, d)
		s.mu.Lock()
		st.duty = d // it serves, so it is on no list of those that rest
		s.mu.Unlock()
	}
	s.handler(req, func(a Answer) {
		a.Close = a.Close || req.Close || !s.opt.Admission.Keep(st.duty)
		next := connIdle
		if a.Close {
			next = connClosing
		}
		_ = c.AsyncWrite(a.Append(nil), func(c gnet.Conn, err error) error {
			s.setPhase(c, st, next, time.Now())
			if err != nil || a.Close {
				return c.Close()
			}
			if c.InboundBuffered() > 0 {
				return c.Wake(nil)
			}
			return nil
		})
	})
	return gnet.None
}

func (s *Server) setPhase(c gnet.Conn, st *connState, p connPhase, now time.Time) {
	s.mu.Lock()
	if s.conns[c] == st { // it may be closed already
		s.to(c, st, p, now)
	}
	s.mu.Unlock()
}

// OnTick closes connections that send a request too slowly or rest too long,
// so that idle clients cannot hold every socket.
func (s *Server) OnTick() (time.Duration, gnet.Action) {
	now := time.Now()
	var late []gnet.Conn
	s.mu.Lock()
	for c, st := range s.conns {
		switch age := now.Sub(st.since); {
		case st.phase == connReceiving && age > s.opt.PartialWait,
			st.phase == connIdle && age > s.opt.IdleWait:
			late = append(late, c)
		}
	}
	s.mu.Unlock()
	for _, c := range late {
		_ = c.Close()
	}
	return time.Second, gnet.None
}

// Stop ends Run.
func (s *Server) Stop(ctx context.Context) error {
	<-s.booted
	return s.eng.Stop(ctx)
}

// gnetLog passes the library's own messages on at the levels used here.
type gnetLog struct{ log *slog.Logger }

func (l gnetLog) Debugf(format string, args ...any) {
	l.log.Debug("gnet: " + fmt.Sprintf(format, args...))
}
func (l gnetLog) Infof(format string, args ...any) {
	l.log.Debug("gnet: " + fmt.Sprintf(format, args...))
}
func (l gnetLog) Warnf(format string, args ...any) {
	l.log.Warn("gnet: " + fmt.Sprintf(format, args...))
}
func (l gnetLog) Errorf(format string, args ...any) {
	l.log.Error("gnet: " + fmt.Sprintf(format, args...))
}

// Fatalf must not end the process: Run returns the error to its caller.
func (l gnetLog) Fatalf(format string, args ...any) {
	l.log.Error("gnet: " + fmt.Sprintf(format, args...))
}
