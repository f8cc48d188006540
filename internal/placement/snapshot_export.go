package placement

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/marlwood/marlwood/internal/model"
)

// Export returns a snapshot of the cluster state. The caller must not change the snapshot, which shares maps and slices
// with the cluster state.
func (cs *ClusterState) Export() (*State, error) {
	state := &State{
		Token:     cs.token,
		Complete:  cs.takeoverComplete,
		Split:     cs.splitParts,
		Resumed:   cs.claimsResumed,
		FewParts:  cs.maxPartsAccepted,
		OrderID:   cs.orderID,
		Attempts:  cs.attempts,
		Saves:     cs.writeCount,
		Room:      cs.capacityEvents,
		Rounds:    cs.roundNumber,
		Capacity:  cs.usableCPUs,
		Gathering: cs.longWaitingGatherTime,
		Types:     cs.types,
		Out:       map[string][][]byte{},
		Gone:      cs.terminated,
		Limits:    map[string]model.Size{},
		Use:       map[string]UseState{},
		Urgencies: cs.inherited,
		Mark:      cs.usageWatermark,
		Heard:     cs.lastResponse,
	}
	if cs.ledger != nil {
		state.Lately = cs.ledger.ExportRecent()
	}
	for pool, member := range cs.owners {
		state.Owners = append(state.Owners, OwnerState{Kind: pool, Member: member})
	}
	for _, job := range cs.jobs.All() {
		state.Jobs = append(state.Jobs, job.export())
	}
	if err := cs.exportMachines(state); err != nil {
		return nil, err
	}
	if err := cs.exportOrders(state); err != nil {
		return nil, err
	}
	cs.exportClasses(state)
	cs.exportTeams(state)
	for _, drain := range cs.drains.All() {
		state.Drains = append(state.Drains, *drain)
	}
	for _, job := range cs.upcoming {
		state.Coming = append(state.Coming, job.export())
	}
	for _, plan := range cs.roundPlan {
		state.Plan = append(state.Plan, PlanState{Job: plan.job.Spec.ID, Tasks: plan.tasks, Scan: plan.fullScan, Want: plan.requestID})
	}
	return state, nil
}

// exportMachines adds the machines and their tasks to a snapshot.
func (cs *ClusterState) exportMachines(state *State) error {
	for _, machine := range cs.machines.All() {
		exported, err := machine.export()
		if err != nil {
			return err
		}
		state.Machines = append(state.Machines, exported)
		for _, task := range machine.tasks.All() {
			state.Tasks = append(state.Tasks, task.export())
		}
	}
	return nil
}

// exportOrders adds the unacknowledged orders to a snapshot.
func (cs *ClusterState) exportOrders(state *State) error {
	for member, orders := range cs.outbox {
		for _, order := range orders {
			text, err := proto.Marshal(order)
			if err != nil {
				return fmt.Errorf("encode order %d: %w", order.Id, err)
			}
			state.Out[member] = append(state.Out[member], text)
		}
	}
	return nil
}

// exportClasses adds the arrivals of each class to a snapshot.
func (cs *ClusterState) exportClasses(state *State) {
	for name, class := range cs.classes.All() {
		exported := ClassState{Name: name, Last: class.lastJob.export(), Short: class.missingSlots}
		for _, a := range class.arrivals {
			exported.Arrivals = append(exported.Arrivals, ArrivalState{At: a.at, Tasks: a.tasks})
		}
		state.Classes = append(state.Classes, exported)
	}
}

// exportTeams adds the usage of each team, and the limits that differ from the settings, to a snapshot.
func (cs *ClusterState) exportTeams(state *State) {
	for name, usage := range cs.teamUsages {
		state.Use[name] = UseState{Size: usage.size, Tasks: usage.tasks}
	}
	for name, team := range cs.teams {
		if team.Limit != cs.configuredTeams[name].Limit {
			state.Limits[name] = team.Limit
		}
	}
}

// export returns the snapshot of a bound task.
func (t *Task) export() TaskState {
	return TaskState{
		Job:      t.job.Spec.ID,
		Index:    t.index,
		Attempt:  t.attempt,
		Machine:  t.machine.Name,
		State:    t.state,
		Token:    t.orderToken,
		Order:    t.orderID,
		Since:    t.stateSince,
		BornAt:   t.boundAt,
		Stopping: t.stopping,
		Grace:    t.grace,
		Told:     t.stopToken,
		Counted:  t.accountedUntil,
		Claimed:  t.heldByClaim,
	}
}

// export returns the snapshot of a job without its tasks.
func (j *Job) export() JobState {
	state := JobState{
		Spec:            j.Spec,
		Accepted:        j.Accepted,
		Seen:            j.firstSeen,
		Stamp:           j.Revision,
		Started:         j.Started,
		Cancelled:       j.Cancelled,
		Finished:        j.finished.Words(),
		Next:            j.nextTask,
		Again:           j.retryTasks,
		RetryAt:         j.retryAt,
		Fails:           j.failures,
		Empty:           j.roundsWithoutCapacity,
		Tried:           j.searchedAtEvent,
		Turn:            j.lastRoundConsidered,
		Sought:          j.lastPreemptSearch,
		Looked:          j.lastEmptyRoundAt,
		SaveDue:         j.writeDue,
		SaveFirst:       j.writeHeadStart,
		Waiting:         j.unplacedSince,
		Cleared:         j.preemptedAt,
		Kept:            j.reservedUntil,
		Writing:         j.writing,
		Dirty:           j.dirty,
		WroteAt:         j.lastWrite,
		Attempt:         j.attempt,
		OrderRank:       j.queueKey.priority,
		OrderGuaranteed: j.queueKey.guaranteed,
		OrderDue:        j.queueKey.due,
		OrderPatient:    j.queueKey.waitsForSpot,
		OrderNear:       j.queueKey.boostedSince,
		OrderServed:     j.queueKey.served,
		Hurried:         j.boostedInOverload,
		Unclaimed:       j.claimTooLarge,
		Rank:            j.effectivePriority,
		Within:          j.dueWithin,
		Per:             j.tasksPerPart,
		Bulky:           j.oversized,
	}
	if j.claim != nil {
		claim := *j.claim
		claim.Machines = slices.Clone(claim.Machines)
		state.Claim = &claim
	}
	if j.storedFinished != nil {
		state.Stored = j.storedFinished.Words()
	}
	for name := range j.failedOn {
		state.FailedOn = append(state.FailedOn, name)
	}
	return state
}

// export returns the snapshot of a machine without its tasks.
func (m *Machine) export() (MachineState, error) {
	state := MachineState{
		Name:      m.Name,
		Addr:      m.Addr,
		Kind:      m.Pool,
		Spot:      m.Spot,
		Phase:     m.Phase,
		Since:     m.PhaseSince,
		Hosted:    m.Recorded,
		Stamp:     m.Revision,
		Dropping:  m.deletingRecord,
		Cordoned:  m.Cordoned,
		Retiring:  m.ScaleIn,
		Blamed:    m.quarantined,
		Taken:     m.uncordonedAt,
		Notice:    m.TerminationNotice,
		NoticeAt:  m.NoticeAt,
		Seen:      m.FirstSeen,
		Idle:      m.IdleSince,
		Silent:    m.FirstExpired,
		Knocked:   m.misdirectedAt,
		Quiet:     m.MissedHeartbeats,
		Listed:    m.Listed,
		Unsure:    m.StartOutcomeUnknown,
		Used:      m.EverUsed,
		Unreached: m.Unreachable,
		Wanders:   m.cyclesControllers,
		Follows:   m.followsRedirects,
		KnockedAt: m.misdirectedTo,
		Session:   m.session,
		Seq:       m.seq,
		Current:   m.currentToken,
		Load:      m.load,
		Blame:     map[string]FailureState{},
		Strays:    m.orphans,
	}
	for _, image := range m.images {
		state.Images = append(state.Images, ImageState{Name: image.name, GB: image.gb})
	}
	for _, reported := range m.reported {
		text, err := proto.Marshal(reported)
		if err != nil {
			return state, fmt.Errorf("report of %s: %w", m.Name, err)
		}
		state.Reported = append(state.Reported, text)
	}
	for job, record := range m.failures {
		state.Blame[job] = FailureState{Fails: record.failures, Waves: record.waves, Last: record.last}
	}
	for name, reserved := range m.reserved.All() {
		state.Reserved = append(state.Reserved, ReservationState{
			Name:  name,
			Class: reserved.class,
			Size:  reserved.size,
			Rank:  reserved.rank,
			Until: reserved.until,
		})
	}
	return state, nil
}
