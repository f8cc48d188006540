package record

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"github.com/marlwood/marlwood/internal/record/recordpb"
)

// Register registers the service that sends a Broadcaster's blocks.
func Register(registrar grpc.ServiceRegistrar, broadcaster *Broadcaster) {
	recordpb.RegisterRecorderServer(registrar, &server{broadcaster: broadcaster})
}

type server struct {
	recordpb.UnimplementedRecorderServer
	broadcaster *Broadcaster
}

// Follow sends blocks until the client disconnects.
func (s *server) Follow(request *recordpb.FollowRequest, out grpc.ServerStreamingServer[recordpb.Block]) error {
	reader, err := s.broadcaster.Attach(request.Known)
	if err != nil {
		return status.Error(codes.ResourceExhausted, err.Error())
	}
	defer s.broadcaster.Detach(reader)
	for {
		select {
		case <-out.Context().Done():
			return nil
		case block := <-reader.Blocks():
			if err := out.Send(block); err != nil {
				return err
			}
		}
	}
}

// WriteLines starts a goroutine that writes a Broadcaster's blocks as lines until w fails.
func WriteLines(broadcaster *Broadcaster, w io.Writer) {
	reader, err := broadcaster.Attach(nil)
	if err != nil {
		broadcaster.log.Error("recording", "err", err)
		return
	}
	go func() {
		defer broadcaster.Detach(reader)
		for block := range reader.Blocks() {
			if err := writeBlockLines(w, block); err != nil {
				return
			}
		}
	}()
}

// reconnectDelay is the pause before a controller that disconnected is contacted again.
const reconnectDelay = time.Second

// follower serializes the blocks of several controllers: only one goroutine calls known and take.
type follower struct {
	log   *slog.Logger
	known func() []*recordpb.Known
	take  func(*recordpb.Block) error
	work  chan *followRequest
}

// followRequest asks the goroutine of Follow to take a block, or for the frames already received.
type followRequest struct {
	block *recordpb.Block   // nil: asks for known
	known []*recordpb.Known // the answer
	done  chan struct{}
}

// Follow receives the blocks of all controllers and passes them to take, one at a time,
// until ctx ends or take fails. known returns the frames already received. The leading
// controller sends blocks; if two send during a takeover, they send different streams.
func Follow(ctx context.Context, addrs []string, log *slog.Logger, known func() []*recordpb.Known,
	take func(*recordpb.Block) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	f := &follower{log: log, known: known, take: take, work: make(chan *followRequest)}
	for _, addr := range addrs {
		go f.follow(ctx, addr)
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case request := <-f.work:
			if err := f.handle(request); err != nil {
				return err
			}
		}
	}
}

// handle executes a request.
func (f *follower) handle(request *followRequest) (err error) {
	if request.block == nil {
		request.known = f.known()
	} else {
		err = f.take(request.block)
	}
	close(request.done)
	return err
}

// call passes a request to the goroutine of Follow and waits until it is done. It returns
// false if ctx ended first.
func (f *follower) call(ctx context.Context, request *followRequest) bool {
	request.done = make(chan struct{})
	select {
	case f.work <- request:
		<-request.done
		return true
	case <-ctx.Done():
		return false
	}
}

// follow receives one controller's blocks, and reconnects until ctx ends.
func (f *follower) follow(ctx context.Context, addr string) {
	for {
		kept := &followRequest{}
		if !f.call(ctx, kept) {
			return
		}
		err := followOne(ctx, addr, kept.known, func(block *recordpb.Block) bool {
			return f.call(ctx, &followRequest{block: block})
		})
		if ctx.Err() != nil {
			return
		}
		f.log.Warn("connection to a controller failed, reconnecting", "addr", addr, "err", err)
		select {
		case <-ctx.Done():
		case <-time.After(reconnectDelay):
		}
	}
}

// followOne receives blocks from one controller until the connection fails or take refuses.
func followOne(ctx context.Context, addr string, known []*recordpb.Known, take func(*recordpb.Block) bool) error {
	conn, err := grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithNoProxy(),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxEntrySize)))
	if err != nil {
		return fmt.Errorf("%s: %w", addr, err)
	}
	defer func() { _ = conn.Close() }()
	in, err := recordpb.NewRecorderClient(conn).Follow(ctx, &recordpb.FollowRequest{Known: known})
	if err != nil {
		return err
	}
	for {
		block, err := in.Recv()
		if err != nil {
			return err
		}
		if !take(block) {
			return ctx.Err()
		}
	}
}
