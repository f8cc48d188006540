package controller

import (
	"strings"
	"time"

	"github.com/marlwood/marlwood/internal/placement"
	"github.com/marlwood/marlwood/internal/store"
)

// relistSchedule determines when the operators' records (drains and settings) are read again after a change whose
// outcome is unknown.
type relistSchedule struct {
	until  time.Time
	next   time.Time
	unread bool // no read has succeeded since the change
}

// How long and how often the operators' records are read again after a change whose outcome is unknown.
const (
	relistDuration = 2 * time.Minute
	relistInterval = 5 * time.Second
)

// extend schedules repeated reads of the records for relistDuration from now, and beyond that until one read succeeds.
//
// Guard: during an outage of the state service that is longer than relistDuration, no read succeeds. Without further
// reads, a stored change was in force at no leader (TestUndrainAfterALostAnswer).
func (r *relistSchedule) extend(now time.Time) {
	r.until = now.Add(relistDuration)
	r.unread = true
}

// due reports whether the records are to be read now. If so, it schedules the next read relistInterval later.
func (r *relistSchedule) due(now time.Time) bool {
	if now.After(r.until) && !r.unread || now.Before(r.next) {
		return false
	}
	r.next = now.Add(relistInterval)
	return true
}

// relistOperatorRecords reads the operators' records again, when due, while a change may still be executed late.
func (t *leaderTerm) relistOperatorRecords(now time.Time) {
	if !t.operatorRelist.due(now) {
		return
	}
	if t.drains.unsettled {
		t.settleDrains(func(error) {}) // retried when the next read is due
		return
	}
	t.ctrl.env.Go(func() {
		items, revision, err := t.ctrl.store.List(t.ctx, placement.OpsPrefix)
		t.ctrl.post(func() {
			// Guard: drains may have changed since the records were read. When an older list was applied, it
			// ended a drain that had just been confirmed to an operator (explorer, seed 1000139823).
			if err != nil || t.ctx.Err() != nil || revision < t.drains.fence.revision {
				return
			}
			t.replaceOperatorRecords(items)
		})
	})
}

// replaceOperatorRecords adopts the stored settings and drains that were read.
func (t *leaderTerm) replaceOperatorRecords(items []store.Item) {
	t.operatorRelist.unread = false
	drains := map[string]store.Item{}
	for _, item := range items {
		if item.Key == settingsKey {
			t.ctrl.adoptSettings(item)
		} else if strings.HasPrefix(item.Key, placement.DrainPrefix) {
			drains[item.Key] = item
		}
	}
	if t.drains.replace(drains) {
		t.publishDrains()
	}
}
