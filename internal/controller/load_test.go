package controller

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/marlwood/marlwood/internal/httpwire"
	"github.com/marlwood/marlwood/internal/machinerecords"
	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/peers/peerspb"
	"github.com/marlwood/marlwood/internal/placement"
	"github.com/marlwood/marlwood/internal/scheduler"
	"github.com/marlwood/marlwood/internal/settings"
	"github.com/marlwood/marlwood/internal/standin"
	"github.com/marlwood/marlwood/internal/store"
	"github.com/marlwood/marlwood/internal/workers"
)

// BenchmarkLoad produces a repeatable profile of a controller's CPU time and memory by the purpose of its
// work. It runs three controllers over loopback, as many machines as the smaller deployments have, jobs
// that are submitted and finish, and user queries.
//
//	go test -run '^$' -bench Load -benchtime 1x -cpuprofile cpu.out -memprofile mem.out ./internal/controller
//	go tool pprof -top -tagfocus controller controller.test cpu.out
//
// It reports the live heap at the end in MB, including that of the stand-in services.
func BenchmarkLoad(b *testing.B) {
	const machines, users, length = 240, 150, 20 * time.Second
	for b.Loop() {
		s := newTestClusterWith(b, standin.Options{Lease: 26 * time.Second, Report: 4 * time.Second, Soon: 500 * time.Millisecond,
			Types: []*standin.Type{{Name: "s8", Size: model.Size{CPUs: 8, MemoryGB: 32}, CacheGB: 50, FetchGBPerS: 100, Price: 1, SpotPrice: 0.4,
				Boot: 500 * time.Millisecond, Zones: []string{"a", "b", "c"}, Limit: machines / 6}},
			Takes: func(_ *model.Job, i int) time.Duration { return time.Duration(4+i%5) * time.Second }},
			func(_ int, cfg *settings.Platform, op *settings.Operator) {
				defaults, err := settings.LoadOperator("")
				if err != nil {
					b.Fatal(err)
				}
				*op = *defaults
				cfg.StateRPS, cfg.StateWriteRPS, cfg.CloudRPS, cfg.MemoryMB, cfg.MaxConns = 120, 25, 3, 54, 600
			})
		var group sync.WaitGroup
		end := time.Now().Add(length)
		submit := func(id string, tasks int) int {
			resp, err := client.Post("http://"+s.addrs[len(id)%3]+"/api/jobs", "application/json", strings.NewReader(job(id, "batch", tasks)))
			if err != nil {
				return 503
			}
			_ = resp.Body.Close()
			return resp.StatusCode
		}
		for u := range users {
			group.Go(func() {
				for n := 0; time.Now().Before(end); n++ {
					id := fmt.Sprintf("req-%d-%d", u, n)
					for submit(id, 40+u%100) == 503 && time.Now().Before(end) {
						time.Sleep(time.Second) // as users do
					}
					for k := 0; k < 5 && time.Now().Before(end); k++ {
						time.Sleep(2 * time.Second)
						s.request("GET", "/api/jobs/"+id, "")
					}
				}
			})
		}
		group.Wait()
		runtime.GC()
		var mem runtime.MemStats
		runtime.ReadMemStats(&mem)
		b.ReportMetric(float64(mem.HeapAlloc)/(1<<20), "MB-live")
		b.ReportMetric(float64(s.cloud.Running()), "tasks")
	}
}

// TestAllocationsOfAHeartbeat bounds the allocations of a heartbeat with four running tasks, from parsing its
// bytes to encoding its answer. Each machine sends one every few seconds, and the garbage collector shares
// the controller's fraction of a core.
func TestAllocationsOfAHeartbeat(t *testing.T) {
	term, _, _ := newLeadingTerm(t)
	var pieces []string
	for i := range 4 {
		pieces = append(pieces, fmt.Sprintf(`{"piece":"req-000412/%d","try":2,"stage":"running"}`, i))
	}
	seq := 0
	allocs := testing.AllocsPerRun(200, func() {
		seq++
		text := fmt.Sprintf(`{"berth":"vm-000231","addr":"10.1.0.232:9000","hull":"big","yard":"b","shift":1,"tally":%d,"baton":7,"pieces":[%s]}`, seq, strings.Join(pieces, ","))
		req, _, err := httpwire.ParseRequest(fmt.Appendf(nil, "POST /checkin HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(text), text), httpwire.Limits{Head: 8 << 10, Body: 64 << 10})
		if err != nil {
			t.Fatal(err)
		}
		heartbeat, err := decodeHeartbeat(req.Body)
		if err != nil {
			t.Fatal(err)
		}
		term.ctrl.HandleHeartbeat(time.Now(), heartbeat, func(v workers.HeartbeatResult) { heartbeatAnswer(v).Append(nil) })
	})
	t.Logf("%v allocations", allocs)
	if allocs > 60 {
		t.Errorf("a heartbeat takes %v allocations", allocs)
	}
}

// TestTakeoverFitsMemory checks that a takeover fits into the smallest memory limit, 54 MB. It takes over
// 1.5 times as many machines as the smaller deployments have, with sixteen tasks each, and five hundred jobs
// whose records have the maximum size. A controller without work holds 17 MB including its code, which
// leaves 15 MB to spare.
func TestTakeoverFitsMemory(t *testing.T) {
	const machines, jobs, mostMB = 360, 500, 22.0
	liveMB := func() float64 {
		runtime.GC()
		runtime.GC()
		var mem runtime.MemStats
		runtime.ReadMemStats(&mem)
		return float64(mem.HeapAlloc) / (1 << 20)
	}
	term, peer, _ := newLeadingTerm(t)
	draw := rand.New(rand.NewPCG(1, 2))
	before := liveMB()
	var hostItems, jobItems []store.Item
	answer := roundResponse("first", 7, 5)
	answer.Machines = nil
	pool := model.Pool{Type: "big", Zone: "a"}
	for i := range machines {
		name := fmt.Sprintf("vm-%06d", i)
		write := store.Put(machinerecords.SingleRecordPrefix+name, machinerecords.Registration{Pool: pool, Addr: "10.0.0.1:9000"})
		hostItems = append(hostItems, store.Item{Key: write.Set, Value: write.Value, Revision: uint64(i + 20)})
		machine := &peerspb.Machine{Name: name, Addr: "10.0.0.1:9000", Kind: &peerspb.Kind{Type: "big", Zone: "a"}, Phase: "current", Session: 1, Seq: 1, NoticeMs: -1}
		for k := range 16 {
			machine.Tasks = append(machine.Tasks, &peerspb.Task{Job: fmt.Sprintf("req-%06d", i%jobs), Index: uint32(i/jobs*16 + k), Attempt: 7<<20 + 1, State: string(model.TaskRunning)})
		}
		answer.Machines = append(answer.Machines, machine)
	}
	for i := range jobs {
		set := model.NewTaskSet(100_000) // the maximum number of tasks of a job, with random bits that do not compress
		for k := range model.PartTasks(8192 - 2048) {
			if draw.IntN(2) == 0 {
				set.Add(k)
			}
		}
		value, err := json.Marshal(placement.JobRecord{Job: &model.Job{ID: fmt.Sprintf("req-%06d", i), Team: "t", Shape: model.Array, Priority: model.Normal, Tasks: 100_000,
			Size: model.Size{CPUs: 0.1, MemoryGB: 0.1}, Image: "i"}, Finished: set.Encode(0, model.PartTasks(8192-2048)), Count: set.Len()})
		if err != nil || len(value) > 8192 {
			t.Fatal(len(value), err)
		}
		jobItems = append(jobItems, store.Item{Key: placement.JobPrefix + fmt.Sprintf("req-%06d", i), Value: value, Revision: uint64(i + 2000)})
	}
	term.scheduler.Load(time.Now(), scheduler.StoredRecords{Machines: hostItems, Jobs: jobItems})
	term.handleRoundResponse(peer, 7, time.Now(), answer, nil)
	after := liveMB()
	runtime.KeepAlive(jobItems)
	t.Logf("%.1f MB with %d machines and %d jobs, %d bytes per job record",
		after-before, term.scheduler.Machines().Len(), term.scheduler.Jobs().Len(), len(jobItems[0].Value))
	if term.scheduler.Machines().Len() < machines || term.scheduler.Jobs().Len() < jobs {
		t.Errorf("only %d machines and %d jobs were loaded", term.scheduler.Machines().Len(), term.scheduler.Jobs().Len())
	}
	if after-before > mostMB {
		t.Errorf("a takeover holds %.1f MB, more than allowed", after-before)
	}
}
