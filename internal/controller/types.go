package controller

import (
	"encoding/json"
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

// typesKey holds the machine types for controllers that cannot reach the cloud.
const typesKey = "types"

// The pauses of learnTypes. The pause between attempts starts from firstTypesRetry and doubles with each
// failure up to longestTypesRetry; after a successful read the pause is typesRefresh. Each pause is drawn
// at random between 0.5 and 1.5 times its length.
const (
	firstTypesRetry   = 200 * time.Millisecond
	longestTypesRetry = 5 * time.Second
	typesRefresh      = time.Minute
)

// knownTypes returns the machine types, or nil if they are not known yet. It is safe for concurrent use.
func (c *Controller) knownTypes() map[string]model.MachineType {
	if p := c.machineTypes.Load(); p != nil {
		return *p
	}
	return nil
}

// learnTypes reads the machine types periodically until the controller stops, and more often until they
// are known. It runs outside the event loop.
func (c *Controller) learnTypes() {
	wait := firstTypesRetry
	for c.ctx.Err() == nil {
		if catalogue, err := c.readTypes(); err == nil {
			table := catalogue.Table()
			c.post(func() { c.setTypes(table) })
			wait = typesRefresh
		} else {
			c.log.Debug("cannot read the machine types", "err", err)
			wait = min(wait*2, longestTypesRetry)
		}
		c.env.Sleep(c.ctx, wait/2+time.Duration(c.env.Random()%uint64(wait)))
	}
}

// readTypes reads the machine types from the state service, and from the cloud if the state service
// does not have them.
func (c *Controller) readTypes() (catalogue model.Catalogue, err error) {
	item, err := c.store.Get(c.ctx, typesKey)
	if err == nil {
		err = json.Unmarshal(item.Value, &catalogue)
	}
	if err != nil || len(catalogue.Types) == 0 {
		return c.cloud.Types(c.ctx)
	}
	return catalogue, nil
}

// setTypes replaces the machine types that the controller, its registry and its scheduler use.
func (c *Controller) setTypes(types map[string]model.MachineType) {
	c.machineTypes.Store(&types)
	c.registry.SetTypes(types)
	if c.term != nil {
		if err := c.term.scheduler.SetTypes(c.env.Now(), types); err != nil {
			c.log.Error("machine types not applied", "err", err)
		}
	}
}
