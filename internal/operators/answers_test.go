package operators

import (
	"context"
	"log/slog"
	"net"
	"testing"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/marlwood/marlwood/internal/operators/operatorspb"
)

// An operator is told what a controller answered, also when another controller does not run.
//
// The client tries the controllers in random order and told the last error. When that was a refused connection, the
// leader's answer was lost: "drain --zone b" while the state service was out told "connection error: ... connect:
// connection refused", and not "nothing was recorded: the state service does not answer", which the leader's log had
// as its answer in the same second (TestDrainScript, line 29, while a controller that was killed starts).
func TestAnswersGoBeforeConnectionErrors(t *testing.T) {
	const answer = "nothing was recorded: the state service does not answer"
	got := make(chan string, 1)
	stop, err := Serve(Options{Listen: "127.0.0.1:0", Plaintext: true, Log: slog.New(&addrHandler{Handler: slog.DiscardHandler, addr: got}),
		Ask: func(context.Context, *operatorspb.Request) (*operatorspb.Reply, error) {
			return nil, status.Error(codes.Unavailable, answer)
		}})
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	up := <-got
	closed, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	down := closed.Addr().String()
	_ = closed.Close()
	for range 20 { // the order is drawn
		client, err := NewClient([]string{down, up, down}, "", "", "")
		if err != nil {
			t.Fatal(err)
		}
		_, err = Try(context.Background(), client, true, func(ctx context.Context, s operatorspb.OperatorsClient) (*operatorspb.DrainResponse, error) {
			return s.Drain(ctx, &operatorspb.DrainRequest{Zone: "b"})
		})
		client.Close()
		if status.Code(err) != codes.Unavailable || status.Convert(err).Message() != answer {
			t.Fatalf("told %v", err)
		}
	}
	client, err := NewClient([]string{down}, "", "", "")
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	_, err = Try(context.Background(), client, false, func(ctx context.Context, s operatorspb.OperatorsClient) (*operatorspb.StatusResponse, error) {
		return s.Status(ctx, &operatorspb.StatusRequest{})
	})
	if status.Code(err) != codes.Unavailable {
		t.Errorf("no controller runs: %v", err)
	}
}
