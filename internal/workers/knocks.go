package workers

import (
	"sort"
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

// Knocks that are older, or more of them, say nothing.
const (
	knockMemory = 5 * time.Second
	maxKnocks   = 1000
)

// knock keeps for the leader that a machine of another owner's kind reported
// here: its owner may be out of its reach.
func (d *Desk) knock(now time.Time, name string) {
	if len(d.knocks) < maxKnocks {
		d.knocks[name] = now
	}
}

// pointTo sends a machine to its kind's owner.
//
// Guard: an owner that hears nothing from the kind is probably out of the
// machines' reach, and a worker waits there for four seconds; its lease would be
// over before the kind has another owner. Until then machines go to and fro
// between the controllers that they reach.
func (d *Desk) pointTo(owner string, kind model.Kind) Verdict {
	elsewhere, silent := d.silent[kind]
	if !silent {
		return Verdict{Status: 421, Foreman: owner}
	}
	for _, member := range elsewhere {
		if member != d.opt.Member {
			return Verdict{Status: 421, Foreman: member}
		}
	}
	return Verdict{Status: 503}
}

// takeKnocks hands over what was kept.
func (d *Desk) takeKnocks(now time.Time) (out []string) {
	for name, at := range d.knocks {
		if now.Sub(at) < knockMemory {
			out = append(out, name)
		}
	}
	clear(d.knocks)
	sort.Strings(out)
	return out
}
