package main

import (
	"net"
	"sync"
)

// link forwards connections to an address. While it is held, what is sent on open connections is kept, and it is delivered in order afterwards,
// also if the sender has closed the connection meanwhile. Connections that are attempted while it is held are never completed.
type link struct {
	net.Listener
	target string

	mu      sync.Mutex
	changed *sync.Cond
	held    bool
	closed  bool
	conns   map[net.Conn]bool
}

func newLink(target string) (*link, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &link{Listener: l, target: target, conns: map[net.Conn]bool{}}
	k.changed = sync.NewCond(&k.mu)
	go k.accept()
	return k, nil
}

// hold holds what is sent, or delivers what was held.
func (k *link) hold(on bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.held = on
	k.changed.Broadcast()
}

// close closes the link and all of its connections.
func (k *link) close() {
	_ = k.Close()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.closed = true
	for c := range k.conns {
		_ = c.Close()
	}
	k.changed.Broadcast()
}

// open waits while the link is held. It reports whether it had to wait, and whether the link is still there.
func (k *link) open() (waited, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for k.held && !k.closed {
		waited = true
		k.changed.Wait()
	}
	return waited, !k.closed
}

func (k *link) accept() {
	for {
		c, err := k.Accept()
		if err != nil {
			return
		}
		go k.forward(c)
	}
}

func (k *link) forward(c net.Conn) {
	defer func() { _ = c.Close() }()
	if waited, ok := k.open(); waited || !ok {
		return
	}
	upstream, err := net.Dial("tcp4", k.target)
	if err != nil {
		return
	}
	defer func() { _ = upstream.Close() }()
	k.mu.Lock()
	k.conns[c], k.conns[upstream] = true, true
	k.mu.Unlock()
	done := make(chan struct{}, 2)
	for _, ends := range [][2]net.Conn{{c, upstream}, {upstream, c}} {
		go func() {
			k.copy(ends[1], ends[0])
			_ = ends[1].Close()
			done <- struct{}{}
		}()
	}
	<-done
	<-done
	k.mu.Lock()
	delete(k.conns, c)
	delete(k.conns, upstream)
	k.mu.Unlock()
}

// copy forwards one direction, the end of the stream included.
func (k *link) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if _, ok := k.open(); !ok {
			return
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
