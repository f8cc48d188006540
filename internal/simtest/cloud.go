package simtest

import (
	"context"
	"fmt"
	"time"

	"github.com/marlwood/marlwood/internal/autoscaler"
	"github.com/marlwood/marlwood/internal/model"
)

// listLag is the lag of the cloud's list of machines.
const listLag = 2 * time.Second

// cloud is the simulated cloud provider. It runs up to Plan.Machines machines at the same time per pool, ordinary
// and spot machines counted separately.
type cloud struct {
	cluster        *cluster
	place          *place
	machines       []*worker // in the order of their names
	launchRequests map[string][]string
}

func (c *cloud) rent(ch autoscaler.LaunchRequest) (autoscaler.Result, []string) {
	if names, ok := c.launchRequests[ch.Name]; ok {
		return autoscaler.Granted, names
	}
	var names []string
	up := 0
	for _, m := range c.machines {
		if !m.terminated && m.pool == ch.Pool && m.spot == ch.Spot {
			up++
		}
	}
	for ; up < c.cluster.plan.Machines && len(names) < ch.Count; up++ {
		m := newWorker(c.cluster, fmt.Sprintf("vm-%03d", len(c.machines)+1), ch.Pool, ch.Spot)
		c.machines = append(c.machines, m)
		names = append(names, m.name)
		c.cluster.sim.After(c.cluster.sim.Between(100*time.Millisecond, 2*time.Second), m.begin)
	}
	if len(names) == 0 {
		return autoscaler.Refused, nil
	}
	c.launchRequests[ch.Name] = names
	return autoscaler.Granted, names
}

// cloudClient is a controller's client of the cloud.
type cloudClient struct{ n *node }

const cloudTimeout = 3 * time.Second

// Types returns the machine types.
func (c cloudClient) Types(context.Context) (model.Catalogue, error) { return catalogue, nil }

// Launch requests machines.
func (c cloudClient) Launch(_ context.Context, ch autoscaler.LaunchRequest) (autoscaler.Result, []string) {
	type answer struct {
		res   autoscaler.Result
		names []string
	}
	w := c.n.cluster
	a, ok := ask(c.n.process, w.net, c.n.place, w.cloud.place, cloudTimeout, func(reply func(answer)) {
		res, names := w.cloud.rent(ch)
		reply(answer{res, names})
	})
	if !ok {
		return autoscaler.Unknown, nil
	}
	return a.res, a.names
}

// Terminate returns machines.
func (c cloudClient) Terminate(_ context.Context, names []string) error {
	w := c.n.cluster
	_, ok := ask(c.n.process, w.net, c.n.place, w.cloud.place, cloudTimeout, func(reply func(struct{})) {
		for _, m := range w.cloud.machines {
			for _, name := range names {
				if m.name == name {
					m.end("returned")
				}
			}
		}
		reply(struct{}{})
	})
	if !ok {
		return context.DeadlineExceeded
	}
	return nil
}

// List lists the machines that exist.
func (c cloudClient) List(context.Context) ([]autoscaler.CloudMachine, error) {
	w := c.n.cluster
	out, ok := ask(c.n.process, w.net, c.n.place, w.cloud.place, cloudTimeout, func(reply func([]autoscaler.CloudMachine)) {
		as := w.sim.Now() - w.sim.Between(0, listLag)
		var out []autoscaler.CloudMachine
		for _, m := range w.cloud.machines {
			if m.rented <= as && (!m.terminated || as < m.ended+m.listed) {
				out = append(out, autoscaler.CloudMachine{Name: m.name, Pool: m.pool, Spot: m.spot, Booting: !m.up, Age: as - m.rented})
			}
		}
		reply(out)
	})
	if !ok {
		return nil, context.DeadlineExceeded
	}
	return out, nil
}
