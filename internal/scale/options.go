package scale

import (
	"errors"
	"fmt"
	"time"
)

// Options configures a run.
type Options struct {
	Program      string        // path of the marlwood program
	OtherProgram string        // another build, which every second controller runs; "": all run Program
	Region       []string      // command that serves a region (ServeRegion)
	Share        float64       // share of the planned size, from 0.001 to 1
	For          time.Duration // how long users submit jobs
	Peak         time.Duration // how long the peak lasts within that time
	Seed         uint64
	KillLeader   time.Duration // when the first region's leader is killed; 0: never
	KillMachines int           // number of machines of each region that fail
	KillAt       time.Duration
	CutRegion    string // a region that is cut off from the others; "": none is
	CutAt        time.Duration
	CutFor       time.Duration
	Settings     string // operators' settings of the controllers; "": the defaults
	Log          string // directory for the controllers' logs; "": they are discarded
}

// Bounds of a run.
const (
	minShare = 0.001
	minFor   = 10 * time.Second
	maxFor   = time.Hour
)

// ErrRule reports that a rule of the protocol was broken.
var ErrRule = errors.New("scale: a rule was broken")

// ErrCapacity reports that the machine has too few open files or too little memory for the run.
var ErrCapacity = errors.New("scale: too little room")

func (o Options) check() error {
	switch {
	case o.Share < minShare || o.Share > 1:
		return fmt.Errorf("scale: share %g: it must be from %g to 1", o.Share, minShare)
	case o.For < minFor || o.For > maxFor:
		return fmt.Errorf("scale: for %v: it must be from %v to %v", o.For, minFor, maxFor)
	case o.CutRegion != "" && regionIndex(o.CutRegion) < 0:
		return fmt.Errorf("scale: no region %q; there are %v", o.CutRegion, regionNames)
	case o.Peak < 0 || o.Peak > o.For/2:
		return fmt.Errorf("scale: peak %v: it must be at most half of %v", o.Peak, o.For)
	}
	return o.checkCapacity()
}
