package standin

import (
	"io"
	"net"
	"sync"
)

// Link is a TCP proxy that forwards connections to an address. While it is cut, it holds back
// the data that is sent and forwards no new connection, like a network that drops packets. When
// it is healed, it delivers the data that it held back, in order.
type Link struct {
	net.Listener
	target string

	mu           sync.Mutex
	stateChanged *sync.Cond
	cut          bool
	closed       bool
	conns        map[net.Conn]bool
}

// NewLink listens on addr and forwards connections to target.
func NewLink(addr, target string) (*Link, error) {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, err
	}
	k := &Link{Listener: l, target: target, conns: map[net.Conn]bool{}}
	k.stateChanged = sync.NewCond(&k.mu)
	go k.accept()
	return k, nil
}

// Cut cuts the link if on is true, and heals it otherwise.
func (k *Link) Cut(on bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cut = on
	k.stateChanged.Broadcast()
}

// Close closes the link and all of its connections.
func (k *Link) Close() error {
	k.mu.Lock()
	k.closed = true
	for c := range k.conns {
		_ = c.Close()
	}
	k.stateChanged.Broadcast()
	k.mu.Unlock()
	return k.Listener.Close()
}

// waitOpen waits while the link is cut. It returns false if the link was closed.
func (k *Link) waitOpen() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for k.cut && !k.closed {
		k.stateChanged.Wait()
	}
	return !k.closed
}

func (k *Link) accept() {
	for {
		c, err := k.Accept()
		if err != nil {
			return
		}
		go k.forward(c)
	}
}

func (k *Link) forward(c net.Conn) {
	defer func() { _ = c.Close() }()
	if !k.waitOpen() {
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
	for _, direction := range [][2]net.Conn{{c, upstream}, {upstream, c}} {
		go func() {
			k.copy(direction[1], direction[0])
			_ = direction[1].Close()
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

func (k *Link) copy(to io.Writer, from io.Reader) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && (!k.waitOpen() || write(to, buf[:n]) != nil) {
			return
		}
		if err != nil {
			k.waitOpen() // a cut link holds back the end of the stream as well
			return
		}
	}
}

func write(to io.Writer, b []byte) error {
	_, err := to.Write(b)
	return err
}
