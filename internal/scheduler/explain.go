package scheduler

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/marlwood/marlwood/internal/autoscaler"
	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/operators/operatorspb"
	"github.com/marlwood/marlwood/internal/placement"
)

// Explain returns the reasons why a job's tasks are not all running, or nil if the job is
// neither open nor waiting.
func (s *Scheduler) Explain(now time.Time, id string) *operatorspb.ExplainResponse {
	moment := s.schedulerTime(now)
	if record, unmet, ok := s.graph.WaitingJob(id); ok && s.cluster.Jobs().At(id) == nil {
		return explainWaiting(record, unmet, moment)
	}
	out := s.cluster.Explain(id, moment)
	if out == nil {
		return nil
	}
	s.explainCloud(id, out, moment)
	s.explainUncovered(id, out)
	slices.SortStableFunc(out.Hopes, func(x, y *operatorspb.Hope) int { return cmp.Compare(x.AtUnixMs, y.AtUnixMs) })
	return out
}

func explainWaiting(record placement.JobRecord, unmet []string, now time.Time) *operatorspb.ExplainResponse {
	reason := &operatorspb.Reason{
		Code:  placement.CodeDependencies,
		Text:  "needs jobs that are not done: " + strings.Join(unmet, ", "),
		Names: unmet,
	}
	return &operatorspb.ExplainResponse{
		Job:     waitingJobRow(record, now),
		Reasons: []*operatorspb.Reason{reason},
	}
}

// explainCloud adds, for each pool that the job may run on, whether machines are booting or
// the cloud refuses to launch more. If the job lacks capacity, it also adds these as reasons.
func (s *Scheduler) explainCloud(id string, out *operatorspb.ExplainResponse, now time.Time) {
	spec := s.cluster.Jobs().At(id).Spec
	supply := s.cloudSupply(out.Rooms, spec.Spot, now)
	if !lacksCapacity(out.Reasons) {
		return
	}
	if len(supply.booting) > 0 {
		out.Reasons = append(out.Reasons, &operatorspb.Reason{
			Code:        placement.CodeBooting,
			Text:        "machines that it may run on are booting",
			UntilUnixMs: supply.bootDue.UnixMilli(),
			Names:       supply.booting,
		})
		out.Hopes = append(out.Hopes, &operatorspb.Hope{
			Text:     "the first of them is due, by its usual boot time",
			AtUnixMs: supply.bootDue.UnixMilli(),
		})
	}
	if len(supply.refused) > 0 && !supply.available {
		out.Reasons = append(out.Reasons, &operatorspb.Reason{
			Code:        placement.CodeProviderRefused,
			Text:        "the cloud has no more machines of any kind that it may run on; it is asked again then",
			UntilUnixMs: supply.retryAt.UnixMilli(),
			Names:       supply.refused,
		})
		out.Hopes = append(out.Hopes, &operatorspb.Hope{
			Text:     "the cloud is asked again for more machines",
			AtUnixMs: supply.retryAt.UnixMilli(),
		})
	}
}

// explainUncovered adds why no machine is rented for a job that no machine has capacity for.
func (s *Scheduler) explainUncovered(id string, out *operatorspb.ExplainResponse) {
	for _, uncovered := range s.autoscaler.Uncovered() {
		if uncovered.Job != id {
			continue
		}
		reason := &operatorspb.Reason{Code: placement.CodeNotRented, Text: "no machine is rented for it: " + uncovered.Cause.String()}
		if !uncovered.RetryAt.IsZero() {
			reason.UntilUnixMs = uncovered.RetryAt.UnixMilli()
		}
		out.Reasons = append(out.Reasons, reason)
	}
}

// Uncovered returns the jobs for which no machine has capacity, none is under way, and none was launched at the last
// Plan, in the order of the queue.
func (s *Scheduler) Uncovered() []autoscaler.Uncovered { return s.autoscaler.Uncovered() }

// lacksCapacity reports whether missing capacity is among the reasons.
func lacksCapacity(reasons []*operatorspb.Reason) bool {
	return slices.ContainsFunc(reasons, func(reason *operatorspb.Reason) bool {
		return reason.Code == placement.CodeNoCapacity || reason.Code == placement.CodeNoZoneCapacity
	})
}

// cloudSupply describes which machines the cloud may add to the pools that a job may run on.
type cloudSupply struct {
	booting   []string  // pools with booting machines
	bootDue   time.Time // when the first of the booting machines is expected
	refused   []string  // pools for which the cloud has no more machines
	retryAt   time.Time // when machines are next requested for one of the refused pools
	available bool      // at least one pool is not refused
}

// cloudSupply returns what the autoscaler knows about the pools in rows, and sets the boot
// and refusal fields of the rows.
func (s *Scheduler) cloudSupply(rows []*operatorspb.Room, spot bool, now time.Time) cloudSupply {
	var supply cloudSupply
	for _, row := range rows {
		pool := model.Pool{Type: row.Type, Zone: row.Zone}
		name := pool.Type + " in " + pool.Zone
		if n, due := s.autoscaler.BootingIn(pool, s.types); n > 0 {
			row.Booting, row.BootedUnixMs = uint32(n), due.UnixMilli()
			supply.booting = append(supply.booting, name)
			if supply.bootDue.IsZero() || due.Before(supply.bootDue) {
				supply.bootDue = due
			}
		}
		until, refused := s.refusedUntil(pool, spot, now)
		if !refused {
			supply.available = true
			continue
		}
		row.RefusedUntilUnixMs = until.UnixMilli()
		supply.refused = append(supply.refused, name)
		if supply.retryAt.IsZero() || until.Before(supply.retryAt) {
			supply.retryAt = until
		}
	}
	return supply
}

// refusedUntil reports whether no more machines of a pool are requested for now, and until
// when. For a job that may run on spot machines, both on-demand and spot machines must be
// refused, and the earlier of the two times is returned.
func (s *Scheduler) refusedUntil(pool model.Pool, spot bool, now time.Time) (until time.Time, refused bool) {
	until, refused = s.autoscaler.RefusedUntil(pool, false, now)
	if !spot || !refused {
		return until, refused
	}
	spotUntil, spotRefused := s.autoscaler.RefusedUntil(pool, true, now)
	if spotUntil.Before(until) {
		until = spotUntil
	}
	return until, spotRefused
}
