package scale

import (
	"encoding/json"
	"os"
)

// Limits of a controller and of its region's services: the figures of the larger deployments.
const (
	memoryMB  = 322
	sockets   = 3207
	stateRPS  = 900
	writeRPS  = 250
	valueKB   = 16
	txnOps    = 16
	cloudRPS  = 6
	listLagS  = 3
	gangWaitS = 35
	gangPeerS = 6
	clockMS   = 1000
)

// Types of the platform's configuration file.
type (
	platformFile struct {
		Member     string         `json:"member"`
		Location   string         `json:"location"`
		Listen     string         `json:"listen"`
		PeerListen string         `json:"peer_listen"`
		Siblings   []siblingEntry `json:"siblings"`
		Endpoints  endpoints      `json:"endpoints"`
		Deployment deployment     `json:"deployment"`
	}
	siblingEntry struct {
		Member   string `json:"member"`
		Location string `json:"location"`
		Endpoint string `json:"endpoint"`
	}
	endpoints struct {
		Cloud string `json:"cloud"`
		State string `json:"state"`
	}
	deployment struct {
		Nodes      int                `json:"nodes"`
		Zones      []string           `json:"zones"`
		Teams      []teamEntry        `json:"teams"`
		Objectives []objective        `json:"objectives"`
		Workers    map[string]float64 `json:"workers"`
		State      map[string]float64 `json:"state"`
		Cloud      map[string]float64 `json:"cloud"`
		Quota      map[string]float64 `json:"quota"`
		ClockOffMS float64            `json:"clock_off_ms"`
	}
	teamEntry struct {
		Name    string  `json:"name"`
		CPUs    float64 `json:"cpus"`
		CPUsMax float64 `json:"cpus_max"`
	}
	objective struct {
		Kind    string  `json:"kind"`
		Class   string  `json:"class"`
		WithinS float64 `json:"within_s"`
		Share   float64 `json:"share"`
	}
)

// writePlatform writes the platform's configuration file of a controller.
func writePlatform(path string, g *regionRun, c *controller) error {
	f := platformFile{Member: c.name, Location: c.zone, Listen: c.listen, PeerListen: c.peer, Siblings: []siblingEntry{},
		Endpoints: endpoints{Cloud: g.addrs.Cloud, State: g.addrs.State}}
	for _, o := range g.controllers {
		if o != c {
			f.Siblings = append(f.Siblings, siblingEntry{o.name, o.zone, o.peer})
		}
	}
	f.Deployment = deployment{Nodes: len(g.controllers), Zones: g.plan.Zones, ClockOffMS: clockMS,
		Objectives: []objective{{"wait", "urgent", 1.5, 0.99}, {"wait", "gang", 30, 0.9}},
		Workers: map[string]float64{"report_s": reportEvery.Seconds(), "lease_s": leaseLength.Seconds(), "gang_wait_s": gangWaitS,
			"gang_peer_s": gangPeerS, "cancel_s": cancelWait.Seconds()},
		State: map[string]float64{"rps": stateRPS, "write_rps": writeRPS, "value_kb": valueKB, "txn_ops": txnOps},
		Cloud: map[string]float64{"rps": cloudRPS, "list_lag_s": listLagS},
		Quota: map[string]float64{"mem_mb": memoryMB, "sockets": sockets}}
	for _, t := range g.plan.Teams {
		f.Deployment.Teams = append(f.Deployment.Teams, teamEntry{t.Name, t.Guarantee, t.Limit})
	}
	text, err := json.MarshalIndent(f, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o600)
}
