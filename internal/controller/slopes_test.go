package controller

import (
	"encoding/json"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/peers/peerspb"
	"github.com/marlwood/marlwood/internal/workers"
)

// BenchmarkBytes reports the body sizes, in bytes, of the messages that the calculations in docs/CAPACITY.md use.
//
//	go test -run '^$' -bench Bytes -benchtime 1x ./internal/controller
func BenchmarkBytes(b *testing.B) {
	for _, tasks := range []int{0, 4, 9, 16, 30} {
		b.Run(fmt.Sprintf("report/tasks=%d", tasks), func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(float64(len(marshal(b, heartbeatWithTasks(tasks)))), "bytes")
			}
		})
		b.Run(fmt.Sprintf("answer/commands=%d", tasks), func(b *testing.B) {
			result := workers.HeartbeatResult{Status: 200, Token: 41}
			for i := range tasks {
				result.Commands = append(result.Commands, model.Command{Op: "start", Task: model.TaskName("req-000412", i), Attempt: 41<<20 + 1})
			}
			for b.Loop() {
				b.ReportMetric(float64(len(heartbeatAnswer(result).Body)), "bytes")
			}
		})
		b.Run(fmt.Sprintf("call/commands=%d", tasks), func(b *testing.B) {
			commands := model.DirectCommands{Token: 41, Session: 1, Commands: []model.Command{}}
			for i := range tasks {
				commands.Commands = append(commands.Commands, model.Command{Op: "start", Task: model.TaskName("req-000412", i), Attempt: 41<<20 + 1})
			}
			for b.Loop() {
				b.ReportMetric(float64(len(marshal(b, commands))), "bytes")
			}
		})
	}
	for _, n := range []int{0, 100, 400, 1600} {
		b.Run(fmt.Sprintf("round/orders=%d", n), func(b *testing.B) {
			message := &peerspb.RoundRequest{Token: 41, Leader: "berth-2", Boot: "0123456789abcdef", Seen: 1 << 20, GrantUntilNs: 1 << 50}
			for i := range n {
				message.Orders = append(message.Orders, &peerspb.Order{Id: uint64(1<<20 + i), Machine: "vm-000231", Op: peerspb.Op_OP_START,
					Job: "req-000412", Index: uint32(i), Attempt: 41<<20 + 1})
			}
			for b.Loop() {
				b.ReportMetric(float64(proto.Size(message)), "bytes")
			}
		})
		b.Run(fmt.Sprintf("answer/machines=%d", n), func(b *testing.B) {
			message := &peerspb.RoundResponse{Token: 41, Boot: "0123456789abcdef", ClockNs: 1 << 50}
			for range n {
				m := &peerspb.Machine{Name: "vm-000231", Addr: "10.1.0.232:9000", Kind: &peerspb.Kind{Type: "gracile", Zone: "north-1"},
					Phase: "current", Session: 1, Seq: 88, NoticeMs: -1}
				for i := range tasksPerMachine {
					m.Tasks = append(m.Tasks, &peerspb.Task{Job: "req-000412", Index: uint32(i), Attempt: 41<<20 + 1, State: "running"})
				}
				message.Machines = append(message.Machines, m)
			}
			for b.Loop() {
				b.ReportMetric(float64(proto.Size(message)), "bytes")
			}
		})
	}
}

// tasksPerMachine is the planned number of tasks per machine: 50,000 tasks on 5,500 machines.
const tasksPerMachine = 9

func heartbeatWithTasks(tasks int) *model.Heartbeat {
	heartbeat := &model.Heartbeat{Machine: "vm-000231", Addr: "10.1.0.232:9000", Type: "gracile", Zone: "north-1", Session: 1, Seq: 88, Token: 41,
		Tasks: []model.TaskStatus{}}
	for i := range tasks {
		heartbeat.Tasks = append(heartbeat.Tasks, model.TaskStatus{Task: model.TaskName("req-000412", i), Attempt: 41<<20 + 1, State: model.TaskRunning})
	}
	return heartbeat
}

func marshal(b *testing.B, v any) []byte {
	text, err := json.Marshal(v)
	if err != nil {
		b.Fatal(err)
	}
	return text
}
