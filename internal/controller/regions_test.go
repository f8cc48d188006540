package controller

import (
	"testing"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/quota"
)

// Checks the conversion of a part of a limit to the unit of tasks' sizes. A part of zero must allow no usage: it is not
// the same as no limit.
func TestLimitSize(t *testing.T) {
	for _, c := range []struct {
		whole model.Size
		part  quota.Amount
		fits  model.Size // usage within the part
		over  model.Size // usage above the part; negative CPUs: not checked
	}{
		{model.Size{CPUs: 10}, quota.Amount{CPUs: 4000}, model.Size{CPUs: 4, GPUs: 99}, model.Size{CPUs: 4.5}},
		{model.Size{CPUs: 10}, quota.Amount{}, model.Size{GPUs: 99}, model.Size{CPUs: 0.001}},
		{model.Size{CPUs: 10, GPUs: 2}, quota.Amount{CPUs: 4000}, model.Size{CPUs: 4}, model.Size{GPUs: 1}},
		{model.Size{}, quota.Amount{}, model.Size{CPUs: 99, GPUs: 99}, model.Size{CPUs: -1}},
	} {
		team := model.Team{Limit: limitSize(c.whole, c.part)}
		if !team.WithinLimit(c.fits) || c.over.CPUs >= 0 && team.WithinLimit(c.over) {
			t.Errorf("%v of %v: %v", c.part, c.whole, team.Limit)
		}
	}
}
