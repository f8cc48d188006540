package httpwire

import (
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

// ServerOptions are the listener's bounds.
type ServerOptions struct {
	Limits      Limits
	MaxConns    int
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
	phase connPhase
	since time.Time
}

func (s *connState) to(p connPhase, now time.Time) {
	if s.phase != p {
		s.phase, s.since = p, now
	}
}

// NewServer makes a listener that passes requests to handler.
func NewServer(opt ServerOptions, handler Handler) *Server {
	return &Server{opt: opt, handler: handler, conns: map[gnet.Conn]*connState{}, booted: make(chan struct{})}
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

// OnOpen counts connections; one too many is closed at once.
func (s *Server) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= s.opt.MaxConns {
		return Answer{Status: 503, Close: true, RetryAfter: 1, Body: []byte(`{"error":"too many connections"}`)}.Append(nil), gnet.Close
	}
	st := &connState{phase: connIdle, since: time.Now()}
	c.SetContext(st)
	s.conns[c] = st
	return nil, gnet.None
}

// OnClose forgets a connection.
func (s *Server) OnClose(c gnet.Conn, _ error) gnet.Action {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	return gnet.None
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
		s.setPhase(st, connReceiving, now)
		return gnet.None
	case err != nil:
		a := Answer{Status: 400, Close: true, Body: []byte(`{"error":"malformed request"}`)}
		if errors.Is(err, ErrBodySize) {
			a.Status, a.Body = 413, []byte(`{"error":"request body too large"}`)
		} else if errors.Is(err, ErrHeadSize) {
			a.Status, a.Body = 431, []byte(`{"error":"request head too large"}`)
		}
		_, _ = c.Write(a.Append(nil))
		return gnet.Close
	}
	_, _ = c.Discard(n)
	s.setPhase(st, connServing, now)
	s.handler(req, func(a Answer) {
		a.Close = a.Close || req.Close
		next := connIdle
		if a.Close {
			next = connClosing
		}
		_ = c.AsyncWrite(a.Append(nil), func(c gnet.Conn, err error) error {
			s.setPhase(st, next, time.Now())
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

func (s *Server) setPhase(st *connState, p connPhase, now time.Time) {
	s.mu.Lock()
	st.to(p, now)
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
