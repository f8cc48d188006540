package controller

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/grpc"

	"github.com/marlwood/marlwood/internal/httpwire"
	"github.com/marlwood/marlwood/internal/metrics"
	"github.com/marlwood/marlwood/internal/operators"
	"github.com/marlwood/marlwood/internal/peers"
	"github.com/marlwood/marlwood/internal/quota"
	"github.com/marlwood/marlwood/internal/record"
	"github.com/marlwood/marlwood/internal/settings"
)

const (
	// requestReadTimeout is how long a request may take to arrive.
	requestReadTimeout = 10 * time.Second
	// connectionIdleTimeout is how long a connection may be idle between requests.
	connectionIdleTimeout = 2 * time.Minute
	// shutdownTimeout is how long the listener may take to stop.
	shutdownTimeout = time.Second
)

// Run serves in the live environment until ctx ends or a listener fails.
func (c *Controller) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	env, ok := c.env.(*liveEnvironment)
	if !ok {
		return errors.New("controller: Run needs the live environment")
	}
	defer env.stop()
	c.Start(ctx)
	stopPeers, err := peers.Serve(c.cfg.PeerListen, c.serveRound, c.registerPeerServices)
	if err != nil {
		return err
	}
	defer stopPeers()
	if c.fileSettings.Operators.Listen != "off" {
		stopOperators := operators.ServeWithRetry(ctx, c.operatorOptions())
		defer stopOperators()
	}
	if c.metrics != nil {
		go c.metrics.Serve(ctx, c.fileSettings.MetricsListen(c.cfg), c.log)
	}
	server := httpwire.NewServer(httpwire.ServerOptions{
		Limits:      httpwire.Limits{Head: maxHeadBytes, Body: maxBodyBytes},
		Admission:   connectionAdmission{env.sockets},
		PartialWait: requestReadTimeout,
		IdleWait:    connectionIdleTimeout,
		Log:         c.log,
	}, c.serveHTTP)
	failed := make(chan error, 1)
	go func() { failed <- server.Run(c.cfg.Listen) }()
	c.log.Info("started", "member", c.cfg.Member, "boot", c.bootID, "act", c.timing.LeaderLease)
	if err := c.runLoop(ctx, env, failed); err != nil {
		return err
	}
	stopCtx, stopped := context.WithTimeout(context.Background(), shutdownTimeout)
	defer stopped()
	return server.Stop(stopCtx)
}

// registerPeerServices registers the services that other controllers use in addition to rounds.
func (c *Controller) registerPeerServices(registrar grpc.ServiceRegistrar) {
	record.Register(registrar, c.broadcaster)
	operators.RegisterRelay(registrar, c.HandleOperatorRequest, c.CheckSettings)
	if c.fileSettings.Regions.Name != settings.SingleRegion {
		quota.Register(registrar, c.serveRegion)
	}
}

func (c *Controller) operatorOptions() operators.Options {
	operatorAPI := c.fileSettings.Operators
	return operators.Options{
		Listen:    c.fileSettings.OperatorsListen(c.cfg),
		CA:        operatorAPI.CA,
		Cert:      operatorAPI.Cert,
		Key:       operatorAPI.Key,
		Plaintext: operatorAPI.Plaintext == "yes",
		Ask:       c.HandleOperatorRequest,
		Log:       c.log,
	}
}

// runLoop runs the loop that owns the controller's state: events, heartbeats and ticks, one at a time. It
// returns nil when ctx ends, and an error when the listener ends.
func (c *Controller) runLoop(ctx context.Context, env *liveEnvironment, failed <-chan error) error {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-failed:
			return fmt.Errorf("listener: %w", err)
		case event := <-env.events:
			c.timeStep(metrics.OtherEvents, event)
		case handleHeartbeat := <-env.heartbeats:
			c.timeStep(metrics.Heartbeats, handleHeartbeat)
		case <-ticker.C:
			c.timeStep(metrics.OtherTicks, func() { c.Tick(env.Now()) })
		}
	}
}
