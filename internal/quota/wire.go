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

// Wire is a message as it is sent.
func (m Message) Wire() *quotapb.Message {
	out := &quotapb.Message{From: m.From}
	for _, x := range m.Teams {
		out.Teams = append(out.Teams, &quotapb.Team{Team: x.Team, Number: x.Transfer.Number, Cpus: x.Transfer.CPUs, Gpus: x.Transfer.GPUs,
			Credited: x.Credited, WantCpus: x.Want.CPUs, WantGpus: x.Want.GPUs, Rank: int32(x.Order.Rank), SinceMs: x.Order.Since})
	}
	return out
}

// FromWire is a message as it was sent. What makes no sense is left out.
func FromWire(w *quotapb.Message) Message {
	m := Message{From: w.GetFrom()}
	for _, x := range w.GetTeams() {
		if x.Cpus < 0 || x.Gpus < 0 || x.WantCpus < 0 || x.WantGpus < 0 {
			continue
		}
		m.Teams = append(m.Teams, TeamMessage{Team: x.Team, Transfer: Transfer{x.Number, Amount{x.Cpus, x.Gpus}}, Credited: x.Credited,
			Want: Amount{x.WantCpus, x.WantGpus}, Order: Order{int(x.Rank), x.SinceMs, m.From}})
	}
	return m
}

// Handle answers a message on the loop of a controller that leads; nil: it does not.
type Handle func(*quotapb.Message) *quotapb.Message

// Register serves the other regions.
func Register(s grpc.ServiceRegistrar, handle Handle) {
	quotapb.RegisterRegionsServer(s, &server{handle: handle})
}

type server struct {
	quotapb.UnimplementedRegionsServer
	handle Handle
}

// Exchange answers one message.
func (s *server) Exchange(_ context.Context, m *quotapb.Message) (*quotapb.Message, error) {
	if out := s.handle(m); out != nil {
		return out, nil
	}
	return nil, status.Error(codes.Unavailable, "not the leader of this region")
}

// Link is a connection to one controller of another region; it reconnects by itself.
type Link struct {
	conn    *grpc.ClientConn
	timeout time.Duration
}

// Dial makes a link. Nothing is sent before the first message.
func Dial(addr string, timeout time.Duration) (*Link, error) {
	conn, err := grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithNoProxy())
	if err != nil {
		return nil, fmt.Errorf("quota: %w", err)
	}
	return &Link{conn, timeout}, nil
}

// Exchange sends a message and waits for the answer.
func (l *Link) Exchange(ctx context.Context, m Message) (Message, error) {
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	out, err := quotapb.NewRegionsClient(l.conn).Exchange(ctx, m.Wire())
	if err != nil {
		return Message{}, err
	}
	return FromWire(out), nil
}

// Close ends the link.
func (l *Link) Close() error { return l.conn.Close() }
