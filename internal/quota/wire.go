package quota

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"github.com/marlwood/marlwood/internal/quota/quotapb"
)

// ToProto returns the message as a protobuf message.
func (m Message) ToProto() *quotapb.Message {
	out := &quotapb.Message{From: m.From}
	for _, part := range m.Teams {
		out.Teams = append(out.Teams, &quotapb.Team{
			Team:     part.Team,
			Number:   part.Transfer.Number,
			Cpus:     part.Transfer.CPUs,
			Gpus:     part.Transfer.GPUs,
			Credited: part.Credited,
			WantCpus: part.Want.CPUs,
			WantGpus: part.Want.GPUs,
			Rank:     int32(part.Order.Rank),
			SinceMs:  part.Order.Since,
		})
	}
	return out
}

// MessageFromProto converts a protobuf message to a Message. It omits teams with negative amounts, which are
// invalid.
func MessageFromProto(encoded *quotapb.Message) Message {
	message := Message{From: encoded.GetFrom()}
	for _, part := range encoded.GetTeams() {
		if part.Cpus < 0 || part.Gpus < 0 || part.WantCpus < 0 || part.WantGpus < 0 {
			continue
		}
		message.Teams = append(message.Teams, TeamMessage{
			Team:     part.Team,
			Transfer: Transfer{Number: part.Number, Amount: Amount{CPUs: part.Cpus, GPUs: part.Gpus}},
			Credited: part.Credited,
			Want:     Amount{CPUs: part.WantCpus, GPUs: part.WantGpus},
			Order:    Order{Rank: int(part.Rank), Since: part.SinceMs, Region: message.From},
		})
	}
	return message
}

// Handler returns the reply to a message, or nil if this controller is not the leader of its region.
type Handler func(*quotapb.Message) *quotapb.Message

// Register registers the service that receives the messages of other regions on a gRPC server.
func Register(s grpc.ServiceRegistrar, handle Handler) {
	quotapb.RegisterRegionsServer(s, &server{handle: handle})
}

// server implements the gRPC service.
type server struct {
	quotapb.UnimplementedRegionsServer
	handle Handler
}

// Exchange replies to one message. It returns codes.Unavailable if this controller is not the leader; the
// sender then tries another controller.
func (s *server) Exchange(_ context.Context, message *quotapb.Message) (*quotapb.Message, error) {
	if reply := s.handle(message); reply != nil {
		return reply, nil
	}
	return nil, status.Error(codes.Unavailable, "not the leader of this region")
}

// Client is a connection to one controller of another region. It reconnects automatically and is safe for
// concurrent use.
type Client struct {
	conn    *grpc.ClientConn
	timeout time.Duration
}

// Dial returns a client for the controller at an address. It connects when the first message is sent. The
// timeout applies to each exchange.
func Dial(addr string, timeout time.Duration) (*Client, error) {
	conn, err := grpc.NewClient("passthrough:///"+addr,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithNoProxy())
	if err != nil {
		return nil, fmt.Errorf("quota: %w", err)
	}
	return &Client{conn: conn, timeout: timeout}, nil
}

// Exchange sends a message and waits for the reply.
func (c *Client) Exchange(ctx context.Context, message Message) (Message, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	reply, err := quotapb.NewRegionsClient(c.conn).Exchange(ctx, message.ToProto())
	if err != nil {
		return Message{}, err
	}
	return MessageFromProto(reply), nil
}

// Close closes the connection.
func (c *Client) Close() error { return c.conn.Close() }
