package settings

import (
	"fmt"
	"net/netip"

	"github.com/marlwood/marlwood/internal/model"
)

// maxObjectiveSeconds is the largest allowed service-level objective.
const maxObjectiveSeconds = 1e9

// wirePlatform is the JSON form of the platform's file.
type wirePlatform struct {
	Member     string `json:"member"`
	Zone       string `json:"location"`
	Listen     string `json:"listen"`
	PeerListen string `json:"peer_listen"`
	Siblings   []struct {
		Member string `json:"member"`
		Zone   string `json:"location"`
		Addr   string `json:"endpoint"`
	} `json:"siblings"`
	Services struct {
		Cloud string `json:"cloud"`
		State string `json:"state"`
	} `json:"endpoints"`
	Params struct {
		Teams []struct {
			Name    string  `json:"name"`
			CPUs    float64 `json:"cpus"`
			CPUsMax float64 `json:"cpus_max"`
			GPUs    float64 `json:"gpus"`
			GPUsMax float64 `json:"gpus_max"`
		} `json:"teams"`
		Objectives []struct {
			Kind    string  `json:"kind"`
			Class   string  `json:"class"`
			WithinS float64 `json:"within_s"`
		} `json:"objectives"`
		ClockOffMS float64 `json:"clock_off_ms"`
		Workers    struct {
			ReportS   float64 `json:"report_s"`
			LeaseS    float64 `json:"lease_s"`
			CancelS   float64 `json:"cancel_s"`
			GangWaitS float64 `json:"gang_wait_s"`
		} `json:"workers"`
		State struct {
			stateLimits
			Next *stateLimits `json:"next"`
		} `json:"state"`
		Cloud struct {
			RPS float64 `json:"rps"`
		} `json:"cloud"`
		Limits struct {
			CPUShare float64 `json:"cpu_share"`
			MemoryMB float64 `json:"mem_mb"`
			Sockets  int     `json:"sockets"`
		} `json:"quota"`
	} `json:"deployment"`
}

// platform returns a Platform with the fields that need no further parsing.
func (w *wirePlatform) platform() *Platform {
	workers := w.Params.Workers
	return &Platform{
		Member:      w.Member,
		Zone:        w.Zone,
		Listen:      w.Listen,
		PeerListen:  w.PeerListen,
		CloudAddr:   w.Services.Cloud,
		StateAddr:   w.Services.State,
		Teams:       map[string]model.Team{},
		Aims:        map[string]model.Objective{},
		ReportEvery: model.Seconds(workers.ReportS),
		Lease:       model.Seconds(workers.LeaseS),
		CancelWait:  model.Seconds(workers.CancelS),
		GangWait:    model.Seconds(workers.GangWaitS),
		ClockOff:    model.Seconds(w.Params.ClockOffMS / 1000),
		CloudRPS:    w.Params.Cloud.RPS,
		CPUShare:    w.Params.Limits.CPUShare,
		MemoryMB:    w.Params.Limits.MemoryMB,
		MaxConns:    w.Params.Limits.Sockets,
	}
}

// checkIdentity checks that the controller has a name and a zone.
func (p *Platform) checkIdentity(*wirePlatform) error {
	switch {
	case p.Member == "":
		return fieldError("member", errMissing)
	case p.Zone == "":
		return fieldError("location", errMissing)
	}
	return nil
}

// addSiblings adds the other controllers. All names must be unique, including this controller's.
func (p *Platform) addSiblings(w *wirePlatform) error {
	members := map[string]bool{p.Member: true}
	for i, sibling := range w.Siblings {
		if sibling.Member == "" || members[sibling.Member] {
			return fieldError(fmt.Sprintf("siblings[%d].member", i), errMissingOrTwice)
		}
		members[sibling.Member] = true
		p.Siblings = append(p.Siblings, Sibling{Member: sibling.Member, Zone: sibling.Zone, Addr: sibling.Addr})
	}
	return nil
}

// checkAddresses checks that all addresses have a numeric host and a port.
func (p *Platform) checkAddresses(*wirePlatform) error {
	type address struct{ name, value string }
	addresses := []address{
		{"listen", p.Listen},
		{"peer_listen", p.PeerListen},
		{"endpoints.cloud", p.CloudAddr},
		{"endpoints.state", p.StateAddr},
	}
	for i, sibling := range p.Siblings {
		addresses = append(addresses, address{fmt.Sprintf("siblings[%d].endpoint", i), sibling.Addr})
	}
	for _, a := range addresses {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			return fieldErrorf(a.name, "not an address with a port: %q", a.value)
		}
	}
	return nil
}

// addTeams adds the teams' guarantees and limits.
func (p *Platform) addTeams(w *wirePlatform) error {
	for i, team := range w.Params.Teams {
		if _, twice := p.Teams[team.Name]; team.Name == "" || twice {
			return fieldError(fmt.Sprintf("deployment.teams[%d].name", i), errMissingOrTwice)
		}
		if team.CPUs < 0 || team.CPUsMax < 0 || team.GPUs < 0 || team.GPUsMax < 0 {
			return fieldErrorf(fmt.Sprintf("deployment.teams[%d]", i), "negative amount")
		}
		p.Teams[team.Name] = model.Team{
			Name:      team.Name,
			Guarantee: model.Size{CPUs: team.CPUs, GPUs: team.GPUs},
			Limit:     model.Size{CPUs: team.CPUsMax, GPUs: team.GPUsMax},
		}
	}
	return nil
}

// addObjectives adds the service-level objectives. If a class has several of one kind, the strictest applies.
func (p *Platform) addObjectives(w *wirePlatform) error {
	for i, wireObjective := range w.Params.Objectives {
		if wireObjective.WithinS < 0 || wireObjective.WithinS > maxObjectiveSeconds {
			return fieldError(fmt.Sprintf("deployment.objectives[%d].within_s", i), errOutOfRange)
		}
		objective, within := p.Aims[wireObjective.Class], model.Seconds(wireObjective.WithinS)
		switch {
		case wireObjective.Kind == "wait" && (objective.Wait == 0 || within < objective.Wait):
			objective.Wait = within
		case wireObjective.Kind == "finished" && (objective.Finished == 0 || within < objective.Finished):
			objective.Finished = within
		}
		p.Aims[wireObjective.Class] = objective
	}
	return nil
}

// checkPositive checks that all required times and limits are positive.
func (p *Platform) checkPositive(*wirePlatform) error {
	for _, field := range []struct {
		name  string
		value float64
	}{
		{"workers.report_s", p.ReportEvery.Seconds()},
		{"workers.lease_s", p.Lease.Seconds()},
		{"workers.cancel_s", p.CancelWait.Seconds()},
		{"cloud.rps", p.CloudRPS},
		{"quota.mem_mb", p.MemoryMB},
		{"quota.sockets", float64(p.MaxConns)},
	} {
		if field.value <= 0 {
			return fieldError("deployment."+field.name, errNotPositive)
		}
	}
	return nil
}

// stateLimits are the limits of the state service.
type stateLimits struct {
	RPS      *float64 `json:"rps"`
	WriteRPS *float64 `json:"write_rps"`
	ValueKB  *float64 `json:"value_kb"`
	TxnOps   *int     `json:"txn_ops"`
}

// minTxnOps is the smallest usable limit on the changes in one transaction: when a job becomes
// ready or ends, its record moves from one key to another.
const minTxnOps = 2

// minValueBytes is the smallest usable limit on the size of a value, so that a job's record fits.
const minValueBytes = 1024

// maxValueKB is the largest accepted limit on the size of a value, in KiB.
const maxValueKB = 1 << 20

// addStateLimits sets each limit of the state service to the stricter of the current and the next
// one. A limit that is missing from the next limits does not change.
func (p *Platform) addStateLimits(w *wirePlatform) error {
	now, next := w.Params.State.stateLimits, w.Params.State.Next
	if err := now.check("deployment.state", true); err != nil {
		return err
	}
	p.StateRPS, p.StateWriteRPS = *now.RPS, *now.WriteRPS
	p.ValueBytes = now.valueBytes()
	p.WideValueBytes = p.ValueBytes
	p.TxnOps = *now.TxnOps
	if next == nil {
		return nil
	}
	if err := next.check("deployment.state.next", false); err != nil {
		return err
	}
	if next.RPS != nil {
		p.StateRPS = min(p.StateRPS, *next.RPS)
	}
	if next.WriteRPS != nil {
		p.StateWriteRPS = min(p.StateWriteRPS, *next.WriteRPS)
	}
	if next.ValueKB != nil {
		p.ValueBytes = min(p.ValueBytes, next.valueBytes())
	}
	if next.TxnOps != nil {
		p.TxnOps = min(p.TxnOps, *next.TxnOps)
	}
	return nil
}

// check returns an error for the first limit that is invalid, or that is required but missing.
func (l *stateLimits) check(name string, required bool) error {
	for _, rate := range []struct {
		name  string
		value *float64
	}{{"rps", l.RPS}, {"write_rps", l.WriteRPS}} {
		if missing := rate.value == nil; missing && required || !missing && *rate.value <= 0 {
			return fieldError(name+"."+rate.name, errNotPositive)
		}
	}
	if missing := l.ValueKB == nil; missing && required || !missing && !l.valueInRange() {
		return fieldErrorf(name+".value_kb", "missing or out of range")
	}
	if missing := l.TxnOps == nil; missing && required || !missing && *l.TxnOps < minTxnOps {
		return fieldErrorf(name+".txn_ops", "missing or less than %d", minTxnOps)
	}
	return nil
}

func (l *stateLimits) valueInRange() bool {
	return *l.ValueKB*1024 >= minValueBytes && *l.ValueKB <= maxValueKB
}

func (l *stateLimits) valueBytes() int { return int(*l.ValueKB * 1024) }
