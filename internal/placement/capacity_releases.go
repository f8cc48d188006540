package placement

import (
	"cmp"
	"slices"
	"sort"
	"time"
)

// maxSummedReleases is the most releases that are added up for each horizon. More are summed up once.
const maxSummedReleases = 32

// capacityRelease is the estimated release of a share of a machine.
type capacityRelease struct {
	after time.Duration
	share float64
}

// capacityReleases are the estimated releases by a machine's tasks.
//
// Guard: a machine may have some hundred small tasks, and each pending array asks each machine for a horizon of its own.
type capacityReleases struct {
	releases []capacityRelease
	sums     []releaseSum // of the first releases, which are then ordered by time; nil: not computed
}

// releaseSum is the sum over the first releases: of their shares, and of the seconds of the whole machine that pass before.
type releaseSum struct {
	share   float64
	seconds float64
}

// add adds the release of a share.
func (r *capacityReleases) add(after time.Duration, share float64) {
	r.releases = append(r.releases, capacityRelease{after, share})
}

// within returns the time that is released within a horizon, in seconds of the whole machine.
func (r *capacityReleases) within(horizon time.Duration) (released float64) {
	if len(r.releases) > maxSummedReleases {
		return r.summedWithin(horizon)
	}
	for _, release := range r.releases {
		if release.after < horizon {
			released += release.share * (horizon - release.after).Seconds()
		}
	}
	return released
}

// summedWithin is within for many releases.
func (r *capacityReleases) summedWithin(horizon time.Duration) float64 {
	if r.sums == nil {
		r.sum()
	}
	released := sort.Search(len(r.releases), func(i int) bool { return r.releases[i].after >= horizon })
	sum := r.sums[released]
	return sum.share*horizon.Seconds() - sum.seconds
}

// sum orders the releases by time and sums them up.
func (r *capacityReleases) sum() {
	slices.SortFunc(r.releases, func(x, y capacityRelease) int { return cmp.Compare(x.after, y.after) })
	r.sums = make([]releaseSum, len(r.releases)+1)
	for i, release := range r.releases {
		sum := r.sums[i]
		r.sums[i+1] = releaseSum{sum.share + release.share, sum.seconds + release.share*release.after.Seconds()}
	}
}
