package simtest

import (
	"time"

	"pgregory.net/rapid"

	"github.com/marlwood/marlwood/internal/model"
)

// Fault kinds that RollingRestarts makes overlap with the restarts: of machines, and of the state service.
var (
	machineAbsences = []string{"cut machine", "cut machine", "cut machine", "reset machine", "mute machine", "hang machine", "deafen machine"}
	storeAbsences   = []string{"outage", "outage", "outage", "outage", "store refuses node"}
)

// RollingRestarts draws schedules in which controllers restart one after the other, each back within a second.
// Machines are out of reach for less than a worker's lease, from about some restart on, and users cancel jobs that run
// there. The state service fails as some controller restarts, for up to the time within which a cancelled job's tasks
// are gone. At most one fault of Plans is added.
var RollingRestarts = rapid.Custom(func(t *rapid.T) Plan {
	p := Plans.Draw(t, "plan")
	x := rapid.SampledFrom(workerTimes).Draw(t, "worker times")
	p.Report, p.Lease, p.Cancel, p.idle = x.report, x.lease, x.cancel, idleBeforeReturn
	p.Faults = p.Faults[:min(len(p.Faults), max(0, rapid.IntRange(-3, 1).Draw(t, "other faults")))]
	p.Jobs = p.Jobs[:min(len(p.Jobs), 2)]
	for range rapid.IntRange(1, 3).Draw(t, "long jobs") {
		p.Jobs = append(p.Jobs, drawLongJob(t))
	}
	restarts := drawRestarts(t)
	near := func(label string, from, to int) time.Duration {
		return max(0, rapid.SampledFrom(restarts).Draw(t, label+" near").At+seconds(t, label+" off", from, to))
	}
	for range rapid.IntRange(1, 4).Draw(t, "absent machines") {
		at := near("absence", -6, 1)
		p.Faults = append(p.Faults,
			Fault{Kind: rapid.SampledFrom(machineAbsences).Draw(t, "absence"), At: at, For: share(t, "absence for", p.Lease, 0.3, 0.8), A: rapid.IntRange(0, 7).Draw(t, "absent")},
			Fault{Kind: "cancel out of reach", At: at + seconds(t, "cancelled after", 0, 3), For: time.Second})
	}
	for range rapid.IntRange(1, 2).Draw(t, "store faults") {
		p.Faults = append(p.Faults, Fault{Kind: rapid.SampledFrom(storeAbsences).Draw(t, "store fault"), At: near("store fault", 0, 1),
			For: share(t, "store fault for", p.Cancel, 0.6, 1.3), A: rapid.IntRange(0, leaderIndex).Draw(t, "refused")})
	}
	p.Faults = append(p.Faults, restarts...)
	return p
})

// share draws a share of a duration between two bounds.
func share(t *rapid.T, label string, of time.Duration, least, most float64) time.Duration {
	return time.Duration(rapid.Float64Range(least, most).Draw(t, label) * float64(of))
}

// drawLongJob draws a job that runs for as long as controllers restart.
func drawLongJob(t *rapid.T) Submission {
	return Submission{At: seconds(t, "long at", 1, 6), Shape: rapid.SampledFrom([]model.Shape{model.Array, model.Service}).Draw(t, "long shape"),
		Tasks: rapid.IntRange(1, 2).Draw(t, "long tasks"), Takes: seconds(t, "long takes", 40, 80), Cancel: seconds(t, "long cancel", 60, 100),
		Zone: rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "long zone"), Spot: rapid.Bool().Draw(t, "long spot")}
}

// drawRestarts draws two to four restarts at equal intervals, of one controller after the other. In half of the
// schedules the leader comes first.
func drawRestarts(t *rapid.T) (restarts []Fault) {
	at, gap := seconds(t, "restarts at", 8, 20), seconds(t, "restart gap", 4, 16)
	order := rapid.Permutation([]int{0, 1, 2}).Draw(t, "order")
	if rapid.Bool().Draw(t, "leader first") {
		order = append([]int{leaderIndex}, order...)
	}
	for i := range rapid.IntRange(2, 4).Draw(t, "restarts") {
		restarts = append(restarts, Fault{Kind: "crash back", At: at, For: seconds(t, "restart away", 0, 1), A: order[i%len(order)]})
		at += gap
	}
	return restarts
}
