package scale

import (
	"errors"
	"fmt"
	"time"
)

// Options say what a run plays.
type Options struct {
	Program      string        // that is run as marlwood
	OtherProgram string        // another build, which every second controller runs; "": all run Program
	Region       []string      // command that serves a region (ServeRegion)
	Share        float64       // of the planned size, above 0 and at most 1
	For          time.Duration // how long users go on
	Peak         time.Duration // how long of that the peak lasts
	Seed         uint64
	KillLeader   time.Duration // when the first region's leader is killed; 0: never
	KillMachines int           // machines of each region that stop
	KillAt       time.Duration
	CutRegion    string // a region that is cut off from the others; "": none is
	CutAt        time.Duration
	CutFor       time.Duration
	Settings     string // operators' settings of the controllers; "": the defaults
	Log          string // folder for what the controllers write; "": nowhere
}

// Bounds of a run.
const (
	leastShare = 0.001
	leastFor   = 10 * time.Second
	mostFor    = time.Hour
)

// ErrRule tells that a rule of the protocol was broken.
var ErrRule = errors.New("scale: a rule was broken")

// ErrCapacity tells that the machine has too little room for the run.
var ErrCapacity = errors.New("scale: too little room")

func (o Options) check() error {
	switch {
	case o.Share < leastShare || o.Share > 1:
		return fmt.Errorf("scale: share %g: it must be from %g to 1", o.Share, leastShare)
	case o.For < leastFor || o.For > mostFor:
		return fmt.Errorf("scale: for %v: it must be from %v to %v", o.For, leastFor, mostFor)
	case o.CutRegion != "" && regionIndex(o.CutRegion) < 0:
		return fmt.Errorf("scale: no region %q; there are %v", o.CutRegion, regionNames)
	case o.Peak < 0 || o.Peak > o.For/2:
		return fmt.Errorf("scale: peak %v: it must be at most half of %v", o.Peak, o.For)
	}
	return o.checkCapacity()
}
