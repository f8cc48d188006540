// Package peers is the gRPC transport between controllers. It carries the leader's rounds, and
// operators' requests that one controller forwards to another. It does not interpret their
// contents and does not retry calls.
package peers

import (
	"context"
	"fmt"
	"net"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"github.com/marlwood/marlwood/internal/operators/operatorspb"
	"github.com/marlwood/marlwood/internal/peers/peerspb"
)

// Formats of stored records. A version reads all formats up to its own RecordFormat.
const (
	ShardedBitmaps = 1 // task completion bitmaps of large arrays are stored in shards
	MachineGroups  = 2 // one record holds many machines
)

// RecordFormat is the highest format of stored records that this version reads. A leader
// writes only formats that every controller reads.
const RecordFormat = MachineGroups

// Bounds of one message of a round, so that it stays far below the 4 MiB that gRPC accepts and takes neither side's loop
// for long. An order takes 40 to 300 bytes, and a task 30 to 150, by the length of the names in it.
//
// Guard: a leader that ordered the 100,000 tasks of one job, or was told of them in a takeover, sent or got a message that
// is refused, again and again.
const (
	// MaxOrders is the most orders that a leader sends to a controller in one message.
	MaxOrders = 8192
	// MaxTasks is the most tasks of machines that a controller reports in one message, unless one machine has more.
	MaxTasks = 20480
	// maxTasksOfMachine is more than the most tasks that a heartbeat of 64 KiB can list.
	maxTasksOfMachine = 2048
)

// MayBeIncomplete reports whether a message may leave out machines that changed, because it holds nearly as many tasks as
// it may. The next message holds the rest.
func MayBeIncomplete(machines []*peerspb.Machine) bool {
	tasks := 0
	for _, machine := range machines {
		tasks += len(machine.Tasks)
	}
	return tasks > MaxTasks-maxTasksOfMachine
}

const (
	bufferBytes          = 8 << 10 // size of a connection's read buffer and of its write buffer
	maxConcurrentStreams = 16      // per accepted connection
)

// Backoff and timeout of a Link's reconnections.
const (
	minReconnectDelay = 200 * time.Millisecond
	maxReconnectDelay = time.Second
	reconnectFactor   = 1.5
	reconnectJitter   = 0.2
	connectTimeout    = time.Second
)

// Serve serves rounds on addr with handle until stop is called. If handle returns nil, the
// round is refused with an error. registerOthers registers further services on the same
// server; it may be nil.
func Serve(
	addr string,
	handle func(*peerspb.RoundRequest) *peerspb.RoundResponse,
	registerOthers func(grpc.ServiceRegistrar),
) (stop func(), err error) {
	listener, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	grpcServer := grpc.NewServer(
		grpc.ReadBufferSize(bufferBytes),
		grpc.WriteBufferSize(bufferBytes),
		grpc.MaxConcurrentStreams(maxConcurrentStreams),
	)
	peerspb.RegisterPeersServer(grpcServer, &server{handle: handle})
	if registerOthers != nil {
		registerOthers(grpcServer)
	}
	go func() { _ = grpcServer.Serve(listener) }()
	return grpcServer.Stop, nil
}

type server struct {
	peerspb.UnimplementedPeersServer
	handle func(*peerspb.RoundRequest) *peerspb.RoundResponse
}

// Round passes one round of the leader to the handler.
func (s *server) Round(_ context.Context, request *peerspb.RoundRequest) (*peerspb.RoundResponse, error) {
	if response := s.handle(request); response != nil {
		return response, nil
	}
	return nil, status.Error(codes.Unavailable, "not ready for rounds")
}

// Link is a connection to one peer. It reconnects automatically.
type Link struct {
	client  peerspb.PeersClient
	conn    *grpc.ClientConn
	timeout time.Duration
}

// Dial returns a link whose rounds time out after timeout. It connects at the first call.
func Dial(addr string, timeout time.Duration) (*Link, error) {
	conn, err := grpc.NewClient("passthrough:///"+addr,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithReadBufferSize(bufferBytes),
		grpc.WithWriteBufferSize(bufferBytes),
		grpc.WithNoProxy(),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{
				BaseDelay:  minReconnectDelay,
				Multiplier: reconnectFactor,
				Jitter:     reconnectJitter,
				MaxDelay:   maxReconnectDelay,
			},
			MinConnectTimeout: connectTimeout,
		}))
	if err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	return &Link{client: peerspb.NewPeersClient(conn), conn: conn, timeout: timeout}, nil
}

// Round sends one round and waits for its response, at most for the link's timeout.
func (l *Link) Round(ctx context.Context, request *peerspb.RoundRequest) (*peerspb.RoundResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	return l.client.Round(ctx, request)
}

// Forward forwards an operator's request and waits for the reply until ctx is done.
func (l *Link) Forward(ctx context.Context, request *operatorspb.Request) (*operatorspb.Reply, error) {
	return operatorspb.NewRelayClient(l.conn).Pass(ctx, request)
}

// CheckSettings asks whether the peer could apply the settings in text. If it could, problem is empty.
func (l *Link) CheckSettings(ctx context.Context, text string) (problem string, err error) {
	reply, err := operatorspb.NewRelayClient(l.conn).Check(ctx, &operatorspb.CompareRequest{Text: text})
	return reply.GetProblem(), err
}

// Close closes the connection. Calls in flight fail.
func (l *Link) Close() error { return l.conn.Close() }
