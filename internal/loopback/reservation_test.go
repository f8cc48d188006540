package loopback

import (
	"net"
	"runtime"
	"testing"
)

// A reserved port cannot be reserved again, but listeners can use it one after the other. It can be shared while
// nothing listens on it, and reserved again once all reservations are closed.
func TestReserve(t *testing.T) {
	if runtime.GOOS != "linux" {
		t.Skip("ports are reserved on Linux only")
	}
	reservation, err := Reserve(0)
	if err != nil {
		t.Fatal(err)
	}
	addr, err := net.ResolveTCPAddr("tcp4", reservation.Addr())
	if err != nil {
		t.Fatal(err)
	}
	if other, err := Reserve(addr.Port); err == nil {
		t.Error("the port was reserved twice")
		_ = other.Close()
	}
	shared, err := Share(addr.Port)
	if err != nil {
		t.Fatalf("sharing a reserved port: %v", err)
	}
	for range 2 {
		listener, err := net.Listen("tcp4", reservation.Addr())
		if err != nil {
			t.Fatalf("listening on a reserved port: %v", err)
		}
		if other, err := Share(addr.Port); err == nil {
			t.Error("the port was shared while a listener was open")
			_ = other.Close()
		}
		_ = listener.Close()
	}
	for _, held := range []*Reservation{reservation, shared} {
		if err := held.Close(); err != nil {
			t.Error(err)
		}
	}
	again, err := Reserve(addr.Port)
	if err != nil {
		t.Fatalf("the port is still reserved after Close: %v", err)
	}
	_ = again.Close()
}
