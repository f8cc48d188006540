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

// The addresses of a lab's controllers stay the lab's, also while a controller has not begun yet or has been killed.
//
// A lab looked for free ports, gave them back, and had its controllers listen on them some time later. Beside other
// labs they were other programs' by then: "listener: bind: address already in use", and the lab went on with one
// controller of three, "down: berth-1, berth-2, berth-3" at last; "operators are not served; tried again" for a minute
// after a controller was started again; "unknown service operators.Operators", from another lab's controller.
// TestDrainScript failed on whatever it waited for next: of 22 at once beside eight busy loops, five logs had such
// lines. An outgoing connection gets its port like the one here, by bind without SO_REUSEADDR.
func TestAddressesAreKept(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "scenario.sexp")
	if err := os.WriteFile(path, []byte(DefaultScenario()), 0o600); err != nil {
		t.Fatal(err)
	}
	scenario, err := LoadScenario(path)
	if err != nil {
		t.Fatal(err)
	}
	// Its controllers end at once.
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
			t.Errorf("a connection gets the port of %s: %v", addr, err)
		}
	}
}
