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

// The client must return the error that a controller responded with, even if another controller does not run.
//
// The client tries the controllers in random order and used to return the last error. When that was a refused
// connection, the leader's response was lost: during an outage of the state service, "drain --zone b" printed
// "connection error: ... connect: connection refused" instead of "nothing was recorded: the state service does not
// answer", which the leader logged as its response in the same second (TestDrainScript, line 29, while a killed
// controller restarts).
func TestControllerErrorPrecedesConnectionErrors(t *testing.T) {
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
	for range 20 { // the client's order is random
		client, err := NewClient([]string{down, up, down}, "", "", "")
		if err != nil {
			t.Fatal(err)
		}
		_, err = Call(context.Background(), client, true, func(ctx context.Context, s operatorspb.OperatorsClient) (*operatorspb.DrainResponse, error) {
			return s.Drain(ctx, &operatorspb.DrainRequest{Zone: "b"})
		})
		client.Close()
		if status.Code(err) != codes.Unavailable || status.Convert(err).Message() != answer {
			t.Fatalf("got %v, want the error of the controller that runs", err)
		}
	}
	client, err := NewClient([]string{down}, "", "", "")
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	_, err = Call(context.Background(), client, false, func(ctx context.Context, s operatorspb.OperatorsClient) (*operatorspb.StatusResponse, error) {
		return s.Status(ctx, &operatorspb.StatusRequest{})
	})
	if status.Code(err) != codes.Unavailable {
		t.Errorf("query while no controller runs: %v", err)
	}
}
