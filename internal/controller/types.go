package controller

import (
	"encoding/json"
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

// typesKey keeps the machine types for nodes that cannot reach the cloud.
const typesKey = "types"

func (n *Node) knownTypes() map[string]model.MachineType {
	if p := n.types.Load(); p != nil {
		return *p
	}
	return nil
}

// learnTypes asks the cloud and the state service in turn until one of them
// knows the machine types.
func (n *Node) learnTypes() {
	wait := 200 * time.Millisecond
	for n.ctx.Err() == nil {
		var cat model.Catalogue
		it, err := n.store.Get(n.ctx, typesKey)
		if err == nil {
			err = json.Unmarshal(it.Value, &cat)
		}
		if err != nil || len(cat.Types) == 0 {
			cat, err = n.cloud.Types(n.ctx)
		}
		if err == nil {
			table := cat.Table()
			n.post(func() { n.setTypes(table) })
			wait = time.Minute
		} else {
			n.log.Debug("machine types", "err", err)
			wait = min(wait*2, 5*time.Second)
		}
		n.world.Sleep(n.ctx, wait/2+time.Duration(n.world.Random()%uint64(wait)))
	}
}

func (n *Node) setTypes(table map[string]model.MachineType) {
	n.types.Store(&table)
	n.desk.SetTypes(table)
	if n.term != nil {
		if err := n.term.core.SetTypes(n.world.Now(), table); err != nil {
			n.log.Error("machine types", "err", err)
		}
	}
}
