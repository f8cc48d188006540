package controller

import (
	"errors"
	"time"

	"github.com/marlwood/marlwood/internal/autoscaler"
	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/store"
)

// runAutoscaler plans scaling out and in, and queues the resulting calls to the cloud.
func (t *leaderTerm) runAutoscaler(now time.Time) {
	before := t.scheduler.Thrash()
	actions := t.scheduler.Plan(now)
	t.logUncovered()
	after := t.scheduler.Thrash()
	t.ctrl.metrics.Churn(after.Unused-before.Unused, after.Loops-before.Loops)
	if after.Loops > before.Loops {
		t.ctrl.log.Warn("machines requested again soon after being returned unused",
			"unused", after.Unused, "loops", after.Loops)
	}
	for _, action := range actions {
		switch {
		case action.Record != nil:
			t.storeLaunchRecord(*action.Record)
		case action.Launch != nil:
			t.cloudCalls.enqueue(func() { t.launch(*action.Launch) })
		case len(action.Terminate) > 0:
			t.cloudCalls.enqueue(func() { t.terminate(action.Terminate) })
		}
	}
	if t.cloudCalls.startList(now, t.ctrl.settings.Fleet.ListEvery) {
		t.cloudCalls.enqueue(t.listMachines)
	}
	if t.cloudCalls.startTypes(now) {
		t.cloudCalls.enqueue(t.refreshTypes)
	}
}

// runCloudCalls makes the next call to the cloud unless one is in flight.
func (t *leaderTerm) runCloudCalls() {
	call := t.cloudCalls.next()
	if call == nil {
		return
	}
	t.ctrl.env.Go(func() {
		call()
		t.ctrl.post(t.cloudCalls.finished)
	})
}

// storeLaunchRecord stores a record of a launch request before the request is sent. If the outcome of the
// request stays unknown, a later leader that finds the record resolves it.
func (t *leaderTerm) storeLaunchRecord(request autoscaler.LaunchRequest) {
	txn := t.newTxn(store.Put(autoscaler.LaunchPrefix+request.Name, request))
	t.ctrl.env.Go(func() {
		result, err := t.commit(txn)
		t.ctrl.post(func() { t.scheduler.RequestRecorded(t.ctrl.env.Now(), request.Name, err == nil && result.Succeeded()) })
	})
}

// launch requests instances, and removes the record of the request once its outcome is known. It runs
// outside the event loop.
func (t *leaderTerm) launch(request autoscaler.LaunchRequest) {
	result, names := autoscaler.Unknown, []string(nil)
	if t.ctrl.holdsLease() {
		result, names = t.ctrl.cloud.Launch(t.ctx, request)
	}
	t.ctrl.post(func() {
		if t.ctx.Err() != nil {
			return // the record stays: the next leader resolves it
		}
		t.ctrl.log.Info("instances requested", "type", request.Pool.Type, "zone", request.Pool.Zone, "spot", request.Spot,
			"wanted", request.Count, "got", len(names), "result", result.String())
		if t.scheduler.LaunchDone(t.ctrl.env.Now(), request.Name, result, names) {
			t.deleteLaunchRecord(request.Name)
		}
	})
}

// deleteLaunchRecord removes the record of a request. If the removal fails, the next leader resolves the
// request again.
func (t *leaderTerm) deleteLaunchRecord(name string) {
	txn := t.newTxn(store.Delete(autoscaler.LaunchPrefix + name))
	t.ctrl.env.Go(func() {
		if _, err := t.commit(txn); err != nil {
			t.ctrl.log.Debug("launch record not deleted", "request", name, "err", err)
		}
	})
}

// terminate terminates instances. It runs outside the event loop.
func (t *leaderTerm) terminate(names []string) {
	err := errLeaseExpired
	if t.ctrl.holdsLease() {
		err = t.ctrl.cloud.Terminate(t.ctx, names)
	}
	t.ctrl.post(func() {
		if t.ctx.Err() != nil {
			return
		}
		now := t.ctrl.env.Now()
		t.ctrl.log.Info("instances terminated", "machines", names, "err", err)
		for _, name := range names {
			if err == nil {
				t.machineRecords.Unregister(name)
			}
		}
		t.scheduler.TerminateDone(now, names, err == nil)
	})
}

// listMachines lists the machines that run in the cloud. It runs outside the event loop.
func (t *leaderTerm) listMachines() {
	machines, err := t.ctrl.cloud.List(t.ctx)
	t.ctrl.post(func() {
		t.cloudCalls.listing = false
		if err != nil || t.ctx.Err() != nil {
			return
		}
		if !t.scheduler.Complete() && !t.allCouldReport(t.ctrl.env.Now()) {
			t.cloudCalls.deferredList = machines
		}
		t.reconcileList(t.ctrl.env.Now(), machines)
	})
}

// allCouldReport reports whether every existing machine has had the time to send a heartbeat to its owner.
//
// Guard: that time counts from when the owners are known, not from the start of the term. When it counted
// from the start, the list was reconciled a moment too early, and the next list came seven seconds later.
func (t *leaderTerm) allCouldReport(now time.Time) bool {
	return now.Sub(t.assignedAt) > firstHeartbeatTimeout(t.ctrl.cfg)+tick
}

// reconcileDeferredList reconciles a list once more that came before all machines could have sent a
// heartbeat, as soon as they could.
func (t *leaderTerm) reconcileDeferredList(now time.Time) {
	if t.cloudCalls.deferredList != nil && t.allCouldReport(now) {
		t.reconcileList(now, t.cloudCalls.deferredList)
		t.cloudCalls.deferredList = nil
	}
}

// reconcileList compares the cloud's list with the scheduler's machines, and queues the termination of
// the machines that the scheduler returns. Each call terminates as many as the cloud accepts.
//
// Guard: each list used to lead to only one terminate call. After a leader was lost while it scaled in,
// takeovers had to wait for the next list before the remaining machines were terminated.
func (t *leaderTerm) reconcileList(now time.Time, machines []autoscaler.CloudMachine) {
	for unwanted := t.scheduler.ReconcileList(now, machines); len(unwanted) > 0; unwanted = t.scheduler.ReconcileList(now, machines) {
		t.ctrl.log.Info("terminating missing or failed machines", "machines", unwanted)
		t.cloudCalls.enqueue(func() { t.terminate(unwanted) })
	}
}

// refreshTypes reads the machine types from the cloud. It runs outside the event loop.
func (t *leaderTerm) refreshTypes() {
	catalogue, err := t.ctrl.cloud.Types(t.ctx)
	if err != nil {
		return
	}
	table := catalogue.Table()
	t.ctrl.post(func() {
		t.ctrl.setTypes(table)
		if t.ctx.Err() != nil || t.cloudCalls.typesStored {
			return
		}
		t.storeTypes(catalogue)
	})
}

// storeTypes stores the machine types for controllers that cannot reach the cloud.
func (t *leaderTerm) storeTypes(catalogue model.Catalogue) {
	txn := t.newTxn(store.Put(typesKey, catalogue))
	t.ctrl.env.Go(func() {
		result, err := t.commit(txn)
		t.ctrl.post(func() {
			t.cloudCalls.typesStored = err == nil && result.Succeeded()
			if errors.Is(err, store.ErrTooLarge) { // controllers can then read the types only from the cloud
				t.cloudCalls.typesStored = true
				t.ctrl.log.Warn("machine types are too large to be stored", "err", err)
			}
		})
	})
}
