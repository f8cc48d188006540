//go:build !linux

package loopback

import (
	"fmt"
	"net"
)

// Reserve finds a port that has no listener. Port 0 finds any free port. On this system the port is not reserved:
// another program may take it.
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
