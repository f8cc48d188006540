// Package operators implements the controllers' interface for operators: a gRPC service on a
// separate listener. Client certificates contain the caller's name and role. The package
// authenticates and authorizes callers, limits their request rate and logs changes. The
// controller supplies the function that answers the requests.
package operators

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"time"

	"golang.org/x/time/rate"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"github.com/marlwood/marlwood/internal/operators/operatorspb"
)

// Ask answers one authorized request. An error is a gRPC status.
type Ask func(ctx context.Context, r *operatorspb.Request) (*operatorspb.Reply, error)

// Options are the listener's address, the certificates and the function that answers.
type Options struct {
	Listen        string // address and port
	CA, Cert, Key string // files; see Keys
	Plaintext     bool   // without certificates, on loopback only
	Ask           Ask
	Log           *slog.Logger
}

// Limits on operators' requests to one controller, so that they don't impair its other work.
const (
	requestsPerSecond = 10
	requestBurst      = 20
	maxConns          = 16
	requestTimeout    = 15 * time.Second
)

// Serve opens the listener and serves requests in the background until stop is called.
func Serve(options Options) (stop func(), err error) {
	service := &server{ask: options.Ask, log: options.Log, limiter: rate.NewLimiter(requestsPerSecond, requestBurst)}
	serverOptions := []grpc.ServerOption{
		grpc.ReadBufferSize(8 << 10),
		grpc.WriteBufferSize(8 << 10),
		grpc.MaxConcurrentStreams(8),
		grpc.MaxRecvMsgSize(64 << 10),
		grpc.UnaryInterceptor(service.authorize),
	}
	if options.Plaintext {
		if err := checkLoopback(options.Listen); err != nil {
			return nil, err
		}
	} else {
		keys, err := OpenKeys(options.CA, options.Cert, options.Key, options.Log)
		if err != nil {
			return nil, err
		}
		service.tls = true
		serverOptions = append(serverOptions, grpc.Creds(credentials.NewTLS(keys.Server())))
	}
	listener, err := net.Listen("tcp", options.Listen)
	if err != nil {
		return nil, fmt.Errorf("operators: %w", err)
	}
	grpcServer := grpc.NewServer(serverOptions...)
	operatorspb.RegisterOperatorsServer(grpcServer, service)
	go func() {
		_ = grpcServer.Serve(&limitedListener{Listener: listener, slots: make(chan struct{}, maxConns)})
	}()
	options.Log.Info("operators are served", "addr", listener.Addr().String(), "tls", service.tls)
	return grpcServer.Stop, nil
}

// serveRetryInterval is the pause before ServeWithRetry tries to serve again.
const serveRetryInterval = 15 * time.Second

// ServeWithRetry serves like Serve until stop is called, and retries whenever Serve fails.
//
// Guard: a controller must keep working if the operators' address is in use, or if its certificates
// are missing or expired. When it exited instead, every controller of a deployment exited
// repeatedly, and nothing ran (TestServeWithRetryRetriesWhenServeFails).
func ServeWithRetry(ctx context.Context, options Options) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			stopServing, err := Serve(options)
			if err == nil {
				<-ctx.Done()
				stopServing()
				return
			}
			options.Log.Error("operators are not served; tried again", "err", err, "in", serveRetryInterval)
			select {
			case <-ctx.Done():
				return
			case <-time.After(serveRetryInterval):
			}
		}
	}()
	return func() {
		cancel()
		<-ended
	}
}

// checkLoopback rejects an address that other machines could reach.
func checkLoopback(addr string) error {
	a, err := netip.ParseAddrPort(addr)
	if err != nil || !a.Addr().IsLoopback() {
		return fmt.Errorf("operators: %s: without certificates only a loopback address such as 127.0.0.1:7400 is served", addr)
	}
	return nil
}

// limitedListener accepts a limited number of connections at once; others wait.
type limitedListener struct {
	net.Listener
	slots chan struct{}
}

// Accept waits for a free slot and then for a connection.
func (b *limitedListener) Accept() (net.Conn, error) {
	b.slots <- struct{}{}
	c, err := b.Listener.Accept()
	if err != nil {
		<-b.slots
		return nil, err
	}
	return &limitedConn{Conn: c, slots: b.slots}, nil
}

// limitedConn frees its slot when it is closed.
type limitedConn struct {
	net.Conn
	slots  chan struct{}
	closed bool
}

// Close frees the connection's slot. gRPC closes a connection from one goroutine.
func (c *limitedConn) Close() error {
	if !c.closed {
		c.closed = true
		<-c.slots
	}
	return c.Conn.Close()
}

// server implements the gRPC service for operators.
type server struct {
	operatorspb.UnimplementedOperatorsServer
	ask     Ask
	log     *slog.Logger
	limiter *rate.Limiter
	tls     bool
}

// changingMethods are the methods that make changes. They require the role operator.
var changingMethods = map[string]bool{
	operatorspb.Operators_Drain_FullMethodName:   true,
	operatorspb.Operators_Undrain_FullMethodName: true,
	operatorspb.Operators_Reload_FullMethodName:  true,
}

// callerKey is the context key of the caller.
type callerKey struct{}

// authorize intercepts all requests. It checks the caller's role and the rate limit, sets the
// request timeout and logs the request: changes at level info, queries at level debug.
func (s *server) authorize(ctx context.Context, req any, info *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (any, error) {
	who, err := s.caller(ctx)
	if err != nil {
		return nil, err
	}
	if changingMethods[info.FullMethod] && who.Role != Operator {
		s.log.Warn("operators: refused", "who", who.Name, "role", who.Role, "method", info.FullMethod)
		return nil, status.Errorf(codes.PermissionDenied, "%s has the role %s: this needs a certificate with the role %s", who.Name, who.Role, Operator)
	}
	if !s.limiter.Allow() {
		return nil, status.Error(codes.ResourceExhausted, "too many requests of operators: try again in a second")
	}
	ctx, cancel := context.WithTimeout(context.WithValue(ctx, callerKey{}, who), requestTimeout)
	defer cancel()
	began := time.Now()
	out, err := handle(ctx, req)
	level := slog.LevelDebug
	if changingMethods[info.FullMethod] {
		level = slog.LevelInfo
	}
	s.log.Log(ctx, level, "operators", "who", who.Name, "role", who.Role, "method", info.FullMethod, "what", req,
		"outcome", status.Code(err).String(), "err", err, "took", time.Since(began))
	return out, err
}

// caller identifies the client by its certificate. Without TLS, every client on this machine has the role operator.
func (s *server) caller(ctx context.Context) (*operatorspb.Caller, error) {
	p, ok := peer.FromContext(ctx)
	if !ok {
		return nil, status.Error(codes.Unauthenticated, "no peer")
	}
	if !s.tls {
		return &operatorspb.Caller{Name: "somebody on this machine", Role: Operator}, nil
	}
	info, ok := p.AuthInfo.(credentials.TLSInfo)
	if !ok || len(info.State.VerifiedChains) == 0 {
		return nil, status.Error(codes.Unauthenticated, "no certificate")
	}
	name, role, err := identity(info.State.PeerCertificates[0])
	if err != nil {
		return nil, status.Error(codes.PermissionDenied, err.Error())
	}
	return &operatorspb.Caller{Name: name, Role: role}, nil
}

// forward passes a request to the controller, with the caller that authorize identified.
func (s *server) forward(ctx context.Context, r *operatorspb.Request) (*operatorspb.Reply, error) {
	r.Caller, _ = ctx.Value(callerKey{}).(*operatorspb.Caller)
	out, err := s.ask(ctx, r)
	if err == nil && out == nil {
		err = errors.New("controller returned no response")
	}
	return out, err
}

// Jobs lists open jobs, a page at a time.
func (s *server) Jobs(ctx context.Context, r *operatorspb.JobsRequest) (*operatorspb.JobsResponse, error) {
	out, err := s.forward(ctx, &operatorspb.Request{What: &operatorspb.Request_Jobs{Jobs: r}})
	return out.GetJobs(), err
}

// Nodes lists machines, a page at a time.
func (s *server) Nodes(ctx context.Context, r *operatorspb.NodesRequest) (*operatorspb.NodesResponse, error) {
	out, err := s.forward(ctx, &operatorspb.Request{What: &operatorspb.Request_Nodes{Nodes: r}})
	return out.GetNodes(), err
}

// Teams lists teams with their use and limits.
func (s *server) Teams(ctx context.Context, r *operatorspb.TeamsRequest) (*operatorspb.TeamsResponse, error) {
	out, err := s.forward(ctx, &operatorspb.Request{What: &operatorspb.Request_Teams{Teams: r}})
	return out.GetTeams(), err
}

// Explain returns the reasons why a job's tasks are not all running.
func (s *server) Explain(ctx context.Context, r *operatorspb.ExplainRequest) (*operatorspb.ExplainResponse, error) {
	out, err := s.forward(ctx, &operatorspb.Request{What: &operatorspb.Request_Explain{Explain: r}})
	return out.GetExplain(), err
}

// Blockers returns the tasks that hold the capacity that a job lacks.
func (s *server) Blockers(ctx context.Context, r *operatorspb.BlockersRequest) (*operatorspb.BlockersResponse, error) {
	out, err := s.forward(ctx, &operatorspb.Request{What: &operatorspb.Request_Blockers{Blockers: r}})
	return out.GetBlockers(), err
}

// Drain drains machines.
func (s *server) Drain(ctx context.Context, r *operatorspb.DrainRequest) (*operatorspb.DrainResponse, error) {
	out, err := s.forward(ctx, &operatorspb.Request{What: &operatorspb.Request_Drain{Drain: r}})
	return out.GetDrain(), err
}

// Undrain ends a drain.
func (s *server) Undrain(ctx context.Context, r *operatorspb.UndrainRequest) (*operatorspb.UndrainResponse, error) {
	out, err := s.forward(ctx, &operatorspb.Request{What: &operatorspb.Request_Undrain{Undrain: r}})
	return out.GetUndrain(), err
}

// Drains lists drains and their progress.
func (s *server) Drains(ctx context.Context, r *operatorspb.DrainsRequest) (*operatorspb.DrainsResponse, error) {
	out, err := s.forward(ctx, &operatorspb.Request{What: &operatorspb.Request_Drains{Drains: r}})
	return out.GetDrains(), err
}

// Status summarizes the state of the cluster.
func (s *server) Status(ctx context.Context, r *operatorspb.StatusRequest) (*operatorspb.StatusResponse, error) {
	out, err := s.forward(ctx, &operatorspb.Request{What: &operatorspb.Request_Status{Status: r}})
	return out.GetStatus(), err
}

// Settings returns the settings in force or the previous ones.
func (s *server) Settings(ctx context.Context, r *operatorspb.SettingsRequest) (*operatorspb.SettingsResponse, error) {
	out, err := s.forward(ctx, &operatorspb.Request{What: &operatorspb.Request_Settings{Settings: r}})
	return out.GetSettings(), err
}

// Compare returns the differences between the given settings and those in force.
func (s *server) Compare(ctx context.Context, r *operatorspb.CompareRequest) (*operatorspb.CompareResponse, error) {
	out, err := s.forward(ctx, &operatorspb.Request{What: &operatorspb.Request_Compare{Compare: r}})
	return out.GetCompare(), err
}

// Reload puts settings in force on all controllers.
func (s *server) Reload(ctx context.Context, r *operatorspb.ReloadRequest) (*operatorspb.ReloadResponse, error) {
	out, err := s.forward(ctx, &operatorspb.Request{What: &operatorspb.Request_Reload{Reload: r}})
	return out.GetReload(), err
}

// RegisterRelay registers the service between controllers. It answers operators' requests
// that another controller forwards, and reports whether this controller could adopt settings. check
// may be called from any goroutine.
func RegisterRelay(s grpc.ServiceRegistrar, ask Ask, check func(text string) (problem string)) {
	operatorspb.RegisterRelayServer(s, &relay{ask: ask, check: check})
}

// relay implements the service between controllers.
type relay struct {
	operatorspb.UnimplementedRelayServer
	ask   Ask
	check func(text string) string
}

// Check reports whether this controller could adopt settings, and if not, the problem.
func (r *relay) Check(_ context.Context, request *operatorspb.CompareRequest) (*operatorspb.CheckResponse, error) {
	return &operatorspb.CheckResponse{Problem: r.check(request.Text)}, nil
}

// Pass answers a request that another controller forwards.
func (r *relay) Pass(ctx context.Context, request *operatorspb.Request) (*operatorspb.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	return r.ask(ctx, request)
}
