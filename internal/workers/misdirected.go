package workers

import (
	"net/http"
	"sort"
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

// Older misdirected heartbeats are not evidence about a pool's owner, and more of them add nothing.
const (
	misdirectedMaxAge = 5 * time.Second
	maxMisdirected    = 1000
)

// recordMisdirected records for the leader that a machine of another owner's pool sent a heartbeat
// here, which may mean that the machine cannot reach its owner.
func (reg *Registry) recordMisdirected(now time.Time, name string) {
	if len(reg.misdirected) < maxMisdirected {
		reg.misdirected[name] = now
	}
}

// redirectTo redirects a machine to its pool's owner, or to another controller if the owner is unreachable.
//
// Guard: an owner that receives no heartbeats from the pool is probably unreachable for its machines,
// and a worker waits four seconds for such an owner. Its lease would be over before the pool has another
// owner. Until then the machines are redirected back and forth between the controllers they can reach.
func (reg *Registry) redirectTo(owner string, pool model.Pool) HeartbeatResult {
	others, ownerUnreachable := reg.unreachablePools[pool]
	if !ownerUnreachable {
		return HeartbeatResult{Status: http.StatusMisdirectedRequest, Redirect: owner}
	}
	for _, member := range others {
		if member != reg.options.Member {
			return HeartbeatResult{Status: http.StatusMisdirectedRequest, Redirect: member}
		}
	}
	return refused()
}

// takeMisdirected returns the recorded machines sorted by name, without those too old, and clears the record.
func (reg *Registry) takeMisdirected(now time.Time) []string {
	var names []string
	for name, at := range reg.misdirected {
		if now.Sub(at) < misdirectedMaxAge {
			names = append(names, name)
		}
	}
	clear(reg.misdirected)
	sort.Strings(names)
	return names
}
