package controller

import (
	"time"

	"github.com/marlwood/marlwood/internal/autoscaler"
	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/placement"
	"github.com/marlwood/marlwood/internal/scheduler"
	"github.com/marlwood/marlwood/internal/settings"
)

const (
	// wideRecordOverheadBytes is the part of a large value that is reserved for the rest of a job's record, beside
	// the completion bitmap. The bitmap has at least minWideBitmapBytes.
	wideRecordOverheadBytes = 2048
	minWideBitmapBytes      = 256
	// splitRecordOverheadBytes is the same reserve for a bitmap whose shards are separate records.
	splitRecordOverheadBytes = 128
	// bytesPerClaimedMember is the part of a value that is budgeted for each claimed member of a gang: its machine's
	// name takes about ten bytes of the job's record, and a claim may take half of the record.
	bytesPerClaimedMember = 24
)

// schedulerConfig returns the scheduler's configuration: the settings that its decisions depend on.
func schedulerConfig(platform *settings.Platform, operator *settings.Operator) scheduler.Config {
	return scheduler.Config{
		Placement: placementOptions(platform, operator),
		Fleet: autoscaler.Options{
			Idle:        operator.Fleet.Idle,
			Keep:        operator.Fleet.Keep,
			RefusedWait: operator.Fleet.RefusedWait,
			BootFactor:  operator.Fleet.BootFactor,
			SilentWait:  operator.Fleet.SilentWait,
		},
		Teams:    platform.Teams,
		Errors:   operator.Fleet.Errors,
		Unheard:  2*platform.ReportEvery + 2*time.Second,
		Greeted:  firstHeartbeatTimeout(platform),
		Settings: scheduler.Settings{Platform: platform, Operator: operator},
	}
}

func placementOptions(platform *settings.Platform, operator *settings.Operator) placement.Options {
	return placement.Options{
		Draws:         operator.Placement.Draws,
		ScanAfter:     operator.Placement.ScanAfter,
		TasksPerRound: operator.Placement.TasksPerRound,
		PreemptWait:   operator.Placement.PreemptWait,
		Aims:          platform.Aims,
		Horizon:       operator.Fleet.Horizon,
		ShortFirst:    operator.Placement.ShortFirst,
		BeginWithin:   operator.Placement.BeginWithin,
		ClaimPieces:   maxClaimedMembers(platform, operator),
		Apart:         operator.Placement.Apart,
		Accounts:      operator.Accounts.Keep == "yes",
		Flush:         operator.Accounts.Flush,
		FairTies:      operator.Accounts.Ties == "share",
		ClockOff:      platform.ClockOff,
		GangWait:      platform.GangWait,
		Unhurried:     operator.Placement.Unhurried,
		Standing:      operator.Placement.Standing,
		Spare:         operator.Placement.Spare,
		PartTasks:     model.PartTasks(max(minWideBitmapBytes, platform.WideValueBytes-wideRecordOverheadBytes)),
		SplitTasks:    model.PartTasks(platform.ValueBytes/2 - splitRecordOverheadBytes),
	}
}

// maxClaimedMembers returns the size in members of the largest gang for which machines are claimed in the job's record;
// 0: no machines are claimed.
func maxClaimedMembers(platform *settings.Platform, operator *settings.Operator) int {
	if operator.Placement.Claims == "no" {
		return 0
	}
	return platform.ValueBytes / bytesPerClaimedMember
}

// firstHeartbeatTimeout returns how long it may take until the first heartbeat of an existing machine reaches a new
// leader: the machine's worker sends a heartbeat within 5/4 of the usual interval, and may first try a controller that
// is lost.
func firstHeartbeatTimeout(platform *settings.Platform) time.Duration {
	return platform.ReportEvery*5/4 + time.Second
}

// withClockDrift returns a duration plus the maximum drift between the clocks of two machines within it.
func withClockDrift(d time.Duration) time.Duration { return d + d/500 + 50*time.Millisecond }
