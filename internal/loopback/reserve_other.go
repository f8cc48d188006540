//go:build !linux

package loopback

import (
	"fmt"
	"net"
)

// Reserve finds a port that nothing listens on; 0: any. It is not kept from others here.
func Reserve(port int) (*Reservation, error) {
	listener, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", port))
	if err != nil {
		return nil, err
	}
	addr := listener.Addr().String()
	return &Reservation{addr: addr, close: func() error { return nil }}, listener.Close()
}

// Share does the same as Reserve.
func Share(port int) (*Reservation, error) { return Reserve(port) }
