package loopback

import (
	"net"
	"runtime"
	"testing"
)

// On a reserved port somebody can listen, one after the other, and nobody else gets it.
func TestReserve(t *testing.T) {
	if runtime.GOOS != "linux" {
		t.Skip("ports are kept on Linux only")
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
		t.Error("it is reserved twice")
		_ = other.Close()
	}
	shared, err := Share(addr.Port)
	if err != nil {
		t.Fatalf("it is not shared: %v", err)
	}
	for range 2 {
		listener, err := net.Listen("tcp4", reservation.Addr())
		if err != nil {
			t.Fatalf("nobody can listen on it: %v", err)
		}
		if other, err := Share(addr.Port); err == nil {
			t.Error("it is shared while somebody listens")
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
		t.Fatalf("it is kept although it was given back: %v", err)
	}
	_ = again.Close()
}
