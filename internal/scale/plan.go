// Package scale plays the planned size on one machine: real controllers as processes of their own,
// one deployment a region, among stand-ins for the state services, the clouds with their workers
// and the users. Workers are hollow: they speak the protocol over real sockets and run nothing.
package scale

import (
	"fmt"
	"slices"
	"time"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/standin"
)

// The planned size, as the users state it.
const (
	plannedMachines = 5500
	plannedTasks    = 50000 // at once
	plannedStarts   = 1500  // a second at the peak
	plannedTeams    = 110
	regionsPlanned  = 3
	zonesPerRegion  = 3
	controllersEach = 3 // of a region
)

// Times of the protocol that the run uses: those of the larger deployments.
const (
	reportEvery = 4 * time.Second
	leaseLength = 22 * time.Second
	cancelWait  = 47 * time.Second
)

// smallShare is the part of the machines that are of the small type.
const smallShare = 0.938

// Plan is what one region is to carry.
type Plan struct {
	Region   string
	Zones    []string
	Types    []MachineType
	Teams    []Team
	Long     int     // tasks that run for the whole time
	Starts   float64 // of short tasks a second, in an ordinary second
	Peak     float64 // the same at the peak
	Urgent   float64 // jobs a second
	Gangs    float64 // jobs a second
	PeakFrom time.Duration
	PeakTo   time.Duration
	Length   time.Duration
	Seed     uint64
}

// MachineType is one that the region's cloud offers.
type MachineType struct {
	Name     string
	CPUs     float64
	MemoryGB float64
	Limit    int // machines in a zone, ordinary and spot each
}

// Team is a team with what it is guaranteed in the region and may use in all regions together, in CPUs.
type Team struct {
	Name      string
	Guarantee float64
	Limit     float64
}

// Kinds of jobs. Short tasks make the starts, long ones the number that runs.
const (
	shortRuns  = 13 * time.Second
	longTasks  = 100 // of a job
	shortTasks = 75
	gangRuns   = 40 * time.Second
	urgentRuns = 5 * time.Second
	taskCPUs   = 0.55 // 50,000 of them take nearly all machines
	rampPart   = 5    // one part of so many of the run passes until the machines are up
)

// gangSizes are the sizes of gangs, up to the planned one.
var gangSizes = []int{2, 4, 2, 16, 4, 2, 64}

// planRegion is one region's part of the plan.
func planRegion(o Options, index int) Plan {
	part := o.Share / regionsPlanned
	p := Plan{Region: regionNames[index], Seed: o.Seed + uint64(index), Length: o.For,
		Long: int(0.6 * plannedTasks * part), Starts: plannedStarts * part / 2, Peak: plannedStarts * part,
		Urgent: max(0.5, 6*part), Gangs: max(0.1, 1.5*part)}
	p.PeakFrom = max(0, o.For-o.Peak-o.For/6)
	p.PeakTo = p.PeakFrom + o.Peak
	machines := plannedMachines * part / zonesPerRegion
	p.Types = []MachineType{
		{"small", 4, 16, max(1, int(smallShare*machines+0.5))},
		{"large", 32, 256, max(1, int((1-smallShare)*machines+0.5))},
	}
	for z := range zonesPerRegion {
		p.Zones = append(p.Zones, fmt.Sprintf("%s-%d", p.Region, z+1))
	}
	// Three times the share of each team: limits bind for those that ask for more only. The first team has
	// less than it asks for, so that parts of its limit move.
	cpus := machines * zonesPerRegion * (smallShare*4 + (1-smallShare)*32)
	for t := range plannedTeams {
		p.Teams = append(p.Teams, Team{Name: fmt.Sprintf("team-%03d", t+1), Guarantee: float64(int(cpus / plannedTeams / 2)),
			Limit: float64(regionsPlanned * max(64*2, int(3*cpus/plannedTeams)))})
	}
	p.Teams[0].Limit = float64(regionsPlanned * max(8, int(cpus/plannedTeams/2)))
	return p
}

// regionNames are those of the regions.
var regionNames = [regionsPlanned]string{"north", "south", "west"}

// regionIndex is the number of a region; below 0: there is none.
func regionIndex(name string) int { return slices.Index(regionNames[:], name) }

// standinTypes are the types as the stand-in offers them; all of them are ordinary.
func (p Plan) standinTypes() (out []*standin.Type) {
	for _, t := range p.Types {
		out = append(out, &standin.Type{Name: t.Name, Size: model.Size{CPUs: t.CPUs, MemoryGB: t.MemoryGB}, CacheGB: 100,
			FetchGBPerS: 1, Price: t.CPUs / 20, SpotPrice: t.CPUs / 20, Boot: 2 * time.Second, Zones: p.Zones, Limit: t.Limit})
	}
	return out
}
