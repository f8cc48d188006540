package httpwire_test

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/marlwood/marlwood/internal/httpwire"
	"github.com/marlwood/marlwood/internal/sockets"
)

// byPath is an Admission with a socket budget; requests for /work come from workers, all others from users.
type byPath struct{ *sockets.Budget }

func (byPath) DutyOf(r *httpwire.Request) sockets.Duty {
	if r.Path == "/work" {
		return sockets.Workers
	}
	return sockets.Users
}

func (byPath) CloseOrder() []sockets.Duty { return []sockets.Duty{sockets.Workers} }

// startServer starts a server that answers every request with 200, and returns its address.
func startServer(t *testing.T, budget *sockets.Budget) string {
	t.Helper()
	probe, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := probe.Addr().String()
	_ = probe.Close()
	options := httpwire.ServerOptions{
		Limits:      httpwire.Limits{Head: 1 << 10, Body: 1 << 10},
		Admission:   byPath{budget},
		PartialWait: time.Second,
		IdleWait:    time.Minute,
		Log:         slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
	server := httpwire.NewServer(options, func(_ *httpwire.Request, reply httpwire.Reply) {
		reply(httpwire.Answer{Status: http.StatusOK, Body: []byte(`{}`)})
	})
	done := make(chan error, 1)
	go func() { done <- server.Run(addr) }()
	t.Cleanup(func() {
		_ = server.Stop(context.Background())
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return addr
}

// get sends a request on a connection and reads the response.
func get(c net.Conn, path string) (*http.Response, error) {
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		return nil, err
	}
	return http.ReadResponse(bufio.NewReader(c), nil)
}

// dial retries until the server listens; the connection stays open until the test ends.
func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	for range 100 {
		if c, err := net.Dial("tcp4", addr); err == nil {
			t.Cleanup(func() { _ = c.Close() })
			return c
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatal("cannot connect")
	return nil
}

// Workers that keep their connections open could occupy every socket and lock users out. Beyond
// the workers' limit the server closes a connection after its answer, and when the listener is
// full it closes an idle worker connection for a new one.
func TestWorkerConnectionsDoNotBlockUsers(t *testing.T) {
	budget := sockets.New(sockets.Limits{Listener: 8, Workers: 6})
	addr := startServer(t, budget)
	closing := 0
	for range 40 { // more than the listener's limit, and all keep their connection open
		r, err := get(dial(t, addr), "/work")
		if err != nil || r.StatusCode != http.StatusOK {
			t.Fatalf("worker request failed: %v, %v", r, err)
		}
		if r.Close {
			closing++
		}
	}
	if closing < 30 {
		t.Errorf("%d of 40 workers got Connection: close, want at least 30", closing)
	}
	for range 5 { // these send no request; idle worker connections are closed for them
		dial(t, addr)
	}
	for range 20 {
		if r, err := get(dial(t, addr), "/up"); err != nil || r.StatusCode != http.StatusOK {
			t.Fatalf("user request failed while workers hold connections: %v, %v", r, err)
		}
	}
	if u := budget.Use(); u.Evicted == 0 || u.Refused > 0 || u.Peak[sockets.Workers] > 7 {
		t.Errorf("unexpected socket use: %+v", u)
	}
}
