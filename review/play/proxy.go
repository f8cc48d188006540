package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"
)

// linkMode says what a link does with traffic.
type linkMode int

const (
	linkOpen  linkMode = iota
	linkHold           // bytes are held back, and delivered in order once the link is open again
	linkReset          // connections are reset, new ones too
)

// link is a TCP proxy between one controller and one service.
type link struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	changed  *sync.Cond
	mode     linkMode
	conns    map[net.Conn]bool
}

func listen() net.Listener {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	must(err)
	return listener
}

func newLink(target string) *link {
	l := &link{listener: listen(), target: target, conns: map[net.Conn]bool{}}
	l.changed = sync.NewCond(&l.mu)
	go l.accept()
	return l
}

func (l *link) addr() string { return l.listener.Addr().String() }

func (l *link) set(mode linkMode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = mode
	if mode == linkReset {
		for conn := range l.conns {
			reset(conn)
		}
		clear(l.conns)
	}
	l.changed.Broadcast()
}

// reset closes a connection with a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// await waits while the link holds bytes back. It returns false if they are lost.
func (l *link) await() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.mode == linkHold {
		l.changed.Wait()
	}
	return l.mode != linkReset
}

func (l *link) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.forward(conn)
	}
}

func (l *link) forward(conn net.Conn) {
	if !l.await() {
		reset(conn)
		return
	}
	upstream, err := net.DialTimeout("tcp4", l.target, 2*time.Second)
	if err != nil {
		reset(conn)
		return
	}
	l.mu.Lock()
	l.conns[conn], l.conns[upstream] = true, true
	l.mu.Unlock()
	var both sync.WaitGroup
	both.Add(2)
	go func() { defer both.Done(); l.copy(upstream, conn) }()
	go func() { defer both.Done(); l.copy(conn, upstream) }()
	both.Wait()
	l.mu.Lock()
	delete(l.conns, conn)
	delete(l.conns, upstream)
	l.mu.Unlock()
}

func (l *link) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if !l.await() {
			break
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
}

// gate is the state service as one controller reaches it. While it refuses, every request gets 503, and open watches
// wait.
type gate struct {
	listener net.Listener
	handler  http.Handler
	mu       sync.Mutex
	refuse   bool
	path     string // then is called once, after the next request for this path
	then     func()
}

func newGate(handler http.Handler) *gate {
	g := &gate{listener: listen(), handler: handler}
	go func() { _ = http.Serve(g.listener, http.HandlerFunc(g.serve)) }()
	return g
}

func (g *gate) addr() string { return g.listener.Addr().String() }

func (g *gate) set(refuse bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refuse = refuse
}

func (g *gate) refuses() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.refuse
}

// once has then called after the next request for a path was carried out.
func (g *gate) once(path string, then func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.path, g.then = path, then
}

func (g *gate) serve(w http.ResponseWriter, r *http.Request) {
	if g.refuses() {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte(`{"error":"trouble"}`))
		return
	}
	if r.URL.Path != "/changes" {
		g.handler.ServeHTTP(w, r)
		g.mu.Lock()
		then := g.then
		if r.URL.Path == g.path {
			g.path, g.then = "", nil
		} else {
			then = nil
		}
		g.mu.Unlock()
		if then != nil {
			then()
		}
		return
	}
	answer := httptest.NewRecorder()
	g.handler.ServeHTTP(answer, r)
	for g.refuses() && r.Context().Err() == nil {
		time.Sleep(20 * time.Millisecond)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes())
}

// fate is what becomes of a report.
type fate int

const (
	forwarded fate = iota
	refused        // it is lost, its connection is reset
	heldUp         // the worker gets no answer; the report arrives late
)

// relay forwards workers' reports to one controller.
type relay struct {
	listener net.Listener
	target   string
	client   *http.Client
	rewrite  func(report map[string]any)
	mu       sync.Mutex
	cut      func(machine string) bool        // connections of these machines break; nil: of none
	before   func(machine string)             // called before a report is forwarded
	take     func(body []byte) fate           // called before a report is forwarded
	seen     func(body []byte, status int)    // called with the answer to a report
	after    func(machine string, status int) // called once the answer was passed on
}

func newRelay(target string, rewrite func(map[string]any)) *relay {
	r := &relay{listener: listen(), target: target, rewrite: rewrite,
		client: &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}}
	go func() { _ = http.Serve(r.listener, http.HandlerFunc(r.serve)) }()
	return r
}

func (r *relay) addr() string { return r.listener.Addr().String() }

// set changes a relay's hooks.
func (r *relay) set(change func(r *relay)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(r)
}

func (r *relay) serve(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	var report map[string]any
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.UseNumber()
	if decoder.Decode(&report) == nil {
		r.rewrite(report)
		body, _ = json.Marshal(report)
	}
	machine, _ := report["berth"].(string)
	r.mu.Lock()
	cut, before, take, seen, after := r.cut, r.before, r.take, r.seen, r.after
	r.mu.Unlock()
	if cut != nil && cut(machine) {
		panic(http.ErrAbortHandler)
	}
	if before != nil {
		before(machine)
	}
	if take != nil {
		switch take(body) {
		case refused:
			panic(http.ErrAbortHandler)
		case heldUp:
			<-req.Context().Done()
			return
		}
	}
	status, answer := forward(context.Background(), r.client, "http://"+r.target+"/checkin", body)
	if status == 0 {
		panic(http.ErrAbortHandler)
	}
	if seen != nil {
		seen(body, status)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(answer)
	if after != nil {
		if flusher, ok := w.(http.Flusher); ok {
			flusher.Flush()
		}
		after(machine, status)
	}
}

// forward posts a body. The status is 0 if there was no answer.
func forward(ctx context.Context, client *http.Client, url string, body []byte) (status int, answer []byte) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err = io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}
