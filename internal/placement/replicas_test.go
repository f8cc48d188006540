package placement

import (
	"testing"
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

// A replica is placed on the machine where it is expected to lose least time. That is a machine with its image,
// unless another replica of the job runs there and the fetch elsewhere takes less than not sharing the machine is
// worth. A machine that is fetching other images loses more. Tasks of arrays are placed by image and used share.
func TestReplicaMachineChoice(t *testing.T) {
	for _, c := range []struct {
		name    string
		gb      float64 // size of the image
		shape   model.Shape
		prepare func(b bench)
		want    string
	}{
		{"the machine with the image", 30, model.Service, func(b bench) { b.addCachedImage(b.machines.At("full"), b.jobs.At("x").Spec) }, "full"},
		{"a small image: not with another replica", 3, model.Service, func(b bench) {
			b.addCachedImage(b.machines.At("full"), b.jobs.At("x").Spec)
			b.startTask(at(0), b.jobs.At("x"), 0, b.machines.At("full"), 9)
		}, "empty"},
		{"a large image: with another replica", 30, model.Service, func(b bench) {
			b.addCachedImage(b.machines.At("full"), b.jobs.At("x").Spec)
			b.startTask(at(0), b.jobs.At("x"), 0, b.machines.At("full"), 9)
		}, "full"},
		{"not a machine that is fetching another image", 30, model.Service, func(b bench) {
			b.startTask(at(0), b.jobs.At("other"), 9, b.machines.At("empty"), 9)
		}, "full"},
		{"a machine that has fetched most of its image", 30, model.Service, func(b bench) {
			b.opt.Apart = time.Second
			b.startTask(at(-100), b.jobs.At("x"), 0, b.machines.At("full"), 9)
		}, "full"},
		{"another zone than that of another replica", 3, model.Service, func(b bench) {
			b.startTask(at(0), b.jobs.At("x"), 0, b.machines.At("cordoned"), 9)
		}, "full"},
		{"an array: the machine with the image, though another task of it runs there", 3, model.Array, func(b bench) {
			b.addCachedImage(b.machines.At("full"), b.jobs.At("x").Spec)
			b.startTask(at(0), b.jobs.At("x"), 0, b.machines.At("full"), 9)
		}, "full"},
	} {
		b := newBench(t)
		b.opt.Apart = time.Minute
		for name, typ := range b.types {
			typ.FetchGBPerS, typ.CacheGB = 0.2, 200
			b.types[name] = typ
		}
		b.job("x", func(j *model.Job) {
			j.Shape, j.Tasks, j.Size, j.ImageGB = c.shape, 2, model.Size{CPUs: 2, MemoryGB: 2}, c.gb
		})
		b.job("other", func(j *model.Job) {
			j.Shape, j.Tasks, j.Size, j.Image, j.ImageGB = model.Service, 10, model.Size{CPUs: 1, MemoryGB: 1}, "other", 30
		})
		b.machine("full", "big", "b", task("other", 0, 1, model.TaskRunning, ""), task("other", 1, 1, model.TaskRunning, ""))
		b.machine("empty", "big", "a")
		b.machine("cordoned", "big", "a")
		b.machines.At("cordoned").Cordoned = true
		c.prepare(b)
		machines := []*Machine{b.machines.At("empty"), b.machines.At("full")}
		if got := b.choose(b.jobs.At("x"), machines, at(1)); got == nil || got.Name != c.want {
			t.Errorf("%s: chosen machine %v", c.name, got)
		}
	}
}
