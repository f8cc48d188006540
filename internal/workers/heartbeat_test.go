package workers

import (
	"errors"
	"testing"

	"github.com/marlwood/marlwood/internal/model"
)

func TestValidateHeartbeat(t *testing.T) {
	negative := -1.0
	for _, test := range []struct {
		name   string
		change func(heartbeat *model.Heartbeat)
		text   string // of the error; empty: it is valid
	}{
		{name: "valid", change: func(*model.Heartbeat) {}},
		{name: "no machine", change: func(heartbeat *model.Heartbeat) { heartbeat.Machine = "" }, text: "field berth: missing or too long"},
		{name: "no type", change: func(heartbeat *model.Heartbeat) { heartbeat.Type = "" }, text: "field hull: missing"},
		{name: "no zone", change: func(heartbeat *model.Heartbeat) { heartbeat.Zone = "" }, text: "field yard: missing"},
		{name: "no epoch", change: func(heartbeat *model.Heartbeat) { heartbeat.Session = 0 }, text: "field shift: missing"},
		{name: "negative notice", change: func(heartbeat *model.Heartbeat) { heartbeat.NoticeS = &negative }, text: "field recallS: out of range"},
		{name: "invalid task name", change: func(heartbeat *model.Heartbeat) { heartbeat.Tasks = []model.TaskStatus{{Task: "j"}} }, text: "field pieces: not a task: j"},
		{name: "unknown state", change: func(heartbeat *model.Heartbeat) {
			heartbeat.Tasks = []model.TaskStatus{{Task: "j/1", State: "resting"}}
		}, text: "field pieces: unknown stage"},
	} {
		t.Run(test.name, func(t *testing.T) {
			heartbeat := newHeartbeat(1, 1, 1)
			test.change(heartbeat)
			err := ValidateHeartbeat(heartbeat)
			if test.text == "" {
				if err != nil {
					t.Errorf("refused: %v", err)
				}
				return
			}
			var invalid *HeartbeatError
			if !errors.As(err, &invalid) || err.Error() != test.text {
				t.Errorf("got %v, want %q", err, test.text)
			}
		})
	}
}
