package workers

import (
	"cmp"
	"container/list"
	"maps"
	"slices"
	"time"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/peers"
	"github.com/marlwood/marlwood/internal/peers/peerspb"
)

// HandleRound handles one round of a leader: a delegated lease, orders and sample requests. A round with
// a token lower than the highest seen is answered but has no effect.
func (reg *Registry) HandleRound(now time.Time, request *peerspb.RoundRequest) *peerspb.RoundResponse {
	response := &peerspb.RoundResponse{
		Boot:         reg.boot,
		ClockNs:      int64(now.Sub(reg.clockStart)),
		Records:      peers.RecordFormat,
		UsesOpenJobs: true,
	}
	if request.Token < reg.token {
		response.Token = reg.token
		return response
	}
	tokenBefore := reg.token
	if request.Token > reg.token {
		reg.adoptToken(now, request.Token)
		reg.logAdoption(request, tokenBefore)
	}
	reg.applyTokenLimit(request.TokenLimit)
	response.Token, reg.leader = reg.token, request.Leader
	if request.StoreOk {
		reg.storeReachedAt = now
	}
	forThisProcess := request.Boot == reg.boot
	if forThisProcess {
		reg.applyRound(now, request)
	}
	reg.expire(now)
	response.Applied, response.Change = reg.lastOrder, reg.lastChange
	response.TokenLimitWanted = reg.wantedLimit()
	if !forThisProcess {
		return response
	}
	response.Knocks = reg.takeMisdirected(now)
	response.Machines, response.Change = reg.changedSince(request.Seen)
	if len(request.Wants) > 0 {
		free := reg.freeMachines()
		for _, want := range request.Wants {
			response.Samples = append(response.Samples, reg.sample(want, free)...)
		}
	}
	return response
}

// RejectTokensBelow sets the lowest token that a newly started registry accepts.
//
// Guard: a process that ends loses the token that it had adopted. The leader of that token relies on the
// adoption. Without this minimum, an earlier leader that may still act could delegate leases to the next
// process and extend workers' leases that count as expired.
func (reg *Registry) RejectTokensBelow(token uint64) { reg.token = max(reg.token, token) }

// logAdoption logs that the registry has adopted the token of a round.
func (reg *Registry) logAdoption(request *peerspb.RoundRequest, before uint64) {
	if reg.options.Log != nil {
		reg.options.Log.Info("token adopted", "token", request.Token, "before", before, "leader", request.Leader, "machines", reg.machines.Len())
	}
}

// adoptToken switches to a new token. It discards all orders of the previous token and what the registry
// knew about leases, because another owner may have held the pools in the meantime.
func (reg *Registry) adoptToken(now time.Time, token uint64) {
	reg.token, reg.tokenLimit, reg.limitWanted = token, token, 0
	reg.leaseUntil = time.Time{}
	reg.lastOrder, reg.acknowledgedChange = 0, 0
	reg.openJobs = openJobs{}
	reg.owners, reg.jobSizes = map[model.Pool]string{}, map[string]model.Size{}
	for _, machine := range reg.machines.All() {
		reg.resetForToken(now, machine)
	}
}

// resetForToken discards the state of a machine under the previous token.
func (reg *Registry) resetForToken(now time.Time, machine *machineState) {
	// Guard: another owner may have kept the machine's epoch alive in the meantime. When the lease was
	// counted from the last heartbeat that this registry had received, a live machine was reported as
	// expired and its heartbeats were refused.
	machine.pendingOrders, machine.cordoned = nil, false
	machine.token, machine.forgetsOverdue = reg.token, false
	machine.agent.endedEpoch, machine.agent.unexpectedEpoch, machine.agent.unconfirmed = 0, 0, false
	machine.directCall.failed = false
	machine.directCall.resetTokenDelivery()
	machine.contact.missedHeartbeats = false
	machine.acknowledgement = taskAcknowledgement{}
	if machine.agent.restarted {
		// Heartbeats from before the agent's restart show an earlier token and no longer describe it.
		// Heartbeats that show this token were sent after the restart.
		machine.forgetIncarnation()
	}
	reg.recordContact(now, machine)
	if machine.phase != Expired {
		reg.setPhase(machine, Joining)
	} else {
		reg.markChanged(machine)
	}
	reg.recordListChange(machine)
}

// applyRound applies a round that was made for this process.
func (reg *Registry) applyRound(now time.Time, request *peerspb.RoundRequest) {
	// The end of the lease is a time on this process's own clock, so a round that a partition delayed
	// may bring a lease that has already ended.
	if until := reg.clockStart.Add(time.Duration(request.GrantUntilNs)); until.After(reg.leaseUntil) {
		reg.leaseUntil = until
	}
	if len(request.Owners) > 0 {
		reg.applyOwners(request.Owners)
	}
	if len(request.Sizes) > 0 {
		reg.applyJobSizes(request.Sizes)
	}
	for _, order := range request.Orders {
		if order.Id <= reg.lastOrder { // a repeated order, or a round that arrived late
			continue
		}
		reg.lastOrder = order.Id
		reg.applyOrder(now, order)
	}
	reg.acknowledge(request.Seen)
	if open := request.OpenJobs; open != nil {
		reg.openJobs.apply(open, reg.clockStart.Add(time.Duration(open.ViewedNs)))
	}
}

// applyOwners replaces the owners of the pools and removes the machines of pools that have another owner.
func (reg *Registry) applyOwners(owners []*peerspb.KindOwner) {
	before := reg.owners
	reg.owners = make(map[model.Pool]string, len(owners))
	reg.unreachablePools = map[model.Pool][]string{}
	for _, owner := range owners {
		pool := model.Pool{Type: owner.Kind.Type, Zone: owner.Kind.Zone}
		reg.owners[pool] = owner.Member
		if len(owner.Elsewhere) > 0 {
			reg.unreachablePools[pool] = owner.Elsewhere
		}
	}
	if maps.Equal(reg.owners, before) {
		return
	}
	for _, machine := range reg.machines.All() {
		if !reg.ownsPool(machine.pool) && machine.pool != (model.Pool{}) {
			reg.remove(machine)
		}
	}
}

// applyJobSizes records the task sizes of jobs. A job without a size has ended and is removed.
func (reg *Registry) applyJobSizes(sizes []*peerspb.JobSize) {
	for _, job := range sizes {
		if job.Size == nil {
			delete(reg.jobSizes, job.Job)
			continue
		}
		size := sizeFromWire(job.Size)
		size.ReportBytes = model.TaskReportBytes(job.Job)
		reg.jobSizes[job.Job] = size
	}
	for _, machine := range reg.machines.All() {
		machine.occupancy.valid = machine.occupancy.valid && machine.occupancy.sizesKnown
	}
}

// changedSince returns the machines that changed after the given change, sorted by name, and the last change that they
// include. If they have more tasks than a message may hold, those that changed first are returned.
func (reg *Registry) changedSince(change uint64) (changed []*peerspb.Machine, last uint64) {
	entry := reg.changeList.Back()
	for entry != nil && changedMachine(entry).change > change {
		entry = entry.Prev()
	}
	if entry == nil {
		entry = reg.changeList.Front()
	} else {
		entry = entry.Next()
	}
	tasks, last := 0, reg.lastChange
	for ; entry != nil; entry = entry.Next() {
		machine := changedMachine(entry)
		if tasks += len(machine.tasks); len(changed) > 0 && tasks > peers.MaxTasks {
			last = changedMachine(entry.Prev()).change
			break
		}
		changed = append(changed, machine.toWire())
	}
	slices.SortFunc(changed, func(x, y *peerspb.Machine) int { return cmp.Compare(x.Name, y.Name) })
	return changed, last
}

// changedMachine returns the machine of an entry of the list of changed machines.
func changedMachine(entry *list.Element) *machineState {
	machine, _ := entry.Value.(*machineState)
	return machine
}
