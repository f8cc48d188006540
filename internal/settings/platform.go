// Package settings reads and checks the platform's JSON file and the operators' settings, which are
// S-expressions.
package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

// Sibling is another controller of the deployment.
type Sibling struct {
	Member string
	Zone   string
	Addr   string
}

// Platform is the platform's configuration of this controller and its deployment.
type Platform struct {
	Member     string
	Zone       string
	Listen     string
	PeerListen string
	Siblings   []Sibling
	CloudAddr  string
	StateAddr  string
	Teams      map[string]model.Team
	Aims       map[string]model.Objective // by class of jobs

	ReportEvery time.Duration
	Lease       time.Duration
	CancelWait  time.Duration
	ClockOff    time.Duration // largest error of a controller's wall clock
	GangWait    time.Duration // time after which a gang's task stops waiting for the others; 0: not given

	// Limits of the state service. Each is the stricter of the current and the announced next
	// limit, because the time of the change is not announced.
	StateRPS      float64
	StateWriteRPS float64
	ValueBytes    int
	TxnOps        int
	// WideValueBytes is the current limit, before any announced change. Versions that don't support
	// next limits split large records by it.
	WideValueBytes int
	CloudRPS       float64
	CPUShare       float64 `json:"-"` // of one core; 0: not given
	MemoryMB       float64
	MaxConns       int
}

// LoadPlatform reads and checks the platform's file.
func LoadPlatform(path string) (*Platform, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	p, err := ParsePlatform(b)
	if err != nil {
		return nil, fmt.Errorf("config %s: %w", path, err)
	}
	return p, nil
}

// ParsePlatform parses and checks the platform's JSON. It ignores unknown fields.
func ParsePlatform(text []byte) (*Platform, error) {
	var wire wirePlatform
	if err := json.Unmarshal(text, &wire); err != nil {
		var typeError *json.UnmarshalTypeError
		if errors.As(err, &typeError) {
			return nil, fieldErrorf(typeError.Field, "cannot be a %s", typeError.Value)
		}
		return nil, &SyntaxError{Reason: "not JSON", Err: err}
	}
	p := wire.platform()
	for _, step := range []func(*wirePlatform) error{
		p.checkIdentity,
		p.addSiblings,
		p.checkAddresses,
		p.addTeams,
		p.addObjectives,
		p.checkPositive,
		p.addStateLimits,
	} {
		if err := step(&wire); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// minLeaderTime is the shortest time that must remain of cancel_s after subtracting a worker's lease.
const minLeaderTime = 3 * time.Second

// Timing contains the durations that bound a leader's term.
type Timing struct {
	DelegatedLease time.Duration // how long an owner may answer after the leader's last message to it
	Margin         time.Duration // reserve for clock drift and slow timers
	LeaderLease    time.Duration // H: how long the leader may act after sending its last keep-alive
	PollInterval   time.Duration // interval between reads of the leader key
	KeyLease       time.Duration // time to live of the leader key
}

// Timing derives the bounds from cancel_s: the sum of a worker's lease, the delegated lease, the
// margin and the leader lease must not exceed it. If cancel_s is short, the operators' grant and
// margin are reduced.
func (p *Platform) Timing(o *Operator) (Timing, error) {
	left := p.CancelWait - p.Lease
	if left < minLeaderTime {
		return Timing{}, fieldErrorf("deployment.workers.cancel_s", "%v more than lease_s; at least 3s are needed", left)
	}
	t := Timing{DelegatedLease: min(o.Leadership.Grant, left/4), Margin: min(o.Leadership.Margin, left/6)}
	t.LeaderLease = left - t.DelegatedLease - t.Margin
	t.PollInterval = min(o.Leadership.Poll, t.LeaderLease/4)
	t.KeyLease = max(o.Leadership.Hold, 3*t.PollInterval)
	return t, nil
}
