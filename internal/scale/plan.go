// Package scale runs a load test of the planned size on one machine: real controllers as separate processes,
// with one deployment per region, and simulated state services, clouds with their workers,
// and users. The workers are hollow: they speak the protocol over real sockets but run no tasks.
package scale

import (
	"fmt"
	"slices"
	"time"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/standin"
)

// The planned size, as stated by the users.
const (
	plannedMachines = 5500
	plannedTasks    = 50000 // running at the same time
	plannedStarts   = 1500  // per second at the peak
	plannedTeams    = 110
	regionsPlanned  = 3
	zonesPerRegion  = 3
	controllersEach = 3 // per region
)

// Protocol times of the run: those of the larger deployments.
const (
	reportEvery = 4 * time.Second
	leaseLength = 22 * time.Second
	cancelWait  = 47 * time.Second
)

// smallShare is the fraction of machines of the small type.
const smallShare = 0.938

// Plan is the planned load and size of one region.
type Plan struct {
	Region   string
	Zones    []string
	Types    []MachineType
	Teams    []Team
	Long     int     // number of tasks that run for the whole time
	Starts   float64 // starts of short tasks per second outside the peak
	Peak     float64 // starts of short tasks per second at the peak
	Urgent   float64 // jobs per second
	Gangs    float64 // jobs per second; services arrive at the same rate
	PeakFrom time.Duration
	PeakTo   time.Duration
	Length   time.Duration
	Seed     uint64
}

// MachineType is a machine type that the region's cloud offers.
type MachineType struct {
	Name     string
	CPUs     float64
	MemoryGB float64
	Limit    int // most machines in a zone, for ordinary and spot machines each
}

// Team is a team with its guarantee in the region and its limit over all regions together, in CPUs.
type Team struct {
	Name      string
	Guarantee float64
	Limit     float64
}

// Sizes and run times of jobs. Short tasks account for the rate of starts, long tasks for the number of running tasks.
const (
	shortRuns  = 13 * time.Second
	longTasks  = 100 // tasks of a long job
	shortTasks = 75
	gangRuns   = 40 * time.Second
	urgentRuns = 5 * time.Second
	taskCPUs   = 0.55 // 50,000 tasks of this size fill nearly all machines
	rampPart   = 5    // the machines are up after the run's length divided by this
)

// gangSizes holds the sizes of gangs, up to the largest planned size.
var gangSizes = []int{2, 4, 2, 16, 4, 2, 64}

// planRegion returns one region's part of the plan.
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
	// A limit is three times a team's share, so that it only affects teams that ask for more. The first team's limit
	// is below its demand, so that parts of its limit move between regions.
	cpus := machines * zonesPerRegion * (smallShare*4 + (1-smallShare)*32)
	for t := range plannedTeams {
		p.Teams = append(p.Teams, Team{Name: fmt.Sprintf("team-%03d", t+1), Guarantee: float64(int(cpus / plannedTeams / 2)),
			Limit: float64(regionsPlanned * max(64*2, int(3*cpus/plannedTeams)))})
	}
	p.Teams[0].Limit = float64(regionsPlanned * max(8, int(cpus/plannedTeams/2)))
	return p
}

// regionNames holds the names of the regions.
var regionNames = [regionsPlanned]string{"north", "south", "west"}

// regionIndex returns the index of a region, or -1 if there is no region of that name.
func regionIndex(name string) int { return slices.Index(regionNames[:], name) }

// standinTypes returns the machine types in the form that the simulated cloud uses. Spot machines have the price of
// ordinary ones; no job of a run allows them.
func (p Plan) standinTypes() (out []*standin.Type) {
	for _, t := range p.Types {
		out = append(out, &standin.Type{Name: t.Name, Size: model.Size{CPUs: t.CPUs, MemoryGB: t.MemoryGB}, CacheGB: 100,
			FetchGBPerS: 1, Price: t.CPUs / 20, SpotPrice: t.CPUs / 20, Boot: 2 * time.Second, Zones: p.Zones, Limit: t.Limit})
	}
	return out
}
