package placement

import (
	"fmt"
	"maps"

	"google.golang.org/protobuf/proto"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/peers/peerspb"
)

// Import returns a cluster state that makes the same decisions as the exported one.
func Import(opt Options, teams map[string]model.Team, state *State) (*ClusterState, error) {
	cs := NewClusterState(opt, state.Token, teams, state.Types)
	cs.takeoverComplete, cs.splitParts, cs.maxPartsAccepted, cs.orderID = state.Complete, state.Split, state.FewParts, state.OrderID
	cs.attempts, cs.writeCount, cs.capacityEvents, cs.inherited = state.Attempts, state.Saves, state.Room, state.Urgencies
	cs.claimsResumed, cs.usageWatermark = state.Resumed, state.Mark
	cs.roundNumber, cs.usableCPUs, cs.longWaitingGatherTime = state.Rounds, state.Capacity, state.Gathering
	maps.Copy(cs.lastResponse, state.Heard)
	maps.Copy(cs.terminated, state.Gone)
	if cs.ledger != nil {
		cs.ledger.ImportRecent(state.Lately)
	}
	cs.importTeams(state)
	cs.poolsGeneration = 1 // higher than the generation of any job, so that the jobs' pools are computed
	for _, owner := range state.Owners {
		cs.owners[owner.Kind] = owner.Member
	}
	for _, drain := range state.Drains {
		cs.drains.Put(drain.Target(), &drain)
	}
	for _, job := range state.Jobs {
		cs.jobs.Put(job.Spec.ID, cs.importJob(job))
		cs.logOpenChange(job.Spec.ID)
	}
	if err := cs.importMachines(state.Machines); err != nil {
		return nil, err
	}
	if err := cs.importTasks(state.Tasks); err != nil {
		return nil, err
	}
	if err := cs.importOrders(state.Out); err != nil {
		return nil, err
	}
	cs.importClasses(state.Classes)
	for _, job := range state.Coming {
		cs.upcoming = append(cs.upcoming, cs.importJob(job))
	}
	for _, plan := range state.Plan {
		if job := cs.jobs.At(plan.Job); job != nil { // without a job the round would skip the entry
			cs.roundPlan = append(cs.roundPlan, &plannedJob{job: job, tasks: plan.Tasks, fullScan: plan.Scan, requestID: plan.Want})
		}
	}
	return cs, nil
}

// importTeams restores the teams' limits, and then their usage.
func (cs *ClusterState) importTeams(state *State) {
	cs.SetLimits(state.Limits)
	for name, usage := range state.Use {
		cs.teamUsages[name] = &teamUsage{team: cs.teams[name], size: usage.Size, tasks: usage.Tasks}
	}
}

// importMachines restores the machines without their tasks.
func (cs *ClusterState) importMachines(states []MachineState) error {
	for _, state := range states {
		machine, err := cs.importMachine(state)
		if err != nil {
			return err
		}
		machine.drain = cs.effectiveDrain(machine)
		if machine.cyclesControllers {
			cs.misdirected[machine.Name] = machine
		}
		cs.machines.Put(machine.Name, machine)
		cs.machinesInPool[machine.Pool]++
		cs.updateUnreconciled(machine)
	}
	return nil
}

// importTasks restores the bound tasks. The imported loads of machines and usages of teams include them already.
func (cs *ClusterState) importTasks(states []TaskState) error {
	for _, state := range states {
		job, machine := cs.jobs.At(state.Job), cs.machines.At(state.Machine)
		if job == nil || machine == nil {
			return fmt.Errorf("state: task %s/%d on machine %s: unknown job or machine", state.Job, state.Index, state.Machine)
		}
		task := &Task{
			job:            job,
			index:          state.Index,
			attempt:        state.Attempt,
			machine:        machine,
			state:          state.State,
			orderToken:     state.Token,
			orderID:        state.Order,
			stateSince:     state.Since,
			boundAt:        state.BornAt,
			stopping:       state.Stopping,
			grace:          state.Grace,
			stopToken:      state.Told,
			accountedUntil: state.Counted,
			heldByClaim:    state.Claimed,
		}
		task.attach()
		machine.load.ReportBytes += job.Spec.Size.ReportBytes // the only part of the load that is not stored
	}
	return nil
}

// importOrders restores the unacknowledged orders.
func (cs *ClusterState) importOrders(outbox map[string][][]byte) error {
	for member, texts := range outbox {
		for _, text := range texts {
			order := &peerspb.Order{}
			if err := proto.Unmarshal(text, order); err != nil {
				return fmt.Errorf("state: decode order for member %s: %w", member, err)
			}
			cs.outbox[member] = append(cs.outbox[member], order)
		}
	}
	return nil
}

// importClasses restores the arrivals of each class.
func (cs *ClusterState) importClasses(states []ClassState) {
	for _, state := range states {
		class := &classArrivals{lastJob: cs.jobs.At(state.Last.Spec.ID), missingSlots: state.Short}
		if class.lastJob == nil {
			class.lastJob = cs.importJob(state.Last)
		}
		for _, a := range state.Arrivals {
			class.arrivals = append(class.arrivals, arrival{a.At, a.Tasks})
		}
		cs.classes.Put(state.Name, class)
	}
}

// importJob restores a job without its tasks.
func (cs *ClusterState) importJob(state JobState) *Job {
	job := &Job{
		Spec:       state.Spec,
		Accepted:   state.Accepted,
		Revision:   state.Stamp,
		Started:    state.Started,
		Cancelled:  state.Cancelled,
		firstSeen:  state.Seen,
		usage:      cs.usageOf(state.Spec.Team),
		finished:   model.TaskSetOf(state.Finished),
		bound:      cs.newJobTasks(),
		nextTask:   state.Next,
		retryTasks: state.Again,
		queueState: queueState{
			queueKey: queueKey{
				boostedSince: state.OrderNear,
				priority:     state.OrderRank,
				guaranteed:   state.OrderGuaranteed,
				served:       state.OrderServed,
				due:          state.OrderDue,
				waitsForSpot: state.OrderPatient,
			},
			effectivePriority: state.Rank,
			dueWithin:         state.Within,
			boostedInOverload: state.Hurried,
		},
		searchState: searchState{
			searchedAtEvent:     state.Tried,
			lastRoundConsidered: state.Turn,
			lastEmptyRoundAt:    state.Looked,
			unplacedSince:       state.Waiting,
			lastPreemptSearch:   state.Sought,
			preemptedAt:         state.Cleared,
			reservedUntil:       state.Kept,
		},
		retryState: retryState{retryAt: state.RetryAt, failures: state.Fails, roundsWithoutCapacity: state.Empty},
		writeState: writeState{
			dirty:          state.Dirty,
			writing:        state.Writing,
			lastWrite:      state.WroteAt,
			writeDue:       state.SaveDue,
			writeHeadStart: state.SaveFirst,
			storedFinished: model.TaskSetOf(state.Stored),
			tasksPerPart:   state.Per,
			oversized:      state.Bulky,
		},
		gangState: gangState{attempt: state.Attempt, claimTooLarge: state.Unclaimed},
	}
	if state.Claim != nil {
		claim := *state.Claim
		job.claim = &claim
	}
	for _, name := range state.FailedOn {
		if job.failedOn == nil {
			job.failedOn = map[string]bool{}
		}
		job.failedOn[name] = true
	}
	return job
}

// importMachine restores a machine without its tasks.
func (cs *ClusterState) importMachine(state MachineState) (*Machine, error) {
	machine := cs.machineOf(state)
	if err := cs.importReport(machine, state.Reported); err != nil {
		return nil, fmt.Errorf("state: report of %s: %w", state.Name, err)
	}
	for _, image := range state.Images {
		machine.images = append(machine.images, cachedImage{image.Name, image.GB})
		cs.addHolder(machine, image.Name)
	}
	for job, failures := range state.Blame {
		if machine.failures == nil {
			machine.failures = map[string]failureRecord{}
		}
		machine.failures[job] = failureRecord{failures: failures.Fails, waves: failures.Waves, last: failures.Last}
	}
	for _, reserved := range state.Reserved {
		machine.reserve(reserved.Name, reservedCapacity{
			size:  reserved.Size,
			class: reserved.Class,
			rank:  reserved.Rank,
			until: reserved.Until,
		})
	}
	return machine, nil
}

// machineOf returns a machine with the fields of its snapshot that don't refer to other objects.
func (cs *ClusterState) machineOf(state MachineState) *Machine {
	return &Machine{
		Name:       state.Name,
		Addr:       state.Addr,
		Pool:       state.Kind,
		Spot:       state.Spot,
		Phase:      state.Phase,
		PhaseSince: state.Since,
		recordState: recordState{
			Recorded:       state.Hosted,
			Revision:       state.Stamp,
			deletingRecord: state.Dropping,
		},
		Cordoned:            state.Cordoned,
		ScaleIn:             state.Retiring,
		quarantined:         state.Blamed,
		uncordonedAt:        state.Taken,
		TerminationNotice:   state.Notice,
		NoticeAt:            state.NoticeAt,
		FirstSeen:           state.Seen,
		IdleSince:           state.Idle,
		FirstExpired:        state.Silent,
		MissedHeartbeats:    state.Quiet,
		Unreachable:         state.Unreached,
		StartOutcomeUnknown: state.Unsure,
		Listed:              state.Listed,
		EverUsed:            state.Used,
		misdirectedHeartbeats: misdirectedHeartbeats{
			misdirectedAt:     state.Knocked,
			misdirectedTo:     state.KnockedAt,
			cyclesControllers: state.Wanders,
			followsRedirects:  state.Follows,
		},
		session:      state.Session,
		seq:          state.Seq,
		currentToken: state.Current,
		load:         state.Load,
		orphans:      state.Strays,
		tasks:        cs.newMachineTasks(),
		log:          cs.opt.Log,
	}
}

// importReport restores a machine's last report.
func (cs *ClusterState) importReport(machine *Machine, texts [][]byte) error {
	var reported []*peerspb.Task
	for _, text := range texts {
		task := &peerspb.Task{}
		if err := proto.Unmarshal(text, task); err != nil {
			return err
		}
		reported = append(reported, task)
	}
	cs.replaceReport(machine, reported)
	return nil
}
