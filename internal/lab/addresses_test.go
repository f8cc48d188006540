package lab

import (
	"errors"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// TestAddressesStayReserved checks that no other program can take the address of a lab's controller before the
// controller starts or after it was killed.
//
// A lab used to look for free ports, release them, and let its controllers listen on them later. With other labs on the
// same machine, other programs had taken the ports by then. The logs had "listener: bind: address already in use" and
// the lab continued with one controller of three, at last "down: berth-1, berth-2, berth-3"; or "operators are not
// served; tried again" for a minute after a controller was restarted; or "unknown service operators.Operators" from
// another lab's controller. TestDrainScript failed at whatever it waited for next: of 22 concurrent runs beside eight
// busy loops, five logs had such lines. An outgoing connection gets its port like the one in this test, by bind without
// SO_REUSEADDR.
func TestAddressesStayReserved(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "scenario.sexp")
	if err := os.WriteFile(path, []byte(DefaultScenario()), 0o600); err != nil {
		t.Fatal(err)
	}
	scenario, err := LoadScenario(path)
	if err != nil {
		t.Fatal(err)
	}
	// The controllers run the program "false", which exits at once.
	lab, err := Start(Options{Program: "false", Scenario: scenario, Speed: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer lab.Close()
	for deadline := time.Now().Add(10 * time.Second); lab.Up()[Controllers[0]] && time.Now().Before(deadline); {
		time.Sleep(10 * time.Millisecond)
	}
	far, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = far.Close() }()
	for _, addr := range append(lab.Users(), lab.Operators()...) {
		local, err := net.ResolveTCPAddr("tcp4", addr)
		if err != nil {
			t.Fatal(err)
		}
		connection, err := net.DialTCP("tcp4", local, far.Addr().(*net.TCPAddr))
		if err == nil {
			_ = connection.Close()
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			t.Errorf("a connection could bind the reserved address %s: %v", addr, err)
		}
	}
}
