package placement

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/peers/peerspb"
)

// quietCluster returns a cluster state with a number of machines, a quarter of which run one task each, of a number of
// jobs.
func quietCluster(t testing.TB, machines, jobs int) bench {
	b := newBench(t)
	for i := range jobs {
		b.job(fmt.Sprintf("job-%05d", i), func(j *model.Job) {
			j.Tasks, j.Estimate, j.Size = max(1, machines/4/jobs), time.Hour, model.Size{CPUs: 2, MemoryGB: 2}
		})
	}
	for i := range machines {
		job, index := i/4%jobs, i/4/jobs
		var tasks []*peerspb.Task
		if i%4 == 0 && index < max(1, machines/4/jobs) {
			tasks = []*peerspb.Task{{Job: fmt.Sprintf("job-%05d", job), Index: uint32(index), Attempt: 3, State: string(model.TaskRunning)}}
		}
		b.machine(fmt.Sprintf("vm-%06d", i), []string{"small", "big"}[i%2], []string{"a", "b"}[i/2%2], tasks...)
	}
	b.TryCompleteTakeover()
	return b
}

// quietRound does the leader's work of a round and a tick in which nothing has changed.
func (b bench) quietRound(s float64) {
	b.SampleRequests(at(s))
	b.Place(at(s), nil)
	b.Preempt(at(s))
	b.ConfirmExpiries(at(s), at(s))
	b.ExpiredMachineRecords(64)
	b.SilentPools(at(s), 3*time.Second)
	b.UnreachablePools(at(s), 3*time.Second)
	b.DueWrites(at(s), time.Second, 8)
	for _, m := range b.UnreconciledMachines() {
		b.Errorf("%s is unreconciled in a quiet cluster", m.Name)
	}
}

// A quiet round costs no more with sixteen times as many machines. The test counts allocations, not time, since
// allocations don't depend on the computer that runs the test.
func TestQuietRoundCostDoesNotGrowWithMachines(t *testing.T) {
	cost := map[int]float64{}
	for _, machines := range []int{1000, 16000} {
		b := quietCluster(t, machines, 200)
		b.quietRound(10)
		cost[machines] = testing.AllocsPerRun(20, func() { b.quietRound(11) })
	}
	t.Logf("%g allocations", cost[1000])
	if cost[1000] > 6 {
		t.Errorf("a quiet round takes %g allocations with 1000 machines, want at most 6", cost[1000])
	}
	if cost[16000] >= 2*max(cost[1000], 1) {
		t.Errorf("a quiet round takes %g allocations with 1000 machines, %g with 16000, want less than twice as many",
			cost[1000], cost[16000])
	}
}

// After every change of a machine, the set of unreconciled machines and the number of machines in each pool are the same
// as when they are computed from all machines.
func TestUnreconciledSetAndPoolCountsAreUpToDate(t *testing.T) {
	b := newBench(t)
	check := func(step string, want ...string) {
		t.Helper()
		pools, unreconciled := map[model.Pool]int{}, []string{}
		for name, m := range b.machines.All() {
			pools[m.Pool]++
			if m.Phase != Current || !m.Recorded || m.MissedHeartbeats || m.StartOutcomeUnknown || m.orphans > 0 {
				unreconciled = append(unreconciled, name)
			}
		}
		if fmt.Sprint(unreconciled) != fmt.Sprint(want) || len(b.unreconciled) != len(want) || fmt.Sprint(pools) != fmt.Sprint(b.machinesInPool) {
			t.Errorf("%s: unreconciled machines are %v (set of %d), want %v; pools have %v machines, counted %v",
				step, unreconciled, len(b.unreconciled), want, pools, b.machinesInPool)
		}
		for _, name := range want {
			if b.unreconciled[name] == nil {
				t.Errorf("%s: %s is not in the set of unreconciled machines", step, name)
			}
		}
	}
	b.AddMachine(MachineRecord{Name: "m0", Addr: "x:1", Pool: model.Pool{Type: "small", Zone: "a"}, Revision: 2}, at(0))
	check("a machine record is read", "m0")
	b.machine("m1", "small", "a")
	check("a machine is up and its record is stored", "m0")
	b.machine("m2", "big", "b", task("nobody", 0, 3, model.TaskRunning, ""))
	check("an orphaned task runs", "m0", "m2")
	b.report(1, "m2", "current", 0)
	check("the orphaned task has exited", "m0")
	b.report(1, "m0", "current", 0)
	check("the machine with a record has reported")
	b.UpdateMachine(at(2), "n0", &peerspb.Machine{Name: "m1", Kind: &peerspb.Kind{Type: "small", Zone: "a"}, Phase: "current", NoticeMs: -1, Quiet: true}, 0, false)
	check("the owner of a machine gets no heartbeats", "m1")
	b.report(3, "m1", "expired", 0)
	check("the lease of the machine has expired", "m1")
	b.ConfirmExpiries(at(5), at(5))
	check("the expiry is confirmed", "m1")
	b.report(6, "m1", "current", 0)
	check("the machine is back without a record", "m1")
	b.MachineRecorded("m1", 9)
	check("the record of the machine is stored")
	b.TokenRenewed(6, at(7))
	check("a new token", "m0", "m1", "m2")
	b.MachineTerminated("m2", at(8))
	check("a machine is terminated", "m0", "m1")
}

func BenchmarkQuietRound(t *testing.B) {
	for _, jobs := range []int{200, 1000, 10000} {
		for _, machines := range []int{1000, 4000, 16000} {
			t.Run(fmt.Sprintf("machines=%d/jobs=%d", machines, jobs), func(t *testing.B) {
				b := quietCluster(t, machines, jobs)
				b.quietRound(10)
				t.ReportAllocs()
				for t.Loop() {
					b.quietRound(11)
				}
			})
		}
	}
}

// Measures the leader's work of once a second that decides which machines to keep, to request and to return.
func BenchmarkPlan(t *testing.B) {
	for _, machines := range []int{1000, 4000, 16000} {
		t.Run(fmt.Sprintf("machines=%d", machines), func(t *testing.B) {
			b := quietCluster(t, machines, 200)
			t.ReportAllocs()
			for t.Loop() {
				b.ReconcileGangs(at(11))
				b.StopTasksOnLeavingMachines(at(11))
				b.MaintainHeadroom(at(11))
				b.Consolidate(at(11))
				b.UnmetDemands(at(11))
			}
		})
	}
}

// Measures a takeover: all machines report, and the cluster state becomes complete.
func BenchmarkTakeover(t *testing.B) {
	for _, machines := range []int{1000, 4000, 16000} {
		t.Run(fmt.Sprintf("machines=%d", machines), func(t *testing.B) {
			t.ReportAllocs()
			for t.Loop() {
				quietCluster(t, machines, 200)
			}
			t.ReportMetric(float64(t.Elapsed().Microseconds())/float64(t.N)/float64(machines), "µs/machine")
		})
	}
}

// Measures a round that places sixty-four tasks of a queue for which there is capacity.
func BenchmarkPlace(t *testing.B) {
	for _, machines := range []int{1000, 4000, 16000} {
		t.Run(fmt.Sprintf("machines=%d", machines), func(t *testing.B) {
			b := quietCluster(t, machines, 200)
			b.job("next", func(j *model.Job) { j.Tasks, j.Size = 100_000, model.Size{CPUs: 0.001} })
			placed, sampled := 0, 0
			names := make([]string, 0, machines)
			for name := range b.machines.All() {
				names = append(names, name)
			}
			t.ReportAllocs()
			for t.Loop() {
				var samples []*peerspb.Sample
				for _, w := range b.SampleRequests(at(11)) {
					for _, k := range w.Kinds {
						s := &peerspb.Sample{Want: w.Id, Kind: k}
						for range w.Draws {
							sampled++
							s.Machines = append(s.Machines, names[sampled*7919%len(names)])
						}
						samples = append(samples, s)
					}
				}
				placed += b.Place(at(11), samples)
			}
			t.ReportMetric(float64(t.Elapsed().Microseconds())/float64(max(1, placed)), "µs/task")
		})
	}
}

// The machines that have an image and free capacity are sampled equally often, however many machines with the image have
// no free capacity. If none has free capacity, sampling ends.
func TestImageHoldersAreSampledEvenly(t *testing.T) {
	b := newBench(t)
	b.job("x", func(j *model.Job) { j.Tasks = 50 })
	for i := range 40 {
		b.machine(fmt.Sprintf("m%02d", i), "small", []string{"a", "b"}[i%2])
		m := b.machines.At(fmt.Sprintf("m%02d", i))
		b.addHolder(m, "i")
		m.Cordoned = i%4 != 0
	}
	j := b.jobs.At("x")
	count, p := map[string]int{}, &plannedJob{job: j, now: at(1)}
	for range 20000 {
		p.holders.reset(b.imageHolders["i"])
		for _, m := range b.sampleHolders(p, "") {
			count[m.Name]++
		}
	}
	for name, n := range count {
		if m := b.machines.At(name); m.Cordoned || n < 3600 || n > 4400 {
			t.Errorf("%s is sampled %d times of 40000, want about 4000 for each machine with capacity and 0 for others", name, n)
		}
	}
	if len(count) != 10 {
		t.Errorf("%d different machines were sampled, want the 10 with capacity", len(count))
	}
	for _, m := range b.machines.All() {
		m.Cordoned = true
	}
	p.holders.reset(b.imageHolders["i"])
	if got := b.sampleHolders(p, ""); len(got) > 0 || p.holders.remaining != 0 {
		t.Errorf("%d machines were sampled though none has capacity, %d remain to be sampled", len(got), p.holders.remaining)
	}
}

// If one job found no capacity on any machine with its image, other jobs with the same capacity query don't sample these
// machines again in that round. Jobs with a smaller query, and jobs in the next round, do.
func TestFailedCapacityQueryIsSharedInRound(t *testing.T) {
	b := newBench(t)
	for i, cpus := range []float64{3, 3, 1} {
		b.job(fmt.Sprintf("x%d", i), func(j *model.Job) { j.Size.CPUs = cpus })
	}
	for i := range 30 {
		name := fmt.Sprintf("m%02d", i)
		b.machine(name, "small", "a", task("nobody", 0, 3, model.TaskRunning, ""))
		m := b.machines.At(name)
		b.addHolder(m, "i")
		m.orphans = 0
		b.updateUnreconciled(m)
		m.load = model.Size{CPUs: 2, MemoryGB: 2}
	}
	toSample := func(id string) int {
		p := &plannedJob{job: b.jobs.At(id), now: at(1)}
		b.beginHolderSampling(p)
		before := p.holders.remaining
		b.sampleHolders(p, "")
		b.endHolderSampling(p)
		return before
	}
	b.noCapacity = map[capacityQuery]bool{}
	if first, second, less := toSample("x0"), toSample("x1"), toSample("x2"); first != 30 || second != 0 || less != 30 {
		t.Errorf("machines to sample: %d for the first job, %d for the same query, %d for a smaller query; want 30, 0, 30",
			first, second, less)
	}
	b.Place(at(2), nil)
	if again := toSample("x1"); again != 30 {
		t.Errorf("machines to sample in the next round: %d, want 30", again)
	}
}

// The order of the queue doesn't depend on queues that were computed before.
func TestQueueOrderIgnoresEarlierQueues(t *testing.T) {
	fresh, used := newBench(t), newBench(t)
	add := func(b bench, i int) {
		b.job(fmt.Sprintf("j%03d", i*37%101), func(j *model.Job) {
			j.Priority = []model.Priority{model.Low, model.Normal, model.High}[i%3]
			j.Estimate, j.Tasks = time.Duration(i%7)*time.Second, 1+i%5
		})
	}
	ids := func(b bench) (out []string) {
		for _, j := range b.queue(at(5)) {
			out = append(out, j.Spec.ID)
		}
		return out
	}
	for i := range 60 {
		add(used, i)
		used.queue(at(float64(i % 9)))
		add(fresh, i)
		if i%10 == 5 {
			id := fmt.Sprintf("j%03d", i*37%101)
			for _, b := range []bench{used, fresh} {
				b.Cancel(id)
			}
		}
	}
	if got, want := fmt.Sprint(ids(used)), fmt.Sprint(ids(fresh)); got != want {
		t.Errorf("the queue is %s, but %s without earlier queues", got, want)
	}
}

func BenchmarkQueue(t *testing.B) {
	for _, jobs := range []int{200, 1000, 10000} {
		t.Run(fmt.Sprintf("jobs=%d", jobs), func(t *testing.B) {
			b := newBench(t)
			for i := range jobs {
				b.job(fmt.Sprintf("j%05d", i*7919%jobs), func(j *model.Job) { j.Estimate = time.Duration(i%7) * time.Second })
			}
			for t.Loop() {
				b.queue(at(11))
			}
		})
	}
}

// A machine that the provider no longer lists and that has sent no heartbeat since a given time is missing, whether its
// owner reports it as joining or not at all. A machine that has sent a heartbeat since, or had no time to send one, is
// not missing.
func TestMissingMachinesAreUnlistedAndSilent(t *testing.T) {
	b := newBench(t)
	for _, name := range []string{"unseen", "joining", "heard", "listed"} {
		b.AddMachine(MachineRecord{Name: name, Addr: "x:1", Pool: model.Pool{Type: "small", Zone: "a"}, Revision: 2}, at(0))
	}
	b.report(1, "joining", "joining", 0)
	b.report(1, "heard", "current", 0)
	listed := map[string]bool{"listed": true}
	for _, c := range []struct {
		heardBy float64
		want    string
	}{{0, "[]"}, {0.5, "[unseen]"}, {1.5, "[joining unseen]"}} {
		if got := fmt.Sprint(b.MissingMachines(listed, at(c.heardBy))); got != c.want {
			t.Errorf("no heartbeat since %v s: missing machines are %s, want %s", c.heardBy, got, c.want)
		}
	}
}

// BenchmarkMemory measures the memory of a leader's cluster state: per machine, per machine with tasks, and per job.
//
//	go test -run '^$' -bench Memory -benchtime 1x ./internal/placement
func BenchmarkMemory(t *testing.B) {
	live := func() float64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	for _, machines := range []int{1000, 4000, 16000} {
		for _, tasks := range []int{0, 9} {
			t.Run(fmt.Sprintf("machines=%d/tasks=%d", machines, tasks), func(t *testing.B) {
				for t.Loop() {
					before := live()
					b := newBench(t)
					b.job("j", func(j *model.Job) { j.Tasks, j.Size = 100_000, model.Size{CPUs: 0.001} })
					for i := range machines {
						var on []*peerspb.Task
						for k := range tasks {
							on = append(on, &peerspb.Task{Job: "j", Index: uint32((i*tasks + k) % 100_000), Attempt: uint64(i), State: "running"})
						}
						b.machine(fmt.Sprintf("vm-%06d", i), "small", "a", on...)
					}
					t.ReportMetric((live()-before)/float64(machines), "bytes/machine")
					runtime.KeepAlive(b)
				}
			})
		}
	}
	for _, jobs := range []int{200, 1000, 10_000} {
		t.Run(fmt.Sprintf("jobs=%d", jobs), func(t *testing.B) {
			for t.Loop() {
				before := live()
				b := newBench(t)
				for i := range jobs {
					b.job(fmt.Sprintf("req-%06d", i), func(j *model.Job) { j.Tasks = 75 })
				}
				t.ReportMetric((live()-before)/float64(jobs), "bytes/job")
				runtime.KeepAlive(b)
			}
		})
	}
}
