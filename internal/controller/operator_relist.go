package controller

import (
	"strings"
	"time"

	"github.com/marlwood/marlwood/internal/placement"
	"github.com/marlwood/marlwood/internal/store"
)

// relistSchedule is when the operators' records, drains and settings, are read again after a change
// whose outcome is not known.
type relistSchedule struct {
	until  time.Time
	next   time.Time
	unread bool // they have not been read since the change
}

// How long, and how often, the operators' records are read again after such a change.
const (
	relistDuration = 2 * time.Minute
	relistInterval = 5 * time.Second
)

// extend has the records read again for relistDuration from now on, and until a read succeeds.
//
// Guard: in an outage of the state service that is longer, no read succeeds. What was stored was in force at no
// leader (TestUndrainAfterALostAnswer).
func (r *relistSchedule) extend(now time.Time) {
	r.until = now.Add(relistDuration)
	r.unread = true
}

// due reports whether the records are to be read now. If so, the next time is relistInterval later.
func (r *relistSchedule) due(now time.Time) bool {
	if now.After(r.until) && !r.unread || now.Before(r.next) {
		return false
	}
	r.next = now.Add(relistInterval)
	return true
}

// relistOperatorRecords reads the operators' records again while a change may yet be executed late.
func (t *leaderTerm) relistOperatorRecords(now time.Time) {
	if !t.operatorRelist.due(now) {
		return
	}
	if t.drains.unsettled {
		t.settleDrains(func(error) {}) // tried again when the next one is due
		return
	}
	t.ctrl.env.Go(func() {
		items, revision, err := t.ctrl.store.List(t.ctx, placement.OpsPrefix)
		t.ctrl.post(func() {
			// Guard: drains may have changed since the records were read. Applied, the older list
			// took a drain out of force that had just been confirmed (explorer, seed 1000139823).
			if err != nil || t.ctx.Err() != nil || revision < t.drains.fence.revision {
				return
			}
			t.replaceOperatorRecords(items)
		})
	})
}

// replaceOperatorRecords adopts settings and drains as they are stored.
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
