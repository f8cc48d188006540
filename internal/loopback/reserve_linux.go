package loopback

import (
	"fmt"
	"net"
	"os"
	"syscall"
)

// Reserve reserves an unused port. Port 0 reserves any free port.
func Reserve(port int) (*Reservation, error) { return reserve(port, false) }

// Share reserves a port that has no listener. The port may already be reserved.
func Share(port int) (*Reservation, error) { return reserve(port, true) }

// reserve binds a socket that doesn't listen. Binding without SO_REUSEADDR fails if another socket is bound to the
// port. Setting the option, before or after the bind, allows others to listen on the port.
func reserve(port int, shared bool) (*Reservation, error) {
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, os.NewSyscallError("socket", err)
	}
	addr, err := bind(socket, port, shared)
	if err != nil {
		_ = syscall.Close(socket)
		return nil, fmt.Errorf("loopback: port %d: %w", port, err)
	}
	return &Reservation{addr: addr, close: func() error { return syscall.Close(socket) }}, nil
}

// bind binds a socket and returns its address.
func bind(socket, port int, shared bool) (string, error) {
	reuse := func() error { return syscall.SetsockoptInt(socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1) }
	if shared {
		if err := reuse(); err != nil {
			return "", os.NewSyscallError("setsockopt", err)
		}
	}
	if err := syscall.Bind(socket, &syscall.SockaddrInet4{Port: port, Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return "", os.NewSyscallError("bind", err)
	}
	if err := reuse(); err != nil {
		return "", os.NewSyscallError("setsockopt", err)
	}
	bound, err := syscall.Getsockname(socket)
	if err != nil {
		return "", os.NewSyscallError("getsockname", err)
	}
	inet, ok := bound.(*syscall.SockaddrInet4)
	if !ok {
		return "", fmt.Errorf("bound to %T", bound)
	}
	return (&net.TCPAddr{IP: net.IP(inet.Addr[:]), Port: inet.Port}).String(), nil
}
