package placement

import (
	"strings"
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

// holderSampler samples machines that have an image, without a scan over all of them. Machines on which a job
// turns out not to fit are excluded. The machines that are not excluded are numbered from 0.
//
// Guard: free capacity used to be searched for on every machine with the image, for each job of a round. With
// some thousands of machines this took most of the time of placing.
type holderSampler struct {
	machines  *model.Table[string, *Machine]
	remaining int         // number of machines that are not excluded
	moved     map[int]int // by number, the table index of the machine, where number and index differ
}

// reset starts to sample a table of machines.
func (s *holderSampler) reset(holders *model.Table[string, *Machine]) {
	s.machines, s.remaining, s.moved = holders, holders.Len(), nil
}

// at returns the machine with number n.
func (s *holderSampler) at(n int) *Machine { return s.machines.Nth(s.indexOf(n)) }

// indexOf returns the table index of the machine with number n.
func (s *holderSampler) indexOf(n int) int {
	if index, ok := s.moved[n]; ok {
		return index
	}
	return n
}

// exclude excludes the machine with number n. The machine with the highest number gets that number.
func (s *holderSampler) exclude(n int) {
	s.remaining--
	if s.moved == nil {
		s.moved = map[int]int{}
	}
	s.moved[n] = s.indexOf(s.remaining)
}

// capacityQuery holds the properties of a job that determine on which machines with its image it fits. Jobs with
// equal queries fit on the same machines.
type capacityQuery struct {
	image string
	class string
	zone  string
	types string // joined
	size  model.Size
	spot  bool
	rank  int
}

// capacityQueryOf returns a job's query. ok is false for a job for which its other tasks or its own reservation
// also determine where it fits.
func (cs *ClusterState) capacityQueryOf(job *Job, now time.Time) (query capacityQuery, ok bool) {
	spec := job.Spec
	query = capacityQuery{
		image: spec.Image,
		class: spec.Class,
		zone:  spec.Zone,
		types: strings.Join(spec.Types, ","),
		size:  spec.Size.WithoutReport(), // IDs of another length make no other query
		spot:  spec.Spot,
		rank:  job.effectivePriority,
	}
	return query, !spec.OneZone && !spec.Spread && now.After(job.reservedUntil)
}

// beginHolderSampling starts to sample for a job. Free capacity only shrinks while a round places tasks. So if
// one job fitted on no machine with the image, the next job with the same query doesn't try these machines.
func (cs *ClusterState) beginHolderSampling(plan *plannedJob) {
	query, ok := cs.capacityQueryOf(plan.job, plan.now)
	if ok && cs.noCapacity[query] {
		plan.holders = holderSampler{}
		return
	}
	plan.holders.reset(cs.imageHolders[plan.job.Spec.Image])
}

// endHolderSampling records that a job fits on no machine with its image, if sampling has excluded all of them.
func (cs *ClusterState) endHolderSampling(plan *plannedJob) {
	if query, ok := cs.capacityQueryOf(plan.job, plan.now); ok && plan.holders.remaining == 0 {
		cs.noCapacity[query] = true
	}
}

// sampleHolders returns a few machines that have the job's image and free capacity, sampled at random as from a
// pool of their own. If zone isn't empty, it returns only machines in that zone. Machines on which the job
// doesn't fit are excluded from further sampling. Sampling these machines in addition to those of the pools is an
// exception to the rule of the paper that this scheduler follows.
func (cs *ClusterState) sampleHolders(plan *plannedJob, zone string) []*Machine {
	var sampled []*Machine
	for tries := 0; tries < 2*cs.opt.Draws && len(sampled) < cs.opt.Draws && plan.holders.remaining > 0; tries++ {
		number := cs.opt.Rand.IntN(plan.holders.remaining)
		machine := plan.holders.at(number)
		switch {
		case !cs.fits(plan.job, machine, plan.now):
			plan.holders.exclude(number)
			tries--
		case zone == "" || machine.Pool.Zone == zone:
			sampled = append(sampled, machine)
		}
	}
	return sampled
}
