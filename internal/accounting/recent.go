package accounting

import (
	"math"
	"time"
)

// halfLife is the time after which recent usage has decayed to half.
const halfLife = time.Minute

// Recent is a team's recent usage, in CPU seconds, exponentially decayed up to At.
type Recent struct {
	CPU float64
	At  time.Time
}

// decayed returns the recent usage in CPU seconds, decayed further to now.
func (r Recent) decayed(now time.Time) float64 {
	return r.CPU * math.Exp2(-now.Sub(r.At).Seconds()/halfLife.Seconds())
}

// ExportRecent returns a copy of the recent usage by team, for a snapshot of the state that decisions depend on.
func (l *Ledger) ExportRecent() map[string]Recent {
	out := map[string]Recent{}
	for team, recent := range l.recent {
		out[team] = recent
	}
	return out
}

// ImportRecent sets the recent usage of teams from a snapshot.
func (l *Ledger) ImportRecent(usage map[string]Recent) {
	for team, recent := range usage {
		l.recent[team] = recent
	}
}

// RecentCPUSeconds returns a team's recent usage in CPU seconds, which decays with a half-life of one minute.
func (l *Ledger) RecentCPUSeconds(team string, now time.Time) float64 {
	return l.recent[team].decayed(now)
}
