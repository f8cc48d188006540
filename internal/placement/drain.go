package placement

import (
	"cmp"
	"fmt"
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

// OpsPrefix is the prefix of the keys under which the state service stores operators' orders that are in force.
// A new leader reads them before it builds its cluster state.
const OpsPrefix = "ops/"

// DrainPrefix is the prefix of the keys of drains in the state service.
const DrainPrefix = OpsPrefix + "drain/"

// Scope is the kind of object that a drain names.
type Scope string

// The scopes of a drain.
const (
	NodeScope Scope = "node"
	ZoneScope Scope = "zone"
	TypeScope Scope = "type"
)

// Drain is an operator's order to empty machines of tasks. It is stored under ops/drain/<scope>/<name> and is in
// force until that record is deleted.
type Drain struct {
	Scope    Scope     `json:"scope"`
	Name     string    `json:"name"`
	Since    time.Time `json:"since"`    // wall clock of the leader that accepted the drain
	Deadline time.Time `json:"deadline"` // when the remaining tasks are stopped; zero: never
	Keep     bool      `json:"keep"`     // empty machines are not scaled in
	Force    bool      `json:"force"`    // at the deadline gangs are stopped even if no other machines have capacity for them
	Reason   string    `json:"reason"`
	Who      string    `json:"who"`
}

// Target returns the scope and name of the drained object, such as zone/lambrate.
func (d *Drain) Target() string { return string(d.Scope) + "/" + d.Name }

// Key returns the key of the drain's record in the state service.
func (d *Drain) Key() string { return DrainPrefix + d.Target() }

// covers reports whether the drain applies to a machine.
func (d *Drain) covers(name string, pool model.Pool) bool {
	switch d.Scope {
	case NodeScope:
		return d.Name == name
	case ZoneScope:
		return d.Name == pool.Zone
	}
	return d.Name == pool.Type
}

// coversPool reports whether the drain applies to every machine of a pool.
func (d *Drain) coversPool(pool model.Pool) bool { return d.Scope != NodeScope && d.covers("", pool) }

// text returns the text for who asked for the drain, when, and how it ends.
func (d *Drain) text() string {
	text := fmt.Sprintf("%s by %s since %s", d.Target(), cmp.Or(d.Who, "somebody"), d.Since.UTC().Format(time.RFC3339))
	if d.Reason != "" {
		text += fmt.Sprintf(" (%s)", d.Reason)
	}
	if !d.Deadline.IsZero() {
		text += ", what still runs there is stopped at " + d.Deadline.UTC().Format(time.RFC3339)
	}
	return text + ", until marlwood undrain"
}

// keepsJobOut reports whether a drain covers a machine or a pool that a job may run on.
func (cs *ClusterState) keepsJobOut(drain *Drain, job *Job) bool {
	allowed := func(pool model.Pool) bool {
		machineType, ok := cs.types[pool.Type]
		return ok && job.Spec.Allows(machineType, pool.Zone)
	}
	if drain.Scope == NodeScope {
		machine := cs.machines.At(drain.Name)
		return machine != nil && allowed(machine.Pool)
	}
	for pool := range cs.owners {
		if drain.coversPool(pool) && allowed(pool) {
			return true
		}
	}
	return false
}

// SetDrains replaces all drains. From now on no task is started on a drained machine, and tasks whose start was
// ordered before are stopped.
func (cs *ClusterState) SetDrains(drains []*Drain, now time.Time) {
	cs.drains = model.NewTable[string, *Drain]()
	for _, drain := range drains {
		cs.drains.Put(drain.Target(), drain)
	}
	cs.poolsGeneration++
	cs.capacityEvents++
	for _, m := range cs.machines.All() {
		cs.updateDrain(m)
	}
	cs.advanceDrains(now)
}

// Drains returns the drains by target.
func (cs *ClusterState) Drains() *model.Table[string, *Drain] { return cs.drains }

// updateDrain recomputes which drain applies to a machine, and sends the cordon state to its owner if it has changed.
// No other function changes a machine's drain, except that Import restores it.
func (cs *ClusterState) updateDrain(m *Machine) {
	was := m.drain != nil
	m.drain = cs.effectiveDrain(m)
	if was != (m.drain != nil) && !m.Cordoned {
		cs.sendCordonState(m)
	}
}

// effectiveDrain returns the merged drains that cover a machine; nil if there are none. The merged drain has the
// soonest deadline, and the machine is kept if any of the drains has Keep set.
func (cs *ClusterState) effectiveDrain(machine *Machine) *Drain {
	var effective *Drain
	for _, drain := range cs.drains.All() {
		if !drain.covers(machine.Name, machine.Pool) {
			continue
		}
		if effective == nil {
			merged := *drain
			effective = &merged
			continue
		}
		if !drain.Deadline.IsZero() && (effective.Deadline.IsZero() || drain.Deadline.Before(effective.Deadline)) {
			effective.Deadline, effective.Force = drain.Deadline, drain.Force
		}
		effective.Keep = effective.Keep || drain.Keep
	}
	return effective
}

// Drained reports whether a drain covers the machine.
func (m *Machine) Drained() bool { return m.drain != nil }

// KeptByDrain reports whether the machine is drained and must not be scaled in when it is empty.
func (m *Machine) KeptByDrain() bool { return m.drain != nil && m.drain.Keep }

// poolDrained reports whether a drain covers every machine of a pool.
func (cs *ClusterState) poolDrained(pool model.Pool) bool {
	for _, drain := range cs.drains.All() {
		if drain.coversPool(pool) {
			return true
		}
	}
	return false
}
