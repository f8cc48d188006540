package placement

import (
	"github.com/marlwood/marlwood/internal/model"
)

// teamUse sums what a team's tasks take, everything bound included. It is kept
// as tasks are bound and released: summed anew for each job of a long queue, it
// was a large part of a round.
type teamUse struct {
	team   model.Team
	size   model.Size
	tasks  int
	wanted model.Size // by all jobs of the team, as last summed
}

func (u *teamUse) add(size model.Size) {
	u.size, u.tasks = u.size.Add(size), u.tasks+1
}

func (u *teamUse) remove(size model.Size) {
	u.size, u.tasks = u.size.Sub(size), u.tasks-1
	if u.tasks == 0 {
		u.size = model.Size{} // rounding must not add up
	}
}

// useOf returns a team's sum.
func (b *Book) useOf(team string) *teamUse {
	u := b.use[team]
	if u == nil {
		u = &teamUse{team: b.teams[team]}
		b.use[team] = u
	}
	return u
}
