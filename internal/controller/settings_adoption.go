package controller

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/marlwood/marlwood/internal/placement"
	"github.com/marlwood/marlwood/internal/settings"
	"github.com/marlwood/marlwood/internal/store"
)

// Keys of the settings that operators put in force: of the record in force, and the prefix of the keys of all recorded
// settings by number.
const (
	settingsKey      = placement.OpsPrefix + "settings"
	pastSettingsKeys = "past-settings/"
)

// maxPastSettings is how many records are kept under pastSettingsKeys, the one in force included.
const maxPastSettings = 20

// settingsReadRetryWait is how long a controller that failed to read the record waits before it may read again.
const settingsReadRetryWait = time.Second

// settingsRecord is the stored form of the settings that operators put in force. The settings in Text override those
// of each controller's own file.
type settingsRecord struct {
	Number uint64    `json:"number"`
	Text   string    `json:"text"`
	Who    string    `json:"who"`
	At     time.Time `json:"at"`
	Reason string    `json:"reason"`
	ID     string    `json:"request,omitempty"` // name that the sender gave to its request
}

// settingsAdoption is the state of a controller's adoption of the recorded settings. It is only used on the loop.
type settingsAdoption struct {
	number  uint64 // of the adopted record; 0: only the settings of the file are in force
	id      string // name of the request that asked for the adopted record
	refused uint64 // of the last record that this controller could not adopt
	reading bool   // the record is being read
}

// nextNumber returns the number of the next record.
//
// Guard: it is above that of a record that cannot be adopted. A record with the same number would be taken for one that
// is stored already, and no settings could be put in force any more.
func (a *settingsAdoption) nextNumber() uint64 { return max(a.number, a.refused) + 1 }

// outdated reports whether the recorded settings must be read because the leader's settings have a newer number.
//
// Guard: settings that this controller could not adopt are not read again with each of the leader's messages.
func (a *settingsAdoption) outdated(leaderNumber uint64) bool {
	return leaderNumber > max(a.number, a.refused)
}

// effectiveSettings returns the settings of this controller's file, overridden by those in text. It returns an error
// if a running controller cannot adopt them.
func (c *Controller) effectiveSettings(text string) (*settings.Operator, error) {
	next, err := c.overlaidSettings(text)
	if err != nil || text == "" {
		return next, err
	}
	return c.fileSettings.Reload(next)
}

// overlaidSettings returns the settings of this controller's file, overridden by those in text. They are valid, but
// a running controller may be unable to adopt them.
func (c *Controller) overlaidSettings(text string) (*settings.Operator, error) {
	if text == "" {
		return c.fileSettings, nil
	}
	next, err := c.fileSettings.Overlay([]byte(text))
	if err != nil {
		return nil, err
	}
	if err := next.Check(c.cfg); err != nil {
		return nil, err
	}
	return next, nil
}

// CheckSettings returns why this controller cannot adopt the settings in text; "" if it can. It changes nothing, and
// may be called from any goroutine.
func (c *Controller) CheckSettings(text string) string {
	if _, err := c.effectiveSettings(text); err != nil {
		return err.Error()
	}
	return ""
}

// adoptSettings puts recorded settings in force, either all of them or none. If this controller cannot adopt them, it
// keeps or looks up the last ones that it can. It runs on the loop.
func (c *Controller) adoptSettings(item store.Item) {
	var record settingsRecord
	err := json.Unmarshal(item.Value, &record)
	if err == nil && record.Number <= c.adoption.number {
		return
	}
	var next *settings.Operator
	if err == nil {
		next, err = c.effectiveSettings(record.Text)
	}
	if err != nil {
		c.refuseSettings(record.Number, err)
		return
	}
	c.putInForce(record, next)
}

// putInForce replaces the settings in force with those of a record, unless the record is older.
//
// Guard: every change of the settings that a leader's decisions depend on is an event of its own in the scheduler,
// between two other events. So no decision uses only a part of the new settings, and a recording contains the change.
func (c *Controller) putInForce(record settingsRecord, next *settings.Operator) {
	if record.Number <= c.adoption.number {
		return
	}
	c.settings, c.adoption.number, c.adoption.id = next, record.Number, record.ID
	c.log.Info("settings adopted", "number", record.Number, "who", record.Who, "at", record.At, "reason", record.Reason)
	if c.term != nil {
		if err := c.term.scheduler.SetConfig(c.env.Now(), schedulerConfig(c.cfg, c.settings)); err != nil {
			c.log.Error("failed to pass the adopted settings to the scheduler", "err", err)
		}
	}
}

// refuseSettings notes that the record with a number cannot be adopted, and looks up the last one that can.
func (c *Controller) refuseSettings(number uint64, cause error) {
	again := c.adoption.refused == number
	c.adoption.refused = number
	c.log.Error("recorded settings cannot be adopted; keeping the last ones that can", "number", number, "in_force", c.adoption.number, "err", cause)
	if again || number <= c.adoption.number {
		return
	}
	c.env.Go(func() {
		past, err := c.readPastSettings()
		if err == nil {
			c.post(func() { c.adoptLastPast(past) })
		}
	})
}

// readPastSettings reads the kept records, the latest first, and retries until it succeeds or the controller ends. It
// runs outside the loop.
func (c *Controller) readPastSettings() ([]settingsRecord, error) {
	for {
		past, err := listPastSettings(c.ctx, c.store)
		if err == nil || c.ctx.Err() != nil {
			return past, err
		}
		c.log.Warn("cannot read the past settings", "err", err)
		c.env.Sleep(c.ctx, settingsReadRetryWait)
	}
}

// adoptLastPast puts the latest of the past records in force that this controller can adopt.
func (c *Controller) adoptLastPast(past []settingsRecord) {
	for _, record := range past {
		if next, err := c.effectiveSettings(record.Text); err == nil {
			c.putInForce(record, next)
			return
		}
	}
}

// listPastSettings reads the kept records of settings, the latest first. Those of an unknown form are left out.
func listPastSettings(ctx context.Context, records Store) ([]settingsRecord, error) {
	items, _, err := records.List(ctx, pastSettingsKeys)
	var past []settingsRecord
	for _, item := range items {
		var record settingsRecord
		if json.Unmarshal(item.Value, &record) == nil {
			past = append(past, record)
		}
	}
	slices.SortFunc(past, func(x, y settingsRecord) int { return cmp.Compare(y.Number, x.Number) })
	return past, err
}

// adoptSettingsLater starts to read the recorded settings, and adopts them when they are read. It is called after a
// message of the leader has announced newer settings.
func (c *Controller) adoptSettingsLater() {
	if c.adoption.reading {
		return
	}
	c.adoption.reading = true
	c.env.Go(func() {
		item, err := c.store.Get(c.ctx, settingsKey)
		if err != nil {
			c.env.Sleep(c.ctx, settingsReadRetryWait)
		}
		c.post(func() {
			c.adoption.reading = false
			if err == nil {
				c.adoptSettings(item)
			}
		})
	})
}
